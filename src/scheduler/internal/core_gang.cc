// Reservations of worker capacity, for gangs and during preemption, and the placement of gangs.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// Limit of reservations that one pass makes on workers that are still full. Each one scans all
// workers.
constexpr int MaxFutureReservationsPerPass = 4;

} // namespace

void Core::addReservation(Job &job, Worker &worker, Instant expires)
{
    job.reservations.push_back({&worker, job.item.spec.perTask, expires});
    worker.reserved += job.item.spec.perTask;
    m_reservationOwners.insert(job.serial);
    updateIndexEntry(worker);
}

// Releases all reservations of the job but the first `keep`.
void Core::releaseReservations(Job &job, size_t keep)
{
    while (job.reservations.size() > keep) {
        const Reservation reservation = job.reservations.back();
        job.reservations.pop_back();
        reservation.worker->reserved -= reservation.amount;
        updateIndexEntry(*reservation.worker);
    }
    if (job.reservations.empty())
        m_reservationOwners.erase(job.serial);
}

void Core::releaseReservationsOn(Worker &worker)
{
    const std::set<uint64_t> owners = m_reservationOwners;
    for (const uint64_t serial : owners) {
        Job &job = *m_jobsBySerial.at(serial);
        std::erase_if(job.reservations,
                      [&](const Reservation &it) { return it.worker == &worker; });
        if (job.reservations.empty())
            m_reservationOwners.erase(serial);
    }
    worker.reserved = {};
}

void Core::expireReservations()
{
    if (m_gangReservationOwner != nullptr && m_now >= m_gangReservationExpires)
        endGangReservation();
    const std::set<uint64_t> owners = m_reservationOwners;
    for (const uint64_t serial : owners) {
        Job &job = *m_jobsBySerial.at(serial);
        std::vector<Reservation> kept;
        for (const Reservation &it : job.reservations) {
            if (it.expires > m_now) {
                kept.push_back(it);
                continue;
            }
            it.worker->reserved -= it.amount;
            updateIndexEntry(*it.worker);
        }
        job.reservations = std::move(kept);
        if (job.reservations.empty())
            m_reservationOwners.erase(serial);
    }
}

bool Core::isReservationUsable(const Reservation &reservation) const
{
    const Worker &it = *reservation.worker;
    return isEligible(it) && !m_zones.isClosed(it.zone)
           && reservation.amount.fitsIn(freeCapacity(it) + it.reserved);
}

Worker *Core::findReservedWorker(const Job &job) const
{
    for (const Reservation &it : job.reservations) {
        if (isReservationUsable(it))
            return it.worker;
    }
    return nullptr;
}

void Core::consumeReservation(Job &job, const Worker &worker)
{
    const auto it =
        std::find_if(job.reservations.begin(), job.reservations.end(),
                     [&](const Reservation &reservation) { return reservation.worker == &worker; });
    it->worker->reserved -= it->amount;
    job.reservations.erase(it);
    if (job.reservations.empty())
        m_reservationOwners.erase(job.serial);
}

// Takes capacity that is reserved for a job of lower urgency. Returns the worker that now has free
// capacity for one task of `job`, or null.
Worker *Core::preemptReservation(const Job &job)
{
    for (const uint64_t serial : m_reservationOwners) {
        Job &owner = *m_jobsBySerial.at(serial);
        if (&owner == &job || owner.item.spec.urgency >= job.item.spec.urgency)
            continue;
        if (Worker *worker = preemptReservationOf(owner, job.item.spec.perTask); worker != nullptr)
            return worker;
    }
    return nullptr;
}

Worker *Core::preemptReservationOf(Job &owner, const Resources &need)
{
    for (const Reservation &it : owner.reservations) {
        Worker &worker = *it.worker;
        if (!isEligible(worker) || m_zones.isClosed(worker.zone))
            continue;
        Resources kept;
        for (const Reservation &other : owner.reservations) {
            if (other.worker == &worker)
                kept += other.amount;
        }
        if (!need.fitsIn(freeCapacity(worker) + kept))
            continue;
        while (!need.fitsIn(freeCapacity(worker)))
            consumeReservation(owner, worker);
        updateIndexEntry(worker);
        return &worker;
    }
    return nullptr;
}

