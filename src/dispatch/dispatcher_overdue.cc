// Diagnostics: what ready steps that have had nothing starting for long still lack.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <tuple>

namespace cardamompaddle {

using namespace dispatch;

namespace {

constexpr Duration OverdueAfter{2'000};
// The report is made once a second, so this is the number of lines in a second.
constexpr size_t MaxLinesPerReport = 8;
// A wait is unexpected if the approved workers have room for this many times what the step needs.
constexpr int64_t AmpleRoomFactor = 2;

std::string count(std::string_view name, int64_t n)
{
    return " " + std::string(name) + "=" + std::to_string(n);
}

std::string flag(std::string_view name, bool value)
{
    return " " + std::string(name) + "=" + (value ? "true" : "false");
}

// CPU in thousandths of a core, memory in MiB and accelerators, separated by slashes.
std::string amounts(std::string_view name, const Resources &it)
{
    return count(name, it.cpuMilli) + "/" + std::to_string(it.memoryMb) + "/"
           + std::to_string(it.accelerators);
}

// Number of tasks of a step that fit on workers.
struct Places
{
    int64_t free = 0; // beside what runs there now
    int64_t total = 0; // if nothing ran there

    std::string toString(std::string_view name) const
    {
        return count(name, free) + "/" + std::to_string(total);
    }
};

// Tells which workers have to report, been replaced or lose their leases first: their number and
// the IDs of some.
std::string awaitedWorkers(const std::set<WorkerId> &workers)
{
    constexpr size_t MaxNamed = 4;
    std::string out =
        count("unreconciled_workers", static_cast<int64_t>(workers.size())) + " awaited=";
    size_t named = 0;
    for (const WorkerId &id : workers) {
        if (named == MaxNamed)
            break;
        out += (named++ == 0 ? "" : ",") + id;
    }
    return out;
}

std::string describeLoad(const ApprovalLoad &load)
{
    return count("callers_busy", static_cast<int64_t>(load.callers.busy)) + "/"
           + std::to_string(load.callers.all)
           + count("oldest_without_call_ms", load.longestWaitForCall.count());
}

void addPlaces(Places &places, const Worker &worker, const Step &step)
{
    const auto tasks = static_cast<int64_t>(step.tasks.size());
    const auto found = step.perWorker.find(worker.entry.id);
    const int32_t active = found == step.perWorker.end() ? 0 : found->second;
    const int32_t most = step.spec->maxPerWorker;
    const int64_t limit = most > 0 ? std::min<int64_t>(most, tasks) : tasks;
    const int64_t limitNow = most > 0 ? std::clamp<int64_t>(most - active, 0, tasks) : tasks;
    places.total += countFitting(worker.entry.capacity, step.taskResources, limit);
    places.free += countFitting(worker.entry.capacity - worker.used, step.taskResources, limitNow);
}

const Task &firstWaitingTask(const Step &step)
{
    return *std::find_if(step.tasks.begin(), step.tasks.end(),
                         [](const Task &task) { return task.state == TaskState::Waiting; });
}

} // namespace

// Counts each worker under the first reason for which no task of the step can start there.
std::string Dispatcher::Impl::describeWorkers(const Step &step, const WorkRoute &route,
                                              Instant now) const
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
    std::string out = count("usable", usable) + count("full", full);
    out += count("unsuitable", unsuitable) + count("silent", silent) + count("unusable", unusable);
    out += count("orphaned", orphaned) + count("avoided", avoided);
    if (route.approval)
        out +=
            count("denied", denied) + count("unapproved", unapproved) + count("expired", expired);
    return out;
}

// Tells whether the step has room, on which workers by their approval, and of the approval calls.
std::string Dispatcher::Impl::describePlaces(Step &step, const WorkRoute &route, Instant now)
{
    Places approved;
    Places expired;
    Places unknown;
    Places denied;
    for (const auto &[id, worker] : m_workers) {
        if (!isEligible(*worker, step, route, now))
            continue;
        const auto approval = step.approvals.find(id);
        if (!route.approval)
            addPlaces(approved, *worker, step);
        else if (step.deniedWorkers.contains(id))
            addPlaces(denied, *worker, step);
        else if (approval == step.approvals.end())
            addPlaces(unknown, *worker, step);
        else
            addPlaces(approval->second.expires < now + ApprovalMargin ? expired : approved, *worker,
                      step);
    }
    const bool placement = hasPlacementNow(step, route, now);
    std::string out =
        flag("has_room", placement || approved.free >= AmpleRoomFactor * step.waiting);
    out += flag("placement", placement);
    if (!route.approval)
        return out + approved.toString("places");
    out += approved.toString("approved_places") + expired.toString("expired_places");
    out += unknown.toString("unknown_places") + denied.toString("denied_places");
    out += count("calls_active", static_cast<int64_t>(step.approvalCalls.size()));
    return out + count("calls_answered", step.answeredApprovalCalls)
           + count("calls_failed", step.failedApprovalCalls);
}

// Returns whether the workers that may run the step have room for what has to start together. The
// limit of the team is not considered.
bool Dispatcher::Impl::hasPlacementNow(Step &step, const WorkRoute &route, Instant now)
{
    const std::vector<Worker *> candidates = candidatesFor(step, route, now);
    if (step.spec->gang) {
        std::vector<Worker *> places;
        return findGangPlacement(step, candidates, now, places);
    }
    return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task &task) {
        return task.state == TaskState::Waiting && task.notBefore <= now
               && !mayBeRunningUnreported(task)
               && chooseWorker(step, task, candidates, now) != nullptr;
    });
}

