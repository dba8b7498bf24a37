// The kinds of jobs that callers hand in.
//
// No I/O and no clock.
#pragma once

#include "base/time.h"

#include <random>
#include <string>
#include <vector>

namespace cardamompaddle::soak {

struct PlannedTask
{
    std::string name; // JOB.OCCURRENCE.STEP.INDEX
    int step = 0; // starts after all tasks of the earlier steps
    Duration runTime{0};
};

struct JobPlan
{
    std::string id;
    std::vector<PlannedTask> tasks;
    bool longRunning = false; // the tasks run until the job is cancelled
    int maxPerWorker = 0; // tasks of a step on one worker; 0: no limit
    bool gang = false; // the tasks of a step work only together
};

// Sizes of the gangs.
struct GangSizes
{
    int largest = 5; // tasks
    int perWorker = 1; // tasks of a gang on one worker
};

// What each task takes from its worker.
inline constexpr int64_t TaskCpuMilli = 200;
inline constexpr int64_t TaskMemoryMb = 128;

// Returns whether the job is handed in by the route whose policy service has to approve workers.
bool needsApproval(const std::string &id);
// A job of a random kind.
JobPlan makeJobPlan(const std::string &id, std::mt19937_64 &random, const GangSizes &gangs);
// The request that hands the job in, as JSON.
std::string submissionOf(const JobPlan &plan);

} // namespace cardamompaddle::soak
