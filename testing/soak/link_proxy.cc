#include "link_proxy.h"

#include "net/http_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace cardamompaddle::soak {

namespace asio = boost::asio;
using asio::use_awaitable;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t ChunkBytes = 16UL * 1024;
constexpr Duration HeldBackCheckInterval{5};

} // namespace

std::string_view linkStateName(LinkState state)
{
    static constexpr std::array<std::string_view, 4> Names = {"open", "silent", "no_requests",
                                                              "no_responses"};
    return Names[static_cast<size_t>(state)];
}

// One client's connection and the one to the server. Used by the coroutines that copy bytes.
class LinkProxy::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(LinkProxy &proxy, tcp::socket client)
        : m_proxy(&proxy), m_client(std::move(client)), m_server(proxy.m_io)
    { }

    void start()
    {
        spawn([self = shared_from_this()] { return self->connect(); });
    }
    void silence() { m_silenced = true; }
    void reset()
    {
        boost::system::error_code ec;
        for (tcp::socket *it : {&m_client, &m_server}) {
            it->set_option(asio::socket_base::linger(true, 0), ec);
            it->close(ec);
        }
        m_proxy = nullptr;
    }

private:
    template <typename F>
    void spawn(F function)
    {
        asio::co_spawn(m_client.get_executor(), std::move(function), asio::detached);
    }
    asio::awaitable<void> connect()
    {
        HostPort target;
        parseHostPort(m_proxy->m_target, target);
        boost::system::error_code ec;
        co_await m_server.async_connect({asio::ip::make_address(target.host), target.port},
                                        asio::redirect_error(use_awaitable, ec));
        if (ec)
            co_return close();
        m_client.set_option(tcp::no_delay(true), ec);
        m_server.set_option(tcp::no_delay(true), ec);
        spawn([self = shared_from_this()] {
            return self->copy(self->m_client, self->m_server, true);
        });
        spawn([self = shared_from_this()] {
            return self->copy(self->m_server, self->m_client, false);
        });
    }
    asio::awaitable<void> copy(tcp::socket &from, tcp::socket &to, bool toServer)
    {
        std::array<char, ChunkBytes> chunk{};
        asio::steady_timer timer(from.get_executor());
        boost::system::error_code ec;
        while (m_proxy != nullptr) {
            const size_t bytes = co_await from.async_read_some(
                asio::buffer(chunk), asio::redirect_error(use_awaitable, ec));
            // An end passes like bytes, so a silent link hides it.
            while (m_proxy != nullptr && (m_silenced || !m_proxy->passes(toServer))) {
                timer.expires_after(HeldBackCheckInterval);
                co_await timer.async_wait(use_awaitable);
            }
            if (ec || m_proxy == nullptr)
                break;
            if (m_proxy->m_delay > Duration::zero()) {
                timer.expires_after(m_proxy->m_delay);
                co_await timer.async_wait(use_awaitable);
            }
            co_await asio::async_write(to, asio::buffer(chunk.data(), bytes),
                                       asio::redirect_error(use_awaitable, ec));
            if (ec)
                break;
        }
        close();
    }
    void close()
    {
        boost::system::error_code ec;
        m_client.close(ec);
        m_server.close(ec);
        if (LinkProxy *proxy = std::exchange(m_proxy, nullptr))
            proxy->m_connections.erase(shared_from_this());
    }

    LinkProxy *m_proxy; // null once the connection has ended
    tcp::socket m_client;
    tcp::socket m_server;
    bool m_silenced = false;
};

LinkProxy::LinkProxy(asio::io_context &io, std::string target)
    : m_io(io), m_target(std::move(target)), m_acceptor(io)
{ }

LinkProxy::~LinkProxy()
{
    *m_alive = false;
    reset();
}

Result<std::unique_ptr<LinkProxy>> LinkProxy::create(asio::io_context &io,
                                                     const std::string &target)
{
    std::unique_ptr<LinkProxy> out(new LinkProxy(io, target));
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    boost::system::error_code ec;
    out->m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        out->m_acceptor.bind(endpoint, ec);
    if (!ec)
        out->m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error{ErrorCode::Unavailable, "cannot listen: " + ec.message()};
    out->accept();
    return out;
}

std::string LinkProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void LinkProxy::accept()
{
    m_acceptor.async_accept(
        [this, alive = m_alive](const boost::system::error_code &ec, tcp::socket socket) {
            if (ec || !*alive)
                return; // the proxy has gone
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            m_connections.insert(connection);
            connection->start();
            accept();
        });
}

bool LinkProxy::passes(bool toServer) const
{
    return m_state == LinkState::Open
           || m_state == (toServer ? LinkState::NoResponses : LinkState::NoRequests);
}

void LinkProxy::setState(LinkState state)
{
    m_state = state;
}

void LinkProxy::silencePresent()
{
    for (const auto &it : m_connections)
        it->silence();
}

void LinkProxy::reset()
{
    for (const auto &it : std::exchange(m_connections, {}))
        it->reset();
}

} // namespace cardamompaddle::soak
