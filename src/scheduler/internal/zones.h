// State of the availability zones of a pool: which ones are out, and the rate limit of starts into
// zones that have returned.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle::sched {

// After a zone returns, starts into it are limited for a ramp time to a number that grows linearly
// to the slots of the zone, so that queued work does not reach all its cold workers at once. Not
// thread-safe.
class Zones
{
public:
    explicit Zones(Duration rampTime) : m_rampTime(rampTime) { }

    // Returns the index of the zone; assigns the next one to a new name.
    int number(const std::string &name);
    const std::string &name(int zone) const { return m_zones[static_cast<size_t>(zone)].name; }
    // Replaces the set of zones that are out. Returns the numbers of the zones whose state changed.
    std::vector<int> setOut(const std::set<std::string> &names, Instant now);
    bool isOut(int zone) const { return m_zones[static_cast<size_t>(zone)].out; }
    void addSlots(int zone, int64_t slots) { m_zones[static_cast<size_t>(zone)].slots += slots; }

    // Updates the limits of returning zones for time `now`.
    void refresh(Instant now);
    void recordStart(int zone);
    bool ramping() const { return m_ramping > 0; }
    bool isClosed(int zone) const { return m_closed[static_cast<size_t>(zone)] != 0; }
    // By zone number, 1 if the limit of starts is reached; null if no zone is ramping.
    const std::vector<uint8_t> *closed() const { return ramping() ? &m_closed : nullptr; }

private:
    struct Zone
    {
        std::string name;
        bool out = false;
        bool ramping = false;
        Instant returnedAt;
        int64_t slots = 0; // of all its workers
        int64_t started = 0; // starts since it returned
        int64_t allowed = 0;
    };

    std::vector<Zone> m_zones;
    std::map<std::string, int> m_numbers;
    std::set<std::string> m_outNames; // including zones without known workers
    std::vector<uint8_t> m_closed;
    Duration m_rampTime;
    int m_ramping = 0;
};

} // namespace cardamompaddle::sched
