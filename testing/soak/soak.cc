#include "soak.h"

#include "caller.h"
#include "fault_driver.h"
#include "fleet.h"
#include "loop_lag.h"
#include "net/steady_clock.h"
#include "operators.h"
#include "oracle.h"
#include "platform_emulator.h"
#include "start_room.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cardamompaddle::soak {

namespace asio = boost::asio;
using asio::use_awaitable;

namespace {

constexpr Duration TickInterval{10};
constexpr Duration CheckInterval{1'000};
constexpr Duration StartTimeout{20'000};
// Within this time after the last fault all jobs have completed.
constexpr Duration FinishTime{20'000};
// Faults in progress are undone within this time.
constexpr Duration LongestFault{25'000};
constexpr Duration LongestOverrun{60'000};
constexpr Duration MaxLease{10'000};
// Faults and calm times take turns. What has a time bound is checked in the calm ones.
constexpr Duration FaultyTime{20'000};
constexpr Duration CalmTime{12'000};
constexpr int FaultStreams = 2; // that overlap
constexpr int FinalCallers = 8;
constexpr int FinalTries = 10;

Instant now()
{
    return SteadyClock().now();
}

class Soak
{
public:
    explicit Soak(SoakOptions options)
        : m_options(std::move(options)), m_random(m_options.seed),
          m_oracle(oracleOptions(), m_disturbances)
    { }
    Result<void> setUp();
    SoakReport run();

private:
    OracleOptions oracleOptions() const
    {
        OracleOptions out;
        out.keepEnded = m_options.keepEnded;
        return out;
    }
    Result<void> addInstances();
    emulator::PlatformEmulatorOptions platformOptions();
    asio::awaitable<void> play();
    asio::awaitable<bool> awaitReady();
    asio::awaitable<void> playFaults();
    asio::awaitable<void> playFaultsUntil(Instant until);
    std::string currentFaults() const;
    asio::awaitable<void> finish();
    asio::awaitable<void> askAll();
    // Asks for the states of each FinalCallers-th job from `first` on.
    asio::awaitable<void> askShare(Caller &caller, const std::vector<std::string> &jobs,
                                   size_t first);
    asio::awaitable<void> pause(Duration wait);
    asio::awaitable<bool> await(const std::function<bool()> &condition, Duration timeout);
    void tick();
    // The platform is served by the same event loop.
    void measureLag(Instant now);
    void checkStarts(Instant now);
    SoakReport report() const;

    SoakOptions m_options;
    std::mt19937_64 m_random;
    asio::io_context m_io{1};
    Disturbances m_disturbances;
    Oracle m_oracle;
    std::unique_ptr<emulator::PlatformEmulator> m_platform;
    std::unique_ptr<Operators> m_operators;
    std::unique_ptr<CallerContext> m_callerContext;
    std::list<Caller> m_callers;
    std::list<FaultDriver> m_drivers;
    std::unique_ptr<Fleet> m_fleet;
    std::unique_ptr<asio::steady_timer> m_tickTimer;
    Instant m_checkedAt = Instant::min();
    Instant m_beganAt;
    LoopLag m_lag;
    Instant m_tickDueAt;
    Duration m_faultOverrun{0}; // by which faults have lasted longer than planned
    bool m_started = false;
};

emulator::PlatformEmulatorOptions Soak::platformOptions()
{
    emulator::PlatformEmulatorOptions out;
    out.workers = m_options.workers;
    out.service = route::Service;
    out.maxLease = MaxLease;
    out.appendTime = m_options.appendTime;
    out.seed = m_options.seed;
    out.runTime = [this](const std::string &task) { return m_oracle.runTime(task); };
    out.observer = [this](const emulator::RunEvent &event) {
        m_oracle.ran(event);
        const auto since = m_platform->drainingSince(event.worker);
        if (since && event.kind == emulator::RunEventKind::Started)
            m_oracle.startedOnLeaving(event, *since);
    };
    out.policy = m_options.profile.policy;
    out.needsTicket = [](const std::string &task) {
        return needsApproval(task.substr(0, task.find('.')));
    };
    out.gangSize = [this](const std::string &task) { return m_oracle.gangSize(task); };
    return out;
}

Result<void> Soak::setUp()
{
    auto platform = emulator::PlatformEmulator::create(m_io, platformOptions());
    if (!platform)
        return platform.error();
    m_platform = std::move(*platform);
    m_operators = std::make_unique<Operators>(*m_platform, m_oracle, m_options.profile.policy,
                                              m_options.limitTasks);
    m_fleet = std::make_unique<Fleet>(m_io, m_oracle, m_disturbances);
    if (const auto added = addInstances(); !added)
        return added.error();
    m_callerContext = std::make_unique<CallerContext>(CallerContext{
        m_io, m_oracle, route::Host, route::Prefix, route::ApprovedPrefix,
        [this](uint64_t random) { return m_fleet->target(random); },
        [this](uint64_t random) { return m_operators->key(random); }, m_options.profile.gangs});
    return {};
}

Result<void> Soak::addInstances()
{
    for (int i = 0; i < m_options.instances; ++i) {
        InstanceProcessOptions options;
        options.program = m_options.program;
        options.folder = m_options.folder;
        options.name = "entry-" + std::to_string(i + 1);
        options.availabilityZone = "z" + std::to_string(1 + i % 2);
        options.logAddress = m_platform->logAddress();
        const auto policyAddress = m_platform->addPolicyCaller();
        if (!policyAddress)
            return policyAddress.error();
        options.policyAddress = *policyAddress;
        options.maxLease = MaxLease;
        options.keepEnded = m_options.keepEnded;
        // The first half of the instances has the right time.
        if (2 * i >= m_options.instances && m_options.clockSkew > Duration::zero())
            options.timeOfDayOffset = Duration(std::uniform_int_distribution<int64_t>(
                -m_options.clockSkew.count(), m_options.clockSkew.count())(m_random));
        if (const auto added = m_fleet->add(std::move(options)); !added)
            return added.error();
    }
    return {};
}

asio::awaitable<void> Soak::pause(Duration wait)
{
    asio::steady_timer timer(m_io, wait);
    co_await timer.async_wait(use_awaitable);
}

asio::awaitable<bool> Soak::await(const std::function<bool()> &condition, Duration timeout)
{
    const Instant until = now() + timeout;
    while (!condition() && now() < until)
        co_await pause(TickInterval);
    co_return condition();
}

void Soak::tick()
{
    const Instant at = now();
    measureLag(at);
    m_fleet->advance(at);
    // A difference from Instant::min() is not representable.
    const bool checks = m_checkedAt == Instant::min() || at - m_checkedAt >= CheckInterval;
    if (m_started && checks) {
        m_checkedAt = at;
        m_oracle.checkRunning(at);
        checkStarts(at);
    }
    m_tickDueAt = now() + TickInterval;
    m_tickTimer->expires_after(TickInterval);
    m_tickTimer->async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

void Soak::measureLag(Instant now)
{
    if (!m_started || !m_lag.add(m_tickDueAt, now))
        return;
    m_disturbances.begin(HarnessPart, m_tickDueAt);
    m_disturbances.end(HarnessPart, now);
}

void Soak::checkStarts(Instant now)
{
    FleetRoom room(*m_platform, m_oracle.runningByWorker());
    if (!room.isHalfFree(m_options.limitTasks))
        return;
    m_oracle.checkStarts(now, [&room](const std::string &step, int maxPerWorker) {
        return room.roomFor(step, maxPerWorker);
    });
}

asio::awaitable<bool> Soak::awaitReady()
{
    co_return co_await await(
        [this] {
            for (size_t i = 0; i < m_fleet->size(); ++i) {
                if (!m_fleet->isReady(i))
                    return false;
            }
            return m_fleet->scheduler().has_value();
        },
        StartTimeout);
}

asio::awaitable<void> Soak::playFaults()
{
    const Instant until = now() + m_options.length;
    // Two streams of one fault would undo each other's.
    const int streams = m_options.onlyFault.empty() ? FaultStreams : 1;
    for (int i = 0; i < streams; ++i)
        m_drivers.emplace_back(
            m_io, *m_fleet, *m_platform, m_disturbances,
            [this](bool withdrawKey) { m_operators->change(withdrawKey, now()); },
            m_options.onlyFault, m_random());
    while (now() < until) {
        co_await playFaultsUntil(std::min(now() + FaultyTime, until));
        co_await pause(CalmTime);
    }
}

asio::awaitable<void> Soak::playFaultsUntil(Instant until)
{
    int running = 0;
    for (FaultDriver &driver : m_drivers) {
        ++running;
        asio::co_spawn(
            m_io, [&driver, until] { return driver.run(until); },
            [&running](const std::exception_ptr &error) {
                --running;
                if (error)
                    std::rethrow_exception(error);
            });
    }
    const Instant latest = now() + FaultyTime + LongestFault;
    const auto ended = [&running] { return running == 0; };
    if (co_await await(ended, FaultyTime + LongestFault))
        co_return;
    // A fault that was played slowly is no reason to end without a verdict.
    if (!co_await await(ended, LongestOverrun))
        throw std::runtime_error("the faults have not ended in time: " + currentFaults());
    m_faultOverrun += now() - latest;
}

std::string Soak::currentFaults() const
{
    std::string out;
    for (const FaultDriver &it : m_drivers)
        out += (out.empty() ? "" : ", ") + it.current();
    return out;
}

asio::awaitable<void> Soak::askShare(Caller &caller, const std::vector<std::string> &jobs,
                                     size_t first)
{
    for (size_t job = first; job < jobs.size(); job += FinalCallers) {
        // It may have been kept for long enough meanwhile.
        if (m_oracle.mustBeKnown(jobs[job], now()))
            co_await caller.askState(jobs[job], FinalTries);
    }
}

asio::awaitable<void> Soak::askAll()
{
    std::vector<std::string> jobs;
    for (const std::string &id : m_oracle.acceptedJobs()) {
        if (m_oracle.mustBeKnown(id, now()))
            jobs.push_back(id);
    }
    int running = 0;
    std::list<Caller> callers;
    for (int i = 0; i < FinalCallers; ++i) {
        Caller &caller = callers.emplace_back(*m_callerContext, m_options.callers + i, m_random());
        ++running;
        asio::co_spawn(m_io, askShare(caller, jobs, static_cast<size_t>(i)),
                       [&running](const std::exception_ptr &error) {
                           --running;
                           if (error)
                               std::rethrow_exception(error);
                       });
    }
    while (running > 0)
        co_await pause(TickInterval);
}

asio::awaitable<void> Soak::finish()
{
    // All faults are undone; what was told to end is back soon.
    co_await awaitReady();
    m_callerContext->stopped = true;
    const auto ended = [](const Caller &it) { return it.hasEnded(); };
    co_await await([&] { return std::all_of(m_callers.begin(), m_callers.end(), ended); },
                   FinishTime);
    co_await await(
        [this] {
            const auto jobs = m_oracle.acceptedJobs();
            return std::none_of(jobs.begin(), jobs.end(), [this](const std::string &id) {
                return m_oracle.isUnfinished(id);
            });
        },
        FinishTime);
    co_await pause(CheckInterval);
    co_await askAll();
    m_oracle.checkFinal(now());
}

asio::awaitable<void> Soak::play()
{
    if (!co_await awaitReady())
        throw std::runtime_error("the instances are not ready in time");
    m_started = true;
    for (int i = 0; i < m_options.callers; ++i)
        m_callers.emplace_back(*m_callerContext, i, m_random()).start();
    co_await playFaults();
    co_await finish();
}

SoakReport Soak::run()
{
    m_beganAt = now();
    m_tickTimer = std::make_unique<asio::steady_timer>(m_io);
    tick();
    std::exception_ptr failure;
    asio::co_spawn(m_io, play(), [this, &failure](std::exception_ptr error) {
        failure = std::move(error);
        m_io.stop();
    });
    m_io.run();
    m_fleet.reset();
    if (failure)
        std::rethrow_exception(failure);
    return report();
}

SoakReport Soak::report() const
{
    SoakReport out;
    std::ostringstream text;
    out.violations = m_oracle.violations().size();
    for (const Violation &it : m_oracle.violations())
        text << "broken " << promiseName(it.promise) << " at " << (it.at - m_beganAt).count()
             << " ms (clock " << toMs(it.at) << "): " << it.what << "\n";
    CallerCounters sum;
    for (const Caller &it : m_callers) {
        sum.submitted += it.counters().submitted;
        sum.accepted += it.counters().accepted;
        sum.states += it.counters().states;
        sum.unanswered += it.counters().unanswered;
    }
    text << "seed " << m_options.seed << ": submitted " << sum.submitted << ", accepted "
         << sum.accepted << ", states " << sum.states << ", unanswered " << sum.unanswered
         << "; checked";
    for (const Promise it :
         {Promise::Known, Promise::Completed, Promise::TrueState, Promise::RunsOnce,
          Promise::Starts, Promise::Placed, Promise::Answered, Promise::KeyWithdrawn})
        text << " " << promiseName(it) << " " << m_oracle.checked(it);
    text << "; calls around stops " << m_oracle.callsAroundStops();
    text << "; faults";
    std::map<std::string, int> played;
    for (const FaultDriver &it : m_drivers) {
        for (const auto &[name, n] : it.played())
            played[name] += n;
    }
    for (const auto &[name, n] : played)
        text << " " << name << " " << n;
    text << "; harness lag " << m_lag.toString() << ", excused " << m_oracle.excused();
    if (m_faultOverrun > Duration::zero())
        text << ", faults late by " << m_faultOverrun.count() << " ms";
    text << "; broken " << out.violations << "\n";
    out.text = text.str();
    return out;
}

} // namespace

Result<SoakReport> runSoak(const SoakOptions &options)
{
    Soak soak(options);
    if (const auto set = soak.setUp(); !set)
        return set.error();
    try {
        return soak.run();
    } catch (const std::exception &error) {
        return Error{ErrorCode::Unavailable, error.what()};
    }
}

} // namespace cardamompaddle::soak
