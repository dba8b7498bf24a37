#include "jobs/job_store.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

JobApplyOutcome makeOutcome(JobApplyKind kind, std::string reason)
{
    return {kind, std::move(reason), 0, std::nullopt, {}};
}

JobApplyOutcome acceptedOutcome(const JobKey &key)
{
    return {JobApplyKind::Accepted, "", 0, std::nullopt, {key}};
}

uint64_t hashSpec(const JobSpec &spec)
{
    return stableHash(formatJobRecord({RecordId(), SubmittedRecord{spec, 0}}));
}

size_t outputBytes(const Job &job)
{
    size_t sum = 0;
    for (const auto &it : job.finished)
        sum += it.second.output.size();
    return sum;
}

} // namespace

JobStore::JobStore(JobStoreOptions options) : m_options(options) { }

std::vector<JobApplyOutcome> JobStore::applyPage(const LogPage &page, Instant now,
                                                 bool isMostCurrent)
{
    if (page.first > m_nextOffset)
        skipExpiredRecords(page.first, isMostCurrent);
    std::vector<JobApplyOutcome> outcomes;
    for (const LogRecord &record : page.records) {
        if (record.offset < m_nextOffset)
            continue;
        if (record.offset > m_nextOffset)
            break;
        outcomes.push_back(apply(record, now));
    }
    // Drop pending records that have expired from the log. A Republished record whose writer had
    // not applied them can no longer be used.
    while (!m_pendingOrder.empty() && oldestPendingOffset() < page.first)
        dropOldestPending();
    m_synced = m_synced || m_nextOffset >= page.next;
    return outcomes;
}

JobApplyOutcome JobStore::apply(const LogRecord &record, Instant now)
{
    const auto parsed = parseJobRecord(record.data);
    JobApplyOutcome outcome;
    if (record.offset > m_nextOffset)
        return makeOutcome(JobApplyKind::Invalid,
                           "expected offset " + std::to_string(m_nextOffset));
    if (record.offset < m_nextOffset) {
        outcome = makeOutcome(JobApplyKind::Duplicate, "the offset was applied before");
    } else {
        m_nextOffset = record.offset + 1;
        if (!parsed.ok())
            outcome = makeOutcome(JobApplyKind::Invalid, parsed.error().reason);
        else if (m_outcomes.contains(parsed->id))
            outcome =
                makeOutcome(JobApplyKind::Duplicate, "a copy of this record was applied before");
        else
            outcome = applyRecord(*parsed, record.offset, now);
    }
    outcome.offset = record.offset;
    if (parsed.ok())
        outcome.id = parsed->id;
    recordOutcome(outcome);
    return outcome;
}

JobApplyOutcome JobStore::applyRecord(const JobRecord &record, uint64_t offset, Instant now)
{
    if (const auto *body = std::get_if<SubmittedRecord>(&record.body))
        return applySubmitted(record, *body, offset, now);
    if (const auto *body = std::get_if<RepublishedRecord>(&record.body))
        return applyRepublished(*body, now);
    if (const auto *body = std::get_if<TasksFinishedRecord>(&record.body))
        return applyFinished(record, *body, offset);
    if (const auto *body = std::get_if<CancelledRecord>(&record.body))
        return applyToJob(record, body->job, offset);
    if (const auto *body = std::get_if<StartIntentRecord>(&record.body))
        return applyToJob(record, body->job, offset);
    return applyToJob(record, std::get<EndedRecord>(record.body).job, offset);
}

