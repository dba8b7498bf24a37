// Keeps this member's fold of the jobs up to date and appends records about jobs.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "jobs/job_record.h"
#include "jobs/job_store.h"
#include "logwriter/log_writer.h"
#include "node/stream_follower.h"
#include "platform/log.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace cardamompaddle {

struct JobServiceOptions
{
    uint64_t incarnation = 0;
    Duration retention{3'600'000}; // shortest time for which the log keeps a record
};

// Not thread-safe: control thread only.
class JobService
{
public:
    // The fate of a record: what the log did, and what the fold made of it when it was appended.
    struct Written
    {
        WriteOutcome log;
        std::optional<JobApplyOutcome> fold;
    };
    using WriteDone = std::function<void(const Written &written, Instant now)>;
    // Called for each job whose state changed.
    using JobChanged = std::function<void(const JobKey &key, Instant now)>;

    // Errors: InvalidArgument. `log` must outlive the service.
    static Result<std::unique_ptr<JobService>> create(LogClient &log, JobServiceOptions options);

    const JobStore &store() const { return m_store; }
    bool synced() const { return m_store.synced(); }
    bool logUp() const { return m_follower->up(); }
    // Time at which the newest successful read started; the fold holds every record appended
    // before, once it has reached the tail.
    std::optional<Instant> readAsOf() const { return m_readAsOf; }
    Duration retention() const { return m_options.retention; }
    uint64_t incarnation() const { return m_options.incarnation; }
    const LogWriter::Counters &writerCounters() const { return m_writer->counters(); }
    void setIncarnation(uint64_t incarnation);
    // Whether no other member is known to have read further.
    void setMostCurrent(bool best) { m_mostCurrent = best; }
    void setJobChanged(JobChanged callback) { m_jobChanged = std::move(callback); }

    // Reads the log and retries writes.
    void advance(Instant now);
    // Appends the whole state of unfinished jobs of a pool whose newest full record is older than
    // half of `retention`, a few at a time. Any member may do so: the record repeats what the fold
    // says.
    void republish(const std::string &pool, Duration retention, Instant now);
    // Appends one record. `done` runs once, possibly within this call.
    void write(decltype(JobRecord::body) body, Instant now, Instant deadline,
               const WriteDone &done);

private:
    JobService(LogClient &log, JobServiceOptions options);
    void pageRead(const LogPage &page, Instant now);

    JobServiceOptions m_options;
    JobStore m_store;
    std::unique_ptr<StreamFollower> m_follower;
    std::unique_ptr<LogWriter> m_writer;
    std::optional<Instant> m_readAsOf;
    bool m_mostCurrent = true;
    JobChanged m_jobChanged;
};

} // namespace cardamompaddle
