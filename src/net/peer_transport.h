// A PeerTransport over TCP. On the wire, each frame of peer_codec.h follows its length, a 4-byte
// big-endian number. Each instance keeps one connection to every other seat for its own requests.
// The response to a request comes back on the same connection.
#pragma once

#include "base/result.h"
#include "peer/peer_message.h"
#include "platform/worker.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cardamompaddle {

struct PeerTransportOptions
{
    SeatId self = -1;
    std::vector<std::string> seats; // addresses (IP:PORT), indexed by seat
    // The IP:PORT to listen on; port 0 lets the system choose. If empty, the transport listens on
    // the address of `self`.
    std::string listen;
    size_t maxQueuedBytes = 32UL * 1024 * 1024; // per connection, of messages not yet sent
    Duration connectTimeout{1'000};
    Duration reconnectDelay{50}; // minimum time between two attempts to connect to a seat
};

// Counters since the transport was created.
struct PeerTransportStats
{
    uint64_t framesSent = 0;
    uint64_t framesReceived = 0;
    uint64_t bytesSent = 0;
    uint64_t bytesReceived = 0;
    uint64_t invalidFrames = 0; // could not be decoded; each closes its connection
    uint64_t lateResponses = 0; // arrived after the request's timeout and were dropped
    uint64_t connectAttempts = 0;
    uint64_t connectFailures = 0;
    uint64_t queueRejections = 0; // messages rejected because the queue was full
};

// Sends and receives peer messages. Not thread-safe: all calls and callbacks happen on the thread
// that runs the io_context. Heartbeats, cancel requests, quota requests and quota responses are
// sent before other queued messages.
class AsioPeerTransport : public PeerTransport
{
public:
    // Starts listening. `io` and `clock` must outlive the transport. Errors: InvalidArgument if an
    // address is malformed or `self` is not an index of `seats`, Unavailable if the address cannot
    // be bound.
    static Result<std::unique_ptr<AsioPeerTransport>>
    create(boost::asio::io_context &io, PeerTransportOptions options, const Clock &clock);
    // Closes all connections. Drops the callbacks of unfinished requests without running them.
    ~AsioPeerTransport() override;

    // `done` runs after this call has returned. Errors:
    // - Unavailable: `to` is not another seat, the queue is full, or the connection failed or the
    //   timeout passed before the request was sent.
    // - TooLarge: the message exceeds MaxPeerFrameBytes and was not sent.
    // - OutcomeUnknown: the request was sent, but the connection failed or the timeout passed
    //   before the response arrived.
    void request(SeatId to, PeerBody request, Duration timeout, AnswerDone done) override;
    // A request that arrives before a handler is set gets a Refusal with Unavailable. If a Respond
    // is destroyed without a call, the sender of the request gets no response and times out.
    void setHandler(RequestHandler handler) override;

    // Returns the port that the transport listens on.
    uint16_t port() const;
    // Replaces the address of a seat. An open connection to the seat is kept; the next one uses the
    // new address. Ignores a malformed address and the transport's own seat.
    void setSeatAddress(SeatId seat, const std::string &address);
    PeerTransportStats stats() const;

    // For tests: simulates a network partition by dropping all messages from (`in`) or to (`out`) a
    // seat. A dropped outgoing request counts as sent, so it ends as OutcomeUnknown.
    void setBlocked(SeatId seat, bool in, bool out);

private:
    class Impl;
    explicit AsioPeerTransport(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
