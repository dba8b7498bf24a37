// Heartbeat messages, in which each member reports its own state and what it knows of every seat.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace cardamompaddle {

// A generation of `seat` that the member at the seat of the enclosing SeatView has acknowledged.
struct Acknowledged
{
    SeatId seat = -1;
    uint64_t incarnation = 0;
    uint64_t generation = 0;
    friend bool operator==(const Acknowledged &, const Acknowledged &) = default;
};

// What the sender knows of one seat, from the seat itself or as reported by others.
struct SeatView
{
    SeatId seat = -1;
    uint64_t incarnation = 0; // highest known; 0 if none
    uint64_t generation = 0;
    bool synced = false;
    bool left = false; // the generation stopped cleanly and has no command in flight
    // Time since the sender last received a message from any incarnation of the seat directly.
    Duration lastHeardAge{0};
    std::vector<Acknowledged> acknowledged;
    friend bool operator==(const SeatView &, const SeatView &) = default;
};

// A heartbeat, as a request or as an answer.
struct Heartbeat
{
    SeatId from = -1;
    uint64_t incarnation = 0;
    uint64_t generation = 0;
    bool synced = false;
    bool left = false;
    Duration uptime{0};
    std::vector<SeatView> table; // one row per seat
    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace cardamompaddle
