#include "net/internal/http_session.h"

#include "net/internal/http_message.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace cardamompaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t ReadChunkBytes = 16UL * 1024;
// Limit on pipelined input that is buffered while a request is handled. At the limit the server
// stops reading and can no longer detect that the client closed the connection.
constexpr size_t MaxReadAheadBytes = 64UL * 1024;
// How long input is discarded after the last response of a connection. Closing a connection with
// unread input resets it, and the client could lose the response.
constexpr Duration LingerTime{1'000};

} // namespace

// Serves one connection. All methods except respond() run on the strand of the socket.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(asio::ip::tcp::socket socket, std::shared_ptr<HttpServerShared> shared)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_shared(std::move(shared))
    { }

    // If `reject` is true, responds with status 503 instead of reading a request.
    void start(bool reject);
    // Writes the response to the request numbered `serial`, if that is still being handled.
    // Thread-safe. The caller must hold HttpServerShared::responseMutex.
    void respond(uint64_t serial, HttpResponse response);
    // Ends the connection if no request has arrived on it. Otherwise it ends after the response to
    // the last one that has. Thread-safe.
    void closeIfIdle();
    // Responds if a request is being handled. Thread-safe.
    void abandonRequest(const AbandonedResponse &responseTo);
    void close();

private:
    enum class Phase { Idle, Reading, Handling, Writing, Lingering, Closed };

    void nextRequest();
    void readSome();
    void onRead(error_code ec, size_t bytes);
    void readHeader();
    void onHeader(error_code ec);
    void readBody();
    // Responds to a request that could not be read, or closes the connection if it failed.
    void rejectRequest(error_code ec);
    void handle();
    HttpRespond makeRespond();
    void write(HttpResponse response);
    void onWritten(error_code ec);
    // Returns whether input has arrived that no request has consumed, read or not.
    bool hasInput();
    void endIdle();
    void linger();
    void armTimer(Duration wait);
    void disarmTimer();
    void onTimeout();
    // Keeps HttpServerShared::openRequests up to date. Repeated calls with the same value have no
    // further effect.
    void setRequestOpen(bool open);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::shared_ptr<HttpServerShared> m_shared;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    HttpResponseMessage m_response;
    std::shared_ptr<ClientConnectionStatus> m_clientStatus;
    std::string m_method; // of the current request
    Phase m_phase = Phase::Idle;
    uint64_t m_requestSerial = 0; // of the current request
    uint64_t m_timerSerial = 0; // a timer callback with an older serial is ignored
    bool m_reading = false; // an async_read_some is pending
    bool m_timedOut = false;
    bool m_endingIdle = false; // the pending read was cancelled to close an idle connection
    bool m_peerClosed = false;
    bool m_keepAlive = true;
    bool m_requestOpen = false;
};

void HttpSession::start(bool reject)
{
    asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), reject] {
        error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        if (!reject)
            return self->nextRequest();
        self->m_keepAlive = false;
        self->write(errorResponse({ErrorCode::Unavailable, "too many connections"}, Executed::No));
    });
}

void HttpSession::nextRequest()
{
    m_phase = Phase::Idle;
    if (m_peerClosed && m_buffer.size() == 0)
        return close();
    if (m_buffer.size() > 0 && !m_reading)
        return readHeader();
    if (m_buffer.size() > 0) {
        // A read started during the previous request is still pending. It is cancelled, and
        // onRead() continues with the next request.
        error_code ignored;
        m_socket.cancel(ignored);
        return;
    }
    armTimer(m_shared->options.idleTimeout);
    if (!m_reading)
        readSome();
    if (m_shared->closingIdle)
        endIdle();
}

void HttpSession::readSome()
{
    m_reading = true;
    m_socket.async_read_some(
        m_buffer.prepare(ReadChunkBytes),
        [self = shared_from_this()](error_code ec, size_t bytes) { self->onRead(ec, bytes); });
}

