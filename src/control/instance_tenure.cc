// How an instance becomes the scheduler and how it gives the tenure up.
#include "control/instance.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// Polling may be slow because an instance publishes urgent records to its peers once they are
// stored.
constexpr Duration SchedulerPollInterval{400}; // of the jobs topic
// The tenure is claimed after ClaimWait::total() plus this multiple of the duration of a read.
constexpr int ClaimReadTimeFactor = 4;
// When the scheduler has published nothing for this time, the log is read once. Otherwise a later
// read of records that it stored earlier would be mistaken for new activity.
constexpr Duration InactivityBeforeRead{200};
// After an outage of the log the current scheduler has this long to store its first record.
constexpr Duration OutageGracePeriod{1'200};
constexpr Duration ClaimAppendTimeout{1'500};
constexpr Duration ReadBackRetryDelay{100};
constexpr int64_t FirstSequenceAfterClaim = 1;
constexpr Duration ReleaseTimeout{1'500};
// An overloaded holder without a suitable successor looks for one again after this time.
constexpr Duration HandOverRetryDelay{1'000};

} // namespace

// Must be called when the members or the tenure have changed.
void Instance::updateClaimWait()
{
    m_claimWait =
        claimWait(ownMember(), m_hasHeldTenure, m_jobTable.members(), m_jobTable.tenure());
}

// Grows with the duration of a read, because a slow log delays the scheduler's records too.
Duration Instance::claimTimeout() const
{
    const bool held = m_jobTable.tenure().epoch > 0 && m_claimWait.inactivity > Duration::zero();
    return m_claimWait.total() + (held ? m_claimReadTime * ClaimReadTimeFactor : Duration::zero());
}

void Instance::checkTenure()
{
    const Instant now = m_context.scheduler.clock.now();
    if (m_scheduler) {
        const work::Tenure &stored = m_jobTable.tenure();
        if (stored.holder != m_options.name || stored.address != m_options.peerAddress)
            onTenureLost("the log names another holder");
        else if (m_scheduler->isOverloaded() && !m_releasing && now >= m_nextHandOverAt)
            handOver(now);
        return;
    }
    if (m_publishReceivedAt > m_inactivityRefreshAt
        && now - m_publishReceivedAt >= InactivityBeforeRead) {
        m_inactivityRefreshAt = now;
        m_work->refresh([](bool) {});
    }
    if (m_claiming || m_stopping || !m_catalog || !m_work->loaded()
        || now - m_schedulerActiveAt < claimTimeout() || m_work->availableSince() == Instant::max())
        return;
    const bool held = m_jobTable.tenure().epoch > 0 && !m_jobTable.tenure().released;
    const bool outage = m_work->availableSince() != Instant::min();
    if (held && outage && now - m_work->availableSince() < OutageGracePeriod)
        return;
    // The inactivity may only be apparent, as unread records may be in the log. Read them first.
    m_claiming = true;
    const Instant activityAt = m_schedulerActiveAt;
    m_work->refresh([this, alive = m_alive, activityAt, requestedAt = now](bool current) {
        if (!*alive)
            return;
        const Instant present = m_context.scheduler.clock.now();
        m_claimReadTime = present - requestedAt;
        const bool inactive = present - m_schedulerActiveAt >= claimTimeout();
        if (!current || m_schedulerActiveAt != activityAt || m_stopping || !inactive) {
            m_claiming = false;
            return;
        }
        claim(activityAt);
    });
}

void Instance::claim(Instant formerHeldAt)
{
    Claim claim;
    claim.wait = m_claimWait;
    claim.formerHeldAt = formerHeldAt;
    work::Tenure &tenure = claim.tenure;
    tenure.holder = m_options.name;
    tenure.address = m_options.peerAddress;
    tenure.epoch = m_jobTable.tenure().epoch + 1;
    tenure.heldMs = m_jobTable.tenure().heldMs;
    tenure.handedOverAtHeldMs = m_jobTable.tenure().handedOverAtHeldMs;
    // Kept from the former scheduler: it describes the runs that this one has yet to reconcile.
    tenure.startsRecorded = m_jobTable.tenure().epoch == 0 || m_jobTable.tenure().startsRecorded;
    // An earlier claim of the same epoch that got no answer may have been stored since it was sent.
    if (std::exchange(m_claimedEpoch, tenure.epoch) != tenure.epoch)
        m_claimSentAt = now();
    claim.sentAt = m_claimSentAt;
    AppendRequest request;
    request.topic = m_context.scheduler.workTopic;
    request.records.push_back({work_key::Tenure, encodeRecord(tenure), false, 0});
    // Of several claimants that have read up to the same end, only one can append there.
    request.expectedEnd = m_work->nextOffset();
    request.writer = {SchedulerWriter, tenure.epoch, 0};
    m_context.scheduler.log.append(std::move(request), ClaimAppendTimeout,
                                   [this, alive = m_alive, claim](const AppendResult &answer) {
                                       if (*alive)
                                           onClaimed(claim, answer);
                                   });
}

void Instance::onClaimed(const Claim &claim, const AppendResult &answer)
{
    logInfo("tenure_claim", "epoch=" + std::to_string(claim.tenure.epoch)
                                + " outcome=" + std::string(appendOutcomeName(answer.outcome))
                                + " cpu_milli=" + std::to_string(m_options.cpuMilli) + " "
                                + claim.wait.toString() + " reason=\"" + answer.reason + "\"");
    if (answer.outcome == AppendOutcome::Stored)
        return readClaimBack(claim);
    m_claiming = false;
}

// Reads the tenure back after a claim, and starts scheduling if this instance holds it.
//
// The answer to the append is no proof: the log answers a second claimant with the same epoch and
// sequence as if its append were the first one's repetition. The jobs topic is refreshed too,
// because a run of a job that is not in the job table would be stopped or acknowledged as unknown.
void Instance::readClaimBack(const Claim &claim)
{
    m_work->refresh([this, alive = m_alive, claim](bool workCurrent) {
        if (!*alive)
            return;
        if (!workCurrent)
            return retryReadBack(claim);
        const work::Tenure &tenure = claim.tenure;
        const work::Tenure &stored = m_jobTable.tenure();
        const bool won = stored == tenure;
        logInfo("tenure_decided",
                "epoch=" + std::to_string(tenure.epoch) + " won=" + (won ? "true" : "false")
                    + " holder=" + stored.holder + " stored_epoch=" + std::to_string(stored.epoch));
        if (!won) {
            m_claiming = false;
            return;
        }
        m_jobs->refresh([this, alive, claim](bool jobsCurrent) {
            if (!*alive)
                return;
            if (!jobsCurrent)
                return retryReadBack(claim);
            m_claiming = false;
            if (m_jobTable.tenure() == claim.tenure && !m_stopping)
                beginScheduling(claim);
        });
    });
}

void Instance::retryReadBack(const Claim &claim)
{
    if (m_stopping)
        return;
    m_claimTimer.expireAfter(ReadBackRetryDelay);
    m_claimTimer.asyncWait([this, alive = m_alive, claim](const boost::system::error_code &ec) {
        if (!ec && *alive)
            readClaimBack(claim);
    });
}

void Instance::beginScheduling(const Claim &claim)
{
    SchedulerOptions options;
    options.tenure = claim.tenure;
    options.claimSentAt = claim.sentAt;
    options.formerTenureHeldAt = claim.formerHeldAt;
    options.maxLease = m_options.maxLease;
    options.offRackFactor = m_options.offRackFactor;
    options.terminalRetention = m_options.terminalRetention;
    boundFormerLeases(now(), claim.tenure.heldMs);
    options.formerLeases = m_formerLeases;
    options.policies = m_options.policies;
    m_jobs->setPollInterval(SchedulerPollInterval);
    m_hasHeldTenure = true;
    updateClaimWait();
    m_scheduler = std::make_unique<Scheduler>(
        m_context.scheduler, options, FirstSequenceAfterClaim,
        [this](std::function<void(bool)> done) { m_jobs->refresh(std::move(done)); },
        [this](const std::string &reason) { onTenureLost(reason); },
        [this, epoch = claim.tenure.epoch](const std::vector<KeyedRecord> &records, int64_t end) {
            onProgressStored(epoch, records, end);
        });
    m_scheduler->setCatalog(m_catalog);
    applyZones();
    m_scheduler->start();
}

void Instance::onTenureLost(const std::string &reason)
{
    logWarn("tenure_lost", "epoch=" + std::to_string(m_jobTable.tenure().epoch) + " "
                               + (m_scheduler ? m_scheduler->appendStatus() + " " : "")
                               + "reason=\"" + reason + "\"");
    onReleased();
}

// Releases the tenure to a better instance, if there is one, because this process is too slow to
// schedule.
void Instance::handOver(Instant now)
{
    m_nextHandOverAt = now + HandOverRetryDelay;
    const int64_t lastMs = m_jobTable.tenure().handedOverAtHeldMs;
    const Duration sinceHandOver =
        lastMs == 0 ? Duration::max() : Duration(m_scheduler->heldMs() - lastMs);
    auto candidates =
        handOverCandidates(ownMember(), m_jobTable.members(), sinceHandOver, ++m_handOverAttempts);
    if (candidates.empty())
        return;
    m_releasing = true;
    m_successorProbe.findAlive(
        std::move(candidates),
        [this](const std::optional<work::Member> &successor) { onHandOverProbed(successor); });
}

void Instance::onHandOverProbed(const std::optional<work::Member> &successor)
{
    if (!m_scheduler)
        return;
    if (m_stopping)
        return releaseAndStop();
    if (!successor) {
        logInfo("successor_not_found", "epoch=" + std::to_string(m_jobTable.tenure().epoch));
        m_releasing = false;
        return;
    }
    m_scheduler->handOver(*successor, ReleaseTimeout, [this, alive = m_alive] {
        if (*alive)
            onReleased();
    });
}

// Ends the tenure of this instance, which is released or lost.
void Instance::onReleased()
{
    m_scheduler.reset();
    m_releasing = false;
    m_jobs->setPollInterval(FollowerPollInterval);
    m_schedulerActiveAt = m_context.scheduler.clock.now();
    if (m_onStopped)
        std::exchange(m_onStopped, nullptr)();
}

void Instance::stop(std::function<void()> done)
{
    m_stopping = true;
    if (!m_scheduler)
        return done();
    m_onStopped = std::move(done);
    // A hand-over in progress ends the tenure too.
    if (!std::exchange(m_releasing, true))
        releaseAndStop();
}

void Instance::releaseAndStop()
{
    auto candidates = stopCandidates(ownMember(), m_jobTable.members(),
                                     static_cast<uint64_t>(m_jobTable.tenure().epoch));
    m_successorProbe.findAlive(std::move(candidates),
                               [this](const std::optional<work::Member> &successor) {
                                   if (!m_scheduler)
                                       return;
                                   m_scheduler->release(successor ? successor->name : "",
                                                        ReleaseTimeout, [this, alive = m_alive] {
                                                            if (*alive)
                                                                onReleased();
                                                        });
                               });
}

} // namespace cardamompaddle
