// Ends of attempts: who is to blame, whether another attempt follows, and what time brings.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// A refused start is tried again after this time, so that a worker that refuses everything does not
// make the scheduler spin.
constexpr Duration RefusedDelay{50};
// A service that ran this long before it failed is given its attempts back; services have no end
// at which their failures could be forgotten.
constexpr Duration ServiceProven{60'000};
constexpr size_t WorkersToBlameJob = 3;

} // namespace

Attempt *Core::findAttempt(const TaskAttempt &target) const
{
    const auto it = m_jobs.find(target.task.job);
    const int32_t index = target.task.index;
    if (it == m_jobs.end() || index < 0 || index >= static_cast<int32_t>(it->second->tasks.size()))
        return nullptr;
    Attempt *attempt = it->second->tasks[static_cast<size_t>(index)].attempt.get();
    return attempt != nullptr && attempt->number == target.attempt ? attempt : nullptr;
}

TaskDisposition Core::taskEnded(const WorkerId &worker, const TaskAttempt &target,
                                TaskOutcome outcome, Instant now)
{
    m_now = now;
    Attempt *attempt = findAttempt(target);
    if (attempt == nullptr || attempt->worker->info.id != worker)
        return TaskDisposition::Stale;
    return attemptOver(*attempt, outcome, now);
}

TaskDisposition Core::releaseUncertain(const TaskAttempt &target, Instant now)
{
    m_now = now;
    Attempt *attempt = findAttempt(target);
    if (attempt == nullptr || !attempt->uncertain)
        return TaskDisposition::Stale;
    return attemptOver(*attempt, TaskOutcome::LeaseLapsed, now);
}

void Core::startRefused(const WorkerId &worker, const TaskAttempt &target, Instant now)
{
    m_now = now;
    Attempt *attempt = findAttempt(target);
    if (attempt == nullptr || attempt->worker->info.id != worker)
        return;
    Job &job = *attempt->job;
    Worker &where = *attempt->worker;
    const int32_t index = attempt->index;
    const bool ranBefore = attempt->ranBefore;
    // A refusal counts against the worker like a failure of a job of its own.
    blameWorker(where, job.serial, attempt->probe, now);
    detach(*attempt);
    Task &task = job.tasks[static_cast<size_t>(index)];
    task.mayHaveRun = ranBefore;
    if (job.submitted && !job.ended)
        delayTask(job, index, RefusedDelay, now);
    refile(where);
    eraseIfDone(job);
}

TaskDisposition Core::attemptOver(Attempt &attempt, TaskOutcome outcome, Instant now)
{
    Job &job = *attempt.job;
    Worker &worker = *attempt.worker;
    const int32_t index = attempt.index;
    const WorkerRef where{worker.serial, worker.slot};
    const bool proven = now - attempt.startedAt >= ServiceProven;
    const bool checkpointed = attempt.checkpointed;
    judgeWorker(attempt, outcome, now);
    const bool healthy = !worker.health.quarantinedUntil();
    detach(attempt);
    refile(worker);
    forgetIfGone(worker);

    Task &task = job.tasks[static_cast<size_t>(index)];
    task.fromCheckpoint = checkpointed;
    if (proven && job.item.spec.kind == WorkKind::Service)
        task.failures = 0;
    TaskDisposition fate = TaskDisposition::Dropped;
    if (outcome == TaskOutcome::Succeeded) {
        task.state = TaskState::Finished;
        job.succeeded = true;
        --job.unfinished;
        fate = job.submitted && !job.ended ? TaskDisposition::Finished : TaskDisposition::Dropped;
    } else if (job.submitted && !job.ended) {
        fate = taskFailed(job, index, healthy ? where : WorkerRef{}, outcome, now);
    }
    eraseIfDone(job);
    return fate;
}

// `where` is the worker to blame the job for; its serial is 0 if the worker itself is in doubt.
TaskDisposition Core::taskFailed(Job &job, int32_t index, WorkerRef where, TaskOutcome outcome,
                                 Instant now)
{
    Task &task = job.tasks[static_cast<size_t>(index)];
    if (!job.item.spec.repeatable) {
        if (outcome == TaskOutcome::Failed)
            failJob(job, ErrorCode::Failed, "task " + std::to_string(index) + " failed");
        else
            failJob(job, ErrorCode::OutcomeUnknown,
                    "task " + std::to_string(index) + " ended early and may not be repeated");
        return TaskDisposition::JobFailed;
    }
    if (outcome == TaskOutcome::Stopped) {
        makeWaiting(job, index, now);
        return TaskDisposition::WillRetry;
    }
    ++task.failures;
    if (job.item.deadline && now >= *job.item.deadline) {
        failJob(job, ErrorCode::DeadlineExceeded, "deadline passed before another attempt");
        return TaskDisposition::JobFailed;
    }
    if (outcome == TaskOutcome::Failed && where.serial != 0) {
        const bool known =
            std::any_of(job.failedOn.begin(), job.failedOn.end(),
                        [&](const WorkerRef &it) { return it.serial == where.serial; });
        if (!known)
            job.failedOn.push_back(where);
    }
    if (task.failures >= m_options.maxAttempts) {
        failJob(job, ErrorCode::Failed,
                "task " + std::to_string(index) + " failed in " + std::to_string(task.failures)
                    + " attempts");
        return TaskDisposition::JobFailed;
    }
    if (job.failedOn.size() >= WorkersToBlameJob && !job.succeeded) {
        failJob(job, ErrorCode::Failed, "failed on 3 different workers without any success");
        return TaskDisposition::JobFailed;
    }
    delayTask(job, index, m_options.retryDelay * (1 << (task.failures - 1)), now);
    return TaskDisposition::WillRetry;
}

