#include "control/worker_call_codec.h"

#include "control/worker_call_testing.h"
#include "work/codec.h"

#include <gtest/gtest.h>

namespace cardamompaddle {

namespace {

using testing::startOrder;
using testing::workerEntry;

const CommandFence Fence{5'000'001, 9'000, "w"};

// Encodes and decodes a struct, as if it had been sent to a peer.
work::WorkerCall sent(const work::WorkerCall &call)
{
    work::WorkerCalls message;
    message.calls = {call};
    return decodeRecord<work::WorkerCalls>(encodeRecord(message))->calls.at(0);
}

work::WorkerAnswer sent(const work::WorkerAnswer &answer)
{
    work::WorkerAnswers message;
    message.answers = {answer};
    return decodeRecord<work::WorkerAnswers>(encodeRecord(message))->answers.at(0);
}

} // namespace

// Guards against orders that change on their way: another run, checkpoint, ticket or payload.
TEST(WorkerCallCodecTest, OrdersSurviveTheWay)
{
    const StartOrder start = startOrder("w", "job");
    const work::WorkerCall call = sent(encodeStart(workerEntry("w"), Fence, start));
    const auto decoded = decodeStart(call, {{"job", "payload"}});
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->worker, "w");
    EXPECT_EQ(decoded->task, start.task);
    EXPECT_EQ(decoded->run, 7);
    EXPECT_EQ(decoded->checkpoint, "checkpoint");
    EXPECT_EQ(decoded->ticket, "ticket");
    EXPECT_EQ(decoded->job->payload, "payload");
    EXPECT_EQ(decodeWorkerOf(call).address, "10.0.0.1:80");
    const CommandFence fence = decodeFence(call, 5);
    EXPECT_EQ(fence.leaseEndMs, 9'000);
    EXPECT_EQ(fence.worker, "w");
    EXPECT_EQ(fence.token, Fence.token) << "the token of the call, not the epoch of the batch";
    const auto stop = decodeStop(sent(encodeStop(workerEntry("w"), Fence, {"w", start.task, 7})));
    ASSERT_TRUE(stop);
    EXPECT_EQ(stop->task, start.task);
    EXPECT_EQ(stop->run, 7);
    const auto throttle =
        decodeThrottle(sent(encodeThrottle(workerEntry("w"), Fence, {"w", start.task, 7, 40})));
    ASSERT_TRUE(throttle);
    EXPECT_EQ(throttle->speedPercent, 40);
    const work::WorkerCall poll = sent(encodePoll(workerEntry("w"), Fence, 12, Duration(900)));
    EXPECT_EQ(poll.acknowledged, 12);
    EXPECT_EQ(poll.waitMs, 900);
}

// Guards against a start with an empty specification.
TEST(WorkerCallCodecTest, AStartWithoutItsPayloadIsRefused)
{
    const work::WorkerCall call = encodeStart(workerEntry("w"), Fence, startOrder("w", "job"));
    EXPECT_EQ(decodeStart(call, {{"other", "payload"}}).error().code, ErrorCode::InvalidArgument);
}

TEST(WorkerCallCodecTest, ReportsSurviveTheWayAndKeepTheTimeOfTheRequest)
{
    const TaskRef task{{"job", 1, 2}, 3};
    PollResult poll;
    poll.workerTimeMs = 77;
    poll.report.requestedAt = instantFromMs(1); // on the clock of the link
    poll.report.startedAtMs = 55;
    poll.report.running.push_back({task, 4, "c", 50, 6});
    for (const RunOutcome outcome :
         {RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::LeaseLapsed,
          RunOutcome::GangBroken, RunOutcome::GangIncomplete})
        poll.report.ended.push_back({9, task, 5, outcome, "e"});
    poll.report.moreEnded = true;
    const auto decoded = decodePollAnswer(sent(encodePollAnswer(3, poll)), instantFromMs(2'000));
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->report.moreEnded);
    EXPECT_EQ(decoded->workerTimeMs, 77);
    EXPECT_EQ(decoded->report.requestedAt, instantFromMs(2'000));
    EXPECT_EQ(decoded->report.startedAtMs, 55);
    ASSERT_EQ(decoded->report.running.size(), 1U);
    EXPECT_EQ(decoded->report.running[0].task, task);
    EXPECT_EQ(decoded->report.running[0].run, 4);
    EXPECT_EQ(decoded->report.running[0].checkpoint, "c");
    EXPECT_EQ(decoded->report.running[0].percent, 50);
    EXPECT_EQ(decoded->report.running[0].loadMetric, 6);
    ASSERT_EQ(decoded->report.ended.size(), poll.report.ended.size());
    for (size_t i = 0; i < poll.report.ended.size(); ++i)
        EXPECT_EQ(decoded->report.ended[i].outcome, poll.report.ended[i].outcome);
    EXPECT_EQ(decoded->report.ended[0].position, 9);
    EXPECT_EQ(decoded->report.ended[0].checkpoint, "e");
}

// Guards against an outcome that becomes more certain on its way.
TEST(WorkerCallCodecTest, OutcomesAndErrorsSurviveTheWay)
{
    for (const StartOutcome outcome :
         {StartOutcome::Started, StartOutcome::NoRoom, StartOutcome::StaleRun,
          StartOutcome::NoApproval, StartOutcome::WorkerUnavailable})
        EXPECT_EQ(decodeStartAnswer(sent(encodeStartAnswer(1, StartAnswer{outcome, std::nullopt})))
                      ->outcome,
                  outcome);
    EXPECT_EQ(decodeStartAnswer(
                  sent(encodeStartAnswer(1, StartAnswer{StartOutcome::Unknown, std::nullopt})))
                  .error()
                  .code,
              ErrorCode::OutcomeUnknown);
    for (const ErrorCode code : {ErrorCode::PermissionDenied, ErrorCode::Conflict,
                                 ErrorCode::Unavailable, ErrorCode::OutcomeUnknown})
        EXPECT_EQ(decodeOrderAnswer(sent(encodeError(1, {code, "r"}))).error(), (Error{code, "r"}));
    work::WorkerAnswer answer;
    answer.error = "of a later version";
    EXPECT_EQ(decodeOrderAnswer(answer).error().code, ErrorCode::OutcomeUnknown);
}

// Guards against calls of a scheduler of an earlier version, which sends no tokens, that workers
// refuse.
TEST(WorkerCallCodecTest, ACallWithoutATokenIsFencedByTheEpochOfItsBatch)
{
    work::WorkerCall call = sent(encodePoll(workerEntry("w"), Fence, 12, Duration(900)));
    call.fencingToken = 0;
    EXPECT_EQ(decodeFence(call, 5).token, 5);
}

// Guards against a start that another incarnation has answered and that passes for confirmed
// because a peer made the call.
TEST(WorkerCallCodecTest, AStartAnswerKeepsTheWorkersClock)
{
    const auto known =
        decodeStartAnswer(encodeStartAnswer(1, StartAnswer{StartOutcome::Started, 42}));
    ASSERT_TRUE(known);
    EXPECT_EQ(known->outcome, StartOutcome::Started);
    EXPECT_EQ(known->workerTimeMs, 42);
    const auto unknown =
        decodeStartAnswer(encodeStartAnswer(1, StartAnswer{StartOutcome::Started, std::nullopt}));
    ASSERT_TRUE(unknown);
    EXPECT_EQ(unknown->workerTimeMs, std::nullopt);
}

} // namespace cardamompaddle
