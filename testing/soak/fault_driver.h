// Plays faults on the instances, their links to the log, the log, the workers and the
// configuration, at random times that follow from a seed. Several go on at once.
#pragma once

#include "base/time.h"
#include "fleet.h"
#include "platform_emulator.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace cardamompaddle::soak {

class FaultDriver
{
public:
    // `changeConfiguration` publishes a new configuration; with `withdrawKey` one key fewer.
    // `onlyFault` names the only fault to play; all are played if it is empty.
    FaultDriver(boost::asio::io_context &io, Fleet &fleet, emulator::PlatformEmulator &platform,
                Disturbances &disturbances,
                std::function<void(bool withdrawKey)> changeConfiguration,
                const std::string &onlyFault, uint64_t seed);
    static bool isFault(const std::string &name);

    // Plays faults one after the other until `until`, and undoes each. Several may run at once.
    boost::asio::awaitable<void> run(Instant until);
    // Number of faults played, by name.
    const std::map<std::string, int> &played() const { return m_played; }
    // The fault in progress, or the latest one; empty before the first.
    const std::string &current() const { return m_current; }

private:
    using Fault = boost::asio::awaitable<void> (FaultDriver::*)();
    struct NamedFault
    {
        const char *name;
        int weight;
        Fault play;
    };
    static const std::vector<NamedFault> &faults();

    boost::asio::awaitable<void> stopInstance();
    boost::asio::awaitable<void> stopInSeries();
    boost::asio::awaitable<void> stopAtStart();
    boost::asio::awaitable<void> killInstance();
    boost::asio::awaitable<void> killScheduler();
    boost::asio::awaitable<void> killAll();
    boost::asio::awaitable<void> pauseInstance();
    // With a slow log, the scheduler stands still until another instance has claimed the tenure,
    // and goes on beside it.
    boost::asio::awaitable<void> awakenBesideSuccessor();
    boost::asio::awaitable<void> reloadInstance();
    boost::asio::awaitable<void> cutLink();
    boost::asio::awaitable<void> silenceLink();
    boost::asio::awaitable<void> resetLink();
    boost::asio::awaitable<void> delayLink();
    boost::asio::awaitable<void> cutPolicyLink();
    // The open connections of all instances go silent for good.
    boost::asio::awaitable<void> silencePolicyLinks();
    boost::asio::awaitable<void> delayPolicyLink();
    boost::asio::awaitable<void> disturbPolicy();
    boost::asio::awaitable<void> silentLog();
    // What the scheduler has not stored yet is gone with it.
    boost::asio::awaitable<void> killBesideSilentLog();
    boost::asio::awaitable<void> busyLog();
    boost::asio::awaitable<void> slowLog();
    boost::asio::awaitable<void> lossyLog();
    boost::asio::awaitable<void> lateAppends();
    boost::asio::awaitable<void> forgetHistory();
    // The open connections of most instances to the log go silent for good, beside a takeover,
    // leaving workers and a new configuration.
    boost::asio::awaitable<void> silenceLogLinks();
    boost::asio::awaitable<void> leaveWorkers();
    boost::asio::awaitable<void> crashWorkers();
    boost::asio::awaitable<void> cutOffWorkers();
    // Workers crash silently, start again under their ids and are cut off soon after.
    boost::asio::awaitable<void> cutOffRestartedWorkers();
    boost::asio::awaitable<void> delayOrders();
    boost::asio::awaitable<void> changeConfiguration();
    boost::asio::awaitable<void> withdrawKey();

    boost::asio::awaitable<void> pause(Duration wait)
    {
        boost::asio::steady_timer timer(m_io, wait);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    // A random duration between the two.
    Duration between(int64_t fromMs, int64_t toMs);
    size_t randomInstance();
    // This share of all workers' orders is carried out late.
    void setOrderDelay(double share, Duration delay);
    std::vector<std::string> drainSome();
    std::vector<std::string> crashSomeSilently();
    void setCutOff(const std::vector<std::string> &ids, bool cutOff);
    void removeWorkers(const std::vector<std::string> &ids);
    // Workers that have announced it exit; others take their place.
    boost::asio::awaitable<void> replaceWorkers(std::vector<std::string> leaving);
    boost::asio::awaitable<void> disturbLog(std::function<void(emulator::LogFaults &, bool)> set,
                                            Duration length);

    boost::asio::io_context &m_io;
    Fleet &m_fleet;
    emulator::PlatformEmulator &m_platform;
    Disturbances &m_disturbances;
    std::function<void(bool withdrawKey)> m_changeConfiguration;
    std::vector<NamedFault> m_faults; // that are played
    std::mt19937_64 m_random;
    std::map<std::string, int> m_played;
    std::string m_current;
};

} // namespace cardamompaddle::soak
