// Queries about the state of the pool: next event, queue and worker rows, usage.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// Polling interval while starts into a returning zone are limited.
constexpr Duration RampPollInterval{20};
// Polling interval while delayed tasks wait for retry budget, or gangs for the gang reservation.
constexpr Duration BudgetPollInterval{100};

} // namespace

std::optional<Instant> Core::nextEvent(Instant now) const
{
    std::optional<Instant> first;
    const auto consider = [&first](Instant at) { first = first ? std::min(*first, at) : at; };
    if (!m_outbox.empty() || m_decideAgain)
        consider(now);
    if (!m_removals.empty())
        consider(std::get<0>(*m_removals.begin()));
    if (!m_delayed.empty()) {
        const Instant due = std::get<0>(*m_delayed.begin());
        consider(due <= now ? now + BudgetPollInterval : due);
    }
    if (!m_deadlines.empty())
        consider(std::get<0>(*m_deadlines.begin()));
    if (!m_quarantineEnds.empty())
        consider(m_quarantineEnds.begin()->first);
    for (const uint64_t serial : m_reservationOwners) {
        for (const Reservation &it : m_jobsBySerial.at(serial)->reservations)
            consider(it.expires);
    }
    if (m_gangReservationOwner != nullptr)
        consider(m_gangReservationExpires);
    else if (!m_waitingGangs.empty())
        consider(std::max(std::get<2>(*m_waitingGangs.begin())->queuedAt + m_pool.gangWait,
                          now + BudgetPollInterval));
    if (m_zones.ramping() && m_queue.classBelow(QueueClasses) >= 0)
        consider(now + RampPollInterval);
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
    if (job.shapeQueue == nullptr) {
        if (!m_allTasksKnown && job.item.mayBeRunning)
            return "an earlier owner may have started it; waits until all running tasks are known";
        const bool delayed = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
            return task.state == TaskState::Delayed;
        });
        return delayed ? "waits for the delay before another attempt"
                       : "does not wait; " + std::to_string(job.running) + " tasks are running";
    }
    const std::string waited =
        " (waiting for " + std::to_string((now - job.queuedAt).count()) + " ms)";
    switch (job.waitReason) {
    case WaitReason::TeamLimit:
        return "team " + key.team + " is at its limit of running tasks" + waited;
    case WaitReason::IntentNotDurable:
        return "may not be repeated and its start intent is not in the log yet" + waited;
    case WaitReason::PreemptionInProgress:
        return "room is being made for it" + waited;
    case WaitReason::GangIncomplete:
        return "holds room for " + std::to_string(job.reservations.size()) + " of "
               + std::to_string(job.waiting.size()) + " tasks of the gang" + waited;
    case WaitReason::NoCapacity:
    case WaitReason::NotEvaluated:
        break;
    }
    int usable = 0;
    int fitting = 0;
    int quarantined = 0;
    int zoneOut = 0;
    for (const auto &[id, worker] : m_workers) {
        usable += isEligible(*worker) ? 1 : 0;
        fitting +=
            isEligible(*worker) && job.item.spec.perTask.fitsIn(freeCapacity(*worker)) ? 1 : 0;
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
    for (const auto &[names, counts] : m_routeTeamCounts) {
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
        row.free = freeCapacity(*worker) + worker->reserved;
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
        usage[name] = dominantShareMillionths(team.used, m_totalCapacity);
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
