// Keeps this member's job store up to date with the stream "jobs" and appends records to the
// stream.
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
    // The outcome of writing a record: `write` is the log writer's result, and `applied` is the job
    // store's result, empty if the record was not read back.
    struct RecordOutcome
    {
        WriteOutcome write;
        std::optional<JobApplyOutcome> applied;
    };
    using WriteDone = std::function<void(const RecordOutcome &outcome, Instant now)>;
    // Called for each job whose state changed.
    using JobChanged = std::function<void(const JobKey &key, Instant now)>;

    // Errors: InvalidArgument. `log` must outlive the service.
    static Result<std::unique_ptr<JobService>> create(LogClient &log, JobServiceOptions options);

    const JobStore &store() const { return m_store; }
    bool synced() const { return m_store.synced(); }
    bool logUp() const { return m_follower->up(); }
    // Start time of the newest read that reached the tail of the stream: the store contains every
    // record that was appended earlier. Empty before the first such read.
    std::optional<Instant> readAsOf() const { return m_readAsOf; }
    Duration retention() const { return m_options.retention; }
    uint64_t incarnation() const { return m_options.incarnation; }
    const LogWriter::Counters &writerCounters() const { return m_writer->counters(); }
    void setIncarnation(uint64_t incarnation);
    // Sets whether no other member is known to have read further.
    void setMostCurrent(bool mostCurrent) { m_mostCurrent = mostCurrent; }
    void setJobChanged(JobChanged callback) { m_jobChanged = std::move(callback); }

    // Reads the log and retries writes.
    void advance(Instant now);
    // Appends Republished records, each with the full state of a job, for unfinished jobs of the
    // pool whose newest full record is older than half of `retention`, a limited number at a time.
    // Any member may do so, because such a record only repeats known state.
    void republish(const std::string &pool, Duration retention, Instant now);
    // Appends one record. `done` runs once, possibly within this call.
    void write(decltype(JobRecord::body) body, Instant now, Instant deadline,
               const WriteDone &done);

private:
    JobService(LogClient &log, JobServiceOptions options);
    void handlePage(const LogPage &page, Instant now);

    JobServiceOptions m_options;
    JobStore m_store;
    std::unique_ptr<StreamFollower> m_follower;
    std::unique_ptr<LogWriter> m_writer;
    std::optional<Instant> m_readAsOf;
    bool m_mostCurrent = true;
    JobChanged m_jobChanged;
};

} // namespace cardamompaddle
