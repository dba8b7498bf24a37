#include "control/instance_testing.h"

namespace cardamompaddle {

namespace {

// More workers than the scheduler calls by itself.
constexpr int WorkerCount = 100;
constexpr int TaskCount = 200;

class SpreadCallsTest : public InstanceTest
{
protected:
    SpreadCallsTest()
    {
        for (int i = 3; i <= WorkerCount; ++i)
            m_model.put(RegistryTopic, "w" + std::to_string(i), "ready");
        for (const char *name : {"a", "b", "c", "d", "e"})
            addNode(name);
    }
    // Counts the batches with calls that each instance receives.
    void countBatches()
    {
        for (auto &[address, receive] : m_policy.callReceivers) {
            receive = [this, peer = address, next = receive](const work::WorkerCalls &calls) {
                m_batches[peer] += calls.calls.empty() ? 0 : 1;
                m_calls += calls.calls.size();
                return next(calls);
            };
        }
    }
    // Returns the name of an instance that makes calls for the scheduler.
    std::string linkName() const
    {
        for (const auto &[address, count] : m_batches) {
            if (count > 0)
                return address.substr(0, address.find(':'));
        }
        return "";
    }

    std::map<std::string, int> m_batches; // by peer address
    size_t m_calls = 0;
};

} // namespace

// Guards against tasks that run twice or not at all when an instance that makes calls for the
// scheduler dies.
TEST_F(SpreadCallsTest, ALostLinkNeitherLosesNorRepeatsTasks)
{
    countBatches();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &holder = scheduler();
    ASSERT_TRUE(runUntil([this] { return m_calls > WorkerCount; })) << "calls go through links";
    ASSERT_EQ(submit(holder, "first", TaskCount), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.starts >= TaskCount / 4; }));
    const std::string lost = linkName();
    ASSERT_FALSE(lost.empty());
    m_nodes[lost].instance.reset();
    ASSERT_EQ(submit(holder, "second", TaskCount), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2 * TaskCount; }));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(holder, "first", work::JobState::Completed));
    EXPECT_TRUE(reached(holder, "second", work::JobState::Completed));
    EXPECT_EQ(m_workers.starts, 2 * TaskCount);
    EXPECT_FALSE(m_workers.ranTwice);
    EXPECT_TRUE(holder.instance->isScheduler());
}

// Guards against runs that are started again when the scheduler and its links change.
TEST_F(SpreadCallsTest, ATakeoverAdoptsRunsThatLinksStarted)
{
    m_maxLease = Duration(4'000);
    countBatches();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(runUntil([this] { return m_calls > WorkerCount; }));
    ASSERT_EQ(submit(scheduler(), "job", TaskCount), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.starts >= TaskCount / 2; }));
    scheduler().instance.reset();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == TaskCount; }));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.ranTwice);
}

} // namespace cardamompaddle
