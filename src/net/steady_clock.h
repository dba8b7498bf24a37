// An implementation of Clock that reads the machine's monotonic clock.
#pragma once

#include "platform/worker.h"

#include <chrono>

namespace cardamompaddle {

// Returns milliseconds of CLOCK_MONOTONIC, which are comparable between processes on one machine.
// Thread-safe.
class SteadyClock : public Clock
{
public:
    Instant now() const override
    {
        const auto since = std::chrono::steady_clock::now().time_since_epoch();
        return Instant(std::chrono::duration_cast<Duration>(since));
    }
};

} // namespace cardamompaddle
