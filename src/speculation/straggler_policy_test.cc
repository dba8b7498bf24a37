#include "speculation/straggler_policy.h"

#include <gtest/gtest.h>

#include <cmath>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr double SiblingMs = 850;
constexpr double LongTaskRatio = 7; // of the tasks that are longer than their siblings

// Returns a steady run of a step of ten tasks, whose progress points to this multiple of its
// siblings' run time. Its job is late unless it ends at once.
RunProgress runBehind(double ratio, Duration ran = Duration(1'000))
{
    RunProgress out;
    out.ran = ran;
    out.percent =
        static_cast<int32_t>(100 * static_cast<double>(ran.count()) / (ratio * SiblingMs));
    out.siblings = {8, 9, SiblingMs};
    return out;
}

WorkerPace pace(int32_t runs, double ratio)
{
    return {runs, std::log(ratio)};
}

} // namespace

// Guards against copies of runs that are as fast as their siblings, or hardly slower.
TEST(StragglerPolicyTest, ARunThatKeepsUpGetsNoCopy)
{
    const StragglerPolicy policy;
    EXPECT_FALSE(policy.judge(runBehind(1, Duration(600))));
    EXPECT_FALSE(policy.judge(runBehind(1.5)));
}

// Guards against runs on a faulty worker that are left behind although a copy elsewhere ends much
// sooner.
TEST(StragglerPolicyTest, ARunOnAFaultyWorkerGetsACopy)
{
    RunProgress run = runBehind(LongTaskRatio);
    run.pace = pace(3, LongTaskRatio);
    const auto prospect = StragglerPolicy().judge(run);
    ASSERT_TRUE(prospect);
    EXPECT_GT(prospect->leftMs, 3 * prospect->copyMs);
}

// Guards against spending the budget on tasks that are longer than their siblings on any worker.
TEST(StragglerPolicyTest, ALongTaskOnAHealthyWorkerGetsNoCopy)
{
    RunProgress run = runBehind(LongTaskRatio);
    run.pace = pace(2, 1);
    EXPECT_FALSE(StragglerPolicy().judge(run));
}

// Guards against a policy that gives up where nothing else runs on the worker.
TEST(StragglerPolicyTest, WithoutOtherRunsOnTheWorkerTheDoubtIsShared)
{
    const StragglerPolicy policy;
    EXPECT_DOUBLE_EQ(policy.probabilityOfWorkerFault(runBehind(LongTaskRatio), LongTaskRatio), 0.5);
    EXPECT_TRUE(policy.judge(runBehind(LongTaskRatio)));
    EXPECT_FALSE(policy.judge(runBehind(3))) << "a copy of a long task would gain too little";
}

// Guards against copies that end later than the run itself.
TEST(StragglerPolicyTest, ARunThatIsNearlyDoneGetsNoCopy)
{
    RunProgress run = runBehind(LongTaskRatio, Duration(5'000));
    run.pace = pace(3, LongTaskRatio);
    EXPECT_FALSE(StragglerPolicy().judge(run));
}

// Guards against a copy whose expected gain is small for its cost.
TEST(StragglerPolicyTest, ACopyMustGainAClearMargin)
{
    const auto early = StragglerPolicy().judge(runBehind(LongTaskRatio, Duration(1'000)));
    ASSERT_TRUE(early);
    EXPECT_GT(early->leftMs, 1.25 * early->copyMs);
    EXPECT_FALSE(StragglerPolicy().judge(runBehind(LongTaskRatio, Duration(1'800))))
        << "it would save half a second of four";
}

// Guards against projections from a progress that has not been reported for a while.
TEST(StragglerPolicyTest, AProjectionRestsOnTheLastReport)
{
    RunProgress run;
    run.ran = Duration(1'500);
    run.sinceReport = Duration(1'000);
    run.percent = 49;
    EXPECT_DOUBLE_EQ(StragglerPolicy().projectedMs(run), 1'500);
    run.sinceReport = Duration(0);
    EXPECT_DOUBLE_EQ(StragglerPolicy().projectedMs(run), 3'000);
}

// Guards against copies of tasks whose job is in time anyway.
TEST(StragglerPolicyTest, ARunWithSlackGetsNoCopy)
{
    RunProgress run = runBehind(LongTaskRatio);
    run.timeAllowed = Duration(10'000);
    EXPECT_FALSE(StragglerPolicy().judge(run));
    run.timeAllowed = Duration(2'000);
    const auto prospect = StragglerPolicy().judge(run);
    ASSERT_TRUE(prospect);
    EXPECT_TRUE(prospect->saves);
    run.timeAllowed = Duration(500);
    EXPECT_FALSE(StragglerPolicy().judge(run)->saves) << "it is late in any case";
}

// Guards against judging a step by one or two runs, which may be its shortest ones.
TEST(StragglerPolicyTest, ARunIsJudgedOnlyByEnoughFinishedSiblings)
{
    RunProgress run = runBehind(LongTaskRatio);
    run.siblings.finished = 2;
    EXPECT_FALSE(StragglerPolicy().judge(run));
    run.siblings.others = 2;
    EXPECT_TRUE(StragglerPolicy().judge(run)) << "there are no more";
    run.siblings = {0, 0, 0};
    EXPECT_FALSE(StragglerPolicy().judge(run)) << "a single task has no siblings";
}

// Guards against taking a slow worker of a fleet with several speeds for a faulty one.
TEST(StragglerPolicyTest, ARunIsComparedWithWhatItsWorkerUsuallyTakes)
{
    RunProgress run = runBehind(2, Duration(600));
    EXPECT_TRUE(StragglerPolicy().isBehind(run));
    run.workerSlowdown = 1.7;
    EXPECT_FALSE(StragglerPolicy().isBehind(run));
}

// Guards against waiting for a run that has stopped to progress, and against taking a late report
// for a standstill.
TEST(StragglerPolicyTest, ARunThatStandsStillGetsACopyUnlessItsWorkerIsPolledLate)
{
    RunProgress run;
    run.ran = Duration(2'400);
    run.percent = 50;
    run.sincePercent = Duration(1'900);
    run.siblings = {8, 9, SiblingMs};
    run.pace = pace(2, 1);
    EXPECT_TRUE(StragglerPolicy().judge(run));
    run.sinceReport = std::exchange(run.sincePercent, Duration(0));
    EXPECT_FALSE(StragglerPolicy().judge(run));
}

// Guards against copies beyond the permitted share of the pool.
TEST(CopyBudgetTest, FitsUpToTheShareOfThePool)
{
    CopyBudget budget(100'000, 0.05);
    EXPECT_TRUE(budget.fits(5'000));
    budget.add(4'000);
    EXPECT_TRUE(budget.fits(1'000));
    EXPECT_FALSE(budget.fits(1'001));
    EXPECT_FALSE(CopyBudget(100'000, 0).fits(1));
}

} // namespace cardamompaddle
