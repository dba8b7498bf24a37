// Which steps may start tasks, and in which order they do.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Below this share of completed work, the remaining time is not extrapolated from progress.
constexpr double MinProgressForEstimate = 0.05;

} // namespace

bool Dispatcher::Impl::isReady(const Step &step, int64_t unixMs) const
{
    const work::Submission &spec = *step.job->spec;
    if (spec.repetitions > 0 && unixMs < spec.firstDueMs + step.occurrence * spec.intervalMs)
        return false;
    return std::all_of(step.spec->after.begin(), step.spec->after.end(), [&step](int32_t number) {
        const Step *dependency = step.job->step(step.occurrence, number);
        return dependency != nullptr && dependency->done();
    });
}

// Returns whether the steps that this one depends on are expected to finish within `lead`.
bool Dispatcher::Impl::isDueSoon(const Step &step, Instant now, Duration lead) const
{
    for (const int32_t number : step.spec->after) {
        const Step *dependency = step.job->step(step.occurrence, number);
        if (dependency == nullptr || dependency->waiting > 0)
            return false;
        for (const Task &task : dependency->tasks) {
            if (task.state != TaskState::Active || !task.attempt)
                continue;
            const auto ran = static_cast<double>((now - task.attempt->orderedAt).count());
            const double done = std::clamp(task.attempt->percent / 100.0, 0.0, 1.0);
            const double left = done > MinProgressForEstimate
                                    ? ran * (1 - done) / done
                                    : (this->*m_estimates.attemptMs)(*task.attempt) - ran;
            if (left > static_cast<double>(lead.count()))
                return false;
        }
    }
    return true;
}

// Returns whether the step has tasks to start, once it is ready and nothing holds them back.
bool Dispatcher::Impl::hasTasksToStart(const Step &step)
{
    return step.waiting > 0 && !step.job->isTerminal() && !step.gangBroken
           && (!step.spec->gang || step.active == 0);
}

bool Dispatcher::Impl::mayStartNow(const Step &step) const
{
    return hasTasksToStart(step) && !mayHaveUnrecordedRuns(*step.job);
}

// Returns whether an earlier scheduler placed the task on a worker that has not reported since, so
// that a run of it may still exist there.
bool Dispatcher::Impl::mayBeRunningUnreported(const Task &task) const
{
    const auto isUnreconciled = [this](const WorkerId &id) { return m_unreconciled.contains(id); };
    return (!task.previousWorker.empty() && isUnreconciled(task.previousWorker))
           || std::any_of(task.copyWorkers.begin(), task.copyWorkers.end(), isUnreconciled);
}

// Returns whether a long-running task of the step has run and does not run any more. Its users are
// without it until it is started again, so such steps go before all other work.
bool Dispatcher::Impl::isInterrupted(const Step &step)
{
    return step.spec->longRunning
           && std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task &task) {
                  return task.state == TaskState::Waiting
                         && (task.lastRun > 0 || !task.previousWorker.empty());
              });
}

// Returns whether the step is a gang that has waited long enough to go before the other work of its
// priority.
bool Dispatcher::Impl::hasPrecedence(const Step &step, Instant now)
{
    return step.spec->gang && step.waitingSince && now - *step.waitingSince >= GangPatience;
}

// Returns the place of the step among those of its priority: gangs with precedence come first, in
// the order in which they began to wait, so that what is held for one does not go to another.
Instant Dispatcher::Impl::precedenceOf(const Step &step, Instant now)
{
    return hasPrecedence(step, now) ? *step.waitingSince : Instant::max();
}

// Returns the accepted steps of open jobs whose route exists, most urgent first.
std::vector<Step *>
Dispatcher::Impl::stepsByUrgency(Instant now, int64_t unixMs,
                                 const std::function<bool(const Step &)> &accepts)
{
    using Key =
        std::tuple<bool, bool, int32_t, Instant, UrgencyClass, AccountRank, int64_t, uint64_t>;
    const bool expiredLast = m_options.policies.expiredWork == ExpiredWorkOrder::Last;
    std::vector<std::pair<Key, Step *>> keyed;
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = job->isTerminal() ? nullptr : routeOf(*job);
        if (route == nullptr)
            continue;
        for (const auto &step : job->steps) {
            if (!accepts(*step))
                continue;
            const int64_t slack = slackMs(*step, *route, unixMs);
            const UrgencyClass urgency = urgencyClass(*step, *route, slack, unixMs);
            const bool yields = expiredLast && urgency == UrgencyClass::Expired;
            keyed.push_back(
                {{!isInterrupted(*step), yields, route->priority, precedenceOf(*step, now), urgency,
                  accountRank(*job), slack, job->sequence},
                 step.get()});
        }
    }
    std::sort(keyed.begin(), keyed.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    std::vector<Step *> out;
    out.reserve(keyed.size());
    for (const auto &[key, step] : keyed)
        out.push_back(step);
    return out;
}

} // namespace cardamompaddle
