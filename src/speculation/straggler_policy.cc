#include "speculation/straggler_policy.h"

#include <algorithm>
#include <cmath>

namespace cardamompaddle {

namespace {

// Whether a run that is behind has a slow worker or a long task is open until other runs on the
// worker tell; each of them halves the doubt.
constexpr double DoubtPerRun = 0.5;
// A run stands still once its next percent takes this many times as long as the ones before.
constexpr double StandstillPercent = 5;
// Probability that the worker is to blame for a run that stands still.
constexpr double StandstillFault = 0.9;
// Learned slowdowns also contain errors of estimates, so they count within these bounds only.
constexpr double MinSlowdownRatio = 0.5;
constexpr double MaxSlowdownRatio = 2;

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count());
}

} // namespace

CopyBudget::CopyBudget(int64_t poolCpuMilli, double maxShare)
    : m_maxCpuMilli(static_cast<int64_t>(static_cast<double>(poolCpuMilli) * maxShare))
{ }

std::optional<double> StragglerPolicy::expectedMs(const SiblingRuns &siblings,
                                                  double workerSlowdown) const
{
    const int32_t needed = std::min(m_options.minFinishedSiblings, siblings.others);
    if (siblings.meanMs <= 0 || needed <= 0 || siblings.finished < needed)
        return std::nullopt;
    return siblings.meanMs * std::clamp(workerSlowdown, MinSlowdownRatio, MaxSlowdownRatio);
}

double StragglerPolicy::overdueMs(const RunProgress &run) const
{
    return std::max(0.0, milliseconds(run.sincePercent) - milliseconds(m_options.reportInterval));
}

// Returns how long the run had taken when it reached its percentage.
double StragglerPolicy::measuredMs(const RunProgress &run)
{
    return milliseconds(run.ran - run.sinceReport - run.sincePercent);
}

// Returns whether the run has stopped to progress. A long task progresses slowly, but steadily.
bool StragglerPolicy::standsStill(const RunProgress &run) const
{
    const double percentMs = measuredMs(run) / std::max(1, run.percent);
    return overdueMs(run)
           > std::max(milliseconds(m_options.reportInterval), StandstillPercent * percentMs);
}

double StragglerPolicy::projectedMs(const RunProgress &run) const
{
    const double ran = milliseconds(run.ran);
    // A run that stands still is assumed to do so for as long again.
    const double overdue = 2 * overdueMs(run);
    if (run.percent <= 0)
        return std::max(ran, overdue);
    // Percent are rounded down.
    const double done = std::min(1.0, (run.percent + 1) / 100.0);
    return std::max(ran, measuredMs(run) / done + overdue);
}

std::optional<double> StragglerPolicy::behindRatio(const RunProgress &run) const
{
    const auto expected = expectedMs(run.siblings, run.workerSlowdown);
    if (!expected || run.ran < m_options.minRun)
        return std::nullopt;
    return projectedMs(run) / *expected;
}

bool StragglerPolicy::isBehind(const RunProgress &run) const
{
    const auto ratio = behindRatio(run);
    return ratio && *ratio >= m_options.minBehindRatio;
}

double StragglerPolicy::probabilityOfWorkerFault(const RunProgress &run, double behindRatio) const
{
    if (standsStill(run))
        return StandstillFault;
    const WorkerPace &pace = run.pace;
    const double doubt = std::pow(DoubtPerRun, pace.runs + 1);
    const bool othersAreBehind = pace.runs > 0 && 2 * pace.meanLogRatio >= std::log(behindRatio);
    return othersAreBehind ? 1 - doubt : doubt;
}

std::optional<CopyProspect> StragglerPolicy::judge(const RunProgress &run,
                                                   double copySlowdown) const
{
    const auto ratio = behindRatio(run);
    const auto normalMs = expectedMs(run.siblings, copySlowdown);
    if (!ratio || !normalMs || !isBehind(run))
        return std::nullopt;
    const double projected = projectedMs(run);
    const double startMs = milliseconds(m_options.startTime);
    const double fault = probabilityOfWorkerFault(run, *ratio);
    CopyProspect out;
    out.leftMs = projected - milliseconds(run.ran);
    // A task that is longer itself is so on each worker.
    const double longMs = *normalMs * *ratio;
    out.copyMs = startMs + fault * *normalMs + (1 - fault) * longMs;
    const double allowedMs = milliseconds(run.timeAllowed);
    out.saves = out.leftMs > allowedMs && startMs + *normalMs <= allowedMs;
    const bool inTimeAnyway = out.leftMs <= m_options.allowedShare * allowedMs;
    if (inTimeAnyway || out.leftMs < m_options.minGainFactor * out.copyMs
        || out.gainMs() < milliseconds(m_options.minGain))
        return std::nullopt;
    return out;
}

} // namespace cardamompaddle
