#include "control/worker_links.h"

#include "control/testing_platform.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <optional>

namespace cardamompaddle {

namespace {

using testing::TestWorkers;

class WorkerLinksTest : public ::testing::Test
{
protected:
    WorkerLinksTest()
    {
        connect({1, Duration(10'000), m_clock.now()});
        run(Duration(50));
    }
    // Creates the links with these options, and one to worker "w".
    void connect(WorkerLinksOptions options)
    {
        WorkerLinks::Callbacks callbacks;
        callbacks.report = [](const WorkerId &, const RunReport &) {};
        callbacks.startWanted = [this](const StartOrder &) { return m_wanted(); };
        callbacks.startAnswered = [this](const StartOrder &order, StartOutcome outcome) {
            m_outcome = outcome;
            if (m_answered)
                m_answered(order, outcome);
        };
        callbacks.stopConfirmed = [](const StopOrder &) {};
        callbacks.reachable = [](const WorkerId &, bool) {};
        callbacks.lost = [this](const WorkerId &, const std::set<RunRef> &unanswered) {
            m_lost = unanswered.empty();
            m_unanswered = unanswered;
        };
        callbacks.replaced = [](const WorkerId &) {};
        callbacks.fenced = [this] { m_fenced = true; };
        callbacks.busy = [this](const WorkerId &) { return m_busy; };
        callbacks.storedPosition = [](const WorkerId &, int64_t) -> int64_t { return 0; };
        callbacks.leasesPermitted = [](const WorkerId &, int64_t) { return true; };
        callbacks.formerLeases = [](const WorkerId &) { return FormerLeases(); };
        m_links.emplace(m_io, m_clock, m_workers, options, std::move(callbacks));
        WorkerEntry entry;
        entry.id = "w";
        m_links->setEntry(entry, true);
    }
    void run(Duration time) { m_io.run_for(time); }
    static StartOrder startOrder(int32_t index)
    {
        StartOrder order;
        order.worker = "w";
        order.task = {{"job", 0, 0}, index};
        order.run = 1;
        return order;
    }
    // Sends one start order and waits for its outcome.
    StartOutcome startOne()
    {
        m_links->start(startOrder(0));
        for (int i = 0; i < 200 && !m_outcome; ++i)
            run(Duration(10));
        return m_outcome.value_or(StartOutcome::WorkerUnavailable);
    }

    boost::asio::io_context m_io;
    testing::TestClock m_clock;
    TestWorkers m_workers{m_io};
    std::optional<StartOutcome> m_outcome;
    std::function<bool()> m_wanted = [] { return true; };
    std::function<void(const StartOrder &, StartOutcome)> m_answered;
    std::optional<WorkerLinks> m_links;
    bool m_busy = true;
    bool m_fenced = false;
    bool m_lost = false; // with all its runs
    std::set<RunRef> m_unanswered; // left out when the worker was reported as lost
};

// Worker "w" has the clock of the test, so that the ends of its leases can be compared with times
// of the test.
class WorkerLeaseTest : public WorkerLinksTest
{
protected:
    // From the sending of the last stored append to the latest end of a lease.
    static constexpr Duration MaxLeaseAfterAppend{6'000};

    WorkerLeaseTest()
    {
        m_workers.workerTimeMs = [this] { return toMs(m_clock.now()); };
        connect({1, Duration(10'000), m_clock.now()});
    }
    // Removes the links, lets their calls end, and forgets the leases that these requested.
    void disconnect()
    {
        m_links.reset();
        run(Duration(1'000));
        m_io.restart(); // it has run out of work
        m_workers.workers["w"].latestLeaseEndMs = 0;
    }
    // Sends starts for longer than leases may be extended.
    void sendStarts()
    {
        for (int i = 0; i < 18; ++i) {
            m_links->start(startOrder(i));
            run(Duration(170));
        }
    }
    Instant latestLeaseEnd() { return instantFromMs(m_workers.workers["w"].latestLeaseEndMs); }
};

} // namespace

// Guards against tasks that wait for more than a second because a worker carries out their start
// order late and its answer is lost.
TEST_F(WorkerLinksTest, ResendsAnUnansweredStartAndTheRunBeginsOnce)
{
    m_workers.workers["w"].unansweredStarts = 1;
    EXPECT_EQ(startOne(), StartOutcome::Started);
    EXPECT_EQ(m_workers.startCalls, 2);
    EXPECT_EQ(m_workers.starts, 1);
    EXPECT_FALSE(m_workers.ranTwice);
}

TEST_F(WorkerLinksTest, AStartWithoutAnyAnswerHasAnUnknownOutcome)
{
    m_workers.workers["w"].unansweredStarts = 10;
    EXPECT_EQ(startOne(), StartOutcome::Unknown);
    EXPECT_EQ(m_workers.startCalls, 3);
}

// Guards against a task that runs twice: an unanswered start may be carried out after a later
// attempt was refused.
TEST_F(WorkerLinksTest, ARefusalAfterAnUnansweredAttemptLeavesTheOutcomeUnknown)
{
    TestWorkers::Worker &worker = m_workers.workers["w"];
    worker.unansweredStarts = 1;
    worker.delaysUnansweredStarts = true;
    worker.refusesAfterUnanswered = true;
    EXPECT_EQ(startOne(), StartOutcome::Unknown);
}

// Guards against a task that starts although its job was cancelled, or its worker began to drain,
// while the start order waited for other calls to the worker.
TEST_F(WorkerLinksTest, AStartThatIsNoLongerWantedWhenItsTurnComesIsNotSent)
{
    m_workers.workers["w"].unansweredStarts = 6;
    m_workers.workers["w"].delaysUnansweredStarts = true;
    std::map<int, StartOutcome> outcomes;
    m_answered = [&](const StartOrder &order, StartOutcome it) { outcomes[order.task.index] = it; };
    for (int i = 0; i < 7; ++i)
        m_links->start(startOrder(i));
    run(Duration(50));
    EXPECT_EQ(m_workers.startCalls, 6) << "the last one waits for its turn";
    m_wanted = [] { return false; };
    run(Duration(500));
    EXPECT_EQ(m_workers.startCalls, 6);
    EXPECT_EQ(m_workers.starts, 0);
    ASSERT_EQ(outcomes.size(), 7U);
    EXPECT_EQ(outcomes[6], StartOutcome::Withdrawn) << "nothing was sent";
    EXPECT_EQ(outcomes[0], StartOutcome::Unknown) << "its first attempt may be carried out late";
}

// Guards against an unanswered start that is repeated after its job was cancelled.
TEST_F(WorkerLinksTest, AnUnansweredStartThatIsNoLongerWantedIsNotRepeated)
{
    m_workers.workers["w"].unansweredStarts = 1;
    m_workers.workers["w"].delaysUnansweredStarts = true;
    m_wanted = [this] { return m_workers.startCalls == 0; };
    EXPECT_EQ(startOne(), StartOutcome::Unknown);
    EXPECT_EQ(m_workers.startCalls, 1);
    EXPECT_EQ(m_workers.starts, 0);
}

// Guards against a call stack that grows with the number of withdrawn start orders, and against
// withdrawn orders that keep a place among the calls in flight.
TEST_F(WorkerLinksTest, ManyWithdrawnStartsLeaveRoomForLaterOnes)
{
    m_wanted = [] { return false; };
    for (int i = 0; i < 20'000; ++i)
        m_links->start(startOrder(i));
    EXPECT_EQ(m_workers.startCalls, 0);
    m_wanted = [] { return true; };
    m_outcome.reset();
    EXPECT_EQ(startOne(), StartOutcome::Started);
}

// Guards against starts that a worker rejects because they carry no lease, after which the worker
// is avoided although nothing is wrong with it.
TEST_F(WorkerLinksTest, AStartWithoutALeaseIsWithdrawnInsteadOfSent)
{
    run(Duration(2'600));
    EXPECT_FALSE(m_links->tenureIsCurrent());
    EXPECT_EQ(startOne(), StartOutcome::Withdrawn);
    EXPECT_EQ(m_workers.startCalls, 0);
    m_links->onAppendStored(m_clock.now());
    m_outcome.reset();
    EXPECT_EQ(startOne(), StartOutcome::Started);
}

// Guards against tasks that run twice: a former scheduler that gets an answer of the log late, and
// meanwhile has been replaced, extends leases for longer than its successor expects.
TEST_F(WorkerLinksTest, AnAppendPermitsToExtendLeasesFromWhenItWasSent)
{
    m_links->onAppendStored(m_clock.now());
    run(Duration(3'300));
    m_workers.workers["w"].leaseEndMs = 0;
    m_links->onAppendStored(m_clock.now() - Duration(2'600));
    run(Duration(1'500));
    EXPECT_EQ(m_workers.workers["w"].leaseEndMs, 0) << "the tenure may have been lost since";
}

// Guards against tasks that run twice: a former scheduler in a zone that is partitioned off
// together with its workers keeps extending their leases, while its successor expects them to
// expire.
TEST_F(WorkerLinksTest, StopsExtendingLeasesAfterATimeWithoutAppends)
{
    m_links->onAppendStored(m_clock.now());
    run(Duration(1'500));
    EXPECT_GT(m_workers.workers["w"].leaseEndMs, 0);
    run(Duration(1'800));
    m_workers.workers["w"].leaseEndMs = 0;
    run(Duration(1'500));
    EXPECT_EQ(m_workers.workers["w"].leaseEndMs, 0) << "extended without the log";
    m_links->onAppendStored(m_clock.now());
    run(Duration(1'500));
    EXPECT_GT(m_workers.workers["w"].leaseEndMs, 0);
}

// Guards against tasks that run twice: a former scheduler that is cut off from the log requests
// leases for longer than its successor waits.
TEST_F(WorkerLeaseTest, NoLeaseOutlastsTheLastStoredAppendByMoreThanTheBound)
{
    const Instant storedSentAt = m_clock.now();
    m_links->onAppendStored(storedSentAt);
    sendStarts();
    EXPECT_LE(latestLeaseEnd(), storedSentAt + MaxLeaseAfterAppend);
    EXPECT_GE(latestLeaseEnd(), storedSentAt + MaxLeaseAfterAppend - Duration(200));
}

// Guards against the same where the answer of the log comes late.
TEST_F(WorkerLeaseTest, ASlowAppendExtendsTheBoundFromWhenItWasSent)
{
    const Instant storedSentAt = m_clock.now();
    run(Duration(1'500));
    m_links->onAppendStored(storedSentAt);
    sendStarts();
    EXPECT_LE(latestLeaseEnd(), storedSentAt + MaxLeaseAfterAppend);
}

// Guards against the same with a scheduler that stored nothing but its claim, and that began long
// after it had sent the claim.
TEST_F(WorkerLeaseTest, LeasesAreBoundFromWhenTheClaimWasSent)
{
    disconnect();
    const Instant claimSentAt = m_clock.now() - Duration(1'000);
    connect({1, Duration(10'000), claimSentAt});
    sendStarts();
    EXPECT_GT(latestLeaseEnd(), claimSentAt);
    EXPECT_LE(latestLeaseEnd(), claimSentAt + MaxLeaseAfterAppend);
    disconnect();
    connect({1, Duration(10'000), claimSentAt});
    sendStarts();
    EXPECT_EQ(m_workers.workers["w"].latestLeaseEndMs, 0) << "the tenure may have been lost since";
}

// Guards against a worker that is taken for lost although it answers, because scheduling begins
// long after the last sign of the former scheduler: its finished runs would start again.
TEST_F(WorkerLeaseTest, AWorkerIsNotLostBeforeItsFirstPollCouldBeAnswered)
{
    connect({2, Duration(10'000), m_clock.now(), m_clock.now() - Duration(20'000)});
    m_links->tick();
    EXPECT_FALSE(m_lost);
    run(Duration(300));
    m_links->tick();
    EXPECT_FALSE(m_lost);
}

// Guards against tasks of a lost worker that wait for longer than leases can last, and against
// those that run twice because they do not wait long enough.
TEST_F(WorkerLeaseTest, AnUnresponsiveWorkerIsLostOnceTheLeasesOfTheFormerSchedulerHaveExpired)
{
    m_workers.workers["w"].unresponsive = true;
    const Instant formerHeldAt = m_clock.now() - Duration(3'000);
    connect({2, Duration(10'000), m_clock.now(), formerHeldAt});
    while (!m_lost && m_clock.now() < formerHeldAt + Duration(8'000)) {
        m_links->tick();
        run(Duration(20));
    }
    const Duration waited = m_clock.now() - formerHeldAt;
    EXPECT_GT(waited, MaxLeaseAfterAppend * 102 / 100) << "a worker's clock may be 2% slow";
    EXPECT_LT(waited, Duration(6'600));
}

// Guards against a tenure that is given up because a worker refuses a call: it was listed again in
// the same tenure, and has seen the tokens of the probes before.
TEST_F(WorkerLinksTest, AWorkerThatIsListedAgainIsNotTakenForFenced)
{
    m_workers.workers["w"].unresponsive = true;
    run(Duration(1'500));
    m_workers.workers["w"].unresponsive = false;
    run(Duration(1'500));
    ASSERT_GT(m_workers.workers["w"].token, fencingToken(1, 1)) << "not probed again";
    m_busy = false;
    m_workers.workers["w"].unresponsive = true;
    m_links->markUnlisted("w");
    for (int i = 0; i < 120 && m_links->contains("w"); ++i) {
        run(Duration(70));
        m_links->tick();
    }
    ASSERT_FALSE(m_links->contains("w"));
    m_workers.workers["w"].unresponsive = false;
    WorkerEntry entry;
    entry.id = "w";
    m_links->setEntry(entry, true);
    run(Duration(100));
    EXPECT_FALSE(m_fenced);
    EXPECT_TRUE(m_links->reconciled("w"));
}

// Guards against a tenure that is given up because a start arrives after a probe of its own
// scheduler, and against a start that then passes for unknown.
TEST_F(WorkerLinksTest, ACallThatALaterProbeFencesIsNotCarriedOutAndNoSignOfAnotherScheduler)
{
    m_workers.workers["w"].token = fencingToken(1, 2); // seen after the start was sent
    m_links->start(startOrder(0));
    WorkerEntry restarted;
    restarted.id = "w";
    restarted.startedAtMs = 99;
    m_links->setEntry(restarted, true);
    for (int i = 0; i < 50 && !m_outcome; ++i)
        run(Duration(10));
    EXPECT_EQ(m_outcome, StartOutcome::Withdrawn);
    EXPECT_FALSE(m_fenced);
}

// Guards against two runs of a task at once: a start without an answer may begin in an incarnation
// that nobody has heard of, while confirmed runs wait for their lease only.
TEST_F(WorkerLeaseTest, OnlyUnansweredStartsOfASilentWorkerAreWaitedForAfterTheLease)
{
    m_workers.workers["w"].unansweredStarts = 3;
    run(Duration(50));
    ASSERT_EQ(startOne(), StartOutcome::Unknown);
    m_workers.workers["w"].unresponsive = true;
    const Instant silentAt = m_clock.now();
    while (m_unanswered.empty() && m_clock.now() < silentAt + Duration(7'000)) {
        m_links->tick();
        run(Duration(20));
    }
    EXPECT_EQ(m_unanswered, (std::set<RunRef>{{startOrder(0).task, 1}}));
    EXPECT_FALSE(m_lost);
    EXPECT_LT(m_clock.now() - silentAt, Duration(5'000)) << "the wait for confirmed runs";
    m_links->markUnlisted("w");
    m_links->tick();
    EXPECT_TRUE(m_lost) << "no incarnation follows one that the registry has removed";
}

// Guards against a task that starts on another worker although one of its starts may still be
// carried out, and against one that waits for a worker which the registry has removed.
TEST_F(WorkerLinksTest, TellsWhereAStartWithoutAnAnswerMayStillBeCarriedOut)
{
    const TaskRef task = startOrder(0).task;
    ASSERT_EQ(startOne(), StartOutcome::Started);
    EXPECT_EQ(m_links->lateStartWorkers(task), nullptr);
    m_workers.workers["w"].unansweredStarts = 3;
    m_outcome.reset();
    ASSERT_EQ(startOne(), StartOutcome::Unknown);
    run(Duration(1'500)); // the worker answers polls
    ASSERT_NE(m_links->lateStartWorkers(task), nullptr);
    EXPECT_EQ(*m_links->lateStartWorkers(task), std::set<WorkerId>{"w"});
    m_links->markUnlisted("w");
    EXPECT_EQ(m_links->lateStartWorkers(task), nullptr);
    WorkerEntry entry;
    entry.id = "w";
    m_links->setEntry(entry, true);
    EXPECT_NE(m_links->lateStartWorkers(task), nullptr);
}

} // namespace cardamompaddle
