#include "instance_process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace cardamompaddle::soak {

namespace {

// Below the ports that the system gives to outgoing connections: one of these could take the port
// while the instance is down.
constexpr int FirstPort = 20'000;
constexpr int PortCount = 12'000;

// Returns a port that is free at present; another one in each call.
std::string freePort()
{
    static int next = (::getpid() * 61) % PortCount;
    boost::asio::io_context io;
    for (int i = 0; i < PortCount; ++i) {
        const auto port = static_cast<uint16_t>(FirstPort + next);
        next = (next + 1) % PortCount;
        boost::system::error_code ec;
        boost::asio::ip::tcp::acceptor acceptor(io);
        acceptor.open(boost::asio::ip::tcp::v4(), ec);
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, ec);
        if (!ec)
            return std::to_string(port);
    }
    return "0";
}

// Only calls functions that are safe between fork() and exec().
[[noreturn]] void runProgram(const char *program, char *const arguments[], const char *output)
{
    const int descriptor = ::open(output, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (descriptor >= 0) {
        ::dup2(descriptor, STDOUT_FILENO);
        ::dup2(descriptor, STDERR_FILENO);
    }
    ::execv(program, arguments);
    ::_exit(127);
}

} // namespace

std::string ProcessEnd::toString() const
{
    return signal != 0 ? "was ended by signal " + std::to_string(signal)
                       : "exited with status " + std::to_string(exitStatus);
}

Result<InstanceProcess> InstanceProcess::create(InstanceProcessOptions options)
{
    InstanceProcess out(std::move(options));
    out.m_callers = "127.0.0.1:" + freePort();
    out.m_readiness = "127.0.0.1:" + freePort();
    out.m_peerPort = freePort();
    if (const auto written = out.writeSettings(); !written)
        return written.error();
    return out;
}

Result<void> InstanceProcess::writeSettings() const
{
    std::ofstream file(settingsPath());
    file << R"({"instance": ")" << name() << R"(", "availability_zone": ")"
         << m_options.availabilityZone << R"(", "ip": "127.0.0.1", "listen": {"callers": ")"
         << m_callers << R"(", "readiness": ")" << m_readiness << R"(", "peer_port": )"
         << m_peerPort << R"(}, "log": ")" << m_options.logAddress << R"(", "policy_service": ")"
         << m_options.policyAddress << R"(", "processor": {"share": 0.25, "cores": 1},)"
         << R"( "workers": {"max_lease_ms": )" << m_options.maxLease.count()
         << R"(, "remote_factor": 2}, "keep_final_s": )" << m_options.keepEnded.count() / 1'000
         << R"(, "stop_grace_s": )" << m_options.stopGrace.count() / 1'000 << "}\n";
    file.close();
    if (!file)
        return Error{ErrorCode::Unavailable, "cannot write " + settingsPath()};
    return {};
}

Result<void> InstanceProcess::start()
{
    const std::string output = m_options.folder + "/" + name() + ".log";
    std::string settings = "--settings=" + settingsPath();
    std::string offset =
        "--time_of_day_offset_ms=" + std::to_string(m_options.timeOfDayOffset.count());
    std::string program = m_options.program;
    // Earlier versions do not know the option.
    const bool hasOffset = m_options.timeOfDayOffset != Duration::zero();
    char *const arguments[] = {program.data(), settings.data(), hasOffset ? offset.data() : nullptr,
                               nullptr};
    // A reload that comes before the program runs must wait for it: nothing there could handle it.
    sigset_t reload;
    sigset_t former;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &reload, &former);
    m_pid = ::fork();
    if (m_pid != 0)
        pthread_sigmask(SIG_SETMASK, &former, nullptr);
    if (m_pid < 0)
        return Error{ErrorCode::Unavailable, "cannot start a process"};
    if (m_pid == 0)
        runProgram(m_options.program.c_str(), arguments, output.c_str());
    return {};
}

void InstanceProcess::signal(int number)
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

bool InstanceProcess::reap(ProcessEnd &end)
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = -1;
    end.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    end.exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return true;
}

void InstanceProcess::kill()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

} // namespace cardamompaddle::soak
