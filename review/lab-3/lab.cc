#include "lab.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <map>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
namespace asio = boost::asio;

namespace {

constexpr const char *Program = "target/platform/cardamompaddle-entry"; // as in deploy/system.toml
constexpr const char *Template = "deploy/entry.settings.json";

// Ports below those that the system gives to outgoing connections.
std::string freePort()
{
    static int next = static_cast<int>(::getpid()) * 61 % 12'000;
    asio::io_context io;
    for (int i = 0; i < 12'000; ++i) {
        const auto port = static_cast<uint16_t>(20'000 + next);
        next = (next + 1) % 12'000;
        boost::system::error_code ec;
        asio::ip::tcp::acceptor acceptor(io);
        acceptor.open(asio::ip::tcp::v4(), ec);
        acceptor.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec)
            return std::to_string(port);
    }
    return "0";
}

std::string quoted(const std::string &text)
{
    return json::serialize(json::value(text));
}

} // namespace

bool Lab::trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Lab::Lab(LabOptions options) : m_options(std::move(options))
{
    const char *path = std::getenv("RECORD");
    m_record.open(path == nullptr ? "/dev/null" : path);
    std::string folder = std::filesystem::temp_directory_path() / "review-3-XXXXXX";
    if (::mkdtemp(folder.data()) != nullptr)
        m_folder = folder;
    m_options.platform.observer = [this](const emu::RunEvent &event) { onEvent(event); };
    auto platform = emu::PlatformEmulator::create(m_io, m_options.platform);
    if (!platform || m_folder.empty()) {
        std::cerr << "the stand-ins cannot be started\n";
        std::exit(static_cast<int>(Verdict::CannotRun));
    }
    m_platform = std::move(*platform);
    m_storeProxy = std::make_unique<SlowProxy>(m_io, m_platform->logAddress());
    cp::HttpClientOptions client;
    client.maxIdlePerAddress = 64;
    client.idleTimeout = cp::Duration(60'000);
    m_http = std::make_unique<cp::HttpClient>(m_io, client);
    m_thread = std::thread([this] {
        const auto guard = asio::make_work_guard(m_io);
        m_io.run();
    });
    putConfiguration(m_options.routes);
    for (int i = 0; i < m_options.instances; ++i) {
        Instance it;
        it.name = "front-" + std::to_string(i + 1);
        it.callers = "127.0.0.1:" + freePort();
        it.settingsPath = m_folder + "/" + it.name + ".json";
        const std::string peerPort = freePort();
        it.peers = "127.0.0.1:" + peerPort;
        std::ofstream(it.settingsPath) << settings(it, "127.0.0.1:" + freePort(), peerPort);
        m_instances.push_back(std::move(it));
    }
}

Lab::~Lab()
{
    for (size_t i = 0; i < m_instances.size(); ++i)
        killInstance(i);
    onLoop([this] {
        m_http.reset();
        m_storeProxy.reset();
        m_platform.reset();
    });
    m_io.stop();
    m_thread.join();
    if (std::getenv("KEEP_LOGS") != nullptr)
        std::cerr << "logs are in " << m_folder << "\n";
    else
        std::filesystem::remove_all(m_folder);
}

// The template of the deploy file, filled in for a small deployment.
std::string Lab::settings(const Instance &instance, const std::string &readiness,
                          const std::string &peerPort) const
{
    const auto policy = m_platform->policyAddress();
    const std::map<std::string, std::string> values = {
        {"NodeName", quoted(instance.name)},
        {"Zone", quoted(m_options.platform.availabilityZones.front())},
        {"IpAddress", quoted("127.0.0.1")},
        {"ListenAddresses.Front", quoted(instance.callers)},
        {"ListenAddresses.Readiness", quoted(readiness)},
        {"InternalPorts.0", peerPort},
        {"platform.Address", quoted(m_storeProxy->address())},
        {"platform.MaxRecordBytes", "262144"},
        {"platform.MaxCallBytes", "2097152"},
        {"PolicyService", quoted(policy)},
        {"Limits.CpuShare", "0.25"},
        {"Limits.CpuCores", "1"},
        {"Bounds.MaxHoldMs", std::to_string(m_options.platform.maxLease.count())},
        {"Bounds.RemoteFactor", "2"},
        {"Bounds.status_s", "120"},
        {"Bounds.GracePeriodS", "6"},
    };
    std::ifstream in(Template);
    std::stringstream text;
    text << in.rdbuf();
    std::string out = text.str();
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "|json}}";
        for (size_t at = out.find(placeholder); at != std::string::npos;
             at = out.find(placeholder, at + value.size()))
            out.replace(at, placeholder.size(), value);
    }
    return out;
}

