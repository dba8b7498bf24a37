// Remembers which parts of the system were disturbed when. The promises with a time bound hold only
// for parts that have been undisturbed for a while.
//
// No I/O and no clock.
#pragma once

#include "base/time.h"

#include <map>
#include <string>
#include <vector>

namespace cardamompaddle::soak {

inline const std::string LogPart = "log";
inline const std::string WorkersPart = "workers";
inline const std::string PolicyPart = "policy service";
// The event loop of the soak itself, which serves the platform. Not among the parts of the system.
inline const std::string HarnessPart = "harness";
// All other parts are instances, by name.

class Disturbances
{
public:
    // Marks `part` as disturbed from `from` on, until end() is called.
    void begin(const std::string &part, Instant from);
    // Ends all disturbances of `part`. Overlapping ones are counted: each begin() needs an end().
    void end(const std::string &part, Instant at);
    // Returns whether `part` was undisturbed from `from` to `to`.
    bool isCalm(const std::string &part, Instant from, Instant to) const;
    // The same for all parts of the system.
    bool allCalm(Instant from, Instant to) const;

private:
    struct Span
    {
        Instant from;
        Instant to;
    };
    struct Part
    {
        std::vector<Span> ended;
        std::vector<Instant> open; // beginnings
    };
    static bool isCalm(const Part &part, Instant from, Instant to);

    std::map<std::string, Part> m_parts;
};

} // namespace cardamompaddle::soak
