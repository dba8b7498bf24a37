#include "fleet.h"

#include "net/steady_clock.h"

#include <csignal>
#include <utility>

namespace cardamompaddle::soak {

namespace {

constexpr Duration RestartDelay{300};
constexpr Duration NoticeTime{100};
constexpr Duration ProbeInterval{1'000};
constexpr Duration ProbeTimeout{900};
constexpr int MissesOutOfRotation = 2;
constexpr int StatusReady = 200;
constexpr const char *SchedulesLine = "\ncardamompaddle_entry_schedules 1";

Instant now()
{
    return SteadyClock().now();
}

std::string stopPart(const std::string &instance)
{
    return "stop of " + instance;
}

} // namespace

Fleet::Fleet(boost::asio::io_context &io, Oracle &oracle, Disturbances &disturbances)
    : m_io(io), m_oracle(oracle), m_disturbances(disturbances), m_http(io)
{ }

Fleet::~Fleet()
{
    for (const auto &node : m_nodes)
        node->process.kill();
}

Result<void> Fleet::add(InstanceProcessOptions options)
{
    auto link = LinkProxy::create(m_io, options.logAddress);
    if (!link)
        return link.error();
    auto policyLink = LinkProxy::create(m_io, options.policyAddress);
    if (!policyLink)
        return policyLink.error();
    options.logAddress = (*link)->address();
    options.policyAddress = (*policyLink)->address();
    auto process = InstanceProcess::create(std::move(options));
    if (!process)
        return process.error();
    m_nodes.push_back(std::make_unique<Node>(
        Node{std::move(*process), std::move(*link), std::move(*policyLink)}));
    disturb(*m_nodes.back(), now());
    return m_nodes.back()->process.start();
}

std::optional<size_t> Fleet::scheduler() const
{
    for (size_t i = 0; i < size(); ++i) {
        if (m_nodes[i]->schedules && isRunning(i))
            return i;
    }
    return std::nullopt;
}

void Fleet::disturb(Node &node, Instant now)
{
    if (!std::exchange(node.disturbed, true))
        m_disturbances.begin(node.process.name(), now);
}

void Fleet::stop(size_t i)
{
    Node &node = *m_nodes[i];
    if (!node.process.isRunning() || node.endExpected)
        return;
    node.endExpected = true;
    node.killAt = now() + node.process.stopGrace();
    if (!std::exchange(node.stopping, true))
        m_disturbances.begin(stopPart(node.process.name()), now());
    m_oracle.stopBegan(node.process.name(), now());
    node.process.signal(SIGTERM);
}

void Fleet::kill(size_t i)
{
    Node &node = *m_nodes[i];
    if (!node.process.isRunning())
        return;
    disturb(node, now());
    node.endExpected = true;
    node.process.signal(SIGKILL);
}

void Fleet::setPaused(size_t i, bool paused)
{
    Node &node = *m_nodes[i];
    if (node.paused == paused)
        return;
    node.paused = paused;
    if (paused)
        m_disturbances.begin(node.process.name(), now());
    else
        m_disturbances.end(node.process.name(), now());
    node.process.signal(paused ? SIGSTOP : SIGCONT);
}

void Fleet::reload(size_t i)
{
    Node &node = *m_nodes[i];
    // A file that cannot be written stays as it is.
    (void)node.process.writeSettings().ok();
    node.process.signal(SIGHUP);
}

void Fleet::onEnded(Node &node, const ProcessEnd &end, Instant now)
{
    const bool expected = node.endExpected && (end.signal == SIGKILL || end.exitStatus == 0);
    if (!expected)
        m_oracle.processEnded(node.process.name(), end.toString(), now);
    m_oracle.stopEnded(node.process.name(), now);
    if (node.paused)
        m_disturbances.end(node.process.name(), now);
    node.endExpected = node.paused = node.ready = node.schedules = false;
    node.killAt = Instant::max();
    node.startAt = now + RestartDelay;
    // Callers may notice a planned end a little later than this process does.
    disturb(node, end.signal == 0 ? now + NoticeTime : now);
}

void Fleet::advance(Instant now)
{
    const bool probes = m_probedAt == Instant::min() || now - m_probedAt >= ProbeInterval;
    if (probes)
        m_probedAt = now;
    for (const auto &it : m_nodes) {
        Node &node = *it;
        ProcessEnd end;
        if (node.process.reap(end))
            onEnded(node, end, now);
        if (!node.process.isRunning() && now >= node.startAt && !node.process.start())
            m_oracle.processEnded(node.process.name(), "cannot be started", now);
        // A paused process cannot stop in time.
        if (now >= node.killAt && !node.paused) {
            m_oracle.processEnded(node.process.name(), "has outlasted its grace period", now);
            disturb(node, now);
            node.process.signal(SIGKILL);
            node.killAt = Instant::max();
        }
        if (probes)
            probe(node);
    }
}

void Fleet::probe(Node &node)
{
    m_http.request(node.process.readinessAddress(), "GET", "/cardamompaddle/readiness", "",
                   ProbeTimeout, [this, &node](const Result<HttpResponse> &response, bool) {
                       onProbed(node, response && response->status == StatusReady);
                   });
    m_http.request(node.process.metricsAddress(), "GET", "/metrics", "", ProbeTimeout,
                   [&node](const Result<HttpResponse> &response, bool) {
                       node.schedules =
                           response && response->body.find(SchedulesLine) != std::string::npos;
                   });
}

void Fleet::onProbed(Node &node, bool ready)
{
    node.misses = ready ? 0 : node.misses + 1;
    node.ready = ready;
    if (!ready || node.endExpected)
        return;
    if (std::exchange(node.disturbed, false))
        m_disturbances.end(node.process.name(), now());
    if (std::exchange(node.stopping, false))
        m_disturbances.end(stopPart(node.process.name()), now());
}

std::optional<Target> Fleet::target(uint64_t random) const
{
    std::vector<const Node *> candidates;
    for (const auto &node : m_nodes) {
        if (node->misses < MissesOutOfRotation)
            candidates.push_back(node.get());
    }
    if (candidates.empty())
        return std::nullopt;
    const Node &node = *candidates[random % candidates.size()];
    return Target{node.process.name(), node.process.callersAddress()};
}

} // namespace cardamompaddle::soak
