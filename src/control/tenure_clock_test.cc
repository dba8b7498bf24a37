#include "control/tenure_clock.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

constexpr Instant Start{Duration(50'000)};

// Guards against a removal of jobs while the log stores nothing, for example because the holder has
// been fenced without knowing it.
TEST(TenureClockTest, StandsStillWithoutStoredAppends)
{
    TenureClock clock(7'000, Start);
    EXPECT_EQ(clock.heldMs(), 7'000);
    clock.recordStored(Start + Duration(200));
    EXPECT_EQ(clock.heldMs(), 7'200);
    EXPECT_EQ(clock.heldMs(), 7'200);
}

// Guards against a suspended holder or a jump of its clock that counts as held time.
TEST(TenureClockTest, OneStepIsBounded)
{
    TenureClock clock(7'000, Start);
    clock.recordStored(Start + Duration(600'000));
    EXPECT_EQ(clock.heldMs(), 8'000);
    clock.recordStored(Start + Duration(600'150));
    EXPECT_EQ(clock.heldMs(), 8'150) << "counted from the last append";
}

// Guards against held time that decreases.
TEST(TenureClockTest, NeverGoesBack)
{
    TenureClock clock(7'000, Start);
    clock.recordStored(Start + Duration(100));
    clock.recordStored(Start);
    EXPECT_EQ(clock.heldMs(), 7'100);
}

// Guards against a time that an append is still to bring and that runs ahead of what it brings.
TEST(TenureClockTest, ForetellsWhatAnAppendBrings)
{
    TenureClock clock(7'000, Start);
    EXPECT_EQ(clock.heldMsAt(Start + Duration(300)), 7'300);
    EXPECT_EQ(clock.heldMsAt(Start + Duration(5'000)), 8'000);
    EXPECT_EQ(clock.heldMs(), 7'000);
    clock.recordStored(Start + Duration(300));
    EXPECT_EQ(clock.heldMs(), 7'300);
}

// Guards against an end at 0, which means that the job has not ended.
TEST(TenureClockTest, BeginsAtOne)
{
    EXPECT_EQ(TenureClock(0, Start).heldMs(), 1);
    EXPECT_EQ(TenureClock(-5, Start).heldMs(), 1);
}

// Guards against spans that a takeover makes longer: the time between the former holder's last
// record and the takeover is not counted.
TEST(TenureClockTest, TheNextHolderGoesOnFromTheStoredValue)
{
    TenureClock former(1, Start);
    former.recordStored(Start + Duration(400));
    TenureClock next(former.heldMs(), Start + Duration(30'000));
    EXPECT_EQ(next.heldMs(), 401);
    next.recordStored(Start + Duration(30'100));
    EXPECT_EQ(next.heldMs(), 501);
}

} // namespace
} // namespace cardamompaddle
