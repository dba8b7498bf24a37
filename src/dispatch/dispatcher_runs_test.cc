#include "dispatch/dispatcher_testing.h"

#include <functional>
#include <map>

namespace cardamompaddle {
namespace {

TEST_F(DispatcherTest, CountsAnUnansweredStartUntilAStopIsConfirmed)
{
    join(entry("w", 1'000));
    join(entry("v", 1'000));
    add("job", {step(1)});
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 1U);
    m_dispatcher.startAnswered(starts[0], StartOutcome::Unknown, m_now);
    const Orders orders = decide();
    ASSERT_EQ(orders.stops.size(), 1U);
    EXPECT_TRUE(orders.starts.empty()) << "the worker may still carry out the start";
    m_now += Duration(10);
    report(starts[0].worker, {});
    EXPECT_TRUE(decide().starts.empty()) << "a report alone does not rule out a late start";
    m_dispatcher.stopAnswered(orders.stops[0], m_now);
    m_now += Duration(10);
    report(starts[0].worker, {});
    const auto again = decide().starts;
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].run, starts[0].run);
}

TEST_F(DispatcherTest, RepeatsAnUnconfirmedStop)
{
    join(entry("w"));
    add("job", {step(1)});
    startAll();
    m_dispatcher.cancelJob("job");
    EXPECT_EQ(decide().stops.size(), 1U);
    EXPECT_TRUE(decide().stops.empty());
    m_now += Duration(1'000);
    EXPECT_EQ(decide().stops.size(), 1U);
}

// Guards against a job that fails after fewer failed runs than allowed, because the next scheduler
// counts a failure again that a worker still reports.
TEST_F(DispatcherTest, CountsAFailureReportedToTwoSchedulersOnce)
{
    work::Progress progress;
    progress.id = "job";
    progress.state = work::JobState::Running;
    work::StepProgress stored;
    stored.failedRuns[0] = {1, 2};
    progress.steps = {stored};
    add("job", {step(1)}, &progress, true);
    const TaskRef task{{"job", 0, 0}, 0};
    join(entry("w"), {},
         {{1, task, 2, RunOutcome::Failed, ""}, {2, task, 1, RunOutcome::Failed, ""}});
    m_dispatcher.setUnreconciledWorkers({});
    m_now += Duration(5'000);
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U) << "a failure was counted twice";
    EXPECT_GT(starts[0].run, 2);
}

// Guards against a failure that is not counted because a failure with a higher run number was
// reported first.
TEST_F(DispatcherTest, CountsFailuresReportedInAnyOrder)
{
    add("job", {step(1)}, nullptr, true);
    const TaskRef task{{"job", 0, 0}, 0};
    join(entry("w"), {}, {{1, task, 2, RunOutcome::Failed, ""}});
    join(entry("v"), {}, {{1, task, 1, RunOutcome::Failed, ""}});
    m_dispatcher.setUnreconciledWorkers({});
    m_now += Duration(5'000);
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    report(starts[0].worker, {}, {{7, starts[0].task, starts[0].run, RunOutcome::Failed, ""}});
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

// Guards against a takeover that starts a task a second time while a run that an earlier scheduler
// started has not been reported yet.
TEST_F(DispatcherTest, JobsThatMayBeRunningWaitForAllUnreconciledWorkers)
{
    m_dispatcher.setUnreconciledWorkers({"w", "v"});
    add("old", {step(1)}, nullptr, true);
    add("new", {step(1)});
    join(entry("w"));
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.step.job, "new");
    join(entry("v"), {{TaskRef{{"old", 0, 0}, 0}, 5, "", 10, 0}});
    m_dispatcher.setUnreconciledWorkers({});
    EXPECT_TRUE(startAll().empty()) << "the task runs on v";
    report("v", {}, {{1, TaskRef{{"old", 0, 0}, 0}, 5, RunOutcome::Succeeded, ""}});
    EXPECT_EQ(state("old"), work::JobState::Completed);
}

// Guards against a takeover in which all older jobs wait for one unresponsive worker.
TEST_F(DispatcherTest, OnlyTasksPlacedOnAnUnreconciledWorkerWaitForIt)
{
    m_dispatcher.setUnreconciledWorkers({"silent"});
    work::Progress progress;
    progress.id = "job";
    progress.state = work::JobState::Running;
    work::StepProgress stored;
    stored.placedOn[0] = "silent";
    stored.placedOn[1] = "w";
    progress.steps = {stored};
    add("job", {step(3)}, &progress, false);
    join(entry("w"));
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 2U);
    for (const StartOrder &order : starts)
        EXPECT_NE(order.task.index, 0) << "it may run on the silent worker";
    const auto changed = m_dispatcher.takeProgress(HeldNow);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].steps[0].placedOn.at(0), "silent")
        << "the next scheduler still needs to know it";
    EXPECT_EQ(changed[0].steps[0].placedOn.at(2), "w");
    m_dispatcher.setUnreconciledWorkers({});
    EXPECT_EQ(startAll().size(), 1U);
}

// Guards against two runs of a task at once: a start without an answer is carried out when its
// worker starts again, while the task runs on another one. The other tasks must not wait.
TEST_F(DispatcherTest, ATaskWhoseEarlierStartMayStillBeCarriedOutRunsOnlyThere)
{
    join(entry("a", 1'000));
    add("job", {step(2)});
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 1U);
    m_lateStarts[starts[0].task] = {"a"};
    m_dispatcher.startAnswered(starts[0], StartOutcome::Unknown, m_now);
    m_dispatcher.stopAnswered({"a", starts[0].task, starts[0].run}, m_now);
    m_now += Duration(10);
    m_dispatcher.setReachable("a", false);
    report("a", {});
    join(entry("b"));
    const auto others = startAll();
    ASSERT_EQ(others.size(), 1U);
    EXPECT_NE(others[0].task, starts[0].task);
    m_dispatcher.setReachable("a", true);
    const auto again = startAll();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].worker, "a");
    // It is in doubt on two workers.
    m_lateStarts[starts[0].task] = {"a", "c"};
    report("a", {}, {ended(again[0], RunOutcome::Stopped)});
    EXPECT_TRUE(startAll().empty());
    m_lateStarts.clear();
    EXPECT_EQ(startAll().size(), 1U);
}

// Guards against a start order that is sent although its job was cancelled while the order waited
// for its log record to be stored.
TEST_F(DispatcherTest, WithdrawsAnUnsentStartOfACancelledJob)
{
    join(entry("w"));
    add("job", {step(2)});
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_TRUE(m_dispatcher.isStartCurrent(starts[0], m_now));
    m_dispatcher.cancelJob("job");
    EXPECT_FALSE(m_dispatcher.isStartCurrent(starts[0], m_now));
    for (const StartOrder &order : starts)
        m_dispatcher.startAnswered(order, StartOutcome::Withdrawn, m_now);
    EXPECT_FALSE(m_dispatcher.isBusy("w"));
    add("next", {step(1)});
    EXPECT_EQ(startAll().size(), 1U) << "a withdrawn order must not count against the worker";
}

// Guards against a task that starts on a worker that has begun to drain or has left, or in a zone
// that was taken out, after its start was decided. The task has to run elsewhere, once.
TEST_F(DispatcherTest, WithdrawsAnUnsentStartWhoseWorkerTakesNoMoreStarts)
{
    WorkerEntry draining = entry("w", 1'000);
    draining.draining = true;
    WorkerEntry elsewhere = entry("v", 1'000);
    elsewhere.availabilityZone = "z2";
    const std::map<std::string, std::function<void()>> changes = {
        {"drain", [&] { m_dispatcher.setWorker(draining); }},
        {"left", [&] { m_dispatcher.removeWorker("w"); }},
        {"zone", [&] { m_dispatcher.setZonesOut({"z1"}); }},
    };
    for (const auto &[name, change] : changes) {
        join(entry("w", 1'000));
        add(name, {step(1)});
        const auto starts = decide().starts;
        ASSERT_EQ(starts.size(), 1U) << name;
        ASSERT_EQ(starts[0].worker, "w") << name;
        EXPECT_TRUE(m_dispatcher.isStartCurrent(starts[0], m_now)) << name;
        change();
        EXPECT_FALSE(m_dispatcher.isStartCurrent(starts[0], m_now)) << name;
        m_dispatcher.startAnswered(starts[0], StartOutcome::Withdrawn, m_now);
        join(elsewhere);
        const auto again = startAll();
        ASSERT_EQ(again.size(), 1U) << name;
        EXPECT_EQ(again[0].worker, "v") << name;
        EXPECT_TRUE(startAll().empty()) << name;
        report("v", {}, {ended(again[0], RunOutcome::Succeeded)});
        EXPECT_EQ(state(name), work::JobState::Completed) << name;
        m_dispatcher.removeWorker("v");
        m_dispatcher.removeWorker("w");
        m_dispatcher.setZonesOut({});
        m_positions.clear();
    }
}

// Guards against a task that starts on a worker to which the configuration no longer sends it.
TEST_F(DispatcherTest, WithdrawsAnUnsentStartWhoseRouteWasDropped)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 1U);
    m_dispatcher.setCatalog(std::make_shared<Catalog>());
    EXPECT_FALSE(m_dispatcher.isStartCurrent(starts[0], m_now));
}

// Guards against orders that a suspended process sends when it resumes, although their jobs or
// workers may have changed meanwhile.
TEST_F(DispatcherTest, AnOldStartOrderIsNotSent)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_TRUE(m_dispatcher.isStartCurrent(starts[0], m_now + MaxStartOrderAge));
    EXPECT_FALSE(m_dispatcher.isStartCurrent(starts[0], m_now + MaxStartOrderAge + Duration(1)));
}

// Guards against a run that is stopped although its worker has listed it, because the answers to
// its start order were lost.
TEST_F(DispatcherTest, AReportedRunIsNotStoppedForALostAnswer)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 1U);
    m_now += Duration(10);
    report("w", {running(starts[0])});
    EXPECT_FALSE(m_dispatcher.isStartCurrent(starts[0], m_now)) << "needs no further attempt";
    m_dispatcher.startAnswered(starts[0], StartOutcome::Unknown, m_now);
    const Orders orders = decide();
    EXPECT_TRUE(orders.stops.empty());
    EXPECT_TRUE(orders.starts.empty());
}

