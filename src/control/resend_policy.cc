#include "control/resend_policy.h"

#include <algorithm>

namespace cardamompaddle {

namespace {

constexpr int UsualTimeFactor = 4; // a call is suspect after this multiple of the usual time
// Weights of a new answer in the usual time, as divisors. A log that becomes slow is known at once.
constexpr int SlowerDivisor = 2;
constexpr int FasterDivisor = 8;

// A call is never suspect earlier. The holder of the tenure stores a record every 150 ms, and
// others claim after 500 ms without one: two copies of an append fit between.
constexpr Duration MinSuspectTime{80};
constexpr Duration MinSuspectTimeOfPage{300}; // a page may be large
// Before the log has answered a call of the kind.
constexpr Duration UnknownSuspectTime{400};
constexpr Duration MaxSuspectTime{1'000};
constexpr int MaxUnansweredDoublings = 3;

constexpr Duration MaxCheckDelay{15}; // a check that runs later is repeated
constexpr Duration CheckRepeatDelay{15};

Duration minSuspectTime(LogCallKind kind)
{
    return kind == LogCallKind::NewestPage ? MinSuspectTimeOfPage : MinSuspectTime;
}

} // namespace

std::string_view logCallKindName(LogCallKind kind)
{
    static constexpr std::array<std::string_view, LogCallKindCount> Names = {"append", "read",
                                                                             "newest_page"};
    return Names[static_cast<size_t>(kind)];
}

void ResendPolicy::answered(LogCallKind kind, Duration took)
{
    KindState &it = state(kind);
    it.unansweredCalls = 0;
    const Duration usual = it.usualTime.value_or(took);
    it.usualTime = usual + (took - usual) / (took > usual ? SlowerDivisor : FasterDivisor);
}

void ResendPolicy::unanswered(LogCallKind kind)
{
    ++state(kind).unansweredCalls;
}

Duration ResendPolicy::suspectAfter(LogCallKind kind) const
{
    const KindState &it = state(kind);
    const Duration time = it.usualTime ? *it.usualTime * UsualTimeFactor : UnknownSuspectTime;
    const int doublings = std::min(it.unansweredCalls, MaxUnansweredDoublings);
    return std::clamp(time, minSuspectTime(kind), MaxSuspectTime) * (1 << doublings);
}

std::optional<Instant> ResendPolicy::nextCopyAt(const PendingCall &call) const
{
    if (call.copies >= MaxCopies)
        return std::nullopt;
    const int doublings = std::max(0, call.copies - 1);
    return std::max(call.lastSentAt, call.heldUntil) + suspectAfter(call.kind) * (1 << doublings);
}

std::optional<Instant> ResendPolicy::repeatLateCheck(Instant due, Instant now)
{
    return now - due > MaxCheckDelay ? std::optional(now + CheckRepeatDelay) : std::nullopt;
}

} // namespace cardamompaddle
