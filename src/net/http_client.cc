#include "net/http_client.h"

#include "net/internal/listen.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <deque>
#include <optional>
#include <unordered_set>
#include <utility>

namespace cardamompaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

constexpr size_t MaxResponseHeaderBytes = 16UL * 1024;
constexpr Duration ExpiryCheckInterval{1'000};

// Returns true if the server has neither closed the idle connection nor sent data on it.
bool isReusable(tcp::socket &socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class Call;

} // namespace

bool isHostAddress(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint || endpoint->port() == 0)
        return false;
    const asio::ip::address ip = endpoint->address();
    const bool broadcast = ip == asio::ip::address_v4::broadcast();
    return !ip.is_unspecified() && !ip.is_multicast() && !broadcast;
}

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    Impl(asio::io_context &context, HttpClientOptions clientOptions)
        : io(context), options(clientOptions)
    { }

    // Returns the most recently used connection to `address` that is usable, if any.
    std::optional<tcp::socket> takeFromPool(const std::string &address);
    void returnToPool(const std::string &address, tcp::socket socket);
    // Closes the idle connections to `address` that were returned to the pool at `time` or before.
    void closeIdleSince(const std::string &address, SteadyTime time);
    // Closes the connections that have been idle for longer than the idle timeout. Does nothing if
    // the last check was less than ExpiryCheckInterval ago.
    void closeExpired();
    void closeAll();

    struct IdleConnection
    {
        tcp::socket socket;
        SteadyTime idleSince;
    };

    asio::io_context &io;
    HttpClientOptions options;
    std::map<std::string, std::deque<IdleConnection>> idle; // by address, least recently used first
    std::unordered_set<std::shared_ptr<Call>> activeCalls;
    SteadyTime lastExpiryCheck;
};

namespace {

// One request, from connecting to the end of its response.
class Call : public std::enable_shared_from_this<Call>
{
public:
    Call(HttpClient::Impl &client, std::string address, HttpClient::Done done)
        : m_client(client.weak_from_this()), m_address(std::move(address)), m_done(std::move(done)),
          m_socket(client.io), m_timer(client.io)
    {
        m_parser.body_limit(client.options.maxBodyBytes);
        m_parser.header_limit(MaxResponseHeaderBytes);
    }

    http::request<http::string_body> &message() { return m_message; }
    void start(HttpClient::Impl &client, Duration timeout);
    // Closes the connection and ends the call without running its callback.
    void abandon();

private:
    void connect(const tcp::endpoint &endpoint, Duration connectTimeout);
    void send();
    void receive();
    void onHeader(error_code ec);
    void onBody(error_code ec);
    void fail(const std::string &what);
    void onTimeout();
    void finish(Result<HttpResponse> result);
    void armTimer(SteadyTime until);

