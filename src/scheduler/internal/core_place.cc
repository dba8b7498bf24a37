// One scheduling pass: expired timers, removals, then starts in queue order.
#include "scheduler/internal/core.h"

#include <algorithm>
#include <limits>

namespace cardamompaddle::sched {
namespace {

// Limit of tasks of one job whose start intent is queried in one pass.
constexpr size_t MaxIntentQueriesPerJob = 64;
// Further samples are dropped until takeWaitSamples() is called.
constexpr size_t MaxWaitSamples = 100'000;

int urgencyOfClass(int queueClass)
{
    return queueClass / 4;
}

} // namespace

std::vector<Decision> Core::decide(Instant now, StartGate &gate, int max)
{
    m_now = now;
    ++m_pass;
    m_preemptionSearches = 0;
    m_decideAgain = false;
    m_removalStepsLeft = m_options.maxStopsPerDecide;
    std::vector<Decision> out;
    processTimers(now);
    flushOutbox(out, max);
    processRemovals(out, max);
    if (static_cast<int>(out.size()) < max) {
        placeWaiting(out, gate, max);
        // Throttles must be issued together with the starts that use the freed processors.
        flushOutbox(out, std::numeric_limits<int>::max());
        processRemovals(out, max);
    }
    return out;
}

void Core::processTimers(Instant now)
{
    m_zones.refresh(now);
    while (!m_quarantineEnds.empty() && m_quarantineEnds.begin()->first <= now) {
        const auto it = m_workers.find(m_quarantineEnds.begin()->second);
        m_quarantineEnds.erase(m_quarantineEnds.begin());
        if (it == m_workers.end())
            continue;
        Worker &worker = *it->second;
        updateIndexEntry(worker);
        if (!worker.connected) {
            worker.health = {};
            eraseWorkerIfGone(worker);
        }
    }
    updateAverages();
    expireReservations();
    expireDeadlines(now);
    requeueDelayed(now);
}

void Core::flushOutbox(std::vector<Decision> &out, int max)
{
    while (!m_outbox.empty() && static_cast<int>(out.size()) < max) {
        out.push_back(std::move(m_outbox.front()));
        m_outbox.pop_front();
    }
}

void Core::placeWaiting(std::vector<Decision> &out, StartGate &gate, int max)
{
    const bool policy = m_order->usesPolicyRules();
    bool reservationServed = !policy;
    const auto serveReservationAt = [&](int urgency) {
        const bool due = m_gangReservationOwner == nullptr
                         || m_gangReservationOwner->item.spec.urgency >= urgency;
        if (!reservationServed && due) {
            reservationServed = true;
            serveGangReservation(gate, out);
        }
    };
    m_queue.beginPass(m_index, m_pass);
    startReserved(out, gate, max);
    for (int it = m_queue.classBelow(QueueClasses); it >= 0; it = m_queue.classBelow(it)) {
        serveReservationAt(urgencyOfClass(it));
        while (static_cast<int>(out.size()) < max) {
            const bool mayPreemptNow = policy && urgencyOfClass(it) >= PreemptingUrgency
                                       && m_preemptionSearches < MaxPreemptionSearches;
            ShapeQueue *shapeQueue = m_queue.next(it, m_pass, mayPreemptNow);
            if (shapeQueue == nullptr)
                break;
            Job &job = *shapeQueue->head(m_pass);
            if (!gate.mayStart(job.team->name, 1)) {
                job.waitReason = WaitReason::TeamLimit;
                m_queue.blockTeam(job.team, m_pass);
            } else if (job.isGang()) {
                placeGang(job, gate, out);
            } else {
                placeTask(*shapeQueue, job, gate, out);
            }
        }
    }
}

// Starts tasks whose reserved capacity has become free, ahead of all other work.
void Core::startReserved(std::vector<Decision> &out, StartGate &gate, int max)
{
    const std::set<uint64_t> owners = m_reservationOwners;
    for (const uint64_t serial : owners) {
        Job &job = *m_jobsBySerial.at(serial);
        while (!job.isGang() && job.shapeQueue != nullptr && static_cast<int>(out.size()) < max
               && findReservedWorker(job) != nullptr && gate.mayStart(job.team->name, 1)) {
            const size_t before = out.size();
            placeTask(*job.shapeQueue, job, gate, out);
            if (out.size() == before)
                break;
        }
    }
}

void Core::placeTask(ShapeQueue &shapeQueue, Job &job, StartGate &gate, std::vector<Decision> &out)
{
    Worker *worker = findReservedWorker(job);
    const bool reserved = worker != nullptr;
    if (!reserved) {
        const int slot = chooseWorker(job);
        worker = slot >= 0 ? m_slots[static_cast<size_t>(slot)] : preemptReservation(job);
    }
    if (worker == nullptr) {
        handleNoCapacity(shapeQueue, job);
        return;
    }
    const int position = findStartableTask(job, gate);
    if (position < 0) {
        job.waitReason = WaitReason::IntentNotDurable;
        m_queue.skip(&shapeQueue, &job, m_pass);
        return;
    }
    if (reserved)
        consumeReservation(job, *worker);
    const int32_t index = job.waiting[static_cast<size_t>(position)];
    const Instant since = job.tasks[static_cast<size_t>(index)].since;
    removeWaiting(job, static_cast<size_t>(position));
    startTask(job, index, *worker, gate, out);
    recordStart(job, job.tasks[static_cast<size_t>(index)],
                *job.tasks[static_cast<size_t>(index)].attempt, since);
    // The capacity reserved for the task that has just started is no longer needed.
    if (job.reservations.size() > job.waiting.size()) {
        releaseReservations(job, job.waiting.size());
        m_decideAgain = true;
    }
}

int Core::findStartableTask(const Job &job, StartGate &gate) const
{
    const auto last = static_cast<int>(job.waiting.size()) - 1;
    if (job.item.spec.repeatable)
        return last;
    const int first = std::max(0, last + 1 - static_cast<int>(MaxIntentQueriesPerJob));
    for (int it = last; it >= first; --it) {
        if (gate.mayStartNonRepeatable({job.item.spec.key, job.waiting[static_cast<size_t>(it)]}))
            return it;
    }
    return -1;
}

// Returns the slot of a worker with capacity for one task of the job, or -1.
int Core::chooseWorker(const Job &job)
{
    PlacementQuery query{job.item.spec.perTask, m_zones.closed(), nullptr};
    if (job.shapeQueue->shape->blockedPass == m_pass)
        return -1;
    if (job.item.spec.kind == WorkKind::Service && m_order->usesPolicyRules())
        return chooseSpread(job, query);
    // A worker on probation runs one task at a time, so a gang cannot use it twice.
    m_avoidedSlots.clear();
    for (const Reservation &it : job.reservations) {
        if (job.isGang() && it.worker->health.onProbation(m_now))
            m_avoidedSlots.push_back(it.worker->slot);
    }
    const size_t mandatory = m_avoidedSlots.size();
    for (const WorkerRef &it : job.failedWorkers)
        m_avoidedSlots.push_back(it.slot);
    if (!m_avoidedSlots.empty()) {
        query.avoid = &m_avoidedSlots;
        if (const int slot = m_strategy->choose(m_index, query); slot >= 0)
            return slot;
        m_avoidedSlots.resize(mandatory);
        query.avoid = mandatory > 0 ? &m_avoidedSlots : nullptr;
    }
    const int slot = m_strategy->choose(m_index, query);
    if (slot < 0)
        recordNoCapacity(job, query);
    return slot;
}

// Records that no worker has capacity for the query, unless the job has reservations, which may be
// why the search failed.
void Core::recordNoCapacity(const Job &job, const PlacementQuery &query)
{
    if (!job.reservations.empty())
        return;
    const bool lasting = query.closedZones == nullptr;
    m_queue.markNoCapacity(query.need, lasting ? std::optional(m_index.changes()) : std::nullopt,
                           m_pass);
}

// Chooses the worker for a service task: the availability zone, then the rack, then the worker with
// the fewest tasks of the service; ties go to the fullest worker, then to the smallest id. Workers
// on which the job has failed come last.
int Core::chooseSpread(const Job &job, const PlacementQuery &query)
{
    std::map<int, int> zones;
    std::map<int, int> racks;
    std::map<int, int> workers;
    for (const Task &task : job.tasks) {
        if (!task.attempt)
            continue;
        const Worker &it = *task.attempt->worker;
        ++zones[it.zone];
        ++racks[it.rack];
        ++workers[it.slot];
    }
    const auto count = [](const std::map<int, int> &of, int key) {
        const auto it = of.find(key);
        return it == of.end() ? 0 : it->second;
    };
    using Score = std::tuple<int, int, int, int, int>;
    int best = -1;
    Score bestScore;
    for (int group = 0; group < 2; ++group) {
        for (int level = 0; level < WorkerIndex::Levels; ++level) {
            m_index.visitLevel(group, level, query, [&](int slot) {
                const WorkerIndex::Entry &it = m_index.entry(slot);
                const bool failedHere =
                    std::any_of(job.failedWorkers.begin(), job.failedWorkers.end(),
                                [slot](const WorkerRef &ref) { return ref.slot == slot; });
                const int avoid = failedHere ? 1 : 0;
                const bool wasted = group == 1 && query.need.accelerators == 0;
                const Score score{avoid, count(zones, it.zone), count(racks, it.rack),
                                  count(workers, slot), level + (wasted ? WorkerIndex::Levels : 0)};
                if (best < 0 || score < bestScore
                    || (score == bestScore && *it.id < *m_index.entry(best).id)) {
                    best = slot;
                    bestScore = score;
                }
                return true;
            });
        }
    }
    if (best < 0)
        recordNoCapacity(job, query);
    return best;
}

// Starts an attempt of the task, which the caller has removed from `job.waiting`. Checks the
// invariants that a start could violate.
void Core::startTask(Job &job, int32_t index, Worker &worker, StartGate &gate,
                     std::vector<Decision> &out)
{
    const JobSpec &spec = job.item.spec;
    Task &task = job.tasks[static_cast<size_t>(index)];
    invariant(!worker.zoneOut, "I5 no start in an availability zone that is out", worker.info.id);
    invariant(!worker.info.leaving, "I9 no start on a leaving worker", worker.info.id);
    invariant(worker.connected, "I2 no start without a session", worker.info.id);
    invariant(spec.repeatable || !task.mayHaveRun, "I8 work that may not be repeated starts once",
              spec.key.toString());
    const bool first = task.lastAttempt == 0;
    Attempt &it = addAttempt(job, index, nextAttemptNumber(task), worker);
    it.declared = spec.perTask;
    it.cpuLimit = spec.perTask.cpuMilli;
    it.cpuCharged = spec.perTask.cpuMilli;
    it.request = spec.kind == WorkKind::Request;
    it.repeatable = spec.repeatable;
    it.urgency = std::clamp(spec.urgency, 0, UrgencyLevels - 1);
    it.mayHaveRunBefore = task.mayHaveRun;
    it.startedAt = m_now;
    it.progressSince = m_now;
    it.probe = worker.health.onProbation(m_now);
    if (it.probe)
        worker.health.probeStarted();
    adjustUsage(it, 1);
    const Resources free = freeCapacity(worker) + worker.reserved;
    invariant(free.isNonNegative(), "I1 no instance is overcommitted",
              worker.info.id + " free " + free.toString());
    job.team->used += it.declared;
    updateShare(*job.team);
    updateIndexEntry(worker);
    m_zones.recordStart(worker.zone);
    gate.startDecided(job.team->name);
    if (first)
        m_retryBudget.recordFirstStart();

    Decision decision;
    decision.kind = DecisionKind::Start;
    decision.worker = worker.info.id;
    decision.start.task = {spec.key, index};
    decision.start.attempt = it.number;
    decision.start.declared = spec.perTask;
    decision.start.payload = spec.payload;
    decision.start.lease = m_pool.taskLease;
    decision.start.request = it.request;
    decision.start.repeatable = it.repeatable;
    decision.start.urgency = it.urgency;
    decision.start.fromCheckpoint = task.fromCheckpoint;
    task.mayHaveRun = true;
    out.push_back(std::move(decision));
}

void Core::recordStart(Job &job, Task &task, const Attempt &attempt, Instant since)
{
    task.since = attempt.startedAt;
    ++m_counters.starts;
    job.waitReason = WaitReason::NotEvaluated;
    if (m_waitSamples.size() < MaxWaitSamples)
        m_waitSamples.push_back({job.item.spec.route, job.team->name, m_now - since});
}

} // namespace cardamompaddle::sched
