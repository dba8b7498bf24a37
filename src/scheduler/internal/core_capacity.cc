// Accounting of declared and measured resource usage, per worker and per team.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// A measured task is charged at least this percentage of its declared processors, even if idle.
constexpr int64_t MinChargedPercent = 10;
// Tasks are throttled or stopped when a worker's measured usage reaches this part of its capacity.
constexpr int64_t PressureThresholdPercent = 95;
// Time constant, update interval and weight of the moving average of a team's share.
constexpr Duration ShareAverageWindow{20'000};
constexpr Duration ShareAverageInterval{20};
constexpr int64_t ShareAverageWeight = 2;
// Time that a throttle is given to take effect before the task is stopped.
constexpr Duration ThrottleEffectDelay{1'000};
// Minimum time that a task stays throttled, which prevents oscillation.
constexpr Duration MinThrottleTime{10'000};

} // namespace

Team &Core::findOrAddTeam(const std::string &name)
{
    const auto [it, isNew] = m_teams.try_emplace(name);
    if (isNew) {
        it->second.name = name;
        const auto spec = m_teamSpecs.find(name);
        it->second.weight = spec == m_teamSpecs.end() ? 1 : std::max(spec->second.share, 1);
        const auto remote = m_remoteShares.find(name);
        it->second.remoteShare = remote == m_remoteShares.end() ? 0 : remote->second;
        updateShare(it->second);
    }
    return it->second;
}

// The queue order combines the current share with its moving average, so that a team that was below
// its share for a while, because its tasks were hard to place, is compensated.
void Core::updateShare(Team &team)
{
    team.share = dominantShareMillionths(team.used, m_totalCapacity) + team.remoteShare;
    team.weightedShare =
        (team.share + ShareAverageWeight * team.averageShare) * ShareScale / team.weight;
}

void Core::updateAverages()
{
    const int64_t passed = (m_now - m_sharesAveragedAt).count();
    if (passed < ShareAverageInterval.count())
        return;
    m_sharesAveragedAt = m_now;
    for (auto &[name, team] : m_teams) {
        const int64_t scaled = (team.share - team.averageShare) * passed;
        team.averageShare += scaled / (ShareAverageWindow.count() + passed);
        updateShare(team);
    }
}

void Core::updateShares()
{
    for (auto &[name, team] : m_teams) {
        const auto spec = m_teamSpecs.find(name);
        team.weight = spec == m_teamSpecs.end() ? 1 : std::max(spec->second.share, 1);
        const auto remote = m_remoteShares.find(name);
        team.remoteShare = remote == m_remoteShares.end() ? 0 : remote->second;
        updateShare(team);
    }
}

Resources Core::usableCapacity(const Resources &capacity) const
{
    Resources usable = capacity;
    const int64_t kept = 100 - m_pool.reservePercent;
    usable.cpuMilli = std::min(capacity.cpuMilli * m_pool.overcommitCpuPercent / 100,
                               capacity.cpuMilli * kept / 100);
    usable.memoryMb = capacity.memoryMb * kept / 100;
    return usable;
}

Resources Core::freeCapacity(const Worker &worker) const
{
    const Resources &capacity = worker.info.capacity;
    const int64_t kept = 100 - m_pool.reservePercent;
    Resources free = capacity - worker.declared;
    free.cpuMilli =
        std::min(capacity.cpuMilli * m_pool.overcommitCpuPercent / 100 - worker.declared.cpuMilli,
                 capacity.cpuMilli * kept / 100 - worker.cpuCharged);
    free.memoryMb = capacity.memoryMb * kept / 100 - worker.declared.memoryMb;
    return free -= worker.reserved;
}

bool Core::isEligible(const Worker &worker) const
{
    return worker.connected && !worker.info.leaving && !worker.zoneOut
           && worker.health.mayStart(m_now);
}

void Core::updateIndexEntry(Worker &worker)
{
    if (!isEligible(worker)) {
        m_index.remove(worker.slot);
        return;
    }
    WorkerIndex::Entry entry;
    entry.free = freeCapacity(worker);
    entry.capacity = worker.info.capacity;
    entry.id = &worker.info.id;
    entry.zone = worker.zone;
    entry.rack = worker.rack;
    m_index.put(worker.slot, entry);
}

// Adds (`sign` 1) or removes (`sign` -1) the usage of an attempt on its worker, and counts it among
// the preemptible attempts if it may be preempted.
void Core::adjustUsage(const Attempt &attempt, int sign)
{
    Worker &worker = *attempt.worker;
    Resources counted = attempt.declared;
    counted.cpuMilli = attempt.cpuLimit;
    if (sign > 0)
        worker.declared += counted;
    else
        worker.declared -= counted;
    worker.cpuCharged += sign * attempt.cpuCharged;
    if (attempt.repeatable && !attempt.request && attempt.removal == RemovalStage::None) {
        const auto urgency = static_cast<size_t>(attempt.urgency);
        if (sign > 0)
            worker.preemptible[urgency] += counted;
        else
            worker.preemptible[urgency] -= counted;
        m_preemptibleCounts[urgency] += sign;
    }
}

Attempt &Core::addAttempt(Job &job, int32_t index, int32_t number, Worker &worker)
{
    Task &task = job.tasks[static_cast<size_t>(index)];
    invariant(!task.attempt, "I2 a task starts only after its last attempt has surely ended",
              job.item.spec.key.toString());
    task.attempt = std::make_unique<Attempt>();
    Attempt &it = *task.attempt;
    it.job = &job;
    it.worker = &worker;
    it.index = index;
    it.number = number;
    task.state = TaskState::Running;
    task.lastAttempt = number;
    worker.attempts.push_back(&it);
    ++job.running;
    ++job.team->running;
    if (job.counts != nullptr)
        ++job.counts->running;
    return it;
}

void Core::removeAttempt(Attempt &attempt)
{
    Worker &worker = *attempt.worker;
    Job &job = *attempt.job;
    if (attempt.removal != RemovalStage::None)
        m_removals.erase({attempt.removalDue, attempt.removalOrder, &attempt});
    adjustUsage(attempt, -1);
    std::erase(worker.attempts, &attempt);
    job.team->used -= attempt.declared;
    updateShare(*job.team);
    --job.running;
    --job.team->running;
    if (job.counts != nullptr)
        --job.counts->running;
    Task &task = job.tasks[static_cast<size_t>(attempt.index)];
    task.state = TaskState::Waiting;
    task.attempt.reset();
}

void Core::usageReported(const WorkerId &id, const std::vector<RunningTask> &running, Instant now)
{
    m_now = now;
    const auto known = m_workers.find(id);
    if (known == m_workers.end() || !known->second->connected)
        return;
    Worker &worker = *known->second;
    Resources usage;
    for (const RunningTask &it : running) {
        usage += it.usage;
        Attempt *attempt = findAttempt({it.task, it.attempt});
        if (attempt != nullptr && attempt->worker == &worker)
            recordUsage(*attempt, it, now);
    }
    relieveResourcePressure(worker, usage, now);
    liftThrottles(worker, now);
    updateIndexEntry(worker);
}

void Core::recordUsage(Attempt &attempt, const RunningTask &report, Instant now)
{
    adjustUsage(attempt, -1);
    attempt.measured = true;
    const int64_t least = attempt.declared.cpuMilli * MinChargedPercent / 100;
    attempt.cpuCharged = std::max(report.usage.cpuMilli, least);
    if (attempt.cpuLimit < attempt.declared.cpuMilli)
        attempt.cpuCharged = std::min(attempt.cpuCharged, attempt.cpuLimit);
    adjustUsage(attempt, 1);
    if (report.checkpointed && !attempt.checkpointed) {
        attempt.checkpointed = true;
        attempt.progressSince = now;
        if (attempt.removal == RemovalStage::StopDue)
            scheduleRemoval(attempt, RemovalStage::StopDue, now);
    }
}

// If measured usage is near capacity, throttles the task of the lowest urgency. If that was not
// enough, or if memory is scarce, checkpoints and stops the task.
void Core::relieveResourcePressure(Worker &worker, const Resources &usage, Instant now)
{
    const Resources &capacity = worker.info.capacity;
    const bool memory = usage.memoryMb * 100 >= capacity.memoryMb * PressureThresholdPercent;
    const bool cpu = usage.cpuMilli * 100 >= capacity.cpuMilli * PressureThresholdPercent;
    if ((!memory && !cpu) || capacity.memoryMb == 0 || worker.attempts.size() < 2)
        return;
    Attempt *lowest = nullptr;
    int32_t highest = -1;
    for (Attempt *it : worker.attempts) {
        highest = std::max(highest, it->urgency);
        if (it->removal != RemovalStage::None)
            return; // a removal is already in progress
        if (it->repeatable && !it->request && (lowest == nullptr || it->urgency < lowest->urgency))
            lowest = it;
    }
    if (lowest == nullptr || (lowest->urgency == highest && !memory))
        return;
    const bool throttled = lowest->cpuLimit < lowest->declared.cpuMilli;
    if (!memory && !throttled)
        throttle(*lowest, std::max<int64_t>(lowest->declared.cpuMilli / 2, 1));
    else if (memory || now - lowest->throttledAt >= ThrottleEffectDelay)
        requestRemoval(*lowest, RemovalReason::ResourcePressure, m_options.checkpointGrace, true);
}

void Core::liftThrottles(Worker &worker, Instant now)
{
    for (Attempt *it : worker.attempts) {
        const int64_t lacking = it->declared.cpuMilli - it->cpuLimit;
        if (lacking <= 0 || it->removal != RemovalStage::None
            || now - it->throttledAt < MinThrottleTime)
            continue;
        if (freeCapacity(worker).cpuMilli >= lacking + worker.info.capacity.cpuMilli / 10)
            throttle(*it, it->declared.cpuMilli);
    }
}

} // namespace cardamompaddle::sched
