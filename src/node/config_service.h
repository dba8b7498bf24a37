// Keeps this member's copy of the configuration up to date and writes the operators' changes.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "config/config_reader.h"
#include "config/config_state.h"
#include "logwriter/log_writer.h"
#include "node/stream_follower.h"
#include "peer/peer_message.h"
#include "platform/log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle {

// The outcome of a change that was accepted.
struct ConfigChangeOutcome
{
    uint64_t version = 0; // of the configuration after the change
    bool inForce = false; // a majority of seats has confirmed that it applied the change
};

struct ConfigServiceOptions
{
    SeatId self = -1;
    int32_t seatCount = 1;
    uint64_t incarnation = 0;
    Duration retention{3'600'000}; // shortest time for which the log keeps a record
    Duration writeTimeout{4'000}; // for appending and reading back a change
    Duration confirmTimeout{3'000}; // for a majority of seats to apply it
};

// Not thread-safe: control thread only.
class ConfigService
{
public:
    // Builds the text of a record with the given identity.
    using RecordBuilder = std::function<std::string(const RecordId &id)>;
    // `executed` is meaningful for errors only: No if the change certainly has no effect.
    using ChangeDone =
        std::function<void(Result<ConfigChangeOutcome> outcome, Executed executed, Instant now)>;

    // Errors: InvalidArgument. `log` must outlive the service.
    static Result<std::unique_ptr<ConfigService>> create(LogClient &log,
                                                         ConfigServiceOptions options);

    const ConfigState &state() const { return m_reader.state(); }
    bool synced() const { return m_reader.synced(); }
    // The reason why the configuration may not be used; empty when synced.
    const std::string &reason() const { return m_reader.reason(); }
    bool logUp() const { return m_follower->up(); }
    const LogWriter::Counters &writerCounters() const { return m_writer->counters(); }
    // Sets the incarnation that later records carry.
    void setIncarnation(uint64_t incarnation) { m_writer->setIncarnation(incarnation); }

    // Reads the log, retries writes and ends overdue waits for confirmation. `publishesSnapshots`:
    // this member is responsible for writing the stream's snapshots.
    void advance(bool publishesSnapshots, Instant now);
    // Appends a change and waits until a majority of seats has applied it.
    void change(const RecordBuilder &builder, Instant now, const ChangeDone &done);

    // Adds to `answer` the records, or the snapshot, that the sender of `request` lacks.
    void fillAnswer(const HeartbeatMessage &request, HeartbeatMessage &answer) const;
    // Applies a peer's heartbeat message. `answer`: it is the answer to a heartbeat of this member.
    void peerMessageReceived(SeatId from, const HeartbeatMessage &message, bool answer,
                             Instant now);

private:
    // A change that waits for a majority of seats to apply it.
    struct Confirmation
    {
        uint64_t offset = 0;
        uint64_t version = 0;
        Instant deadline;
        ChangeDone done;
    };

    ConfigService(LogClient &log, ConfigServiceOptions options);
    void handlePage(const LogPage &page, Instant now);
    void recordsApplied(const std::vector<AppliedRecord> &records, Instant now);
    void writeFinished(const RecordId &id, const WriteOutcome &outcome, const ChangeDone &done,
                       Instant now);
    int appliedSeatCount(uint64_t offset) const;
    void resolveConfirmations(Instant now);
    void publishSnapshotIfDue(Instant now);

    ConfigServiceOptions m_options;
    ConfigReader m_reader;
    std::unique_ptr<StreamFollower> m_follower;
    std::unique_ptr<LogWriter> m_writer;
    // Each peer has applied every record below its offset.
    std::map<SeatId, uint64_t> m_peerNextOffset;
    std::map<SeatId, std::string> m_peerSnapshots; // received while unsynced
    std::vector<Confirmation> m_confirmations;
    bool m_snapshotPending = false;
};

} // namespace cardamompaddle
