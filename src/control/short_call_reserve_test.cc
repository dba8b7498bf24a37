#include "control/short_call_reserve.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

const Instant Start = instantFromMs(10'000);

// Load: hardly any short calls, while long ones wait for callers. Guards against callers that stay
// reserved without need.
TEST(ShortCallReserveTest, ACalmLoadKeepsFewCallersBack)
{
    ShortCallReserve reserve;
    EXPECT_EQ(reserve.size(30, Start), 4U) << "before anything was observed";
    reserve.observe(1, Start);
    EXPECT_EQ(reserve.size(30, Start), 4U);
    EXPECT_EQ(reserve.size(1, Start), 1U);
    EXPECT_EQ(reserve.size(0, Start), 0U);
}

// Load: a burst of quick work. Guards against short calls that queue behind long ones, and against
// a burst that takes all callers from the other work.
TEST(ShortCallReserveTest, ABurstRaisesTheReserveUpToItsBound)
{
    ShortCallReserve reserve;
    reserve.observe(4, Start);
    EXPECT_EQ(reserve.size(30, Start), 8U);
    reserve.observe(20, Start + Duration(10));
    EXPECT_EQ(reserve.size(30, Start + Duration(10)), 10U);
    reserve.observe(0, Start + Duration(500));
    EXPECT_EQ(reserve.size(30, Start + Duration(500)), 10U) << "a pause within the burst";
    EXPECT_EQ(reserve.size(30, Start + Duration(30'000)), 4U) << "after the burst";
}

} // namespace
} // namespace cardamompaddle
