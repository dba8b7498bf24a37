// Limits that every job keeps, so that no record of one exhausts the memory of its readers.
#pragma once

#include "base/result.h"
#include "work/gen/work_types.h"

#include <cstdint>

namespace cardamompaddle {

// Tasks of all steps and occurrences of a job.
inline constexpr int64_t MaxTasksPerJob = 100'000;
// Tasks of a job whose progress is stored in one record. A record of so many tasks stays below the
// size that the log takes, with the longest worker ids and dozens of failures of each task.
inline constexpr int64_t TasksPerProgressPart = 256;
// Parts of the progress of a job, numbered from 0.
inline constexpr int32_t MaxProgressParts =
    (MaxTasksPerJob + TasksPerProgressPart - 1) / TasksPerProgressPart;
// Occurrences of a job.
inline constexpr int64_t MaxRepetitions = 10'000;
// Time between two occurrences, about 30 years.
inline constexpr int64_t MaxIntervalMs = 1'000'000'000'000;

// Errors: InvalidArgument if the job is beyond a limit.
Result<void> checkLimits(const work::Submission &job);

} // namespace cardamompaddle
