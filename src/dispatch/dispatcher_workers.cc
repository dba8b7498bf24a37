// Workers: what they report, and what the ends of runs mean for tasks and for the worker.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A worker on which this many runs of several jobs failed in a row gets no starts for a time.
constexpr int32_t FailuresToAvoid = 4;
constexpr size_t FailedJobsToAvoid = 2;
constexpr Duration AvoidanceTime{2'000}; // doubles each time, up to MaxAvoidanceDoublings
constexpr int32_t MaxAvoidanceDoublings = 2;
// A run whose percentage stands still for so long is stopped and started elsewhere.
constexpr Duration StallTime{2'500};
// A run this far done is left to finish on a worker that drains.
constexpr int32_t NearlyDonePercent = 70;
// Run numbers passed over when a worker has seen a higher one than is known here.
constexpr int64_t StaleRunSkip = 20;
// Weight of one run in a worker's slowness.
constexpr double SlownessWeight = 0.1;
// Idle-CPU tasks are slowed down from this share of the latency target of a task beside them on,
// and sped up again below the other.
constexpr double PaceDownFrom = 0.8;
constexpr double PaceUpBelow = 0.55;
constexpr int32_t PaceStep = 25; // percent
constexpr Duration PaceInterval{500};

bool serves(const Step &step)
{
    return step.spec->latencyTargetMs > 0;
}

} // namespace

void Dispatcher::Impl::setWorker(const WorkerEntry &entry)
{
    auto &slot = m_workers[entry.id];
    if (!slot)
        slot = std::make_unique<Worker>();
    Worker &worker = *slot;
    const bool drains = entry.draining && !(worker.listed && worker.entry.draining);
    if (!worker.listed)
        m_total += entry.capacity;
    else
        m_total += entry.capacity - worker.entry.capacity;
    worker.listed = true;
    worker.entry = entry;
    if (drains) {
        event("worker_draining", "", "worker=" + entry.id);
        releaseDraining(worker);
    }
}

void Dispatcher::Impl::releaseDraining(Worker &worker)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        const work::StepSpec &spec = *attempt->step->spec;
        const bool moves =
            spec.longRunning
            || (spec.checkpointing && !spec.gang && attempt->percent < NearlyDonePercent);
        if (moves)
            requestStop(*attempt);
    }
}

void Dispatcher::Impl::removeWorker(const WorkerId &id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second->listed)
        return;
    it->second->listed = false;
    m_total -= it->second->entry.capacity;
    event("worker_left", "",
          "worker=" + id + " runs=" + std::to_string(it->second->attempts.size()));
    if (it->second->attempts.empty())
        m_workers.erase(it);
}

void Dispatcher::Impl::workerLost(const WorkerId &id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    loseAttempts(*it->second, "lease_lapsed");
    it->second->reported = false;
    it->second->reachable = false;
    if (!it->second->listed)
        m_workers.erase(it);
}

void Dispatcher::Impl::loseAttempts(Worker &worker, std::string_view why)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        event("run_lost", attempt->step->job->spec->id,
              "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run)
                  + " reason=" + std::string(why));
        requeue(*attempt);
    }
}

Attempt &Dispatcher::Impl::attach(Step &step, int32_t index, int64_t run, Worker &worker,
                                  Instant now)
{
    Task &task = step.tasks[static_cast<size_t>(index)];
    task.attempt = std::make_unique<Attempt>();
    Attempt &attempt = *task.attempt;
    attempt.serial = m_nextAttempt++;
    attempt.step = &step;
    attempt.worker = &worker;
    attempt.index = index;
    attempt.run = run;
    attempt.orderedAt = now;
    attempt.progressAt = now;
    task.lastRun = std::max(task.lastRun, run);
    if (task.state == TaskState::Waiting) {
        task.state = TaskState::Active;
        --step.waiting;
    }
    ++step.active;
    ++step.job->active;
    ++step.perWorker[worker.entry.id];
    worker.used += step.need;
    worker.attempts.insert(&attempt);
    worker.servingTasks += serves(step) ? 1 : 0;
    worker.idleCpuTasks += step.spec->usesIdleCpu ? 1 : 0;
    step.job->team->used += step.need;
    if (step.job->state == work::JobState::Queued) {
        step.job->state = work::JobState::Running;
        markDirty(*step.job);
    }
    return attempt;
}

