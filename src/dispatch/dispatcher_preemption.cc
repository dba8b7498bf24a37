// Preemption for room: runs of less urgent priority, of any client account, are stopped where a
// more urgent step has an approval but finds no room in time. SchedulingPolicies::preemption
// switches it on.
//
// Runs that are being stopped use their room until a report lists their end. Meanwhile, and until
// the step starts there, its places are reserved: other steps see the worker as full. A reservation
// is temporary, so a stop that is never carried out keeps room from nobody for long. Reservations
// change nothing but which step starts where: no task starts without free capacity.

#include "base/hash.h"
#include "dispatch/internal/impl.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Steps search for room at most this often, all in the same decision, so that two of them do not
// count on the same room.
constexpr Duration SearchInterval{40};
// A step for which nothing could be stopped searches again after this time.
constexpr Duration FailedSearchInterval{200};
constexpr int32_t MaxSearchesPerDecision = 16;
// Workers without room that are considered for an approval call.
constexpr size_t MaxFullWorkersTried = 100;
// Time that a worker takes to write a checkpoint and to end a run. Room that becomes free within
// this time anyway is worth no stop.
constexpr Duration StopTime{400};
// After this time a stop counts as lost, and the places reserved for its sake are given up.
constexpr Duration RoomHoldTime{1'500};
// A step searches once its slack is this short: a stop, a report and a start still fit into it.
constexpr int64_t SearchBelowSlackMs = 700;
// Estimates are rough, so a job that is expected to be a little late may still be in time.
constexpr int64_t MaxLatenessMs = 500;
// An interrupted long-running task waits for so long until runs are stopped for it.
constexpr Duration InterruptedPatience{1'000};
// A run is stopped only if it has run for at least this long, has at least this time left and has
// made less progress than this.
constexpr Duration MinRunTime{1'000};
constexpr int64_t MinTimeLeftMs = 800;
constexpr int32_t NearlyDonePercent = 75;
// No run of the task is stopped for room again within this time.
constexpr Duration PreemptionInterval{5'000};
// Slack that a job needs for a stop, an approval for another worker, a wait for room there and a
// start from the checkpoint.
constexpr int64_t MinVictimSlackMs = 3'000;
constexpr double MinVictimSlackPerChain = 0.4;
// At most this part of a pool's processors is being freed at any time, and half of it by one
// decision.
constexpr int64_t PoolPartBeingFreed = 10;

StepRef refOf(const Step &step)
{
    return {step.job->spec->id, step.occurrence, step.number};
}

int64_t placesReserved(const Worker &worker, const Step &step)
{
    int64_t out = 0;
    for (const RoomReservation &it : worker.reservations)
        out += it.isFor(step) ? it.places : 0;
    return out;
}

// Returns the run time that corresponds to the progress of the run.
int64_t doneMs(const Attempt &attempt)
{
    return attempt.step->spec->estimatedMs * std::clamp(attempt.percent, 0, 100) / 100;
}

} // namespace

void Dispatcher::Impl::beginRoomSearch(Instant now)
{
    if (m_options.policies.preemption != PreemptionScope::Pool)
        return;
    releaseRoomStops(now);
    updateReservations(now);
    m_roomSearch = {};
    m_roomSearch.due = now >= m_nextRoomSearchAt;
}

// Forgets stops that are overdue, so that they do not use up the bound for good.
void Dispatcher::Impl::releaseRoomStops(Instant now)
{
    std::erase_if(m_roomStops, [now](Attempt *attempt) {
        return now - attempt->roomStopAt.value_or(now) >= RoomHoldTime;
    });
}

// Drops reservations that have expired or that their step cannot use any more.
void Dispatcher::Impl::updateReservations(Instant now)
{
    std::set<StepRef> steps;
    std::erase_if(m_reservedWorkers, [&](const WorkerId &id) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            return true;
        Worker &worker = *found->second;
        std::erase_if(worker.reservations, [&](const RoomReservation &it) {
            const Step *step = findStep(it.step);
            const WorkRoute *route = step == nullptr ? nullptr : routeOf(*step->job);
            return it.expires <= now || route == nullptr || !hasTasksToStart(*step)
                   || !isEligible(worker, *step, *route, now)
                   || (route->approval && !step->approvals.contains(id));
        });
        for (const RoomReservation &it : worker.reservations)
            steps.insert(it.step);
        return worker.reservations.empty();
    });
    for (const StepRef &ref : steps)
        trimReservations(*findStep(ref));
}

Resources Dispatcher::Impl::reservedForOthers(const Worker &worker, const Step &step)
{
    Resources out;
    for (const RoomReservation &it : worker.reservations) {
        if (!it.isFor(step))
            out += it.amount();
    }
    return out;
}

// Returns what runs use that were stopped there for room and have not ended yet.
Resources Dispatcher::Impl::beingFreed(const Worker &worker) const
{
    Resources out;
    for (Attempt *attempt : worker.attempts) {
        if (m_roomStops.contains(attempt))
            out += attempt->step->taskResources;
    }
    return out;
}

// Returns whether what is reserved on the worker for other steps fits beside a task of the step
// once the runs that are being stopped have ended.
bool Dispatcher::Impl::hasRoomBesideReservations(const Worker &worker, const Step &step) const
{
    if (worker.reservations.empty())
        return true;
    return (worker.used - beingFreed(worker) + worker.held + reservedForOthers(worker, step)
            + step.taskResources)
        .fitsIn(worker.entry.capacity);
}

void Dispatcher::Impl::usePlace(const Step &step, Worker &worker)
{
    if (m_reservedWorkers.empty())
        return;
    const auto used = std::find_if(worker.reservations.begin(), worker.reservations.end(),
                                   [&step](const RoomReservation &it) { return it.isFor(step); });
    if (used != worker.reservations.end() && --used->places == 0)
        worker.reservations.erase(used);
    trimReservations(step);
}

// Gives up places beyond the step's waiting tasks, as when some of them have started elsewhere.
void Dispatcher::Impl::trimReservations(const Step &step)
{
    int32_t needed = step.waiting;
    for (const WorkerId &id : m_reservedWorkers) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        std::erase_if(worker->second->reservations, [&](RoomReservation &it) {
            if (!it.isFor(step))
                return false;
            it.places = std::min(it.places, needed);
            needed -= it.places;
            return it.places == 0;
        });
    }
}

// Returns since when runs may be stopped for the step; Instant::max() if none may be.
Instant Dispatcher::Impl::wantsRoomSince(const Step &step, const WorkRoute &route, Instant now,
                                         int64_t unixMs) const
{
    if (step.spec->gang)
        return Instant::max();
    if (step.spec->longRunning)
        return isInterrupted(step) ? step.waitingSince.value_or(now) + InterruptedPatience
                                   : Instant::max();
    const int64_t slack = slackMs(step, route, unixMs);
    if (slack < -MaxLatenessMs || urgencyClass(step, route, slack, unixMs) == UrgencyClass::Expired)
        return Instant::max();
    return now + Duration(slack - SearchBelowSlackMs);
}

// Returns how many tasks of the step could start now if they had room, at most as many as the limit
// of the team allows.
int64_t Dispatcher::Impl::tasksWithoutRoom(const Step &step, Instant now) const
{
    int64_t tasks = std::count_if(step.tasks.begin(), step.tasks.end(), [&](const Task &task) {
        return task.state == TaskState::Waiting && task.notBefore <= now
               && !mayBeRunningUnreported(task) && lateStartWorkers(step, task) == nullptr
               && task.crashedRuns.empty();
    });
    Resources reserved; // for other steps of the team
    for (const WorkerId &id : m_reservedWorkers) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        for (const RoomReservation &it : worker->second->reservations) {
            if (it.team == step.job->spec->team && !it.isFor(step))
                reserved += it.amount();
        }
    }
    while (tasks > 0 && !withinLimit(*step.job, step.taskResources * tasks + reserved))
        --tasks;
    return tasks;
}

