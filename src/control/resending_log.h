// Sends calls to the log again on new connections when their connections have probably gone silent,
// and passes on the first answer that settles the call.
//
// - Appends are sent again only if a repetition cannot store anything twice that matters: those of
//   a writer, which the log stores once for each sequence number, and those marked as repeatable.
//   An append is reported as not stored only if none of its copies may be stored.
// - The log may hold a read, so that silence alone proves nothing. Held reads are sent again once a
//   later copy of another call was answered before the earlier one, or a call got no answer at all.
//
// A call ends at its timeout at the latest, whatever the number of its copies. Not thread-safe: use
// it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/resend_policy.h"
#include "control/timer.h"
#include "platform/worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamompaddle {

// Returns the result of an append of which one copy was answered with `answer` while `open` copies
// have no answer; `inDoubt` tells whether an earlier one ended without an answer. Empty if the
// append has to wait for the open copies.
std::optional<AppendResult> settledAppend(const AppendResult &answer, int open, bool inDoubt);

class ResendingLog : public KeyedLog
{
public:
    // `log` must outlive this object. Calls that are open when it is destroyed are dropped.
    ResendingLog(boost::asio::io_context &io, const Clock &clock, KeyedLog &log);
    ~ResendingLog() override;
    ResendingLog(const ResendingLog &) = delete;
    ResendingLog &operator=(const ResendingLog &) = delete;

    void append(AppendRequest request, Duration timeout, AppendDone done) override;
    void read(const std::string &topic, int64_t from, Duration wait, Duration timeout,
              ReadDone done) override;
    void readNewest(const std::string &topic, const std::string &after, Duration timeout,
                    NewestDone done) override;
    void useNewConnections() override;
    int unansweredAppends(const std::string &topic) const override;

private:
    using CallNumber = uint64_t;

    // One copy of a call.
    struct Copy
    {
        CallNumber call = 0;
        int number = 0; // from 1
        Instant sentAt;
        Duration wait{0}; // for which the log may hold it
        Duration timeout{0};
    };
    using SendCopy = std::function<void(const Copy &)>;

    // A call that has not ended.
    struct Call
    {
        ResendPolicy::PendingCall pending;
        std::string topic;
        Instant startedAt;
        Instant deadline;
        SendCopy send;
        int open = 0; // copies without an answer
        bool inDoubt = false; // a copy of an append has ended without an answer
    };

    // Sends the first copy of a call.
    void begin(LogCallKind kind, const std::string &topic, Duration wait, Duration timeout,
               SendCopy send);
    void sendCopy(CallNumber number, Call &call, Instant now);
    void sendAgain(CallNumber number, Call &call, std::string_view reason, Instant now);
    // Returns the call of a copy that has ended; null if the call was settled before.
    Call *copyEnded(const Copy &copy);
    // Takes note that the log has answered the copy.
    void copyAnswered(const Copy &copy, const Call &call);
    void end(CallNumber number);
    // Ends a call of which no copy was answered.
    void endUnanswered(CallNumber number);
    void onAppendEnded(const Copy &copy, const AppendResult &answer, const AppendDone &done);
    template <typename Answer>
    void onReadEnded(const Copy &copy, Result<Answer> answer,
                     const std::function<void(Result<Answer>)> &done);
    // Sends held reads again whose last copy was sent before `time`, at which connections were
    // silent.
    void resendHeldReads(Instant time);
    void armTimer(Instant due);
    void onTimer();
    // Sends the copies that are due.
    void sendDueCopies(Instant now);

    const Clock &m_clock;
    KeyedLog &m_log;
    ResendPolicy m_policy;
    std::map<CallNumber, Call> m_calls;
    CallNumber m_nextCall = 1;
    Instant m_renewedAt = Instant::min(); // last useNewConnections()
    Timer m_timer;
    std::optional<Instant> m_timerDue; // empty: not armed
    bool m_checkRepeated = false; // the last check was late and is being repeated
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
