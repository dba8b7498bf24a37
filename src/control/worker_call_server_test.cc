#include "control/worker_call_server.h"

#include "control/worker_call_codec.h"
#include "control/worker_call_testing.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace cardamompaddle {

namespace {

using testing::startOrder;
using testing::workerEntry;

class WorkerCallServerTest : public ::testing::Test
{
protected:
    // A batch that the scheduler sends now; its clock is 7 s ahead of the link's.
    work::WorkerCalls batch(int64_t epoch, const std::vector<int64_t> &startIds)
    {
        work::WorkerCalls out;
        out.session = "s" + std::to_string(epoch);
        out.epoch = epoch;
        out.replyTo = "scheduler:1";
        out.sentAtMs = toMs(m_clock.time) + 7'000;
        for (const int64_t id : startIds) {
            work::WorkerCall call =
                encodeStart(workerEntry("w"), {epoch, 9'000, "w"}, startOrder("w", "job"));
            call.id = id;
            call.timeoutMs = 200;
            out.calls.push_back(call);
            out.payloads["job"] = "payload";
        }
        return out;
    }
    void run(Duration time = Duration(15))
    {
        m_io.restart();
        m_io.run_for(time);
    }
    // Answers that were sent to the scheduler, by id; "" for a call without an error.
    std::map<int64_t, std::string> answered() const
    {
        std::map<int64_t, std::string> out;
        for (const auto &it : m_peers.answers) {
            for (const work::WorkerAnswer &answer : it.message.answers)
                out[answer.id] = answer.error;
        }
        return out;
    }

    boost::asio::io_context m_io;
    testing::SettableClock m_clock;
    testing::HeldWorkers m_workers;
    testing::HeldWorkerCallPeers m_peers;
    WorkerCallServer m_server{m_io, m_clock, m_workers, m_peers, "incarnation"};
};

} // namespace

TEST_F(WorkerCallServerTest, MakesTheCallsAndReturnsAnswersInBatches)
{
    EXPECT_EQ(m_server.receive(batch(1, {})).incarnation, "incarnation");
    m_server.receive(batch(1, {10, 11}));
    EXPECT_TRUE(m_workers.starts.empty()) << "the acknowledgement goes first";
    run();
    ASSERT_EQ(m_workers.starts.size(), 2U);
    EXPECT_EQ(m_workers.starts[0].order.job->payload, "payload");
    EXPECT_EQ(m_workers.starts[0].fence.token, 1);
    EXPECT_EQ(m_workers.starts[0].fence.leaseEndMs, 9'000);
    m_workers.starts[0].done(StartAnswer{StartOutcome::Started, std::nullopt});
    m_workers.starts[1].done(Error{ErrorCode::OutcomeUnknown, "no answer"});
    run();
    ASSERT_EQ(m_peers.answers.size(), 1U);
    EXPECT_EQ(m_peers.answers[0].address, "scheduler:1");
    EXPECT_EQ(m_peers.answers[0].message.session, "s1");
    EXPECT_EQ(answered(), (std::map<int64_t, std::string>{{10, ""}, {11, "outcome_unknown"}}));
}

// Guards against results that are lost with one message, and against messages without end.
TEST_F(WorkerCallServerTest, RepeatsAnAnswerAFewTimesWithOneMessageInFlight)
{
    m_server.receive(batch(1, {}));
    m_server.receive(batch(1, {10, 11}));
    run();
    m_workers.starts[0].done(StartAnswer{StartOutcome::Started, std::nullopt});
    run();
    m_workers.starts[1].done(StartAnswer{StartOutcome::Started, std::nullopt});
    run();
    ASSERT_EQ(m_peers.answers.size(), 1U) << "one message in flight";
    for (size_t i = 0; i < m_peers.answers.size() && i < 10; ++i) {
        const auto done = m_peers.answers[i].done;
        done(Error{ErrorCode::OutcomeUnknown, "no answer"});
        run(Duration(100));
    }
    EXPECT_GE(m_peers.answers.size(), 4U) << "both messages are repeated";
    EXPECT_LE(m_peers.answers.size(), 8U);
    EXPECT_EQ(m_peers.answers[1].message.answers[0].id, 10);
    EXPECT_EQ(m_peers.answers.back().message.answers[0].id, 11);
}

// Guards against a start that is carried out after a cancel, because this process was frozen while
// the batch lay in its socket.
TEST_F(WorkerCallServerTest, CallsThatWaitedTooLongAreNotMade)
{
    m_server.receive(batch(1, {}));
    const auto lateInSocket = batch(1, {10});
    m_clock.time += Duration(250);
    m_server.receive(lateInSocket);
    run();
    EXPECT_TRUE(m_workers.starts.empty());
    EXPECT_EQ(answered(), (std::map<int64_t, std::string>{{10, "unavailable"}}));
    // The freeze may also come after the acknowledgement.
    m_server.receive(batch(1, {11}));
    m_clock.time += Duration(250);
    run();
    EXPECT_TRUE(m_workers.starts.empty());
    const auto slightlyLate = batch(1, {12});
    m_clock.time += Duration(80);
    m_server.receive(slightlyLate);
    run();
    ASSERT_EQ(m_workers.starts.size(), 1U);
    EXPECT_EQ(m_workers.starts[0].timeout, Duration(120)) << "what is left of the timeout";
}

// Guards against old calls that a restarted process makes because it cannot tell their age.
TEST_F(WorkerCallServerTest, TheFirstBatchOfASessionIsOnlyAReference)
{
    m_server.receive(batch(1, {10}));
    run();
    EXPECT_TRUE(m_workers.starts.empty());
    EXPECT_EQ(answered(), (std::map<int64_t, std::string>{{10, "unavailable"}}));
}

// Guards against a former scheduler that starts tasks through an instance that knows its successor.
TEST_F(WorkerCallServerTest, CallsOfALowerEpochAreRefused)
{
    m_server.receive(batch(1, {}));
    m_server.receive(batch(1, {10}));
    m_server.receive(batch(2, {}));
    run(); // the first batch was received before, but its call is made only now
    m_server.receive(batch(1, {11}));
    run();
    EXPECT_TRUE(m_workers.starts.empty());
    EXPECT_EQ(answered()[10], "permission_denied");
    m_peers.answers[0].done({});
    run();
    EXPECT_EQ(answered()[11], "permission_denied");
    m_server.receive(batch(2, {12}));
    run();
    EXPECT_EQ(m_workers.starts.size(), 1U);
}

// Guards against refusing all calls late in a tenure, because the clocks of two machines have
// drifted apart since it began.
TEST_F(WorkerCallServerTest, ClockDriftIsNotTakenForLateness)
{
    m_server.receive(batch(1, {}));
    constexpr int Probes = 400;
    for (int drift = 1; drift <= Probes; ++drift) {
        m_clock.time += Duration(200);
        auto probe = batch(1, {});
        probe.sentAtMs -= drift;
        m_server.receive(probe);
    }
    auto calls = batch(1, {10});
    calls.sentAtMs -= Probes;
    m_server.receive(calls);
    run();
    ASSERT_EQ(m_workers.starts.size(), 1U);
    EXPECT_GE(m_workers.starts[0].timeout, Duration(190));
}

} // namespace cardamompaddle