// Reserves capacity for each waiting task and starts the gang if all tasks fit. Otherwise the new
// reservations are released, unless the job owns the gang reservation.
void Core::placeGang(Job &job, StartGate &gate, std::vector<Decision> &out)
{
    ShapeQueue *shapeQueue = job.shapeQueue;
    const size_t wanted = job.waiting.size();
    const bool ownsReservation = &job == m_gangReservationOwner;
    if (!gate.mayStart(job.team->name, static_cast<int32_t>(wanted))) {
        job.waitReason = WaitReason::TeamLimit;
        if (ownsReservation)
            endGangReservation();
        m_queue.block(shapeQueue, m_pass);
        return;
    }
    if (ownsReservation)
        moveUncoveredReservations(job);
    const size_t before = job.reservations.size();
    while (job.reservations.size() < wanted) {
        const int slot = chooseWorker(job);
        Worker *worker = slot >= 0 ? m_slots[static_cast<size_t>(slot)] : preemptReservation(job);
        if (worker == nullptr)
            break;
        addReservation(job, *worker, Instant::max());
    }
    const bool complete = job.reservations.size() >= wanted;
    if (complete && isGangReady(job, gate)) {
        startGang(job, gate, out);
        return;
    }
    job.waitReason = complete ? WaitReason::PreemptionInProgress : WaitReason::GangIncomplete;
    if (!ownsReservation)
        releaseReservations(job, before);
    if (!complete && !tryPreemptFor(job, wanted - job.reservations.size()) && ownsReservation)
        reserveFutureCapacity(job, wanted);
    m_queue.block(shapeQueue, m_pass);
}

// Whether the worker has free capacity for this reservation together with the earlier ones of the
// same job on it. `reservation` is an index into `job.reservations`.
bool Core::isReservationCovered(const Job &job, size_t reservation) const
{
    const Worker &worker = *job.reservations[reservation].worker;
    Resources own;
    for (size_t it = 0; it <= reservation; ++it) {
        if (job.reservations[it].worker == &worker)
            own += job.reservations[it].amount;
    }
    return isReservationUsable(job.reservations[reservation])
           && own.fitsIn(freeCapacity(worker) + worker.reserved);
}

// Moves reservations on workers that are still full to workers that have capacity now.
void Core::moveUncoveredReservations(Job &job)
{
    for (size_t it = 0; it < job.reservations.size(); ++it) {
        if (isReservationCovered(job, it))
            continue;
        const int slot = chooseWorker(job);
        if (slot < 0)
            return;
        Worker &from = *job.reservations[it].worker;
        Worker &to = *m_slots[static_cast<size_t>(slot)];
        from.reserved -= job.reservations[it].amount;
        to.reserved += job.reservations[it].amount;
        job.reservations[it].worker = &to;
        updateIndexEntry(from);
        updateIndexEntry(to);
    }
}

// Reserves capacity on the workers that are nearest to fitting a task, so that smaller tasks do not
// take the capacity as it becomes free.
void Core::reserveFutureCapacity(Job &job, size_t wanted)
{
    for (int it = 0; it < MaxFutureReservationsPerPass && job.reservations.size() < wanted; ++it) {
        Worker *worker = findWorkerNearestToFit(job);
        if (worker == nullptr)
            return;
        addReservation(job, *worker, Instant::max());
    }
}

