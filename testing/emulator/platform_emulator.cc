#include "platform_emulator.h"

#include "log_client.h"
#include "log_server.h"
#include "net/steady_clock.h"
#include "policy_server.h"
#include "worker_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace cardamompaddle::emulator {

namespace json = boost::json;

namespace {

constexpr Duration AdvanceInterval{4};
// The entry of a worker that has crashed leaves the registry after this many silent intervals.
constexpr int SilentIntervals = 3;

} // namespace

std::string_view runEventKindName(RunEventKind kind)
{
    static constexpr std::array<std::string_view, 3> Names = {"started", "ended", "acknowledged"};
    return Names[static_cast<size_t>(kind)];
}

class PlatformEmulator::Impl
{
public:
    Impl(boost::asio::io_context &io, PlatformEmulatorOptions options)
        : m_io(io), m_options(std::move(options)),
          m_policy(io, PolicyModel(m_options.policy, m_options.seed,
                                   [this](const std::string &worker) { return lifeOf(worker); })),
          m_timer(io)
    { }
    ~Impl() { *m_alive = false; }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<void> start();
    LogServer &log() { return *m_log; }
    const LogServer &log() const { return *m_log; }
    PolicyServer &policy() { return m_policy; }
    const PolicyServer &policy() const { return m_policy; }
    std::string policyAddress() const { return m_policyAddress; }
    // Returns the life of the worker, or 0 if there is no such worker.
    int lifeOf(const std::string &worker) const;
    std::vector<std::string> workerIds() const;
    WorkerServer *worker(const std::string &id) const;
    void restartWorker(const std::string &id, bool newId);
    void registerWorker(const std::string &id);
    void drainWorker(const std::string &id);
    std::optional<Instant> drainingSince(const std::string &id) const;
    void removeWorker(const std::string &id);

private:
    struct Entry
    {
        std::unique_ptr<WorkerServer> server;
        std::string availabilityZone;
        std::string rack;
        int64_t sequence = 0;
        Instant heartbeatAt; // when it wrote its entry last
        bool listed = false;
        std::optional<Instant> drainingSince;
    };

    WorkerModelOptions modelOptions(const std::string &id, int index);
    std::string newWorkerId();
    void advance();
    void updateRegistry(Entry &entry, Instant now);
    void writeEntry(Entry &entry, Instant now);
    std::string registryEntry(const Entry &entry) const;

    boost::asio::io_context &m_io;
    PlatformEmulatorOptions m_options;
    std::unique_ptr<LogServer> m_log;
    PolicyServer m_policy;
    std::string m_policyAddress; // of the first caller
    GangModel m_gangs;
    std::map<std::string, Entry> m_workers; // by id
    int m_workerCount = 0; // ids given so far
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: handlers do nothing
};

std::string PlatformEmulator::Impl::newWorkerId()
{
    constexpr int FirstNumber = 1'000;
    const auto index = static_cast<size_t>(m_workerCount);
    if (index < m_options.workerIds.size()) {
        ++m_workerCount;
        return m_options.workerIds[index];
    }
    return "i-" + std::to_string(FirstNumber + m_workerCount++);
}

WorkerModelOptions PlatformEmulator::Impl::modelOptions(const std::string &id, int index)
{
    WorkerModelOptions out;
    out.clockRate = 1 - (1 - m_options.slowestClockRate) * index / std::max(1, m_options.workers);
    out.id = id;
    out.maxLease = m_options.maxLease;
    out.stopTime = m_options.stopTime;
    out.runTime = m_options.runTime;
    out.observer = m_options.observer;
    out.gangSize = m_options.gangSize;
    out.gangs = &m_gangs;
    out.gangTimeout = m_options.gangTimeout;
    if (!m_options.needsTicket)
        return out;
    out.acceptsTicket = [this](const std::string &ticket, const std::string &task,
                               const std::string &worker, int life, Instant now) {
        return !m_options.needsTicket(task)
               || m_policy.model().accepts(ticket, task, worker, life, now);
    };
    return out;
}

