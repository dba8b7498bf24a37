#include "control/resending_log.h"

#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamompaddle {

namespace {

// Whether the log itself has answered an append. NotStored may also mean that there is no
// connection.
bool isAnswer(AppendOutcome outcome)
{
    return outcome != AppendOutcome::Unknown && outcome != AppendOutcome::NotStored;
}

} // namespace

std::optional<AppendResult> settledAppend(const AppendResult &answer, int open, bool inDoubt)
{
    // No later copy is stored once the log has seen a higher epoch, so a fenced writer learns of it
    // at once.
    if (answer.outcome == AppendOutcome::Stored || answer.outcome == AppendOutcome::Fenced)
        return answer;
    if (answer.outcome == AppendOutcome::Unknown && open > 0)
        return std::nullopt;
    if (open == 0 && !inDoubt)
        return answer;
    return AppendResult{AppendOutcome::Unknown,
                        answer.reason + "; another copy may have been stored"};
}

ResendingLog::ResendingLog(boost::asio::io_context &io, const Clock &clock, KeyedLog &log)
    : m_clock(clock), m_log(log), m_timer(io)
{ }

ResendingLog::~ResendingLog()
{
    *m_alive = false;
}

void ResendingLog::append(AppendRequest request, Duration timeout, AppendDone done)
{
    if (!request.writer && !request.repeatable)
        return m_log.append(std::move(request), timeout, std::move(done));
    const std::string topic = request.topic;
    begin(LogCallKind::Append, topic, Duration::zero(), timeout,
          [this, request = std::move(request), done = std::move(done)](const Copy &copy) {
              m_log.append(request, copy.timeout,
                           [this, alive = m_alive, copy, done](const AppendResult &answer) {
                               if (*alive)
                                   onAppendEnded(copy, answer, done);
                           });
          });
}

void ResendingLog::read(const std::string &topic, int64_t from, Duration wait, Duration timeout,
                        ReadDone done)
{
    begin(LogCallKind::Read, topic, wait, timeout,
          [this, topic, from, done = std::move(done)](const Copy &copy) {
              m_log.read(topic, from, copy.wait, copy.timeout,
                         [this, alive = m_alive, copy, done](Result<LogSlice> answer) {
                             if (*alive)
                                 onReadEnded(copy, std::move(answer), done);
                         });
          });
}

void ResendingLog::readNewest(const std::string &topic, const std::string &after, Duration timeout,
                              NewestDone done)
{
    begin(LogCallKind::NewestPage, topic, Duration::zero(), timeout,
          [this, topic, after, done = std::move(done)](const Copy &copy) {
              m_log.readNewest(topic, after, copy.timeout,
                               [this, alive = m_alive, copy, done](Result<NewestPage> answer) {
                                   if (*alive)
                                       onReadEnded(copy, std::move(answer), done);
                               });
          });
}

void ResendingLog::useNewConnections()
{
    m_renewedAt = m_clock.now();
    m_log.useNewConnections();
}

int ResendingLog::unansweredAppends(const std::string &topic) const
{
    int out = 0;
    for (const auto &[number, call] : m_calls) {
        if (call.pending.kind == LogCallKind::Append && call.topic == topic)
            out += call.open;
    }
    return out;
}

void ResendingLog::begin(LogCallKind kind, const std::string &topic, Duration wait,
                         Duration timeout, SendCopy send)
{
    const Instant now = m_clock.now();
    const CallNumber number = m_nextCall++;
    Call &call = m_calls[number];
    call.pending.kind = kind;
    call.pending.heldUntil = now + wait;
    call.topic = topic;
    call.startedAt = now;
    call.deadline = now + timeout;
    call.send = std::move(send);
    sendCopy(number, call, now);
}

void ResendingLog::sendCopy(CallNumber number, Call &call, Instant now)
{
    ++call.open;
    ++call.pending.copies;
    call.pending.lastSentAt = now;
    if (const auto due = m_policy.nextCopyAt(call.pending))
        armTimer(*due);
    call.send({number, call.pending.copies, now,
               std::max(Duration::zero(), call.pending.heldUntil - now), call.deadline - now});
}

