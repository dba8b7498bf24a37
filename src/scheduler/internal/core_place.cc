// One pass of decisions: what is due by time, removals, then starts in the order of the queue.
#include "scheduler/internal/core.h"

#include <algorithm>
#include <limits>

namespace cardamompaddle::sched {
namespace {

// Tasks of one job whose start intent may be asked for in one pass.
constexpr size_t MostIntents = 64;
// Samples beyond this are dropped if nobody takes them.
constexpr size_t MostWaitSamples = 100'000;

int urgencyOfClass(int queueClass)
{
    return queueClass / 4;
}

} // namespace

std::vector<Decision> Core::decide(Instant now, StartGate &gate, int max)
{
    m_now = now;
    ++m_pass;
    m_arrangements = 0;
    m_again = false;
    m_stopsLeft = m_options.maxStopsPerDecide;
    std::vector<Decision> out;
    advance(now);
    flush(out, max);
    stepRemovals(out, max);
    if (static_cast<int>(out.size()) < max) {
        placeWaiting(out, gate, max);
        // A throttle that made room goes out with the start that uses the room.
        flush(out, std::numeric_limits<int>::max());
        stepRemovals(out, max);
    }
    return out;
}

void Core::advance(Instant now)
{
    m_zones.refresh(now);
    while (!m_quarantines.empty() && m_quarantines.begin()->first <= now) {
        const auto it = m_workers.find(m_quarantines.begin()->second);
        m_quarantines.erase(m_quarantines.begin());
        if (it == m_workers.end())
            continue;
        Worker &worker = *it->second;
        refile(worker);
        if (!worker.connected) {
            worker.health = {};
            forgetIfGone(worker);
        }
    }
    updateAverages();
    expireHolds();
    expireDeadlines(now);
    wakeDelayed(now);
}

void Core::flush(std::vector<Decision> &out, int max)
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
    const auto serveFrom = [&](int urgency) {
        const bool due = m_reserved == nullptr || m_reserved->item.spec.urgency >= urgency;
        if (!reservationServed && due) {
            reservationServed = true;
            serveReservation(gate, out);
        }
    };
    m_queue.beginPass(m_index, m_pass);
    serveHolders(out, gate, max);
    for (int it = m_queue.classBelow(QueueClasses); it >= 0; it = m_queue.classBelow(it)) {
        serveFrom(urgencyOfClass(it));
        while (static_cast<int>(out.size()) < max) {
            const bool pressing = policy && urgencyOfClass(it) >= PreemptingUrgency
                                  && m_arrangements < MostArrangements;
            Lane *lane = m_queue.next(it, m_pass, pressing);
            if (lane == nullptr)
                break;
            Job &job = *lane->head(m_pass);
            if (!gate.mayStart(job.team->name, 1)) {
                job.obstacle = Obstacle::TeamLimit;
                m_queue.blockTeam(job.team, m_pass);
            } else if (job.isGang()) {
                placeGang(job, gate, out);
            } else {
                placeOne(*lane, job, gate, out);
            }
        }
    }
}

// Starts what room was made for, ahead of all else.
void Core::serveHolders(std::vector<Decision> &out, StartGate &gate, int max)
{
    const std::set<uint64_t> holders = m_holders;
    for (const uint64_t serial : holders) {
        Job &job = *m_bySerial.at(serial);
        while (!job.isGang() && job.lane != nullptr && static_cast<int>(out.size()) < max
               && usableHold(job) != nullptr && gate.mayStart(job.team->name, 1)) {
            const size_t before = out.size();
            placeOne(*job.lane, job, gate, out);
            if (out.size() == before)
                break;
        }
    }
}

void Core::placeOne(Lane &lane, Job &job, StartGate &gate, std::vector<Decision> &out)
{
    Worker *worker = usableHold(job);
    const bool held = worker != nullptr;
    if (!held) {
        const int slot = choose(job);
        worker = slot >= 0 ? m_slots[static_cast<size_t>(slot)] : takeFromHolders(job);
    }
    if (worker == nullptr) {
        noRoom(lane, job);
        return;
    }
    const int position = readyTask(job, gate);
    if (position < 0) {
        job.obstacle = Obstacle::IntentNotDurable;
        m_queue.skip(&lane, &job, m_pass);
        return;
    }
    if (held)
        consumeHold(job, *worker);
    const int32_t index = job.waiting[static_cast<size_t>(position)];
    const Instant since = job.tasks[static_cast<size_t>(index)].since;
    popWaiting(job, static_cast<size_t>(position));
    start(job, index, *worker, gate, out);
    noteStart(job, job.tasks[static_cast<size_t>(index)],
              *job.tasks[static_cast<size_t>(index)].attempt, since);
    // Room that was being made for the last task is no longer needed.
    if (job.holds.size() > job.waiting.size()) {
        releaseHolds(job, job.waiting.size());
        m_again = true;
    }
}

