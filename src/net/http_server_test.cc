// The HTTP server at its limits: what malformed, slow, cut and oversized requests get, and what a
// caller gets when it leaves or the server stops.
#include "net/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace cardamompaddle {
namespace {

namespace asio = boost::asio;

// A caller that writes and reads plain bytes.
class RawCaller
{
public:
    explicit RawCaller(uint16_t port) : m_socket(m_io)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }
    void closeSending() { m_socket.shutdown(asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }
    // Everything up to the end of the connection, or to the first occurrence of `until`.
    std::string receive(const std::string &until = {})
    {
        boost::system::error_code ec;
        while (!ec && (until.empty() || m_received.find(until) == std::string::npos)) {
            std::array<char, 4096> chunk{};
            const size_t bytes = m_socket.read_some(asio::buffer(chunk), ec);
            m_received.append(chunk.data(), bytes);
        }
        return std::exchange(m_received, {});
    }

private:
    asio::io_context m_io;
    asio::ip::tcp::socket m_socket;
    std::string m_received;
};

// Keeps requests until the test answers them.
class Inbox
{
public:
    struct Item
    {
        HttpRequest request;
        HttpRespond respond;
    };

    void put(HttpRequest request, HttpRespond respond)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back({std::move(request), std::move(respond)});
        m_changed.notify_all();
    }
    Item take()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_items.empty(); });
        Item item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Item> m_items;
};

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
                std::this_thread::sleep_for(Duration(200)); // holds this traffic thread
            else if (request.path != "/drop")
                m_inbox.put(std::move(request), std::move(respond));
        });
        ASSERT_TRUE(server.ok());
        m_server = std::move(*server);
    }
    // Sends bytes on a fresh connection and returns all that comes back until it is closed.
    std::string exchange(const std::string &bytes)
    {
        RawCaller caller(m_server->port());
        caller.send(bytes);
        return caller.receive();
    }
    void expectRefused(const std::string &answer, int status)
    {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::to_string(status))) << answer;
        EXPECT_NE(answer.find(R"("executed":"no")"), std::string::npos) << answer;
        EXPECT_EQ(m_handled, 0);
    }
    static void waitUntil(const std::function<bool()> &holds)
    {
        for (int i = 0; i < 2000 && !holds(); ++i)
            std::this_thread::sleep_for(Duration(2));
        EXPECT_TRUE(holds());
    }

    std::atomic<int> m_handled{0};
    Inbox m_inbox;
    std::unique_ptr<HttpServer> m_server;
};