TEST_F(DispatcherTest, StopsOrphanedRunsAndStartsNothingOnTheirWorker)
{
    add("job", {step(1)});
    join(entry("w"), {{TaskRef{{"gone", 0, 0}, 0}, 3, "", 10, 0}});
    const Orders orders = decide();
    ASSERT_EQ(orders.stops.size(), 1U);
    EXPECT_EQ(orders.stops[0].task.step.job, "gone");
    EXPECT_TRUE(orders.starts.empty()) << "the resources of the orphaned run are not known";
    report("w", {});
    EXPECT_EQ(startAll().size(), 1U);
}

TEST_F(DispatcherTest, RequeuesRunsThatAWorkerRestartLost)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    report("w", {}, {}, 2);
    const auto again = startAll();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].run, starts[0].run);
    EXPECT_EQ(m_dispatcher.endPosition("w"), 0);
}

TEST_F(DispatcherTest, WaitsForTheLeaseOfAnUnreachableWorker)
{
    join(entry("w"));
    add("job", {step(1)});
    ASSERT_EQ(startAll().size(), 1U);
    m_dispatcher.setReachable("w", false);
    m_dispatcher.removeWorker("w");
    join(entry("v"));
    EXPECT_TRUE(startAll().empty());
    m_dispatcher.workerLost("w");
    EXPECT_EQ(startAll().size(), 1U);
}

