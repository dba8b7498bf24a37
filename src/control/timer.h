// One-shot timers of the control module. They wait on the event loop or, in tests, in virtual time,
// so that a test can run whole instances without waiting.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace cardamompaddle {

// The waits of all timers of a test. A process has one at most.
class VirtualTimers
{
public:
    using Number = uint64_t;

    virtual ~VirtualTimers() = default;
    virtual Instant now() const = 0;
    // Calls `expired` after `wait`. The number is for cancel(), and is not 0.
    virtual Number start(Duration wait, std::function<void()> expired) = 0;
    // Drops a wait. Does nothing once it has expired.
    virtual void cancel(Number number) = 0;

    // Null: timers wait on the event loop. Set it while no timer exists.
    static VirtualTimers *installed() { return installedTimers; }
    static void install(VirtualTimers *timers) { installedTimers = timers; }

private:
    static inline VirtualTimers *installedTimers = nullptr;
};

class Timer
{
public:
    explicit Timer(boost::asio::io_context &io)
    {
        if (VirtualTimers::installed() == nullptr)
            m_timer.emplace(io);
    }
    Timer(boost::asio::io_context &io, Duration wait) : Timer(io) { expireAfter(wait); }
    ~Timer() { cancel(); }
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    // Sets the time of the next asyncWait(), and cancels the wait in progress.
    void expireAfter(Duration wait)
    {
        if (m_timer) {
            m_timer->expires_after(wait);
            return;
        }
        cancel();
        m_wait = wait;
    }
    // Calls `handler` with an error code once the time has passed. After cancel(), expireAfter()
    // and the destruction it is called with an error, or not at all.
    template <typename Handler>
    void asyncWait(Handler &&handler)
    {
        if (m_timer)
            return m_timer->async_wait(std::forward<Handler>(handler));
        m_number = VirtualTimers::installed()->start(
            m_wait, [handler = std::forward<Handler>(handler)]() mutable {
                handler(boost::system::error_code());
            });
    }
    void cancel()
    {
        if (m_timer)
            m_timer->cancel();
        else if (m_number != 0 && VirtualTimers::installed() != nullptr)
            VirtualTimers::installed()->cancel(std::exchange(m_number, 0));
    }

private:
    std::optional<boost::asio::steady_timer> m_timer; // empty in virtual time
    Duration m_wait{0};
    VirtualTimers::Number m_number = 0; // 0: no wait was begun
};

} // namespace cardamompaddle
