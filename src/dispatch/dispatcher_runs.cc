// Runs: the life cycle of a run from its start order to the report that it has finished.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Run numbers to skip after a worker rejected a start because it has seen a higher number than this
// scheduler knows.
constexpr int64_t StaleRunSkip = 20;

bool hasLatencyTarget(const Step &step)
{
    return step.spec->latencyObjectiveMs > 0;
}

} // namespace

TaskRef Dispatcher::Impl::taskRefOf(const Attempt &attempt)
{
    const Step &step = *attempt.step;
    return {{step.job->spec->id, step.occurrence, step.number}, attempt.index};
}

Task *Dispatcher::Impl::findTask(const TaskRef &ref, Step *&step) const
{
    step = findStep(ref.step);
    const bool valid =
        step != nullptr && ref.index >= 0 && ref.index < static_cast<int32_t>(step->tasks.size());
    return valid ? &step->tasks[static_cast<size_t>(ref.index)] : nullptr;
}

Attempt *Dispatcher::Impl::findAttempt(const WorkerId &worker, const TaskRef &ref, int64_t run)
{
    Step *step = nullptr;
    const Task *task = findTask(ref, step);
    if (task == nullptr)
        return nullptr;
    for (Attempt *attempt : task->runs()) {
        if (attempt != nullptr && attempt->run == run && attempt->worker->entry.id == worker)
            return attempt;
    }
    return nullptr;
}

bool Dispatcher::Impl::mayStillStart(const Attempt &attempt, Instant now) const
{
    const Step &step = *attempt.step;
    const WorkRoute *route = routeOf(*step.job);
    if (attempt.phase != AttemptPhase::Ordered || now - attempt.orderedAt > MaxStartOrderAge
        || step.job->isTerminal() || route == nullptr || !acceptsStarts(*attempt.worker, *route))
        return false;
    const auto approval = step.approvals.find(attempt.worker->entry.id);
    return approval == step.approvals.end() || approval->second.expires > now;
}

void Dispatcher::Impl::requeueRuns(Worker &worker, const std::set<RunRef> &mayBeActive,
                                   std::string_view why)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        // requeue() of one gang member may already have removed another one.
        if (!worker.attempts.contains(attempt)
            || mayBeActive.contains({taskRefOf(*attempt), attempt->run}))
            continue;
        emitEvent("run_lost", attempt->step->job->spec->id,
                  "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run)
                      + " reason=" + std::string(why));
        requeue(*attempt);
    }
}

Attempt &Dispatcher::Impl::createAttempt(Step &step, int32_t index, int64_t run, Worker &worker,
                                         Instant now)
{
    Task &task = step.tasks[static_cast<size_t>(index)];
    std::unique_ptr<Attempt> &slot = task.attempt ? task.copy : task.attempt;
    slot = std::make_unique<Attempt>();
    Attempt &attempt = *slot;
    attempt.isCopy = &slot == &task.copy;
    attempt.serial = m_nextAttemptSerial++;
    attempt.step = &step;
    attempt.worker = &worker;
    attempt.index = index;
    attempt.run = run;
    attempt.orderedAt = now;
    attempt.lastProgressAt = attempt.percentAt = now;
    step.waitingSince.reset();
    step.heldSince.reset();
    step.readySince.reset();
    task.lastRun = std::max(task.lastRun, run);
    if (task.state == TaskState::Waiting) {
        task.state = TaskState::Active;
        --step.waiting;
    }
    ++step.active;
    ++step.job->active;
    ++step.perWorker[worker.entry.id];
    worker.used += step.taskResources;
    worker.attempts.insert(&attempt);
    attempt.suspect = !task.crashedRuns.empty();
    worker.newSuspects += attempt.suspect ? 1 : 0;
    worker.servingTasks += hasLatencyTarget(step) ? 1 : 0;
    worker.idleCpuTasks += step.spec->usesIdleCpu ? 1 : 0;
    *step.job->teamUse += step.taskResources;
    if (step.job->state == work::JobState::Queued) {
        step.job->state = work::JobState::Running;
        markStateDirty(*step.job);
    }
    markDirty(step, index);
    return attempt;
}

void Dispatcher::Impl::removeAttempt(Attempt &attempt)
{
    Step &step = *attempt.step;
    Worker &worker = *attempt.worker;
    Task &task = step.tasks[static_cast<size_t>(attempt.index)];
    --step.active;
    --step.job->active;
    if (attempt.phase == AttemptPhase::Stopping)
        --step.stopping;
    if (--step.perWorker[worker.entry.id] == 0)
        step.perWorker.erase(worker.entry.id);
    worker.used -= step.taskResources;
    worker.attempts.erase(&attempt);
    worker.newSuspects -= attempt.suspect && !attempt.survived ? 1 : 0;
    worker.servingTasks -= hasLatencyTarget(step) ? 1 : 0;
    worker.idleCpuTasks -= step.spec->usesIdleCpu ? 1 : 0;
    *step.job->teamUse -= step.taskResources;
    m_pendingStops.erase(&attempt);
    m_roomStops.erase(&attempt);
    if (task.state == TaskState::Active && otherRun(attempt) == nullptr) {
        task.state = TaskState::Waiting;
        ++step.waiting;
    }
    if (step.active == 0)
        step.gangBroken = false;
    if (task.copy.get() == &attempt)
        task.copy.reset();
    else
        task.attempt = std::move(task.copy);
    // A terminal job is erased by takeProgress() once none of its runs is left.
    if (step.job->isTerminal() && step.job->active == 0)
        markAllDirty(*step.job);
}

