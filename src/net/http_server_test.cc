// Tests of the HTTP server: responses to malformed, slow, truncated and oversized requests, clients
// that disconnect, connection limits, and the two ways to stop.
#include "net/http_server_testing.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace cardamompaddle {
namespace {

namespace asio = boost::asio;

class HttpServerTest : public testing::Test
{
protected:
    void start(const HttpServerOptions &options = {.address = "127.0.0.1:0"})
    {
        auto server = HttpServer::create(options, [this](HttpRequest request, HttpRespond respond) {
            ++m_handled;
            if (request.path == "/echo")
                respond({200, request.method + " " + request.body, "text/plain"});
            else if (request.path == "/block")
                std::this_thread::sleep_for(Duration(200)); // blocks this server thread
            else if (request.path != "/drop")
                m_requests.put(std::move(request), std::move(respond));
        });
        ASSERT_TRUE(server.ok());
        m_server = std::move(*server);
    }
    // Sends bytes on a new connection and returns all bytes received until the server closes it.
    std::string exchange(const std::string &bytes)
    {
        RawClient client(m_server->port());
        client.send(bytes);
        return client.receive();
    }
    void expectRejected(const std::string &response, int status)
    {
        EXPECT_TRUE(response.starts_with("HTTP/1.1 " + std::to_string(status))) << response;
        EXPECT_NE(response.find(R"("executed":"no")"), std::string::npos) << response;
        EXPECT_EQ(m_handled, 0);
    }
    static void waitUntil(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 2000 && !condition(); ++i)
            std::this_thread::sleep_for(Duration(2));
        EXPECT_TRUE(condition());
    }

    std::atomic<int> m_handled{0};
    RequestQueue m_requests;
    std::unique_ptr<HttpServer> m_server;
};

