// Workers that are unresponsive while schedulers take over from each other.
#include "control/instance_testing.h"
#include "work/codec.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cardamompaddle {
namespace {

class InstanceTakeoverTest : public InstanceTest
{
protected:
    // Ends the scheduler without a planned stop, and starts its instance again once another one
    // schedules.
    void replaceScheduler()
    {
        std::string lost;
        for (auto &[name, node] : m_nodes) {
            if (node.instance && node.instance->isScheduler())
                lost = name;
        }
        m_nodes[lost].instance.reset();
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        addNode(lost);
    }
    // Returns how many tasks of the job run.
    int64_t runningOf(const std::string &job) const
    {
        int64_t out = 0;
        for (const auto &[id, worker] : m_workers.workers)
            out += std::ranges::count_if(
                worker.running, [&job](const auto &run) { return run.task.step.job == job; });
        return out;
    }
    bool runs(const TaskRef &task) const
    {
        return std::ranges::any_of(m_workers.workers, [&task](const auto &it) {
            return std::ranges::any_of(it.second.running,
                                       [&task](const auto &run) { return run.task == task; });
        });
    }
    // Starts three instances and a job of one task, and returns the worker on which it runs.
    testing::TestWorkers::Worker &startJob()
    {
        for (const char *name : {"a", "b", "c"})
            addNode(name);
        if (!runUntil([this] { return schedulers() == 1; }))
            throw std::logic_error("no scheduler");
        submit(scheduler(), "job");
        runUntil([this] { return m_workers.runningCount() == 1; });
        for (auto &[id, worker] : m_workers.workers) {
            if (!worker.running.empty())
                return worker;
        }
        throw std::logic_error("no run");
    }
};

// A worker crashes for this many milliseconds before its scheduler dies.
class LossBeforeTakeoverTest : public InstanceTakeoverTest,
                               public ::testing::WithParamInterface<int>
{ };

// Schedulers that go on without the log and without their peers while others schedule already. The
// workers grant long leases, and their clocks are slow.
class FormerSchedulerLeaseTest : public InstanceTakeoverTest
{
protected:
    FormerSchedulerLeaseTest()
    {
        m_maxLease = Duration(10'000);
        m_workers.workerTimeMs = [this] { return toMs(m_clock.now()) * 98 / 100; };
    }
    // The workers that are listed so far answer schedulers before `epoch` only.
    void cutWorkersFrom(int64_t epoch)
    {
        for (auto &[id, worker] : m_workers.workers)
            worker.unresponsiveFromEpoch = epoch;
    }
    void cutFromPeers(const std::string &name) { m_policy.receivers.erase(name + ":1"); }
    void cutFromLog(const std::string &name) { m_nodes[name].log->unresponsive = true; }
    int64_t epoch() { return scheduler().instance->jobTable().tenure().epoch; }
    std::string schedulerName()
    {
        for (const auto &[name, node] : m_nodes) {
            if (node.instance && node.instance->isScheduler())
                return name;
        }
        throw std::logic_error("no scheduler");
    }
    // Waits until the only task starts again, and checks that no lease on its former worker is
    // left.
    void expectStartOnceLeasesHaveLapsed(const testing::TestWorkers::Worker &former)
    {
        EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2; }, Duration(9'000)));
        EXPECT_GE(m_workers.workerTimeMs(), former.latestLeaseEndMs) << "may still run there";
    }
};

// Guards against long-running tasks that do not run although there is room: a takeover waits for
// longer than leases can last, because it counts from its own beginning.
TEST_P(LossBeforeTakeoverTest, ItsTasksStartAgainInTime)
{
    m_maxLease = Duration(10'000);
    testing::TestWorkers::Worker &lost = startJob();
    runFor(Duration(1'000));
    lost.unresponsive = true;
    lost.running.clear();
    runFor(Duration(GetParam()));
    scheduler().instance.reset();
    const Instant diedAt = m_clock.now();
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2; }, Duration(7'000)));
    RecordProperty("waited_ms", static_cast<int>((m_clock.now() - diedAt).count()));
}
INSTANTIATE_TEST_SUITE_P(Milliseconds, LossBeforeTakeoverTest,
                         ::testing::Values(0, 600, 1'300, 2'000));

// Guards against a task that runs twice: its worker answers only the former scheduler, which is cut
// off from the log and extends the lease for as long as it may.
TEST_F(FormerSchedulerLeaseTest, ATaskStartsOnceTheLatestLeaseHasLapsed)
{
    const testing::TestWorkers::Worker &worker = startJob();
    runFor(Duration(300));
    const std::string former = schedulerName();
    cutWorkersFrom(epoch() + 1);
    cutFromLog(former);
    cutFromPeers(former);
    const Instant cutAt = m_clock.now();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 2; }));
    m_model.put(RegistryTopic, "w3", "ready");
    expectStartOnceLeasesHaveLapsed(worker);
    EXPECT_GT(worker.latestLeaseEndMs, toMs(cutAt + Duration(5'500)) * 98 / 100)
        << "was not extended while cut off";
}

// Guards against a task that runs twice: a claimant that reads the log slowly begins when it has
// been replaced already, and extends leases as if it had just stored something.
TEST_F(FormerSchedulerLeaseTest, AClaimantThatBeginsLateExtendsLeasesForLessTime)
{
    const testing::TestWorkers::Worker &worker = startJob();
    runFor(Duration(300));
    const std::string first = schedulerName();
    const std::string late = first == "a" ? "b" : "a";
    const std::string last = first == "c" ? "b" : "c";
    m_nodes[last].log->claimsFail = true;
    const int64_t lateEpoch = epoch() + 1;
    cutWorkersFrom(lateEpoch + 1);
    m_nodes[first].instance.reset();
    const int claims = m_nodes[late].log->claimCalls;
    ASSERT_TRUE(runUntil([&] { return m_nodes[late].log->claimCalls > claims; }));
    cutFromPeers(late);
    m_nodes[late].log->readTime = Duration(600);
    ASSERT_TRUE(
        runUntil([&] { return m_nodes[last].instance->jobTable().tenure().epoch == lateEpoch; }));
    m_nodes[last].log->claimsFail = false;
    ASSERT_TRUE(runUntil([&] { return m_nodes[late].instance->isScheduler(); }));
    ASSERT_TRUE(m_nodes[last].instance->isScheduler()) << "the late one was not replaced yet";
    // Before its first append, which would tell that it has been replaced.
    ASSERT_TRUE(runUntil([&] { return epochOfToken(worker.token) == lateEpoch; }));
    cutFromLog(late);
    const Instant cutAt = m_clock.now();
    m_model.put(RegistryTopic, "w3", "ready");
    expectStartOnceLeasesHaveLapsed(worker);
    EXPECT_TRUE(m_nodes[late].instance->isScheduler()) << "it was told of its replacement";
    EXPECT_GT(worker.latestLeaseEndMs, toMs(cutAt + Duration(4'000)) * 98 / 100)
        << "it extended no lease";
}

// Guards against leases that outlast the wait of a successor: it has not taken the removals that
// the former scheduler stored for a sign that the tenure was still held.
TEST_F(InstanceTakeoverTest, RemovalsAreActivityOfTheScheduler)
{
    work::Tenure tenure;
    tenure.holder = "x";
    tenure.address = "x:1";
    tenure.epoch = 1;
    m_model.put(WorkTopic, work_key::Tenure, encodeRecord(tenure));
    Node &node = addNode("a");
    for (int i = 0; i < 15; ++i) {
        m_model.put(WorkTopic, work_key::progress("job", 1 + i), "");
        m_model.put(WorkTopic, work_key::progress("other", 0), "");
        runFor(Duration(100));
    }
    EXPECT_EQ(node.log->claimCalls, 0);
    EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }));
}

// Guards against a task that is not started again for as long as schedulers replace each other,
// because each of them waits anew for the leases of a worker that was lost long before.
TEST_F(InstanceTakeoverTest, TheWaitForALostWorkerGoesOnAcrossTakeovers)
{
    testing::TestWorkers::Worker &lost = startJob();
    lost.unresponsive = true;
    lost.running.clear();
    const Instant lostAt = m_clock.now();
    for (int i = 0; i < 5 && m_workers.starts == 1; ++i) {
        replaceScheduler();
        runUntil([this] { return m_workers.starts == 2; }, Duration(1'500));
    }
    EXPECT_EQ(m_workers.starts, 2)
        << "not started again within " << (m_clock.now() - lostAt).count() << " ms";
}

// Guards against a task that runs twice: the wait for a worker that was silent for a while begins
// anew once its lease has been extended again.
TEST_F(InstanceTakeoverTest, TheWaitBeginsAnewOnceAWorkerHasAnsweredAgain)
{
    m_maxLease = Duration(2'000);
    testing::TestWorkers::Worker &worker = startJob();
    worker.unresponsive = true;
    replaceScheduler();
    // Most of the wait: 2.9 s for the former scheduler and 2.3 s for the lease.
    runFor(Duration(3'800));
    worker.unresponsive = false;
    worker.leaseEndMs = 0;
    ASSERT_TRUE(runUntil([&worker] { return worker.leaseEndMs > 0; })) << "not extended again";
    worker.unresponsive = true;
    const Instant silentAt = m_clock.now();
    replaceScheduler();
    EXPECT_FALSE(runUntil([this] { return m_workers.starts > 1; },
                          silentAt + m_maxLease * 103 / 100 - m_clock.now()));
    EXPECT_FALSE(m_workers.ranTwice);
    worker.running.clear();
    EXPECT_TRUE(runUntil([this] { return m_workers.starts == 2; }, Duration(8'000)));
}

// Guards against a task that runs twice: a takeover takes a worker whose registry entry cannot be
// decoded for one that is gone.
TEST_F(InstanceTakeoverTest, RunsOfAWorkerWithAnInvalidEntryAreTakenOver)
{
    startJob();
    for (const auto &[id, worker] : m_workers.workers) {
        if (!worker.running.empty())
            m_model.put(RegistryTopic, id, "bad");
    }
    replaceScheduler();
    runFor(Duration(1'000));
    EXPECT_EQ(m_workers.starts, 1);
    EXPECT_FALSE(m_workers.ranTwice);
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    EXPECT_TRUE(reached(scheduler(), "job", work::JobState::Completed));
}

// Guards against tasks of older jobs that wait for the leases of a worker which cannot run them: it
// had been leaving when the scheduler was lost, at a time at which starts were not recorded.
TEST_F(InstanceTakeoverTest, AWorkerThatWasLeavingHoldsBackNoTasksOfOthers)
{
    m_maxLease = Duration(10'000);
    for (const char *name : {"a", "b", "c"})
        addNode(name).log->appendTime = Duration(150);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(
        runUntil([this] { return !scheduler().instance->jobTable().tenure().startsRecorded; },
                 Duration(6'000)));
    ASSERT_EQ(submit(scheduler(), "running", 8), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 8; })) << "both are full";
    ASSERT_EQ(submit(scheduler(), "waiting", 2), SubmitOutcome::Accepted);
    m_model.put(RegistryTopic, "w1", "draining");
    runFor(Duration(1'000));
    m_workers.workers["w1"].unresponsive = true;
    scheduler().instance.reset();
    m_model.put(RegistryTopic, "w3", "ready");
    EXPECT_TRUE(
        runUntil([this] { return m_workers.workers["w3"].running.size() == 2; }, Duration(3'000)));
    EXPECT_FALSE(m_workers.ranTwice);
}

// The log tells of a former scheduler that was lost while it did not record its starts, and of a
// silent worker whose record names the epoch in which its runs were all recorded.
class RecordedRunsTest : public InstanceTakeoverTest
{
protected:
    static constexpr int64_t FormerEpoch = 5;

    // Returns whether a task of an older job starts at the other worker within the bound for ready
    // work with room.
    bool startsBesideWorkerRecordedIn(int64_t epoch)
    {
        m_maxLease = Duration(10'000);
        work::Tenure tenure;
        tenure.holder = "x";
        tenure.address = "x:1";
        tenure.epoch = FormerEpoch;
        m_model.put(WorkTopic, work_key::Tenure, encodeRecord(tenure));
        work::UsedWorker silent;
        silent.id = "w1";
        silent.address = "10.0.0.1:80";
        silent.runsRecordedEpoch = epoch;
        m_model.put(WorkTopic, work_key::usedWorker("w1"), encodeRecord(silent));
        m_model.put(JobsTopic, work_key::job("old"), encodeRecord(makeJob("old")));
        m_workers.workers["w1"].unresponsive = true;
        addNode("a");
        EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }));
        return runUntil([this] { return m_workers.starts == 1; }, Duration(3'000));
    }
};

TEST_F(RecordedRunsTest, AMarkOfTheFormerTenureHoldsBackNoOtherTasks)
{
    EXPECT_TRUE(startsBesideWorkerRecordedIn(FormerEpoch));
}

// Guards against a task that runs twice: a mark of a tenure before the former one says nothing of
// what that one has started.
TEST_F(RecordedRunsTest, AMarkOfAnEarlierTenureIsNoLongerTrue)
{
    EXPECT_FALSE(startsBesideWorkerRecordedIn(FormerEpoch - 1));
}

TEST_F(RecordedRunsTest, AMarkOfALaterTenureIsIgnored)
{
    EXPECT_FALSE(startsBesideWorkerRecordedIn(FormerEpoch + 1));
}

// Guards against a task that runs twice after a takeover: a worker that is ready again gets starts
// while its stored record still says that nothing is started there.
TEST_F(InstanceTakeoverTest, AWorkerThatIsReadyAgainGetsStartsOnceItsMarkIsTakenBack)
{
    addNode("a").log->appendTime = Duration(150);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_TRUE(
        runUntil([this] { return !scheduler().instance->jobTable().tenure().startsRecorded; },
                 Duration(6'000)));
    const auto recordedEpoch = [this] {
        const auto &used = scheduler().instance->jobTable().usedWorkers();
        const auto it = used.find("w1");
        return it == used.end() ? -1 : it->second.runsRecordedEpoch;
    };
    m_model.put(RegistryTopic, "w1", "draining");
    m_model.put(RegistryTopic, "w2", "draining");
    ASSERT_TRUE(runUntil([&] { return recordedEpoch() > 0; })) << "not marked";
    ASSERT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    m_model.put(RegistryTopic, "w1", "ready");
    ASSERT_TRUE(runUntil([this] { return m_workers.starts == 1; }));
    int64_t stored = -1;
    for (const KeyedRecord &record : m_model.topics[WorkTopic].records) {
        if (record.key == work_key::usedWorker("w1"))
            stored = decodeRecord<work::UsedWorker>(record.value)->runsRecordedEpoch;
    }
    EXPECT_EQ(stored, 0);
}

// Guards against tasks that wait for a silent worker after a planned hand-over, although the last
// records of the holder name all runs.
TEST_F(InstanceTakeoverTest, APlannedHandOverTellsThatAllRunsAreRecorded)
{
    for (const char *name : {"a", "b"})
        addNode(name).log->appendTime = Duration(150);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    const auto unrecorded = [this] {
        return !scheduler().instance->jobTable().tenure().startsRecorded;
    };
    ASSERT_TRUE(runUntil(unrecorded, Duration(6'000)));
    const int64_t epoch = scheduler().instance->jobTable().tenure().epoch;
    Node &successor = follower();
    scheduler().instance->stop([] {});
    ASSERT_TRUE(runUntil([&successor] { return successor.instance->isScheduler(); }));
    std::optional<work::Tenure> released;
    for (const KeyedRecord &record : m_model.topics[WorkTopic].records) {
        if (record.key != work_key::Tenure)
            continue;
        const auto tenure = decodeRecord<work::Tenure>(record.value);
        if (tenure && tenure->epoch == epoch)
            released = *tenure;
    }
    ASSERT_TRUE(released);
    EXPECT_TRUE(released->released);
    EXPECT_TRUE(released->startsRecorded);
}

// Guards against tasks that wait for longer than the stated bounds when a worker is lost together
// with its scheduler: those placed there, and others of the same account and pool.
TEST_F(InstanceTakeoverTest, AWorkerThatIsLostWithTheSchedulerDelaysOnlyItsOwnTasks)
{
    constexpr Duration LostWorkerBound{6'400}; // from the last sign of the former scheduler
    constexpr Duration StartBound{3'000}; // from the takeover
    m_maxLease = Duration(10'000);
    for (const char *name : {"a", "b", "c"})
        addNode(name);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "running", 8), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 8; })) << "both are full";
    ASSERT_EQ(submit(scheduler(), "waiting", 4), SubmitOutcome::Accepted);
    runFor(Duration(300));
    testing::TestWorkers::Worker &lost = m_workers.workers["w1"];
    const std::vector<testing::TestWorkers::Run> lostRuns = std::exchange(lost.running, {});
    ASSERT_EQ(lostRuns.size(), 4U);
    lost.unresponsive = true;
    scheduler().instance.reset();
    const Instant lostAt = m_clock.now();
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    const Instant tookOverAt = m_clock.now();
    for (const char *name : {"w3", "w4", "w5", "w6"})
        m_model.put(RegistryTopic, name, "ready");
    EXPECT_TRUE(runUntil([this] { return runningOf("waiting") == 4; }, StartBound));
    RecordProperty("others_ms", static_cast<int>((m_clock.now() - tookOverAt).count()));
    const auto allRun = [&] {
        return std::ranges::all_of(lostRuns, [this](const auto &run) { return runs(run.task); });
    };
    EXPECT_TRUE(runUntil(allRun, LostWorkerBound - (m_clock.now() - lostAt)));
    RecordProperty("lost_ms", static_cast<int>((m_clock.now() - lostAt).count()));
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a wait that hardly gets shorter because each successor has just started: it knows
// how much of the wait was left when that was stored, but not how long ago that was.
TEST_F(InstanceTakeoverTest, AnInstanceThatRestartsWaitsOnlyForTheRest)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    for (auto &[id, worker] : m_workers.workers) {
        if (!worker.running.empty()) {
            worker.unresponsive = true;
            worker.running.clear();
        }
    }
    const Instant lostAt = m_clock.now();
    while (m_workers.starts == 1 && m_clock.now() - lostAt < Duration(7'000)) {
        m_nodes["a"].instance.reset();
        addNode("a");
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
        runUntil([this] { return m_workers.starts == 2; }, Duration(2'000));
    }
    EXPECT_EQ(m_workers.starts, 2)
        << "not started again within " << (m_clock.now() - lostAt).count() << " ms";
}

} // namespace
} // namespace cardamompaddle
