// Decides what a stopping instance does next, from the signal to the end of its process, so that no
// request that has arrived is left without a response.
//
// Does no I/O and reads no clock.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <string_view>

namespace cardamompaddle {

enum class StopAction {
    Wait,
    StopAccepting, // of new connections
    CloseIdleConnections,
    AbandonRequests, // respond to those that are still open
    Exit,
};
std::string_view stopActionName(StopAction action);

struct StopStatus
{
    bool tenureEnded = false; // this instance does not schedule any more
    size_t openRequests = 0; // of callers, also those that peers have forwarded
    size_t openConnections = 0; // of callers
};

class StopSequence
{
public:
    // `outOfRotationAt`: from then on no new connections of callers are expected. At `deadline` the
    // requests that are still open are abandoned; the sequence ends soon after it.
    StopSequence(Instant outOfRotationAt, Instant deadline);

    // Returns the next action. Must be called repeatedly until it returns Exit. Each action but
    // Wait is returned at most once.
    StopAction decide(const StopStatus &status, Instant now);

private:
    enum class Phase { InRotation, Accepted, Draining, Abandoned };

    StopAction enter(Phase phase, StopAction action, Instant now);
    bool mayExit(const StopStatus &status, Instant now) const;

    Instant m_outOfRotationAt;
    Instant m_deadline;
    Phase m_phase = Phase::InRotation;
    Instant m_phaseBeganAt{};
    Instant m_lastRequestAt{}; // when a request was last known to be open
};

} // namespace cardamompaddle
