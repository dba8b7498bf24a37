#include "control/configuration_guard.h"

#include "control/instance_testing.h"

namespace cardamompaddle {
namespace {

// Longer than a configuration may be used without a confirmation by the log.
constexpr Duration LongTime{2'700};
// A caller may wait for a confirmation this long, with some time to spare.
constexpr Duration PromptTime{900};

class ConfigurationGuardTest : public InstanceTest
{
protected:
    // Starts two instances and waits until the one that does not schedule is ready.
    Node &startFollower()
    {
        addNode("a");
        addNode("b");
        EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }));
        Node &node = follower();
        EXPECT_TRUE(runUntil([&node] { return node.instance->isReady(); }));
        return node;
    }
    // Returns the answer of confirmConfiguration(), or none if it does not come in time.
    std::optional<bool> confirm(Node &node)
    {
        std::optional<bool> out;
        node.instance->confirmConfiguration([&out](bool current) { out = current; });
        runUntil([&out] { return out.has_value(); }, PromptTime);
        return out;
    }
};

TEST_F(ConfigurationGuardTest, AConfigurationStaysCurrentWithoutChanges)
{
    Node &node = startFollower();
    EXPECT_FALSE(runUntil([&node] { return !node.instance->isConfigurationCurrent(); }, LongTime));
}

// Guards against decisions by a configuration that has been replaced while this instance could not
// reach the log, before its reader of the configuration works again.
TEST_F(ConfigurationGuardTest, AConfigurationThatMayBeOldIsConfirmedBeforeItIsUsed)
{
    Node &node = startFollower();
    node.log->unresponsive = true;
    m_model.put(OperatorTopic, "config", "2");
    runFor(LongTime);
    EXPECT_FALSE(node.instance->isConfigurationCurrent());
    EXPECT_EQ(confirm(node), false);
    EXPECT_EQ(node.instance->catalog()->version, 1);
    // The reader still waits for the answer to its last read.
    node.log->silentTopic = OperatorTopic;
    node.log->unresponsive = false;
    EXPECT_TRUE(runUntil([&] { return confirm(node) == true; }));
    EXPECT_EQ(node.instance->catalog()->version, 2);
}

// Guards against an old configuration that stays in use because the connection of the read that
// waits for a change has gone silent.
TEST_F(ConfigurationGuardTest, ASilentReadDoesNotHideAChange)
{
    Node &node = startFollower();
    node.log->silentTopic = OperatorTopic;
    runFor(Duration(100));
    m_model.put(OperatorTopic, "config", "2");
    EXPECT_TRUE(runUntil([&node] { return node.instance->catalog()->version == 2; }, LongTime));
}

// Guards against an instance that has answered by a peer's newer configuration and then decides by
// its own older one.
TEST_F(ConfigurationGuardTest, ANewerConfigurationOfAPeerIsReadBeforeTheOwnOneIsUsed)
{
    Node &node = startFollower();
    node.log->silentTopic = OperatorTopic;
    runFor(Duration(100));
    m_model.put(OperatorTopic, "config", "2");
    ASSERT_TRUE(node.instance->isConfigurationCurrent());
    node.instance->configurationSeen(2);
    EXPECT_EQ(node.instance->configurationVersion(), 2);
    EXPECT_FALSE(node.instance->isConfigurationCurrent());
    EXPECT_EQ(confirm(node), true);
    EXPECT_EQ(node.instance->catalog()->version, 2);
}

// Guards against an instance that refuses everything for good after a wrong message of a peer.
TEST_F(ConfigurationGuardTest, TheLogSettlesWhichVersionIsInForce)
{
    Node &node = startFollower();
    node.instance->configurationSeen(99);
    EXPECT_FALSE(node.instance->isConfigurationCurrent());
    EXPECT_EQ(confirm(node), true);
    EXPECT_EQ(node.instance->catalog()->version, 1);
    node.instance->configurationSeen(0);
    EXPECT_TRUE(node.instance->isConfigurationCurrent());
}

} // namespace
} // namespace cardamompaddle
