#include "scheduler/pool_scheduler.h"

#include "scheduler/internal/core.h"

#include <array>

namespace cardamompaddle {

std::string_view decisionKindName(DecisionKind kind)
{
    static constexpr std::array<std::string_view, 6> Names{
        "start", "stop", "checkpoint", "throttle", "reject_request", "job_failed"};
    return Names[static_cast<size_t>(kind)];
}

Result<PoolScheduler> PoolScheduler::create(const PoolSpec &pool,
                                            std::unique_ptr<PlacementStrategy> strategy,
                                            SchedulerOptions options)
{
    const bool valid = options.maxStopsPerDecide > 0 && options.maxAttempts > 0
                       && options.maxAttempts < 16 && options.rampTime.count() > 0
                       && options.checkpointGrace.count() >= 0 && options.retryDelay.count() >= 0
                       && options.gangReservation.count() > 0;
    if (!valid)
        return Error{ErrorCode::InvalidArgument, "scheduler option out of range"};
    return PoolScheduler(
        std::make_unique<sched::Core>(pool, std::move(strategy), std::move(options)));
}

PoolScheduler::PoolScheduler(std::unique_ptr<sched::Core> core) : m_core(std::move(core)) { }
PoolScheduler::PoolScheduler(PoolScheduler &&) noexcept = default;
PoolScheduler &PoolScheduler::operator=(PoolScheduler &&) noexcept = default;
PoolScheduler::~PoolScheduler() = default;

void PoolScheduler::setPool(const PoolSpec &pool)
{
    m_core->setPool(pool);
}

void PoolScheduler::setRoutes(const std::map<std::string, RouteSpec> &routes)
{
    m_core->setRoutes(routes);
}

void PoolScheduler::setTeams(const std::map<std::string, TeamSpec> &teams)
{
    m_core->setTeams(teams);
}

void PoolScheduler::setRemoteUsage(const std::map<std::string, int64_t> &shares)
{
    m_core->setRemoteUsage(shares);
}

void PoolScheduler::setZonesOut(const std::set<std::string> &zones, Instant now)
{
    m_core->setZonesOut(zones, now);
}

void PoolScheduler::allTasksKnown(Instant now)
{
    m_core->allTasksKnown(now);
}

Result<void> PoolScheduler::submit(const WorkItem &item, Instant now)
{
    return m_core->submit(item, now);
}

void PoolScheduler::cancel(const JobKey &job, Instant now)
{
    m_core->cancel(job, now);
}

bool PoolScheduler::hasJob(const JobKey &job) const
{
    return m_core->hasJob(job);
}

int32_t PoolScheduler::runningTasks(const JobKey &job) const
{
    return m_core->runningTasks(job);
}

void PoolScheduler::workerAcquired(const WorkerInfo &worker,
                                   const std::vector<RunningTask> &running, Instant now)
{
    m_core->workerAcquired(worker, running, now);
}

void PoolScheduler::workerUpdated(const WorkerInfo &worker, Instant now)
{
    m_core->workerUpdated(worker, now);
}

void PoolScheduler::workerLost(const WorkerId &worker, Instant now)
{
    m_core->workerLost(worker, now);
}

TaskDisposition PoolScheduler::releaseUncertain(const TaskAttempt &attempt, Instant now)
{
    return m_core->releaseUncertain(attempt, now);
}

std::vector<TaskAttempt> PoolScheduler::uncertainTasks(const WorkerId &worker) const
{
    return m_core->uncertainTasks(worker);
}

void PoolScheduler::usageReported(const WorkerId &worker, const std::vector<RunningTask> &running,
                                  Instant now)
{
    m_core->usageReported(worker, running, now);
}

TaskDisposition PoolScheduler::taskEnded(const WorkerId &worker, const TaskAttempt &attempt,
                                         TaskOutcome outcome, Instant now)
{
    return m_core->taskEnded(worker, attempt, outcome, now);
}

void PoolScheduler::startRefused(const WorkerId &worker, const TaskAttempt &attempt, Instant now)
{
    m_core->startRefused(worker, attempt, now);
}

std::vector<Decision> PoolScheduler::decide(Instant now, StartGate &gate, int max)
{
    return m_core->decide(now, gate, max);
}

std::optional<Instant> PoolScheduler::nextEvent(Instant now) const
{
    return m_core->nextEvent(now);
}

std::string PoolScheduler::explainWaiting(const JobKey &job, Instant now) const
{
    return m_core->explainWaiting(job, now);
}

std::vector<QueueRow> PoolScheduler::queueRows(Instant now) const
{
    return m_core->queueRows(now);
}

std::vector<WorkerRow> PoolScheduler::workerRows(Instant now) const
{
    return m_core->workerRows(now);
}

SchedulerCounters PoolScheduler::counters() const
{
    return m_core->counters();
}

std::map<std::string, int64_t> PoolScheduler::localUsage() const
{
    return m_core->localUsage();
}

std::map<std::string, int32_t> PoolScheduler::runningByTeam() const
{
    return m_core->runningByTeam();
}

void PoolScheduler::stopTeamExcess(const std::string &team, int32_t count, Instant now)
{
    m_core->stopTeamExcess(team, count, now);
}

std::vector<WaitSample> PoolScheduler::takeWaitSamples()
{
    return m_core->takeWaitSamples();
}

} // namespace cardamompaddle
