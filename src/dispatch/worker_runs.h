// References to steps and tasks, the reports of workers about their runs, and orders to workers.
#pragma once

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "work/gen/work_types.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// One step of one occurrence of a job.
struct StepRef
{
    std::string job;
    int32_t occurrence = 0;
    int32_t step = 0;
    friend auto operator<=>(const StepRef &,
                            const StepRef &) = default; // NOLINT(modernize-use-nullptr)
    // Returns "JOB.OCCURRENCE.STEP".
    std::string toString() const;
};

// One task of a step.
struct TaskRef
{
    StepRef step;
    int32_t index = 0;
    friend auto operator<=>(const TaskRef &,
                            const TaskRef &) = default; // NOLINT(modernize-use-nullptr)
    // Returns "JOB.OCCURRENCE.STEP.INDEX".
    std::string toString() const;
    // Parses the form that toString() returns. Returns false if `text` does not have it; `out` is
    // then unspecified.
    static bool parse(const std::string &text, TaskRef &out);
};

// One run of a task.
struct RunRef
{
    TaskRef task;
    int64_t run = 0;
    friend auto operator<=>(const RunRef &,
                            const RunRef &) = default; // NOLINT(modernize-use-nullptr)
};

// A worker's entry in the platform's registry.
struct WorkerEntry
{
    WorkerId id;
    std::string address; // IP:PORT
    std::string pool;
    std::string availabilityZone;
    std::set<std::string> labels; // its kind and rack
    Resources capacity;
    bool draining = false;
    int64_t startedAtMs = 0; // Unix time; identifies the worker's incarnation
};

// Why a run finished.
enum class RunOutcome {
    Succeeded,
    Failed,
    Stopped, // by a stop order
    LeaseLapsed,
    GangBroken, // the run of another gang member finished
    GangIncomplete, // the other members of the gang did not start in time
};
std::string_view runOutcomeName(RunOutcome outcome);

// A run that a worker reports as running.
struct ActiveRun
{
    TaskRef task;
    int64_t run = 0;
    std::string checkpoint; // empty if there is none
    int32_t percent = 0; // progress; 100 for a long-running task that is serving
    // Tail latency in ms of a task with a latency target; CPU use of any other task.
    int64_t loadMetric = 0;
};

// A run that a worker reports as finished.
struct EndedRun
{
    int64_t position = 0; // in the worker's list of finished runs
    TaskRef task;
    int64_t run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

// Result of one poll of a worker: its running tasks and the runs that have finished.
struct RunReport
{
    // When the poll was sent. A run that was confirmed before and is in neither list no longer
    // exists, unless `moreEnded` is set.
    Instant requestedAt;
    int64_t startedAtMs = 0; // of the worker's incarnation; Unix time
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
    // The worker may hold further finished runs, which it lists once these are acknowledged. Until
    // then, a run that is in neither list may have finished in any way.
    bool moreEnded = false;
};

// Starts a run of a task, from `checkpoint` if it is not empty.
struct StartOrder
{
    WorkerId worker;
    TaskRef task;
    int64_t run = 0;
    std::shared_ptr<const work::Submission> job;
    std::string checkpoint;
    std::string ticket; // of the approval; empty if the route needs none
    bool copy = false; // another run of the task is active
};

// Stops a run, or prevents a start that has not been carried out yet.
struct StopOrder
{
    WorkerId worker;
    TaskRef task;
    int64_t run = 0;
};

// Limits the speed of a run; 100 percent is full speed.
struct ThrottleOrder
{
    WorkerId worker;
    TaskRef task;
    int64_t run = 0;
    int32_t speedPercent = 100;
};

struct Orders
{
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<ThrottleOrder> throttles;
};

// Outcome of a start order. All outcomes but Started and Unknown guarantee that the run did not
// start.
enum class StartOutcome {
    Started,
    NoRoom, // the worker has more in use than the dispatcher accounts for
    StaleRun, // the worker has seen a run with this or a higher number
    NoApproval, // the ticket is invalid or has expired
    WorkerUnavailable, // the worker is unhealthy or unreachable
    Withdrawn, // the order was withdrawn before it was sent
    Unknown, // no answer; the worker may still carry out the order
};
std::string_view startOutcomeName(StartOutcome outcome);

// Returns the stable lower-case name of a job's state, for example "completed".
std::string_view jobStateName(work::JobState::type state);

} // namespace cardamompaddle
