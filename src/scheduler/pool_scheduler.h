// The policy of one pool: which waiting work starts next, on which worker, and what has to give
// way.
//
// Core: no I/O and no clock. Each call takes the present time, which must not go backwards. Equal
// sequences of calls give equal decisions. Not thread-safe; the control thread owns it.
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

// Work of this urgency or a higher one may displace work of lower urgency when there is no room.
inline constexpr int32_t PreemptingUrgency = 7;

// One job or quick request as handed to the pool's scheduler.
struct WorkItem
{
    JobSpec spec;
    // Of a quick request: work that has not started by then is refused with DeadlineExceeded.
    std::optional<Instant> deadline;
    uint64_t sequence = 0; // order of submission within the pool; unique
    std::set<int32_t> finishedTasks; // indices that need not run any more
    // Highest attempt number that may have been started for a task by an earlier owner. A task that
    // may not be repeated and has an entry here never starts again.
    std::map<int32_t, int32_t> attemptsUsed;
    // Work that was acknowledged earlier (replayed by a new owner): never refused as Overloaded or
    // as too large.
    bool alreadyAccepted = false;
    // An earlier owner may have started tasks of it. They start here only after allTasksKnown().
    bool mayBeRunning = false;
};

enum class DecisionKind { Start, Stop, Checkpoint, Throttle, RejectRequest, JobFailed };
// Stable lower-case name, for example "reject_request".
std::string_view decisionKindName(DecisionKind kind);

// One thing that the owner has to do. Fields that the kind does not name are empty.
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
    std::string reason; // why; for people
};

// What an ended attempt means for its job.
enum class TaskDisposition {
    Finished, // the task is done
    WillRetry, // another attempt follows; report nothing to the caller yet
    JobFailed, // a JobFailed decision follows with the next decide()
    Dropped, // the job was cancelled or is not known here
    Stale, // this attempt was not known as running; nothing changed
};

// Asked before each start; the answers may change between two calls of decide().
class StartGate
{
public:
    virtual ~StartGate() = default;
    // Whether the team's limit allows `count` more running tasks, all at once.
    virtual bool mayStart(const std::string &team, int32_t count) = 0;
    // Whether the intent to start this task is durable. Called only once the task would fit; if it
    // answers false the owner makes the intent durable and the task is asked for again later.
    virtual bool mayStartNonRepeatable(const TaskId &task) = 0;
    // A start of the team was decided.
    virtual void startDecided(const std::string &team) = 0;
};

struct SchedulerOptions
{
    uint64_t seed = 1; // of the random placement
    int maxStopsPerDecide = 256; // bounds the work of a wave of cancels
    Duration checkpointGrace{300}; // between a checkpoint and the stop that follows it
    Duration rampTime{3'000}; // over which starts into a returning zone grow to the full rate
    Duration gangReservation{30'000}; // longest time that one gang keeps freed capacity
    Duration retryDelay{200}; // before the second attempt; doubles with each further one
    int maxAttempts = 3; // attempts of a task that may end in failure
    // Attempts are numbered from here on. Owners of a pool that follow one another use different
    // ranges, since a worker runs one number at most once and may still report an old one.
    int32_t firstAttempt = 1;
    static constexpr int32_t AttemptRange = 2048;
    std::shared_ptr<const QueueOrder> order; // null: the policy's order
};

// Operators' rows.
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
    Resources free; // by the rule that starts obey
    int32_t running = 0;
    bool lost = false; // its session is lost
    bool leaving = false;
    bool zoneOut = false;
    std::optional<Instant> quarantinedUntil;
};
struct WaitSample
{
    std::string route;
    std::string team;
    Duration wait{0}; // from submission (or from the end of the last attempt) to the start
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
    uint64_t duplicateReports = 0; // a worker reported a task that is known to run elsewhere
};

class PoolScheduler
{
public:
    // Errors: InvalidArgument for options out of range. A null strategy: the one that the pool's
    // `placement` names, also after setPool.
    static Result<PoolScheduler> create(const PoolSpec &pool,
                                        std::unique_ptr<PlacementStrategy> strategy,
                                        SchedulerOptions options);
    PoolScheduler(PoolScheduler &&) noexcept;
    PoolScheduler &operator=(PoolScheduler &&) noexcept;
    ~PoolScheduler();

