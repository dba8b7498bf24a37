#include "dispatch/dispatcher_testing.h"

namespace cardamompaddle {

namespace {

work::StepSpec batchStep(int32_t tasks)
{
    work::StepSpec out = step(tasks);
    out.checkpointing = true;
    out.estimatedMs = 5'000;
    return out;
}

} // namespace

// Guards against quick jobs that miss their objective because the team's long runs use up its limit
// and are not preempted.
TEST_F(DispatcherTest, PreemptsLessUrgentRunsAtTheTeamLimitAndResumesThem)
{
    m_limit = {4'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_jobRoute = "batch";
    add("long", {batchStep(4)});
    const auto runs = startAll();
    ASSERT_EQ(runs.size(), 4U);
    m_jobRoute = "r";
    add("quick", {step(2)});
    const auto stops = decide().stops;
    ASSERT_EQ(stops.size(), 2U) << "no more runs than the quick tasks need";
    EXPECT_TRUE(decide().starts.empty()) << "runs being stopped still count";
    std::vector<EndedRun> finished;
    std::vector<ActiveRun> left;
    for (const StartOrder &run : runs) {
        const bool stopped = run.task == stops[0].task || run.task == stops[1].task;
        stopped ? finished.push_back(ended(run, RunOutcome::Stopped, "saved"))
                : left.push_back(running(run));
    }
    report("w", left, finished);
    const auto quick = startAll();
    ASSERT_EQ(quick.size(), 2U);
    EXPECT_EQ(quick[0].task.step.job, "quick");
    report("w", left,
           {ended(quick[0], RunOutcome::Succeeded), ended(quick[1], RunOutcome::Succeeded)});
    m_now += Duration(120'000); // the demand of the quick tasks has decayed
    const auto resumed = startAll();
    ASSERT_EQ(resumed.size(), 2U);
    EXPECT_EQ(resumed[0].checkpoint, "saved");
}

// Guards against a service that stays down because its job is old: each second without its tasks is
// lost for its users, while the objective of any other job is missed only once.
TEST_F(DispatcherTest, AFailedTaskOfAnOldLongRunningJobGoesBeforeNewerJobs)
{
    join(entry("w", 1'000));
    work::StepSpec service = step(1);
    service.longRunning = true;
    add("service", {service});
    auto runs = startAll();
    ASSERT_EQ(runs.size(), 1U);
    constexpr int64_t Age = 60'000;
    m_now += Duration(Age);
    auto other = std::make_shared<work::Submission>();
    other->id = "other";
    other->route = "r";
    other->team = "t";
    other->steps = {step(3)};
    other->acceptedAtMs = UnixNow + Age;
    m_dispatcher.addJob(other, {}, false);
    report("w", {}, {ended(runs[0], RunOutcome::Failed)});
    m_now += Duration(500); // the backoff of the failed task
    const auto starts = m_dispatcher.decide(m_now, UnixNow + Age).starts;
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.step.job, "service");
}

// Guards against preemption that discards work or makes another job late.
TEST_F(DispatcherTest, DoesNotPreemptRunsWithoutCheckpointOrSlack)
{
    m_limit = {2'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_jobRoute = "batch";
    work::StepSpec unsaved = batchStep(1);
    unsaved.checkpointing = false;
    work::StepSpec tight = batchStep(1);
    tight.estimatedMs = 100'000;
    add("unsaved", {unsaved});
    add("tight", {tight});
    ASSERT_EQ(startAll().size(), 2U);
    m_jobRoute = "r";
    add("quick", {step(1)});
    const auto late = m_dispatcher.decide(m_now, UnixNow + 55'000);
    EXPECT_TRUE(late.stops.empty());
}

// Guards against batch tasks that use up the part of the team's limit that its quick tasks needed
// shortly before.
TEST_F(DispatcherTest, BatchWithSlackLeavesTheReserveForUrgentWork)
{
    m_limit = {4'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    add("quick", {step(2)});
    const auto quick = startAll();
    report("w", {},
           {ended(quick.at(0), RunOutcome::Succeeded), ended(quick.at(1), RunOutcome::Succeeded)});
    m_jobRoute = "batch";
    add("long", {batchStep(4)});
    EXPECT_EQ(startAll().size(), 2U);
    const Orders withoutSlack = m_dispatcher.decide(m_now, UnixNow + 12'000);
    EXPECT_EQ(withoutSlack.starts.size(), 2U) << "a step without slack does not yield";
}

// Guards against placement in order of arrival, in which a job with much slack delays one with
// little.
TEST_F(DispatcherTest, StartsTheStepOfATeamWithTheLeastSlackFirst)
{
    work::StepSpec slow = step(1);
    slow.estimatedMs = 9'000;
    add("relaxed", {slow});
    add("urgent", {step(1)});
    join(entry("w", 1'000));
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.step.job, "urgent");
}

// Guards against batch work that waits for half a minute for urgent work that no longer arrives.
TEST_F(DispatcherTest, BatchStartsWhileItsTeamUsesLessThanHalfOfItsLimit)
{
    m_limit = {8'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    add("quick", {step(8)});
    const auto quick = startAll();
    std::vector<EndedRun> finished;
    finished.reserve(quick.size());
    for (const StartOrder &run : quick)
        finished.push_back(ended(run, RunOutcome::Succeeded));
    report("w", {}, finished);
    m_jobRoute = "batch";
    add("long", {batchStep(4)});
    EXPECT_EQ(startAll().size(), 4U) << "the urgent work has ended";
}

} // namespace cardamompaddle
