// Stores what a member knows of every seat. Merged values only increase (incarnation, generation,
// acknowledged generations), so late, repeated and reordered reports do no harm.
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

// What this member knows of one seat.
struct SeatRecord
{
    GenerationId id; // highest known; generation 0 if that process has not had quorum yet
    bool synced = false; // from the latest direct heartbeat
    // The latest generation stopped cleanly. Stays set for the next process of the seat until that
    // process has quorum. A report of generation 0 never sets it, so for a new process it holds
    // only what this member learned while the earlier process was the latest known one.
    bool left = false;
    // The seat reports that the earlier process at this member's own seat left cleanly.
    bool reportsPredecessorLeft = false;
    // `acknowledged` may hold acknowledgements by an earlier process of the seat.
    bool mayHoldEarlierAcknowledgements = false;
    std::optional<Instant> lastHeard; // latest direct message
    Instant generationKnownSince; // when the latest generation above 0 became known
    // The seat is certain to be without quorum at this instant, which may lie in the future.
    std::optional<Instant> lapsedAt;
    // This member's own commands for keys of the seat may take effect until then.
    Instant acknowledgeAfter;
    // The generations that the seat has acknowledged, by seat. The entry for the seat itself is its
    // latest generation that has ended.
    std::vector<GenerationId> acknowledged;
};

// A value type; not thread-safe.
class SeatTable
{
public:
    // What a merged report added to a record.
    struct MergeResult
    {
        bool newIncarnation = false; // higher than the known one
        bool newGeneration = false; // above 0 and not known before
    };

    SeatTable(int32_t seatCount, Instant now);

    int32_t seatCount() const { return static_cast<int32_t>(m_records.size()); }
    bool contains(SeatId seat) const { return seat >= 0 && seat < seatCount(); }
    SeatRecord &operator[](SeatId seat) { return m_records[static_cast<size_t>(seat)]; }
    const SeatRecord &operator[](SeatId seat) const { return m_records[static_cast<size_t>(seat)]; }

    // Merges a report about a seat, by the seat itself or by another. Ignores it if the incarnation
    // is 0 or lower than the known one.
    MergeResult merge(const SeatView &row);
    // Records that the seat `by` acknowledges `id`, a generation of `seat`.
    void acknowledge(SeatId by, SeatId seat, const GenerationId &id);
    // True if `id` is the latest generation of `seat` that `by` acknowledged, and is above 0.
    bool hasAcknowledged(SeatId by, SeatId seat, const GenerationId &id) const;
    // Returns the row to report about a seat, without acknowledgements of generations that are no
    // longer the latest.
    SeatView view(SeatId seat, Duration lastHeardAge) const;

private:
    void mergeAcknowledgements(const SeatView &row);

    std::vector<SeatRecord> m_records; // by seat
};

} // namespace cardamompaddle::internal
