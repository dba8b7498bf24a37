// Holds for gangs: places on workers and a part of a team's limit that less urgent work may not
// take while a gang waits until all of its members can start together.
//
// Without holds, single tasks take what becomes free and a gang starts only if enough of it is free
// by chance. At most one gang of each pool holds places and at most one of each team holds limit,
// the most urgent ones, so little is idle; everything else goes to the work behind them.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

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
    Resources needed = step.taskResources;
    for (int32_t i = 0; i < maximum && needed.fitsIn(worker.entry.capacity)
                        && i < static_cast<int32_t>(step.tasks.size());
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

// Holds the limit of the gang's team, if the gang fits into it at all.
void Dispatcher::Impl::holdLimit(Step &step, const Resources &needed)
{
    const Resources *limit = limitOf(*step.job);
    if (limit == nullptr || m_heldLimit.contains(step.job->spec->team)
        || !fitsLimit(needed, *limit))
        return;
    m_heldLimit[step.job->spec->team] = needed;
    setHolds(step, true, 0);
}

// Holds places for all members of the gang on workers that may run it: those where the least has to
// become free first. Does nothing if there are not enough of them.
void Dispatcher::Impl::holdPlaces(Step &step, const WorkRoute &route, Instant now)
{
    if (m_poolsWithHolds.contains(route.pool))
        return;
    std::vector<Place> places;
    const auto consider = [&](Worker &worker) {
        if (isEligible(worker, step, route, now))
            appendPlaces(places, worker, step);
    };
    if (!route.approval) {
        for (const auto &[id, worker] : m_workers)
            consider(*worker);
    }
    // An expired approval is renewed once all places are free.
    for (const auto &[id, approval] : step.approvals) {
        if (const auto it = m_workers.find(id); route.approval && it != m_workers.end())
            consider(*it->second);
    }
    const size_t members = step.tasks.size();
    if (places.size() < members)
        return;
    std::partial_sort(places.begin(), places.begin() + static_cast<ptrdiff_t>(members),
                      places.end(),
                      [](const Place &a, const Place &b) { return a.rank() < b.rank(); });
    places.resize(members);
    int64_t free = 0;
    for (const Place &place : places) {
        place.worker->held += step.taskResources;
        const bool isFree = place.missingCpuMilli == 0 && place.missingMemoryMb == 0
                            && place.missingAccelerators == 0;
        free += isFree ? 1 : 0;
    }
    m_poolsWithHolds.insert(route.pool);
    setHolds(step, true, free);
}

// Records whether the gang holds anything, and logs an event when that changes.
void Dispatcher::Impl::setHolds(Step &step, bool holds, int64_t freePlaces)
{
    if (std::exchange(step.holds, holds) == holds)
        return;
    const StepRef ref{step.job->spec->id, step.occurrence, step.number};
    std::string detail = "step=" + ref.toString();
    if (holds)
        detail += " for=" + std::string(waitReasonName(step.waitReason)) + " tasks="
                  + std::to_string(step.tasks.size()) + " free=" + std::to_string(freePlaces);
    emitEvent(holds ? "hold_began" : "hold_ended", ref.job, detail);
}

} // namespace cardamompaddle