void HttpSession::onRead(error_code ec, size_t bytes)
{
    m_reading = false;
    if (m_phase == Phase::Closed)
        return;
    m_buffer.commit(bytes);
    const bool cancelled = ec == asio::error::operation_aborted;
    if (ec && !cancelled)
        m_peerClosed = true;
    if (m_phase == Phase::Idle) {
        const bool ending = std::exchange(m_endingIdle, false);
        if (m_buffer.size() > 0)
            return readHeader();
        if (!ending || !cancelled)
            return close();
        return hasInput() ? readSome() : linger();
    }
    if (m_phase == Phase::Lingering) {
        m_buffer.clear();
        return ec ? close() : readSome();
    }
    // A half-closed connection cannot be told from a closed one, so the response is still written.
    if (m_phase == Phase::Handling && m_peerClosed)
        return m_clientStatus->markClosed();
    if (m_phase == Phase::Handling && m_buffer.size() < MaxReadAheadBytes)
        readSome();
}

void HttpSession::readHeader()
{
    m_phase = Phase::Reading;
    m_timedOut = false;
    setRequestOpen(true);
    armTimer(m_shared->options.readTimeout);
    m_parser.emplace();
    m_parser->header_limit(static_cast<uint32_t>(m_shared->options.maxHeaderBytes));
    m_parser->body_limit(m_shared->options.maxBodyBytes);
    http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code ec, size_t) { self->onHeader(ec); });
}

void HttpSession::onHeader(error_code ec)
{
    if (m_phase == Phase::Closed)
        return;
    if (ec)
        return rejectRequest(ec);
    const bool expects = beast::iequals(m_parser->get()[http::field::expect], "100-continue");
    if (!expects || m_parser->is_done())
        return readBody();
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(Continue),
                      [self = shared_from_this()](error_code writeEc, size_t) {
                          if (self->m_phase != Phase::Closed)
                              writeEc ? self->rejectRequest(writeEc) : self->readBody();
                      });
}

void HttpSession::readBody()
{
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code ec, size_t) {
                         if (self->m_phase != Phase::Closed)
                             ec ? self->rejectRequest(ec) : self->handle();
                     });
}

void HttpSession::rejectRequest(error_code ec)
{
    std::optional<HttpResponse> rejection = rejectionOf(ec, m_timedOut);
    if (!rejection)
        return close();
    m_keepAlive = false;
    write(std::move(*rejection));
}

void HttpSession::handle()
{
    m_phase = Phase::Handling;
    disarmTimer();
    auto message = m_parser->release();
    m_parser.reset();
    m_keepAlive = message.keep_alive();
    m_method = std::string(message.method_string());
    ++m_requestSerial;
    m_clientStatus = std::make_shared<ClientConnectionStatus>();

    Result<HttpRequest> request = toHttpRequest(message);
    if (!request)
        return write(errorResponse(request.error(), Executed::No));
    request->clientStatus = m_clientStatus;
    if (!m_peerClosed && m_buffer.size() < MaxReadAheadBytes)
        readSome();
    m_shared->handler(std::move(*request), makeRespond());
}

HttpRespond HttpSession::makeRespond()
{
    // Shared by the copies of one HttpRespond. Its destructor responds on behalf of a handler that
    // destroyed all copies without a call.
    struct PendingResponse
    {
        std::weak_ptr<HttpSession> session;
        std::shared_ptr<HttpServerShared> shared;
        uint64_t serial = 0;
        std::atomic<bool> responded{false};

        void send(HttpResponse response)
        {
            if (responded.exchange(true))
                return;
            const std::shared_lock lock(shared->responseMutex);
            if (!shared->acceptsResponses)
                return;
            if (const auto target = session.lock())
                target->respond(serial, std::move(response));
        }
        ~PendingResponse()
        {
            send(errorResponse({ErrorCode::Internal, "the handler dropped the request"},
                               Executed::Unknown));
        }
    };
    auto pending = std::make_shared<PendingResponse>();
    pending->session = weak_from_this();
    pending->shared = m_shared;
    pending->serial = m_requestSerial;
    return [pending](HttpResponse response) { pending->send(std::move(response)); };
}

void HttpSession::respond(uint64_t serial, HttpResponse response)
{
    asio::post(m_socket.get_executor(),
               [weak = weak_from_this(), serial, response = std::move(response)]() mutable {
                   const auto self = weak.lock();
                   if (self && self->m_phase == Phase::Handling && self->m_requestSerial == serial)
                       self->write(std::move(response));
               });
}

