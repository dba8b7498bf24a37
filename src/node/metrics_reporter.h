// Updates the gauges and counters of one entry instance once a second.
#pragma once

#include "base/time.h"
#include "logwriter/log_writer.h"
#include "metrics/registry.h"
#include "scheduler/pool_scheduler.h"

#include <map>
#include <optional>
#include <string>

namespace cardamompaddle {

class Node;
class PoolOwner;

// Not thread-safe: control thread only.
class MetricsReporter
{
public:
    // Updates the metrics if a second has passed since the last update.
    void update(Node &node, Instant now);

private:
    void updateState(Node &node, Instant now) const;
    void updatePool(Registry &metrics, const std::string &pool, const PoolOwner &owner,
                    Instant now);
    void updateShares(Node &node) const;
    void updateObjectives(Node &node, Instant now) const;
    void updateAppends(Registry &metrics, const std::string &stream,
                       const LogWriter::Counters &counters);

    std::optional<Instant> m_lastUpdate;
    // Values that have already been added to the metrics' counters, by pool and by stream.
    std::map<std::string, SchedulerCounters> m_reportedPools;
    std::map<std::string, LogWriter::Counters> m_reportedStreams;
};

} // namespace cardamompaddle
