#include "control/resend_policy.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

constexpr Instant Start = instantFromMs(10'000);

ResendPolicy policyAfter(LogCallKind kind, int answers, Duration took)
{
    ResendPolicy out;
    for (int i = 0; i < answers; ++i)
        out.answered(kind, took);
    return out;
}

Instant firstCopyAt(const ResendPolicy &policy, LogCallKind kind)
{
    return policy.nextCopyAt({kind, 1, Start, Start}).value();
}

// Guards against a tenure that is lost with one connection: others claim it 500 ms after the
// holder's last record, and the holder stores one every 150 ms.
TEST(ResendPolicyTest, TwoCopiesOfAnAppendFitBeforeOthersClaim)
{
    const ResendPolicy policy = policyAfter(LogCallKind::Append, 20, Duration(10));
    const Instant second = firstCopyAt(policy, LogCallKind::Append);
    const auto third = policy.nextCopyAt({LogCallKind::Append, 2, second, Start});
    EXPECT_LT(*third + Duration(50), Start + Duration(500 - 150));
}

// Guards against a flood of copies to a log that is slow for all.
TEST(ResendPolicyTest, ASlowLogGetsNoCopiesWithinItsUsualTime)
{
    ResendPolicy policy = policyAfter(LogCallKind::Append, 20, Duration(10));
    policy.answered(LogCallKind::Append, Duration(300)); // it has become slow
    EXPECT_GT(firstCopyAt(policy, LogCallKind::Append), Start + Duration(450));
    EXPECT_EQ(policy.suspectAfter(LogCallKind::Read),
              ResendPolicy().suspectAfter(LogCallKind::Read))
        << "kinds are independent";
}

// Guards against a slow spell after which silent connections are noticed late for good.
TEST(ResendPolicyTest, TheUsualTimeFallsAgain)
{
    ResendPolicy policy = policyAfter(LogCallKind::Append, 3, Duration(400));
    for (int i = 0; i < 40; ++i)
        policy.answered(LogCallKind::Append, Duration(10));
    EXPECT_LT(policy.suspectAfter(LogCallKind::Append), Duration(100));
}

// Guards against copies without end to a log that is down.
TEST(ResendPolicyTest, CopiesAreFewAndWaitLongerWhileCallsGetNoAnswer)
{
    ResendPolicy policy = policyAfter(LogCallKind::Append, 20, Duration(10));
    const Instant usual = firstCopyAt(policy, LogCallKind::Append);
    policy.unanswered(LogCallKind::Append);
    EXPECT_EQ(firstCopyAt(policy, LogCallKind::Append) - Start, (usual - Start) * 2);
    policy.answered(LogCallKind::Append, Duration(10));
    EXPECT_EQ(firstCopyAt(policy, LogCallKind::Append), usual);
    EXPECT_FALSE(policy.nextCopyAt({LogCallKind::Append, ResendPolicy::MaxCopies, Start, Start}));
}

// Guards against a copy of each read that waits for records of a quiet topic.
TEST(ResendPolicyTest, AHeldReadIsNotLateBeforeTheLogHasToAnswer)
{
    const ResendPolicy policy = policyAfter(LogCallKind::Read, 20, Duration(5));
    const Instant heldUntil = Start + Duration(2'000);
    EXPECT_GT(policy.nextCopyAt({LogCallKind::Read, 1, Start, heldUntil}), heldUntil);
}

// Guards against copies that only the process's own delay causes: the answers wait to be read.
TEST(ResendPolicyTest, ALateCheckIsRepeated)
{
    EXPECT_FALSE(ResendPolicy::repeatLateCheck(Start, Start + Duration(2)));
    EXPECT_GT(ResendPolicy::repeatLateCheck(Start, Start + Duration(90)), Start + Duration(90));
}

} // namespace
} // namespace cardamompaddle
