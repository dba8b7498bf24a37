#include "loop_lag.h"

#include <gtest/gtest.h>

namespace cardamompaddle::soak {

namespace {

Instant at(int64_t ms)
{
    return instantFromMs(ms);
}

} // namespace

// Guards against a slow harness that passes as a fault of the program, or hides one.
TEST(LoopLagTest, OnlyALongDelayIsAStall)
{
    LoopLag lag;
    EXPECT_FALSE(lag.add(at(1'000), at(1'000)));
    EXPECT_FALSE(lag.add(at(1'010), at(1'110)));
    EXPECT_TRUE(lag.add(at(1'120), at(1'310)));
    EXPECT_EQ(lag.stalls(), 1U);
    EXPECT_EQ(lag.toString(), "mean 96.7 ms, largest 190 ms, 1 stalls");
}

// Guards against a negative lag that lowers the mean.
TEST(LoopLagTest, WhatRunsEarlyIsNotLate)
{
    LoopLag lag;
    EXPECT_FALSE(lag.add(at(1'000), at(990)));
    EXPECT_EQ(lag.meanMs(), 0);
}

} // namespace cardamompaddle::soak
