#include "control/instance_testing.h"

#include <thread>

namespace cardamompaddle {
namespace {

// Guards against several instances that schedule at once because the log gives all claimants of an
// epoch the same answer.
TEST_F(InstanceTest, OnlyOneOfSeveralClaimantsSchedules)
{
    // Slow appends: every instance claims before the first claim is stored.
    for (const char *name : {"a", "b", "c", "d"})
        addNode(name).log->appendTime = Duration(250);
    ASSERT_TRUE(runUntil([this] { return schedulers() > 0; }));
    int most = 0;
    runUntil(
        [&] {
            most = std::max(most, schedulers());
            return false;
        },
        Duration(600));
    EXPECT_EQ(most, 1);
}

TEST_F(InstanceTest, FinishedRunsAreAcknowledgedOnlyOnceStored)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    submit(scheduler(), "job", 1);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    scheduler().log->refuses = true;
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    runFor(Duration(500));
    size_t listed = 0;
    for (const auto &[id, worker] : m_workers.workers)
        listed += worker.ended.size();
    EXPECT_EQ(listed, 1U) << "a worker forgot a finished run that is not stored";
    scheduler().log->refuses = false;
    EXPECT_TRUE(reached(m_nodes["a"], "job", work::JobState::Completed));
}

TEST_F(InstanceTest, ATakeoverStartsNoTaskTwice)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 4), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 4; }));
    scheduler().instance.reset();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    runFor(Duration(300));
    EXPECT_EQ(m_workers.starts, 4);
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a task that is started twice because the former scheduler's workers count as
// reconciled before the registry is loaded, although one of them is unresponsive.
TEST_F(InstanceTest, ATakeoverWaitsForTheLeaseOfAnUnresponsiveWorker)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 8), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 8; }));
    m_workers.workers["w1"].unresponsive = true;
    scheduler().instance.reset();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    m_workers.workers["w2"].running.clear(); // w2 has room
    runFor(Duration(600));
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a team that exceeds its limit after a takeover, because the runs of a job that had
// been cancelled are still being stopped on workers that do not answer.
TEST_F(InstanceTest, ATakeoverCountsTheRunsThatAreStillBeingStopped)
{
    m_model.put(OperatorTopic, "config", "2/3000");
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "old", 3), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 3; }));
    for (auto &[id, worker] : m_workers.workers)
        worker.unresponsive = true;
    ASSERT_EQ(cancel(scheduler(), "old"), SubmitOutcome::Accepted);
    ASSERT_TRUE(reached(follower(), "old", work::JobState::Cancelled));
    runFor(Duration(100)); // the final record is stored
    scheduler().instance.reset();
    m_model.put(RegistryTopic, "w3", "ready");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "new", 3), SubmitOutcome::Accepted);
    runFor(Duration(1'000));
    EXPECT_TRUE(m_workers.workers["w3"].running.empty());
    EXPECT_TRUE(
        runUntil([this] { return m_workers.workers["w3"].running.size() == 3; }, Duration(8'000)))
        << "the leases of the former runs have lapsed";
}

// Guards against a log that is taken to be slow because it was away: starts then go out unrecorded,
// and after a takeover all tasks wait for every worker.
TEST_F(InstanceTest, ALogThatWasAwayDoesNotMakeStartsGoUnrecorded)
{
    Node &node = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    runFor(Duration(300));
    node.log->refuses = true;
    runFor(Duration(1'000));
    node.log->refuses = false;
    EXPECT_FALSE(runUntil([&] { return !node.instance->jobTable().tenure().startsRecorded; },
                          Duration(800)));
    EXPECT_TRUE(node.instance->isScheduler());
}

// Guards against runs of a replacement that are attributed to the worker it replaced at the same
// address.
TEST_F(InstanceTest, TasksOfAReplacedWorkerStartAgain)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 1), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    for (auto &[id, worker] : m_workers.workers) {
        if (worker.running.empty())
            continue;
        worker.running.clear();
        worker.idAtAddress = "w9";
    }
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2; }, Duration(1'000)))
        << "there is no lease to wait for";
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a lease that never expires because each unanswered poll extends it.
TEST_F(InstanceTest, TasksOfAnUnresponsiveWorkerStartElsewhereOnceItsLeaseHasExpired)
{
    // Longer than the interval between polls of an unresponsive worker.
    m_maxLease = Duration(2'500);
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 1), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    const Instant unresponsiveAt = m_clock.now();
    for (auto &[id, worker] : m_workers.workers)
        worker.unresponsive = !worker.running.empty();
    ASSERT_TRUE(runUntil([this] { return m_workers.starts == 2; }, Duration(6'000)));
    EXPECT_GE(m_clock.now() - unresponsiveAt, m_maxLease);
}

TEST_F(InstanceTest, AFormerSchedulerCutOffFromTheLogIsFencedByTheWorkers)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &former = scheduler();
    former.log->unresponsive = true;
    EXPECT_TRUE(runUntil([&] { return schedulers() == 1 && !former.instance->isScheduler(); }));
    EXPECT_EQ(schedulers(), 1);
}

// Guards against a task that runs again because a new scheduler, which has not read the jobs yet,
// acknowledges a finished run of a job that it does not know.
TEST_F(InstanceTest, ATakeoverWaitsUntilTheJobsAreRead)
{
    addNode("a");
    Node &b = addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &former = scheduler();
    Node &next = former.instance == b.instance ? m_nodes["a"] : b;
    next.log->unreadableTopic = JobsTopic;
    runFor(Duration(100));
    ASSERT_EQ(submit(former, "job", 1), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    former.instance.reset();
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    runFor(Duration(2'500));
    EXPECT_EQ(schedulers(), 0);
    next.log->unreadableTopic.clear();
    EXPECT_TRUE(reached(next, "job", work::JobState::Completed));
    EXPECT_EQ(m_workers.starts, 1);
}

TEST_F(InstanceTest, APlannedStopReleasesTheTenureAtOnce)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 1), SubmitOutcome::Accepted);
    Node &former = scheduler();
    bool stopped = false;
    former.instance->stop([&stopped] { stopped = true; });
    ASSERT_TRUE(runUntil([&] { return stopped; }, Duration(1'000)));
    former.instance.reset();
    EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(1'000)))
        << "a released tenure is claimed without waiting for inactivity";
}

} // namespace
// Guards against a tenure that moves back and forth while the log is slow for all instances.
TEST_F(InstanceTest, ASlowLogIsNotMistakenForAnInactiveScheduler)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->isReady(); }));
    m_nodes["a"].log->appendTime = Duration(700);
    other.log->appendTime = Duration(700);
    other.log->readTime = Duration(200);
    runFor(Duration(4'000));
    EXPECT_TRUE(m_nodes["a"].instance->isScheduler());
    EXPECT_FALSE(other.instance->isScheduler());
}

// Guards against a restarted scheduler that waits for the tenure of its own earlier incarnation, so
// that no task starts for a time (1.2 s were seen).
TEST_F(InstanceTest, ARestartedSchedulerReclaimsItsTenureAtOnce)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    m_nodes["a"].instance.reset();
    addNode("a");
    EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(350)));
    EXPECT_EQ(m_nodes["a"].instance->jobTable().tenure().epoch, 2);
}

// Guards against a scheduler that starts tasks seconds late because its machine has become slow.
TEST_F(InstanceTest, AnInstanceWithLateTimersHandsTheTenureOver)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    runFor(Duration(2'500));
    // A single pause must not cause a hand-over.
    std::this_thread::sleep_for(Duration(300));
    runFor(Duration(700));
    ASSERT_TRUE(m_nodes["a"].instance->isScheduler());
    for (int i = 0; i < 30 && !other.instance->isScheduler(); ++i) {
        std::this_thread::sleep_for(Duration(150));
        runFor(Duration(20));
    }
    EXPECT_TRUE(other.instance->isScheduler());
    EXPECT_FALSE(m_nodes["a"].instance->isScheduler());
    // All instances are slow now. The new holder must keep the tenure for a time.
    for (int i = 0; i < 20; ++i) {
        std::this_thread::sleep_for(Duration(150));
        runFor(Duration(20));
    }
    EXPECT_TRUE(other.instance->isScheduler());
}

// Guards against a former scheduler that, cut off from the log but not from its peers, refuses
// callers because it does not know the new scheduler.
TEST_F(InstanceTest, AFormerSchedulerWithoutTheLogLearnsOfItsSuccessor)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->forwardTarget() == "a:1"; }));
    m_nodes["a"].log->refuses = true;
    // Jobs keep the scheduler busy: each of its appends holds progress, and none is a heartbeat.
    bool learned = false;
    for (int i = 0; i < 120 && !learned; ++i) {
        startSubmission(other, "job" + std::to_string(i));
        runFor(Duration(25));
        m_workers.finishAllRuns(RunOutcome::Succeeded);
        learned = m_nodes["a"].instance->forwardTarget() == "b:1";
    }
    EXPECT_TRUE(learned);
}

// Guards against tasks that run again after they succeeded, because the report of their worker is
// dropped if the worker has left the registry in the meantime.
TEST_F(InstanceTest, FinishedRunsOfAnUnregisteredWorkerAreTakenOver)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job", 6), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 6; }));
    runFor(Duration(100));
    m_nodes["a"].instance.reset();
    for (auto &[id, worker] : m_workers.workers)
        worker.unresponsive = true;
    Node &other = addNode("b");
    ASSERT_TRUE(runUntil([&] { return other.instance->isScheduler(); }));
    runFor(Duration(300));
    m_model.put(RegistryTopic, "w1", "");
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    runFor(Duration(600));
    for (auto &[id, worker] : m_workers.workers)
        worker.unresponsive = false;
    EXPECT_TRUE(reached(other, "job", work::JobState::Completed));
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a worker that gets no starts until the tenure ends: it left the registry, and was
// listed again before its link was closed.
TEST_F(InstanceTest, AWorkerThatIsListedAgainAtOnceGetsStarts)
{
    m_model.put(RegistryTopic, "w2", "");
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    runFor(Duration(500));
    m_model.put(RegistryTopic, "w1", "");
    runFor(Duration(700));
    m_model.put(RegistryTopic, "w1", "ready");
    runFor(Duration(700));
    ASSERT_EQ(submit(m_nodes["a"], "job"), SubmitOutcome::Accepted);
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 1; }, Duration(3'000)));
}

// Guards against a worker that gets no starts until the tenure ends: it left the registry, its link
// was closed, and it was listed again before the removal of its record was sent to a slow log.
TEST_F(InstanceTest, AWorkerThatIsListedAgainKeepsItsRecord)
{
    m_model.put(RegistryTopic, "w2", "");
    addNode("a").log->appendTime = Duration(300);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    runFor(Duration(1'000));
    const auto isRecorded = [this] {
        const auto &records = m_model.topics[WorkTopic].records;
        const auto newest = std::find_if(records.rbegin(), records.rend(), [](const auto &it) {
            return it.key == work_key::usedWorker("w1");
        });
        return newest != records.rend() && !newest->removed;
    };
    for (int i = 0; i < 8; ++i) {
        m_workers.workers["w1"].unresponsive = true;
        m_model.put(RegistryTopic, "w1", "");
        runFor(Duration(500 + 70 * i));
        m_workers.workers["w1"].unresponsive = false;
        m_model.put(RegistryTopic, "w1", "ready");
        runFor(Duration(1'600));
        ASSERT_TRUE(isRecorded()) << "round " << i;
    }
}

} // namespace cardamompaddle
