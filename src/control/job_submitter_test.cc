#include "control/instance_testing.h"

namespace cardamompaddle {
namespace {

TEST_F(InstanceTest, RunsAJobAcceptedByAnyInstanceAndAllShowItsState)
{
    Node &a = addNode("a");
    Node &b = addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(submit(follower(), "job", 3), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 3; }));
    EXPECT_TRUE(reached(a, "job", work::JobState::Running));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(a, "job", work::JobState::Completed));
    EXPECT_TRUE(reached(b, "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.ranTwice);
}

TEST_F(InstanceTest, ALostAppendAnswerDoesNotDuplicateTheJob)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &node = scheduler();
    node.log->unresponsive = true;
    node.log->applyWhileUnresponsive = true;
    startSubmission(node, "job");
    runFor(Duration(100));
    node.log->unresponsive = false;
    ASSERT_TRUE(runUntil([this] { return m_outcomes.contains("job"); }));
    EXPECT_EQ(m_outcomes["job"], SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts > 0; }, Duration(6'000)));
    runFor(Duration(200));
    EXPECT_EQ(m_workers.starts, 1);
}

// Guards against jobs that wait behind unanswered appends (up to 1.4 s were seen) only to be
// refused in the end.
TEST_F(InstanceTest, AnUnresponsiveLogMakesTheOutcomeUnknownAndRefusesLaterJobsAtOnce)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &node = scheduler();
    node.log->unresponsive = true;
    startSubmission(node, "first");
    runFor(Duration(20));
    startSubmission(node, "second");
    runFor(Duration(20));
    startSubmission(node, "third"); // queued behind the first two
    EXPECT_TRUE(runUntil([&] { return m_outcomes.contains("third"); }, Duration(500)));
    EXPECT_EQ(m_outcomes["third"], SubmitOutcome::Refused);
    startSubmission(node, "fourth");
    EXPECT_TRUE(runUntil([&] { return m_outcomes.contains("fourth"); }, Duration(100)))
        << "it must not wait";
    EXPECT_EQ(m_outcomes["fourth"], SubmitOutcome::Refused);
    ASSERT_TRUE(runUntil([&] { return m_outcomes.contains("first"); }));
    EXPECT_EQ(m_outcomes["first"], SubmitOutcome::Unknown) << "it may have been stored";
    node.log->unresponsive = false;
    EXPECT_TRUE(runUntil([&] { return submit(node, "later") == SubmitOutcome::Accepted; }));
    for (const char *id : {"third", "fourth"})
        EXPECT_EQ(node.instance->jobTable().find(id), nullptr) << id;
}

TEST_F(InstanceTest, AJobThatTheLogRejectsIsRefusedAndNotStored)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &node = scheduler();
    node.log->refuses = true;
    EXPECT_EQ(submit(node, "job"), SubmitOutcome::Refused);
    node.log->refuses = false;
    runFor(Duration(400));
    EXPECT_EQ(node.instance->jobTable().find("job"), nullptr);
}

TEST_F(InstanceTest, ACancelStopsTheJobAndAppliesToARepeatedSubmission)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(follower(), "job", 2), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 2; }));
    EXPECT_EQ(cancel(follower(), "job"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.runningCount() == 0; }));
    EXPECT_EQ(submit(scheduler(), "job", 2), SubmitOutcome::Accepted);
    runFor(Duration(300));
    EXPECT_EQ(m_workers.starts, 2);
    EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Cancelled));
}

TEST_F(InstanceTest, ACancelOfAnUnknownJobIsNotFoundOnlyWhenTheLogAnswers)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(cancel(scheduler(), "none"), SubmitOutcome::NotFound);
    m_nodes["a"].log->refuses = true;
    EXPECT_EQ(cancel(m_nodes["a"], "none"), SubmitOutcome::Unknown);
}

TEST_F(InstanceTest, AnOlderConfigurationVersionIsNeverApplied)
{
    Node &node = addNode("a");
    ASSERT_TRUE(runUntil([&] { return node.instance->catalog() != nullptr; }));
    m_model.put(OperatorTopic, "config", "7");
    ASSERT_TRUE(runUntil([&] { return node.instance->catalog()->version == 7; }));
    m_model.put(OperatorTopic, "config", "5");
    runFor(Duration(100));
    EXPECT_EQ(node.instance->catalog()->version, 7);
}

TEST_F(InstanceTest, InvalidRecordsAreIgnored)
{
    Node &node = addNode("a");
    m_model.put(RegistryTopic, "w3", "bad");
    m_model.put(WorkTopic, "job/x", "not a record");
    m_model.put(WorkTopic, "nonsense", "value");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(submit(node, "job", 1), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    EXPECT_EQ(node.instance->jobTable().find("x"), nullptr);
}

TEST_F(InstanceTest, IsReadyOnlyWhileTheLogAnswers)
{
    Node &node = addNode("a");
    EXPECT_FALSE(node.instance->isReady());
    ASSERT_TRUE(runUntil([&] { return node.instance->isReady(); }));
    node.log->refuses = true;
    EXPECT_TRUE(runUntil([&] { return !node.instance->isReady(); }, Duration(5'000)));
    EXPECT_FALSE(node.instance->isCurrent());
    node.log->refuses = false;
    EXPECT_TRUE(runUntil([&] { return node.instance->isReady(); }));
}

// Guards against instances that become unready in turn because, without new records, the age of
// their data exceeds the limit between two reads.
TEST_F(InstanceTest, StaysReadyWithoutNewRecords)
{
    Node &node = addNode("a");
    ASSERT_TRUE(runUntil([&] { return node.instance->isReady(); }));
    EXPECT_FALSE(runUntil([&] { return !node.instance->isReady() || !node.instance->isCurrent(); },
                          Duration(5'000)));
}

TEST_F(InstanceTest, AcceptedJobsSurviveTheLossOfAllInstances)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 2), SubmitOutcome::Accepted);
    m_nodes.clear();
    addNode("z");
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 2; }, Duration(6'000)));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(m_nodes["z"], "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.ranTwice);
}

} // namespace
} // namespace cardamompaddle
