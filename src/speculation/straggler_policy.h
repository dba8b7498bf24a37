// Decides whether a run that falls behind deserves a second run of its task (a copy).
//
// A run may be behind because of its worker, or because its task is longer than its siblings. Only
// in the first case does a copy on another worker help. The policy weighs both cases by the pace of
// the other runs on the worker. It performs no I/O and reads no clock.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cardamompaddle {

// What is known of the runs of a step that have succeeded. Their times are scaled to a worker of
// usual speed.
struct SiblingRuns
{
    int32_t finished = 0;
    int32_t others = 0; // tasks of the step besides the one that is judged
    double meanMs = 0; // 0 if none has finished
};

// How the other runs on a worker get on, of those that can be compared with finished siblings.
struct WorkerPace
{
    int32_t runs = 0;
    // Mean of the logarithms of projected by expected run time; above 0 if the runs are behind.
    double meanLogRatio = 0;
};

// A run that is judged.
struct RunProgress
{
    Duration ran{0}; // since its confirmed start
    Duration sinceReport{0}; // since the last report of its worker
    int32_t percent = 0; // as last reported
    Duration sincePercent{0}; // from the change of `percent` to the last report
    double workerSlowdown = 1; // of its worker, against a worker of usual speed
    SiblingRuns siblings;
    WorkerPace pace; // of the other runs on its worker
    Duration timeAllowed{0}; // until the run must end for its job to be in time; may be negative
};

// The expected effect of a copy.
struct CopyProspect
{
    double leftMs = 0; // expected time until the run ends without a copy
    double copyMs = 0; // expected time until a copy that starts now ends
    bool saves = false; // the job is late without the copy, and in time if the worker is to blame

    double gainMs() const { return leftMs - copyMs; }
};

struct StragglerOptions
{
    // Siblings that must have finished, of those that exist.
    int32_t minFinishedSiblings = 3;
    // A run is behind once its projected run time is this multiple of the expected one.
    double minBehindRatio = 1.8;
    // Progress is reported late and in whole percent, so short runs are not judged.
    Duration minRun{300};
    // The expected time left must exceed that of a copy by this factor and by this time.
    double minGainFactor = 1.25;
    Duration minGain{200};
    // From the decision to the start on the worker: a log append and a call.
    Duration startTime{120};
    // Progress is reported at intervals of this length.
    Duration reportInterval{300};
    // A run with at least this share of the allowed time left is given no copy.
    double allowedShare = 0.8;
};

// The share of a pool's processors that copies may use.
class CopyBudget
{
public:
    CopyBudget(int64_t poolCpuMilli, double maxShare);

    // Counts what a copy uses.
    void add(int64_t cpuMilli) { m_usedCpuMilli += cpuMilli; }
    bool fits(int64_t cpuMilli) const { return m_usedCpuMilli + cpuMilli <= m_maxCpuMilli; }

private:
    int64_t m_maxCpuMilli;
    int64_t m_usedCpuMilli = 0;
};

class StragglerPolicy
{
public:
    explicit StragglerPolicy(StragglerOptions options = {}) : m_options(options) { }

    // Returns the run time to expect on the run's worker by its finished siblings, or nullopt if
    // too few of them have finished.
    std::optional<double> expectedMs(const SiblingRuns &siblings, double workerSlowdown) const;
    // Returns the run time that the run's progress points to.
    double projectedMs(const RunProgress &run) const;
    // Returns the projected by the expected run time, or nullopt if it can't be told yet.
    std::optional<double> behindRatio(const RunProgress &run) const;
    // Returns whether the run is so far behind that it may deserve a copy.
    bool isBehind(const RunProgress &run) const;
    // Returns the probability that a run that is behind by this ratio is so because of its worker.
    double probabilityOfWorkerFault(const RunProgress &run, double behindRatio) const;
    // Returns what a copy on a worker with this slowdown promises, or nullopt if the run deserves
    // none.
    std::optional<CopyProspect> judge(const RunProgress &run, double copySlowdown = 1) const;

private:
    // Returns for how long progress has been overdue.
    double overdueMs(const RunProgress &run) const;
    static double measuredMs(const RunProgress &run);
    bool standsStill(const RunProgress &run) const;

    StragglerOptions m_options;
};

} // namespace cardamompaddle
