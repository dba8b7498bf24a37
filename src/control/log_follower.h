// Follows one topic of the platform's log: loads the newest record of each key, then reads on.
#pragma once

#include "control/gateways.h"
#include "platform/worker.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

struct LogFollowerOptions
{
    std::string topic;
    Duration pollInterval{0}; // between an answer with records and the next read
    Duration readWait{2'000}; // how long the log holds a read at its end
};

// Not thread-safe: the event loop's thread only.
class LogFollower
{
public:
    struct Callbacks
    {
        // In the order of offsets for each key; records older than the newest known are left out.
        std::function<void(const KeyedRecord &)> record;
        // The keys of a whole load: every other key has gone.
        std::function<void(const std::set<std::string> &keys)> loaded;
        // The log was lost (true) or answers again (false).
        std::function<void(bool lost, const std::string &reason)> availability;
    };

    LogFollower(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                LogFollowerOptions options, Callbacks callbacks);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    void start();
    // Everything stored before this instant is known; Instant::min() before the first load.
    Instant currentAsOf() const { return m_currentAsOf; }
    bool loaded() const { return m_loaded; }
    // Since when every read has been answered; Instant::min() if none failed yet, Instant::max()
    // while the log is lost or nothing was read.
    Instant availableSince() const { return m_availableSince; }
    // Offset of the next record to read.
    int64_t nextOffset() const { return m_next; }
    // Calls `done` once everything stored before this call is known, or with false if the log does
    // not answer.
    void refresh(std::function<void(bool)> done);
    // Takes stored records before they are read, as soon as the first load is over.
    void offer(const std::vector<KeyedRecord> &records);
    // Shortens or lengthens the gap between reads from the next one on.
    void setPollInterval(Duration pollInterval) { m_options.pollInterval = pollInterval; }

private:
    void loadPage(const std::string &after);
    void onPage(Result<NewestPage> page, Instant requestedAt);
    void read();
    void onRead(Result<LogSlice> slice, Instant requestedAt);
    void readNow(); // a second read beside the waiting one
    void take(const std::vector<KeyedRecord> &records);
    void takeNewer(const KeyedRecord &record);
    void again(Duration wait, std::function<void()> action);
    void failed(const Error &error);
    void succeeded(Instant requestedAt);

    const Clock &m_clock;
    KeyedLog &m_log;
    LogFollowerOptions m_options;
    Callbacks m_callbacks;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
    std::map<std::string, int64_t> m_offsets; // of the newest known record by key
    std::set<std::string> m_loadedKeys;
    int64_t m_next = 0;
    int64_t m_loadEnd = -1;
    bool m_loaded = false;
    Instant m_currentAsOf = Instant::min();
    Instant m_availableSince = Instant::max();
    bool m_everLost = false;
    bool m_refreshing = false;
    std::vector<std::function<void(bool)>> m_waiters; // of the running refresh
    std::vector<std::function<void(bool)>> m_nextWaiters; // asked while one was running
};

} // namespace cardamompaddle
