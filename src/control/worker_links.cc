#include "control/worker_links.h"

#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

// How long a worker holds a poll while no run finishes.
constexpr Duration BusyPollWait{900};
constexpr Duration IdlePollWait{1'900};
// Added to the wait of a poll.
constexpr Duration PollTimeoutMargin{400};
constexpr Duration PollRetryDelay{150};
// After a call that got no answer, further calls may lose theirs. For LossyPeriod, polls use a
// short wait and timeout, so that one lost answer does not delay the report of a finished run for
// long.
constexpr Duration LossyPeriod{8'000};
constexpr Duration LossyPollWait{250};
constexpr Duration LossyPollTimeoutMargin{200};
// While the lease may not be extended, so that it is extended soon after the suspension has ended.
constexpr Duration SuspendedLeasePollWait{250};
// Delay between storing finished runs and the next poll, so that one poll reports several of them.
constexpr Duration PollBatchingDelay{30};
// While finished runs cannot be stored, polls serve only to extend the lease.
constexpr Duration UnstoredPollInterval{700};
constexpr Duration OrderTimeout{400};
// Timeouts of the attempts of one start order. Starting the same run is idempotent on a worker, so
// an unanswered start is resent at once; its outcome is unknown after the last attempt.
constexpr std::array<Duration, 3> StartTimeouts = {Duration(200), Duration(300), Duration(400)};
constexpr int MaxCallsPerWorker = 6;
// Requested lease, bounded by what the worker grants. Long enough to outlast a change of
// schedulers, short enough to restart the tasks of an unresponsive worker soon.
constexpr Duration RequestedLease{4'500};
// A worker's clock may run slow by this much.
constexpr int MaxClockSlownessPercent = 3;
// Leases are extended only for this long after the last successful append. A scheduler that was
// replaced without noticing then stops extending leases; its successor relies on that.
constexpr Duration LeaseExtensionWindow{2'500};
// No lease is requested to end later than this after the last successful append, so that a
// successor knows when all of them have expired.
constexpr Duration MaxLeaseAfterAppend{6'000};
constexpr Duration LeaseExpiryMargin{200};
// A worker that answers does so within this time. It is not lost before, however long ago the
// former scheduler was active: finished runs that it has not reported yet would start again.
constexpr Duration FirstPollTime{600};

// Returns the time after which a lease has expired even on a slow worker's clock.
Duration maxLeaseDuration(Duration lease)
{
    return lease + lease * MaxClockSlownessPercent / 100 + LeaseExpiryMargin;
}

// Returns the time after which all leases of a scheduler that stored its last record at `heldAt`
// have expired.
Instant latestLeaseExpiry(Instant heldAt, Duration maxLease)
{
    const Duration latest = LeaseExtensionWindow + std::min(RequestedLease, maxLease);
    return heldAt + maxLeaseDuration(std::min(latest, MaxLeaseAfterAppend));
}

} // namespace

WorkerLinks::WorkerLinks(boost::asio::io_context &io, const Clock &clock, WorkerGateway &gateway,
                         WorkerLinksOptions options, Callbacks callbacks)
    : m_io(io), m_clock(clock), m_gateway(gateway), m_options(options),
      m_callbacks(std::move(callbacks)), m_tenureHeldAt(options.tenureHeldAt)
{ }

WorkerLinks::~WorkerLinks()
{
    *m_alive = false;
}

WorkerLinks::Link *WorkerLinks::find(const WorkerId &id)
{
    const auto it = m_links.find(id);
    return it == m_links.end() ? nullptr : &it->second;
}

void WorkerLinks::setEntry(const WorkerEntry &entry, bool listed)
{
    const auto [it, added] = m_links.try_emplace(entry.id);
    Link &link = it->second;
    if (listed || added)
        link.entry = entry;
    link.listed = link.listed || listed;
    if (!added)
        return;
    link.timer = std::make_shared<boost::asio::steady_timer>(m_io);
    link.unreachableSince = m_clock.now();
    // Unless the log tells that it has stopped, a former scheduler may go on extending the lease
    // without the log for a while.
    const Instant latestExpiry =
        latestLeaseExpiry(m_options.formerTenureHeldAt, m_options.maxLease);
    link.leaseExpiry = std::max(m_callbacks.suspendedLeaseExpiry(entry.id).value_or(latestExpiry),
                                link.unreachableSince + FirstPollTime);
    poll(entry.id);
}

void WorkerLinks::markUnlisted(const WorkerId &id)
{
    if (Link *link = find(id))
        link->listed = false;
}

bool WorkerLinks::reconciled(const WorkerId &id) const
{
    const auto it = m_links.find(id);
    return it == m_links.end() || it->second.reconciled || it->second.lost;
}

std::vector<WorkerId> WorkerLinks::unreachableSince(Instant time) const
{
    std::vector<WorkerId> out;
    for (const auto &[id, link] : m_links) {
        if (!link.reachable && link.unreachableSince <= time)
            out.push_back(id);
    }
    return out;
}

bool WorkerLinks::mayExtendLease(const Link &link) const
{
    return link.workerTimeReadAt != Instant::min() && tenureIsCurrent()
           && !m_callbacks.suspendedLeaseExpiry(link.entry.id);
}

bool WorkerLinks::tenureIsCurrent() const
{
    return m_clock.now() - m_tenureHeldAt <= LeaseExtensionWindow;
}

CommandFence WorkerLinks::makeFence(Link &link, bool extendLease)
{
    CommandFence out;
    out.token = m_options.epoch;
    out.worker = link.entry.id;
    if (!extendLease || !mayExtendLease(link))
        return out;
    const Instant now = m_clock.now();
    const Duration lease =
        std::min({RequestedLease, m_options.maxLease, m_tenureHeldAt + MaxLeaseAfterAppend - now});
    out.leaseEndMs = link.workerTimeMs + (now - link.workerTimeReadAt).count() + lease.count();
    link.leaseExpiry = std::max(link.leaseExpiry, now + maxLeaseDuration(lease));
    link.lost = false;
    return out;
}

void WorkerLinks::schedulePoll(const WorkerId &id, Duration delay)
{
    Link *link = find(id);
    link->timer->expires_after(delay);
    link->timer->async_wait([this, alive = m_alive, id](const boost::system::error_code &ec) {
        if (!ec && *alive)
            poll(id);
    });
}

void WorkerLinks::poll(const WorkerId &id)
{
    Link *link = find(id);
    if (link == nullptr || link->pollInFlight)
        return;
    const Instant now = m_clock.now();
    const bool busy = m_callbacks.busy(id);
    Duration wait = busy ? BusyPollWait : IdlePollWait;
    const bool lossy = now < m_lossyUntil;
    if (lossy)
        wait = std::min(wait, LossyPollWait);
    // The first poll is sent to learn which runs are active. While reported runs are not yet
    // stored, the worker answers at once anyway.
    if (!link->reported || !link->reachable || link->hasUnstoredRuns)
        wait = Duration::zero();
    else if (m_callbacks.suspendedLeaseExpiry(id))
        wait = std::min(wait, SuspendedLeasePollWait);
    link->pollInFlight = true;
    // A poll may extend the lease even if its answer is lost. An unreachable worker's lease is
    // therefore not extended, so that it expires.
    link->acknowledged = m_callbacks.storedPosition(id);
    m_gateway.poll(link->entry, makeFence(*link, link->reachable), link->acknowledged, wait,
                   wait + (lossy ? LossyPollTimeoutMargin : PollTimeoutMargin), now,
                   [this, alive = m_alive, id](Result<PollResult> answer) {
                       if (*alive)
                           onPollAnswer(id, std::move(answer));
                   });
}

void WorkerLinks::onPollAnswer(const WorkerId &id, Result<PollResult> answer)
{
    Link *link = find(id);
    if (link == nullptr)
        return;
    link->pollInFlight = false;
    if (!answer) {
        const bool wasReachable = link->reachable;
        setReachable(*link, false, answer.error().reason);
        handleError(id, answer.error());
        if (*m_alive && find(id) != nullptr)
            schedulePoll(id, wasReachable ? Duration::zero() : PollRetryDelay);
        return;
    }
    const Instant now = m_clock.now();
    if (std::exchange(link->startedAtMs, answer->report.startedAtMs) != answer->report.startedAtMs)
        logInfo("worker_incarnation",
                "worker=" + id + " started_at_ms=" + std::to_string(answer->report.startedAtMs)
                    + " clock_ms=" + std::to_string(answer->workerTimeMs)
                    + " running=" + std::to_string(answer->report.running.size())
                    + " acknowledged=" + std::to_string(link->acknowledged) + " first_end="
                    + std::to_string(
                        answer->report.ended.empty() ? 0 : answer->report.ended.front().position));
    link->workerTimeMs = answer->workerTimeMs;
    link->workerTimeReadAt = now;
    const bool firstReport = !link->reported;
    link->reported = true;
    link->reconciled = link->reconciled || !answer->report.moreEnded;
    link->lost = link->replaced = false;
    const bool hasFinishedRuns = !answer->report.ended.empty();
    m_callbacks.report(id, answer->report);
    if (!*m_alive)
        return;
    link = find(id);
    if (link == nullptr)
        return;
    setReachable(*link, true, "answered");
    // The first poll could not extend the lease, because the worker's clock was unknown.
    if (firstReport)
        return poll(id);
    link->hasUnstoredRuns = hasFinishedRuns;
    schedulePoll(id, hasFinishedRuns ? UnstoredPollInterval : Duration::zero());
}

void WorkerLinks::onAppendStored(Instant sentAt)
{
    m_tenureHeldAt = std::max(m_tenureHeldAt, sentAt);
    for (auto &[id, link] : m_links) {
        if (!link.hasUnstoredRuns || link.pollInFlight)
            continue;
        link.hasUnstoredRuns = false;
        schedulePoll(id, PollBatchingDelay);
    }
}

void WorkerLinks::setReachable(Link &link, bool reachable, const std::string &reason)
{
    if (link.reachable == reachable)
        return;
    link.reachable = reachable;
    link.unreachableSince = m_clock.now();
    logInfo(reachable ? "worker_reachable" : "worker_unreachable",
            "worker=" + link.entry.id + " reason=\"" + reason + "\"");
    m_callbacks.reachable(link.entry.id, reachable);
}

void WorkerLinks::handleError(const WorkerId &id, const Error &error)
{
    if (error.code == ErrorCode::OutcomeUnknown)
        m_lossyUntil = m_clock.now() + LossyPeriod;
    if (error.code == ErrorCode::PermissionDenied)
        return m_callbacks.fenced();
    // Another worker has the address now, so this one is gone with all its runs.
    Link *link = error.code == ErrorCode::Conflict ? find(id) : nullptr;
    if (link != nullptr && !link->replaced) {
        link->replaced = true;
        markLost(*link, "another worker has its address", m_callbacks.replaced);
    }
}

void WorkerLinks::markLost(Link &link, const std::string &reason,
                           const std::function<void(const WorkerId &)> &callback)
{
    link.lost = true;
    logInfo("worker_lost", "worker=" + link.entry.id + " reason=\"" + reason + "\"");
    callback(link.entry.id);
}

void WorkerLinks::enqueue(const WorkerId &id, std::function<void()> call)
{
    Link *link = find(id);
    link->queue.push_back(std::move(call));
    runQueue(*link);
}

void WorkerLinks::runQueue(Link &link)
{
    // A call that ends at once comes back here; the outer loop goes on with the next one.
    if (std::exchange(link.queueRunning, true))
        return;
    while (!link.queue.empty() && link.inFlight < MaxCallsPerWorker) {
        ++link.inFlight;
        const auto next = std::move(link.queue.front());
        link.queue.pop_front();
        next();
    }
    link.queueRunning = false;
}

void WorkerLinks::onCallDone(const WorkerId &id)
{
    Link *link = find(id);
    if (link == nullptr)
        return;
    --link->inFlight;
    runQueue(*link);
}

void WorkerLinks::start(const StartOrder &order)
{
    if (!contains(order.worker))
        return m_callbacks.startAnswered(order, StartOutcome::WorkerUnavailable);
    enqueue(order.worker, [this, order] { sendStart(order, 0); });
}

void WorkerLinks::sendStart(const StartOrder &order, size_t priorAttempts)
{
    Link &link = *find(order.worker);
    // A run cannot begin without a lease.
    if (!mayExtendLease(link) || !m_callbacks.startWanted(order)) {
        onCallDone(order.worker);
        // An unanswered attempt may still be carried out.
        const StartOutcome outcome =
            priorAttempts == 0 ? StartOutcome::Withdrawn : StartOutcome::Unknown;
        return m_callbacks.startAnswered(order, outcome);
    }
    m_gateway.start(
        link.entry, makeFence(link, true), order, StartTimeouts[priorAttempts],
        [this, alive = m_alive, order, priorAttempts](const Result<StartAnswer> &answer) {
            if (*alive)
                onStartAnswer(order, priorAttempts, answer);
        });
}

// Tells of a start that was answered by another clock than its lease was requested by.
void WorkerLinks::logClock(const StartOrder &order, const Result<StartAnswer> &answer)
{
    constexpr int64_t ToleranceMs = 500;
    const Link *link = find(order.worker);
    if (!answer || !answer->workerTimeMs || link == nullptr)
        return;
    const int64_t expectedMs =
        link->workerTimeMs + (m_clock.now() - link->workerTimeReadAt).count();
    if (*answer->workerTimeMs + ToleranceMs >= expectedMs)
        return;
    logWarn("start_clock_differs",
            "task=" + order.task.toString() + " run=" + std::to_string(order.run)
                + " worker=" + order.worker + " clock_ms=" + std::to_string(*answer->workerTimeMs)
                + " expected_clock_ms=" + std::to_string(expectedMs));
}

void WorkerLinks::onStartAnswer(const StartOrder &order, size_t priorAttempts,
                                const Result<StartAnswer> &answer)
{
    const bool unanswered = !answer && answer.error().code == ErrorCode::OutcomeUnknown;
    if (unanswered)
        m_lossyUntil = m_clock.now() + LossyPeriod;
    logClock(order, answer);
    if (!answer)
        logWarn("start_failed",
                "task=" + order.task.toString() + " run=" + std::to_string(order.run)
                    + " worker=" + order.worker + " try=" + std::to_string(priorAttempts + 1)
                    + " reason=\"" + answer.error().reason + "\"");
    if (unanswered && priorAttempts + 1 < StartTimeouts.size() && contains(order.worker))
        return sendStart(order, priorAttempts + 1);
    onCallDone(order.worker);
    StartOutcome outcome = StartOutcome::WorkerUnavailable;
    if (answer)
        outcome = answer->outcome;
    // An unanswered attempt may still be carried out, even if a later one was refused.
    if (unanswered || (priorAttempts > 0 && outcome != StartOutcome::Started))
        outcome = StartOutcome::Unknown;
    m_callbacks.startAnswered(order, outcome);
    if (!answer && *m_alive)
        handleError(order.worker, answer.error());
}

bool WorkerLinks::finishOrder(std::string_view failureEvent, const WorkerId &id,
                              const TaskRef &task, const Result<void> &answer)
{
    onCallDone(id);
    if (answer)
        return true;
    logWarn(failureEvent, "task=" + task.toString() + " worker=" + id + " reason=\""
                              + answer.error().reason + "\"");
    handleError(id, answer.error());
    return false;
}

void WorkerLinks::stop(const StopOrder &order)
{
    if (!contains(order.worker))
        return;
    enqueue(order.worker, [this, order] {
        Link &link = *find(order.worker);
        m_gateway.stop(link.entry, makeFence(link, false), order, OrderTimeout,
                       [this, alive = m_alive, order](const Result<void> &answer) {
                           // The dispatcher repeats an unconfirmed stop.
                           if (*alive
                               && finishOrder("stop_failed", order.worker, order.task, answer))
                               m_callbacks.stopConfirmed(order);
                       });
    });
}

void WorkerLinks::throttle(const ThrottleOrder &order)
{
    if (!contains(order.worker))
        return;
    enqueue(order.worker, [this, order] {
        Link &link = *find(order.worker);
        m_gateway.throttle(link.entry, makeFence(link, false), order, OrderTimeout,
                           [this, alive = m_alive, order](const Result<void> &answer) {
                               if (*alive)
                                   finishOrder("pace_failed", order.worker, order.task, answer);
                           });
    });
}

void WorkerLinks::tick()
{
    const Instant now = m_clock.now();
    std::vector<WorkerId> expired;
    std::vector<WorkerId> closable;
    for (auto &[id, link] : m_links) {
        if (!link.reachable && !link.lost && now > link.leaseExpiry)
            expired.push_back(id);
        const bool empty = !m_callbacks.busy(id);
        // An unlisted worker without runs has no lease to wait for.
        if (!link.listed && ((link.reconciled && empty) || link.lost))
            closable.push_back(id);
    }
    for (const WorkerId &id : expired)
        markLost(m_links.at(id), "its leases have lapsed", m_callbacks.lost);
    for (const WorkerId &id : closable) {
        // Kept while calls are in flight: queued calls still need the link.
        if (Link &link = m_links.at(id); !link.pollInFlight && link.inFlight == 0)
            m_links.erase(id);
    }
}

} // namespace cardamompaddle
