// Manages the scheduler's calls to workers: polls their run lists, extends leases, sends orders,
// and reports runs as lost once their leases must have expired. WorkerLease decides when that is
// and which incarnation of a worker may be called.
//
// Makes no decisions about tasks. Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/timer.h"
#include "control/worker_lease.h"
#include "platform/worker.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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
        // No run is active there any more but those that are named: their starts got no answer, so
        // they may be active in an incarnation that is not known. Called again without them later.
        std::function<void(const WorkerId &, const std::set<RunRef> &)> lost;
        // Another worker has its address, so no run is active there any more. May follow `lost`.
        std::function<void(const WorkerId &)> replaced;
        std::function<void()> fenced; // a worker has seen a higher epoch
        std::function<bool(const WorkerId &)> busy; // whether runs are assigned to the worker
        // Returns the position up to which the finished runs of the worker's incarnation, given by
        // its start, are stored in the log.
        std::function<int64_t(const WorkerId &, int64_t startedAtMs)> storedPosition;
        // Returns whether the log permits leases in the worker's incarnation: its stored record
        // names the incarnation and does not promise that nobody extends leases there.
        std::function<bool(const WorkerId &, int64_t startedAtMs)> leasesPermitted;
        // Returns what the stored record of the worker tells of an earlier scheduler's leases.
        std::function<FormerLeases(const WorkerId &)> formerLeases;
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
    // Returns what is known of the leases on a worker that has a link.
    const WorkerLease &lease(const WorkerId &id) const { return m_links.at(id).lease; }
    // Returns the workers on which an earlier start of the task may still be carried out, because
    // an attempt got no answer; null if there are none. A worker refuses it while it knows a later
    // run or fencing token, but not if it starts again under its ID.
    const std::set<WorkerId> *lateStartWorkers(const TaskRef &task) const
    {
        const auto it = m_lateStarts.find(task);
        return it == m_lateStarts.end() ? nullptr : &it->second;
    }
    // Returns the start of the worker's incarnation that has answered the last probe or, before
    // that, of the one that the registry shows; 0 if none is known.
    int64_t incarnationStart(const WorkerId &id) const;
    // Returns IP:PORT of the worker, or an empty string if there is no link.
    std::string address(const WorkerId &id) const
    {
        const auto it = m_links.find(id);
        return it == m_links.end() ? "" : it->second.entry.address;
    }

private:
    struct Link
    {
        explicit Link(WorkerLease workerLease) : lease(std::move(workerLease)) { }

        WorkerEntry entry;
        WorkerLease lease;
        bool listed = false;
        bool pollInFlight = false;
        bool hasUnstoredRuns = false; // reported finished runs are not stored yet
        int64_t lastPoll = 0; // number of the last poll; answers to earlier ones are dropped
        bool reconciled = false; // at least one report listed all runs
        bool lost = false; // reported as lost: no run can be active there
        bool confirmedLost = false; // reported as lost, but for runs whose starts got no answer
        bool replaced = false; // reported as replaced
        std::set<TaskRef> lateStarts; // tasks of m_lateStarts that name the worker
        bool reachable = false;
        Instant unreachableSince; // while it is not reachable
        std::shared_ptr<Timer> timer; // of the next poll
        std::deque<std::function<void()>> queue; // calls over the concurrency limit
        bool queueRunning = false; // runQueue() is active for the link
        int inFlight = 0;
    };

    Link *find(const WorkerId &id);
    void addLink(const WorkerEntry &entry);
    void poll(const WorkerId &id);
    void schedulePoll(const WorkerId &id, Duration delay);
    void onPollAnswer(const WorkerId &id, const Result<PollResult> &answer);
    void onPollFailed(const WorkerId &id, const Error &error);
    // Sends a probe at once and drops the answer to the poll in flight, if any.
    void probe(const WorkerId &id, std::string_view why);
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
    // One attempt to send a start order.
    struct StartAttempt
    {
        StartOrder order;
        size_t priorAttempts = 0; // of the order that had no answer
        int64_t token = 0;
        Instant sentAt;
    };
    // Sends a start order if it is still wanted. `priorAttempts` of it had no answer.
    void sendStart(const StartOrder &order, size_t priorAttempts);
    void onStartAnswer(const StartAttempt &attempt, const Result<StartAnswer> &answer);
    // Returns the outcome of the order after its last attempt, and books a confirmed start.
    StartOutcome outcomeOf(const StartAttempt &attempt, const Result<StartAnswer> &answer);
    // Brings m_lateStarts up to date with what is known of the worker's starts.
    void updateLateStarts(Link &link);
    // Whether a call with this token was refused because a later probe of the same tenure fences
    // it, and not by another scheduler.
    bool isFencedByProbe(const WorkerId &id, int64_t token, const Error &error) const;
    // Ends a stop or throttle call and returns whether it succeeded. A failure is logged as
    // `failureEvent`.
    bool finishOrder(std::string_view failureEvent, const WorkerId &id, const TaskRef &task,
                     int64_t token, const Result<void> &answer);
    void handleError(const WorkerId &id, int64_t token, const Error &error);
    // Reports the runs whose leases have expired.
    void expireRuns(const WorkerId &id, Instant now);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    WorkerGateway &m_gateway;
    WorkerLinksOptions m_options;
    Callbacks m_callbacks;
    std::map<WorkerId, Link> m_links;
    // See lateStartWorkers(). Of workers that are listed, and not lost.
    std::map<TaskRef, std::set<WorkerId>> m_lateStarts;
    // Of closed links, as long as calls sent over them may have effects.
    std::map<WorkerId, WorkerLease> m_closedLeases;
    int64_t m_closedProbes = 0; // highest number of probes on a link that was closed
    int64_t m_lastPoll = 0; // number of the last poll of any worker
    Instant m_lossyUntil = Instant::min(); // until then, calls may lose their answers
    Instant m_tenureHeldAt; // when the last successful append, or the claim, was first sent
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