// Guards against answers that mix two requests of one connection.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder)
{
    start();
    RawCaller caller(m_server->port());
    caller.send("GET /wait?a=1%202&b=x+y HTTP/1.1\r\nHost: h\r\nX-Key: V\r\n\r\n"
                "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    Inbox::Item first = m_inbox.take();
    EXPECT_EQ(first.request.query,
              (std::map<std::string, std::string>{{"a", "1 2"}, {"b", "x y"}}));
    EXPECT_EQ(first.request.headers.at("x-key"), "V");
    std::this_thread::sleep_for(Duration(20));
    EXPECT_EQ(m_handled, 1);
    first.respond({201, "first"});
    first.respond({202, "again"}); // ignored
    const std::string all = caller.receive("POST abc");
    EXPECT_LT(all.find("first"), all.find("POST abc"));
    EXPECT_EQ(all.find("again"), std::string::npos);
}

// Guards against a malformed request that reaches the handler or gets no typed answer.
TEST_F(HttpServerTest, RefusesMalformedRequests)
{
    start();
    expectRefused(exchange("NONSENSE\r\n\r\n"), 400);
    expectRefused(exchange("POST /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n"), 400);
    expectRefused(exchange("GET /%zz HTTP/1.1\r\nConnection: close\r\n\r\n"), 400);
}

// Guards against work done for a request that was cut off before its end.
TEST_F(HttpServerTest, RefusesCutRequests)
{
    start();
    RawCaller caller(m_server->port());
    caller.send("POST /echo HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    caller.closeSending();
    expectRefused(caller.receive(), 400);
}

// Guards against unbounded memory for one request; the caller must be able to read the answer
// although it is still sending.
TEST_F(HttpServerTest, RefusesOversizedRequests)
{
    start({.address = "127.0.0.1:0", .maxBodyBytes = 1000, .maxHeaderBytes = 2000});
    expectRefused(exchange("POST /echo HTTP/1.1\r\nContent-Length: 500000\r\n\r\n"
                           + std::string(500'000, 'x')),
                  413);
    expectRefused(exchange("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n"
                           + std::string(2000, 'x') + "\r\n0\r\n\r\n"),
                  413);
    expectRefused(exchange("GET /echo HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n"), 413);
}

// Guards against a connection that is reset under a caller that is still sending, which then may
// not read the answer.
TEST_F(HttpServerTest, ListensOnAfterARefusal)
{
    start({.address = "127.0.0.1:0", .maxBodyBytes = 1000});
    RawCaller caller(m_server->port());
    caller.send("POST /echo HTTP/1.1\r\nContent-Length: 500000\r\n\r\n");
    expectRefused(caller.receive(R"("no"})"), 413);
    for (int i = 0; i < 10; ++i) {
        EXPECT_NO_THROW(caller.send(std::string(50'000, 'x')));
        std::this_thread::sleep_for(Duration(2));
    }
}

// Guards against slow callers that hold connections: a started request is answered 408, an idle
// connection is closed without an answer.
TEST_F(HttpServerTest, EndsSlowAndIdleConnections)
{
    start({.address = "127.0.0.1:0", .readTimeout = Duration(50), .idleTimeout = Duration(100)});
    expectRefused(exchange("GET /echo HT"), 408);
    expectRefused(exchange("POST /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"), 408);
    EXPECT_EQ(exchange(""), "");
    waitUntil([this] { return m_server->openConnections() == 0; });
}

// Guards against more connections than the process can serve.
TEST_F(HttpServerTest, RefusesConnectionsBeyondTheLimit)
{
    start({.address = "127.0.0.1:0", .maxConnections = 1});
    RawCaller first(m_server->port());
    first.send("GET /echo HTTP/1.1\r\n\r\n");
    first.receive("GET ");
    RawCaller second(m_server->port());
    expectRefused((m_handled = 0, second.receive()), 503);
    first.close();
    second.close();
    waitUntil([this] { return m_server->openConnections() == 0; });
    EXPECT_TRUE(
        exchange("GET /echo HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against work that goes on for a caller that has left.
TEST_F(HttpServerTest, NoticesThatTheCallerLeft)
{
    start();
    RawCaller caller(m_server->port());
    caller.send("GET /wait HTTP/1.1\r\n\r\n");
    const Inbox::Item item = m_inbox.take();
    EXPECT_FALSE(item.request.callerGone->gone());
    std::atomic<int> fired{0};
    item.request.callerGone->onGone([&] { ++fired; });
    caller.close();
    waitUntil([&] { return fired == 1; });
    EXPECT_TRUE(item.request.callerGone->gone());
    item.request.callerGone->onGone([&] { ++fired; });
    EXPECT_EQ(fired, 2);
    item.respond({200, "late"});
    waitUntil([this] { return m_server->openConnections() == 0; });
    EXPECT_EQ(m_server->openRequests(), 0U);
}

// Guards against a caller that waits for ever because the handler lost its request.
TEST_F(HttpServerTest, AnswersForAHandlerThatDropsTheRequest)
{
    start();
    const std::string answer = exchange("GET /drop HTTP/1.1\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 500")) << answer;
    EXPECT_NE(answer.find(R"("executed":"unknown")"), std::string::npos);
}

// Guards against a planned stop that cuts off requests in flight (I10).
TEST_F(HttpServerTest, StopAcceptingKeepsRequestsInFlight)
{
    start();
    RawCaller waiting(m_server->port());
    waiting.send("GET /wait HTTP/1.1\r\n\r\n");
    Inbox::Item item = m_inbox.take();
    RawCaller connected(m_server->port()); // accepted by the system, not yet by the server
    m_server->stopAccepting();
    EXPECT_THROW(RawCaller(m_server->port()), boost::system::system_error);
    EXPECT_EQ(m_server->openRequests(), 1U);
    connected.send("GET /echo HTTP/1.1\r\n\r\n");
    EXPECT_NE(connected.receive().find("Connection: close"), std::string::npos);
    item.respond({200, "whole answer"});
    const std::string answer = waiting.receive();
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("whole answer"));
    waitUntil([this] { return m_server->openRequests() == 0; });
    m_server->stop();
    item.respond({200, "after the stop"}); // must do nothing
}

// Guards against connections that the system has accepted and the stop then resets (I10).
TEST_F(HttpServerTest, StopAcceptingTakesInWaitingConnections)
{
    start({.address = "127.0.0.1:0", .threads = 1});
    RawCaller blocker(m_server->port());
    blocker.send("GET /block HTTP/1.1\r\n\r\n");
    waitUntil([this] { return m_handled == 1; });
    std::vector<std::unique_ptr<RawCaller>> callers;
    callers.reserve(5);
    for (int i = 0; i < 5; ++i)
        callers.push_back(std::make_unique<RawCaller>(m_server->port()));
    m_server->stopAccepting();
    for (const auto &caller : callers) {
        caller->send("GET /echo HTTP/1.1\r\n\r\n");
        EXPECT_TRUE(caller->receive().starts_with("HTTP/1.1 200"));
    }
}

// Guards against races between answers, departures and the stop, together with ThreadSanitizer.
TEST_F(HttpServerTest, StopsWhileAnswersAreOnTheirWay)
{
    start({.address = "127.0.0.1:0", .threads = 4});
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 40; ++i) {
        callers.push_back(std::make_unique<RawCaller>(m_server->port()));
        callers.back()->send("GET /wait HTTP/1.1\r\n\r\n");
    }
    std::vector<Inbox::Item> items;
    items.reserve(40);
    for (int i = 0; i < 40; ++i)
        items.push_back(m_inbox.take());
    std::thread answering([&items] {
        for (const Inbox::Item &item : items) {
            item.request.callerGone->onGone([respond = item.respond] { respond({200, "gone"}); });
            std::this_thread::sleep_for(std::chrono::microseconds(100));
            item.respond({200, "x"});
        }
    });
    for (int i = 0; i < 20; ++i)
        callers[i]->close();
    m_server->stopAccepting();
    m_server->stop();
    answering.join();
    callers.back()->receive(); // returns, because stop() closed the connection
    EXPECT_EQ(m_server->openConnections(), 0U);
}

// Guards against a wait for "100 Continue" that never comes.
TEST_F(HttpServerTest, ContinuesWhenAsked)
{
    start();
    RawCaller caller(m_server->port());
    caller.send("POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_TRUE(caller.receive("\r\n\r\n").starts_with("HTTP/1.1 100"));
    caller.send("ok");
    EXPECT_TRUE(caller.receive("POST ok").starts_with("HTTP/1.1 200"));
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

// Guards against a server that needs threads of its own where the caller runs one event loop.
TEST(HttpServerOnLoopTest, ServesOnTheCallersEventLoopWithRetryAfter)
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
    std::string answer(4'096, '\0');
    size_t received = 0;
    socket.async_read_some(boost::asio::buffer(answer),
                           [&received](const auto &, size_t count) { received = count; });
    for (int i = 0; i < 400 && received == 0; ++i)
        io.run_one_for(std::chrono::milliseconds(5));
    answer.resize(received);
    EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0U) << answer;
    EXPECT_NE(answer.find("Retry-After: 2"), std::string::npos) << answer;
    (*server)->stopAccepting();
}

} // namespace
} // namespace cardamompaddle
