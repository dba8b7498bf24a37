#include "daemon/entry_daemon.h"

#include "daemon/callers_api.h"
#include "daemon/operators_api.h"
#include "metrics/names.h"
#include "net/http_client.h"
#include "net/http_instance_list_client.h"
#include "net/http_log_client.h"
#include "net/http_server.h"
#include "net/http_worker_client.h"
#include "net/peer_transport.h"
#include "net/steady_clock.h"
#include "node/caller_service.h"
#include "node/node.h"
#include "node/operator_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace cardamompaddle {
namespace {

namespace asio = boost::asio;

constexpr Duration TickInterval{20};
constexpr Duration MetricsInterval{1'000};
constexpr int OperatorThreads = 1;

// Returns the start time in milliseconds above 20 random bits, so that a later process of the same
// seat has a higher incarnation.
uint64_t makeIncarnation()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    return (static_cast<uint64_t>(ms) << 20) | (std::random_device{}() & 0xfffffU);
}

double threadCpuSeconds()
{
    timespec ts{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

void logLine(const std::string &line)
{
    const auto logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("cardamompaddled"));
    LOG4CPLUS_INFO(logger, line);
}

} // namespace

class EntryDaemon::Impl
{
public:
    explicit Impl(const Settings &settings)
        : m_settings(settings), m_httpClient(m_io), m_tick(m_io), m_signals(m_io, SIGTERM, SIGINT),
          m_log(m_httpClient, {settings.log.toString()}, m_clock),
          m_workers(m_httpClient, {}, m_clock),
          m_instances(m_httpClient, {settings.instanceList.toString()}, m_clock)
    { }

    Result<void> start();
    int run();

private:
    enum class StopPhase { Running, Draining, FinishingCallers, HandingOver, Done };

    Result<void> startPeers();
    Result<void> startNode();
    Result<void> startServers();
    PostToControl makePostToControl();
    void advanceNode(Instant now);
    void tick();
    void scheduleTick();
    void awaitSignal();
    void onSignal();
    void advanceStop(Instant now);
    void updateMetrics(Instant now);

    Settings m_settings;
    SteadyClock m_clock;
    asio::io_context m_io;
    HttpClient m_httpClient;
    asio::steady_timer m_tick;
    asio::signal_set m_signals;
    HttpLogClient m_log;
    HttpWorkerClient m_workers;
    HttpInstanceListClient m_instances;
    Registry m_metrics;
    Histogram &m_decisionSeconds = m_metrics.histogram(metric::Decision);
    std::unique_ptr<AsioPeerTransport> m_peers;
    std::unique_ptr<Node> m_node;
    std::unique_ptr<CallerService> m_callerService;
    std::unique_ptr<OperatorService> m_operatorService;
    std::unique_ptr<CallersApi> m_callersApi;
    std::unique_ptr<OperatorsApi> m_operatorsApi;
    std::unique_ptr<HttpServer> m_callersServer;
    std::unique_ptr<HttpServer> m_operatorsServer;
    StopPhase m_phase = StopPhase::Running;
    Instant m_stopStartedAt;
    Instant m_drainUntil;
    int m_exitCode = 0;
    std::optional<Instant> m_lastMetricsUpdate;
    double m_lastCpuSeconds = 0;
    PeerTransportStats m_lastPeerStats;
};

Result<void> EntryDaemon::Impl::start()
{
    for (const auto step : {&Impl::startPeers, &Impl::startNode, &Impl::startServers}) {
        if (const auto it = (this->*step)(); !it)
            return it.error();
    }
    logLine("event=started cell=" + m_settings.cell + " seat=" + std::to_string(m_settings.seat)
            + " zone=" + m_settings.availabilityZone()
            + " callers_port=" + std::to_string(m_callersServer->port())
            + " operators_port=" + std::to_string(m_operatorsServer->port()));
    return {};
}

Result<void> EntryDaemon::Impl::startPeers()
{
    PeerTransportOptions options;
    options.self = m_settings.seat;
    for (const SeatSettings &it : m_settings.seats)
        options.seats.push_back(it.peer.toString());
    options.listen = m_settings.listenPeers.toString();
    auto peers = AsioPeerTransport::create(m_io, std::move(options), m_clock);
    if (!peers)
        return peers.error();
    m_peers = std::move(*peers);
    return {};
}

Result<void> EntryDaemon::Impl::startNode()
{
    NodeOptions options;
    options.self = m_settings.seat;
    options.incarnation = makeIncarnation();
    options.membership.seatCount = static_cast<int32_t>(m_settings.seats.size());
    const NodeServices services{m_log, m_workers, m_instances, *m_peers, m_metrics, logLine};
    auto node = Node::create(options, services, m_clock.now());
    if (!node)
        return node.error();
    m_node = std::move(*node);
    m_callerService = std::make_unique<CallerService>(*m_node);
    m_operatorService = std::make_unique<OperatorService>(*m_node);
    m_callersApi = std::make_unique<CallersApi>(*m_callerService, makePostToControl(), m_clock);
    m_operatorsApi = std::make_unique<OperatorsApi>(
        *m_node, *m_operatorService, m_settings.operatorTokenSha256, makePostToControl(), m_clock);
    return {};
}

Result<void> EntryDaemon::Impl::startServers()
{
    HttpServerOptions options;
    options.address = m_settings.listenCallers.toString();
    options.threads = m_settings.trafficThreads;
    options.maxBodyBytes = static_cast<size_t>(m_settings.maxBodyBytes);
    options.readTimeout = m_settings.requestReadTimeout;
    options.maxConnections = static_cast<size_t>(m_settings.maxConnections);
    auto callers =
        HttpServer::create(options, [this](const HttpRequest &request, const HttpRespond &respond) {
            m_callersApi->handle(request, respond);
        });
    if (!callers)
        return callers.error();
    m_callersServer = std::move(*callers);
    options.address = m_settings.listenOperators.toString();
    options.threads = OperatorThreads;
    auto operators =
        HttpServer::create(options, [this](const HttpRequest &request, const HttpRespond &respond) {
            m_operatorsApi->handle(request, respond);
        });
    if (!operators)
        return operators.error();
    m_operatorsServer = std::move(*operators);
    return {};
}

PostToControl EntryDaemon::Impl::makePostToControl()
{
    return [this](std::function<void()> function) { asio::post(m_io, std::move(function)); };
}

int EntryDaemon::Impl::run()
{
    awaitSignal();
    scheduleTick();
    while (m_phase != StopPhase::Done) {
        m_io.run_one();
        m_io.poll();
        if (m_node->needsAdvance())
            advanceNode(m_clock.now());
    }
    m_callersServer->stop();
    m_operatorsServer->stop();
    logLine("event=stopped exit_code=" + std::to_string(m_exitCode));
    return m_exitCode;
}

void EntryDaemon::Impl::advanceNode(Instant now)
{
    const double begin = threadCpuSeconds();
    m_node->advance(now);
    m_decisionSeconds.observe(threadCpuSeconds() - begin);
}

void EntryDaemon::Impl::scheduleTick()
{
    m_tick.expires_after(TickInterval);
    m_tick.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

void EntryDaemon::Impl::tick()
{
    const Instant now = m_clock.now();
    advanceNode(now);
    m_callerService->advance(now);
    advanceStop(now);
    updateMetrics(now);
    if (m_node->superseded()) {
        logLine("event=superseded reason=\"another process has taken over the seat\"");
        m_exitCode = 1;
        m_phase = StopPhase::Done;
    }
    scheduleTick();
}

void EntryDaemon::Impl::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &ec, int) {
        if (ec)
            return;
        onSignal();
        awaitSignal();
    });
}

