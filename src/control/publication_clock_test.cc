#include "control/publication_clock.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

const Instant Start = instantFromMs(100'000);

// Guards against publications that a relay held back and that count as made on receipt.
TEST(PublicationClockTest, AnOldPublicationIsDatedBack)
{
    PublicationClock clock;
    EXPECT_EQ(clock.publishedAt(1, 5'000, Start), Start);
    const Instant later = Start + Duration(2'000);
    EXPECT_EQ(clock.publishedAt(1, 7'000, later), later);
    EXPECT_EQ(clock.publishedAt(1, 6'800, later), later) << "delays of slow machines";
    // The rate of the clocks may differ by ClockDriftPercent, 20 ms in 2 s.
    EXPECT_LE(clock.publishedAt(1, 5'500, later), Start + Duration(540));
}

// Guards against a clock that is a little slower than the scheduler's: publications must not seem
// to get older all the time.
TEST(PublicationClockTest, ToleratesDrift)
{
    PublicationClock clock;
    for (int64_t s = 0; s < 1'000; ++s) {
        const Instant now = Start + Duration(s * 1'000);
        EXPECT_EQ(clock.publishedAt(1, 5'000 + s * 991, now), now);
    }
}

// Guards against a former scheduler that seems to be the present one, and against a new scheduler
// whose time is compared with that of the former one.
TEST(PublicationClockTest, EachTenureHasItsOwnClock)
{
    PublicationClock clock;
    EXPECT_EQ(clock.publishedAt(1, 5'000, Start), Start);
    EXPECT_EQ(clock.publishedAt(2, 1, Start), Start);
    EXPECT_EQ(clock.publishedAt(1, 5'000, Start), std::nullopt);
}

} // namespace
} // namespace cardamompaddle
