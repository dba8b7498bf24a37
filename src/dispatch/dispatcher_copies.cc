// Copies: second runs of tasks whose run falls behind its siblings.
//
// Only tasks of steps with StepSpec::copiesAllowed have copies, at most one at a time, on another
// worker and under another run number. The first success wins, and the other run is stopped. If one
// of the two runs ends in another way, the other goes on as the task's only run.
//
// The end of a task is not acknowledged while another run of it may still start: a worker that
// carries out a start late would run a task that is known to have ended. Progress names the workers
// of both runs, and a task waits until all of them have reported after a takeover.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Copies of one task that a scheduler starts, so that those which are refused or lost come to an
// end.
constexpr int32_t MaxCopiesPerTask = 2;
// Runs are judged at least this often, since a run may fall behind without a report.
constexpr Duration CopyCheckInterval{200};

bool allowsCopies(const Step &step)
{
    const work::StepSpec &spec = *step.spec;
    return spec.copiesAllowed && !spec.gang && !spec.longRunning && !spec.usesIdleCpu;
}

} // namespace

void Dispatcher::Impl::stopRuns(Task &task)
{
    for (Attempt *attempt : task.runs()) {
        if (attempt != nullptr)
            requestStop(*attempt);
    }
}

Attempt *Dispatcher::Impl::otherRun(const Attempt &attempt)
{
    const Task &task = attempt.step->tasks[static_cast<size_t>(attempt.index)];
    return task.attempt.get() == &attempt ? task.copy.get() : task.attempt.get();
}

void Dispatcher::Impl::reportCopyWon(const Attempt &attempt) const
{
    const Task &task = attempt.step->tasks[static_cast<size_t>(attempt.index)];
    if (!attempt.isCopy || task.state == TaskState::Succeeded)
        return;
    const Attempt *other = otherRun(attempt);
    emitEvent("copy_won", attempt.step->job->spec->id,
              "task=" + taskRefOf(attempt).toString() + " run=" + std::to_string(attempt.run)
                  + " worker=" + attempt.worker->entry.id
                  + (other == nullptr ? ""
                                      : " other_run=" + std::to_string(other->run)
                                            + " other_worker=" + other->worker->entry.id
                                            + " other_percent=" + std::to_string(other->percent)));
}

// Records the run time of a successful run, by which its siblings are judged.
void Dispatcher::Impl::recordRunTime(const Attempt &attempt, Instant now)
{
    Step &step = *attempt.step;
    const Task &task = step.tasks[static_cast<size_t>(attempt.index)];
    if (attempt.phase == AttemptPhase::Ordered || attempt.adopted || !task.checkpoint.empty()
        || task.state == TaskState::Succeeded)
        return;
    ++step.timedRuns;
    step.timedRunsMs += (now - attempt.orderedAt).count();
    step.timedRunsSlowdown += attempt.worker->slowdown;
}

// Returns whether a reported run of a task that has a run already is a copy which an earlier
// scheduler started. Any other one is orphaned.
bool Dispatcher::Impl::mayAdoptCopy(const Worker &worker, const Step &step, const Task &task,
                                    int64_t run) const
{
    const int64_t firstRun = nextRunNumber(0); // of this scheduler
    const bool isRecorded =
        task.previousWorker == worker.entry.id || task.copyWorkers.contains(worker.entry.id);
    return m_options.policies.maxCopyShare > 0 && allowsCopies(step) && isRecorded
           && !step.job->isTerminal() && task.state == TaskState::Active && !task.copy
           && task.attempt->phase != AttemptPhase::Stopping && task.attempt->worker != &worker
           && task.attempt->run != run && std::max(task.attempt->run, run) < firstRun;
}

// Returns the workers on which runs of the task may exist; those with an active run come first.
std::vector<WorkerId> Dispatcher::Impl::workersOfRuns(const Task &task) const
{
    std::vector<WorkerId> out;
    for (const Attempt *attempt : task.runs()) {
        if (attempt != nullptr)
            out.push_back(attempt->worker->entry.id);
    }
    if (!out.empty() && task.copyWorkers.empty())
        return out;
    const std::set<WorkerId> unreported = unreportedWorkers(task);
    std::copy(unreported.begin(), unreported.end(), std::back_inserter(out));
    return out;
}

