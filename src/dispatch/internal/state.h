// Records of the dispatcher's state: jobs, steps, tasks, attempts and workers.
#pragma once

#include "dispatch/dispatcher.h"
#include "estimates/duration_model.h"

#include <array>
#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompaddle::dispatch {

struct Job;
struct Step;
struct Worker;

// An approval is used only if it stays valid for at least this long, because a start order takes
// time to reach the worker.
inline constexpr Duration ApprovalMargin{200};

// A gang that has waited for this long has precedence over other work of its priority.
inline constexpr Duration GangPatience{500};

// Returns what one task of the step requires.
Resources resourcesOfTask(const work::StepSpec &spec);

enum class AttemptPhase : uint8_t {
    Ordered, // the start order has no answer yet
    Running,
    Stopping, // a stop was requested
};

// One run of a task, from its start order until it has finished.
struct Attempt
{
    uint64_t serial = 0; // in order of creation; makes the order of sets deterministic
    Step *step = nullptr;
    Worker *worker = nullptr;
    int32_t index = 0;
    int64_t run = 0;
    AttemptPhase phase = AttemptPhase::Ordered;
    Instant orderedAt;
    // When the worker answered the last start or stop order, or first listed the run;
    // Instant::max() before that. A report requested later lists the run, or the run no longer
    // exists.
    Instant confirmedAt = Instant::max();
    Instant stopSentAt = Instant::min();
    int32_t percent = 0;
    int64_t loadMetric = 0;
    int32_t speedPercent = 100;
    Instant lastProgressAt; // when `percent` last changed, or the run was last throttled
    // When a report first showed an increase of `percent`, and the value it rose to. Progress is
    // measured from here, because a run that resumes from a checkpoint makes none at first.
    std::optional<Instant> firstProgressAt;
    int32_t firstProgressPercent = 0;
    Instant percentAt; // when a report last showed another `percent`, or the run was confirmed
    bool percentReported = false; // a report has shown `percent`
    bool started = false; // the worker has confirmed the start or listed the run
    bool survived = false; // too old to be blamed for a crash of its worker
    bool suspect = false; // its task had crashes on record when it was ordered
    // When it was stopped to make room for another step; see Dispatcher::Impl::m_roomStops.
    std::optional<Instant> roomStopAt;
    bool startAnswered = false; // `orderedAt` is when the worker answered the start order
    bool resumed = false; // from a checkpoint
    bool projected = false; // its progress was taken into account; see learnProgress()
    bool adopted = false; // started by an earlier scheduler
    bool isCopy = false; // ordered or adopted beside another run of its task

    // Whether the run can still start: neither its start nor a stop is confirmed.
    bool isStartUnresolved() const { return !started && confirmedAt == Instant::max(); }
};

// A run that had started shortly before its worker stopped answering.
struct LostRun
{
    TaskRef task;
    int64_t run = 0;
};

// What is needed to tell later whether a lost worker has crashed.
struct LostWorker
{
    std::string address; // IP:PORT
    int64_t startedAtMs = 0; // of the lost incarnation; Unix time
    bool drained = false;
    std::vector<LostRun> newRuns;
};

enum class TaskState : uint8_t { Waiting, Active, Succeeded };

struct Task
{
    TaskState state = TaskState::Waiting;
    std::set<int64_t> failedRuns; // run numbers; a gang records them in task 0
    // Numbers of the runs whose worker crashed soon after they had started. Emptied once a run has
    // survived.
    std::set<int64_t> crashedRuns;
    int64_t lastRun = 0; // highest run number ordered or reported
    Instant notBefore; // end of the backoff after a failure
    std::string checkpoint;
    WorkerId lastFailedOn; // worker of the last failed run; avoided if another fits
    WorkerId previousWorker; // worker that an earlier scheduler placed it on; may be empty
    // Further workers on which earlier schedulers may have left runs of it; see
    // dispatcher_copies.cc
    std::set<WorkerId> copyWorkers;
    int32_t copiesStarted = 0; // by this scheduler
    std::unique_ptr<Attempt> attempt; // set while Active
    std::optional<Instant> preemptedAt; // when a run of it was last stopped to make room
    // A second run; set only while `attempt` is, and only if StepSpec::copiesAllowed.
    std::unique_ptr<Attempt> copy;

    // The active runs; null for those that do not exist.
    std::array<Attempt *, 2> runs() const { return {attempt.get(), copy.get()}; }
};

