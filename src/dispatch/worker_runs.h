// What workers report of themselves and of the runs of tasks, and the orders they get.
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
    // "JOB.OCCURRENCE.STEP"
    std::string toString() const;
};

// One task of a step.
struct TaskRef
{
    StepRef step;
    int32_t index = 0;
    friend auto operator<=>(const TaskRef &,
                            const TaskRef &) = default; // NOLINT(modernize-use-nullptr)
    // "JOB.OCCURRENCE.STEP.INDEX"
    std::string toString() const;
    // False if `text` does not have that form.
    static bool parse(const std::string &text, TaskRef &out);
};

// A worker's entry in the platform's registry.
struct WorkerEntry
{
    WorkerId id;
    std::string address; // IP:PORT
    std::string pool;
    std::string availabilityZone;
    std::set<std::string> labels; // its kind and its rack
    Resources capacity;
    bool draining = false;
    int64_t startedAtMs = 0; // Unix time; tells its lives apart
};

// Why a run ended.
enum class RunOutcome {
    Succeeded,
    Failed,
    Stopped, // by an order
    LeaseLapsed,
    GangBroken, // another member ended
    GangIncomplete, // the other members did not start in time
};
std::string_view runOutcomeName(RunOutcome outcome);

struct ActiveRun
{
    TaskRef task;
    int64_t run = 0;
    std::string checkpoint; // empty: none
    int32_t percent = 0; // done; of a long-running task 100 when it is at work
    int64_t gauge = 0; // latency tail in ms of a task with users, processor use of any other
};

struct EndedRun
{
    int64_t position = 0; // in the worker's list of ends
    TaskRef task;
    int64_t run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

// One look at a worker's lists.
struct RunReport
{
    Instant requestedAt; // when the request was sent: runs confirmed before it must be listed
    int64_t startedAtMs = 0;
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
};

struct StartOrder
{
    WorkerId worker;
    TaskRef task;
    int64_t run = 0;
    std::shared_ptr<const work::Submission> job;
    std::string checkpoint;
    std::string ticket; // approval; empty if the route needs none
};

struct StopOrder
{
    WorkerId worker;
    TaskRef task;
    int64_t run = 0;
};

// Lets a run work at a share of its speed.
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

// What is known of a start order after its call.
enum class StartOutcome {
    Started,
    NoRoom, // surely not started; the worker counts more in use than is known here
    StaleRun, // surely not started; a run with this or a higher number was there
    NoApproval, // surely not started; the ticket is not or no longer valid
    NotRun, // surely not started: the worker is not sound or cannot be reached
    NotSent, // the order was withdrawn
    Unknown, // no answer: may be carried out later
};
std::string_view startOutcomeName(StartOutcome answer);

// Stable lower-case name of a job's state, for example "completed".
std::string_view storedStateName(work::JobState::type state);

} // namespace cardamompaddle
