// Runs: from the start that is ordered to the end that is reported, and what is known in between.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Run numbers passed over when a worker has seen a higher one than is known here.
constexpr int64_t StaleRunSkip = 20;
// Weight of one run in a worker's slowdown.
constexpr double SlownessWeight = 0.1;
// Of a run time against its estimate, in what counts for the slowdown.
constexpr double LeastSlowness = 0.25;
constexpr double MostSlowness = 6;

bool serves(const Step &step)
{
    return step.spec->latencyObjectiveMs > 0;
}

} // namespace

TaskRef Dispatcher::Impl::refOf(const Attempt &attempt)
{
    const Step &step = *attempt.step;
    return {{step.job->spec->id, step.occurrence, step.number}, attempt.index};
}

Task *Dispatcher::Impl::findTask(const TaskRef &ref, Step *&step)
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
    Attempt *attempt = task == nullptr ? nullptr : task->attempt.get();
    const bool matches =
        attempt != nullptr && attempt->run == run && attempt->worker->entry.id == worker;
    return matches ? attempt : nullptr;
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
    *step.job->teamUse += step.need;
    if (step.job->state == work::JobState::Queued)
        step.job->state = work::JobState::Running;
    markDirty(*step.job);
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
    *step.job->teamUse -= step.need;
    m_toStop.erase(&attempt);
    if (task.state == TaskState::Active) {
        task.state = TaskState::Waiting;
        ++step.waiting;
    }
    if (step.active == 0)
        step.gangBroken = false;
    task.attempt.reset();
    // A final job is forgotten once nothing of it runs and its state is stored.
    if (step.job->isTerminal() && step.job->active == 0)
        markDirty(*step.job);
}

