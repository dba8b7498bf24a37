// Chains of dependent steps of a job.
#pragma once

#include "base/time.h"
#include "work/gen/work_types.h"

namespace cardamompaddle {

// Returns the estimated run time of the job's longest chain of steps.
Duration longestChain(const work::Submission &job);

} // namespace cardamompaddle
