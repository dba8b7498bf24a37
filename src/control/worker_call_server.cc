#include "control/worker_call_server.h"

#include "control/worker_call_codec.h"
#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

// The clocks of two machines drift apart during a long session, so the shortest transit follows
// transits that are little longer. A longer difference is a delay and stays one.
constexpr Duration DriftPerBatch{1};
constexpr Duration MaxDriftDifference{100};
constexpr int CallsPerTurn = 8; // of the event loop
constexpr Duration AnswerBatchingDelay{3};
// Bounds the size of one message.
constexpr size_t MaxAnswersPerMessage = 200;
constexpr size_t MaxRunsPerMessage = 1'000;
// The scheduler gives up on its calls after about the time that this takes.
constexpr int MaxAnswerAttempts = 3;
constexpr Duration AnswerRetryDelay{60};

size_t runCount(const work::WorkerAnswer &answer)
{
    return answer.running.size() + answer.finished.size();
}

} // namespace

WorkerCallServer::WorkerCallServer(boost::asio::io_context &io, const Clock &clock,
                                   WorkerGateway &workers, PeerGateway &peers,
                                   std::string incarnation)
    : m_io(io), m_clock(clock), m_workers(workers), m_peers(peers),
      m_incarnation(std::move(incarnation))
{ }

WorkerCallServer::~WorkerCallServer()
{
    *m_alive = false;
}

work::WorkerCallsReceived WorkerCallServer::receive(const work::WorkerCalls &batch)
{
    work::WorkerCallsReceived out;
    out.incarnation = m_incarnation;
    out.sendsFencingTokens = true;
    if (!batch.calls.empty())
        m_outboxes[batch.session].replyTo = batch.replyTo;
    if (batch.epoch < m_highestEpoch) {
        refuseAll(batch, {ErrorCode::PermissionDenied, "a peer has seen a higher epoch"});
        return out;
    }
    const Instant now = m_clock.now();
    m_highestEpoch = batch.epoch;
    const auto late = lateness(batch, now);
    if (!late) {
        refuseAll(batch, {ErrorCode::Unavailable, "the peer does not know this session"});
        return out;
    }
    if (!batch.calls.empty()) {
        m_batches.push_back({batch, 0, now, *late});
        scheduleCalls();
    }
    return out;
}

std::optional<Duration> WorkerCallServer::lateness(const work::WorkerCalls &batch, Instant now)
{
    const Duration transit(toMs(now) - batch.sentAtMs);
    if (batch.session != m_session) {
        m_session = batch.session;
        m_shortestTransit = transit;
        return std::nullopt;
    }
    m_shortestTransit = std::min(m_shortestTransit, transit);
    const Duration out = transit - m_shortestTransit;
    if (out > Duration::zero() && out <= MaxDriftDifference)
        m_shortestTransit += DriftPerBatch;
    return out;
}

void WorkerCallServer::refuseAll(const work::WorkerCalls &batch, const Error &error)
{
    for (const work::WorkerCall &call : batch.calls)
        answer(batch.session, encodeError(call.id, error));
    if (!batch.calls.empty())
        logWarn("worker_calls_refused", "session=" + batch.session
                                            + " calls=" + std::to_string(batch.calls.size())
                                            + " reason=\"" + error.reason + "\"");
}

void WorkerCallServer::scheduleCalls()
{
    if (std::exchange(m_callsArmed, true))
        return;
    boost::asio::post(m_io, [this, alive = m_alive] {
        if (*alive)
            makeCalls();
    });
}

void WorkerCallServer::makeCalls()
{
    m_callsArmed = false;
    for (int i = 0; i < CallsPerTurn && !m_batches.empty(); ++i) {
        Batch &batch = m_batches.front();
        makeCall(batch, batch.calls.calls[batch.next++], m_clock.now());
        if (batch.next == batch.calls.calls.size())
            m_batches.pop_front();
    }
    if (!m_batches.empty())
        scheduleCalls();
}

void WorkerCallServer::makeCall(const Batch &batch, const work::WorkerCall &call, Instant now)
{
    const std::string &session = batch.calls.session;
    // A batch of a higher epoch may have come since this one was received.
    if (batch.calls.epoch < m_highestEpoch)
        return answer(session, encodeError(call.id, {ErrorCode::PermissionDenied,
                                                     "a peer has seen a higher epoch"}));
    const Duration age = batch.lateness + (now - batch.receivedAt);
    const Duration timeout = Duration(call.timeoutMs) - age;
    if (timeout <= Duration::zero()) {
        logWarn("worker_call_too_late", "worker=" + call.worker + " task=" + call.task
                                            + " age_ms=" + std::to_string(age.count())
                                            + " timeout_ms=" + std::to_string(call.timeoutMs));
        return answer(session,
                      encodeError(call.id, {ErrorCode::Unavailable, "it reached the peer late"}));
    }
    const CommandFence fence = decodeFence(call, batch.calls.epoch);
    if (call.kind == work::WorkerCallKind::Poll)
        makePoll(session, call, fence, timeout, now);
    else
        makeOrder(batch, call, fence, timeout);
}

