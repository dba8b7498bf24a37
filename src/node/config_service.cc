#include "node/config_service.h"

#include "config/config_change.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

// After this many failed reads a new member copies the configuration from its peers.
constexpr int ReadFailuresBeforeAdopting = 2;
// Records relayed with one heartbeat answer.
constexpr size_t MaxRelayedRecords = 200;

} // namespace

Result<std::unique_ptr<ConfigService>> ConfigService::create(LogClient &log,
                                                             ConfigServiceOptions options)
{
    auto service = std::unique_ptr<ConfigService>(new ConfigService(log, options));
    LogWriterOptions writerOptions;
    writerOptions.stream = std::string(ConfigStream);
    auto writer = LogWriter::create(log, writerOptions, service->m_options.incarnation);
    if (!writer)
        return writer.error();
    service->m_writer = std::move(*writer);
    return service;
}

ConfigService::ConfigService(LogClient &log, ConfigServiceOptions options) : m_options(options)
{
    StreamFollowerOptions followerOptions;
    followerOptions.stream = std::string(ConfigStream);
    m_follower = std::make_unique<StreamFollower>(
        log, followerOptions, [this](const LogPage &page, Instant now) { handlePage(page, now); });
}

void ConfigService::handlePage(const LogPage &page, Instant now)
{
    recordsApplied(m_reader.applyPage(page, now), now);
    m_writer->appliedTo(m_reader.nextOffset(), now);
    resolveConfirmations(now);
}

void ConfigService::recordsApplied(const std::vector<AppliedRecord> &records, Instant now)
{
    for (const AppliedRecord &record : records) {
        if (record.outcome.id)
            m_writer->observed(*record.outcome.id, record.offset, now);
    }
}

void ConfigService::advance(bool publishesSnapshots, Instant now)
{
    const bool eager = m_writer->needsRead();
    m_follower->advance(m_reader.nextOffset(), eager, now);
    m_writer->advance(now);
    resolveConfirmations(now);
    if (publishesSnapshots)
        publishSnapshotIfDue(now);
}

void ConfigService::publishSnapshotIfDue(Instant now)
{
    if (m_snapshotPending || !synced() || !logUp() || state().next() == 0
        || !m_reader.snapshotDue(now, m_options.retention))
        return;
    m_snapshotPending = true;
    const RecordId id = m_writer->nextId();
    const auto queued =
        m_writer->write(id, snapshotRecord(id, state()), now, now + m_options.writeTimeout,
                        [this](const WriteOutcome &, Instant) { m_snapshotPending = false; });
    if (!queued)
        m_snapshotPending = false;
}

void ConfigService::change(const RecordBuilder &builder, Instant now, const ChangeDone &done)
{
    const RecordId id = m_writer->nextId();
    const auto queued = m_writer->write(id, builder(id), now, now + m_options.writeTimeout,
                                        [this, id, done](const WriteOutcome &outcome, Instant at) {
                                            writeFinished(id, outcome, done, at);
                                        });
    if (!queued)
        done(queued.error(), Executed::No, now);
}

void ConfigService::writeFinished(const RecordId &id, const WriteOutcome &outcome,
                                  const ChangeDone &done, Instant now)
{
    if (outcome.result == WriteResult::NotAppended) {
        done(Error{ErrorCode::Unavailable, "the log refused the change: " + outcome.reason},
             Executed::No, now);
        return;
    }
    const auto applied = state().outcomeOf(id);
    if (outcome.result == WriteResult::Unknown || !applied) {
        done(Error{ErrorCode::OutcomeUnknown,
                   "the change may or may not be in the log: " + outcome.reason},
             Executed::Unknown, now);
        return;
    }
    if (applied->kind == ApplyKind::Conflict) {
        done(Error{ErrorCode::Conflict, applied->reason}, Executed::No, now);
        return;
    }
    if (applied->kind != ApplyKind::Accepted) {
        done(Error{ErrorCode::InvalidArgument, applied->reason}, Executed::No, now);
        return;
    }
    m_confirmations.push_back(
        {outcome.offset, applied->version, now + m_options.confirmTimeout, done});
    resolveConfirmations(now);
}

int ConfigService::appliedSeatCount(uint64_t offset) const
{
    const auto others = std::count_if(m_peerNextOffset.begin(), m_peerNextOffset.end(),
                                      [offset](const auto &it) { return it.second > offset; });
    return static_cast<int>(others) + (state().next() > offset ? 1 : 0);
}

void ConfigService::resolveConfirmations(Instant now)
{
    std::vector<Confirmation> waiting;
    std::vector<std::pair<Confirmation, bool>> resolved;
    for (Confirmation &it : m_confirmations) {
        const bool inForce = appliedSeatCount(it.offset) * 2 > m_options.seatCount;
        if (inForce || now >= it.deadline)
            resolved.emplace_back(std::move(it), inForce);
        else
            waiting.push_back(std::move(it));
    }
    m_confirmations = std::move(waiting);
    for (const auto &[it, inForce] : resolved)
        it.done(ConfigChangeOutcome{it.version, inForce}, Executed::Unknown, now);
}

void ConfigService::fillAnswer(const HeartbeatMessage &request, HeartbeatMessage &answer) const
{
    if (!synced())
        return;
    answer.configRecords = m_reader.recordsFrom(request.configNext, MaxRelayedRecords);
    if (!request.heartbeat.synced && state().next() > 0)
        answer.configSnapshot = state().snapshot();
}

void ConfigService::peerMessageReceived(SeatId from, const HeartbeatMessage &message, bool answer,
                                        Instant now)
{
    // The value may decrease, because a restarted process starts at a lower offset.
    if (message.heartbeat.synced)
        m_peerNextOffset[from] = message.configNext;
    else
        m_peerNextOffset.erase(from);
    if (!answer)
        return;
    if (synced()) {
        m_peerSnapshots.clear();
        recordsApplied(m_reader.applyRelayed(message.configRecords, now), now);
        resolveConfirmations(now);
        return;
    }
    if (!message.configSnapshot.empty())
        m_peerSnapshots[from] = message.configSnapshot;
    if (m_follower->failures() >= ReadFailuresBeforeAdopting) {
        const auto adopted =
            m_reader.adoptSnapshots(m_peerSnapshots, m_options.self, m_options.seatCount);
        if (adopted)
            m_peerSnapshots.clear();
    }
}

} // namespace cardamompaddle