// Compares records by a number instead of by address, so that equal calls give equal decisions.
template <auto Number>
struct CompareByMember
{
    template <typename T>
    bool operator()(const T *a, const T *b) const
    {
        return a->*Number < b->*Number;
    }
};
using AttemptSet = std::set<Attempt *, CompareByMember<&Attempt::serial>>;

// Why the tasks of a ready step do not start.
enum class WaitReason : uint8_t {
    None,
    TeamLimit, // the limit of its team is reached
    Approval, // no worker has a valid approval
    Room, // no eligible worker has enough free capacity
};
std::string_view waitReasonName(WaitReason reason);

// In the order in which steps of one priority are placed.
enum class UrgencyClass : uint8_t { InTime, Late, Expired };

struct KnownApproval
{
    std::string ticket;
    Instant expires;
};

// A call to the policy service that is in progress.
struct ApprovalCall
{
    std::set<WorkerId> workers;
    double expectedPlaces = 0; // see PendingApproval
    bool renewal = false; // see PendingApproval
};

// Steps that may need approvals, in the order in which they get calls.
struct ApprovalOrder
{
    // Ready steps with interrupted long-running tasks, and those that have waited too long.
    std::vector<Step *> overdue;
    std::vector<Step *> others;
};

// Workers without a valid approval that may run a step and are named in no call in progress, with
// the number of tasks that fit there.
struct ApprovalCandidates
{
    using List = std::vector<std::pair<int64_t, WorkerId>>;
    int64_t approvedPlaces = 0; // tasks that fit on workers with a valid approval
    List expired; // approved before
    List unknown; // not known to be approved or denied
    List full; // the same, without room, where runs could be stopped for the step
};

// One step of one occurrence of a job.
struct Step
{
    Job *job = nullptr;
    const work::StepSpec *spec = nullptr;
    int32_t occurrence = 0;
    int32_t number = 0;
    int64_t firstTask = 0; // number of task 0 among all tasks of the job
    std::vector<Task> tasks;
    int32_t waiting = 0;
    int32_t active = 0;
    int32_t stopping = 0; // of the active tasks, those whose run is being stopped
    int32_t succeeded = 0;
    int64_t longestRunMs = 0; // of runs that succeeded under this scheduler; 0 if none has
    // Of the same, but without adopted and resumed runs: number, run times, and their workers'
    // slowdowns.
    int32_t timedRuns = 0;
    int64_t timedRunsMs = 0;
    double timedRunsSlowdown = 0;
    WaitReason waitReason = WaitReason::None;
    // Since when decide() has found tasks that could start and has started none; unset while there
    // are no such tasks.
    std::optional<Instant> waitingSince;
    bool holds = false; // a gang for which places or limit are held
    std::optional<Instant> heldSince; // since when it has held something, with interruptions
    // The same for all ready steps, also those that decide() leaves out, as reportOverdueTasks()
    // has seen it.
    std::optional<Instant> readySince;
    Instant reportedAt = Instant::min(); // when reportOverdueTasks() last reported the step
    // When it next asks for runs to be stopped for its room; see dispatcher_preemption.cc. Counts
    // only while it waits for room.
    Instant roomSearchAt = Instant::min();
    bool gangBroken = false; // remaining members must finish before the gang starts again
    Resources taskResources; // required by one task
    int64_t expectedMs = 0; // run time of a task; see computeRemainingChains()
    // Expected run time of the longest chain from this step to the job's end.
    int64_t remainingChainMs = 0;
    StepTerm runTimes; // of EstimateStrategy::Learned
    double speedPreference = 0; // see placementFactor(); of the present decision
    std::map<WorkerId, int32_t> perWorker; // active tasks; bounded by maxPerWorker
    std::map<WorkerId, KnownApproval> approvals;
    std::set<WorkerId> deniedWorkers;
    std::map<uint64_t, ApprovalCall> approvalCalls; // by number; those that are not late
    Instant nextApprovalCallAt; // earliest time of the next approval call
    Instant nextRenewalCheckAt; // earliest time at which approvals are renewed
    // When a call for the step, other than a renewal, was last answered or failed.
    Instant approvalCallEndedAt = Instant::min();
    int32_t answeredApprovalCalls = 0;
    int32_t failedApprovalCalls = 0;
    int32_t lateApprovalCalls = 0; // since the last answer

    bool done() const { return succeeded == static_cast<int32_t>(tasks.size()); }
};

