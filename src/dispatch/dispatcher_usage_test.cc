// Past usage of client accounts in the order of waiting work.
#include "dispatch/contention_simulation.h"

#include <gmock/gmock.h>

#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

using ::testing::Contains;
using testing::ContentionSimulation;
using ::testing::Each;
using ::testing::HasSubstr;
using ::testing::Not;

constexpr Duration HalfLife{3'600'000};
constexpr Duration Spread{200}; // so that runs do not all end at the same time

SchedulingPolicies withPastUsage(Duration halfLife = HalfLife)
{
    SchedulingPolicies out;
    out.fairShare = FairShareOptions{halfLife};
    return out;
}

// Returns a record in which the heavy account has used nearly everything.
work::Usage heavyUsage()
{
    work::AccountUsage heavy;
    heavy.account = "heavy";
    heavy.shareSecondsMillionths = 500'000'000;
    work::AccountUsage light;
    light.account = "light";
    light.shareSecondsMillionths = 5'000'000;
    work::Usage out;
    out.accounts = {heavy, light};
    out.heldMs = 1'000;
    return out;
}

std::vector<std::string> detailsOf(const ContentionSimulation &simulation, std::string_view name)
{
    std::vector<std::string> out;
    for (const DispatchEvent &event : simulation.events()) {
        if (event.name == name)
            out.push_back(event.detail);
    }
    return out;
}

// What two accounts of equal weight get under contention.
struct Outcome
{
    double lightWaitMs = 0; // mean
    double heavyWaitMs = 0;
    size_t lightTasks = 0; // started
    size_t heavyTasks = 0;
};

// The heavy account fills the fleet for 30 s. Then it goes on, and the light one sends a burst of
// 1.5 times the fleet every two seconds for 20 s.
Outcome playBursts(const SchedulingPolicies &policies)
{
    ContentionSimulation simulation(policies, {{"heavy", 1}, {"light", 1}}, 2);
    simulation.setTaskTimeSpread(Spread);
    const auto playSecond = [&simulation] {
        for (int i = 0; i < 10; ++i) {
            simulation.submit("heavy", 4);
            simulation.runFor(Duration(100));
        }
    };
    for (int second = 0; second < 30; ++second)
        playSecond();
    simulation.takeMeanWaitMs("heavy");
    for (int second = 0; second < 20; ++second) {
        if (second % 2 == 0)
            simulation.submit("light", 24);
        playSecond();
    }
    Outcome out;
    out.lightTasks = simulation.startedTasks("light");
    out.heavyTasks = simulation.startedTasks("heavy");
    out.lightWaitMs = simulation.takeMeanWaitMs("light");
    out.heavyWaitMs = simulation.takeMeanWaitMs("heavy");
    return out;
}

// Plays ten seconds of demand beyond the fleet, by accounts of different weights on two routes.
void playRecordedCase(ContentionSimulation &simulation)
{
    for (int i = 0; i < 50; ++i) {
        simulation.submit("large", 6, i % 3 == 0 ? "batch" : "quick");
        if (i % 4 == 1)
            simulation.submit("small", 5);
        if (i % 10 == 5)
            simulation.submit("unlisted", 3, "batch");
        simulation.runFor(Duration(200));
    }
}

// Guards against decisions, log lines or records that change although the policy is off. The digest
// was taken from the version before the policy existed.
TEST(UsageOrderTest, WithoutThePolicyARecordedCaseIsDecidedAsBefore)
{
    ContentionSimulation simulation({}, {{"large", 1}, {"small", 0.5}}, 2);
    playRecordedCase(simulation);
    EXPECT_EQ(simulation.events().size(), 900U);
    EXPECT_EQ(simulation.digest(), 2'503'724'141'650'231'855U);
}

// Guards against past usage that is ignored or counted with the wrong sign.
TEST(UsageOrderTest, ALightAccountWaitsLessAndTheHeavyOneGoesOn)
{
    const Outcome without = playBursts({});
    const Outcome with = playBursts(withPastUsage());
    RecordProperty("light_wait_ms_without", std::to_string(without.lightWaitMs));
    RecordProperty("light_wait_ms_with", std::to_string(with.lightWaitMs));
    RecordProperty("heavy_wait_ms_without", std::to_string(without.heavyWaitMs));
    RecordProperty("heavy_wait_ms_with", std::to_string(with.heavyWaitMs));
    RecordProperty("heavy_tasks_without", std::to_string(without.heavyTasks));
    RecordProperty("heavy_tasks_with", std::to_string(with.heavyTasks));
    EXPECT_EQ(with.lightTasks, without.lightTasks);
    EXPECT_LT(with.lightWaitMs, 0.8 * without.lightWaitMs);
    EXPECT_GE(with.heavyTasks, without.heavyTasks * 95 / 100);
    EXPECT_LT(with.heavyWaitMs, 1.3 * without.heavyWaitMs);
}

