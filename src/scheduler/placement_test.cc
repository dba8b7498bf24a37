#include "scheduler/scheduler_testing.h"

namespace cardamompaddle {
namespace {

using PlacementTest = SchedulerFixture;

// Every resource must be checked when a task is placed.
TEST_F(PlacementTest, EveryResourceBounds)
{
    const std::vector<Resources> needs{
        {4'000, 1, 0, 1, 1}, {1, 8'000, 0, 1, 1}, {1, 1, 2, 1, 1},
        {1, 1, 0, 4, 1},     {1, 1, 0, 1, 32},
    };
    const std::vector<size_t> expected{4, 4, 2, 2, 2};
    for (size_t it = 0; it < needs.size(); ++it) {
        reset({});
        addWorkers(1, {16'000, 32'000, 4, 8, 64});
        WorkItem item = work("job" + std::to_string(it), WorkKind::Batch, 8);
        item.spec.perTask = needs[it];
        submit(item);
        EXPECT_EQ(starts().size(), expected[it]) << needs[it].toString();
    }
}

// Pack must fill one worker first, so that large tasks still find an empty one; Spread must use
// all.
TEST_F(PlacementTest, PackFillsOneWorkerSpreadUsesAll)
{
    for (const PlacementPolicy policy : {PlacementPolicy::Pack, PlacementPolicy::Spread}) {
        pool.placement = policy;
        reset({});
        addWorkers(4);
        submit(work("job", WorkKind::Batch, 4));
        std::set<WorkerId> used;
        for (const Decision &it : starts())
            used.insert(it.worker);
        EXPECT_EQ(used.size(), policy == PlacementPolicy::Pack ? 1U : 4U);
    }
}

// Tasks that need no accelerator must not occupy the few workers that have one.
TEST_F(PlacementTest, AcceleratorsAreLeftToThoseThatNeedThem)
{
    scheduler->workerAcquired(makeWorker("acc", "a", "r1", {16'000, 32'000, 2, 8, 64}), {}, now);
    scheduler->workerAcquired(makeWorker("plain"), {}, now);
    submit(work("job"));
    const std::vector<Decision> out = starts();
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].worker, "plain");
}

// A service must not lose all its tasks with one availability zone or rack.
TEST_F(PlacementTest, ServicesSpreadOverZonesThenRacks)
{
    for (const std::string zone : {"a", "b"}) {
        for (const std::string rack : {"1", "2"}) {
            for (int it = 0; it < 2; ++it) {
                const std::string id = zone + rack + std::to_string(it);
                scheduler->workerAcquired(makeWorker(id, zone, zone + rack), {}, now);
            }
        }
    }
    submit(work("service", WorkKind::Service, 4));
    std::set<std::string> racks;
    for (const Decision &it : starts())
        racks.insert(it.worker.substr(0, 2));
    EXPECT_EQ(racks, (std::set<std::string>{"a1", "a2", "b1", "b2"}));
}

