// What a scheduler stores in the log and when: batches of progress, placements of tasks, workers in
// use and the tenure.
#include "control/scheduler.h"

#include "control/former_leases.h"
#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamompaddle {

namespace {

// When appends take SlowAppendTime on average, waiting for them would delay starts too much. Starts
// are then sent before their record is stored, until the average has dropped to FastAppendTime.
constexpr Duration SlowAppendTime{120};
constexpr Duration FastAppendTime{50};
// An append in flight for this long is reported to the peers before it is answered.
constexpr Duration LateAppendTime{60};
constexpr Duration MaxSlowAppendTime{700}; // a later answer is taken to be lost
constexpr int AppendTimeAverageDivisor = 4; // the latest append has a weight of 1/4
// Longer than it takes a worker that is up to answer the next poll after a lost answer.
constexpr Duration MinSilenceToSuspendLease{600};
// The time that is left of the leases is stored again this often, so that an instance which starts
// meanwhile does not count the whole of it.
constexpr Duration SuspensionStoreInterval{500};
// Bounds the usage of client accounts that a takeover loses, and the bytes that are stored for it.
constexpr Duration UsageRecordInterval{5'000};

// Returns 0 if the time has passed.
Duration timeUntil(Instant time, Instant now)
{
    return time <= now ? Duration::zero() : time - now;
}

} // namespace

// Stops recording starts before they are sent while the log is slow, and resumes once it is fast.
//
// A start may go out without a record only after a tenure with `startsRecorded` false is stored.
// The tenure gets `startsRecorded` true again in an append that also holds the placement of every
// running task.
void Scheduler::updateStartRecording(Duration appendTime)
{
    m_averageAppendTime += (appendTime - m_averageAppendTime) / AppendTimeAverageDivisor;
    const bool recorded = m_options.tenure.startsRecorded;
    if (m_averageAppendTime >= SlowAppendTime) {
        if (recorded)
            setStartsRecorded(false);
        else if (!m_tenureDirty)
            m_recordBeforeStart = false;
    } else if (m_averageAppendTime <= FastAppendTime && m_allReconciled) {
        m_recordBeforeStart = true;
        if (!recorded)
            setStartsRecorded(true);
    }
}

void Scheduler::setStartsRecorded(bool recorded)
{
    m_options.tenure.startsRecorded = recorded;
    m_tenureDirty = true;
    logInfo("starts_recorded", "promised=" + std::string(recorded ? "true" : "false")
                                   + " append_ms=" + std::to_string(m_averageAppendTime.count()));
}

void Scheduler::scheduleFlush(Duration wait)
{
    if (m_writer.busy()) {
        m_flushPending = true;
        return;
    }
    const Instant due = m_context.clock.now() + wait;
    if (m_flushArmed && m_flushDue <= due)
        return;
    m_flushArmed = true;
    m_flushDue = due;
    m_flushTimer.expireAfter(wait);
    m_flushTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        m_flushArmed = false;
        if (!m_writer.busy())
            flush();
    });
}

void Scheduler::flush()
{
    const LoadMeter::Scope measured(m_load, LoadPart::Flush);
    std::vector<KeyedRecord> records;
    m_flushPending = false;
    m_batchPositions.clear();
    const auto addPosition = [this](const WorkerId &id) {
        m_batchPositions[id] = {m_dispatcher.incarnationStart(id), m_dispatcher.endPosition(id)};
    };
    for (const auto &[id, used] : m_context.jobTable.usedWorkers())
        addPosition(id);
    for (const auto &[id, startedAtMs] : m_storedUsedWorkers)
        addPosition(id);
    m_batchUrgent.clear();
    for (const work::Progress &progress : m_dispatcher.takeProgress(m_tenureClock.heldMs())) {
        const std::string key = work_key::progress(progress.id, progress.part);
        if (progress.state >= work::JobState::Completed)
            m_batchUrgent.insert(key);
        const bool removed = progress.part != 0 && progress.steps.empty();
        records.push_back({key, removed ? "" : encodeRecord(progress), removed, 0});
    }
    addWorkerRecords(records);
    const Instant now = m_context.clock.now();
    if (records.empty() && now - m_lastStoredAt < HeartbeatInterval && !m_onReleased) {
        // Nothing to store: the finished runs belong to no task that is still open.
        std::swap(m_storedPositions, m_batchPositions);
        m_links->onAppendStored(m_writer.storedSentAt());
        return;
    }
    m_startsInBatch = std::exchange(m_startsToRecord, {});
    const bool heartbeat = records.empty();
    addUsageRecord(records, now);
    if (heartbeat || m_onReleased || std::exchange(m_tenureDirty, false)) {
        work::Tenure tenure = m_options.tenure;
        tenure.released = m_onReleased != nullptr;
        // Nothing is started after a release, and the records before this one tell of all starts.
        tenure.startsRecorded = tenure.startsRecorded || (tenure.released && m_allReconciled);
        tenure.heldMs = m_tenureClock.heldMs();
        records.push_back({work_key::Tenure, encodeRecord(tenure), false, 0});
        m_batchUrgent.insert(work_key::Tenure);
        m_tenureRecordedAt = now;
        m_releaseInBatch = tenure.released;
    }
    m_slowAppendReported = false;
    m_writer.append(std::move(records),
                    [this](const std::vector<KeyedRecord> &stored) { onStored(stored); });
}

