#include "control/request_forwarder.h"

#include "control/instance_testing.h"

namespace cardamompaddle {

namespace {

HttpResponse responseWith(int status)
{
    HttpResponse out;
    out.status = status;
    return out;
}

class RequestForwarderTest : public ::testing::Test
{
protected:
    // Sends one request and returns its status. This instance would answer it with status `local`,
    // the peer with status `peer`; without one, the peer does not answer.
    int send(const std::string &method, int local, bool logReachable, std::optional<int> peer)
    {
        m_localCalls = 0;
        m_peers.forwardedRequests.clear();
        m_peers.forwardResponse.reset();
        if (peer) {
            m_peers.forwardResponse.emplace();
            m_peers.forwardResponse->status = *peer;
        }
        RequestForwarder forwarder(
            m_peers, {[logReachable] { return logReachable; }, [this] { return m_target; }},
            [this, local](const HttpRequest &, const HttpRespond &respond) {
                ++m_localCalls;
                respond(responseWith(local));
            });
        HttpRequest request;
        request.method = method;
        request.path = "/r/1";
        int status = 0;
        forwarder.handle(request, [&status](const HttpResponse &it) { status = it.status; });
        m_io.run_for(std::chrono::milliseconds(1'400));
        m_io.restart();
        return status;
    }

    boost::asio::io_context m_io;
    testing::TestPolicy m_peers{m_io};
    std::string m_target = "peer:1";
    int m_localCalls = 0;
};

} // namespace

TEST_F(RequestForwarderTest, AnswersLocallyWhileTheLogAnswers)
{
    EXPECT_EQ(send("POST", 200, true, 200), 200);
    EXPECT_EQ(send("POST", 401, true, 200), 401);
    EXPECT_TRUE(m_peers.forwardedRequests.empty());
}

// Guards against refusals by an instance that alone cannot reach the log, which cost its callers a
// second each.
TEST_F(RequestForwarderTest, ForwardsWhileTheLogIsUnreachable)
{
    EXPECT_EQ(send("POST", 503, false, 200), 200);
    EXPECT_EQ(m_localCalls, 0);
    EXPECT_EQ(m_peers.forwardedRequests.size(), 1U);
    EXPECT_EQ(send("POST", 503, true, 200), 200);
    EXPECT_EQ(m_localCalls, 1);
    // The peer's configuration is authoritative: it refuses a key that was withdrawn meanwhile.
    EXPECT_EQ(send("POST", 200, false, 401), 401);
}

// Guards against a definite answer to a request whose outcome is unknown.
TEST_F(RequestForwarderTest, ALostAnswerOfAPeerLeavesTheOutcomeUnknown)
{
    EXPECT_EQ(send("POST", 503, true, std::nullopt), 504);
    EXPECT_EQ(send("POST", 503, false, std::nullopt), 504);
    EXPECT_EQ(send("GET", 503, false, std::nullopt), 503);
    // A peer's refusal does not replace an unknown outcome.
    EXPECT_EQ(send("POST", 504, true, 503), 504);
    EXPECT_EQ(send("POST", 504, true, 200), 200);
}

TEST_F(RequestForwarderTest, AnswersLocallyWithoutAPeerThatReachesTheLog)
{
    m_target.clear();
    EXPECT_EQ(send("POST", 503, false, 200), 503);
    EXPECT_TRUE(m_peers.forwardedRequests.empty());
}

TEST_F(InstanceTest, OnlyAnInstanceWithRecentSchedulerActivityForwardsToIt)
{
    Node &first = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(first.instance->forwardTarget(), "") << "no other instance stores";
    Node &other = addNode("b");
    EXPECT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    EXPECT_TRUE(runUntil([&] { return other.instance->isLogReachable(); }));
    other.log->refuses = true;
    EXPECT_TRUE(runUntil([&] { return !other.instance->isLogReachable(); }));
    EXPECT_EQ(other.instance->forwardTarget(), "a:1");
    first.log->refuses = true;
    EXPECT_TRUE(runUntil([&] { return other.instance->forwardTarget().empty(); }))
        << "the scheduler stores nothing";
}

// Guards against callers that wait for retries of an append while a peer could store it.
TEST_F(InstanceTest, AttemptsAnAppendOnceWhileAPeerCanStore)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    other.log->unresponsive = true;
    const Instant from = m_clock.now();
    EXPECT_EQ(submit(other, "job"), SubmitOutcome::Unknown);
    EXPECT_LT(m_clock.now() - from, Duration(600));
}

} // namespace cardamompaddle