void EntryDaemon::Impl::onSignal()
{
    const Instant now = m_clock.now();
    if (m_phase == StopPhase::Running) {
        m_phase = StopPhase::Draining;
        m_stopStartedAt = now;
        m_drainUntil = now + m_settings.drainDelay;
        m_operatorsApi->beginDrain();
        logLine("event=drain_begun");
    } else if (m_phase == StopPhase::Draining) {
        m_drainUntil = now;
    }
}

void EntryDaemon::Impl::advanceStop(Instant now)
{
    if (m_phase == StopPhase::Running)
        return;
    if (m_phase == StopPhase::Draining && now >= m_drainUntil) {
        m_callersServer->stopAccepting();
        m_phase = StopPhase::FinishingCallers;
    }
    if (m_phase == StopPhase::FinishingCallers && m_callersServer->openRequests() == 0) {
        m_node->beginStop(now);
        m_phase = StopPhase::HandingOver;
    }
    if (m_phase == StopPhase::HandingOver && m_node->stopped(now))
        m_phase = StopPhase::Done;
    if (m_phase != StopPhase::Done && now - m_stopStartedAt >= m_settings.stopTimeout) {
        logLine("event=stop_bound_reached open_requests="
                + std::to_string(m_callersServer->openRequests()));
        m_exitCode = 1;
        m_phase = StopPhase::Done;
    }
}

void EntryDaemon::Impl::updateMetrics(Instant now)
{
    if (m_lastMetricsUpdate && now - *m_lastMetricsUpdate < MetricsInterval)
        return;
    m_lastMetricsUpdate = now;
    const double cpu = threadCpuSeconds();
    m_metrics.counter(metric::ControlCpu).add(cpu - m_lastCpuSeconds);
    m_lastCpuSeconds = cpu;
    const PeerTransportStats stats = m_peers->stats();
    m_metrics.counter(metric::PeerBytes, {"in"})
        .add(static_cast<double>(stats.bytesReceived - m_lastPeerStats.bytesReceived));
    m_metrics.counter(metric::PeerBytes, {"out"})
        .add(static_cast<double>(stats.bytesSent - m_lastPeerStats.bytesSent));
    m_lastPeerStats = stats;
}

EntryDaemon::EntryDaemon(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) { }

EntryDaemon::~EntryDaemon() = default;

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::create(const Settings &settings)
{
    auto impl = std::make_unique<Impl>(settings);
    if (const auto it = impl->start(); !it)
        return it.error();
    return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(impl)));
}

int EntryDaemon::run()
{
    return m_impl->run();
}

} // namespace cardamompaddle
