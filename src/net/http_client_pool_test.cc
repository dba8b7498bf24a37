// Tests of the HTTP client's connection pool: which idle connections later requests may use.
#include "net/http_client.h"
#include "net/silenced_server_testing.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

namespace asio = boost::asio;

constexpr Duration Timeout{200};
// A response to a request that met no silent connection arrives much sooner than this.
constexpr Duration Prompt{100};

class HttpClientPoolTest : public testing::Test
{
protected:
    using SteadyClock = std::chrono::steady_clock;

    struct Outcome
    {
        std::optional<Result<HttpResponse>> response; // empty while the request is open
        SteadyClock::time_point sentAt;
        SteadyClock::time_point endedAt;

        bool ok() const { return response && response->ok(); }
        SteadyClock::duration time() const { return endedAt - sentAt; }
    };

    std::shared_ptr<Outcome> send(Duration timeout = Timeout)
    {
        auto outcome = std::make_shared<Outcome>();
        outcome->sentAt = SteadyClock::now();
        m_client.request(m_server.address(), "GET", "/", "", timeout,
                         [outcome](Result<HttpResponse> response, bool) {
                             outcome->response = std::move(response);
                             outcome->endedAt = SteadyClock::now();
                         });
        return outcome;
    }
    void runUntilEnded(const Outcome &outcome)
    {
        while (!outcome.response)
            m_io.run_one();
    }
    Outcome call()
    {
        const auto outcome = send();
        runUntilEnded(*outcome);
        return *outcome;
    }
    // Leaves `count` idle connections in the pool.
    void openIdleConnections(size_t count)
    {
        std::vector<std::shared_ptr<Outcome>> outcomes;
        for (size_t i = 0; i < count; ++i)
            outcomes.push_back(send());
        for (const auto &it : outcomes)
            runUntilEnded(*it);
        ASSERT_EQ(m_client.idleConnections(), count);
    }

    asio::io_context m_io;
    SilencedServer m_server{m_io};
    HttpClient m_client{m_io};
};

// Guards against meeting the idle connections of a silent failure one by one, each for a whole
// timeout.
TEST_F(HttpClientPoolTest, ATimeoutClosesTheConnectionsThatWereIdleBeforeIt)
{
    openIdleConnections(4);
    m_server.silenceOpenConnections();
    EXPECT_FALSE(call().ok());
    EXPECT_EQ(m_client.idleConnections(), 0U);
    const Outcome second = call();
    EXPECT_TRUE(second.ok());
    EXPECT_LT(second.time(), Prompt);
}

// Guards against new connections for each request to a server that is slow with some of them: a
// connection that has served a request since the failed one was sent stays in the pool.
TEST_F(HttpClientPoolTest, ATimeoutKeepsTheConnectionsUsedSinceTheRequest)
{
    openIdleConnections(2);
    m_server.silenceOpenConnections();
    const auto silent = send();
    const auto alsoSilent = send();
    const auto served = send(); // over a new connection
    runUntilEnded(*served);
    ASSERT_TRUE(served->ok());
    runUntilEnded(*silent);
    runUntilEnded(*alsoSilent);
    EXPECT_FALSE(silent->ok());
    EXPECT_EQ(m_client.idleConnections(), 1U);
    EXPECT_TRUE(call().ok());
    EXPECT_EQ(m_server.accepted(), 3U);
}

// Guards against a repeated request that meets another connection of the same silent failure.
TEST_F(HttpClientPoolTest, ARequestAfterClosingIdleConnectionsUsesANewOne)
{
    openIdleConnections(2);
    m_server.silenceOpenConnections();
    const auto silent = send();
    m_client.closeIdleConnections(m_server.address());
    const Outcome repeated = call();
    EXPECT_TRUE(repeated.ok());
    EXPECT_LT(repeated.time(), Prompt);
    EXPECT_FALSE(silent->response) << "a request in flight keeps its connection";
}

} // namespace
} // namespace cardamompaddle
