#include "control/instance_testing.h"

namespace cardamompaddle {
namespace {

// A worker lists this many finished runs at once; each worker of the test gets more of them.
constexpr size_t MaxEndsListed = 5;
constexpr int32_t ManyTasks = 40;

// Workers that hold more finished runs than they list, because none could be acknowledged.
class CutListTest : public InstanceTest
{
protected:
    CutListTest()
    {
        m_cpuMilli = 10;
        m_workers.maxEndsListed = MaxEndsListed;
    }
    // Runs a job whose ends cannot be stored.
    void finishWithoutTheLog()
    {
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        ASSERT_EQ(submit(scheduler(), "job", ManyTasks), SubmitOutcome::Accepted);
        ASSERT_TRUE(runUntil([this] { return m_workers.starts == ManyTasks; }));
        for (auto &[name, node] : m_nodes)
            node.log->refuses = true;
        m_workers.finishAllRuns(RunOutcome::Succeeded);
        runFor(Duration(900)); // several polls
    }
    void bringTheLogBack()
    {
        for (auto &[name, node] : m_nodes)
            node.log->refuses = false;
    }
    void expectEachTaskRanOnce()
    {
        EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Completed));
        EXPECT_EQ(m_workers.starts, ManyTasks);
        EXPECT_FALSE(m_workers.ranTwice);
    }
};

// Guards against runs that are taken for missing, and start again, because the worker's list of
// finished runs does not show them yet.
TEST_F(CutListTest, RunsThatAreNotListedYetDoNotStartAgain)
{
    addNode("a");
    finishWithoutTheLog();
    bringTheLogBack();
    expectEachTaskRanOnce();
}

// Guards against a new scheduler that takes the first list of a worker for all its runs.
TEST_F(CutListTest, ATakeoverWaitsForTheWholeList)
{
    addNode("a");
    addNode("b");
    finishWithoutTheLog();
    scheduler().instance.reset();
    bringTheLogBack();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    expectEachTaskRanOnce();
}

// Guards against ends that are never read because the worker has left the registry.
TEST_F(CutListTest, ATakeoverReadsTheWholeListOfAnUnlistedWorker)
{
    addNode("a");
    addNode("b");
    finishWithoutTheLog();
    scheduler().instance.reset();
    m_model.put(RegistryTopic, "w1", "");
    m_model.put(RegistryTopic, "w2", "");
    m_model.put(RegistryTopic, "w3", "ready");
    bringTheLogBack();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    expectEachTaskRanOnce();
}

} // namespace
} // namespace cardamompaddle