// The first Submitted record of a key wins. After a job has ended, its id may be reused only by
// writers that had applied the Ended record; a concurrent submission counts as the existing job.
JobApplyOutcome JobStore::applySubmitted(const JobRecord &record, const SubmittedRecord &body,
                                         uint64_t offset, Instant now)
{
    const JobKey &key = body.spec.key;
    const auto it = m_jobs.find(key);
    const bool isKnown = it != m_jobs.end();
    if (isKnown && (!it->second.job.ended() || it->second.endedAt >= body.folded)) {
        const bool sameSpec = it->second.specHash == hashSpec(body.spec);
        return makeOutcome(sameSpec ? JobApplyKind::Existing : JobApplyKind::Conflict,
                           "job " + key.toString() + " already exists"
                               + (sameSpec ? "" : " with a different specification"));
    }
    // Records that this store has not seen may hold another job of this key.
    const auto pending = newestPendingOffset(key);
    if ((!isKnown && body.folded < m_completeFromOffset) || (pending && *pending >= body.folded))
        return addPending(record, {key, offset}, offset);
    if (isKnown)
        eraseEndedJob(key);
    Job job;
    job.spec = body.spec;
    job.submitted = offset;
    addJob(std::move(job), now);
    return acceptedOutcome(key);
}

// For a known unfinished job, only the age of its newest full state changes. Otherwise the state is
// taken from the record, and pending records that the writer had not applied are applied to it.
JobApplyOutcome JobStore::applyRepublished(const RepublishedRecord &body, Instant now)
{
    const JobRef ref = body.job.ref();
    const auto it = m_jobs.find(ref.key);
    if (it != m_jobs.end()) {
        Entry &entry = it->second;
        const bool ended = entry.job.ended();
        if (!ended && entry.job.submitted == ref.submitted) {
            entry.fullStateReadAt = m_synced ? std::optional(now) : std::nullopt;
            return {JobApplyKind::Accepted, "", 0, std::nullopt, {}};
        }
        if (!ended || entry.job.submitted >= ref.submitted)
            return makeOutcome(JobApplyKind::TooLate,
                               "the job has ended or its id belongs to another job");
    }
    if (body.folded < m_completeFromOffset) {
        return makeOutcome(
            JobApplyKind::Pending,
            "records between this copy of the job and the oldest known record are missing");
    }
    if (it != m_jobs.end())
        eraseEndedJob(ref.key);
    addJob(body.job, now);
    replayPending(ref, body.folded);
    return acceptedOutcome(ref.key);
}

JobApplyOutcome JobStore::applyFinished(const JobRecord &record, const TasksFinishedRecord &body,
                                        uint64_t offset)
{
    JobApplyOutcome total = makeOutcome(JobApplyKind::TooLate, "the record lists no task");
    for (const auto &entry : body.entries) {
        const JobRecord single{record.id, TasksFinishedRecord{{entry}}};
        JobApplyOutcome outcome = applyToJob(single, entry.job, offset);
        total.changedJobs.insert(total.changedJobs.end(), outcome.changedJobs.begin(),
                                 outcome.changedJobs.end());
        if (total.kind != JobApplyKind::Accepted) {
            total.kind = outcome.kind;
            total.reason = std::move(outcome.reason);
        }
    }
    return total;
}

JobApplyOutcome JobStore::applyToJob(const JobRecord &record, const JobRef &job, uint64_t offset)
{
    const auto it = m_jobs.find(job.key);
    if (it == m_jobs.end() || it->second.job.submitted < job.submitted)
        return addPending(record, job, offset);
    if (it->second.job.submitted > job.submitted)
        return makeOutcome(JobApplyKind::TooLate,
                           "the record is about an earlier job of the same id");
    return updateJob(it->second, record, offset);
}

JobApplyOutcome JobStore::updateJob(Entry &entry, const JobRecord &record, uint64_t offset)
{
    if (entry.job.ended())
        return makeOutcome(JobApplyKind::TooLate, "the job has ended");
    if (const auto *body = std::get_if<StartIntentRecord>(&record.body))
        return grantStartIntent(entry, record.id, *body);
    if (const auto *body = std::get_if<TasksFinishedRecord>(&record.body))
        return finishTask(entry, body->entries.front());
    if (const auto *body = std::get_if<EndedRecord>(&record.body))
        return endJob(entry, *body, offset);
    if (std::holds_alternative<CancelledRecord>(record.body))
        return cancelJob(entry);
    return makeOutcome(JobApplyKind::TooLate, "the job already exists");
}

