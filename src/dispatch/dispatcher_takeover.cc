// Takeover: what runs of an earlier scheduler, which no report has shown yet, are counted as.

#include "dispatch/internal/impl.h"

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

} // namespace cardamompaddle
