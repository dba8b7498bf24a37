// Measures the processor time that a Dispatcher takes for a steady load, on one thread.
//
// Each benchmark plays jobs as they arrive, runs that end, reports of all workers and one pass
// every PassInterval. It reports processor time in milliseconds for each simulated second.
#include "base/hash.h"
#include "dispatch/dispatcher.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr Duration Step{4}; // of the simulated time: one pass
constexpr Duration FlushInterval{24};
constexpr Duration WarmUp{4'000};
constexpr Duration Measured{4'000};
// A burst of the quick route on a fleet that the steady load has filled to nine tenths.
constexpr Duration BurstWarmUp{12'000};
constexpr double BurstLoad = 1.5;
constexpr double BurstQuickFactor = 2;
constexpr Duration AfterBurst{8'000}; // in which jobs of the burst may still complete
constexpr Duration StopTime{400}; // from a stop order to the end of the run
constexpr Duration ResumeTime{425}; // lost by a run that resumes from a checkpoint
constexpr int WorkersPerRack = 12;
constexpr int BaseWorkers = 350; // the arrival rates below are for this many workers
constexpr double QuickPerSecond = 28;
constexpr double SavedPerSecond = 4;
constexpr double GangShare = 0.08;
constexpr int Teams = 20;
constexpr int64_t UnixEpochMs = 1'000'000;

double threadMillis()
{
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) * 1e3 + static_cast<double>(at.tv_nsec) / 1e6;
}

// Adds the processor time of its lifetime to a sum.
class CpuTimer
{
public:
    explicit CpuTimer(double &sum) : m_sum(sum), m_start(threadMillis()) { }
    ~CpuTimer() { m_sum += threadMillis() - m_start; }
    CpuTimer(const CpuTimer &) = delete;
    CpuTimer &operator=(const CpuTimer &) = delete;

private:
    double &m_sum;
    double m_start;
};

// Processor time in ms.
struct Costs
{
    double decide = 0;
    double nextEvent = 0;
    double approvals = 0;
    double reports = 0;
    double progress = 0;
};

struct JobCounts
{
    int64_t arrived = 0;
    int64_t inTime = 0; // completed within the objective

    double inTimePercent() const
    {
        return arrived == 0 ? 0
                            : 100.0 * static_cast<double>(inTime) / static_cast<double>(arrived);
    }
};

// A fleet with generated work. `load` scales the arrival rates. If it is uneven, two thirds of the
// workers run at 0.7 of the usual speed, the others at 1.7, and estimates are off by a factor of up
// to 2.5. Not thread-safe.
class Fleet
{
public:
    Fleet(int workers, double load, bool uneven = false, const SchedulingPolicies &policies = {},
          uint64_t seed = 1)
        : m_random(seed), m_workers(static_cast<size_t>(workers)), m_load(load), m_uneven(uneven),
          m_dispatcher(optionsWith(policies), nullptr)
    {
        m_catalog = makeCatalog();
        m_dispatcher.setCatalog(m_catalog);
        for (int i = 0; i < workers; ++i) {
            m_dispatcher.setWorker(makeWorker(i));
            report(i);
            m_dispatcher.setReachable(workerId(i), true);
        }
        for (int i = 0; i < workers / 30; ++i)
            add("watch", makeStep(20, 9'000, 17'000, 0), false);
    }

    void run(Duration time)
    {
        const Instant end = m_now + time;
        while (m_now < end)
            advance();
    }

    // Fills the workers with saved runs that need no approval, and adds quick jobs that find no
    // room. The next decision then considers all workers for each of them.
    void fillAll(int quickJobs)
    {
        auto catalog = std::make_shared<Catalog>(*m_catalog);
        for (auto &[name, route] : catalog->routes)
            route.approval.reset();
        for (auto &[name, team] : catalog->teams)
            team.limit = {};
        m_catalog = catalog;
        m_dispatcher.setCatalog(catalog);
        work::StepSpec step =
            makeStep(static_cast<int32_t>(m_workers.size()) * 8, 8'000, 1'000, 60'000);
        step.checkpointing = true;
        add("saved", step, false);
        decide();
        m_now += Duration(2'000);
        for (int i = 0; i < quickJobs; ++i)
            add("quick", makeStep(10, 7'500, 1'000, 100), false);
        m_now += Duration(600);
        costs = {};
        decide();
    }
    // Sets the objectives of customer A of contention.md.
    void setObjectives()
    {
        auto catalog = std::make_shared<Catalog>(*makeCatalog());
        catalog->routes["quick"].slowdownFactor = 1.5;
        catalog->routes["quick"].latencyTarget = Duration(250);
        catalog->routes["saved"].slowdownFactor = 2.2;
        catalog->routes["saved"].latencyTarget = Duration(1'200);
        m_catalog = catalog;
        m_dispatcher.setCatalog(catalog);
    }

    Costs costs;
    JobCounts quick;
    JobCounts saved;
    bool countsJobs = false; // whether jobs that arrive are counted
    int callsPerStep = 1; // of the policy service
    double quickFactor = 1; // multiplies the arrival rate of the quick route
    int64_t starts = 0;
    int64_t stops = 0;
    // Of all starts in their order; equal for versions that decide equally.
    uint32_t checksum = 0;
    size_t openJobs() const { return m_openJobs; }
    // Returns the share of the processors that runs use now.
    double usedPercent() const
    {
        int64_t used = 0;
        for (const SimulatedWorker &worker : m_workers) {
            for (const Run &run : worker.running)
                used += run.cpuMilli;
        }
        return 100.0 * static_cast<double>(used) / static_cast<double>(m_cpuMilli);
    }

private:
    struct Run
    {
        TaskRef task;
        int64_t run = 0;
        Instant startedAt;
        Duration length{0}; // 0: runs on
        int64_t cpuMilli = 0;
        Instant stopsAt = Instant::max(); // once a stop was ordered
    };
    struct Due
    {
        JobCounts *counts = nullptr;
        Instant at;
    };
    struct SimulatedWorker
    {
        std::vector<Run> running;
        int64_t lastPosition = 0;
    };

    static DispatchOptions optionsWith(const SchedulingPolicies &policies)
    {
        DispatchOptions out;
        out.offRackFactor = 2.0;
        out.policies = policies;
        return out;
    }
    static std::string workerId(int number) { return "w" + std::to_string(number); }
    static std::shared_ptr<const Catalog> makeCatalog()
    {
        auto catalog = std::make_shared<Catalog>();
        const auto addRoute = [&](const char *name, int32_t priority, double decisionMs,
                                  double perWorkerMs) {
            WorkRoute route;
            route.name = name;
            route.pool = "p";
            route.priority = priority;
            route.maxAttempts = 4;
            route.slowdownFactor = 2;
            route.latencyTarget = Duration(1'000);
            route.approval = ApprovalPolicy{Duration(static_cast<int64_t>(decisionMs)), perWorkerMs,
                                            Duration(2'000)};
            catalog->routes[name] = route;
        };
        addRoute("quick", 0, 29, 0.41);
        addRoute("saved", 2, 400, 5.7);
        addRoute("watch", 1, 450, 6.5);
        for (int i = 0; i < Teams; ++i) {
            Team team;
            team.name = "t" + std::to_string(i);
            team.limit = {2'000'000, 0, 0, 0, 0};
            catalog->teams[team.name] = team;
        }
        return catalog;
    }
    WorkerEntry makeWorker(int number)
    {
        WorkerEntry out;
        out.id = workerId(number);
        out.pool = "p";
        out.availabilityZone = "z" + std::to_string(number % 5);
        out.labels = {"kind-a", "rack" + std::to_string(number / WorkersPerRack)};
        const int64_t quarters = std::vector<int64_t>{4, 4, 2, 8}[m_random() % 4];
        out.capacity = {8'000 * quarters, 16'384 * quarters, 0, 0, 0};
        m_cpuMilli += out.capacity.cpuMilli;
        return out;
    }
    static work::StepSpec makeStep(int32_t tasks, int64_t cpuMilli, int64_t memoryMb,
                                   int64_t estimatedMs)
    {
        work::StepSpec out;
        out.tasks = tasks;
        out.cpuMilli = cpuMilli;
        out.memoryMb = memoryMb;
        out.estimatedMs = estimatedMs;
        out.longRunning = estimatedMs == 0;
        return out;
    }
    void add(const std::string &route, const work::StepSpec &step, bool secondStep)
    {
        auto job = std::make_shared<work::Submission>();
        job->id = "job" + std::to_string(++m_jobCount);
        job->route = route;
        job->team = "t" + std::to_string(m_random() % Teams);
        job->acceptedAtMs = unixMs();
        job->steps = {step};
        if (secondStep) {
            job->steps.push_back(step);
            job->steps.back().after = {0};
        }
        m_dispatcher.addJob(job, {}, false);
        ++m_openJobs;
        if (!countsJobs || step.longRunning)
            return;
        const WorkRoute &row = m_catalog->routes.at(route);
        const int64_t chainMs = step.estimatedMs * static_cast<int64_t>(job->steps.size());
        JobCounts &counts = route == "quick" ? quick : saved;
        ++counts.arrived;
        m_due[job->id] = {&counts, m_now + row.latencyTarget
                                       + Duration(static_cast<int64_t>(
                                           row.slowdownFactor * static_cast<double>(chainMs)))};
    }
    void addArrivals()
    {
        const double seconds = static_cast<double>(Step.count()) / 1e3 * m_load
                               * static_cast<double>(m_workers.size()) / BaseWorkers;
        m_quickDue += QuickPerSecond * quickFactor * seconds;
        m_savedDue += SavedPerSecond * seconds;
        for (; m_quickDue >= 1; --m_quickDue)
            add("quick", makeStep(between(2, 18), between(2'000, 7'000), 7'800, 1'000),
                m_random() % 2 == 0);
        for (; m_savedDue >= 1; --m_savedDue) {
            work::StepSpec step = makeStep(between(6, 22), between(5'000, 13'000), 9'200, 6'000);
            step.checkpointing = true;
            step.gang = static_cast<double>(m_random() % 1'000) < GangShare * 1'000;
            step.sameRack = step.gang;
            add("saved", step, m_random() % 2 == 0);
        }
    }
    int32_t between(int32_t least, int32_t most)
    {
        return least + static_cast<int32_t>(m_random() % static_cast<uint64_t>(most - least + 1));
    }
    int64_t unixMs() const { return UnixEpochMs + m_now.time_since_epoch().count(); }

    void advance()
    {
        m_now += Step;
        addArrivals();
        for (size_t i = 0; i < m_workers.size(); ++i) {
            const auto &running = m_workers[i].running;
            const bool ended = std::any_of(running.begin(), running.end(),
                                           [this](const Run &it) { return isOver(it); });
            // An idle poll returns after about a second.
            if (ended || (m_now.time_since_epoch() / Step) % 250 == static_cast<int64_t>(i) % 250)
                report(static_cast<int>(i));
        }
        decide();
        for (int i = 0; i < callsPerStep; ++i)
            askApprovals();
        if (m_now - m_flushedAt >= FlushInterval) {
            m_flushedAt = m_now;
            const CpuTimer timer(costs.progress);
            for (const work::Progress &it : m_dispatcher.takeProgress(unixMs())) {
                if (it.state < work::JobState::Completed)
                    continue;
                --m_openJobs;
                if (const auto due = m_due.find(it.id); due != m_due.end()) {
                    due->second.counts->inTime += m_now <= due->second.at ? 1 : 0;
                    m_due.erase(due);
                }
            }
        }
    }
    bool isOver(const Run &run) const
    {
        return m_now >= run.stopsAt
               || (run.length > Duration::zero() && m_now - run.startedAt >= run.length);
    }
    void report(int number)
    {
        SimulatedWorker &worker = m_workers[static_cast<size_t>(number)];
        RunReport out;
        out.requestedAt = m_now;
        out.startedAtMs = 1;
        for (const Run &run : worker.running) {
            if (isOver(run)) {
                const bool stopped = m_now >= run.stopsAt;
                out.ended.push_back({++worker.lastPosition, run.task, run.run,
                                     stopped ? RunOutcome::Stopped : RunOutcome::Succeeded,
                                     stopped ? "saved" : ""});
                continue;
            }
            const int64_t percent =
                run.length == Duration::zero() ? 100 : (m_now - run.startedAt) * 100 / run.length;
            out.running.push_back({run.task, run.run, "", static_cast<int32_t>(percent), 0});
        }
        std::erase_if(worker.running, [this](const Run &it) { return isOver(it); });
        const CpuTimer timer(costs.reports);
        m_dispatcher.workerReported(workerId(number), out, m_now);
    }
    void decide()
    {
        Orders orders;
        {
            const CpuTimer timer(costs.decide);
            orders = m_dispatcher.decide(m_now, unixMs());
        }
        {
            const CpuTimer timer(costs.nextEvent);
            benchmark::DoNotOptimize(m_dispatcher.nextEvent(m_now, unixMs()));
        }
        starts += static_cast<int64_t>(orders.starts.size());
        for (const StopOrder &order : orders.stops)
            stop(order);
        for (const StartOrder &order : orders.starts) {
            for (const char it : order.worker + order.task.toString())
                checksum = checksum * 31 + static_cast<unsigned char>(it);
            const work::StepSpec &spec =
                order.job->steps[static_cast<size_t>(order.task.step.step)];
            const auto number = static_cast<size_t>(std::stoi(order.worker.substr(1)));
            Duration length = lengthOf(order, number);
            if (const auto saved = m_saved.find(order.task); saved != m_saved.end())
                length = std::max(ResumeTime, length - saved->second + ResumeTime);
            m_workers[number].running.push_back(
                {order.task, order.run, m_now, length, spec.cpuMilli});
            const CpuTimer timer(costs.reports);
            m_dispatcher.startAnswered(order, StartOutcome::Started, m_now);
        }
    }
    void stop(const StopOrder &order)
    {
        m_dispatcher.stopAnswered(order, m_now);
        for (Run &run : m_workers[static_cast<size_t>(std::stoi(order.worker.substr(1)))].running) {
            if (run.task != order.task || run.run != order.run || run.stopsAt != Instant::max())
                continue;
            run.stopsAt = m_now + StopTime;
            m_saved[run.task] += m_now - run.startedAt;
            ++stops;
        }
    }
    Duration lengthOf(const StartOrder &order, size_t worker) const
    {
        const Duration estimate(
            order.job->steps[static_cast<size_t>(order.task.step.step)].estimatedMs);
        if (!m_uneven)
            return estimate;
        const double position = static_cast<double>(stableHash(order.job->id) % 201) / 100 - 1;
        const double factor = std::pow(2.5, position) / (worker % 3 == 0 ? 1.7 : 0.7);
        return Duration(std::llround(static_cast<double>(estimate.count()) * factor));
    }
    // Answers one call of the policy service. It approves 7 of 10 workers.
    void askApprovals()
    {
        const CpuTimer timer(costs.approvals);
        const auto pending = m_dispatcher.nextPendingApproval(m_now, unixMs(), Duration(10'000));
        if (!pending)
            return;
        std::vector<work::Approval> answer;
        for (const WorkerId &id : pending->workers) {
            work::Approval approval;
            approval.worker = id;
            approval.ticket = "ticket";
            if (m_random() % 10 < 7)
                answer.push_back(approval);
        }
        m_dispatcher.approvalRequested(*pending);
        m_dispatcher.approvalAnswered(*pending, &answer, m_now, m_now);
    }

    std::mt19937_64 m_random;
    std::vector<SimulatedWorker> m_workers;
    double m_load = 1;
    bool m_uneven = false;
    double m_quickDue = 0;
    double m_savedDue = 0;
    std::shared_ptr<const Catalog> m_catalog;
    std::map<std::string, Due> m_due; // of the counted jobs, by ID
    std::map<TaskRef, Duration> m_saved; // what stopped runs had done, by task
    int64_t m_jobCount = 0;
    int64_t m_cpuMilli = 0; // of all workers
    size_t m_openJobs = 0;
    Instant m_now = instantFromMs(100'000);
    Instant m_flushedAt = m_now;
    Dispatcher m_dispatcher;
};

// Plays the load to the fleet once, and reports what it cost from `warmUp` on.
void measure(benchmark::State &state, Fleet &fleet, Duration warmUp, double quickFactor)
{
    fleet.run(warmUp);
    fleet.costs = {};
    fleet.starts = 0;
    fleet.stops = 0;
    fleet.quickFactor = quickFactor;
    fleet.countsJobs = true;
    fleet.run(Measured);
    const double seconds = static_cast<double>(Measured.count()) / 1e3;
    state.counters["decide_ms_per_s"] = fleet.costs.decide / seconds;
    state.counters["next_event_ms_per_s"] = fleet.costs.nextEvent / seconds;
    state.counters["approvals_ms_per_s"] = fleet.costs.approvals / seconds;
    state.counters["reports_ms_per_s"] = fleet.costs.reports / seconds;
    state.counters["progress_ms_per_s"] = fleet.costs.progress / seconds;
    state.counters["starts_per_s"] = static_cast<double>(fleet.starts) / seconds;
    state.counters["stops_per_s"] = static_cast<double>(fleet.stops) / seconds;
    state.counters["used_percent"] = fleet.usedPercent();
    state.counters["checksum"] = fleet.checksum;
    state.counters["open_jobs"] = static_cast<double>(fleet.openJobs());
}

// Arguments: workers, and load in percent of the steady arrival rates.
void measureLoad(benchmark::State &state, bool uneven, const SchedulingPolicies &policies)
{
    while (state.KeepRunning()) {
        Fleet fleet(static_cast<int>(state.range(0)), static_cast<double>(state.range(1)) / 100,
                    uneven, policies);
        measure(state, fleet, WarmUp, 1);
    }
}

void steadyLoad(benchmark::State &state)
{
    measureLoad(state, false, {});
}
BENCHMARK(steadyLoad)
    ->ArgNames({"workers", "load"})
    ->ArgsProduct({{48, 350, 2'000}, {100, 250}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Arguments: workers, whether runs may be preempted for room, and the seed of the generated work.
void quickBurst(benchmark::State &state)
{
    SchedulingPolicies policies;
    if (state.range(1) != 0)
        policies.preemption = PreemptionScope::Pool;
    while (state.KeepRunning()) {
        Fleet fleet(static_cast<int>(state.range(0)), BurstLoad, false, policies,
                    static_cast<uint64_t>(state.range(2)));
        fleet.setObjectives();
        fleet.callsPerStep = std::max(1, static_cast<int>(state.range(0)) / BaseWorkers);
        measure(state, fleet, BurstWarmUp, BurstQuickFactor);
        fleet.countsJobs = false;
        fleet.quickFactor = 1;
        fleet.run(AfterBurst);
        state.counters["quick_in_time_percent"] = fleet.quick.inTimePercent();
        state.counters["saved_in_time_percent"] = fleet.saved.inTimePercent();
    }
}
BENCHMARK(quickBurst)
    ->ArgNames({"workers", "preemption", "seed"})
    ->ArgsProduct({{350}, {0, 1}, {1, 2, 3, 4, 5, 6, 7, 8}})
    ->ArgsProduct({{2'000}, {0, 1}, {1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// One decision for quick steps on a full pool, each of which considers all workers. Arguments:
// workers, and whether runs may be preempted for room.
void fullPool(benchmark::State &state)
{
    constexpr int QuickJobs = 20;
    SchedulingPolicies policies;
    if (state.range(1) != 0)
        policies.preemption = PreemptionScope::Pool;
    while (state.KeepRunning()) {
        Fleet fleet(static_cast<int>(state.range(0)), 1, false, policies);
        fleet.fillAll(QuickJobs);
        state.counters["decide_ms"] = fleet.costs.decide;
        state.counters["stops"] = static_cast<double>(fleet.stops);
        state.counters["used_percent"] = fleet.usedPercent();
    }
}
BENCHMARK(fullPool)
    ->ArgNames({"workers", "preemption"})
    ->ArgsProduct({{350, 2'000}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// The third argument is the EstimateStrategy.
void unevenLoad(benchmark::State &state)
{
    SchedulingPolicies policies;
    policies.estimates = static_cast<EstimateStrategy>(state.range(2));
    measureLoad(state, true, policies);
}
BENCHMARK(unevenLoad)
    ->ArgNames({"workers", "load", "estimates"})
    ->ArgsProduct({{350, 2'000}, {100}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace cardamompaddle

BENCHMARK_MAIN();
