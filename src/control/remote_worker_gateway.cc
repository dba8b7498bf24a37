#include "control/remote_worker_gateway.h"

#include "control/worker_call_codec.h"
#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamompaddle {

namespace {

constexpr Duration BatchingDelay{2};
constexpr size_t MaxCallsPerMessage = 200;
// Payloads in one message; a job with a larger one is started directly.
constexpr size_t MaxPayloadBytes = 64UL * 1024;
constexpr Duration AcknowledgementTimeout{500};
constexpr Duration MaxCountedLag{400};
constexpr Duration ProbeInterval{200};
constexpr Duration SweepInterval{50};
// Added to the timeout of a call for the way to the link and back. Long, because a link that is
// lost shows it sooner by its acknowledgements, and because results may wait in the sockets of a
// process that is busy.
constexpr Duration HopMargin{600};
// A link that lets this many calls expire without returning any result is lost.
constexpr int MaxUnanswered = 3;
constexpr Duration BypassPeriod{2'000};
constexpr Duration RepeatedPollTimeout{300};

std::string joined(const std::vector<std::string> &names)
{
    std::string out;
    for (const std::string &name : names)
        out += (out.empty() ? "" : ",") + name;
    return out;
}

} // namespace

RemoteWorkerGateway::RemoteWorkerGateway(boost::asio::io_context &io, const Clock &clock,
                                         WorkerGateway &direct, PeerGateway &peers,
                                         RemoteWorkerGatewayOptions options)
    : m_io(io), m_clock(clock), m_direct(direct), m_peers(peers), m_options(std::move(options)),
      m_selector(m_options.self), m_sweepTimer(io)
{ }

RemoteWorkerGateway::~RemoteWorkerGateway()
{
    *m_alive = false;
}

void RemoteWorkerGateway::update(const std::map<std::string, work::Member> &members, size_t workers)
{
    const Instant now = m_clock.now();
    m_workers = workers;
    std::vector<std::string> moved;
    for (const auto &[name, link] : m_links) {
        const auto it = members.find(name);
        if (it == members.end() || it->second.address != link->address)
            moved.push_back(name);
    }
    m_members = members;
    m_selector.update(members, workers, now);
    for (const std::string &name : moved)
        loseLink(name, "its address has changed", {});
    probeCandidates(now);
    logSelection();
    armSweep();
}

RemoteWorkerGateway::Link *RemoteWorkerGateway::route(const WorkerId &worker, std::string &name)
{
    const auto bypass = m_bypassUntil.find(worker);
    if (bypass != m_bypassUntil.end() && m_clock.now() < bypass->second)
        return nullptr;
    const std::string *selected = m_selector.linkOf(worker);
    if (selected == nullptr)
        return nullptr;
    name = *selected;
    const auto it = m_links.find(name);
    return it == m_links.end() ? nullptr : it->second.get();
}

void RemoteWorkerGateway::poll(const WorkerEntry &worker, const CommandFence &fence,
                               int64_t acknowledged, Duration wait, Duration timeout,
                               Instant requestedAt, PollDone done)
{
    std::string name;
    Link *link = route(worker.id, name);
    if (link == nullptr)
        return m_direct.poll(worker, fence, acknowledged, wait, timeout, requestedAt,
                             std::move(done));
    Call call;
    call.message = encodePoll(worker, fence, acknowledged, wait);
    call.complete = [done, requestedAt](const Result<work::WorkerAnswer> &answer) {
        done(answer ? decodePollAnswer(*answer, requestedAt) : answer.error());
    };
    call.makeDirectly = [this, worker, fence, acknowledged, requestedAt, done](Duration) {
        m_direct.poll(worker, fence, acknowledged, Duration::zero(), RepeatedPollTimeout,
                      requestedAt, done);
    };
    enqueue(name, *link, std::move(call), timeout);
}

void RemoteWorkerGateway::start(const WorkerEntry &worker, const CommandFence &fence,
                                const StartOrder &order, Duration timeout, StartDone done)
{
    std::string name;
    Link *link = route(worker.id, name);
    if (link == nullptr || order.job->payload.size() > MaxPayloadBytes)
        return m_direct.start(worker, fence, order, timeout, std::move(done));
    Call call;
    call.message = encodeStart(worker, fence, order);
    call.job = order.job;
    call.complete = [done](const Result<work::WorkerAnswer> &answer) {
        done(answer ? decodeStartAnswer(*answer) : answer.error());
    };
    call.makeDirectly = [this, worker, fence, order, done](Duration remaining) {
        m_direct.start(worker, fence, order, remaining, done);
    };
    enqueue(name, *link, std::move(call), timeout);
}

void RemoteWorkerGateway::stop(const WorkerEntry &worker, const CommandFence &fence,
                               const StopOrder &order, Duration timeout, Done done)
{
    std::string name;
    Link *link = route(worker.id, name);
    if (link == nullptr)
        return m_direct.stop(worker, fence, order, timeout, std::move(done));
    Call call;
    call.message = encodeStop(worker, fence, order);
    call.complete = [done](const Result<work::WorkerAnswer> &answer) {
        done(answer ? decodeOrderAnswer(*answer) : answer.error());
    };
    call.makeDirectly = [this, worker, fence, order, done](Duration remaining) {
        m_direct.stop(worker, fence, order, remaining, done);
    };
    enqueue(name, *link, std::move(call), timeout);
}

void RemoteWorkerGateway::throttle(const WorkerEntry &worker, const CommandFence &fence,
                                   const ThrottleOrder &order, Duration timeout, Done done)
{
    std::string name;
    Link *link = route(worker.id, name);
    if (link == nullptr)
        return m_direct.throttle(worker, fence, order, timeout, std::move(done));
    Call call;
    call.message = encodeThrottle(worker, fence, order);
    call.complete = [done](const Result<work::WorkerAnswer> &answer) {
        done(answer ? decodeOrderAnswer(*answer) : answer.error());
    };
    call.makeDirectly = [this, worker, fence, order, done](Duration remaining) {
        m_direct.throttle(worker, fence, order, remaining, done);
    };
    enqueue(name, *link, std::move(call), timeout);
}

void RemoteWorkerGateway::enqueue(const std::string &name, Link &link, Call call, Duration timeout)
{
    call.message.id = ++m_lastId;
    call.timeout = timeout;
    call.expiresAt = m_clock.now() + timeout;
    link.queued.emplace(call.message.id, std::move(call));
    armFlush(name, link);
    armSweep();
}

void RemoteWorkerGateway::armFlush(const std::string &name, Link &link)
{
    if (link.messageInFlight || std::exchange(link.flushArmed, true))
        return;
    auto timer = std::make_shared<Timer>(m_io, BatchingDelay);
    timer->asyncWait([this, alive = m_alive, timer, name,
                      link = m_links.at(name)](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        link->flushArmed = false;
        if (isCurrent(name, link) && !link->messageInFlight)
            sendMessage(name, link);
    });
}

bool RemoteWorkerGateway::isCurrent(const std::string &name, const LinkPtr &link) const
{
    const auto it = m_links.find(name);
    return it != m_links.end() && it->second == link;
}

void RemoteWorkerGateway::sendMessage(const std::string &name, const LinkPtr &link)
{
    const Instant now = m_clock.now();
    work::WorkerCalls message;
    message.session = m_options.session;
    message.epoch = m_options.epoch;
    message.replyTo = m_options.replyTo;
    message.sentAtMs = toMs(now);
    std::set<int64_t> ids;
    fillMessage(*link, message, ids);
    link->messageInFlight = true;
    link->sentAt = now;
    m_peers.callWorkers(link->address, message, AcknowledgementTimeout + m_ownLag,
                        [this, alive = m_alive, name, link, ids = std::move(ids),
                         now](const Result<work::WorkerCallsReceived> &answer) {
                            if (*alive && isCurrent(name, link))
                                onAcknowledged(name, link, ids, now, answer);
                        });
}

void RemoteWorkerGateway::fillMessage(Link &link, work::WorkerCalls &message,
                                      std::set<int64_t> &ids)
{
    const Instant now = m_clock.now();
    std::vector<Call> expired;
    size_t payloadBytes = 0;
    while (!link.queued.empty() && message.calls.size() < MaxCallsPerMessage
           && payloadBytes < MaxPayloadBytes) {
        auto node = link.queued.extract(link.queued.begin());
        Call &call = node.mapped();
        // The process was suspended or busy: what was decided before may no longer hold.
        if (now >= call.expiresAt) {
            expired.push_back(std::move(call));
            continue;
        }
        call.message.timeoutMs = call.timeout.count();
        call.expiresAt = now + call.timeout;
        if (call.job && message.payloads.emplace(call.job->id, call.job->payload).second)
            payloadBytes += call.job->payload.size();
        message.calls.push_back(call.message);
        ids.insert(node.key());
        link.sent.insert(std::move(node));
    }
    for (const Call &call : expired)
        endNotReceived(call);
}

void RemoteWorkerGateway::onAcknowledged(const std::string &name, const LinkPtr &link,
                                         const std::set<int64_t> &ids, Instant sentAt,
                                         const Result<work::WorkerCallsReceived> &answer)
{
    link->messageInFlight = false;
    if (!answer) {
        const bool notReceived = answer.error().code == ErrorCode::Unavailable;
        return loseLink(name, answer.error().reason, notReceived ? ids : std::set<int64_t>());
    }
    if (!link->incarnation.empty() && link->incarnation != answer->incarnation)
        return loseLink(name, "it has restarted", {});
    link->incarnation = answer->incarnation;
    if (!answer->sendsFencingTokens)
        return loseLink(name, "its version sends no fencing tokens", {});
    const Instant now = m_clock.now();
    const Duration took = std::max(Duration::zero(), now - sentAt - m_ownLag);
    if (!m_selector.acknowledged(name, took, now)) {
        // What it has received already will be answered.
        logWarn("worker_link_slow", "link=" + name + " took_ms=" + std::to_string(took.count()));
        for (const auto &[id, call] : std::exchange(link->queued, {}))
            endNotReceived(call);
    }
    logSelection();
    if (isCurrent(name, link) && !link->queued.empty() && !link->messageInFlight)
        sendMessage(name, link);
}

void RemoteWorkerGateway::loseLink(const std::string &name, const std::string &reason,
                                   const std::set<int64_t> &notReceived)
{
    const auto it = m_links.find(name);
    if (it == m_links.end())
        return;
    const LinkPtr link = it->second;
    m_links.erase(it);
    m_selector.failed(name, m_clock.now());
    logWarn("worker_link_lost", "link=" + name + " reason=\"" + reason
                                    + "\" calls=" + std::to_string(link->sent.size())
                                    + " queued=" + std::to_string(link->queued.size()));
    logSelection();
    for (const auto &[id, call] : std::exchange(link->queued, {}))
        endNotReceived(call);
    for (const auto &[id, call] : std::exchange(link->sent, {}))
        notReceived.contains(id) ? endNotReceived(call) : endUnknown(call);
}

void RemoteWorkerGateway::endNotReceived(const Call &call)
{
    const Duration remaining = call.expiresAt - m_clock.now();
    if (remaining > Duration::zero())
        return call.makeDirectly(remaining);
    call.complete(Error{ErrorCode::Unavailable, "not sent to a peer in time"});
}

void RemoteWorkerGateway::endUnknown(const Call &call)
{
    bypassLinks(call.message.worker);
    if (call.message.kind == work::WorkerCallKind::Poll)
        return call.makeDirectly(RepeatedPollTimeout);
    call.complete(Error{ErrorCode::OutcomeUnknown, "no answer of the peer that makes the call"});
}

void RemoteWorkerGateway::bypassLinks(const WorkerId &worker)
{
    m_bypassUntil[worker] = m_clock.now() + BypassPeriod;
}

void RemoteWorkerGateway::answered(const work::WorkerAnswers &answers)
{
    if (answers.session != m_options.session)
        return;
    for (const work::WorkerAnswer &answer : answers.answers) {
        for (const auto &[name, link] : m_links) {
            auto node = link->sent.extract(answer.id);
            if (node.empty())
                continue;
            link->unanswered = 0;
            const auto code = errorFromName(answer.error);
            if (code == ErrorCode::Unavailable || code == ErrorCode::OutcomeUnknown)
                bypassLinks(node.mapped().message.worker);
            // May change the links.
            node.mapped().complete(answer);
            break;
        }
    }
}

void RemoteWorkerGateway::armSweep()
{
    const bool idle = m_links.empty() && m_selector.candidates().empty();
    if (idle || std::exchange(m_sweepArmed, true))
        return;
    m_sweepDue = m_clock.now() + SweepInterval;
    m_sweepTimer.expireAfter(SweepInterval);
    m_sweepTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        m_sweepArmed = false;
        sweep();
        armSweep();
    });
}