    std::weak_ptr<HttpClient::Impl> m_client;
    std::string m_address;
    HttpClient::Done m_done;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_message;
    http::response_parser<http::string_body> m_parser;
    SteadyTime m_startedAt;
    SteadyTime m_deadline;
    bool m_sent = false;
    bool m_finished = false;
};

void Call::start(HttpClient::Impl &client, Duration timeout)
{
    m_startedAt = std::chrono::steady_clock::now();
    m_deadline = m_startedAt + timeout;
    const auto endpoint = parseEndpoint(m_address);
    if (!endpoint) {
        asio::post(client.io,
                   [self = shared_from_this(), error = endpoint.error()] { self->finish(error); });
        return;
    }
    m_message.set(http::field::host, m_address);
    m_message.prepare_payload();
    if (m_message.method() == http::verb::head)
        m_parser.skip(true);
    if (auto idle = client.takeFromPool(m_address)) {
        m_socket = std::move(*idle);
        send();
    } else {
        connect(*endpoint, client.options.connectTimeout);
    }
}

void Call::connect(const tcp::endpoint &endpoint, Duration connectTimeout)
{
    armTimer(std::min(m_deadline, std::chrono::steady_clock::now() + connectTimeout));
    m_socket.async_connect(endpoint, [self = shared_from_this()](error_code ec) {
        if (self->m_finished)
            return;
        if (ec)
            return self->fail("cannot connect: " + ec.message());
        self->m_socket.set_option(tcp::no_delay(true), ec);
        self->send();
    });
}

void Call::send()
{
    m_sent = true;
    armTimer(m_deadline);
    http::async_write(m_socket, m_message, [self = shared_from_this()](error_code ec, size_t) {
        if (self->m_finished)
            return;
        // A server may respond and close before it has read the whole request. That response is
        // still read.
        if (ec && ec != asio::error::connection_reset && ec != asio::error::broken_pipe)
            return self->fail("cannot send: " + ec.message());
        self->receive();
    });
}

void Call::receive()
{
    http::async_read_header(
        m_socket, m_buffer, m_parser,
        [self = shared_from_this()](error_code ec, size_t) { self->onHeader(ec); });
}

void Call::onHeader(error_code ec)
{
    if (m_finished)
        return;
    if (ec)
        return fail("no response: " + ec.message());
    // A response that ends with the connection is rejected because a truncated body would look
    // complete. need_eof() is no test for this: it is also true for a response of known length with
    // "Connection: close".
    if (!m_parser.is_done() && !m_parser.content_length() && !m_parser.chunked())
        return fail("the response has no length");
    http::async_read(
        m_socket, m_buffer, m_parser,
        [self = shared_from_this()](error_code bodyEc, size_t) { self->onBody(bodyEc); });
}

void Call::onBody(error_code ec)
{
    if (m_finished)
        return;
    if (ec)
        return fail("the response is truncated: " + ec.message());
    const auto client = m_client.lock();
    const bool reusable = m_parser.get().keep_alive() && m_buffer.size() == 0;
    if (client && reusable)
        client->returnToPool(m_address, std::move(m_socket));
    auto message = m_parser.release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    response.contentType = std::string(message[http::field::content_type]);
    response.body = std::move(message.body());
    finish(std::move(response));
}

void Call::fail(const std::string &what)
{
    finish(Error{m_sent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                 m_address + ": " + what});
}

void Call::onTimeout()
{
    if (m_finished)
        return;
    // What silenced this connection, such as a lost link, probably silenced its neighbours as well.
    if (const auto client = m_client.lock())
        client->closeIdleSince(m_address, m_startedAt);
    fail("timed out");
}

void Call::finish(Result<HttpResponse> result)
{
    if (m_finished)
        return;
    const auto self = shared_from_this();
    const auto done = std::move(m_done);
    abandon();
    if (const auto client = m_client.lock()) {
        client->activeCalls.erase(self);
        done(std::move(result), m_sent);
    }
}

void Call::abandon()
{
    m_finished = true;
    m_done = nullptr;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

void Call::armTimer(SteadyTime until)
{
    m_timer.expires_at(until);
    m_timer.async_wait([self = shared_from_this(), until](error_code ec) {
        // A wait that completed just before the timer was set again is stale.
        if (!ec && self->m_timer.expiry() == until)
            self->onTimeout();
    });
}

} // namespace

std::optional<tcp::socket> HttpClient::Impl::takeFromPool(const std::string &address)
{
    closeExpired();
    const auto it = idle.find(address);
    if (it == idle.end())
        return std::nullopt;
    const SteadyTime earliestUsable = std::chrono::steady_clock::now() - options.idleTimeout;
    std::optional<tcp::socket> found;
    while (!found && !it->second.empty()) {
        IdleConnection &newest = it->second.back();
        if (newest.idleSince >= earliestUsable && isReusable(newest.socket))
            found = std::move(newest.socket);
        it->second.pop_back();
    }
    if (it->second.empty())
        idle.erase(it);
    return found;
}

void HttpClient::Impl::returnToPool(const std::string &address, tcp::socket socket)
{
    auto &sockets = idle[address];
    if (sockets.size() >= options.maxIdlePerAddress)
        sockets.pop_front();
    sockets.push_back({std::move(socket), std::chrono::steady_clock::now()});
}

void HttpClient::Impl::closeIdleSince(const std::string &address, SteadyTime time)
{
    const auto it = idle.find(address);
    if (it == idle.end())
        return;
    auto &sockets = it->second;
    while (!sockets.empty() && sockets.front().idleSince <= time)
        sockets.pop_front();
    if (sockets.empty())
        idle.erase(it);
}

void HttpClient::Impl::closeExpired()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now - lastExpiryCheck < ExpiryCheckInterval)
        return;
    lastExpiryCheck = now;
    for (auto it = idle.begin(); it != idle.end();) {
        auto &sockets = it->second;
        while (!sockets.empty() && now - sockets.front().idleSince > options.idleTimeout)
            sockets.pop_front();
        it = sockets.empty() ? idle.erase(it) : std::next(it);
    }
}

void HttpClient::Impl::closeAll()
{
    idle.clear();
    const auto unfinished = std::exchange(activeCalls, {});
    for (const auto &call : unfinished)
        call->abandon();
}

HttpClient::HttpClient(asio::io_context &io, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(io, options))
{ }

HttpClient::~HttpClient()
{
    m_impl->closeAll();
}

void HttpClient::request(const std::string &address, const std::string &method,
                         const std::string &target, std::string body, Duration timeout, Done done,
                         const std::map<std::string, std::string> &headers)
{
    auto call = std::make_shared<Call>(*m_impl, address, std::move(done));
    auto &message = call->message();
    message.version(11);
    message.method_string(method);
    message.target(target);
    for (const auto &[name, value] : headers)
        message.set(name, value);
    message.body() = std::move(body);
    m_impl->activeCalls.insert(call);
    call->start(*m_impl, timeout);
}

void HttpClient::closeIdleConnections(const std::string &address)
{
    m_impl->closeIdleSince(address, std::chrono::steady_clock::now());
}

size_t HttpClient::idleConnections() const
{
    size_t count = 0;
    for (const auto &[address, sockets] : m_impl->idle)
        count += sockets.size();
    return count;
}

} // namespace cardamompaddle
