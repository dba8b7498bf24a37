// The configuration: tables, callers' keys and availability zones that are out. It is computed only
// from the records of log stream "config", applied in offset order.
#pragma once

#include "base/result.h"
#include "config/config_change.h"
#include "config/record_id.h"
#include "config/tables.h"
#include "platform/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cardamompaddle {

enum class ApplyKind {
    Accepted, // took effect; for a snapshot: matches the state that this instance computed
    Conflict, // the base version is out of date, or the record is too far out of order; no effect
    Duplicate, // a copy of a record that was applied before; no effect
    Invalid, // malformed or rejected by validation; no effect
    Gap, // above the next expected offset; not consumed
};
// The lower-case name in answers and logs, for example "accepted". Duplicate is "repeat" and
// Conflict is "loser".
std::string_view applyKindName(ApplyKind kind);

struct ApplyOutcome
{
    ApplyKind kind = ApplyKind::Invalid;
    std::string reason; // empty when accepted
    uint64_t version = 0; // configuration version after the record
    std::optional<RecordId> id; // empty if the record could not be parsed
};

// A caller's key as stored. It verifies a presented key; the secret cannot be recovered from it.
struct KeyEntry
{
    std::string team;
    std::string salt; // hexadecimal
    std::string hash; // hexadecimal SHA-256 of salt and secret
    uint64_t withdrawnAtVersion = 0; // version of the withdrawal; 0 while the key is valid
    bool withdrawn() const { return withdrawnAtVersion != 0; }
    friend bool operator==(const KeyEntry &, const KeyEntry &) = default;
};

// Applies records in log order. Equal logs give equal states on every entry instance, whichever
// retained record or snapshot it started from. A value type; not thread-safe.
class ConfigState
{
public:
    static constexpr size_t MaxKeys = 5'000; // keys that are not withdrawn
    // Withdrawn keys that are kept. Beyond this number, the oldest withdrawals are dropped.
    static constexpr size_t MaxWithdrawnKeys = 1'000;
    static constexpr size_t MaxZonesOut = 256;

    ConfigState();

    // Applies the record at offset next(). A record below next() is a Duplicate, one above a Gap.
    // Violates invariant I11 if a snapshot record differs from the state that this object had after
    // the records which the snapshot covers.
    ApplyOutcome apply(const LogRecord &record);

    const Tables &tables() const { return m_tables; }
    // Number of accepted changes.
    uint64_t version() const { return m_version; }
    // Offset of the next record to apply.
    uint64_t next() const { return m_next; }
    const std::set<std::string> &zonesOut() const { return m_zonesOut; }
    bool isZoneOut(const std::string &zone) const { return m_zonesOut.contains(zone); }
    const std::map<std::string, KeyEntry> &keys() const { return m_keys; }

    // Hash of the state; equal for equal states.
    uint64_t digest() const;
    // JSON text of the state after every record below next(). Precondition: next() > 0.
    std::string snapshot() const;
    // Restores a state from the text of snapshot(). Errors: InvalidArgument if the text is
    // malformed, of another format version, or does not match the digest that it holds.
    static Result<ConfigState> fromSnapshot(std::string_view text);
    // Outcome of a record among the last 4096 that this object applied, so that a writer can learn
    // the outcome of its own record. Not part of snapshots.
    std::optional<ApplyOutcome> outcomeOf(const RecordId &id) const;

private:
    friend class SnapshotCodec;

    ApplyOutcome applyChange(const ConfigRecord &record);
    ApplyOutcome applyTables(const TablesChange &change);
    ApplyOutcome applyKeyCreate(const KeyCreate &change);
    ApplyOutcome applyKeyWithdraw(const KeyWithdraw &change);
    ApplyOutcome applyZone(const ZoneChange &change);
    ApplyOutcome applySnapshot(const SnapshotChange &change);
    // Raises the version and returns an Accepted outcome.
    ApplyOutcome accepted();
    void setTables(Tables tables);
    // Drops the oldest withdrawn key if there are more than MaxWithdrawnKeys.
    void evictOldestWithdrawnKey();
    // Keeps the outcome for outcomeOf(). The first outcome of an identity stays.
    void recordOutcome(const ApplyOutcome &outcome);

    Tables m_tables;
    uint64_t m_tablesDigest = 0;
    uint64_t m_version = 0;
    uint64_t m_next = 0;
    std::set<std::string> m_zonesOut;
    std::map<std::string, KeyEntry> m_keys;
    SeenRecords m_seenRecords;

    // Recent history. Not part of snapshots or digests.
    std::deque<std::pair<uint64_t, uint64_t>> m_recentDigests; // pairs of next() and digest()
    std::map<RecordId, ApplyOutcome> m_recentOutcomes;
    std::deque<RecordId> m_outcomeOrder; // keys of m_recentOutcomes, oldest first
};

} // namespace cardamompaddle