void ResendingLog::sendAgain(CallNumber number, Call &call, std::string_view reason, Instant now)
{
    // Connections that were opened since the last copy was sent are not suspect.
    if (m_renewedAt <= call.pending.lastSentAt)
        useNewConnections();
    const auto usual = m_policy.usualTime(call.pending.kind);
    logWarn("log_resent",
            "kind=" + std::string(logCallKindName(call.pending.kind)) + " topic=" + call.topic
                + " copy=" + std::to_string(call.pending.copies + 1)
                + " waited_ms=" + std::to_string((now - call.startedAt).count())
                + " held_ms=" + std::to_string((call.pending.heldUntil - call.startedAt).count())
                + " usual_ms=" + (usual ? std::to_string(usual->count()) : "unknown")
                + " reason=" + std::string(reason));
    sendCopy(number, call, now);
}

ResendingLog::Call *ResendingLog::copyEnded(const Copy &copy)
{
    const auto it = m_calls.find(copy.call);
    if (it == m_calls.end())
        return nullptr;
    --it->second.open;
    return &it->second;
}

void ResendingLog::copyAnswered(const Copy &copy, const Call &call)
{
    if (copy.wait == Duration::zero())
        m_policy.answered(call.pending.kind, m_clock.now() - copy.sentAt);
    // A later copy on a new connection was answered first, so the earlier connection is silent. A
    // slow log would have answered the earlier copy first.
    if (copy.number > 1 && copy.wait == Duration::zero())
        resendHeldReads(copy.sentAt);
}

void ResendingLog::end(CallNumber number)
{
    m_calls.erase(number);
}

void ResendingLog::endUnanswered(CallNumber number)
{
    const auto node = m_calls.extract(number);
    const Call &call = node.mapped();
    if (m_clock.now() < call.deadline)
        return; // the connection was closed
    m_policy.unanswered(call.pending.kind);
    resendHeldReads(call.startedAt);
}

void ResendingLog::onAppendEnded(const Copy &copy, const AppendResult &answer,
                                 const AppendDone &done)
{
    Call *call = copyEnded(copy);
    if (call == nullptr)
        return;
    if (isAnswer(answer.outcome))
        copyAnswered(copy, *call);
    const auto result = settledAppend(answer, call->open, call->inDoubt);
    if (!result) {
        call->inDoubt = true;
        return;
    }
    answer.outcome == AppendOutcome::Unknown ? endUnanswered(copy.call) : end(copy.call);
    done(*result);
}

template <typename Answer>
void ResendingLog::onReadEnded(const Copy &copy, Result<Answer> answer,
                               const std::function<void(Result<Answer>)> &done)
{
    Call *call = copyEnded(copy);
    if (call == nullptr)
        return;
    const bool answered = answer || answer.error().code == ErrorCode::NotFound;
    if (answered)
        copyAnswered(copy, *call);
    else if (call->open > 0)
        return;
    const bool lost = !answered && answer.error().code == ErrorCode::OutcomeUnknown;
    lost ? endUnanswered(copy.call) : end(copy.call);
    done(std::move(answer));
}

void ResendingLog::resendHeldReads(Instant time)
{
    const Instant now = m_clock.now();
    for (auto &[number, call] : m_calls) {
        const bool held = call.pending.heldUntil > now;
        const bool mayResend = call.pending.copies < ResendPolicy::MaxCopies;
        if (held && mayResend && call.pending.lastSentAt < time)
            sendAgain(number, call, "silent_connection", now);
    }
}

void ResendingLog::armTimer(Instant due)
{
    if (m_timerDue && *m_timerDue <= due)
        return;
    m_timerDue = due;
    m_timer.expireAfter(std::max(Duration::zero(), due - m_clock.now()));
    m_timer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            onTimer();
    });
}

void ResendingLog::onTimer()
{
    if (!m_timerDue)
        return;
    const Instant now = m_clock.now();
    const auto again = ResendPolicy::repeatLateCheck(*m_timerDue, now);
    m_timerDue.reset();
    if (again && !std::exchange(m_checkRepeated, true))
        return armTimer(*again);
    m_checkRepeated = false;
    sendDueCopies(now);
}

void ResendingLog::sendDueCopies(Instant now)
{
    for (auto &[number, call] : m_calls) {
        const auto due = m_policy.nextCopyAt(call.pending);
        if (!due || *due >= call.deadline)
            continue;
        if (*due <= now && now < call.deadline)
            sendAgain(number, call, "late", now);
        else
            armTimer(*due);
    }
}

} // namespace cardamompaddle
