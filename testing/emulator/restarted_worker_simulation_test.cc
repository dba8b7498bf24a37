// Instances in virtual time over modelled workers that crash silently, start again under their ids
// and are cut off soon after, in an order that a seed draws. No task may run twice.
#include "simulated_fleet_testing.h"

namespace cardamompaddle::emulator {
namespace {

// How a scenario disturbs workers and scheduler.
struct Scenario
{
    bool lateOrders = false; // calls without an answer may be carried out seconds later
    bool lateRegistry = false; // an entry shows a restart up to a heartbeat later
    bool slowScheduler = false; // instances stand still for moments
    bool takeovers = false;
    bool longCuts = false;
};

class RestartedWorkerSimulation : public SimulatedFleet
{
protected:
    static constexpr int Workers = 6;
    static constexpr Duration SimulatedTime{45'000};

    void begin(uint64_t seed, const Scenario &scenario)
    {
        m_scenario = scenario;
        addWorkers(seed, Workers, Duration(100), Duration(9'500));
        addNode("a");
        addNode("b");
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(10'000)));
        at(Duration(500), [this] { submitSome(); });
        at(Duration(2'000), [this] { disturb(); });
        if (m_scenario.slowScheduler)
            at(Duration(2'500), [this] { stallInstances(); });
        if (m_scenario.takeovers)
            at(Duration(5'000), [this] { replaceScheduler(); });
    }
    // Draws what happens in the scenario and runs it.
    void play(uint64_t seed, const Scenario &scenario)
    {
        begin(seed, scenario);
        runFor(SimulatedTime);
    }

    void submitSome()
    {
        at(Duration(draw(50, 350)), [this] { submitSome(); });
        if (schedulers() == 0)
            return;
        startSubmission(scheduler(), nextJob(), static_cast<int32_t>(draw(1, 6)));
    }
    // Two workers crash, start again and are cut off.
    void disturb()
    {
        at(Duration(draw(2'000, 6'000)), [this] { disturb(); });
        for (int i = 0; i < 2; ++i) {
            const std::string id = workerName(static_cast<int>(draw(0, Workers - 1)));
            if (m_models->isUp(id) && !m_models->isCutOff(id))
                crashAndCut(id);
        }
    }
    void crashAndCut(const std::string &id)
    {
        CallFaults &faults = m_models->faults(id);
        faults.slowestAnswer = Duration(percent(50) ? 2 : draw(50, 500));
        if (m_scenario.lateOrders) {
            faults.lostShare = percent(50) ? 0 : 0.5;
            faults.ordersOnly = percent(50);
            faults.lateAtLeast = Duration(percent(50) ? 50 : 2'000);
            faults.lateAtMost = Duration(percent(50) ? 2'000 : 12'000);
        }
        at(Duration(draw(0, 1'500)), [this, id] {
            if (!m_models->isUp(id))
                return;
            m_models->crash(id);
            at(Duration(draw(20, 900)), [this, id] { restartAndCut(id); });
        });
    }
    void restartAndCut(const std::string &id)
    {
        m_models->restart(id);
        m_models->faults(id).lostShare = 0;
        if (!m_scenario.lateRegistry || percent(30))
            writeEntry(id);
        at(Duration(draw(10, 2'500)), [this, id] {
            m_models->setCutOff(id, true);
            at(Duration(draw(2'000, m_scenario.longCuts ? 16'000 : 7'000)),
               [this, id] { m_models->setCutOff(id, false); });
        });
    }
    void stallInstances()
    {
        at(Duration(draw(500, 3'000)), [this] { stallInstances(); });
        m_virtualTime->skip(Duration(draw(20, 400)));
    }
    void replaceScheduler()
    {
        at(Duration(draw(5'000, 12'000)), [this] { replaceScheduler(); });
        const std::string name = schedulerName();
        if (name.empty())
            return;
        lose(name);
        at(Duration(700), [this, name] { addNode(name); });
    }

    Scenario m_scenario;
};

constexpr uint64_t Seeds = 20; // of each test

class RestartedWorkerSimulationTest : public RestartedWorkerSimulation,
                                      public ::testing::WithParamInterface<uint64_t>
{
protected:
    static uint64_t seed() { return GetParam(); }
    static Scenario drawnScenario()
    {
        Scenario out;
        out.lateRegistry = seed() % 2 == 0;
        out.slowScheduler = seed() % 3 == 0;
        out.longCuts = seed() % 4 == 0;
        return out;
    }
};

class LateOrderSimulationTest : public RestartedWorkerSimulationTest
{
protected:
    static Scenario lateOrders()
    {
        Scenario out = drawnScenario();
        out.lateOrders = true;
        return out;
    }
};

class LateOrderAcknowledgementTest : public LateOrderSimulationTest
{ };

class LateOrderTakeoverTest : public LateOrderSimulationTest
{ };

} // namespace

// Guards against two runs of a task at once, and against one that starts after its success, because
// a lease or an acknowledgement of a former incarnation counts in the present one.
TEST_P(RestartedWorkerSimulationTest, NoTaskRunsTwice)
{
    Scenario scenario = drawnScenario();
    scenario.takeovers = seed() % 5 == 0;
    play(seed(), scenario);
    EXPECT_EQ(m_checker.violations(), std::vector<std::string>());
    EXPECT_GT(m_checker.starts(), 500);
}

// Guards against two runs of a task at once: a start that got no answer is refused by one
// incarnation of a worker, and carried out by the next one while the task runs elsewhere.
TEST_P(LateOrderSimulationTest, NoTaskRunsTwiceAtOnce)
{
    play(seed(), lateOrders());
    EXPECT_EQ(m_checker.simultaneous(), std::vector<std::string>());
}

// Guards against a task that starts after its acknowledged success: an attempt of its start got no
// answer, and is carried out by the next incarnation of the worker.
TEST_P(LateOrderAcknowledgementTest, NoTaskStartsAfterItsSuccess)
{
    play(seed(), lateOrders());
    EXPECT_EQ(m_checker.afterSuccess(), std::vector<std::string>());
}

// Guards against two runs of a task at once after a takeover: the new scheduler does not know which
// starts of the former one got no answer.
TEST_P(LateOrderTakeoverTest, NoTaskRunsTwiceAtOnce)
{
    Scenario scenario = lateOrders();
    scenario.takeovers = true;
    play(seed(), scenario);
    EXPECT_EQ(m_checker.simultaneous(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Drawn, RestartedWorkerSimulationTest,
                         ::testing::Range<uint64_t>(1, simulationSeeds(Seeds) + 1));
INSTANTIATE_TEST_SUITE_P(Drawn, LateOrderSimulationTest,
                         ::testing::Range<uint64_t>(1, simulationSeeds(Seeds) + 1));
INSTANTIATE_TEST_SUITE_P(Drawn, LateOrderAcknowledgementTest,
                         ::testing::Range<uint64_t>(1, simulationSeeds(Seeds) + 1));
INSTANTIATE_TEST_SUITE_P(Drawn, LateOrderTakeoverTest,
                         ::testing::Range<uint64_t>(1, simulationSeeds(Seeds) + 1));

} // namespace cardamompaddle::emulator