// Guards against mixing up the responses to two pipelined requests.
TEST_F(HttpServerTest, HandlesPipelinedRequestsInOrder)
{
    start();
    RawClient client(m_server->port());
    client.send("GET /wait?a=1%202&b=x+y HTTP/1.1\r\nHost: h\r\nX-Key: V\r\n\r\n"
                "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    RequestQueue::Item first = m_requests.take();
    EXPECT_EQ(first.request.query,
              (std::map<std::string, std::string>{{"a", "1 2"}, {"b", "x y"}}));
    EXPECT_EQ(first.request.headers.at("x-key"), "V");
    std::this_thread::sleep_for(Duration(20));
    EXPECT_EQ(m_handled, 1);
    first.respond({201, "first"});
    first.respond({202, "again"}); // ignored
    const std::string all = client.receive("POST abc");
    EXPECT_LT(all.find("first"), all.find("POST abc"));
    EXPECT_EQ(all.find("again"), std::string::npos);
}

// Guards against a malformed request that reaches the handler or gets no error response.
TEST_F(HttpServerTest, RejectsMalformedRequests)
{
    start();
    expectRejected(exchange("NONSENSE\r\n\r\n"), 400);
    expectRejected(exchange("POST /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n"), 400);
    expectRejected(exchange("GET /%zz HTTP/1.1\r\nConnection: close\r\n\r\n"), 400);
}

// Guards against executing a request of which only a part arrived.
TEST_F(HttpServerTest, RejectsTruncatedRequests)
{
    start();
    RawClient client(m_server->port());
    client.send("POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    client.closeSending();
    expectRejected(client.receive(), 400);
}

// Guards against unbounded memory use by one request. The client must be able to read the response
// although it is still sending.
TEST_F(HttpServerTest, RejectsOversizedRequests)
{
    start({.address = "127.0.0.1:0", .maxBodyBytes = 1000, .maxHeaderBytes = 2000});
    expectRejected(exchange("POST /echo HTTP/1.1\r\nContent-Length: 500000\r\n\r\n"
                            + std::string(500'000, 'x')),
                   413);
    expectRejected(exchange("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                            + std::string(2000, 'x') + "\r\n0\r\n\r\n"),
                   413);
    expectRejected(exchange("GET /echo HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n"),
                   413);
}

// Guards against resetting the connection of a client that is still sending, which could then lose
// the response.
TEST_F(HttpServerTest, KeepsReadingAfterARejection)
{
    start({.address = "127.0.0.1:0", .maxBodyBytes = 1000});
    RawClient client(m_server->port());
    client.send("POST /echo HTTP/1.1\r\nContent-Length: 500000\r\n\r\n");
    expectRejected(client.receive(R"("no"})"), 413);
    for (int i = 0; i < 10; ++i) {
        EXPECT_NO_THROW(client.send(std::string(50'000, 'x')));
        std::this_thread::sleep_for(Duration(2));
    }
}

// Guards against slow clients that occupy connections. An incomplete request gets status 408, and
// an idle connection is closed without a response.
TEST_F(HttpServerTest, ClosesSlowAndIdleConnections)
{
    start({.address = "127.0.0.1:0", .readTimeout = Duration(50), .idleTimeout = Duration(100)});
    expectRejected(exchange("GET /echo HT"), 408);
    expectRejected(exchange("POST /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"), 408);
    EXPECT_EQ(exchange(""), "");
    waitUntil([this] { return m_server->openConnections() == 0; });
}

// Guards against an unbounded number of connections.
TEST_F(HttpServerTest, RejectsConnectionsAboveTheLimit)
{
    start({.address = "127.0.0.1:0", .maxConnections = 1});
    RawClient first(m_server->port());
    first.send("GET /echo HTTP/1.1\r\n\r\n");
    first.receive("GET ");
    RawClient second(m_server->port());
    expectRejected((m_handled = 0, second.receive()), 503);
    first.close();
    second.close();
    waitUntil([this] { return m_server->openConnections() == 0; });
    EXPECT_TRUE(
        exchange("GET /echo HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against continuing work for a client that has disconnected.
TEST_F(HttpServerTest, DetectsThatTheClientDisconnected)
{
    start();
    RawClient client(m_server->port());
    client.send("GET /wait HTTP/1.1\r\n\r\n");
    const RequestQueue::Item item = m_requests.take();
    EXPECT_FALSE(item.request.clientStatus->isClosed());
    std::atomic<int> fired{0};
    item.request.clientStatus->onClosed([&] { ++fired; });
    client.close();
    waitUntil([&] { return fired == 1; });
    EXPECT_TRUE(item.request.clientStatus->isClosed());
    item.request.clientStatus->onClosed([&] { ++fired; });
    EXPECT_EQ(fired, 2);
    item.respond({200, "late"});
    waitUntil([this] { return m_server->openConnections() == 0; });
    EXPECT_EQ(m_server->openRequests(), 0U);
}

// Guards against a client that waits forever because the handler destroyed its HttpRespond without
// a call.
TEST_F(HttpServerTest, RespondsForAHandlerThatDropsTheRequest)
{
    start();
    const std::string response = exchange("GET /drop HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 500")) << response;
    EXPECT_NE(response.find(R"("executed":"unknown")"), std::string::npos);
}

// Guards against a planned stop that aborts requests in flight (invariant I10).
TEST_F(HttpServerTest, StopAcceptingKeepsRequestsInFlight)
{
    start();
    RawClient waiting(m_server->port());
    waiting.send("GET /wait HTTP/1.1\r\n\r\n");
    RequestQueue::Item item = m_requests.take();
    RawClient connected(
        m_server->port()); // in the system's backlog, not yet accepted by the server
    m_server->stopAccepting();
    EXPECT_THROW(RawClient(m_server->port()), boost::system::system_error);
    EXPECT_EQ(m_server->openRequests(), 1U);
    connected.send("GET /echo HTTP/1.1\r\n\r\n");
    EXPECT_NE(connected.receive().find("Connection: close"), std::string::npos);
    item.respond({200, "whole response"});
    const std::string response = waiting.receive();
    EXPECT_NE(response.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(response.ends_with("whole response"));
    waitUntil([this] { return m_server->openRequests() == 0; });
    m_server->stop();
    item.respond({200, "after the stop"}); // must do nothing
}

// Guards against a planned stop that resets the connections in the system's backlog (invariant
// I10). The only server thread is blocked, so the new connections stay in the backlog until
// stopAccepting().
TEST_F(HttpServerTest, StopAcceptingServesTheBacklog)
{
    start({.address = "127.0.0.1:0", .threads = 1});
    RawClient blocker(m_server->port());
    blocker.send("GET /block HTTP/1.1\r\n\r\n");
    waitUntil([this] { return m_handled == 1; });
    std::vector<std::unique_ptr<RawClient>> clients;
    clients.reserve(5);
    for (int i = 0; i < 5; ++i)
        clients.push_back(std::make_unique<RawClient>(m_server->port()));
    m_server->stopAccepting();
    for (const auto &client : clients) {
        client->send("GET /echo HTTP/1.1\r\n\r\n");
        EXPECT_TRUE(client->receive().starts_with("HTTP/1.1 200"));
    }
}

// Guards against races between responses, disconnecting clients and stop(). ThreadSanitizer reports
// data races in this test.
TEST_F(HttpServerTest, StopsWhileResponsesAreInFlight)
{
    start({.address = "127.0.0.1:0", .threads = 4});
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(std::make_unique<RawClient>(m_server->port()));
        clients.back()->send("GET /wait HTTP/1.1\r\n\r\n");
    }
    std::vector<RequestQueue::Item> items;
    items.reserve(40);
    for (int i = 0; i < 40; ++i)
        items.push_back(m_requests.take());
    std::thread responder([&items] {
        for (const RequestQueue::Item &item : items) {
            item.request.clientStatus->onClosed([respond = item.respond] {
                respond({200, "gone"});
            });
            std::this_thread::sleep_for(std::chrono::microseconds(100));
            item.respond({200, "x"});
        }
    });
    for (int i = 0; i < 20; ++i)
        clients[i]->close();
    m_server->stopAccepting();
    m_server->stop();
    responder.join();
    clients.back()->receive(); // returns, because stop() closed the connection
    EXPECT_EQ(m_server->openConnections(), 0U);
}

// Guards against a client that waits forever for "100 Continue".
TEST_F(HttpServerTest, SendsContinueOnRequest)
{
    start();
    RawClient client(m_server->port());
    client.send("POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_TRUE(client.receive("\r\n\r\n").starts_with("HTTP/1.1 100"));
    client.send("ok");
    EXPECT_TRUE(client.receive("POST ok").starts_with("HTTP/1.1 200"));
}

TEST(HttpServerCreateTest, ReportsAddressesThatCannotBeBound)
{
    const auto handler = [](const HttpRequest &, const HttpRespond &) {};
    EXPECT_EQ(HttpServer::create({.address = "nowhere"}, handler).error().code,
              ErrorCode::InvalidArgument);
    const auto first = HttpServer::create({.address = "127.0.0.1:0"}, handler);
    const std::string taken = "127.0.0.1:" + std::to_string((*first)->port());
    EXPECT_EQ(HttpServer::create({.address = taken}, handler).error().code, ErrorCode::Unavailable);
}

// Guards against running handlers on another thread than the one of the owner's event loop. Also
// checks that Retry-After is rounded up to whole seconds.
TEST(HttpServerOnLoopTest, ServesOnTheOwnersEventLoopWithRetryAfter)
{
    boost::asio::io_context io;
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    const auto thread = std::this_thread::get_id();
    auto server =
        HttpServer::create(io, options, [&](const HttpRequest &, const HttpRespond &done) {
            EXPECT_EQ(std::this_thread::get_id(), thread);
            HttpResponse response;
            response.status = 503;
            response.retryAfter = Duration(1'200);
            done(response);
        });
    ASSERT_TRUE(server);
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), (*server)->port()});
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string response(4'096, '\0');
    size_t received = 0;
    socket.async_read_some(boost::asio::buffer(response),
                           [&received](const auto &, size_t count) { received = count; });
    for (int i = 0; i < 400 && received == 0; ++i)
        io.run_one_for(std::chrono::milliseconds(5));
    response.resize(received);
    EXPECT_EQ(response.rfind("HTTP/1.1 503", 0), 0U) << response;
    EXPECT_NE(response.find("Retry-After: 2"), std::string::npos) << response;
    (*server)->stopAccepting();
}

} // namespace
} // namespace cardamompaddle
