// What operators see.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// How often starts into a returning zone are looked at again.
constexpr Duration RampStep{20};
// How often delayed tasks look for retry budget.
constexpr Duration BudgetStep{100};

} // namespace

std::optional<Instant> Core::nextEvent(Instant now) const
{
    std::optional<Instant> first;
    const auto consider = [&first](Instant at) { first = first ? std::min(*first, at) : at; };
    if (!m_outbox.empty() || m_again)
        consider(now);
    if (!m_removals.empty())
        consider(std::get<0>(*m_removals.begin()));
    if (!m_delayed.empty()) {
        const Instant due = std::get<0>(*m_delayed.begin());
        consider(due <= now ? now + BudgetStep : due);
    }
    if (!m_deadlines.empty())
        consider(std::get<0>(*m_deadlines.begin()));
    if (!m_quarantines.empty())
        consider(m_quarantines.begin()->first);
    for (const uint64_t serial : m_holders) {
        for (const Hold &it : m_bySerial.at(serial)->holds)
            consider(it.expires);
    }
    if (m_reserved != nullptr)
        consider(m_reservedUntil);
    else if (!m_gangs.empty())
        consider(
            std::max(std::get<2>(*m_gangs.begin())->queuedAt + m_pool.gangWait, now + BudgetStep));
    if (m_zones.ramping() && m_queue.classBelow(QueueClasses) >= 0)
        consider(now + RampStep);
    return first;
}

std::string Core::explainWaiting(const JobKey &key, Instant now) const
{
    const auto it = m_jobs.find(key);
    if (it == m_jobs.end())
        return "job " + key.toString() + " is not known in pool " + m_pool.name;
    const Job &job = *it->second;
    if (job.ended)
        return "has ended; " + std::to_string(job.running) + " tasks are being stopped";
    if (job.lane == nullptr) {
        if (!m_allKnown && job.item.mayBeRunning)
            return "an earlier owner may have started it; waits until all running tasks are known";
        const bool delayed = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
            return task.state == TaskState::Delayed;
        });
        return delayed ? "waits for the delay before another attempt"
                       : "does not wait; " + std::to_string(job.running) + " tasks are running";
    }
    const std::string waited =
        " (waiting for " + std::to_string((now - job.queuedAt).count()) + " ms)";
    switch (job.obstacle) {
    case Obstacle::TeamLimit:
        return "team " + key.team + " is at its limit of running tasks" + waited;
    case Obstacle::IntentNotDurable:
        return "may not be repeated and its start intent is not in the log yet" + waited;
    case Obstacle::MakingRoom:
        return "room is being made for it" + waited;
    case Obstacle::GangRoom:
        return "holds room for " + std::to_string(job.holds.size()) + " of "
               + std::to_string(job.waiting.size()) + " tasks of the gang" + waited;
    case Obstacle::NoRoom:
    case Obstacle::NotReached:
        break;
    }
    int usable = 0;
    int fitting = 0;
    int quarantined = 0;
    int zoneOut = 0;
    for (const auto &[id, worker] : m_workers) {
        usable += eligible(*worker) ? 1 : 0;
        fitting += eligible(*worker) && job.item.spec.perTask.fitsIn(freeOf(*worker)) ? 1 : 0;
        quarantined += worker->health.quarantinedUntil() ? 1 : 0;
        zoneOut += worker->zoneOut ? 1 : 0;
    }
    if (fitting > 0)
        return "other work comes first" + waited;
    return "no worker has room for " + job.item.spec.perTask.toString() + ": "
           + std::to_string(usable) + " of " + std::to_string(m_workers.size())
           + " workers may take starts, " + std::to_string(quarantined) + " are quarantined, "
           + std::to_string(zoneOut) + " are in a zone that is out" + waited;
}

std::vector<QueueRow> Core::queueRows(Instant now) const
{
    std::vector<QueueRow> rows;
    for (const auto &[names, counts] : m_counts) {
        QueueRow row;
        row.route = names.first;
        row.team = names.second;
        row.waitingJobs = counts.waitingJobs;
        row.waitingTasks = counts.waitingTasks;
        row.runningTasks = counts.running;
        if (!counts.waitingSince.empty())
            row.oldestWait = now - counts.waitingSince.begin()->first;
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<WorkerRow> Core::workerRows(Instant now) const
{
    std::vector<WorkerRow> rows;
    for (const auto &[id, worker] : m_workers) {
        WorkerRow row;
        row.worker = id;
        row.availabilityZone = worker->info.availabilityZone;
        row.rack = worker->info.rack;
        row.capacity = worker->info.capacity;
        row.free = freeOf(*worker) + worker->held;
        row.running = static_cast<int32_t>(worker->attempts.size());
        row.lost = !worker->connected;
        row.leaving = worker->info.leaving;
        row.zoneOut = worker->zoneOut;
        if (worker->health.quarantinedUntil() && *worker->health.quarantinedUntil() > now)
            row.quarantinedUntil = worker->health.quarantinedUntil();
        rows.push_back(std::move(row));
    }
    return rows;
}

std::map<std::string, int64_t> Core::localUsage() const
{
    std::map<std::string, int64_t> usage;
    for (const auto &[name, team] : m_teams)
        usage[name] = dominantShareMillionths(team.used, m_total);
    return usage;
}

std::map<std::string, int32_t> Core::runningByTeam() const
{
    std::map<std::string, int32_t> running;
    for (const auto &[name, team] : m_teams) {
        if (team.running > 0)
            running[name] = team.running;
    }
    return running;
}

} // namespace cardamompaddle::sched
