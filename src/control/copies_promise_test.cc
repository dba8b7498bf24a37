// Drives the dispatcher with copies of straggling runs through takeovers, drained, restarted and
// silent workers: no task may have more than two runs, or two where its step does not allow them,
// and no limit may be exceeded.
//
// CARDAMOMPADDLE_SEEDS sets the number of seeds and CARDAMOMPADDLE_FIRST_SEED the first one.

#include "control/start_promise_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace cardamompaddle {
namespace {

using namespace promise;

constexpr Duration FaultsBegin{3'000};
constexpr Duration FaultInterval{600};
constexpr int64_t LimitPercent = 15; // of the pool, for each account

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr uint64_t DefaultSeeds = 10;
#else
constexpr uint64_t DefaultSeeds = 100;
#endif

Scenario drawScenario(Draw &draw)
{
    Scenario out;
    out.load = static_cast<double>(draw.between(10, 80)) / 100;
    out.instances = static_cast<int>(draw.between(3, 8));
    out.workers = static_cast<int>(draw.between(12, 32));
    out.capacity = {16'000, 32'000, 0, 0, 0};
    out.policy = {Duration(draw.between(20, 60)), 0.4, Duration(2'500), 0.7};
    out.batchNeedsApproval = draw.percent(50);
    out.unrecordedAppendTime = Duration(draw.percent(50) ? 0 : draw.between(100, 400));
    out.maxCopyShare = static_cast<double>(draw.between(2, 20)) / 100;
    out.slowWorkerPercent = draw.between(5, 15);
    out.length = Duration(16'000);
    return out;
}

struct Summary
{
    std::vector<std::string> violations;
    int64_t copies = 0;
    int64_t wins = 0;
    int64_t endedJobs = 0;
    int64_t overcommits = 0;
};

class CopiesSimulation : private FleetSimulation
{
public:
    explicit CopiesSimulation(uint64_t seed) : FleetSimulation(seed, drawScenario)
    {
        auto catalog = std::make_shared<Catalog>(*m_catalog);
        for (auto &[name, team] : catalog->teams)
            team.limit.cpuMilli = poolCpu() * LimitPercent / 100;
        m_catalog = catalog;
        m_dispatcher->setCatalog(m_catalog);
    }

    Summary run()
    {
        for (Duration at = FaultsBegin; at < m_scenario.length; at += FaultInterval)
            m_time.after(at, [this] { injectFault(); });
        FleetSimulation::runWithoutFaults();
        Summary out;
        out.violations = m_violations;
        out.copies = m_eventCounts["copy_started"];
        out.wins = m_eventCounts["copy_won"];
        out.overcommits = m_overcommits;
        out.endedJobs =
            std::ranges::count_if(m_jobs, [](const auto &it) { return it.second.ended; });
        return out;
    }

private:
    void injectFault()
    {
        const WorkerId id = drawWorker();
        if (m_draw.percent(10))
            drainWorker(id);
        else if (!m_silentWorkers.contains(id) && m_draw.percent(70))
            silenceWorker(id, LeaseTime);
        if (m_draw.percent(40))
            beginTenure();
    }
    void onTick() override
    {
        int64_t openCpu = 0;
        for (const std::string &id : m_order) {
            const JobState &job = m_jobs.at(id);
            for (size_t i = 0; i < job.steps.size() && !job.ended; ++i)
                openCpu +=
                    job.isDone(i) ? 0 : job.spec->steps[i].tasks * job.spec->steps[i].cpuMilli;
        }
        const auto target = static_cast<int64_t>(m_scenario.load * static_cast<double>(poolCpu()));
        for (int n = 0; n < 5 && openCpu < target; ++n)
            openCpu += addJob();
    }
    // Returns the processors that the job needs at once.
    int64_t addJob()
    {
        work::StepSpec step;
        step.tasks = static_cast<int32_t>(m_draw.between(4, 12));
        step.cpuMilli = 1'000 * m_draw.between(1, 4);
        step.memoryMb = step.cpuMilli;
        step.estimatedMs = m_draw.between(300, 1'500);
        step.copiesAllowed = m_draw.percent(70);
        auto spec = std::make_shared<work::Submission>();
        spec->id = "j" + std::to_string(m_order.size());
        spec->route = m_draw.percent(70) ? "quick" : "batch";
        spec->team = teamName(m_draw.between(0, Teams - 1));
        spec->acceptedAtMs = unixMs();
        spec->steps = {step};
        FleetSimulation::addJob(spec);
        return step.tasks * step.cpuMilli;
    }
};

uint64_t environmentNumber(const char *name, uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Guards against a third run, a second one where none is allowed, and an account beyond its limit,
// whatever happens to workers and schedulers.
TEST(CopiesPromiseTest, CopiesKeepThePromises)
{
    const uint64_t seeds = environmentNumber("CARDAMOMPADDLE_SEEDS", DefaultSeeds);
    const uint64_t first = environmentNumber("CARDAMOMPADDLE_FIRST_SEED", 1);
    Summary total;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        const Summary summary = CopiesSimulation(seed).run();
        for (const std::string &it : summary.violations)
            ADD_FAILURE() << "seed " << seed << ": " << it;
        total.copies += summary.copies;
        total.wins += summary.wins;
        total.endedJobs += summary.endedJobs;
        total.overcommits += summary.overcommits;
    }
    std::cout << "seeds=" << seeds << " copies=" << total.copies << " wins=" << total.wins
              << " ended_jobs=" << total.endedJobs << " overcommits=" << total.overcommits << "\n";
    EXPECT_GT(total.copies, 0);
    EXPECT_GT(total.wins, 0);
}

} // namespace
} // namespace cardamompaddle