// Adds the usage of client accounts to an append that is due anyway.
void Scheduler::addUsageRecord(std::vector<KeyedRecord> &records, Instant now)
{
    if (now - m_usageTakenAt < UsageRecordInterval)
        return;
    const auto usage = m_dispatcher.takeUsage(m_tenureClock.heldMs());
    if (!usage)
        return;
    m_usageTakenAt = now;
    records.push_back({work_key::Usage, encodeRecord(*usage), false, 0});
}

void Scheduler::publish(const std::vector<KeyedRecord> &records)
{
    std::vector<KeyedRecord> urgent;
    std::copy_if(records.begin(), records.end(), std::back_inserter(urgent),
                 [this](const KeyedRecord &it) { return m_batchUrgent.contains(it.key); });
    if (urgent.empty() && m_lastStoredAt - m_lastPublishedAt < HeartbeatInterval)
        return;
    m_lastPublishedAt = m_lastStoredAt;
    const LoadMeter::Scope measured(m_load, LoadPart::Publish);
    m_recordsStored(urgent, records.empty() ? 0 : records.back().offset + 1);
}

void Scheduler::addWorkerRecords(std::vector<KeyedRecord> &records)
{
    for (const WorkerId &id : m_usedWorkersToRemove) {
        if (m_links->contains(id))
            continue; // listed again
        records.push_back({work_key::usedWorker(id), "", true, 0});
        m_storedUsedWorkers.erase(id);
        m_suspendedLeases.erase(id);
        m_closedWorkers.erase(id);
        m_retiredWorkers.erase(id);
    }
    m_usedWorkersToRemove.clear();
    m_batchUsedWorkers.clear();
    for (const WorkerId &id : std::exchange(m_usedWorkersToStore, {})) {
        m_batchUsedWorkers[id] = incarnationToStore(id);
        records.push_back(usedWorkerRecord(id, Duration::zero(), 0));
    }
    suspendLeases(records);
    closeWorkers(records);
}

KeyedRecord Scheduler::usedWorkerRecord(const WorkerId &id, Duration leasesExpireWithin,
                                        int64_t runsRecordedEpoch) const
{
    work::UsedWorker used;
    used.id = id;
    used.address = m_links->address(id);
    used.leasesExpireWithinMs = leasesExpireWithin.count();
    used.runsRecordedEpoch = runsRecordedEpoch;
    used.startedAtMs = incarnationToStore(id);
    const Instant now = m_context.clock.now();
    const int64_t heldMs = m_tenureClock.heldMsAt(now);
    used.leasesExpireAtHeldMs = heldTimeAfter(heldMs, leasesExpireWithin);
    if (m_links->contains(id)) {
        const WorkerLease &lease = m_links->lease(id);
        const Duration stale = timeUntil(lease.staleExpiry(), now);
        const Duration unanswered = timeUntil(lease.unansweredExpiry(), now);
        used.staleLeasesExpireWithinMs = stale.count();
        used.staleLeasesExpireAtHeldMs = heldTimeAfter(heldMs, stale);
        used.unansweredStartsExpireWithinMs = unanswered.count();
        used.unansweredStartsExpireAtHeldMs = heldTimeAfter(heldMs, unanswered);
    }
    return {work_key::usedWorker(id), encodeRecord(used), false, 0};
}

// An incarnation is named once it has answered a probe, so that the record tells what stale calls
// may have done there. A worker without a record has got no leases, so its entry tells enough.
int64_t Scheduler::incarnationToStore(const WorkerId &id) const
{
    const auto stored = m_storedUsedWorkers.find(id);
    const bool answers = m_links->contains(id) && m_links->lease(id).isProbed();
    return stored == m_storedUsedWorkers.end() || answers ? m_links->incarnationStart(id)
                                                          : stored->second;
}

// Promises not to extend the leases of unresponsive workers, so that a later scheduler waits only
// for what is left of them. The promise is kept from now on, before it is stored. former_leases.h
// tells how long a later scheduler waits.
void Scheduler::suspendLeases(std::vector<KeyedRecord> &records)
{
    const Instant now = m_context.clock.now();
    for (const WorkerId &id : m_links->unreachableSince(now - MinSilenceToSuspendLease)) {
        if (!m_storedUsedWorkers.contains(id) || m_batchUsedWorkers.contains(id))
            continue;
        const bool renewed = m_suspendedLeases.contains(id);
        const auto storedAt = m_suspensionsStoredAt.find(id);
        if (renewed && storedAt != m_suspensionsStoredAt.end()
            && (now - storedAt->second < SuspensionStoreInterval
                || storedAt->second >= m_suspendedLeases.at(id)))
            continue;
        // A span of 0 would withdraw the promise.
        const Duration left = std::max(m_links->lease(id).expiry() - now, Duration(1));
        if (!renewed)
            m_suspendedLeases[id] = now + left;
        m_suspensionsStoredAt[id] = now;
        // Nothing is started there either, and the records before this one tell of all starts.
        records.push_back(
            usedWorkerRecord(id, left, runsAreRecorded(id) ? m_options.tenure.epoch : 0));
        if (!renewed)
            m_batchUrgent.insert(records.back().key);
    }
}

