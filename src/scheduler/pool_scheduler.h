// Scheduler of one pool: decides which waiting work starts next and on which worker, and which
// running tasks are throttled or stopped for it.
//
// Performs no I/O and reads no clock: callers pass the present time, which must not go backwards.
// Deterministic: equal sequences of calls give equal decisions. Not thread-safe; owned by the
// control thread.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"
#include "config/tables.h"
#include "jobs/job.h"
#include "platform/types.h"
#include "scheduler/placement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

namespace sched {
class Core;
}

// Work of at least this urgency may preempt work of lower urgency if no worker has free capacity.
inline constexpr int32_t PreemptingUrgency = 7;

// A job or quick request as submitted to the scheduler of a pool.
struct WorkItem
{
    JobSpec spec;
    // Work that has not started by then is refused with DeadlineExceeded. Set for quick requests.
    std::optional<Instant> deadline;
    uint64_t sequence = 0; // order of submission within the pool; unique
    std::set<int32_t> finishedTasks; // indices of tasks that have already finished
    // By task index, the highest attempt number that an earlier owner may have started. A
    // non-repeatable task that has an entry never starts again.
    std::map<int32_t, int32_t> attemptsUsed;
    // The work was acknowledged earlier and is replayed by a new owner; it is never refused as
    // Overloaded or as too large.
    bool alreadyAccepted = false;
    // An earlier owner may have started tasks of it, so none starts here before allTasksKnown().
    bool mayBeRunning = false;
};

enum class DecisionKind { Start, Stop, Checkpoint, Throttle, RejectRequest, JobFailed };
// Returns a stable lower-case name, for example "reject_request".
std::string_view decisionKindName(DecisionKind kind);

// An action that the owner of the scheduler has to carry out. Comments name the kinds that set a
// field; for other kinds it is empty.
struct Decision
{
    DecisionKind kind = DecisionKind::Start;
    WorkerId worker; // Start, Stop, Checkpoint, Throttle
    StartTask start; // Start
    TaskAttempt target; // Stop, Checkpoint, Throttle
    int64_t cpuMilli = 0; // Throttle: the new upper bound of processor use
    JobKey job; // RejectRequest, JobFailed
    ErrorCode code = ErrorCode::Internal; // RejectRequest, JobFailed
    // RejectRequest: always No. JobFailed: No if no attempt can have run.
    Executed executed = Executed::No;
    std::string reason; // human-readable
};

// What the end of an attempt means for its job.
enum class TaskDisposition {
    Finished, // the task has finished
    WillRetry, // another attempt follows; nothing is to be reported to the caller yet
    JobFailed, // the job failed; the next decide() returns a JobFailed decision
    Dropped, // the job has ended or was never submitted here
    Stale, // the attempt was not known to be running; nothing changed
};

// Preconditions of starts, implemented by the owner. Answers may change between calls of decide().
class StartGate
{
public:
    virtual ~StartGate() = default;
    // Whether the team's limit allows `count` more running tasks at the same time.
    virtual bool mayStart(const std::string &team, int32_t count) = 0;
    // Whether the intent to start this task is durable. Called only if a worker has capacity for
    // the task. If it returns false, the owner makes the intent durable and a later decide() asks
    // again.
    virtual bool mayStartNonRepeatable(const TaskId &task) = 0;
    // Called after each decision to start a task of the team.
    virtual void startDecided(const std::string &team) = 0;
};

