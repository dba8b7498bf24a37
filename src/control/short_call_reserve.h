// How many callers of the policy service are kept free of long calls.
//
// Short calls, of routes whose work is urgent, must not queue behind long ones. Callers that are
// reserved for them without need are missing for all other work, so the reserve follows the recent
// peak of short calls in progress. Does no I/O and reads no clock.
#pragma once

#include "base/time.h"

#include <cstddef>

namespace cardamompaddle {

class ShortCallReserve
{
public:
    // Takes note of how many short calls are in progress or wait for a caller.
    void observe(size_t shortCalls, Instant now);
    // Returns how many of `callers` make only short calls: at least one in
    // CallersPerReservedAtLeast and at most one in CallersPerReservedAtMost, both rounded up.
    size_t size(size_t callers, Instant now) const;

    static constexpr size_t CallersPerReservedAtLeast = 8;
    static constexpr size_t CallersPerReservedAtMost = 3;

private:
    double peakAt(Instant now) const;

    double m_peak = 0; // of short calls, at m_observedAt; decays
    Instant m_observedAt = Instant::min();
};

} // namespace cardamompaddle
