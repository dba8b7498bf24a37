// Follows one topic of the platform's log: loads the newest record of each key, then reads the
// records that follow.
#pragma once

#include "control/gateways.h"
#include "control/timer.h"
#include "platform/worker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

struct LogFollowerOptions
{
    std::string topic;
    Duration pollInterval{0}; // delay between an answer with records and the next read
    Duration readWait{2'000}; // how long the log holds a read at the end of the topic
    Duration retryDelay{150}; // after a call that failed
    Duration refreshTimeout{1'500}; // of each read of a refresh
};

// Not thread-safe: use it only on the event loop's thread.
class LogFollower
{
public:
    struct Callbacks
    {
        // Called with the records of each key in the order of their offsets; a record older than
        // the newest known one of its key is skipped. A key that was removed while its records
        // expired is reported as removed too, at the last offset before the load that missed it.
        std::function<void(const KeyedRecord &)> record;
        // Called after each full load with the keys it found, and after the records of the removed
        // ones.
        std::function<void(const std::set<std::string> &keys)> loaded;
        // Called when the log stops answering (true, with the reason) and when it answers again
        // (false).
        std::function<void(bool lost, const std::string &reason)> availability;
    };

    LogFollower(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                LogFollowerOptions options, Callbacks callbacks);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    void start();
    // Returns the time up to which all stored records are known; Instant::min() before the first
    // load.
    Instant currentAsOf() const { return m_currentAsOf; }
    bool loaded() const { return m_loaded; }
    // Returns the time since which every read has been answered: Instant::min() if none has ever
    // failed, Instant::max() while the log does not answer or nothing has been read yet.
    Instant availableSince() const { return m_availableSince; }
    // Returns the offset of the next record to read. The newest state before it of each key is
    // known once the first load is complete.
    int64_t nextOffset() const { return m_nextOffset; }
    // Reads up to the end of the topic without waiting. Calls `done` with true once all records
    // stored before this call are known, or with false if the log does not answer or the first load
    // is not complete. Waits for a later load.
    void refresh(std::function<void(bool)> done);
    // Applies stored records that were received from elsewhere, ahead of reading them. Ignored
    // until the first load is complete.
    void applyReceived(const std::vector<KeyedRecord> &records);
    // Sets the delay between reads, starting with the next one.
    void setPollInterval(Duration pollInterval) { m_options.pollInterval = pollInterval; }

private:
    struct KnownRecord
    {
        int64_t offset = -1;
        bool removed = false;
    };

    void loadPage(const std::string &after);
    void onPage(Result<NewestPage> page, Instant requestedAt);
    void removeMissingKeys();
    void onLoadFailure(const Error &error);
    void read();
    // `wait` is how long the log might hold the read.
    void onRead(Result<LogSlice> slice, Instant requestedAt, Duration wait);
    // Begins the refresh that was requested meanwhile, unless one or a load is in progress.
    void startNextRefresh();
    // Reads without waiting, concurrently with the read that the log may be holding.
    void readForRefresh();
    // Applies consecutive records from the read position or below it, and moves it behind them.
    void apply(const std::vector<KeyedRecord> &records);
    // Applies a record unless it lies before the read position.
    void applyUnread(const KeyedRecord &record);
    void applyIfNewer(const KeyedRecord &record);
    void runAfter(Duration delay, std::function<void()> action);
    void onFailure(const Error &error);
    void onAnswered();

    const Clock &m_clock;
    KeyedLog &m_log;
    LogFollowerOptions m_options;
    Callbacks m_callbacks;
    Timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
    std::map<std::string, KnownRecord> m_known; // the newest known record of each key
    std::set<std::string> m_loadedKeys;
    int64_t m_nextOffset = 0;
    Instant m_loadRequestedAt = Instant::min(); // when the first page of a load was requested
    int64_t m_loadEnd = -1; // end of the topic at the first page of a load; -1: no page yet
    bool m_loading = false;
    bool m_loaded = false; // the first load is complete
    Instant m_currentAsOf = Instant::min();
    Instant m_availableSince = Instant::max();
    bool m_everUnavailable = false;
    bool m_refreshing = false;
    std::vector<std::function<void(bool)>> m_refreshCallbacks; // of the refresh in progress
    std::vector<std::function<void(bool)>> m_nextRefreshCallbacks; // requested meanwhile
};

} // namespace cardamompaddle
