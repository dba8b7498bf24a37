// Preemption: tasks of lower urgency are throttled or stopped, cheapest first, and only if this
// lets a more urgent task start.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// Limit of workers that one search plans in detail. Bounds the cost of a pass on a full pool.
constexpr int MaxWorkersCompared = 32;
// A failed search is not repeated for equal or harder requirements within this time.
constexpr Duration FailedSearchValidity{50};
// Percentage of its declared processors that a throttled task keeps.
constexpr int64_t ThrottledCpuPercent = 50;
// Lifetime of the reservation for the preempting task; victims stop well within it.
constexpr Duration PreemptionReservationTime{5'000};
// Fixed cost of stopping a task, in milliseconds, added to its lost progress.
constexpr int64_t StopCostMs = 100;

int64_t throttledCpuLimit(const Attempt &attempt)
{
    return std::max<int64_t>(attempt.declared.cpuMilli * ThrottledCpuPercent / 100, 1);
}

} // namespace

void Core::handleNoCapacity(ShapeQueue &shapeQueue, Job &job)
{
    job.waitReason =
        job.reservations.empty() ? WaitReason::NoCapacity : WaitReason::PreemptionInProgress;
    if (job.reservations.size() >= job.waiting.size()) {
        m_queue.skip(&shapeQueue, &job, m_pass); // every waiting task has a reservation
        return;
    }
    if (!tryPreemptFor(job, 1)) {
        m_queue.block(&shapeQueue, m_pass);
        return;
    }
    job.waitReason = WaitReason::PreemptionInProgress;
    if (findReservedWorker(job) == nullptr && job.reservations.size() >= job.waiting.size())
        m_queue.skip(&shapeQueue, &job, m_pass);
}

// Preempts tasks so that `places` tasks of the job can start. Changes nothing and returns false if
// that is not possible.
bool Core::tryPreemptFor(Job &job, size_t places)
{
    if (!m_order->usesPolicyRules() || job.item.spec.urgency < PreemptingUrgency
        || m_preemptionSearches >= MaxPreemptionSearches || hasNoVictims(job))
        return false;
    std::vector<PreemptionPlan> plans;
    std::vector<Worker *> taken;
    while (plans.size() < places && ++m_preemptionSearches <= MaxPreemptionSearches) {
        std::optional<PreemptionPlan> plan = findPreemption(job, taken);
        if (!plan) {
            m_failedVictimSearches.push_back(
                {m_now + FailedSearchValidity, job.item.spec.urgency, job.item.spec.perTask});
            return false;
        }
        taken.push_back(plan->worker);
        plans.push_back(std::move(*plan));
    }
    if (plans.size() < places)
        return false;
    for (const PreemptionPlan &it : plans)
        executePreemption(job, it);
    return true;
}

// Whether the counts of preemptible attempts or a recent failed search show that a search for
// victims would fail.
bool Core::hasNoVictims(const Job &job) const
{
    int64_t victims = 0;
    for (int it = 0; it < std::min(job.item.spec.urgency, UrgencyLevels); ++it)
        victims += m_preemptibleCounts[static_cast<size_t>(it)];
    if (victims == 0)
        return true;
    return std::any_of(m_failedVictimSearches.begin(), m_failedVictimSearches.end(),
                       [&](const FailedVictimSearch &it) {
                           return it.until > m_now && job.item.spec.urgency <= it.urgency
                                  && it.need.fitsIn(job.item.spec.perTask);
                       });
}

bool Core::mayPreempt(const Attempt &attempt, int32_t urgency) const
{
    return attempt.urgency < urgency && attempt.repeatable && !attempt.request && !attempt.uncertain
           && attempt.removal == RemovalStage::None;
}

// Finds the cheapest preemption among the first MaxWorkersCompared workers on which one may free
// enough capacity. The search begins after the worker chosen last, so that it reaches all workers
// in turn.
std::optional<Core::PreemptionPlan> Core::findPreemption(const Job &job,
                                                         const std::vector<Worker *> &taken)
{
    std::erase_if(m_failedVictimSearches,
                  [this](const FailedVictimSearch &it) { return it.until <= m_now; });
    const auto slots = static_cast<int>(m_slots.size());
    std::optional<PreemptionPlan> best;
    int compared = 0;
    for (int step = 0; step < slots && compared < MaxWorkersCompared; ++step) {
        Worker *worker = m_slots[static_cast<size_t>((m_nextVictimSlot + step) % slots)];
        if (worker == nullptr || !isEligible(*worker) || m_zones.isClosed(worker->zone)
            || std::find(taken.begin(), taken.end(), worker) != taken.end())
            continue;
        Resources maxHeadroom = headroomOn(*worker).declared;
        for (int it = 0; it < std::min(job.item.spec.urgency, UrgencyLevels); ++it)
            maxHeadroom += worker->preemptible[static_cast<size_t>(it)];
        if (!job.item.spec.perTask.fitsIn(maxHeadroom))
            continue;
        ++compared;
        std::optional<PreemptionPlan> plan = planPreemptionOn(*worker, job);
        const bool better =
            plan
            && (!best || plan->cost < best->cost
                || (plan->cost == best->cost && plan->worker->info.id < best->worker->info.id));
        if (better)
            best = std::move(plan);
    }
    if (best)
        m_nextVictimSlot = (best->worker->slot + 1) % slots;
    return best;
}

