// Manages the scheduler's calls to workers: polls their run lists, extends leases, sends orders,
// and reports a worker as lost once every lease on it must have expired.
//
// Makes no decisions about tasks. Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "platform/worker.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

struct WorkerLinksOptions
{
    int64_t epoch = 0; // of the scheduler's tenure
    Duration maxLease{10'000}; // longest lease that a worker grants
    // When the claim of the tenure was first sent. A successor may have been able to claim it
    // since.
    Instant tenureHeldAt{};
    // The former scheduler sent nothing after this time that the log has stored.
    Instant formerTenureHeldAt = Instant::min();
};

class WorkerLinks
{
public:
    struct Callbacks
    {
        std::function<void(const WorkerId &, const RunReport &)> report;
        // Whether a start order is still wanted; asked right before each attempt to send it.
        std::function<bool(const StartOrder &)> startWanted;
        std::function<void(const StartOrder &, StartOutcome)> startAnswered;
        std::function<void(const StopOrder &)> stopConfirmed;
        std::function<void(const WorkerId &, bool)> reachable;
        std::function<void(const WorkerId &)> lost; // no run is active there any more
        // Another worker has its address, so no run is active there any more. May follow `lost`.
        std::function<void(const WorkerId &)> replaced;
        std::function<void()> fenced; // a worker has seen a higher epoch
        std::function<bool(const WorkerId &)> busy; // whether runs are assigned to the worker
        // Returns the position up to which the worker's finished runs are stored in the log.
        std::function<int64_t(const WorkerId &)> storedPosition;
        // Returns when all leases on the worker have expired if its stored record promises that
        // nobody extends them, which is then respected; otherwise none.
        std::function<std::optional<Instant>(const WorkerId &)> suspendedLeaseExpiry;
    };

    WorkerLinks(boost::asio::io_context &io, const Clock &clock, WorkerGateway &gateway,
                WorkerLinksOptions options, Callbacks callbacks);
    ~WorkerLinks();
    WorkerLinks(const WorkerLinks &) = delete;
    WorkerLinks &operator=(const WorkerLinks &) = delete;

    // Opens a link or updates its entry. `listed` means that the worker is in the registry. An
    // unlisted worker is only polled for the runs that are still active there.
    void setEntry(const WorkerEntry &entry, bool listed);
    // Marks the worker as removed from the registry. Its link is closed once no run can be active
    // there.
    void markUnlisted(const WorkerId &id);
    void start(const StartOrder &order);
    void stop(const StopOrder &order);
    void throttle(const ThrottleOrder &order);
    // Call after each append of this tenure that was stored, with the time at which it was first
    // sent: a successor may have claimed the tenure at any time after that. Schedules the polls
    // that waited for finished runs to be stored. Without such calls, lease extension stops after a
    // short time.
    void onAppendStored(Instant sentAt);
    // Returns whether the last stored append is recent enough for leases to be extended. Without
    // that, starts are withdrawn instead of sent.
    bool tenureIsCurrent() const;
    // Detects expired leases and closes unneeded links. Call several times a second.
    void tick();
    bool contains(const WorkerId &id) const { return m_links.contains(id); }
    // Returns whether no run of an earlier scheduler can be unknown on the worker: it has listed
    // all its runs, was lost, or has no link.
    bool reconciled(const WorkerId &id) const;
    size_t size() const { return m_links.size(); }
    // Returns the workers that have been unreachable since `time` or longer.
    std::vector<WorkerId> unreachableSince(Instant time) const;
    // Returns when every lease on the worker has expired unless it is extended again.
    Instant leaseExpiry(const WorkerId &id) const { return m_links.at(id).leaseExpiry; }
    // Returns IP:PORT of the worker, or an empty string if there is no link.
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
        bool pollInFlight = false;
        bool hasUnstoredRuns = false; // reported finished runs are not stored yet
        bool reported = false; // at least one poll was answered
        bool reconciled = false; // at least one report listed all runs
        bool lost = false; // reported as lost: no run can be active there
        bool replaced = false; // reported as replaced
        bool reachable = false;
        Instant unreachableSince; // while it is not reachable
        int64_t startedAtMs = 0; // of the incarnation that answered last; Unix time
        int64_t acknowledged = 0; // with the last poll
        int64_t workerTimeMs = 0; // worker's clock at workerTimeReadAt
        Instant workerTimeReadAt = Instant::min(); // min(): the worker's clock is unknown
        Instant leaseExpiry; // every lease on the worker has expired by then
        std::shared_ptr<boost::asio::steady_timer> timer; // of the next poll
        std::deque<std::function<void()>> queue; // calls over the concurrency limit
        bool queueRunning = false; // runQueue() is active for the link
        int inFlight = 0;
    };

    Link *find(const WorkerId &id);
    void poll(const WorkerId &id);
    void schedulePoll(const WorkerId &id, Duration delay);
    void onPollAnswer(const WorkerId &id, Result<PollResult> answer);
    void setReachable(Link &link, bool reachable, const std::string &reason);
    // Returns whether a longer lease may be asked for.
    bool mayExtendLease(const Link &link) const;
    // Builds the fence of a call. With `extendLease` it asks for a longer lease, if that is safe.
    CommandFence makeFence(Link &link, bool extendLease);
    // Runs `call` once fewer than the permitted number of calls to the worker are in flight. Each
    // call must end with onCallDone(), at once or later.
    void enqueue(const WorkerId &id, std::function<void()> call);
    static void runQueue(Link &link);
    void onCallDone(const WorkerId &id);
    // Sends a start order if it is still wanted. `priorAttempts` of it had no answer.
    void sendStart(const StartOrder &order, size_t priorAttempts);
    void logClock(const StartOrder &order, const Result<StartAnswer> &answer);
    void onStartAnswer(const StartOrder &order, size_t priorAttempts,
                       const Result<StartAnswer> &answer);
    // Ends a stop or throttle call and returns whether it succeeded. A failure is logged as
    // `failureEvent`.
    bool finishOrder(std::string_view failureEvent, const WorkerId &id, const TaskRef &task,
                     const Result<void> &answer);
    void handleError(const WorkerId &id, const Error &error);
    void markLost(Link &link, const std::string &reason,
                  const std::function<void(const WorkerId &)> &callback);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    WorkerGateway &m_gateway;
    WorkerLinksOptions m_options;
    Callbacks m_callbacks;
    std::map<WorkerId, Link> m_links;
    Instant m_lossyUntil = Instant::min(); // until then, calls may lose their answers
    Instant m_tenureHeldAt; // when the last successful append, or the claim, was first sent
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