TEST_F(DispatcherTest, RequeuesARunThatIsNoLongerListed)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto starts = startAll();
    m_now += Duration(10);
    report("w", {});
    const auto again = startAll();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_GT(again[0].run, starts[0].run);
}

TEST_F(DispatcherTest, KeepsARunMissingFromAReportRequestedBeforeItsStart)
{
    join(entry("w"));
    add("job", {step(1)});
    const Instant requestedAt = m_now;
    ASSERT_EQ(startAll().size(), 1U);
    RunReport stale;
    stale.requestedAt = requestedAt;
    stale.startedAtMs = 1;
    m_dispatcher.workerReported("w", stale, m_now);
    EXPECT_TRUE(startAll().empty());
}

TEST_F(DispatcherTest, MovesALongRunningTaskAndItsCheckpointOffADrainingWorker)
{
    auto service = step(1);
    service.longRunning = true;
    WorkerEntry worker = entry("w");
    join(worker);
    add("job", {service});
    const auto starts = startAll();
    worker.draining = true;
    m_dispatcher.setWorker(worker);
    EXPECT_EQ(decide().stops.size(), 1U);
    join(entry("v"));
    report("w", {}, {ended(starts[0], RunOutcome::Stopped, "saved")});
    const auto again = startAll();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].worker, "v");
    EXPECT_EQ(again[0].checkpoint, "saved");
}

