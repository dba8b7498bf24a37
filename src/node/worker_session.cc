#include "node/worker_session.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

// Delay of the next long poll after one without new results; doubles up to the maximum.
constexpr Duration MinLongPollDelay{10};
constexpr Duration MaxLongPollDelay{200};

TaskAttempt attemptOf(const StartTask &start)
{
    return {start.task, start.attempt};
}

template <typename Tasks>
bool containsAttempt(const Tasks &tasks, const TaskAttempt &attempt)
{
    return std::any_of(tasks.begin(), tasks.end(), [&attempt](const auto &it) {
        return it.task == attempt.task && it.attempt == attempt.attempt;
    });
}

} // namespace

std::shared_ptr<WorkerSession> WorkerSession::create(WorkerClient &client,
                                                     WorkerSessionEvents &events, WorkerInfo worker,
                                                     WorkerSessionOptions options)
{
    return std::shared_ptr<WorkerSession>(
        new WorkerSession(client, events, std::move(worker), std::move(options)));
}

WorkerSession::WorkerSession(WorkerClient &client, WorkerSessionEvents &events, WorkerInfo worker,
                             WorkerSessionOptions options)
    : m_client(client), m_events(events), m_worker(std::move(worker)), m_options(std::move(options))
{ }

void WorkerSession::start(StartTask task)
{
    m_queue.starts.push_back(std::move(task));
}

void WorkerSession::stop(const TaskAttempt &attempt)
{
    m_queue.stops.push_back(attempt);
}

void WorkerSession::checkpoint(const TaskAttempt &attempt)
{
    m_queue.checkpoints.push_back(attempt);
}

void WorkerSession::throttle(const TaskAttempt &attempt, int64_t cpuMilli)
{
    m_queue.throttles.push_back({attempt, cpuMilli});
}

void WorkerSession::acknowledge(const TaskAttempt &attempt)
{
    m_pendingAcknowledgements.insert(attempt);
}

bool WorkerSession::hasQueuedCommands() const
{
    return !m_queue.starts.empty() || !m_queue.stops.empty() || !m_queue.checkpoints.empty()
           || !m_queue.throttles.empty();
}

void WorkerSession::advance(bool mayAct, bool busy, Instant now)
{
    if (!mayAct || m_state == State::Released || m_state == State::Acquiring)
        return;
    if (m_state == State::Idle) {
        if (!m_lastAcquireAttempt || now - *m_lastAcquireAttempt >= m_options.retryInterval)
            acquire(now);
        return;
    }
    if (now - m_stampReceivedAt > withDrift(m_options.sessionTtl)) {
        handleSessionLoss(now);
        return;
    }
    const bool renewDue = now - m_lastRenewal >= m_options.renewInterval;
    if (!m_commandInFlight && (renewDue || hasQueuedCommands()))
        sendCommand(now);
    if (busy && !m_longPollInFlight && (!m_nextLongPoll || now >= *m_nextLongPoll))
        longPoll(now);
}

void WorkerSession::acquire(Instant now)
{
    m_state = State::Acquiring;
    m_lastAcquireAttempt = now;
    const std::weak_ptr<WorkerSession> weak = weak_from_this();
    m_client.acquire(m_worker, {m_options.holder, m_options.sessionTtl},
                     [weak](Result<SessionGrant> grant, Instant at) {
                         const auto self = weak.lock();
                         if (!self || self->m_state != State::Acquiring)
                             return;
                         if (grant)
                             self->acquired(*grant, at);
                         else
                             self->m_state = State::Idle;
                     });
}

void WorkerSession::acquired(const SessionGrant &grant, Instant now)
{
    m_state = State::Held;
    m_epoch = grant.epoch;
    m_stamp = grant.stamp;
    m_stampReceivedAt = now;
    m_lastRenewal = now - m_options.renewInterval;
    m_unknownStarts.clear();
    m_events.sessionAcquired(m_worker, grant, now);
}

template <typename Done>
void WorkerSession::send(const WorkerCommand &batch, Done done)
{
    m_lastSentStampReceivedAt = m_stampReceivedAt;
    const std::weak_ptr<WorkerSession> weak = weak_from_this();
    m_client.command(m_worker, batch, [weak, done](const Result<WorkerReport> &result, Instant at) {
        if (const auto self = weak.lock())
            done(*self, result, at);
    });
}

WorkerCommand WorkerSession::takeBatch()
{
    WorkerCommand batch = std::exchange(m_queue, {});
    batch.holder = m_options.holder;
    batch.epoch = m_epoch;
    batch.stamp = m_stamp;
    batch.renew = true;
    batch.acknowledged.assign(m_pendingAcknowledgements.begin(), m_pendingAcknowledgements.end());
    return batch;
}

void WorkerSession::sendCommand(Instant now)
{
    WorkerCommand batch = takeBatch();
    m_commandInFlight = true;
    m_lastRenewal = now;
    // Until the answer arrives, each start may have run.
    for (const StartTask &it : batch.starts)
        m_unknownStarts[attemptOf(it)] = batch.stamp;
    send(batch, [batch](WorkerSession &self, const Result<WorkerReport> &result, Instant at) {
        self.commandDone(batch, result, at);
    });
}

