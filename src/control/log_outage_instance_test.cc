// Work that waits while the log gives no answers.
#include "control/instance_testing.h"

namespace cardamompaddle {
namespace {

class LogOutageTest : public InstanceTest
{
protected:
    // Longer than leases are extended without the log.
    static constexpr Duration Outage{3'200};
    // Shorter than a worker that rejected a start is avoided.
    static constexpr Duration StartBound{1'000};

    // Has one instance whose two workers are full, and a job that waits for them.
    void fillWorkers()
    {
        m_maxLease = Duration(10'000);
        m_log = addNode("a").log;
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        ASSERT_EQ(submit(scheduler(), "running", 8), SubmitOutcome::Accepted);
        ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 8; }));
        ASSERT_EQ(submit(scheduler(), "waiting", 8), SubmitOutcome::Accepted);
        runFor(Duration(300));
    }
    // Frees the workers near the end of an outage of the log, and waits for the first append that
    // is stored after it.
    void freeWorkersDuringOutage()
    {
        m_log->unresponsive = true;
        runFor(Outage - Duration(200));
        m_workers.finishAllRuns(RunOutcome::Succeeded);
        runFor(Duration(200));
        m_log->unresponsive = false;
        ASSERT_TRUE(
            runUntil([this, before = m_model.appends] { return m_model.appends > before; }));
    }
    void expectWaitingTasksStart()
    {
        const Instant since = m_clock.now();
        EXPECT_TRUE(runUntil([this] { return m_workers.starts == 16; }, Duration(4'000)));
        const Duration waited = m_clock.now() - since;
        EXPECT_LT(waited, StartBound);
        EXPECT_EQ(m_workers.startsWithoutLease, 0);
        EXPECT_FALSE(m_workers.ranTwice);
        RecordProperty("waited_ms", static_cast<int>(waited.count()));
    }

    testing::TestLog *m_log = nullptr;
};

// Guards against ready work that waits after an outage of the log, because starts go out without a
// lease, are rejected, and their workers are avoided.
TEST_F(LogOutageTest, TasksStartOnceTheTenureIsStoredAgain)
{
    fillWorkers();
    ASSERT_FALSE(HasFatalFailure());
    freeWorkersDuringOutage();
    ASSERT_FALSE(HasFatalFailure());
    expectWaitingTasksStart();
}

// Guards against the same while the log is so slow that starts are sent before they are recorded,
// and against start orders that are withdrawn and given again without end during the outage.
TEST_F(LogOutageTest, TasksWhoseStartsAreNotRecordedFirstStartOnceTheTenureIsStoredAgain)
{
    fillWorkers();
    ASSERT_FALSE(HasFatalFailure());
    m_log->appendTime = Duration(150);
    ASSERT_TRUE(
        runUntil([this] { return !scheduler().instance->jobTable().tenure().startsRecorded; },
                 Duration(6'000)));
    runFor(Duration(500));
    freeWorkersDuringOutage();
    ASSERT_FALSE(HasFatalFailure());
    expectWaitingTasksStart();
}

} // namespace
} // namespace cardamompaddle
