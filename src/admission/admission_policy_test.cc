// The load of these tests is customer A's quick route (1.6 steps of 10 tasks, 0.8 s on 4.5 cores,
// objective 1.5 x chain + 250 ms) on a pool of which the account gets 1,000 cores.
#include "admission/admission_policy.h"

#include "admission/backlog_feed.h"
#include "admission/fair_drain.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cardamompaddle {
namespace {

constexpr Duration MaxAge{1'500};
constexpr int64_t Epoch = 7;
constexpr int64_t DrainCpuMilli = 1'000'000;
const Instant Now = instantFromMs(100'000);

AdmissionRequest quickJob(const std::string &id = "job")
{
    AdmissionRequest out;
    out.id = id;
    out.pool = "p";
    out.account = "t";
    out.chain = Duration(1'600);
    out.objective = Duration(2'650);
    return out;
}

// An account whose new quick jobs wait this long, with other work that is less urgent.
BacklogSummary backlogOf(Duration quickWait, Duration batchWait = Duration::zero())
{
    AccountBacklog account;
    account.pool = "p";
    account.account = "t";
    account.coreMs[0] = quickWait.count() * DrainCpuMilli / 1'000;
    account.coreMs[2] = batchWait.count() * DrainCpuMilli / 1'000;
    account.demandCpuMilli = 2 * DrainCpuMilli;
    account.drainCpuMilli = DrainCpuMilli;
    return {Epoch, Now, {account}};
}

AdmissionDecision decide(const AdmissionRequest &request, const BacklogSummary &summary,
                         Instant now = Now)
{
    return AdmissionPolicy(MaxAge).decide(request, &summary, Epoch, now);
}

// Guards against jobs that wait in the backlog of a hot account until nobody wants their result.
TEST(AdmissionPolicyTest, RefusesAJobThatHasNoValueLeftWhenItIsServed)
{
    // Of use until 7,950 ms, so with a wait of up to 6,350 ms.
    EXPECT_FALSE(decide(quickJob(), backlogOf(Duration(6'350))).refused());
    const auto decision = decide(quickJob(), backlogOf(Duration(6'351)));
    EXPECT_TRUE(decision.refused());
    EXPECT_EQ(decision.expectedWait, Duration(6'351));
    EXPECT_GE(decision.retryAfter, Duration(6'351 - 1'050));
    EXPECT_LE(decision.retryAfter, Duration((6'351 - 1'050) * 5 / 4));
}

// Guards against urgent work that is refused for less urgent work that it overtakes.
TEST(AdmissionPolicyTest, LessUrgentBacklogDelaysOnlyLessUrgentJobs)
{
    const BacklogSummary summary = backlogOf(Duration(1'000), Duration(60'000));
    EXPECT_FALSE(decide(quickJob(), summary).refused());
    AdmissionRequest batch = quickJob();
    batch.priority = 2;
    EXPECT_TRUE(decide(batch, summary).refused());
    batch.chain = Duration(20'000); // late, but still of use
    batch.objective = Duration(45'200);
    EXPECT_FALSE(decide(batch, summary).refused());
}

// Guards against refusals by what an earlier scheduler knew, or by what has changed since.
TEST(AdmissionPolicyTest, AnOldSummaryOrOneOfAnotherTenureRefusesNothing)
{
    const BacklogSummary summary = backlogOf(Duration(60'000));
    EXPECT_TRUE(decide(quickJob(), summary, Now + Duration(1'499)).refused());
    EXPECT_EQ(decide(quickJob(), summary, Now + MaxAge).reason, AdmissionReason::Stale);
    const AdmissionPolicy policy(MaxAge);
    for (const int64_t epoch : {Epoch - 1, Epoch + 1})
        EXPECT_EQ(policy.decide(quickJob(), &summary, epoch, Now).reason,
                  AdmissionReason::OtherTenure);
    EXPECT_EQ(policy.decide(quickJob(), nullptr, Epoch, Now).reason, AdmissionReason::NoSummary);
}

// Guards against accounts that are refused because another one has a backlog, and against an
// account that is refused although all its work finds room at once.
TEST(AdmissionPolicyTest, AnAccountWithinItsShareIsNotRefused)
{
    BacklogSummary summary = backlogOf(Duration(60'000));
    AdmissionRequest other = quickJob();
    other.account = "u";
    EXPECT_FALSE(decide(other, summary).refused());
    other = quickJob();
    other.pool = "q";
    EXPECT_FALSE(decide(other, summary).refused());
    summary.accounts[0].demandCpuMilli = DrainCpuMilli;
    EXPECT_FALSE(decide(quickJob(), summary).refused());
}

TEST(AdmissionPolicyTest, ExemptJobsAreNeverRefused)
{
    AdmissionRequest gang = quickJob();
    gang.exempt = true;
    EXPECT_EQ(decide(gang, backlogOf(Duration(60'000))).reason, AdmissionReason::Exempt);
}

// Guards against a caller who is told a longer time each time it returns.
TEST(AdmissionPolicyTest, ACallerThatReturnsToADrainedBacklogIsToldAShorterTime)
{
    const auto first = decide(quickJob(), backlogOf(Duration(20'000)));
    const auto second = decide(quickJob(), backlogOf(Duration(10'000)));
    ASSERT_TRUE(first.refused() && second.refused());
    EXPECT_LT(second.retryAfter, first.retryAfter);
}

RC_GTEST_PROP(AdmissionPolicyTest, RefusesOnlyWhatIsWorthlessAndNamesABoundedTime, ())
{
    AdmissionRequest request = quickJob(*rc::gen::arbitrary<std::string>());
    request.priority = *rc::gen::inRange(0, 4);
    request.chain = Duration(*rc::gen::inRange(0, 60'000));
    request.objective = Duration(*rc::gen::inRange(1, 60'000));
    BacklogSummary summary =
        backlogOf(Duration(*rc::gen::inRange(0, 200'000)), Duration(*rc::gen::inRange(0, 200'000)));
    summary.accounts[0].demandCpuMilli = *rc::gen::inRange<int64_t>(0, 2 * DrainCpuMilli);
    summary.accounts[0].drainCpuMilli = *rc::gen::inRange<int64_t>(0, DrainCpuMilli);
    const Duration age(*rc::gen::inRange(0, 2'000));
    const AdmissionDecision decision = decide(request, summary, Now + age);
    if (!decision.refused())
        return;
    RC_ASSERT(age < MaxAge);
    RC_ASSERT(summary.accounts[0].demandCpuMilli > summary.accounts[0].drainCpuMilli);
    RC_ASSERT(decision.expectedWait + request.chain > 3 * request.objective);
    RC_ASSERT(decision.expectedWait <= summary.accounts[0].waitAt(request.priority));
    RC_ASSERT(decision.retryAfter >= AdmissionPolicy::MinRetryAfter);
    RC_ASSERT(decision.retryAfter <= AdmissionPolicy::MaxRetryAfter);
}

// Guards against capacity that counts for nobody although an account with a backlog could use it.
TEST(FairDrainTest, WhatOneAccountDoesNotWantGoesToTheOthersByWeight)
{
    EXPECT_EQ(fairDrain({{1, 100}, {1, 900}, {2, 900}}, 1'000),
              (std::vector<int64_t>{100, 300, 600}));
    EXPECT_EQ(fairDrain({{1, 100}}, 1'000), (std::vector<int64_t>{100}));
    EXPECT_EQ(fairDrain({{1, 100}}, -5), (std::vector<int64_t>{0}));
}

// Guards against a calm fleet that sends summaries, and against instances that go on refusing after
// the backlog has drained.
TEST(BacklogFeedTest, PublishesWhileSomebodyWaitsAndTheEndOnce)
{
    BacklogFeed feed;
    EXPECT_TRUE(feed.isDue(Now));
    EXPECT_FALSE(feed.next(backlogOf(Duration(1'000))));
    EXPECT_FALSE(feed.isDue(Now + Duration(149)));
    EXPECT_TRUE(feed.isDue(Now + Duration(150)));
    const auto contended = feed.next(backlogOf(Duration(1'001)));
    ASSERT_TRUE(contended);
    EXPECT_EQ(contended->accounts.size(), 1U);
    const auto calm = feed.next(backlogOf(Duration(900)));
    ASSERT_TRUE(calm);
    EXPECT_TRUE(calm->accounts.empty());
    EXPECT_FALSE(feed.next(backlogOf(Duration(900))));
}

} // namespace
} // namespace cardamompaddle
