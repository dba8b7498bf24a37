#include "control/instance_testing.h"

namespace cardamompaddle {

namespace {

class CrashingTaskTest : public InstanceTest
{
protected:
    // Waits for a run to begin and replaces its worker by a new incarnation. Returns whether a run
    // began.
    bool crashWorkerOfNextRun()
    {
        if (!runUntil([this] { return m_workers.runningCount() > 0; }))
            return false;
        runFor(Duration(30)); // the start is answered
        for (auto &[id, worker] : m_workers.workers) {
            if (worker.running.empty())
                continue;
            worker.running.clear();
            worker.ended.clear();
            worker.lastPosition = 0;
            worker.token = 0;
            ++worker.startedAtMs;
        }
        return true;
    }
};

} // namespace

// Guards against a task that crashes one worker after another because each scheduler counts the
// crashes anew.
TEST_F(CrashingTaskTest, ATaskThatCrashesItsWorkersIsGivenUpAcrossATakeover)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "deadly"), SubmitOutcome::Accepted);
    ASSERT_TRUE(crashWorkerOfNextRun());
    ASSERT_TRUE(crashWorkerOfNextRun());
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() > 0; }));
    scheduler().instance.reset();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    runFor(Duration(300)); // the run is adopted
    int crashes = 2;
    while (crashes < 6 && crashWorkerOfNextRun())
        ++crashes;
    EXPECT_LE(crashes, 4);
    EXPECT_TRUE(reached(scheduler(), "deadly", work::JobState::Failed));
}

// Guards against neighbours on the crashed worker that are lost or run twice.
TEST_F(CrashingTaskTest, TheNeighboursOnACrashedWorkerRunAgain)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "neighbours", 3), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 3; }));
    ASSERT_TRUE(crashWorkerOfNextRun());
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 3; }));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(scheduler(), "neighbours", work::JobState::Completed));
    EXPECT_FALSE(m_workers.ranTwice);
}

} // namespace cardamompaddle
