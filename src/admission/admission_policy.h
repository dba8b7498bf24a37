// Decides whether a job is refused because it certainly cannot be served while it has value.
//
// Pattern: load shedding by deadline. A job is refused only by what its own client account has
// waiting, at the rate that the account gets beside all others, so no account is refused for the
// sake of another one. In doubt, the job is admitted: without a recent summary of the present
// tenure nothing is refused.
//
// Performs no I/O and reads no clock.
#pragma once

#include "admission/backlog_summary.h"

#include <array>
#include <string_view>

namespace cardamompaddle {

// A job that a caller hands in.
struct AdmissionRequest
{
    std::string id;
    std::string pool;
    std::string account; // empty: submitted without a key
    int32_t priority = 0; // of its route; 0 is the most urgent
    Duration chain{0}; // estimated run time of its longest chain of steps
    Duration objective{0};
    bool exempt = false; // a gang, a long-running or a repeating job
};

enum class AdmissionReason : uint8_t {
    Disabled, // admission control is off, here or at another instance
    NoSummary, // nobody waits for long, or nothing is known
    Stale, // the summary is too old
    OtherTenure, // the summary is of another tenure than the present one
    Exempt,
    InValue, // it is served while it has value
    Worthless, // refused: it would have no value left
};
inline constexpr std::array<std::string_view, 7> AdmissionReasonNames = {
    "disabled", "no_summary", "stale", "other_tenure", "exempt", "in_value", "worthless"};

struct AdmissionDecision
{
    AdmissionReason reason = AdmissionReason::Disabled;
    Duration summaryAge{0};
    Duration expectedWait{0}; // before its first task starts
    Duration retryAfter{0}; // set if it is refused

    bool refused() const { return reason == AdmissionReason::Worthless; }
};

class AdmissionPolicy
{
public:
    static constexpr Duration MinRetryAfter{1'000};
    static constexpr Duration MaxRetryAfter{30'000};

    // An older summary decides nothing.
    explicit AdmissionPolicy(Duration maxStateAge) : m_maxStateAge(maxStateAge) { }

    // `summary` may be null. `presentEpoch` is that of the tenure by the newest record.
    AdmissionDecision decide(const AdmissionRequest &request, const BacklogSummary *summary,
                             int64_t presentEpoch, Instant now) const;

private:
    Duration m_maxStateAge;
};

} // namespace cardamompaddle
