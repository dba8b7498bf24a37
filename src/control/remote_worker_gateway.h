// Makes calls to workers through other entry instances, so that the work of exchanging messages
// with many workers is spread over the instances. Callers cannot tell who makes a call.
//
// The scheduler owns one for its tenure. Calls to an instance (a link) are batched; the instance
// acknowledges a batch at once and returns the results later. A call ends as soon as its link is
// lost: what the link has certainly not received, and polls, which may be repeated, are then made
// directly. Other calls end with OutcomeUnknown.
//
// A call that is delayed on its way does not extend a lease for longer than the scheduler assumes:
// the end of a lease is a time on the worker's clock that was computed before the call was queued,
// and WorkerLinks counts the expiry from that same moment.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/link_selector.h"
#include "control/timer.h"
#include "platform/worker.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

struct RemoteWorkerGatewayOptions
{
    std::string self; // member name of this instance
    std::string replyTo; // IP:PORT on which peers reach this instance
    std::string session; // unique for each tenure
    int64_t epoch = 0; // of the tenure
};

class RemoteWorkerGateway : public WorkerGateway
{
public:
    // `direct` makes the calls that go through no link. All references must outlive the gateway.
    RemoteWorkerGateway(boost::asio::io_context &io, const Clock &clock, WorkerGateway &direct,
                        PeerGateway &peers, RemoteWorkerGatewayOptions options);
    // Drops the callbacks of unfinished calls without running them.
    ~RemoteWorkerGateway() override;
    RemoteWorkerGateway(const RemoteWorkerGateway &) = delete;
    RemoteWorkerGateway &operator=(const RemoteWorkerGateway &) = delete;

    // Sets the instances that may become links and the number of workers to call. Call it several
    // times a second.
    void update(const std::map<std::string, work::Member> &members, size_t workers);
    // Takes the results that a link returns. Those of other sessions and of ended calls are
    // ignored.
    void answered(const work::WorkerAnswers &answers);
    size_t linkCount() const { return m_selector.selected().size(); }

    void poll(const WorkerEntry &worker, const CommandFence &fence, int64_t acknowledged,
              Duration wait, Duration timeout, Instant requestedAt, PollDone done) override;
    void start(const WorkerEntry &worker, const CommandFence &fence, const StartOrder &order,
               Duration timeout, StartDone done) override;
    void stop(const WorkerEntry &worker, const CommandFence &fence, const StopOrder &order,
              Duration timeout, Done done) override;
    void throttle(const WorkerEntry &worker, const CommandFence &fence, const ThrottleOrder &order,
                  Duration timeout, Done done) override;

private:
    // A call that a link is to make.
    struct Call
    {
        work::WorkerCall message;
        std::shared_ptr<const work::Submission> job; // Start: holds the payload; otherwise null
        Duration timeout; // as the caller set it; counts again from the sending of the message
        Instant expiresAt; // when its timeout has passed
        std::function<void(const Result<work::WorkerAnswer> &)> complete;
        std::function<void(Duration timeout)> makeDirectly; // instead of `complete`
    };
    using Calls = std::map<int64_t, Call>; // by id
    struct Link
    {
        std::string address;
        std::string incarnation; // empty until the first acknowledgement
        Calls queued; // not sent yet
        Calls sent;
        bool messageInFlight = false;
        bool flushArmed = false;
        Instant sentAt = Instant::min(); // of the last message
        int unanswered = 0; // calls that expired since the link last returned results
    };
    using LinkPtr = std::shared_ptr<Link>;

    // Returns the link for a call to the worker; null if the call is to be made directly.
    Link *route(const WorkerId &worker, std::string &name);
    void enqueue(const std::string &name, Link &link, Call call, Duration timeout);
    void armFlush(const std::string &name, Link &link);
    void sendMessage(const std::string &name, const LinkPtr &link);
    // Moves queued calls into the message, up to its maximum size.
    void fillMessage(Link &link, work::WorkerCalls &message, std::set<int64_t> &ids);
    void onAcknowledged(const std::string &name, const LinkPtr &link, const std::set<int64_t> &ids,
                        Instant sentAt, const Result<work::WorkerCallsReceived> &answer);
    // Ends all calls of a link. Those in `notReceived` have certainly not reached it.
    void loseLink(const std::string &name, const std::string &reason,
                  const std::set<int64_t> &notReceived);
    void endNotReceived(const Call &call);
    void endUnknown(const Call &call);
    // Makes the calls to a worker directly for a time.
    void bypassLinks(const WorkerId &worker);
    void sweep();
    void armSweep();
    void expireCalls(const std::string &name, const LinkPtr &link, Instant now);
    // Removes links that are neither in use nor to be probed.
    void dropUnusedLinks();
    void probeCandidates(Instant now);
    void logSelection();
    bool isCurrent(const std::string &name, const LinkPtr &link) const;

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    WorkerGateway &m_direct;
    PeerGateway &m_peers;
    RemoteWorkerGatewayOptions m_options;
    LinkSelector m_selector;
    std::map<std::string, work::Member> m_members;
    size_t m_workers = 0;
    std::map<std::string, LinkPtr> m_links; // by member name
    std::map<WorkerId, Instant> m_bypassUntil;
    std::vector<std::string> m_loggedSelection;
    int64_t m_lastId = 0;
    Timer m_sweepTimer;
    bool m_sweepArmed = false;
    Instant m_sweepDue;
    // Recent lateness of this process's own timers. It is no fault of the links.
    Duration m_ownLag{0};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
