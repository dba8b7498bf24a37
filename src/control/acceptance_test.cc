#include "control/instance_testing.h"

namespace cardamompaddle {
namespace {

TEST_F(InstanceTest, RunsAJobThatAnyInstanceAcceptedAndAllShowItsState)
{
    Node &a = addNode("a");
    Node &b = addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(submit(follower(), "job", 3), AcceptOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 3; }));
    EXPECT_TRUE(reached(a, "job", work::JobState::Running));
    m_workers.endAll(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(a, "job", work::JobState::Completed));
    EXPECT_TRUE(reached(b, "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.doubled);
}

TEST_F(InstanceTest, ALostAnswerOfTheLogDoublesNoJob)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &node = scheduler();
    node.log->silent = true;
    node.log->applyWhileSilent = true;
    auto outcome = std::make_shared<std::optional<AcceptOutcome>>();
    work::Submission job;
    job.id = "job";
    job.route = "r";
    work::StepSpec step;
    step.tasks = 1;
    job.steps = {step};
    node.instance->acceptor().submit(
        job, m_clock.now() + Duration(2'500),
        [outcome](AcceptOutcome it, const std::string &) { *outcome = it; });
    runFor(Duration(100));
    node.log->silent = false;
    ASSERT_TRUE(runUntil([outcome] { return outcome->has_value(); }));
    EXPECT_EQ(**outcome, AcceptOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts > 0; }, Duration(6'000)));
    runFor(Duration(200));
    EXPECT_EQ(m_workers.starts, 1);
}

// Found in incident inc-698f of kbg-fitting: jobs waited up to 1.4 s behind calls without an answer
// and were refused then.
TEST_F(InstanceTest, ASilentLogMakesTheOutcomeUnknownAndRefusesOthersAtOnceUnsent)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &node = scheduler();
    node.log->silent = true;
    std::map<std::string, AcceptOutcome> outcomes;
    const auto submitOnly = [&](const std::string &id) {
        work::Submission job;
        job.id = id;
        job.route = "r";
        work::StepSpec step;
        step.tasks = 1;
        job.steps = {step};
        node.instance->acceptor().submit(
            job, m_clock.now() + Duration(2'500),
            [&outcomes, id](AcceptOutcome it, const std::string &) { outcomes[id] = it; });
    };
    submitOnly("first");
    runFor(Duration(20));
    submitOnly("second");
    runFor(Duration(20));
    submitOnly("third"); // waits behind the two
    EXPECT_TRUE(runUntil([&] { return outcomes.contains("third"); }, Duration(500)));
    EXPECT_EQ(outcomes["third"], AcceptOutcome::Refused);
    submitOnly("fourth");
    EXPECT_TRUE(runUntil([&] { return outcomes.contains("fourth"); }, Duration(100)))
        << "it must not wait";
    EXPECT_EQ(outcomes["fourth"], AcceptOutcome::Refused);
    ASSERT_TRUE(runUntil([&] { return outcomes.contains("first"); }));
    EXPECT_EQ(outcomes["first"], AcceptOutcome::Unknown) << "it may have been stored";
    node.log->silent = false;
    EXPECT_TRUE(runUntil([&] { return submit(node, "later") == AcceptOutcome::Accepted; }));
    for (const char *id : {"third", "fourth"})
        EXPECT_EQ(node.instance->book().find(id), nullptr) << id;
}

TEST_F(InstanceTest, ARefusingLogRefusesJobsTruly)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &node = scheduler();
    node.log->refuses = true;
    EXPECT_EQ(submit(node, "job"), AcceptOutcome::Refused);
    node.log->refuses = false;
    runFor(Duration(400));
    EXPECT_EQ(node.instance->book().find("job"), nullptr);
}

TEST_F(InstanceTest, ACancelStopsTheJobAndStaysTrueForARepeatedSubmission)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(follower(), "job", 2), AcceptOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 2; }));
    std::optional<AcceptOutcome> cancelled;
    follower().instance->acceptor().cancel(
        "job", m_clock.now() + Duration(2'000),
        [&cancelled](AcceptOutcome it, const std::string &) { cancelled = it; });
    ASSERT_TRUE(runUntil([&] { return cancelled.has_value(); }));
    EXPECT_EQ(*cancelled, AcceptOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.runningCount() == 0; }));
    EXPECT_EQ(submit(scheduler(), "job", 2), AcceptOutcome::Accepted);
    runFor(Duration(300));
    EXPECT_EQ(m_workers.starts, 2);
    EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Cancelled));
}

TEST_F(InstanceTest, ACancelOfAnUnknownJobIsNotFoundOnlyWhenTheLogAnswers)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    const auto cancel = [this](Node &node) {
        std::optional<AcceptOutcome> outcome;
        node.instance->acceptor().cancel(
            "none", m_clock.now() + Duration(2'000),
            [&outcome](AcceptOutcome it, const std::string &) { outcome = it; });
        runUntil([&] { return outcome.has_value(); });
        return outcome;
    };
    EXPECT_EQ(cancel(scheduler()), AcceptOutcome::NotFound);
    m_nodes["a"].log->refuses = true;
    EXPECT_EQ(cancel(m_nodes["a"]), AcceptOutcome::Unknown);
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

TEST_F(InstanceTest, EntriesOfAnotherWriterChangeNothing)
{
    Node &node = addNode("a");
    m_model.put(RegistryTopic, "w3", "bad");
    m_model.put(WorkTopic, "job/x", "not a record");
    m_model.put(WorkTopic, "nonsense", "value");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(submit(node, "job", 1), AcceptOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    EXPECT_EQ(node.instance->book().find("x"), nullptr);
}

TEST_F(InstanceTest, IsReadyOnlyWhileTheLogAnswers)
{
    Node &node = addNode("a");
    EXPECT_FALSE(node.instance->ready());
    ASSERT_TRUE(runUntil([&] { return node.instance->ready(); }));
    node.log->refuses = true;
    EXPECT_TRUE(runUntil([&] { return !node.instance->ready(); }, Duration(5'000)));
    EXPECT_FALSE(node.instance->current());
    node.log->refuses = false;
    EXPECT_TRUE(runUntil([&] { return node.instance->ready(); }));
}

// Found on scale-2: while nobody wrote, the age of what is known passed the bound between two
// reads, and all instances left the rotation by turns.
TEST_F(InstanceTest, StaysReadyWhileNobodyWrites)
{
    Node &node = addNode("a");
    ASSERT_TRUE(runUntil([&] { return node.instance->ready(); }));
    EXPECT_FALSE(runUntil([&] { return !node.instance->ready() || !node.instance->current(); },
                          Duration(5'000)));
}

TEST_F(InstanceTest, AllInstancesLostLoseNoAcceptedJob)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 2), AcceptOutcome::Accepted);
    m_nodes.clear();
    addNode("z");
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 2; }, Duration(6'000)));
    m_workers.endAll(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(m_nodes["z"], "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.doubled);
}

} // namespace
} // namespace cardamompaddle
