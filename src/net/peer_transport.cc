#include "net/peer_transport.h"

#include "net/internal/frame_connection.h"
#include "net/internal/listen.h"
#include "net/internal/peer_requests.h"
#include "net/peer_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <optional>
#include <set>
#include <utility>

namespace cardamompaddle {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// After a network partition, TCP retransmits with growing backoff, so a connection can stay silent
// long after the network has recovered. If a request times out on a connection that has received
// nothing for this long, the connection is closed and the next request opens a new one. Longer than
// the quorum window (2 s), so that a short pause of the peer loses no requests.
constexpr Duration MaxReceiveSilence{3'000};

// Returns true if the message is sent before other queued messages.
bool isUrgent(const PeerBody &body)
{
    return std::holds_alternative<HeartbeatMessage>(body)
           || std::holds_alternative<CancelRequest>(body)
           || std::holds_alternative<QuotaRequest>(body)
           || std::holds_alternative<QuotaResponse>(body);
}

} // namespace

class AsioPeerTransport::Impl : public std::enable_shared_from_this<AsioPeerTransport::Impl>
{
public:
    Impl(asio::io_context &io, PeerTransportOptions options, const Clock &clock)
        : m_io(io), m_options(std::move(options)), m_clock(clock), m_acceptor(io),
          m_acceptRetryTimer(io), m_requests(std::make_shared<PeerRequests>(io, clock))
    { }

    Result<void> listen();
    void accept();
    void request(SeatId to, PeerBody body, Duration timeout, AnswerDone done);
    void setHandler(RequestHandler handler) { m_handler = std::move(handler); }
    uint16_t port() const { return m_port; }
    void setSeatAddress(SeatId seat, const std::string &address);
    const PeerTransportStats &stats() const { return m_stats; }
    void setBlocked(SeatId seat, bool in, bool out);
    void close();

private:
    using Connection = std::shared_ptr<FrameConnection>;

    struct Link
    {
        tcp::endpoint endpoint;
        Connection connection; // carries requests of this instance to the seat
        std::chrono::steady_clock::time_point lastAttempt;
        bool blockedIn = false;
        bool blockedOut = false;
    };

    void scheduleAcceptRetry();
    // Runs `done` with `error` from the event loop.
    void postError(AnswerDone done, Error error);
    // Returns the connection to the seat; starts a new one if there is none or it is closed.
    Connection connectionTo(SeatId seat);
    FrameConnection::Callbacks outgoingCallbacks(SeatId seat, const Connection &connection);
    FrameConnection::Callbacks incomingCallbacks(const Connection &connection);
    // Closes the connection of a request that timed out if it has received nothing for
    // MaxReceiveSilence.
    void onTimeout(const Connection &connection);
    void onLinkClosed(const Connection &connection, const std::string &reason);
    // Both return false if the frame is invalid, which closes the connection.
    bool onResponse(SeatId seat, std::string_view frame);
    bool onRequest(const Connection &connection, std::string_view frame);
    void sendResponse(const std::weak_ptr<FrameConnection> &connection, SeatId to, uint64_t id,
                      const PeerBody &body);
    void countSent(size_t bytes);
    std::optional<PeerEnvelope> decode(std::string_view frame);
    bool isOtherSeat(SeatId seat) const;

    asio::io_context &m_io;
    PeerTransportOptions m_options;
    const Clock &m_clock;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    uint16_t m_port = 0;
    std::vector<Link> m_links; // indexed by seat
    std::set<Connection> m_incoming; // connections that other instances opened
    std::shared_ptr<PeerRequests> m_requests;
    uint64_t m_lastId = 0;
    RequestHandler m_handler;
    PeerTransportStats m_stats;
    bool m_closed = false;
};

Result<void> AsioPeerTransport::Impl::listen()
{
    const auto self = static_cast<size_t>(m_options.self);
    if (m_options.self < 0 || self >= m_options.seats.size())
        return Error{ErrorCode::InvalidArgument,
                     "the instance's own seat is not in the list of seats"};
    for (const std::string &address : m_options.seats) {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            return endpoint.error();
        m_links.emplace_back().endpoint = *endpoint;
    }
    const std::string &address =
        m_options.listen.empty() ? m_options.seats[self] : m_options.listen;
    const auto port = listenOn(m_acceptor, address);
    if (!port)
        return port.error();
    m_port = *port;
    return {};
}

void AsioPeerTransport::Impl::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (self->m_closed)
            return;
        if (ec)
            return self->scheduleAcceptRetry();
        const auto connection = std::make_shared<FrameConnection>(std::move(socket));
        self->m_incoming.insert(connection);
        connection->startAccepted(self->incomingCallbacks(connection));
        self->accept();
    });
}

