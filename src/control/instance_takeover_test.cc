// Workers that are unresponsive while schedulers take over from each other.
#include "control/instance_testing.h"
#include "work/codec.h"

#include <stdexcept>

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

} // namespace
} // namespace cardamompaddle
