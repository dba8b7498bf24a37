#include "control/worker_links.h"

#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

// How long a look waits for an end.
constexpr Duration BusyWait{900};
constexpr Duration IdleWait{1'900};
// Beside the time that the worker holds a look.
constexpr Duration LookTimeout{400};
constexpr Duration LookRetry{150};
// After a call without an answer to a worker that had answered before, more may be lost. For a time
// looks are held and waited for shortly, so that the loss of one hides no end for long.
constexpr Duration LossyTime{8'000};
constexpr Duration LossyWait{250};
constexpr Duration LossyTimeout{200};
// Between an answer with ends and the next look, so that several ends share one.
constexpr Duration LookGap{30};
// While ends cannot be stored, looks only extend the lease.
constexpr Duration UnstoredLookInterval{700};
constexpr Duration OrderTimeout{400};
// Tries of one start order. A worker carries the same run out once, so that a start without an
// answer is sent again at once; its outcome is unknown after the last try.
constexpr std::array<Duration, 3> StartTimeouts = {Duration(200), Duration(300), Duration(400)};
constexpr int MaxCallsPerWorker = 6;
// Leases are asked for this long, or as long as the worker grants. Long enough for a change of
// schedulers, short enough to restart the tasks of a worker that went silent.
constexpr Duration WantedLease{4'500};
// A worker's clock may be slow by this much.
constexpr int SlowClockPercent = 3;
// Leases are extended for so long after the log last took something. A scheduler that was replaced
// without learning of it extends none after that, and its successor counts on it.
constexpr Duration ExtendsAfterStored{2'500};
// Beside it: for calls under way and clocks.
constexpr Duration FormerSchedulerSlack = ExtendsAfterStored + Duration(400);
constexpr Duration LapseMargin{200};

Duration lapseTime(Duration lease)
{
    return lease + lease * SlowClockPercent / 100 + LapseMargin;
}

} // namespace

WorkerLinks::WorkerLinks(boost::asio::io_context &io, const Clock &clock, WorkerGateway &gateway,
                         WorkerLinksOptions options, Callbacks callbacks)
    : m_io(io), m_clock(clock), m_gateway(gateway), m_options(options),
      m_callbacks(std::move(callbacks)), m_storedAt(clock.now())
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
    link.leaseLapsed =
        m_clock.now() + FormerSchedulerSlack + lapseTime(std::min(WantedLease, m_options.maxLease));
    look(entry.id);
}

void WorkerLinks::unlist(const WorkerId &id)
{
    if (Link *link = find(id))
        link->listed = false;
}

bool WorkerLinks::reconciled(const WorkerId &id) const
{
    const auto it = m_links.find(id);
    return it == m_links.end() || it->second.reported || it->second.lost;
}

CommandFence WorkerLinks::authority(Link &link, bool extendLease)
{
    CommandFence out;
    out.epoch = m_options.epoch;
    out.incarnation = link.entry.id;
    if (!extendLease || link.clockAt == Instant::min())
        return out;
    const Instant now = m_clock.now();
    if (now - m_storedAt > ExtendsAfterStored)
        return out;
    const Duration lease = std::min(WantedLease, m_options.maxLease);
    out.leaseEndMs = link.workerMs + (now - link.clockAt).count() + lease.count();
    link.leaseLapsed = std::max(link.leaseLapsed, now + lapseTime(lease));
    link.lost = false;
    return out;
}

void WorkerLinks::lookAfter(const WorkerId &id, Duration wait)
{
    Link *link = find(id);
    link->timer->expires_after(wait);
    link->timer->async_wait([this, alive = m_alive, id](const boost::system::error_code &ec) {
        if (!ec && *alive)
            look(id);
    });
}

void WorkerLinks::look(const WorkerId &id)
{
    Link *link = find(id);
    if (link == nullptr || link->looking)
        return;
    const Instant now = m_clock.now();
    const bool busy = m_callbacks.busy(id);
    Duration wait = busy ? BusyWait : IdleWait;
    const bool lossy = now < m_lossyUntil;
    if (lossy)
        wait = std::min(wait, LossyWait);
    // The first look learns what runs; a look beside unstored ends would be answered at once.
    if (!link->reported || !link->reachable || link->awaitsAck)
        wait = Duration::zero();
    link->looking = true;
    // A look without an answer may still extend the lease. While the worker is silent none is asked
    // for, so that it lapses.
    m_gateway.poll(link->entry, authority(*link, link->reachable), m_callbacks.storedEnds(id), wait,
                   wait + (lossy ? LossyTimeout : LookTimeout), now,
                   [this, alive = m_alive, id](Result<PollResult> answer) {
                       if (*alive)
                           onLook(id, std::move(answer));
                   });
}

void WorkerLinks::onLook(const WorkerId &id, Result<PollResult> answer)
{
    Link *link = find(id);
    if (link == nullptr)
        return;
    link->looking = false;
    if (!answer) {
        const bool first = link->reachable;
        setReachable(*link, false, answer.error().reason);
        judgeError(id, answer.error());
        if (*m_alive && find(id) != nullptr)
            lookAfter(id, first ? Duration::zero() : LookRetry);
        return;
    }
    const Instant now = m_clock.now();
    link->workerMs = answer->workerTimeMs;
    link->clockAt = now;
    const bool first = !link->reported;
    link->reported = true;
    link->lost = false;
    const bool ends = !answer->report.ended.empty();
    m_callbacks.report(id, answer->report);
    if (!*m_alive)
        return;
    link = find(id);
    if (link == nullptr)
        return;
    setReachable(*link, true, "answered");
    // The first look could not extend the lease: the worker's clock was not known.
    if (first)
        return look(id);
    link->awaitsAck = ends;
    lookAfter(id, ends ? UnstoredLookInterval : Duration::zero());
}

void WorkerLinks::endsStored()
{
    m_storedAt = m_clock.now();
    for (auto &[id, link] : m_links) {
        if (!link.awaitsAck || link.looking)
            continue;
        link.awaitsAck = false;
        lookAfter(id, LookGap);
    }
}

void WorkerLinks::setReachable(Link &link, bool reachable, const std::string &why)
{
    if (link.reachable == reachable)
        return;
    link.reachable = reachable;
    logInfo(reachable ? "worker_reachable" : "worker_unreachable",
            "worker=" + link.entry.id + " reason=\"" + why + "\"");
    m_callbacks.reachable(link.entry.id, reachable);
}

void WorkerLinks::judgeError(const WorkerId &id, const Error &error)
{
    if (error.code == ErrorCode::OutcomeUnknown)
        m_lossyUntil = m_clock.now() + LossyTime;
    if (error.code == ErrorCode::PermissionDenied)
        return m_callbacks.fenced();
    // Another worker has this address now, so this one has ended with all that it ran.
    Link *link = error.code == ErrorCode::Conflict ? find(id) : nullptr;
    if (link != nullptr && !link->lost)
        declareLost(*link, "another worker has its address");
}

void WorkerLinks::declareLost(Link &link, const std::string &why)
{
    link.lost = true;
    logInfo("worker_lost", "worker=" + link.entry.id + " reason=\"" + why + "\"");
    m_callbacks.lost(link.entry.id);
}

void WorkerLinks::enqueue(const WorkerId &id, std::function<void()> call)
{
    Link *link = find(id);
    link->queue.push_back(std::move(call));
    if (link->inFlight < MaxCallsPerWorker) {
        ++link->inFlight;
        const auto next = std::move(link->queue.front());
        link->queue.pop_front();
        next();
    }
}

void WorkerLinks::callEnded(const WorkerId &id)
{
    Link *link = find(id);
    if (link == nullptr)
        return;
    if (link->queue.empty()) {
        --link->inFlight;
        return;
    }
    const auto next = std::move(link->queue.front());
    link->queue.pop_front();
    next();
}

void WorkerLinks::start(const StartOrder &order)
{
    if (!contains(order.worker))
        return m_callbacks.startAnswered(order, StartOutcome::NotRun);
    enqueue(order.worker, [this, order] { tryStart(order, 0); });
}

void WorkerLinks::tryStart(const StartOrder &order, size_t earlierTries)
{
    Link &link = *find(order.worker);
    m_gateway.start(
        link.entry, authority(link, true), order, StartTimeouts[earlierTries],
        [this, alive = m_alive, order, earlierTries](const Result<StartOutcome> &answer) {
            if (*alive)
                onStart(order, earlierTries, answer);
        });
}

void WorkerLinks::onStart(const StartOrder &order, size_t earlierTries,
                          const Result<StartOutcome> &answer)
{
    const bool unanswered = !answer && answer.error().code == ErrorCode::OutcomeUnknown;
    if (unanswered)
        m_lossyUntil = m_clock.now() + LossyTime;
    if (!answer)
        logWarn("start_failed",
                "task=" + order.task.toString() + " run=" + std::to_string(order.run)
                    + " worker=" + order.worker + " try=" + std::to_string(earlierTries + 1)
                    + " reason=\"" + answer.error().reason + "\"");
    if (unanswered && earlierTries + 1 < StartTimeouts.size() && contains(order.worker))
        return tryStart(order, earlierTries + 1);
    callEnded(order.worker);
    StartOutcome outcome = StartOutcome::NotRun;
    if (answer)
        outcome = *answer;
    // A try without an answer may still be carried out, whatever a later one is told.
    if (unanswered || (earlierTries > 0 && outcome != StartOutcome::Started))
        outcome = StartOutcome::Unknown;
    m_callbacks.startAnswered(order, outcome);
    if (!answer && *m_alive)
        judgeError(order.worker, answer.error());
}

// Ends a call that carries no answer but success. A failure of `what` leaves a line.
bool WorkerLinks::succeeded(std::string_view what, const WorkerId &id, const TaskRef &task,
                            const Result<void> &answer)
{
    callEnded(id);
    if (answer)
        return true;
    logWarn(what, "task=" + task.toString() + " worker=" + id + " reason=\"" + answer.error().reason
                      + "\"");
    judgeError(id, answer.error());
    return false;
}

void WorkerLinks::stop(const StopOrder &order)
{
    if (!contains(order.worker))
        return;
    enqueue(order.worker, [this, order] {
        Link &link = *find(order.worker);
        m_gateway.stop(link.entry, authority(link, false), order, OrderTimeout,
                       [this, alive = m_alive, order](const Result<void> &answer) {
                           // The dispatcher repeats a stop that is not confirmed.
                           if (*alive && succeeded("stop_failed", order.worker, order.task, answer))
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
        m_gateway.throttle(link.entry, authority(link, false), order, OrderTimeout,
                           [this, alive = m_alive, order](const Result<void> &answer) {
                               if (*alive)
                                   succeeded("pace_failed", order.worker, order.task, answer);
                           });
    });
}

void WorkerLinks::tick()
{
    const Instant now = m_clock.now();
    std::vector<WorkerId> lapsed;
    std::vector<WorkerId> gone;
    for (auto &[id, link] : m_links) {
        const bool silent = !link.reachable;
        if (silent && !link.lost && now > link.leaseLapsed)
            lapsed.push_back(id);
        const bool empty = !m_callbacks.busy(id);
        // A worker that has left with nothing on it needs no lease to lapse.
        if (!link.listed && ((link.reported && empty) || link.lost))
            gone.push_back(id);
    }
    for (const WorkerId &id : lapsed)
        declareLost(m_links.at(id), "its leases have lapsed");
    for (const WorkerId &id : gone) {
        // Calls in flight end at a link that is gone; their answers no longer matter.
        if (Link &link = m_links.at(id); !link.looking && link.inFlight == 0)
            m_links.erase(id);
    }
}

} // namespace cardamompaddle