void HttpSession::write(HttpResponse response)
{
    m_phase = Phase::Writing;
    if (m_clientStatus)
        m_clientStatus->markResponded();
    m_clientStatus.reset();
    if (response.status == 0)
        return close();
    // Requests that have arrived already are still handled.
    if ((m_shared->closing || m_peerClosed) && !hasInput())
        m_keepAlive = false;
    m_response = toMessage(std::move(response), m_keepAlive, m_method == "HEAD");
    armTimer(m_shared->options.writeTimeout);
    http::async_write(m_socket, m_response,
                      [self = shared_from_this()](error_code ec, size_t) { self->onWritten(ec); });
}

void HttpSession::onWritten(error_code ec)
{
    if (m_phase == Phase::Closed)
        return;
    setRequestOpen(false);
    m_response = {};
    m_method.clear();
    if (ec)
        return close();
    m_keepAlive ? nextRequest() : linger();
}

bool HttpSession::hasInput()
{
    error_code ec;
    return m_buffer.size() > 0 || (!m_peerClosed && m_socket.available(ec) > 0 && !ec);
}

void HttpSession::closeIfIdle()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Idle)
            self->endIdle();
    });
}

// The decision is left to onRead(): only without a pending read no request can be read unnoticed.
void HttpSession::endIdle()
{
    m_endingIdle = true;
    error_code ignored;
    m_socket.cancel(ignored);
}

void HttpSession::abandonRequest(const AbandonedResponse &responseTo)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), responseTo] {
        if (self->m_phase == Phase::Handling)
            self->write(responseTo(self->m_method));
    });
}

void HttpSession::linger()
{
    m_phase = Phase::Lingering;
    error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec || m_peerClosed)
        return close();
    armTimer(LingerTime);
    if (!m_reading) {
        m_buffer.clear();
        readSome();
    }
}

void HttpSession::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    setRequestOpen(false);
    disarmTimer();
    error_code ignored;
    m_socket.close(ignored);
    const std::lock_guard lock(m_shared->mutex);
    m_shared->sessions.erase(shared_from_this());
}

void HttpSession::armTimer(Duration wait)
{
    const uint64_t serial = ++m_timerSerial;
    m_timer.expires_after(wait);
    m_timer.async_wait([self = shared_from_this(), serial](error_code ec) {
        if (!ec && serial == self->m_timerSerial)
            self->onTimeout();
    });
}

void HttpSession::disarmTimer()
{
    ++m_timerSerial;
    m_timer.cancel();
}

void HttpSession::onTimeout()
{
    if (m_phase == Phase::Idle)
        return endIdle();
    if (m_phase != Phase::Reading)
        return close();
    m_timedOut = true;
    error_code ignored;
    m_socket.cancel(ignored);
}

void HttpSession::setRequestOpen(bool open)
{
    if (open == m_requestOpen)
        return;
    m_requestOpen = open;
    open ? ++m_shared->openRequests : --m_shared->openRequests;
}

void startHttpSession(asio::ip::tcp::socket socket, const std::shared_ptr<HttpServerShared> &shared,
                      bool reject)
{
    auto session = std::make_shared<HttpSession>(std::move(socket), shared);
    {
        const std::lock_guard lock(shared->mutex);
        shared->sessions.insert(session);
    }
    session->start(reject);
}

namespace {

std::vector<std::shared_ptr<HttpSession>> openHttpSessions(HttpServerShared &shared)
{
    const std::lock_guard lock(shared.mutex);
    return {shared.sessions.begin(), shared.sessions.end()};
}

} // namespace

void closeIdleHttpSessions(HttpServerShared &shared)
{
    shared.closingIdle = true;
    for (const auto &session : openHttpSessions(shared))
        session->closeIfIdle();
}

void abandonHttpRequests(HttpServerShared &shared, const AbandonedResponse &responseTo)
{
    for (const auto &session : openHttpSessions(shared))
        session->abandonRequest(responseTo);
}

void closeHttpSessions(HttpServerShared &shared)
{
    std::unordered_set<std::shared_ptr<HttpSession>> sessions;
    {
        const std::lock_guard lock(shared.mutex);
        sessions.swap(shared.sessions);
    }
    // Pending operations also own the sessions, so releasing the pointers would not close them.
    for (const auto &session : sessions)
        session->close();
}

} // namespace cardamompaddle
