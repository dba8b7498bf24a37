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

constexpr Duration CallerWait{1'350};

class RequestForwarderTest : public ::testing::Test
{
protected:
    // Sends one request and returns its status. This instance would answer it with status `local`,
    // the peer with status `peer`; without one, the peer does not answer.
    int send(const std::string &method, int local, bool logReachable, std::optional<int> peer)
    {
        m_localCalls = m_repeatedLocalCalls = 0;
        m_peers.forwardedRequests.clear();
        m_peers.forwardResponse.reset();
        if (peer) {
            m_peers.forwardResponse.emplace();
            m_peers.forwardResponse->status = *peer;
            m_peers.forwardResponse->configurationVersion = m_peerVersion;
        }
        RequestForwarder forwarder(
            m_io, m_clock, m_peers,
            {[logReachable] { return logReachable; }, [this] { return m_target; },
             [this] { return m_collector; },
             [this](const HttpRequest &) { return m_clock.now() + CallerWait; },
             [this] { return m_configurationVersion; },
             [this](int64_t version) { m_configurationVersion = version; }},
            [this, local](const HttpRequest &request, const HttpRespond &respond) {
                ++m_localCalls;
                m_repeatedLocalCalls += request.headers.contains(RepeatedHeader) ? 1 : 0;
                const bool settled = m_localCalls > m_unsettledLocalCalls;
                respond(responseWith(settled ? m_settledStatus.value_or(local) : local));
            });
        HttpRequest request;
        request.method = method;
        request.path = "/r/1";
        request.headers[RepeatedHeader] = "1"; // by the caller: means nothing
        int status = 0;
        forwarder.handle(request, [&status](const HttpResponse &it) { status = it.status; });
        m_io.run_for(std::chrono::milliseconds(1'400));
        m_io.restart();
        return status;
    }

    boost::asio::io_context m_io;
    testing::TestPolicy m_peers{m_io};
    testing::TestClock m_clock;
    std::string m_target = "peer:1";
    std::string m_collector;
    int64_t m_configurationVersion = 0; // the newest that this instance knows
    int64_t m_peerVersion = 0; // by which the peer decides
    int m_localCalls = 0;
    int m_repeatedLocalCalls = 0;
    // If set, the status of the local handler after the first calls.
    std::optional<int> m_settledStatus;
    int m_unsettledLocalCalls = 1;
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

// Guards against an instance, or a peer that decides for it, that goes back to an older
// configuration than callers have seen.
TEST_F(RequestForwarderTest, InstancesTellEachOtherByWhichConfigurationTheyDecide)
{
    m_configurationVersion = 3;
    m_peerVersion = 7;
    EXPECT_EQ(send("POST", 503, false, 200), 200);
    EXPECT_EQ(m_peers.forwardedVersion, 3);
    EXPECT_EQ(m_configurationVersion, 7);
}

// Guards against giving up a request whose outcome could still be settled within its deadline.
TEST_F(RequestForwarderTest, RepeatsARequestWhoseOutcomeIsUnknown)
{
    m_settledStatus = 200;
    m_target.clear();
    EXPECT_EQ(send("POST", 504, true, std::nullopt), 200);
    EXPECT_EQ(m_localCalls, 2);
    // A peer that does not answer any more: this instance stores the job itself.
    m_target = "peer:1";
    m_unsettledLocalCalls = 0;
    EXPECT_EQ(send("POST", 504, false, std::nullopt), 200);
    // What may be stored is not refused, also if the later try certainly stores nothing.
    m_settledStatus = 401;
    m_unsettledLocalCalls = 1;
    EXPECT_EQ(send("POST", 504, true, 504), 504);
    EXPECT_EQ(send("POST", 504, true, 403), 504);
}

// Guards against a refusal for load that is lifted by what a forwarder repeats for a caller who has
// given up, and against one that another instance is asked to reconsider.
TEST_F(RequestForwarderTest, MarksWhatItTriesAgain)
{
    EXPECT_EQ(send("POST", 429, true, 200), 429);
    EXPECT_EQ(m_localCalls, 1);
    EXPECT_EQ(m_repeatedLocalCalls, 0);
    EXPECT_TRUE(m_peers.forwardedRequests.empty());
    m_settledStatus = 429;
    m_unsettledLocalCalls = 1;
    EXPECT_EQ(send("POST", 504, true, 504), 504) << "the first try may have stored the job";
    EXPECT_GT(m_localCalls, 1);
    EXPECT_EQ(m_repeatedLocalCalls, m_localCalls - 1);
}

// Guards against an append for each job while the log is so slow that it takes only a few.
TEST_F(RequestForwarderTest, ACollectorGetsWhatCallersHandIn)
{
    m_collector = "peer:1";
    EXPECT_EQ(send("POST", 500, true, 200), 200);
    EXPECT_EQ(send("DELETE", 500, true, 200), 200);
    EXPECT_EQ(m_localCalls, 0);
    EXPECT_EQ(send("GET", 200, true, 500), 200);
    EXPECT_TRUE(m_peers.forwardedRequests.empty());
    EXPECT_EQ(send("POST", 200, true, 503), 503) << "the log takes no more";
    m_peers.forwardFails = true;
    EXPECT_EQ(send("POST", 200, true, std::nullopt), 200)
        << "the collector does not exist any more";
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

// Guards against instances that learn of a slow log only from their own few appends, after they
// have flooded it together.
TEST_F(InstanceTest, TheSchedulersInstanceCollectsWhileTheLogIsSlow)
{
    Node &first = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    EXPECT_EQ(other.instance->collector(), "");
    first.log->appendTime = Duration(120);
    EXPECT_TRUE(runUntil([&] { return other.instance->collector() == "a:1"; }));
    EXPECT_EQ(first.instance->collector(), "");
    first.log->appendTime = Duration(1);
    EXPECT_TRUE(runUntil([&] { return other.instance->collector().empty(); }));
}

// Guards against requests that wait for a collector as long as for a slow log while the log is
// away.
TEST_F(InstanceTest, ALogThatIsAwayIsNotTakenForASlowOne)
{
    Node &first = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    first.log->refuses = other.log->refuses = true;
    EXPECT_FALSE(runUntil([&] { return !other.instance->collector().empty(); }, Duration(400)));
    first.log->refuses = other.log->refuses = false;
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    first.log->unresponsive = other.log->unresponsive = true;
    runFor(Duration(1'100));
    EXPECT_EQ(other.instance->collector(), "");
    EXPECT_LT(first.instance->appendTime(), SlowAppendTime);
    EXPECT_LT(other.instance->appendTime(), SlowAppendTime);
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
