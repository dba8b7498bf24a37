// Virtual time for tests of the control module: clocks and timers stand still until the test lets
// time pass, so a minute takes a fraction of a second and does not depend on the machine.
#pragma once

#include "control/timer.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <utility>

namespace cardamompaddle::testing {

// Holds all timers that are created while it exists. Create it before the first of them.
class VirtualTime : public VirtualTimers
{
public:
    VirtualTime() { install(this); }
    ~VirtualTime() override
    {
        install(nullptr);
        // Handlers may own timers, which then find none installed.
        std::exchange(m_waits, {}).clear();
    }
    VirtualTime(const VirtualTime &) = delete;
    VirtualTime &operator=(const VirtualTime &) = delete;

    Instant now() const override { return m_now; }
    Number start(Duration wait, std::function<void()> expired) override
    {
        const Number number = m_nextNumber++;
        m_dueTimes[number] = m_now + wait;
        m_waits[{m_now + wait, number}] = std::move(expired);
        return number;
    }
    void cancel(Number number) override
    {
        const auto node = m_dueTimes.extract(number);
        if (!node.empty())
            m_waits.erase({node.mapped(), number});
    }

    // Moves the clock without running what is due, as if the process had been suspended.
    void skip(Duration time) { m_now += time; }
    // Runs what is due, and lets the clock go on by a millisecond.
    void step(boost::asio::io_context &io)
    {
        poll(io);
        while (!m_waits.empty() && m_waits.begin()->first.first <= m_now) {
            const auto node = m_waits.extract(m_waits.begin());
            m_dueTimes.erase(node.key().second);
            node.mapped()();
            poll(io);
        }
        m_now += Duration(1);
    }

private:
    static void poll(boost::asio::io_context &io)
    {
        io.restart(); // it may have run out of work
        io.poll();
    }

    Instant m_now = instantFromMs(36'000'000);
    Number m_nextNumber = 1;
    std::map<std::pair<Instant, Number>, std::function<void()>> m_waits; // in order of expiry
    std::map<Number, Instant> m_dueTimes;
};

} // namespace cardamompaddle::testing
