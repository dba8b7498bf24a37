#include "admission/backlog_feed.h"

#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration PublishInterval{150};
// While no account's expected wait is longer, nothing is published.
constexpr Duration CalmWait{1'000};

} // namespace

bool BacklogFeed::isDue(Instant now) const
{
    return m_computedAt == Instant::min() || now - m_computedAt >= PublishInterval;
}

std::optional<BacklogSummary> BacklogFeed::next(BacklogSummary summary)
{
    m_computedAt = summary.computedAt;
    const bool contended = summary.longestWait() > CalmWait;
    if (!contended && !std::exchange(m_published, false))
        return std::nullopt;
    m_published = contended;
    if (!contended)
        summary.accounts.clear();
    return summary;
}

} // namespace cardamompaddle
