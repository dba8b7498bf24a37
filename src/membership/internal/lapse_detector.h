// Derives lapse certificates (see membership.h) from the members' latest reports of when they last
// heard from each seat.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/heartbeat.h"

#include <optional>
#include <vector>

namespace cardamompaddle::internal {

// A value type; not thread-safe.
class LapseDetector
{
public:
    explicit LapseDetector(int32_t seatCount);

    // Records the table of an answer to a request that was sent at `sentAt`. Shortens ages by the
    // clock drift and rounding, so that the answering member is certain to have answered no request
    // of the seat between the derived instant and `sentAt`. Ignores a report that is older than the
    // recorded one.
    void recordReport(SeatId from, Instant sentAt, Instant receivedAt,
                      const std::vector<SeatView> &table);
    // Drops the report of a seat, for use when a newer process of the seat is known.
    void dropReport(SeatId from);

    // Returns an instant after `after` at which `seat` was certainly without quorum: `majority`
    // other seats heard nothing from it for longer than `span` up to then. Returns empty if the
    // reports do not prove one.
    std::optional<Instant> findLapse(SeatId seat, int32_t majority, Duration span,
                                     Instant after) const;
    // Returns the number of other seats that know this incarnation of `seat` or a later one.
    int32_t countSeatsKnowing(SeatId seat, uint64_t incarnation) const;

private:
    struct Row
    {
        uint64_t incarnation = 0;
        std::optional<Instant> heardAt; // empty if nothing was reported
    };
    struct Report
    {
        Instant sentAt;
        std::vector<Row> rows; // by seat; empty without a report
    };
    struct SilentInterval
    {
        Instant from;
        Instant to;
    };
    // Returns the intervals longer than `span` in which another seat heard nothing from `seat`,
    // from reports on requests sent later than `after`.
    std::vector<SilentInterval> silentIntervals(SeatId seat, Duration span, Instant after) const;

    std::vector<Report> m_reports; // by reporting seat
};

} // namespace cardamompaddle::internal
