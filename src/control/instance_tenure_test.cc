// Which of several instances holds the tenure.
#include "control/instance_testing.h"

#include <thread>

namespace cardamompaddle {
namespace {

class InstanceTenureTest : public InstanceTest
{
protected:
    static constexpr int64_t Large = 500;
    static constexpr int64_t Small = 120;

    // Runs with timers that are late enough for the scheduler to count as overloaded.
    void runOverloaded(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            std::this_thread::sleep_for(Duration(150));
            runFor(Duration(20));
        }
    }
    int claims() const
    {
        int count = 0;
        for (const auto &[name, node] : m_nodes)
            count += node.log ? node.log->claimCalls : 0;
        return count;
    }
    bool areReady(const std::vector<std::string> &names)
    {
        return runUntil([&] {
            return std::all_of(names.begin(), names.end(), [this](const std::string &name) {
                return m_nodes[name].instance->isReady();
            });
        });
    }
};

// Connections to the log that go silent without being closed while new ones work.
class SilentConnectionsTest : public InstanceTenureTest
{
protected:
    // Starts three instances and waits until one of them schedules and all are ready.
    void startInstances()
    {
        for (const char *name : {"a", "b", "c"})
            addNode(name);
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        ASSERT_TRUE(areReady({"a", "b", "c"}));
        runFor(Duration(600));
    }
    int64_t epoch() { return scheduler().instance->jobTable().tenure().epoch; }
    // A job that is handed in to the holder now starts in time, and the tenure stays where it is.
    void expectStartInTheSameTenure()
    {
        const int64_t before = epoch();
        startSubmission(scheduler(), "job");
        EXPECT_TRUE(runUntil([this] { return m_workers.starts == 1; }, Duration(1'000)));
        runFor(Duration(1'500));
        ASSERT_EQ(schedulers(), 1);
        EXPECT_EQ(epoch(), before);
        EXPECT_EQ(claims(), 1);
    }
};

// Guards against a tenure that is lost because the holder waits for its silent connection while
// others claim.
TEST_F(SilentConnectionsTest, TheHolderKeepsItsTenure)
{
    startInstances();
    scheduler().log->silencePresentConnections();
    expectStartInTheSameTenure();
}

// Guards against claims by followers whose reads get no answer, and against a holder that is the
// only one to recover.
TEST_F(SilentConnectionsTest, TheTenureSurvivesThoseOfAllInstances)
{
    startInstances();
    for (auto &[name, node] : m_nodes)
        node.log->silencePresentConnections();
    expectStartInTheSameTenure();
    EXPECT_TRUE(areReady({"a", "b", "c"}));
}

// Guards against a holder that was replaced while its connections were silent and that gets its
// record stored by a copy.
TEST_F(SilentConnectionsTest, AReplacedHolderIsStillRefused)
{
    startInstances();
    const std::string former = schedulerName();
    const int64_t before = epoch();
    m_nodes[former].log->unresponsive = true;
    m_policy.receivers.erase(former + ":1");
    ASSERT_TRUE(runUntil([&] { return schedulers() == 2; }));
    m_nodes[former].log->unresponsive = false;
    m_nodes[former].log->silencePresentConnections();
    ASSERT_TRUE(runUntil([&] { return schedulers() == 1; }));
    EXPECT_NE(schedulerName(), former);
    EXPECT_EQ(epoch(), before + 1);
}

// Guards against a first tenure on a machine too small for it.
TEST_F(InstanceTenureTest, TheFirstTenureGoesToALargeInstance)
{
    for (const char *name : {"s1", "s2", "s3", "s4"})
        addNode(name, Small);
    runFor(Duration(150));
    addNode("l1", Large);
    addNode("l2", Large);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(schedulerName().front(), 'l');
    EXPECT_EQ(scheduler().instance->jobTable().tenure().epoch, 1);
}

// Guards against a tenure that goes to any instance once its holder is lost, and against one that
// nobody claims because all large instances are lost.
TEST_F(InstanceTenureTest, ASmallInstanceClaimsOnlyOnceAllLargeOnesAreLost)
{
    for (const char *name : {"s1", "s2", "s3", "s4"})
        addNode(name, Small);
    addNode("l1", Large);
    addNode("l2", Large);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(areReady({"s1", "s2", "s3", "s4", "l1", "l2"}));
    lose(schedulerName());
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(schedulerName().front(), 'l');
    lose(schedulerName());
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(1'800)));
    EXPECT_EQ(schedulerName().front(), 's');
}

// Guards against claims of a released tenure by all instances at once.
TEST_F(InstanceTenureTest, AReleasedTenureIsClaimedByItsSuccessorOnly)
{
    const std::vector<std::string> names = {"a", "b", "c", "d", "e", "f", "g", "h"};
    for (const std::string &name : names)
        addNode(name);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(areReady(names));
    runFor(Duration(900)); // all have read the members
    const int claimsBefore = claims();
    Node &former = scheduler();
    former.instance->stop([] {});
    ASSERT_TRUE(runUntil([&] { return schedulers() == 1 && !former.instance->isScheduler(); }));
    runFor(Duration(700));
    EXPECT_EQ(claims() - claimsBefore, 1);
}

// Guards against a released tenure that is lost with its successor.
TEST_F(InstanceTenureTest, AReleasedTenureIsClaimedWithoutItsSuccessor)
{
    addNode("a");
    addNode("b");
    addNode("c");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(areReady({"a", "b", "c"}));
    Node &former = scheduler();
    for (auto &[name, node] : m_nodes)
        node.log->claimsFail = true;
    former.instance->stop([] {});
    ASSERT_TRUE(runUntil([&] { return claims() > 1; }, Duration(1'000)));
    std::string successor;
    for (const auto &[name, node] : m_nodes) {
        const work::Tenure &tenure = node.instance->jobTable().tenure();
        if (tenure.released)
            successor = tenure.successor;
    }
    ASSERT_FALSE(successor.empty());
    lose(successor);
    for (auto &[name, node] : m_nodes)
        node.log->claimsFail = false;
    EXPECT_TRUE(runUntil([&] { return schedulers() == 1 && !former.instance->isScheduler(); },
                         Duration(1'000)));
}

// Guards against an overloaded scheduler that keeps the tenure although a larger machine is there.
TEST_F(InstanceTenureTest, AnOverloadedSmallHolderHandsOverToALargeInstance)
{
    addNode("s1", Small);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    addNode("s2", Small);
    addNode("l1", Large);
    ASSERT_TRUE(areReady({"s2", "l1"}));
    runFor(Duration(2'500)); // hand-overs are not considered earlier in a tenure
    ASSERT_EQ(schedulerName(), "s1");
    for (int i = 0; i < 20 && schedulerName() != "l1"; ++i)
        runOverloaded(1);
    EXPECT_EQ(schedulerName(), "l1");
    EXPECT_EQ(m_nodes["l1"].instance->jobTable().tenure().epoch, 2);
}

// Guards against hand-overs to and fro, because the second holder's time of day is ahead.
TEST_F(InstanceTenureTest, AWrongTimeOfDayDoesNotHastenTheNextHandOver)
{
    for (const char *large : {"l1", "l2"})
        m_unixOffsetsMs[large] = 200'000;
    addNode("s1", Small);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    addNode("l1", Large);
    addNode("l2", Large);
    ASSERT_TRUE(areReady({"l1", "l2"}));
    runFor(Duration(2'500));
    for (int i = 0; i < 20 && schedulerName().front() != 'l'; ++i)
        runOverloaded(1);
    const std::string second = schedulerName();
    ASSERT_EQ(second.front(), 'l');
    runFor(Duration(2'100)); // hand-overs are not considered earlier in a tenure
    runOverloaded(25);
    EXPECT_EQ(schedulerName(), second);
    EXPECT_EQ(m_nodes[second].instance->jobTable().tenure().epoch, 2);
}

// Guards against an overloaded holder that keeps the tenure, because its time of day is behind that
// of the one which handed the tenure over.
TEST_F(InstanceTenureTest, AWrongTimeOfDayDoesNotPreventTheNextHandOver)
{
    m_unixOffsetsMs["m1"] = -200'000;
    addNode("s1", Small);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    addNode("m1", (Small + Large) / 2);
    ASSERT_TRUE(areReady({"m1"}));
    runFor(Duration(2'500));
    for (int i = 0; i < 20 && schedulerName() != "m1"; ++i)
        runOverloaded(1);
    ASSERT_EQ(schedulerName(), "m1");
    addNode("l1", Large);
    ASSERT_TRUE(areReady({"l1"}));
    runFor(Duration(5'000)); // the shortest time between two hand-overs
    for (int i = 0; i < 20 && schedulerName() != "l1"; ++i)
        runOverloaded(1);
    EXPECT_EQ(schedulerName(), "l1");
}

// Guards against hand-overs that interrupt scheduling and help nothing.
TEST_F(InstanceTenureTest, AnOverloadedHolderWithoutABetterInstanceKeepsTheTenure)
{
    addNode("l1", Large);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    addNode("s1", Small);
    addNode("s2", Small);
    ASSERT_TRUE(areReady({"s1", "s2"}));
    runFor(Duration(2'500));
    runOverloaded(25);
    EXPECT_EQ(schedulerName(), "l1");
    EXPECT_EQ(m_nodes["l1"].instance->jobTable().tenure().epoch, 1);
}

// Guards against a hand-over to a large instance that is gone.
TEST_F(InstanceTenureTest, AnOverloadedHolderKeepsTheTenureWhileTheLargeInstanceIsLost)
{
    addNode("s1", Small);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    addNode("l1", Large);
    ASSERT_TRUE(areReady({"l1"}));
    runFor(Duration(2'500));
    lose("l1");
    runOverloaded(20);
    EXPECT_EQ(schedulerName(), "s1");
    EXPECT_EQ(m_nodes["s1"].instance->jobTable().tenure().epoch, 1);
}

// Guards against a member record that keeps an earlier processor, so that the instance is preferred
// or passed over for a machine that it no longer has.
TEST_F(InstanceTenureTest, AChangedProcessorIsAnnounced)
{
    addNode("a", Small);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(areReady({"a"}));
    lose("a");
    addNode("a", Large);
    EXPECT_TRUE(runUntil([this] {
        const MemberMap &members = m_nodes["a"].instance->jobTable().members();
        const auto it = members.find("a");
        return it != members.end() && it->second.cpuMilli == Large;
    }));
}

} // namespace
} // namespace cardamompaddle