void Dispatcher::Impl::requeue(Attempt &attempt)
{
    Step &step = *attempt.step;
    removeAttempt(attempt);
    if (step.spec->gang && step.active > 0 && !step.done() && !step.job->isTerminal()) {
        // The other members cannot continue without this one.
        step.gangBroken = true;
        for (Task &task : step.tasks)
            stopRuns(task);
    }
}

void Dispatcher::Impl::requestStop(Attempt &attempt)
{
    if (attempt.phase == AttemptPhase::Running)
        attempt.confirmedAt = Instant::max();
    if (attempt.phase != AttemptPhase::Stopping)
        ++attempt.step->stopping;
    attempt.phase = AttemptPhase::Stopping;
    m_pendingStops.insert(&attempt);
}

void Dispatcher::Impl::finishRun(Attempt &attempt, RunOutcome outcome,
                                 const std::string &checkpoint, Instant now)
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
        (this->*m_estimates.learnRun)(attempt, ran);
        step.longestRunMs = std::max(step.longestRunMs, static_cast<int64_t>(ran));
    }
    if (outcome == RunOutcome::Succeeded)
        recordRunTime(attempt, now);
    const std::string job = step.job->spec->id;
    updateFailureStreak(worker, outcome, job, now);
    const WorkerId workerId = worker.entry.id;
    const int64_t run = attempt.run;
    emitEvent("run_ended", job,
              "task=" + taskRefOf(attempt).toString() + " run=" + std::to_string(attempt.run)
                  + " worker=" + workerId + " outcome=" + std::string(runOutcomeName(outcome))
                  + " ran_ms=" + std::to_string((now - attempt.orderedAt).count()));
    const bool wasTerminal = step.job->isTerminal();
    // A long-running task is started again until its job is cancelled, whatever its outcome.
    if (outcome == RunOutcome::Succeeded && !step.spec->longRunning) {
        reportCopyWon(attempt);
        removeAttempt(attempt);
        stopRuns(task);
        if (!wasTerminal)
            taskSucceeded(step, index);
        return;
    }
    requeue(attempt);
    // A run that was to be stopped may fail after another one has succeeded.
    if (outcome == RunOutcome::Failed && !wasTerminal && task.state != TaskState::Succeeded)
        taskFailed(step, index, run, workerId, now);
}

void Dispatcher::Impl::handleFinishedRun(Worker &worker, const EndedRun &end, Instant now)
{
    Step *step = nullptr;
    Task *found = findTask(end.task, step);
    if (found == nullptr) {
        // The job has ended, or the job table does not hold it. The end will be acknowledged.
        emitEvent("run_end_ignored", end.task.step.job,
                  "task=" + end.task.toString() + " run=" + std::to_string(end.run) + " worker="
                      + worker.entry.id + " outcome=" + std::string(runOutcomeName(end.outcome)));
        return;
    }
    Task &task = *found;
    if (Attempt *attempt = findAttempt(worker.entry.id, end.task, end.run))
        return finishRun(*attempt, end.outcome, end.checkpoint, now);
    // An earlier scheduler started the run, or the answer to its start order was lost.
    if (step->job->isTerminal() || task.state == TaskState::Succeeded)
        return;
    task.lastRun = std::max(task.lastRun, end.run);
    if (!end.checkpoint.empty() && !task.attempt)
        task.checkpoint = end.checkpoint;
    if (end.outcome == RunOutcome::Succeeded && !step->spec->longRunning) {
        stopRuns(task);
        taskSucceeded(*step, end.task.index);
    } else if (end.outcome == RunOutcome::Failed) {
        taskFailed(*step, end.task.index, end.run, worker.entry.id, now);
    }
}

