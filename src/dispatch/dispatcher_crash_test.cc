#include "dispatch/dispatcher_testing.h"

#include <algorithm>
#include <map>
#include <set>

namespace cardamompaddle {

namespace {

// The platform permits two starts after the third crash. One of them is left for a crash that is
// learned only after the next start.
constexpr size_t MaxStartsOfACrashingTask = 4;
constexpr Duration Step{100};

class DispatcherCrashTest : public DispatcherTest
{
protected:
    // Reports the first poll of a new incarnation of the worker, which has no runs.
    void restart(const WorkerId &id) { report(id, {}, {}, ++m_incarnations[id] + 1); }
    void reportRunning(const StartOrder &order)
    {
        report(order.worker, {running(order)}, {}, m_incarnations[order.worker] + 1);
    }
    // Starts the only waiting task and makes its worker crash while the run is new. Returns whether
    // a run started.
    bool startAndCrash()
    {
        m_now += Duration(2'000);
        const auto starts = startAll();
        if (starts.empty())
            return false;
        restart(starts[0].worker);
        return true;
    }
    // Returns an entry with an address of its own.
    WorkerEntry poolEntry(const WorkerId &id, int64_t cpuMilli = 8'000)
    {
        WorkerEntry out = entry(id, cpuMilli);
        out.address = "10.0.0.1:" + id;
        return out;
    }
    void joinWorkers(int count, int64_t cpuMilli = 8'000)
    {
        for (int i = 0; i < count; ++i)
            join(poolEntry("w" + std::to_string(i), cpuMilli));
    }

    std::map<WorkerId, int64_t> m_incarnations; // crashes of each worker
};

} // namespace

// Guards against a task that crashes one worker after another until its job is cancelled.
TEST_F(DispatcherCrashTest, GivesUpATaskThatCrashesItsWorkers)
{
    joinWorkers(6);
    add("job", {step(1)});
    size_t starts = 0;
    while (starts < 10 && startAndCrash())
        ++starts;
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_GE(starts, 2U) << "two workers have to crash before a task may be given up";
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against long-running tasks, which have no limit of failed runs, being restarted without
// end.
TEST_F(DispatcherCrashTest, GivesUpALongRunningTaskThatCrashesItsWorkers)
{
    joinWorkers(6);
    work::StepSpec serving = step(1);
    serving.longRunning = true;
    add("job", {serving});
    size_t starts = 0;
    while (starts < 10 && startAndCrash())
        ++starts;
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against crashes that are not counted because the leases of the crashed worker lapse before
// its next incarnation reports.
TEST_F(DispatcherCrashTest, CountsACrashThatIsLearnedAfterTheLeaseHasLapsed)
{
    joinWorkers(6);
    add("job", {step(1)});
    size_t starts = 0;
    for (; starts < 10; ++starts) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        if (orders.empty())
            break;
        m_dispatcher.setReachable(orders[0].worker, false);
        m_dispatcher.workerLost(orders[0].worker);
        restart(orders[0].worker);
        m_dispatcher.setReachable(orders[0].worker, true);
    }
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against crashes that are not counted because the registry drops the crashed worker before
// its next incarnation is listed under the same ID.
TEST_F(DispatcherCrashTest, CountsACrashOfAWorkerThatWasUnlistedMeanwhile)
{
    joinWorkers(6);
    add("job", {step(1)});
    size_t starts = 0;
    for (; starts < 10; ++starts) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        if (orders.empty())
            break;
        const WorkerId id = orders[0].worker;
        m_dispatcher.setReachable(id, false);
        m_dispatcher.removeWorker(id);
        m_dispatcher.workerLost(id);
        m_dispatcher.setWorker(poolEntry(id));
        restart(id);
        m_dispatcher.setReachable(id, true);
    }
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against crashes that are not counted because another worker answers at the address.
TEST_F(DispatcherCrashTest, CountsACrashOfAWorkerThatIsReplacedAtItsAddress)
{
    joinWorkers(10);
    add("job", {step(1)});
    size_t starts = 0;
    for (; starts < 10; ++starts) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        if (orders.empty())
            break;
        m_dispatcher.workerReplaced(orders[0].worker, m_now);
    }
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_GE(starts, 2U);
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against crashes that are not counted because the worker comes back under another ID after
// its leases have lapsed.
TEST_F(DispatcherCrashTest, CountsACrashOfAWorkerThatIsBackUnderAnotherId)
{
    joinWorkers(6);
    add("job", {step(1)});
    std::map<WorkerId, std::string> addresses;
    size_t starts = 0;
    for (; starts < 10; ++starts) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        if (orders.empty())
            break;
        const WorkerId id = orders[0].worker;
        m_dispatcher.setReachable(id, false);
        m_dispatcher.removeWorker(id);
        m_dispatcher.workerLost(id);
        WorkerEntry next = poolEntry("next" + std::to_string(starts));
        next.address = addresses.contains(id) ? addresses[id] : poolEntry(id).address;
        addresses[next.id] = next.address;
        join(next);
    }
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_GE(starts, 2U);
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against blaming a task for workers that were drained before others got their addresses.
TEST_F(DispatcherCrashTest, AReleasedWorkerThatIsReplacedIsNoCrash)
{
    joinWorkers(10);
    add("job", {step(1)});
    for (int i = 0; i < 8; ++i) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        ASSERT_EQ(orders.size(), 1U);
        WorkerEntry draining = poolEntry(orders[0].worker);
        draining.draining = true;
        m_dispatcher.setWorker(draining);
        m_dispatcher.workerReplaced(orders[0].worker, m_now);
        m_dispatcher.removeWorker(orders[0].worker);
    }
    EXPECT_EQ(state("job"), work::JobState::Running);
}

// Guards against blaming tasks for a worker that had crashed before their start orders arrived.
TEST_F(DispatcherCrashTest, AnUnansweredStartIsNotBlamed)
{
    joinWorkers(6);
    add("job", {step(1)});
    for (int i = 0; i < 8; ++i) {
        m_now += Duration(2'000);
        const auto orders = decide().starts;
        ASSERT_EQ(orders.size(), 1U);
        m_dispatcher.startAnswered(orders[0], StartOutcome::Unknown, m_now);
        restart(orders[0].worker);
    }
    EXPECT_EQ(state("job"), work::JobState::Running);
}

// Guards against a scheduler that starts to count anew after a takeover.
TEST_F(DispatcherCrashTest, ATakeoverKeepsTheCountOfCrashes)
{
    joinWorkers(6);
    add("job", {step(1)});
    ASSERT_TRUE(startAndCrash());
    const auto stored = m_dispatcher.takeProgress(HeldNow);
    ASSERT_EQ(stored.size(), 1U);
    ASSERT_EQ(stored[0].steps.size(), 1U);
    EXPECT_EQ(stored[0].steps[0].crashedRuns.at(0), std::vector<int64_t>{1});

    work::Progress progress = stored[0];
    progress.id = "restored";
    progress.steps[0].crashedRuns[0] = {1, 2};
    progress.steps[0].placedOn.clear();
    m_dispatcher.cancelJob("job");
    add("restored", {step(1)}, &progress);
    size_t starts = 2;
    while (starts < 10 && startAndCrash())
        ++starts;
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_EQ(state("restored"), work::JobState::Failed);
}

// Guards against blaming a task for workers that were only unreachable until their leases lapsed.
TEST_F(DispatcherCrashTest, ALapsedLeaseIsNoCrash)
{
    joinWorkers(6);
    add("job", {step(1)});
    for (int i = 0; i < 8; ++i) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        ASSERT_EQ(orders.size(), 1U);
        m_dispatcher.setReachable(orders[0].worker, false);
        m_dispatcher.workerLost(orders[0].worker);
        report(orders[0].worker, {});
        m_dispatcher.setReachable(orders[0].worker, true);
    }
    EXPECT_EQ(state("job"), work::JobState::Running);
}

// Guards against blaming a task for workers that were drained and started again as planned.
TEST_F(DispatcherCrashTest, APlannedRestartIsNoCrash)
{
    joinWorkers(6);
    add("job", {step(1)});
    for (int i = 0; i < 8; ++i) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        ASSERT_EQ(orders.size(), 1U);
        WorkerEntry draining = poolEntry(orders[0].worker);
        draining.draining = true;
        m_dispatcher.setWorker(draining);
        m_dispatcher.setWorker(poolEntry(orders[0].worker));
        restart(orders[0].worker);
    }
    EXPECT_EQ(state("job"), work::JobState::Running);
}

// Guards against a long-running task that is given up because its workers crash for other reasons
// in the course of a day.
TEST_F(DispatcherCrashTest, ARunThatHasLastedIsNotBlamed)
{
    joinWorkers(6);
    work::StepSpec serving = step(1);
    serving.longRunning = true;
    add("job", {serving});
    for (int i = 0; i < 8; ++i) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        ASSERT_EQ(orders.size(), 1U);
        for (int polls = 0; polls < 10; ++polls) {
            m_now += Duration(900);
            reportRunning(orders[0]);
        }
        restart(orders[0].worker);
    }
    EXPECT_EQ(state("job"), work::JobState::Running);
}

// Guards against two new runs on one worker of which one would be given up for a crash that the
// other one causes.
TEST_F(DispatcherCrashTest, ATaskThatOneMoreCrashWouldEndStartsApartFromOtherNewRuns)
{
    joinWorkers(1);
    add("job", {step(1)});
    ASSERT_TRUE(startAndCrash());
    ASSERT_TRUE(startAndCrash());
    m_now += Duration(600);
    add("next", {step(1)});
    const auto first = startAll();
    ASSERT_EQ(first.size(), 1U) << "there is room for both";
    m_now += Duration(600);
    reportRunning(first[0]);
    EXPECT_EQ(startAll().size(), 1U);
}

// Guards against a gang whose members are all blamed for the one that crashes its workers, and
// against one that is started without end.
TEST_F(DispatcherCrashTest, GivesUpAGangWithAMemberThatCrashesItsWorkers)
{
    joinWorkers(6, 1'000);
    work::StepSpec gang = step(3);
    gang.gang = true;
    add("job", {gang});
    size_t starts = 0;
    for (; starts < 10; ++starts) {
        m_now += Duration(2'000);
        const auto orders = startAll();
        if (orders.empty())
            break;
        ASSERT_EQ(orders.size(), 3U);
        for (const StartOrder &order : orders) {
            if (order.task.index == 1)
                restart(order.worker);
        }
        for (const StartOrder &order : orders) {
            if (order.task.index != 1)
                report(order.worker, {}, {ended(order, RunOutcome::GangBroken)},
                       m_incarnations[order.worker] + 1);
        }
        if (state("job") != work::JobState::Running)
            continue;
        for (const work::Progress &progress : m_dispatcher.takeProgress(HeldNow)) {
            for (const work::StepProgress &stored : progress.steps)
                EXPECT_LE(stored.crashedRuns.size(), 1U) << "only task 1 is to blame";
        }
    }
    EXPECT_LE(starts, MaxStartsOfACrashingTask);
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

namespace {

// A pool of workers that crash 200 ms after the start of a task of a job named "deadly...". Other
// tasks succeed 600 ms after their start. A crashed worker is back after 3 s.
class CrashingPool : public DispatcherCrashTest
{
protected:
    struct Run
    {
        StartOrder order;
        Instant startedAt;
    };
    struct PoolWorker
    {
        std::vector<Run> runs;
        std::vector<EndedRun> ended;
        std::optional<Instant> crashedAt;
    };
    static bool isDeadly(const Run &run) { return run.order.task.step.job.starts_with("deadly"); }

    void start()
    {
        for (const StartOrder &order : startAll()) {
            m_pool[order.worker].runs.push_back({order, m_now});
            ++m_starts[order.task];
        }
    }
    void advance(const WorkerId &id, PoolWorker &worker)
    {
        if (worker.crashedAt) {
            if (m_now - *worker.crashedAt < Duration(3'000))
                return;
            worker.crashedAt.reset();
            m_positions[id] = 0;
            ++m_incarnations[id];
            m_dispatcher.setReachable(id, true);
        }
        for (const Run &run : worker.runs) {
            if (isDeadly(run) && m_now - run.startedAt >= Duration(200)) {
                worker = {};
                worker.crashedAt = m_now;
                m_dispatcher.setReachable(id, false);
                return;
            }
        }
        std::vector<ActiveRun> active;
        std::vector<EndedRun> done;
        for (const Run &run : worker.runs) {
            if (m_now - run.startedAt < Duration(600))
                active.push_back(running(run.order));
            else
                done.push_back(ended(run.order, RunOutcome::Succeeded));
        }
        std::erase_if(worker.runs,
                      [this](const Run &run) { return m_now - run.startedAt >= Duration(600); });
        report(id, active, done, m_incarnations[id] + 1);
    }

    std::map<WorkerId, PoolWorker> m_pool;
    std::map<TaskRef, size_t> m_starts;
};

} // namespace

// Guards against jobs that fail because their tasks shared workers with tasks that crash them.
TEST_F(CrashingPool, NeighboursOfCrashingTasksComplete)
{
    constexpr int Innocent = 60;
    constexpr int Deadly = 6;
    joinWorkers(12, 4'000);
    int added = 0;
    for (int tick = 0; tick < 600; ++tick) {
        if (tick % 5 == 0 && added < Innocent) {
            if (added % (Innocent / Deadly) == 0)
                add("deadly" + std::to_string(added), {step(1)});
            add("job" + std::to_string(added++), {step(2)});
        }
        start();
        m_now += Step;
        for (int i = 0; i < 12; ++i) {
            const WorkerId id = "w" + std::to_string(i);
            advance(id, m_pool[id]);
        }
        state("");
    }
    for (int i = 0; i < Innocent; ++i) {
        EXPECT_EQ(state("job" + std::to_string(i)), work::JobState::Completed) << i;
        if (i % (Innocent / Deadly) == 0) {
            EXPECT_EQ(state("deadly" + std::to_string(i)), work::JobState::Failed) << i;
        }
    }
    for (const auto &[task, starts] : m_starts) {
        if (task.step.job.starts_with("deadly")) {
            EXPECT_LE(starts, MaxStartsOfACrashingTask) << task.toString();
        }
    }
}

} // namespace cardamompaddle
