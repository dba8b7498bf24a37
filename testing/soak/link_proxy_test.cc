#include "link_proxy.h"

#include "net/steady_clock.h"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace cardamompaddle::soak {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr Duration Moment{150};

// One end of a connection that collects what it receives.
class End
{
public:
    explicit End(tcp::socket socket) : m_socket(std::move(socket)) { receive(); }

    void send(const std::string &bytes)
    {
        boost::system::error_code ec;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    }
    void close() { m_socket.close(); }
    const std::string &received() const { return m_received; }
    const boost::system::error_code &error() const { return m_error; }

private:
    void receive()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [this](const boost::system::error_code &ec, size_t bytes) {
                                     m_received.append(m_buffer.data(), bytes);
                                     m_error = ec;
                                     if (!ec)
                                         receive();
                                 });
    }

    tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    boost::system::error_code m_error;
};

class LinkProxyTest : public ::testing::Test
{
protected:
    LinkProxyTest() : m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0})
    {
        const std::string target =
            "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        m_proxy = std::move(*LinkProxy::create(m_io, target));
        accept();
    }
    // Runs the event loop until `condition` holds, and returns whether it does within `timeout`.
    bool runUntil(const std::function<bool()> &condition, Duration timeout = Duration(3'000))
    {
        const Instant until = SteadyClock().now() + timeout;
        while (!condition() && SteadyClock().now() < until)
            m_io.run_one_for(Duration(10));
        return condition();
    }
    void runFor(Duration time)
    {
        runUntil([] { return false; }, time);
    }
    void connect()
    {
        m_server.reset();
        const std::string address = m_proxy->address();
        const auto port = static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        tcp::socket socket(m_io);
        socket.connect({boost::asio::ip::address_v4::loopback(), port});
        m_client = std::make_unique<End>(std::move(socket));
        ASSERT_TRUE(runUntil([this] { return m_server != nullptr; }));
    }
    bool serverGets(const std::string &bytes, Duration timeout = Duration(3'000))
    {
        return runUntil([&] { return m_server->received() == bytes; }, timeout);
    }
    bool clientGets(const std::string &bytes, Duration timeout = Duration(3'000))
    {
        return runUntil([&] { return m_client->received() == bytes; }, timeout);
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::unique_ptr<LinkProxy> m_proxy;
    std::unique_ptr<End> m_client;
    std::unique_ptr<End> m_server; // of the latest connection

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &ec, tcp::socket socket) {
            if (ec)
                return;
            m_server = std::make_unique<End>(std::move(socket));
            accept();
        });
    }
};

} // namespace

TEST_F(LinkProxyTest, PassesBytesAndTheEndInBothDirections)
{
    connect();
    const std::string large(200'000, 'x');
    m_client->send("request");
    EXPECT_TRUE(serverGets("request"));
    m_server->send(large);
    EXPECT_TRUE(clientGets(large));
    m_client->close();
    EXPECT_TRUE(runUntil([this] { return static_cast<bool>(m_server->error()); }));
}

TEST_F(LinkProxyTest, DelaysBothDirections)
{
    connect();
    m_proxy->setDelay(Moment);
    const Instant before = SteadyClock().now();
    m_client->send("request");
    EXPECT_TRUE(serverGets("request"));
    EXPECT_GE(SteadyClock().now() - before, Moment);
    m_server->send("response");
    EXPECT_TRUE(clientGets("response"));
    EXPECT_GE(SteadyClock().now() - before, 2 * Moment);
}

// Guards against a silence that clients notice by a reset, or in which bytes are lost.
TEST_F(LinkProxyTest, ASilentLinkHoldsBackBytesAndEnds)
{
    connect();
    m_proxy->setState(LinkState::Silent);
    m_client->send("request");
    m_server->send("response");
    runFor(Moment);
    EXPECT_EQ(m_server->received() + m_client->received(), "");
    m_client->close();
    runFor(Moment);
    EXPECT_FALSE(m_server->error()) << "the end passes like bytes";
    m_proxy->setState(LinkState::Open);
    EXPECT_TRUE(serverGets("request"));
    EXPECT_TRUE(runUntil([this] { return static_cast<bool>(m_server->error()); }));
}

TEST_F(LinkProxyTest, CutsRequestsOnly)
{
    connect();
    m_proxy->setState(LinkState::NoRequests);
    m_client->send("request");
    m_server->send("response");
    EXPECT_TRUE(clientGets("response"));
    EXPECT_FALSE(serverGets("request", Moment));
    m_proxy->setState(LinkState::Open);
    EXPECT_TRUE(serverGets("request"));
}

TEST_F(LinkProxyTest, CutsResponsesOnly)
{
    connect();
    m_proxy->setState(LinkState::NoResponses);
    m_client->send("request");
    m_server->send("response");
    EXPECT_TRUE(serverGets("request"));
    EXPECT_FALSE(clientGets("response", Moment));
    m_proxy->setState(LinkState::Open);
    EXPECT_TRUE(clientGets("response"));
}

TEST_F(LinkProxyTest, SilencesThePresentConnectionsForGood)
{
    connect();
    const std::unique_ptr<End> client = std::move(m_client);
    const std::unique_ptr<End> server = std::move(m_server);
    m_proxy->silencePresent();
    connect();
    client->send("request");
    m_client->send("request");
    EXPECT_TRUE(serverGets("request"));
    runFor(Moment);
    EXPECT_EQ(server->received(), "");
    EXPECT_FALSE(client->error());
}

TEST_F(LinkProxyTest, ResetsBothEndsAndTakesNewConnections)
{
    connect();
    m_client->send("request");
    ASSERT_TRUE(serverGets("request"));
    m_proxy->reset();
    ASSERT_TRUE(runUntil([this] { return m_client->error() && m_server->error(); }));
    EXPECT_EQ(m_client->error(), boost::asio::error::connection_reset);
    EXPECT_EQ(m_server->error(), boost::asio::error::connection_reset);
    connect();
    m_client->send("again");
    EXPECT_TRUE(serverGets("again"));
}

// Guards against a proxy whose connections use it after it has gone.
TEST_F(LinkProxyTest, EndsItsConnectionsWhenItIsDestroyed)
{
    connect();
    m_proxy->setState(LinkState::Silent);
    m_client->send("request");
    runFor(Duration(20));
    m_proxy.reset();
    EXPECT_TRUE(runUntil([this] { return m_client->error() && m_server->error(); }));
}

} // namespace cardamompaddle::soak
