// Classifies the waits of ready steps.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

StepWait stepWaitOf(WaitReason reason)
{
    switch (reason) {
    case WaitReason::TeamLimit:
        return StepWait::TeamLimit;
    case WaitReason::Approval:
        return StepWait::Approval;
    case WaitReason::Room:
        return StepWait::Room;
    case WaitReason::None:
        break;
    }
    return StepWait::Undecided;
}

} // namespace

bool Dispatcher::Impl::isWaiting(const Step &step, int64_t unixMs) const
{
    return step.waiting > 0 && !step.job->isTerminal() && isReady(step, unixMs);
}

// Returns the time since when a waiting step has had nothing starting.
Instant Dispatcher::Impl::waitStart(const Step &step, Instant now)
{
    return std::min(step.waitingSince.value_or(now), step.readySince.value_or(now));
}

// Returns the task that keeps the step from starting even where there is room, null if there is
// none: of a gang any task that may not start, of another step the first one if no task may start.
const Task *Dispatcher::Impl::blockingTask(const Step &step, Instant now) const
{
    const Task *first = nullptr;
    for (const Task &task : step.tasks) {
        if (task.state != TaskState::Waiting)
            continue;
        const bool blocked = task.notBefore > now || mayBeRunningUnreported(task);
        if (blocked && step.spec->gang)
            return &task;
        if (!blocked && !step.spec->gang)
            return nullptr;
        if (blocked && first == nullptr)
            first = &task;
    }
    return first;
}

StepWait Dispatcher::Impl::waitOf(const Step &step, Instant now) const
{
    if (routeOf(*step.job) == nullptr)
        return StepWait::NoRoute;
    if (mayHaveUnrecordedRuns(*step.job))
        return StepWait::JobMayRun;
    if (step.gangBroken || (step.spec->gang && step.active > 0))
        return StepWait::GangEnds;
    if (const Task *task = blockingTask(step, now))
        return mayBeRunningUnreported(*task) ? StepWait::TaskMayRun : StepWait::Backoff;
    return stepWaitOf(step.waitReason);
}

WaitingStepsByReason Dispatcher::Impl::waitingSteps(Instant now, int64_t unixMs) const
{
    WaitingStepsByReason out;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            if (!isWaiting(*step, unixMs))
                continue;
            WaitingSteps &it = out.at(static_cast<size_t>(waitOf(*step, now)));
            ++it.count;
            it.longestWait = std::max(it.longestWait, now - waitStart(*step, now));
        }
    }
    return out;
}

} // namespace cardamompaddle