void WorkerCallServer::makePoll(const std::string &session, const work::WorkerCall &call,
                                const CommandFence &fence, Duration timeout, Instant now)
{
    // The scheduler dates the report by its own clock, so `now` does not leave this process.
    m_workers.poll(decodeWorkerOf(call), fence, call.acknowledged, Duration(call.waitMs), timeout,
                   now,
                   [this, alive = m_alive, session, id = call.id](const Result<PollResult> &it) {
                       if (*alive)
                           answer(session, encodePollAnswer(id, it));
                   });
}

void WorkerCallServer::makeOrder(const Batch &batch, const work::WorkerCall &call,
                                 const CommandFence &fence, Duration timeout)
{
    const WorkerEntry worker = decodeWorkerOf(call);
    const std::string &session = batch.calls.session;
    const auto done = [this, alive = m_alive, session, id = call.id](const Result<void> &it) {
        if (*alive)
            answer(session, encodeOrderAnswer(id, it));
    };
    // An order that cannot be read is certainly not carried out.
    const auto unreadable = [](const Error &error) {
        return Error{ErrorCode::Unavailable, error.reason};
    };
    switch (call.kind) {
    case work::WorkerCallKind::Start: {
        const auto order = decodeStart(call, batch.calls.payloads);
        if (!order)
            return done(unreadable(order.error()));
        return m_workers.start(
            worker, fence, *order, timeout,
            [this, alive = m_alive, session, id = call.id](const Result<StartAnswer> &it) {
                if (*alive)
                    answer(session, encodeStartAnswer(id, it));
            });
    }
    case work::WorkerCallKind::Stop: {
        const auto order = decodeStop(call);
        if (!order)
            return done(unreadable(order.error()));
        return m_workers.stop(worker, fence, *order, timeout, done);
    }
    case work::WorkerCallKind::Throttle: {
        const auto order = decodeThrottle(call);
        if (!order)
            return done(unreadable(order.error()));
        return m_workers.throttle(worker, fence, *order, timeout, done);
    }
    default:
        done(Error{ErrorCode::Unavailable, "unknown kind of call"});
    }
}

void WorkerCallServer::answer(const std::string &session, work::WorkerAnswer answer)
{
    const auto it = m_outboxes.find(session);
    // The session has been replaced, and its scheduler has given up on its calls.
    if (it == m_outboxes.end())
        return;
    Outbox &outbox = it->second;
    outbox.answers.push_back(std::move(answer));
    if (!std::exchange(outbox.busy, true))
        scheduleAnswers(session, AnswerBatchingDelay);
}

void WorkerCallServer::scheduleAnswers(const std::string &session, Duration delay)
{
    auto timer = std::make_shared<Timer>(m_io, delay);
    timer->asyncWait([this, alive = m_alive, timer, session](const boost::system::error_code &ec) {
        if (!ec && *alive)
            sendAnswers(session);
    });
}

void WorkerCallServer::sendAnswers(const std::string &session)
{
    Outbox &outbox = m_outboxes[session];
    if (outbox.answers.empty()) {
        outbox.busy = false;
        // An outbox of an earlier scheduler is not needed again.
        if (session != m_session)
            m_outboxes.erase(session);
        return;
    }
    auto message = std::make_shared<work::WorkerAnswers>();
    message->session = session;
    size_t runs = 0;
    while (!outbox.answers.empty() && message->answers.size() < MaxAnswersPerMessage
           && runs < MaxRunsPerMessage) {
        runs += runCount(outbox.answers.front());
        message->answers.push_back(std::move(outbox.answers.front()));
        outbox.answers.pop_front();
    }
    transmit(session, std::move(message), 1);
}

void WorkerCallServer::transmit(const std::string &session,
                                const std::shared_ptr<const work::WorkerAnswers> &message,
                                int attempt)
{
    m_peers.answerWorkerCalls(
        m_outboxes[session].replyTo, *message,
        [this, alive = m_alive, session, message, attempt](const Result<void> &it) {
            if (!*alive)
                return;
            if (!it && attempt < MaxAnswerAttempts)
                return retryLater(session, message, attempt + 1);
            if (!it)
                logWarn("worker_answers_dropped",
                        "session=" + session + " answers=" + std::to_string(message->answers.size())
                            + " reason=\"" + it.error().reason + "\"");
            // Lets answers that come at about the same time share a message.
            scheduleAnswers(session, AnswerBatchingDelay);
        });
}

void WorkerCallServer::retryLater(const std::string &session,
                                  const std::shared_ptr<const work::WorkerAnswers> &message,
                                  int attempt)
{
    auto timer = std::make_shared<Timer>(m_io, AnswerRetryDelay);
    timer->asyncWait([this, alive = m_alive, timer, session, message,
                      attempt](const boost::system::error_code &ec) {
        if (!ec && *alive)
            transmit(session, message, attempt);
    });
}

} // namespace cardamompaddle
