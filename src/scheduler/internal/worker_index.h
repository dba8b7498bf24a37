// Index of the workers that may take starts, ordered by utilization.
#pragma once

#include "base/ids.h"
#include "base/resources.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cardamompaddle::sched {

// Requirements of one task for a worker.
struct PlacementQuery
{
    Resources need;
    const std::vector<uint8_t> *closedZones = nullptr; // by zone number; 1: no start is allowed now
    const std::vector<int> *avoid = nullptr; // slots to exclude
};

// Each slot is one worker. Workers that may take starts are bucketed by whether they have a free
// accelerator (group) and by the free fraction of their scarcest resource, in steps of 1/32 of the
// capacity (level). Searches skip each level whose upper bound of free amounts is too small. Not
// thread-safe.
class WorkerIndex
{
public:
    static constexpr int Levels = 32;

    struct Entry
    {
        Resources free;
        Resources capacity;
        const WorkerId *id = nullptr; // owned by the caller, which outlives the entry
        int zone = 0;
        int rack = 0;
        int level = -1; // -1: not in the index
        int group = 0; // 1: has a free accelerator
    };

    // Inserts or updates the worker in `slot`; computes the level and group.
    void put(int slot, const Entry &entry);
    // Removes the worker from the index, and thus from all searches.
    void remove(int slot);

    int slots() const { return static_cast<int>(m_entries.size()); }
    const Entry &entry(int slot) const { return m_entries[static_cast<size_t>(slot)]; }
    bool contains(int slot) const { return slot < slots() && entry(slot).level >= 0; }
    bool fits(int slot, const PlacementQuery &query) const;

    // Calls `visit(slot)` for each worker of one level that fits the query, in slot order, until
    // `visit` returns false. Returns false if `visit` did.
    template <typename Visit>
    bool visitLevel(int group, int level, const PlacementQuery &query, Visit &&visit) const;

    // Position at the end of the log of changes. Only a change after it can make a search succeed
    // that fails now.
    uint64_t changes() const { return m_firstChangePosition + m_changes.size(); }
    // Returns true if no worker that changed since `position` fits the query, false also if the log
    // no longer reaches back to `position` or the check would take too long. Ignores closed zones
    // and avoided slots.
    bool nothingFitsSince(uint64_t position, const PlacementQuery &query) const;
    // Smallest position for which nothingFitsSince() can return true.
    uint64_t oldestChange() const { return m_firstChangePosition; }

private:
    struct Level
    {
        std::vector<uint64_t> members; // one bit per slot
        int count = 0;
        mutable Resources largest; // upper bound of the free amounts of its members
        mutable bool boundStale = false; // `largest` may be higher than necessary
    };

    static size_t levelNumber(int group, int level)
    {
        return static_cast<size_t>(group) * Levels + static_cast<size_t>(level);
    }
    Level &levelOf(const Entry &entry);
    const Level &level(int group, int level) const { return m_levels[levelNumber(group, level)]; }
    void removeFromLevel(int slot);
    void insertIntoLevel(int slot);
    void recomputeBound(const Level &level) const;
    void recordChange(int slot);
    bool isAllowed(const Entry &entry, int slot, const PlacementQuery &query) const;

    std::vector<Entry> m_entries;
    std::array<Level, size_t{2} * Levels> m_levels;
    std::vector<int> m_changes; // slots whose free capacity grew
    uint64_t m_firstChangePosition = 0;
};

template <typename Visit>
bool WorkerIndex::visitLevel(int group, int lvl, const PlacementQuery &query, Visit &&visit) const
{
    const Level &level = this->level(group, lvl);
    if (level.count == 0)
        return true;
    if (!query.need.fitsIn(level.largest))
        return true;
    bool found = false;
    for (size_t word = 0; word < level.members.size(); ++word) {
        for (uint64_t bits = level.members[word]; bits != 0; bits &= bits - 1) {
            const int slot = static_cast<int>(word * 64) + __builtin_ctzll(bits);
            const Entry &it = entry(slot);
            if (!query.need.fitsIn(it.free))
                continue;
            found = true;
            if (isAllowed(it, slot, query) && !visit(slot))
                return false;
        }
    }
    // The bound is recomputed only when it let a scan through that found nothing.
    if (!found && level.boundStale)
        recomputeBound(level);
    return true;
}

} // namespace cardamompaddle::sched
