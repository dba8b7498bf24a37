// Emulates what an entry instance stands on: the platform's log, its workers and its policy
// service, over real sockets on loopback in the platform's protocol.
//
// Everything runs on one event loop. All members must be called on its thread.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cardamompaddle::emulator {

// What the log does with the calls that it receives.
struct LogFaults
{
    bool silent = false; // calls get no answer and are not carried out
    bool resets = false; // connections are closed instead of an answer
    bool busy = false; // calls are answered with 503 and not carried out
    Duration delay{0}; // before each call is carried out
    std::string silentTopic; // appends to it get no answer and are not carried out
    double lostAnswerShare = 0; // of the appends that are carried out and get no answer
    Duration lostAppendDelay{0}; // such appends are carried out this much later
};

// How the policy service decides.
struct PolicyOptions
{
    double approvedShare = 1; // of the workers; drawn for each step and life of a worker
    Duration decisionTime{0}; // of each call
    double perWorkerMs = 0; // further time of a call for each worker that it names
    Duration validity{5'000}; // of a ticket
};

// What the policy service does with the calls that it receives.
struct PolicyFaults
{
    bool silent = false; // calls get no answer and are not handled
    bool refuses = false; // calls are answered with 503 and not handled
    Duration delay{0}; // by which each call takes longer
};

// How a worker's life ends.
enum class WorkerCrash {
    Reset, // its connections are reset, new ones are refused
    Silent, // nothing is answered and nothing is reset
};

enum class RunEventKind { Started, Ended, Acknowledged };
std::string_view runEventKindName(RunEventKind kind);

// What happened to one run of a task at a worker.
struct RunEvent
{
    RunEventKind kind = RunEventKind::Started;
    Instant at;
    std::string task; // JOB.OCCURRENCE.STEP.INDEX
    int64_t run = 0;
    std::string worker;
    int life = 0; // of the worker, numbered from 1
    // Ended: as in the protocol ("done", "lapsed", ...); "crashed" with the worker. Acknowledged:
    // how the run had ended, or "lapsed" if the worker's lease has lapsed since.
    std::string how;
};

struct PlatformEmulatorOptions
{
    int workers = 24;
    std::vector<std::string> workerIds; // if not empty, these workers exist instead of `workers`
    bool registersWorkers = true; // false: only registerWorker() does
    int64_t workerCpuMilli = 16'000;
    int64_t workerMemoryMb = 32'768;
    std::string service = "s";
    std::vector<std::string> availabilityZones{"z1", "z2"};
    Duration maxLease{10'000};
    Duration stopTime{100}; // a stopped run ends this much later
    double slowestClockRate = 1; // of the workers' clocks, which are spread between it and 1
    Duration heartbeatInterval{500}; // of the workers' entries in the registry
    Duration readAnswerTime{2}; // of the log
    Duration appendTime{2}; // of the log; one append of a topic at a time
    uint64_t seed = 1; // of the choice of lost answers
    // Returns how long a run of the task takes; none if it lasts until it is stopped.
    std::function<std::optional<Duration>(const std::string &task)> runTime;
    std::function<void(const RunEvent &)> observer;
    PolicyOptions policy;
    // Whether a start of the task needs a valid ticket of the policy service. None does without
    // this function.
    std::function<bool(const std::string &task)> needsTicket;
    // Returns the number of members of the task's gang, 0 for a task without one. No task has one
    // without this function.
    std::function<int(const std::string &task)> gangSize;
    Duration gangTimeout{4'000}; // for which a member of a gang waits for the others
};

class PlatformEmulator
{
public:
    // Binds free loopback ports and registers the workers. Errors: Unavailable.
    static Result<std::unique_ptr<PlatformEmulator>> create(boost::asio::io_context &io,
                                                            PlatformEmulatorOptions options);
    ~PlatformEmulator();
    PlatformEmulator(const PlatformEmulator &) = delete;
    PlatformEmulator &operator=(const PlatformEmulator &) = delete;

    std::string logAddress() const; // IP:PORT
    // The policy service handles one call at a time for each caller and tells callers apart by the
    // address that they call. Returns the IP:PORT for the first caller.
    std::string policyAddress() const;
    // Returns the IP:PORT for a further caller. Errors: Unavailable.
    Result<std::string> addPolicyCaller();
    PolicyFaults &policyFaults();
    // Returns the number of calls that the policy service has received.
    int policyCallCount() const;
    // Whether the policy lets the present life of the worker run the step.
    bool policyApproves(const std::string &step, const std::string &worker) const;
    // Stores a record as the operator or another writer does. An empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    LogFaults &logFaults();
    // Drops the history of all topics. The newest record of each key stays.
    void forgetHistory();

    std::vector<std::string> workerIds() const;
    bool isUp(const std::string &worker) const;
    // Writes the worker's entry into the registry once more.
    void registerWorker(const std::string &worker);
    // Returns the number of polls that the worker has accepted so far.
    int pollCount(const std::string &worker) const;
    void crashWorker(const std::string &worker, WorkerCrash how);
    // Starts a crashed worker again, under its id or, if `newId`, under another one at a new
    // address.
    void restartWorker(const std::string &worker, bool newId);
    // From now on the worker leaves this share of its orders without an answer and carries them
    // out after `delay`, also if it has crashed and is up again under its id by then.
    void delayOrders(const std::string &worker, double share, Duration delay);
    // The worker announces that it leaves. It goes on serving until removeWorker().
    void drainWorker(const std::string &worker);
    // Returns since when the worker has announced that it leaves; none if it has not.
    std::optional<Instant> drainingSince(const std::string &worker) const;
    // The worker exits; its entry leaves the registry at once.
    void removeWorker(const std::string &worker);
    // Cuts the worker off from the instances, not from the registry: calls get no answer and are
    // not carried out, while its runs go on.
    void setCutOff(const std::string &worker, bool cutOff);
    // Number of records of the topic, for statistics.
    size_t recordCount(const std::string &topic) const;

private:
    class Impl;
    explicit PlatformEmulator(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cardamompaddle::emulator