TEST_F(DispatcherTest, StopsAStalledRunAndAvoidsItsWorker)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto starts = startAll();
    report("w", {running(starts[0], 30)});
    m_now += Duration(3'000);
    report("w", {running(starts[0], 30)});
    EXPECT_EQ(decide().stops.size(), 1U);
    join(entry("v"));
    report("w", {}, {ended(starts[0], RunOutcome::Stopped)});
    const auto again = startAll();
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].worker, "v");
}

TEST_F(DispatcherTest, ThrottlesIdleCpuTasksWhileLatencyIsAboveTarget)
{
    join(entry("w"));
    auto service = step(1);
    service.longRunning = true;
    service.latencyObjectiveMs = 100;
    auto filler = step(1);
    filler.usesIdleCpu = true;
    add("service", {service});
    add("filler", {filler});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 2U);
    std::vector<ActiveRun> runs = {running(starts[0]), running(starts[1])};
    for (ActiveRun &run : runs)
        run.loadMetric = 150;
    report("w", runs);
    const auto slowed = decide().throttles;
    ASSERT_EQ(slowed.size(), 1U);
    EXPECT_EQ(slowed[0].task.step.job, "filler");
    EXPECT_EQ(slowed[0].speedPercent, 0);
    for (ActiveRun &run : runs)
        run.loadMetric = 20;
    m_now += Duration(1'000);
    report("w", runs);
    const auto raised = decide().throttles;
    ASSERT_EQ(raised.size(), 1U);
    EXPECT_GT(raised[0].speedPercent, 0);
}

} // namespace
// Guards against runs that stay on a worker that has become slow, and further runs that start
// there.
TEST_F(DispatcherTest, MovesResumableRunsOffASlowWorkerAndStartsElsewhere)
{
    join(entry("slow", 8'000));
    work::StepSpec saved = step(1);
    saved.checkpointing = true;
    saved.estimatedMs = 6'000;
    add("saved", {saved});
    add("quick", {step(2)});
    const auto runs = startAll();
    ASSERT_EQ(runs.size(), 3U);
    ASSERT_EQ(runs[2].task.step.job, "saved");
    join(entry("other", 16'000));
    report("slow", {running(runs[0], 0), running(runs[1], 0), running(runs[2], 0)});
    m_now += Duration(100);
    report("slow", {running(runs[0], 1), running(runs[1], 1), running(runs[2], 1)});
    m_now += Duration(1'000);
    report("slow", {running(runs[0], 15), running(runs[1], 15), running(runs[2], 3)});
    const Orders orders = decide();
    ASSERT_EQ(orders.stops.size(), 1U) << "only runs that can resume are moved";
    EXPECT_EQ(orders.stops[0].task.step.job, "saved");
    add("next", {step(1)});
    const auto next = startAll();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].worker, "other");
}

// Guards against a healthy worker that is considered slow, and runs that are moved off it, because
// the tasks of one job take longer than estimated.
TEST_F(DispatcherTest, OneUnderestimatedJobDoesNotMakeAWorkerSlow)
{
    join(entry("w", 3'000));
    work::StepSpec underestimated = step(2);
    underestimated.estimatedMs = 150;
    underestimated.checkpointing = true;
    add("job", {underestimated});
    const auto runs = startAll();
    ASSERT_EQ(runs.size(), 2U);
    report("w", {running(runs[0], 0), running(runs[1], 0)});
    m_now += Duration(100);
    report("w", {running(runs[0], 1), running(runs[1], 1)});
    m_now += Duration(1'100);
    report("w", {running(runs[0], 12), running(runs[1], 12)});
    EXPECT_TRUE(decide().stops.empty());
    join(entry("other", 16'000));
    add("next", {step(1)});
    const auto next = startAll();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].worker, "w") << "w is the fuller of two healthy workers";
}

// Guards against a task that runs again although it has succeeded, and against failures that are
// not counted: a worker that was lost and comes back numbers its finished runs from 1 again.
TEST_F(DispatcherTest, FinishedRunsOfAWorkerThatCameBackAfterItsLossCount)
{
    join(entry("w"));
    add("before", {step(2)});
    const auto former = startAll();
    ASSERT_EQ(former.size(), 2U);
    report("w", {},
           {ended(former[0], RunOutcome::Succeeded), ended(former[1], RunOutcome::Succeeded)});
    m_dispatcher.workerLost("w");
    m_positions.clear();
    report("w", {}, {}, 2);
    m_dispatcher.setReachable("w", true);
    EXPECT_EQ(m_dispatcher.endPosition("w"), 0) << "what it lists next would be acknowledged";
    add("after", {step(1)});
    const auto orders = startAll();
    ASSERT_EQ(orders.size(), 1U);
    report("w", {}, {ended(orders[0], RunOutcome::Succeeded)}, 2);
    EXPECT_EQ(state("after"), work::JobState::Completed);
    EXPECT_TRUE(decide().starts.empty());
}

// Guards against a finished run that counts again because its worker was only unresponsive.
TEST_F(DispatcherTest, TheLossOfAWorkerThatWentOnKeepsItsPosition)
{
    join(entry("w"));
    add("job", {step(1)});
    const auto orders = startAll();
    ASSERT_EQ(orders.size(), 1U);
    report("w", {}, {ended(orders[0], RunOutcome::Failed)});
    m_dispatcher.workerLost("w");
    report("w", {}, {});
    EXPECT_EQ(m_dispatcher.endPosition("w"), 1);
}

// Guards against a run that starts again although it has ended, because the report that does not
// show it lists only the first of the worker's finished runs.
TEST_F(DispatcherTest, ARunThatAFullListDoesNotShowIsKept)
{
    join(entry("w"));
    add("job", {step(3)});
    const auto orders = startAll();
    ASSERT_EQ(orders.size(), 3U);
    RunReport cut;
    cut.requestedAt = m_now;
    cut.startedAtMs = 1;
    cut.ended = {ended(orders[0], RunOutcome::Succeeded)};
    cut.moreEnded = true;
    // Longer than a run may go without progress before it counts as stalled.
    for (int i = 0; i < 4; ++i) {
        m_now += Duration(1'000);
        cut.requestedAt = m_now;
        m_dispatcher.workerReported("w", cut, m_now);
        const Orders decided = decide();
        EXPECT_TRUE(decided.starts.empty());
        EXPECT_TRUE(decided.stops.empty());
    }
    EXPECT_EQ(eventDetails("worker_ends_unlisted").size(), 1U);
    report("w", {},
           {ended(orders[1], RunOutcome::Succeeded), ended(orders[2], RunOutcome::Succeeded)});
    EXPECT_EQ(state("job"), work::JobState::Completed);
    EXPECT_TRUE(decide().starts.empty());
}

} // namespace cardamompaddle
