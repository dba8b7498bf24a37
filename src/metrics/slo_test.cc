#include "metrics/slo.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

constexpr Objective Target{990'000, Duration(200)}; // 99% within 200 ms

std::map<std::string, RouteSpec> routesWith(Objective objective)
{
    RouteSpec route;
    route.name = "size-check";
    route.objective = objective;
    return {{route.name, route}, {"free", RouteSpec{}}};
}

SloTracker trackerWith(Objective objective)
{
    SloTracker tracker;
    tracker.setRoutes(routesWith(objective));
    return tracker;
}

void countStarts(SloTracker &tracker, int good, int late, Instant now)
{
    for (int n = 0; n < good; ++n)
        tracker.recordStart("size-check", Duration(200), now);
    for (int n = 0; n < late; ++n)
        tracker.recordStart("size-check", Duration(201), now);
}

// Guards against counting a wait equal to the limit as late, and against omitting work that never
// started.
TEST(SloTest, BurnRateIsLateFractionOverBudget)
{
    SloTracker tracker = trackerWith(Target);
    countStarts(tracker, 95, 4, instantFromMs(1000));
    tracker.recordMissedStart("size-check", instantFromMs(1000));
    tracker.recordStart("free", Duration(1), instantFromMs(1000));
    const auto rows = tracker.rows(instantFromMs(1000));
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].shortWindow, (SloCounts{95, 100}));
    EXPECT_NEAR(rows[0].shortBurn(), 5, 1e-9);
    EXPECT_FALSE(rows[0].alerting());
}

// Guards against an alert that continues after its cause is gone or that a short disturbance
// raises.
TEST(SloTest, AlertNeedsBothWindows)
{
    SloTracker tracker = trackerWith(Target);
    countStarts(tracker, 80, 20, instantFromMs(5000));
    EXPECT_TRUE(tracker.rows(instantFromMs(5000))[0].alerting());
    // The short window is empty after five minutes, the long one after an hour.
    const auto later = tracker.rows(instantFromMs(5000 + 300'000));
    EXPECT_EQ(later[0].shortWindow, (SloCounts{}));
    EXPECT_EQ(later[0].longWindow, (SloCounts{80, 100}));
    EXPECT_FALSE(later[0].alerting());
    EXPECT_EQ(tracker.rows(instantFromMs(5000 + 3'600'000))[0].longWindow, (SloCounts{}));

    SloTracker calm = trackerWith(Target);
    countStarts(calm, 10'000, 0, instantFromMs(5000));
    countStarts(calm, 80, 20, instantFromMs(1'000'000));
    EXPECT_GT(calm.rows(instantFromMs(1'000'000))[0].shortBurn(), SloShortThreshold);
    EXPECT_FALSE(calm.rows(instantFromMs(1'000'000))[0].alerting());
}

// Guards against counts of the previous hour reappearing when the ring of buckets wraps around.
TEST(SloTest, BucketsAreReusedAfterAnHour)
{
    SloTracker tracker = trackerWith(Target);
    countStarts(tracker, 1, 0, instantFromMs(0));
    countStarts(tracker, 0, 1, instantFromMs(3'600'000));
    EXPECT_EQ(tracker.rows(instantFromMs(3'600'000))[0].longWindow, (SloCounts{0, 1}));
}

// Guards against keeping counts that were classified by a previous wait limit, and against losing
// counts when only the target changes.
TEST(SloTest, ChangingTheWaitDropsCounts)
{
    SloTracker tracker = trackerWith(Target);
    countStarts(tracker, 3, 0, instantFromMs(0));
    tracker.setRoutes(routesWith({950'000, Target.wait}));
    EXPECT_EQ(tracker.rows(instantFromMs(0))[0].longWindow, (SloCounts{3, 3}));
    tracker.setRoutes(routesWith({950'000, Duration(500)}));
    EXPECT_EQ(tracker.rows(instantFromMs(0))[0].longWindow, (SloCounts{}));
    tracker.setRoutes({});
    EXPECT_TRUE(tracker.rows(instantFromMs(0)).empty());
}

// Guards against averaging rates instead of adding counts, and against combining rows of different
// objectives.
TEST(SloTest, MergeAddsCountsOfEqualObjectives)
{
    const SloRow a{"r", Target, {1, 2}, {10, 20}};
    const SloRow b{"r", Target, {3, 3}, {30, 30}};
    const SloRow other{"r", {950'000, Duration(200)}, {1, 1}, {1, 1}};
    const auto merged = mergeSloRows({b, other, a});
    ASSERT_EQ(merged.size(), 2U);
    EXPECT_EQ(merged[0], other);
    EXPECT_EQ(merged[1], (SloRow{"r", Target, {4, 5}, {40, 50}}));
}

// Guards against data loss when rows are sent between instances, and against a crash on malformed
// input.
TEST(SloTest, RowsRoundTripThroughJson)
{
    const std::vector<SloRow> rows = {{"r \"1\"", {999'500, Duration(1300)}, {1, 2}, {3, 40}}};
    const auto parsed = parseSloRows(formatSloRows(rows));
    ASSERT_TRUE(parsed.ok()) << parsed.error().reason;
    EXPECT_EQ(*parsed, rows);
    for (const std::string_view it : {"", "{}", "[1]", R"([{"route":"r"}])", "[{"})
        EXPECT_EQ(parseSloRows(it).error().code, ErrorCode::InvalidArgument);
}

// Guards against a division by zero for an objective of 100%.
TEST(SloTest, HundredPercentTargetHasFiniteBurnRate)
{
    EXPECT_EQ(burnRate({0, 1}, {1'000'000, Duration(1)}), 1e6);
    EXPECT_EQ(burnRate({0, 0}, {1'000'000, Duration(1)}), 0);
}

} // namespace
} // namespace cardamompaddle
