#include "dispatch/dispatcher_testing.h"

#include <algorithm>

namespace cardamompaddle {

namespace {

// A dispatcher that may start copies, and workers for one task of a step each. Unlike in
// DispatcherTest, the time of day goes on, and a later scheduler can take over.
class CopiesTest : public ::testing::Test
{
protected:
    static constexpr Duration UsualRunTime{1'000};
    static constexpr int32_t Tasks = 4;

    CopiesTest() { beginTenure({}); }

    // Starts a scheduler that knows the stored progress. Workers other than those named have not
    // reported to it.
    void beginTenure(const std::set<WorkerId> &reported, std::set<WorkerId> unreconciled = {})
    {
        ++m_epoch;
        DispatchOptions options;
        options.epoch = m_epoch;
        options.lateStartWorkers = [this](const TaskRef &task) {
            const auto it = m_lateStarts.find(task);
            return it == m_lateStarts.end() ? nullptr : &it->second;
        };
        options.policies.maxCopyShare = m_maxShare;
        m_dispatcher = std::make_unique<Dispatcher>(
            options, [this](const DispatchEvent &event) { m_events.push_back(event); });
        setCatalog();
        m_dispatcher->setRecordedWorkers(unreconciled);
        m_dispatcher->setUnreconciledWorkers(std::move(unreconciled));
        for (const auto &[id, job] : m_jobs) {
            std::vector<const work::Progress *> parts;
            if (const auto it = m_stored.find(id); it != m_stored.end())
                parts.push_back(&it->second);
            m_dispatcher->addJob(job, parts, m_epoch > 1);
        }
        for (const WorkerId &id : reported)
            join(id);
    }
    void setCatalog()
    {
        auto catalog = std::make_shared<Catalog>();
        for (const int32_t priority : {0, 2}) {
            WorkRoute route{"",    "",        "/", "p", priority, m_maxAttempts, 1.5, Duration(250),
                            false, m_approval};
            route.name = priority == 0 ? "quick" : "batch";
            catalog->routes[route.name] = route;
        }
        Team team;
        team.name = "t";
        team.limit = m_limit;
        catalog->teams["t"] = team;
        m_dispatcher->setCatalog(catalog);
    }
    void join(const WorkerId &id, std::vector<ActiveRun> running = {})
    {
        WorkerEntry entry;
        entry.id = id;
        entry.address = "10.0.0." + id.substr(1) + ":80";
        entry.pool = "p";
        entry.availabilityZone = "z1";
        entry.capacity = {m_workerCpuMilli, 10'000, 0, 0, 0};
        m_dispatcher->setWorker(entry);
        report(id, std::move(running));
        m_dispatcher->setReachable(id, true);
    }
    void joinAll()
    {
        for (const char *id : {"w1", "w2", "w3", "w4"})
            join(id);
    }
    void report(const WorkerId &id, std::vector<ActiveRun> running,
                std::vector<EndedRun> ended = {})
    {
        RunReport out;
        out.requestedAt = m_now;
        out.startedAtMs = 1;
        out.running = std::move(running);
        out.ended = std::move(ended);
        m_dispatcher->workerReported(id, out, m_now);
    }
    static work::StepSpec copyStep(int32_t tasks = Tasks)
    {
        work::StepSpec out = step(tasks);
        out.copiesAllowed = true;
        out.maxPerWorker = 1;
        return out;
    }
    void add(const std::string &id, std::vector<work::StepSpec> steps,
             const std::string &route = "quick")
    {
        auto job = std::make_shared<work::Submission>();
        job->id = id;
        job->route = route;
        job->team = "t";
        job->steps = std::move(steps);
        job->acceptedAtMs = unixMs();
        m_jobs[id] = job;
        m_dispatcher->addJob(job, {}, false);
    }
    int64_t unixMs() const { return UnixNow + toMs(m_now); }
    Orders decide() { return m_dispatcher->decide(m_now, unixMs()); }
    void answer(const StartOrder &order, StartOutcome outcome = StartOutcome::Started)
    {
        m_dispatcher->startAnswered(order, outcome, m_now);
    }
    std::vector<StartOrder> startAll()
    {
        auto starts = decide().starts;
        for (const StartOrder &order : starts)
            answer(order);
        return starts;
    }
    EndedRun ended(const StartOrder &order, RunOutcome outcome)
    {
        return {++m_positions[order.worker], order.task, order.run, outcome, ""};
    }
    static ActiveRun running(const StartOrder &order, int32_t percent = 10)
    {
        return {order.task, order.run, "", percent, 0};
    }
    // Starts a job of one step of which all tasks but the last one succeed in the usual time, while
    // that one has made little progress. Returns the start of its run.
    StartOrder startStraggler(const std::vector<work::StepSpec> &steps = {copyStep()})
    {
        joinAll();
        add("job", steps);
        const auto starts = startAll();
        EXPECT_EQ(starts.size(), static_cast<size_t>(Tasks));
        m_now += UsualRunTime;
        std::map<WorkerId, std::vector<EndedRun>> finished;
        for (size_t i = 0; i + 1 < starts.size(); ++i)
            finished[starts[i].worker].push_back(ended(starts[i], RunOutcome::Succeeded));
        const StartOrder &last = starts.back();
        finished.try_emplace(last.worker);
        for (const auto &[id, ends] : finished)
            report(id, id == last.worker ? std::vector{running(last)} : std::vector<ActiveRun>(),
                   ends);
        return starts.back();
    }
    // As startStraggler(), and starts the copy, which runs if `outcome` is Started.
    void startPair(const std::vector<work::StepSpec> &steps = {copyStep()})
    {
        m_first = startStraggler(steps);
        const auto starts = decide().starts;
        ASSERT_EQ(starts.size(), 1U);
        m_copy = starts[0];
    }
    void startRunningPair(const std::vector<work::StepSpec> &steps = {copyStep()})
    {
        startPair(steps);
        answer(m_copy);
        m_now += Duration(10);
    }
    // Stores the progress as the log does.
    void store()
    {
        for (const work::Progress &progress : m_dispatcher->takeProgress(HeldNow))
            m_stored[progress.id] = progress;
    }
    work::JobState::type state()
    {
        store();
        return m_stored["job"].state;
    }
    bool hasEvent(std::string_view name) const
    {
        return std::any_of(m_events.begin(), m_events.end(),
                           [name](const DispatchEvent &it) { return it.name == name; });
    }
    size_t stopsFor(const StartOrder &order)
    {
        const auto stops = decide().stops;
        return static_cast<size_t>(
            std::count_if(stops.begin(), stops.end(), [&order](const StopOrder &it) {
                return it.worker == order.worker && it.task == order.task && it.run == order.run;
            }));
    }
    // Returns how many tasks of another job can start.
    size_t startsOf(const work::StepSpec &spec)
    {
        add("other", {spec});
        return decide().starts.size();
    }

    double m_maxShare = 0.5;
    int32_t m_maxAttempts = 3;
    int64_t m_workerCpuMilli = 4'000;
    Resources m_limit;
    std::optional<ApprovalPolicy> m_approval;
    int64_t m_epoch = 0;
    Instant m_now = instantFromMs(100'000);
    std::map<TaskRef, std::set<WorkerId>> m_lateStarts;
    std::vector<DispatchEvent> m_events;
    std::map<std::string, std::shared_ptr<const work::Submission>> m_jobs;
    std::map<std::string, work::Progress> m_stored;
    std::map<WorkerId, int64_t> m_positions;
    std::unique_ptr<Dispatcher> m_dispatcher;
    StartOrder m_first; // of the task that has a copy
    StartOrder m_copy;
};

class CopiesOffTest : public CopiesTest
{
protected:
    CopiesOffTest()
    {
        m_maxShare = 0;
        m_epoch = 0;
        beginTenure({});
    }
};

} // namespace

// Guards against a copy that shares the worker or the run number of the first run, and against one
// that is sent before its record is stored.
TEST_F(CopiesTest, AStragglerGetsOneCopyOnAnotherWorker)
{
    startRunningPair();
    EXPECT_EQ(m_copy.task, m_first.task);
    EXPECT_NE(m_copy.worker, m_first.worker);
    EXPECT_GT(m_copy.run, m_first.run);
    EXPECT_TRUE(m_copy.copy);
    EXPECT_FALSE(m_first.copy);
    EXPECT_TRUE(hasEvent("copy_started"));
    for (int i = 0; i < 10; ++i) {
        m_now += Duration(200);
        report(m_first.worker, {running(m_first, 10 + i)});
        EXPECT_TRUE(decide().starts.empty()) << "no third run";
    }
}

// Guards against two runs of a task on one worker, where one fault ends both.
TEST_F(CopiesTest, ACopyLeavesTheWorkerOfTheFirstRunAlsoIfItFitsBest)
{
    work::StepSpec spec = copyStep();
    spec.maxPerWorker = 0;
    const StartOrder first = startStraggler({spec});
    const auto copies = decide().starts;
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_NE(copies[0].worker, first.worker);
}

// Guards against copies where the operators have not asked for any.
TEST_F(CopiesOffTest, NothingIsCopied)
{
    startStraggler();
    const Orders orders = decide();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_TRUE(orders.stops.empty());
    EXPECT_FALSE(m_dispatcher->nextEvent(m_now, unixMs())) << "and nothing is checked again";
}

// Guards against two runs of a task whose step does not allow them.
TEST_F(CopiesTest, OnlyIndependentTasksOfStepsThatAllowCopiesAreCopied)
{
    work::StepSpec exclusive = copyStep();
    exclusive.copiesAllowed = false;
    startStraggler({exclusive});
    EXPECT_TRUE(decide().starts.empty());
}

TEST_F(CopiesTest, ARunWithACheckpointIsNotCopied)
{
    const StartOrder first = startStraggler();
    ActiveRun saved = running(first, 11);
    saved.checkpoint = "saved";
    report(first.worker, {saved});
    EXPECT_TRUE(decide().starts.empty());
}

// Guards against a run that goes on after the other one has succeeded, because the stop was lost.
TEST_F(CopiesTest, TheFirstSuccessWinsAndTheStopOfTheOtherIsRepeated)
{
    work::StepSpec next = step(1);
    next.after = {0};
    startRunningPair({copyStep(), next});
    report(m_copy.worker, {}, {ended(m_copy, RunOutcome::Succeeded)});
    EXPECT_TRUE(hasEvent("copy_won"));
    const Orders orders = decide();
    EXPECT_EQ(orders.stops.size(), 1U);
    ASSERT_EQ(orders.starts.size(), 1U) << "the next step goes on";
    EXPECT_EQ(orders.starts[0].task.step.step, 1);
    m_now += Duration(700);
    EXPECT_EQ(stopsFor(m_first), 1U) << "the answer to the first one was lost";
    m_dispatcher->stopAnswered({m_first.worker, m_first.task, m_first.run}, m_now);
    m_now += Duration(700);
    EXPECT_EQ(stopsFor(m_first), 0U);
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Failed)});
    EXPECT_EQ(state(), work::JobState::Running) << "the task has succeeded";
    EXPECT_TRUE(m_stored["job"].steps[0].failedRuns.empty());
}

TEST_F(CopiesTest, TheCopyIsStoppedWhenTheFirstRunSucceeds)
{
    startRunningPair();
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_EQ(state(), work::JobState::Completed);
    EXPECT_EQ(stopsFor(m_copy), 1U);
    EXPECT_FALSE(hasEvent("copy_won"));
    EXPECT_TRUE(m_dispatcher->hasJob("job")) << "a run of it is being stopped";
    report(m_copy.worker, {}, {ended(m_copy, RunOutcome::Stopped)});
    store();
    EXPECT_FALSE(m_dispatcher->hasJob("job"));
}

// Guards against a copy that starts although the task has succeeded while its record was stored.
TEST_F(CopiesTest, ACopyThatWasNotSentYetIsWithdrawn)
{
    startPair();
    EXPECT_TRUE(m_dispatcher->isStartCurrent(m_copy, m_now));
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_FALSE(m_dispatcher->isStartCurrent(m_copy, m_now));
}

// Guards against a worker that carries out the start of a copy late, long after it was acknowledged
// that the task has succeeded.
TEST_F(CopiesTest, ASuccessIsAcknowledgedOnceTheCopyCannotStartAnyMore)
{
    startPair();
    const int64_t before = m_dispatcher->endPosition(m_first.worker);
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_EQ(state(), work::JobState::Completed) << "the success counts at once";
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), before);
    answer(m_copy, StartOutcome::Unknown);
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), before) << "it may start late";
    m_dispatcher->stopAnswered({m_copy.worker, m_copy.task, m_copy.run}, m_now);
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), before + 1);
}

