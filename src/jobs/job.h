// The specification of a job or quick request, and the states that callers see.
#pragma once

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"
#include "config/tables.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamompaddle {

// An admitted job or quick request: the caller's request combined with the settings of its route.
struct JobSpec
{
    JobKey key;
    std::string route;
    std::string pool;
    WorkKind kind = WorkKind::Batch;
    int32_t tasks = 1;
    int32_t urgency = 5;
    Resources perTask; // as declared by the caller; actual use may differ widely
    // True if a task may run again after an attempt whose outcome is unknown.
    bool repeatable = true;
    std::string payload;
    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

enum class JobState {
    Waiting, // accepted; no task is known to have started
    Running,
    Succeeded,
    Failed,
    Cancelled,
};
// The name of a state in records and in answers to callers, and its inverse.
std::string_view jobStateName(JobState state);
std::optional<JobState> jobStateFromName(std::string_view name);
// True for Succeeded, Failed and Cancelled.
bool isFinal(JobState state);

} // namespace cardamompaddle
