// Construction, configuration and the hand-over of tasks from an earlier owner.
#include "scheduler/internal/core.h"

namespace cardamompaddle::sched {

Core::Core(const PoolSpec &pool, std::unique_ptr<PlacementStrategy> strategy,
           SchedulerOptions options)
    : m_pool(pool), m_strategy(std::move(strategy)), m_strategyFromPool(m_strategy == nullptr),
      m_options(std::move(options)),
      m_order(m_options.order != nullptr ? m_options.order : makePolicyOrder()),
      m_queue(*m_order, m_totalCapacity), m_zones(m_options.rampTime)
{
    if (m_strategyFromPool)
        m_strategy = makePlacementStrategy(pool.placement, m_options.seed);
}

void Core::setPool(const PoolSpec &pool)
{
    if (m_strategyFromPool && pool.placement != m_pool.placement)
        m_strategy = makePlacementStrategy(pool.placement, m_options.seed);
    m_pool = pool;
    m_queue.clearCapacityCache();
    for (auto &[id, worker] : m_workers)
        updateIndexEntry(*worker);
}

void Core::setTeams(const std::map<std::string, TeamSpec> &teams)
{
    m_teamSpecs = teams;
    updateShares();
}

void Core::setRemoteUsage(const std::map<std::string, int64_t> &shares)
{
    m_remoteShares = shares;
    updateShares();
}

void Core::allTasksKnown(Instant now)
{
    m_now = now;
    m_allTasksKnown = true;
    for (const JobKey &key : std::exchange(m_awaitingAdoption, {})) {
        const auto it = m_jobs.find(key);
        if (it == m_jobs.end())
            continue;
        Job &job = *it->second;
        enqueue(job, now);
        eraseIfDone(job);
    }
}

} // namespace cardamompaddle::sched
