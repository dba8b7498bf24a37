// What the members last reported about when they heard from each seat, and the certificates of
// lapse that follow from it.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/heartbeat.h"

#include <optional>
#include <vector>

namespace cardamompaddle::internal {

// A value type; not thread-safe.
class Evidence
{
public:
    explicit Evidence(int32_t seatCount);

    // Takes the table of an answer to a request that was sent at `sentAt`. Ages are shortened by
    // the clock drift and rounding, so that the answering member surely answered no request of the
    // seat between the instant derived here and `sentAt`.
    void record(SeatId from, Instant sentAt, Instant receivedAt,
                const std::vector<SeatView> &table);
    // Drops the report of the earlier process at a seat.
    void forget(SeatId from);

    // An instant after `after` at which `seat` was surely without quorum: `majority` other seats
    // heard nothing from it for longer than `span` up to then. Empty if the reports do not show
    // one.
    std::optional<Instant> lapse(SeatId seat, int32_t majority, Duration span, Instant after) const;
    // Number of other seats that know the incarnation, or a later one, of `seat`.
    int32_t knowing(SeatId seat, uint64_t incarnation) const;

private:
    struct Row
    {
        uint64_t incarnation = 0;
        std::optional<Instant> heardAt; // empty: nothing reported
    };
    struct Report
    {
        Instant sentAt;
        std::vector<Row> rows; // by seat; empty without a report
    };
    struct Silence
    {
        Instant from;
        Instant to;
    };
    std::vector<Silence> silences(SeatId seat, Duration span, Instant after) const;

    std::vector<Report> m_reports;
};

} // namespace cardamompaddle::internal
