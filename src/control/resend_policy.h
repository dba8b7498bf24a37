// Decides when a call to the log that has no answer yet is sent again on a new connection.
//
// Pattern: hedged requests. Connections may go silent without being closed, while new ones work. A
// call is suspect once it has taken several times as long as the log usually takes, and each
// further copy waits twice as long as the one before. A log that is slow, or that leaves calls
// unanswered altogether, gets few copies.
//
// Performs no I/O and reads no clock.
#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamompaddle {

enum class LogCallKind : uint8_t {
    Append,
    Read,
    NewestPage,
};
inline constexpr size_t LogCallKindCount = 3;
// Returns the stable lower-case name, for example "append".
std::string_view logCallKindName(LogCallKind kind);

class ResendPolicy
{
public:
    // A call without an answer.
    struct PendingCall
    {
        LogCallKind kind = LogCallKind::Append;
        int copies = 0; // sent so far, the first one included
        Instant lastSentAt; // when the last copy was sent
        // The log may hold the call until then; not later than `lastSentAt` if it is not held.
        Instant heldUntil = Instant::min();
    };

    // Copies of a call, the first one included.
    static constexpr int MaxCopies = 3;

    // Takes note that the log has answered a copy that it did not hold `took` after it was sent.
    void answered(LogCallKind kind, Duration took);
    // Takes note of a call of which no copy was answered.
    void unanswered(LogCallKind kind);
    // Returns how long the log usually takes for a call; empty if it has answered none.
    std::optional<Duration> usualTime(LogCallKind kind) const { return state(kind).usualTime; }
    // Returns how long the first copy of a call may take before the call is suspect.
    Duration suspectAfter(LogCallKind kind) const;
    // Returns when the next copy of the call is due; empty if no further one is sent.
    std::optional<Instant> nextCopyAt(const PendingCall &call) const;
    // Returns when a check that was due at `due` has to be repeated because the event loop runs it
    // too late: the answer may have arrived in the meantime and wait to be read. Empty if the check
    // is on time.
    static std::optional<Instant> repeatLateCheck(Instant due, Instant now);

private:
    struct KindState
    {
        std::optional<Duration> usualTime;
        int unansweredCalls = 0; // since the last answer
    };

    KindState &state(LogCallKind kind) { return m_states[static_cast<size_t>(kind)]; }
    const KindState &state(LogCallKind kind) const { return m_states[static_cast<size_t>(kind)]; }

    std::array<KindState, LogCallKindCount> m_states;
};

} // namespace cardamompaddle