Attempt *Dispatcher::Impl::reconcileActiveRun(Worker &worker, const ActiveRun &run,
                                              Instant requestedAt, Instant now)
{
    Step *step = nullptr;
    Task *task = findTask(run.task, step);
    if (Attempt *known = findAttempt(worker.entry.id, run.task, run.run)) {
        if (known->phase == AttemptPhase::Ordered) {
            known->phase = AttemptPhase::Running;
            known->confirmedAt = std::min(known->confirmedAt, now);
        }
        known->started = true;
        updateSurvival(*known, requestedAt);
        if (run.percent != known->percent)
            known->lastProgressAt = known->percentAt = now;
        if (!known->firstProgressAt && run.percent > known->percent && known->percentReported) {
            known->firstProgressAt = now;
            known->firstProgressPercent = run.percent;
        }
        known->percentReported = true;
        updateFromReport(*known, run);
        (this->*m_estimates.learnProgress)(*known, now);
        return known;
    }
    const Attempt *known = task != nullptr ? task->attempt.get() : nullptr;
    const bool adoptFirst = task != nullptr && known == nullptr && task->state == TaskState::Waiting
                            && !step->job->isTerminal() && !step->gangBroken;
    const bool adopt =
        adoptFirst || (known != nullptr && mayAdoptCopy(worker, *step, *task, run.run));
    if (!adopt) {
        // The run is orphaned: its job has ended, or its task runs under another number. A report
        // that was requested before the current attempt was ordered says nothing about that attempt
        // and causes no stop.
        if (known == nullptr || known->orderedAt < requestedAt)
            m_orphanStops.push_back({worker.entry.id, run.task, run.run});
        // Until it finishes, it uses capacity that is not accounted for.
        worker.hasOrphanedRuns = true;
        countOrphanedRun(worker, run.task);
        emitEvent("run_orphaned", run.task.step.job,
                  "task=" + run.task.toString() + " run=" + std::to_string(run.run)
                      + " worker=" + worker.entry.id);
        return nullptr;
    }
    Attempt &adopted = createAttempt(*step, run.task.index, run.run, worker, now);
    adopted.phase = AttemptPhase::Running;
    adopted.confirmedAt = requestedAt;
    adopted.started = true;
    adopted.adopted = true;
    updateFromReport(adopted, run);
    emitEvent("run_adopted", step->job->spec->id,
              "task=" + run.task.toString() + " run=" + std::to_string(run.run)
                  + " worker=" + worker.entry.id);
    return &adopted;
}

void Dispatcher::Impl::updateFromReport(Attempt &attempt, const ActiveRun &run)
{
    attempt.percent = run.percent;
    attempt.loadMetric = run.loadMetric;
    if (!run.checkpoint.empty())
        attempt.step->tasks[static_cast<size_t>(attempt.index)].checkpoint = run.checkpoint;
}

void Dispatcher::Impl::requeueMissingRuns(Worker &worker, const AttemptSet &seen,
                                          Instant requestedAt)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        // requeue() of one gang member may already have removed another one.
        if (!worker.attempts.contains(attempt) || seen.contains(attempt)
            || attempt->confirmedAt >= requestedAt)
            continue;
        emitEvent("run_missing", attempt->step->job->spec->id,
                  "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run));
        requeue(*attempt);
    }
}

void Dispatcher::Impl::keepUnlistedRuns(Worker &worker, const AttemptSet &seen, Instant now)
{
    for (Attempt *attempt : worker.attempts) {
        if (!seen.contains(attempt))
            attempt->lastProgressAt = now;
    }
}

void Dispatcher::Impl::startAnswered(const StartOrder &order, StartOutcome answer, Instant now)
{
    Attempt *attempt = findAttempt(order.worker, order.task, order.run);
    if (attempt == nullptr)
        return;
    // A report that lists the run proves that it has started, whatever became of the answers.
    if (answer == StartOutcome::Unknown && attempt->phase == AttemptPhase::Running)
        return;
    if (answer == StartOutcome::Started) {
        attempt->confirmedAt = std::min(attempt->confirmedAt, now);
        attempt->started = true;
        attempt->worker->lastAnswerAt = std::max(attempt->worker->lastAnswerAt, now);
        if (attempt->phase == AttemptPhase::Ordered) {
            // The order may have waited for its log record to be stored before it was sent, so the
            // run time counts from the answer.
            attempt->phase = AttemptPhase::Running;
            attempt->orderedAt = attempt->lastProgressAt = attempt->percentAt = now;
            attempt->startAnswered = true;
        }
        return;
    }
    emitEvent("start_refused", order.task.step.job,
              "task=" + order.task.toString() + " run=" + std::to_string(order.run)
                  + " worker=" + order.worker + " answer=" + std::string(startOutcomeName(answer)));
    if (answer == StartOutcome::Unknown) {
        // The worker may still carry out the start. Once it has confirmed a stop, it rejects it.
        requestStop(*attempt);
        return;
    }
    Step &step = *attempt->step;
    if (answer == StartOutcome::NoApproval)
        step.approvals.erase(order.worker);
    if (answer == StartOutcome::StaleRun)
        step.tasks[static_cast<size_t>(order.task.index)].lastRun += StaleRunSkip;
    if (answer == StartOutcome::WorkerUnavailable || answer == StartOutcome::NoRoom)
        avoidWorker(*attempt->worker, now, startOutcomeName(answer));
    requeue(*attempt);
}

void Dispatcher::Impl::stopAnswered(const StopOrder &order, Instant now)
{
    Attempt *attempt = findAttempt(order.worker, order.task, order.run);
    if (attempt == nullptr)
        return;
    // From now on, reports list the run as active or finished, or it never starts.
    attempt->confirmedAt = std::min(attempt->confirmedAt, now);
    m_pendingStops.erase(attempt);
}

} // namespace cardamompaddle
