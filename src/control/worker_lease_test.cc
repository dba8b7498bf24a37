#include "control/worker_lease.h"

#include <gtest/gtest.h>

namespace cardamompaddle {

namespace {

constexpr Duration MaxLease{10'000};
constexpr Duration Lease{4'500};
// A worker's clock may be 2% slow.
constexpr Duration SlowMaxLease{10'200};
constexpr Duration SlowLease{4'590};
// An unanswered call is carried out up to this much later.
constexpr Duration LongestCallDelay{12'000};
constexpr int64_t FirstStart = 1'000;
constexpr int64_t SecondStart = 2'000;

class WorkerLeaseBoundTest : public ::testing::Test
{
protected:
    // The worker answers a poll that was sent 1 ms ago.
    WorkerLease::ReportKind report(int64_t startedAtMs, int64_t clockMs)
    {
        return m_lease.onReport(startedAtMs, clockMs, m_now - Duration(1), m_now);
    }
    void pass(Duration time) { m_now += time; }
    // The worker is probed for the first time and gets a lease.
    void join()
    {
        report(FirstStart, 50'000);
        m_lease.request(Lease, m_now);
    }
    // The worker gives no answer, and the next incarnation answers a probe.
    void restart()
    {
        m_lease.beginProbe();
        report(SecondStart, 300);
    }

    Instant m_now = instantFromMs(1'000'000);
    WorkerLease m_lease{3, MaxLease, {}};
    const RunRef m_run{{{"job", 0, 0}, 0}, 1};
};

} // namespace

// Guards against calls of a later tenure that a worker refuses, and against those of a former one
// that it accepts.
TEST(FencingTokenTest, TokensRiseWithProbesAndMoreWithTenures)
{
    EXPECT_LT(fencingToken(3, 1), fencingToken(3, 2));
    EXPECT_LT(fencingToken(3, 500'000'000), fencingToken(4, 1));
    EXPECT_EQ(epochOfToken(fencingToken(3, 500'000'000)), 3);
}

// Guards against a worker that gets leases by a clock that nobody has read.
TEST_F(WorkerLeaseBoundTest, AnIncarnationIsUsableOnceItHasAnsweredAProbe)
{
    EXPECT_FALSE(m_lease.isProbed());
    EXPECT_EQ(report(FirstStart, 50'000), WorkerLease::ReportKind::ProbedNew);
    EXPECT_TRUE(m_lease.isProbed());
    EXPECT_EQ(report(FirstStart, 50'900), WorkerLease::ReportKind::Current);
}

// Guards against a cut-off worker whose runs wait for longer than their lease lasts.
TEST_F(WorkerLeaseBoundTest, ConfirmedRunsOfACutOffWorkerWaitForTheRequestedLeaseOnly)
{
    join();
    EXPECT_GE(m_lease.expiry(), m_now + SlowLease);
    EXPECT_LE(m_lease.expiry(), m_now + Lease + Duration(400));
    EXPECT_EQ(m_lease.bound(), LeaseBound::Requested);
    EXPECT_TRUE(m_lease.unansweredRuns().empty());
}

// Guards against two runs of a task at once: a lease that was requested by the clock of a former
// incarnation lasts as long as the worker permits.
TEST_F(WorkerLeaseBoundTest, ANewIncarnationMayHaveGrantedTheLongestLeaseUntilItsProbe)
{
    join();
    pass(Duration(1'000));
    const int64_t token = m_lease.token();
    restart();
    EXPECT_GT(m_lease.token(), token) << "stale calls have to be refused from now on";
    EXPECT_GE(m_lease.expiry(), m_now + SlowMaxLease);
    EXPECT_EQ(m_lease.bound(), LeaseBound::StaleCalls);
    pass(Duration(3'000));
    m_lease.request(Lease, m_now);
    EXPECT_GE(m_lease.expiry(), m_now + SlowMaxLease - Duration(3'000));
    pass(Duration(9'000));
    m_lease.request(Lease, m_now);
    EXPECT_LE(m_lease.expiry(), m_now + Lease + Duration(400)) << "the long leases have expired";
}

// Guards against a worker whose first incarnation is taken for one that has replaced another.
TEST_F(WorkerLeaseBoundTest, AWorkerThatNobodyHasCalledHasNoLeases)
{
    report(FirstStart, 100);
    EXPECT_LT(m_lease.expiry(), m_now);
}

// Guards against two runs at once after a takeover: the new scheduler has to tell the incarnation
// that the former one used from another.
TEST_F(WorkerLeaseBoundTest, ATakeoverCountsLongLeasesOnlyInAnotherIncarnation)
{
    FormerLeases former;
    former.used = true;
    former.startedAtMs = FirstStart;
    former.expiry = m_now + Duration(500);
    WorkerLease same(4, MaxLease, former);
    same.onReport(FirstStart, 50'000, m_now, m_now);
    EXPECT_EQ(same.expiry(), m_now + Duration(500));
    WorkerLease other(4, MaxLease, former);
    other.onReport(SecondStart, 300, m_now, m_now);
    EXPECT_GE(other.expiry(), m_now + SlowMaxLease);
    former.staleExpiry = m_now + Duration(7'000);
    const WorkerLease silent(4, MaxLease, former);
    EXPECT_EQ(silent.expiry(), m_now + Duration(7'000));
}

// Guards against the same with a worker that has started again and is silent: it is not known which
// starts the former scheduler had answers to.
TEST_F(WorkerLeaseBoundTest, ATakeoverWaitsForStaleStartsOfAnIncarnationThatTheRegistryShows)
{
    FormerLeases former;
    former.used = true;
    former.startedAtMs = FirstStart;
    former.lastCallAt = m_now;
    WorkerLease lease(4, MaxLease, former);
    lease.onRegistryEntry(FirstStart);
    EXPECT_LT(lease.unansweredExpiry(), m_now);
    lease.onRegistryEntry(SecondStart);
    EXPECT_GE(lease.unansweredExpiry(), m_now + LongestCallDelay + SlowMaxLease);
}

// Guards against two runs at once: a start without an answer may begin in an incarnation that was
// never heard of.
TEST_F(WorkerLeaseBoundTest, AnUnansweredStartIsWaitedForUntilItCanRunNowhere)
{
    join();
    m_lease.startSent(m_run, m_now);
    EXPECT_EQ(m_lease.unansweredRuns(), std::set<RunRef>{m_run});
    EXPECT_GE(m_lease.unansweredExpiry(), m_now + LongestCallDelay + SlowMaxLease);
    m_lease.startAnswered(m_run, true, m_now);
    EXPECT_TRUE(m_lease.unansweredRuns().empty());
}

// Guards against two runs at once: a start that another incarnation may have answered counts as
// unanswered until a report shows where it runs, and no longer.
TEST_F(WorkerLeaseBoundTest, AStartThatAnotherIncarnationMayHaveAnsweredCountsUntilTheNextReport)
{
    join();
    m_lease.startSent(m_run, m_now);
    m_lease.startAnswered(m_run, false, m_now);
    EXPECT_EQ(m_lease.unansweredRuns().size(), 1U);
    pass(Duration(20));
    restart();
    EXPECT_TRUE(m_lease.unansweredRuns().empty());
}

// Guards against the same after a probe, whose token a later incarnation has not seen, and against
// starts that are waited for although they cannot be carried out any more.
TEST_F(WorkerLeaseBoundTest, AnUnansweredStartCountsAsLongAsItMayBeCarriedOut)
{
    join();
    m_lease.startSent(m_run, m_now);
    m_lease.beginProbe();
    EXPECT_EQ(report(FirstStart, 50'100), WorkerLease::ReportKind::Probed);
    EXPECT_EQ(m_lease.unansweredRuns().size(), 1U);
    pass(LongestCallDelay + Duration(10));
    report(FirstStart, 62'100);
    EXPECT_TRUE(m_lease.unansweredRuns().empty());
}

// Guards against calls that a worker refuses because it has seen a higher token in the same tenure,
// before its link was closed for a time.
TEST_F(WorkerLeaseBoundTest, TokensGoOnAfterEarlierProbesOfTheTenure)
{
    join();
    m_lease.beginProbe();
    const WorkerLease next(3, MaxLease, {}, m_lease.probes());
    EXPECT_GT(next.token(), m_lease.token());
}

// Guards against an end of a new incarnation that is acknowledged unread, and a lease by a wrong
// clock, because a poll for the former one has reached it.
TEST_F(WorkerLeaseBoundTest, AReportOfAnIncarnationThatWasNotProbedAsksForAProbe)
{
    join();
    EXPECT_EQ(report(SecondStart, 300), WorkerLease::ReportKind::NeedsProbe);
    EXPECT_FALSE(m_lease.isProbed());
    EXPECT_EQ(report(SecondStart, 310), WorkerLease::ReportKind::ProbedNew);
}

// Guards against calls to a new incarnation that the registry has shown long before a poll does.
TEST_F(WorkerLeaseBoundTest, ARegistryEntryOfAnotherIncarnationAsksForAProbeOnce)
{
    EXPECT_FALSE(m_lease.onRegistryEntry(FirstStart));
    join();
    EXPECT_FALSE(m_lease.onRegistryEntry(FirstStart));
    EXPECT_TRUE(m_lease.onRegistryEntry(SecondStart));
    EXPECT_FALSE(m_lease.onRegistryEntry(SecondStart));
    report(SecondStart, 300);
    EXPECT_FALSE(m_lease.onRegistryEntry(SecondStart));
}

// Guards against a worker that is never used again because its time of day was set back before it
// started again.
TEST_F(WorkerLeaseBoundTest, ALaterIncarnationMayHaveAnEarlierStart)
{
    report(SecondStart, 50'000);
    m_lease.request(Lease, m_now);
    m_lease.beginProbe();
    EXPECT_EQ(report(FirstStart, 300), WorkerLease::ReportKind::ProbedNew);
    EXPECT_EQ(m_lease.startedAtMs(), FirstStart);
}

// Guards against a start that passes for confirmed although another incarnation has answered it,
// and against one that does not because the worker's clock is slow or its answer took long.
TEST_F(WorkerLeaseBoundTest, OnlyTheClockOfTheIncarnationFits)
{
    join();
    const Instant sentAt = m_now + Duration(2'000);
    EXPECT_TRUE(m_lease.clockFits(52'000, sentAt));
    EXPECT_TRUE(m_lease.clockFits(51'960, sentAt)) << "2% slow";
    EXPECT_TRUE(m_lease.clockFits(53'500, sentAt)) << "carried out late";
    EXPECT_FALSE(m_lease.clockFits(1'500, sentAt));
    EXPECT_TRUE(m_lease.clockFits(49'950, m_now - Duration(50))) << "a later answer came first";
}

} // namespace cardamompaddle
