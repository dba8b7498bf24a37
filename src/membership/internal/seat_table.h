// What a member knows of every seat. All facts only grow (a higher incarnation, a higher
// generation, a later acknowledgement), so late, repeated and reordered reports do no harm.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/heartbeat.h"

#include <compare>
#include <optional>
#include <vector>

namespace cardamompaddle::internal {

// A generation of one seat.
struct GenerationId
{
    uint64_t incarnation = 0;
    uint64_t generation = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads defaulted comparisons.
    friend auto operator<=>(const GenerationId &, const GenerationId &) = default;
};

struct SeatRecord
{
    GenerationId id; // highest heard of; generation 0: that process has not had quorum yet
    bool synced = false; // from the latest direct heartbeat
    // The latest generation stopped cleanly. Kept for a following process until it has quorum,
    // and then first-hand or announced knowledge only.
    bool left = false;
    bool saysEarlierLeft = false; // it reports that the earlier process at our seat left
    bool mixedAcknowledgements = false; // some may be by an earlier process of the seat
    std::optional<Instant> lastHeard; // directly
    Instant learnedAt; // when the latest generation above 0 became known
    std::optional<Instant> lapsedAt; // without quorum then; may lie in the future
    Instant acknowledgeAfter; // the own commands for keys of the seat may take effect until then
    std::vector<GenerationId> acknowledged; // by the seat, for each seat. For itself: ended.
};

// A value type; not thread-safe.
class SeatTable
{
public:
    // What a report added to a record.
    struct News
    {
        bool process = false; // a higher incarnation
        bool standing = false; // a generation above 0 that was not known
    };

    SeatTable(int32_t seatCount, Instant now);

    int32_t seatCount() const { return static_cast<int32_t>(m_records.size()); }
    bool contains(SeatId seat) const { return seat >= 0 && seat < seatCount(); }
    SeatRecord &operator[](SeatId seat) { return m_records[static_cast<size_t>(seat)]; }
    const SeatRecord &operator[](SeatId seat) const { return m_records[static_cast<size_t>(seat)]; }

    // Merges a report of the seat by itself or by others.
    News learn(const SeatView &row);
    void acknowledge(SeatId by, SeatId seat, const GenerationId &id);
    bool hasAcknowledged(SeatId by, SeatId seat, const GenerationId &id) const;
    // The row to report. Leaves out acknowledgements of generations that are no longer the latest.
    SeatView view(SeatId seat, Duration lastHeardAge) const;

private:
    void learnAcknowledgements(const SeatView &row);

    std::vector<SeatRecord> m_records;
};

} // namespace cardamompaddle::internal
