// Runs one entry instance as a process of its own and sends signals to it.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <string>
#include <sys/types.h>

namespace cardamompaddle::soak {

struct InstanceProcessOptions
{
    std::string program; // path of cardamompaddle-entry
    std::string folder; // for the settings file and the log
    std::string name;
    std::string availabilityZone;
    std::string logAddress; // IP:PORT of the platform's log, or of a proxy before it
    std::string policyAddress;
    Duration maxLease{10'000};
    Duration keepEnded{0};
    Duration stopGrace{6'000};
    Duration timeOfDayOffset{0}; // added to the time of day that the process sees
};

// How a process has ended.
struct ProcessEnd
{
    int exitStatus = -1; // -1: by a signal
    int signal = 0; // 0: it has exited
    std::string toString() const;
};

class InstanceProcess
{
public:
    // Chooses free addresses and writes the settings file.
    static Result<InstanceProcess> create(InstanceProcessOptions options);

    // Starts the process. Requires that it does not run.
    Result<void> start();
    // Sends a signal to the process. Does nothing if it does not run.
    void signal(int number);
    // Waits for the process without blocking. Returns whether it has ended now.
    bool reap(ProcessEnd &end);
    bool isRunning() const { return m_pid > 0; }
    // Kills the process and waits for its end.
    void kill();

    const std::string &name() const { return m_options.name; }
    const std::string &callersAddress() const { return m_callers; }
    const std::string &readinessAddress() const { return m_readiness; }
    std::string metricsAddress() const { return "127.0.0.1:" + m_peerPort; }
    Duration stopGrace() const { return m_options.stopGrace; }
    Result<void> writeSettings() const;

private:
    explicit InstanceProcess(InstanceProcessOptions options) : m_options(std::move(options)) { }
    std::string settingsPath() const { return m_options.folder + "/" + name() + ".json"; }

    InstanceProcessOptions m_options;
    std::string m_callers;
    std::string m_readiness;
    std::string m_peerPort;
    pid_t m_pid = -1;
};

} // namespace cardamompaddle::soak
