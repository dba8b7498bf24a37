// Heartbeat requests under way and, for each seat, the latest one that was answered.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cardamompaddle::internal {

// A heartbeat request that was sent.
struct Probe
{
    SeatId to = -1;
    Instant sentAt;
    uint64_t generation = 0; // the sender's, as carried by the request
};

// A value type; not thread-safe. `window` is S in each call.
class Contacts
{
public:
    Contacts(int32_t seatCount, Duration window);

    uint64_t probeSent(const Probe &probe);
    // Removes and returns the probe if it was sent to `from` within the window. Empty otherwise.
    std::optional<Probe> takeProbe(SeatId from, uint64_t id, Instant now);

    // Notes an answer by a process with `incarnation`. `counts` is false for a member that is not
    // synced, which proves contact for the quiet start but not for quorum.
    void answered(const Probe &probe, uint64_t incarnation, bool counts, Instant now);
    // Drops what was heard from the earlier process of a seat.
    void forget(SeatId seat);
    // Drops everything, probes under way included.
    void clear();

    // The instant at which fewer than `others` counted answers will be within the window.
    Instant heldUntil(int32_t others) const;
    // Number of counted answers within the window to requests that carried `generation`.
    int32_t countedInGeneration(uint64_t generation, Instant now) const;
    // Number of seats whose present process has answered without a gap for longer than `span`.
    int32_t answeringFor(Duration span, Instant now) const;

private:
    struct Contact
    {
        uint64_t incarnation = 0;
        std::optional<Instant> runSince; // first answer of the present run without a gap
        Instant reachedAt; // latest answered request was sent then
        std::optional<Probe> counted;
    };

    Duration m_window;
    uint64_t m_nextProbe = 1;
    std::map<uint64_t, Probe> m_probes; // by id, hence by time of sending
    std::vector<Contact> m_contacts;
};

} // namespace cardamompaddle::internal
