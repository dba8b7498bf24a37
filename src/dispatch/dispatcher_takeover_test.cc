#include "dispatch/dispatcher_testing.h"

namespace cardamompaddle {

namespace {

// Returns progress that shows task 0 and 1 of step 0 as placed on the worker.
work::Progress placedOn(const std::string &job, const WorkerId &worker)
{
    work::StepProgress step;
    step.placedOn = {{0, worker}, {1, worker}};
    work::Progress out;
    out.id = job;
    out.state = work::JobState::Running;
    out.steps = {step};
    return out;
}

} // namespace

// Guards against a team that exceeds its limit after a takeover, because runs of the former
// scheduler on workers that have not reported yet are not counted.
TEST_F(DispatcherTest, UnreportedRunsOfTheFormerSchedulerCountAgainstTheTeamLimit)
{
    m_limit = {3'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.setUnreconciledWorkers({"silent"});
    const work::Progress progress = placedOn("old", "silent");
    add("old", {step(2)}, &progress);
    add("new", {step(4)});
    EXPECT_EQ(startAll().size(), 1U) << "two of the three permitted may be running";
    m_dispatcher.setUnreconciledWorkers({});
    EXPECT_EQ(startAll().size(), 2U) << "the former runs no longer exist";
}

// Guards against counting a run twice once its worker has reported it.
TEST_F(DispatcherTest, AReportedRunOfTheFormerSchedulerCountsOnce)
{
    m_limit = {3'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.setUnreconciledWorkers({"v"});
    const work::Progress progress = placedOn("old", "v");
    add("old", {step(2)}, &progress);
    join(entry("v"), {{{{"old", 0, 0}, 0}, 1, "", 10, 0}, {{{"old", 0, 0}, 1}, 1, "", 10, 0}});
    add("new", {step(4)});
    EXPECT_EQ(startAll().size(), 1U);
}

// Guards against exceeding the limit when the former scheduler did not record its starts, so that
// any task of an older job may be running.
TEST_F(DispatcherTest, JobsThatMayBeRunningCountAgainstTheTeamLimit)
{
    m_limit = {3'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.setUnreconciledWorkers({"silent"});
    work::StepSpec later = step(9);
    later.after = {0};
    add("old", {step(2), later}, nullptr, true);
    add("new", {step(4)});
    EXPECT_EQ(startAll().size(), 1U) << "the second step of the older job can't be running yet";
}

// Guards against one silent worker that holds back every task of all older jobs, although the log
// tells what may run there.
TEST_F(DispatcherTest, AWorkerWhoseRunsAreRecordedHoldsBackOnlyItsOwnTasks)
{
    join(entry("w"));
    m_dispatcher.setRecordedWorkers({"silent"});
    m_dispatcher.setUnreconciledWorkers({"silent"});
    const work::Progress progress = placedOn("old", "silent");
    add("old", {step(5)}, &progress, true);
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 3U);
    for (const StartOrder &order : starts)
        EXPECT_GE(order.task.index, 2) << "tasks 0 and 1 may run on the silent worker";
    m_dispatcher.setUnreconciledWorkers({});
    EXPECT_EQ(startAll().size(), 2U);
}

// Guards against a task that runs twice because a worker with recorded runs is taken for the only
// one that has not reported.
TEST_F(DispatcherTest, AWorkerWhoseRunsAreNotRecordedHoldsBackAllTasksOfOlderJobs)
{
    join(entry("w"));
    m_dispatcher.setRecordedWorkers({"recorded"});
    m_dispatcher.setUnreconciledWorkers({"recorded", "silent"});
    add("old", {step(5)}, nullptr, true);
    add("new", {step(2)});
    EXPECT_EQ(startAll().size(), 2U) << "only those of the new job";
    m_dispatcher.setUnreconciledWorkers({"recorded"});
    EXPECT_EQ(startAll().size(), 5U);
}

// Guards against new work that waits for the limit of its team, because all waiting tasks of its
// older jobs are counted as if they could run on one silent worker together.
TEST_F(DispatcherTest, NoMoreUnrecordedRunsCountThanFitOnTheirWorkers)
{
    m_limit = {10'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.setWorker(entry("silent", 4'000));
    m_dispatcher.setUnreconciledWorkers({"silent"});
    add("old", {step(50)}, nullptr, true);
    add("new", {step(9)});
    EXPECT_EQ(startAll().size(), 6U) << "four of the ten permitted may be running";
}

// Guards against a limit that is exceeded because the capacity of a worker that has left is taken
// for 0.
TEST_F(DispatcherTest, UnrecordedRunsOnAWorkerOfUnknownCapacityAllCount)
{
    m_limit = {10'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.adoptWorker("gone");
    m_dispatcher.setUnreconciledWorkers({"gone"});
    add("old", {step(9)}, nullptr, true);
    add("new", {step(9)});
    EXPECT_EQ(startAll().size(), 1U);
}

// Guards against exceeding the limit while the runs of a job that was cancelled during a takeover
// are being stopped: they belong to no attempt of the new scheduler.
TEST_F(DispatcherTest, RunsOfACancelledJobCountUntilTheyHaveFinished)
{
    m_limit = {3'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.setUnreconciledWorkers({"v"});
    const work::Progress progress = placedOn("old", "v");
    add("old", {step(2)}, &progress);
    m_dispatcher.cancelJob("old");
    m_dispatcher.takeProgress(HeldNow);
    add("new", {step(4)});
    EXPECT_EQ(startAll().size(), 1U) << "not reported yet";
    join(entry("v"), {{{{"old", 0, 0}, 0}, 1, "", 10, 0}, {{{"old", 0, 0}, 1}, 1, "", 10, 0}});
    m_dispatcher.setUnreconciledWorkers({});
    m_dispatcher.takeProgress(HeldNow);
    const Orders orders = decide();
    EXPECT_EQ(orders.stops.size(), 2U);
    EXPECT_TRUE(orders.starts.empty()) << "reported and being stopped";
    report("v", {});
    EXPECT_EQ(decide().starts.size(), 2U) << "finished";
}

// Guards against forgetting the runs that a job which had ended before the takeover has left.
TEST_F(DispatcherTest, RunsLeftByAJobThatHasEndedCountAfterATakeover)
{
    m_limit = {3'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    m_dispatcher.setUnreconciledWorkers({"v"});
    work::Progress progress = placedOn("old", "v");
    progress.state = work::JobState::Cancelled;
    add("old", {step(2)}, &progress);
    add("new", {step(4)});
    EXPECT_EQ(startAll().size(), 1U) << "two of the three permitted are still being stopped";
    m_dispatcher.setUnreconciledWorkers({});
    EXPECT_EQ(startAll().size(), 2U);
    m_dispatcher.takeProgress(HeldNow);
    EXPECT_FALSE(m_dispatcher.hasJob("old")) << "it is kept only for its last runs";
}

// Guards against a final record that does not name the workers of runs that are still being
// stopped, and against one that still names them after the last run has finished.
TEST_F(DispatcherTest, TheRecordOfAnEndedJobNamesTheWorkersOfItsLastRunsUntilTheyHaveFinished)
{
    join(entry("v"));
    add("old", {step(2)});
    const auto orders = startAll();
    ASSERT_EQ(orders.size(), 2U);
    m_dispatcher.cancelJob("old");
    auto stored = m_dispatcher.takeProgress(HeldNow);
    ASSERT_EQ(stored.size(), 1U);
    ASSERT_EQ(stored[0].steps.size(), 1U);
    EXPECT_EQ(stored[0].steps[0].placedOn.size(), 2U);
    report("v", {}, {ended(orders[0], RunOutcome::Stopped), ended(orders[1], RunOutcome::Stopped)});
    stored = m_dispatcher.takeProgress(HeldNow);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_TRUE(stored[0].steps.empty());
    EXPECT_EQ(stored[0].state, work::JobState::Cancelled);
}

// Guards against an end that moves with each record of the job, so that the job is kept for too
// long, and against one that a takeover forgets.
TEST_F(DispatcherTest, TheTimeOfAnEndIsThatOfItsFirstRecord)
{
    constexpr int64_t EndedAt = 200'000;
    join(entry("v"));
    add("old", {step(1)});
    const auto orders = startAll();
    ASSERT_EQ(orders.size(), 1U);
    auto stored = m_dispatcher.takeProgress(HeldNow);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].endedAtHeldMs, 0) << "it has not ended";
    m_dispatcher.cancelJob("old");
    stored = m_dispatcher.takeProgress(EndedAt);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].endedAtHeldMs, EndedAt);
    report("v", {}, {ended(orders[0], RunOutcome::Stopped)});
    stored = m_dispatcher.takeProgress(EndedAt + 60'000);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].endedAtHeldMs, EndedAt);

    work::Progress progress = placedOn("other", "v");
    progress.state = work::JobState::Failed;
    progress.endedAtHeldMs = EndedAt;
    m_dispatcher.setUnreconciledWorkers({"v"});
    add("other", {step(2)}, &progress);
    m_dispatcher.setUnreconciledWorkers({});
    // A takeover goes on from the last tenure record, which may be older than the end.
    stored = m_dispatcher.takeProgress(EndedAt - 500);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].endedAtHeldMs, EndedAt);
}