void AsioPeerTransport::Impl::scheduleAcceptRetry()
{
    m_acceptRetryTimer.expires_after(AcceptRetryDelay);
    m_acceptRetryTimer.async_wait([self = shared_from_this()](error_code) {
        if (!self->m_closed)
            self->accept();
    });
}

void AsioPeerTransport::Impl::request(SeatId to, PeerBody body, Duration timeout, AnswerDone done)
{
    if (!isOtherSeat(to))
        return postError(std::move(done), {ErrorCode::Unavailable,
                                           "the destination is not the seat of another instance"});
    const uint64_t id = ++m_lastId;
    const bool urgent = isUrgent(body);
    const auto frame = encodePeer({m_options.self, id, 0, std::move(body)});
    if (!frame)
        return postError(std::move(done), frame.error());
    const bool blocked = m_links[to].blockedOut;
    const Connection connection = blocked ? nullptr : connectionTo(to);
    if (connection && connection->queuedBytes() + frame->size() > m_options.maxQueuedBytes) {
        ++m_stats.queueRejections;
        return postError(std::move(done), {ErrorCode::Unavailable, "the send queue is full"});
    }
    m_requests->add(id, to, connection, timeout, std::move(done),
                    [weak = weak_from_this()](const Connection &stalled) {
                        if (const auto self = weak.lock())
                            self->onTimeout(stalled);
                    });
    if (connection)
        connection->send(id, *frame, urgent);
}

void AsioPeerTransport::Impl::postError(AnswerDone done, Error error)
{
    asio::post(m_io, [self = shared_from_this(), done = std::move(done), error = std::move(error)] {
        if (!self->m_closed)
            done(error, self->m_clock.now());
    });
}

AsioPeerTransport::Impl::Connection AsioPeerTransport::Impl::connectionTo(SeatId seat)
{
    Link &link = m_links[seat];
    if (link.connection && !link.connection->isClosed())
        return link.connection;
    const auto now = std::chrono::steady_clock::now();
    const auto earliest = link.lastAttempt + m_options.reconnectDelay;
    const auto delay = earliest > now ? std::chrono::ceil<Duration>(earliest - now) : Duration(0);
    link.lastAttempt = now + delay;
    link.connection = std::make_shared<FrameConnection>(m_io);
    ++m_stats.connectAttempts;
    link.connection->connect(link.endpoint, delay, m_options.connectTimeout,
                             outgoingCallbacks(seat, link.connection));
    return link.connection;
}

FrameConnection::Callbacks AsioPeerTransport::Impl::outgoingCallbacks(SeatId seat,
                                                                      const Connection &connection)
{
    const auto weak = weak_from_this();
    const std::weak_ptr<FrameConnection> weakConnection = connection;
    FrameConnection::Callbacks callbacks;
    callbacks.onFrame = [weak, seat](std::string_view frame) {
        const auto self = weak.lock();
        return self && self->onResponse(seat, frame);
    };
    callbacks.onSent = [weak](uint64_t id, size_t bytes) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->countSent(bytes);
        self->m_requests->markSent(id);
    };
    callbacks.onClosed = [weak, weakConnection](const std::string &reason) {
        const auto self = weak.lock();
        const auto closed = weakConnection.lock();
        if (self && closed)
            self->onLinkClosed(closed, reason);
    };
    return callbacks;
}

FrameConnection::Callbacks AsioPeerTransport::Impl::incomingCallbacks(const Connection &connection)
{
    const auto weak = weak_from_this();
    const std::weak_ptr<FrameConnection> weakConnection = connection;
    FrameConnection::Callbacks callbacks;
    callbacks.onFrame = [weak, weakConnection](std::string_view frame) {
        const auto self = weak.lock();
        const auto source = weakConnection.lock();
        return self && source && self->onRequest(source, frame);
    };
    callbacks.onSent = [weak](uint64_t, size_t bytes) {
        if (const auto self = weak.lock())
            self->countSent(bytes);
    };
    callbacks.onClosed = [weak, weakConnection](const std::string &) {
        if (const auto self = weak.lock())
            self->m_incoming.erase(weakConnection.lock());
    };
    return callbacks;
}

void AsioPeerTransport::Impl::onTimeout(const Connection &connection)
{
    if (!connection->isOpen() || connection->timeSinceReceive() < MaxReceiveSilence)
        return;
    connection->close();
    onLinkClosed(connection, "the connection received nothing for too long");
}

void AsioPeerTransport::Impl::onLinkClosed(const Connection &connection, const std::string &reason)
{
    if (!connection->wasOpen())
        ++m_stats.connectFailures;
    m_requests->failRequestsOn(connection, reason);
}

