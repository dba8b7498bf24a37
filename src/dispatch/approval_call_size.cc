#include "dispatch/approval_call_size.h"

#include <algorithm>

namespace cardamompaddle {

namespace {

// A call with a lower chance of success is not planned for. Rounding would decide.
constexpr double MinChance = 1e-3;
// Above this number of places, the computation costs more than it saves: all candidates are named.
constexpr int64_t MaxComputedPlaces = 256;

// The probabilities of each number of approved places; the last entry is for at least that many.
class PlacesDistribution
{
public:
    explicit PlacesDistribution(int64_t needed) : m_chances(static_cast<size_t>(needed) + 1)
    {
        m_chances.front() = 1;
    }
    void add(const ApprovalChance &worker)
    {
        const size_t last = m_chances.size() - 1;
        const auto places = static_cast<size_t>(std::max<int64_t>(0, worker.places));
        for (size_t i = last + 1; i-- > 0;) {
            const double moved = m_chances[i] * worker.probability;
            m_chances[i] -= moved;
            m_chances[std::min(last, i + places)] += moved;
        }
    }
    double chanceOfEnough() const { return m_chances.back(); }

private:
    std::vector<double> m_chances;
};

} // namespace

size_t bestCallSize(const std::vector<ApprovalChance> &candidates, int64_t needed,
                    const ApprovalPolicy &policy)
{
    if (needed > MaxComputedPlaces)
        return candidates.size();
    PlacesDistribution places(std::max<int64_t>(1, needed));
    size_t best = candidates.size();
    double leastTime = 0; // in ms; 0: no size is planned for yet
    for (size_t n = 1; n <= candidates.size(); ++n) {
        places.add(candidates[n - 1]);
        const double chance = places.chanceOfEnough();
        if (chance < MinChance)
            continue;
        const double callTime = static_cast<double>(policy.decisionTime.count())
                                + policy.perWorkerMs * static_cast<double>(n);
        const double time = callTime / chance;
        if (leastTime == 0 || time < leastTime) {
            leastTime = time;
            best = n;
        }
    }
    return best;
}

} // namespace cardamompaddle