// Guards against jobs that are never removed from the log because an earlier version did not store
// when they ended.
TEST_F(DispatcherTest, AnEndWithoutATimeIsStoredAgain)
{
    work::Progress progress;
    progress.id = "old";
    progress.state = work::JobState::Completed;
    add("old", {step(1)}, &progress);
    const auto stored = m_dispatcher.takeProgress(HeldNow);
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored[0].state, work::JobState::Completed);
    EXPECT_EQ(stored[0].endedAtHeldMs, HeldNow);
    EXPECT_FALSE(m_dispatcher.hasJob("old"));
}

// Guards against not counting the runs of a job that this scheduler does not know, because it had
// ended before the takeover.
TEST(DispatcherTakeoverTest, RunsOfAForgottenJobCountUntilTheyHaveFinished)
{
    auto forgotten = std::make_shared<work::Submission>();
    forgotten->id = "old";
    forgotten->team = "t";
    forgotten->steps = {step(2)};
    Dispatcher dispatcher(
        {1, 1, [&](const std::string &id) { return id == "old" ? forgotten : nullptr; }}, nullptr);
    auto catalog = std::make_shared<Catalog>();
    WorkRoute route;
    route.name = "r";
    route.pool = "p";
    route.maxAttempts = 3;
    catalog->routes["r"] = route;
    Team team;
    team.name = "t";
    team.limit = {3'000, 0, 0, 0, 0};
    catalog->teams["t"] = team;
    dispatcher.setCatalog(catalog);
    const Instant now = instantFromMs(100'000);
    for (const WorkerId id : {"v", "w"}) {
        WorkerEntry entry;
        entry.id = id;
        entry.pool = "p";
        entry.capacity = {8'000, 10'000, 0, 0, 0};
        dispatcher.setWorker(entry);
        RunReport report;
        report.requestedAt = now;
        if (id == "v")
            report.running = {{{{"old", 0, 0}, 0}, 1, "", 10, 0},
                              {{{"old", 0, 0}, 1}, 1, "", 10, 0}};
        dispatcher.workerReported(id, report, now);
        dispatcher.setReachable(id, true);
    }
    auto job = std::make_shared<work::Submission>(*forgotten);
    job->id = "new";
    job->route = "r";
    job->steps = {step(4)};
    dispatcher.addJob(job, {}, false);
    EXPECT_EQ(dispatcher.decide(now, UnixNow).starts.size(), 1U);
}

} // namespace cardamompaddle
