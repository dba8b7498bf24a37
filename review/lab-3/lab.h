// What the scenarios of the third review share: entry instances as processes, the project's
// emulator of the platform, callers, and the record of what was sent, answered and run.
//
// The emulator and the callers run on an event loop of their own thread. A scenario runs on the
// main thread and waits.
#pragma once

#include "emulator/platform_emulator.h"
#include "net/http_client.h"
#include "slow_proxy.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

namespace cp = cardamompaddle;
namespace emu = cardamompaddle::emulator;

// How run.sh ends.
enum class Verdict { Held = 0, Broken = 1, CannotRun = 2 };

struct LabOptions
{
    int instances = 3;
    emu::PlatformEmulatorOptions platform;
    // Rows of "Routes" of the manifest, as JSON.
    std::string routes;
};

// One instance of cardamompaddle-entry, started with the command of the deploy file.
struct Instance
{
    std::string name;
    std::string callers; // IP:PORT
    std::string peers; // IP:PORT
    std::string settingsPath;
    pid_t pid = -1;
};

struct Answer
{
    int status = 0; // 0: no answer
    std::string body;
};

// A run as the workers have seen it.
struct Run
{
    std::string task;
    int64_t run = 0;
    std::string worker;
    int life = 0;
    int64_t startedMs = 0; // since the lab was created
    int64_t endedMs = -1; // -1: still running
    std::string how;
    int64_t acknowledgedMs = -1;
};

class Lab
{
public:
    explicit Lab(LabOptions options);
    ~Lab();
    Lab(const Lab &) = delete;
    Lab &operator=(const Lab &) = delete;

    // Whether the disruption is to be played (TROUBLE is not 0).
    static bool trouble();

    int64_t nowMs() const;
    void record(const std::string &line);
    void sleep(int ms);
    // Waits until `condition` holds, for `ms` at most. Returns whether it does.
    bool await(int ms, const std::function<bool()> &condition);

    // Runs a function on the event loop's thread and waits for it.
    void onLoop(const std::function<void()> &function);
    emu::PlatformEmulator &platform() { return *m_platform; } // on the event loop's thread only

    // Starts the instances and waits until all of them answer a caller.
    bool start();
    void startInstance(size_t index);
    void signalInstance(size_t index, int number);
    // Kills the process and reaps it.
    void killInstance(size_t index);
    size_t instanceCount() const { return m_instances.size(); }
    // Sends a call of the tenant's client to the instance.
    Answer call(size_t instance, const std::string &method, const std::string &path,
                const std::string &body = "", int timeoutMs = 4'000);
    // Sends a call to any address.
    Answer callAddress(const std::string &address, const std::string &method,
                       const std::string &path, const std::string &body,
                       const std::map<std::string, std::string> &headers, int timeoutMs = 4'000);
    std::string logAddress() const { return m_platform->logAddress(); }
    // Submits a job and repeats it with the same id, as clients do, until it is accepted.
    bool submit(const std::string &path, const std::string &body);
    // State of a job from any instance that answers; empty if none does.
    std::string state(const std::string &path);
    void putConfiguration(const std::string &routes);
    // From now on the answers of the platform's store take this much longer.
    void slowStore(int ms);
    // Index of the instance that says that it schedules, by its metrics; -1 if none answers so.
    int scheduler();
    const std::string &callersOf(size_t instance) const { return m_instances.at(instance).callers; }

    void crash(const std::string &worker, emu::WorkerCrash how, const std::string &why);
    void restart(const std::string &worker, bool newId);
    std::vector<Run> runs(const std::string &taskPrefix = "");
    // The run of the task that is active at present.
    std::optional<Run> activeRun(const std::string &task);

private:
    std::string settings(const Instance &instance, const std::string &readiness,
                         const std::string &peerPort) const;
    void onEvent(const emu::RunEvent &event);

    LabOptions m_options;
    std::chrono::steady_clock::time_point m_began = std::chrono::steady_clock::now();
    std::string m_folder;
    std::ofstream m_record;
    std::mutex m_mutex; // guards the record and the runs
    std::vector<Run> m_runs;
    boost::asio::io_context m_io;
    std::unique_ptr<emu::PlatformEmulator> m_platform;
    std::unique_ptr<SlowProxy> m_storeProxy; // between the instances and the store
    std::unique_ptr<cp::HttpClient> m_http;
    std::thread m_thread;
    std::vector<Instance> m_instances;
    std::vector<std::string> m_settings; // content of the settings files
    int64_t m_version = 0;
};

// The scenarios, by name.
struct Scenario
{
    const char *name;
    Verdict (*run)();
};
const std::vector<Scenario> &scenarios();

Verdict lostLongAfterRestart();
Verdict otherKind();
Verdict awakenedScheduler();
Verdict unansweredStart();
Verdict lateStartAfterSuccess();

} // namespace review
