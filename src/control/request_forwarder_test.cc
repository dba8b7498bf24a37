#include "control/request_forwarder.h"

#include "control/instance_testing.h"

namespace cardamompaddle {

namespace {

HttpResponse answerWith(int status)
{
    HttpResponse out;
    out.status = status;
    return out;
}

class RequestForwarderTest : public ::testing::Test
{
protected:
    int ask(const std::string &method, int own, bool logReachable, std::optional<int> peer)
    {
        m_ownCalls = 0;
        m_peers.relayed.clear();
        m_peers.relayAnswer.reset();
        if (peer) {
            m_peers.relayAnswer.emplace();
            m_peers.relayAnswer->status = *peer;
        }
        RequestForwarder forwarder(
            m_peers, {[logReachable] { return logReachable; }, [this] { return m_target; }},
            [this, own](const HttpRequest &, const HttpRespond &respond) {
                ++m_ownCalls;
                respond(answerWith(own));
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
    int m_ownCalls = 0;
};

} // namespace

TEST_F(RequestForwarderTest, AnswersHereWhileTheLogAnswers)
{
    EXPECT_EQ(ask("POST", 200, true, 200), 200);
    EXPECT_EQ(ask("POST", 401, true, 200), 401);
    EXPECT_TRUE(m_peers.relayed.empty());
}

// Guards against refusals of an instance that alone cannot reach the log: found on scale-2 of
// kbg-fitting, where its callers lost a second to each.
TEST_F(RequestForwarderTest, AsksAPeerWhileTheLogDoesNotAnswerHere)
{
    EXPECT_EQ(ask("POST", 503, false, 200), 200);
    EXPECT_EQ(m_ownCalls, 0);
    EXPECT_EQ(m_peers.relayed.size(), 1U);
    EXPECT_EQ(ask("POST", 503, true, 200), 200);
    EXPECT_EQ(m_ownCalls, 1);
    // The peer's configuration decides: a key that was withdrawn meanwhile is refused.
    EXPECT_EQ(ask("POST", 200, false, 401), 401);
}

// Guards against an answer that says more than is known.
TEST_F(RequestForwarderTest, ALostAnswerOfThePeerLeavesTheOutcomeUnknown)
{
    EXPECT_EQ(ask("POST", 503, true, std::nullopt), 504);
    EXPECT_EQ(ask("POST", 503, false, std::nullopt), 504);
    EXPECT_EQ(ask("GET", 503, false, std::nullopt), 503);
    // What may be stored already is not refused.
    EXPECT_EQ(ask("POST", 504, true, 503), 504);
    EXPECT_EQ(ask("POST", 504, true, 200), 200);
}

TEST_F(RequestForwarderTest, WithoutAPeerThatHasTheLogItAnswersHere)
{
    m_target.clear();
    EXPECT_EQ(ask("POST", 503, false, 200), 503);
    EXPECT_TRUE(m_peers.relayed.empty());
}

TEST_F(InstanceTest, OnlyAnInstanceThatHeardTheSchedulerOfLateNamesIt)
{
    Node &first = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(first.instance->forwardTarget(), "") << "nobody else stores";
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

// Guards against callers that wait for further tries of an append while a peer could store it.
TEST_F(InstanceTest, OneTryIsEnoughWhileAPeerCanStore)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    other.log->silent = true;
    const Instant from = m_clock.now();
    EXPECT_EQ(submit(other, "job"), SubmitOutcome::Unknown);
    EXPECT_LT(m_clock.now() - from, Duration(600));
}

} // namespace cardamompaddle
