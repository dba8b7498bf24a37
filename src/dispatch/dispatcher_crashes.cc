// Crashes of workers: which task is to blame, and when it is given up.
//
// A crash ends all runs of a worker, but usually one of them has caused it. Only runs that had
// started shortly before are blamed; a task with crashes on record starts apart from other new runs
// where possible, so that the next crash tells them apart. A worker has certainly crashed if a new
// incarnation reports under its ID or another worker has its address, and it had not been draining.
// One that was only unreachable reports with its former start time.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A job fails once this many workers have crashed under one of its tasks.
constexpr size_t MaxCrashedWorkers = 3;
// A run whose worker still answers this long after its start has not crashed it.
constexpr Duration SurvivalTime{500};
// For this long after its backoff, a task that one more crash would end waits for a worker without
// other new runs.
constexpr Duration MaxWaitToStartApart{1'500};
// Backoff before a task runs again once several workers have crashed under it.
constexpr Duration CrashRetryDelay{500};
// Added to the placement score of a worker where a new run could be blamed for the crash of another
// one. Exceeds all other penalties.
constexpr double SharedBlamePenalty = 50;

bool isLastChance(const Task &task)
{
    return task.crashedRuns.size() + 1 >= MaxCrashedWorkers;
}

// Returns whether the run could be blamed for a crash of its worker at `now`.
bool isNew(const Attempt &attempt, Instant now)
{
    const bool confirmed = attempt.confirmedAt != Instant::max();
    return !attempt.survived
           && now - (confirmed ? attempt.confirmedAt : attempt.orderedAt) < SurvivalTime;
}

} // namespace

// Records the runs of the worker that are to blame if it has crashed.
void Dispatcher::Impl::recordNewRuns(const Worker &worker)
{
    // Workers that never report again leave records behind, which matter as long as their jobs do.
    std::erase_if(m_lostWorkers, [this](const auto &it) {
        return std::none_of(it.second.newRuns.begin(), it.second.newRuns.end(),
                            [this](const LostRun &lost) {
                                Step *step = nullptr;
                                return findTask(lost.task, step) != nullptr;
                            });
    });
    LostWorker lost;
    lost.address = worker.entry.address;
    lost.startedAtMs = worker.incarnationStartedAtMs.value_or(0);
    lost.drained = worker.drained;
    for (const Attempt *attempt : worker.attempts) {
        if (attempt->started && isNew(*attempt, worker.lastAnswerAt))
            lost.newRuns.push_back({taskRefOf(*attempt), attempt->run});
    }
    if (!lost.newRuns.empty())
        m_lostWorkers[worker.entry.id] = std::move(lost);
}

// Decides by a worker's report whether its former incarnation, or the worker that had its address
// before, has crashed.
void Dispatcher::Impl::settleLostRuns(Worker &worker, int64_t startedAtMs, Instant now)
{
    const WorkerId &id = worker.entry.id;
    if (worker.incarnationStartedAtMs == startedAtMs) {
        m_lostWorkers.erase(id);
        return;
    }
    if (worker.reported)
        recordNewRuns(worker);
    worker.drained = worker.entry.draining;
    worker.lastAnswerAt = {};
    std::vector<WorkerId> crashed;
    for (const auto &[lostId, lost] : m_lostWorkers) {
        const bool replaced =
            lostId != id && !lost.address.empty() && lost.address == worker.entry.address;
        const bool restarted = lostId == id && lost.startedAtMs != startedAtMs;
        if (replaced || restarted)
            crashed.push_back(lostId);
    }
    for (const WorkerId &lostId : crashed)
        blameNewRuns(lostId, now);
    m_lostWorkers.erase(id);
}

void Dispatcher::Impl::workerReplaced(const WorkerId &id, Instant now)
{
    workerLost(id, {});
    blameNewRuns(id, now);
}

// Blames the new runs of a lost worker whose incarnation has certainly ended.
void Dispatcher::Impl::blameNewRuns(const WorkerId &id, Instant now)
{
    const auto lost = m_lostWorkers.extract(id);
    if (lost.empty() || lost.mapped().drained)
        return;
    for (const LostRun &run : lost.mapped().newRuns)
        taskCrashedWorker(run, id, now);
}

void Dispatcher::Impl::taskCrashedWorker(const LostRun &lost, const WorkerId &workerId, Instant now)
{
    Step *step = nullptr;
    Task *task = findTask(lost.task, step);
    if (task == nullptr || step->job->isTerminal() || task->state == TaskState::Succeeded
        || !task->crashedRuns.insert(lost.run).second)
        return;
    const size_t crashes = task->crashedRuns.size();
    if (crashes > 1)
        task->notBefore = std::max(task->notBefore, now + CrashRetryDelay);
    markDirty(*step, lost.task.index);
    const std::string detail = "task=" + lost.task.toString() + " run=" + std::to_string(lost.run)
                               + " worker=" + workerId + " crashes=" + std::to_string(crashes);
    emitEvent("worker_crashed", lost.task.step.job, detail);
    if (crashes < MaxCrashedWorkers)
        return;
    emitEvent("task_given_up", lost.task.step.job, detail);
    finishJob(*step->job, work::JobState::Failed,
              std::to_string(crashes) + " workers crashed under task "
                  + std::to_string(lost.task.index) + " of step " + std::to_string(step->number));
}

// Clears a run of suspicion if it was still listed long enough after its start.
void Dispatcher::Impl::updateSurvival(Attempt &attempt, Instant listedAt)
{
    if (attempt.survived || attempt.confirmedAt == Instant::max()
        || listedAt - attempt.confirmedAt < SurvivalTime)
        return;
    attempt.survived = true;
    attempt.worker->newSuspects -= attempt.suspect ? 1 : 0;
    Task &task = attempt.step->tasks[static_cast<size_t>(attempt.index)];
    if (!std::exchange(task.crashedRuns, {}).empty())
        markDirty(*attempt.step, attempt.index);
}

// Returns whether a start of the task on the worker has to wait, so that neither is blamed for the
// other: the task or a new run there would be ended by one more crash.
bool Dispatcher::Impl::mustStartApart(const Worker &worker, const Task &task, Instant now)
{
    const bool waits = isLastChance(task) && now - task.notBefore < MaxWaitToStartApart;
    if (!waits && worker.newSuspects == 0)
        return false;
    return std::any_of(
        worker.attempts.begin(), worker.attempts.end(), [waits, now](const Attempt *attempt) {
            const auto index = static_cast<size_t>(attempt->index);
            return isNew(*attempt, now) && (waits || isLastChance(attempt->step->tasks[index]));
        });
}

// Returns what to add to the placement score so that suspects start apart from other new runs.
double Dispatcher::Impl::crashPenalty(const Worker &worker, const Task &task)
{
    if (worker.newSuspects > 0)
        return SharedBlamePenalty;
    const bool shares = !task.crashedRuns.empty()
                        && std::any_of(worker.attempts.begin(), worker.attempts.end(),
                                       [](const Attempt *attempt) { return !attempt->survived; });
    return shares ? SharedBlamePenalty : 0;
}

} // namespace cardamompaddle
