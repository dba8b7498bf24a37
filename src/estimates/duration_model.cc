#include "estimates/duration_model.h"

#include <algorithm>
#include <cmath>

namespace cardamompaddle {

namespace {

// Least recently used kinds beyond this number are forgotten.
constexpr size_t MaxKinds = 256;
// Bounds of the weight of past samples.
constexpr double MaxKindWeight = 200; // steps
constexpr double MaxSamples = 2'000; // runs
constexpr double MaxVarianceWeight = 100;
constexpr double FitWeight = 0.005; // of the latest sample
constexpr double AverageWorkerWeight = 0.002;

// What is assumed before the samples tell more: the standard deviation of the offset and of the
// slope of a kind's line, and the variances of steps and runs with the number of samples that they
// count as.
constexpr double PriorOffsetDeviation = 0.6;
constexpr double PriorSlopeDeviation = 0.5;
constexpr double PriorStepVariance = 0.36;
constexpr double PriorStepVarianceWeight = 5;
constexpr double PriorRunVariance = 0.04;
constexpr double PriorRunVarianceWeight = 20;
constexpr double MinVariance = 0.0025;
// Bounds of the slope beside the declared estimate's own: a longer declared estimate never shortens
// the expected run time.
constexpr double MinSlope = -1;
constexpr double MaxSlope = 0.5;

// Growth of a worker's variance with each of its runs, since its speed may change.
constexpr double WorkerVarianceGrowth = 0.0002;
// A sample farther from its expectation than this many standard deviations counts as that far, so
// that a few runs of many times the usual length have limited effect.
constexpr double MaxDeviations = 3;
// Weight of a run that goes on, compared with one that has finished.
constexpr double ProjectionWeight = 0.5;

double limitTo(double value, double centre, double variance)
{
    const double most = MaxDeviations * std::sqrt(variance);
    return std::clamp(value, centre - most, centre + most);
}

// Moves a mean to a sample, with the weight that the mean has by its samples so far.
void addSample(double &mean, double &weight, double sample, double maxWeight)
{
    weight = std::min(weight + 1, maxWeight);
    mean += (sample - mean) / weight;
}

} // namespace

// Returns the logarithm of run time / declared estimate that the kind's line gives: the weighted
// least squares of its steps, with the prior's offset and slope of 0 as further samples.
DurationModel::Belief DurationModel::lineAt(const KindTerm &kind, double logDeclared)
{
    const double offsetPrecision =
        kind.stepVariance / (PriorOffsetDeviation * PriorOffsetDeviation);
    const double slopePrecision = kind.stepVariance / (PriorSlopeDeviation * PriorSlopeDeviation);
    const double weight = kind.weight + offsetPrecision;
    const double uu = kind.uu + slopePrecision;
    const double determinant = weight * uu - kind.u * kind.u;
    const double slope =
        std::clamp((weight * kind.uy - kind.u * kind.y) / determinant, MinSlope, MaxSlope);
    const double offset = (kind.y - slope * kind.u) / weight;
    const double u = logDeclared - kind.reference;
    const double variance =
        kind.stepVariance * (uu - 2 * u * kind.u + u * u * weight) / determinant;
    return {offset + slope * u, variance};
}

// Returns the same for the step: its kind's line, corrected by the step's own samples.
DurationModel::Belief DurationModel::stepBelief(const KindTerm &kind, const StepTerm &step,
                                                double logDeclared)
{
    const Belief line = lineAt(kind, logDeclared);
    const double priorPrecision = 1 / (line.variance + kind.stepVariance);
    const double precision = priorPrecision + step.weight / kind.runVariance;
    const double mean = (line.mean * priorPrecision + step.sum / kind.runVariance) / precision;
    return {mean, 1 / precision};
}

// Updates the variances from the next sample of a step: the first one differs from the line by the
// step's term, further ones differ from the step's mean by their error.
void DurationModel::updateVariances(KindTerm &kind, const StepTerm &step, double y,
                                    double logDeclared)
{
    if (step.weight == 0) {
        const Belief line = lineAt(kind, logDeclared);
        const double square = (y - line.mean) * (y - line.mean);
        addSample(kind.stepVariance, kind.stepVarianceWeight,
                  square - line.variance - kind.runVariance, MaxVarianceWeight);
        kind.stepVariance = std::max(kind.stepVariance, MinVariance);
        return;
    }
    const double error = y - step.sum / step.weight;
    const double square = error * error * step.weight / (step.weight + 1);
    addSample(kind.runVariance, kind.runVarianceWeight, square, MaxVarianceWeight);
    kind.runVariance = std::max(kind.runVariance, MinVariance);
}

// Updates what the step counts for its kind. Runs of one step resemble each other, so that many of
// them together tell little more of the kind than one.
void DurationModel::addToKind(KindTerm &kind, StepTerm &step, double logDeclared)
{
    const double weight = step.weight / (step.weight + kind.runVariance / kind.stepVariance);
    const double sum = weight * step.sum / step.weight;
    const double moreWeight = std::max(0.0, weight - step.kindWeight);
    const double moreSum = sum - step.kindSum;
    step.kindWeight += moreWeight;
    step.kindSum = sum;
    const double u = logDeclared - kind.reference;
    kind.weight += moreWeight;
    kind.u += moreWeight * u;
    kind.uu += moreWeight * u * u;
    kind.y += moreSum;
    kind.uy += moreSum * u;
    if (kind.weight <= MaxKindWeight)
        return;
    const double factor = MaxKindWeight / kind.weight;
    for (double *it : {&kind.weight, &kind.u, &kind.uu, &kind.y, &kind.uy})
        *it *= factor;
}

const DurationModel::KindTerm *DurationModel::findKind(const WorkKind &kind) const
{
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? nullptr : &it->second;
}

DurationModel::KindTerm &DurationModel::kindFor(const WorkKind &kind, double logDeclared)
{
    if (const auto it = m_kinds.find(kind); it != m_kinds.end())
        return it->second;
    if (m_kinds.size() >= MaxKinds) {
        const auto oldest =
            std::min_element(m_kinds.begin(), m_kinds.end(), [](const auto &a, const auto &b) {
                return a.second.lastUsed < b.second.lastUsed;
            });
        m_kinds.erase(oldest);
    }
    KindTerm added;
    added.reference = logDeclared;
    added.stepVariance = PriorStepVariance;
    added.stepVarianceWeight = PriorStepVarianceWeight;
    added.runVariance = PriorRunVariance;
    added.runVarianceWeight = PriorRunVarianceWeight;
    const KindKey key{std::string(kind.route), std::string(kind.image)};
    return m_kinds.emplace(key, added).first->second;
}

void DurationModel::updateFit(double learnedError, double declaredError)
{
    ++m_fit.samples;
    m_fit.kinds = m_kinds.size();
    const double weight = std::max(FitWeight, 1 / static_cast<double>(m_fit.samples));
    const auto update = [weight](double &rms, double error) {
        rms = std::sqrt(rms * rms + weight * (error * error - rms * rms));
    };
    update(m_fit.learnedError, learnedError);
    update(m_fit.declaredError, declaredError);
}

void DurationModel::learn(const TaskProfile &task, double ranMs, StepTerm &step, WorkerTerm &worker)
{
    if (task.declaredMs <= 0 || ranMs <= 0)
        return;
    const double logDeclared = std::log(task.declaredMs);
    const double ratio = std::log(ranMs) - logDeclared;
    KindTerm &kind = kindFor(task.kind, logDeclared);
    const Belief before = stepBelief(kind, step, logDeclared);
    const double expected = before.mean + worker.mean;
    const double variance = before.variance + kind.runVariance + worker.variance;
    updateFit(ratio - expected, ratio);
    const double sample = limitTo(ratio, expected, variance);
    const double y = sample - worker.mean;
    updateVariances(kind, step, y, logDeclared);
    // The error is divided between step and worker by their uncertainty.
    const double gain = worker.variance / variance;
    worker.mean += gain * (sample - expected);
    worker.variance =
        std::min(worker.variance * (1 - gain) + WorkerVarianceGrowth, PriorWorkerVariance);
    ++worker.samples;
    const double averageWeight =
        std::max(AverageWorkerWeight, 1 / static_cast<double>(m_fit.samples));
    m_averageWorker += averageWeight * (worker.mean - m_averageWorker);
    step.sum += y;
    step.weight += 1;
    addToKind(kind, step, logDeclared);
    kind.samples = std::min(kind.samples + 1, MaxSamples);
    kind.lastUsed = m_fit.samples;
}

void DurationModel::learnProjection(const TaskProfile &task, double projectedMs, StepTerm &step,
                                    const WorkerTerm &worker)
{
    const KindTerm *kind = findKind(task.kind);
    if (kind == nullptr || task.declaredMs <= 0 || projectedMs <= 0)
        return;
    const double logDeclared = std::log(task.declaredMs);
    const Belief before = stepBelief(*kind, step, logDeclared);
    const double variance = before.variance + kind->runVariance + worker.variance;
    const double y = std::log(projectedMs) - logDeclared - worker.mean;
    step.sum += ProjectionWeight * limitTo(y, before.mean, variance);
    step.weight += ProjectionWeight;
}

RunTimeEstimate DurationModel::estimate(const TaskProfile &task, const StepTerm &step) const
{
    WorkerTerm average;
    average.variance = 0;
    return estimate(task, step, average);
}

RunTimeEstimate DurationModel::estimate(const TaskProfile &task, const StepTerm &step,
                                        const WorkerTerm &worker) const
{
    if (task.declaredMs <= 0)
        return {};
    const KindTerm *kind = findKind(task.kind);
    if (kind == nullptr)
        return {task.declaredMs, PriorStepVariance + PriorRunVariance + worker.variance, 0};
    const double logDeclared = std::log(task.declaredMs);
    const Belief belief = stepBelief(*kind, step, logDeclared);
    // As in logRelativeRunTime().
    const double workerMean = worker.samples == 0 ? m_averageWorker : worker.mean;
    return {std::exp(logDeclared + belief.mean + workerMean),
            belief.variance + kind->runVariance + worker.variance, kind->samples};
}

double DurationModel::relativeRunTime(const WorkerTerm &worker) const
{
    return std::exp(logRelativeRunTime(worker));
}

} // namespace cardamompaddle