// Returns the workers on which the step may still start once runs there have been stopped, ordered
// by ID.
std::vector<Worker *> Dispatcher::Impl::workersForRoom(const Step &step, const WorkRoute &route,
                                                       Instant now) const
{
    std::vector<Worker *> out;
    const auto consider = [&](Worker &worker) {
        if (isEligible(worker, step, route, now))
            out.push_back(&worker);
    };
    if (!route.approval) {
        for (const auto &[id, worker] : m_workers)
            consider(*worker);
        return out;
    }
    for (const auto &[id, approval] : step.approvals) {
        const auto it = m_workers.find(id);
        if (it != m_workers.end() && approval.expires >= now + StopTime + ApprovalMargin)
            consider(*it->second);
    }
    return out;
}

// Returns the expected time until the run ends, by its progress as far as it is known.
int64_t Dispatcher::Impl::timeLeftMs(const Attempt &attempt, Instant now)
{
    const int64_t percentLeft = 100 - std::clamp(attempt.percent, 0, 100);
    const int64_t sinceProgress = (now - attempt.lastProgressAt).count();
    if (attempt.firstProgressAt && attempt.percent > attempt.firstProgressPercent) {
        const int64_t measured = (attempt.lastProgressAt - *attempt.firstProgressAt).count();
        return measured * percentLeft / (attempt.percent - attempt.firstProgressPercent)
               - sinceProgress;
    }
    return attempt.step->spec->estimatedMs * percentLeft / 100 - sinceProgress;
}

