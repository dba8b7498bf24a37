// Measures the cost of scheduling decisions on one thread.
//
// Each benchmark keeps about 90% of a pool's slots busy, with 110 teams and work of several
// urgencies. A fifth of the tasks are long services. Decision times are in processor time of the
// thread, which other programs on the machine affect less; wall-clock times are reported as well.
#include "scheduler/pool_scheduler.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <deque>
#include <random>

namespace cardamompaddle {
namespace {

constexpr int Teams = 110;
// 17,000 tasks occupy about 90% of the slots of 2,000 workers.
constexpr int SlotsPerWorker = 9;

class OpenGate final : public StartGate
{
public:
    bool mayStart(const std::string &, int32_t) override { return true; }
    bool mayStartNonRepeatable(const TaskId &) override { return true; }
    void startDecided(const std::string &) override { }
};

double threadMicros()
{
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) * 1e6 + static_cast<double>(at.tv_nsec) / 1e3;
}

double wallMicros()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double, std::micro>(now).count();
}

double quantile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

// The measurements of one benchmark. Each benchmark reports all counters, as the CSV output
// requires.
struct Measurements
{
    std::vector<double> cpu; // microseconds of each decide(), in processor time
    std::vector<double> wall; // microseconds of each decide(), in wall-clock time
    int64_t starts = 0;
    double totalMicros = 0; // microseconds of processor time, including submissions and task ends
    double delayMs = 0; // longest delay of a decision by a cancel wave, in processor time
    double delayWallMs = 0; // the same in wall-clock time

    void report(benchmark::State &state)
    {
        state.counters["placements_per_s"] =
            totalMicros > 0 ? static_cast<double>(starts) * 1e6 / totalMicros : 0;
        state.counters["decide_p50_us"] = quantile(cpu, 0.5);
        state.counters["decide_p99_us"] = quantile(cpu, 0.99);
        state.counters["decide_wall_p99_us"] = quantile(wall, 0.99);
        state.counters["delay_ms"] = delayMs;
        state.counters["delay_wall_ms"] = delayWallMs;
    }
};