int64_t Lab::nowMs() const
{
    const auto since = std::chrono::steady_clock::now() - m_began;
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

void Lab::record(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_record << nowMs() << " ms  " << line << std::endl;
}

void Lab::sleep(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Lab::await(int ms, const std::function<bool()> &condition)
{
    const int64_t until = nowMs() + ms;
    while (!condition()) {
        if (nowMs() >= until)
            return false;
        sleep(10);
    }
    return true;
}

void Lab::onLoop(const std::function<void()> &function)
{
    std::promise<void> done;
    asio::post(m_io, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

void Lab::putConfiguration(const std::string &routes)
{
    ++m_version;
    const std::string manifest = R"({"Version": )" + std::to_string(m_version) + R"(, "Routes": [)"
                                 + routes
                                 + R"(], "Services": [{"Name": "s"}], "Tenants": [{"Name":)"
                                 + R"( "team", "ApiKeys": ["key"], "Weight": 1}]})";
    onLoop([&] { m_platform->put("keyed.op", "config", manifest); });
    record("operator: manifest version " + std::to_string(m_version));
}

void Lab::slowStore(int ms)
{
    m_storeProxy->setDelay(ms);
    record("store: answers take " + std::to_string(ms) + " ms longer");
}

int Lab::scheduler()
{
    for (size_t i = 0; i < m_instances.size(); ++i) {
        const Answer answer = callAddress(m_instances[i].peers, "GET", "/metrics", "", {}, 500);
        if (answer.body.find("\ncardamompaddle_entry_schedules 1") != std::string::npos)
            return static_cast<int>(i);
    }
    return -1;
}

void Lab::startInstance(size_t index)
{
    Instance &it = m_instances.at(index);
    std::string program = Program;
    std::string option = "--settings=" + it.settingsPath;
    const std::string output = m_folder + "/" + it.name + ".log";
    char *const arguments[] = {program.data(), option.data(), nullptr};
    it.pid = ::fork();
    if (it.pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the scenario, however that ends
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 256; ++descriptor)
            ::close(descriptor);
        ::execv(arguments[0], arguments);
        ::_exit(127);
    }
    record("process " + it.name + ": started");
}

void Lab::signalInstance(size_t index, int number)
{
    const Instance &it = m_instances.at(index);
    if (it.pid > 0)
        ::kill(it.pid, number);
    record("process " + it.name + ": signal " + std::to_string(number));
}

void Lab::killInstance(size_t index)
{
    Instance &it = m_instances.at(index);
    if (it.pid <= 0)
        return;
    ::kill(it.pid, SIGKILL);
    ::waitpid(it.pid, nullptr, 0);
    it.pid = -1;
    record("process " + it.name + ": killed");
}

bool Lab::start()
{
    for (size_t i = 0; i < m_instances.size(); ++i)
        startInstance(i);
    for (size_t i = 0; i < m_instances.size(); ++i) {
        // A route's count of waiting jobs is answered once the instance is configured.
        if (!await(15'000, [&] { return call(i, "GET", "/batch/").status == 200; }))
            return false;
    }
    sleep(2'000); // until a scheduler is chosen and has polled the workers
    return true;
}

Answer Lab::callAddress(const std::string &address, const std::string &method,
                        const std::string &path, const std::string &body,
                        const std::map<std::string, std::string> &headers, int timeoutMs)
{
    auto answered = std::make_shared<std::promise<Answer>>();
    auto all = headers;
    all["Content-Type"] = "application/json";
    asio::post(m_io, [&] {
        m_http->request(
            address, method, path, body, cp::Duration(timeoutMs),
            [answered](const cp::Result<cp::HttpResponse> &response, bool) {
                Answer out;
                if (response) {
                    out.status = response->status;
                    out.body = response->body;
                }
                answered->set_value(std::move(out));
            },
            all);
    });
    return answered->get_future().get();
}

Answer Lab::call(size_t instance, const std::string &method, const std::string &path,
                 const std::string &body, int timeoutMs)
{
    const Instance &it = m_instances.at(instance);
    Answer out = callAddress(
        it.callers, method, path, body,
        {{"Authorization", "Bearer key"}, {"Cardamompaddle-Deadline-Milliseconds", "3000"}},
        timeoutMs);
    record("client: " + method + " " + path + " to " + it.name + " -> "
           + (out.status == 0 ? "no answer" : std::to_string(out.status)) + " " + out.body
           + (body.empty() ? "" : "  sent: " + body));
    return out;
}

bool Lab::submit(const std::string &path, const std::string &body)
{
    for (int i = 0; i < 10; ++i) {
        if (call(static_cast<size_t>(i) % m_instances.size(), "POST", path, body).status / 100 == 2)
            return true;
        sleep(300);
    }
    return false;
}

std::string Lab::state(const std::string &path)
{
    for (size_t i = 0; i < m_instances.size(); ++i) {
        const Answer answer = call(i, "GET", path);
        if (answer.status != 200)
            continue;
        boost::system::error_code ec;
        const json::value body = json::parse(answer.body, ec);
        const json::value *state =
            !ec && body.is_object() ? body.as_object().if_contains("State") : nullptr;
        if (state != nullptr && state->is_string())
            return std::string(state->as_string());
    }
    return "";
}

void Lab::crash(const std::string &worker, emu::WorkerCrash how, const std::string &why)
{
    record("worker " + worker + ": crashes (" + why + ")");
    onLoop([&] { m_platform->crashWorker(worker, how); });
}

void Lab::restart(const std::string &worker, bool newId)
{
    onLoop([&] { m_platform->restartWorker(worker, newId); });
    record("worker " + worker + ": up again" + (newId ? " under a new id" : " under its id"));
}

void Lab::onEvent(const emu::RunEvent &event)
{
    const std::lock_guard lock(m_mutex);
    const int64_t now = nowMs();
    if (event.kind == emu::RunEventKind::Started)
        m_runs.push_back({event.task, event.run, event.worker, event.life, now, -1, "", -1});
    for (Run &it : m_runs) {
        if (it.task != event.task || it.run != event.run || it.worker != event.worker
            || it.life != event.life)
            continue;
        if (event.kind == emu::RunEventKind::Ended) {
            it.endedMs = now;
            it.how = event.how;
        } else if (event.kind == emu::RunEventKind::Acknowledged) {
            it.acknowledgedMs = now;
        }
    }
    m_record << now << " ms  worker " << event.worker << ": task " << event.task << " run "
             << event.run << " " << emu::runEventKindName(event.kind) << " " << event.how
             << std::endl;
}

std::vector<Run> Lab::runs(const std::string &taskPrefix)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Run> out;
    for (const Run &it : m_runs) {
        if (it.task.starts_with(taskPrefix))
            out.push_back(it);
    }
    return out;
}

std::optional<Run> Lab::activeRun(const std::string &task)
{
    for (const Run &it : runs(task)) {
        if (it.task == task && it.endedMs < 0)
            return it;
    }
    return std::nullopt;
}

} // namespace review
