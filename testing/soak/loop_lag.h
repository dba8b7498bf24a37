// Measures how late an event loop runs what is due.
//
// No I/O and no clock.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <string>

namespace cardamompaddle::soak {

class LoopLag
{
public:
    // A loop that is later than this slows the calls that it serves as much as a disturbed log
    // does.
    static constexpr Duration StallLag{100};

    // What was due at `due` runs at `now`. Returns whether the loop has stalled.
    bool add(Instant due, Instant now);
    Duration largest() const { return m_largest; }
    size_t stalls() const { return m_stalls; }
    // Of all measurements; in ms.
    double meanMs() const;
    // For example "mean 0.3 ms, largest 12 ms, 0 stalls".
    std::string toString() const;

private:
    Duration m_largest{0};
    Duration m_sum{0};
    size_t m_count = 0;
    size_t m_stalls = 0;
};

} // namespace cardamompaddle::soak