Result<void> PlatformEmulator::Impl::start()
{
    constexpr int WorkersPerRack = 6;
    auto log = LogServer::create(m_io, m_options);
    if (!log)
        return log.error();
    m_log = std::move(*log);
    const auto policy = m_policy.addCaller();
    if (!policy)
        return policy.error();
    m_policyAddress = *policy;
    if (!m_options.workerIds.empty())
        m_options.workers = static_cast<int>(m_options.workerIds.size());
    const auto &zones = m_options.availabilityZones;
    for (int i = 0; i < m_options.workers; ++i) {
        const std::string id = newWorkerId();
        auto server = WorkerServer::create(m_io, modelOptions(id, i),
                                           m_options.seed + static_cast<uint64_t>(i));
        if (!server)
            return server.error();
        Entry &entry = m_workers[id];
        entry.server = std::move(*server);
        entry.availabilityZone = zones[static_cast<size_t>(i) % zones.size()];
        entry.rack = "rack-" + std::to_string(i / WorkersPerRack);
        entry.heartbeatAt = Instant::min();
    }
    advance();
    return {};
}

void PlatformEmulator::Impl::advance()
{
    const Instant now = SteadyClock().now();
    for (auto &[id, entry] : m_workers) {
        entry.server->advance(now);
        updateRegistry(entry, now);
    }
    m_log->advance(now);
    m_policy.advance(now);
    m_timer.expires_after(AdvanceInterval);
    // The destructor cannot cancel a wait whose end is already queued.
    m_timer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            advance();
    });
}

void PlatformEmulator::Impl::updateRegistry(Entry &entry, Instant now)
{
    if (!m_options.registersWorkers || !m_log->takesRecords())
        return;
    const bool due = entry.heartbeatAt == Instant::min()
                     || now - entry.heartbeatAt >= m_options.heartbeatInterval;
    if (entry.server->isUp() && due) {
        writeEntry(entry, now);
    } else if (entry.listed
               && now - entry.heartbeatAt >= SilentIntervals * m_options.heartbeatInterval) {
        entry.listed = false;
        m_log->put(topic::Registry, entry.server->model().id(), "");
    }
}

void PlatformEmulator::Impl::writeEntry(Entry &entry, Instant now)
{
    ++entry.sequence;
    entry.heartbeatAt = now;
    entry.listed = true;
    m_log->put(topic::Registry, entry.server->model().id(), registryEntry(entry));
}

void PlatformEmulator::Impl::registerWorker(const std::string &id)
{
    if (const auto it = m_workers.find(id); it != m_workers.end())
        writeEntry(it->second, SteadyClock().now());
}

void PlatformEmulator::Impl::drainWorker(const std::string &id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second.server->isUp())
        return;
    const Instant now = SteadyClock().now();
    it->second.drainingSince = now;
    writeEntry(it->second, now);
}

std::optional<Instant> PlatformEmulator::Impl::drainingSince(const std::string &id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? std::nullopt : it->second.drainingSince;
}

void PlatformEmulator::Impl::removeWorker(const std::string &id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    it->second.server->crash(WorkerCrash::Reset, SteadyClock().now());
    it->second.listed = false;
    m_log->put(topic::Registry, id, "");
}

std::string PlatformEmulator::Impl::registryEntry(const Entry &entry) const
{
    return json::serialize(
        json::object{{"Service", m_options.service},
                     {"Address", entry.server->address()},
                     {"Zone", entry.availabilityZone},
                     {"Version", "1"},
                     {"Slots", 8},
                     {"State", entry.drainingSince ? "draining" : "ready"},
                     {"ColdRemainingMs", 0},
                     {"Sequence", entry.sequence},
                     {"Capacity", json::object{{"Cpu", m_options.workerCpuMilli},
                                               {"MemoryRequestMb", m_options.workerMemoryMb}}},
                     {"Labels", json::array{"kind-a", json::string(entry.rack)}},
                     {"born", entry.server->bornUnixMs()}});
}

std::vector<std::string> PlatformEmulator::Impl::workerIds() const
{
    std::vector<std::string> out;
    for (const auto &[id, entry] : m_workers)
        out.push_back(id);
    return out;
}

int PlatformEmulator::Impl::lifeOf(const std::string &worker) const
{
    const WorkerServer *server = this->worker(worker);
    return server == nullptr ? 0 : server->model().life();
}

