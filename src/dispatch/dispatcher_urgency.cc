// Urgency: the slack of steps, the part of a team's limit that is reserved for its more urgent
// work, and preemption of less urgent runs.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <cmath>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A job older than this multiple of its objective has little value left and is placed after the
// other jobs of its priority.
constexpr int64_t ExpiredAfterObjectives = 3;
// A step yields to more urgent work while its slack is at least this share of its remaining chain
// plus the constant.
constexpr double MinSlackPerChain = 0.4;
constexpr int64_t MinSlackMs = 500;
// Half-life with which a recorded peak of demand decays.
constexpr double DemandHalfLifeMs = 8'000;
// A run that has progressed this far is not preempted, because it finishes soon anyway.
constexpr int32_t NearlyDonePercent = 75;

Resources atLeastZero(const Resources &amount)
{
    return {std::max<int64_t>(0, amount.cpuMilli), std::max<int64_t>(0, amount.memoryMb),
            std::max<int64_t>(0, amount.accelerators), 0, 0};
}

Resources larger(const Resources &a, const Resources &b)
{
    return {std::max(a.cpuMilli, b.cpuMilli), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators), 0, 0};
}

Resources scaled(const Resources &amount, double factor)
{
    const auto scale = [factor](int64_t value) {
        return static_cast<int64_t>(static_cast<double>(value) * factor);
    };
    return {scale(amount.cpuMilli), scale(amount.memoryMb), scale(amount.accelerators), 0, 0};
}

// Returns by how much `use` exceeds `limit`; 0 for each resource without a limit.
Resources excess(const Resources &use, const Resources &limit)
{
    return atLeastZero({limit.cpuMilli == 0 ? 0 : use.cpuMilli - limit.cpuMilli,
                        limit.memoryMb == 0 ? 0 : use.memoryMb - limit.memoryMb,
                        limit.accelerators == 0 ? 0 : use.accelerators - limit.accelerators, 0, 0});
}

} // namespace

int64_t Dispatcher::Impl::objectiveMs(const Job &job, const WorkRoute &route)
{
    return objectiveOf(route, Duration(job.chainMs)).count();
}

// Returns the time that the step can still be delayed without making its job late. Negative once
// the job is bound to be late.
int64_t Dispatcher::Impl::slackMs(const Step &step, const WorkRoute &route, int64_t unixMs) const
{
    const work::Submission &spec = *step.job->spec;
    const int64_t due = spec.repetitions > 0 ? spec.firstDueMs + step.occurrence * spec.intervalMs
                                             : spec.acceptedAtMs;
    return due + objectiveMs(*step.job, route) - unixMs - step.remainingChainMs;
}

// Returns whether the step is expected to finish in time. A long-running step always counts as
// such: its objective is met again with every second that its tasks run, however old the job is.
UrgencyClass Dispatcher::Impl::urgencyClass(const Step &step, const WorkRoute &route,
                                            int64_t slackMs, int64_t unixMs)
{
    if (step.spec->longRunning)
        return UrgencyClass::InTime;
    const int64_t age = unixMs - step.job->spec->acceptedAtMs;
    if (age > ExpiredAfterObjectives * objectiveMs(*step.job, route))
        return UrgencyClass::Expired;
    return slackMs < 0 ? UrgencyClass::Late : UrgencyClass::InTime;
}

// Returns whether the team uses half of its limit or more.
bool Dispatcher::Impl::usesHalfOfLimit(const Job &job) const
{
    const Resources *limit = limitOf(job);
    const Resources &use = *job.teamUse;
    const auto halfUsed = [](int64_t used, int64_t most) { return most > 0 && 2 * used >= most; };
    return limit != nullptr
           && (halfUsed(use.cpuMilli, limit->cpuMilli) || halfUsed(use.memoryMb, limit->memoryMb)
               || halfUsed(use.accelerators, limit->accelerators));
}

// Returns whether the step has enough slack to let more urgent work of its team go first.
bool Dispatcher::Impl::yieldsToUrgentWork(const Step &step, const WorkRoute &route,
                                          int64_t unixMs) const
{
    // A team that uses less than half of its limit has capacity left for urgent work.
    if (!usesHalfOfLimit(*step.job))
        return false;
    const auto minSlack =
        static_cast<int64_t>(MinSlackPerChain * static_cast<double>(step.remainingChainMs))
        + MinSlackMs;
    return !step.spec->longRunning && slackMs(step, route, unixMs) >= minSlack;
}

