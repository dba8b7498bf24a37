#include "config/config_state.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

// Number of recent digests and outcomes that are kept. Snapshots are written at least every 500
// records, so the digest that a snapshot is checked against is still kept; outcomes are queried
// within seconds.
constexpr size_t MaxRecentRecords = 4'096;

ApplyOutcome notApplied(ApplyKind kind, std::string reason)
{
    return {kind, std::move(reason), 0, std::nullopt};
}

uint64_t combine(uint64_t seed, std::string_view text)
{
    return stableHash(text, seed);
}

uint64_t combine(uint64_t seed, uint64_t number)
{
    return stableHash(std::to_string(number), seed);
}

} // namespace

std::string_view applyKindName(ApplyKind kind)
{
    switch (kind) {
    case ApplyKind::Accepted:
        return "accepted";
    case ApplyKind::Conflict:
        return "loser";
    case ApplyKind::Duplicate:
        return "repeat";
    case ApplyKind::Invalid:
        return "invalid";
    case ApplyKind::Gap:
        return "gap";
    }
    return "unknown";
}

ConfigState::ConfigState()
{
    setTables({});
}

ApplyOutcome ConfigState::apply(const LogRecord &record)
{
    const auto parsed = parseConfigRecord(record.data);
    ApplyOutcome outcome;
    if (record.offset > m_next) {
        outcome = notApplied(ApplyKind::Gap, "expected offset " + std::to_string(m_next));
    } else if (record.offset < m_next) {
        outcome = notApplied(ApplyKind::Duplicate, "offset was applied before");
    } else {
        const uint64_t before = m_version;
        ++m_next;
        if (parsed.ok()) {
            outcome = applyChange(*parsed);
            outcome.id = parsed->id;
        } else {
            outcome = notApplied(ApplyKind::Invalid, parsed.error().reason);
        }
        invariant(m_version >= before, "I11 an accepted configuration never reverts",
                  "offset " + std::to_string(record.offset));
        m_recentDigests.emplace_back(m_next, digest());
        if (m_recentDigests.size() > MaxRecentRecords)
            m_recentDigests.pop_front();
    }
    outcome.version = m_version;
    if (parsed.ok())
        outcome.id = parsed->id;
    if (outcome.kind != ApplyKind::Gap)
        recordOutcome(outcome);
    return outcome;
}

ApplyOutcome ConfigState::applyChange(const ConfigRecord &record)
{
    switch (m_seenRecords.mark(record.id, m_next - 1)) {
    case SeenRecords::MarkResult::Duplicate:
        return notApplied(ApplyKind::Duplicate, "a copy of this record was applied before");
    case SeenRecords::MarkResult::TooOld:
        return notApplied(outcomeOf(record.id) ? ApplyKind::Duplicate : ApplyKind::Conflict,
                          "the record is too far behind the newest record of its writer");
    case SeenRecords::MarkResult::New:
        break;
    }
    struct Visitor
    {
        ConfigState &state;
        ApplyOutcome operator()(const TablesChange &it) const { return state.applyTables(it); }
        ApplyOutcome operator()(const KeyCreate &it) const { return state.applyKeyCreate(it); }
        ApplyOutcome operator()(const KeyWithdraw &it) const { return state.applyKeyWithdraw(it); }
        ApplyOutcome operator()(const ZoneChange &it) const { return state.applyZone(it); }
        ApplyOutcome operator()(const SnapshotChange &it) const { return state.applySnapshot(it); }
    };
    return std::visit(Visitor{*this}, record.change);
}

ApplyOutcome ConfigState::applyTables(const TablesChange &change)
{
    if (change.baseVersion != m_version) {
        return notApplied(ApplyKind::Conflict,
                          "based on version " + std::to_string(change.baseVersion)
                              + ", but the version is " + std::to_string(m_version));
    }
    auto tables = parseTables(change.tables);
    if (!tables.ok())
        return notApplied(ApplyKind::Invalid, tables.error().reason);
    setTables(*std::move(tables));
    return accepted();
}

ApplyOutcome ConfigState::applyKeyCreate(const KeyCreate &change)
{
    if (m_keys.contains(change.id))
        return notApplied(ApplyKind::Invalid, "key " + change.id + " already exists");
    if (change.team == OpenTeam)
        return notApplied(ApplyKind::Invalid, "team \"open\" needs no key");
    if (!m_tables.teams.contains(change.team))
        return notApplied(ApplyKind::Invalid, "no team is named \"" + change.team + "\"");
    const auto valid = std::count_if(m_keys.begin(), m_keys.end(),
                                     [](const auto &it) { return !it.second.withdrawn(); });
    if (static_cast<size_t>(valid) >= MaxKeys)
        return notApplied(ApplyKind::Invalid,
                          "there are already " + std::to_string(MaxKeys) + " valid keys");
    m_keys[change.id] = KeyEntry{change.team, change.salt, change.hash, 0};
    return accepted();
}

