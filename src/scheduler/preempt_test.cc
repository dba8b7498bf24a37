#include "scheduler/scheduler_testing.h"

namespace cardamompaddle {
namespace {

class PreemptTest : public SchedulerFixture
{
protected:
    WorkItem urgentWork(const std::string &id, WorkKind kind = WorkKind::Batch)
    {
        WorkItem item = work(id, kind);
        item.spec.urgency = 9;
        return item;
    }
};

// On a full pool, urgent work must start within 1.3 s by preemption, and other work must not take
// the capacity that was freed for it.
TEST_F(PreemptTest, UrgentWorkStartsOnAFullPool)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 40));
    std::map<TaskAttempt, Decision> running;
    for (const Decision &it : starts())
        running[{it.start.task, it.start.attempt}] = it;
    submit(urgentWork("urgent"));
    const Instant since = now;
    std::vector<std::string> order;
    bool started = false;
    while (!started && now - since < Duration(2'000)) {
        for (const Decision &it : decide(Duration(50))) {
            if (it.kind == DecisionKind::Checkpoint)
                order.emplace_back("checkpoint");
            if (it.kind == DecisionKind::Stop) {
                order.emplace_back("stop");
                EXPECT_EQ(end(running.at(it.target), TaskOutcome::Stopped),
                          TaskDisposition::WillRetry);
            }
            started =
                started || (it.kind == DecisionKind::Start && it.start.task.job.id == "urgent");
        }
    }
    EXPECT_TRUE(started);
    EXPECT_LE(now - since, Duration(1'300));
    EXPECT_EQ(order, (std::vector<std::string>{"checkpoint", "stop"}));
}

// Nothing is stopped if that does not free enough capacity, or if the victims would have the same
// urgency or be non-repeatable.
TEST_F(PreemptTest, NothingIsStoppedWithoutBenefit)
{
    addWorkers(1, {16'000, 32'000, 1, 8, 64});
    WorkItem holder = work("holder");
    holder.spec.perTask = {1'000, 1'000, 1, 1, 1};
    holder.spec.urgency = 9;
    submit(holder);
    submit(work("low", WorkKind::Batch, 3));
    WorkItem once = work("once", WorkKind::Batch, 4);
    once.spec.repeatable = false;
    submit(once);
    EXPECT_EQ(starts().size(), 8U);
    WorkItem accelerated = urgentWork("accelerated");
    accelerated.spec.perTask = {1'000, 1'000, 1, 1, 1};
    submit(accelerated); // only the equally urgent holder has an accelerator
    WorkItem wide = urgentWork("wide");
    wide.spec.perTask = {1'000, 1'000, 0, 4, 1};
    submit(wide); // only three slots can be freed
    for (int it = 0; it < 20; ++it)
        EXPECT_TRUE(decide(Duration(100)).empty());
}

// The victim is the task that loses the least progress, and never one of the same urgency or one
// that is non-repeatable.
TEST_F(PreemptTest, VictimLosesTheLeastProgress)
{
    addWorkers(1);
    submit(work("old", WorkKind::Batch, 5));
    starts();
    submit(work("young"));
    EXPECT_EQ(starts(Duration(60'000)).size(), 1U);
    now += Duration(1'000);
    submit(urgentWork("peer"));
    WorkItem once = work("once");
    once.spec.repeatable = false;
    submit(once);
    EXPECT_EQ(starts().size(), 2U);
    submit(urgentWork("urgent"));
    std::vector<std::string> victims;
    for (int it = 0; it < 10; ++it) {
        for (const Decision &out : only(decide(Duration(100)), DecisionKind::Stop))
            victims.push_back(out.target.task.job.id);
    }
    EXPECT_EQ(victims, (std::vector<std::string>{"young"}));
}

// If processors are the only scarce resource, tasks are throttled instead of stopped.
TEST_F(PreemptTest, ThrottlesIfOnlyProcessorsAreScarce)
{
    addWorkers(1);
    WorkItem hog = work("hog");
    hog.spec.perTask = {16'000, 1'000, 0, 1, 1};
    submit(hog);
    EXPECT_EQ(starts().size(), 1U);
    submit(urgentWork("urgent"));
    const std::vector<Decision> out = decide();
    ASSERT_EQ(only(out, DecisionKind::Throttle).size(), 1U);
    EXPECT_EQ(only(out, DecisionKind::Throttle)[0].cpuMilli, 8'000);
    EXPECT_EQ(jobs(out), (std::vector<std::string>{"urgent"}));
    EXPECT_TRUE(only(out, DecisionKind::Stop).empty());
}

// Victims are not stopped once the preempting job is cancelled.
TEST_F(PreemptTest, CancelledPreemptionStopsNothing)
{
    addWorkers(1);
    submit(work("fill", WorkKind::Batch, 8));
    starts();
    submit(urgentWork("urgent"));
    decide();
    scheduler->cancel({"team", "urgent"}, now);
    for (int it = 0; it < 20; ++it)
        EXPECT_TRUE(only(decide(Duration(100)), DecisionKind::Stop).empty());
}

// Urgent work must not wait for its reservation on a worker that has been lost.
TEST_F(PreemptTest, ReservationOnALostWorkerIsReleased)
{
    addWorkers(2);
    submit(work("fill", WorkKind::Batch, 16));
    std::map<TaskAttempt, Decision> running;
    for (const Decision &it : starts())
        running[{it.start.task, it.start.attempt}] = it;
    submit(urgentWork("urgent"));
    const std::vector<Decision> asked = only(decide(), DecisionKind::Checkpoint);
    ASSERT_EQ(asked.size(), 1U);
    scheduler->workerLost(asked[0].worker, now);
    const Instant since = now;
    bool started = false;
    while (!started && now - since < Duration(2'000)) {
        for (const Decision &it : decide(Duration(50))) {
            if (it.kind == DecisionKind::Stop)
                end(running.at(it.target), TaskOutcome::Stopped);
            started = started || it.kind == DecisionKind::Start;
        }
    }
    EXPECT_LE(now - since, Duration(1'300));
}

// Work below PreemptingUrgency must not preempt other work.
TEST_F(PreemptTest, OnlyUrgentWorkPreempts)
{
    addWorkers(1);
    WorkItem low = work("low", WorkKind::Batch, 8);
    low.spec.urgency = 0;
    submit(low);
    EXPECT_EQ(starts().size(), 8U);
    WorkItem high = work("high");
    high.spec.urgency = PreemptingUrgency - 1;
    submit(high);
    for (int it = 0; it < 20; ++it)
        EXPECT_TRUE(decide(Duration(100)).empty());
}

// A team above a lowered limit loses as many tasks as the excess, also if asked twice.
TEST_F(PreemptTest, TeamExcessIsStoppedOnce)
{
    addWorkers(1);
    submit(work("job", WorkKind::Batch, 6));
    starts();
    scheduler->stopTeamExcess("team", 2, now);
    scheduler->stopTeamExcess("team", 2, now); // repeated before the first tasks have ended
    size_t stops = 0;
    for (int it = 0; it < 10; ++it)
        stops += only(decide(Duration(100)), DecisionKind::Stop).size();
    EXPECT_EQ(stops, 2U);
}

} // namespace
} // namespace cardamompaddle