// Compares what the step wants at once with the limit of its team.
std::string Dispatcher::Impl::describeTeam(const Step &step, const WorkRoute &route,
                                           int64_t unixMs) const
{
    const Job &job = *step.job;
    const Resources *limit = limitOf(job);
    const auto unreported = m_unreportedUse.find(job.spec->team);
    const auto held = m_heldLimit.find(job.spec->team);
    const Resources wants = step.taskResources * (step.spec->gang ? step.waiting : 1);
    const Resources reserve =
        yieldsToUrgentWork(step, route, unixMs) ? reserveForUrgentWork(job, route) : Resources{};
    std::string out = " team=" + job.spec->team + amounts("wants", wants);
    out += amounts("team_use", *job.teamUse);
    out += amounts("team_limit", limit == nullptr ? Resources{} : *limit);
    out += amounts("unreported_use",
                   unreported == m_unreportedUse.end() ? Resources{} : unreported->second);
    out += amounts("held_limit", held == m_heldLimit.end() ? Resources{} : held->second.amount);
    out += amounts("urgent_reserve", reserve);
    return out + flag("over_limit", !withinLimit(job, wants + reserve));
}

// Tells what keeps the step, or its task that blocks it, from starting wherever there is room.
std::string Dispatcher::Impl::describeBlock(const Step &step, const Task &task, Instant now) const
{
    std::string out;
    if (mayHaveUnrecordedRuns(*step.job))
        out += awaitedWorkers(m_unrecorded);
    if (step.active > 0 || step.gangBroken)
        out += count("active", step.active) + count("stopping", step.stopping);
    if (mayBeRunningUnreported(task))
        out += " may_run_on=" + task.previousWorker;
    if (const std::set<WorkerId> *workers = lateStartWorkers(step, task))
        out += " may_start_late_on=" + *workers->begin();
    return out + count("backoff_ms", std::max<int64_t>(0, (task.notBefore - now).count()));
}

void Dispatcher::Impl::reportOverdueStep(Step &step, const ApprovalLoad &load, Instant now,
                                         int64_t unixMs)
{
    const Task *blocking = blockingTask(step, now);
    const Task &task = blocking == nullptr ? firstWaitingTask(step) : *blocking;
    const TaskRef ref{{step.job->spec->id, step.occurrence, step.number},
                      static_cast<int32_t>(&task - step.tasks.data())};
    std::string detail = "task=" + ref.toString();
    detail += count("waited_ms", (now - waitStart(step, now)).count());
    detail += count("tasks", step.waiting) + flag("gang", step.spec->gang);
    if (step.spec->gang)
        detail += flag("holds", step.holds);
    detail += flag("long_running", step.spec->longRunning);
    detail += " reason=" + std::string(stepWaitName(waitOf(step, now)));
    detail += " route=" + step.job->spec->route;
    if (const WorkRoute *route = routeOf(*step.job)) {
        detail += describePlaces(step, *route, now);
        if (route->approval)
            detail += describeLoad(load);
        detail += describeBlock(step, task, now);
        detail += describeTeam(step, *route, unixMs) + describeWorkers(step, *route, now);
    }
    emitEvent("task_overdue", ref.step.job, std::move(detail));
}

// Notes which steps are ready. Those that have been reported least recently come first, then
// long-running ones, as each second without them is lost to their users, then the longest waits.
void Dispatcher::Impl::reportOverdueTasks(Instant now, int64_t unixMs)
{
    using Key = std::tuple<Instant, bool, Instant>;
    std::vector<std::pair<Key, Step *>> overdue;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            if (!isWaiting(*step, unixMs))
                continue;
            step->readySince = step->readySince.value_or(now);
            const Instant since = waitStart(*step, now);
            if (now - since >= OverdueAfter)
                overdue.push_back(
                    {{step->reportedAt, !step->spec->longRunning, since}, step.get()});
        }
    }
    const size_t lines = std::min(overdue.size(), MaxLinesPerReport);
    std::partial_sort(overdue.begin(), overdue.begin() + static_cast<ptrdiff_t>(lines),
                      overdue.end(),
                      [](const auto &a, const auto &b) { return a.first < b.first; });
    overdue.resize(lines);
    const ApprovalLoad load = lines == 0 ? ApprovalLoad{} : approvalLoad(now, unixMs);
    for (const auto &[key, step] : overdue) {
        step->reportedAt = now;
        reportOverdueStep(*step, load, now, unixMs);
    }
}

} // namespace cardamompaddle
