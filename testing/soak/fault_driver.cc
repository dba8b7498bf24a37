#include "fault_driver.h"

#include "net/steady_clock.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle::soak {

namespace asio = boost::asio;

namespace {

constexpr const char *SchedulerTopic = "keyed.scheduler";

Instant now()
{
    return SteadyClock().now();
}

} // namespace

FaultDriver::FaultDriver(asio::io_context &io, Fleet &fleet, emulator::PlatformEmulator &platform,
                         Disturbances &disturbances,
                         std::function<void(bool withdrawKey)> changeConfiguration,
                         const std::string &onlyFault, uint64_t seed)
    : m_io(io), m_fleet(fleet), m_platform(platform), m_disturbances(disturbances),
      m_changeConfiguration(std::move(changeConfiguration)), m_faults(faults()), m_random(seed)
{
    if (!onlyFault.empty())
        std::erase_if(m_faults, [&](const NamedFault &it) { return it.name != onlyFault; });
}

bool FaultDriver::isFault(const std::string &name)
{
    return std::ranges::any_of(faults(), [&](const NamedFault &it) { return it.name == name; });
}

const std::vector<FaultDriver::NamedFault> &FaultDriver::faults()
{
    static const std::vector<NamedFault> all = {
        {"stop", 5, &FaultDriver::stopInstance},
        {"stop_in_series", 2, &FaultDriver::stopInSeries},
        {"stop_at_start", 2, &FaultDriver::stopAtStart},
        {"kill", 2, &FaultDriver::killInstance},
        {"kill_scheduler", 3, &FaultDriver::killScheduler},
        {"kill_all", 1, &FaultDriver::killAll},
        {"pause", 3, &FaultDriver::pauseInstance},
        {"awaken_beside_successor", 4, &FaultDriver::awakenBesideSuccessor},
        {"reload", 3, &FaultDriver::reloadInstance},
        {"cut_link", 2, &FaultDriver::cutLink},
        {"silence_link", 2, &FaultDriver::silenceLink},
        {"reset_link", 2, &FaultDriver::resetLink},
        {"delay_link", 1, &FaultDriver::delayLink},
        {"cut_policy_link", 1, &FaultDriver::cutPolicyLink},
        {"silence_policy_links", 2, &FaultDriver::silencePolicyLinks},
        {"delay_policy_link", 1, &FaultDriver::delayPolicyLink},
        {"disturb_policy", 2, &FaultDriver::disturbPolicy},
        {"silent_log", 1, &FaultDriver::silentLog},
        {"kill_beside_silent_log", 4, &FaultDriver::killBesideSilentLog},
        {"busy_log", 1, &FaultDriver::busyLog},
        {"slow_log", 1, &FaultDriver::slowLog},
        {"lossy_log", 1, &FaultDriver::lossyLog},
        {"late_appends", 1, &FaultDriver::lateAppends},
        {"forget_history", 1, &FaultDriver::forgetHistory},
        {"silence_log_links", 3, &FaultDriver::silenceLogLinks},
        {"leave_workers", 2, &FaultDriver::leaveWorkers},
        {"crash_workers", 3, &FaultDriver::crashWorkers},
        {"cut_off_workers", 3, &FaultDriver::cutOffWorkers},
        {"cut_off_restarted_workers", 3, &FaultDriver::cutOffRestartedWorkers},
        {"delay_orders", 2, &FaultDriver::delayOrders},
        {"change_configuration", 2, &FaultDriver::changeConfiguration},
        {"withdraw_key", 2, &FaultDriver::withdrawKey},
    };
    return all;
}

Duration FaultDriver::between(int64_t fromMs, int64_t toMs)
{
    return Duration(std::uniform_int_distribution<int64_t>(fromMs, toMs)(m_random));
}

size_t FaultDriver::randomInstance()
{
    return m_random() % m_fleet.size();
}