TEST_F(CopiesTest, ASuccessIsAcknowledgedAtOnceIfTheCopyRuns)
{
    startRunningPair();
    const int64_t before = m_dispatcher->endPosition(m_first.worker);
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), before + 1);
}

// Guards against the same if the worker of the copy has started again, so that the run is lost, but
// its start is still under way.
TEST_F(CopiesTest, ASuccessIsNotAcknowledgedWhileAnEarlierStartMayComeLate)
{
    startPair();
    const int64_t before = m_dispatcher->endPosition(m_first.worker);
    m_lateStarts[m_copy.task] = {m_copy.worker};
    m_dispatcher->workerLost(m_copy.worker);
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    store();
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), before) << "also if the job is forgotten";
    m_lateStarts.clear();
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), before + 1);
}

// Guards against a copy of a task that has another start under way.
TEST_F(CopiesTest, ATaskWithALateStartIsNotCopied)
{
    const StartOrder first = startStraggler();
    m_lateStarts[first.task] = {first.worker == "w1" ? "w2" : "w1"};
    EXPECT_TRUE(decide().starts.empty());
}

// Guards against a failure that ends the other run, or that is not counted.
TEST_F(CopiesTest, AFailureOfOneRunCountsAndLeavesTheOther)
{
    startRunningPair();
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Failed)});
    Orders orders = decide();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_TRUE(orders.stops.empty());
    report(m_copy.worker, {running(m_copy)});
    EXPECT_EQ(state(), work::JobState::Running);
    EXPECT_EQ(m_stored["job"].steps[0].failedRuns.size(), 1U);
    report(m_copy.worker, {}, {ended(m_copy, RunOutcome::Failed)});
    EXPECT_EQ(state(), work::JobState::Running) << "two of three attempts";
    m_now += Duration(200);
    const auto again = startAll();
    ASSERT_EQ(again.size(), 1U);
    report(again[0].worker, {}, {ended(again[0], RunOutcome::Failed)});
    EXPECT_EQ(state(), work::JobState::Failed);
}

