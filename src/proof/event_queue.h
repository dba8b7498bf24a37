// A queue of events in virtual time. Events run in order of time, and those of equal time in order
// of insertion, so that equal seeds give equal runs.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cardamompaddle::proof {

// Not thread-safe.
class EventQueue
{
public:
    Instant now() const { return m_now; }
    // Runs `event` at `when`, or at the current time if `when` has passed.
    void at(Instant when, std::function<void()> event)
    {
        m_events.emplace(std::pair(std::max(when, m_now), m_nextSerial++), std::move(event));
    }
    void after(Duration delay, std::function<void()> event) { at(m_now + delay, std::move(event)); }
    // Runs every event due up to `until`, including those added meanwhile, and sets the time to
    // `until`.
    void runUntil(Instant until)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= until) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = until;
    }

private:
    Instant m_now = instantFromMs(1'000'000);
    uint64_t m_nextSerial = 0;
    std::map<std::pair<Instant, uint64_t>, std::function<void()>> m_events;
};

} // namespace cardamompaddle::proof
