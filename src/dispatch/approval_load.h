// How busy the callers of the policy service are, as shown by logs and metrics.
#pragma once

#include "base/time.h"

#include <cstddef>

namespace cardamompaddle {

// Entry instances that make calls to the policy service.
struct ApprovalCallers
{
    size_t busy = 0; // with a call in progress, or left out after a failure
    size_t all = 0;
};

struct ApprovalLoad
{
    ApprovalCallers callers;
    // For how long the oldest of the ready steps that have had no call has waited; 0 if there is
    // none.
    Duration longestWaitForCall{0};
};

} // namespace cardamompaddle