void Dispatcher::Impl::detach(Attempt &attempt)
{
    Step &step = *attempt.step;
    Worker &worker = *attempt.worker;
    Task &task = step.tasks[static_cast<size_t>(attempt.index)];
    --step.active;
    --step.job->active;
    if (--step.perWorker[worker.entry.id] == 0)
        step.perWorker.erase(worker.entry.id);
    worker.used -= step.need;
    worker.attempts.erase(&attempt);
    worker.servingTasks -= serves(step) ? 1 : 0;
    worker.idleCpuTasks -= step.spec->usesIdleCpu ? 1 : 0;
    step.job->team->used -= step.need;
    m_toStop.erase(&attempt);
    if (task.state == TaskState::Active) {
        task.state = TaskState::Waiting;
        ++step.waiting;
    }
    if (step.active == 0)
        step.gangBroken = false;
    task.attempt.reset();
    // A final job is forgotten once nothing of it runs and its state is stored.
    if (step.job->isFinal() && step.job->active == 0)
        markDirty(*step.job);
}

void Dispatcher::Impl::requeue(Attempt &attempt)
{
    Step &step = *attempt.step;
    detach(attempt);
    if (step.spec->gang && step.active > 0 && !step.done() && !step.job->isFinal()) {
        // The rest of the gang cannot go on without this member.
        step.gangBroken = true;
        for (Task &task : step.tasks) {
            if (task.attempt)
                requestStop(*task.attempt);
        }
    }
}

void Dispatcher::Impl::requestStop(Attempt &attempt)
{
    if (attempt.phase == AttemptPhase::Running)
        attempt.confirmedAt = Instant::max();
    attempt.phase = AttemptPhase::Stopping;
    m_toStop.insert(&attempt);
}

void Dispatcher::Impl::endRun(Attempt &attempt, RunOutcome outcome, const std::string &checkpoint,
                              Instant now)
{
    Step &step = *attempt.step;
    Worker &worker = *attempt.worker;
    const int32_t index = attempt.index;
    Task &task = step.tasks[static_cast<size_t>(index)];
    if (!checkpoint.empty())
        task.checkpoint = checkpoint;
    if (step.spec->estimatedMs > 0 && outcome == RunOutcome::Succeeded
        && attempt.phase != AttemptPhase::Ordered) {
        const double ran = static_cast<double>((now - attempt.orderedAt).count());
        const double ratio =
            std::clamp(ran / static_cast<double>(step.spec->estimatedMs), 0.25, 6.0);
        worker.slowness += SlownessWeight * (ratio - worker.slowness);
    }
    const std::string job = step.job->spec->id;
    judgeWorker(worker, outcome, job, now);
    const WorkerId where = worker.entry.id;
    const int64_t run = attempt.run;
    event("run_ended", job,
          "task=" + TaskRef{{job, step.occurrence, step.number}, index}.toString()
              + " run=" + std::to_string(attempt.run) + " worker=" + where
              + " outcome=" + std::string(runOutcomeName(outcome))
              + " ran_ms=" + std::to_string((now - attempt.orderedAt).count()));
    const bool wasFinal = step.job->isFinal();
    // A long-running task runs until its job is cancelled, however its runs end.
    if (outcome == RunOutcome::Succeeded && !step.spec->longRunning) {
        detach(attempt);
        if (!wasFinal)
            taskSucceeded(step, index);
        return;
    }
    requeue(attempt);
    if (outcome == RunOutcome::Failed && !wasFinal)
        taskFailed(step, index, run, where, now);
}

void Dispatcher::Impl::judgeWorker(Worker &worker, RunOutcome outcome, const std::string &job,
                                   Instant now)
{
    if (outcome == RunOutcome::Succeeded) {
        worker.failuresInRow = 0;
        worker.failedJobs.clear();
        worker.avoidances = 0;
    } else if (outcome == RunOutcome::Failed) {
        ++worker.failuresInRow;
        worker.failedJobs.insert(job);
        if (worker.failuresInRow >= FailuresToAvoid
            && worker.failedJobs.size() >= FailedJobsToAvoid)
            avoid(worker, now, "failures");
    }
}

void Dispatcher::Impl::avoid(Worker &worker, Instant now, std::string_view why)
{
    if (worker.avoidUntil > now)
        return;
    const int32_t doublings = std::min(worker.avoidances, MaxAvoidanceDoublings);
    worker.avoidUntil = now + AvoidanceTime * (1 << doublings);
    ++worker.avoidances;
    event("worker_avoided", "",
          "worker=" + worker.entry.id + " reason=" + std::string(why)
              + " for_ms=" + std::to_string((worker.avoidUntil - now).count()));
}