// Guards against an account that gets nothing for as long as its past usage lasts: the factor
// leaves it at least a fifth beside one account of the same weight.
TEST(UsageOrderTest, AHeavyAccountIsNotStarvedByOneThatAlwaysHasWork)
{
    ContentionSimulation simulation(withPastUsage(), {{"heavy", 1}, {"light", 1}}, 2);
    simulation.setTaskTimeSpread(Spread);
    simulation.dispatcher().restoreUsage(heavyUsage(), 1'000);
    for (int second = 0; second < 60; ++second) {
        for (int i = 0; i < 10; ++i) {
            simulation.submit("heavy", 4);
            simulation.submit("light", 4);
            simulation.runFor(Duration(100));
        }
        const size_t heavy = simulation.startedTasks("heavy");
        const size_t light = simulation.startedTasks("light");
        EXPECT_GE(heavy * 6, heavy + light) << "in second " << second;
        EXPECT_GT(light, heavy) << "in second " << second;
        simulation.takeMeanWaitMs("heavy");
        simulation.takeMeanWaitMs("light");
    }
}

// Guards against past usage that is never forgotten: accounts with the same demand come to use the
// same again.
TEST(UsageOrderTest, SharesAreEqualAgainOncePastUsageHasDecayed)
{
    ContentionSimulation simulation(withPastUsage(Duration(5'000)), {{"heavy", 1}, {"light", 1}},
                                    2);
    simulation.setTaskTimeSpread(Spread);
    simulation.dispatcher().restoreUsage(heavyUsage(), 1'000);
    for (int i = 0; i < 600; ++i) {
        simulation.submit("heavy", 4);
        simulation.submit("light", 4);
        simulation.runFor(Duration(100));
        if (i == 500) {
            simulation.takeMeanWaitMs("heavy");
            simulation.takeMeanWaitMs("light");
        }
    }
    EXPECT_NEAR(static_cast<double>(simulation.startedTasks("heavy")),
                static_cast<double>(simulation.startedTasks("light")),
                static_cast<double>(simulation.startedTasks("light")) / 20);
}

// Guards against past usage that outweighs what accounts use now.
TEST(UsageOrderTest, AnAccountThatUsesNothingGoesBeforeOneThatUsesSomething)
{
    ContentionSimulation simulation(withPastUsage(), {{"heavy", 1}, {"light", 1}}, 1);
    simulation.dispatcher().restoreUsage(heavyUsage(), 1'000);
    simulation.submit("light", 1);
    simulation.step();
    simulation.submit("light", 7);
    simulation.submit("heavy", 7);
    simulation.step();
    EXPECT_EQ(simulation.startedTasks("heavy"), 7U);
    EXPECT_EQ(simulation.startedTasks("light"), 1U);
}

TEST(UsageOrderTest, AccountsThatUseNothingGoInTheOrderOfPastUsage)
{
    for (const bool on : {false, true}) {
        ContentionSimulation simulation(on ? withPastUsage() : SchedulingPolicies{},
                                        {{"heavy", 1}, {"light", 1}}, 1);
        simulation.dispatcher().restoreUsage(heavyUsage(), 1'000);
        simulation.submit("heavy", 8);
        simulation.submit("light", 8);
        simulation.step();
        EXPECT_EQ(simulation.startedTasks("light"), on ? 8U : 0U);
        EXPECT_EQ(simulation.startedTasks("heavy"), on ? 0U : 8U);
    }
}

// Guards against past usage that reverses the weights: an account that has used its own part goes
// before one with the same usage and less weight.
TEST(UsageOrderTest, PastUsageIsMeasuredByWeight)
{
    ContentionSimulation simulation(withPastUsage(), {{"a", 1}, {"b", 10}}, 1);
    work::Usage usage = heavyUsage();
    usage.accounts[0].account = "a";
    usage.accounts[1].account = "b";
    usage.accounts[1].shareSecondsMillionths = usage.accounts[0].shareSecondsMillionths;
    simulation.dispatcher().restoreUsage(usage, 1'000);
    simulation.submit("a", 8);
    simulation.submit("b", 8);
    simulation.step();
    EXPECT_EQ(simulation.startedTasks("b"), 8U);
}

// Guards against weights of 0 and accounts without a configuration that stop the fleet or put an
// account before all others for ever.
TEST(UsageOrderTest, AccountsWithoutAUsableWeightAreServedAfterTheOthers)
{
    ContentionSimulation simulation(withPastUsage(), {{"none", 0}, {"normal", 1}}, 1);
    for (int i = 0; i < 30; ++i) {
        simulation.submit("none", 4);
        simulation.submit("normal", 4);
        simulation.submit("unlisted", 4);
        simulation.runFor(Duration(200));
    }
    EXPECT_GT(simulation.startedTasks("none"), 0U);
    EXPECT_GT(simulation.startedTasks("normal"), 2 * simulation.startedTasks("none"));
    EXPECT_NEAR(static_cast<double>(simulation.startedTasks("unlisted")),
                static_cast<double>(simulation.startedTasks("normal")), 8);
}

TEST(UsageOrderTest, WaitsTellOfPastUsageOnlyWithThePolicy)
{
    for (const bool on : {false, true}) {
        ContentionSimulation simulation(on ? withPastUsage() : SchedulingPolicies{},
                                        {{"heavy", 1}, {"light", 1}}, 1);
        simulation.dispatcher().restoreUsage(heavyUsage(), 1'000);
        simulation.submit("heavy", 9);
        simulation.step();
        const auto waits = detailsOf(simulation, "step_waits");
        ASSERT_FALSE(waits.empty());
        if (on)
            EXPECT_THAT(waits, Each(HasSubstr(" past_use_percent=198")));
        else
            EXPECT_THAT(waits, Not(Contains(HasSubstr("past_use"))));
    }
}

TEST(UsageRecordTest, UsageIsWhatRunsHaveUsed)
{
    ContentionSimulation simulation(withPastUsage(), {{"a", 1}, {"b", 1}}, 2);
    EXPECT_FALSE(simulation.dispatcher().takeUsage(7)) << "nothing was used";
    simulation.submit("a", 8);
    simulation.submit("b", 2);
    simulation.runFor(Duration(1'000));
    const auto usage = simulation.dispatcher().takeUsage(1'000);
    ASSERT_TRUE(usage);
    EXPECT_EQ(usage->heldMs, 1'000);
    ASSERT_EQ(usage->accounts.size(), 2U);
    EXPECT_EQ(usage->accounts[0].account, "a");
    // Half of the fleet for 0.4 s, less what has decayed in a second.
    EXPECT_NEAR(static_cast<double>(usage->accounts[0].shareSecondsMillionths), 200'000, 100);
    EXPECT_NEAR(static_cast<double>(usage->accounts[1].shareSecondsMillionths), 50'000, 25);
    EXPECT_FALSE(simulation.dispatcher().takeUsage(1'100)) << "nothing was used since";
}

TEST(UsageRecordTest, UsageDecaysByHeldTime)
{
    ContentionSimulation simulation(withPastUsage(), {{"heavy", 1}, {"light", 1}}, 2);
    simulation.dispatcher().restoreUsage(heavyUsage(), 1'000 + HalfLife.count());
    simulation.submit("light", 1);
    simulation.runFor(Duration(40));
    const auto usage = simulation.dispatcher().takeUsage(2'000);
    ASSERT_TRUE(usage);
    EXPECT_NEAR(static_cast<double>(usage->accounts[0].shareSecondsMillionths), 250e6, 5'000);
}

// Guards against a record that is too long for the log to take.
TEST(UsageRecordTest, TheRecordOfManyAccountsIsSmall)
{
    ContentionSimulation simulation(withPastUsage(), {}, 1);
    work::Usage many;
    for (int i = 0; i < 5'000; ++i) {
        work::AccountUsage account;
        account.account = "account-with-a-long-name-" + std::to_string(i);
        account.shareSecondsMillionths = 100'000'000 + i;
        many.accounts.push_back(account);
    }
    simulation.dispatcher().restoreUsage(many, 1);
    simulation.submit("one", 1);
    simulation.runFor(Duration(40));
    const auto usage = simulation.dispatcher().takeUsage(2'000);
    ASSERT_TRUE(usage);
    EXPECT_LE(usage->accounts.size(), 300U);
    EXPECT_LE(encodeRecord(*usage).size(), 16'384U);
}

// Guards against a garbled record that breaks the order or ends the process.
TEST(UsageRecordTest, ImpossibleValuesAreBounded)
{
    for (const int64_t heldMs : {INT64_MIN, int64_t{0}, INT64_MAX}) {
        ContentionSimulation simulation(withPastUsage(), {{"heavy", 1}}, 1);
        work::Usage usage = heavyUsage();
        usage.heldMs = heldMs;
        usage.accounts[0].shareSecondsMillionths = INT64_MAX;
        usage.accounts[1].shareSecondsMillionths = INT64_MIN;
        simulation.dispatcher().restoreUsage(usage, 1'000);
        simulation.submit("heavy", 4);
        simulation.submit("light", 4);
        simulation.runFor(Duration(100));
        EXPECT_EQ(simulation.startedTasks("heavy"), 4U);
        EXPECT_EQ(simulation.startedTasks("light"), 4U);
    }
}

TEST(UsageRecordTest, WithoutThePolicyThereIsNoUsage)
{
    ContentionSimulation simulation({}, {{"heavy", 1}}, 1);
    simulation.dispatcher().restoreUsage(heavyUsage(), 1'000);
    simulation.submit("heavy", 4);
    simulation.runFor(Duration(1'000));
    EXPECT_FALSE(simulation.dispatcher().takeUsage(2'000));
    EXPECT_TRUE(simulation.dispatcher().relativeUses().empty());
}

} // namespace
} // namespace cardamompaddle
