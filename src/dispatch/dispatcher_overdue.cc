// Diagnostics: why tasks that could have started long ago still wait.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

constexpr Duration OverdueAfter{3'000};
constexpr size_t MaxReportedSteps = 4; // in one call

struct OverdueStep
{
    const Step *step;
    const Task *task; // the one that has waited longest
    int32_t tasks; // that wait
};

// Returns the waiting task that has waited longest, null if none waits.
const Task *updateWaitingSince(Step &step, Instant now)
{
    const Task *oldest = nullptr;
    for (Task &task : step.tasks) {
        if (task.state != TaskState::Waiting)
            continue;
        task.waitingSince = task.waitingSince.value_or(now);
        if (oldest == nullptr || *task.waitingSince < *oldest->waitingSince)
            oldest = &task;
    }
    return oldest;
}

// Long-running steps first, as each second without them is lost to their users, then those that
// have waited longest.
bool reportedBefore(const OverdueStep &a, const OverdueStep &b)
{
    if (a.step->spec->longRunning != b.step->spec->longRunning)
        return a.step->spec->longRunning;
    return *a.task->waitingSince < *b.task->waitingSince;
}

std::string count(std::string_view name, int64_t n)
{
    return " " + std::string(name) + "=" + std::to_string(n);
}

} // namespace

// Counts each worker under the first reason for which the task cannot start there.
std::string Dispatcher::Impl::describeWait(const Step &step, const Task &task,
                                           const WorkRoute &route, Instant now) const
{
    int64_t unusable = 0; // not listed, draining, of another pool or in a zone that is out
    int64_t silent = 0; // not reported or unreachable
    int64_t orphaned = 0;
    int64_t avoided = 0;
    int64_t unsuitable = 0; // without the label, or with enough tasks of the step
    int64_t full = 0;
    int64_t denied = 0;
    int64_t unapproved = 0;
    int64_t expired = 0;
    int64_t usable = 0;
    for (const auto &[id, worker] : m_workers) {
        const auto approval = step.approvals.find(id);
        if (!acceptsStarts(*worker, route))
            ++unusable;
        else if (!worker->reported || !worker->reachable)
            ++silent;
        else if (worker->hasOrphanedRuns)
            ++orphaned;
        else if (worker->avoidUntil > now)
            ++avoided;
        else if (!isEligible(*worker, step, route, now))
            ++unsuitable;
        else if (step.deniedWorkers.contains(id))
            ++denied;
        else if (!hasRoom(*worker, step))
            ++full;
        else if (route.approval && approval == step.approvals.end())
            ++unapproved;
        else if (route.approval && approval->second.expires < now + ApprovalMargin)
            ++expired;
        else
            ++usable;
    }
    std::string out = " reason=" + std::string(waitReasonName(step.waitReason));
    if (mayBeRunningUnreported(task))
        out += " may_run_on=" + task.previousWorker;
    if (step.job->mayBeRunning)
        out += count("unreconciled_workers", static_cast<int64_t>(m_unreconciled.size()));
    out += count("backoff_ms", std::max<int64_t>(0, (task.notBefore - now).count()));
    if (!withinLimit(*step.job, step.taskResources))
        out += " over_limit=true";
    out += count("usable", usable) + count("full", full) + count("unsuitable", unsuitable);
    out += count("silent", silent) + count("unusable", unusable) + count("orphaned", orphaned);
    out += count("avoided", avoided);
    if (route.approval)
        out += count("denied", denied) + count("unapproved", unapproved) + count("expired", expired)
               + count("calls", static_cast<int64_t>(step.approvalCalls.size()));
    return out;
}

void Dispatcher::Impl::reportOverdueTasks(Instant now, int64_t unixMs)
{
    std::vector<OverdueStep> overdue;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            const bool due = step->waiting > 0 && !job->isTerminal() && isReady(*step, unixMs);
            const Task *oldest = due ? updateWaitingSince(*step, now) : nullptr;
            if (oldest != nullptr && now - *oldest->waitingSince >= OverdueAfter)
                overdue.push_back({step.get(), oldest, step->waiting});
        }
    }
    const size_t reported = std::min(overdue.size(), MaxReportedSteps);
    std::partial_sort(overdue.begin(), overdue.begin() + static_cast<ptrdiff_t>(reported),
                      overdue.end(), reportedBefore);
    overdue.resize(reported);
    for (const OverdueStep &it : overdue) {
        const Step &step = *it.step;
        const TaskRef ref{{step.job->spec->id, step.occurrence, step.number},
                          static_cast<int32_t>(it.task - step.tasks.data())};
        const WorkRoute *route = routeOf(*step.job);
        emitEvent("task_overdue", ref.step.job,
                  "task=" + ref.toString()
                      + " waited_ms=" + std::to_string((now - *it.task->waitingSince).count())
                      + " tasks=" + std::to_string(it.tasks)
                      + " long_running=" + (step.spec->longRunning ? "true" : "false")
                      + (route == nullptr ? std::string(" reason=no_route")
                                          : describeWait(step, *it.task, *route, now)));
    }
}

} // namespace cardamompaddle
