// Backlog: what each client account has to wait for, for the admission of its next jobs.

#include "dispatch/internal/impl.h"

#include "admission/fair_drain.h"

#include <algorithm>
#include <tuple>

namespace cardamompaddle {

using namespace dispatch;

namespace {

constexpr int32_t AllDonePercent = 100;

// An account's open work in a pool, as far as it is counted.
struct AccountWork
{
    AccountBacklog backlog;
    bool hasWaiting = false; // ready tasks that have not started
};

// Pool and account.
using WorkByAccount = std::map<std::pair<std::string, std::string>, AccountWork>;

// Returns the estimated processor time that is left of the step, in core-milliseconds.
int64_t coreMsLeft(const Step &step)
{
    int64_t tasksTimesPercent = int64_t{step.waiting} * AllDonePercent;
    for (const Task &task : step.tasks) {
        if (task.state == TaskState::Active && task.attempt)
            tasksTimesPercent += std::max(0, AllDonePercent - task.attempt->percent);
    }
    const int64_t coreUs = step.taskResources.cpuMilli * step.spec->estimatedMs;
    return coreUs * tasksTimesPercent / AllDonePercent / 1'000;
}

// Adds an open step. `expired` means that the job has little value left, so that others go first.
void addStep(AccountWork &account, const Step &step, int32_t priority, bool ready, bool expired)
{
    const bool waits = ready && !expired && step.waiting > 0;
    account.hasWaiting = account.hasWaiting || waits;
    account.backlog.demandCpuMilli +=
        step.taskResources.cpuMilli * (step.active + (waits ? step.waiting : 0));
    // Later occurrences of a repeating job are not due yet.
    const bool isOpen = ready || step.job->spec->repetitions == 0;
    if (isOpen && !expired)
        account.backlog.coreMs[priority] += coreMsLeft(step);
}

// Sets what each account gets of its pool. Returns the accounts with waiting work.
std::vector<AccountBacklog> withDrains(const WorkByAccount &work, const Catalog &catalog,
                                       const std::map<std::string, int64_t> &capacity)
{
    std::map<std::string, std::vector<AccountBacklog>> accounts; // by pool
    std::map<std::string, std::vector<DrainClaim>> claims; // in the same order
    for (const auto &[key, account] : work) {
        if (!account.hasWaiting)
            continue;
        const auto team = catalog.teams.find(key.second);
        const double weight = team == catalog.teams.end() ? 1 : team->second.weight;
        const int64_t limit = team == catalog.teams.end() ? 0 : team->second.limit.cpuMilli;
        const int64_t demand = account.backlog.demandCpuMilli;
        claims[key.first].push_back(
            {weight > 0 ? weight : 1, limit > 0 ? std::min(limit, demand) : demand});
        AccountBacklog &backlog = accounts[key.first].emplace_back(account.backlog);
        std::tie(backlog.pool, backlog.account) = key;
    }
    std::vector<AccountBacklog> out;
    for (auto &[pool, backlogs] : accounts) {
        const auto it = capacity.find(pool);
        const auto drains = fairDrain(claims[pool], it == capacity.end() ? 0 : it->second);
        for (size_t i = 0; i < backlogs.size(); ++i) {
            backlogs[i].drainCpuMilli = drains[i];
            out.push_back(std::move(backlogs[i]));
        }
    }
    return out;
}

} // namespace

// Returns the processors of the pool's workers that work may start on, less those that long-running
// tasks keep.
std::map<std::string, int64_t> Dispatcher::Impl::drainCapacity() const
{
    std::map<std::string, int64_t> out;
    for (const auto &[id, worker] : m_workers) {
        const WorkerEntry &entry = worker->entry;
        const bool usable = worker->listed && worker->reachable && !entry.draining
                            && !m_zonesOut.contains(entry.availabilityZone);
        if (usable)
            out[entry.pool] += entry.capacity.cpuMilli;
    }
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = routeOf(*job);
        if (route == nullptr)
            continue;
        for (const auto &step : job->steps) {
            if (step->spec->longRunning)
                out[route->pool] -= step->taskResources.cpuMilli * step->active;
        }
    }
    return out;
}

BacklogSummary Dispatcher::Impl::backlog(Instant now, int64_t unixMs) const
{
    WorkByAccount work;
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = job->isTerminal() ? nullptr : routeOf(*job);
        if (route == nullptr)
            continue;
        AccountWork &account = work[{route->pool, job->spec->team}];
        for (const auto &step : job->steps) {
            if (step->done() || step->spec->longRunning)
                continue;
            const UrgencyClass urgency =
                urgencyClass(*step, *route, slackMs(*step, *route, unixMs), unixMs);
            addStep(account, *step, route->priority, isReady(*step, unixMs),
                    urgency == UrgencyClass::Expired);
        }
    }
    BacklogSummary out;
    out.epoch = m_options.epoch;
    out.computedAt = now;
    out.accounts = withDrains(work, *m_catalog, drainCapacity());
    return out;
}

} // namespace cardamompaddle