    // Configuration. A route that is not set has the defaults of RouteSpec; a team has share 1.
    void setPool(const PoolSpec &pool);
    void setRoutes(const std::map<std::string, RouteSpec> &routes);
    void setTeams(const std::map<std::string, TeamSpec> &teams);
    // Dominant share in use in other pools, millionths, by team. Replaces the last report.
    void setRemoteUsage(const std::map<std::string, int64_t> &shares);
    // Zones that operators have taken out, at present. Zones no longer named return with a ramp.
    void setZonesOut(const std::set<std::string> &zones, Instant now);
    // Every worker was acquired, or the lease of any unknown task has surely lapsed.
    void allTasksKnown(Instant now);

    // Queues work. Errors, all of which mean not executed: Overloaded if the team's queue of the
    // route is full, InvalidArgument if no known worker could ever hold it, Conflict if the key is
    // known here.
    Result<void> submit(const WorkItem &item, Instant now);
    // The caller has gone or wants the job no more. Waiting tasks never start; running ones get
    // Stop decisions over the next calls of decide(). Unknown keys are ignored.
    void cancel(const JobKey &job, Instant now);
    // Whether the job still has anything waiting or running here.
    bool hasJob(const JobKey &job) const;
    // Running tasks of the job, uncertain ones included.
    int32_t runningTasks(const JobKey &job) const;

    // The session of a worker was acquired. Call taskEnded() first for each finished task of the
    // grant: tasks placed here earlier that are neither in `running` nor ended are taken as lapsed.
    void workerAcquired(const WorkerInfo &worker, const std::vector<RunningTask> &running,
                        Instant now);
    // The instance list changed its entry: capacity, zone, rack or the leaving flag.
    void workerUpdated(const WorkerInfo &worker, Instant now);
    // The session was lost: nothing starts there, and its tasks are uncertain.
    void workerLost(const WorkerId &worker, Instant now);
    // The lease of this attempt has surely lapsed; it may start elsewhere. Returns its fate.
    TaskDisposition releaseUncertain(const TaskAttempt &attempt, Instant now);
    // Attempts on a worker whose session is lost, for the owner's lease timers.
    std::vector<TaskAttempt> uncertainTasks(const WorkerId &worker) const;

    // The worker measured its tasks.
    void usageReported(const WorkerId &worker, const std::vector<RunningTask> &running,
                       Instant now);
    TaskDisposition taskEnded(const WorkerId &worker, const TaskAttempt &attempt,
                              TaskOutcome outcome, Instant now);
    // The start surely did not run. It costs no attempt.
    void startRefused(const WorkerId &worker, const TaskAttempt &attempt, Instant now);

    // Decides what to do now, at most `max` decisions; a gang counts with all its tasks and may
    // exceed it. Call again at once if `max` were returned.
    std::vector<Decision> decide(Instant now, StartGate &gate, int max);
    // Earliest time at which decide() could do something without another call before it.
    std::optional<Instant> nextEvent(Instant now) const;

    // One sentence for people; names the rule that holds the job back.
    std::string explainWaiting(const JobKey &job, Instant now) const;
    std::vector<QueueRow> queueRows(Instant now) const; // ordered by route and team
    std::vector<WorkerRow> workerRows(Instant now) const; // ordered by worker
    SchedulerCounters counters() const;
    // Dominant share in use in this pool, millionths, by team; for the other owners.
    std::map<std::string, int64_t> localUsage() const;
    // Running tasks by team, uncertain ones included.
    std::map<std::string, int32_t> runningByTeam() const;
    // Attempts of the team that may be stopped to get below its limit, cheapest first, at most
    // `count`; each is asked to checkpoint and then stopped.
    void stopTeamExcess(const std::string &team, int32_t count, Instant now);
    // Waiting times since the last call.
    std::vector<WaitSample> takeWaitSamples();

private:
    explicit PoolScheduler(std::unique_ptr<sched::Core> core);
    std::unique_ptr<sched::Core> m_core;
};

} // namespace cardamompaddle