// Returns whether earlier schedulers and this one, up to the records that are being put together,
// have recorded all runs that may exist on the worker.
bool Scheduler::runsAreRecorded(const WorkerId &id) const
{
    return !m_unreconciled.contains(id) || m_recordedWorkers.contains(id);
}

// Records of workers that get no starts that their runs are recorded, so that a later scheduler
// does not take any task for running there: of those that drain or have left, and of those that
// have given this scheduler no answer yet. Needed only while starts are not recorded.
void Scheduler::closeWorkers(std::vector<KeyedRecord> &records)
{
    if (m_options.tenure.startsRecorded)
        return;
    std::set<WorkerId> closable = m_retiredWorkers;
    for (const WorkerId &id : m_unreconciled) {
        if (!m_reachable.contains(id))
            closable.insert(id);
    }
    for (const WorkerId &id : closable) {
        if (!m_storedUsedWorkers.contains(id) || m_batchUsedWorkers.contains(id)
            || m_suspendedLeases.contains(id) || !runsAreRecorded(id)
            || !m_closedWorkers.insert(id).second)
            continue;
        records.push_back(usedWorkerRecord(id, Duration::zero(), m_options.tenure.epoch));
        updateReachable(id);
    }
}

void Scheduler::onStored(const std::vector<KeyedRecord> &records)
{
    m_lastStoredAt = m_context.clock.now();
    m_tenureClock.recordStored(m_lastStoredAt);
    publish(records);
    updateStartRecording(m_lastStoredAt - m_writer.sentAt());
    std::swap(m_storedPositions, m_batchPositions);
    // Before the starts: after an outage of the log only this append permits their leases.
    m_links->onAppendStored(m_writer.storedSentAt());
    if (!m_onReleased) {
        for (const StartOrder &start : std::exchange(m_startsInBatch, {}))
            m_links->start(start);
    }
    for (const auto &[id, startedAtMs] : m_batchUsedWorkers) {
        m_storedUsedWorkers[id] = startedAtMs;
        m_suspendedLeases.erase(id);
        m_closedWorkers.erase(id);
        updateReachable(id);
        storeIncarnation(id);
    }
    if (!m_batchUsedWorkers.empty())
        schedulePass();
    m_batchUsedWorkers.clear();
    if (m_onReleased && m_releaseInBatch)
        return finishRelease();
    const bool soon = m_onReleased || !m_startsToRecord.empty();
    if (soon || m_flushPending || m_tenureDirty || m_dispatcher.hasProgress())
        scheduleFlush(soon ? StartFlushDelay : FlushDelay);
}

// A part of a job's progress that the log does not take would keep the whole flush from being
// stored. Its runs cannot be told to a later scheduler, so the job ends.
void Scheduler::onRejected(const KeyedRecord &record, const std::string &reason)
{
    const auto jobId = work_key::jobOfProgress(record.key);
    if (!jobId)
        return;
    m_dispatcher.giveUpJob(*jobId, "its progress cannot be stored: " + reason);
    schedulePass();
    scheduleFlush(Duration::zero());
}

Duration Scheduler::appendTime() const
{
    if (!m_writer.awaitsFirstAnswer())
        return m_averageAppendTime;
    const Duration inFlight = m_context.clock.now() - m_writer.sentAt();
    return inFlight > MaxSlowAppendTime ? m_averageAppendTime
                                        : std::max(m_averageAppendTime, inFlight);
}

std::string Scheduler::appendStatus() const
{
    const Instant now = m_context.clock.now();
    const Duration inFlight = m_writer.busy() ? now - m_writer.firstSentAt() : Duration::zero();
    return "append_in_flight_ms=" + std::to_string(inFlight.count()) + " unanswered_copies="
           + std::to_string(m_context.log.unansweredAppends(m_context.workTopic))
           + " last_stored_ms_ago=" + std::to_string((now - m_lastStoredAt).count());
}

// Without waiting for the answer: until it comes, all instances go on loading the log.
void Scheduler::reportSlowAppend(Instant now)
{
    const bool slow = m_writer.awaitsFirstAnswer() && now - m_writer.sentAt() >= LateAppendTime;
    if (!slow || std::exchange(m_slowAppendReported, true))
        return;
    m_recordsStored({}, 0);
}

} // namespace cardamompaddle
