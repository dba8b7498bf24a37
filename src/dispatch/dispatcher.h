// Decides which task of which accepted job runs on which worker.
//
// Holds everything that the one scheduler of a fleet knows: jobs with their steps, workers with
// what runs on them, teams with what they use, approvals of the policy service.
//
// Core: no I/O and no clock. Calls that need the present time take it; it must not go backwards.
// Equal sequences of calls give equal orders. Not thread-safe.
#pragma once

#include "dispatch/catalog.h"
#include "dispatch/worker_runs.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// Rates and times of the workers, from the settings.
struct DispatchOptions
{
    int64_t epoch = 1; // of the tenure; run numbers of a later tenure are higher
    double offRackFactor = 1; // run time of a task off its preferred rack, as a multiple
};

// A step that needs the approval of the policy service before it can start.
struct PendingApproval
{
    StepRef step;
    std::vector<WorkerId> workers; // to name in the call
    Duration expected{0}; // time that the service takes
    Duration validity{0};
};

// One ended or changed thing, for the log.
struct DispatchEvent
{
    std::string_view what; // stable name, for example "run_ended"
    std::string job; // may be empty
    std::string detail; // key=value fields
};
using EventSink = std::function<void(const DispatchEvent &)>;

class Dispatcher
{
public:
    Dispatcher(DispatchOptions options, EventSink events);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // Configuration in force from now on.
    void setCatalog(std::shared_ptr<const Catalog> catalog);
    // Availability zones that operators have taken out; nothing starts there.
    void setZonesOut(std::set<std::string> zones);

    // Takes up a job. `progress` is what an earlier scheduler stored, null if nothing.
    // `mayBeRunning`: an earlier scheduler may have started tasks without a record; its tasks
    // start only once no worker is unreconciled. Jobs that are known here are ignored.
    void addJob(std::shared_ptr<const work::Submission> job, const work::Progress *progress,
                bool mayBeRunning);
    void cancelJob(const std::string &id);
    bool hasJob(const std::string &id) const;
    // Workers of an earlier scheduler that may have runs which no report has shown yet. A task that
    // was placed there does not start; with none left, no task waits for that any more.
    void setUnreconciledWorkers(std::set<WorkerId> workers);

    // The registry's entry of a worker. A worker gets starts once it has reported and is reachable.
    void setWorker(const WorkerEntry &entry);
    // A worker that an earlier scheduler used and that the registry does not list. It gets no
    // starts; its runs are taken over.
    void adoptWorker(const WorkerId &id);
    // The entry has gone. Its runs count until workerLost() or a report tells more.
    void removeWorker(const WorkerId &id);
    // Whether calls to the worker are answered at present; nothing starts while they are not.
    void setReachable(const WorkerId &id, bool reachable);
    // The lease of everything on the worker has surely lapsed.
    void workerLost(const WorkerId &id);
    void workerReported(const WorkerId &id, const RunReport &report, Instant now);
    void startAnswered(const StartOrder &order, StartOutcome answer, Instant now);
    // Whether the run is still to be started and its approval, if it needs one, is valid.
    bool isStartCurrent(const StartOrder &order, Instant now) const;
    // The worker confirmed a stop: the run can no longer begin, and ends soon if it is there.
    void stopAnswered(const StopOrder &order, Instant now);
    // Highest position in the worker's list of ends that is taken into account here.
    int64_t endPosition(const WorkerId &id) const;
    // Whether anything runs or is ordered there.
    bool isBusy(const WorkerId &id) const;

    // The most urgent step that lacks approvals; `longest` bounds the expected time of the call.
    // Call approvalRequested() when it is sent.
    std::optional<PendingApproval> nextPendingApproval(Instant now, int64_t unixMs,
                                                       Duration longest);
    void approvalRequested(const StepRef &step);
    // `answer` null: the call failed. `at`: when the call was sent; approvals count from it.
    void approvalAnswered(const PendingApproval &need, const std::vector<work::Approval> *answer,
                          Instant at, Instant now);

    // What to do now. `unixMs` is the time of day, for due times.
    Orders decide(Instant now, int64_t unixMs);
    // Earliest time at which decide() may do something without another call before it.
    std::optional<Instant> nextEvent(Instant now, int64_t unixMs) const;

    // Progress of the jobs that changed since the last call.
    std::vector<work::Progress> takeProgress();
    bool hasProgress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
