// Estimates when a publication was made, on the clock of the receiver, so that one that a frozen
// relay passes on late is not mistaken for a sign of life of the scheduler.
//
// Clocks of machines differ by a nearly constant offset. The smallest difference between the time
// of receipt and the publisher's time is that offset plus the shortest delay; what a later
// publication exceeds it by is its age. The first publication of a tenure counts as new, and so
// does one that is no older than the delay of a slow machine. Pure: no I/O and no clock.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cardamompaddle {

class PublicationClock
{
public:
    // Returns the time at which the scheduler of tenure `epoch` made a publication that is received
    // at `now`; `publishedAtMs` is on the scheduler's monotonic clock. Returns none if a later
    // tenure has published already.
    std::optional<Instant> publishedAt(int64_t epoch, int64_t publishedAtMs, Instant now);

private:
    int64_t m_epoch = 0; // of the newest tenure that has published; 0: none
    Duration m_offset{0}; // smallest difference between the clocks, measured at m_offsetAt
    Instant m_offsetAt = Instant::min();
};

} // namespace cardamompaddle
