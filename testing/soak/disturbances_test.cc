#include "disturbances.h"

#include <gtest/gtest.h>

namespace cardamompaddle::soak {

namespace {

Instant at(int64_t ms)
{
    return instantFromMs(ms);
}

} // namespace

TEST(DisturbancesTest, APartThatWasNeverDisturbedIsCalm)
{
    Disturbances disturbances;
    EXPECT_TRUE(disturbances.isCalm("a", at(0), at(100)));
    EXPECT_TRUE(disturbances.allCalm(at(0), at(100)));
}

// Guards against a bound that is demanded beside a fault, or waived without one.
TEST(DisturbancesTest, ADisturbanceLastsFromItsBeginningToItsEnd)
{
    Disturbances disturbances;
    disturbances.begin("a", at(100));
    EXPECT_TRUE(disturbances.isCalm("a", at(0), at(99)));
    EXPECT_FALSE(disturbances.isCalm("a", at(0), at(100)));
    EXPECT_FALSE(disturbances.isCalm("a", at(500), at(600))) << "it goes on";
    disturbances.end("a", at(200));
    EXPECT_FALSE(disturbances.isCalm("a", at(150), at(160)));
    EXPECT_FALSE(disturbances.isCalm("a", at(200), at(300)));
    EXPECT_TRUE(disturbances.isCalm("a", at(201), at(300)));
    EXPECT_TRUE(disturbances.isCalm("a", at(0), at(99)));
}

TEST(DisturbancesTest, PartsAreIndependent)
{
    Disturbances disturbances;
    disturbances.begin("a", at(100));
    EXPECT_TRUE(disturbances.isCalm("b", at(0), at(200)));
    EXPECT_FALSE(disturbances.allCalm(at(0), at(200)));
    EXPECT_TRUE(disturbances.allCalm(at(0), at(99)));
}

TEST(DisturbancesTest, OverlappingDisturbancesEndWithTheLast)
{
    Disturbances disturbances;
    disturbances.begin("a", at(100));
    disturbances.begin("a", at(150));
    disturbances.end("a", at(200));
    EXPECT_FALSE(disturbances.isCalm("a", at(300), at(400)));
    disturbances.end("a", at(500));
    EXPECT_FALSE(disturbances.isCalm("a", at(300), at(400)));
    EXPECT_TRUE(disturbances.isCalm("a", at(501), at(600)));
}

// Guards against a slow harness that hides how often a bound was not kept beside it.
TEST(DisturbancesTest, TheHarnessIsNoPartOfTheSystem)
{
    Disturbances disturbances;
    disturbances.begin(HarnessPart, at(100));
    EXPECT_TRUE(disturbances.allCalm(at(0), at(200)));
    EXPECT_FALSE(disturbances.isCalm(HarnessPart, at(0), at(200)));
}

TEST(DisturbancesTest, AnEndWithoutABeginningHasNoEffect)
{
    Disturbances disturbances;
    disturbances.end("a", at(100));
    EXPECT_TRUE(disturbances.isCalm("a", at(0), at(200)));
    disturbances.begin("a", at(150));
    EXPECT_FALSE(disturbances.isCalm("a", at(150), at(200)));
}

} // namespace cardamompaddle::soak
