#include "scheduler/internal/worker_index.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// Length at which the log of changes is cleared; the next search is then a full one.
constexpr size_t MaxChangeLogLength = 4096;
// Beyond this number of changes, a full search is used instead of checking each change.
constexpr uint64_t MaxChangesChecked = 256;

// Returns the free fraction of the scarcest resource in units of 1/`steps`, 0 to `steps` - 1.
int64_t scarcestResourceLevel(const Resources &free, const Resources &capacity, int64_t steps)
{
    int64_t least = steps;
    const auto consider = [&least, steps](int64_t part, int64_t whole) {
        if (whole > 0)
            least = std::min(least, part * steps / whole);
    };
    consider(free.cpuMilli, capacity.cpuMilli);
    consider(free.memoryMb, capacity.memoryMb);
    consider(free.slots, capacity.slots);
    consider(free.connections, capacity.connections);
    return std::clamp<int64_t>(least, 0, steps - 1);
}

// Raises each component of `bound` to at least that of `by`.
void raise(Resources &bound, const Resources &by)
{
    bound.cpuMilli = std::max(bound.cpuMilli, by.cpuMilli);
    bound.memoryMb = std::max(bound.memoryMb, by.memoryMb);
    bound.accelerators = std::max(bound.accelerators, by.accelerators);
    bound.slots = std::max(bound.slots, by.slots);
    bound.connections = std::max(bound.connections, by.connections);
}

// Whether some component of `by` attains that of `bound`, so that removing it may lower the bound.
bool reaches(const Resources &bound, const Resources &by)
{
    return by.cpuMilli >= bound.cpuMilli || by.memoryMb >= bound.memoryMb
           || by.accelerators >= bound.accelerators || by.slots >= bound.slots
           || by.connections >= bound.connections;
}

} // namespace

WorkerIndex::Level &WorkerIndex::levelOf(const Entry &entry)
{
    return m_levels[levelNumber(entry.group, entry.level)];
}

void WorkerIndex::put(int slot, const Entry &entry)
{
    if (slot >= slots())
        m_entries.resize(static_cast<size_t>(slot) + 1);
    Entry &it = m_entries[static_cast<size_t>(slot)];
    const bool grew = it.level < 0 || !entry.free.fitsIn(it.free);
    removeFromLevel(slot);
    it = entry;
    it.level = static_cast<int>(scarcestResourceLevel(it.free, it.capacity, Levels));
    it.group = it.free.accelerators > 0 ? 1 : 0;
    insertIntoLevel(slot);
    if (grew)
        recordChange(slot);
}

void WorkerIndex::remove(int slot)
{
    if (!contains(slot))
        return;
    removeFromLevel(slot);
    m_entries[static_cast<size_t>(slot)].level = -1;
}

void WorkerIndex::insertIntoLevel(int slot)
{
    Level &level = levelOf(m_entries[static_cast<size_t>(slot)]);
    const size_t word = static_cast<size_t>(slot) / 64;
    if (word >= level.members.size())
        level.members.resize(word + 1);
    level.members[word] |= uint64_t{1} << (slot % 64);
    ++level.count;
    raise(level.largest, entry(slot).free);
}

void WorkerIndex::removeFromLevel(int slot)
{
    Entry &it = m_entries[static_cast<size_t>(slot)];
    if (it.level < 0)
        return;
    Level &level = levelOf(it);
    level.members[static_cast<size_t>(slot) / 64] &= ~(uint64_t{1} << (slot % 64));
    --level.count;
    if (level.count == 0) {
        level.largest = {};
        level.boundStale = false;
    } else if (reaches(level.largest, it.free)) {
        level.boundStale = true;
    }
}

void WorkerIndex::recomputeBound(const Level &level) const
{
    Resources largest;
    for (size_t word = 0; word < level.members.size(); ++word) {
        for (uint64_t bits = level.members[word]; bits != 0; bits &= bits - 1)
            raise(largest, entry(static_cast<int>(word * 64) + __builtin_ctzll(bits)).free);
    }
    level.largest = largest;
    level.boundStale = false;
}

void WorkerIndex::recordChange(int slot)
{
    if (m_changes.size() >= MaxChangeLogLength) {
        m_firstChangePosition += m_changes.size();
        m_changes.clear();
    }
    m_changes.push_back(slot);
}

bool WorkerIndex::isAllowed(const Entry &entry, int slot, const PlacementQuery &query) const
{
    if (query.closedZones != nullptr && (*query.closedZones)[static_cast<size_t>(entry.zone)] != 0)
        return false;
    return query.avoid == nullptr
           || std::find(query.avoid->begin(), query.avoid->end(), slot) == query.avoid->end();
}

bool WorkerIndex::fits(int slot, const PlacementQuery &query) const
{
    return contains(slot) && query.need.fitsIn(entry(slot).free)
           && isAllowed(entry(slot), slot, query);
}

bool WorkerIndex::nothingFitsSince(uint64_t position, const PlacementQuery &query) const
{
    if (position < m_firstChangePosition || changes() - position > MaxChangesChecked)
        return false;
    for (uint64_t at = position; at < changes(); ++at) {
        const int slot = m_changes[static_cast<size_t>(at - m_firstChangePosition)];
        if (contains(slot) && query.need.fitsIn(entry(slot).free))
            return false;
    }
    return true;
}

} // namespace cardamompaddle::sched
