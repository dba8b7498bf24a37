#include "base/error.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

// Guards against an error code without a name, which callers could not distinguish from "internal".
TEST(ErrorTest, EveryCodeHasItsOwnName)
{
    for (int n = 0; n <= static_cast<int>(ErrorCode::Internal); ++n) {
        const auto code = static_cast<ErrorCode>(n);
        EXPECT_EQ(errorFromName(errorName(code)), code);
    }
    EXPECT_FALSE(errorFromName("no_such_error"));
}

// Guards against a wait that ends before the duration has passed on a slower clock.
TEST(TimeTest, DriftNeverShortensASpan)
{
    EXPECT_EQ(withDrift(Duration(3000)), Duration(3030));
    EXPECT_EQ(withDrift(Duration(1)), Duration(2));
    EXPECT_EQ(withDrift(Duration(0)), Duration(0));
}

// Guards against a fit check that ignores some of the resources.
// Guards against counts that ignore the scarcest resource, and against negative ones.
TEST(ResourcesTest, CountsHowManyTimesANeedFits)
{
    const Resources need{1'000, 100, 0, 0, 0};
    EXPECT_EQ(countFitting({4'000, 250, 0, 0, 0}, need, 10), 2);
    EXPECT_EQ(countFitting({4'000, 900, 0, 0, 0}, need, 3), 3) << "at most the limit";
    EXPECT_EQ(countFitting({-500, 900, 0, 0, 0}, need, 3), 0);
    EXPECT_EQ(countFitting({}, {}, 7), 7) << "nothing is needed";
}

TEST(ResourcesTest, FitsOnlyIfEveryAmountFits)
{
    const Resources capacity{1000, 100, 1, 8, 64};
    EXPECT_TRUE((Resources{1000, 100, 1, 8, 64}).fitsIn(capacity));
    EXPECT_FALSE((Resources{1, 1, 2, 1, 1}).fitsIn(capacity));
    EXPECT_FALSE((Resources{1, 1, 0, 1, 65}).fitsIn(capacity));
    EXPECT_EQ(dominantShareMillionths({500, 10, 0, 1, 0}, capacity), 500'000);
}

TEST(ResultTest, HoldsAValueOrAnError)
{
    const Result<int> good(7);
    const Result<int> bad(Error{ErrorCode::NotFound, "no such pool"});
    EXPECT_EQ(*good, 7);
    EXPECT_FALSE(bad.ok());
    EXPECT_EQ(bad.error().reason, "no such pool");
}

} // namespace
} // namespace cardamompaddle
