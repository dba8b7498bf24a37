// The requests of a peer transport that are waiting for their responses.
#pragma once

#include "net/internal/frame_connection.h"
#include "peer/peer_message.h"
#include "platform/worker.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

namespace cardamompaddle {

// Tracks requests by id and runs the callback of each once, with its response or an error. Not
// thread-safe: all calls and callbacks happen on the thread that runs the io_context. Must be owned
// by a shared pointer.
class PeerRequests : public std::enable_shared_from_this<PeerRequests>
{
public:
    using Connection = std::shared_ptr<FrameConnection>;
    using AnswerDone = PeerTransport::AnswerDone;

    PeerRequests(boost::asio::io_context &io, const Clock &clock) : m_io(io), m_clock(clock) { }

    // Adds a request that the caller queues on `connection`. When `timeout` passes, the request
    // ends as OutcomeUnknown if it was sent and as Unavailable otherwise, and then `onTimeout`
    // runs. If `connection` is null, the request counts as sent but lost, and `onTimeout` does not
    // run.
    void add(uint64_t id, SeatId to, const Connection &connection, Duration timeout,
             AnswerDone done, std::function<void(const Connection &)> onTimeout);
    void markSent(uint64_t id);
    // Ends the request `id` with its response. Returns false if there is no such request to the
    // seat `from`.
    bool complete(uint64_t id, SeatId from, Result<PeerBody> result);
    // Ends all requests on a connection that failed: as OutcomeUnknown if they were sent and as
    // Unavailable otherwise.
    void failRequestsOn(const Connection &connection, const std::string &reason);
    // Drops all requests without running their callbacks.
    void clear() { m_entries.clear(); }

private:
    struct Entry
    {
        explicit Entry(boost::asio::io_context &io) : timer(io) { }
        SeatId to = -1;
        Connection connection;
        bool sent = false;
        AnswerDone done;
        boost::asio::steady_timer timer;
    };

    void expire(uint64_t id, const std::function<void(const Connection &)> &onTimeout);
    void finish(std::map<uint64_t, Entry>::iterator it, Result<PeerBody> result);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    std::map<uint64_t, Entry> m_entries;
};

} // namespace cardamompaddle
