// What the stored record of a worker tells a later scheduler of the leases there.
//
// Records give the ends of leases as spans, since the clocks of instances differ. A span is counted
// from when an instance has read the record, so an instance that starts late, or a series of
// takeovers, would count it anew. The record therefore also tells the held time of the tenure at
// which the span has passed. Held time survives the processes and never runs ahead of real time,
// so both bounds hold, and the earlier one counts.
//
// No I/O; the present time is an argument.
#pragma once

#include "base/time.h"
#include "control/worker_lease.h"
#include "work/gen/work_types.h"

#include <cstdint>

namespace cardamompaddle {

// Returns the held time (ms) at which a span has passed that is left at `heldMs`; 0 for an empty
// span.
int64_t heldTimeAfter(int64_t heldMs, Duration span);
// Returns what a record tells that was read at `readAt`.
FormerLeases formerLeases(const work::UsedWorker &record, Instant readAt);
// Sets the ends of leases to earlier ones that follow from the record and the tenure's held time,
// which is `heldMs` or more at `now`.
void boundByHeldTime(FormerLeases &former, const work::UsedWorker &record, int64_t heldMs,
                     Instant now);

} // namespace cardamompaddle