// Guards against a pair whose first failure is the task's last one, so that it ends the other run
// or makes the task start too often.
TEST_F(CopiesTest, ATaskBeforeItsLastAttemptIsNotCopied)
{
    m_maxAttempts = 1;
    setCatalog();
    startStraggler();
    EXPECT_TRUE(decide().starts.empty());
}

// Guards against a task that starts again while one of its runs is still active.
TEST_F(CopiesTest, TheOtherRunGoesOnWhenOneIsLostOrStopped)
{
    startRunningPair();
    m_dispatcher->workerLost(m_first.worker);
    EXPECT_TRUE(decide().starts.empty());
    report(m_copy.worker, {}, {ended(m_copy, RunOutcome::Stopped)});
    EXPECT_EQ(decide().starts.size(), 1U) << "none is left";
}

TEST_F(CopiesTest, TheFirstRunGoesOnWhenTheCopyIsRefusedOrMissing)
{
    startPair();
    answer(m_copy, StartOutcome::NoRoom);
    m_now += Duration(50);
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_EQ(state(), work::JobState::Completed);
    EXPECT_FALSE(m_dispatcher->hasJob("job"));
}

// Guards against copies without end of a task whose copies are refused each time.
TEST_F(CopiesTest, TheNumberOfCopiesOfATaskIsBounded)
{
    startPair();
    size_t copies = 1;
    for (int i = 0; i < 10; ++i) {
        answer(m_copy, StartOutcome::WorkerUnavailable);
        m_now += Duration(20);
        const auto starts = decide().starts;
        copies += starts.size();
        if (!starts.empty())
            m_copy = starts[0];
    }
    EXPECT_EQ(copies, 2U);
}