void RemoteWorkerGateway::sweep()
{
    const Instant now = m_clock.now();
    const Duration late = std::clamp(now - m_sweepDue, Duration::zero(), MaxCountedLag);
    m_ownLag = std::max(late, m_ownLag * 3 / 4);
    std::erase_if(m_bypassUntil, [now](const auto &it) { return it.second <= now; });
    const auto links = m_links;
    for (const auto &[name, link] : links)
        expireCalls(name, link, now);
    dropUnusedLinks();
    probeCandidates(now);
}

void RemoteWorkerGateway::expireCalls(const std::string &name, const LinkPtr &link, Instant now)
{
    const auto takeExpired = [now](Calls &calls, Duration margin) {
        std::vector<Call> out;
        for (auto it = calls.begin(); it != calls.end();) {
            if (now < it->second.expiresAt + margin) {
                ++it;
                continue;
            }
            out.push_back(std::move(it->second));
            it = calls.erase(it);
        }
        return out;
    };
    for (const Call &call : takeExpired(link->queued, m_ownLag))
        endNotReceived(call);
    const auto unanswered = takeExpired(link->sent, HopMargin + m_ownLag);
    link->unanswered += static_cast<int>(unanswered.size());
    if (link->unanswered >= MaxUnanswered && isCurrent(name, link))
        loseLink(name, "it returns no results", {});
    for (const Call &call : unanswered)
        endUnknown(call);
}

void RemoteWorkerGateway::dropUnusedLinks()
{
    const auto candidates = m_selector.candidates();
    std::erase_if(m_links, [&candidates](const auto &it) {
        const Link &link = *it.second;
        const bool idle = link.queued.empty() && link.sent.empty() && !link.messageInFlight;
        return idle
               && std::find(candidates.begin(), candidates.end(), it.first) == candidates.end();
    });
}

void RemoteWorkerGateway::probeCandidates(Instant now)
{
    for (const std::string &name : m_selector.candidates()) {
        LinkPtr &link = m_links[name];
        if (!link) {
            link = std::make_shared<Link>();
            link->address = m_members.at(name).address;
        }
        const bool due = link->sentAt == Instant::min() || now - link->sentAt >= ProbeInterval;
        if (due && !link->messageInFlight)
            sendMessage(name, link);
    }
}

void RemoteWorkerGateway::logSelection()
{
    if (m_selector.selected() == m_loggedSelection)
        return;
    m_loggedSelection = m_selector.selected();
    logInfo("worker_links_selected",
            "links=" + joined(m_loggedSelection) + " workers=" + std::to_string(m_workers));
}

} // namespace cardamompaddle
