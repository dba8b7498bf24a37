#include "dispatch/dispatcher_testing.h"

#include <gmock/gmock.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

class OverdueTest : public DispatcherTest
{
protected:
    static PendingApproval callFor(const std::string &job, std::vector<WorkerId> workers)
    {
        PendingApproval out;
        out.step = {job, 0, 0};
        out.workers = std::move(workers);
        out.validity = Duration(2'000);
        return out;
    }
    // Returns the reported waits after `wait`.
    std::vector<std::string> overdueAfter(Duration wait)
    {
        m_dispatcher.reportOverdueTasks(m_now, UnixNow);
        m_now += wait;
        decide();
        m_events.clear();
        m_dispatcher.reportOverdueTasks(m_now, UnixNow);
        return eventDetails("task_overdue");
    }
    WaitingSteps waiting(StepWait reason) const
    {
        return m_dispatcher.waitingSteps(m_now, UnixNow).at(static_cast<size_t>(reason));
    }
};

// Guards against a task that waits for an unresponsive worker without leaving a line in the log.
TEST_F(OverdueTest, NamesTheWorkerThatMayStillRunTheTask)
{
    join(entry("w"));
    m_dispatcher.setUnreconciledWorkers({"silent"});
    work::StepProgress placed;
    placed.placedOn = {{0, "silent"}};
    work::Progress progress;
    progress.id = "j";
    progress.state = work::JobState::Running;
    progress.steps = {placed};
    add("j", {step(1)}, &progress);
    EXPECT_THAT(overdueAfter(Duration(3'000)),
                ElementsAre(AllOf(HasSubstr("task=j.0.0.0 waited_ms=3000"),
                                  HasSubstr("may_run_on=silent"), HasSubstr("usable=1"))));
}

TEST_F(OverdueTest, CountsWorkersByTheReasonThatExcludesThem)
{
    join(entry("full", 1'000));
    m_dispatcher.setWorker(entry("silent"));
    m_dispatcher.setReachable("silent", false);
    WorkerEntry draining = entry("draining");
    draining.draining = true;
    join(draining);
    add("j", {step(1, 2'000)});
    EXPECT_THAT(overdueAfter(Duration(3'000)),
                ElementsAre(AllOf(HasSubstr("reason=room"), HasSubstr("full=1"),
                                  HasSubstr("silent=1"), HasSubstr("unusable=1"))));
}

// Guards against an approval that never comes being taken for a lack of room.
TEST_F(OverdueTest, ShowsTheStateOfApprovals)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.1, Duration(2'000)};
    setCatalog();
    join(entry("denied"));
    join(entry("unasked"));
    add("j", {step(1)});
    const auto pending = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration::max())
                             .value_or(PendingApproval{});
    m_dispatcher.approvalRequested(pending);
    PendingApproval about = pending;
    about.workers = {"denied"};
    const std::vector<work::Approval> none;
    m_dispatcher.approvalAnswered(about, &none, m_now, m_now);
    m_dispatcher.approvalRequested(pending);
    EXPECT_THAT(overdueAfter(Duration(3'000)),
                ElementsAre(AllOf(HasSubstr("reason=approval"), HasSubstr("denied=1"),
                                  HasSubstr("unapproved=1"), HasSubstr("calls_active=1"),
                                  HasSubstr("calls_answered=1"), HasSubstr("calls_failed=0"))));
}

// Guards against full callers of the policy service that look like a service that denies all.
TEST_F(OverdueTest, ShowsHowBusyTheCallersOfThePolicyServiceAre)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.1, Duration(2'000)};
    setCatalog();
    join(entry("w"));
    add("j", {step(1)});
    m_dispatcher.setApprovalCallers({8, 8});
    EXPECT_THAT(overdueAfter(Duration(3'000)),
                ElementsAre(HasSubstr("callers_busy=8/8 oldest_without_call_ms=3000")));
    const auto pending = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration::max())
                             .value_or(PendingApproval{});
    m_dispatcher.approvalRequested(pending);
    EXPECT_EQ(m_dispatcher.approvalLoad(m_now, UnixNow).longestWaitForCall, Duration::zero());
}

TEST_F(OverdueTest, AWaitEndsWithAStart)
{
    join(entry("w"));
    work::StepSpec lasting = step(1);
    lasting.longRunning = true;
    add("j", {lasting});
    m_dispatcher.reportOverdueTasks(m_now, UnixNow);
    m_now += Duration(2'000);
    const StartOrder order = startAll().at(0);
    m_now += Duration(60'000);
    report("w", {}, {ended(order, RunOutcome::Failed)});
    EXPECT_THAT(overdueAfter(Duration(1)), IsEmpty());
}

// Guards against a wait of 3 s, the bound promised to users, that leaves no line.
TEST_F(OverdueTest, AStepIsReportedFromTwoSecondsOn)
{
    add("j", {step(1)});
    decide();
    EXPECT_THAT(overdueAfter(Duration(1'999)), IsEmpty());
    EXPECT_THAT(overdueAfter(Duration(1)),
                ElementsAre(AllOf(HasSubstr("waited_ms=2000"), HasSubstr("reason=room"))));
}

// Guards against a line that does not tell which missing route a job waits for.
TEST_F(OverdueTest, AJobWithoutARouteIsReported)
{
    m_jobRoute = "removed";
    join(entry("w"));
    add("j", {step(1)});
    EXPECT_THAT(overdueAfter(Duration(2'000)),
                ElementsAre(AllOf(HasSubstr("reason=no_route"), HasSubstr("route=removed"))));
}

// Guards against a line without a reason while an earlier scheduler may have started the job.
TEST_F(OverdueTest, AJobThatMayBeRunningIsReported)
{
    m_dispatcher.setUnreconciledWorkers({"silent"});
    join(entry("w"));
    add("j", {step(1)}, nullptr, true);
    EXPECT_THAT(
        overdueAfter(Duration(2'000)),
        ElementsAre(AllOf(HasSubstr("reason=job_may_run"), HasSubstr("unreconciled_workers=1"))));
}

// Guards against a line without a reason while a member of a gang is still being stopped.
TEST_F(OverdueTest, AnInterruptedGangIsReported)
{
    join(entry("v", 1'000));
    join(entry("w", 1'000));
    work::StepSpec gang = step(2);
    gang.gang = true;
    add("j", {gang});
    const std::vector<StartOrder> orders = startAll();
    ASSERT_EQ(orders.size(), 2U);
    report(orders[0].worker, {}, {ended(orders[0], RunOutcome::Failed)});
    EXPECT_THAT(overdueAfter(Duration(2'000)),
                ElementsAre(AllOf(HasSubstr("reason=gang_ends"), HasSubstr("active=1"),
                                  HasSubstr("stopping=1"))));
}

// Guards against a gang that is said to lack room while one of its members may not start yet.
TEST_F(OverdueTest, ABackoffIsTheReasonOfAGang)
{
    join(entry("w"));
    work::StepSpec gang = step(2);
    gang.gang = true;
    add("j", {gang});
    const std::vector<StartOrder> orders = startAll();
    ASSERT_EQ(orders.size(), 2U);
    report("w", {}, {ended(orders[0], RunOutcome::Failed), ended(orders[1], RunOutcome::Stopped)});
    decide();
    EXPECT_EQ(waiting(StepWait::Backoff).count, 1);
    EXPECT_EQ(waiting(StepWait::Room).count, 0);
    m_now += Duration(10'000);
    EXPECT_EQ(waiting(StepWait::Backoff).count, 0);
}

// Guards against a wait for the team's limit from which the limit cannot be told.
TEST_F(OverdueTest, ShowsTheLimitOfTheTeamAndThatThereIsRoom)
{
    m_limit = {3'000, 0, 0, 0, 0};
    setCatalog();
    join(entry("w"));
    add("small", {step(1)});
    ASSERT_EQ(startAll().size(), 1U);
    work::StepSpec gang = step(3);
    gang.gang = true;
    add("wide", {gang});
    EXPECT_THAT(
        overdueAfter(Duration(2'000)),
        ElementsAre(AllOf(HasSubstr("reason=team_limit"), HasSubstr(" wants=3000/300/0"),
                          HasSubstr(" team_use=1000/100/0"), HasSubstr(" team_limit=3000/0/0"),
                          HasSubstr(" unreported_use=0/0/0"), HasSubstr("over_limit=true"),
                          HasSubstr("has_room=true"), HasSubstr(" places=3/3"))));
}

// Guards against a step of which the log does not show whether approvals or room are missing.
TEST_F(OverdueTest, ShowsThePlacesByApproval)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.1, Duration(2'000)};
    setCatalog();
    for (const char *id : {"approved", "denied", "expired"})
        join(entry(id, 4'000));
    join(entry("unknown", 2'000));
    add("filler", {step(1, 3'000)});
    add("j", {step(4, 2'000)});
    const auto answer = [this](const char *job, std::vector<WorkerId> asked,
                               const std::vector<WorkerId> &approved, Instant at) {
        std::vector<work::Approval> out;
        for (const WorkerId &id : approved) {
            out.emplace_back();
            out.back().worker = id;
        }
        const PendingApproval pending = callFor(job, std::move(asked));
        m_dispatcher.approvalAnswered(pending, &out, at, m_now);
    };
    m_now += Duration(200); // calls name workers that have reported
    answer("filler", {"approved"}, {"approved"}, m_now);
    ASSERT_EQ(startAll().size(), 1U);
    m_dispatcher.reportOverdueTasks(m_now, UnixNow);
    answer("j", {"expired"}, {"expired"}, m_now - Duration(100));
    m_now += Duration(2'000);
    answer("j", {"approved", "denied"}, {"approved"}, m_now);
    m_dispatcher.approvalAnswered(callFor("j", {"unknown"}), nullptr, m_now, m_now);
    m_dispatcher.reportOverdueTasks(m_now, UnixNow);
    EXPECT_THAT(eventDetails("task_overdue"),
                ElementsAre(AllOf(HasSubstr("has_room=false"), HasSubstr("approved_places=0/2"),
                                  HasSubstr("expired_places=2/2"), HasSubstr("unknown_places=1/1"),
                                  HasSubstr("denied_places=2/2"), HasSubstr("calls_answered=2"),
                                  HasSubstr("calls_failed=1"))));
}

// Guards against steps whose waits are never reported because the same ones come first each time.
TEST_F(OverdueTest, AllStepsAreReportedByTurns)
{
    constexpr int Jobs = 20;
    for (int i = 0; i < Jobs; ++i)
        add("j" + std::to_string(i), {step(1)});
    std::set<std::string> reported;
    size_t lines = overdueAfter(Duration(2'000)).size();
    for (int i = 0; i < 3; ++i) {
        for (const DispatchEvent &event : m_events)
            reported.insert(event.job);
        m_events.clear();
        m_now += Duration(1'000);
        m_dispatcher.reportOverdueTasks(m_now, UnixNow);
        lines = std::max(lines, eventDetails("task_overdue").size());
    }
    EXPECT_EQ(reported.size(), static_cast<size_t>(Jobs));
    EXPECT_LT(lines, static_cast<size_t>(Jobs));
}

// Guards against a wait that counts from before a run which was found on a worker.
TEST_F(OverdueTest, AnAdoptedRunEndsTheWait)
{
    join(entry("w"));
    add("j", {step(1, 9'000)});
    decide();
    m_now += Duration(60'000);
    ActiveRun run;
    run.task = {{"j", 0, 0}, 0};
    run.run = 1;
    report("w", {run});
    report("w", {}, {{1, run.task, 1, RunOutcome::Failed, ""}});
    EXPECT_THAT(overdueAfter(Duration(1'000)), IsEmpty());
}

// Guards against metrics that hide a long wait among others or under another reason.
TEST_F(OverdueTest, CountsWaitingStepsByReason)
{
    join(entry("w", 1'000));
    add("early", {step(1, 2'000)});
    add("running", {step(1)});
    decide();
    m_now += Duration(700);
    add("late", {step(1, 2'000)});
    m_jobRoute = "removed";
    add("lost", {step(1)});
    decide();
    EXPECT_EQ(waiting(StepWait::Room).count, 2);
    EXPECT_EQ(waiting(StepWait::Room).longestWait, Duration(700));
    EXPECT_EQ(waiting(StepWait::NoRoute).count, 1);
    EXPECT_EQ(waiting(StepWait::TeamLimit).count, 0);
    m_dispatcher.cancelJob("early");
    EXPECT_EQ(waiting(StepWait::Room).count, 1);
    EXPECT_EQ(waiting(StepWait::Room).longestWait, Duration(0));
}

} // namespace cardamompaddle
