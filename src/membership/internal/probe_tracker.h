// Tracks the heartbeat requests in flight and, for each seat, the latest one that was answered.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cardamompaddle::internal {

// A heartbeat request that this member sent.
struct Probe
{
    SeatId to = -1;
    Instant sentAt;
    uint64_t generation = 0; // of this member, as carried by the request
};

// A value type; not thread-safe. `window` is the quorum window S (see membership.h).
class ProbeTracker
{
public:
    ProbeTracker(int32_t seatCount, Duration window);

    // Adds a request in flight and returns its id. Drops requests that are at least S old.
    uint64_t addProbe(const Probe &probe);
    // Removes the probe and returns it if it was sent within the window. Returns empty if it is
    // older, unknown or was sent to another seat than `from`.
    std::optional<Probe> takeProbe(SeatId from, uint64_t id, Instant now);

    // Records an answer by a process with `incarnation`. `counts` is false for a member that is
    // not synced: its answers count for the startup grace period but not for quorum.
    void recordAnswer(const Probe &probe, uint64_t incarnation, bool counts, Instant now);
    // Drops the answers of a seat, for use when a newer process of the seat is known.
    void reset(SeatId seat);
    // Drops all answers and all probes in flight.
    void clear();

    // Returns the instant from which fewer than `others` counted answers are within the window,
    // unless more arrive.
    Instant answersValidUntil(int32_t others) const;
    // Returns the number of seats whose latest counted answer is within the window and was to a
    // request that carried `generation`.
    int32_t countAnswersInGeneration(uint64_t generation, Instant now) const;
    // Returns the number of seats whose present process has answered without a gap of S or more for
    // longer than `span`.
    int32_t countAnsweringLongerThan(Duration span, Instant now) const;

private:
    struct Contact
    {
        uint64_t incarnation = 0;
        // When the first of the answers without a gap arrived.
        std::optional<Instant> continuousSince;
        Instant latestSentAt; // send time of the latest answered request
        std::optional<Probe> latestCounted; // latest request whose answer counts for quorum
    };

    Duration m_window;
    uint64_t m_nextProbe = 1;
    std::map<uint64_t, Probe> m_probes; // by id, hence in order of sending
    std::vector<Contact> m_contacts; // by seat
};

} // namespace cardamompaddle::internal