bool Dispatcher::Impl::isPreemptibleForRoom(const Attempt &attempt, const WorkRoute &route,
                                            Instant now, int64_t unixMs) const
{
    const Step &step = *attempt.step;
    const work::StepSpec &spec = *step.spec;
    const Task &task = step.tasks[static_cast<size_t>(attempt.index)];
    if (!spec.checkpointing || spec.gang || spec.longRunning || spec.usesIdleCpu
        || step.job->isTerminal() || attempt.phase != AttemptPhase::Running || !attempt.started
        || now - attempt.orderedAt < MinRunTime || attempt.percent >= NearlyDonePercent
        || timeLeftMs(attempt, now) < MinTimeLeftMs
        || (task.preemptedAt && now - *task.preemptedAt < PreemptionInterval))
        return false;
    const int64_t stepSlackMs = slackMs(step, route, unixMs);
    if (urgencyClass(step, route, stepSlackMs, unixMs) == UrgencyClass::Expired)
        return true;
    const auto needed =
        MinVictimSlackMs
        + static_cast<int64_t>(MinVictimSlackPerChain * static_cast<double>(step.remainingChainMs));
    return stepSlackMs + doneMs(attempt) >= needed;
}

WorkerOutlook &Dispatcher::Impl::outlookOf(const Worker &worker, Instant now, int64_t unixMs)
{
    const auto [it, added] = m_roomSearch.outlooks.try_emplace(&worker);
    WorkerOutlook &out = it->second;
    if (!added)
        return out;
    for (Attempt *attempt : worker.attempts) {
        const Step &step = *attempt->step;
        const WorkRoute *route = routeOf(*step.job);
        if (attempt->phase != AttemptPhase::Running || step.spec->longRunning || route == nullptr)
            continue;
        const int64_t timeLeft = timeLeftMs(*attempt, now);
        // Of a run that is long overdue it is not known when it ends.
        if (std::abs(timeLeft) <= StopTime.count()) {
            out.endingSoon += step.taskResources;
        } else if (isPreemptibleForRoom(*attempt, *route, now, unixMs)) {
            const int64_t slack = slackMs(step, *route, unixMs);
            const bool expired = urgencyClass(step, *route, slack, unixMs) == UrgencyClass::Expired;
            out.candidates.push_back({attempt, route->priority, expired ? 0 : doneMs(*attempt)});
        }
    }
    return out;
}

// Returns how many tasks of the step would fit if all runs were stopped there that may be.
int64_t Dispatcher::Impl::placesByPreemption(const Worker &worker, const Step &step,
                                             const WorkRoute &route, Instant now,
                                             int64_t unixMs) const
{
    Resources room = worker.entry.capacity - worker.used;
    for (const Attempt *attempt : worker.attempts) {
        const WorkRoute *other = routeOf(*attempt->step->job);
        if (other != nullptr && other->priority > route.priority
            && isPreemptibleForRoom(*attempt, *other, now, unixMs))
            room += attempt->step->taskResources;
    }
    const int64_t limit = step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : INT32_MAX;
    return countFitting(room, step.taskResources, limit);
}