void Dispatcher::Impl::updateDemand(Instant now, int64_t unixMs)
{
    m_priorityUse.clear();
    m_stoppingUse.clear();
    m_preemptionExhausted.clear();
    std::map<TeamPriority, Resources> wanted;
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = routeOf(*job);
        if (route == nullptr)
            continue;
        const TeamPriority key{job->spec->team, route->priority};
        for (const auto &step : job->steps) {
            if (step->stopping > 0)
                m_stoppingUse[key.first] += step->taskResources * step->stopping;
            if (step->spec->longRunning)
                continue;
            const bool mayStart = mayStartNow(*step) && isReady(*step, unixMs);
            m_priorityUse[key] += step->taskResources * step->active;
            wanted[key] += step->taskResources * (step->active + (mayStart ? step->waiting : 0));
        }
    }
    for (const auto &[key, amount] : wanted) {
        const auto [it, added] = m_recentDemand.try_emplace(key, RecentDemand{amount, now});
        RecentDemand &recent = it->second;
        const double halfLives = static_cast<double>((now - recent.at).count()) / DemandHalfLifeMs;
        recent.peak = larger(scaled(recent.peak, std::exp2(-halfLives)), amount);
        recent.at = now;
    }
}

// Returns how much more than it uses now the team's more urgent work has recently needed.
Resources Dispatcher::Impl::reserveForUrgentWork(const Job &job, const WorkRoute &route) const
{
    Resources out;
    for (auto it = m_recentDemand.lower_bound({job.spec->team, INT32_MIN});
         it != m_recentDemand.end() && it->first.first == job.spec->team
         && it->first.second < route.priority;
         ++it) {
        const auto use = m_priorityUse.find(it->first);
        out += use == m_priorityUse.end() ? it->second.peak
                                          : atLeastZero(it->second.peak - use->second);
    }
    return out;
}

// Preempts less urgent runs of the step's team, as many as the step's waiting tasks need to fit
// into the team's limit. Stops only runs that can resume from a checkpoint, have
// enough slack and do not finish soon anyway.
void Dispatcher::Impl::preemptLessUrgent(const Step &step, const WorkRoute &route, int64_t unixMs)
{
    const Resources *limit = limitOf(*step.job);
    if (limit == nullptr)
        return;
    Resources &stopping = m_stoppingUse[step.job->spec->team];
    const Resources missing =
        excess(*step.job->teamUse + step.taskResources * step.waiting, *limit);
    // Within a pass no further run becomes preemptible, so a search that ended without enough of
    // them needs no repetition.
    const TeamPriority key{step.job->spec->team, route.priority};
    if (missing.fitsIn(stopping) || m_preemptionExhausted.contains(key)) {
        stopping = atLeastZero(stopping - missing);
        return;
    }
    struct Candidate
    {
        int64_t slackMs;
        Attempt *attempt;
    };
    std::vector<Candidate> candidates;
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *other = job->spec->team == step.job->spec->team ? routeOf(*job) : nullptr;
        if (other == nullptr || other->priority <= route.priority || job->isTerminal())
            continue;
        for (const auto &candidate : job->steps) {
            if (!candidate->spec->checkpointing || candidate->spec->gang
                || !yieldsToUrgentWork(*candidate, *other, unixMs))
                continue;
            for (const Task &task : candidate->tasks) {
                if (task.attempt && task.attempt->phase == AttemptPhase::Running
                    && task.attempt->percent < NearlyDonePercent)
                    candidates.push_back({slackMs(*candidate, *other, unixMs), task.attempt.get()});
            }
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto &a, const auto &b) { return a.slackMs > b.slackMs; });
    for (const Candidate &it : candidates) {
        if (missing.fitsIn(stopping))
            break;
        stopping += it.attempt->step->taskResources;
        emitEvent("run_preempted", it.attempt->step->job->spec->id,
                  "task=" + taskRefOf(*it.attempt).toString()
                      + " run=" + std::to_string(it.attempt->run)
                      + " worker=" + it.attempt->worker->entry.id + " for_job=" + step.job->spec->id
                      + " slack_ms=" + std::to_string(it.slackMs));
        requestStop(*it.attempt);
    }
    if (!missing.fitsIn(stopping))
        m_preemptionExhausted.insert(key);
    stopping = atLeastZero(stopping - missing);
}

} // namespace cardamompaddle
