#include "control/remote_worker_gateway.h"

#include "control/testing_platform.h"
#include "control/worker_call_codec.h"
#include "control/worker_call_testing.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

namespace cardamompaddle {

namespace {

using testing::startOrder;
using testing::workerEntry;

// One instance that may become a link. Messages to it are held until the test answers them.
const StartAnswer Started{StartOutcome::Started, std::nullopt};

class RemoteWorkerGatewayTest : public ::testing::Test
{
protected:
    RemoteWorkerGatewayTest()
    {
        work::Member member;
        member.name = "link";
        member.address = "link:1";
        m_members["link"] = member;
    }
    void run(Duration time = Duration(10))
    {
        m_io.restart();
        m_io.run_for(time);
    }
    void update(size_t workers = 100) { m_gateway.update(m_members, workers); }
    // Takes the oldest held message; fails the test if there is none.
    testing::HeldWorkerCallPeers::Calls takeMessage()
    {
        if (m_peers.calls.empty()) {
            ADD_FAILURE() << "no message";
            return {};
        }
        auto out = std::move(m_peers.calls.front());
        m_peers.calls.erase(m_peers.calls.begin());
        return out;
    }
    static work::WorkerCallsReceived received(const std::string &incarnation = "i1")
    {
        work::WorkerCallsReceived out;
        out.incarnation = incarnation;
        out.sendsFencingTokens = true;
        return out;
    }
    // Makes the instance a link.
    void connect()
    {
        update();
        takeMessage().done(received());
        ASSERT_EQ(m_gateway.linkCount(), 1U);
    }
    // Starts a task; its outcome is added to m_outcomes.
    void start(const std::string &job, const WorkerId &worker = "w",
               Duration timeout = Duration(200))
    {
        m_insideCall = true;
        m_gateway.start(workerEntry(worker), {3, 9'000, worker}, startOrder(worker, job), timeout,
                        [this](const Result<StartAnswer> &answer) {
                            EXPECT_FALSE(m_insideCall) << "a callback ran inside the call";
                            m_outcomes.push_back(answer);
                        });
        m_insideCall = false;
    }
    void poll()
    {
        m_gateway.poll(workerEntry("w"), {3, 9'000, "w"}, 5, Duration(900), Duration(1'300),
                       instantFromMs(123), [this](const Result<PollResult> &answer) {
                           ++m_pollAnswers;
                           if (answer)
                               m_requestedAt = answer->report.requestedAt;
                       });
    }
    // Sends the queued calls and returns their ids, of which none has been answered.
    std::vector<int64_t> deliver()
    {
        run();
        auto message = takeMessage();
        message.done(received());
        std::vector<int64_t> out;
        for (const work::WorkerCall &call : message.message.calls)
            out.push_back(call.id);
        return out;
    }
    void answer(const work::WorkerAnswer &answer)
    {
        work::WorkerAnswers message;
        message.session = "session";
        message.answers = {answer};
        m_gateway.answered(message);
    }
    ErrorCode onlyError() const
    {
        return m_outcomes.size() == 1 && !m_outcomes[0] ? m_outcomes[0].error().code
                                                        : ErrorCode::Internal;
    }

    boost::asio::io_context m_io;
    testing::TestClock m_clock;
    testing::HeldWorkers m_direct;
    testing::HeldWorkerCallPeers m_peers;
    std::map<std::string, work::Member> m_members;
    RemoteWorkerGateway m_gateway{
        m_io, m_clock, m_direct, m_peers, {"self", "scheduler:1", "session", 3}};
    std::vector<Result<StartAnswer>> m_outcomes;
    int m_pollAnswers = 0;
    Instant m_requestedAt = Instant::min();
    bool m_insideCall = false;
};

} // namespace

TEST_F(RemoteWorkerGatewayTest, ASmallFleetIsCalledDirectly)
{
    update(64);
    start("job");
    run(Duration(300));
    EXPECT_EQ(m_direct.starts.size(), 1U);
    EXPECT_TRUE(m_peers.calls.empty()) << "no probes either";
}

// Guards against one message for each call, and against a payload that is sent for each task.
TEST_F(RemoteWorkerGatewayTest, CallsShareAMessageAndAPayload)
{
    start("job");
    EXPECT_EQ(m_direct.starts.size(), 1U) << "until a probe is acknowledged";
    connect();
    for (int i = 0; i < 3; ++i)
        start("job");
    poll();
    run();
    const auto message = takeMessage();
    EXPECT_EQ(message.address, "link:1");
    EXPECT_EQ(message.message.calls.size(), 4U);
    EXPECT_EQ(message.message.payloads.size(), 1U);
    EXPECT_EQ(message.message.epoch, 3);
    EXPECT_EQ(message.message.replyTo, "scheduler:1");
    start("job");
    run();
    EXPECT_TRUE(m_peers.calls.empty()) << "one message in flight";
    message.done(received());
    EXPECT_EQ(m_peers.calls.size(), 1U);
    EXPECT_EQ(m_direct.starts.size(), 1U);
}

TEST_F(RemoteWorkerGatewayTest, ReportsAreDatedByTheSchedulersClock)
{
    connect();
    poll();
    PollResult result;
    result.report.requestedAt = instantFromMs(99'999);
    answer(encodePollAnswer(deliver().at(0), result));
    EXPECT_EQ(m_pollAnswers, 1);
    EXPECT_EQ(m_requestedAt, instantFromMs(123));
}

// Guards against callbacks that run twice: answers may be repeated or come late.
TEST_F(RemoteWorkerGatewayTest, RepeatedAndForeignAnswersAreIgnored)
{
    connect();
    start("job");
    const int64_t id = deliver().at(0);
    work::WorkerAnswers foreign;
    foreign.session = "another session";
    foreign.answers = {encodeStartAnswer(id, StartAnswer{StartOutcome::NoRoom, std::nullopt})};
    m_gateway.answered(foreign);
    EXPECT_TRUE(m_outcomes.empty());
    answer(encodeStartAnswer(id, Started));
    answer(encodeStartAnswer(id, Started));
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0]->outcome, StartOutcome::Started);
}

// Guards against a task that is started elsewhere although its start may be carried out: a lost
// link leaves the outcome of what it has received unknown.
TEST_F(RemoteWorkerGatewayTest, ALostLinkEndsItsCallsAtOnce)
{
    connect();
    start("received");
    poll();
    const auto ids = deliver();
    ASSERT_EQ(ids.size(), 2U);
    start("unanswered");
    run();
    takeMessage().done(Error{ErrorCode::OutcomeUnknown, "no answer"});
    ASSERT_EQ(m_outcomes.size(), 2U);
    EXPECT_EQ(m_outcomes[0].error().code, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_outcomes[1].error().code, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_gateway.linkCount(), 0U);
    // A poll may be repeated.
    ASSERT_EQ(m_direct.polls.size(), 1U);
    EXPECT_EQ(m_direct.polls[0].acknowledged, 5);
    EXPECT_EQ(m_direct.polls[0].requestedAt, instantFromMs(123));
    m_direct.polls[0].done(PollResult{});
    EXPECT_EQ(m_pollAnswers, 1);
    answer(encodeStartAnswer(ids[0], Started));
    EXPECT_EQ(m_outcomes.size(), 2U) << "a late answer";
    start("next");
    EXPECT_EQ(m_direct.starts.size(), 1U);
}

// Guards against tasks that wait because a batch did not reach a link that has gone.
TEST_F(RemoteWorkerGatewayTest, CallsThatWereNotReceivedAreMadeDirectly)
{
    connect();
    start("refused");
    run();
    const auto message = takeMessage();
    start("queued");
    message.done(Error{ErrorCode::Unavailable, "connection refused"});
    EXPECT_EQ(m_direct.starts.size(), 2U);
    EXPECT_TRUE(m_outcomes.empty());
    for (const auto &it : m_direct.starts) {
        EXPECT_LE(it.timeout, Duration(200));
        it.done(Started);
    }
    EXPECT_EQ(m_outcomes.size(), 2U);
}

// Guards against calls that are lost in a restart of the link and wait for their timeout.
TEST_F(RemoteWorkerGatewayTest, ARestartOfTheLinkEndsItsCalls)
{
    connect();
    start("job", "w", Duration(5'000));
    deliver();
    run(Duration(300)); // until the next probe
    takeMessage().done(received("i2"));
    EXPECT_EQ(onlyError(), ErrorCode::OutcomeUnknown);
}

// Guards against a link that acknowledges batches, but whose results never arrive.
TEST_F(RemoteWorkerGatewayTest, ALinkThatReturnsNoResultsIsLost)
{
    connect();
    for (const char *worker : {"w1", "w2", "w3"})
        start("job", worker, Duration(50));
    deliver();
    for (int i = 0; i < 80 && m_outcomes.size() < 3; ++i) {
        run(Duration(20));
        if (!m_peers.calls.empty())
            takeMessage().done(received());
    }
    ASSERT_EQ(m_outcomes.size(), 3U);
    EXPECT_EQ(m_outcomes[0].error().code, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_gateway.linkCount(), 0U);
}

// Guards against a worker that counts as unreachable because only its link cannot reach it.
TEST_F(RemoteWorkerGatewayTest, AWorkerThatTheLinkCannotReachIsCalledDirectlyForATime)
{
    connect();
    start("job");
    answer(encodeError(deliver().at(0), {ErrorCode::Unavailable, "connection refused"}));
    EXPECT_EQ(onlyError(), ErrorCode::Unavailable);
    start("job");
    start("job", "other");
    EXPECT_EQ(m_direct.starts.size(), 1U);
    run();
    EXPECT_EQ(takeMessage().message.calls.size(), 1U) << "other workers keep their link";
}

// Guards against a member record with a new address whose calls still go to the old one.
TEST_F(RemoteWorkerGatewayTest, AMovedInstanceIsAnotherLink)
{
    connect();
    start("job");
    deliver();
    m_members["link"].address = "link:2";
    update();
    EXPECT_EQ(onlyError(), ErrorCode::OutcomeUnknown);
    EXPECT_EQ(m_gateway.linkCount(), 0U);
}

// Guards against a start that goes out seconds after it was decided, because the scheduler's
// process was suspended while the order was queued for its link.
TEST_F(RemoteWorkerGatewayTest, AQueuedStartOfASuspendedProcessIsNotSent)
{
    connect();
    start("job");
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    run(Duration(80));
    for (const auto &held : m_peers.calls)
        EXPECT_TRUE(held.message.calls.empty());
    EXPECT_TRUE(m_direct.starts.empty());
    ASSERT_EQ(m_outcomes.size(), 1U);
    EXPECT_EQ(m_outcomes[0].error().code, ErrorCode::Unavailable);
}

// Guards against calls that workers refuse, and a tenure that is given up for it, because an
// instance of an earlier version sends them with the epoch in place of their token.
TEST_F(RemoteWorkerGatewayTest, AnInstanceThatSendsNoTokensIsNoLink)
{
    update();
    work::WorkerCallsReceived earlierVersion;
    earlierVersion.incarnation = "i1";
    takeMessage().done(earlierVersion);
    EXPECT_EQ(m_gateway.linkCount(), 0U);
    start("job");
    EXPECT_EQ(m_direct.starts.size(), 1U);
}

} // namespace cardamompaddle
