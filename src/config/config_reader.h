// Keeps a ConfigState up to date from pages of the log, from records that peers relay, or from
// peers' snapshots, and tells whether the state is complete enough to be used.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "config/config_state.h"
#include "platform/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

// Offset and outcome of a consumed record.
struct AppliedRecord
{
    uint64_t offset = 0;
    ApplyOutcome outcome;
};

// Tracks how far the configuration log has been read. Not thread-safe: control thread only.
class ConfigReader
{
public:
    enum class Status {
        Reading, // has not yet reached the end of the log
        Synced, // has reached the end of the log, or has taken over the state of a peer
        // Reached the end of the log, but records that were not read have expired and no retained
        // snapshot covers them. Reading continues when such a snapshot is appended.
        NoSnapshot,
    };
    // Number of records after which a new snapshot is due.
    static constexpr uint64_t SnapshotEveryRecords = 500;

    Status status() const { return m_status; }
    bool synced() const { return m_status == Status::Synced; }
    // Why the state is not synchronised; empty if it is.
    const std::string &reason() const { return m_reason; }
    const ConfigState &state() const { return m_state; }
    // Offset at which the next page must be read.
    uint64_t nextOffset() const { return m_scanOffset ? *m_scanOffset : m_state.next(); }

    // Consumes a page of the log and returns the records that it applied. Pages may come in any
    // order; records that do not follow the state are skipped.
    std::vector<AppliedRecord> applyPage(const LogPage &page, Instant now);
    // Consumes records that a synchronised peer has applied and returns those that were applied
    // here. Records that do not follow the state are ignored. Never sets the status to Synced.
    std::vector<AppliedRecord> applyRelayed(const std::vector<LogRecord> &records, Instant now);
    // Synchronises from peers while the log is unavailable: takes over the newest of the snapshots
    // that synchronised seats sent. Errors: Unavailable if the seats in `snapshots` other than
    // `self` are not a majority of the `seats` seats, InvalidArgument if a snapshot is malformed.
    Result<void> adoptSnapshots(const std::map<SeatId, std::string> &snapshots, SeatId self,
                                int seats);

    // Up to `max` applied records from `offset` on, to relay to a peer. Empty if the record at
    // `offset` is no longer kept or not yet applied.
    std::vector<LogRecord> recordsFrom(uint64_t offset, size_t max) const;
    // True if the reader is synchronised and the newest snapshot is more than SnapshotEveryRecords
    // records behind, older than half of `retention`, missing, or of unknown age because it was
    // read before this reader was synchronised.
    bool snapshotDue(Instant now, Duration retention) const;

private:
    void scanForSnapshot(const LogPage &page);
    void replaceState(ConfigState state);
    // Applies the records in order up to the first that does not follow the state.
    std::vector<AppliedRecord> applyAll(const std::vector<LogRecord> &records, Instant now);
    // Keeps the record for recordsFrom(), and notes the newest snapshot for snapshotDue().
    void recordApplied(const LogRecord &record, const ApplyOutcome &outcome, Instant now);
    // Sets the status and the reason after a page was consumed.
    void updateStatus(const LogPage &page);

    ConfigState m_state;
    Status m_status = Status::Reading;
    std::string m_reason = "the configuration log has not been read yet";
    uint64_t m_oldestRetained = 0; // offset of the oldest record in the log, as last read
    // Next offset to check for a usable snapshot. Set only while records that the state lacks have
    // expired from the log.
    std::optional<uint64_t> m_scanOffset;
    std::deque<LogRecord> m_recent; // the last applied records, contiguous up to m_state.next()
    size_t m_recentBytes = 0;
    std::optional<uint64_t> m_snapshotOffset; // offset of the newest accepted snapshot record
    std::optional<Instant> m_snapshotSeenAt; // empty if its age is unknown
};

} // namespace cardamompaddle
