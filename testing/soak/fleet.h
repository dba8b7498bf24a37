// The entry instances of a soak: starts them again when they have ended, probes whether they are
// ready, and tells callers which ones are in rotation.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "caller.h"
#include "disturbances.h"
#include "instance_process.h"
#include "link_proxy.h"
#include "net/http_client.h"
#include "oracle.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle::soak {

class Fleet
{
public:
    Fleet(boost::asio::io_context &io, Oracle &oracle, Disturbances &disturbances);
    // Kills all processes.
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Adds an instance, whose links to the log and to the policy service go through proxies, and
    // starts it.
    Result<void> add(InstanceProcessOptions options);
    size_t size() const { return m_nodes.size(); }
    const std::string &name(size_t i) const { return m_nodes[i]->process.name(); }
    LinkProxy &link(size_t i) { return *m_nodes[i]->link; } // to the log
    LinkProxy &policyLink(size_t i) { return *m_nodes[i]->policyLink; }
    bool isRunning(size_t i) const { return m_nodes[i]->process.isRunning(); }
    bool isReady(size_t i) const { return m_nodes[i]->ready; }
    bool isPaused(size_t i) const { return m_nodes[i]->paused; }
    // Index of the instance that schedules, as its metrics have told last.
    std::optional<size_t> scheduler() const;

    void stop(size_t i); // SIGTERM; started again soon after its end
    void kill(size_t i); // SIGKILL; as above
    void setPaused(size_t i, bool paused);
    void reload(size_t i); // SIGHUP after the settings file was written again
    // Waits for ended processes, starts processes, and probes. Call it often.
    void advance(Instant now);
    // An instance for a new connection of a caller.
    std::optional<Target> target(uint64_t random) const;

private:
    struct Node
    {
        InstanceProcess process;
        std::unique_ptr<LinkProxy> link;
        std::unique_ptr<LinkProxy> policyLink;
        bool endExpected = false; // it was told to end
        bool paused = false;
        bool ready = false; // by its latest probe
        bool disturbed = false; // its start counts as a disturbance until it is ready
        bool stopping = false; // it has got SIGTERM and is not ready again yet
        bool schedules = false;
        int misses = 0;
        Instant startAt{}; // when it has to be started again
        Instant killAt = Instant::max(); // when the grace period of its stop ends
    };

    void onEnded(Node &node, const ProcessEnd &end, Instant now);
    void probe(Node &node);
    void onProbed(Node &node, bool ready);
    void disturb(Node &node, Instant now);

    boost::asio::io_context &m_io;
    Oracle &m_oracle;
    Disturbances &m_disturbances;
    HttpClient m_http;
    std::vector<std::unique_ptr<Node>> m_nodes;
    Instant m_probedAt = Instant::min();
};

} // namespace cardamompaddle::soak