// Adds workers without room where runs could be stopped for the step, if those with room are too
// few. Otherwise a step on a full pool would get no approvals, and hence no runs stopped for it.
void Dispatcher::Impl::addFullWorkers(ApprovalCandidates &candidates, const Step &step, Instant now,
                                      int64_t unixMs) const
{
    const WorkRoute &route = *routeOf(*step.job);
    const Instant since = m_options.policies.preemption == PreemptionScope::Pool
                              ? wantsRoomSince(step, route, now, unixMs)
                              : Instant::max();
    if (since > now + approvalLead(*route.approval))
        return;
    const double share = approvedShareOf(step.job->spec->route);
    const auto placesOf = [](const ApprovalCandidates::List &list) {
        int64_t out = 0;
        for (const auto &[places, id] : list)
            out += places;
        return static_cast<double>(out);
    };
    double missing = static_cast<double>(step.waiting - candidates.approvedPlaces)
                     - placesOf(candidates.expired) - share * placesOf(candidates.unknown);
    // Steps begin at different workers, so that they do not all ask for the same ones.
    const size_t skipped =
        m_workers.empty() ? 0 : stableHash(step.job->spec->id, 0) % m_workers.size();
    auto it = std::next(m_workers.begin(), static_cast<ptrdiff_t>(skipped));
    for (size_t i = 0; i < m_workers.size() && i < MaxFullWorkersTried && missing > 0; ++i, ++it) {
        if (it == m_workers.end())
            it = m_workers.begin();
        const Worker &worker = *it->second;
        if (fittingTasks(worker, step) > 0 || step.deniedWorkers.contains(it->first)
            || !isEligible(worker, step, route, now))
            continue;
        const auto places =
            static_cast<double>(placesByPreemption(worker, step, route, now, unixMs));
        const auto approval = step.approvals.find(it->first);
        const bool approved = approval != step.approvals.end()
                              && approval->second.expires >= now + StopTime + ApprovalMargin;
        missing -= places * (approved ? 1 : share);
        if (places > 0 && !approved && !isRequested(step, it->first))
            candidates.full.emplace_back(static_cast<int64_t>(places), it->first);
    }
}

// Numbers the accounts with work. What is being stopped for room no longer counts as their use,
// what is reserved for them does.
void Dispatcher::Impl::countAccounts()
{
    if (m_roomSearch.shares)
        return;
    AccountShares shares(m_total);
    const auto numberOf = [&](const std::string &team) {
        const auto [it, added] = m_roomSearch.accounts.try_emplace(team);
        if (added) {
            const auto known = m_catalog->teams.find(team);
            it->second = shares.add(known == m_catalog->teams.end() ? 1 : known->second.weight,
                                    m_teamUse[team]);
        }
        return it->second;
    };
    for (const auto &[id, job] : m_jobs) {
        if (!job->isTerminal())
            numberOf(job->spec->team);
    }
    for (const Attempt *attempt : m_roomStops)
        shares.removeUse(numberOf(attempt->step->job->spec->team), attempt->step->taskResources);
    for (const WorkerId &id : m_reservedWorkers) {
        const auto worker = m_workers.find(id);
        if (worker == m_workers.end())
            continue;
        for (const RoomReservation &it : worker->second->reservations)
            shares.addUse(numberOf(it.team), it.amount());
    }
    m_roomSearch.shares = std::move(shares);
}

void Dispatcher::Impl::countPool(const std::string &pool)
{
    const auto [it, added] = m_roomSearch.pools.try_emplace(pool);
    if (!added)
        return;
    for (const auto &[id, worker] : m_workers) {
        if (worker->listed && worker->entry.pool == pool)
            it->second.capacity += worker->entry.capacity.cpuMilli;
    }
    for (const Attempt *attempt : m_roomStops) {
        if (attempt->worker->entry.pool == pool)
            it->second.beingFreed += attempt->step->taskResources.cpuMilli;
    }
}

// Returns the workers on which the step may start, less the room there that is free soon and that
// its tasks take. Reduces `missing` by these tasks.
std::vector<RoomOffer> Dispatcher::Impl::offersFor(const Step &step, const WorkRoute &route,
                                                   int64_t &missing, Instant now, int64_t unixMs)
{
    std::vector<RoomOffer> offers;
    for (Worker *worker : workersForRoom(step, route, now)) {
        if (missing <= 0)
            break;
        WorkerOutlook &outlook = outlookOf(*worker, now, unixMs);
        const Resources room = worker->entry.capacity - worker->used - worker->held
                               - reservedForOthers(*worker, step) + beingFreed(*worker)
                               + outlook.endingSoon;
        const auto active = step.perWorker.find(worker->entry.id);
        int64_t maxTasks = INT32_MAX;
        if (step.spec->maxPerWorker > 0)
            maxTasks =
                step.spec->maxPerWorker - (active == step.perWorker.end() ? 0 : active->second);
        const int64_t places = countFitting(room, step.taskResources, std::min(maxTasks, missing));
        missing -= places;
        outlook.endingSoon -=
            step.taskResources * std::max<int64_t>(0, places - placesReserved(*worker, step));
        offers.push_back({worker, room - step.taskResources * places, maxTasks - places});
    }
    return offers;
}