Worker *Core::findWorkerNearestToFit(const Job &job) const
{
    Worker *best = nullptr;
    int64_t bestLack = 0;
    for (const auto &[id, worker] : m_workers) {
        if (!isEligible(*worker))
            continue;
        Resources headroom = usableCapacity(worker->info.capacity) - worker->reserved;
        for (const Attempt *it : worker->attempts) {
            const bool stays = it->job->submitted && it->job->item.spec.kind == WorkKind::Service;
            if (stays)
                headroom -= it->declared;
        }
        if (!job.item.spec.perTask.fitsIn(headroom))
            continue;
        const Resources free = freeCapacity(*worker);
        const Resources &capacity = worker->info.capacity;
        const int64_t lack = dominantShareMillionths(job.item.spec.perTask - free, capacity);
        if (best == nullptr || lack < bestLack) {
            best = worker.get();
            bestLack = lack;
        }
    }
    return best;
}

// Whether every reservation is covered by free capacity and every start intent is durable.
bool Core::isGangReady(const Job &job, StartGate &gate) const
{
    std::set<const Worker *> probed;
    for (size_t it = 0; it < job.reservations.size(); ++it) {
        // A worker on probation runs one task at a time.
        const Worker *worker = job.reservations[it].worker;
        const bool second = worker->health.onProbation(m_now) && !probed.insert(worker).second;
        if (second || !isReservationCovered(job, it))
            return false;
    }
    if (job.item.spec.repeatable)
        return true;
    bool ready = true;
    for (const int32_t it : job.waiting)
        ready = gate.mayStartNonRepeatable({job.item.spec.key, it}) && ready;
    return ready;
}

void Core::startGang(Job &job, StartGate &gate, std::vector<Decision> &out)
{
    if (&job == m_gangReservationOwner)
        m_gangReservationOwner = nullptr;
    std::vector<Worker *> workers;
    for (const Reservation &it : job.reservations)
        workers.push_back(it.worker);
    releaseReservations(job, 0);
    for (Worker *worker : workers) {
        if (job.waiting.empty())
            break;
        const int32_t index = job.waiting.back();
        const Instant since = job.tasks[static_cast<size_t>(index)].since;
        removeWaiting(job, job.waiting.size() - 1);
        startTask(job, index, *worker, gate, out);
        Task &task = job.tasks[static_cast<size_t>(index)];
        recordStart(job, task, *task.attempt, since);
    }
}

void Core::updateWaitingGangs(Job &job, bool waiting)
{
    if (!job.isGang() || !m_order->usesPolicyRules())
        return;
    const std::tuple<uint64_t, uint64_t, Job *> key{job.gangReservations, job.item.sequence, &job};
    if (waiting) {
        m_waitingGangs.insert(key);
        return;
    }
    m_waitingGangs.erase(key);
    if (&job == m_gangReservationOwner)
        m_gangReservationOwner = nullptr;
}

// Assigns the gang reservation if no gang owns it, to the gang that has owned it least often and
// was submitted first among those that have waited for the pool's gangWait. Then tries to place the
// owner, which keeps the capacity that has become free.
void Core::serveGangReservation(StartGate &gate, std::vector<Decision> &out)
{
    if (m_gangReservationOwner == nullptr) {
        for (const auto &[gangReservations, sequence, job] : m_waitingGangs) {
            if (m_now - job->queuedAt < m_pool.gangWait || job->waitReason == WaitReason::TeamLimit)
                continue;
            m_gangReservationOwner = job;
            m_gangReservationExpires = m_now + m_options.gangReservation;
            break;
        }
    }
    if (m_gangReservationOwner == nullptr)
        return;
    placeGang(*m_gangReservationOwner, gate, out);
}

// Takes the gang reservation from its owner and releases the reserved capacity. Requests another
// pass, in which the next gang may use both.
void Core::endGangReservation()
{
    Job &job = *m_gangReservationOwner;
    m_gangReservationOwner = nullptr;
    updateWaitingGangs(job, false);
    ++job.gangReservations;
    updateWaitingGangs(job, true);
    releaseReservations(job, 0);
    m_decideAgain = true;
}

} // namespace cardamompaddle::sched