JobApplyOutcome JobStore::cancelJob(Entry &entry)
{
    if (entry.job.cancelled)
        return makeOutcome(JobApplyKind::Existing, "the job is already cancelled");
    entry.job.cancelled = true;
    return acceptedOutcome(entry.job.spec.key);
}

// At most one record obtains the permission for an attempt, and later records for the same or a
// lower attempt are refused (invariant I8).
JobApplyOutcome JobStore::grantStartIntent(Entry &entry, const RecordId &id,
                                           const StartIntentRecord &body)
{
    Job &job = entry.job;
    if (body.index >= job.spec.tasks)
        return makeOutcome(JobApplyKind::Invalid, "the job has no such task");
    if (job.cancelled)
        return makeOutcome(JobApplyKind::TooLate, "the job was cancelled");
    if (job.finished.contains(body.index))
        return makeOutcome(JobApplyKind::TooLate, "the task has finished");
    const auto granted = job.intents.find(body.index);
    if (granted != job.intents.end() && granted->second.attempt >= body.attempt)
        return makeOutcome(JobApplyKind::TooLate,
                           "another record obtained the permission for this attempt");
    job.intents[body.index] = StartIntent{body.attempt, id};
    int32_t &highest = job.attempts[body.index];
    highest = std::max(highest, body.attempt);
    job.state = JobState::Running;
    return acceptedOutcome(job.spec.key);
}

JobApplyOutcome JobStore::finishTask(Entry &entry, const TasksFinishedRecord::Entry &body)
{
    Job &job = entry.job;
    if (body.index >= job.spec.tasks)
        return makeOutcome(JobApplyKind::Invalid, "the job has no such task");
    if (job.finished.contains(body.index))
        return makeOutcome(JobApplyKind::TooLate, "the task has already finished");
    job.state = JobState::Running;
    if (!body.final) {
        int32_t &highest = job.attempts[body.index];
        highest = std::max(highest, body.result.attempt);
        return acceptedOutcome(job.spec.key);
    }
    TaskResult result = body.result;
    const size_t outputs = entry.dataBytes - job.spec.payload.size();
    if (outputs + result.output.size() > MaxJobOutputBytes) {
        result.output.clear();
        result.outputCut = true;
    }
    entry.dataBytes += result.output.size();
    job.finished.emplace(body.index, std::move(result));
    job.attempts.erase(body.index);
    job.intents.erase(body.index);
    return acceptedOutcome(job.spec.key);
}

JobApplyOutcome JobStore::endJob(Entry &entry, const EndedRecord &body, uint64_t offset)
{
    Job &job = entry.job;
    const JobKey key = job.spec.key;
    job.state = body.state;
    job.endReason = body.reason;
    job.attempts.clear();
    job.intents.clear();
    entry.endedAt = offset;
    const auto pool = m_unfinishedByPool.find(job.spec.pool);
    pool->second.erase(job.submitted);
    if (pool->second.empty())
        m_unfinishedByPool.erase(pool);
    --m_unfinishedCount;
    m_endedByOffset[offset] = key;
    m_endedWithData[offset] = key;
    m_endedBytes += entry.dataBytes;
    evictEndedJobs();
    return acceptedOutcome(key);
}

JobApplyOutcome JobStore::addPending(const JobRecord &record, const JobRef &job, uint64_t offset)
{
    m_pending[job].emplace(offset, record);
    m_pendingOrder.push_back(job);
    while (m_pendingOrder.size() > m_options.maxPendingRecords)
        dropOldestPending();
    return makeOutcome(JobApplyKind::Pending, "the Submitted record of the job is unknown");
}

uint64_t JobStore::oldestPendingOffset() const
{
    return m_pending.at(m_pendingOrder.front()).begin()->first;
}

void JobStore::dropOldestPending()
{
    const auto it = m_pending.find(m_pendingOrder.front());
    m_completeFromOffset = std::max(m_completeFromOffset, it->second.begin()->first + 1);
    it->second.erase(it->second.begin());
    if (it->second.empty())
        m_pending.erase(it);
    m_pendingOrder.pop_front();
}

