// Expected run times, by the callers' estimates alone or corrected by what runs have taken.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Smoothing factor of a worker's slowdown: the weight of the latest run.
constexpr double SlowdownWeight = 0.1;
// Bounds of one run's ratio of run time to estimate, so that a wrong estimate has limited effect.
constexpr double MinSlowdownSample = 0.25;
constexpr double MaxSlowdownSample = 6;

// The progress of a run is taken into account once it suggests that the run takes this many times
// the expected time, and has reached this percentage.
constexpr double LongRunRatio = 1.5;
constexpr int32_t MinPercentToProject = 20;

// Slack as a multiple of the remaining chain: with little or less, a step prefers fast workers,
// with much it prefers slow ones. The most urgent work gives up fast workers only with more slack.
// A step with less than the least can hardly be in time on any worker.
struct SlackRange
{
    double little;
    double much;
};
constexpr SlackRange MostUrgentSlack{1.2, 2.0};
constexpr SlackRange OtherSlack{0.8, 1.2};
constexpr double LeastSlack = -0.4;
constexpr int32_t MostUrgentPriority = 0;
constexpr double FastPreference = 1;
constexpr double SlowPreference = -0.5;
// Of a step whose team uses half of its limit or more: on slow workers its tasks would use the
// limit for longer.
constexpr double LimitedPreference = 0.5;
// Bounds of the logarithm of a worker's relative run time that count in a placement score. No step
// prefers a worker at the upper bound.
constexpr double MinLogRunTime = -0.7;
constexpr double MaxLogRunTime = 0.7;
// A worker with a smaller logarithm in size is neither fast nor slow.
constexpr double MinLogRunTimeOfClass = 0.1;

// Steps whose expected times are renewed in each pass, so that a pass stays short however many jobs
// are open. A job is renewed as a whole.
constexpr size_t StepsRefreshedPerPass = 16;
constexpr Duration ModelReportInterval{10'000};

} // namespace

const Dispatcher::Impl::EstimateFunctions &
Dispatcher::Impl::estimateFunctions(EstimateStrategy strategy)
{
    static constexpr std::array<EstimateFunctions, EstimateStrategyNames.size()> Functions = {{
        {&Impl::learnDeclaredRun, &Impl::learnNoProgress, &Impl::declaredTaskMs,
         &Impl::declaredAttemptMs, &Impl::declaredHealthyMs, &Impl::noSpeedPreference,
         &Impl::declaredPlacementFactor, &Impl::oneSpeedClass, &Impl::refreshNothing},
        {&Impl::learnModelRun, &Impl::learnModelProgress, &Impl::modelTaskMs, &Impl::modelAttemptMs,
         &Impl::modelAttemptMs, &Impl::modelSpeedPreference, &Impl::modelPlacementFactor,
         &Impl::modelSpeedClass, &Impl::refreshFromModel},
    }};
    return Functions[static_cast<size_t>(strategy)];
}

// EstimateStrategy::Declared

void Dispatcher::Impl::learnDeclaredRun(Attempt &attempt, double ranMs)
{
    const double ratio = std::clamp(ranMs / static_cast<double>(attempt.step->spec->estimatedMs),
                                    MinSlowdownSample, MaxSlowdownSample);
    attempt.worker->slowdown += SlowdownWeight * (ratio - attempt.worker->slowdown);
}

void Dispatcher::Impl::learnNoProgress(Attempt & /*attempt*/, Instant /*now*/) { }

int64_t Dispatcher::Impl::declaredTaskMs(const Step &step) const
{
    return step.spec->estimatedMs;
}

double Dispatcher::Impl::declaredAttemptMs(const Attempt &attempt) const
{
    return static_cast<double>(attempt.step->spec->estimatedMs);
}

// The tasks of a step are assumed to take about equally long.
double Dispatcher::Impl::declaredHealthyMs(const Attempt &attempt) const
{
    const Step &step = *attempt.step;
    return static_cast<double>(step.longestRunMs > 0 ? step.longestRunMs : step.spec->estimatedMs);
}

double Dispatcher::Impl::noSpeedPreference(const Step & /*step*/, const WorkRoute & /*route*/,
                                           int64_t /*unixMs*/) const
{
    return 0;
}

double Dispatcher::Impl::declaredPlacementFactor(const Worker &worker, const Step & /*step*/) const
{
    return worker.slowdown;
}

int Dispatcher::Impl::oneSpeedClass(const Worker & /*worker*/, const Step & /*step*/) const
{
    return 0;
}

void Dispatcher::Impl::refreshNothing(Instant /*now*/) { }

// EstimateStrategy::Learned

TaskProfile Dispatcher::Impl::profileOf(const Step &step)
{
    return {{step.job->spec->route, step.spec->image}, static_cast<double>(step.spec->estimatedMs)};
}

// Returns by which factor the run takes longer because it is off its preferred rack.
double Dispatcher::Impl::runTimeOffRack(const Attempt &attempt) const
{
    const std::string &rack = attempt.step->spec->preferredRack;
    return rack.empty() || attempt.worker->entry.labels.contains(rack) ? 1
                                                                       : m_options.offRackFactor;
}

