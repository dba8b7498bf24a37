#include "control/instance_testing.h"

namespace cardamompaddle {

namespace {

// Worker "w1" has a clock that counts from its start, and leases that end its runs.
class RestartedWorkerTest : public InstanceTest
{
protected:
    // Less than the platform's, for shorter tests, and more than schedulers request.
    static constexpr Duration MaxLease{7'000};

    RestartedWorkerTest()
    {
        m_maxLease = m_workers.maxLease = MaxLease;
        m_model.put(RegistryTopic, "w2", "");
        worker().startedAt = m_clock.now() - Duration(100'000);
    }
    testing::TestWorkers::Worker &worker() { return m_workers.workers["w1"]; }
    // Starts an instance and waits until it polls the worker.
    void begin()
    {
        addNode("a");
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        ASSERT_TRUE(runUntil([this] { return worker().latestLeaseEndMs > 0; }));
        runFor(Duration(100));
    }
    // The worker loses power for so long that the poll that waits there gets no answer.
    void restart()
    {
        worker().unresponsive = true;
        runFor(Duration(20));
        m_workers.restart("w1", m_clock.now());
    }
    bool submitAndStart(const std::string &id)
    {
        const int starts = m_workers.starts;
        return submit(scheduler(), id) == SubmitOutcome::Accepted
               && runUntil([this, starts] { return m_workers.starts > starts; });
    }
};

} // namespace

// Guards against two runs of a task at once: a start goes out by the clock of a worker's former
// incarnation, so the present one grants the longest lease, and the worker is cut off.
TEST_F(RestartedWorkerTest, ALeaseRequestedByAFormerClockIsWaitedFor)
{
    begin();
    restart();
    ASSERT_TRUE(submitAndStart("job"));
    runFor(Duration(60));
    worker().unresponsive = true;
    const Instant cutAt = m_clock.now();
    m_model.put(RegistryTopic, "w2", "ready");
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2; }, MaxLease + Duration(2'000)));
    EXPECT_FALSE(m_workers.ranTwice)
        << "started elsewhere " << (m_clock.now() - cutAt).count() << " ms after the cut";
}

// Guards against a task that starts again after it has succeeded: its end is acknowledged unread,
// with the position of the worker's former incarnation.
TEST_F(RestartedWorkerTest, EndsOfANewIncarnationAreReadBeforeTheyAreAcknowledged)
{
    begin();
    for (const char *id : {"first", "second", "third"}) {
        ASSERT_TRUE(submitAndStart(id));
        m_workers.finishAllRuns(RunOutcome::Succeeded);
        ASSERT_TRUE(reached(scheduler(), id, work::JobState::Completed));
    }
    runFor(Duration(300)); // the ends are acknowledged
    restart();
    ASSERT_TRUE(submitAndStart("job"));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Completed));
    EXPECT_EQ(m_workers.starts, 4);
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against two runs of a task at once: a start that got no answer from a worker is carried
// out once the worker has started again and its task runs elsewhere.
TEST_F(RestartedWorkerTest, AStartForAFormerIncarnationIsRefusedOnceThePresentOneIsKnown)
{
    begin();
    worker().unansweredStarts = 3;
    worker().lateStartDelay = Duration(1'500);
    ASSERT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.startCalls > 0; }));
    m_workers.restart("w1", m_clock.now());
    worker().unansweredStarts = 2;
    worker().lateStartDelay = Duration(1'500);
    // The poll that waits is answered at once.
    worker().ended.push_back({1, {{"other", 0, 0}, 0}, 1, RunOutcome::Succeeded, ""});
    m_model.put(RegistryTopic, "w2", "ready");
    runFor(Duration(2'400));
    EXPECT_EQ(m_workers.runningCount(), 1U);
    EXPECT_EQ(m_workers.starts, 1);
    EXPECT_FALSE(m_workers.ranTwice);
}

} // namespace cardamompaddle
