#include "fairshare/usage_history.h"

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr Duration HalfLife{10'000};
constexpr Instant Start = instantFromMs(50'000);

// A history in which accounts have used the fleet for one second.
UsageHistory historyOf(const std::map<std::string, double> &shares,
                       std::map<std::string, double> weights)
{
    UsageHistory out(HalfLife);
    out.setWeights(std::move(weights));
    out.advance(Start);
    for (const auto &[account, share] : shares)
        out.setShare(account, share);
    out.advance(Start + Duration(1'000));
    for (const auto &[account, share] : shares)
        out.setShare(account, 0);
    return out;
}

int64_t storedUsage(const UsageHistory &history, const std::string &account)
{
    for (const AccountUsage &it : history.snapshot(SIZE_MAX)) {
        if (it.account == account)
            return it.shareSecondsMillionths;
    }
    return 0;
}

TEST(UsageHistoryTest, UsageHalvesWithEachHalfLife)
{
    UsageHistory history(HalfLife);
    history.advance(Start);
    history.restore({{"a", 1'000'000}}, Duration::zero());
    history.advance(Start + HalfLife);
    EXPECT_EQ(storedUsage(history, "a"), 500'000);
    history.advance(Start + HalfLife * 3);
    EXPECT_EQ(storedUsage(history, "a"), 125'000);
}

TEST(UsageHistoryTest, ASteadyShareConvergesToItsMeanLife)
{
    UsageHistory history(HalfLife);
    history.advance(Start);
    history.setShare("a", 0.5);
    history.advance(Start + HalfLife * 40);
    EXPECT_NEAR(static_cast<double>(storedUsage(history, "a")), 0.5e6 * 10 / std::log(2), 1);
}

TEST(UsageHistoryTest, RelativeUseIsMeasuredByWeights)
{
    const UsageHistory history = historyOf({{"a", 0.2}, {"b", 0.2}}, {{"a", 3}, {"b", 1}});
    EXPECT_NEAR(history.relativeUse("a"), 0.5 / 0.75, 1e-9);
    EXPECT_NEAR(history.relativeUse("b"), 0.5 / 0.25, 1e-9);
}

// Guards against a division by 0 that makes every comparison with such an account meaningless.
TEST(UsageHistoryTest, UnusableWeightsCountAsTheSmallest)
{
    const double nan = std::numeric_limits<double>::quiet_NaN();
    for (const double weight : {0.0, -1.0, nan, 1e-300}) {
        const UsageHistory history = historyOf({{"a", 0.2}, {"b", 0.2}}, {{"a", weight}, {"b", 1}});
        EXPECT_NEAR(history.relativeUse("a"), 0.5 / (0.001 / 1.001), 1e-6);
        EXPECT_NEAR(history.relativeUse("b"), 0.5 * 1.001, 1e-6);
    }
}

TEST(UsageHistoryTest, AnInfiniteWeightIsBounded)
{
    const double infinity = std::numeric_limits<double>::infinity();
    const UsageHistory history = historyOf({{"a", 0.2}, {"b", 0.2}}, {{"a", infinity}, {"b", 1}});
    EXPECT_NEAR(history.relativeUse("a"), 0.5, 1e-6);
    EXPECT_TRUE(std::isfinite(history.relativeUse("b")));
}

// Guards against accounts that are left out of the order because no configuration names them.
TEST(UsageHistoryTest, AnAccountThatIsNotConfiguredHasTheDefaultWeight)
{
    const UsageHistory history = historyOf({{"a", 0.3}, {"gone", 0.1}}, {{"a", 1}, {"idle", 2}});
    EXPECT_NEAR(history.relativeUse("gone"), 0.25 / (1.0 / 4), 1e-9);
    EXPECT_EQ(history.relativeUse("idle"), 0);
    EXPECT_EQ(history.relativeUse("unknown"), 0);
    EXPECT_EQ(history.relativeUses().size(), 3U);
}

// Guards against a record that grows with all accounts that ever existed.
TEST(UsageHistoryTest, AnAccountThatIsNotConfiguredIsDroppedOnceNegligible)
{
    UsageHistory history(HalfLife);
    history.setWeights({{"a", 1}, {"idle", 1}});
    history.advance(Start);
    history.restore({{"a", 1'000'000}, {"gone", 1'100}, {"tiny", 900}, {"idle", 1}},
                    Duration::zero());
    history.advance(Start);
    EXPECT_THAT(history.snapshot(10),
                ElementsAre(AccountUsage{"a", 1'000'000}, AccountUsage{"gone", 1'100},
                            AccountUsage{"idle", 1}));
    history.setShare("a", 1);
    history.advance(Start + HalfLife);
    EXPECT_EQ(history.relativeUses().count("gone"), 0U);
}

// Guards against an account that vanishes while it runs something, before it has any usage.
TEST(UsageHistoryTest, AnAccountWithAShareIsKept)
{
    UsageHistory history(HalfLife);
    history.advance(Start);
    history.setShare("new", 0.5);
    history.advance(Start);
    history.advance(Start + Duration(1'000));
    EXPECT_GT(storedUsage(history, "new"), 400'000);
}

TEST(UsageHistoryTest, ASnapshotKeepsTheAccountsWithTheMostUsage)
{
    UsageHistory history(HalfLife);
    history.restore({{"a", 5}, {"b", 1}, {"c", 9}, {"d", 5}, {"e", -7}}, Duration::zero());
    EXPECT_THAT(history.snapshot(2), ElementsAre(AccountUsage{"a", 5}, AccountUsage{"c", 9}));
    EXPECT_THAT(history.snapshot(0), IsEmpty());
}

TEST(UsageHistoryTest, RestoredUsageHasDecayedByItsAge)
{
    UsageHistory history(HalfLife);
    history.restore({{"a", 1'000'000}}, HalfLife * 2);
    history.restore({{"b", 1'000'000}}, Duration(-5));
    EXPECT_THAT(history.snapshot(10),
                ElementsAre(AccountUsage{"a", 250'000}, AccountUsage{"b", 1'000'000}));
}

// Guards against records that are written although nothing was used.
TEST(UsageHistoryTest, OnlyUseIsAChange)
{
    UsageHistory history(HalfLife);
    history.restore({{"a", 1'000'000}}, Duration::zero());
    history.advance(Start);
    history.advance(Start + Duration(100));
    EXPECT_FALSE(history.takeChanged());
    history.setShare("a", 0.1);
    history.advance(Start + Duration(200));
    EXPECT_TRUE(history.takeChanged());
    EXPECT_FALSE(history.takeChanged());
}

TEST(UsageHistoryTest, AnEarlierTimeChangesNothing)
{
    UsageHistory history = historyOf({{"a", 0.5}}, {});
    const auto before = history.snapshot(10);
    history.advance(Start);
    EXPECT_EQ(history.snapshot(10), before);
}

TEST(UsageFactorTest, IsBoundedAndNeutralAtTheShare)
{
    EXPECT_DOUBLE_EQ(usageFactor(0), 0.5);
    EXPECT_DOUBLE_EQ(usageFactor(1), 1);
    EXPECT_DOUBLE_EQ(usageFactor(std::numeric_limits<double>::infinity()), 2);
    EXPECT_DOUBLE_EQ(usageFactor(4) * usageFactor(0.25), 1);
}

struct Interval
{
    int ms;
    double share;
};

std::vector<Interval> arbitraryIntervals()
{
    const auto count = *rc::gen::inRange(1, 20);
    std::vector<Interval> out;
    for (int i = 0; i < count; ++i) {
        const int ms = *rc::gen::inRange(0, 60'000);
        out.push_back({ms, *rc::gen::inRange(0, 1'001) / 1'000.0});
    }
    return out;
}

// Guards against usage that depends on how often the scheduler decides.
RC_GTEST_PROP(UsageHistoryProperty, UsageDoesNotDependOnTheNumberOfCalls, ())
{
    const auto intervals = arbitraryIntervals();
    const int parts = *rc::gen::inRange(2, 50);
    UsageHistory coarse(HalfLife);
    UsageHistory fine(HalfLife);
    Instant now = Start;
    coarse.advance(now);
    fine.advance(now);
    for (const Interval &it : intervals) {
        coarse.setShare("a", it.share);
        fine.setShare("a", it.share);
        for (int part = 1; part < parts; ++part)
            fine.advance(now + Duration(it.ms * part / parts));
        now += Duration(it.ms);
        coarse.advance(now);
        fine.advance(now);
    }
    RC_ASSERT(std::abs(storedUsage(coarse, "a") - storedUsage(fine, "a")) <= 1);
}

// Guards against relative uses that cannot be compared: their mean by weight is always 1, and the
// factor stays within its bounds and in the order of usage by weight.
RC_GTEST_PROP(UsageHistoryProperty, RelativeUsesAreConsistentForAnyWeights, ())
{
    const auto count = *rc::gen::inRange(2, 30);
    std::map<std::string, double> shares;
    std::map<std::string, double> weights;
    for (int i = 0; i < count; ++i) {
        const std::string name = "a" + std::to_string(i);
        shares[name] = *rc::gen::inRange(1, 1'000) / 1'000.0;
        if (*rc::gen::inRange(0, 4) > 0)
            weights[name] = *rc::gen::inRange(0, 5'000) / 1'000.0;
    }
    const UsageHistory history = historyOf(shares, weights);
    const auto weightOf = [&](const std::string &name) {
        const auto it = weights.find(name);
        return it == weights.end() ? 1.0 : std::max(0.001, it->second);
    };
    double totalWeight = 0;
    for (const auto &[name, share] : shares)
        totalWeight += weightOf(name);
    double mean = 0;
    for (const auto &[name, relative] : history.relativeUses()) {
        mean += relative * weightOf(name) / totalWeight;
        RC_ASSERT(usageFactor(relative) > MinUsageFactor);
        RC_ASSERT(usageFactor(relative) < MaxUsageFactor);
        for (const auto &[other, otherShare] : shares) {
            if (shares[name] / weightOf(name) < otherShare / weightOf(other) * (1 - 1e-9))
                RC_ASSERT(usageFactor(relative) < usageFactor(history.relativeUse(other)));
        }
    }
    RC_ASSERT(std::abs(mean - 1) < 1e-9);
}

} // namespace
} // namespace cardamompaddle