int Core::readyTask(const Job &job, StartGate &gate) const
{
    const auto last = static_cast<int>(job.waiting.size()) - 1;
    if (job.item.spec.repeatable)
        return last;
    const int first = std::max(0, last + 1 - static_cast<int>(MostIntents));
    for (int it = last; it >= first; --it) {
        if (gate.mayStartNonRepeatable({job.item.spec.key, job.waiting[static_cast<size_t>(it)]}))
            return it;
    }
    return -1;
}

// The slot of a worker with room for one task of the job, or -1.
int Core::choose(const Job &job)
{
    PlacementQuery query{job.item.spec.perTask, m_zones.closed(), nullptr};
    if (job.lane->shape->blockedPass == m_pass)
        return -1;
    if (job.item.spec.kind == WorkKind::Service && m_order->usesPolicyRules())
        return chooseSpread(job, query);
    // A worker on probation takes one task at a time, so a gang cannot use it twice.
    m_avoid.clear();
    for (const Hold &it : job.holds) {
        if (job.isGang() && it.worker->health.onProbation(m_now))
            m_avoid.push_back(it.worker->slot);
    }
    const size_t strict = m_avoid.size();
    for (const WorkerRef &it : job.failedOn)
        m_avoid.push_back(it.slot);
    if (!m_avoid.empty()) {
        query.avoid = &m_avoid;
        if (const int slot = m_strategy->choose(m_index, query); slot >= 0)
            return slot;
        m_avoid.resize(strict);
        query.avoid = strict > 0 ? &m_avoid : nullptr;
    }
    const int slot = m_strategy->choose(m_index, query);
    if (slot < 0)
        nothingFits(job, query);
    return slot;
}

// Remembers that a search found no room, unless it failed only because the job itself holds some.
void Core::nothingFits(const Job &job, const PlacementQuery &query)
{
    if (!job.holds.empty())
        return;
    const bool lasting = query.closedZones == nullptr;
    m_queue.noRoom(query.need, lasting ? std::optional(m_index.changes()) : std::nullopt, m_pass);
}

// A service goes to the availability zone, then the rack, then the worker with the fewest of its
// tasks; among equals to the fullest worker, then by id.
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
                    std::any_of(job.failedOn.begin(), job.failedOn.end(),
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
        nothingFits(job, query);
    return best;
}

// The task has left `waiting`. Checks the invariants that a start could break.
void Core::start(Job &job, int32_t index, Worker &worker, StartGate &gate,
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
    Attempt &it = attach(job, index, nextAttempt(task), worker);
    it.declared = spec.perTask;
    it.cpuAllowed = spec.perTask.cpuMilli;
    it.cpuCharged = spec.perTask.cpuMilli;
    it.request = spec.kind == WorkKind::Request;
    it.repeatable = spec.repeatable;
    it.urgency = std::clamp(spec.urgency, 0, Urgencies - 1);
    it.ranBefore = task.mayHaveRun;
    it.startedAt = m_now;
    it.progressFrom = m_now;
    it.probe = worker.health.onProbation(m_now);
    if (it.probe)
        worker.health.probeStarted();
    account(it, 1);
    const Resources free = freeOf(worker) + worker.held;
    invariant(free.isNonNegative(), "I1 no instance is overcommitted",
              worker.info.id + " free " + free.toString());
    job.team->used += it.declared;
    updateShare(*job.team);
    refile(worker);
    m_zones.started(worker.zone);
    gate.startDecided(job.team->name);
    if (first)
        m_budget.firstStart();

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

void Core::noteStart(Job &job, Task &task, const Attempt &attempt, Instant since)
{
    task.since = attempt.startedAt;
    ++m_counters.starts;
    job.obstacle = Obstacle::NotReached;
    if (m_waitSamples.size() < MostWaitSamples)
        m_waitSamples.push_back({job.item.spec.route, job.team->name, m_now - since});
}

} // namespace cardamompaddle::sched
