// Learns how long tasks run, so that estimates do not depend on the callers' alone.
//
// The logarithm of a run time is the sum of four terms: of the kind of work (a line in the
// logarithm of the declared estimate), of the step, of the worker, and an error. Terms with few
// samples shrink to nothing: a worker to the average one, a step to its kind, and a kind to the
// declared estimate. Each term follows changes, because the weight of its past samples is bounded.
//
// A DurationModel performs no I/O and reads no clock. Equal sequences of calls give equal
// estimates. Its memory is bounded; terms of steps and workers are held by the caller. Not
// thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamompaddle {

// Tasks of one kind are assumed to be alike.
struct WorkKind
{
    std::string_view route;
    std::string_view image; // may be empty
};

// What is known of a task before it runs.
struct TaskProfile
{
    WorkKind kind;
    double declaredMs = 0; // the caller's estimate; 0: unknown, so nothing is learned or estimated
};

// What the runs of one step tell about its other tasks.
struct StepTerm
{
    double weight = 0; // of the samples
    double sum = 0; // of the logarithms of run time / declared estimate, without workers' terms
    // The part of the samples that counts for the kind.
    double kindWeight = 0;
    double kindSum = 0;
};

// Variance of workers' terms before any sample.
inline constexpr double PriorWorkerVariance = 0.09;

// How long tasks run on one worker, compared with others. A new one belongs to a worker of unknown
// speed.
struct WorkerTerm
{
    double mean = 0; // logarithm of the factor
    double variance = PriorWorkerVariance;
    int64_t samples = 0;
};

struct RunTimeEstimate
{
    double medianMs = 0; // 0: unknown
    double logVariance = 0; // of the logarithm of a run's time
    double samples = 0; // finished runs of the kind, those long ago left out
};

// How well the model fits, over the latest samples.
struct ModelFit
{
    int64_t samples = 0; // all that were learned
    size_t kinds = 0;
    // Root mean square of the logarithm of run time / expectation at the start of the run, and the
    // same for the declared estimate.
    double learnedError = 0;
    double declaredError = 0;
};

class DurationModel
{
public:
    // Learns from a run that has succeeded and that had the worker's full speed from its beginning
    // to its end.
    void learn(const TaskProfile &task, double ranMs, StepTerm &step, WorkerTerm &worker);
    // Learns for the step alone from a run that goes on and whose progress suggests this run time.
    void learnProjection(const TaskProfile &task, double projectedMs, StepTerm &step,
                         const WorkerTerm &worker);

    // Returns the run time on a worker of average speed.
    RunTimeEstimate estimate(const TaskProfile &task, const StepTerm &step) const;
    // Returns the run time on this worker.
    RunTimeEstimate estimate(const TaskProfile &task, const StepTerm &step,
                             const WorkerTerm &worker) const;
    // Returns by which factor runs take longer on the worker than on an average one; below 1: it is
    // fast.
    double relativeRunTime(const WorkerTerm &worker) const;
    // Returns its logarithm.
    double logRelativeRunTime(const WorkerTerm &worker) const
    {
        // A worker without samples counts as average, whatever the average is.
        return worker.samples == 0 ? 0 : worker.mean - m_averageWorker;
    }

    ModelFit fit() const { return m_fit; }

private:
    // Sums over the steps of a kind, in which each step has a weight of at most 1. `u` is the
    // logarithm of the declared estimate less `reference`, `y` that of run time / declared
    // estimate.
    struct KindTerm
    {
        double reference = 0;
        double weight = 0;
        double u = 0;
        double uu = 0;
        double y = 0;
        double uy = 0;
        double samples = 0; // runs, of bounded weight
        // Between steps of the kind after the line, and between the runs of a step, with the
        // weights of their samples.
        double stepVariance = 0;
        double stepVarianceWeight = 0;
        double runVariance = 0;
        double runVarianceWeight = 0;
        int64_t lastUsed = 0; // number of its latest sample
    };
    struct KindKey
    {
        std::string route;
        std::string image;
    };
    struct CompareKinds
    {
        using is_transparent = void;
        template <typename A, typename B>
        bool operator()(const A &a, const B &b) const
        {
            const int order = std::string_view(a.route).compare(std::string_view(b.route));
            return order != 0 ? order < 0 : std::string_view(a.image) < std::string_view(b.image);
        }
    };
    // A normally distributed value.
    struct Belief
    {
        double mean = 0;
        double variance = 0;
    };

    static Belief lineAt(const KindTerm &kind, double logDeclared);
    static Belief stepBelief(const KindTerm &kind, const StepTerm &step, double logDeclared);
    static void updateVariances(KindTerm &kind, const StepTerm &step, double y, double logDeclared);
    static void addToKind(KindTerm &kind, StepTerm &step, double logDeclared);
    const KindTerm *findKind(const WorkKind &kind) const;
    KindTerm &kindFor(const WorkKind &kind, double logDeclared);
    void updateFit(double learnedError, double declaredError);

    std::map<KindKey, KindTerm, CompareKinds> m_kinds;
    double m_averageWorker = 0; // mean of workers' terms over the latest runs
    ModelFit m_fit;
};

} // namespace cardamompaddle
