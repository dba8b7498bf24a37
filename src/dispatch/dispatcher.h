// Decides which task of which accepted job runs on which worker.
//
// A Dispatcher holds the state of a fleet's only active scheduler: jobs and their steps, workers
// and their runs, resources in use by each team, and approvals of the policy service.
//
// It performs no I/O and reads no clock. Functions that depend on the present time take it as an
// argument; it must not decrease from call to call. Equal sequences of calls give equal orders. Not
// thread-safe.
#pragma once

#include "admission/backlog_summary.h"
#include "dispatch/approval_load.h"
#include "dispatch/catalog.h"
#include "dispatch/scheduling_policies.h"
#include "dispatch/step_wait.h"
#include "dispatch/worker_runs.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// A start order that was decided longer ago is not sent, because what it was based on may have
// changed unnoticed, for example while the process was suspended. Covers a log append and all
// attempts to send the order.
inline constexpr Duration MaxStartOrderAge{1'500};

struct DispatchOptions
{
    int64_t epoch = 1; // of the tenure; a later tenure uses higher run numbers
    double offRackFactor = 1; // multiplies the run time of a task off its preferred rack
    // Finds an accepted job that addJob() was not called with or that is forgotten, so that its
    // last runs are counted until they have finished. Returns null if there is none. May be null.
    std::function<std::shared_ptr<const work::Submission>(const std::string &id)> findSubmission =
        nullptr;
    // Returns the workers on which an earlier start of the task may still be carried out if they
    // start again, or null if there are none. The task runs on no other worker meanwhile: a run on
    // the only one of them ends with the incarnation that refuses the earlier start. May be null.
    std::function<const std::set<WorkerId> *(const TaskRef &)> lateStartWorkers = nullptr;
    SchedulingPolicies policies = {};
};

// A call to the policy service that a step needs before it can start.
struct PendingApproval
{
    uint64_t call = 0; // unique for each call of a dispatcher
    StepRef step;
    std::vector<WorkerId> workers; // candidates to name in the call
    double expectedPlaces = 0; // tasks that fit on the workers which are likely to be approved
    bool namesAll = false; // no candidate was left out
    bool renewal = false; // of approvals that the step does not need yet
    int32_t lateCalls = 0; // for the step since the last answer
    Duration decisionTime{0}; // ApprovalPolicy::decisionTime
    Duration expectedCallTime{0};
    Duration validity{0}; // of an approval
};

// A state change, for the log.
struct DispatchEvent
{
    std::string_view name; // stable name, for example "run_ended"
    std::string job; // may be empty
    std::string detail; // key=value fields
};
// Called synchronously by the dispatcher's functions.
using EventSink = std::function<void(const DispatchEvent &)>;

class Dispatcher
{
public:
    Dispatcher(DispatchOptions options, EventSink events);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    // Replaces the configuration. It applies from the next call on.
    void setCatalog(std::shared_ptr<const Catalog> catalog);
    // Sets the availability zones that operators have taken out. Nothing starts there.
    void setZonesOut(std::set<std::string> zones);

    // Adds a job; does nothing if the job is already known. `progress` holds the parts that earlier
    // schedulers stored. `mayBeRunning` means that an earlier scheduler may have started tasks of
    // the job without recording it; the job's tasks then start only once no worker is unreconciled
    // but those of setRecordedWorkers().
    // A terminal job whose progress does not tell when it ended is returned by takeProgress().
    void addJob(std::shared_ptr<const work::Submission> job,
                const std::vector<const work::Progress *> &progress, bool mayBeRunning);
    // Cancels a job and stops its runs. Does nothing if the job is unknown or terminal.
    void cancelJob(const std::string &id);
    // Ends a job as failed and stops its runs, because its progress cannot be stored. Does nothing
    // if the job is unknown or terminal.
    void giveUpJob(const std::string &id, const std::string &why);
    // Returns whether the job is known; see takeProgress() for when it is forgotten.
    bool hasJob(const std::string &id) const;
    // Sets the workers of an earlier scheduler that may have runs which no report has shown yet. A
    // task that was placed on one of them does not start until the worker leaves the set.
    void setUnreconciledWorkers(std::set<WorkerId> workers);
    // Sets the workers on which earlier schedulers have started nothing that the progress of jobs
    // does not tell. While they are unreconciled, they hold back only the tasks placed on them.
    void setRecordedWorkers(std::set<WorkerId> workers);

    // Adds or updates a worker from its registry entry. It gets starts once it has reported and is
    // reachable.
    void setWorker(const WorkerEntry &entry);
    // Adds a worker that an earlier scheduler used and that the registry does not list. It gets no
    // starts, but its runs are adopted.
    void adoptWorker(const WorkerId &id);
    // Handles the removal of a worker's registry entry. Its runs count as active until workerLost()
    // is called or a report shows otherwise.
    void removeWorker(const WorkerId &id);
    // Sets whether the worker answers calls. Nothing starts on a worker that does not.
    void setReachable(const WorkerId &id, bool reachable);
    // Requeues the runs of the worker but those that are named. Call it only once the leases of all
    // others have expired.
    void workerLost(const WorkerId &id, const std::set<RunRef> &mayBeActive = {});
    // Handles another worker at the address of this one, so that this one is gone with all its
    // runs. Unlike workerLost(), counts as a crash unless the worker was draining.
    void workerReplaced(const WorkerId &id, Instant now);
    // Reconciles the worker's runs with a report. Ignores a worker that is not known.
    void workerReported(const WorkerId &id, const RunReport &report, Instant now);
    // Handles the outcome of a start order.
    void startAnswered(const StartOrder &order, StartOutcome answer, Instant now);
    // Returns whether the order may still be sent: its run is still to be started there, and the
    // order is not older than MaxStartOrderAge. Ask right before each attempt to send it.
    bool isStartCurrent(const StartOrder &order, Instant now) const;
    // Handles a worker's confirmation of a stop order: the run can no longer start, and finishes
    // soon if it has started.
    void stopAnswered(const StopOrder &order, Instant now);
    // Returns the highest position in the worker's list of finished runs up to which all have been
    // processed and may be acknowledged.
    int64_t endPosition(const WorkerId &id) const;
    // Returns the start of the incarnation that the position belongs to, as Unix time in ms; 0 if
    // the worker has not reported.
    int64_t incarnationStart(const WorkerId &id) const;
    // Returns whether the worker has an active run or a pending start order.
    bool isBusy(const WorkerId &id) const;

    // Searches for steps that lack approvals, with one sort of the steps for several results. Valid
    // until another function than approvalRequested() is called.
    class ApprovalSearch
    {
    public:
        ~ApprovalSearch();
        ApprovalSearch(const ApprovalSearch &) = delete;
        ApprovalSearch &operator=(const ApprovalSearch &) = delete;
        // Returns a call for the most urgent step that lacks approvals. Each step gets one call
        // before any gets a second one. Skips routes whose ApprovalPolicy::decisionTime exceeds
        // `maxDecisionTime`. Call approvalRequested() when the call is sent.
        std::optional<PendingApproval> next(Duration maxDecisionTime);
        // Returns a call that renews approvals of a step which waits for room or for the limit of
        // its team. No step waits for the answer. Otherwise as next().
        std::optional<PendingApproval> nextRenewal(Duration maxDecisionTime);

    private:
        friend class Dispatcher;
        struct State;
        explicit ApprovalSearch(std::unique_ptr<State> state);
        std::unique_ptr<State> m_state;
    };
    ApprovalSearch searchPendingApprovals(Instant now, int64_t unixMs);
    // Returns whether a route has a policy whose ApprovalPolicy::decisionTime is at most this.
    bool hasApprovalsWithin(Duration maxDecisionTime) const;
    // Returns the first result of such a search.
    std::optional<PendingApproval> nextPendingApproval(Instant now, int64_t unixMs,
                                                       Duration maxDecisionTime);
    // Sets the callers of the policy service, for approvalLoad() and "task_overdue" events.
    void setApprovalCallers(const ApprovalCallers &callers);
    ApprovalLoad approvalLoad(Instant now, int64_t unixMs) const;
    // Records that the call was sent: until approvalAnswered() or approvalLate() is called for it,
    // its workers are named in no other call for the step.
    void approvalRequested(const PendingApproval &pending);
    // Handles a call whose answer is late: its workers may be named in another call. The answer
    // still counts if it comes.
    void approvalLate(const PendingApproval &pending);
    // Handles the answer to an approval call, null if the call failed. `at` is when the call was
    // sent; the validity of approvals counts from it.
    void approvalAnswered(const PendingApproval &pending, const std::vector<work::Approval> *answer,
                          Instant at, Instant now);

    // Returns the orders to send now. `unixMs` is the Unix time, which due times refer to.
    Orders decide(Instant now, int64_t unixMs);
    // Returns the earliest time after `now` at which decide() may return orders even if nothing
    // else is called before, or nullopt if there is no such time. At most an hour after `now`: for
    // a later event, ask again then.
    std::optional<Instant> nextEvent(Instant now, int64_t unixMs) const;

    // Adds the usage that an earlier scheduler has stored, decayed up to `heldMs`, the present held
    // time of the tenure. Does nothing without SchedulingPolicies::fairShare, as the next two.
    void restoreUsage(const work::Usage &usage, int64_t heldMs);
    // Returns the usage of client accounts to store; none if nothing was used since the last call.
    std::optional<work::Usage> takeUsage(int64_t heldMs);
    // Returns the past use of the client accounts relative to their share; see
    // UsageHistory::relativeUse().
    std::map<std::string, double> relativeUses() const;

    // Returns how many ready steps have nothing starting, for which reason and for how long.
    WaitingStepsByReason waitingSteps(Instant now, int64_t unixMs) const;
    // Returns what each client account has to wait for, for the admission of jobs.
    BacklogSummary backlog(Instant now, int64_t unixMs) const;
    // Emits a "task_overdue" event, with what they lack, for ready steps that have had nothing
    // starting for some seconds; a few steps in each call, by turns. Call it about once a second.
    void reportOverdueTasks(Instant now, int64_t unixMs);

    // Returns the parts of the jobs' progress that changed since the last call; a part other than
    // 0 without steps is to be removed. Store them in the given order: what was known of a job is
    // then complete at any time. Part 0 of a terminal job tells when it ended: `heldMs`, the
    // tenure's held time, of the first call that returned it as terminal; its parts name the
    // workers of its runs that are still being stopped. Forgets the jobs that are terminal and have
    // no active run.
    std::vector<work::Progress> takeProgress(int64_t heldMs);
    // Returns whether takeProgress() would return anything.
    bool hasProgress() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