bool AsioPeerTransport::Impl::onResponse(SeatId seat, std::string_view frame)
{
    auto envelope = decode(frame);
    if (!envelope || envelope->from != seat || envelope->answerTo == 0)
        return false;
    if (m_links[seat].blockedIn)
        return true;
    if (!m_requests->complete(envelope->answerTo, seat, std::move(envelope->body)))
        ++m_stats.lateResponses;
    return true;
}

bool AsioPeerTransport::Impl::onRequest(const Connection &connection, std::string_view frame)
{
    auto envelope = decode(frame);
    if (!envelope || !isOtherSeat(envelope->from) || envelope->answerTo != 0)
        return false;
    const SeatId from = envelope->from;
    if (m_links[from].blockedIn)
        return true;
    Respond respond = [weak = weak_from_this(), source = std::weak_ptr<FrameConnection>(connection),
                       from, id = envelope->id](const PeerBody &body) {
        if (const auto self = weak.lock())
            self->sendResponse(source, from, id, body);
    };
    if (m_handler)
        m_handler(from, std::move(envelope->body), std::move(respond), m_clock.now());
    else
        respond(Refusal{{ErrorCode::Unavailable, "the instance is still starting"}});
    return true;
}

void AsioPeerTransport::Impl::sendResponse(const std::weak_ptr<FrameConnection> &connection,
                                           SeatId to, uint64_t id, const PeerBody &body)
{
    const auto target = connection.lock();
    if (!target || target->isClosed() || m_links[to].blockedOut || m_closed)
        return;
    const bool urgent = isUrgent(body);
    const uint64_t responseId = ++m_lastId;
    const auto frame = encodePeer({m_options.self, responseId, id, body});
    if (frame && target->queuedBytes() + frame->size() <= m_options.maxQueuedBytes)
        target->send(responseId, *frame, urgent);
    else
        ++m_stats.queueRejections; // the request times out at its sender as OutcomeUnknown
}

void AsioPeerTransport::Impl::countSent(size_t bytes)
{
    ++m_stats.framesSent;
    m_stats.bytesSent += bytes;
}

std::optional<PeerEnvelope> AsioPeerTransport::Impl::decode(std::string_view frame)
{
    ++m_stats.framesReceived;
    m_stats.bytesReceived += frame.size();
    auto envelope = decodePeer(frame);
    if (envelope)
        return std::move(*envelope);
    ++m_stats.invalidFrames;
    return std::nullopt;
}

bool AsioPeerTransport::Impl::isOtherSeat(SeatId seat) const
{
    return seat >= 0 && static_cast<size_t>(seat) < m_links.size() && seat != m_options.self;
}

void AsioPeerTransport::Impl::setSeatAddress(SeatId seat, const std::string &address)
{
    if (const auto endpoint = parseEndpoint(address); endpoint && isOtherSeat(seat))
        m_links[seat].endpoint = *endpoint;
}

void AsioPeerTransport::Impl::setBlocked(SeatId seat, bool in, bool out)
{
    if (!isOtherSeat(seat))
        return;
    m_links[seat].blockedIn = in;
    m_links[seat].blockedOut = out;
}

void AsioPeerTransport::Impl::close()
{
    m_closed = true;
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
    for (const Link &link : m_links) {
        if (link.connection)
            link.connection->close();
    }
    for (const Connection &connection : m_incoming)
        connection->close();
    m_incoming.clear();
    m_requests->clear();
    m_handler = nullptr;
}

AsioPeerTransport::AsioPeerTransport(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) { }

AsioPeerTransport::~AsioPeerTransport()
{
    m_impl->close();
}

Result<std::unique_ptr<AsioPeerTransport>>
AsioPeerTransport::create(asio::io_context &io, PeerTransportOptions options, const Clock &clock)
{
    auto impl = std::make_shared<Impl>(io, std::move(options), clock);
    if (const auto listening = impl->listen(); !listening)
        return listening.error();
    impl->accept();
    return std::unique_ptr<AsioPeerTransport>(new AsioPeerTransport(std::move(impl)));
}

void AsioPeerTransport::request(SeatId to, PeerBody request, Duration timeout, AnswerDone done)
{
    m_impl->request(to, std::move(request), timeout, std::move(done));
}

void AsioPeerTransport::setHandler(RequestHandler handler)
{
    m_impl->setHandler(std::move(handler));
}

uint16_t AsioPeerTransport::port() const
{
    return m_impl->port();
}

void AsioPeerTransport::setSeatAddress(SeatId seat, const std::string &address)
{
    m_impl->setSeatAddress(seat, address);
}

PeerTransportStats AsioPeerTransport::stats() const
{
    return m_impl->stats();
}

void AsioPeerTransport::setBlocked(SeatId seat, bool in, bool out)
{
    m_impl->setBlocked(seat, in, out);
}

} // namespace cardamompaddle
