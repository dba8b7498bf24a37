// Runs that belong to no attempt of this scheduler: those of an earlier scheduler that no report
// has shown yet, and orphaned ones until they have finished. They count against the limits of
// teams, and tasks that may have such a run do not start.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

Resources smaller(const Resources &a, const Resources &b)
{
    return {std::min(a.cpuMilli, b.cpuMilli), std::min(a.memoryMb, b.memoryMb),
            std::min(a.accelerators, b.accelerators), 0, 0};
}

} // namespace

void Dispatcher::Impl::updateUnrecorded()
{
    m_unrecorded.clear();
    std::set_difference(m_unreconciled.begin(), m_unreconciled.end(), m_recordedWorkers.begin(),
                        m_recordedWorkers.end(), std::inserter(m_unrecorded, m_unrecorded.begin()));
}

// Returns whether any waiting task of the job may run on a worker that has not reported.
bool Dispatcher::Impl::mayHaveUnrecordedRuns(const Job &job) const
{
    return job.mayBeRunning && !m_unrecorded.empty();
}

// Returns an upper bound of what unrecorded runs use; none if a worker's capacity is unknown. The
// capacity of a worker does not change while runs of it may exist.
std::optional<Resources> Dispatcher::Impl::unrecordedRoom() const
{
    Resources out;
    for (const WorkerId &id : m_unrecorded) {
        const auto it = m_workers.find(id);
        if (it == m_workers.end() || it->second->entry.capacity == Resources{})
            return std::nullopt;
        out += it->second->entry.capacity;
    }
    return out;
}

// Computes what each team may have running on unreconciled workers. A task counts until it is
// adopted from a report or its worker is reconciled. Of unrecorded runs, no more can exist than fit
// on the workers on which they may be.
void Dispatcher::Impl::updateUnreportedUse(int64_t unixMs)
{
    m_unreportedUse.clear();
    if (m_unreconciled.empty())
        return;
    std::map<std::string, Resources> unrecorded; // by team
    for (const auto &[id, job] : m_jobs) {
        Resources &use = m_unreportedUse[job->spec->team];
        const bool mayHaveUnrecorded = mayHaveUnrecordedRuns(*job);
        for (const auto &step : job->steps) {
            int32_t placed = 0; // waiting tasks
            int32_t runs = 0;
            for (const Task &task : step->tasks) {
                if (task.state == TaskState::Waiting && mayBeRunningUnreported(task))
                    ++placed;
                runs += unreportedRuns(*step, task);
            }
            use += step->taskResources * runs;
            if (mayHaveUnrecorded && isReady(*step, unixMs))
                unrecorded[job->spec->team] += step->taskResources * (step->waiting - placed);
        }
    }
    const std::optional<Resources> room = unrecordedRoom();
    for (const auto &[team, use] : unrecorded)
        m_unreportedUse[team] += room ? smaller(use, *room) : use;
}

// Returns whether a run of the job may exist on an unreconciled worker.
bool Dispatcher::Impl::mayHaveUnreportedRuns(const Job &job) const
{
    if (m_unreconciled.empty())
        return false;
    return mayHaveUnrecordedRuns(job)
           || std::any_of(job.steps.begin(), job.steps.end(), [this](const auto &step) {
                  return std::any_of(
                      step->tasks.begin(), step->tasks.end(),
                      [this](const Task &task) { return mayBeRunningUnreported(task); });
              });
}

// Counts a run that is being stopped in the use of its team. Until it has finished, its resources
// are taken.
void Dispatcher::Impl::countOrphanedRun(Worker &worker, const TaskRef &ref)
{
    const auto known = m_jobs.find(ref.step.job);
    std::shared_ptr<const work::Submission> spec;
    if (known != m_jobs.end())
        spec = known->second->spec;
    else if (m_options.findSubmission)
        spec = m_options.findSubmission(ref.step.job);
    if (!spec || ref.step.step < 0 || ref.step.step >= static_cast<int32_t>(spec->steps.size()))
        return;
    const Resources use = resourcesOfTask(spec->steps[static_cast<size_t>(ref.step.step)]);
    Resources &teamUse = m_teamUse[spec->team];
    teamUse += use;
    worker.orphanedUse.emplace_back(&teamUse, use);
}

void Dispatcher::Impl::releaseOrphanedUse(Worker &worker)
{
    for (const auto &[teamUse, use] : std::exchange(worker.orphanedUse, {}))
        *teamUse -= use;
}

} // namespace cardamompaddle
