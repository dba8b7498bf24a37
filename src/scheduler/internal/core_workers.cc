// Worker sessions, adoption of running tasks, and changes of the instance list.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
Worker &Core::addWorker(const WorkerInfo &info)
{
    auto &it = m_workers[info.id];
    it = std::make_unique<Worker>();
    it->serial = ++m_serial;
    if (m_freeSlots.empty()) {
        it->slot = static_cast<int>(m_slots.size());
        m_slots.push_back(nullptr);
    } else {
        it->slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    m_slots[static_cast<size_t>(it->slot)] = it.get();
    return *it;
}

// Erases a worker that has neither a session nor tasks, unless it is quarantined.
void Core::eraseWorkerIfGone(Worker &worker)
{
    if (worker.connected || !worker.attempts.empty() || worker.health.quarantinedUntil())
        return;
    adjustCapacity(worker, -1);
    releaseReservationsOn(worker);
    m_index.remove(worker.slot);
    m_slots[static_cast<size_t>(worker.slot)] = nullptr;
    m_freeSlots.push_back(worker.slot);
    const WorkerId id = worker.info.id;
    m_workers.erase(id);
}

void Core::adjustCapacity(const Worker &worker, int sign)
{
    const Resources &capacity = worker.info.capacity;
    m_zones.addSlots(worker.zone, sign * capacity.slots);
    auto it = std::find_if(m_capacityCounts.begin(), m_capacityCounts.end(),
                           [&](const auto &known) { return known.first == capacity; });
    if (it == m_capacityCounts.end())
        it = m_capacityCounts.insert(it, {capacity, 0});
    it->second += sign;
    if (it->second == 0)
        m_capacityCounts.erase(it);
    if (sign > 0)
        m_totalCapacity += capacity;
    else
        m_totalCapacity -= capacity;
    updateShares();
}

void Core::applyInfo(Worker &worker, const WorkerInfo &info)
{
    worker.info = info;
    worker.zone = m_zones.number(info.availabilityZone);
    worker.zoneOut = m_zones.isOut(worker.zone);
    worker.rack = m_racks.try_emplace(info.rack, static_cast<int>(m_racks.size())).first->second;
    adjustCapacity(worker, 1);
}

void Core::workerAcquired(const WorkerInfo &info, const std::vector<RunningTask> &running,
                          Instant now)
{
    m_now = now;
    const auto known = m_workers.find(info.id);
    if (known != m_workers.end())
        adjustCapacity(*known->second, -1);
    Worker &worker = known != m_workers.end() ? *known->second : addWorker(info);
    applyInfo(worker, info);
    worker.connected = true;
    for (const RunningTask &it : running)
        adoptTask(worker, it, now);
    std::vector<TaskAttempt> missing;
    for (const Attempt *it : worker.attempts) {
        if (it->uncertain)
            missing.push_back({{it->job->item.spec.key, it->index}, it->number});
    }
    for (const TaskAttempt &it : missing)
        releaseUncertain(it, now);
    if (worker.zoneOut)
        drain(worker, RemovalReason::ZoneOut);
    else if (info.leaving)
        drain(worker, RemovalReason::Leaving);
    updateIndexEntry(worker);
}

void Core::adoptTask(Worker &worker, const RunningTask &report, Instant now)
{
    const int32_t index = report.task.index;
    constexpr int32_t MaxTasksPerJob = 1'000'000;
    if (index < 0 || index >= MaxTasksPerJob)
        return;
    Job &job = findOrAddJob(report.task.job);
    if (index >= static_cast<int32_t>(job.tasks.size()))
        job.tasks.resize(static_cast<size_t>(index) + 1);
    Task &task = job.tasks[static_cast<size_t>(index)];
    if (Attempt *it = task.attempt.get(); it != nullptr) {
        if (it->worker == &worker && it->number == report.attempt) {
            it->uncertain = false;
            if (job.ended && it->removal == RemovalStage::None)
                requestRemoval(*it, RemovalReason::JobEnded, Duration(0), false);
            return;
        }
        // Another attempt of the task is running or may be running, so this one is stopped.
        ++m_counters.duplicateReports;
        Decision stop;
        stop.kind = DecisionKind::Stop;
        stop.worker = worker.info.id;
        stop.target = {report.task, report.attempt};
        stop.reason = "another attempt of the task may be running";
        m_outbox.push_back(std::move(stop));
        return;
    }
    if (job.submitted && task.state == TaskState::Waiting) {
        const auto at = std::find(job.waiting.begin(), job.waiting.end(), index);
        if (at != job.waiting.end()) {
            if (job.shapeQueue != nullptr)
                removeWaiting(job, static_cast<size_t>(at - job.waiting.begin()));
            else
                job.waiting.erase(at);
        }
    } else if (task.state == TaskState::Delayed) {
        m_delayed.erase({task.since, job.item.sequence, index, &job});
    } else if (job.submitted && task.state == TaskState::Finished) {
        ++job.unfinished; // the finished attempt was another one; wait for this one too
    }
    task.mayHaveRun = true;
    Attempt &it = addAttempt(job, index, report.attempt, worker);
    it.declared = report.declared;
    it.cpuLimit = report.declared.cpuMilli;
    it.cpuCharged = report.declared.cpuMilli;
    it.request = report.request;
    it.repeatable = report.repeatable;
    it.urgency = std::clamp(report.urgency, 0, UrgencyLevels - 1);
    it.checkpointed = report.checkpointed;
    it.startedAt = now - report.sinceStart;
    it.progressSince = it.startedAt;
    adjustUsage(it, 1);
    job.team->used += it.declared;
    updateShare(*job.team);
    if (job.ended)
        requestRemoval(it, RemovalReason::JobEnded, Duration(0), false);
}

void Core::workerUpdated(const WorkerInfo &info, Instant now)
{
    m_now = now;
    const auto known = m_workers.find(info.id);
    if (known == m_workers.end())
        return;
    Worker &worker = *known->second;
    if (worker.info == info)
        return;
    const bool wasLeaving = worker.info.leaving;
    adjustCapacity(worker, -1);
    applyInfo(worker, info);
    if (info.leaving && !wasLeaving) {
        releaseReservationsOn(worker);
        drain(worker, RemovalReason::Leaving);
    } else if (!info.leaving && wasLeaving) {
        undrain(worker, RemovalReason::Leaving);
    }
    updateIndexEntry(worker);
}

void Core::workerLost(const WorkerId &id, Instant now)
{
    m_now = now;
    const auto known = m_workers.find(id);
    if (known == m_workers.end())
        return;
    Worker &worker = *known->second;
    worker.connected = false;
    releaseReservationsOn(worker);
    for (Attempt *it : worker.attempts) {
        it->uncertain = true;
        cancelRemoval(*it);
    }
    updateIndexEntry(worker);
    eraseWorkerIfGone(worker);
}

std::vector<TaskAttempt> Core::uncertainTasks(const WorkerId &id) const
{
    std::vector<TaskAttempt> tasks;
    const auto known = m_workers.find(id);
    if (known == m_workers.end())
        return tasks;
    for (const Attempt *it : known->second->attempts) {
        if (it->uncertain)
            tasks.push_back({{it->job->item.spec.key, it->index}, it->number});
    }
    return tasks;
}

} // namespace cardamompaddle::sched
