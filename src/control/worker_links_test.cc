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
        callbacks.lost = [](const WorkerId &) {};
        callbacks.replaced = [](const WorkerId &) {};
        callbacks.fenced = [] {};
        callbacks.busy = [](const WorkerId &) { return true; };
        callbacks.storedPosition = [](const WorkerId &) -> int64_t { return 0; };
        callbacks.suspendedLeaseExpiry = [](const WorkerId &) { return std::nullopt; };
        m_links.emplace(m_io, m_clock, m_workers, WorkerLinksOptions{1, Duration(10'000)},
                        std::move(callbacks));
        WorkerEntry entry;
        entry.id = "w";
        m_links->setEntry(entry, true);
        run(Duration(50));
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

} // namespace cardamompaddle