struct SchedulerOptions
{
    uint64_t seed = 1; // used by random placement only
    int maxStopsPerDecide = 256; // limit of stops and checkpoints in one decide()
    Duration checkpointGrace{300}; // from a checkpoint request to the stop that follows it
    Duration rampTime{3'000}; // time over which starts into a returning zone are limited
    Duration gangReservation{30'000}; // longest time for which a gang may reserve freed capacity
    Duration retryDelay{200}; // backoff before the second attempt; doubles with each further one
    int maxAttempts = 3; // failed attempts of a task after which its job fails
    // Attempt numbers start here. Successive owners of a pool use disjoint ranges of AttemptRange
    // numbers, since a worker runs each number at most once and may still report an old one.
    int32_t firstAttempt = 1;
    static constexpr int32_t AttemptRange = 2048;
    std::shared_ptr<const QueueOrder> order; // null selects makePolicyOrder()
};

// Rows of the operators' views. QueueRow: waiting and running work of one team on one route.
struct QueueRow
{
    std::string route;
    std::string team;
    int32_t waitingJobs = 0;
    int32_t waitingTasks = 0;
    int32_t runningTasks = 0;
    Duration oldestWait{0};
};
struct WorkerRow
{
    WorkerId worker;
    std::string availabilityZone;
    std::string rack;
    Resources capacity;
    Resources free; // free capacity as used for placement, including reserved capacity
    int32_t running = 0;
    bool lost = false; // the session is lost
    bool leaving = false;
    bool zoneOut = false;
    std::optional<Instant> quarantinedUntil;
};
struct WaitSample
{
    std::string route;
    std::string team;
    // From submission, from the end of a stopped attempt or from the due time of a retry, to the
    // start.
    Duration wait{0};
};
struct SchedulerCounters
{
    uint64_t starts = 0;
    uint64_t retries = 0;
    uint64_t preemptions = 0;
    uint64_t throttles = 0;
    uint64_t quarantines = 0;
    uint64_t refusedOverloaded = 0;
    uint64_t rejectedDeadline = 0;
    uint64_t jobsFailed = 0;
    uint64_t duplicateReports = 0; // reports of tasks of which another attempt may be running
};

class PoolScheduler
{
public:
    // Returns InvalidArgument if an option is out of range. If `strategy` is null, the strategy
    // follows the pool's `placement`, also after setPool().
    static Result<PoolScheduler> create(const PoolSpec &pool,
                                        std::unique_ptr<PlacementStrategy> strategy,
                                        SchedulerOptions options);
    PoolScheduler(PoolScheduler &&) noexcept;
    PoolScheduler &operator=(PoolScheduler &&) noexcept;
    ~PoolScheduler();

    // Configuration. Routes without an entry have the defaults of RouteSpec, teams without one have
    // share 1.
    void setPool(const PoolSpec &pool);
    void setRoutes(const std::map<std::string, RouteSpec> &routes);
    void setTeams(const std::map<std::string, TeamSpec> &teams);
    // Sets the dominant share in use in other pools, in millionths, by team. Replaces all earlier
    // values.
    void setRemoteUsage(const std::map<std::string, int64_t> &shares);
    // Replaces the set of zones that operators have taken out. Starts into a zone that is no longer
    // in the set are limited for SchedulerOptions::rampTime.
    void setZonesOut(const std::set<std::string> &zones, Instant now);
    // Reports that no unknown task is running: every worker was acquired, or the leases of any
    // unknown tasks have expired.
    void allTasksKnown(Instant now);

    // Queues work. Errors, all of which mean that it was not executed: Overloaded if the team's
    // queue on the route is full, InvalidArgument if the number of tasks or resources is out of
    // range or the known workers can never hold it, Conflict if the key is already in use.
    Result<void> submit(const WorkItem &item, Instant now);
    // Cancels the job. Its waiting tasks never start; its running tasks get Stop decisions in the
    // next calls of decide(). Unknown keys are ignored.
    void cancel(const JobKey &job, Instant now);
    // Whether the job has waiting or running tasks.
    bool hasJob(const JobKey &job) const;
    // Number of running tasks of the job, including uncertain ones.
    int32_t runningTasks(const JobKey &job) const;

    // The session of a worker was acquired and `running` are its tasks. Call taskEnded() first for
    // each finished task of the grant: uncertain tasks of the worker that are not in `running` are
    // handled as if their lease had expired.
    void workerAcquired(const WorkerInfo &worker, const std::vector<RunningTask> &running,
                        Instant now);
    // The worker's entry in the instance list changed: capacity, zone, rack or the leaving flag.
    void workerUpdated(const WorkerInfo &worker, Instant now);
    // The session of the worker was lost. Nothing starts there, and its tasks become uncertain:
    // they may still be running and do not start elsewhere before releaseUncertain().
    void workerLost(const WorkerId &worker, Instant now);
    // The lease of this uncertain attempt has expired, so its task may start elsewhere.
    TaskDisposition releaseUncertain(const TaskAttempt &attempt, Instant now);
    // Uncertain attempts on the worker, for the owner's lease timers.
    std::vector<TaskAttempt> uncertainTasks(const WorkerId &worker) const;

    // The worker reported the measured usage of its running tasks.
    void usageReported(const WorkerId &worker, const std::vector<RunningTask> &running,
                       Instant now);
    // The attempt ended on the worker.
    TaskDisposition taskEnded(const WorkerId &worker, const TaskAttempt &attempt,
                              TaskOutcome outcome, Instant now);
    // The attempt is known not to have run, for example because the worker refused the start. It
    // does not count towards SchedulerOptions::maxAttempts.
    void startRefused(const WorkerId &worker, const TaskAttempt &attempt, Instant now);

    // Runs one scheduling pass and returns about `max` decisions at most: a gang is started whole,
    // and throttles are returned with the starts that need them. Call again at once if `max` or
    // more were returned.
    std::vector<Decision> decide(Instant now, StartGate &gate, int max);
    // Earliest time at which decide() may return decisions if nothing else is called before; empty
    // if there is none.
    std::optional<Instant> nextEvent(Instant now) const;

    // Human-readable reason why the job is not running.
    std::string explainWaiting(const JobKey &job, Instant now) const;
    std::vector<QueueRow> queueRows(Instant now) const; // ordered by route and team
    std::vector<WorkerRow> workerRows(Instant now) const; // ordered by worker
    SchedulerCounters counters() const;
    // Dominant share in use in this pool, in millionths, by team; the input of setRemoteUsage() in
    // the other pools.
    std::map<std::string, int64_t> localUsage() const;
    // Number of running tasks by team, including uncertain ones.
    std::map<std::string, int32_t> runningByTeam() const;
    // Removes up to `count` running tasks of a team that is above its limit, the lowest urgency and
    // then the least lost progress first; each is checkpointed and then stopped. Tasks that are
    // already being removed count towards `count`. Requests and non-repeatable tasks are not
    // removed.
    void stopTeamExcess(const std::string &team, int32_t count, Instant now);
    // Returns the waiting times of the starts since the last call.
    std::vector<WaitSample> takeWaitSamples();

private:
    explicit PoolScheduler(std::unique_ptr<sched::Core> core);
    std::unique_ptr<sched::Core> m_core;
};

} // namespace cardamompaddle
