// Uses of expected run times, on the load of customer B: two thirds of the workers run at 0.7 of
// the usual speed, one third at 1.7.
#include "base/hash.h"
#include "dispatch/dispatcher_testing.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace cardamompaddle {

namespace {

SchedulingPolicies policiesWith(EstimateStrategy strategy)
{
    SchedulingPolicies out;
    out.estimates = strategy;
    return out;
}

// Plays a fleet of uneven workers that carry out the dispatcher's orders.
class UnevenFleetTest : public DispatcherTest
{
protected:
    static constexpr int Workers = 12;
    static constexpr Duration Tick{20};
    static constexpr int64_t QuickMs = 600;
    static constexpr int64_t BatchMs = 2'500;

    explicit UnevenFleetTest(EstimateStrategy strategy) : DispatcherTest(policiesWith(strategy))
    {
        m_limit = {60'000, 0, 0, 0, 0};
        setCatalog();
        for (int i = 0; i < Workers; ++i)
            join(entry(workerId(i)));
    }

    static WorkerId workerId(int number) { return "w" + std::to_string(number); }
    static bool isFast(int worker) { return worker % 3 == 0; }
    static double speedOf(int worker) { return isFast(worker) ? 1.7 : 0.7; }

    // Adds jobs as they arrive and carries out orders for this long.
    void play(Duration time)
    {
        for (const Instant end = m_now + time; m_now < end; m_now += Tick) {
            addArrivals();
            for (int i = 0; i < Workers; ++i)
                reportWorker(i);
            carryOut(m_dispatcher.decide(m_now, unixMs()));
        }
    }
    int64_t unixMs() const { return UnixNow + toMs(m_now) - 100'000; }

    // Of the tasks of a route started since m_startsBySpeed was cleared, the share on fast workers.
    double shareOnFast(const std::string &route) const
    {
        const auto it = m_startsBySpeed.find(route);
        const auto &[slow, fast] = it->second;
        return static_cast<double>(fast) / static_cast<double>(slow + fast);
    }

    uint64_t m_decisions = 0; // hash of all orders
    std::map<std::string, std::pair<int, int>>
        m_startsBySpeed; // on slow and fast workers, by route
    std::vector<std::shared_ptr<const work::Submission>> m_submissions;

private:
    struct FleetRun
    {
        StartOrder order;
        Instant startedAt;
        int64_t lengthMs = 0;
        bool stopped = false;
    };

    void addJob(const std::string &route, int64_t ms, int32_t tasks, int64_t cpuMilli)
    {
        auto job = std::make_shared<work::Submission>();
        job->id = route + std::to_string(++m_jobs);
        job->route = route;
        job->team = "t";
        job->acceptedAtMs = unixMs();
        work::StepSpec spec = step(tasks, cpuMilli);
        // Estimates are off by up to a factor of 2.5 either way.
        const double error = std::pow(2.5, static_cast<double>(m_random() % 201) / 100 - 1);
        spec.estimatedMs = static_cast<int64_t>(static_cast<double>(ms) * error);
        spec.checkpointing = route == "batch";
        job->steps = {spec};
        if (m_random() % 2 == 0) {
            job->steps.push_back(spec);
            job->steps.back().after = {0};
        }
        m_lengths[job->id] = ms;
        m_submissions.push_back(job);
        m_dispatcher.addJob(job, {}, false);
    }
    void addArrivals()
    {
        const double seconds = static_cast<double>(Tick.count()) / 1e3;
        m_quickDue += 3.5 * seconds;
        m_batchDue += 0.9 * seconds;
        for (; m_quickDue >= 1; --m_quickDue)
            addJob("r", QuickMs, 6, 2'000);
        for (; m_batchDue >= 1; --m_batchDue)
            addJob("batch", BatchMs, 5, 2'000);
    }
    void reportWorker(int number)
    {
        std::vector<FleetRun> &runs = m_runs[number];
        std::vector<ActiveRun> active;
        std::vector<EndedRun> finished;
        for (const FleetRun &run : runs) {
            const int64_t ran = (m_now - run.startedAt).count();
            if (isOver(run))
                finished.push_back(ended(run.order,
                                         run.stopped ? RunOutcome::Stopped : RunOutcome::Succeeded,
                                         run.stopped ? "saved" : ""));
            else
                active.push_back(
                    running(run.order, static_cast<int32_t>(ran * 100 / run.lengthMs)));
        }
        std::erase_if(runs, [this](const FleetRun &it) { return isOver(it); });
        report(workerId(number), active, finished);
    }
    bool isOver(const FleetRun &run) const
    {
        return run.stopped || (m_now - run.startedAt).count() >= run.lengthMs;
    }
    void carryOut(const Orders &orders)
    {
        for (const StopOrder &order : orders.stops) {
            m_decisions = stableHash("stop " + order.worker + order.task.toString(), m_decisions);
            for (FleetRun &run : m_runs[std::stoi(order.worker.substr(1))])
                run.stopped = run.stopped || (run.order.task == order.task);
            m_dispatcher.stopAnswered(order, m_now);
        }
        for (const StartOrder &order : orders.starts) {
            m_decisions = stableHash("start " + order.worker + order.task.toString(), m_decisions);
            const int worker = std::stoi(order.worker.substr(1));
            auto &[slow, fast] = m_startsBySpeed[order.job->route];
            ++(isFast(worker) ? fast : slow);
            const double spread = 0.9 + static_cast<double>(m_random() % 21) / 100;
            const double left = order.checkpoint.empty() ? 1 : 0.5;
            const double ms =
                static_cast<double>(m_lengths.at(order.job->id)) * spread * left / speedOf(worker);
            m_runs[worker].push_back({order, m_now, static_cast<int64_t>(ms), false});
            m_dispatcher.startAnswered(order, StartOutcome::Started, m_now);
        }
    }

    std::mt19937_64 m_random{1};
    std::map<int, std::vector<FleetRun>> m_runs;
    std::map<std::string, int64_t> m_lengths; // of a task at the usual speed, by job
    int m_jobs = 0;
    double m_quickDue = 0;
    double m_batchDue = 0;
};

class DeclaredEstimatesTest : public UnevenFleetTest
{
protected:
    DeclaredEstimatesTest() : UnevenFleetTest(EstimateStrategy::Declared) { }
};

class LearnedEstimatesTest : public UnevenFleetTest
{
protected:
    LearnedEstimatesTest() : UnevenFleetTest(EstimateStrategy::Learned) { }
};

class LearnedTest : public DispatcherTest
{
protected:
    LearnedTest() : DispatcherTest(policiesWith(EstimateStrategy::Learned)) { }

    // Lets jobs of one task, declared to take a second, run on the only worker for `ranMs`.
    void teach(const WorkerId &worker, const std::string &image, int64_t ranMs, int jobs)
    {
        work::StepSpec spec = step(1);
        spec.image = image;
        for (int i = 0; i < jobs; ++i) {
            add("taught" + std::to_string(++m_taught), {spec});
            const auto runs = startAll();
            ASSERT_EQ(runs.size(), 1U);
            m_now += Duration(ranMs);
            report(worker, {}, {ended(runs[0], RunOutcome::Succeeded)});
        }
    }
    // Starts a task, which must go to this worker.
    StartOrder occupy(const WorkerId &worker, int64_t cpuMilli = 1'000)
    {
        add("occupies-" + worker, {step(1, cpuMilli)});
        StartOrder run = startAll().at(0);
        EXPECT_EQ(run.worker, worker);
        return run;
    }

    int m_taught = 0;
};

// Two workers of which the model has learned that one is more than twice as fast.
class UnevenPairTest : public LearnedTest
{
protected:
    UnevenPairTest()
    {
        join(entry("a-slow"));
        join(entry("fast"));
        work::StepSpec pair = step(2);
        pair.maxPerWorker = 1;
        for (int i = 0; i < 30; ++i) {
            add("pair" + std::to_string(i), {pair});
            const auto runs = startAll();
            const size_t fast = runs.at(0).worker == "fast" ? 0 : 1;
            m_now += Duration(600);
            report("fast", {}, {ended(runs.at(fast), RunOutcome::Succeeded)});
            m_now += Duration(800);
            report("a-slow", {}, {ended(runs.at(1 - fast), RunOutcome::Succeeded)});
        }
    }

    // Returns the worker on which a job of one task starts, and ends the job.
    WorkerId workerOf(const std::string &job)
    {
        add(job, {step(1)});
        const StartOrder run = startAll().at(0);
        report(run.worker, {}, {ended(run, RunOutcome::Stopped)});
        m_dispatcher.cancelJob(job);
        return run.worker;
    }
};

} // namespace

// Guards against decisions that change although learned estimates are switched off.
TEST_F(DeclaredEstimatesTest, DecidesAsInTheRecordedCase)
{
    constexpr uint64_t Recorded =
        14105243043091402584U; // hash of the orders of the version before learned estimates
    play(Duration(20'000));
    EXPECT_EQ(m_decisions, Recorded);
    EXPECT_FALSE(eventDetails("run_preempted").empty()) << "the case covers preemption";
    EXPECT_FALSE(eventDetails("step_waits").empty()) << "the case covers a lack of room";
}

// Guards against batch work that occupies fast workers, so that quick work runs on slow ones and is
// late.
TEST_F(LearnedEstimatesTest, BatchLeavesFastWorkersToTheQuickRoute)
{
    m_limit = {};
    setCatalog();
    play(Duration(10'000)); // learns
    m_startsBySpeed.clear();
    play(Duration(30'000));
    EXPECT_GT(shareOnFast("r"), 0.75);
    EXPECT_LT(shareOnFast("batch"), 0.35);
}

// A takeover. Guards against a new scheduler that decides by anything else than declared estimates
// before it has learned, and against what it learns being lost on the way to its decisions.
TEST_F(LearnedEstimatesTest, ANewSchedulerDecidesByDeclaredEstimatesUntilItLearns)
{
    play(Duration(10'000));
    ASSERT_FALSE(eventDetails("run_time_model").empty());
    const auto startsOfNew = [this](EstimateStrategy strategy) {
        Dispatcher next({2, 2.0, nullptr, nullptr, policiesWith(strategy)}, nullptr);
        next.setCatalog(catalog());
        for (int i = 0; i < Workers; ++i) {
            next.setWorker(entry(workerId(i)));
            RunReport idle;
            idle.requestedAt = m_now;
            idle.startedAtMs = 1;
            next.workerReported(workerId(i), idle, m_now);
            next.setReachable(workerId(i), true);
        }
        for (const auto &job : m_submissions)
            next.addJob(job, {}, false);
        std::vector<std::string> out;
        for (const StartOrder &order : next.decide(m_now, unixMs()).starts)
            out.push_back(order.worker + " " + order.task.toString());
        return out;
    };
    const auto learned = startsOfNew(EstimateStrategy::Learned);
    EXPECT_FALSE(learned.empty());
    EXPECT_EQ(learned, startsOfNew(EstimateStrategy::Declared));
}

// Guards against learning from runs that do not show how long a task takes.
TEST_F(LearnedTest, LearnsOnlyFromWholeRunsOfOrdinaryTasks)
{
    join(entry("w"));
    work::StepSpec idle = step(1);
    idle.usesIdleCpu = true;
    work::StepSpec saved = step(1);
    saved.checkpointing = true;
    add("idle", {idle});
    add("saved", {saved});
    add("adopted", {step(1)});
    std::vector<EndedRun> ends;
    for (const StartOrder &order : decide().starts) {
        if (order.task.step.job == "adopted") {
            report("w", {running(order)}); // the answer to the start was lost
            m_dispatcher.startAnswered(order, StartOutcome::Unknown, m_now);
        } else {
            m_dispatcher.startAnswered(order, StartOutcome::Started, m_now);
        }
        const bool stopped = order.task.step.job == "saved";
        ends.push_back(ended(order, stopped ? RunOutcome::Stopped : RunOutcome::Succeeded,
                             stopped ? "checkpoint" : ""));
    }
    m_now += Duration(500);
    report("w", {}, ends);
    const auto resumed = startAll();
    ASSERT_EQ(resumed.size(), 1U);
    EXPECT_EQ(resumed[0].checkpoint, "checkpoint");
    m_now += Duration(500);
    report("w", {}, {ended(resumed[0], RunOutcome::Succeeded)});
    add("late", {step(1)});
    const auto late = startAll();
    m_dispatcher.setReachable("w", false);
    m_now += Duration(5'000);
    report("w", {}, {ended(late.at(0), RunOutcome::Succeeded)}); // ended at an unknown time
    m_dispatcher.setReachable("w", true);
    decide();
    EXPECT_TRUE(eventDetails("run_time_model").empty());
    teach("w", "", 1'000, 1);
    decide();
    const auto reports = eventDetails("run_time_model");
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_TRUE(reports[0].starts_with("samples=1 ")) << reports[0];
}

// Guards against slack computed from estimates that are known to be far too short.
TEST_F(LearnedTest, OrdersStepsByTheirExpectedSlack)
{
    join(entry("w", 1'000));
    teach("w", "underestimated", 6'000, 20);
    work::StepSpec longer = step(1);
    longer.image = "underestimated";
    work::StepSpec shorter = step(1);
    shorter.estimatedMs = 2'000;
    const auto blocker = occupy("w");
    add("a-longer", {longer}); // declared 1 s, expected 6 s: an objective that is farther away
    add("b-shorter", {shorter});
    decide();
    report("w", {}, {ended(blocker, RunOutcome::Failed)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.step.job, "b-shorter");
}

// Guards against workers that are avoided, and runs that are moved, since estimates are too short.
TEST_F(LearnedTest, AWorkerIsNotSlowForRunsThatAreExpectedToTakeLong)
{
    join(entry("w"));
    teach("w", "underestimated", 5'000, 20);
    work::StepSpec known = step(1);
    known.image = "underestimated";
    work::StepSpec other = step(1);
    const auto isSlow = [this](const work::StepSpec &spec, const std::string &name) {
        add(name + "1", {spec});
        add(name + "2", {spec});
        const auto runs = startAll();
        const size_t before = eventDetails("worker_slow").size();
        for (const int32_t percent : {0, 10, 20, 30}) { // of 5 s
            report("w", {running(runs.at(0), percent), running(runs.at(1), percent)});
            m_now += Duration(500);
        }
        const bool slow = eventDetails("worker_slow").size() > before;
        report("w", {},
               {ended(runs.at(0), RunOutcome::Stopped), ended(runs.at(1), RunOutcome::Stopped)});
        m_dispatcher.cancelJob(name + "1");
        m_dispatcher.cancelJob(name + "2");
        return slow;
    };
    EXPECT_FALSE(isSlow(known, "known"));
    EXPECT_TRUE(isSlow(other, "other")) << "the same progress is slow for tasks of 1 s";
}

// Guards against approvals that are requested long before a step is ready and expire unused.
TEST_F(LearnedTest, RequestsApprovalsByTheExpectedEndOfThePreviousStep)
{
    join(entry("w"));
    teach("w", "underestimated", 6'000, 20);
    work::StepSpec longer = step(1);
    longer.image = "underestimated";
    work::StepSpec next = step(1);
    next.after = {0};
    add("longer", {longer, next});
    add("shorter", {step(1), next});
    ASSERT_EQ(startAll().size(), 2U);
    m_route.approval = ApprovalPolicy{Duration(29), 0.41, Duration(2'000)};
    setCatalog();
    m_now += Duration(950); // of 1 s by the estimates
    std::set<std::string> jobs;
    while (const auto call = m_dispatcher.nextPendingApproval(m_now, UnixNow, Duration(1'000))) {
        m_dispatcher.approvalRequested(*call);
        jobs.insert(call->step.job);
    }
    EXPECT_EQ(jobs, std::set<std::string>{"shorter"});
}

// Guards against a worker that is judged by the speed of its former incarnation.
TEST_F(UnevenPairTest, ARestartedWorkerHasNoKnownSpeed)
{
    EXPECT_EQ(workerOf("before"), "fast") << "for a step with little slack";
    report("fast", {}, {}, 2);
    report("a-slow", {}, {}, 2);
    EXPECT_EQ(workerOf("after"), "a-slow") << "the first of two equal workers";
}

// Guards against a team at its limit whose batch work uses the limit for longer on slow workers, so
// that all its work waits.
TEST_F(UnevenPairTest, ATeamNearItsLimitDoesNotPreferSlowWorkers)
{
    m_jobRoute = "batch";
    EXPECT_EQ(workerOf("unlimited"), "a-slow") << "a step with much slack";
    m_limit = {8'000, 0, 0, 0, 0};
    setCatalog();
    EXPECT_EQ(workerOf("unused"), "a-slow") << "nothing of the limit is in use";
    m_jobRoute = "r";
    occupy("fast", 4'000);
    m_jobRoute = "batch";
    EXPECT_EQ(workerOf("half-used"), "fast");
}

} // namespace cardamompaddle
