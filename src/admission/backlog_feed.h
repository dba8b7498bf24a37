// Decides which summaries of the backlog the scheduler publishes: none while nobody waits for long,
// and an empty one when that has come to an end, so that it is known at once everywhere.
#pragma once

#include "admission/backlog_summary.h"

#include <optional>

namespace cardamompaddle {

class BacklogFeed
{
public:
    // Whether a summary may be published now. Compute one only then.
    bool isDue(Instant now) const;
    // Returns what to publish of a summary that was computed now; none if nothing is.
    std::optional<BacklogSummary> next(BacklogSummary summary);

private:
    Instant m_computedAt = Instant::min(); // of the last summary
    bool m_published = false; // the last summary that was published is not empty
};

} // namespace cardamompaddle
