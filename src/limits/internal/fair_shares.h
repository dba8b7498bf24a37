// Max-min fair division of an amount among claims.
#pragma once

#include <cstdint>
#include <vector>

namespace cardamompaddle::internal {

struct Claim
{
    int32_t floor = 0; // granted unconditionally; the floors must not exceed the amount in total
    int32_t demand = 0; // upper bound of the share, unless the floor is higher
    uint64_t lastGrant = 0; // units that cannot be divided evenly go to the lowest, then in order
};

// Returns the share of each claim. Every claim gets its floor; the remaining amount raises the
// smallest shares first, none above its demand.
std::vector<int32_t> fairShares(const std::vector<Claim> &claims, int64_t amount);

} // namespace cardamompaddle::internal