void Dispatcher::Impl::requeue(Attempt &attempt)
{
    Step &step = *attempt.step;
    detach(attempt);
    if (step.spec->gang && step.active > 0 && !step.done() && !step.job->isTerminal()) {
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
        const double ratio = std::clamp(ran / static_cast<double>(step.spec->estimatedMs),
                                        LeastSlowness, MostSlowness);
        worker.slowdown += SlownessWeight * (ratio - worker.slowdown);
        step.longestRunMs = std::max(step.longestRunMs, static_cast<int64_t>(ran));
    }
    const std::string job = step.job->spec->id;
    judgeWorker(worker, outcome, job, now);
    const WorkerId where = worker.entry.id;
    const int64_t run = attempt.run;
    event("run_ended", job,
          "task=" + refOf(attempt).toString() + " run=" + std::to_string(attempt.run)
              + " worker=" + where + " outcome=" + std::string(runOutcomeName(outcome))
              + " ran_ms=" + std::to_string((now - attempt.orderedAt).count()));
    const bool wasFinal = step.job->isTerminal();
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

void Dispatcher::Impl::takeEnd(Worker &worker, const EndedRun &end, Instant now)
{
    Step *step = nullptr;
    Task *found = findTask(end.task, step);
    if (found == nullptr)
        return;
    Task &task = *found;
    if (Attempt *attempt = findAttempt(worker.entry.id, end.task, end.run))
        return endRun(*attempt, end.outcome, end.checkpoint, now);
    // The end of a run that an earlier scheduler started, or of one whose answer was lost.
    if (step->job->isTerminal() || task.state == TaskState::Succeeded)
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

Attempt *Dispatcher::Impl::takeRunning(Worker &worker, const ActiveRun &run, Instant requestedAt,
                                       Instant now)
{
    Step *step = nullptr;
    Task *task = findTask(run.task, step);
    if (Attempt *known = findAttempt(worker.entry.id, run.task, run.run)) {
        if (known->phase == AttemptPhase::Ordered) {
            known->phase = AttemptPhase::Running;
            known->confirmedAt = std::min(known->confirmedAt, now);
        }
        if (run.percent != known->percent)
            known->progressAt = now;
        if (!known->watchedFrom && run.percent > known->percent && known->percentSeen) {
            known->watchedFrom = now;
            known->watchedPercent = run.percent;
        }
        known->percentSeen = true;
        describe(*known, run);
        return known;
    }
    const Attempt *known = task != nullptr ? task->attempt.get() : nullptr;
    const bool adopt = task != nullptr && known == nullptr && task->state == TaskState::Waiting
                       && !step->job->isTerminal() && !step->gangBroken;
    if (!adopt) {
        // A run that no task wants: its job is over, or the task runs elsewhere under a later
        // number. A run that was ordered after the worker was asked cannot be meant.
        if (known == nullptr || known->orderedAt < requestedAt)
            m_unwanted.push_back({worker.entry.id, run.task, run.run});
        // It takes up room that is not counted here until it has ended.
        worker.unwantedRuns = true;
        return nullptr;
    }
    Attempt &adopted = attach(*step, run.task.index, run.run, worker, now);
    adopted.phase = AttemptPhase::Running;
    adopted.confirmedAt = requestedAt;
    describe(adopted, run);
    event("run_adopted", step->job->spec->id,
          "task=" + run.task.toString() + " run=" + std::to_string(run.run)
              + " worker=" + worker.entry.id);
    return &adopted;
}

void Dispatcher::Impl::describe(Attempt &attempt, const ActiveRun &run)
{
    attempt.percent = run.percent;
    attempt.gauge = run.gauge;
    if (!run.checkpoint.empty())
        attempt.step->tasks[static_cast<size_t>(attempt.index)].checkpoint = run.checkpoint;
}

void Dispatcher::Impl::dropMissing(Worker &worker, const AttemptSet &seen, Instant requestedAt)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        // The member of a gang may have been dropped with another one.
        if (!worker.attempts.contains(attempt) || seen.contains(attempt)
            || attempt->confirmedAt >= requestedAt)
            continue;
        event("run_missing", attempt->step->job->spec->id,
              "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run));
        requeue(*attempt);
    }
}

void Dispatcher::Impl::startAnswered(const StartOrder &order, StartOutcome answer, Instant now)
{
    Attempt *attempt = findAttempt(order.worker, order.task, order.run);
    if (attempt == nullptr)
        return;
    if (answer == StartOutcome::Started) {
        attempt->confirmedAt = std::min(attempt->confirmedAt, now);
        if (attempt->phase == AttemptPhase::Ordered) {
            // The order may have waited for the log before it was sent.
            attempt->phase = AttemptPhase::Running;
            attempt->orderedAt = attempt->progressAt = now;
        }
        return;
    }
    event("start_refused", order.task.step.job,
          "task=" + order.task.toString() + " run=" + std::to_string(order.run)
              + " worker=" + order.worker + " answer=" + std::string(startOutcomeName(answer)));
    if (answer == StartOutcome::Unknown) {
        // It may be carried out later. A confirmed stop makes the worker reject it.
        requestStop(*attempt);
        return;
    }
    Step &step = *attempt->step;
    if (answer == StartOutcome::NoApproval)
        step.approvals.erase(order.worker);
    if (answer == StartOutcome::StaleRun)
        step.tasks[static_cast<size_t>(order.task.index)].lastRun += StaleRunSkip;
    if (answer == StartOutcome::NotRun || answer == StartOutcome::NoRoom)
        avoid(*attempt->worker, now, startOutcomeName(answer));
    requeue(*attempt);
}

void Dispatcher::Impl::stopAnswered(const StopOrder &order, Instant now)
{
    Attempt *attempt = findAttempt(order.worker, order.task, order.run);
    if (attempt == nullptr)
        return;
    // From now on the run is listed as running, listed as ended, or never begins.
    attempt->confirmedAt = std::min(attempt->confirmedAt, now);
    m_toStop.erase(attempt);
}

} // namespace cardamompaddle