// Returns whether the time since the start of the attempt's run tells how long its task takes.
bool Dispatcher::Impl::showsRunTime(const Attempt &attempt)
{
    const work::StepSpec &spec = *attempt.step->spec;
    const Worker &worker = *attempt.worker;
    // The ends of runs are listed late by a worker that did not answer or has too many of them.
    return attempt.startAnswered && !attempt.resumed && !spec.usesIdleCpu && !spec.longRunning
           && worker.reachable && !worker.moreEnded;
}

void Dispatcher::Impl::learnModelRun(Attempt &attempt, double ranMs)
{
    if (!showsRunTime(attempt))
        return;
    m_durationModel.learn(profileOf(*attempt.step), ranMs / runTimeOffRack(attempt),
                          attempt.step->runTimes, attempt.worker->runTimes);
}

void Dispatcher::Impl::learnModelProgress(Attempt &attempt, Instant now)
{
    Step &step = *attempt.step;
    if (attempt.projected || attempt.percent < MinPercentToProject || !showsRunTime(attempt))
        return;
    const auto ran = static_cast<double>((now - attempt.orderedAt).count());
    const double projectedMs = ran * 100 / attempt.percent;
    if (projectedMs < LongRunRatio * static_cast<double>(step.expectedMs))
        return;
    attempt.projected = true;
    m_durationModel.learnProjection(profileOf(step), projectedMs / runTimeOffRack(attempt),
                                    step.runTimes, attempt.worker->runTimes);
}

int64_t Dispatcher::Impl::modelTaskMs(const Step &step) const
{
    if (step.spec->longRunning)
        return step.spec->estimatedMs;
    return std::llround(m_durationModel.estimate(profileOf(step), step.runTimes).medianMs);
}

double Dispatcher::Impl::modelAttemptMs(const Attempt &attempt) const
{
    // A worker whose runs take far longer than those of others is not taken for healthy.
    const double logRunTime = std::clamp(
        m_durationModel.logRelativeRunTime(attempt.worker->runTimes), MinLogRunTime, MaxLogRunTime);
    const double factor = std::exp(logRunTime);
    return static_cast<double>(attempt.step->expectedMs) * factor * runTimeOffRack(attempt);
}

// Returns how much the step gains from a fast worker: above 0 if it has little slack for the time
// that it still needs, below 0 if it has much, so that it leaves fast workers to others.
double Dispatcher::Impl::modelSpeedPreference(const Step &step, const WorkRoute &route,
                                              int64_t unixMs) const
{
    // Speed is of no use to work that lasts anyway or takes what others leave.
    if (step.spec->longRunning || step.spec->usesIdleCpu)
        return SlowPreference;
    if (step.remainingChainMs <= 0)
        return 0;
    const int64_t slack = slackMs(step, route, unixMs);
    if (urgencyClass(step, route, slack, unixMs) == UrgencyClass::Expired)
        return SlowPreference;
    const double ratio = static_cast<double>(slack) / static_cast<double>(step.remainingChainMs);
    if (ratio < LeastSlack)
        return 0;
    const SlackRange &range = route.priority <= MostUrgentPriority ? MostUrgentSlack : OtherSlack;
    const double position =
        std::clamp((ratio - range.little) / (range.much - range.little), 0.0, 1.0);
    const double least = usesHalfOfLimit(*step.job) ? LimitedPreference : SlowPreference;
    return FastPreference + position * (least - FastPreference);
}

double Dispatcher::Impl::modelPlacementFactor(const Worker &worker, const Step &step) const
{
    const double logRunTime = std::clamp(m_durationModel.logRelativeRunTime(worker.runTimes),
                                         MinLogRunTime, MaxLogRunTime);
    const double preference = logRunTime >= MaxLogRunTime ? FastPreference : step.speedPreference;
    return 1 + preference * logRunTime;
}

int Dispatcher::Impl::modelSpeedClass(const Worker &worker, const Step &step) const
{
    const double logRunTime = m_durationModel.logRelativeRunTime(worker.runTimes);
    if (std::abs(logRunTime) < MinLogRunTimeOfClass || step.speedPreference == 0)
        return 0;
    return (logRunTime < 0) == (step.speedPreference > 0) ? -1 : 1;
}

void Dispatcher::Impl::refreshFromModel(Instant now)
{
    reportModel(now);
    size_t refreshed = 0;
    auto it = m_jobs.upper_bound(m_lastRefreshedJob);
    for (size_t visited = 0; visited < m_jobs.size() && refreshed < StepsRefreshedPerPass;
         ++visited) {
        if (it == m_jobs.end())
            it = m_jobs.begin();
        Job &job = *it->second;
        ++refreshed;
        if (!job.isTerminal()) {
            computeRemainingChains(job);
            refreshed += job.steps.size() - 1;
        }
        m_lastRefreshedJob = it->first;
        ++it;
    }
}

void Dispatcher::Impl::reportModel(Instant now)
{
    const ModelFit fit = m_durationModel.fit();
    if (fit.samples == m_reportedSamples
        || (m_modelReportedAt != Instant::min() && now - m_modelReportedAt < ModelReportInterval))
        return;
    m_modelReportedAt = now;
    m_reportedSamples = fit.samples;
    emitEvent("run_time_model", "",
              "samples=" + std::to_string(fit.samples) + " kinds=" + std::to_string(fit.kinds)
                  + " learned_error=" + std::to_string(fit.learnedError)
                  + " declared_error=" + std::to_string(fit.declaredError));
}

} // namespace cardamompaddle