void WorkerSession::commandDone(const WorkerCommand &batch, const Result<WorkerReport> &result,
                                Instant now)
{
    m_commandInFlight = false;
    if (m_state == State::Released || batch.epoch != m_epoch)
        return;
    if (result) {
        for (const TaskAttempt &it : batch.acknowledged)
            m_pendingAcknowledgements.erase(it);
        for (const StartTask &it : batch.starts)
            m_unknownStarts.erase(attemptOf(it));
        for (const auto &[attempt, reason] : result->rejectedStarts)
            m_events.startRefused(m_worker, attempt, reason, now);
        handleReport(*result, now);
        return;
    }
    const ErrorCode code = result.error().code;
    if (code == ErrorCode::PermissionDenied || code == ErrorCode::Unavailable)
        refuseStarts(batch.starts, result.error().reason, now);
    if (code == ErrorCode::PermissionDenied)
        handleSessionLoss(now);
}

void WorkerSession::refuseStarts(const std::vector<StartTask> &starts, const std::string &reason,
                                 Instant now)
{
    for (const StartTask &it : starts) {
        m_unknownStarts.erase(attemptOf(it));
        m_events.startRefused(m_worker, attemptOf(it), reason, now);
    }
}

void WorkerSession::longPoll(Instant now)
{
    WorkerCommand batch;
    batch.holder = m_options.holder;
    batch.epoch = m_epoch;
    batch.stamp = m_stamp;
    batch.acknowledged.assign(m_pendingAcknowledgements.begin(), m_pendingAcknowledgements.end());
    batch.waitForFinish = m_options.longPollTimeout;
    m_longPollInFlight = true;
    m_nextLongPoll = now;
    send(batch, [epoch = m_epoch, acknowledged = batch.acknowledged](
                    WorkerSession &self, const Result<WorkerReport> &result, Instant at) {
        if (result) {
            for (const TaskAttempt &it : acknowledged)
                self.m_pendingAcknowledgements.erase(it);
        }
        self.longPollDone(epoch, result, at);
    });
}

void WorkerSession::longPollDone(uint64_t epoch, const Result<WorkerReport> &result, Instant now)
{
    m_longPollInFlight = false;
    if (m_state != State::Held || epoch != m_epoch)
        return;
    if (!result) {
        m_nextLongPoll = now + m_options.retryInterval;
        if (result.error().code == ErrorCode::PermissionDenied)
            handleSessionLoss(now);
        return;
    }
    // During a log outage finished tasks cannot be acknowledged, and the worker answers each long
    // poll at once. The delay prevents a busy loop.
    const bool hasNewResults =
        std::any_of(result->finished.begin(), result->finished.end(), [this](const auto &it) {
            return !m_knownFinished.contains({it.task, it.attempt});
        });
    m_longPollDelay = hasNewResults || result->finished.empty()
                          ? Duration(0)
                          : std::clamp(m_longPollDelay * 2, MinLongPollDelay, MaxLongPollDelay);
    m_nextLongPoll = now + m_longPollDelay;
    handleReport(*result, now);
}

void WorkerSession::handleReport(const WorkerReport &report, Instant now)
{
    updateStamp(report.stamp, now);
    resolveUnknownStarts(report, now);
    m_knownFinished.clear();
    for (const FinishedTask &it : report.finished)
        m_knownFinished.insert({it.task, it.attempt});
    m_events.workerReported(m_worker, report, now);
}

void WorkerSession::updateStamp(uint64_t stamp, Instant now)
{
    if (stamp < m_stamp)
        return;
    m_stamp = stamp;
    m_stampReceivedAt = now;
}

void WorkerSession::resolveUnknownStarts(const WorkerReport &report, Instant now)
{
    const auto ttl = static_cast<uint64_t>(m_options.sessionTtl.count());
    for (auto it = m_unknownStarts.begin(); it != m_unknownStarts.end();) {
        const auto [attempt, sentStamp] = *it;
        if (containsAttempt(report.running, attempt) || containsAttempt(report.finished, attempt)) {
            it = m_unknownStarts.erase(it);
        } else if (!m_commandInFlight && report.stamp > sentStamp + ttl) {
            // The stamp of the start is now older than the TTL, so the worker would refuse it.
            it = m_unknownStarts.erase(it);
            m_events.startRefused(m_worker, attempt, "the start did not reach the worker", now);
        } else {
            ++it;
        }
    }
}

void WorkerSession::handleSessionLoss(Instant now)
{
    m_state = State::Idle;
    m_commandInFlight = false;
    m_longPollInFlight = false;
    m_nextLongPoll.reset();
    m_unknownStarts.clear();
    const std::vector<StartTask> unsent = std::exchange(m_queue.starts, {});
    m_queue = {};
    refuseStarts(unsent, "the session was lost before the start was sent", now);
    m_events.sessionLost(m_worker, now);
}

void WorkerSession::release()
{
    if (m_state == State::Held) {
        WorkerCommand batch;
        batch.holder = m_options.holder;
        batch.epoch = m_epoch;
        batch.stamp = m_stamp;
        batch.release = true;
        m_client.command(m_worker, std::move(batch), [](const Result<WorkerReport> &, Instant) {});
    }
    m_state = State::Released;
}

bool WorkerSession::leaseLapsed(Duration lease, Instant now) const
{
    if (m_state == State::Held)
        return false;
    return !m_lastSentStampReceivedAt || now >= *m_lastSentStampReceivedAt + withDrift(lease);
}

} // namespace cardamompaddle
