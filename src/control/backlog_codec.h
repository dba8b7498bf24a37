// Translates summaries of the backlog to and from their form in publications.
#pragma once

#include "admission/backlog_summary.h"
#include "work/gen/work_types.h"

namespace cardamompaddle {

work::Backlog encodeBacklog(const BacklogSummary &summary);
// `epoch` and `computedAt` are those of the publication.
BacklogSummary decodeBacklog(const work::Backlog &backlog, int64_t epoch, Instant computedAt);

} // namespace cardamompaddle
