#include "dispatch/dispatcher_testing.h"

namespace cardamompaddle {
namespace {

TEST_F(DispatcherTest, RunsStepsInOrderAndCompletes)
{
    join(entry("w"));
    auto second = step(1);
    second.after = {0};
    add("job", {step(2), second});
    const auto first = startAll();
    ASSERT_EQ(first.size(), 2U);
    report("w", {running(first[1])}, {ended(first[0], RunOutcome::Succeeded)});
    EXPECT_TRUE(startAll().empty())
        << "a step started before all tasks of the preceding step had ended";
    report("w", {}, {ended(first[1], RunOutcome::Succeeded)});
    const auto last = startAll();
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].task.toString(), "job.0.1.0");
    report("w", {}, {ended(last[0], RunOutcome::Succeeded)});
    EXPECT_EQ(state("job"), work::JobState::Completed);
}

TEST_F(DispatcherTest, RunsBeingStoppedStillUseCapacity)
{
    join(entry("w", 2'000));
    add("a", {step(2)});
    add("b", {step(1)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 2U);
    m_dispatcher.cancelJob("a");
    const Orders orders = decide();
    EXPECT_EQ(orders.stops.size(), 2U);
    EXPECT_TRUE(orders.starts.empty()) << "a run that is being stopped still uses its capacity";
    report("w", {running(starts[1])}, {ended(starts[0], RunOutcome::Stopped)});
    EXPECT_EQ(startAll().size(), 1U);
}

TEST_F(DispatcherTest, FailsAJobOnlyAfterMaxAttempts)
{
    join(entry("w"));
    add("job", {step(1)});
    for (int attempt = 0; attempt < 3; ++attempt) {
        EXPECT_NE(state("job"), work::JobState::Failed);
        const auto starts = startAll();
        ASSERT_EQ(starts.size(), 1U);
        report("w", {}, {ended(starts[0], RunOutcome::Failed)});
        m_now += Duration(5'000);
    }
    EXPECT_EQ(state("job"), work::JobState::Failed);
    EXPECT_TRUE(startAll().empty());
}

TEST_F(DispatcherTest, GangMembersStartTogetherWithOneRunNumber)
{
    auto gang = step(3);
    gang.gang = true;
    join(entry("w", 2'000));
    add("job", {gang});
    EXPECT_TRUE(startAll().empty()) << "a part of the gang started";
    join(entry("v", 2'000));
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 3U);
    for (const StartOrder &order : starts)
        EXPECT_EQ(order.run, starts[0].run);
    report(starts[0].worker, {}, {ended(starts[0], RunOutcome::Succeeded)});
    EXPECT_EQ(state("job"), work::JobState::Completed) << "a gang succeeds with its first member";
}

TEST_F(DispatcherTest, CountsOneFailurePerGangRunAndRestartsOnceAllMembersEnded)
{
    auto gang = step(2);
    gang.gang = true;
    m_route.maxAttempts = 2;
    setCatalog();
    join(entry("w"));
    add("job", {gang});
    auto starts = startAll();
    ASSERT_EQ(starts.size(), 2U);
    report("w", {running(starts[1])}, {ended(starts[0], RunOutcome::Failed, "c1")});
    m_now += Duration(2'000);
    EXPECT_TRUE(startAll().empty()) << "a member still runs";
    report("w", {}, {ended(starts[1], RunOutcome::GangBroken)});
    const auto again = startAll();
    ASSERT_EQ(again.size(), 2U);
    EXPECT_EQ(again[0].run, again[1].run);
    EXPECT_EQ(again[0].checkpoint, "c1");
    EXPECT_EQ(again[1].checkpoint, "c1") << "all members resume from the same checkpoint";
    report("w", {}, {ended(again[0], RunOutcome::Failed), ended(again[1], RunOutcome::Failed)});
    EXPECT_EQ(state("job"), work::JobState::Failed);
}

TEST_F(DispatcherTest, StartsNoMoreThanTheTeamLimit)
{
    m_limit.cpuMilli = 2'500;
    setCatalog();
    join(entry("w"));
    add("job", {step(5)});
    EXPECT_EQ(startAll().size(), 2U);
}

TEST_F(DispatcherTest, StartsNothingAboveALoweredTeamLimit)
{
    join(entry("w"));
    add("a", {step(4)});
    ASSERT_EQ(startAll().size(), 4U);
    m_limit.cpuMilli = 3'000;
    setCatalog();
    add("b", {step(1)});
    EXPECT_TRUE(startAll().empty());
}

TEST_F(DispatcherTest, StartsNothingInAZoneTakenOutOrOnADrainingWorker)
{
    WorkerEntry out = entry("w");
    out.availabilityZone = "z2";
    join(out);
    m_dispatcher.setZonesOut({"z2"});
    WorkerEntry draining = entry("v");
    draining.draining = true;
    join(draining);
    add("job", {step(1)});
    EXPECT_TRUE(startAll().empty());
    m_dispatcher.setZonesOut({});
    EXPECT_EQ(startAll().size(), 1U);
}

TEST_F(DispatcherTest, RestartsALongRunningTaskAfterEveryFailure)
{
    auto service = step(1);
    service.longRunning = true;
    join(entry("w"));
    add("job", {service});
    for (int i = 0; i < 6; ++i) {
        const auto starts = startAll();
        ASSERT_EQ(starts.size(), 1U) << "restart " << i;
        report(starts[0].worker, {}, {ended(starts[0], RunOutcome::Failed)});
        m_now += Duration(10'000);
    }
}

// A long-running task is started again until its job is cancelled, also after a successful run.
TEST_F(DispatcherTest, RestartsALongRunningTaskThatEndedWithSuccess)
{
    auto service = step(1);
    service.longRunning = true;
    join(entry("w"));
    add("job", {service});
    const auto starts = startAll();
    report("w", {}, {ended(starts[0], RunOutcome::Succeeded)});
    EXPECT_NE(state("job"), work::JobState::Completed);
    EXPECT_EQ(startAll().size(), 1U);
}

TEST_F(DispatcherTest, HonoursRequiredLabelAndMaxPerWorker)
{
    WorkerEntry labelled = entry("w");
    labelled.labels = {"fast"};
    join(labelled);
    join(entry("v"));
    auto constrained = step(3);
    constrained.requiredLabel = "fast";
    constrained.maxPerWorker = 2;
    add("job", {constrained});
    const auto starts = startAll();
    EXPECT_EQ(starts.size(), 2U);
    for (const StartOrder &order : starts)
        EXPECT_EQ(order.worker, "w");
}

TEST_F(DispatcherTest, RequestsApprovalAndUsesItWhileItIsValid)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.5, Duration(2'000)};
    setCatalog();
    join(entry("w"));
    join(entry("v"));
    add("job", {step(2, 8'000)});
    EXPECT_TRUE(startAll().empty()) << "a task started without approval";
    const auto pending = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000));
    ASSERT_TRUE(pending);
    EXPECT_EQ(pending->workers.size(), 2U);
    m_dispatcher.approvalRequested(*pending);
    EXPECT_FALSE(m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000)));
    work::Approval approval;
    approval.worker = "v";
    approval.ticket = "ticket";
    const std::vector<work::Approval> answer = {approval};
    m_dispatcher.approvalAnswered(*pending, &answer, m_now, m_now + Duration(50));
    m_now += Duration(50);
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].worker, "v");
    EXPECT_EQ(starts[0].ticket, "ticket");
    report("v", {}, {ended(starts[0], RunOutcome::Succeeded)});
    m_now += Duration(2'000);
    EXPECT_TRUE(startAll().empty()) << "the approval has expired";
    const auto again = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->workers, std::vector<WorkerId>{"v"}) << "w was not approved";
}

TEST_F(DispatcherTest, UsesHigherRunNumbersUnderAHigherEpoch)
{
    Dispatcher later({2, 1.0}, nullptr);
    join(entry("w"));
    add("job", {step(1)});
    const auto first = startAll();
    auto catalog = std::make_shared<Catalog>();
    WorkRoute route;
    route.name = "r";
    route.pool = "p";
    catalog->routes["r"] = route;
    later.setCatalog(catalog);
    later.setWorker(entry("v"));
    RunReport empty;
    later.workerReported("v", empty, m_now);
    later.setReachable("v", true);
    later.addJob(first[0].job, {}, false);
    const auto orders = later.decide(m_now, UnixNow);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_GT(orders.starts[0].run, first[0].run);
}

TEST_F(DispatcherTest, StartsAnOccurrenceWhenItIsDue)
{
    join(entry("w"));
    auto job = std::make_shared<work::Submission>();
    job->id = "job";
    job->route = "r";
    job->team = "t";
    job->steps = {step(1)};
    job->repetitions = 2;
    job->firstDueMs = UnixNow + 1'000;
    job->intervalMs = 500;
    m_dispatcher.addJob(job, {}, false);
    EXPECT_TRUE(decide().starts.empty());
    const auto next = m_dispatcher.nextEvent(m_now, UnixNow);
    ASSERT_TRUE(next);
    EXPECT_EQ(*next - m_now, Duration(1'000));
    EXPECT_EQ(m_dispatcher.decide(m_now, UnixNow + 1'000).starts.size(), 1U);
    EXPECT_EQ(m_dispatcher.decide(m_now, UnixNow + 1'500).starts.size(), 1U);
}

// Guards against a timer for the far future that overflows and expires at once, again and again.
TEST_F(DispatcherTest, TheNextEventIsSoonEnoughForATimer)
{
    auto job = std::make_shared<work::Submission>();
    job->id = "job";
    job->route = "r";
    job->team = "t";
    job->steps = {step(1)};
    job->repetitions = 2;
    job->firstDueMs = 9'000'000'000'000'000;
    m_dispatcher.addJob(job, {}, false);
    const auto next = m_dispatcher.nextEvent(m_now, UnixNow);
    ASSERT_TRUE(next);
    EXPECT_GT(*next, m_now);
    EXPECT_LE(*next - m_now, Duration(86'400'000));
}

// Guards against decisions that depend on the addresses of records in memory, as iteration over a
// set of pointers does.
TEST_F(DispatcherTest, OrdersDoNotDependOnMemoryLayout)
{
    const auto runScenario = [this](bool fragment) {
        Dispatcher dispatcher({1, 1.0}, nullptr);
        std::vector<std::unique_ptr<char[]>> blocks;
        const auto fragmentHeap = [&] {
            // Frees every second block, so that later records land between the remaining ones.
            for (size_t i = 0; fragment && i < 200; ++i)
                blocks.push_back(std::make_unique<char[]>(40 + 8 * (i % 20)));
            for (size_t i = 0; i < blocks.size(); i += 2)
                blocks[blocks.size() - 1 - i].reset();
        };
        auto catalog = std::make_shared<Catalog>();
        WorkRoute route;
        route.name = "r";
        route.pool = "p";
        catalog->routes["r"] = route;
        dispatcher.setCatalog(catalog);
        dispatcher.setWorker(entry("w", 100'000));
        dispatcher.workerReported("w", {}, m_now);
        dispatcher.setReachable("w", true);
        std::string decisions;
        for (int i = 0; i < 12; ++i) {
            fragmentHeap();
            auto job = std::make_shared<work::Submission>();
            job->id = "job" + std::to_string(i);
            job->route = "r";
            job->steps = {step(3, 100)};
            dispatcher.addJob(job, {}, false);
            for (const StartOrder &order : dispatcher.decide(m_now, UnixNow).starts)
                decisions += order.task.toString() + " ";
        }
        for (int i = 0; i < 12; ++i)
            dispatcher.cancelJob("job" + std::to_string((i * 7) % 12));
        for (const StopOrder &order : dispatcher.decide(m_now, UnixNow).stops)
            decisions += order.task.toString() + " ";
        for (const work::Progress &progress : dispatcher.takeProgress(HeldNow))
            decisions += progress.id + " ";
        return decisions;
    };
    EXPECT_EQ(runScenario(false), runScenario(true));
}

TEST(TaskRefTest, ParsesTheOutputOfToString)
{
    TaskRef task;
    ASSERT_TRUE(TaskRef::parse("5c0e7a21d94b36f8.2.1.17", task));
    EXPECT_EQ(task.toString(), "5c0e7a21d94b36f8.2.1.17");
    for (const char *bad : {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1..3", "a.1.2.-3", "a.1.2."})
        EXPECT_FALSE(TaskRef::parse(bad, task)) << bad;
}

} // namespace
// Guards against a task that waits until the tenure ends: the policy service left out a worker that
// was down when it was asked, and the worker is not asked for again once it is back.
TEST_F(DispatcherTest, ARestartedWorkerIsAskedForAgain)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.5, Duration(2'000)};
    setCatalog();
    join(entry("v"));
    add("job", {step(1)});
    const auto pending = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000));
    ASSERT_TRUE(pending);
    m_dispatcher.approvalRequested(*pending);
    const std::vector<work::Approval> none;
    m_dispatcher.approvalAnswered(*pending, &none, m_now, m_now + Duration(50));
    m_now += Duration(1'000);
    EXPECT_FALSE(m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000)));
    report("v", {}, {}, 2);
    const auto again = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->workers, std::vector<WorkerId>{"v"});
}

// Guards against the same if the worker left the registry in between.
TEST_F(DispatcherTest, AWorkerThatIsListedAgainIsAskedForAgain)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.5, Duration(2'000)};
    setCatalog();
    join(entry("v"));
    add("job", {step(1)});
    const auto pending = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000));
    ASSERT_TRUE(pending);
    m_dispatcher.approvalRequested(*pending);
    const std::vector<work::Approval> none;
    m_dispatcher.approvalAnswered(*pending, &none, m_now, m_now + Duration(50));
    m_dispatcher.removeWorker("v");
    m_now += Duration(1'000);
    m_dispatcher.setWorker(entry("v"));
    report("v", {}, {}, 2);
    m_dispatcher.setReachable("v", true);
    EXPECT_TRUE(m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000)));
}

// Guards against the same if the worker restarts while the policy service is asked.
TEST_F(DispatcherTest, AnAnswerAboutAFormerIncarnationIsIgnored)
{
    m_route.approval = ApprovalPolicy{Duration(20), 0.5, Duration(2'000)};
    setCatalog();
    join(entry("v"));
    add("job", {step(1)});
    const auto pending = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000));
    ASSERT_TRUE(pending);
    m_dispatcher.approvalRequested(*pending);
    const Instant askedAt = m_now;
    m_now += Duration(20);
    report("v", {}, {}, 2);
    const std::vector<work::Approval> none;
    m_dispatcher.approvalAnswered(*pending, &none, askedAt, m_now + Duration(30));
    m_now += Duration(1'000);
    EXPECT_TRUE(m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000)));
}

} // namespace cardamompaddle
