// Placement: which waiting task starts next, and on which worker.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A stop order without an answer is sent again after this time.
constexpr Duration StopRetryInterval{600};
// Timers cannot wait for events of the far future.
constexpr Duration MaxEventWait{3'600'000};
// Each epoch owns this many run numbers per task, so a later tenure always uses higher ones.
constexpr int64_t RunsPerTenure = 1'000;
// Penalties added to a worker's placement score; the worker with the lowest score wins. Idle-CPU
// tasks and tasks with a latency target interfere with each other on the same worker.
constexpr double InterferencePenalty = 2;
constexpr double PreviousFailurePenalty = 4; // the last failed run of the task was there
constexpr double SlowWorkerPenalty = 8;
constexpr double PenaltyPerIdleCpuTask = 0.1; // spreads idle-CPU tasks over the workers
// Weight of the free share of a worker. The fuller of two otherwise equal workers wins, which keeps
// capacity for large tasks together.
constexpr double FreeShareWeight = 0.2;

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

bool Dispatcher::Impl::hasRoom(const Worker &worker, const Step &step) const
{
    return (worker.used + worker.held + step.taskResources).fitsIn(worker.entry.capacity)
           && hasRoomBesideReservations(worker, step);
}

bool Dispatcher::Impl::acceptsStarts(const Worker &worker, const WorkRoute &route) const
{
    return worker.listed && !worker.entry.draining && worker.entry.pool == route.pool
           && !m_zonesOut.contains(worker.entry.availabilityZone);
}

// Returns whether the worker may run tasks of the step, capacity and approvals aside.
bool Dispatcher::Impl::isEligible(const Worker &worker, const Step &step, const WorkRoute &route,
                                  Instant now) const
{
    const work::StepSpec &spec = *step.spec;
    if (!worker.reported || !worker.reachable || worker.hasOrphanedRuns || worker.avoidUntil > now
        || !acceptsStarts(worker, route))
        return false;
    if (!spec.requiredLabel.empty() && !worker.entry.labels.contains(spec.requiredLabel))
        return false;
    return !reachedMaxPerWorker(worker, step);
}

bool Dispatcher::Impl::reachedMaxPerWorker(const Worker &worker, const Step &step)
{
    if (step.spec->maxPerWorker <= 0)
        return false;
    const auto active = step.perWorker.find(worker.entry.id);
    return active != step.perWorker.end() && active->second >= step.spec->maxPerWorker;
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
    Resources total = *job.teamUse + more;
    if (const auto it = m_unreportedUse.find(job.spec->team); it != m_unreportedUse.end())
        total += it->second;
    const auto held = m_heldLimit.find(job.spec->team);
    if (held != m_heldLimit.end() && (held->second.strict || !fitsLimit(total * 2, *limit)))
        total += held->second.amount;
    return fitsLimit(total, *limit);
}

// Returns whether the use of a team is within its limit, in which 0 means unlimited.
bool Dispatcher::Impl::fitsLimit(const Resources &use, const Resources &limit)
{
    return (limit.cpuMilli == 0 || use.cpuMilli <= limit.cpuMilli)
           && (limit.memoryMb == 0 || use.memoryMb <= limit.memoryMb)
           && (limit.accelerators == 0 || use.accelerators <= limit.accelerators);
}

// Returns the workers on which tasks of the step may start in this pass, ordered by ID. Room and
// StepSpec::maxPerWorker change within a pass; chooseWorker() checks them again.
std::vector<Worker *> Dispatcher::Impl::candidatesFor(const Step &step, const WorkRoute &route,
                                                      Instant now)
{
    std::vector<Worker *> out;
    const auto consider = [&](Worker &worker) {
        if (hasRoom(worker, step) && isEligible(worker, step, route, now))
            out.push_back(&worker);
    };
    if (!route.approval) {
        for (const auto &[id, worker] : m_workers)
            consider(*worker);
        return out;
    }
    for (const auto &[id, approval] : step.approvals) {
        if (approval.expires < now + ApprovalMargin)
            continue;
        if (const auto it = m_workers.find(id); it != m_workers.end())
            consider(*it->second);
    }
    return out;
}

