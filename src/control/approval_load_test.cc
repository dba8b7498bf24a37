// Drives the dispatcher and the approval requester against a policy service whose callers are
// nearly always busy, and checks how long steps wait for their first call.

#include "control/start_promise_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

using namespace promise;

// A ready step gets its first call within this time.
constexpr Duration MaxFirstCallWait{3'000};
// Steps that become ready in the last part of a run need not have got a call.
constexpr Duration EndOfRun{3'000};
constexpr uint64_t Seeds = 5;

Scenario busyScenario(Draw &)
{
    Scenario out;
    out.instances = 8;
    out.workers = 48;
    out.capacity = {16'000, 32'000, 0, 0, 0};
    out.policy = {Duration(400), 5.7, Duration(2'000), 0.35};
    out.length = Duration(60'000);
    return out;
}

class Waits
{
public:
    void add(Duration wait) { m_waits.push_back(wait); }
    Duration longest() const
    {
        return m_waits.empty() ? Duration(0) : *std::ranges::max_element(m_waits);
    }
    Duration median()
    {
        if (m_waits.empty())
            return Duration(0);
        const auto middle = m_waits.begin() + static_cast<ptrdiff_t>(m_waits.size() / 2);
        std::nth_element(m_waits.begin(), middle, m_waits.end());
        return *middle;
    }
    std::string toString()
    {
        return "count=" + std::to_string(m_waits.size())
               + " median_ms=" + std::to_string(median().count())
               + " longest_ms=" + std::to_string(longest().count());
    }

private:
    std::vector<Duration> m_waits;
};

// Adds steps of one task that can be in time, and others that a takeover or a queue has made late.
class BusyPolicySimulation : private FleetSimulation
{
public:
    explicit BusyPolicySimulation(uint64_t seed)
        : FleetSimulation(seed, busyScenario), m_jobDraw(seed)
    {
        for (const auto &[name, member] : m_members)
            m_policy.setDelay(name, Duration::zero());
    }

    void run()
    {
        runWithoutFaults();
        const Instant end = m_begin + m_scenario.length;
        for (const auto &[job, readyAt] : m_readyAt) {
            if (end - readyAt < EndOfRun)
                continue;
            const Instant calledAt = m_policy.firstCallFor(job + ".0.0").value_or(end);
            (isLate(job) ? late : inTime).add(calledAt - readyAt);
        }
        busyShare = static_cast<double>(m_policy.callTime().count())
                    / static_cast<double>(m_scenario.length.count() * m_scenario.instances);
    }

    Waits inTime;
    Waits late;
    double busyShare = 0; // of the callers

private:
    static constexpr Duration Lateness{60'000};
    static constexpr int64_t MaxJobsPerTick = 3;
    static constexpr int64_t OneMorePercent = 5;
    static constexpr int64_t LatePercent = 15;

    static bool isLate(const std::string &job) { return job.starts_with("late"); }
    void onTick() override
    {
        int64_t jobs = m_jobDraw.between(0, MaxJobsPerTick);
        jobs += m_jobDraw.percent(OneMorePercent) ? 1 : 0;
        for (; jobs > 0; --jobs)
            addStep(m_jobDraw.percent(LatePercent));
    }
    void addStep(bool isLateStep)
    {
        work::StepSpec step;
        step.tasks = 1;
        step.cpuMilli = 1'000;
        step.memoryMb = 1'000;
        step.estimatedMs = 300;
        auto spec = std::make_shared<work::Submission>();
        spec->id = (isLateStep ? "late" : "job") + std::to_string(m_order.size());
        spec->route = "gang"; // the one that needs approvals
        spec->team = teamName(m_jobDraw.between(0, Teams - 1));
        spec->steps = {step};
        spec->acceptedAtMs = unixMs() - (isLateStep ? Lateness.count() : 0);
        m_readyAt[spec->id] = m_time.now();
        addJob(spec);
    }

    Draw m_jobDraw; // so that the jobs do not depend on the decisions
    std::map<std::string, Instant> m_readyAt; // by job
};

// Guards against steps that get no call to the policy service for long while the callers are full,
// because others that are more urgent keep coming.
TEST(ApprovalLoadTest, NoReadyStepWaitsLongForItsFirstCall)
{
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        BusyPolicySimulation simulation(seed);
        simulation.run();
        std::cout << "seed=" << seed << " busy=" << simulation.busyShare << " in_time=("
                  << simulation.inTime.toString() << ") late=(" << simulation.late.toString()
                  << ")\n";
        EXPECT_GT(simulation.busyShare, 0.8) << "the callers are not full, so nothing was checked";
        EXPECT_LE(simulation.inTime.longest(), MaxFirstCallWait) << "seed " << seed;
        EXPECT_LE(simulation.late.longest(), MaxFirstCallWait) << "seed " << seed;
    }
}

} // namespace
} // namespace cardamompaddle