// Stops runs for waiting tasks of the step that get no room soon otherwise.
void Dispatcher::Impl::preemptForRoom(Step &step, const WorkRoute &route, Instant now,
                                      int64_t unixMs)
{
    if (m_options.policies.preemption != PreemptionScope::Pool)
        return;
    const Instant since = wantsRoomSince(step, route, now, unixMs);
    if (since > now || step.roomSearchAt > now || !m_roomSearch.due
        || m_roomSearch.searches >= MaxSearchesPerDecision) {
        step.roomSearchAt = since == Instant::max()
                                ? Instant::min()
                                : std::max({since, step.roomSearchAt, m_nextRoomSearchAt});
        return;
    }
    ++m_roomSearch.searches;
    m_nextRoomSearchAt = now + SearchInterval;
    step.roomSearchAt = m_nextRoomSearchAt;
    int64_t missing = tasksWithoutRoom(step, now);
    const std::vector<RoomOffer> offers = offersFor(step, route, missing, now, unixMs);
    if (missing > 0)
        freeRoom(step, offers, missing, now, unixMs);
}

// Stops runs on the offered workers for this many tasks, and reserves the places.
void Dispatcher::Impl::freeRoom(Step &step, const std::vector<RoomOffer> &offers, int64_t missing,
                                Instant now, int64_t unixMs)
{
    const WorkRoute &route = *routeOf(*step.job);
    countAccounts();
    countPool(route.pool);
    PoolFreeing &pool = m_roomSearch.pools.at(route.pool);
    const int64_t maxBeingFreed = pool.capacity / PoolPartBeingFreed;
    PreemptionRequest request;
    request.account = m_roomSearch.accounts.at(step.job->spec->team);
    request.ignoresShares = isInterrupted(step);
    request.taskResources = step.taskResources;
    request.tasks = missing;
    request.maxFreedCpuMilli =
        std::min(maxBeingFreed - pool.beingFreed, maxBeingFreed / 2 - pool.freedNow);
    request.mayExceedByOneRun = pool.beingFreed == 0;
    std::vector<std::vector<Attempt *>> attempts; // as PreemptionRequest::workers
    for (const RoomOffer &offer : offers) {
        PreemptionWorker &worker = request.workers.emplace_back();
        std::vector<Attempt *> &runs = attempts.emplace_back();
        worker.room = offer.room;
        worker.maxTasks = offer.maxTasks;
        for (const RoomCandidate &it : outlookOf(*offer.worker, now, unixMs).candidates) {
            if (it.priority <= route.priority || it.attempt->phase != AttemptPhase::Running)
                continue;
            const Step &victim = *it.attempt->step;
            worker.runs.push_back({m_roomSearch.accounts.at(victim.job->spec->team),
                                   victim.taskResources, it.progressMs});
            runs.push_back(it.attempt);
        }
    }
    const std::vector<WorkerPreemption> plan = planRoomPreemption(request, *m_roomSearch.shares);
    if (plan.empty())
        step.roomSearchAt = now + FailedSearchInterval;
    for (const WorkerPreemption &it : plan) {
        Worker &worker = *offers[it.worker].worker;
        for (const size_t run : it.runs) {
            const PreemptibleRun &stopped = request.workers[it.worker].runs[run];
            m_roomSearch.shares->removeUse(stopped.account, stopped.resources);
            pool.beingFreed += stopped.resources.cpuMilli;
            pool.freedNow += stopped.resources.cpuMilli;
            stopForRoom(*attempts[it.worker][run], step, now, unixMs);
        }
        const auto places = static_cast<int32_t>(it.places);
        m_roomSearch.shares->addUse(request.account, step.taskResources * places);
        worker.reservations.push_back(
            {refOf(step), step.job->spec->team, step.taskResources, places, now + RoomHoldTime});
        m_reservedWorkers.insert(worker.entry.id);
    }
}

void Dispatcher::Impl::stopForRoom(Attempt &attempt, const Step &step, Instant now, int64_t unixMs)
{
    Step &victim = *attempt.step;
    emitEvent("run_preempted_for_room", victim.job->spec->id,
              "task=" + taskRefOf(attempt).toString() + " run=" + std::to_string(attempt.run)
                  + " worker=" + attempt.worker->entry.id + " for_job=" + step.job->spec->id
                  + " slack_ms=" + std::to_string(slackMs(victim, *routeOf(*victim.job), unixMs))
                  + " for_slack_ms=" + std::to_string(slackMs(step, *routeOf(*step.job), unixMs)));
    victim.tasks[static_cast<size_t>(attempt.index)].preemptedAt = now;
    attempt.roomStopAt = now;
    m_roomStops.insert(&attempt);
    requestStop(attempt);
}

} // namespace cardamompaddle