void Dispatcher::Impl::workerReported(const WorkerId &id, const RunReport &report, Instant now)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    Worker &worker = *it->second;
    if (worker.reported && worker.lifeStartedAtMs != report.startedAtMs) {
        event("worker_restarted", "", "worker=" + id);
        loseAttempts(worker, "worker_restarted");
        worker.endPosition = 0;
        worker.slowness = 1;
    }
    worker.lifeStartedAtMs = report.startedAtMs;
    if (!worker.reported)
        event("worker_joined", "",
              "worker=" + id + " zone=" + worker.entry.availabilityZone
                  + " runs=" + std::to_string(report.running.size()));
    worker.reported = true;
    worker.unwantedRuns = false;
    for (const EndedRun &end : report.ended) {
        if (end.position > worker.endPosition)
            takeEnd(worker, end, now);
        worker.endPosition = std::max(worker.endPosition, end.position);
    }
    AttemptSet seen;
    for (const RunningRun &run : report.running) {
        takeRunning(worker, run, report.askedAt, now);
        Step *step = findStep(run.task.step);
        if (step == nullptr || run.task.index >= static_cast<int32_t>(step->tasks.size()))
            continue;
        Task &task = step->tasks[static_cast<size_t>(run.task.index)];
        if (task.attempt && task.attempt->worker == &worker && task.attempt->run == run.run)
            seen.insert(task.attempt.get());
    }
    dropMissing(worker, seen, report.askedAt);
    watchProgress(worker, now);
    paceIdleCpuTasks(worker, now);
    if (!worker.listed && worker.attempts.empty())
        m_workers.erase(id);
}

void Dispatcher::Impl::takeEnd(Worker &worker, const EndedRun &end, Instant now)
{
    Step *step = findStep(end.task.step);
    if (step == nullptr || end.task.index < 0
        || end.task.index >= static_cast<int32_t>(step->tasks.size()))
        return;
    Task &task = step->tasks[static_cast<size_t>(end.task.index)];
    if (task.attempt && task.attempt->worker == &worker && task.attempt->run == end.run)
        return endRun(*task.attempt, end.outcome, end.checkpoint, now);
    // The end of a run that an earlier scheduler started, or of one whose answer was lost.
    if (step->job->isFinal() || task.state == TaskState::Succeeded)
        return;
    task.lastRun = std::max(task.lastRun, end.run);
    if (!end.checkpoint.empty() && !task.attempt)
        task.checkpoint = end.checkpoint;
    if (end.outcome == RunOutcome::Succeeded && !step->spec->longRunning) {
        if (task.attempt)
            requestStop(*task.attempt);
        taskSucceeded(*step, end.task.index);
    } else if (end.outcome == RunOutcome::Failed) {
        taskFailed(*step, end.task.index, end.run, worker.entry.id, now);
    }
}

void Dispatcher::Impl::takeRunning(Worker &worker, const RunningRun &run, Instant askedAt,
                                   Instant now)
{
    Step *step = findStep(run.task.step);
    const bool valid = step != nullptr && run.task.index >= 0
                       && run.task.index < static_cast<int32_t>(step->tasks.size());
    Task *task = valid ? &step->tasks[static_cast<size_t>(run.task.index)] : nullptr;
    Attempt *known = task != nullptr ? task->attempt.get() : nullptr;
    const bool matches = known != nullptr && known->worker == &worker && known->run == run.run;
    if (matches) {
        if (known->phase == AttemptPhase::Ordered) {
            known->phase = AttemptPhase::Running;
            known->confirmedAt = std::min(known->confirmedAt, now);
        }
        if (!run.checkpoint.empty())
            task->checkpoint = run.checkpoint;
        if (run.percent != known->percent)
            known->progressAt = now;
        known->percent = run.percent;
        known->gauge = run.gauge;
        return;
    }
    const bool adopt = task != nullptr && known == nullptr && task->state == TaskState::Waiting
                       && !step->job->isFinal() && !step->gangBroken;
    if (!adopt) {
        // A run that no task wants: its job is over, or the task runs elsewhere under a later
        // number. A run that was ordered after the worker was asked cannot be meant.
        if (known == nullptr || known->orderedAt < askedAt)
            m_unwanted.push_back({worker.entry.id, run.task, run.run});
        // It takes up room that is not counted here until it has ended.
        worker.unwantedRuns = true;
        return;
    }
    Attempt &adopted = attach(*step, run.task.index, run.run, worker, now);
    adopted.phase = AttemptPhase::Running;
    adopted.confirmedAt = askedAt;
    adopted.percent = run.percent;
    adopted.gauge = run.gauge;
    if (!run.checkpoint.empty())
        task->checkpoint = run.checkpoint;
    event("run_adopted", step->job->spec->id,
          "task=" + run.task.toString() + " run=" + std::to_string(run.run)
              + " worker=" + worker.entry.id);
}

