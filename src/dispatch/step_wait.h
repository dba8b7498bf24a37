// Why ready steps have nothing starting, as shown by logs and metrics.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cardamompaddle {

// The first reason that applies, in this order.
enum class StepWait : uint8_t {
    NoRoute, // the catalog does not contain the job's route
    JobMayRun, // an earlier scheduler may have started the job on workers that have not reported
    GangEnds, // members of a gang that was interrupted have not ended yet
    TaskMayRun, // a task may still run on a worker that has not reported
    Backoff, // a task failed and is retried later
    TeamLimit, // the limit of its team is reached
    Approval, // no worker has a valid approval
    Room, // the workers that may run it do not have enough free capacity
    Undecided, // the next scheduling pass decides
};
inline constexpr size_t StepWaitCount = 9;

// Stable name, for example "team_limit".
constexpr std::string_view stepWaitName(StepWait wait)
{
    constexpr std::array<std::string_view, StepWaitCount> Names = {
        "no_route",   "job_may_run", "gang_ends", "task_may_run", "backoff",
        "team_limit", "approval",    "room",      "undecided"};
    return Names.at(static_cast<size_t>(wait));
}

struct WaitingSteps
{
    int64_t count = 0;
    Duration longestWait{0};
};

// Ready steps that have nothing starting, indexed by StepWait.
using WaitingStepsByReason = std::array<WaitingSteps, StepWaitCount>;

} // namespace cardamompaddle
