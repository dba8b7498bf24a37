// Removes the records of terminal jobs from the log after their retention time, and cancellations
// and refusals that act on no job.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/job_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

class JobGarbageCollector
{
public:
    // `log` and `jobTable` must outlive the collector.
    JobGarbageCollector(KeyedLog &log, const JobTable &jobTable, std::string jobsTopic,
                        std::string workTopic);
    ~JobGarbageCollector();
    JobGarbageCollector(const JobGarbageCollector &) = delete;
    JobGarbageCollector &operator=(const JobGarbageCollector &) = delete;

    // Removes jobs that ended more than `retention` before the held time `heldMs`, and logs each of
    // them. Must be called periodically: each run is limited in size, and a failed removal is
    // repeated by a later run. A call that comes too soon after the previous run does nothing.
    // Cancellations and refusals that have acted on no job for AdvanceCancellationRetention,
    // counted from when this collector first saw them, are removed too.
    void collect(Instant now, int64_t heldMs, Duration retention);

private:
    // Records that act on no job, and since which held time this has been so, by job.
    struct IdleRecords
    {
        std::map<std::string, int64_t> sinceHeldMs;

        // Returns some of those that are to be removed, given all that are idle now.
        std::vector<std::string> expired(const std::set<std::string> &idle, int64_t heldMs);
    };

    // Add the records that remove idle cancellations or refusals to `out`.
    void collectCancellations(int64_t heldMs, std::vector<KeyedRecord> &out);
    void collectRefusals(int64_t heldMs, std::vector<KeyedRecord> &out);

    KeyedLog &m_log;
    const JobTable &m_jobTable;
    std::string m_jobsTopic;
    std::string m_workTopic;
    Instant m_collectedAt;
    IdleRecords m_idleCancellations;
    IdleRecords m_idleRefusals;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
