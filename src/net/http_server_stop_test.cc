// Tests of how the HTTP server ends connections on its owner's event loop: no request that has
// arrived is left without a response, and clients are told in time.
#include "net/http_server_testing.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

size_t occurrences(const std::string &text, const std::string &part)
{
    size_t out = 0;
    for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++out;
    return out;
}

// Everything runs on the thread of the test: the event loop only while the test runs it.
class HttpServerStopTest : public testing::Test
{
protected:
    void SetUp() override { start(); }
    // Replaces the server.
    void start()
    {
        HttpServerOptions options;
        options.address = "127.0.0.1:0";
        options.idleTimeout = IdleTimeout;
        auto server =
            HttpServer::create(m_io, options, [this](HttpRequest request, HttpRespond respond) {
                m_requests.push_back({std::move(request), std::move(respond)});
            });
        ASSERT_TRUE(server);
        m_server = std::move(*server);
    }
    // Runs the loop until `condition` holds, for a second at most. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(1);
        while (!condition() && std::chrono::steady_clock::now() < until)
            m_io.run_one_for(std::chrono::milliseconds(5));
        return condition();
    }
    void runFor(Duration duration) { m_io.run_for(duration); }
    bool awaitRequests(size_t count)
    {
        return runUntil([this, count] { return m_requests.size() == count; });
    }
    bool awaitResponses(RawClient &client, size_t count)
    {
        return runUntil([&client, count] {
            return occurrences(client.receiveAvailable(), "HTTP/1.1 ") >= count;
        });
    }
    // Returns whether the client sees the end of the stream. A reset does not count.
    bool awaitEnd(RawClient &client)
    {
        runUntil([&client] {
            client.receiveAvailable();
            return client.end().failed();
        });
        return client.end() == boost::asio::error::eof;
    }
    std::unique_ptr<RawClient> connect()
    {
        const size_t before = m_server->openConnections();
        auto out = std::make_unique<RawClient>(m_server->port());
        EXPECT_TRUE(runUntil([this, before] { return m_server->openConnections() > before; }));
        return out;
    }

    static constexpr Duration IdleTimeout{5'000};
    boost::asio::io_context m_io;
    std::vector<RequestQueue::Item> m_requests;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace

// Guards against a request that is discarded because the response to the one before it on the
// connection closes that.
TEST_F(HttpServerStopTest, HandlesWhatWasPipelinedBeforeTheConnectionCloses)
{
    const auto client = connect();
    client->send(get("/1") + get("/2"));
    ASSERT_TRUE(awaitRequests(1));
    m_server->stopAccepting();
    m_requests[0].respond({200, "first"});
    ASSERT_TRUE(awaitRequests(2)) << client->receiveAvailable();
    m_requests[1].respond({200, "second"});
    EXPECT_TRUE(awaitEnd(*client));
    const std::string received = client->receiveAvailable();
    EXPECT_EQ(occurrences(received, "HTTP/1.1 200"), 2U) << received;
    EXPECT_EQ(occurrences(received, "Connection: close"), 1U) << received;
    EXPECT_LT(received.find("first"), received.find("Connection: close")) << received;
}

// As above, for a request that the server has not read yet when it writes the response.
TEST_F(HttpServerStopTest, HandlesWhatArrivedUnreadBeforeTheConnectionCloses)
{
    const auto client = connect();
    client->send(get("/1"));
    ASSERT_TRUE(awaitRequests(1));
    m_server->stopAccepting();
    m_requests[0].respond({200, "first"});
    client->send(get("/2"));
    ASSERT_TRUE(awaitRequests(2)) << client->receiveAvailable();
    m_requests[1].respond({200, "second"});
    EXPECT_TRUE(awaitEnd(*client));
    EXPECT_EQ(occurrences(client->receiveAvailable(), "HTTP/1.1 200"), 2U);
}

// Guards against a request that is lost if its connection is taken for idle at any moment between
// the arrival of its bytes and the call of its handler.
TEST_F(HttpServerStopTest, HandlesWhatArrivedBeforeIdleConnectionsAreClosed)
{
    constexpr int Steps = 8; // of the event loop, more than a request needs to reach its handler
    for (int steps = 0; steps < Steps; ++steps) {
        SCOPED_TRACE(steps);
        start();
        m_requests.clear();
        const auto client = connect();
        runFor(Duration(5));
        client->send(get("/"));
        for (int i = 0; i < steps; ++i)
            m_io.poll_one();
        m_server->stopAccepting();
        m_server->closeIdleConnections();
        ASSERT_TRUE(awaitRequests(1));
        EXPECT_EQ(m_server->openRequests(), 1U);
        m_requests[0].respond({200, "done"});
        EXPECT_TRUE(awaitEnd(*client));
        EXPECT_EQ(occurrences(client->receiveAvailable(), "HTTP/1.1 200"), 1U);
        EXPECT_EQ(m_server->openRequests(), 0U);
    }
}

// Guards against a request that is cut because only a part of it had arrived.
TEST_F(HttpServerStopTest, HandlesARequestThatHadArrivedInPart)
{
    const auto client = connect();
    client->send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    runFor(Duration(5));
    m_server->stopAccepting();
    m_server->closeIdleConnections();
    runFor(Duration(20));
    client->send("cd");
    ASSERT_TRUE(awaitRequests(1));
    EXPECT_EQ(m_requests[0].request.body, "abcd");
    m_requests[0].respond({200, "done"});
    EXPECT_TRUE(awaitEnd(*client));
    EXPECT_EQ(occurrences(client->receiveAvailable(), "HTTP/1.1 200"), 1U);
}

// Guards against clients that learn of the stop by the reset of their next request.
TEST_F(HttpServerStopTest, IdleClientsSeeTheEndOfTheStream)
{
    const auto used = connect();
    const auto unused = connect();
    used->send(get("/"));
    ASSERT_TRUE(awaitRequests(1));
    m_requests[0].respond({200, "done"});
    ASSERT_TRUE(awaitResponses(*used, 1));
    m_server->stopAccepting();
    runFor(Duration(5));
    ASSERT_FALSE(used->end().failed()) << "only a response or the sweep ends it";
    m_server->closeIdleConnections();
    EXPECT_TRUE(awaitEnd(*used));
    EXPECT_TRUE(awaitEnd(*unused));
    used->close();
    unused->close();
    EXPECT_TRUE(runUntil([this] { return m_server->openConnections() == 0; }));
}

// Guards against a connection that stays open because its last response, which keeps it open, was
// still being written when idle connections were closed.
TEST_F(HttpServerStopTest, EndsAConnectionThatBecomesIdleLater)
{
    const auto client = connect();
    client->send(get("/"));
    ASSERT_TRUE(awaitRequests(1));
    m_requests[0].respond({200, std::string(16UL * 1024 * 1024, 'x')});
    runFor(Duration(20));
    ASSERT_EQ(m_server->openRequests(), 1U) << "the response fits the buffers of the sockets";
    m_server->stopAccepting();
    m_server->closeIdleConnections();
    runFor(Duration(5));
    EXPECT_TRUE(awaitEnd(*client));
    EXPECT_EQ(occurrences(client->receiveAvailable().substr(0, 400), "Connection: close"), 0U);
}

// Guards against a request that is cut, or that gets two responses, when its handler does not
// respond before the process has to end.
TEST_F(HttpServerStopTest, AbandonedRequestsGetTheResponseOfTheirMethod)
{
    const auto reader = connect();
    const auto writer = connect();
    reader->send(get("/1") + get("/2"));
    writer->send("POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(awaitRequests(2));
    m_server->stopAccepting();
    m_server->abandonRequests([](const std::string &method) {
        return HttpResponse{method == "GET" ? 503 : 504, "abandoned"};
    });
    EXPECT_TRUE(awaitEnd(*writer));
    EXPECT_EQ(occurrences(writer->receiveAvailable(), "HTTP/1.1 504"), 1U);
    ASSERT_TRUE(awaitRequests(3)) << "the pipelined request was not handled";
    m_requests[0].respond({200, "late"});
    m_requests[1].respond({200, "late"});
    m_requests[2].respond({200, "second"});
    EXPECT_TRUE(awaitEnd(*reader));
    const std::string received = reader->receiveAvailable();
    EXPECT_EQ(occurrences(received, "HTTP/1.1 503"), 1U) << received;
    EXPECT_EQ(occurrences(received, "HTTP/1.1 200"), 1U) << received;
    EXPECT_EQ(occurrences(received, "late"), 0U) << received;
}

// Guards against callbacks of a server that is gone. AddressSanitizer reports their accesses in
// this test.
TEST_F(HttpServerStopTest, MayBeDestroyedWhileTheLoopRunsOn)
{
    constexpr int Steps = 6;
    for (int steps = 0; steps < Steps; ++steps) {
        SCOPED_TRACE(steps);
        start();
        RawClient client(m_server->port());
        client.send(get("/"));
        for (int i = 0; i < steps; ++i)
            m_io.poll_one();
        m_server.reset();
        runFor(Duration(10));
        client.receiveAvailable();
        EXPECT_TRUE(client.end().failed()) << "a server that is gone keeps a connection";
        m_requests.clear();
    }
}

} // namespace cardamompaddle
