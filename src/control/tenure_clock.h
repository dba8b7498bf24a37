// The held time of the scheduler's tenure: how long instances have held it while the log took their
// records, all holders together.
//
// Spans that outlast a tenure are counted with it, since clocks of the time of day differ between
// machines and may jump. The tenure record carries it from one holder to the next. It stands still
// while nobody holds the tenure, the holder is suspended or the log stores nothing, so a span that
// it measures is never longer than the real one.
#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace cardamompaddle {

class TenureClock
{
public:
    // `heldMs` is the held time that the former holder has stored, `now` the time of the takeover.
    TenureClock(int64_t heldMs, Instant now)
        : m_heldMs(std::max<int64_t>(1, heldMs)), m_countedTo(now)
    { }

    // Must be called when an append of the tenure has been stored.
    void recordStored(Instant now)
    {
        m_heldMs = heldMsAt(now);
        m_countedTo = now;
    }
    // Returns the held time up to the last stored append, at least 1.
    int64_t heldMs() const { return m_heldMs; }
    // Returns the held time that an append stored at `now` would bring. From then on, held time
    // advances by no more than real time does.
    int64_t heldMsAt(Instant now) const
    {
        return m_heldMs + std::clamp(now - m_countedTo, Duration::zero(), MaxStep).count();
    }

private:
    // The holder stores something several times in this time while the log answers.
    static constexpr Duration MaxStep{1'000};

    int64_t m_heldMs;
    Instant m_countedTo;
};

} // namespace cardamompaddle