const std::set<WorkerId> *Dispatcher::Impl::lateStartWorkers(const Step &step,
                                                             const Task &task) const
{
    // A task that has never been started has no such workers.
    if (!m_options.lateStartWorkers || task.lastRun == 0)
        return nullptr;
    const auto index = static_cast<int32_t>(&task - step.tasks.data());
    return m_options.lateStartWorkers({{step.job->spec->id, step.occurrence, step.number}, index});
}

// Returns the best of the candidates for one task, or null if none has room.
Worker *Dispatcher::Impl::chooseWorker(const Step &step, const Task &task,
                                       const std::vector<Worker *> &candidates, Instant now) const
{
    Worker *best = nullptr;
    double bestScore = 0;
    const std::set<WorkerId> *only = lateStartWorkers(step, task);
    if (only != nullptr && only->size() > 1)
        return nullptr;
    for (Worker *worker : candidates) {
        if (!hasRoom(*worker, step) || reachedMaxPerWorker(*worker, step)
            || mustStartApart(*worker, task, now)
            || (only != nullptr && !only->contains(worker->entry.id)))
            continue;
        const double score = placementScore(*worker, step, task, now);
        if (best == nullptr || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

// Returns the score of a worker for one task; the lowest is the best.
double Dispatcher::Impl::placementScore(const Worker &worker, const Step &step, const Task &task,
                                        Instant now) const
{
    const Resources &capacity = worker.entry.capacity;
    const Resources left = capacity - worker.used - step.taskResources;
    const double freeShare =
        fraction(left.cpuMilli, capacity.cpuMilli) + fraction(left.memoryMb, capacity.memoryMb);
    double score =
        (this->*m_estimates.placementFactor)(worker, step) * (1 + FreeShareWeight * freeShare);
    if (worker.slowUntil > now)
        score += SlowWorkerPenalty;
    const std::string &preferredRack = step.spec->preferredRack;
    if (!preferredRack.empty() && !worker.entry.labels.contains(preferredRack))
        score *= m_options.offRackFactor;
    if (step.spec->usesIdleCpu)
        score += (worker.servingTasks > 0 ? InterferencePenalty : 0)
                 + worker.idleCpuTasks * PenaltyPerIdleCpuTask;
    else if (step.spec->latencyObjectiveMs > 0 && worker.idleCpuTasks > 0)
        score += InterferencePenalty;
    if (task.lastFailedOn == worker.entry.id)
        score += PreviousFailurePenalty;
    return score + crashPenalty(worker, task);
}

// Returns the number of the next run of a task. It exceeds the number of any run under an earlier
// epoch.
int64_t Dispatcher::Impl::nextRunNumber(int64_t lastRun) const
{
    return std::max(lastRun, (m_options.epoch - 1) * RunsPerTenure) + 1;
}

void Dispatcher::Impl::startRun(Step &step, int32_t index, int64_t run, Worker &worker, Instant now,
                                Orders &out)
{
    Attempt &attempt = createAttempt(step, index, run, worker, now);
    usePlace(step, worker);
    const auto approval = step.approvals.find(worker.entry.id);
    out.starts.push_back(
        {worker.entry.id, taskRefOf(attempt), run, step.job->spec, checkpointForStart(step, index),
         approval == step.approvals.end() ? "" : approval->second.ticket, attempt.isCopy});
    attempt.resumed = !out.starts.back().checkpoint.empty();
    emitEvent("run_started", step.job->spec->id,
              "task=" + out.starts.back().task.toString() + " run=" + std::to_string(run)
                  + " worker=" + worker.entry.id
                  + " started_at_ms=" + std::to_string(worker.incarnationStartedAtMs.value_or(0))
                  + " resumed=" + (out.starts.back().checkpoint.empty() ? "false" : "true"));
}

std::string Dispatcher::Impl::checkpointForStart(const Step &step, int32_t index) const
{
    if (!step.spec->gang)
        return step.tasks[static_cast<size_t>(index)].checkpoint;
    // All members of a gang resume from the same checkpoint.
    for (const Task &task : step.tasks) {
        if (!task.checkpoint.empty())
            return task.checkpoint;
    }
    return "";
}

void Dispatcher::Impl::placeIndependent(Step &step, const WorkRoute &route, Instant now,
                                        int64_t unixMs, Orders &out)
{
    std::optional<std::vector<Worker *>> candidates; // set by the first task that needs them
    WaitReason reason = WaitReason::None;
    for (size_t i = 0; i < step.tasks.size() && step.waiting > 0; ++i) {
        const Task &task = step.tasks[i];
        if (task.state != TaskState::Waiting || task.notBefore > now
            || mayBeRunningUnreported(task))
            continue;
        const Resources reserve = yieldsToUrgentWork(step, route, unixMs)
                                      ? reserveForUrgentWork(*step.job, route)
                                      : Resources{};
        if (!withinLimit(*step.job, step.taskResources + reserve)) {
            preemptLessUrgent(step, route, unixMs);
            return setWaitReason(step, WaitReason::TeamLimit);
        }
        if (!candidates)
            candidates = candidatesFor(step, route, now);
        Worker *worker = chooseWorker(step, task, *candidates, now);
        if (worker == nullptr) {
            reason = reasonForNoWorker(step, route, now);
            // The other tasks of the step may start elsewhere.
            if (lateStartWorkers(step, task) != nullptr)
                continue;
            break;
        }
        startRun(step, static_cast<int32_t>(i), nextRunNumber(task.lastRun), *worker, now, out);
    }
    setWaitReason(step, reason);
    if (reason == WaitReason::Room)
        preemptForRoom(step, route, now, unixMs);
}

WaitReason Dispatcher::Impl::reasonForNoWorker(const Step &step, const WorkRoute &route,
                                               Instant now) const
{
    const bool approved =
        std::any_of(step.approvals.begin(), step.approvals.end(),
                    [now](const auto &it) { return it.second.expires >= now + ApprovalMargin; });
    return route.approval && !approved ? WaitReason::Approval : WaitReason::Room;
}

// Records why tasks of the step wait and logs an event when the reason changes.
void Dispatcher::Impl::setWaitReason(Step &step, WaitReason reason)
{
    if (std::exchange(step.waitReason, reason) == reason || reason == WaitReason::None)
        return;
    const StepRef ref{step.job->spec->id, step.occurrence, step.number};
    emitEvent("step_waits", ref.job,
              "step=" + ref.toString() + " for=" + std::string(waitReasonName(reason))
                  + " tasks=" + std::to_string(step.waiting) + " team=" + step.job->spec->team
                  + " team_cpu_milli=" + std::to_string(step.job->teamUse->cpuMilli)
                  + " team_memory_mb=" + std::to_string(step.job->teamUse->memoryMb)
                  + describePastUse(*step.job));
}

// Finds a worker for every member of the gang; returns false if not all of them fit. While it
// searches, it counts each chosen place as used; on return the accounting is unchanged.
bool Dispatcher::Impl::findGangPlacement(Step &step, const std::vector<Worker *> &candidates,
                                         Instant now, std::vector<Worker *> &places) const
{
    places.clear();
    for (const Task &task : step.tasks) {
        const bool blocked = task.notBefore > now || mayBeRunningUnreported(task);
        Worker *worker = blocked ? nullptr : chooseWorker(step, task, candidates, now);
        if (worker == nullptr)
            break;
        worker->used += step.taskResources;
        ++step.perWorker[worker->entry.id];
        places.push_back(worker);
    }
    for (Worker *worker : places) {
        worker->used -= step.taskResources;
        if (--step.perWorker[worker->entry.id] == 0)
            step.perWorker.erase(worker->entry.id);
    }
    return places.size() == step.tasks.size();
}

void Dispatcher::Impl::placeGang(Step &step, const WorkRoute &route, Instant now, int64_t unixMs,
                                 Orders &out)
{
    const Resources all = step.taskResources * static_cast<int64_t>(step.tasks.size());
    const Resources reserve = yieldsToUrgentWork(step, route, unixMs)
                                  ? reserveForUrgentWork(*step.job, route)
                                  : Resources{};
    if (!withinLimit(*step.job, all + reserve)) {
        preemptLessUrgent(step, route, unixMs);
        setWaitReason(step, WaitReason::TeamLimit);
        return setHolds(step, mayHold(step, now) && holdLimit(step, all, now), now);
    }
    std::vector<Worker *> places;
    bool found = false;
    const std::vector<Worker *> candidates = candidatesFor(step, route, now);
    if (step.spec->sameRack) {
        std::map<std::string_view, std::vector<Worker *>> byLabel;
        for (Worker *worker : candidates) {
            for (const std::string &label : worker->entry.labels)
                byLabel[label].push_back(worker);
        }
        found = std::any_of(byLabel.begin(), byLabel.end(), [&](const auto &it) {
            return findGangPlacement(step, it.second, now, places);
        });
    }
    if (!found && !findGangPlacement(step, candidates, now, places)) {
        setWaitReason(step, reasonForNoWorker(step, route, now));
        return setHolds(step, mayHold(step, now) && holdPlaces(step, route, now), now);
    }
    setWaitReason(step, WaitReason::None);
    setHolds(step, false, now);
    int64_t lastRun = 0;
    for (const Task &task : step.tasks)
        lastRun = std::max(lastRun, task.lastRun);
    const int64_t run = nextRunNumber(lastRun);
    for (size_t i = 0; i < places.size(); ++i)
        startRun(step, static_cast<int32_t>(i), run, *places[i], now, out);
}

void Dispatcher::Impl::collectStops(Instant now, Orders &out)
{
    for (Attempt *attempt : m_pendingStops) {
        if (attempt->stopSentAt != Instant::min() && now - attempt->stopSentAt < StopRetryInterval)
            continue;
        attempt->stopSentAt = now;
        out.stops.push_back({attempt->worker->entry.id, taskRefOf(*attempt), attempt->run});
    }
    for (StopOrder &stop : std::exchange(m_orphanStops, {}))
        out.stops.push_back(std::move(stop));
}

Orders Dispatcher::Impl::decide(Instant now, int64_t unixMs)
{
    Orders out;
    countUsage(now);
    resetHolds();
    updateUnreportedUse(unixMs);
    (this->*m_estimates.refresh)(now);
    updateDemand(now, unixMs);
    beginRoomSearch(now);
    const auto mayStart = [this, unixMs](const Step &step) {
        return mayStartNow(step) && isReady(step, unixMs);
    };
    for (Step *step : stepsByUrgency(now, unixMs, mayStart)) {
        const WorkRoute &route = *routeOf(*step->job);
        step->waitingSince = step->waitingSince.value_or(now);
        step->speedPreference = (this->*m_estimates.speedPreference)(*step, route, unixMs);
        step->spec->gang ? placeGang(*step, route, now, unixMs, out)
                         : placeIndependent(*step, route, now, unixMs, out);
    }
    startCopies(now, unixMs, out);
    updateShares();
    collectStops(now, out);
    out.throttles = std::exchange(m_throttles, {});
    return out;
}

std::optional<Instant> Dispatcher::Impl::nextEvent(Instant now, int64_t unixMs) const
{
    std::optional<Instant> next;
    const auto at = [&next, now](Instant when) {
        if (when > now && (!next || when < *next))
            next = std::min(when, now + MaxEventWait);
    };
    for (const Attempt *attempt : m_pendingStops)
        at(attempt->stopSentAt + StopRetryInterval);
    for (const auto &[id, worker] : m_workers)
        at(worker->avoidUntil);
    for (const WorkerId &id : m_reservedWorkers) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        for (const RoomReservation &it : worker->second->reservations)
            at(it.expires);
    }
    if (const std::optional<Instant> check = nextCopyCheck(now, unixMs))
        at(*check);
    for (const auto &[id, job] : m_jobs) {
        for (const auto &step : job->steps) {
            if (step->waiting == 0 || job->isTerminal())
                continue;
            const work::Submission &spec = *job->spec;
            if (step->waitReason == WaitReason::Room)
                at(step->roomSearchAt);
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
