#include "dispatch/dispatcher_testing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr int64_t BatchCpuMilli = 9'000;
constexpr int64_t QuickCpuMilli = 4'500;
constexpr int64_t WorkerCpuMilli = 3 * BatchCpuMilli;
constexpr int Workers = 60; // a tenth of them has the processors of 18 batch runs
constexpr int RandomWorkers = 20;
constexpr Duration BatchTime{3'800};

SchedulingPolicies policiesWith(PreemptionScope scope)
{
    SchedulingPolicies out;
    out.preemption = scope;
    return out;
}

work::StepSpec quickStep(int32_t tasks)
{
    work::StepSpec out = step(tasks, QuickCpuMilli);
    out.estimatedMs = 800;
    return out;
}

work::StepSpec batchStep(int32_t tasks)
{
    work::StepSpec out = step(tasks, BatchCpuMilli);
    out.checkpointing = true;
    out.estimatedMs = BatchTime.count();
    return out;
}

// Workers that are full of batch runs while the quick route's load doubles.
class RoomPreemptionDispatchTest : public DispatcherTest
{
protected:
    explicit RoomPreemptionDispatchTest(PreemptionScope scope = PreemptionScope::Pool)
        : DispatcherTest(policiesWith(scope))
    {
        configure();
    }

    void configure()
    {
        auto catalog = std::make_shared<Catalog>();
        const auto addRoute = [&](const char *name, int32_t priority, double factor,
                                  Duration target) {
            WorkRoute route = m_route;
            route.name = name;
            route.pool = "p";
            route.priority = priority;
            route.slowdownFactor = factor;
            route.latencyTarget = target;
            catalog->routes[name] = route;
        };
        addRoute("quick", 0, 1.5, Duration(250));
        addRoute("service", 1, 1.5, Duration(250));
        addRoute("batch", 2, 2.2, Duration(1'200));
        for (const auto &[name, weight] : m_weights) {
            Team &team = catalog->teams[name];
            team.name = name;
            team.weight = weight;
        }
        m_dispatcher.setCatalog(catalog);
    }
    void joinWorkers(int count)
    {
        for (int i = 0; i < count; ++i)
            join(entry("w" + std::to_string(100 + i), WorkerCpuMilli));
    }
    int64_t unixMs() const { return UnixNow + (m_now - m_beganAt).count(); }
    void submit(const std::string &id, const std::string &route, const work::StepSpec &spec,
                const std::string &team = "t")
    {
        auto job = std::make_shared<work::Submission>();
        job->id = id;
        job->route = route;
        job->team = team;
        job->steps = {spec};
        job->acceptedAtMs = unixMs();
        m_dispatcher.addJob(job, {}, false);
    }
    // Makes one decision and confirms its starts and stops.
    Orders pass()
    {
        Orders orders = m_dispatcher.decide(m_now, unixMs());
        for (const StartOrder &order : orders.starts) {
            m_dispatcher.startAnswered(order, StartOutcome::Started, m_now);
            m_running.push_back(order);
            m_startedAt[{order.task, order.run}] = m_now;
        }
        for (const StopOrder &order : orders.stops) {
            m_dispatcher.stopAnswered(order, m_now);
            m_stopping.insert({order.task, order.run});
        }
        return orders;
    }
    // Fills all workers with batch runs that have run for `ran` and are at 30 percent.
    void fill(int workers = Workers, Duration ran = Duration(1'200),
              work::StepSpec spec = batchStep(3), const std::string &team = "t",
              const std::string &route = "batch")
    {
        joinWorkers(workers);
        spec.tasks = workers * 3;
        submit("batch", route, spec, team);
        ASSERT_EQ(std::ssize(pass().starts), workers * 3);
        m_now += ran;
        endRuns({});
    }
    // Submits a quick job that finds no room, and returns the stops.
    std::vector<StopOrder> stopsForQuick(int32_t tasks = 10, const std::string &team = "t")
    {
        submit("quick", "quick", quickStep(tasks), team);
        return pass().stops;
    }
    // Returns the progress of a run that takes as long as estimated.
    int32_t percentOf(const StartOrder &run) const
    {
        const int64_t estimate =
            run.job->steps[static_cast<size_t>(run.task.step.step)].estimatedMs;
        const int64_t ran = (m_now - m_startedAt.at({run.task, run.run})).count();
        return static_cast<int32_t>(std::min<int64_t>(100, ran * 100 / estimate));
    }
    // Reports all workers, with the end of these runs. The others show this progress, with a change
    // so that they do not count as stalled; a negative one stands for percentOf().
    void endRuns(const std::vector<StopOrder> &ends, RunOutcome outcome = RunOutcome::Stopped,
                 int32_t percent = 30)
    {
        m_now += Duration(10);
        percent += percent < 0 ? 0 : ++m_reports % 2;
        std::map<WorkerId, std::vector<ActiveRun>> active;
        std::map<WorkerId, std::vector<EndedRun>> over;
        for (const StopOrder &end : ends)
            active[end.worker];
        for (const StartOrder &it : m_running)
            active[it.worker];
        std::erase_if(m_running, [&](const StartOrder &run) {
            const bool isOver = std::any_of(ends.begin(), ends.end(), [&run](const auto &it) {
                return it.task == run.task && it.run == run.run;
            });
            if (isOver)
                over[run.worker].push_back(ended(run, outcome, "saved"));
            else
                active[run.worker].push_back(running(run, percent < 0 ? percentOf(run) : percent));
            return isOver;
        });
        for (const auto &[id, runs] : active)
            report(id, runs, over[id], 1 + m_restarts[id]);
    }
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    // Submits and cancels jobs; those of step `i` of a sequence.
    void submitRandomly(int i)
    {
        work::StepSpec batch = batchStep(6);
        batch.estimatedMs = 8'000;
        if (i % 11 == 0) // nearly fills the workers
            submit("b" + std::to_string(i), "batch", batch, chance(50) ? "t" : "u");
        if (chance(i % 100 < 25 ? 60 : 10)) // a burst in each fourth part of the time
            submit("q" + std::to_string(i), "quick", quickStep(6), chance(30) ? "t" : "v");
        if (chance(5))
            m_dispatcher.cancelJob("q" + std::to_string(m_random() % (i + 1)));
    }
    // Ends runs that are done, and some that are being stopped; restarts workers.
    void passTimeRandomly()
    {
        m_now += Duration(20 + m_random() % 80);
        std::vector<StopOrder> stopped;
        std::vector<StopOrder> succeeded;
        for (const StartOrder &it : m_running) {
            if (m_stopping.contains({it.task, it.run}) && chance(20))
                stopped.push_back({it.worker, it.task, it.run});
            else if (percentOf(it) == 100 && chance(50))
                succeeded.push_back({it.worker, it.task, it.run});
        }
        endRuns(stopped, RunOutcome::Stopped, -1);
        endRuns(succeeded, RunOutcome::Succeeded, -1);
        if (chance(97))
            return;
        const WorkerId id = "w" + std::to_string(100 + m_random() % RandomWorkers);
        std::erase_if(m_running, [&id](const StartOrder &it) { return it.worker == id; });
        report(id, {}, {}, 1 + ++m_restarts[id]);
    }
    static int64_t startsOf(const std::string &job, const Orders &orders)
    {
        return std::count_if(orders.starts.begin(), orders.starts.end(),
                             [&job](const auto &it) { return it.task.step.job == job; });
    }

    std::map<std::string, double> m_weights{{"t", 1}, {"u", 1}, {"v", 1}};
    const Instant m_beganAt = m_now;
    std::vector<StartOrder> m_running;
    std::map<RunRef, Instant> m_startedAt;
    std::set<RunRef> m_stopping;
    std::map<WorkerId, int64_t> m_restarts;
    std::mt19937_64 m_random;
    int m_reports = 0;
};

class AccountScopeTest : public RoomPreemptionDispatchTest
{
protected:
    AccountScopeTest() : RoomPreemptionDispatchTest(PreemptionScope::Account) { }
};

} // namespace

// Guards against quick steps that wait for seconds for room on a fleet full of batch runs with
// slack, and against stops of more runs than they need.
TEST_F(RoomPreemptionDispatchTest, StopsBatchRunsAndStartsTheQuickStepInTheirRoom)
{
    fill();
    const auto stops = stopsForQuick(10);
    ASSERT_EQ(stops.size(), 5U);
    const auto events = eventDetails("run_preempted_for_room");
    ASSERT_EQ(events.size(), 5U);
    EXPECT_NE(events[0].find(" worker=" + stops[0].worker + " for_job=quick slack_ms="),
              std::string::npos)
        << events[0];
    m_now += Duration(100);
    EXPECT_TRUE(pass().stops.empty()) << "the step has room once these runs end";
    endRuns(stops);
    const Orders orders = pass();
    EXPECT_EQ(startsOf("quick", orders), 10);
    EXPECT_EQ(startsOf("batch", orders), 0) << "the batch task took the room back";
    endRuns({});
    m_now += Duration(10'000);
    EXPECT_TRUE(pass().starts.empty());
}

// Guards against a switch that changes decisions while it is off.
TEST_F(AccountScopeTest, StopsAndPlansNothing)
{
    fill();
    EXPECT_TRUE(stopsForQuick().empty());
    EXPECT_FALSE(m_dispatcher.nextEvent(m_now, unixMs()));
}

// Guards against a change of decisions while the switch is off: compares the orders of a random
// sequence with those that the version before the switch gave.
TEST_F(AccountScopeTest, DecidesAsRecordedBeforeTheSwitch)
{
    constexpr uint32_t Recorded = 3'711'272'499;
    joinWorkers(RandomWorkers);
    uint32_t checksum = 0;
    for (int i = 0; i < 300; ++i) {
        submitRandomly(i);
        const Orders orders = pass();
        std::string text;
        for (const StartOrder &it : orders.starts)
            text += "+" + it.worker + it.task.toString();
        for (const StopOrder &it : orders.stops)
            text += "-" + it.worker + it.task.toString();
        for (const char it : text)
            checksum = checksum * 31 + static_cast<unsigned char>(it);
        passTimeRandomly();
    }
    EXPECT_EQ(checksum, Recorded);
}

// Guards against freed room that another step takes before the step it was freed for.
TEST_F(RoomPreemptionDispatchTest, KeepsTheFreedRoomForTheStep)
{
    fill();
    const auto stops = stopsForQuick(2);
    ASSERT_EQ(stops.size(), 1U);
    // Of an account that uses nothing, so it comes first.
    submit("other", "quick", quickStep(2), "u");
    m_now += Duration(10);
    EXPECT_TRUE(pass().stops.empty()) << "searches follow each other after 40 ms";
    endRuns(stops);
    const Orders orders = pass();
    EXPECT_EQ(startsOf("quick", orders), 2);
    EXPECT_EQ(startsOf("other", orders), 0);
}

// Guards against room that stays unused after the step has started elsewhere.
TEST_F(RoomPreemptionDispatchTest, GivesUpTheRoomWhenTheStepStartsElsewhere)
{
    fill();
    const auto stops = stopsForQuick(2);
    ASSERT_EQ(stops.size(), 1U);
    const auto elsewhere =
        std::find_if(m_running.begin(), m_running.end(),
                     [&stops](const StartOrder &it) { return it.worker != stops[0].worker; });
    endRuns({{elsewhere->worker, elsewhere->task, elsewhere->run}}, RunOutcome::Succeeded);
    EXPECT_EQ(startsOf("quick", pass()), 2);
    endRuns(stops);
    EXPECT_EQ(startsOf("batch", pass()), 1) << "the stopped run resumes in its former room";
}

// Guards against places that stay reserved for tasks which have started elsewhere.
TEST_F(RoomPreemptionDispatchTest, GivesUpThePlacesOfTheTasksThatStartElsewhere)
{
    fill();
    const auto stops = stopsForQuick(4);
    ASSERT_EQ(stops.size(), 2U);
    ASSERT_EQ(stops[0].worker, stops[1].worker);
    const auto elsewhere =
        std::find_if(m_running.begin(), m_running.end(),
                     [&stops](const StartOrder &it) { return it.worker != stops[0].worker; });
    endRuns({{elsewhere->worker, elsewhere->task, elsewhere->run}}, RunOutcome::Succeeded);
    EXPECT_EQ(startsOf("quick", pass()), 2);
    endRuns(stops);
    const Orders orders = pass();
    EXPECT_EQ(startsOf("quick", orders), 2);
    EXPECT_EQ(startsOf("batch", orders), 1) << "the other half of the room";
}

// Guards against room that stays unused after the job was cancelled.
TEST_F(RoomPreemptionDispatchTest, GivesUpTheRoomWhenTheJobIsCancelled)
{
    fill();
    const auto stops = stopsForQuick(2);
    ASSERT_EQ(stops.size(), 1U);
    m_dispatcher.cancelJob("quick");
    m_dispatcher.takeProgress(HeldNow); // forgets the job
    endRuns(stops);
    EXPECT_EQ(startsOf("batch", pass()), 1);
}

// Guards against a stop that is never carried out and keeps room or the step waiting: after 1.5 s,
// others may use what is free there, and other runs are stopped.
TEST_F(RoomPreemptionDispatchTest, AStopThatIsNeverConfirmedBlocksNeitherRoomNorStep)
{
    work::StepSpec spec = batchStep(3);
    spec.estimatedMs = 20'000; // has slack for long
    fill(Workers, Duration(1'200), spec);
    const auto stops = stopsForQuick(2);
    ASSERT_EQ(stops.size(), 1U);
    const auto beside =
        std::find_if(m_running.begin(), m_running.end(), [&stops](const StartOrder &it) {
            return it.worker == stops[0].worker && it.task != stops[0].task;
        });
    const StopOrder end{beside->worker, beside->task, beside->run};
    m_now += Duration(1'500);
    submit("second", "quick", quickStep(2));
    endRuns({end}, RunOutcome::Succeeded);
    EXPECT_EQ(startsOf("second", pass()), 2) << "the room of the other run is not reserved";
    submit("third", "quick", quickStep(2));
    const auto more = pass().stops;
    EXPECT_EQ(std::count_if(more.begin(), more.end(),
                            [&stops](const auto &it) { return it.task != stops[0].task; }),
              1);
}

// Guards against reservations that outlive the incarnation of their worker.
TEST_F(RoomPreemptionDispatchTest, ARestartOfTheWorkerLeavesNoOvercommitmentAndNoReservation)
{
    fill(1);
    ASSERT_EQ(stopsForQuick(2).size(), 1U);
    m_running.clear();
    report("w100", {}, {}, 2);
    const Orders orders = pass();
    EXPECT_EQ(startsOf("quick", orders), 2);
    EXPECT_EQ(startsOf("batch", orders), 2) << "the rest of the worker";
}

// Guards against stops that lose work, make a job late, or disturb what finishes or started just
// now.
TEST_F(RoomPreemptionDispatchTest, SparesRunsThatMustNotBePreempted)
{
    struct Case
    {
        const char *name;
        std::function<void(work::StepSpec &)> change;
        Duration ran{1'200};
        int32_t percent = 30;
        const char *route = "batch";
        bool stops = false;
    };
    const auto nothing = [](work::StepSpec &) {};
    const std::vector<Case> cases = {
        {"preemptible", nothing, Duration(1'200), 30, "batch", true},
        {"no checkpoint", [](work::StepSpec &it) { it.checkpointing = false; }},
        {"gang", [](work::StepSpec &it) { it.gang = true; }},
        {"long-running", [](work::StepSpec &it) { it.longRunning = true; }},
        {"started just now", nothing, Duration(900)},
        {"nearly done", nothing, Duration(1'200), 75},
        {"as urgent", nothing, Duration(1'200), 30, "quick"},
        {"without slack", nothing, Duration(4'000)},
        {"ends in 700 ms", [](work::StepSpec &it) { it.estimatedMs = 1'900; }, Duration(1'190), 63},
        {"expired anyway", nothing, Duration(40'000), 30, "batch", true},
    };
    for (const Case &it : cases) {
        SCOPED_TRACE(it.name);
        const WorkerId id = "w100";
        join(entry(id, WorkerCpuMilli));
        work::StepSpec spec = batchStep(3);
        it.change(spec);
        submit("batch", it.route, spec);
        ASSERT_EQ(pass().starts.size(), 3U);
        m_now += it.ran;
        endRuns({}, RunOutcome::Stopped, it.percent);
        EXPECT_EQ(stopsForQuick(2).size(), it.stops ? 1U : 0U);
        m_dispatcher.cancelJob("batch");
        m_dispatcher.cancelJob("quick");
        std::vector<StopOrder> all;
        for (const StartOrder &run : m_running)
            all.push_back({run.worker, run.task, run.run});
        endRuns(all);
        m_dispatcher.takeProgress(HeldNow);
    }
}

// Guards against a run that is stopped again and again while quick steps keep coming.
TEST_F(RoomPreemptionDispatchTest, DoesNotPreemptATaskTwiceWithinSeconds)
{
    work::StepSpec spec = batchStep(3);
    spec.estimatedMs = 20'000; // enough slack for several stops
    fill(1, Duration(1'200), spec);
    for (const bool later : {false, true}) {
        submit("quick", "quick", quickStep(6));
        std::vector<StopOrder> all;
        for (int i = 0; i < 3; ++i) { // one at a time, by the bound
            const auto stops = pass().stops;
            all.insert(all.end(), stops.begin(), stops.end());
            endRuns(stops, RunOutcome::Stopped, 10);
            m_now += Duration(40);
        }
        EXPECT_EQ(all.size(), later ? 0U : 3U);
        pass();
        std::vector<StopOrder> quick;
        for (const StartOrder &it : m_running) {
            if (it.task.step.job == "quick")
                quick.push_back({it.worker, it.task, it.run});
        }
        endRuns(quick, RunOutcome::Succeeded, 10);
        m_dispatcher.cancelJob("quick");
        m_dispatcher.takeProgress(HeldNow);
        pass(); // the batch tasks run again
        m_now += Duration(1'200);
        endRuns({}, RunOutcome::Stopped, 10);
    }
    for (int i = 0; i < 4; ++i) {
        m_now += Duration(1'000);
        endRuns({}, RunOutcome::Stopped, 10);
    }
    EXPECT_EQ(stopsForQuick(2).size(), 1U);
}

// Guards against stops for steps that still have time, that get room soon anyway, or whose job has
// no value left.
TEST_F(RoomPreemptionDispatchTest, PreemptsOnlyForStepsThatWouldBeLateAndAreStillOfValue)
{
    fill();
    work::StepSpec relaxed = quickStep(2);
    relaxed.estimatedMs = 4'000; // 2,250 ms of slack
    submit("relaxed", "quick", relaxed);
    EXPECT_TRUE(pass().stops.empty());
    ASSERT_TRUE(m_dispatcher.nextEvent(m_now, unixMs()));
    EXPECT_EQ((*m_dispatcher.nextEvent(m_now, unixMs()) - m_now).count(), 2'250 - 700);
    m_dispatcher.cancelJob("relaxed");
    submit("late", "quick", quickStep(2));
    m_now += Duration(1'200); // 550 ms late
    EXPECT_TRUE(pass().stops.empty());
}

TEST_F(RoomPreemptionDispatchTest, WaitsForRunsThatEndSoon)
{
    work::StepSpec spec = batchStep(3);
    spec.estimatedMs = 1'500;
    fill(Workers, Duration(1'200), spec); // all are expected to end in 300 ms
    EXPECT_TRUE(stopsForQuick().empty());
}

// Guards against an account beyond its share that stops runs of one within its share.
TEST_F(RoomPreemptionDispatchTest, AHotAccountPreemptsNoRunsOfAccountsWithinTheirShare)
{
    // Of three accounts with work, "t" uses two thirds and "u" one third of the capacity.
    joinWorkers(30);
    work::StepSpec own = batchStep(60);
    own.checkpointing = false;
    submit("own", "batch", own, "t");
    submit("other", "batch", batchStep(30), "u");
    submit("third", "batch", batchStep(1), "v");
    ASSERT_EQ(pass().starts.size(), 90U);
    m_now += Duration(1'200);
    EXPECT_TRUE(stopsForQuick(2, "t").empty());
    submit("fair", "quick", quickStep(2), "v");
    m_now += Duration(40);
    EXPECT_EQ(pass().stops.size(), 1U) << "an account within its share may preempt";
}

// Guards against a burst of quick steps that stops a large part of the fleet at once.
TEST_F(RoomPreemptionDispatchTest, BoundsTheProcessorsBeingFreed)
{
    fill();
    size_t stopped = 0;
    for (int i = 0; i < 20; ++i) {
        for (int job = 0; job < 4; ++job)
            submit("quick" + std::to_string(4 * i + job), "quick", quickStep(10));
        const auto stops = pass().stops;
        EXPECT_LE(stops.size(), 9U) << "half of a tenth of 180 runs in one decision";
        stopped += stops.size();
        m_now += Duration(40);
    }
    EXPECT_EQ(stopped, 18U) << "a tenth of 180 runs";
}

// Guards against a service that stays down because the pool is full.
TEST_F(RoomPreemptionDispatchTest, PreemptsForAnInterruptedServiceAfterASecond)
{
    joinWorkers(Workers);
    work::StepSpec service = step(1, BatchCpuMilli);
    service.longRunning = true;
    submit("service", "service", service);
    ASSERT_EQ(pass().starts.size(), 1U);
    const StartOrder run = m_running[0];
    submit("batch", "batch", batchStep(Workers * 3));
    ASSERT_EQ(pass().starts.size(), 179U);
    endRuns({{run.worker, run.task, run.run}}, RunOutcome::Failed, 1);
    ASSERT_EQ(pass().starts.size(), 1U) << "the waiting batch task takes the room in the backoff";
    m_now += Duration(100);
    EXPECT_TRUE(pass().stops.empty());
    submit("new", "service", service);
    m_now += Duration(1'100);
    const auto stops = pass().stops;
    ASSERT_EQ(stops.size(), 1U) << "none for the service that has never run";
    endRuns(stops);
    EXPECT_EQ(startsOf("service", pass()), 1);
}

// Guards against stops on workers where the step has no approval, or none that outlasts the stop.
TEST_F(RoomPreemptionDispatchTest, StopsRunsOnlyWhereAnApprovalOutlastsTheStop)
{
    fill();
    m_route.approval = ApprovalPolicy{Duration(27), 0.39, Duration(2'500)};
    configure();
    submit("quick", "quick", quickStep(2));
    EXPECT_TRUE(pass().stops.empty());
    const auto approve = [this](const WorkerId &id, Duration validity) {
        PendingApproval pending;
        pending.step = {"quick", 0, 0};
        pending.workers = {id};
        pending.validity = validity;
        work::Approval approval;
        approval.worker = id;
        const std::vector<work::Approval> answer = {approval};
        m_dispatcher.approvalAnswered(pending, &answer, m_now, m_now);
    };
    m_now += Duration(1);
    approve("w101", Duration(500));
    EXPECT_TRUE(pass().stops.empty());
    m_now += Duration(200);
    approve("w102", Duration(2'500));
    const auto stops = pass().stops;
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].worker, "w102");
}

// Guards against a step that gets no approval, and hence no runs stopped for it, because no worker
// has room when it asks.
TEST_F(RoomPreemptionDispatchTest, AsksForApprovalsOfFullWorkersWhereRunsMayBeStopped)
{
    fill();
    m_route.approval = ApprovalPolicy{Duration(27), 0.39, Duration(2'500)};
    configure();
    submit("quick", "quick", quickStep(2));
    EXPECT_TRUE(pass().stops.empty());
    const auto call = m_dispatcher.nextPendingApproval(m_now, unixMs(), Duration::max());
    ASSERT_TRUE(call);
    std::vector<work::Approval> answer;
    for (const WorkerId &id : call->workers)
        answer.emplace_back().worker = id;
    m_dispatcher.approvalRequested(*call);
    m_dispatcher.approvalAnswered(*call, &answer, m_now, m_now);
    EXPECT_EQ(pass().stops.size(), 1U);
    m_dispatcher.cancelJob("quick");
    submit("low", "batch", batchStep(2));
    EXPECT_FALSE(m_dispatcher.nextPendingApproval(m_now, unixMs(), Duration::max()))
        << "nothing is less urgent";
}

namespace {

// Random sequences of quick and batch jobs, ends, lost and late stops, restarts and cancellations.
class RandomRoomPreemptionTest : public RoomPreemptionDispatchTest,
                                 public ::testing::WithParamInterface<int>
{
protected:
    RandomRoomPreemptionTest() { m_random.seed(static_cast<uint64_t>(GetParam())); }

    void checkWorkers()
    {
        std::map<WorkerId, int64_t> used;
        for (const StartOrder &it : m_running)
            used[it.worker] += it.job->steps[static_cast<size_t>(it.task.step.step)].cpuMilli;
        for (const auto &[id, cpuMilli] : used)
            ASSERT_LE(cpuMilli, WorkerCpuMilli) << id << " is overcommitted";
    }
    // Checks that no more is being freed than a tenth of the pool. Stops count for 1.5 s.
    void checkBound()
    {
        const auto events = eventDetails("run_preempted_for_room");
        for (; m_eventsSeen < events.size(); ++m_eventsSeen)
            m_freeing[events[m_eventsSeen].substr(0, events[m_eventsSeen].find(" worker="))] =
                m_now;
        std::set<std::string> active;
        for (const StartOrder &it : m_running)
            active.insert("task=" + it.task.toString() + " run=" + std::to_string(it.run));
        std::erase_if(m_freeing, [&](const auto &it) {
            return m_now - it.second >= Duration(1'500) || !active.contains(it.first);
        });
        ASSERT_LE(std::ssize(m_freeing), RandomWorkers * 3 / 10);
    }

    std::map<std::string, Instant> m_freeing; // since when, by task and run
    size_t m_eventsSeen = 0;
};

} // namespace

// Guards against overcommitted workers, against a bound that is exceeded, and against reservations
// that are left behind, whatever becomes of stops, runs, jobs and workers.
TEST_P(RandomRoomPreemptionTest, NeverOvercommitsAndLeavesNothingBehind)
{
    joinWorkers(RandomWorkers);
    for (int i = 0; i < 400; ++i) {
        submitRandomly(i);
        pass();
        checkWorkers();
        checkBound();
        if (HasFatalFailure())
            return;
        passTimeRandomly();
    }
    EXPECT_GT(eventDetails("run_preempted_for_room").size(), 10U);
    // Once all jobs but one are cancelled and all runs have ended, that one may use every worker.
    for (int i = 0; i < 400; ++i) {
        m_dispatcher.cancelJob("q" + std::to_string(i));
        m_dispatcher.cancelJob("b" + std::to_string(i));
    }
    std::vector<StopOrder> all;
    for (const StartOrder &it : m_running)
        all.push_back({it.worker, it.task, it.run});
    endRuns(all);
    m_dispatcher.takeProgress(HeldNow);
    submit("last", "batch", batchStep(RandomWorkers * 3));
    EXPECT_EQ(pass().starts.size(), static_cast<size_t>(RandomWorkers * 3));
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomRoomPreemptionTest, ::testing::Range(1, 21));

} // namespace cardamompaddle
