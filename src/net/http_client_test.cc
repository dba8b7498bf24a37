// Tests of the HTTP client: which failures count as sent, and that no request is sent twice.
#include "net/blocking_client.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <thread>

namespace cardamompaddle {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct Outcome
{
    Result<HttpResponse> response = Error{};
    bool bytesSent = false;
    int calls = 0;
};

// A server that responds to the first request of each connection with fixed bytes and then closes
// the connection.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::string response)
        : m_acceptor(m_io, {asio::ip::make_address("127.0.0.1"), 0}),
          m_response(std::move(response)), m_thread([this] { run(); })
    { }
    ~ScriptedServer()
    {
        m_stopping = true;
        tcp::socket(m_io).connect(m_acceptor.local_endpoint());
        m_thread.join();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    int requests() const { return m_requests; }

private:
    void run()
    {
        while (true) {
            tcp::socket socket = m_acceptor.accept();
            if (m_stopping)
                return;
            boost::system::error_code ec;
            std::string request;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ec);
            if (ec)
                continue;
            ++m_requests;
            asio::write(socket, asio::buffer(m_response), ec);
        }
    }

    asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::string m_response;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

class HttpClientTest : public testing::Test
{
protected:
    Outcome call(const std::string &address, Duration timeout = Duration(2'000),
                 const std::string &target = "/")
    {
        Outcome outcome;
        m_client.request(address, "POST", target, "body", timeout,
                         [&](Result<HttpResponse> response, bool bytesSent) {
                             outcome = {std::move(response), bytesSent, outcome.calls + 1};
                         });
        EXPECT_EQ(outcome.calls, 0) << "the callback must not run inside the call";
        m_io.restart();
        m_io.run_for(Duration(5'000));
        EXPECT_EQ(outcome.calls, 1);
        return outcome;
    }

    asio::io_context m_io;
    HttpClient m_client{m_io};
};

// Guards against reporting a request as not executed although the server may have received it. Only
// a failure before the first byte was sent may set bytesSent to false.
TEST_F(HttpClientTest, FailedConnectIsUnsent)
{
    asio::io_context io;
    tcp::acceptor reserved(io, {asio::ip::make_address("127.0.0.1"), 0});
    const std::string address = "127.0.0.1:" + std::to_string(reserved.local_endpoint().port());
    reserved.close();
    const Outcome unreachable = call(address);
    EXPECT_EQ(unreachable.response.error().code, ErrorCode::Unavailable);
    EXPECT_FALSE(unreachable.bytesSent);
    const Outcome malformed = call("nowhere");
    EXPECT_EQ(malformed.response.error().code, ErrorCode::InvalidArgument);
    EXPECT_FALSE(malformed.bytesSent);
}

// Guards against taking a truncated response for a complete one (invariant I6).
TEST_F(HttpClientTest, TruncatedResponsesAreOutcomeUnknown)
{
    for (const char *response :
         {"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\n\r\nno length, so the end is not known", "garbage\r\n\r\n"}) {
        const ScriptedServer server(response);
        const Outcome outcome = call(server.address());
        EXPECT_FALSE(outcome.response.ok()) << response;
        EXPECT_EQ(outcome.response.error().code, ErrorCode::OutcomeUnknown) << response;
        EXPECT_TRUE(outcome.bytesSent);
        EXPECT_EQ(server.requests(), 1) << "sent again after: " << response;
    }
}

// Guards against rejecting a complete response as truncated because a stopping server marked it
// with "Connection: close" (invariant I10).
TEST_F(HttpClientTest, AcceptsResponsesWithConnectionClose)
{
    const ScriptedServer server(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nlate");
    const Outcome outcome = call(server.address());
    ASSERT_TRUE(outcome.response.ok());
    EXPECT_EQ(outcome.response->body, "late");
}

// Guards against failing or resending a request because the server closed the pooled connection:
// the client must detect this before use and open a new connection.
TEST_F(HttpClientTest, ReplacesClosedPooledConnections)
{
    const ScriptedServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    for (int i = 1; i <= 3; ++i) {
        const Outcome outcome = call(server.address());
        ASSERT_TRUE(outcome.response.ok()) << outcome.response.error().reason;
        EXPECT_EQ(outcome.response->body, "ok");
        EXPECT_EQ(m_client.idleConnections(), 1U);
        EXPECT_EQ(server.requests(), i);
        std::this_thread::sleep_for(Duration(20)); // the server's close must arrive first
    }
}

// Guards against passing a response that arrives late or out of order to the wrong request
// (invariant I6).
TEST_F(HttpClientTest, MatchesLateAndReorderedResponses)
{
    std::vector<std::thread> delayed;
    std::mutex mutex;
    const auto server = HttpServer::create(
        {.address = "127.0.0.1:0"}, [&](const HttpRequest &request, const HttpRespond &respond) {
            const std::lock_guard lock(mutex);
            delayed.emplace_back([path = request.path, respond] {
                std::this_thread::sleep_for(Duration(std::stoi(path.substr(1)) * 7 % 60));
                respond({200, path});
            });
        });
    const std::string address = "127.0.0.1:" + std::to_string((*server)->port());
    int succeeded = 0;
    int timedOut = 0;
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < 30; ++i) {
            const std::string target = "/" + std::to_string(i);
            const Duration timeout(i % 5 == 4 ? 10 : 5'000);
            m_client.request(address, "GET", target, {}, timeout,
                             [&, target](const Result<HttpResponse> &response, bool) {
                                 ++(response ? succeeded : timedOut);
                                 EXPECT_EQ(response ? response->body : target, target);
                             });
        }
        m_io.restart();
        m_io.run_for(Duration(5'000));
    }
    EXPECT_EQ(succeeded + timedOut, 120);
    EXPECT_GE(succeeded, 96);
    (*server)->stop();
    for (std::thread &it : delayed)
        it.join();
}

// Guards against a request that waits forever for its response.
TEST_F(HttpClientTest, TimesOutAsOutcomeUnknown)
{
    std::vector<HttpRespond> kept;
    const auto server = HttpServer::create(
        {.address = "127.0.0.1:0", .threads = 1},
        [&](const HttpRequest &, const HttpRespond &respond) { kept.push_back(respond); });
    const Outcome outcome = call("127.0.0.1:" + std::to_string((*server)->port()), Duration(50));
    EXPECT_EQ(outcome.response.error().code, ErrorCode::OutcomeUnknown);
    EXPECT_TRUE(outcome.bytesSent);
    (*server)->stop();
}

TEST(BlockingClientTest, ReturnsTheResponse)
{
    const auto server = HttpServer::create(
        {.address = "127.0.0.1:0"}, [](const HttpRequest &request, const HttpRespond &respond) {
            respond({418, request.headers.at("authorization") + request.body});
        });
    const std::string address = "127.0.0.1:" + std::to_string((*server)->port());
    const auto response = blockingRequest(address, "PUT", "/x", "body", Duration(2'000),
                                          {{"Authorization", "Bearer K"}});
    ASSERT_TRUE(response.ok()) << response.error().reason;
    EXPECT_EQ(response->status, 418);
    EXPECT_EQ(response->body, "Bearer Kbody");
}

} // namespace
} // namespace cardamompaddle
