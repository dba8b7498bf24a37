// Divides a capacity among client accounts by weight.
#pragma once

#include <cstdint>
#include <vector>

namespace cardamompaddle {

struct DrainClaim
{
    double weight = 1; // positive
    int64_t wanted = 0; // the account takes at most this
};

// Returns what each claim gets of `capacity`: weighted max-min fairness. What one does not want is
// divided among the others.
std::vector<int64_t> fairDrain(const std::vector<DrainClaim> &claims, int64_t capacity);

} // namespace cardamompaddle
