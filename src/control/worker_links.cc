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
// Leases are extended only for this long after the last successful append. A scheduler that was
// replaced without noticing then stops extending leases; its successor relies on that.
constexpr Duration LeaseExtensionWindow{2'500};
// No lease is requested to end later than this after the last successful append, so that a
// successor knows when all of them have expired.
constexpr Duration MaxLeaseAfterAppend{6'000};
// A worker that answers does so within this time. It is not lost before, however long ago the
// former scheduler was active: finished runs that it has not reported yet would start again.
constexpr Duration FirstPollTime{600};

// Returns the time after which all leases of a scheduler that stored its last record at `heldAt`
// have expired.
Instant latestLeaseExpiry(Instant heldAt, Duration maxLease)
{
    const Duration latest = LeaseExtensionWindow + std::min(RequestedLease, maxLease);
    return heldAt + maxLeaseDuration(std::min(latest, MaxLeaseAfterAppend));
}

std::string describeLease(const WorkerLease &lease, Instant now)
{
    return "bound=" + std::string(leaseBoundName(lease.bound()))
           + " lease_ms=" + std::to_string((lease.expiry() - now).count());
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
    const bool added = !contains(entry.id);
    if (added)
        addLink(entry);
    Link &link = *find(entry.id);
    if (listed)
        link.entry = entry;
    link.listed = link.listed || listed;
    updateLateStarts(link);
    const bool restarted = listed && link.lease.onRegistryEntry(entry.startedAtMs);
    if (added)
        poll(entry.id);
    else if (restarted)
        probe(entry.id, "registry");
}

void WorkerLinks::addLink(const WorkerEntry &entry)
{
    const Instant now = m_clock.now();
    FormerLeases former = m_callbacks.formerLeases(entry.id);
    former.suspended = former.expiry != Instant::min();
    // Unless the log tells that it has stopped, a former scheduler may go on extending the lease
    // without the log for a while.
    if (former.expiry == Instant::min())
        former.expiry = latestLeaseExpiry(m_options.formerTenureHeldAt, m_options.maxLease);
    former.lastCallAt = m_options.formerTenureHeldAt + LeaseExtensionWindow;
    const auto closed = m_closedLeases.extract(entry.id);
    Link link(closed.empty()
                  ? WorkerLease(m_options.epoch, m_options.maxLease, former, m_closedProbes)
                  : closed.mapped());
    link.lease.beginProbe();
    link.lease.keepUntil(now + FirstPollTime);
    link.entry = entry;
    link.unreachableSince = now;
    link.timer = std::make_shared<Timer>(m_io);
    m_links.emplace(entry.id, std::move(link));
}

int64_t WorkerLinks::incarnationStart(const WorkerId &id) const
{
    const auto it = m_links.find(id);
    if (it == m_links.end())
        return 0;
    const Link &link = it->second;
    return link.lease.isProbed() ? link.lease.startedAtMs() : link.entry.startedAtMs;
}

void WorkerLinks::markUnlisted(const WorkerId &id)
{
    Link *link = find(id);
    if (link == nullptr)
        return;
    link->listed = false;
    updateLateStarts(*link);
}

void WorkerLinks::updateLateStarts(Link &link)
{
    const bool mayStartLate = link.listed && !link.lost && link.lease.hasUnansweredRuns();
    if (!mayStartLate && link.lateStarts.empty())
        return;
    std::set<TaskRef> present;
    if (mayStartLate) {
        for (const RunRef &run : link.lease.unansweredRuns())
            present.insert(run.task);
    }
    for (const TaskRef &task : link.lateStarts) {
        if (present.contains(task))
            continue;
        const auto it = m_lateStarts.find(task);
        it->second.erase(link.entry.id);
        if (it->second.empty())
            m_lateStarts.erase(it);
    }
    for (const TaskRef &task : present)
        m_lateStarts[task].insert(link.entry.id);
    link.lateStarts = std::move(present);
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
    return link.lease.isProbed() && tenureIsCurrent()
           && m_callbacks.leasesPermitted(link.entry.id, link.lease.startedAtMs());
}

bool WorkerLinks::tenureIsCurrent() const
{
    return m_clock.now() - m_tenureHeldAt <= LeaseExtensionWindow;
}

CommandFence WorkerLinks::makeFence(Link &link, bool extendLease)
{
    CommandFence out;
    out.token = link.lease.token();
    out.worker = link.entry.id;
    if (!extendLease || !mayExtendLease(link))
        return out;
    const Instant now = m_clock.now();
    const Duration lease =
        std::min({RequestedLease, m_options.maxLease, m_tenureHeldAt + MaxLeaseAfterAppend - now});
    out.leaseEndMs = link.lease.request(lease, now);
    link.lost = link.confirmedLost = false;
    return out;
}

void WorkerLinks::schedulePoll(const WorkerId &id, Duration delay)
{
    Link *link = find(id);
    link->timer->expireAfter(delay);
    link->timer->asyncWait([this, alive = m_alive, id](const boost::system::error_code &ec) {
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
    // A probe fences all calls before and lists the runs. While reported runs are not yet stored,
    // the worker answers at once anyway.
    const WorkerLease &lease = link->lease;
    if (!lease.isProbed() || link->hasUnstoredRuns)
        wait = Duration::zero();
    else if (!m_callbacks.leasesPermitted(id, lease.startedAtMs()))
        wait = std::min(wait, SuspendedLeasePollWait);
    link->pollInFlight = true;
    // A poll may extend the lease even if its answer is lost. An unreachable worker's lease is
    // therefore not extended, so that it expires.
    const CommandFence fence = makeFence(*link, link->reachable);
    const int64_t acknowledged =
        lease.isProbed() ? m_callbacks.storedPosition(id, lease.startedAtMs()) : 0;
    m_gateway.poll(link->entry, fence, acknowledged, wait,
                   wait + (lossy ? LossyPollTimeoutMargin : PollTimeoutMargin), now,
                   [this, alive = m_alive, id,
                    number = link->lastPoll = ++m_lastPoll](const Result<PollResult> &answer) {
                       const Link *current = *alive ? find(id) : nullptr;
                       if (current != nullptr && current->lastPoll == number)
                           onPollAnswer(id, answer);
                   });
}

void WorkerLinks::probe(const WorkerId &id, std::string_view why)
{
    Link *link = find(id);
    logInfo("worker_probed", "worker=" + id + " reason=" + std::string(why)
                                 + " token=" + std::to_string(link->lease.token())
                                 + " started_at_ms=" + std::to_string(link->lease.startedAtMs()));
    link->pollInFlight = false;
    // Nothing is started there before the answer.
    setReachable(*link, false, "it is probed");
    poll(id);
}

void WorkerLinks::onPollFailed(const WorkerId &id, const Error &error)
{
    Link *link = find(id);
    const bool wasReachable = link->reachable;
    setReachable(*link, false, error.reason);
    handleError(id, link->lease.token(), error);
    link = *m_alive ? find(id) : nullptr;
    if (link == nullptr)
        return;
    // The worker may have started again meanwhile.
    link->lease.beginProbe();
    schedulePoll(id, wasReachable ? Duration::zero() : PollRetryDelay);
}

void WorkerLinks::onPollAnswer(const WorkerId &id, const Result<PollResult> &answer)
{
    Link *link = find(id);
    link->pollInFlight = false;
    if (!answer)
        return onPollFailed(id, answer.error());
    const Instant now = m_clock.now();
    const int64_t expectedMs = link->lease.expectedClockMs(now);
    const int64_t formerStart = link->lease.startedAtMs();
    const WorkerLease::ReportKind kind = link->lease.onReport(
        answer->report.startedAtMs, answer->workerTimeMs, answer->report.requestedAt, now);
    if (kind == WorkerLease::ReportKind::NeedsProbe)
        return probe(id, "poll");
    if (kind == WorkerLease::ReportKind::ProbedNew)
        logInfo("worker_incarnation",
                "worker=" + id + " started_at_ms=" + std::to_string(answer->report.startedAtMs)
                    + " former=" + std::to_string(formerStart)
                    + " clock_ms=" + std::to_string(answer->workerTimeMs) + " expected_clock_ms="
                    + std::to_string(expectedMs) + " token=" + std::to_string(link->lease.token())
                    + " " + describeLease(link->lease, now));
    const bool isProbe = kind != WorkerLease::ReportKind::Current;
    link->reconciled = link->reconciled || !answer->report.moreEnded;
    link->lost = link->confirmedLost = link->replaced = false;
    updateLateStarts(*link);
    const bool hasFinishedRuns = !answer->report.ended.empty();
    m_callbacks.report(id, answer->report);
    if (!*m_alive)
        return;
    link = find(id);
    if (link == nullptr)
        return;
    setReachable(*link, true, "answered");
    // A probe does not extend the lease.
    if (isProbe)
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

bool WorkerLinks::isFencedByProbe(const WorkerId &id, int64_t token, const Error &error) const
{
    const auto it = m_links.find(id);
    return error.code == ErrorCode::PermissionDenied && it != m_links.end()
           && token < it->second.lease.token();
}

void WorkerLinks::handleError(const WorkerId &id, int64_t token, const Error &error)
{
    if (error.code == ErrorCode::OutcomeUnknown)
        m_lossyUntil = m_clock.now() + LossyPeriod;
    if (isFencedByProbe(id, token, error))
        return;
    if (error.code == ErrorCode::PermissionDenied)
        return m_callbacks.fenced();
    // Another worker has the address now, so this one is gone with all its runs.
    Link *link = error.code == ErrorCode::Conflict ? find(id) : nullptr;
    if (link == nullptr || link->replaced)
        return;
    link->replaced = link->lost = true;
    updateLateStarts(*link);
    logInfo("worker_lost", "worker=" + id + " reason=\"another worker has its address\"");
    m_callbacks.replaced(id);
}

void WorkerLinks::expireRuns(const WorkerId &id, Instant now)
{
    Link &link = m_links.at(id);
    const WorkerLease &lease = link.lease;
    // A worker that the registry does not list any more counts as gone, so that its tasks do not
    // wait for an incarnation that nobody has seen.
    const bool mayHaveOthers = link.listed && now <= lease.unansweredExpiry();
    if (now <= lease.expiry())
        return;
    // Of an earlier scheduler's starts it is not known which had no answer.
    const std::set<RunRef> unanswered = lease.unansweredRuns();
    if (mayHaveOthers && (unanswered.empty() || link.confirmedLost))
        return;
    link.confirmedLost = true;
    link.lost = !mayHaveOthers;
    updateLateStarts(link);
    const size_t left = mayHaveOthers ? unanswered.size() : 0;
    logInfo("worker_lost", "worker=" + id + " reason=\"its leases have lapsed\" unanswered_starts="
                               + std::to_string(left)
                               + " listed=" + (link.listed ? "true" : "false")
                               + " started_at_ms=" + std::to_string(lease.startedAtMs()) + " "
                               + describeLease(lease, now));
    m_callbacks.lost(id, mayHaveOthers ? unanswered : std::set<RunRef>());
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
    const CommandFence fence = makeFence(link, true);
    const Instant now = m_clock.now();
    link.lease.startSent({order.task, order.run}, now);
    m_gateway.start(
        link.entry, fence, order, StartTimeouts[priorAttempts],
        [this, alive = m_alive, attempt = StartAttempt{order, priorAttempts, fence.token, now}](
            const Result<StartAnswer> &answer) {
            if (*alive)
                onStartAnswer(attempt, answer);
        });
}

StartOutcome WorkerLinks::outcomeOf(const StartAttempt &attempt, const Result<StartAnswer> &answer)
{
    const WorkerId &id = attempt.order.worker;
    Link *link = find(id);
    const bool unanswered = !answer && answer.error().code == ErrorCode::OutcomeUnknown;
    // An unanswered attempt may still be carried out, even if a later one was refused.
    if (unanswered || link == nullptr) {
        if (link != nullptr)
            updateLateStarts(*link);
        return StartOutcome::Unknown;
    }
    const bool isFirst = attempt.priorAttempts == 0;
    StartOutcome out = answer ? answer->outcome : StartOutcome::WorkerUnavailable;
    if (!answer && isFencedByProbe(id, attempt.token, answer.error()))
        out = StartOutcome::Withdrawn;
    const auto clockMs = answer ? answer->workerTimeMs : std::nullopt;
    const bool isCurrent = attempt.token == link->lease.token();
    const bool fits = !clockMs || link->lease.clockFits(*clockMs, attempt.sentAt);
    const bool mayRunElsewhere = out == StartOutcome::Started && !(isCurrent && fits);
    if (isFirst)
        link->lease.startAnswered({attempt.order.task, attempt.order.run}, !mayRunElsewhere,
                                  m_clock.now());
    updateLateStarts(*link);
    if (mayRunElsewhere && isCurrent) {
        logWarn("start_clock_differs",
                "task=" + attempt.order.task.toString()
                    + " run=" + std::to_string(attempt.order.run) + " worker=" + id
                    + " clock_ms=" + std::to_string(*clockMs) + " expected_clock_ms="
                    + std::to_string(link->lease.expectedClockMs(attempt.sentAt)));
        link->lease.beginProbe();
        probe(id, "clock");
        return StartOutcome::Unknown;
    }
    return isFirst || out == StartOutcome::Started ? out : StartOutcome::Unknown;
}

void WorkerLinks::onStartAnswer(const StartAttempt &attempt, const Result<StartAnswer> &answer)
{
    const auto &[order, priorAttempts, token, sentAt] = attempt;
    const bool unanswered = !answer && answer.error().code == ErrorCode::OutcomeUnknown;
    if (unanswered)
        m_lossyUntil = m_clock.now() + LossyPeriod;
    if (!answer)
        logWarn("start_failed",
                "task=" + order.task.toString() + " run=" + std::to_string(order.run)
                    + " worker=" + order.worker + " try=" + std::to_string(priorAttempts + 1)
                    + " reason=\"" + answer.error().reason + "\"");
    if (unanswered && priorAttempts + 1 < StartTimeouts.size() && contains(order.worker))
        return sendStart(order, priorAttempts + 1);
    const StartOutcome outcome = outcomeOf(attempt, answer);
    onCallDone(order.worker);
    m_callbacks.startAnswered(order, outcome);
    if (!answer && *m_alive)
        handleError(order.worker, token, answer.error());
}

bool WorkerLinks::finishOrder(std::string_view failureEvent, const WorkerId &id,
                              const TaskRef &task, int64_t token, const Result<void> &answer)
{
    onCallDone(id);
    if (answer)
        return true;
    logWarn(failureEvent, "task=" + task.toString() + " worker=" + id + " reason=\""
                              + answer.error().reason + "\"");
    handleError(id, token, answer.error());
    return false;
}

void WorkerLinks::stop(const StopOrder &order)
{
    if (!contains(order.worker))
        return;
    enqueue(order.worker, [this, order] {
        Link &link = *find(order.worker);
        // The dispatcher repeats an unconfirmed stop.
        if (!link.lease.isProbed())
            return onCallDone(order.worker);
        const CommandFence fence = makeFence(link, false);
        m_gateway.stop(
            link.entry, fence, order, OrderTimeout,
            [this, alive = m_alive, order, token = fence.token](const Result<void> &answer) {
                if (*alive && finishOrder("stop_failed", order.worker, order.task, token, answer))
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
        if (!link.lease.isProbed())
            return onCallDone(order.worker);
        const CommandFence fence = makeFence(link, false);
        m_gateway.throttle(
            link.entry, fence, order, OrderTimeout,
            [this, alive = m_alive, order, token = fence.token](const Result<void> &answer) {
                if (*alive)
                    finishOrder("pace_failed", order.worker, order.task, token, answer);
            });
    });
}

void WorkerLinks::tick()
{
    const Instant now = m_clock.now();
    std::vector<WorkerId> silent;
    std::vector<WorkerId> closable;
    for (auto &[id, link] : m_links) {
        if (!link.reachable && !link.lost)
            silent.push_back(id);
        const bool empty = !m_callbacks.busy(id);
        // An unlisted worker without runs has no lease to wait for.
        if (!link.listed && ((link.reconciled && empty) || link.lost))
            closable.push_back(id);
    }
    for (const WorkerId &id : silent)
        expireRuns(id, now);
    for (const WorkerId &id : closable) {
        // Kept while calls are in flight: queued calls still need the link.
        const Link &link = m_links.at(id);
        if (link.pollInFlight || link.inFlight > 0)
            continue;
        // The worker may be listed again, having seen the tokens of these probes.
        m_closedProbes = std::max(m_closedProbes, link.lease.probes());
        m_closedLeases.insert_or_assign(id, link.lease);
        m_links.erase(id);
    }
    std::erase_if(m_closedLeases, [now](const auto &it) { return it.second.settledAt() < now; });
}

} // namespace cardamompaddle
