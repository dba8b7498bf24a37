// Drops the records of jobs that ended so long ago that nobody asks for them any more.
//
// Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"
#include "control/job_table.h"

#include <memory>
#include <string>

namespace cardamompaddle {

class JobGarbageCollector
{
public:
    // The log and the job table must outlive the object.
    JobGarbageCollector(KeyedLog &log, const JobTable &jobTable, std::string jobsTopic,
                        std::string workTopic);
    ~JobGarbageCollector();
    JobGarbageCollector(const JobGarbageCollector &) = delete;
    JobGarbageCollector &operator=(const JobGarbageCollector &) = delete;

    // Drops ended jobs that were accepted before `unixMs`. Call every few seconds: some are dropped
    // at a time, and what is still there after a lost answer is dropped the next time.
    void collect(Instant now, int64_t unixMs);

private:
    KeyedLog &m_log;
    const JobTable &m_jobTable;
    std::string m_jobsTopic;
    std::string m_workTopic;
    Instant m_collectedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
