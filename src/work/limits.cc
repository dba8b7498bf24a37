#include "work/limits.h"

#include <algorithm>

namespace cardamompaddle {

Result<void> checkLimits(const work::Submission &job)
{
    if (job.repetitions < 0 || job.repetitions > MaxRepetitions)
        return Error{ErrorCode::InvalidArgument, "invalid number of repetitions"};
    if (job.intervalMs < 0 || job.intervalMs > MaxIntervalMs)
        return Error{ErrorCode::InvalidArgument, "invalid interval"};
    int64_t tasks = 0;
    for (const work::StepSpec &step : job.steps) {
        if (step.tasks < 0)
            return Error{ErrorCode::InvalidArgument, "invalid number of tasks"};
        tasks += step.tasks;
    }
    if (tasks * std::max(1, job.repetitions) > MaxTasksPerJob)
        return Error{ErrorCode::InvalidArgument,
                     "more than " + std::to_string(MaxTasksPerJob) + " tasks"};
    return {};
}

} // namespace cardamompaddle