WorkerServer *PlatformEmulator::Impl::worker(const std::string &id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : it->second.server.get();
}

void PlatformEmulator::Impl::restartWorker(const std::string &id, bool newId)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || it->second.server->isUp())
        return;
    const Instant now = SteadyClock().now();
    const std::string nextId = newId ? newWorkerId() : id;
    // A port that cannot be bound at present leaves the worker down.
    if (!it->second.server->restart(nextId, now))
        return;
    it->second.sequence = 0;
    it->second.drainingSince.reset();
    it->second.heartbeatAt = Instant::min();
    if (!newId)
        return;
    auto node = m_workers.extract(it);
    if (node.mapped().listed)
        m_log->put(topic::Registry, id, "");
    node.key() = nextId;
    m_workers.insert(std::move(node));
}

PlatformEmulator::PlatformEmulator(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) { }

PlatformEmulator::~PlatformEmulator() = default;

Result<std::unique_ptr<PlatformEmulator>> PlatformEmulator::create(boost::asio::io_context &io,
                                                                   PlatformEmulatorOptions options)
{
    auto impl = std::make_unique<Impl>(io, std::move(options));
    if (const auto started = impl->start(); !started)
        return started.error();
    return std::unique_ptr<PlatformEmulator>(new PlatformEmulator(std::move(impl)));
}

std::string PlatformEmulator::logAddress() const
{
    return m_impl->log().address();
}

std::string PlatformEmulator::policyAddress() const
{
    return m_impl->policyAddress();
}

Result<std::string> PlatformEmulator::addPolicyCaller()
{
    return m_impl->policy().addCaller();
}

PolicyFaults &PlatformEmulator::policyFaults()
{
    return m_impl->policy().faults();
}

int PlatformEmulator::policyCallCount() const
{
    return m_impl->policy().callCount();
}

bool PlatformEmulator::policyApproves(const std::string &step, const std::string &worker) const
{
    return m_impl->policy().model().approves(step, worker, m_impl->lifeOf(worker));
}

void PlatformEmulator::put(const std::string &topic, const std::string &key,
                           const std::string &value)
{
    m_impl->log().put(topic, key, value);
}

LogFaults &PlatformEmulator::logFaults()
{
    return m_impl->log().faults();
}

void PlatformEmulator::forgetHistory()
{
    m_impl->log().model().forgetHistory();
}

std::vector<std::string> PlatformEmulator::workerIds() const
{
    return m_impl->workerIds();
}

bool PlatformEmulator::isUp(const std::string &worker) const
{
    const WorkerServer *server = m_impl->worker(worker);
    return server != nullptr && server->isUp();
}

void PlatformEmulator::registerWorker(const std::string &worker)
{
    m_impl->registerWorker(worker);
}

int PlatformEmulator::pollCount(const std::string &worker) const
{
    const WorkerServer *server = m_impl->worker(worker);
    return server == nullptr ? 0 : server->pollCount();
}

void PlatformEmulator::crashWorker(const std::string &worker, WorkerCrash how)
{
    if (WorkerServer *server = m_impl->worker(worker))
        server->crash(how, SteadyClock().now());
}

void PlatformEmulator::drainWorker(const std::string &worker)
{
    m_impl->drainWorker(worker);
}

std::optional<Instant> PlatformEmulator::drainingSince(const std::string &worker) const
{
    return m_impl->drainingSince(worker);
}

void PlatformEmulator::removeWorker(const std::string &worker)
{
    m_impl->removeWorker(worker);
}

void PlatformEmulator::restartWorker(const std::string &worker, bool newId)
{
    m_impl->restartWorker(worker, newId);
}

void PlatformEmulator::delayOrders(const std::string &worker, double share, Duration delay)
{
    if (WorkerServer *server = m_impl->worker(worker))
        server->delayOrders(share, delay);
}

void PlatformEmulator::setCutOff(const std::string &worker, bool cutOff)
{
    if (WorkerServer *server = m_impl->worker(worker))
        server->setCutOff(cutOff);
}

size_t PlatformEmulator::recordCount(const std::string &topic) const
{
    return static_cast<size_t>(m_impl->log().model().end(topic));
}

} // namespace cardamompaddle::emulator
