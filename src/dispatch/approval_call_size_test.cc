#include "dispatch/approval_call_size.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

std::vector<ApprovalChance> workers(size_t count, int64_t places, double probability)
{
    return std::vector<ApprovalChance>(count, {places, probability});
}

// Guards against calls about many workers for a step that one approved worker serves: they take
// the policy service's time from other steps.
TEST(ApprovalCallSizeTest, AStepThatNeedsOnePlaceNamesFewWorkers)
{
    const ApprovalPolicy policy{Duration(100), 5, Duration(2'000)};
    const size_t size = bestCallSize(workers(30, 1, 0.35), 1, policy);
    EXPECT_GE(size, 5U);
    EXPECT_LE(size, 12U);
}

// Guards against small calls that have to be repeated although a decision takes long, whatever the
// number of workers.
TEST(ApprovalCallSizeTest, MoreWorkersAreNamedIfTheyCostLittle)
{
    const ApprovalPolicy cheap{Duration(400), 0.1, Duration(2'000)};
    const ApprovalPolicy costly{Duration(100), 20, Duration(2'000)};
    EXPECT_GT(bestCallSize(workers(30, 1, 0.35), 1, cheap),
              bestCallSize(workers(30, 1, 0.35), 1, costly));
}

TEST(ApprovalCallSizeTest, NamesAllIfNotEvenAllAreEnough)
{
    const ApprovalPolicy policy{Duration(400), 5.7, Duration(2'000)};
    EXPECT_EQ(bestCallSize(workers(30, 1, 0.35), 60, policy), 30U);
    EXPECT_EQ(bestCallSize(workers(30, 0, 0.35), 1, policy), 30U) << "none has room";
    EXPECT_EQ(bestCallSize(workers(30, 100, 1), 10'000, policy), 30U);
    EXPECT_EQ(bestCallSize({}, 1, policy), 0U);
}

// Guards against naming further workers although those that were approved before are enough.
TEST(ApprovalCallSizeTest, NamesNoMoreThanSurelySuffice)
{
    const ApprovalPolicy policy{Duration(400), 5.7, Duration(2'000)};
    EXPECT_EQ(bestCallSize(workers(30, 2, 1), 5, policy), 3U);
}

} // namespace
} // namespace cardamompaddle