// Returns the workers on which an earlier scheduler placed the task, that have not reported since
// and on which no run of it is known.
std::set<WorkerId> Dispatcher::Impl::unreportedWorkers(const Task &task) const
{
    std::set<WorkerId> out = task.copyWorkers;
    if (!task.previousWorker.empty())
        out.insert(task.previousWorker);
    std::erase_if(out, [this](const WorkerId &id) { return !m_unreconciled.contains(id); });
    for (const Attempt *attempt : task.runs()) {
        if (attempt != nullptr)
            out.erase(attempt->worker->entry.id);
    }
    return out;
}

// Returns how many runs of the task may exist on workers that have not reported. A task that may
// have copies may also have such runs beside a known one, and after its success.
int32_t Dispatcher::Impl::unreportedRuns(const Step &step, const Task &task) const
{
    const bool mayHaveFurther =
        allowsCopies(step) && (!task.copyWorkers.empty() || task.state == TaskState::Succeeded);
    if (task.state != TaskState::Waiting && !mayHaveFurther)
        return 0;
    return static_cast<int32_t>(unreportedWorkers(task).size());
}

// Returns whether a run of the task may still start on another worker than this.
bool Dispatcher::Impl::mayStartElsewhere(const TaskRef &ref, const WorkerId &worker) const
{
    if (m_options.lateStartWorkers) {
        const std::set<WorkerId> *late = m_options.lateStartWorkers(ref);
        if (late != nullptr && late->size() > late->count(worker))
            return true;
    }
    Step *step = nullptr;
    const Task *task = findTask(ref, step);
    if (task == nullptr)
        return false;
    for (const Attempt *attempt : task->runs()) {
        if (attempt != nullptr && attempt->worker->entry.id != worker
            && attempt->isStartUnresolved())
            return true;
    }
    const std::set<WorkerId> unreported = unreportedWorkers(*task);
    return unreported.size() > unreported.count(worker);
}

// Keeps the end of a run from being acknowledged if it ends its task and another run of the task
// may still start.
void Dispatcher::Impl::holdEnd(Worker &worker, const EndedRun &end)
{
    std::erase_if(worker.heldEnds, [this, &worker](const HeldEnd &it) {
        return !mayStartElsewhere(it.task, worker.entry.id);
    });
    Step *step = nullptr;
    const Task *task = findTask(end.task, step);
    if (task == nullptr || !allowsCopies(*step))
        return;
    const bool hasCopies = m_options.policies.maxCopyShare > 0 || !task->copyWorkers.empty();
    const bool isOver = task->state == TaskState::Succeeded || step->job->isTerminal();
    if (hasCopies && isOver && mayStartElsewhere(end.task, worker.entry.id))
        worker.heldEnds.push_back({end.position, end.task});
}

int64_t Dispatcher::Impl::acknowledgeablePosition(const Worker &worker) const
{
    const auto held = std::find_if(
        worker.heldEnds.begin(), worker.heldEnds.end(),
        [this, &worker](const HeldEnd &it) { return mayStartElsewhere(it.task, worker.entry.id); });
    return held == worker.heldEnds.end() ? worker.endPosition : held->position - 1;
}

// Returns whether runs of the step may be given copies, by all that holds for the whole step.
bool Dispatcher::Impl::mayHaveCopies(const Step &step, int64_t unixMs) const
{
    if (!allowsCopies(step) || step.waiting > 0 || step.active == 0 || step.job->isTerminal()
        || mayHaveUnrecordedRuns(*step.job))
        return false;
    const WorkRoute *route = routeOf(*step.job);
    return route != nullptr
           && urgencyClass(step, *route, slackMs(step, *route, unixMs), unixMs)
                  != UrgencyClass::Expired;
}

// The same for what holds for one task. Its next failure must not be the last one that it may have,
// so that the failure of one run does not end the other.
bool Dispatcher::Impl::mayHaveCopy(const Step &step, const Task &task, const WorkRoute &route,
                                   Instant now) const
{
    const Attempt *attempt = task.attempt.get();
    return task.state == TaskState::Active && attempt != nullptr && !task.copy
           && attempt->phase == AttemptPhase::Running && attempt->started && !attempt->adopted
           && attempt->speedPercent >= 100 && task.notBefore <= now && task.checkpoint.empty()
           && task.crashedRuns.empty()
           && static_cast<int32_t>(task.failedRuns.size()) + 2 <= route.maxAttempts
           && task.copiesStarted < MaxCopiesPerTask && !mayBeRunningUnreported(task)
           && lateStartWorkers(step, task) == nullptr;
}

