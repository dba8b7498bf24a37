// The state of all jobs, computed by applying the records of stream "jobs" in order (a fold over
// the stream). Every member does so, and any of them can answer reads.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "config/record_id.h"
#include "jobs/job.h"
#include "jobs/job_record.h"
#include "platform/log.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamompaddle {

enum class JobApplyKind {
    Accepted,
    Existing, // a Submitted record of the same id and the same spec was applied before
    Conflict, // a Submitted record of the same id and another spec was applied before
    TooLate, // the job has ended or was cancelled, or another record obtained the permission
    Duplicate, // a copy of a record that was applied before
    Invalid, // malformed
    Pending, // earlier records of the job have expired; held until its Republished record is read
};
std::string_view jobApplyKindName(JobApplyKind kind);

struct JobApplyOutcome
{
    JobApplyKind kind = JobApplyKind::Invalid;
    std::string reason; // empty if accepted
    uint64_t offset = 0;
    std::optional<RecordId> id; // empty if the record is malformed
    std::vector<JobKey> changedJobs; // jobs whose state changed
};

struct JobStoreOptions
{
    // Ended jobs kept for reads. Must cover several minutes of completions: a submission is held as
    // pending if its writer had not applied all records up to the newest evicted end.
    size_t maxEnded = 20'000;
    // Total payloads and outputs of ended jobs. Beyond it, the oldest jobs lose theirs.
    size_t maxEndedBytes = 64 << 20;
    size_t maxOutcomes = 20'000; // record outcomes kept for outcomeOf()
    size_t maxPendingRecords = 20'000; // records held for jobs whose start is unknown
};

// Not thread-safe: control thread only.
class JobStore
{
public:
    JobStore() : JobStore(JobStoreOptions()) { }
    explicit JobStore(JobStoreOptions options);

    // Returns the offset from which to read the next page.
    uint64_t nextOffset() const { return m_nextOffset; }
    // Returns the offset from which on every record is known.
    uint64_t completeFromOffset() const { return m_completeFromOffset; }
    // True once a page has reached the end of the stream.
    bool synced() const { return m_synced; }
    // Applies a page. If records between nextOffset() and the page have expired unread, continues
    // from the oldest retained record. By default this drops the unfinished jobs, because a member
    // that read the expired records republishes them. If `isMostCurrent` is true, no member has
    // read further than this one: the unfinished jobs are kept, and their unfinished tasks count as
    // started if they may not be repeated.
    std::vector<JobApplyOutcome> applyPage(const LogPage &page, Instant now,
                                           bool isMostCurrent = false);
    // Applies the record at offset nextOffset(). A lower offset is a duplicate, a higher one
    // invalid.
    JobApplyOutcome apply(const LogRecord &record, Instant now);

    // Returns nullptr if the job is unknown or was evicted.
    const Job *find(const JobKey &key) const;
    // True if an unfinished job of this key may exist that find() does not return, because its
    // Submitted record precedes the known records. Such a key must not be submitted.
    bool mayHaveUnfinishedJob(const JobKey &key) const;
    // Returns the unfinished jobs of a pool in the order of submission.
    std::vector<const Job *> unfinished(const std::string &pool) const;
    size_t unfinishedCount() const { return m_unfinishedCount; }
    size_t endedCount() const { return m_endedByOffset.size(); }
    // Returns the outcome of a record, or nullopt if it was not applied or is no longer remembered.
    std::optional<JobApplyOutcome> outcomeOf(const RecordId &id) const;
    // Returns up to `max` unfinished jobs of a pool that must be written again before their records
    // expire: their newest Submitted or Republished record is older than half of `retention`, or of
    // unknown age because it was read before synced(). In the order of submission.
    std::vector<JobRef> dueForRepublication(const std::string &pool, Instant now,
                                            Duration retention, size_t max) const;
    // Returns the body of a Republished record, or nullopt if the job is unknown or has ended.
    std::optional<RepublishedRecord> makeRepublishedRecord(const JobKey &key) const;
    // Returns a hash of the unfinished jobs, for comparison between members.
    uint64_t digest() const;

private:
    struct Entry
    {
        Job job;
        uint64_t endedAt = 0; // offset of the Ended record, if the job has ended
        uint64_t specHash = 0; // of the spec as submitted; the payload may be dropped later
        size_t dataBytes = 0; // size of payload and outputs
        // Time at which the newest Submitted or Republished record was read. Empty if it was read
        // before synced(), when its age is unknown.
        std::optional<Instant> fullStateReadAt;
    };
    // Records about a job whose start is unknown, by offset.
    using PendingRecords = std::multimap<uint64_t, JobRecord>;

