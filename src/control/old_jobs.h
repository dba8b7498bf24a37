// Drops the records of jobs that ended so long ago that nobody asks for them any more.
//
// Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"
#include "control/job_book.h"

#include <memory>
#include <string>

namespace cardamompaddle {

class OldJobs
{
public:
    // The log and the book must outlive the object.
    OldJobs(KeyedLog &log, const JobBook &book, std::string jobsTopic, std::string workTopic);
    ~OldJobs();
    OldJobs(const OldJobs &) = delete;
    OldJobs &operator=(const OldJobs &) = delete;

    // Drops ended jobs that were accepted before `unixMs`. Call every few seconds: some are dropped
    // at a time, and what is still there after a lost answer is dropped the next time.
    void drop(Instant now, int64_t unixMs);

private:
    KeyedLog &m_log;
    const JobBook &m_book;
    std::string m_jobsTopic;
    std::string m_workTopic;
    Instant m_droppedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
