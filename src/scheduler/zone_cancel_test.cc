#include "scheduler/scheduler_testing.h"

#include <chrono>

namespace cardamompaddle {
namespace {

class ZoneTest : public SchedulerFixture
{
protected:
    void addZones(int perZone)
    {
        for (const std::string zone : {"a", "b"}) {
            for (int it = 0; it < perZone; ++it)
                scheduler->workerAcquired(makeWorker(zone + std::to_string(it), zone, zone + "r"),
                                          {}, now);
        }
    }
};

// Nothing starts in an availability zone that is out, also on workers that are acquired later.
TEST_F(ZoneTest, NothingStartsInAZoneThatIsOut)
{
    scheduler->setZonesOut({"b"}, now);
    addZones(1);
    submit(work("job", WorkKind::Batch, 20));
    for (const Decision &it : starts())
        EXPECT_EQ(it.worker, "a0");
    scheduler->setZonesOut({"a", "b"}, now);
    submit(work("more"));
    EXPECT_TRUE(starts().empty());
}

// When a zone goes out, services move at once, batch tasks are stopped after the drain time, and
// requests and non-repeatable tasks are not stopped.
TEST_F(ZoneTest, ServicesMoveAtOnceBatchDrains)
{
    scheduler->setZonesOut({"b"}, now);
    addZones(1);
    submit(work("service", WorkKind::Service));
    submit(work("batch"));
    submit(work("request", WorkKind::Request));
    WorkItem once = work("once");
    once.spec.repeatable = false;
    submit(once);
    std::map<std::string, Decision> running;
    for (const Decision &it : starts())
        running[it.start.task.job.id] = it;
    ASSERT_EQ(running.size(), 4U);
    scheduler->setZonesOut({"a"}, now);
    std::map<std::string, Duration> stopped;
    const Instant out = now;
    bool moved = false;
    while (now - out < Duration(15'000)) {
        for (const Decision &it : decide(Duration(100))) {
            moved = moved || (it.kind == DecisionKind::Start && it.worker == "b0");
            if (it.kind != DecisionKind::Stop)
                continue;
            stopped[it.target.task.job.id] = now - out;
            end(running.at(it.target.task.job.id), TaskOutcome::Stopped);
        }
    }
    EXPECT_EQ(stopped.size(), 2U);
    EXPECT_LE(stopped.at("service"), Duration(1'000));
    EXPECT_GE(stopped.at("batch"), Duration(9'000));
    EXPECT_TRUE(moved);
}

// Starts into a returning zone ramp up, so that its cold workers are not overloaded at once, and
// reach the full rate within 5 s.
TEST_F(ZoneTest, StartsRampUpOnReturn)
{
    scheduler->setZonesOut({"b"}, now);
    addZones(20); // 160 slots per zone
    submit(work("job", WorkKind::Batch, 1'000));
    EXPECT_EQ(starts().size(), 160U);
    scheduler->setZonesOut({}, now);
    const Instant back = now;
    size_t count = starts(Duration(0)).size();
    EXPECT_LE(count, 2U);
    while (now - back < Duration(1'000))
        count += starts(Duration(100)).size();
    EXPECT_NEAR(static_cast<double>(count), 160.0 / 3, 5);
    std::vector<Decision> running;
    while (now - back < Duration(3'100)) {
        for (const Decision &it : starts(Duration(100)))
            running.push_back(it);
    }
    EXPECT_EQ(count + running.size(), 160U);
    for (const Decision &it : running)
        end(it);
    EXPECT_EQ(starts().size(), running.size()); // the ramp is over
}

using CancelTest = SchedulerFixture;

// A cancelled job must not start, and its running tasks must be stopped.
TEST_F(CancelTest, WaitingNeverStartsRunningIsStopped)
{
    addWorkers(1);
    submit(work("runs", WorkKind::Batch, 8));
    const std::vector<Decision> running = starts();
    submit(work("waits"));
    scheduler->cancel({"team", "runs"}, now);
    scheduler->cancel({"team", "waits"}, now);
    scheduler->cancel({"team", "unknown"}, now);
    EXPECT_FALSE(scheduler->hasJob({"team", "waits"}));
    EXPECT_EQ(only(decide(), DecisionKind::Stop).size(), 8U);
    for (const Decision &it : running)
        EXPECT_EQ(end(it, TaskOutcome::Stopped), TaskDisposition::Dropped);
    EXPECT_FALSE(scheduler->hasJob({"team", "runs"}));
    EXPECT_TRUE(decide(Duration(60'000)).empty());
    EXPECT_EQ(scheduler->workerRows(now)[0].free.slots, 8);
}

// A stop command may be lost, so it is repeated until the end of the task is reported.
TEST_F(CancelTest, StopIsRepeatedUntilTheEndIsSeen)
{
    addWorkers(1);
    submit(work("job"));
    starts();
    scheduler->cancel({"team", "job"}, now);
    EXPECT_EQ(only(decide(), DecisionKind::Stop).size(), 1U);
    EXPECT_TRUE(decide(Duration(1'000)).empty());
    EXPECT_EQ(only(decide(Duration(5'000)), DecisionKind::Stop).size(), 1U);
}

// Many cancellations at once must be cheap, and their stops are batched so that they do not delay
// other decisions. The target is 50 ms.
TEST_F(CancelTest, WaveOfCancelsIsCheapAndItsStopsAreBatched)
{
    addWorkers(1'300);
    for (int it = 0; it < 10'000; ++it) {
        WorkItem item = work("job" + std::to_string(it));
        item.alreadyAccepted = true;
        submit(item);
    }
    ASSERT_EQ(only(decide(Duration(0), 20'000), DecisionKind::Start).size(), 10'000U);
    const auto began = std::chrono::steady_clock::now();
    for (int it = 0; it < 10'000; ++it)
        scheduler->cancel({"team", "job" + std::to_string(it)}, now);
    const auto took = std::chrono::steady_clock::now() - began;
    // The bound allows for sanitizers; the benchmark measures the target.
    EXPECT_LT(took, std::chrono::milliseconds(500));
    submit(work("other"));
    const std::vector<Decision> out = decide();
    EXPECT_EQ(only(out, DecisionKind::Stop).size(), 256U);
    EXPECT_EQ(jobs(out), (std::vector<std::string>{"other"}));
}

} // namespace
} // namespace cardamompaddle
