// Virtual time for tests of the control module: clocks and timers stand still until the test lets
// time pass, so a minute takes a fraction of a second and does not depend on the machine.
//
// Timers have an owner, which is a process or the platform. A suspended owner's timers that become
// due expire once it goes on, so a test can let one process stand still while the others run.
#pragma once

#include "control/timer.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <set>
#include <utility>

namespace cardamompaddle::testing {

// Holds all timers that are created while it exists. Create it before the first of them.
class VirtualTime : public VirtualTimers
{
public:
    using Owner = int;
    static constexpr Owner Platform = 0; // owns the timers that are started outside of runAs()

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
        m_waits[{m_now + wait, number}] = {m_owner, std::move(expired)};
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
    // Timers that `action` starts, and those that start when these expire, belong to `owner`.
    void runAs(Owner owner, const std::function<void()> &action)
    {
        const Owner former = std::exchange(m_owner, owner);
        action();
        m_owner = former;
    }
    void setSuspended(Owner owner, bool suspended)
    {
        suspended ? (void)m_suspended.insert(owner) : (void)m_suspended.erase(owner);
    }
    bool isSuspended(Owner owner) const { return m_suspended.contains(owner); }
    // Runs what is due, and lets the clock go on by a millisecond.
    void step(boost::asio::io_context &io)
    {
        poll(io);
        for (auto it = firstDue(); it != m_waits.end(); it = firstDue()) {
            const auto node = m_waits.extract(it);
            m_dueTimes.erase(node.key().second);
            // What the handler posts to the event loop belongs to the owner, too.
            runAs(node.mapped().owner, [&] {
                node.mapped().expired();
                poll(io);
            });
        }
        m_now += Duration(1);
    }

private:
    struct Wait
    {
        Owner owner = Platform;
        std::function<void()> expired;
    };
    using Waits = std::map<std::pair<Instant, Number>, Wait>; // in order of expiry

    Waits::iterator firstDue()
    {
        auto it = m_waits.begin();
        while (it != m_waits.end() && it->first.first <= m_now && isSuspended(it->second.owner))
            ++it;
        return it != m_waits.end() && it->first.first <= m_now ? it : m_waits.end();
    }
    static void poll(boost::asio::io_context &io)
    {
        io.restart(); // it may have run out of work
        io.poll();
    }

    Instant m_now = instantFromMs(36'000'000);
    Number m_nextNumber = 1;
    Waits m_waits;
    std::map<Number, Instant> m_dueTimes;
    Owner m_owner = Platform; // of the timers that are started now
    std::set<Owner> m_suspended;
};

} // namespace cardamompaddle::testing
