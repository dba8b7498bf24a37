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

} // namespace cardamompaddle