// Returns the worker's slowdown against those on which the step's finished tasks ran.
double Dispatcher::Impl::relativeSlowdown(const Worker &worker, const Step &step)
{
    return step.timedRunsSlowdown <= 0 ? 1
                                       : worker.slowdown * step.timedRuns / step.timedRunsSlowdown;
}

// Returns the progress of a run, without the pace of the other runs on its worker and the time that
// its job allows.
RunProgress Dispatcher::Impl::progressOfRun(const Attempt &attempt, Instant now) const
{
    const Step &step = *attempt.step;
    // A worker that is silent but reachable may just be polled late.
    const Instant observedAt =
        attempt.worker->reachable ? std::min(now, attempt.worker->lastAnswerAt) : now;
    RunProgress out;
    out.ran = now - attempt.orderedAt;
    out.sinceReport = now - observedAt;
    out.percent = attempt.percent;
    out.sincePercent = std::max(Duration::zero(), observedAt - attempt.percentAt);
    out.workerSlowdown = relativeSlowdown(*attempt.worker, step);
    out.siblings.finished = step.timedRuns;
    out.siblings.others = static_cast<int32_t>(step.tasks.size()) - 1;
    if (step.timedRuns > 0)
        out.siblings.meanMs = static_cast<double>(step.timedRunsMs) / step.timedRuns;
    return out;
}

WorkerPace Dispatcher::Impl::paceOfOthers(const Attempt &attempt, Instant now) const
{
    WorkerPace out;
    double sum = 0;
    for (const Attempt *other : attempt.worker->attempts) {
        const work::StepSpec &spec = *other->step->spec;
        if (other == &attempt || other->phase != AttemptPhase::Running || other->adopted
            || other->speedPercent < 100 || spec.gang || spec.longRunning || spec.usesIdleCpu
            || !other->step->tasks[static_cast<size_t>(other->index)].checkpoint.empty())
            continue;
        const auto ratio = m_stragglers.behindRatio(progressOfRun(*other, now));
        if (!ratio || *ratio <= 0)
            continue;
        ++out.runs;
        sum += std::log(*ratio);
    }
    out.meanLogRatio = out.runs == 0 ? 0 : sum / out.runs;
    return out;
}

// Returns the runs that deserve a copy, in the order in which they get one.
std::vector<Straggler> Dispatcher::Impl::findStragglers(Instant now, int64_t unixMs) const
{
    std::vector<Straggler> out;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            if (!mayHaveCopies(*step, unixMs))
                continue;
            const WorkRoute &route = *routeOf(*job);
            const Duration allowed(slackMs(*step, route, unixMs) + step->spec->estimatedMs);
            for (const Task &task : step->tasks) {
                if (!mayHaveCopy(*step, task, route, now))
                    continue;
                RunProgress progress = progressOfRun(*task.attempt, now);
                if (!m_stragglers.isBehind(progress))
                    continue;
                progress.pace = paceOfOthers(*task.attempt, now);
                progress.timeAllowed = allowed;
                if (const auto prospect = m_stragglers.judge(progress))
                    out.push_back({task.attempt.get(), &route, progress, *prospect});
            }
        }
    }
    std::sort(out.begin(), out.end(),
              [](const Straggler &a, const Straggler &b) { return a.rank() < b.rank(); });
    return out;
}

CopyRoom Dispatcher::Impl::copyRoomOf(const std::string &pool, int64_t unixMs) const
{
    Resources capacity;
    Resources free;
    for (const auto &[id, worker] : m_workers) {
        if (!worker->listed || worker->entry.pool != pool)
            continue;
        capacity += worker->entry.capacity;
        const bool accepts = worker->reported && worker->reachable && !worker->entry.draining
                             && !m_zonesOut.contains(worker->entry.availabilityZone);
        if (accepts)
            free += worker->entry.capacity - worker->used - worker->held;
    }
    CopyRoom out{CopyBudget(capacity.cpuMilli, m_options.policies.maxCopyShare), free, {}};
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = routeOf(*job);
        if (route == nullptr || route->pool != pool)
            continue;
        for (const auto &step : job->steps) {
            // Copies of ended jobs count until they have been stopped.
            for (const Task &task : step->tasks) {
                if (task.copy)
                    out.budget.add(step->taskResources.cpuMilli);
            }
            if (mayStartNow(*step) && isReady(*step, unixMs)
                && step->waitReason != WaitReason::TeamLimit)
                out.waiting.push_back({step.get(), route});
        }
    }
    return out;
}