asio::awaitable<void> FaultDriver::run(Instant until)
{
    int total = 0;
    for (const NamedFault &it : m_faults)
        total += it.weight;
    while (now() < until) {
        int choice = std::uniform_int_distribution<int>(0, total - 1)(m_random);
        const NamedFault *fault = m_faults.data();
        while (choice >= fault->weight) {
            choice -= fault->weight;
            ++fault;
        }
        m_current = fault->name;
        ++m_played[m_current];
        co_await (this->*fault->play)();
        co_await pause(between(200, 2'500));
    }
}

asio::awaitable<void> FaultDriver::stopInstance()
{
    m_fleet.stop(randomInstance());
    co_return;
}

asio::awaitable<void> FaultDriver::stopInSeries()
{
    // Of a large fleet several stop at a time, so that the series ends among the faults.
    constexpr int64_t SeriesMs = 15'000;
    constexpr int64_t ShortestMs = 100;
    const int64_t evenMs = 2 * SeriesMs / static_cast<int64_t>(m_fleet.size()) - ShortestMs;
    const int64_t longestMs = std::clamp<int64_t>(evenMs, ShortestMs, 2'500);
    for (size_t i = 0; i < m_fleet.size(); ++i) {
        m_fleet.stop(i);
        co_await pause(between(ShortestMs, longestMs));
    }
}

asio::awaitable<void> FaultDriver::stopAtStart()
{
    const size_t i = randomInstance();
    m_fleet.kill(i);
    constexpr Duration CheckInterval{2};
    while (m_fleet.isRunning(i))
        co_await pause(CheckInterval);
    while (!m_fleet.isRunning(i))
        co_await pause(CheckInterval);
    co_await pause(between(0, 100));
    // A reload must not end the process either.
    m_fleet.reload(i);
    co_await pause(between(0, 50));
    m_fleet.stop(i);
}

asio::awaitable<void> FaultDriver::killInstance()
{
    m_fleet.kill(randomInstance());
    co_return;
}

asio::awaitable<void> FaultDriver::killScheduler()
{
    for (int i = static_cast<int>(m_random() % 3); i >= 0; --i) {
        m_fleet.kill(m_fleet.scheduler().value_or(randomInstance()));
        co_await pause(between(1'200, 3'000));
    }
}

asio::awaitable<void> FaultDriver::killAll()
{
    for (size_t i = 0; i < m_fleet.size(); ++i)
        m_fleet.kill(i);
    co_return;
}

asio::awaitable<void> FaultDriver::pauseInstance()
{
    const size_t i = m_random() % 2 == 0 ? m_fleet.scheduler().value_or(0) : randomInstance();
    if (m_fleet.isPaused(i) || !m_fleet.isRunning(i))
        co_return;
    m_fleet.setPaused(i, true);
    co_await pause(between(300, 6'000));
    m_fleet.setPaused(i, false);
}

asio::awaitable<void> FaultDriver::awakenBesideSuccessor()
{
    constexpr Duration SettlingTime{300}; // what was on its way is stored by then
    constexpr Duration LongestPause{2'900};
    constexpr Duration CheckInterval{5};
    m_disturbances.begin(LogPart, now());
    m_platform.logFaults().delay = between(110, 230);
    co_await pause(between(2'000, 3'500)); // until starts are no longer recorded first
    const auto i = m_fleet.scheduler();
    if (i && !m_fleet.isPaused(*i) && m_fleet.isRunning(*i)) {
        m_fleet.setPaused(*i, true);
        const Instant pausedAt = now();
        co_await pause(SettlingTime);
        const size_t records = m_platform.recordCount(SchedulerTopic);
        while (m_platform.recordCount(SchedulerTopic) == records && now() - pausedAt < LongestPause)
            co_await pause(CheckInterval);
        co_await pause(between(150, 550));
        m_fleet.setPaused(*i, false);
        co_await pause(between(300, 1'500));
    }
    m_platform.logFaults().delay = Duration::zero();
    m_disturbances.end(LogPart, now());
}

asio::awaitable<void> FaultDriver::reloadInstance()
{
    const size_t i = randomInstance();
    if (m_fleet.isReady(i))
        m_fleet.reload(i);
    co_return;
}

asio::awaitable<void> FaultDriver::cutLink()
{
    const size_t i = randomInstance();
    static constexpr std::array<LinkState, 3> States = {LinkState::Silent, LinkState::NoRequests,
                                                        LinkState::NoResponses};
    m_disturbances.begin(m_fleet.name(i), now());
    m_fleet.link(i).setState(States[m_random() % States.size()]);
    co_await pause(between(300, 5'000));
    m_fleet.link(i).setState(LinkState::Open);
    m_disturbances.end(m_fleet.name(i), now());
}

asio::awaitable<void> FaultDriver::silenceLink()
{
    const size_t i = randomInstance();
    m_disturbances.begin(m_fleet.name(i), now());
    m_fleet.link(i).silencePresent();
    m_disturbances.end(m_fleet.name(i), now());
    co_return;
}

asio::awaitable<void> FaultDriver::resetLink()
{
    const size_t i = randomInstance();
    m_disturbances.begin(m_fleet.name(i), now());
    m_fleet.link(i).reset();
    m_disturbances.end(m_fleet.name(i), now());
    co_return;
}

asio::awaitable<void> FaultDriver::delayLink()
{
    const size_t i = randomInstance();
    m_disturbances.begin(m_fleet.name(i), now());
    m_fleet.link(i).setDelay(between(20, 250));
    co_await pause(between(1'000, 5'000));
    m_fleet.link(i).setDelay(Duration::zero());
    m_disturbances.end(m_fleet.name(i), now());
}

asio::awaitable<void> FaultDriver::cutPolicyLink()
{
    LinkProxy &link = m_fleet.policyLink(randomInstance());
    m_disturbances.begin(PolicyPart, now());
    link.setState(m_random() % 2 == 0 ? LinkState::Silent : LinkState::NoResponses);
    co_await pause(between(300, 5'000));
    link.setState(LinkState::Open);
    m_disturbances.end(PolicyPart, now());
}

asio::awaitable<void> FaultDriver::silencePolicyLinks()
{
    m_disturbances.begin(PolicyPart, now());
    for (size_t i = 0; i < m_fleet.size(); ++i)
        m_fleet.policyLink(i).silencePresent();
    m_disturbances.end(PolicyPart, now());
    co_return;
}

asio::awaitable<void> FaultDriver::delayPolicyLink()
{
    LinkProxy &link = m_fleet.policyLink(randomInstance());
    m_disturbances.begin(PolicyPart, now());
    link.setDelay(between(50, 600));
    co_await pause(between(1'000, 5'000));
    link.setDelay(Duration::zero());
    m_disturbances.end(PolicyPart, now());
}

asio::awaitable<void> FaultDriver::disturbPolicy()
{
    m_disturbances.begin(PolicyPart, now());
    emulator::PolicyFaults faults;
    switch (m_random() % 3) {
    case 0:
        faults.silent = true;
        break;
    case 1:
        faults.refuses = true;
        break;
    default:
        faults.delay = between(200, 1'500);
    }
    m_platform.policyFaults() = faults;
    co_await pause(between(500, 5'000));
    m_platform.policyFaults() = {};
    m_disturbances.end(PolicyPart, now());
}

asio::awaitable<void> FaultDriver::disturbLog(std::function<void(emulator::LogFaults &, bool)> set,
                                              Duration length)
{
    m_disturbances.begin(LogPart, now());
    set(m_platform.logFaults(), true);
    co_await pause(length);
    set(m_platform.logFaults(), false);
    m_disturbances.end(LogPart, now());
}

asio::awaitable<void> FaultDriver::silentLog()
{
    const Duration length = between(500, 5'000);
    co_await disturbLog([](emulator::LogFaults &it, bool on) { it.silent = on; }, length);
}

asio::awaitable<void> FaultDriver::killBesideSilentLog()
{
    m_disturbances.begin(LogPart, now());
    m_platform.logFaults().silent = true;
    co_await pause(between(200, 1'500));
    m_fleet.kill(m_fleet.scheduler().value_or(randomInstance()));
    m_platform.logFaults().silent = false;
    m_disturbances.end(LogPart, now());
}

asio::awaitable<void> FaultDriver::busyLog()
{
    const bool resets = m_random() % 2 == 0;
    const Duration length = between(500, 5'000);
    co_await disturbLog(
        [resets](emulator::LogFaults &it, bool on) { (resets ? it.resets : it.busy) = on; },
        length);
}

asio::awaitable<void> FaultDriver::slowLog()
{
    const Duration delay = between(30, 250);
    const Duration length = between(1'000, 6'000);
    co_await disturbLog(
        [delay](emulator::LogFaults &it, bool on) { it.delay = on ? delay : Duration::zero(); },
        length);
}

asio::awaitable<void> FaultDriver::lossyLog()
{
    const Duration late = between(0, 4'000);
    const Duration length = between(1'000, 5'000);
    co_await disturbLog(
        [late](emulator::LogFaults &it, bool on) {
            constexpr double LostShare = 0.3;
            it.lostAnswerShare = on ? LostShare : 0;
            it.lostAppendDelay = late;
        },
        length);
}

// No append is answered, for about as long as callers wait, and all are carried out later.
asio::awaitable<void> FaultDriver::lateAppends()
{
    const Duration late = between(3'000, 6'000);
    const Duration length = between(2'000, 3'200);
    co_await disturbLog(
        [late](emulator::LogFaults &it, bool on) {
            it.lostAnswerShare = on ? 1 : 0;
            it.lostAppendDelay = late;
        },
        length);
}

asio::awaitable<void> FaultDriver::silenceLogLinks()
{
    constexpr uint64_t SilentOfTen = 7;
    const std::vector<std::string> leaving =
        m_random() % 2 == 0 ? drainSome() : std::vector<std::string>();
    if (m_random() % 2 == 0)
        m_changeConfiguration(false);
    m_disturbances.begin(LogPart, now());
    for (size_t i = 0; i < m_fleet.size(); ++i) {
        if (m_random() % 10 < SilentOfTen)
            m_fleet.link(i).silencePresent();
    }
    m_disturbances.end(LogPart, now());
    if (m_random() % 2 == 0)
        m_fleet.kill(m_fleet.scheduler().value_or(randomInstance()));
    if (!leaving.empty())
        co_await replaceWorkers(leaving);
}

asio::awaitable<void> FaultDriver::forgetHistory()
{
    m_platform.forgetHistory();
    co_return;
}

asio::awaitable<void> FaultDriver::changeConfiguration()
{
    m_changeConfiguration(false);
    co_return;
}

asio::awaitable<void> FaultDriver::withdrawKey()
{
    m_changeConfiguration(true);
    co_return;
}

} // namespace cardamompaddle::soak
