// Monotonic time values. Functions that make decisions take the current time as an argument; only
// the outermost layer reads a clock.
#pragma once

#include <chrono>

namespace cardamompaddle {

// A duration in whole milliseconds.
using Duration = std::chrono::milliseconds;

// Clock type of Instant. It has no now(), so that the core cannot read the time by itself.
struct ProcessClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<ProcessClock, Duration>;
    static constexpr bool is_steady = true;
};

// A point on this process's monotonic clock. Instants of different processes are not comparable.
using Instant = ProcessClock::time_point;

// Builds an instant from milliseconds since an arbitrary origin of this process.
constexpr Instant instantFromMs(Duration::rep ms)
{
    return Instant(Duration(ms));
}

// Milliseconds since the origin of this process's clock.
constexpr Duration::rep toMs(Instant at)
{
    return at.time_since_epoch().count();
}

// Largest relative difference in rate between the monotonic clocks of two machines, in percent.
inline constexpr int ClockDriftPercent = 1;

// Returns the duration on the local clock after which at least `length` has passed on every other
// machine's clock. Rounds up, so that short durations are extended too.
constexpr Duration withDrift(Duration length)
{
    return length + Duration((length.count() * ClockDriftPercent + 99) / 100);
}

} // namespace cardamompaddle