// Guards against copies beyond the permitted share of the pool's processors.
TEST_F(CopiesTest, CopiesFitIntoTheBudget)
{
    m_maxShare = 0.06; // 960 of 16,000 thousandths of a core
    m_epoch = 0;
    beginTenure({});
    startStraggler();
    EXPECT_TRUE(decide().starts.empty());
}

TEST_F(CopiesTest, ActiveCopiesCountAgainstTheBudget)
{
    m_maxShare = 0.1; // one core and a half
    m_epoch = 0;
    beginTenure({});
    startRunningPair();
    add("second", {copyStep()});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 4U);
    m_now += UsualRunTime;
    for (const StartOrder &order : starts) {
        std::vector<ActiveRun> active;
        for (const StartOrder &it : {m_first, m_copy, starts.back()}) {
            if (it.worker == order.worker)
                active.push_back(running(it));
        }
        if (&order == &starts.back())
            report(order.worker, active);
        else
            report(order.worker, active, {ended(order, RunOutcome::Succeeded)});
    }
    EXPECT_TRUE(decide().starts.empty());
    ASSERT_NE(starts.back().worker, m_first.worker);
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Stopped)});
    EXPECT_EQ(decide().starts.size(), 1U) << "the former copy is the only run of its task";
}

// Guards against an account that exceeds its limit by copies, also by those that are being stopped.
TEST_F(CopiesTest, CopiesCountAgainstTheLimitOfTheirAccount)
{
    m_limit = {4'000, 0, 0, 0, 0};
    setCatalog();
    startRunningPair();
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_EQ(startsOf(step(8)), 3U) << "the copy is being stopped";
    report(m_copy.worker, {}, {ended(m_copy, RunOutcome::Stopped)});
    EXPECT_EQ(decide().starts.size(), 1U);
}

TEST_F(CopiesTest, NoCopyStartsAtTheLimitOfTheAccount)
{
    m_limit = {4'000, 0, 0, 0, 0};
    setCatalog();
    startStraggler();
    EXPECT_EQ(startsOf(step(3)), 3U) << "four of four, with the straggler";
}

// Guards against a worker with more runs than fit.
TEST_F(CopiesTest, CopiesCountInTheRoomOfTheirWorker)
{
    startRunningPair();
    // The first run and the copy use a core each of two workers.
    EXPECT_EQ(startsOf(step(20)), 14U);
}

// Guards against copies that take the room of waiting tasks.
TEST_F(CopiesTest, WaitingTasksOfEqualPriorityGoFirst)
{
    startStraggler();
    EXPECT_EQ(startsOf(step(3, m_workerCpuMilli)), 3U) << "they fill the other workers";
}

TEST_F(CopiesTest, NoCopyStartsWhileATaskOfEqualPriorityWaitsForRoom)
{
    startStraggler();
    add("large", {step(1, 5'000)});
    EXPECT_TRUE(decide().starts.empty());
    m_dispatcher->cancelJob("large");
    EXPECT_EQ(decide().starts.size(), 1U);
}

TEST_F(CopiesTest, ACopyNeedNotWaitForLessUrgentTasks)
{
    startStraggler();
    add("large", {step(1, 5'000)}, "batch");
    EXPECT_EQ(decide().starts.size(), 1U);
}

// Guards against a start that the worker refuses, or that the policy service has not approved.
TEST_F(CopiesTest, ACopyNeedsAValidApproval)
{
    m_approval = ApprovalPolicy{Duration(20), 0.4, Duration(2'500)};
    setCatalog();
    joinAll();
    add("job", {copyStep()});
    const auto call = m_dispatcher->nextPendingApproval(m_now, unixMs(), Duration(1'000));
    ASSERT_TRUE(call);
    m_dispatcher->approvalRequested(*call);
    std::vector<work::Approval> approvals;
    for (const char *id : {"w1", "w2", "w3", "w4"}) {
        work::Approval approval;
        approval.worker = id;
        approval.ticket = std::string("ticket-") + id;
        approvals.push_back(approval);
    }
    m_dispatcher->approvalAnswered(*call, &approvals, m_now, m_now);
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 4U);
    m_now += UsualRunTime;
    for (size_t i = 0; i < 3; ++i)
        report(starts[i].worker, {}, {ended(starts[i], RunOutcome::Succeeded)});
    report(starts[3].worker, {running(starts[3])});
    const Instant straggles = m_now;
    m_now += Duration(2'000);
    EXPECT_TRUE(decide().starts.empty()) << "the approvals have expired";
    m_now = straggles;
    const auto copies = decide().starts;
    ASSERT_EQ(copies.size(), 1U);
    EXPECT_EQ(copies[0].ticket, "ticket-" + copies[0].worker);
}

// Guards against a takeover that forgets one of two runs, starts a third one, or counts one twice.
TEST_F(CopiesTest, ATakeoverAdoptsBothRuns)
{
    m_limit = {5'000, 0, 0, 0, 0};
    setCatalog();
    startRunningPair();
    store();
    const work::StepProgress &stored = m_stored["job"].steps[0];
    EXPECT_EQ(stored.placedOn.at(m_first.task.index), m_first.worker);
    EXPECT_EQ(stored.copiesOn.at(m_first.task.index), std::vector<std::string>{m_copy.worker});

    beginTenure({}, {"w1", "w2", "w3", "w4"});
    join(m_copy.worker, {running(m_copy)});
    m_dispatcher->setUnreconciledWorkers({m_first.worker});
    EXPECT_EQ(startsOf(step(8)), 3U) << "of five, one is adopted and one not reported";
    store();
    EXPECT_EQ(m_stored["job"].steps[0].copiesOn.at(m_first.task.index),
              std::vector<std::string>{m_first.worker})
        << "the next takeover has to know of both, too";
    join(m_first.worker, {running(m_first)});
    m_dispatcher->setUnreconciledWorkers({});
    Orders orders = decide();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_TRUE(orders.stops.empty()) << "both go on";
    report(m_first.worker, {}, {ended(m_first, RunOutcome::Succeeded)});
    EXPECT_EQ(state(), work::JobState::Completed);
    EXPECT_EQ(stopsFor(m_copy), 1U);
}

// Guards against a task that starts again while the worker of its other run is silent.
TEST_F(CopiesTest, AfterATakeoverATaskWaitsForTheWorkersOfBothRuns)
{
    startRunningPair();
    store();
    beginTenure({}, {"w1", "w2", "w3", "w4"});
    join(m_first.worker);
    m_dispatcher->setUnreconciledWorkers({m_copy.worker});
    EXPECT_TRUE(decide().starts.empty()) << "the first run has ended, the copy may run";
    m_dispatcher->setUnreconciledWorkers({});
    EXPECT_EQ(decide().starts.size(), 1U);
}

// Guards against a scheduler without copies that leaves two runs of a task, or restarts it.
TEST_F(CopiesTest, ASuccessorWithoutCopiesStopsOneRun)
{
    startRunningPair();
    store();
    m_maxShare = 0;
    beginTenure({}, {"w1", "w2", "w3", "w4"});
    join(m_first.worker, {running(m_first)});
    m_now += Duration(10);
    join(m_copy.worker, {running(m_copy)});
    m_dispatcher->setUnreconciledWorkers({});
    const Orders orders = decide();
    EXPECT_TRUE(orders.starts.empty());
    ASSERT_EQ(orders.stops.size(), 1U);
    EXPECT_EQ(orders.stops[0].worker, m_copy.worker);
}

// Guards against a takeover after a success that forgets the run which is being stopped: it counts
// against the limit, and a start of it that is under way must not be carried out later.
TEST_F(CopiesTest, ATakeoverAfterASuccessAwaitsTheOtherRun)
{
    m_limit = {4'000, 0, 0, 0, 0};
    setCatalog();
    work::StepSpec next = step(1);
    next.after = {0};
    startPair({copyStep(), next});
    const EndedRun success = ended(m_first, RunOutcome::Succeeded);
    report(m_first.worker, {}, {success});
    store();
    beginTenure({}, {"w1", "w2", "w3", "w4"});
    join(m_first.worker);
    report(m_first.worker, {}, {success});
    m_dispatcher->setUnreconciledWorkers({m_copy.worker});
    EXPECT_LT(m_dispatcher->endPosition(m_first.worker), success.position);
    EXPECT_EQ(startsOf(step(8)), 3U) << "the copy may run";
    join(m_copy.worker, {running(m_copy)});
    m_dispatcher->setUnreconciledWorkers({});
    EXPECT_EQ(m_dispatcher->endPosition(m_first.worker), success.position);
    EXPECT_EQ(stopsFor(m_copy), 1U);
}

// Guards against a run from nowhere that becomes the copy of a task.
TEST_F(CopiesTest, AnUnrecordedSecondRunIsStopped)
{
    const StartOrder first = startStraggler();
    store();
    beginTenure({}, {"w1", "w2", "w3", "w4"});
    join(first.worker, {running(first)});
    m_now += Duration(10);
    StartOrder stray = first;
    stray.run += 1;
    stray.worker = first.worker == "w1" ? "w2" : "w1";
    join(stray.worker, {running(stray)});
    EXPECT_EQ(stopsFor(stray), 1U);
}

} // namespace cardamompaddle
