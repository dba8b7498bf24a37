// Polls one stream of the log for new records.
#pragma once

#include "base/time.h"
#include "platform/log.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamompaddle {

struct StreamFollowerOptions
{
    std::string stream;
    Duration idleInterval{250}; // between reads once the tail has been reached
    Duration eagerInterval{5}; // between reads while a writer waits to read its record back
    Duration failureInterval{500}; // after a failed read
    int pageSize = 500; // records per read
};

// Not thread-safe: control thread only.
class StreamFollower
{
public:
    using PageHandler = std::function<void(const LogPage &page, Instant now)>;

    // `client` must outlive the follower.
    StreamFollower(LogClient &client, StreamFollowerOptions options, PageHandler handler);

    // Starts a read at offset `next` if one is due. `eager` selects eagerInterval at the tail.
    void advance(uint64_t next, bool eager, Instant now);

    // Time at which the newest successful read was started; empty before the first.
    std::optional<Instant> lastSuccess() const { return m_state->lastSuccess; }
    // Failed reads since the last success.
    int failures() const { return m_state->failures; }
    bool up() const { return m_state->failures == 0 && m_state->lastSuccess.has_value(); }

private:
    // Shared with the callbacks, which may outlive the follower.
    struct State
    {
        PageHandler handler;
        bool reading = false;
        bool moreToRead = true; // the last page did not reach the tail
        int failures = 0;
        std::optional<Instant> lastSuccess;
        std::optional<Instant> lastReadFinishedAt;
    };

    Duration interval(bool eager) const;

    LogClient &m_client;
    StreamFollowerOptions m_options;
    std::shared_ptr<State> m_state;
};

} // namespace cardamompaddle
