// Ends of attempts: worker health, retries, and the expiry of delays and deadlines.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

// Delay before a refused start is retried. Prevents a busy loop when a worker refuses every start.
constexpr Duration RefusedStartDelay{50};
// A service task that ran at least this long has its failure count reset before the failure is
// counted, since a service never ends and would otherwise accumulate failures for ever.
constexpr Duration StableServiceTime{60'000};
// A job without any success fails once its tasks have failed on this many healthy workers.
constexpr size_t MaxFailedWorkers = 3;

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
    return endAttempt(*attempt, outcome, now);
}

TaskDisposition Core::releaseUncertain(const TaskAttempt &target, Instant now)
{
    m_now = now;
    Attempt *attempt = findAttempt(target);
    if (attempt == nullptr || !attempt->uncertain)
        return TaskDisposition::Stale;
    return endAttempt(*attempt, TaskOutcome::LeaseLapsed, now);
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
    const bool mayHaveRunBefore = attempt->mayHaveRunBefore;
    // A refusal counts like a failure here of the job, even if the job has failed elsewhere.
    recordWorkerFailure(where, job.serial, attempt->probe, now);
    removeAttempt(*attempt);
    Task &task = job.tasks[static_cast<size_t>(index)];
    task.mayHaveRun = mayHaveRunBefore;
    if (job.submitted && !job.ended)
        delayTask(job, index, RefusedStartDelay, now);
    updateIndexEntry(where);
    eraseIfDone(job);
}

TaskDisposition Core::endAttempt(Attempt &attempt, TaskOutcome outcome, Instant now)
{
    Job &job = *attempt.job;
    Worker &worker = *attempt.worker;
    const int32_t index = attempt.index;
    const WorkerRef where{worker.serial, worker.slot};
    const bool stable = now - attempt.startedAt >= StableServiceTime;
    const bool checkpointed = attempt.checkpointed;
    updateWorkerHealth(attempt, outcome, now);
    const bool healthy = !worker.health.quarantinedUntil();
    removeAttempt(attempt);
    updateIndexEntry(worker);
    eraseWorkerIfGone(worker);

    Task &task = job.tasks[static_cast<size_t>(index)];
    task.fromCheckpoint = checkpointed;
    if (stable && job.item.spec.kind == WorkKind::Service)
        task.failures = 0;
    TaskDisposition disposition = TaskDisposition::Dropped;
    if (outcome == TaskOutcome::Succeeded) {
        task.state = TaskState::Finished;
        job.succeeded = true;
        --job.unfinished;
        disposition =
            job.submitted && !job.ended ? TaskDisposition::Finished : TaskDisposition::Dropped;
    } else if (job.submitted && !job.ended) {
        disposition = taskFailed(job, index, healthy ? where : WorkerRef{}, outcome, now);
    }
    eraseIfDone(job);
    return disposition;
}

