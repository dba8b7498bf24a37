// Calls to workers on behalf of the scheduler: looks at their lists in a loop, extends leases,
// sends orders, and tells when the lease of everything on a silent worker has surely lapsed.
//
// Decides nothing about tasks. Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"
#include "platform/worker.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompaddle {

struct WorkerLinksOptions
{
    int64_t epoch = 0;
    Duration maxLease{10'000}; // that a worker grants
};

class WorkerLinks
{
public:
    struct Callbacks
    {
        std::function<void(const WorkerId &, const RunReport &)> report;
        std::function<void(const StartOrder &, StartOutcome)> startAnswered;
        std::function<void(const StopOrder &)> stopConfirmed;
        std::function<void(const WorkerId &, bool)> reachable;
        std::function<void(const WorkerId &)> lost; // nothing runs there any more
        std::function<void()> fenced; // a worker has seen a higher epoch
        std::function<bool(const WorkerId &)> busy;
        // Position up to which the worker's ends are stored.
        std::function<int64_t(const WorkerId &)> storedEnds;
    };

    WorkerLinks(boost::asio::io_context &io, const Clock &clock, WorkerGateway &gateway,
                WorkerLinksOptions options, Callbacks callbacks);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks &) = delete;
    WorkerLinks &operator=(const WorkerLinks &) = delete;

    // Opens a link or updates its entry. `listed`: it stands in the registry; other workers are
    // only asked what still runs there.
    void setEntry(const WorkerEntry &entry, bool listed);
    // The worker has left the registry; the link ends once nothing can run there any more.
    void unlist(const WorkerId &id);
    void start(const StartOrder &order);
    void stop(const StopOrder &order);
    void throttle(const ThrottleOrder &order);
    // The log took something of this tenure; looks that waited for ends to be stored go out.
    // Without it leases are extended for a short time only.
    void endsStored();
    // Judges leases. Call some times a second.
    void tick();
    bool contains(const WorkerId &id) const { return m_links.contains(id); }
    // Whether the link has reported, or has surely nothing from an earlier scheduler.
    bool reconciled(const WorkerId &id) const;
    size_t size() const { return m_links.size(); }
    // IP:PORT of a worker; empty if there is no link.
    std::string address(const WorkerId &id) const
    {
        const auto it = m_links.find(id);
        return it == m_links.end() ? "" : it->second.entry.address;
    }

private:
    struct Link
    {
        WorkerEntry entry;
        bool listed = false;
        bool looking = false;
        bool awaitsAck = false; // reported ends are not stored yet
        bool reported = false;
        bool lost = false; // nothing runs there: told to the scheduler
        bool reachable = false;
        int64_t workerMs = 0; // of the worker, at clockAt
        Instant clockAt = Instant::min();
        Instant leaseLapsed; // by then everything there has surely lapsed
        std::shared_ptr<boost::asio::steady_timer> timer;
        std::deque<std::function<void()>> queue; // calls that wait for a free channel
        int inFlight = 0;
    };

    Link *find(const WorkerId &id);
    void look(const WorkerId &id);
    void lookAfter(const WorkerId &id, Duration wait);
    void onLook(const WorkerId &id, Result<PollResult> answer);
    void setReachable(Link &link, bool reachable, const std::string &why);
    CommandFence authority(Link &link, bool extendLease);
    void enqueue(const WorkerId &id, std::function<void()> call);
    void callEnded(const WorkerId &id);
    void tryStart(const StartOrder &order, size_t earlierTries);
    void onStart(const StartOrder &order, size_t earlierTries, const Result<StartOutcome> &answer);
    bool succeeded(std::string_view what, const WorkerId &id, const TaskRef &task,
                   const Result<void> &answer);
    void judgeError(const WorkerId &id, const Error &error);
    void declareLost(Link &link, const std::string &why);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    WorkerGateway &m_gateway;
    WorkerLinksOptions m_options;
    Callbacks m_callbacks;
    std::map<WorkerId, Link> m_links;
    Instant m_lossyUntil = Instant::min(); // answers may be lost until then
    Instant m_storedAt; // when the log last took something of this tenure
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
