#include "dispatch/dispatcher_testing.h"

#include <gmock/gmock.h>

namespace cardamompaddle {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

class OverdueTest : public DispatcherTest
{
protected:
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
                                  HasSubstr("unapproved=1"), HasSubstr("calls=1"))));
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

} // namespace cardamompaddle