std::optional<uint64_t> JobStore::newestPendingOffset(const JobKey &key) const
{
    std::optional<uint64_t> newest;
    for (auto it = m_pending.lower_bound({key, 0}); it != m_pending.end() && it->first.key == key;
         ++it)
        newest = std::max(newest.value_or(0), it->second.rbegin()->first);
    return newest;
}

void JobStore::addJob(Job job, Instant now)
{
    Entry entry;
    entry.specHash = hashSpec(job.spec);
    entry.dataBytes = job.spec.payload.size() + outputBytes(job);
    entry.fullStateReadAt = m_synced ? std::optional(now) : std::nullopt;
    m_unfinishedByPool[job.spec.pool][job.submitted] = job.spec.key;
    ++m_unfinishedCount;
    entry.job = std::move(job);
    m_jobs[entry.job.spec.key] = std::move(entry);
}

void JobStore::replayPending(const JobRef &job, uint64_t from)
{
    const auto node = m_pending.extract(job);
    if (node.empty())
        return;
    std::erase(m_pendingOrder, job);
    for (const auto &[offset, record] : node.mapped()) {
        const auto it = m_jobs.find(job.key); // endJob() may evict the job
        if (offset >= from && it != m_jobs.end())
            updateJob(it->second, record, offset);
    }
}

void JobStore::eraseEndedJob(const JobKey &key)
{
    const auto it = m_jobs.find(key);
    const uint64_t endedAt = it->second.endedAt;
    if (m_endedWithData.erase(endedAt) > 0)
        m_endedBytes -= it->second.dataBytes;
    m_endedByOffset.erase(endedAt);
    m_jobs.erase(it);
}

void JobStore::evictEndedJobs()
{
    while (m_endedByOffset.size() > m_options.maxEnded) {
        const auto [endedAt, key] = *m_endedByOffset.begin();
        m_completeFromOffset = std::max(m_completeFromOffset, endedAt + 1);
        eraseEndedJob(key);
    }
    while (m_endedBytes > m_options.maxEndedBytes && !m_endedWithData.empty()) {
        Entry &entry = m_jobs.at(m_endedWithData.begin()->second);
        entry.job.spec.payload.clear();
        for (auto &it : entry.job.finished) {
            it.second.outputCut = it.second.outputCut || !it.second.output.empty();
            it.second.output.clear();
        }
        m_endedBytes -= entry.dataBytes;
        m_endedWithData.erase(m_endedWithData.begin());
    }
}

// A kept job whose Ended record was missed counts as unfinished until another one is read.
void JobStore::skipExpiredRecords(uint64_t first, bool keepUnfinishedJobs)
{
    while (!m_endedByOffset.empty())
        eraseEndedJob(JobKey(m_endedByOffset.begin()->second));
    if (!keepUnfinishedJobs) {
        m_jobs.clear();
        m_unfinishedByPool.clear();
        m_unfinishedCount = 0;
    }
    for (auto &[key, entry] : m_jobs)
        markStale(entry);
    m_pending.clear();
    m_pendingOrder.clear();
    m_completeFromOffset = first;
    m_nextOffset = first;
    m_synced = false;
}

void JobStore::markStale(Entry &entry)
{
    entry.fullStateReadAt.reset(); // due for republication at once
    if (entry.job.spec.repeatable)
        return;
    // Missed records may have granted a start.
    for (int32_t index = 0; index < entry.job.spec.tasks; ++index) {
        if (!entry.job.finished.contains(index))
            entry.job.attempts.try_emplace(index, 1);
    }
}

void JobStore::recordOutcome(const JobApplyOutcome &outcome)
{
    if (!outcome.id || !m_outcomes.emplace(*outcome.id, outcome).second)
        return;
    m_outcomeOrder.push_back(*outcome.id);
    if (m_outcomeOrder.size() > m_options.maxOutcomes) {
        m_outcomes.erase(m_outcomeOrder.front());
        m_outcomeOrder.pop_front();
    }
}

} // namespace cardamompaddle
