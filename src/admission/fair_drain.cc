#include "admission/fair_drain.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace cardamompaddle {

std::vector<int64_t> fairDrain(const std::vector<DrainClaim> &claims, int64_t capacity)
{
    std::vector<int64_t> out(claims.size(), 0);
    std::vector<size_t> order(claims.size());
    std::iota(order.begin(), order.end(), size_t{0});
    const auto perWeight = [&claims](size_t i) {
        return static_cast<double>(claims[i].wanted) / claims[i].weight;
    };
    // Whoever wants least for its weight is satisfied first; the rest share what is left.
    std::ranges::stable_sort(
        order, [&perWeight](size_t a, size_t b) { return perWeight(a) < perWeight(b); });
    double weightLeft = 0;
    for (const DrainClaim &claim : claims)
        weightLeft += claim.weight;
    int64_t left = std::max<int64_t>(0, capacity);
    for (const size_t i : order) {
        const auto share =
            static_cast<int64_t>(static_cast<double>(left) * claims[i].weight / weightLeft);
        out[i] = std::min(claims[i].wanted, share);
        left -= out[i];
        weightLeft -= claims[i].weight;
    }
    return out;
}

} // namespace cardamompaddle
