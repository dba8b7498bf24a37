// The stored progress of jobs: what a later scheduler has to know, in parts of bounded size.

#include "dispatch/internal/impl.h"
#include "work/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

int32_t partOf(const Step &step, int32_t index)
{
    return static_cast<int32_t>((step.firstTask + index) / TasksPerProgressPart);
}

int32_t lastPartOf(const Job &job)
{
    if (job.steps.empty())
        return 0;
    const Step &last = *job.steps.back();
    return partOf(last, std::max(0, last.spec->tasks - 1));
}

bool isEmpty(const work::StepProgress &progress)
{
    return progress.succeeded.empty() && progress.failedRuns.empty() && progress.placedOn.empty()
           && progress.crashedRuns.empty() && progress.copiesOn.empty();
}

} // namespace

void Dispatcher::Impl::markDirty(Step &step, int32_t index)
{
    step.job->dirtyParts.insert(partOf(step, index));
    m_dirty.insert(step.job);
}

void Dispatcher::Impl::markStateDirty(Job &job)
{
    job.dirtyParts.insert(0);
    m_dirty.insert(&job);
}

void Dispatcher::Impl::markAllDirty(Job &job)
{
    markStateDirty(job);
    for (int32_t part = 1; part <= lastPartOf(job); ++part)
        job.dirtyParts.insert(part);
}

void Dispatcher::Impl::restoreProgress(Job &job, const work::Progress &progress)
{
    if (progress.part == 0) {
        job.state = progress.state;
        job.endedAtHeldMs = progress.endedAtHeldMs;
    } else {
        job.storedParts.insert(progress.part);
    }
    for (const work::StepProgress &stored : progress.steps) {
        Step *step = job.step(stored.occurrence, stored.step);
        if (step == nullptr)
            continue;
        const auto isValid = [&job, &progress, step](int32_t index) {
            if (index < 0 || index >= static_cast<int32_t>(step->tasks.size()))
                return false;
            // An earlier version stored all tasks in part 0. They move to their own part.
            if (const int32_t part = partOf(*step, index); part != progress.part)
                job.dirtyParts.insert({progress.part, part});
            return true;
        };
        for (const int32_t index : stored.succeeded) {
            Task *task = isValid(index) ? &step->tasks[static_cast<size_t>(index)] : nullptr;
            if (task == nullptr || task->state != TaskState::Waiting)
                continue;
            task->state = TaskState::Succeeded;
            --step->waiting;
            ++step->succeeded;
        }
        for (const auto &[index, worker] : stored.placedOn) {
            if (isValid(index))
                step->tasks[static_cast<size_t>(index)].previousWorker = worker;
        }
        for (const auto &[index, workers] : stored.copiesOn) {
            if (isValid(index))
                step->tasks[static_cast<size_t>(index)].copyWorkers = {workers.begin(),
                                                                       workers.end()};
        }
        for (const auto &[index, runs] : stored.crashedRuns) {
            if (!isValid(index) || runs.empty())
                continue;
            Task &task = step->tasks[static_cast<size_t>(index)];
            task.crashedRuns.insert(runs.begin(), runs.end());
            task.lastRun = std::max(task.lastRun, *task.crashedRuns.rbegin());
        }
        for (const auto &[index, runs] : stored.failedRuns) {
            if (!isValid(index))
                continue;
            Task &task = step->tasks[static_cast<size_t>(index)];
            task.failedRuns.insert(runs.begin(), runs.end());
            if (!runs.empty())
                task.lastRun = std::max(task.lastRun, *task.failedRuns.rbegin());
        }
    }
}

// Returns what a later scheduler has to know about the tasks from `from` to before `to`. Of a
// terminal job only the runs that are still being stopped matter, which count against the limit of
// its team.
work::StepProgress Dispatcher::Impl::progressOf(const Step &step, int32_t from, int32_t to) const
{
    const bool terminal = step.job->isTerminal();
    work::StepProgress out;
    out.occurrence = step.occurrence;
    out.step = step.number;
    for (int32_t index = from; index < to; ++index) {
        const Task &task = step.tasks[static_cast<size_t>(index)];
        const std::vector<WorkerId> workers = workersOfRuns(task);
        if (!workers.empty())
            out.placedOn[index] = workers.front();
        if (workers.size() > 1) {
            out.copiesOn[index].assign(workers.begin() + 1, workers.end());
            out.__isset.copiesOn = true;
        }
        if (terminal)
            continue;
        if (task.state == TaskState::Succeeded)
            out.succeeded.push_back(index);
        if (!task.failedRuns.empty() && !step.spec->longRunning)
            out.failedRuns[index].assign(task.failedRuns.begin(), task.failedRuns.end());
        if (!task.crashedRuns.empty() && task.state != TaskState::Succeeded)
            out.crashedRuns[index].assign(task.crashedRuns.begin(), task.crashedRuns.end());
    }
    return out;
}

work::Progress Dispatcher::Impl::progressOf(const Job &job, int32_t part) const
{
    work::Progress out;
    out.id = job.spec->id;
    out.part = part;
    if (part == 0) {
        out.state = job.state;
        out.endedAtHeldMs = job.endedAtHeldMs;
    }
    const int64_t begin = part * TasksPerProgressPart;
    const int64_t end = begin + TasksPerProgressPart;
    // The last step that begins at or before the part; steps without tasks share their beginning.
    auto it = std::partition_point(job.steps.begin(), job.steps.end(), [begin](const auto &step) {
        return step->firstTask + step->spec->tasks <= begin;
    });
    for (; it != job.steps.end() && (*it)->firstTask < end; ++it) {
        const Step &step = **it;
        const int64_t count = step.spec->tasks;
        const auto from = std::clamp<int64_t>(begin - step.firstTask, 0, count);
        const auto to = std::clamp<int64_t>(end - step.firstTask, 0, count);
        auto stored = progressOf(step, static_cast<int32_t>(from), static_cast<int32_t>(to));
        if (!isEmpty(stored))
            out.steps.push_back(std::move(stored));
    }
    return out;
}

std::vector<work::Progress> Dispatcher::Impl::takeProgress(int64_t heldMs)
{
    std::vector<work::Progress> out;
    for (Job *job : std::exchange(m_dirty, {})) {
        if (job->isTerminal() && job->endedAtHeldMs == 0)
            job->endedAtHeldMs = heldMs;
        const std::set<int32_t> parts = std::exchange(job->dirtyParts, {});
        std::vector<work::Progress> changed;
        for (const int32_t part : parts) {
            work::Progress progress = progressOf(*job, part);
            const bool removed = part != 0 && progress.steps.empty();
            const bool wasStored = job->storedParts.contains(part);
            if (removed)
                job->storedParts.erase(part);
            else if (part != 0)
                job->storedParts.insert(part);
            if (!removed || wasStored)
                changed.push_back(std::move(progress));
        }
        // The other parts matter until the end is stored, and a part 0 of an earlier version holds
        // their tasks until they are stored.
        if (!job->isTerminal())
            std::reverse(changed.begin(), changed.end());
        std::move(changed.begin(), changed.end(), std::back_inserter(out));
        eraseIfDone(*job);
    }
    return out;
}

void Dispatcher::Impl::eraseIfDone(Job &job)
{
    if (job.isTerminal() && job.active == 0 && !mayHaveUnreportedRuns(job))
        m_jobs.erase(std::string(job.spec->id));
}

} // namespace cardamompaddle