struct Job
{
    std::shared_ptr<const work::Submission> spec;
    uint64_t sequence = 0;
    work::JobState::type state = work::JobState::Queued;
    int64_t endedAtHeldMs = 0; // see work::Progress
    // Parts of the progress: those that have changed since takeProgress(), and those other than 0
    // that are stored.
    std::set<int32_t> dirtyParts;
    std::set<int32_t> storedParts;
    bool mayBeRunning = false;
    Resources *teamUse = nullptr; // resources in use by all jobs of its team
    std::vector<std::unique_ptr<Step>> steps; // by occurrence, then number
    int32_t active = 0;
    int64_t chainMs = 0; // expected run time of the longest chain of steps

    bool isTerminal() const { return state >= work::JobState::Completed; }
    Step *step(int32_t occurrence, int32_t number) const;
    int32_t occurrences() const { return std::max(1, spec->repetitions); }
};

// A part of a team's limit that is held for a gang.
struct HeldLimit
{
    Resources amount;
    bool strict = true; // false: work that uses less than half of the limit goes on beside it
};

// Peak of the resources that a team's tasks of one priority needed at the same time. It decays with
// time.
struct RecentDemand
{
    Resources peak;
    Instant at; // when `peak` was last updated
};

// The place of an account in the order of waiting work, the lowest first.
struct AccountRank
{
    int64_t weightedShareMillionths = 0; // of the fleet at present, by weight and past use
    int64_t pastUseMillionths = 0; // see UsageHistory::relativeUse(); 0 if it is not considered
    friend auto operator<=>(const AccountRank &,
                            const AccountRank &) = default; // NOLINT(modernize-use-nullptr)
};

using JobSet = std::set<Job *, CompareByMember<&Job::sequence>>;

// Places for tasks of a step on a worker where runs were stopped for it.
struct RoomReservation
{
    StepRef step;
    std::string team;
    Resources taskResources;
    int32_t places = 0;
    Instant expires;

    bool isFor(const Step &other) const
    {
        return step.step == other.number && step.occurrence == other.occurrence
               && step.job == other.job->spec->id;
    }
    Resources amount() const { return taskResources * places; }
};

// A finished run that is not acknowledged yet, because another run of its task may still start.
struct HeldEnd
{
    int64_t position = 0; // in the worker's list of finished runs
    TaskRef task;
};

struct Worker
{
    WorkerEntry entry;
    bool listed = false; // in the registry
    bool reported = false; // a report has shown its runs
    bool reachable = false;
    bool hasOrphanedRuns = false; // the last report listed orphaned runs
    // What the orphaned runs use, counted in the use of their teams until the next report.
    std::vector<std::pair<Resources *, Resources>> orphanedUse;
    Resources used;
    Resources held; // for a gang that waits; see dispatcher_holds.cc
    std::vector<RoomReservation> reservations; // see dispatcher_preemption.cc
    std::optional<int64_t> incarnationStartedAtMs; // from the last report; Unix time
    Instant restartedAt = Instant::min(); // when a report first showed the present incarnation
    Instant knownSince = Instant::max(); // the first report
    int64_t endPosition = 0; // highest position in its list of finished runs that was processed
    std::vector<HeldEnd> heldEnds; // by position
    bool moreEnded = false; // of the last report
    AttemptSet attempts;
    int32_t servingTasks = 0; // active tasks with a latency target
    int32_t idleCpuTasks = 0; // active tasks with usesIdleCpu
    Instant lastAnswerAt; // of the present incarnation: report or start
    int32_t newSuspects = 0; // suspect attempts that have not survived yet
    bool drained = false; // the present incarnation has been draining

    // Health.
    int32_t failuresInRow = 0;
    std::set<std::string> failedJobs; // jobs of the failures in a row
    int32_t avoidanceCount = 0; // since the last success; lengthens the next avoidance
    Instant avoidUntil = Instant::min(); // gets no starts before
    Instant slowUntil = Instant::min(); // considered slow until then
    double slowdown = 1; // smoothed ratio of run time to estimate; of EstimateStrategy::Declared
    WorkerTerm runTimes; // of the present incarnation; of EstimateStrategy::Learned
    std::optional<Instant> throttledAt; // when a throttle order was last issued

    // Whether nothing can be learned from the worker any more: it has left and holds no runs and no
    // ends that it has not listed.
    bool isDispensable() const { return !listed && attempts.empty() && !moreEnded; }
};

} // namespace cardamompaddle::dispatch