void Core::delayTask(Job &job, int32_t index, Duration delay, Instant now)
{
    Task &task = job.tasks[static_cast<size_t>(index)];
    task.state = TaskState::Delayed;
    task.since = now + delay;
    m_delayed.emplace(task.since, job.item.sequence, index, &job);
}

// Failures of a job that has failed elsewhere tell nothing about this worker.
void Core::judgeWorker(Attempt &attempt, TaskOutcome outcome, Instant now)
{
    Health &health = attempt.worker->health;
    const bool suspect = !attempt.job->failedOn.empty();
    if (outcome == TaskOutcome::Succeeded) {
        const bool wasQuarantined = health.quarantinedUntil().has_value();
        if (wasQuarantined && attempt.probe)
            m_quarantines.erase({*health.quarantinedUntil(), attempt.worker->info.id});
        health.succeeded(attempt.probe);
    } else if (outcome == TaskOutcome::Failed && !suspect) {
        blameWorker(*attempt.worker, attempt.job->serial, attempt.probe, now);
    } else if (attempt.probe) {
        health.probeVoided();
    }
}

// If this puts the worker into quarantine, the jobs that failed on it are not to blame.
void Core::blameWorker(Worker &worker, uint64_t job, bool probe, Instant now)
{
    const std::optional<Instant> before = worker.health.quarantinedUntil();
    if (!worker.health.failed(job, probe, now))
        return;
    if (before)
        m_quarantines.erase({*before, worker.info.id});
    ++m_counters.quarantines;
    m_quarantines.emplace(*worker.health.quarantinedUntil(), worker.info.id);
    for (const uint64_t serial : worker.health.failedJobs()) {
        const auto blamed = m_bySerial.find(serial);
        if (blamed != m_bySerial.end())
            std::erase_if(blamed->second->failedOn,
                          [&](const WorkerRef &it) { return it.serial == worker.serial; });
    }
}

void Core::wakeDelayed(Instant now)
{
    while (!m_delayed.empty() && std::get<0>(*m_delayed.begin()) <= now) {
        const auto [due, sequence, index, job] = *m_delayed.begin();
        if (job->ended) {
            m_delayed.erase(m_delayed.begin());
            job->tasks[static_cast<size_t>(index)].state = TaskState::Waiting;
            continue;
        }
        const bool failed = job->tasks[static_cast<size_t>(index)].failures > 0;
        if (failed && !m_budget.take(now)) {
            if (job->item.spec.kind != WorkKind::Request)
                return; // jobs wait for the budget
            failJob(*job, ErrorCode::Overloaded, "retry budget of the pool is exhausted");
            eraseIfDone(*job);
            continue;
        }
        m_delayed.erase(m_delayed.begin());
        if (failed)
            ++m_counters.retries;
        makeWaiting(*job, index, due);
    }
}

void Core::expireDeadlines(Instant now)
{
    while (!m_deadlines.empty() && std::get<0>(*m_deadlines.begin()) <= now) {
        Job &job = *std::get<2>(*m_deadlines.begin());
        m_deadlines.erase(m_deadlines.begin());
        job.expiring = false;
        if (job.running > 0 || job.ended)
            continue; // the answer may still come; the owner cancels if it does not want it
        ++m_counters.rejectedDeadline;
        if (job.mayHaveRun()) {
            failJob(job, ErrorCode::DeadlineExceeded, "deadline passed before another attempt");
        } else {
            Decision decision;
            decision.kind = DecisionKind::RejectRequest;
            decision.job = job.item.spec.key;
            decision.code = ErrorCode::DeadlineExceeded;
            decision.reason = "deadline passed while waiting";
            m_outbox.push_back(std::move(decision));
            endJob(job, RemovalReason::JobEnded);
        }
        eraseIfDone(job);
    }
}

} // namespace cardamompaddle::sched
