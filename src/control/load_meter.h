// Measures how the scheduler spends its processor time, so that its log shows what an overloaded
// scheduler was busy with.
//
// Reads the monotonic clock. Not thread-safe.
#pragma once

#include "base/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cardamompaddle {

// The parts of a scheduler's work that are measured.
enum class LoadPart : uint8_t {
    Decide, // scheduling passes
    Report, // processing of workers' reports
    Answer, // processing of answers to start orders
    Flush, // encoding of records for the log
    Publish, // sending of stored records to peers
};
// Returns the stable lower-case name, for example "decide".
std::string_view loadPartName(LoadPart part);

class LoadMeter
{
public:
    // Adds the time from its construction to its destruction to one part.
    class Scope
    {
    public:
        Scope(LoadMeter &meter, LoadPart part)
            : m_meter(meter), m_part(part), m_since(std::chrono::steady_clock::now())
        { }
        ~Scope() { m_meter.add(m_part, std::chrono::steady_clock::now() - m_since); }
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        LoadMeter &m_meter;
        LoadPart m_part;
        std::chrono::steady_clock::time_point m_since;
    };

    // Returns "PART=COUNT PART_us=SUM PART_max_us=MAX ..." of what was measured since the last
    // call. A part that did not occur is left out.
    std::string take();

private:
    using Time = std::chrono::steady_clock::duration;
    struct Sum
    {
        int64_t count = 0;
        Time total{0};
        Time longest{0};
    };
    void add(LoadPart part, Time time);

    std::array<Sum, 5> m_sums; // by LoadPart
};

} // namespace cardamompaddle
