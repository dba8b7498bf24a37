#include "net/http_server.h"

#include "net/internal/http_session.h"
#include "net/internal/listen.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace cardamompaddle {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

class HttpServer::Impl
{
public:
    // `externalIo` is an io_context that the owner runs on one thread. If it is null, the server
    // runs its own io_context on its own threads.
    Impl(asio::io_context *externalIo, HttpServerOptions options, HttpHandler handler)
        : m_threadCount(externalIo != nullptr ? 0 : std::max(1, options.threads)),
          m_ownIo(externalIo != nullptr ? nullptr : std::make_unique<asio::io_context>()),
          m_io(externalIo != nullptr ? *externalIo : *m_ownIo), m_acceptor(asio::make_strand(m_io)),
          m_acceptRetryTimer(m_acceptor.get_executor())
    {
        m_shared->options = std::move(options);
        m_shared->handler = std::move(handler);
    }

    ~Impl() { *m_alive = false; }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<void> listen();
    void run();
    void stopAccepting();
    void closeIdleConnections() { closeIdleHttpSessions(*m_shared); }
    void abandonRequests(const AbandonedResponse &responseTo)
    {
        abandonHttpRequests(*m_shared, responseTo);
    }
    void stop();
    uint16_t port() const { return m_port; }
    size_t openRequests() const { return m_shared->openRequests; }
    size_t openConnections() const
    {
        const std::lock_guard lock(m_shared->mutex);
        return m_shared->sessions.size();
    }

private:
    void accept();
    void onAccept(error_code ec, tcp::socket socket);
    void startSession(tcp::socket socket);
    // Accepts the connections in the system's backlog, then closes the listening socket.
    void closeListener();

    int m_threadCount;
    std::shared_ptr<HttpServerShared> m_shared = std::make_shared<HttpServerShared>();
    std::unique_ptr<asio::io_context> m_ownIo;
    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    uint16_t m_port = 0;
    std::vector<std::thread> m_threads;
    std::mutex m_stopMutex;
    bool m_stopped = false;
    // False: the server has stopped. An owner's event loop may still run its callbacks.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

Result<void> HttpServer::Impl::listen()
{
    const auto port = listenOn(m_acceptor, m_shared->options.address);
    if (!port)
        return port.error();
    m_port = *port;
    return {};
}

void HttpServer::Impl::run()
{
    asio::post(m_acceptor.get_executor(), [this, alive = m_alive] {
        if (*alive)
            accept();
    });
    for (int i = 0; i < m_threadCount; ++i)
        m_threads.emplace_back([this] { m_io.run(); });
}

void HttpServer::Impl::accept()
{
    m_acceptor.async_accept(
        asio::make_strand(m_io),
        asio::bind_executor(m_acceptor.get_executor(),
                            [this, alive = m_alive](error_code ec, tcp::socket socket) {
                                if (*alive)
                                    onAccept(ec, std::move(socket));
                            }));
}

void HttpServer::Impl::onAccept(error_code ec, tcp::socket socket)
{
    if (!ec)
        startSession(std::move(socket));
    if (!m_acceptor.is_open())
        return;
    if (!ec || ec == asio::error::connection_aborted)
        return accept();
    m_acceptRetryTimer.expires_after(AcceptRetryDelay);
    m_acceptRetryTimer.async_wait([this, alive = m_alive](error_code) {
        if (*alive && m_acceptor.is_open())
            accept();
    });
}

void HttpServer::Impl::startSession(tcp::socket socket)
{
    const size_t open = openConnections();
    const size_t limit = m_shared->options.maxConnections;
    // A connection that is rejected with a response stays open until the response is written. Above
    // twice the limit connections are closed without one.
    if (open < 2 * limit)
        startHttpSession(std::move(socket), m_shared, open >= limit);
}

void HttpServer::Impl::closeListener()
{
    m_shared->closing = true;
    error_code ec;
    m_acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(asio::make_strand(m_io));
        m_acceptor.accept(socket, ec);
        if (!ec)
            startSession(std::move(socket));
    }
    m_acceptor.close(ec);
}

void HttpServer::Impl::stopAccepting()
{
    const std::lock_guard lock(m_stopMutex);
    if (m_stopped)
        return;
    if (m_threadCount == 0) {
        if (m_acceptor.is_open())
            closeListener();
        return;
    }
    std::promise<void> closed;
    asio::post(m_acceptor.get_executor(), [this, &closed] {
        if (m_acceptor.is_open())
            closeListener();
        closed.set_value();
    });
    closed.get_future().wait();
}

void HttpServer::Impl::stop()
{
    const std::lock_guard lock(m_stopMutex);
    if (m_stopped)
        return;
    m_stopped = true;
    if (m_ownIo)
        m_io.stop();
    for (std::thread &thread : m_threads)
        thread.join();
    *m_alive = false;
    {
        const std::unique_lock responseLock(m_shared->responseMutex);
        m_shared->acceptsResponses = false;
    }
    closeHttpSessions(*m_shared);
    error_code ignored;
    m_acceptor.close(ignored);
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) { }

HttpServer::~HttpServer()
{
    stop();
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(HttpServerOptions options,
                                                       HttpHandler handler)
{
    return start(std::make_unique<Impl>(nullptr, std::move(options), std::move(handler)));
}

Result<std::unique_ptr<HttpServer>>
HttpServer::create(asio::io_context &io, HttpServerOptions options, HttpHandler handler)
{
    return start(std::make_unique<Impl>(&io, std::move(options), std::move(handler)));
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(std::unique_ptr<Impl> impl)
{
    if (const auto bound = impl->listen(); !bound)
        return bound.error();
    impl->run();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

uint16_t HttpServer::port() const
{
    return m_impl->port();
}

void HttpServer::stopAccepting()
{
    m_impl->stopAccepting();
}

void HttpServer::closeIdleConnections()
{
    m_impl->closeIdleConnections();
}

void HttpServer::abandonRequests(const AbandonedResponse &responseTo)
{
    m_impl->abandonRequests(responseTo);
}

size_t HttpServer::openRequests() const
{
    return m_impl->openRequests();
}

size_t HttpServer::openConnections() const
{
    return m_impl->openConnections();
}

void HttpServer::stop()
{
    m_impl->stop();
}

} // namespace cardamompaddle
