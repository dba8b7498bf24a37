// Drives the dispatcher through takeovers beside silent workers, while starts go out before they
// are recorded: no task may run twice, no limit be exceeded, and no step wait for a worker that
// cannot run it.
//
// CARDAMOMPADDLE_SEEDS sets the number of seeds and CARDAMOMPADDLE_FIRST_SEED the first one.

#include "control/start_promise_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace cardamompaddle {
namespace {

using namespace promise;

// A step starts within this time after it is ready, after the takeover and after the workers that
// can be reached are known.
constexpr Duration StartBound{3'000};
constexpr Duration TakeoverAt{5'000};
// Workers that fall silent for longer than StartBound, so that waiting for them shows.
constexpr Duration SilentLeaseTime{7'000};

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr uint64_t DefaultSeeds = 10;
#else
constexpr uint64_t DefaultSeeds = 100;
#endif

Scenario drawScenario(Draw &draw)
{
    Scenario out;
    out.load = static_cast<double>(draw.between(10, 45)) / 100;
    out.instances = static_cast<int>(draw.between(3, 8));
    out.workers = static_cast<int>(draw.between(24, 48));
    out.capacity = {16'000, 32'000, 0, 0, 0};
    out.policy = {Duration(draw.between(20, 200)), 2, Duration(2'000), 0.7};
    out.unrecordedAppendTime = Duration(draw.between(100, 400));
    out.length = Duration(14'000);
    return out;
}

struct Summary
{
    std::vector<std::string> violations; // task run twice or limit exceeded
    std::vector<std::string> lateSteps;
    int64_t steps = 0; // that were ready after the takeover while workers were silent
};

// Takes over at TakeoverAt. Some workers leave or fall silent before, long enough for the log to
// tell of it, or at the same moment.
class TakeoverSimulation : private FleetSimulation
{
public:
    TakeoverSimulation(uint64_t seed, bool silentAtTakeover)
        : FleetSimulation(seed, drawScenario), m_silentAtTakeover(silentAtTakeover)
    { }

    Summary run()
    {
        m_time.after(TakeoverAt - Duration(1'500), [this] { disturbWorkers(false); });
        m_time.after(TakeoverAt, [this] {
            if (m_silentAtTakeover)
                disturbWorkers(true);
            beginTenure();
            m_tookOverAt = m_time.now();
        });
        FleetSimulation::runWithoutFaults();
        m_summary.violations = m_violations;
        return m_summary;
    }

private:
    // Silences some workers; `atTakeover` means that nobody notices before the takeover.
    void disturbWorkers(bool atTakeover)
    {
        for (int64_t n = m_draw.between(1, 3); n > 0; --n) {
            const WorkerId id = drawWorker();
            if (m_silentWorkers.contains(id))
                continue;
            if (!atTakeover && m_draw.percent(50))
                drainWorker(id);
            silenceWorker(id, SilentLeaseTime);
        }
    }
    void onTick() override
    {
        addJobs();
        if (m_tookOverAt && !m_silentAtTakeover)
            checkWaits();
    }
    work::StepSpec makeStep(int64_t tasks, int64_t cores, Duration runTime)
    {
        work::StepSpec out;
        out.tasks = static_cast<int32_t>(tasks);
        out.cpuMilli = cores * 1'000;
        out.memoryMb = cores * 1'000;
        out.estimatedMs = runTime.count();
        return out;
    }
    void addJobs()
    {
        int64_t openCpu = 0;
        for (const std::string &id : m_order) {
            const JobState &job = m_jobs.at(id);
            for (size_t i = 0; i < job.steps.size() && !job.ended; ++i)
                openCpu +=
                    job.isDone(i) ? 0 : job.spec->steps[i].tasks * job.spec->steps[i].cpuMilli;
        }
        const auto target = static_cast<int64_t>(m_scenario.load * static_cast<double>(poolCpu()));
        for (int n = 0; n < 5 && openCpu < target; ++n) {
            std::vector<work::StepSpec> steps = {makeStep(
                m_draw.between(1, 12), m_draw.between(1, 4), Duration(m_draw.between(300, 4'000)))};
            if (m_draw.percent(50)) {
                steps.push_back(
                    makeStep(m_draw.between(1, 6), 2, Duration(m_draw.between(300, 2'000))));
                steps.back().after = {0};
                steps.back().gang = m_draw.percent(30);
            }
            auto spec = std::make_shared<work::Submission>();
            spec->id = "j" + std::to_string(m_order.size());
            spec->route = m_draw.percent(30) ? "gang" : "batch";
            spec->team = teamName(m_draw.between(0, Teams - 1));
            spec->steps = std::move(steps);
            spec->acceptedAtMs = unixMs();
            openCpu += spec->steps[0].tasks * spec->steps[0].cpuMilli;
            addJob(spec);
        }
    }
    // Returns whether the log tells that the steps before this one have ended. An end that a silent
    // worker has not told yet is not known.
    bool isKnownToBeReady(const JobState &job, size_t number) const
    {
        return std::ranges::all_of(job.spec->steps[number].after, [&job](int32_t before) {
            size_t succeeded = 0;
            for (const auto &[part, progress] : job.progress) {
                for (const work::StepProgress &step : progress.steps)
                    succeeded += step.step == before ? step.succeeded.size() : 0;
            }
            const work::StepSpec &spec = job.spec->steps[static_cast<size_t>(before)];
            return succeeded == static_cast<size_t>(spec.tasks);
        });
    }
    // A step of which the log names no run has nothing to wait for.
    bool mayHaveRuns(const JobState &job, size_t number) const
    {
        for (const auto &[part, progress] : job.progress) {
            for (const work::StepProgress &step : progress.steps) {
                if (step.step == static_cast<int32_t>(number) && !step.placedOn.empty())
                    return true;
            }
        }
        return job.steps[number].running > 0;
    }
    void checkWaits()
    {
        const Instant now = m_time.now();
        const bool full = m_usedCpu * 2 >= poolCpu();
        for (const std::string &id : m_order) {
            JobState &job = m_jobs.at(id);
            for (size_t i = 0; i < job.steps.size() && !job.ended; ++i) {
                StepState &step = job.steps[i];
                const work::StepSpec &spec = job.spec->steps[i];
                const int64_t use = m_teamCpu[job.spec->team];
                const int64_t limit = m_catalog->teams.at(job.spec->team).limit.cpuMilli;
                const bool counts = !full && !job.isDone(i) && isKnownToBeReady(job, i)
                                    && !mayHaveRuns(job, i) && use * 2 < limit;
                if (!counts) {
                    step.waitsSince.reset();
                    continue;
                }
                m_summary.steps += std::exchange(step.counted, true) ? 0 : 1;
                step.waitsSince = step.waitsSince.value_or(now);
                if (now - *step.waitsSince < StartBound || std::exchange(step.broken, true))
                    continue;
                m_summary.lateSteps.push_back(
                    id + "/" + std::to_string(i) + " tasks=" + std::to_string(spec.tasks)
                    + " gang=" + (spec.gang ? "true" : "false") + " at_ms="
                    + std::to_string((now - m_begin).count()) + " lacks=(" + job.lastWait + ")");
            }
        }
    }

    bool m_silentAtTakeover;
    std::optional<Instant> m_tookOverAt;
    Summary m_summary;
};

uint64_t environmentNumber(const char *name, uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

Summary runSeeds(bool silentAtTakeover)
{
    const uint64_t seeds = environmentNumber("CARDAMOMPADDLE_SEEDS", DefaultSeeds);
    const uint64_t first = environmentNumber("CARDAMOMPADDLE_FIRST_SEED", 1);
    Summary out;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        const Summary summary = TakeoverSimulation(seed, silentAtTakeover).run();
        const std::string prefix = "seed=" + std::to_string(seed) + " ";
        for (const std::string &it : summary.violations)
            out.violations.push_back(prefix + it);
        for (const std::string &it : summary.lateSteps)
            out.lateSteps.push_back(prefix + it);
        out.steps += summary.steps;
    }
    for (const std::string &it : out.violations)
        std::cout << it << "\n";
    for (const std::string &it : out.lateSteps)
        std::cout << it << "\n";
    std::cout << "steps=" << out.steps << " late=" << out.lateSteps.size()
              << " violations=" << out.violations.size() << "\n";
    return out;
}

// Guards against steps that wait for the leases of workers which, as the log tells, cannot run
// them, and against a record of that which is wrong, so that a task runs twice or a limit is
// exceeded.
TEST(TakeoverPromiseTest, WorkersKnownToBeSilentHoldBackOnlyWhatMayRunThere)
{
    const Summary summary = runSeeds(false);
    EXPECT_TRUE(summary.violations.empty());
    EXPECT_TRUE(summary.lateSteps.empty());
    EXPECT_GT(summary.steps, 0) << "nothing was checked";
}

// Guards against a task that runs twice, or a limit that is exceeded, because a run that no record
// names goes on at a worker that falls silent together with the scheduler.
TEST(TakeoverPromiseTest, WorkersThatFallSilentWithTheSchedulerRunNothingTwice)
{
    const Summary summary = runSeeds(true);
    EXPECT_TRUE(summary.violations.empty());
}

} // namespace
} // namespace cardamompaddle
