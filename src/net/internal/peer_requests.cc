#include "net/internal/peer_requests.h"

#include <utility>
#include <vector>

namespace cardamompaddle {

using boost::system::error_code;

void PeerRequests::add(uint64_t id, SeatId to, const Connection &connection, Duration timeout,
                       AnswerDone done, std::function<void(const Connection &)> onTimeout)
{
    Entry &entry = m_entries.try_emplace(id, m_io).first->second;
    entry.to = to;
    entry.connection = connection;
    entry.sent = !connection;
    entry.done = std::move(done);
    entry.timer.expires_after(timeout);
    // If the timer has already expired, its handler still runs after the entry or this object has
    // been destroyed. The handler therefore looks both up again.
    entry.timer.async_wait(
        [weak = weak_from_this(), id, onTimeout = std::move(onTimeout)](error_code ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->expire(id, onTimeout);
        });
}

void PeerRequests::markSent(uint64_t id)
{
    if (const auto it = m_entries.find(id); it != m_entries.end())
        it->second.sent = true;
}

bool PeerRequests::complete(uint64_t id, SeatId from, Result<PeerBody> result)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || it->second.to != from)
        return false;
    finish(it, std::move(result));
    return true;
}

void PeerRequests::failRequestsOn(const Connection &connection, const std::string &reason)
{
    std::vector<uint64_t> affected;
    for (const auto &[id, entry] : m_entries) {
        if (entry.connection == connection)
            affected.push_back(id);
    }
    for (const uint64_t id : affected) {
        const auto it = m_entries.find(id);
        if (it == m_entries.end())
            continue;
        const ErrorCode code = it->second.sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable;
        finish(it, Error{code, reason});
    }
}

void PeerRequests::expire(uint64_t id, const std::function<void(const Connection &)> &onTimeout)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    const Connection connection = it->second.connection;
    if (it->second.sent) {
        finish(it, Error{ErrorCode::OutcomeUnknown, "no response before the timeout"});
    } else {
        connection->removeQueued(id);
        finish(it, Error{ErrorCode::Unavailable, "timed out before the request was sent"});
    }
    if (connection)
        onTimeout(connection);
}

void PeerRequests::finish(std::map<uint64_t, Entry>::iterator it, Result<PeerBody> result)
{
    const AnswerDone done = std::move(it->second.done);
    m_entries.erase(it);
    done(std::move(result), m_clock.now());
}

} // namespace cardamompaddle
