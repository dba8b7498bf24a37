#include "control/deferred_reports.h"

#include <algorithm>

namespace cardamompaddle {

std::optional<std::string> DeferredReports::firstUnknownJob(const RunReport &report) const
{
    const auto isUnknown = [this](const auto &run) { return !m_isKnownJob(run.task.step.job); };
    if (const auto it = std::ranges::find_if(report.running, isUnknown); it != report.running.end())
        return it->task.step.job;
    if (const auto it = std::ranges::find_if(report.ended, isUnknown); it != report.ended.end())
        return it->task.step.job;
    return std::nullopt;
}

bool DeferredReports::mayJudge(const Incarnation &incarnation, const RunReport &report,
                               Instant tableAsOf) const
{
    return tableAsOf >= incarnation.fencedAt || !firstUnknownJob(report);
}

void DeferredReports::setDeferred(Incarnation &incarnation, std::optional<RunReport> report)
{
    m_deferredCount += report ? 1 : 0;
    m_deferredCount -= incarnation.deferred ? 1 : 0;
    incarnation.deferred = std::move(report);
}

bool DeferredReports::admit(const WorkerId &id, const RunReport &report, Instant tableAsOf,
                            Instant now)
{
    const auto [it, added] = m_incarnations.try_emplace(id);
    Incarnation &incarnation = it->second;
    if (added || incarnation.startedAtMs != report.startedAtMs) {
        incarnation.startedAtMs = report.startedAtMs;
        incarnation.fencedAt = now;
    }
    const bool judgeable = mayJudge(incarnation, report, tableAsOf);
    setDeferred(incarnation, judgeable ? std::nullopt : std::optional(report));
    return judgeable;
}

std::vector<std::pair<WorkerId, RunReport>> DeferredReports::takeJudgeable(Instant tableAsOf)
{
    std::vector<std::pair<WorkerId, RunReport>> out;
    if (empty())
        return out;
    for (auto &[id, incarnation] : m_incarnations) {
        if (!incarnation.deferred || !mayJudge(incarnation, *incarnation.deferred, tableAsOf))
            continue;
        out.emplace_back(id, *incarnation.deferred);
        setDeferred(incarnation, std::nullopt);
    }
    return out;
}

void DeferredReports::drop(const WorkerId &id)
{
    const auto it = m_incarnations.find(id);
    if (it == m_incarnations.end())
        return;
    setDeferred(it->second, std::nullopt);
    m_incarnations.erase(it);
}

bool DeferredReports::contains(const WorkerId &id) const
{
    const auto it = m_incarnations.find(id);
    return it != m_incarnations.end() && it->second.deferred.has_value();
}

} // namespace cardamompaddle