// Returns whether a waiting step of at least the route's priority lacks only room on the worker.
bool Dispatcher::Impl::isWanted(const Worker &worker, const CopyRoom &room, const WorkRoute &route,
                                Instant now)
{
    return std::any_of(room.waiting.begin(), room.waiting.end(), [&](const auto &it) {
        if (it.route->priority > route.priority || it.step->waitReason != WaitReason::Room)
            return false;
        const auto approval = it.step->approvals.find(worker.entry.id);
        return !it.route->approval
               || (approval != it.step->approvals.end() && approval->second.expires > now);
    });
}

void Dispatcher::Impl::startCopies(Instant now, int64_t unixMs, Orders &out)
{
    if (m_options.policies.maxCopyShare <= 0)
        return;
    std::map<std::string, CopyRoom> rooms; // by pool
    for (const Straggler &straggler : findStragglers(now, unixMs)) {
        const std::string &pool = straggler.route->pool;
        auto it = rooms.find(pool);
        if (it == rooms.end())
            it = rooms.emplace(pool, copyRoomOf(pool, unixMs)).first;
        startCopy(straggler, it->second, now, out);
    }
}

// Starts a copy of the run if budget, limit and room permit. Returns whether it does.
bool Dispatcher::Impl::startCopy(const Straggler &straggler, CopyRoom &room, Instant now,
                                 Orders &out)
{
    const Attempt &first = *straggler.attempt;
    const WorkRoute &route = *straggler.route;
    Step &step = *first.step;
    Task &task = step.tasks[static_cast<size_t>(first.index)];
    Resources needed = step.taskResources;
    if (!room.budget.fits(needed.cpuMilli)
        || !withinLimit(*step.job, needed + reserveForUrgentWork(*step.job, route)))
        return false;
    for (const CopyRoom::WaitingStep &it : room.waiting) {
        if (it.route->priority <= route.priority)
            needed += it.step->taskResources * it.step->waiting;
    }
    if (!needed.fitsIn(room.free))
        return false;
    std::vector<Worker *> candidates = candidatesFor(step, route, now);
    std::erase_if(candidates, [&](const Worker *worker) {
        return worker == first.worker || worker->slowUntil > now
               || isWanted(*worker, room, route, now);
    });
    Worker *worker = chooseWorker(step, task, candidates, now);
    if (worker == nullptr)
        return false;
    const auto prospect = m_stragglers.judge(straggler.progress, relativeSlowdown(*worker, step));
    if (!prospect)
        return false;
    ++task.copiesStarted;
    const int64_t run = nextRunNumber(task.lastRun);
    startRun(step, first.index, run, *worker, now, out);
    room.budget.add(step.taskResources.cpuMilli);
    room.free -= step.taskResources;
    emitEvent("copy_started", step.job->spec->id,
              "task=" + taskRefOf(first).toString() + " run=" + std::to_string(run) + " worker="
                  + worker->entry.id + " first_run=" + std::to_string(first.run) + " first_worker="
                  + first.worker->entry.id + " percent=" + std::to_string(first.percent)
                  + " ran_ms=" + std::to_string(straggler.progress.ran.count())
                  + " left_ms=" + std::to_string(static_cast<int64_t>(prospect->leftMs))
                  + " copy_ms=" + std::to_string(static_cast<int64_t>(prospect->copyMs)));
    return true;
}

std::optional<Instant> Dispatcher::Impl::nextCopyCheck(Instant now, int64_t unixMs) const
{
    if (m_options.policies.maxCopyShare <= 0)
        return std::nullopt;
    const bool any = std::any_of(m_jobs.begin(), m_jobs.end(), [this, unixMs](const auto &it) {
        const auto &steps = it.second->steps;
        return std::any_of(steps.begin(), steps.end(), [this, unixMs](const auto &step) {
            return mayHaveCopies(*step, unixMs);
        });
    });
    return any ? std::optional(now + CopyCheckInterval) : std::nullopt;
}

} // namespace cardamompaddle
