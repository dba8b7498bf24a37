#include "control/former_leases.h"

#include <algorithm>

namespace cardamompaddle {

namespace {

// A span of 0 stands for leases that do not exist or may be extended at any time.
Instant endOfSpan(int64_t spanMs, Instant readAt)
{
    return spanMs > 0 ? readAt + Duration(spanMs) : Instant::min();
}

void boundEnd(Instant &end, int64_t endHeldMs, int64_t heldMs, Instant now)
{
    if (end != Instant::min() && endHeldMs > 0)
        end = std::min(end, now + Duration(std::max<int64_t>(0, endHeldMs - heldMs)));
}

} // namespace

int64_t heldTimeAfter(int64_t heldMs, Duration span)
{
    return span > Duration::zero() ? heldMs + span.count() : 0;
}

FormerLeases formerLeases(const work::UsedWorker &record, Instant readAt)
{
    FormerLeases out;
    out.used = true;
    out.startedAtMs = record.startedAtMs;
    out.expiry = endOfSpan(record.leasesExpireWithinMs, readAt);
    out.staleExpiry = endOfSpan(record.staleLeasesExpireWithinMs, readAt);
    out.unansweredExpiry = endOfSpan(record.unansweredStartsExpireWithinMs, readAt);
    return out;
}

void boundByHeldTime(FormerLeases &former, const work::UsedWorker &record, int64_t heldMs,
                     Instant now)
{
    boundEnd(former.expiry, record.leasesExpireAtHeldMs, heldMs, now);
    boundEnd(former.staleExpiry, record.staleLeasesExpireAtHeldMs, heldMs, now);
    boundEnd(former.unansweredExpiry, record.unansweredStartsExpireAtHeldMs, heldMs, now);
}

} // namespace cardamompaddle