    JobApplyOutcome applyRecord(const JobRecord &record, uint64_t offset, Instant now);
    JobApplyOutcome applySubmitted(const JobRecord &record, const SubmittedRecord &body,
                                   uint64_t offset, Instant now);
    JobApplyOutcome applyRepublished(const RepublishedRecord &body, Instant now);
    JobApplyOutcome applyFinished(const JobRecord &record, const TasksFinishedRecord &body,
                                  uint64_t offset);
    // Applies a record about one job, or holds it until the job is known.
    JobApplyOutcome applyToJob(const JobRecord &record, const JobRef &job, uint64_t offset);
    JobApplyOutcome updateJob(Entry &entry, const JobRecord &record, uint64_t offset);
    JobApplyOutcome cancelJob(Entry &entry);
    JobApplyOutcome grantStartIntent(Entry &entry, const RecordId &id,
                                     const StartIntentRecord &body);
    JobApplyOutcome finishTask(Entry &entry, const TasksFinishedRecord::Entry &body);
    JobApplyOutcome endJob(Entry &entry, const EndedRecord &body, uint64_t offset);
    JobApplyOutcome addPending(const JobRecord &record, const JobRef &job, uint64_t offset);
    // Returns the offset of the newest pending record about any job of this key.
    std::optional<uint64_t> newestPendingOffset(const JobKey &key) const;
    void addJob(Job job, Instant now);
    void replayPending(const JobRef &job, uint64_t from);
    // Drops the oldest pending record. Records up to its offset no longer count as known.
    void dropOldestPending();
    // Precondition: a record is pending.
    uint64_t oldestPendingOffset() const;
    void eraseEndedJob(const JobKey &key);
    // Enforces maxEnded and maxEndedBytes, oldest job first.
    void evictEndedJobs();
    void skipExpiredRecords(uint64_t first, bool keepUnfinishedJobs);
    // Marks a job whose records may have been missed: it is due for republication, and its
    // unfinished tasks count as started if they may not be repeated.
    static void markStale(Entry &entry);
    void recordOutcome(const JobApplyOutcome &outcome);

    JobStoreOptions m_options;
    // From this offset on, the store has read every record and dropped none about jobs that it does
    // not hold.
    uint64_t m_completeFromOffset = 0;
    uint64_t m_nextOffset = 0;
    bool m_synced = false;
    std::unordered_map<JobKey, Entry> m_jobs;
    // Unfinished jobs of each pool, by offset of the Submitted record.
    std::map<std::string, std::map<uint64_t, JobKey>> m_unfinishedByPool;
    size_t m_unfinishedCount = 0;
    std::map<uint64_t, JobKey> m_endedByOffset; // by offset of the Ended record
    std::map<uint64_t, JobKey> m_endedWithData; // ended jobs that still hold payload and outputs
    size_t m_endedBytes = 0;
    std::map<JobRef, PendingRecords> m_pending;
    std::deque<JobRef> m_pendingOrder;
    std::map<RecordId, JobApplyOutcome> m_outcomes;
    std::deque<RecordId> m_outcomeOrder;
};

} // namespace cardamompaddle
