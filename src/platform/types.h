// Workers and tasks as described in messages to and from the platform.
#pragma once

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// One entry of the platform's instance list, which may be out of date.
struct WorkerInfo
{
    WorkerId id;
    std::string address; // IP:PORT of the worker's interface
    std::string availabilityZone;
    std::string rack;
    std::map<std::string, std::string> labels;
    Resources capacity;
    bool leaving = false; // must not receive new work

    friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

// How one attempt of a task ended.
enum class TaskOutcome {
    Succeeded,
    Failed, // the task ran and reported a failure
    Stopped, // ended by a stop command; a checkpoint may exist
    LeaseLapsed, // the worker ended it because its lease was not renewed
};

// Returns the stable lower-case name, for example "lease_lapsed".
std::string_view taskOutcomeName(TaskOutcome outcome);
// Inverse of taskOutcomeName; empty for an unknown name.
std::optional<TaskOutcome> taskOutcomeFromName(std::string_view name);

// A task that a worker is running, as the worker reports it.
struct RunningTask
{
    TaskId task;
    int32_t attempt = 0;
    Resources declared; // as sent with the start
    Resources usage; // last measurement by the worker; may be out of date
    bool request = false; // a quick request rather than a task of a job
    bool repeatable = true;
    int32_t urgency = 0;
    Duration sinceStart{0};
    bool checkpointed = false; // a checkpoint exists from which a new attempt can resume

    friend bool operator==(const RunningTask &, const RunningTask &) = default;
};

// A finished task, which the worker reports until it is acknowledged.
struct FinishedTask
{
    TaskId task;
    int32_t attempt = 0;
    TaskOutcome outcome = TaskOutcome::Failed;
    std::string output; // the complete output, or the reason for a failure
    bool request = false;
};

// The start of one attempt. A worker runs a (task, attempt) at most once.
struct StartTask
{
    TaskId task;
    int32_t attempt = 0;
    Resources declared;
    std::string payload;
    Duration lease{0}; // the worker stops the task this long after the stamp of the last renewal
    bool request = false;
    bool repeatable = true;
    int32_t urgency = 0;
    bool fromCheckpoint = false;
};

// Identifies one attempt of a task in a command.
struct TaskAttempt
{
    TaskId task;
    int32_t attempt = 0;
    friend auto operator<=>(const TaskAttempt &,
                            const TaskAttempt &) = default; // NOLINT(modernize-use-nullptr)
};

// Changes the processor limit of a running task.
struct ThrottleTask
{
    TaskAttempt target;
    int64_t cpuMilli = 0; // new limit, thousandths of a core
};

} // namespace cardamompaddle
