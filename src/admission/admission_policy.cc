#include "admission/admission_policy.h"

#include "base/hash.h"

#include <algorithm>

namespace cardamompaddle {

namespace {

// A job has no value left after this multiple of its objective.
constexpr int WorthlessAfterObjectives = 3;
// Callers return spread over this part of the time, as a divisor.
constexpr int RetrySpreadDivisor = 4;

// Returns the time until the job would be in time, spread by its id.
Duration retryAfter(const AdmissionRequest &request, Duration wait)
{
    const Duration slack = std::max(Duration::zero(), request.objective - request.chain);
    const Duration drained = std::max(Duration::zero(), wait - slack);
    const auto spread = static_cast<uint64_t>((drained / RetrySpreadDivisor).count()) + 1;
    const Duration offset(static_cast<Duration::rep>(stableHash(request.id) % spread));
    return std::clamp(drained + offset, AdmissionPolicy::MinRetryAfter,
                      AdmissionPolicy::MaxRetryAfter);
}

} // namespace

AdmissionDecision AdmissionPolicy::decide(const AdmissionRequest &request,
                                          const BacklogSummary *summary, int64_t presentEpoch,
                                          Instant now) const
{
    AdmissionDecision out;
    out.reason = AdmissionReason::NoSummary;
    if (summary == nullptr)
        return out;
    out.summaryAge = now - summary->computedAt;
    if (summary->epoch != presentEpoch) {
        out.reason = AdmissionReason::OtherTenure;
        return out;
    }
    if (out.summaryAge >= m_maxStateAge) {
        out.reason = AdmissionReason::Stale;
        return out;
    }
    if (request.exempt) {
        out.reason = AdmissionReason::Exempt;
        return out;
    }
    out.reason = AdmissionReason::InValue;
    const AccountBacklog *backlog = summary->find(request.pool, request.account);
    if (backlog == nullptr)
        return out;
    // The backlog has drained since the summary was computed.
    out.expectedWait =
        std::max(Duration::zero(), backlog->waitAt(request.priority) - out.summaryAge);
    if (out.expectedWait + request.chain <= WorthlessAfterObjectives * request.objective)
        return out;
    // A job that would be worthless without any wait is not refused for load.
    if (request.chain > WorthlessAfterObjectives * request.objective)
        return out;
    out.reason = AdmissionReason::Worthless;
    out.retryAfter = retryAfter(request, out.expectedWait);
    return out;
}

} // namespace cardamompaddle
