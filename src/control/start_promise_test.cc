// Drives the dispatcher and the approval requester against models of the policy service and of
// workers, over fleets, jobs and faults drawn by a seed, and checks how long ready steps wait.
//
// CARDAMOMPADDLE_SEEDS sets the number of seeds and CARDAMOMPADDLE_FIRST_SEED the first one.

#include "control/start_promise_simulation.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace cardamompaddle {
namespace {

using namespace promise;

// A step for which there is ample room starts within this time.
constexpr Duration StartBound{3'000};
// The bound counts once nothing has been disturbed for this long.
constexpr Duration CalmBefore{4'000};

// Sanitizers slow the simulation down about tenfold.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr uint64_t DefaultSeeds = 10;
#else
constexpr uint64_t DefaultSeeds = 200;
#endif

Scenario drawScenario(Draw &draw)
{
    Scenario out;
    out.load = static_cast<double>(draw.between(5, 55)) / 100;
    out.batchNeedsApproval = draw.percent(50);
    if (draw.percent(20)) {
        out.large = true;
        out.instances = 41;
        out.workers = 350;
        out.capacity = {32'000, 64'000, 0, 0, 0};
        out.policy = {Duration(400), 5.7, Duration(2'000), 0.33};
        out.maxGang = 68;
        out.minGangCpu = 9;
        out.maxGangCpu = 15;
        return out;
    }
    out.instances = static_cast<int>(draw.between(3, 8));
    out.workers = 48;
    out.capacity = {16'000, 32'000, 0, 0, 0};
    out.policy.decisionTime = Duration(draw.between(20, 400));
    out.policy.perWorkerMs = static_cast<double>(draw.between(1, 57)) / 10;
    out.policy.validity = Duration(draw.between(1'500, 4'000));
    out.policy.approvedShare = static_cast<double>(draw.between(25, 70)) / 100;
    out.maxGang = draw.between(4, 16);
    out.minGangCpu = 2;
    out.maxGangCpu = 6;
    return out;
}

// A step that waited for too long.
struct Finding
{
    uint64_t seed = 0;
    std::string step;
    std::string description;
};

struct Summary
{
    bool large = false; // the fleet
    int64_t jobs = 0;
    int64_t endedJobs = 0;
    int64_t steps = 0; // that had ample room at some time while they waited
    Duration longestWait{0};
    std::vector<Finding> broken;
};

// Draws jobs up to the load of the scenario and checks how long their steps wait.
class Simulation : private FleetSimulation
{
public:
    explicit Simulation(uint64_t seed) : FleetSimulation(seed, drawScenario), m_seed(seed) { }

    Summary run()
    {
        FleetSimulation::run();
        m_summary.large = m_scenario.large;
        m_summary.jobs = static_cast<int64_t>(m_jobs.size());
        m_summary.endedJobs =
            std::ranges::count_if(m_jobs, [](const auto &job) { return job.second.ended; });
        return m_summary;
    }

private:
    void onTick() override
    {
        addJobs();
        checkWaits();
    }

    // ---- Jobs

    work::StepSpec makeStep(int64_t tasks, int64_t cores, Duration runTime)
    {
        work::StepSpec out;
        out.tasks = static_cast<int32_t>(tasks);
        out.cpuMilli = cores * 1'000;
        out.memoryMb = cores * 1'000;
        out.estimatedMs = runTime.count();
        m_openCpu += tasks * out.cpuMilli;
        return out;
    }
    void addJobOf(const std::string &route, std::vector<work::StepSpec> steps)
    {
        auto spec = std::make_shared<work::Submission>();
        spec->id = "j" + std::to_string(m_order.size());
        spec->route = route;
        spec->team = teamName(m_draw.between(0, Teams - 1));
        spec->steps = std::move(steps);
        spec->acceptedAtMs = unixMs();
        FleetSimulation::addJob(spec);
    }
    void addGang()
    {
        std::vector<work::StepSpec> steps;
        if (m_draw.percent(30))
            steps.push_back(makeStep(1, 1, Duration(m_draw.between(200, 1'500))));
        work::StepSpec gang = makeStep(m_draw.between(2, m_scenario.maxGang),
                                       m_draw.between(m_scenario.minGangCpu, m_scenario.maxGangCpu),
                                       Duration(m_draw.between(500, 3'000)));
        gang.gang = true;
        gang.sameRack = m_draw.percent(20);
        gang.maxPerWorker = m_draw.percent(20) ? static_cast<int32_t>(m_draw.between(1, 3)) : 0;
        if (!steps.empty())
            gang.after = {0};
        steps.push_back(gang);
        addJobOf("gang", std::move(steps));
    }
    void addJobs()
    {
        if (m_draw.percent(20))
            addJobOf("quick", {makeStep(1, 1, Duration(m_draw.between(50, 500)))});
        m_openCpu = 0;
        for (const std::string &id : m_order) {
            const JobState &job = m_jobs.at(id);
            for (size_t i = 0; i < job.steps.size() && !job.ended; ++i)
                m_openCpu +=
                    job.isDone(i) ? 0 : job.spec->steps[i].tasks * job.spec->steps[i].cpuMilli;
        }
        const auto target = static_cast<int64_t>(m_scenario.load * static_cast<double>(poolCpu()));
        for (int n = 0; n < 5 && m_openCpu < target; ++n) {
            if (m_draw.percent(40))
                addGang();
            else
                addJobOf("batch", {makeStep(m_draw.between(1, 24), m_draw.between(1, 6),
                                            Duration(m_draw.between(200, 4'000)))});
        }
    }

    void checkWaits()
    {
        const Instant now = m_time.now();
        const bool calm = now - m_disturbedUntil >= CalmBefore && m_usedCpu * 2 < poolCpu();
        for (const std::string &id : m_order) {
            JobState &job = m_jobs.at(id);
            for (size_t i = 0; i < job.steps.size() && !job.ended; ++i) {
                StepState &step = job.steps[i];
                const bool counts = calm && !job.isDone(i) && step.running == 0 && job.isReady(i)
                                    && hasAmpleLimit(job, i) && hasAmpleRoom(job, i);
                if (!counts) {
                    step.waitsSince.reset();
                    continue;
                }
                step.waitsSince = step.waitsSince.value_or(now);
                checkWait(job, i, now - *step.waitsSince);
            }
        }
    }
    void checkWait(JobState &job, size_t number, Duration wait)
    {
        StepState &step = job.steps[number];
        m_summary.steps += std::exchange(step.counted, true) ? 0 : 1;
        m_summary.longestWait = std::max(m_summary.longestWait, wait);
        if (wait < StartBound || std::exchange(step.broken, true))
            return;
        const work::StepSpec &spec = job.spec->steps[number];
        const StepRef ref{job.spec->id, 0, static_cast<int32_t>(number)};
        m_summary.broken.push_back(
            {m_seed, ref.toString(),
             "at_ms=" + std::to_string((m_time.now() - m_begin).count())
                 + " wait_ms=" + std::to_string(wait.count()) + " route=" + job.spec->route
                 + " tasks=" + std::to_string(spec.tasks) + " cpu_milli="
                 + std::to_string(spec.cpuMilli) + " gang=" + (spec.gang ? "true" : "false")
                 + " same_rack=" + (spec.sameRack ? "true" : "false")
                 + " max_per_worker=" + std::to_string(spec.maxPerWorker)
                 + " places=" + std::to_string(placesFor(job, number))
                 + " calls=" + std::to_string(m_policy.callsFor(ref.toString()))
                 + " workers=" + std::to_string(m_scenario.workers)
                 + " instances=" + std::to_string(m_scenario.instances)
                 + " decision_ms=" + std::to_string(m_scenario.policy.decisionTime.count())
                 + " validity_ms=" + std::to_string(m_scenario.policy.validity.count())
                 + " load=" + std::to_string(m_scenario.load) + " lacks=(" + job.lastWait + ")"});
    }
    bool hasAmpleLimit(const JobState &job, size_t number)
    {
        const int64_t limit = m_catalog->teams.at(job.spec->team).limit.cpuMilli;
        const work::StepSpec &spec = job.spec->steps[number];
        const int64_t use = m_teamCpu[job.spec->team];
        return use * 2 < limit && use + spec.tasks * spec.cpuMilli <= limit;
    }
    bool hasAmpleRoom(const JobState &job, size_t number) const
    {
        return placesFor(job, number) >= 2 * int64_t{job.spec->steps[number].tasks};
    }
    // Counts the tasks of the step that could run on the workers which the policy admits.
    int64_t placesFor(const JobState &job, size_t number) const
    {
        const work::StepSpec &spec = job.spec->steps[number];
        const StepRef ref{job.spec->id, 0, static_cast<int32_t>(number)};
        const uint64_t hash = PolicyServiceModel::hashOf(ref.toString());
        const bool needsApproval = m_catalog->routes.at(job.spec->route).approval.has_value();
        int64_t out = 0;
        for (const auto &[id, worker] : m_workers) {
            if (worker.entry.draining || m_silentWorkers.contains(id)
                || (needsApproval && !m_policy.admits(worker.life, hash)))
                continue;
            out += worker.places({spec.cpuMilli, spec.memoryMb, 0, 0, 0}, spec.maxPerWorker);
        }
        return out;
    }

    uint64_t m_seed;
    int64_t m_openCpu = 0; // of steps that are not done
    Summary m_summary;
};

uint64_t environmentNumber(const char *name, uint64_t fallback)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// What the seeds of fleets of one size have shown.
struct Totals
{
    std::string fleet;
    uint64_t seeds = 0;
    uint64_t brokenSeeds = 0;
    int64_t jobs = 0;
    int64_t endedJobs = 0;
    int64_t steps = 0;
    size_t brokenSteps = 0;
    Duration longestWait{0};

    void add(const Summary &summary)
    {
        ++seeds;
        brokenSeeds += summary.broken.empty() ? 0 : 1;
        jobs += summary.jobs;
        endedJobs += summary.endedJobs;
        steps += summary.steps;
        brokenSteps += summary.broken.size();
        longestWait = std::max(longestWait, summary.longestWait);
    }
    void print() const
    {
        std::cout << "fleet=" << fleet << " seeds=" << seeds << " broken=" << brokenSeeds
                  << " jobs=" << jobs << " ended=" << endedJobs << " steps=" << steps
                  << " broken_steps=" << brokenSteps << " longest_wait_ms=" << longestWait.count()
                  << "\n";
    }
};

// Guards against steps that wait although the workers which the policy service admits have ample
// room.
TEST(StartPromiseTest, StepsWithAmpleRoomStart)
{
    const uint64_t seeds = environmentNumber("CARDAMOMPADDLE_SEEDS", DefaultSeeds);
    const uint64_t first = environmentNumber("CARDAMOMPADDLE_FIRST_SEED", 1);
    Totals small{"small"};
    Totals large{"large"};
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        const Summary summary = Simulation(seed).run();
        (summary.large ? large : small).add(summary);
        for (const Finding &it : summary.broken)
            std::cout << "seed=" << it.seed << " step=" << it.step << " " << it.description << "\n";
    }
    small.print();
    large.print();
    EXPECT_EQ(small.brokenSeeds + large.brokenSeeds, 0U);
    EXPECT_GT(small.steps + large.steps, 0) << "no step had ample room, so nothing was checked";
}

} // namespace
} // namespace cardamompaddle
