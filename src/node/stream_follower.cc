#include "node/stream_follower.h"

#include <utility>

namespace cardamompaddle {

StreamFollower::StreamFollower(LogClient &client, StreamFollowerOptions options,
                               PageHandler handler)
    : m_client(client), m_options(std::move(options)), m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
}

Duration StreamFollower::interval(bool eager) const
{
    if (m_state->failures > 0)
        return m_options.failureInterval;
    if (m_state->moreToRead)
        return Duration(0);
    return eager ? m_options.eagerInterval : m_options.idleInterval;
}

void StreamFollower::advance(uint64_t next, bool eager, Instant now)
{
    if (m_state->reading)
        return;
    if (m_state->lastReadFinishedAt && now - *m_state->lastReadFinishedAt < interval(eager))
        return;
    m_state->reading = true;
    const std::weak_ptr<State> weak = m_state;
    m_client.read(m_options.stream, next, m_options.pageSize,
                  [weak, startedAt = now](Result<LogPage> page, Instant endedAt) {
                      const auto state = weak.lock();
                      if (!state)
                          return;
                      state->reading = false;
                      state->lastReadFinishedAt = endedAt;
                      if (!page) {
                          ++state->failures;
                          return;
                      }
                      state->failures = 0;
                      state->lastSuccess = startedAt;
                      const bool reachedTail =
                          page->records.empty() || page->records.back().offset + 1 >= page->next;
                      state->moreToRead = !reachedTail;
                      state->handler(*page, endedAt);
                  });
}

} // namespace cardamompaddle
