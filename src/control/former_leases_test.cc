#include "control/former_leases.h"

#include "control/tenure_clock.h"
#include "work/codec.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

constexpr Instant ReadAt{Duration(90'000)};

work::UsedWorker record()
{
    work::UsedWorker out;
    out.id = "w";
    out.startedAtMs = 7;
    out.leasesExpireWithinMs = 4'000;
    out.leasesExpireAtHeldMs = 50'000;
    out.staleLeasesExpireWithinMs = 10'500;
    out.staleLeasesExpireAtHeldMs = 60'000;
    return out;
}

} // namespace

// Guards against spans that each process counts anew although they have long passed.
TEST(FormerLeasesTest, HeldTimeEndsASpanThatWasReadLate)
{
    FormerLeases former = formerLeases(record(), ReadAt);
    boundByHeldTime(former, record(), 59'000, ReadAt + Duration(200));
    EXPECT_EQ(former.staleExpiry, ReadAt + Duration(1'200));
    EXPECT_EQ(former.expiry, ReadAt + Duration(200)) << "has passed";
    EXPECT_EQ(former.unansweredExpiry, Instant::min()) << "there are none";
}

// Guards against a promise that is dropped because its leases have ended: nobody extends them until
// the record is replaced.
TEST(FormerLeasesTest, APassedSpanIsStillAPromise)
{
    FormerLeases former = formerLeases(record(), ReadAt);
    boundByHeldTime(former, record(), 1'000'000, ReadAt);
    EXPECT_NE(former.expiry, Instant::min());
}

// Guards against a later end than that of the span, since held time stands still without a holder.
TEST(FormerLeasesTest, TheEarlierBoundCounts)
{
    FormerLeases former = formerLeases(record(), ReadAt);
    boundByHeldTime(former, record(), 40'000, ReadAt + Duration(3'000));
    EXPECT_EQ(former.staleExpiry, ReadAt + Duration(10'500));
    EXPECT_EQ(former.expiry, ReadAt + Duration(4'000));
}

// Guards against leases that count as ended at once with the record of an earlier version.
TEST(FormerLeasesTest, ARecordWithoutHeldTimesIsCountedFromItsReading)
{
    work::UsedWorker earlier = record();
    earlier.leasesExpireAtHeldMs = earlier.staleLeasesExpireAtHeldMs = 0;
    FormerLeases former = formerLeases(earlier, ReadAt);
    boundByHeldTime(former, earlier, 1'000'000, ReadAt + Duration(100));
    EXPECT_EQ(former.staleExpiry, ReadAt + Duration(10'500));
    EXPECT_EQ(former.expiry, ReadAt + Duration(4'000));
}

// Guards against an end before that of the leases: held time that was stored with the last append
// lags, and the holder goes on counting from there.
TEST(FormerLeasesTest, TheStoredHeldTimeIsNeverTooEarly)
{
    TenureClock clock(1, ReadAt);
    clock.recordStored(ReadAt + Duration(300));
    const Instant storedAt = ReadAt + Duration(550);
    const Duration left{5'000};
    work::UsedWorker stored;
    stored.staleLeasesExpireWithinMs = left.count();
    stored.staleLeasesExpireAtHeldMs = heldTimeAfter(clock.heldMsAt(storedAt), left);
    for (int ms = 600; ms < 6'000; ms += 150) {
        const Instant now = ReadAt + Duration(ms);
        clock.recordStored(now);
        FormerLeases former = formerLeases(stored, now);
        boundByHeldTime(former, stored, clock.heldMs(), now);
        ASSERT_GE(former.staleExpiry, storedAt + left) << ms;
    }
}

} // namespace cardamompaddle
