// How many workers a call to the policy service names.
//
// A call takes longer the more workers it names, and is more likely to bring too few approvals the
// fewer it names, so that another call has to follow. Does no I/O and reads no clock.
#pragma once

#include "dispatch/catalog.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cardamompaddle {

// A worker that may be named.
struct ApprovalChance
{
    int64_t places = 0; // tasks of the step that fit there
    double probability = 0; // that it is approved; from 0 to 1
};

// Returns how many of the first candidates to name so that `needed` places are approved after the
// least time, if calls of that size are repeated until one of them brings enough. Returns the
// number of all candidates if not even all of them are likely to be enough.
size_t bestCallSize(const std::vector<ApprovalChance> &candidates, int64_t needed,
                    const ApprovalPolicy &policy);

} // namespace cardamompaddle