void Dispatcher::Impl::dropMissing(Worker &worker, const AttemptSet &seen, Instant askedAt)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        // The member of a gang may have been dropped with another one.
        if (!worker.attempts.contains(attempt) || seen.contains(attempt)
            || attempt->confirmedAt >= askedAt)
            continue;
        event("run_missing", attempt->step->job->spec->id,
              "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run));
        requeue(*attempt);
    }
}

void Dispatcher::Impl::watchProgress(Worker &worker, Instant now)
{
    int stalled = 0;
    for (Attempt *attempt : worker.attempts) {
        if (attempt->phase != AttemptPhase::Running || attempt->step->spec->longRunning
            || attempt->step->spec->gang || attempt->pace < 100
            || now - attempt->progressAt < StallTime)
            continue;
        ++stalled;
        event("run_stalled", attempt->step->job->spec->id,
              "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run)
                  + " percent=" + std::to_string(attempt->percent));
        requestStop(*attempt);
    }
    if (stalled > 0)
        avoid(worker, now, "stalled_runs");
}

void Dispatcher::Impl::paceIdleCpuTasks(Worker &worker, Instant now)
{
    if (worker.servingTasks == 0 && worker.idleCpuTasks == 0)
        return;
    double worst = 0; // latency over target
    for (const Attempt *attempt : worker.attempts) {
        const int64_t target = attempt->step->spec->latencyTargetMs;
        if (target > 0)
            worst =
                std::max(worst, static_cast<double>(attempt->gauge) / static_cast<double>(target));
    }
    const bool recent = worker.pacedAt && now - *worker.pacedAt < PaceInterval;
    if (recent || (worst < PaceDownFrom && worst >= PaceUpBelow))
        return;
    for (Attempt *attempt : worker.attempts) {
        if (!attempt->step->spec->usesIdleCpu || attempt->phase != AttemptPhase::Running)
            continue;
        const int32_t pace = worst >= 1              ? 0
                             : worst >= PaceDownFrom ? std::max(0, attempt->pace - 2 * PaceStep)
                                                     : std::min(100, attempt->pace + PaceStep);
        if (pace == attempt->pace)
            continue;
        attempt->pace = pace;
        attempt->progressAt = now;
        worker.pacedAt = now;
        const Step &step = *attempt->step;
        m_paces.push_back({worker.entry.id,
                           {{step.job->spec->id, step.occurrence, step.number}, attempt->index},
                           attempt->run,
                           pace});
    }
}

void Dispatcher::Impl::startAnswered(const StartOrder &order, StartAnswer answer, Instant now)
{
    Step *step = findStep(order.task.step);
    if (step == nullptr)
        return;
    Attempt *attempt = step->tasks[static_cast<size_t>(order.task.index)].attempt.get();
    if (attempt == nullptr || attempt->run != order.run
        || attempt->worker->entry.id != order.worker)
        return;
    if (answer == StartAnswer::Started) {
        attempt->confirmedAt = std::min(attempt->confirmedAt, now);
        if (attempt->phase == AttemptPhase::Ordered)
            attempt->phase = AttemptPhase::Running;
        return;
    }
    event("start_refused", order.task.step.job,
          "task=" + order.task.toString() + " run=" + std::to_string(order.run)
              + " worker=" + order.worker + " answer=" + std::string(startAnswerName(answer)));
    if (answer == StartAnswer::Unknown) {
        // It may be carried out later. A confirmed stop makes the worker reject it.
        requestStop(*attempt);
        return;
    }
    Worker &worker = *attempt->worker;
    if (answer == StartAnswer::NoApproval)
        step->approvals.erase(order.worker);
    if (answer == StartAnswer::StaleRun)
        step->tasks[static_cast<size_t>(order.task.index)].lastRun += StaleRunSkip;
    if (answer == StartAnswer::NotRun || answer == StartAnswer::NoRoom)
        avoid(worker, now, startAnswerName(answer));
    requeue(*attempt);
}

void Dispatcher::Impl::stopAnswered(const StopOrder &order, Instant now)
{
    Step *step = findStep(order.task.step);
    if (step == nullptr || order.task.index >= static_cast<int32_t>(step->tasks.size()))
        return;
    Attempt *attempt = step->tasks[static_cast<size_t>(order.task.index)].attempt.get();
    if (attempt == nullptr || attempt->run != order.run
        || attempt->worker->entry.id != order.worker)
        return;
    // From now on the run is listed as running, listed as ended, or never begins.
    attempt->confirmedAt = std::min(attempt->confirmedAt, now);
    m_toStop.erase(attempt);
}

} // namespace cardamompaddle
