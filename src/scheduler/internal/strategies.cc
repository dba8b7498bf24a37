// The placement strategies: pack, spread, first fit and random.
#include "scheduler/internal/worker_index.h"
#include "scheduler/placement.h"

#include <random>

namespace cardamompaddle {
namespace {

using sched::PlacementQuery;
using sched::WorkerIndex;

// Limit of workers compared within one level. Comparing more hardly changes the choice, since the
// workers of a level differ by at most 1/32 of their scarcest resource.
constexpr int MaxCandidatesPerLevel = 16;

// Fraction of each resource that is free after the start, summed over the resources, in millionths.
int64_t leftover(const WorkerIndex::Entry &entry, const Resources &need)
{
    int64_t sum = 0;
    const auto add = [&sum](int64_t free, int64_t wanted, int64_t capacity) {
        if (capacity > 0)
            sum += (free - wanted) * 1'000'000 / capacity;
    };
    add(entry.free.cpuMilli, need.cpuMilli, entry.capacity.cpuMilli);
    add(entry.free.memoryMb, need.memoryMb, entry.capacity.memoryMb);
    add(entry.free.accelerators, need.accelerators, entry.capacity.accelerators);
    add(entry.free.slots, need.slots, entry.capacity.slots);
    return sum;
}

// Returns the best slot among the first candidates of a level, or -1. `sign` 1 prefers the least
// free capacity after the start, -1 the most.
int bestOfLevel(const WorkerIndex &index, const PlacementQuery &query, int group, int level,
                int64_t sign)
{
    int best = -1;
    int64_t bestScore = 0;
    int seen = 0;
    index.visitLevel(group, level, query, [&](int slot) {
        const int64_t score = sign * leftover(index.entry(slot), query.need);
        if (best < 0 || score < bestScore
            || (score == bestScore && *index.entry(slot).id < *index.entry(best).id)) {
            best = slot;
            bestScore = score;
        }
        return ++seen < MaxCandidatesPerLevel;
    });
    return best;
}

// First group of workers to search: those without a free accelerator for tasks that need none.
int firstGroup(const PlacementQuery &query)
{
    return query.need.accelerators > 0 ? 1 : 0;
}

class Pack final : public PlacementStrategy
{
public:
    int choose(const WorkerIndex &index, const PlacementQuery &query) override
    {
        for (int group = firstGroup(query); group < 2; ++group) {
            for (int level = 0; level < WorkerIndex::Levels; ++level) {
                if (const int it = bestOfLevel(index, query, group, level, 1); it >= 0)
                    return it;
            }
        }
        return -1;
    }
};

class Spread final : public PlacementStrategy
{
public:
    int choose(const WorkerIndex &index, const PlacementQuery &query) override
    {
        for (int group = firstGroup(query); group < 2; ++group) {
            for (int level = WorkerIndex::Levels - 1; level >= 0; --level) {
                if (const int it = bestOfLevel(index, query, group, level, -1); it >= 0)
                    return it;
            }
        }
        return -1;
    }
};

// Chooses the worker with the lowest slot. Slots are assigned in the order of acquisition.
class FirstFit final : public PlacementStrategy
{
public:
    int choose(const WorkerIndex &index, const PlacementQuery &query) override
    {
        for (int slot = 0; slot < index.slots(); ++slot) {
            if (index.fits(slot, query))
                return slot;
        }
        return -1;
    }
};

class Random final : public PlacementStrategy
{
public:
    explicit Random(uint64_t seed) : m_engine(seed) { }

    int choose(const WorkerIndex &index, const PlacementQuery &query) override
    {
        m_fitting.clear();
        for (int slot = 0; slot < index.slots(); ++slot) {
            if (index.fits(slot, query))
                m_fitting.push_back(slot);
        }
        if (m_fitting.empty())
            return -1;
        return m_fitting[static_cast<size_t>(m_engine() % m_fitting.size())];
    }

private:
    std::mt19937_64 m_engine;
    std::vector<int> m_fitting;
};

} // namespace

std::unique_ptr<PlacementStrategy> makePlacementStrategy(PlacementPolicy policy, uint64_t seed)
{
    switch (policy) {
    case PlacementPolicy::Spread:
        return std::make_unique<Spread>();
    case PlacementPolicy::FirstFit:
        return std::make_unique<FirstFit>();
    case PlacementPolicy::Random:
        return std::make_unique<Random>(seed);
    case PlacementPolicy::Pack:
        break;
    }
    return std::make_unique<Pack>();
}

} // namespace cardamompaddle
