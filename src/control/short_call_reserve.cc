#include "control/short_call_reserve.h"

#include <algorithm>
#include <cmath>

namespace cardamompaddle {

namespace {

// Longer than the time between two peaks of a bursty load, shorter than the burst itself.
constexpr double PeakHalfLifeMs = 4'000;
// Calls arrive in clusters: as many callers again are kept for those that come next.
constexpr double CallersPerShortCall = 2;

size_t oneIn(size_t divisor, size_t callers)
{
    return (callers + divisor - 1) / divisor;
}

} // namespace

double ShortCallReserve::peakAt(Instant now) const
{
    if (m_observedAt == Instant::min())
        return 0;
    const auto elapsedMs = static_cast<double>((now - m_observedAt).count());
    return m_peak * std::exp2(-elapsedMs / PeakHalfLifeMs);
}

void ShortCallReserve::observe(size_t shortCalls, Instant now)
{
    m_peak = std::max(peakAt(now), static_cast<double>(shortCalls));
    m_observedAt = now;
}

size_t ShortCallReserve::size(size_t callers, Instant now) const
{
    const auto wanted = static_cast<size_t>(std::ceil(CallersPerShortCall * peakAt(now)));
    const size_t least = oneIn(CallersPerReservedAtLeast, callers);
    const size_t most = oneIn(CallersPerReservedAtMost, callers);
    return std::clamp(wanted, least, most);
}

} // namespace cardamompaddle
