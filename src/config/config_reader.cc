#include "config/config_reader.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

// Limits of the applied records kept to relay to peers. A peer that is further behind reads the
// log.
constexpr size_t MaxRecentRecords = 1'024;
constexpr size_t MaxRecentBytes = 8 << 20;

// Returns the state in a snapshot record if a reader can start from it when the log retains the
// records from `first` on, otherwise nothing.
std::optional<ConfigState> usableSnapshot(const LogRecord &record, uint64_t first)
{
    const auto parsed = parseConfigRecord(record.data);
    if (!parsed.ok())
        return std::nullopt;
    const auto *change = std::get_if<SnapshotChange>(&parsed->change);
    if (change == nullptr)
        return std::nullopt;
    auto state = ConfigState::fromSnapshot(change->snapshot);
    if (!state.ok() || state->next() < first || state->next() > record.offset)
        return std::nullopt;
    return *std::move(state);
}

bool isSnapshot(const LogRecord &record)
{
    const auto parsed = parseConfigRecord(record.data);
    return parsed.ok() && std::holds_alternative<SnapshotChange>(parsed->change);
}

} // namespace

std::vector<AppliedRecord> ConfigReader::applyPage(const LogPage &page, Instant now)
{
    m_oldestRetained = std::max(m_oldestRetained, page.first);
    if (!m_scanOffset && m_oldestRetained > m_state.next())
        m_scanOffset = m_oldestRetained;
    if (m_scanOffset)
        scanForSnapshot(page);
    std::vector<AppliedRecord> applied;
    if (!m_scanOffset)
        applied = applyAll(page.records, now);
    updateStatus(page);
    return applied;
}

// Looks in the page for a snapshot from which the retained records lead to the current state, and
// takes over its state.
void ConfigReader::scanForSnapshot(const LogPage &page)
{
    m_scanOffset = std::max(*m_scanOffset, m_oldestRetained);
    for (const LogRecord &record : page.records) {
        if (record.offset != *m_scanOffset)
            continue;
        auto state = usableSnapshot(record, m_oldestRetained);
        if (state) {
            replaceState(*std::move(state));
            m_scanOffset.reset();
            return;
        }
        ++*m_scanOffset;
    }
}

void ConfigReader::replaceState(ConfigState state)
{
    invariant(state.version() >= m_state.version(), "I11 an accepted configuration never reverts",
              "current version " + std::to_string(m_state.version()) + ", snapshot "
                  + std::to_string(state.version()));
    m_state = std::move(state);
    m_recent.clear();
    m_recentBytes = 0;
    m_snapshotOffset.reset();
    m_snapshotSeenAt.reset();
}

std::vector<AppliedRecord> ConfigReader::applyAll(const std::vector<LogRecord> &records,
                                                  Instant now)
{
    std::vector<AppliedRecord> applied;
    for (const LogRecord &record : records) {
        if (record.offset < m_state.next())
            continue;
        ApplyOutcome outcome = m_state.apply(record);
        if (outcome.kind == ApplyKind::Gap)
            break;
        recordApplied(record, outcome, now);
        applied.push_back({record.offset, std::move(outcome)});
    }
    return applied;
}

void ConfigReader::recordApplied(const LogRecord &record, const ApplyOutcome &outcome, Instant now)
{
    m_recent.push_back(record);
    m_recentBytes += record.data.size();
    while (m_recent.size() > MaxRecentRecords || m_recentBytes > MaxRecentBytes) {
        m_recentBytes -= m_recent.front().data.size();
        m_recent.pop_front();
    }
    if (outcome.kind == ApplyKind::Accepted && isSnapshot(record)) {
        m_snapshotOffset = record.offset;
        m_snapshotSeenAt = synced() ? std::optional(now) : std::nullopt;
    }
}

void ConfigReader::updateStatus(const LogPage &page)
{
    if (!m_scanOffset && m_state.next() >= page.next) {
        m_status = Status::Synced;
        m_reason.clear();
    } else if (m_scanOffset && *m_scanOffset >= page.next) {
        m_status = Status::NoSnapshot;
        m_reason = "the configuration log holds no snapshot that covers the records before offset "
                   + std::to_string(m_oldestRetained) + ", which have expired";
    } else if (m_scanOffset) {
        m_status = Status::Reading;
        m_reason = "looking for a snapshot in the configuration log";
    } else if (!synced()) {
        m_reason = "reading the configuration log, at offset " + std::to_string(m_state.next())
                   + " of " + std::to_string(page.next);
    }
}

std::vector<AppliedRecord> ConfigReader::applyRelayed(const std::vector<LogRecord> &records,
                                                      Instant now)
{
    auto applied = applyAll(records, now);
    if (m_scanOffset && m_state.next() >= m_oldestRetained) {
        m_scanOffset.reset(); // the records that were missing have been relayed
        m_status = Status::Reading;
        m_reason = "reading the configuration log";
    }
    return applied;
}

Result<void> ConfigReader::adoptSnapshots(const std::map<SeatId, std::string> &snapshots,
                                          SeatId self, int seats)
{
    const auto others = static_cast<int>(snapshots.size() - snapshots.count(self));
    if (others < seats / 2 + 1) {
        return Error{ErrorCode::Unavailable, "the configuration log cannot be read, and "
                                                 + std::to_string(others)
                                                 + " synchronised peers are not a majority of "
                                                 + std::to_string(seats) + " seats"};
    }
    std::optional<ConfigState> newest;
    for (const auto &[seat, text] : snapshots) {
        auto state = ConfigState::fromSnapshot(text);
        if (!state.ok()) {
            return Error{ErrorCode::InvalidArgument,
                         "snapshot of seat " + std::to_string(seat) + ": " + state.error().reason};
        }
        if (!newest || state->next() > newest->next())
            newest = *std::move(state);
    }
    if (newest->next() > m_state.next())
        replaceState(*std::move(newest));
    m_scanOffset.reset();
    m_status = Status::Synced;
    m_reason.clear();
    return {};
}

std::vector<LogRecord> ConfigReader::recordsFrom(uint64_t offset, size_t max) const
{
    if (m_recent.empty() || offset < m_recent.front().offset || offset >= m_state.next())
        return {};
    const auto begin = m_recent.begin() + static_cast<ptrdiff_t>(offset - m_recent.front().offset);
    const auto left = static_cast<size_t>(m_recent.end() - begin);
    return {begin, begin + static_cast<ptrdiff_t>(std::min(max, left))};
}

bool ConfigReader::snapshotDue(Instant now, Duration retention) const
{
    if (!synced() || m_state.next() == 0)
        return false;
    if (!m_snapshotOffset || !m_snapshotSeenAt)
        return true;
    return m_state.next() - *m_snapshotOffset > SnapshotEveryRecords
           || now - *m_snapshotSeenAt > retention / 2;
}

} // namespace cardamompaddle
