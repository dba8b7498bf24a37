#include "limits/internal/fair_shares.h"

#include <algorithm>
#include <numeric>

namespace cardamompaddle::internal {
namespace {

int32_t shareAt(const Claim &claim, int32_t level)
{
    return std::max(claim.floor, std::min(claim.demand, level));
}

int64_t totalAt(const std::vector<Claim> &claims, int32_t level)
{
    return std::accumulate(
        claims.begin(), claims.end(), int64_t{0},
        [level](int64_t sum, const Claim &it) { return sum + shareAt(it, level); });
}

// Returns the highest level (as in water-filling) at which the shares fit into the amount.
int32_t waterLevel(const std::vector<Claim> &claims, int64_t amount)
{
    int32_t low = 0;
    int32_t high = 0;
    for (const Claim &it : claims)
        high = std::max(high, it.demand);
    while (low < high) {
        const int32_t middle = low + (high - low + 1) / 2;
        if (totalAt(claims, middle) <= amount)
            low = middle;
        else
            high = middle - 1;
    }
    return low;
}

} // namespace

std::vector<int32_t> fairShares(const std::vector<Claim> &claims, int64_t amount)
{
    const int32_t level = waterLevel(claims, amount);
    std::vector<int32_t> shares;
    std::vector<size_t> unsatisfied;
    for (size_t n = 0; n < claims.size(); ++n) {
        shares.push_back(shareAt(claims[n], level));
        if (shares[n] == level && claims[n].demand > level)
            unsatisfied.push_back(n);
    }
    std::stable_sort(unsatisfied.begin(), unsatisfied.end(),
                     [&](size_t a, size_t b) { return claims[a].lastGrant < claims[b].lastGrant; });
    int64_t remainder = amount - std::accumulate(shares.begin(), shares.end(), int64_t{0});
    for (const size_t n : unsatisfied) {
        if (remainder-- <= 0)
            break;
        ++shares[n];
    }
    return shares;
}

} // namespace cardamompaddle::internal
