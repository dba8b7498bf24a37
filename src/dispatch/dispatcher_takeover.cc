// Runs that belong to no attempt of this scheduler but still count against the limits of teams:
// those of an earlier scheduler that no report has shown yet, and orphaned ones until they have
// finished.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

// Computes what each team may have running on unreconciled workers. A task counts until it is
// adopted from a report or its worker is reconciled.
void Dispatcher::Impl::updateUnreportedUse(int64_t unixMs)
{
    m_unreportedUse.clear();
    if (m_unreconciled.empty())
        return;
    for (const auto &[id, job] : m_jobs) {
        Resources &use = m_unreportedUse[job->spec->team];
        for (const auto &step : job->steps) {
            if (job->mayBeRunning && isReady(*step, unixMs)) {
                use += step->taskResources * step->waiting;
                continue;
            }
            for (const Task &task : step->tasks) {
                if (task.state == TaskState::Waiting && mayBeRunningUnreported(task))
                    use += step->taskResources;
            }
        }
    }
}

// Returns whether a run of the job may exist on an unreconciled worker.
bool Dispatcher::Impl::mayHaveUnreportedRuns(const Job &job) const
{
    if (m_unreconciled.empty())
        return false;
    return job.mayBeRunning
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