Core::Headroom Core::headroomOn(const Worker &worker) const
{
    const Resources &capacity = worker.info.capacity;
    Headroom headroom;
    headroom.declared = capacity - worker.declared - worker.reserved;
    headroom.declared.cpuMilli = capacity.cpuMilli * m_pool.overcommitCpuPercent / 100
                                 - worker.declared.cpuMilli - worker.reserved.cpuMilli;
    headroom.declared.memoryMb -= capacity.memoryMb * m_pool.reservePercent / 100;
    headroom.chargedCpu = capacity.cpuMilli * (100 - m_pool.reservePercent) / 100
                          - worker.cpuCharged - worker.reserved.cpuMilli;
    return headroom;
}

std::optional<Core::PreemptionPlan> Core::planPreemptionOn(Worker &worker, const Job &job) const
{
    PreemptionPlan plan;
    plan.worker = &worker;
    Headroom headroom = headroomOn(worker);
    if (planThrottle(worker, job, headroom, plan))
        return plan;
    std::vector<Attempt *> candidates;
    for (Attempt *it : worker.attempts) {
        if (mayPreempt(*it, job.item.spec.urgency))
            candidates.push_back(it);
    }
    // Least lost progress first, then the team furthest above its share, then the lowest urgency.
    const auto cheaper = [](const Attempt *a, const Attempt *b) {
        const int64_t shareA = a->job->team->weightedShare;
        const int64_t shareB = b->job->team->weightedShare;
        return std::tie(b->progressSince, shareB, a->urgency, a->job->item.spec.key, a->index)
               < std::tie(a->progressSince, shareA, b->urgency, b->job->item.spec.key, b->index);
    };
    std::sort(candidates.begin(), candidates.end(), cheaper);
    const Resources &need = job.item.spec.perTask;
    for (Attempt *it : candidates) {
        if (headroom.fits(need))
            break;
        headroom.add(*it, 1);
        plan.victims.push_back(it);
    }
    if (!headroom.fits(need))
        return std::nullopt;
    // Drop victims that are not needed, the most expensive ones first.
    for (size_t it = plan.victims.size(); it-- > 0;) {
        headroom.add(*plan.victims[it], -1);
        if (headroom.fits(need))
            plan.victims.erase(plan.victims.begin() + static_cast<std::ptrdiff_t>(it));
        else
            headroom.add(*plan.victims[it], 1);
    }
    for (const Attempt *it : plan.victims)
        plan.cost += StopCostMs + (m_now - it->progressSince).count();
    return plan;
}

bool Core::Headroom::fits(const Resources &need) const
{
    return need.fitsIn(declared) && need.cpuMilli <= chargedCpu;
}

void Core::Headroom::add(const Attempt &attempt, int sign)
{
    Resources freed = attempt.declared;
    freed.cpuMilli = attempt.cpuLimit;
    declared = sign > 0 ? declared + freed : declared - freed;
    chargedCpu += sign * attempt.cpuCharged;
}

// Plans to throttle tasks of lower urgency if processors are the only scarce resource. Throttling
// takes effect at once and loses no progress.
bool Core::planThrottle(Worker &worker, const Job &job, Headroom headroom,
                        PreemptionPlan &plan) const
{
    const Resources &need = job.item.spec.perTask;
    Resources others = headroom.declared;
    others.cpuMilli = need.cpuMilli;
    if (!need.fitsIn(others))
        return false;
    std::vector<Attempt *> victims;
    for (Attempt *it : worker.attempts) {
        if (headroom.fits(need))
            break;
        const int64_t least = throttledCpuLimit(*it);
        if (!mayPreempt(*it, job.item.spec.urgency) || it->cpuLimit <= least)
            continue;
        headroom.declared.cpuMilli += it->cpuLimit - least;
        headroom.chargedCpu += std::max<int64_t>(it->cpuCharged - least, 0);
        victims.push_back(it);
    }
    if (!headroom.fits(need))
        return false;
    plan.throttle = true;
    plan.victims = std::move(victims);
    return true;
}

void Core::executePreemption(Job &job, const PreemptionPlan &plan)
{
    for (Attempt *it : plan.victims) {
        if (plan.throttle) {
            throttle(*it, throttledCpuLimit(*it));
            continue;
        }
        ++m_counters.preemptions;
        requestRemoval(*it, RemovalReason::Preempted, m_options.checkpointGrace, true);
        it->preemptorSerial = job.serial;
    }
    addReservation(job, *plan.worker, m_now + PreemptionReservationTime);
}

void Core::throttle(Attempt &attempt, int64_t cpuMilli)
{
    adjustUsage(attempt, -1);
    attempt.cpuLimit = cpuMilli;
    attempt.cpuCharged = attempt.measured ? std::min(attempt.cpuCharged, cpuMilli) : cpuMilli;
    adjustUsage(attempt, 1);
    attempt.throttledAt = m_now;
    ++m_counters.throttles;
    Decision decision;
    decision.kind = DecisionKind::Throttle;
    decision.worker = attempt.worker->info.id;
    decision.target = {{attempt.job->item.spec.key, attempt.index}, attempt.number};
    decision.cpuMilli = cpuMilli;
    decision.reason = "processors are needed by work of higher urgency";
    m_outbox.push_back(std::move(decision));
}

} // namespace cardamompaddle::sched
