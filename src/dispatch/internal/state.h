// The records that the parts of the dispatcher share.
#pragma once

#include "dispatch/dispatcher.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle::dispatch {

struct Job;
struct Step;
struct Worker;

// An approval is used only while it is valid for so much longer; the start takes time to arrive.
inline constexpr Duration ApprovalMargin{200};

enum class AttemptPhase : uint8_t {
    Ordered, // the start has no answer yet
    Running,
    Stopping, // a stop was ordered
};

// One run of a task.
struct Attempt
{
    uint64_t serial = 0; // in order of creation; orders sets, whose order reaches the decisions
    Step *step = nullptr;
    Worker *worker = nullptr;
    int32_t index = 0;
    int64_t run = 0;
    AttemptPhase phase = AttemptPhase::Ordered;
    Instant orderedAt;
    Instant confirmedAt = Instant::max(); // start or stop answered: must be listed from then on
    Instant stopSentAt = Instant::min();
    int32_t percent = 0;
    int64_t gauge = 0;
    int32_t speedPercent = 100;
    Instant progressAt; // when `percent` last rose
    // When its percentage was first seen to rise, and to what. A run that resumes does not at
    // first.
    std::optional<Instant> watchedFrom;
    int32_t watchedPercent = 0;
    bool percentSeen = false; // in a report
};

enum class TaskState : uint8_t { Waiting, Active, Succeeded };

struct Task
{
    TaskState state = TaskState::Waiting;
    std::set<int64_t> failedRuns; // numbers; of a gang only task 0 has any
    int64_t lastRun = 0; // highest number that was ordered or seen
    Instant notBefore; // no start before, after a failure
    std::string checkpoint;
    WorkerId failedOn; // last worker on which it failed; avoided if another fits
    WorkerId placedBefore; // by an earlier scheduler; empty: nowhere
    std::unique_ptr<Attempt> attempt; // while Active
};

// Orders what it points to by its number, so that equal calls give equal decisions.
template <auto Number>
struct ByNumber
{
    template <typename T>
    bool operator()(const T *a, const T *b) const
    {
        return a->*Number < b->*Number;
    }
};
using AttemptSet = std::set<Attempt *, ByNumber<&Attempt::serial>>;

// Why tasks of a step whose turn has come do not start.
enum class WaitReason : uint8_t {
    None,
    TeamLimit, // its team runs as much as it may
    Approval, // no worker is approved at present
    Room, // the workers that may run it are full
};
std::string_view waitReasonName(WaitReason reason);

struct KnownApproval
{
    std::string ticket;
    Instant expires;
};

// One step of one occurrence.
struct Step
{
    Job *job = nullptr;
    const work::StepSpec *spec = nullptr;
    int32_t occurrence = 0;
    int32_t number = 0;
    std::vector<Task> tasks;
    int32_t waiting = 0;
    int32_t active = 0;
    int32_t succeeded = 0;
    int64_t longestRunMs = 0; // of the runs that succeeded under this scheduler; 0: none
    WaitReason waitsFor = WaitReason::None;
    bool gangBroken = false; // members still run that are to end before the next start
    Resources need; // of one task
    // Estimated run time of the longest chain from this step to the job's end.
    int64_t remainingChainMs = 0;
    std::map<WorkerId, int32_t> perWorker; // active tasks, for maxPerWorker
    // Approvals.
    std::map<WorkerId, KnownApproval> approvals;
    std::set<WorkerId> disapproved;
    bool asking = false;
    Instant askAfter; // no further call before

    bool done() const { return succeeded == static_cast<int32_t>(tasks.size()); }
};

struct Job
{
    std::shared_ptr<const work::Submission> spec;
    uint64_t sequence = 0;
    work::JobState::type state = work::JobState::Queued;
    bool mayBeRunning = false;
    Resources *teamUse = nullptr; // what all jobs of its team use
    std::vector<std::unique_ptr<Step>> steps; // by occurrence, then number
    int32_t active = 0;
    int64_t chainMs = 0; // estimated run time of the longest chain of steps

    bool isTerminal() const { return state >= work::JobState::Completed; }
    Step *step(int32_t occurrence, int32_t number) const;
    int32_t occurrences() const { return std::max(1, spec->repetitions); }
};

// What a team's tasks of one priority have needed at once; the memory of it fades.
struct RecentDemand
{
    Resources peak;
    Instant at; // of the peak
};

using JobSet = std::set<Job *, ByNumber<&Job::sequence>>;

struct Worker
{
    WorkerEntry entry;
    bool listed = false; // in the registry
    bool reported = false; // its runs are known
    bool reachable = false;
    bool unwantedRuns = false; // runs that no task wants have not ended yet
    Resources used;
    int64_t incarnationStartedAtMs = 0; // of the last report
    int64_t endPosition = 0;
    AttemptSet attempts;
    int32_t servingTasks = 0; // with a latency target
    int32_t idleCpuTasks = 0; // that use idle processors
    // Health.
    int32_t failuresInRow = 0;
    std::set<std::string> failedJobs; // jobs of these failures
    int32_t avoidanceCount = 0;
    Instant avoidUntil = Instant::min();
    Instant slowUntil = Instant::min(); // its runs are far slower than estimated
    double slowdown = 1; // run time against the estimate, smoothed; 1: as the others
    std::optional<Instant> pacedAt; // last change of a pace
};

} // namespace cardamompaddle::dispatch
