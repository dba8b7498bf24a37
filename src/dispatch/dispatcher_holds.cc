// Holds for gangs: places on workers and a part of a team's limit that less urgent work may not
// take while a gang waits until all of its members can start together.
//
// Without holds, single tasks take what becomes free and a gang starts only if enough of it is free
// by chance. At most one gang of each pool holds places and at most one of each team holds limit:
// of the gangs with the most urgent priority, the one that has waited longest. A hold is temporary,
// and it yields to work that has room or limit in plenty, so that no work waits for what never
// becomes free.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A gang that has held something for so long gives it up.
constexpr Duration MaxHoldTime{10'000};
// After this time, work of a team or on a pool that uses less than half of what it has goes on
// beside the hold.
constexpr Duration StrictHoldTime{2'000};

// A place for one member of a gang on a worker.
struct Place
{
    int64_t missingCpuMilli = 0; // what has to become free first
    int64_t missingMemoryMb = 0;
    int64_t missingAccelerators = 0;
    Worker *worker = nullptr;

    auto rank() const
    {
        return std::tie(missingAccelerators, missingCpuMilli, missingMemoryMb, worker->entry.id);
    }
};

// Appends the places that the worker has for members of the step once its other runs have ended.
void appendPlaces(std::vector<Place> &out, Worker &worker, const Step &step)
{
    const auto active = step.perWorker.find(worker.entry.id);
    const int32_t taken = active == step.perWorker.end() ? 0 : active->second;
    const int32_t maximum =
        step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker - taken : INT32_MAX;
    Resources capacity = worker.entry.capacity; // that becomes free in time
    for (const Attempt *attempt : worker.attempts) {
        if (attempt->step->spec->longRunning)
            capacity -= attempt->step->taskResources;
    }
    Resources needed = step.taskResources;
    for (int32_t i = 0;
         i < maximum && needed.fitsIn(capacity) && i < static_cast<int32_t>(step.tasks.size());
         ++i) {
        const Resources room = worker.entry.capacity - worker.used - worker.held;
        out.push_back({std::max<int64_t>(0, needed.cpuMilli - room.cpuMilli),
                       std::max<int64_t>(0, needed.memoryMb - room.memoryMb),
                       std::max<int64_t>(0, needed.accelerators - room.accelerators), &worker});
        needed += step.taskResources;
    }
}

} // namespace

void Dispatcher::Impl::resetHolds()
{
    m_poolsWithHolds.clear();
    m_heldLimit.clear();
    for (const auto &[id, worker] : m_workers)
        worker->held = {};
}

// Returns whether places or limit may be held for the gang.
bool Dispatcher::Impl::mayHold(const Step &step, Instant now) const
{
    return hasPrecedence(step, now) && blockingTask(step, now) == nullptr
           && now - step.heldSince.value_or(now) < MaxHoldTime;
}

Resources Dispatcher::Impl::longRunningUse(const std::string &team) const
{
    Resources out;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            if (job->spec->team == team && step->spec->longRunning)
                out += step->taskResources * step->active;
        }
    }
    return out;
}

// Returns whether less than half of the pool's capacity is in use.
bool Dispatcher::Impl::isBelowHalf(const std::string &pool) const
{
    Resources capacity;
    Resources used;
    for (const auto &[id, worker] : m_workers) {
        if (!worker->listed || worker->entry.pool != pool)
            continue;
        capacity += worker->entry.capacity;
        used += worker->used;
    }
    return 2 * used.cpuMilli < capacity.cpuMilli && 2 * used.memoryMb < capacity.memoryMb;
}

// Holds the limit of the gang's team, if the gang fits into it beside the team's long-running
// tasks. Returns whether it is held.
bool Dispatcher::Impl::holdLimit(Step &step, const Resources &needed, Instant now)
{
    const std::string &team = step.job->spec->team;
    const Resources *limit = limitOf(*step.job);
    const auto unreported = m_unreportedUse.find(team);
    // Of runs that no report has shown, more are counted than there are.
    const bool useIsKnown =
        unreported == m_unreportedUse.end() || unreported->second == Resources{};
    if (limit == nullptr || !useIsKnown || m_heldLimit.contains(team)
        || withinLimit(*step.job, needed) || !fitsLimit(needed + longRunningUse(team), *limit))
        return false;
    const bool strict = now - step.heldSince.value_or(now) < StrictHoldTime;
    m_heldLimit[team] = {needed, strict};
    return true;
}

// Holds places for all members of the gang on workers that may run it: those where the least has to
// become free first. Does nothing if there are not enough of them. Returns whether they are held.
bool Dispatcher::Impl::holdPlaces(Step &step, const WorkRoute &route, Instant now)
{
    const bool strict = now - step.heldSince.value_or(now) < StrictHoldTime;
    if (m_poolsWithHolds.contains(route.pool) || (!strict && isBelowHalf(route.pool)))
        return false;
    std::vector<Place> places;
    const auto consider = [&](Worker &worker) {
        if (isEligible(worker, step, route, now))
            appendPlaces(places, worker, step);
    };
    if (!route.approval) {
        for (const auto &[id, worker] : m_workers)
            consider(*worker);
    }
    // Expired approvals are renewed ahead while callers are idle, otherwise once all places are
    // free.
    for (const auto &[id, approval] : step.approvals) {
        const auto it = m_workers.find(id);
        if (route.approval && it != m_workers.end() && !step.deniedWorkers.contains(id))
            consider(*it->second);
    }
    const size_t members = step.tasks.size();
    if (places.size() < members)
        return false;
    std::partial_sort(places.begin(), places.begin() + static_cast<ptrdiff_t>(members),
                      places.end(),
                      [](const Place &a, const Place &b) { return a.rank() < b.rank(); });
    places.resize(members);
    for (const Place &place : places)
        place.worker->held += step.taskResources;
    m_poolsWithHolds.insert(route.pool);
    return true;
}

// Records whether the gang holds anything, and logs an event when that changes.
void Dispatcher::Impl::setHolds(Step &step, bool holds, Instant now)
{
    if (holds)
        step.heldSince = step.heldSince.value_or(now);
    if (std::exchange(step.holds, holds) == holds)
        return;
    const StepRef ref{step.job->spec->id, step.occurrence, step.number};
    emitEvent(holds ? "hold_began" : "hold_ended", ref.job,
              "step=" + ref.toString() + " for=" + std::string(waitReasonName(step.waitReason))
                  + " tasks=" + std::to_string(step.tasks.size()));
}

} // namespace cardamompaddle
