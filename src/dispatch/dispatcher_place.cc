// The decision: which waiting task starts next, and where.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A stop without an answer is sent again after this.
constexpr Duration StopRetry{600};
// Run numbers that one tenure may use for a task.
constexpr int64_t RunsPerTenure = 1'000;
// A job is worth little after this multiple of its objective; others go first.
constexpr int64_t WorthlessAfterObjectives = 3;
// Score of a worker on which the tasks of the other kind (with users, or on idle processors) run.
constexpr double DisturbancePenalty = 2;
constexpr double FailedHerePenalty = 4;
constexpr double SlowPenalty = 8;
constexpr double PenaltyPerIdleCpuTask = 0.1; // spreads them
// Weight of the room that is left: of equal workers the fuller one is taken, which keeps room for
// large tasks together.
constexpr double SlackWeight = 0.2;
// Below it a share of progress says nothing about the time that is left.
constexpr double LeastProgress = 0.05;

double fraction(int64_t part, int64_t whole)
{
    return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

std::string_view dispatch::waitReasonName(WaitReason reason)
{
    static constexpr std::array<std::string_view, 4> Names = {"nothing", "team_limit", "approval",
                                                              "room"};
    return Names[static_cast<size_t>(reason)];
}

const WorkRoute *Dispatcher::Impl::routeOf(const Job &job) const
{
    const auto it = m_catalog->routes.find(job.spec->route);
    return it == m_catalog->routes.end() ? nullptr : &it->second;
}

bool Dispatcher::Impl::ready(const Step &step, int64_t unixMs) const
{
    const work::Submission &spec = *step.job->spec;
    if (spec.repetitions > 0 && unixMs < spec.firstDueMs + step.occurrence * spec.intervalMs)
        return false;
    return std::all_of(step.spec->after.begin(), step.spec->after.end(), [&step](int32_t number) {
        const Step *before = step.job->step(step.occurrence, number);
        return before != nullptr && before->done();
    });
}

// Whether the steps before this one will have ended within about `lead`.
bool Dispatcher::Impl::dueSoon(const Step &step, Instant now, Duration lead) const
{
    for (const int32_t number : step.spec->after) {
        const Step *before = step.job->step(step.occurrence, number);
        if (before == nullptr || before->waiting > 0)
            return false;
        for (const Task &task : before->tasks) {
            if (task.state != TaskState::Active || !task.attempt)
                continue;
            const auto ran = static_cast<double>((now - task.attempt->orderedAt).count());
            const double done = std::clamp(task.attempt->percent / 100.0, 0.0, 1.0);
            const double left = done > LeastProgress
                                    ? ran * (1 - done) / done
                                    : static_cast<double>(before->spec->estimatedMs) - ran;
            if (left > static_cast<double>(lead.count()))
                return false;
        }
    }
    return true;
}

bool Dispatcher::Impl::mayStartNow(const Step &step) const
{
    return step.waiting > 0 && !step.job->isTerminal() && !step.gangBroken
           && (m_unreconciled.empty() || !step.job->mayBeRunning)
           && (!step.spec->gang || step.active == 0);
}

// Whether an earlier scheduler placed the task on a worker that has not been heard of since.
bool Dispatcher::Impl::mayRunUnseen(const Task &task) const
{
    return !task.placedBefore.empty() && m_unreconciled.contains(task.placedBefore);
}

// Steps that may start tasks, the most urgent first. With `alsoSoon`, also those whose turn comes
// within `lead`.
std::vector<Step *> Dispatcher::Impl::orderedSteps(Instant now, int64_t unixMs, bool alsoSoon,
                                                   Duration lead)
{
    using Key = std::tuple<int32_t, int32_t, int64_t, int64_t, uint64_t>;
    std::vector<std::pair<Key, Step *>> found;
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = job->isTerminal() ? nullptr : routeOf(*job);
        if (route == nullptr)
            continue;
        for (const auto &step : job->steps) {
            if (!mayStartNow(*step)
                || (!ready(*step, unixMs) && !(alsoSoon && dueSoon(*step, now, lead))))
                continue;
            const int64_t slack = slackMs(*step, *route, unixMs);
            const int64_t age = unixMs - job->spec->acceptedAtMs;
            const bool worthless = age > WorthlessAfterObjectives * objectiveMs(*job, *route);
            const int32_t lateness = worthless ? 2 : slack < 0 ? 1 : 0;
            const auto team = m_catalog->teams.find(job->spec->team);
            const double weight = team == m_catalog->teams.end() ? 1 : team->second.weight;
            const int64_t share = dominantShareMillionths(*job->teamUse, m_total);
            const auto weighted = static_cast<int64_t>(static_cast<double>(share) / weight);
            found.push_back(
                {{route->priority, lateness, weighted, slack, job->sequence}, step.get()});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<Step *> out;
    out.reserve(found.size());
    for (const auto &[key, step] : found)
        out.push_back(step);
    return out;
}

bool Dispatcher::Impl::hasRoom(const Worker &worker, const Step &step) const
{
    return (worker.used + step.need).fitsIn(worker.entry.capacity);
}

// All that must hold for a start but room and approval.
bool Dispatcher::Impl::eligible(const Worker &worker, const Step &step, const WorkRoute &route,
                                Instant now) const
{
    const work::StepSpec &spec = *step.spec;
    if (!worker.listed || !worker.reported || !worker.reachable || worker.entry.draining
        || worker.unwantedRuns || worker.avoidUntil > now || worker.entry.pool != route.pool
        || m_zonesOut.contains(worker.entry.availabilityZone))
        return false;
    if (!spec.requiredLabel.empty() && !worker.entry.labels.contains(spec.requiredLabel))
        return false;
    if (spec.maxPerWorker > 0) {
        const auto here = step.perWorker.find(worker.entry.id);
        if (here != step.perWorker.end() && here->second >= spec.maxPerWorker)
            return false;
    }
    return true;
}

const Resources *Dispatcher::Impl::limitOf(const Job &job) const
{
    const auto team = m_catalog->teams.find(job.spec->team);
    return team == m_catalog->teams.end() ? nullptr : &team->second.limit;
}

bool Dispatcher::Impl::withinLimit(const Job &job, const Resources &more) const
{
    const Resources *limit = limitOf(job);
    if (limit == nullptr)
        return true;
    const Resources after = *job.teamUse + more;
    return (limit->cpuMilli == 0 || after.cpuMilli <= limit->cpuMilli)
           && (limit->memoryMb == 0 || after.memoryMb <= limit->memoryMb)
           && (limit->accelerators == 0 || after.accelerators <= limit->accelerators);
}

// The best worker for one task; null if there is none. `rack`: only workers of that rack.
Worker *Dispatcher::Impl::choose(const Step &step, const WorkRoute &route, const Task &task,
                                 Instant now, const std::string *rack)
{
    Worker *best = nullptr;
    double bestScore = 0;
    const auto consider = [&](Worker &worker) {
        if (!hasRoom(worker, step) || !eligible(worker, step, route, now)
            || (rack != nullptr && !worker.entry.labels.contains(*rack)))
            return;
        const Resources &capacity = worker.entry.capacity;
        const Resources left = capacity - worker.used - step.need;
        const double slack =
            fraction(left.cpuMilli, capacity.cpuMilli) + fraction(left.memoryMb, capacity.memoryMb);
        double score = worker.slowdown * (1 + SlackWeight * slack);
        if (worker.slowUntil > now)
            score += SlowPenalty;
        const std::string &near = step.spec->preferredRack;
        if (!near.empty() && !worker.entry.labels.contains(near))
            score *= m_options.offRackFactor;
        if (step.spec->usesIdleCpu)
            score += (worker.servingTasks > 0 ? DisturbancePenalty : 0)
                     + worker.idleCpuTasks * PenaltyPerIdleCpuTask;
        else if (step.spec->latencyObjectiveMs > 0 && worker.idleCpuTasks > 0)
            score += DisturbancePenalty;
        if (task.failedOn == worker.entry.id)
            score += FailedHerePenalty;
        if (best == nullptr || score < bestScore) {
            best = &worker;
            bestScore = score;
        }
    };
    if (!route.approval) {
        for (const auto &[id, worker] : m_workers)
            consider(*worker);
        return best;
    }
    for (const auto &[id, approval] : step.approvals) {
        const auto it = m_workers.find(id);
        if (it != m_workers.end() && approval.expires >= now + ApprovalMargin)
            consider(*it->second);
    }
    return best;
}

// The number of the next run of a task; higher than that of any run under an earlier epoch.
int64_t Dispatcher::Impl::runAfter(int64_t lastRun) const
{
    return std::max(lastRun, (m_options.epoch - 1) * RunsPerTenure) + 1;
}

void Dispatcher::Impl::start(Step &step, int32_t index, int64_t run, Worker &worker, Instant now,
                             Orders &out)
{
    const Attempt &attempt = attach(step, index, run, worker, now);
    const auto approval = step.approvals.find(worker.entry.id);
    out.starts.push_back({worker.entry.id, refOf(attempt), run, step.job->spec,
                          carriedCheckpoint(step, index),
                          approval == step.approvals.end() ? "" : approval->second.ticket});
    event("run_started", step.job->spec->id,
          "task=" + out.starts.back().task.toString() + " run=" + std::to_string(run)
              + " worker=" + worker.entry.id
              + " resumed=" + (out.starts.back().checkpoint.empty() ? "false" : "true"));
}

std::string Dispatcher::Impl::carriedCheckpoint(const Step &step, int32_t index) const
{
    if (!step.spec->gang)
        return step.tasks[static_cast<size_t>(index)].checkpoint;
    // All members start with one member's checkpoint.
    for (const Task &task : step.tasks) {
        if (!task.checkpoint.empty())
            return task.checkpoint;
    }
    return "";
}

void Dispatcher::Impl::placeIndependent(Step &step, const WorkRoute &route, Instant now,
                                        int64_t unixMs, Orders &out)
{
    for (size_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
        const Task &task = step.tasks[i];
        if (task.state != TaskState::Waiting || task.notBefore > now || mayRunUnseen(task))
            continue;
        const Resources reserve =
            yields(step, route, unixMs) ? reserveFor(*step.job, route) : Resources{};
        if (!withinLimit(*step.job, step.need + reserve)) {
            stopLessUrgent(step, route, unixMs);
            return noteWait(step, WaitReason::TeamLimit);
        }
        Worker *worker = choose(step, route, task, now, nullptr);
        if (worker == nullptr)
            return noteWait(step, whyNoWorker(step, route, now));
        start(step, static_cast<int32_t>(i), runAfter(task.lastRun), *worker, now, out);
    }
    noteWait(step, WaitReason::None);
}

WaitReason Dispatcher::Impl::whyNoWorker(const Step &step, const WorkRoute &route,
                                         Instant now) const
{
    const bool approved =
        std::any_of(step.approvals.begin(), step.approvals.end(),
                    [now](const auto &it) { return it.second.expires >= now + ApprovalMargin; });
    return route.approval && !approved ? WaitReason::Approval : WaitReason::Room;
}

// Leaves a line when the reason changes for which tasks of the step wait.
void Dispatcher::Impl::noteWait(Step &step, WaitReason reason)
{
    if (std::exchange(step.waitsFor, reason) == reason || reason == WaitReason::None)
        return;
    const StepRef ref{step.job->spec->id, step.occurrence, step.number};
    event("step_waits", ref.job,
          "step=" + ref.toString() + " for=" + std::string(waitReasonName(reason))
              + " tasks=" + std::to_string(step.waiting) + " team=" + step.job->spec->team
              + " team_cpu_milli=" + std::to_string(step.job->teamUse->cpuMilli)
              + " team_memory_mb=" + std::to_string(step.job->teamUse->memoryMb));
}

// Finds a place for each member and counts it as used meanwhile. Leaves nothing counted.
bool Dispatcher::Impl::reserveGang(Step &step, const WorkRoute &route, Instant now,
                                   const std::string *rack, std::vector<Worker *> &places)
{
    places.clear();
    for (const Task &task : step.tasks) {
        const bool blocked = task.notBefore > now || mayRunUnseen(task);
        Worker *worker = blocked ? nullptr : choose(step, route, task, now, rack);
        if (worker == nullptr)
            break;
        worker->used += step.need;
        ++step.perWorker[worker->entry.id];
        places.push_back(worker);
    }
    for (Worker *worker : places) {
        worker->used -= step.need;
        if (--step.perWorker[worker->entry.id] == 0)
            step.perWorker.erase(worker->entry.id);
    }
    return places.size() == step.tasks.size();
}

void Dispatcher::Impl::placeGang(Step &step, const WorkRoute &route, Instant now, int64_t unixMs,
                                 Orders &out)
{
    const Resources all = step.need * static_cast<int64_t>(step.tasks.size());
    const Resources reserve =
        yields(step, route, unixMs) ? reserveFor(*step.job, route) : Resources{};
    if (!withinLimit(*step.job, all + reserve)) {
        stopLessUrgent(step, route, unixMs);
        return noteWait(step, WaitReason::TeamLimit);
    }
    std::vector<Worker *> places;
    bool found = false;
    if (step.spec->sameRack) {
        std::set<std::string> labels;
        for (const auto &[id, worker] : m_workers)
            labels.insert(worker->entry.labels.begin(), worker->entry.labels.end());
        for (const std::string &label : labels)
            found = found || reserveGang(step, route, now, &label, places);
    }
    if (!found && !reserveGang(step, route, now, nullptr, places))
        return noteWait(step, whyNoWorker(step, route, now));
    noteWait(step, WaitReason::None);
    int64_t lastRun = 0;
    for (const Task &task : step.tasks)
        lastRun = std::max(lastRun, task.lastRun);
    const int64_t run = runAfter(lastRun);
    for (size_t i = 0; i < places.size(); ++i)
        start(step, static_cast<int32_t>(i), run, *places[i], now, out);
}

void Dispatcher::Impl::repeatStops(Instant now, Orders &out)
{
    for (Attempt *attempt : m_toStop) {
        if (attempt->stopSentAt != Instant::min() && now - attempt->stopSentAt < StopRetry)
            continue;
        attempt->stopSentAt = now;
        out.stops.push_back({attempt->worker->entry.id, refOf(*attempt), attempt->run});
    }
    for (StopOrder &stop : std::exchange(m_unwanted, {}))
        out.stops.push_back(std::move(stop));
}

Orders Dispatcher::Impl::decide(Instant now, int64_t unixMs)
{
    Orders out;
    measureDemand(now, unixMs);
    for (Step *step : orderedSteps(now, unixMs, false, Duration::zero())) {
        const WorkRoute &route = *routeOf(*step->job);
        step->spec->gang ? placeGang(*step, route, now, unixMs, out)
                         : placeIndependent(*step, route, now, unixMs, out);
    }
    repeatStops(now, out);
    out.throttles = std::exchange(m_throttles, {});
    return out;
}

std::optional<Instant> Dispatcher::Impl::nextEvent(Instant now, int64_t unixMs) const
{
    std::optional<Instant> next;
    const auto at = [&next, now](Instant when) {
        if (when > now && (!next || when < *next))
            next = when;
    };
    for (const Attempt *attempt : m_toStop)
        at(attempt->stopSentAt + StopRetry);
    for (const auto &[id, worker] : m_workers)
        at(worker->avoidUntil);
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            if (step->waiting == 0 || job->isTerminal())
                continue;
            const work::Submission &spec = *job->spec;
            const int64_t due = spec.firstDueMs + step->occurrence * spec.intervalMs;
            if (spec.repetitions > 0 && due > unixMs)
                at(now + Duration(due - unixMs));
            for (const Task &task : step->tasks) {
                if (task.state == TaskState::Waiting)
                    at(task.notBefore);
            }
        }
    }
    return next;
}

} // namespace cardamompaddle