ApplyOutcome ConfigState::applyKeyWithdraw(const KeyWithdraw &change)
{
    const auto it = m_keys.find(change.id);
    if (it == m_keys.end())
        return notApplied(ApplyKind::Invalid, "no key has the id " + change.id);
    ApplyOutcome outcome = accepted();
    if (!it->second.withdrawn())
        it->second.withdrawnAtVersion = m_version;
    evictOldestWithdrawnKey();
    return outcome;
}

ApplyOutcome ConfigState::applyZone(const ZoneChange &change)
{
    if (!change.out)
        m_zonesOut.erase(change.zone);
    else if (m_zonesOut.size() >= MaxZonesOut && !m_zonesOut.contains(change.zone))
        return notApplied(ApplyKind::Invalid, "at most " + std::to_string(MaxZonesOut)
                                                  + " availability zones may be out");
    else
        m_zonesOut.insert(change.zone);
    return accepted();
}

ApplyOutcome ConfigState::applySnapshot(const SnapshotChange &change)
{
    const auto snapshot = fromSnapshot(change.snapshot);
    if (!snapshot.ok())
        return notApplied(ApplyKind::Invalid, snapshot.error().reason);
    if (snapshot->next() >= m_next)
        return notApplied(ApplyKind::Invalid, "the snapshot covers records from its own offset on");
    const auto computed =
        std::find_if(m_recentDigests.begin(), m_recentDigests.end(),
                     [&](const auto &it) { return it.first == snapshot->next(); });
    if (computed != m_recentDigests.end()) {
        invariant(computed->second == snapshot->digest(),
                  "I11 a snapshot agrees with the history that it covers",
                  "computed digest " + std::to_string(computed->second) + ", snapshot "
                      + change.snapshot);
    }
    return {ApplyKind::Accepted, "", m_version, std::nullopt};
}

ApplyOutcome ConfigState::accepted()
{
    ++m_version;
    return {ApplyKind::Accepted, "", m_version, std::nullopt};
}

void ConfigState::setTables(Tables tables)
{
    m_tables = std::move(tables);
    m_tablesDigest = stableHash(formatTables(m_tables));
}

void ConfigState::evictOldestWithdrawnKey()
{
    size_t withdrawn = 0;
    auto oldest = m_keys.end();
    for (auto it = m_keys.begin(); it != m_keys.end(); ++it) {
        if (!it->second.withdrawn())
            continue;
        ++withdrawn;
        if (oldest == m_keys.end()
            || it->second.withdrawnAtVersion < oldest->second.withdrawnAtVersion)
            oldest = it;
    }
    if (withdrawn > MaxWithdrawnKeys)
        m_keys.erase(oldest);
}

uint64_t ConfigState::digest() const
{
    uint64_t sum = combine(m_tablesDigest, m_version);
    sum = combine(sum, m_next);
    for (const std::string &it : m_zonesOut)
        sum = combine(sum, it);
    for (const auto &[id, key] : m_keys) {
        sum = combine(sum, id + " " + key.team + " " + key.salt + " " + key.hash);
        sum = combine(sum, key.withdrawnAtVersion);
    }
    for (const auto &[writer, seen] : m_seenRecords.writers()) {
        sum = combine(combine(sum, writer), seen.newest);
        sum = combine(combine(sum, seen.mask), seen.lastOffset);
    }
    return sum;
}

std::optional<ApplyOutcome> ConfigState::outcomeOf(const RecordId &id) const
{
    const auto it = m_recentOutcomes.find(id);
    return it == m_recentOutcomes.end() ? std::nullopt : std::optional(it->second);
}

void ConfigState::recordOutcome(const ApplyOutcome &outcome)
{
    if (!outcome.id || !m_recentOutcomes.emplace(*outcome.id, outcome).second)
        return;
    m_outcomeOrder.push_back(*outcome.id);
    if (m_outcomeOrder.size() > MaxRecentRecords) {
        m_recentOutcomes.erase(m_outcomeOrder.front());
        m_outcomeOrder.pop_front();
    }
}

} // namespace cardamompaddle