// New tasks count as declared until they are measured, since older reports do not include them. The
// reserve of the pool must stay free.
TEST_F(PlacementTest, NewTasksCountAsDeclaredOlderAsMeasured)
{
    pool.overcommitCpuPercent = 200;
    pool.reservePercent = 10;
    reset({});
    pool.overcommitCpuPercent = 200;
    pool.reservePercent = 10;
    scheduler->setPool(pool);
    addWorkers(1, {10'000, 100'000, 0, 100, 100});
    WorkItem item = work("job", WorkKind::Batch, 30);
    item.spec.perTask = {1'000, 10, 0, 1, 1};
    submit(item);
    const std::vector<Decision> first = starts();
    EXPECT_EQ(first.size(), 9U); // 10 processors less the reserve
    std::vector<RunningTask> report;
    report.reserve(first.size());
    for (const Decision &it : first)
        report.push_back(running(it, {500, 10, 0, 1, 1}));
    scheduler->usageReported("w0", report, now);
    // 9 tasks measured at 500 leave 4,500, which four new tasks use as declared.
    EXPECT_EQ(starts().size(), 4U);
    EXPECT_EQ(starts().size(), 0U);
    // However low the measurements are, the declared sum stays within twice the capacity.
    for (int round = 0; round < 5; ++round) {
        std::vector<RunningTask> idle;
        idle.reserve(30);
        for (int it = 0; it < 30; ++it) {
            RunningTask task = report[0];
            task.task.index = it;
            task.usage = {};
            idle.push_back(task);
        }
        scheduler->usageReported("w0", idle, now);
        starts();
    }
    EXPECT_EQ(scheduler->workerRows(now)[0].running, 20);
}

// Two runs with the same inputs must place tasks alike.
TEST_F(PlacementTest, EqualInputsGiveEqualDecisions)
{
    for (const PlacementPolicy policy : {PlacementPolicy::Pack, PlacementPolicy::Random}) {
        std::vector<std::vector<WorkerId>> runs;
        for (int run = 0; run < 2; ++run) {
            pool.placement = policy;
            sequence = 0;
            reset({});
            addWorkers(10);
            submit(work("job", WorkKind::Batch, 40));
            std::vector<WorkerId> placed;
            for (const Decision &it : starts())
                placed.push_back(it.worker);
            runs.push_back(placed);
        }
        EXPECT_EQ(runs[0].size(), 40U);
        EXPECT_EQ(runs[0], runs[1]);
    }
}

// The cached result that no worker has capacity must be dropped as soon as capacity is added.
TEST_F(PlacementTest, CapacityIsFoundAgainAfterEachIncrease)
{
    addWorkers(1);
    submit(work("full", WorkKind::Batch, 8));
    const std::vector<Decision> full = starts();
    submit(work("next", WorkKind::Batch, 4));
    EXPECT_TRUE(starts().empty());
    end(full[0]);
    EXPECT_EQ(starts().size(), 1U); // a task ended
    WorkerInfo larger = makeWorker("w0");
    larger.capacity.slots = 9;
    scheduler->workerUpdated(larger, now);
    EXPECT_EQ(starts().size(), 1U); // capacity was added
    scheduler->workerAcquired(makeWorker("w1"), {}, now);
    EXPECT_EQ(starts().size(), 2U); // a worker was added
}

// Nothing may start on a leaving worker; starts resume when it is no longer leaving.
TEST_F(PlacementTest, NothingStartsOnALeavingWorker)
{
    addWorkers(1);
    WorkerInfo leaving = makeWorker("w0");
    leaving.leaving = true;
    scheduler->workerUpdated(leaving, now);
    submit(work("job"));
    EXPECT_TRUE(starts().empty());
    scheduler->workerUpdated(makeWorker("w0"), now);
    EXPECT_EQ(starts().size(), 1U);
}

// Tasks that use more than they declared must not starve more urgent tasks on the same worker.
TEST_F(PlacementTest, PressureThrottlesThenStopsTheLowestUrgency)
{
    addWorkers(1);
    WorkItem low = work("low");
    low.spec.urgency = 1;
    submit(low);
    WorkItem high = work("high");
    high.spec.urgency = 8;
    submit(high);
    const std::vector<Decision> both = starts();
    ASSERT_EQ(both.size(), 2U);
    const std::vector<RunningTask> report{running(both[0], {1'000, 1'000, 0, 1, 1}),
                                          running(both[1], {15'000, 1'000, 0, 1, 1})};
    scheduler->usageReported("w0", report, now);
    std::vector<Decision> out = decide();
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].kind, DecisionKind::Throttle);
    EXPECT_EQ(out[0].target.task.job.id, "low");
    now += Duration(2'000);
    scheduler->usageReported("w0", report, now);
    out = decide();
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].kind, DecisionKind::Checkpoint);
    out = decide(Duration(300));
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].kind, DecisionKind::Stop);
}

} // namespace
} // namespace cardamompaddle
