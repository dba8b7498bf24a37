// Test fixture that runs instances in virtual time over modelled workers, with disturbances that a
// seed draws.
#pragma once

#include "control/instance_testing.h"
#include "control/virtual_time_testing.h"
#include "modelled_workers.h"
#include "runs_once_checker.h"

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace cardamompaddle::emulator {

// Lets virtual time begin before the timers of InstanceTest are created.
struct VirtualTimeBegins
{
    testing::VirtualTime time;
};

class SimulatedFleet : protected VirtualTimeBegins, public InstanceTest
{
protected:
    static constexpr Duration HeartbeatInterval{1'500};

    // Adds workers whose runs last for a time between the two, which their tasks decide.
    void addWorkers(uint64_t seed, int count, Duration shortestRun, Duration longestRun)
    {
        m_random.seed(seed);
        m_maxLease = Duration(10'000);
        m_cpuMilli = 100;
        WorkerModelOptions options;
        options.maxLease = m_maxLease;
        options.stopTime = Duration(400);
        options.clockRate = 0.98;
        const auto span = static_cast<size_t>((longestRun - shortestRun).count());
        options.runTime = [this, shortestRun,
                           span](const std::string &task) -> std::optional<Duration> {
            if (m_lastingJobs.contains(task.substr(0, task.find('.'))))
                return std::nullopt;
            const size_t extra = std::hash<std::string>()(task) % span;
            return shortestRun + Duration(static_cast<int64_t>(extra));
        };
        m_models.emplace(
            m_io, m_clock, options, [this](const RunEvent &event) { m_checker.ran(event); },
            seed + 1);
        m_workerGateway = &*m_models;
        m_model.put(RegistryTopic, "w1", "");
        m_model.put(RegistryTopic, "w2", "");
        for (int i = 0; i < count; ++i) {
            m_models->add(workerName(i));
            heartbeat(workerName(i));
        }
    }
    static std::string workerName(int number) { return "w" + std::to_string(number + 1); }
    int64_t draw(int64_t least, int64_t most)
    {
        return least + static_cast<int64_t>(m_random() % static_cast<uint64_t>(most - least + 1));
    }
    bool percent(int64_t share) { return draw(1, 100) <= share; }
    void at(Duration wait, std::function<void()> action)
    {
        auto timer = std::make_shared<Timer>(m_io, wait);
        timer->asyncWait([timer, action = std::move(action)](const auto &) { action(); });
    }
    // Writes the worker's entry, and again after each interval.
    void heartbeat(const std::string &id)
    {
        writeEntry(id);
        at(HeartbeatInterval, [this, id] { heartbeat(id); });
    }
    void writeEntry(const std::string &id)
    {
        if (m_models->isUp(id))
            m_model.put(RegistryTopic, id, "ready/" + std::to_string(m_models->startedAtMs(id)));
    }
    std::string nextJob() { return "j" + std::to_string(++m_jobs); }

    std::set<std::string> m_lastingJobs; // their tasks run until they are stopped
    std::mt19937_64 m_random;
    RunsOnceChecker m_checker;
    std::optional<ModelledWorkers> m_models;

private:
    int m_jobs = 0;
};

// Returns the number of seeds of each simulation: `byDefault`, or RESTART_SIMULATION_SEEDS from the
// environment.
inline uint64_t simulationSeeds(uint64_t byDefault)
{
    const char *given = std::getenv("RESTART_SIMULATION_SEEDS");
    return given == nullptr ? byDefault : std::strtoull(given, nullptr, 10);
}

} // namespace cardamompaddle::emulator