// `where` is the healthy worker on which the task failed; its serial is 0 if the worker was
// quarantined, in which case the failure does not count towards MaxFailedWorkers.
TaskDisposition Core::taskFailed(Job &job, int32_t index, WorkerRef where, TaskOutcome outcome,
                                 Instant now)
{
    Task &task = job.tasks[static_cast<size_t>(index)];
    if (!job.item.spec.repeatable) {
        if (outcome == TaskOutcome::Failed)
            failJob(job, ErrorCode::Failed, "task " + std::to_string(index) + " failed");
        else
            failJob(job, ErrorCode::OutcomeUnknown,
                    "task " + std::to_string(index)
                        + " ended without a result and is not repeatable");
        return TaskDisposition::JobFailed;
    }
    if (outcome == TaskOutcome::Stopped) {
        requeueTask(job, index, now);
        return TaskDisposition::WillRetry;
    }
    ++task.failures;
    if (job.item.deadline && now >= *job.item.deadline) {
        failJob(job, ErrorCode::DeadlineExceeded, "deadline passed before another attempt");
        return TaskDisposition::JobFailed;
    }
    if (outcome == TaskOutcome::Failed && where.serial != 0) {
        const bool known =
            std::any_of(job.failedWorkers.begin(), job.failedWorkers.end(),
                        [&](const WorkerRef &it) { return it.serial == where.serial; });
        if (!known)
            job.failedWorkers.push_back(where);
    }
    if (task.failures >= m_options.maxAttempts) {
        failJob(job, ErrorCode::Failed,
                "task " + std::to_string(index) + " failed in " + std::to_string(task.failures)
                    + " attempts");
        return TaskDisposition::JobFailed;
    }
    if (job.failedWorkers.size() >= MaxFailedWorkers && !job.succeeded) {
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

// Updates the health of the worker on which the attempt ended. Failures of a job that has already
// failed on another worker are not counted against this one.
void Core::updateWorkerHealth(Attempt &attempt, TaskOutcome outcome, Instant now)
{
    Health &health = attempt.worker->health;
    const bool failedElsewhere = !attempt.job->failedWorkers.empty();
    if (outcome == TaskOutcome::Succeeded) {
        const bool wasQuarantined = health.quarantinedUntil().has_value();
        if (wasQuarantined && attempt.probe)
            m_quarantineEnds.erase({*health.quarantinedUntil(), attempt.worker->info.id});
        health.recordSuccess(attempt.probe);
    } else if (outcome == TaskOutcome::Failed && !failedElsewhere) {
        recordWorkerFailure(*attempt.worker, attempt.job->serial, attempt.probe, now);
    } else if (attempt.probe) {
        health.probeWithdrawn();
    }
}

// Counts a failure against the worker. If this quarantines the worker, its earlier failures are no
// longer counted against the jobs.
void Core::recordWorkerFailure(Worker &worker, uint64_t job, bool probe, Instant now)
{
    const std::optional<Instant> before = worker.health.quarantinedUntil();
    if (!worker.health.recordFailure(job, probe, now))
        return;
    if (before)
        m_quarantineEnds.erase({*before, worker.info.id});
    ++m_counters.quarantines;
    m_quarantineEnds.emplace(*worker.health.quarantinedUntil(), worker.info.id);
    for (const uint64_t serial : worker.health.failedJobs()) {
        const auto failedJob = m_jobsBySerial.find(serial);
        if (failedJob != m_jobsBySerial.end())
            std::erase_if(failedJob->second->failedWorkers,
                          [&](const WorkerRef &it) { return it.serial == worker.serial; });
    }
}

void Core::requeueDelayed(Instant now)
{
    while (!m_delayed.empty() && std::get<0>(*m_delayed.begin()) <= now) {
        const auto [due, sequence, index, job] = *m_delayed.begin();
        if (job->ended) {
            m_delayed.erase(m_delayed.begin());
            job->tasks[static_cast<size_t>(index)].state = TaskState::Waiting;
            continue;
        }
        const bool failed = job->tasks[static_cast<size_t>(index)].failures > 0;
        if (failed && !m_retryBudget.tryConsume(now)) {
            if (job->item.spec.kind != WorkKind::Request)
                return; // jobs wait until the budget is refilled
            failJob(*job, ErrorCode::Overloaded, "retry budget of the pool is exhausted");
            eraseIfDone(*job);
            continue;
        }
        m_delayed.erase(m_delayed.begin());
        if (failed)
            ++m_counters.retries;
        requeueTask(*job, index, due);
    }
}

void Core::expireDeadlines(Instant now)
{
    while (!m_deadlines.empty() && std::get<0>(*m_deadlines.begin()) <= now) {
        Job &job = *std::get<2>(*m_deadlines.begin());
        m_deadlines.erase(m_deadlines.begin());
        job.hasDeadlineEntry = false;
        if (job.running > 0 || job.ended)
            continue; // a running attempt may still succeed; the owner cancels it if unwanted
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
