#include "dispatch/room_preemption.h"

#include <gtest/gtest.h>

#include <set>

namespace cardamompaddle {
namespace {

const Resources Capacity{100'000, 100'000, 0, 0, 0};
const Resources QuickTask{4'500, 100, 0, 0, 0};
const Resources BatchTask{9'000, 100, 0, 0, 0};

// Two accounts of equal weight.
AccountShares sharesOf(int64_t first, int64_t second)
{
    AccountShares out(Capacity);
    out.add(1, {first, 0, 0, 0, 0});
    out.add(1, {second, 0, 0, 0, 0});
    return out;
}

// A request of account 0 for which any number of processors may be freed.
PreemptionRequest requestFor(int64_t tasks, std::vector<PreemptionWorker> workers)
{
    PreemptionRequest out;
    out.taskResources = QuickTask;
    out.tasks = tasks;
    out.maxFreedCpuMilli = INT64_MAX / 2;
    out.workers = std::move(workers);
    return out;
}

PreemptionWorker workerWith(const std::vector<int64_t> &progressMs)
{
    PreemptionWorker out;
    out.room = {1'000, 10'000, 0, 0, 0};
    out.maxTasks = 100;
    for (const int64_t it : progressMs)
        out.runs.push_back({1, BatchTask, it});
    return out;
}

int64_t stopped(const std::vector<WorkerPreemption> &plan)
{
    int64_t out = 0;
    for (const WorkerPreemption &it : plan)
        out += static_cast<int64_t>(it.runs.size());
    return out;
}

} // namespace

// Guards against stops that lose more progress, or disturb more runs, than the tasks need.
TEST(RoomPreemptionTest, StopsTheRunsWithTheLeastProgressAndNoMoreThanNeeded)
{
    const auto plan = planRoomPreemption(
        requestFor(3, {workerWith({2'000, 1'000}), workerWith({3'000}), workerWith({1'500})}),
        sharesOf(10'000, 80'000));
    ASSERT_EQ(plan.size(), 2U);
    EXPECT_EQ(plan[0].worker, 0U);
    EXPECT_EQ(plan[0].runs, std::vector<size_t>{1});
    EXPECT_EQ(plan[0].places, 2);
    EXPECT_EQ(plan[1].worker, 2U);
    EXPECT_EQ(plan[1].places, 1);
}

// Guards against stops of small runs beside a larger one that makes enough room on its own.
TEST(RoomPreemptionTest, KeepsRunsWhoseRoomIsNotNeeded)
{
    PreemptionWorker worker = workerWith({1'000});
    worker.runs.push_back({1, {1'000, 100, 0, 0, 0}, 0});
    const auto plan = planRoomPreemption(requestFor(1, {worker}), sharesOf(10'000, 80'000));
    ASSERT_EQ(plan.size(), 1U);
    EXPECT_EQ(plan[0].runs, std::vector<size_t>{0});
}

// Guards against more processors being stopped than allowed, and against a bound below one run that
// rules out any preemption.
TEST(RoomPreemptionTest, FreesNoMoreThanTheBoundButMayExceedItByOneRun)
{
    PreemptionRequest request = requestFor(10, {workerWith({0, 0, 0}), workerWith({0, 0, 0})});
    request.maxFreedCpuMilli = 19'000;
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(10'000, 80'000))), 2);
    request.maxFreedCpuMilli = 8'000;
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(10'000, 80'000))), 0);
    request.mayExceedByOneRun = true;
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(10'000, 80'000))), 1);
}

// Guards against a hot account that takes the processors of accounts within their shares.
TEST(RoomPreemptionTest, AnAccountBeyondItsShareTakesNothingFromOneWithinItsShare)
{
    const PreemptionRequest request = requestFor(2, {workerWith({0})});
    EXPECT_TRUE(planRoomPreemption(request, sharesOf(60'000, 30'000)).empty());
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(40'000, 30'000))), 1);
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(60'000, 55'000))), 1);
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(51'000, 49'000))), 1)
        << "not clearly ahead";
    AccountShares weighted(Capacity);
    weighted.add(3, {60'000, 0, 0, 0, 0});
    weighted.add(1, {20'000, 0, 0, 0, 0});
    EXPECT_EQ(stopped(planRoomPreemption(request, weighted)), 1) << "60% is within its share";
}

// Guards against a service that stays down because its account uses more than its share.
TEST(RoomPreemptionTest, AStepWithAPromisedPlaceIgnoresShares)
{
    PreemptionRequest request = requestFor(2, {workerWith({0})});
    ASSERT_TRUE(planRoomPreemption(request, sharesOf(60'000, 30'000)).empty());
    request.ignoresShares = true;
    EXPECT_EQ(stopped(planRoomPreemption(request, sharesOf(60'000, 30'000))), 1);
}

// Guards against a plan that goes on after the account has got beyond its share.
TEST(RoomPreemptionTest, TheShareRuleCountsWhatThePlanTakes)
{
    std::vector<PreemptionWorker> workers(10, workerWith({0}));
    const auto plan = planRoomPreemption(requestFor(20, workers), sharesOf(42'000, 49'000));
    // Each stop moves 9 cores: 51 against 40 is clearly ahead.
    EXPECT_EQ(stopped(plan), 1);
}

// Guards against more tasks on one worker than StepSpec::maxPerWorker allows.
TEST(RoomPreemptionTest, PlacesNoMoreTasksOnAWorkerThanMayStartThere)
{
    PreemptionWorker worker = workerWith({0, 0, 0});
    worker.maxTasks = 1;
    const auto plan = planRoomPreemption(requestFor(6, {worker}), sharesOf(10'000, 80'000));
    ASSERT_EQ(plan.size(), 1U);
    EXPECT_EQ(plan[0].places, 1);
    EXPECT_EQ(plan[0].runs.size(), 1U);
}

} // namespace cardamompaddle
