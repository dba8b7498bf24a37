// The faults of workers.
#include "fault_driver.h"

#include "net/steady_clock.h"

#include <utility>

namespace cardamompaddle::soak {

namespace asio = boost::asio;

namespace {

constexpr int64_t DrainMs = 2'000; // for which a leaving worker serves on at least

Instant now()
{
    return SteadyClock().now();
}

} // namespace

std::vector<std::string> FaultDriver::drainSome()
{
    const std::vector<std::string> all = m_platform.workerIds();
    std::vector<std::string> out;
    for (uint64_t i = 1 + m_random() % 3; i > 0; --i) {
        const std::string &id = all[m_random() % all.size()];
        if (!m_platform.isUp(id) || m_platform.drainingSince(id))
            continue;
        m_platform.drainWorker(id);
        out.push_back(id);
    }
    return out;
}

void FaultDriver::removeWorkers(const std::vector<std::string> &ids)
{
    // What still runs there is lost.
    m_disturbances.begin(WorkersPart, now());
    for (const std::string &id : ids)
        m_platform.removeWorker(id);
    m_disturbances.end(WorkersPart, now());
}

asio::awaitable<void> FaultDriver::replaceWorkers(std::vector<std::string> leaving)
{
    co_await pause(between(DrainMs, 3 * DrainMs));
    removeWorkers(leaving);
    co_await pause(between(500, 4'000));
    for (const std::string &id : leaving)
        m_platform.restartWorker(id, true);
}

asio::awaitable<void> FaultDriver::leaveWorkers()
{
    co_await replaceWorkers(drainSome());
}

asio::awaitable<void> FaultDriver::crashWorkers()
{
    const auto how =
        m_random() % 2 == 0 ? emulator::WorkerCrash::Reset : emulator::WorkerCrash::Silent;
    const std::vector<std::string> all = m_platform.workerIds();
    std::vector<std::string> crashed;
    for (uint64_t i = 1 + m_random() % 3; i > 0; --i) {
        const std::string &id = all[m_random() % all.size()];
        if (!m_platform.isUp(id))
            continue;
        m_disturbances.begin(WorkersPart, now());
        m_platform.crashWorker(id, how);
        crashed.push_back(id);
        co_await pause(between(0, 1'500));
    }
    const bool newId = m_random() % 2 == 0;
    co_await pause(between(500, 6'000));
    for (const std::string &id : crashed) {
        m_platform.restartWorker(id, newId);
        m_disturbances.end(WorkersPart, now());
    }
}

void FaultDriver::setCutOff(const std::vector<std::string> &ids, bool cutOff)
{
    for (const std::string &id : ids)
        m_platform.setCutOff(id, cutOff);
}

asio::awaitable<void> FaultDriver::cutOffWorkers()
{
    const std::vector<std::string> all = m_platform.workerIds();
    std::vector<std::string> cutOff;
    m_disturbances.begin(WorkersPart, now());
    for (const std::string &id : all) {
        if (m_random() % 4 == 0)
            cutOff.push_back(id);
    }
    setCutOff(cutOff, true);
    co_await pause(between(0, 1'000));
    // The next scheduler does not know what runs there.
    if (m_random() % 2 == 0)
        m_fleet.kill(m_fleet.scheduler().value_or(randomInstance()));
    co_await pause(between(500, 8'000));
    setCutOff(cutOff, false);
    m_disturbances.end(WorkersPart, now());
}

std::vector<std::string> FaultDriver::crashSomeSilently()
{
    const std::vector<std::string> all = m_platform.workerIds();
    std::vector<std::string> out;
    for (uint64_t i = 2 + m_random() % 4; i > 0; --i) {
        const std::string &id = all[m_random() % all.size()];
        if (!m_platform.isUp(id))
            continue;
        m_platform.crashWorker(id, emulator::WorkerCrash::Silent);
        out.push_back(id);
    }
    return out;
}

asio::awaitable<void> FaultDriver::cutOffRestartedWorkers()
{
    m_disturbances.begin(WorkersPart, now());
    const std::vector<std::string> crashed = crashSomeSilently();
    co_await pause(between(300, 900));
    for (const std::string &id : crashed)
        m_platform.restartWorker(id, false);
    const Duration beforeCut = between(500, 3'000);
    const Duration beforeKill = between(0, beforeCut.count());
    co_await pause(beforeKill);
    // The next scheduler knows only what its predecessor has stored about the new lives.
    if (m_random() % 2 == 0)
        m_fleet.kill(m_fleet.scheduler().value_or(randomInstance()));
    co_await pause(beforeCut - beforeKill);
    setCutOff(crashed, true);
    co_await pause(between(2'000, 9'000));
    setCutOff(crashed, false);
    m_disturbances.end(WorkersPart, now());
}

void FaultDriver::setOrderDelay(double share, Duration delay)
{
    for (const std::string &id : m_platform.workerIds())
        m_platform.delayOrders(id, share, delay);
}

asio::awaitable<void> FaultDriver::delayOrders()
{
    constexpr double DelayedShare = 0.3;
    const Duration delay = between(2'000, 8'000);
    m_disturbances.begin(WorkersPart, now());
    setOrderDelay(DelayedShare, delay);
    co_await pause(between(500, 4'000));
    setOrderDelay(0, delay);
    // Those that are on their way are still carried out.
    co_await pause(delay);
    m_disturbances.end(WorkersPart, now());
}

} // namespace cardamompaddle::soak
