#include "control/tenure_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace cardamompaddle {
namespace {

constexpr Duration LongAgo{1'000'000};

work::Member member(const std::string &name, int64_t cpuMilli)
{
    work::Member out;
    out.name = name;
    out.address = name + ":1";
    out.cpuMilli = cpuMilli;
    return out;
}

// Members "large0", "large1", ... and "small0", "small1", ...
MemberMap fleet(int large, int small)
{
    MemberMap out;
    for (int i = 0; i < large; ++i) {
        const std::string name = "large" + std::to_string(i);
        out[name] = member(name, 500);
    }
    for (int i = 0; i < small; ++i) {
        const std::string name = "small" + std::to_string(i);
        out[name] = member(name, 120);
    }
    return out;
}

work::Tenure heldBy(const std::string &name, int64_t epoch = 1)
{
    work::Tenure out;
    out.holder = name;
    out.address = name + ":1";
    out.epoch = epoch;
    return out;
}

work::Tenure releasedTo(const std::string &successor)
{
    work::Tenure out = heldBy("large0");
    out.released = true;
    out.successor = successor;
    return out;
}

// Guards against a tenure that goes to a machine too small for it while larger ones are free.
TEST(TenurePolicyTest, EveryLargerInstanceClaimsBeforeAnySmallerOne)
{
    const MemberMap members = fleet(10, 31);
    for (int64_t epoch = 1; epoch < 50; ++epoch) {
        Duration lastLarge{0};
        Duration firstSmall{1'000'000};
        for (const auto &[name, it] : members) {
            const Duration wait = claimWait(it, true, members, heldBy("large0", epoch)).total();
            if (it.cpuMilli == 500)
                lastLarge = std::max(lastLarge, wait);
            else
                firstSmall = std::min(firstSmall, wait);
        }
        EXPECT_LT(lastLarge, firstSmall) << "epoch " << epoch;
    }
}

// Guards against many instances that claim at once.
TEST(TenurePolicyTest, OneOfTheEqualInstancesClaimsFirst)
{
    const MemberMap members = fleet(10, 0);
    std::set<std::string> firsts;
    for (int64_t epoch = 1; epoch < 50; ++epoch) {
        std::vector<std::pair<Duration, std::string>> waits;
        for (const auto &[name, it] : members)
            waits.emplace_back(claimWait(it, true, members, heldBy("large0", epoch)).total(), name);
        std::sort(waits.begin(), waits.end());
        EXPECT_LT(waits[0].first, waits[1].first);
        EXPECT_LT(waits[1].first, waits[2].first);
        firsts.insert(waits[0].second);
    }
    EXPECT_GT(firsts.size(), 3U) << "the first claimant has to vary, as it may be gone";
    EXPECT_FALSE(firsts.contains("large0")) << "the lost holder must not claim first";
}

// Guards against a tenure that nobody claims for long because better instances, which are gone,
// would claim first.
TEST(TenurePolicyTest, TheWaitIsBoundedWhateverMembersAreKnown)
{
    MemberMap members = fleet(0, 200);
    for (int i = 0; i < 50; ++i) {
        const std::string name = "gone" + std::to_string(i);
        members[name] = member(name, 1'000 + i);
    }
    for (const auto &[name, it] : members)
        EXPECT_LE(claimWait(it, true, members, heldBy("gone1")).total(), Duration(1'200)) << name;
}

// Guards against a change of the wait where no instance knows its processor.
TEST(TenurePolicyTest, InstancesOfUnknownProcessorHaveNoProcessorDelay)
{
    MemberMap members;
    for (const char *name : {"a", "b", "c"})
        members[name] = member(name, 0);
    for (const auto &[name, it] : members) {
        const ClaimWait wait = claimWait(it, true, members, heldBy("a"));
        EXPECT_EQ(wait.processor, Duration::zero());
        EXPECT_LE(wait.total(), Duration(700));
    }
}

// Guards against the first tenure going to an instance that does not know the larger ones yet.
TEST(TenurePolicyTest, TheFirstClaimWaitsForTheOtherInstances)
{
    EXPECT_GE(claimWait(member("a", 120), false, {}, {}).total(), Duration(300));
}

// Guards against several claims of a released tenure, and against one that is lost with its
// successor.
TEST(TenurePolicyTest, TheSuccessorClaimsAtOnceAndTheOthersLater)
{
    const MemberMap members = fleet(3, 3);
    const work::Tenure tenure = releasedTo("small1");
    for (const auto &[name, it] : members) {
        const Duration wait = claimWait(it, true, members, tenure).total();
        if (name == "small1") {
            EXPECT_EQ(wait, Duration::zero());
        } else {
            EXPECT_GE(wait, Duration(300)) << name;
            EXPECT_LE(wait, Duration(1'000)) << name;
        }
    }
}

// Guards against a former holder that restarts after its planned stop and competes with the
// successor.
TEST(TenurePolicyTest, ARestartedHolderClaimsAtOnceOnlyIfItDidNotRelease)
{
    const MemberMap members = fleet(3, 0);
    const work::Member &self = members.at("large0");
    EXPECT_EQ(claimWait(self, false, members, heldBy("large0")).total(), Duration::zero());
    EXPECT_GE(claimWait(self, false, members, releasedTo("large1")).total(), Duration(300));
}

// Guards against a hand-over to a machine that is no better.
TEST(TenurePolicyTest, AnOverloadedHolderHandsOverToALargerInstanceFirst)
{
    const auto candidates =
        handOverCandidates(member("small0", 120), fleet(3, 3), Duration(6'000), 1);
    ASSERT_EQ(candidates.size(), 3U);
    for (const work::Member &it : candidates)
        EXPECT_EQ(it.cpuMilli, 500);
}

// Guards against a tenure that moves back and forth between equal machines.
TEST(TenurePolicyTest, AnEqualInstanceGetsTheTenureOnlyAfterALongInterval)
{
    const work::Member self = member("large0", 500);
    EXPECT_TRUE(handOverCandidates(self, fleet(3, 3), Duration(15'000), 1).empty());
    const auto candidates = handOverCandidates(self, fleet(3, 3), LongAgo, 1);
    ASSERT_EQ(candidates.size(), 2U);
    for (const work::Member &it : candidates)
        EXPECT_EQ(it.cpuMilli, 500) << "a smaller one is never better";
}

// Guards against a holder that asks the same lost instances again and again.
TEST(TenurePolicyTest, CandidatesVaryWithTheAttempt)
{
    std::set<std::string> names;
    for (uint64_t attempt = 1; attempt < 20; ++attempt) {
        for (const work::Member &it :
             handOverCandidates(member("small0", 120), fleet(10, 1), LongAgo, attempt))
            names.insert(it.name);
    }
    EXPECT_EQ(names.size(), 10U);
}

TEST(TenurePolicyTest, AStoppingHolderPrefersTheLargestInstances)
{
    const auto candidates = stopCandidates(member("large0", 500), fleet(2, 2), 1);
    ASSERT_EQ(candidates.size(), 3U);
    EXPECT_EQ(candidates[0].name, "large1");
    EXPECT_EQ(candidates[1].cpuMilli, 120);
}

} // namespace
} // namespace cardamompaddle