// A pool with generated work at 90% of its slots. Not thread-safe.
class Fleet
{
public:
    explicit Fleet(int workers) : m_workers(workers)
    {
        PoolSpec pool;
        pool.name = "bench";
        m_scheduler.emplace(std::move(PoolScheduler::create(pool, nullptr, {}).value()));
        std::map<std::string, TeamSpec> teams;
        for (int it = 0; it < Teams; ++it)
            teams["team" + std::to_string(it)] = {"team" + std::to_string(it), 1 + it % 7, 0};
        m_scheduler->setTeams(teams);
        for (int it = 0; it < workers; ++it)
            m_scheduler->workerAcquired(worker(it), {}, m_now);
        // Services are a fifth of the load, requests and batch jobs the rest.
        const int target = workers * SlotsPerWorker * 9 / 10;
        for (int it = 0; it < target / 5; ++it)
            submit(WorkKind::Service);
        decide(target);
        m_serviceCount = m_running.size();
        m_running.clear();
        while (running() < static_cast<size_t>(target)) {
            submit(randomKind());
            decide(1'000);
        }
    }

    size_t running() const { return m_serviceCount + m_running.size(); }

    // Ends the oldest `tasks` tasks and submits as many new jobs.
    void replaceOldest(int tasks)
    {
        for (int it = 0; it < tasks && !m_running.empty(); ++it) {
            const Decision &done = m_running.front();
            m_scheduler->taskEnded(done.worker, {done.start.task, done.start.attempt},
                                   TaskOutcome::Succeeded, m_now);
            m_running.pop_front();
        }
        for (int it = 0; it < tasks; ++it)
            submit(randomKind());
    }

    // Calls decide() once for at most about `max` decisions. Returns the number of starts.
    int decide(int max)
    {
        m_now += Duration(1);
        int starts = 0;
        for (Decision &it : m_scheduler->decide(m_now, m_gate, max)) {
            if (it.kind == DecisionKind::Stop)
                m_scheduler->taskEnded(it.worker, it.target, TaskOutcome::Stopped, m_now);
            if (it.kind != DecisionKind::Start)
                continue;
            ++starts;
            m_running.push_back(std::move(it));
        }
        return starts;
    }

    void submit(WorkKind kind)
    {
        WorkItem item;
        item.sequence = ++m_sequence;
        item.spec.key = {"team" + std::to_string(m_random() % Teams),
                         "job" + std::to_string(m_sequence)};
        item.spec.route = "route" + std::to_string(static_cast<int>(kind));
        item.spec.kind = kind;
        item.spec.urgency = kind == WorkKind::Request ? 7 : 2 + static_cast<int>(m_random() % 4);
        item.spec.perTask = {500 + static_cast<int64_t>(m_random() % 4) * 250,
                             512 + static_cast<int64_t>(m_random() % 4) * 512,
                             m_random() % 8 == 0 ? 1 : 0, 1, 1};
        item.alreadyAccepted = true;
        if (kind == WorkKind::Request)
            item.deadline = m_now + Duration(10'000);
        m_keys.push_back(item.spec.key);
        benchmark::DoNotOptimize(m_scheduler->submit(item, m_now).ok());
    }

    // Queues batch jobs, more than the free capacity takes.
    void fillQueue(int jobs)
    {
        m_keys.clear();
        for (int it = 0; it < jobs; ++it)
            submit(WorkKind::Batch);
    }

    PoolScheduler &scheduler() { return *m_scheduler; }
    const std::deque<JobKey> &keys() const { return m_keys; }
    Instant now() const { return m_now; }

private:
    WorkKind randomKind() { return m_random() % 2 == 0 ? WorkKind::Request : WorkKind::Batch; }

    static WorkerInfo worker(int number)
    {
        WorkerInfo info;
        info.id = "worker" + std::to_string(number);
        info.availabilityZone = "zone" + std::to_string(number % 17);
        info.rack = "rack" + std::to_string(number / 6);
        info.capacity = {16'000, 32'768, number % 2 == 0 ? 4 : 0, SlotsPerWorker, 64};
        return info;
    }

    int m_workers;
    Instant m_now = instantFromMs(0);
    uint64_t m_sequence = 0;
    std::mt19937_64 m_random{7};
    OpenGate m_gate;
    std::optional<PoolScheduler> m_scheduler;
    std::deque<Decision> m_running;
    std::deque<JobKey> m_keys;
    size_t m_serviceCount = 0;
};

void measureDecisions(benchmark::State &state, Fleet &fleet, int maxDecisions)
{
    Measurements measurements;
    while (state.KeepRunning()) {
        const double began = threadMicros();
        fleet.replaceOldest(1);
        const double cpuBefore = threadMicros();
        const double wallBefore = wallMicros();
        measurements.starts += fleet.decide(maxDecisions);
        measurements.wall.push_back(wallMicros() - wallBefore);
        const double ended = threadMicros();
        measurements.cpu.push_back(ended - cpuBefore);
        measurements.totalMicros += ended - began;
    }
    measurements.report(state);
}

// Each iteration ends a task, submits a job and calls decide() for one start.
void placements(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    measureDecisions(state, fleet, 1);
}
BENCHMARK(placements)->Arg(48)->Arg(200)->Arg(2'000)->Iterations(60'000);

// As above with a full pool and 3,000 waiting jobs; each decide() returns about eight decisions at
// most.
void placementsWhenFull(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    fleet.fillQueue(3'000);
    while (fleet.decide(1'000) > 0) { }
    measureDecisions(state, fleet, 8);
}
BENCHMARK(placementsWhenFull)->Arg(48)->Arg(200)->Arg(2'000)->Iterations(20'000);

// Cancels 10,000 jobs at once and measures for how long this delays the next decisions.
void cancelWave(benchmark::State &state)
{
    Measurements measurements;
    while (state.KeepRunning()) {
        state.PauseTiming();
        Fleet fleet(static_cast<int>(state.range(0)));
        fleet.fillQueue(10'000);
        fleet.decide(100);
        const std::deque<JobKey> keys = fleet.keys();
        state.ResumeTiming();
        const double began = threadMicros();
        const double beganWall = wallMicros();
        for (const JobKey &it : keys)
            fleet.scheduler().cancel(it, fleet.now());
        fleet.decide(1'000);
        measurements.delayMs = std::max(measurements.delayMs, (threadMicros() - began) / 1e3);
        measurements.delayWallMs =
            std::max(measurements.delayWallMs, (wallMicros() - beganWall) / 1e3);
    }
    measurements.report(state);
}
BENCHMARK(cancelWave)->Arg(2'000)->Iterations(3);

} // namespace
} // namespace cardamompaddle

BENCHMARK_MAIN();
