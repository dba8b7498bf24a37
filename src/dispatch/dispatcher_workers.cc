// Workers: registry entries, run reports and health checks.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A worker gets no starts for a while once this many runs in a row, of at least this many jobs,
// have failed on it. Failures of a single job may be that job's own fault.
constexpr int32_t MinFailuresToAvoid = 4;
constexpr size_t MinFailedJobsToAvoid = 2;
constexpr Duration BaseAvoidanceTime{2'000}; // doubles up to MaxAvoidanceDoublings times
constexpr int32_t MaxAvoidanceDoublings = 2;
// A run that reports no progress for this long is stopped and started again elsewhere.
constexpr Duration StallTimeout{2'500};
// A worker is slow if its runs together take this many times their expected run time. It then gets
// starts only if no other worker fits, and each of its runs that exceeds the ratio itself is moved
// if it can resume from a checkpoint.
constexpr double SlowRatio = 3;
constexpr size_t MinJobsToDetectSlowWorker = 2;
constexpr Duration SlowWorkerDuration{4'000};
// Progress is reported in whole percent and estimates are rough. The speed of a run is therefore
// judged only after enough progress should have been made, and later if no task of the same step
// has finished that the run could be compared with.
constexpr double MinExpectedProgress = 0.15;
constexpr Duration MinMeasuredTime{300};
constexpr Duration MinMeasuredTimeAlone{1'000};
constexpr int64_t MinMoveGainMs = 1'500; // time that moving a run must save
// A run that has progressed this far may finish on a draining worker.
constexpr int32_t NearlyDonePercent = 70;
// Idle-CPU tasks are throttled while the latency of a task on the same worker, as a share of its
// target, is at or above the upper bound, and are sped up again below the lower bound.
constexpr double ThrottleDownThreshold = 0.8;
constexpr double ThrottleUpThreshold = 0.55;
constexpr int32_t ThrottleStepPercent = 25;
constexpr Duration ThrottleInterval{500};

} // namespace

void Dispatcher::Impl::setWorker(const WorkerEntry &entry)
{
    auto &slot = m_workers[entry.id];
    if (!slot)
        slot = std::make_unique<Worker>();
    Worker &worker = *slot;
    const bool startsDraining = entry.draining && !(worker.listed && worker.entry.draining);
    if (!worker.listed)
        m_total += entry.capacity;
    else
        m_total += entry.capacity - worker.entry.capacity;
    worker.listed = true;
    worker.entry = entry;
    worker.drained = worker.drained || entry.draining;
    if (startsDraining) {
        emitEvent("worker_draining", "", "worker=" + entry.id);
        releaseDraining(worker);
    }
}

void Dispatcher::Impl::releaseDraining(Worker &worker)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        const work::StepSpec &spec = *attempt->step->spec;
        const bool mustMove =
            spec.longRunning
            || (spec.checkpointing && !spec.gang && attempt->percent < NearlyDonePercent);
        if (mustMove)
            requestStop(*attempt);
    }
}

void Dispatcher::Impl::removeWorker(const WorkerId &id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second->listed)
        return;
    it->second->listed = false;
    m_total -= it->second->entry.capacity;
    emitEvent("worker_left", "",
              "worker=" + id + " runs=" + std::to_string(it->second->attempts.size()));
    if (it->second->isDispensable())
        eraseWorker(id);
}

void Dispatcher::Impl::eraseWorker(const WorkerId &id)
{
    releaseOrphanedUse(*m_workers.at(id));
    forgetApprovals(id);
    m_workers.erase(id);
}

void Dispatcher::Impl::workerLost(const WorkerId &id, const std::set<RunRef> &mayBeActive)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    recordNewRuns(*it->second);
    requeueRuns(*it->second, mayBeActive, "lease_lapsed");
    releaseOrphanedUse(*it->second);
    it->second->reported = false;
    it->second->reachable = false;
    if (!it->second->listed && it->second->attempts.empty())
        eraseWorker(id);
}

void Dispatcher::Impl::updateFailureStreak(Worker &worker, RunOutcome outcome,
                                           const std::string &job, Instant now)
{
    if (outcome == RunOutcome::Succeeded) {
        worker.failuresInRow = 0;
        worker.failedJobs.clear();
        worker.avoidanceCount = 0;
    } else if (outcome == RunOutcome::Failed) {
        ++worker.failuresInRow;
        worker.failedJobs.insert(job);
        if (worker.failuresInRow >= MinFailuresToAvoid
            && worker.failedJobs.size() >= MinFailedJobsToAvoid)
            avoidWorker(worker, now, "failures");
    }
}

void Dispatcher::Impl::avoidWorker(Worker &worker, Instant now, std::string_view why)
{
    if (worker.avoidUntil > now)
        return;
    const int32_t doublings = std::min(worker.avoidanceCount, MaxAvoidanceDoublings);
    worker.avoidUntil = now + BaseAvoidanceTime * (1 << doublings);
    ++worker.avoidanceCount;
    emitEvent("worker_avoided", "",
              "worker=" + worker.entry.id + " reason=" + std::string(why)
                  + " for_ms=" + std::to_string((worker.avoidUntil - now).count()));
}

void Dispatcher::Impl::workerReported(const WorkerId &id, const RunReport &report, Instant now)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    Worker &worker = *it->second;
    settleLostRuns(worker, report.startedAtMs, now);
    worker.lastAnswerAt = now;
    // Also a worker that was lost may come back restarted.
    if (worker.incarnationStartedAtMs.value_or(report.startedAtMs) != report.startedAtMs) {
        emitEvent("worker_restarted", "",
                  "worker=" + id + " started_at_ms=" + std::to_string(report.startedAtMs)
                      + " former=" + std::to_string(*worker.incarnationStartedAtMs));
        requeueRuns(worker, {}, "worker_restarted");
        worker.endPosition = 0;
        worker.heldEnds.clear();
        worker.slowdown = 1;
        worker.runTimes = {};
        worker.restartedAt = now;
        forgetApprovals(id);
    }
    if (!worker.incarnationStartedAtMs)
        worker.knownSince = now;
    worker.incarnationStartedAtMs = report.startedAtMs;
    if (!worker.reported)
        emitEvent("worker_joined", "",
                  "worker=" + id + " zone=" + worker.entry.availabilityZone
                      + " runs=" + std::to_string(report.running.size()));
    worker.reported = true;
    worker.hasOrphanedRuns = false;
    releaseOrphanedUse(worker);
    for (const EndedRun &end : report.ended) {
        if (end.position > worker.endPosition) {
            handleFinishedRun(worker, end, now);
            holdEnd(worker, end);
        }
        worker.endPosition = std::max(worker.endPosition, end.position);
    }
    AttemptSet seen;
    for (const ActiveRun &run : report.running) {
        if (Attempt *attempt = reconcileActiveRun(worker, run, report.requestedAt, now))
            seen.insert(attempt);
    }
    if (std::exchange(worker.moreEnded, report.moreEnded) != report.moreEnded)
        emitEvent(report.moreEnded ? "worker_ends_unlisted" : "worker_ends_listed", "",
                  "worker=" + id + " listed=" + std::to_string(report.ended.size())
                      + " position=" + std::to_string(worker.endPosition));
    if (report.moreEnded)
        keepUnlistedRuns(worker, seen, now);
    else
        requeueMissingRuns(worker, seen, report.requestedAt);
    stopStalledRuns(worker, now);
    detectSlowWorker(worker, now);
    throttleIdleCpuTasks(worker, now);
    if (worker.isDispensable())
        eraseWorker(id);
}

void Dispatcher::Impl::stopStalledRuns(Worker &worker, Instant now)
{
    int stalled = 0;
    for (Attempt *attempt : worker.attempts) {
        if (attempt->phase != AttemptPhase::Running || attempt->step->spec->longRunning
            || attempt->step->spec->gang || attempt->speedPercent < 100
            || now - attempt->lastProgressAt < StallTimeout)
            continue;
        ++stalled;
        emitEvent("run_stalled", attempt->step->job->spec->id,
                  "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run)
                      + " percent=" + std::to_string(attempt->percent));
        requestStop(*attempt);
    }
    if (stalled > 0)
        avoidWorker(worker, now, "stalled_runs");
}

// Returns the run time that is expected on a healthy worker, or 0 if too little is known yet.
int64_t Dispatcher::Impl::expectedRunMs(const Attempt &attempt, Instant now) const
{
    const Step &step = *attempt.step;
    if (attempt.phase != AttemptPhase::Running || !attempt.firstProgressAt
        || attempt.speedPercent < 100 || step.spec->longRunning || step.spec->gang
        || step.spec->usesIdleCpu)
        return 0;
    const bool hasFinishedSibling = step.longestRunMs > 0;
    const auto expected = static_cast<int64_t>((this->*m_estimates.healthyMs)(attempt));
    const Duration measured = now - *attempt.firstProgressAt;
    const bool enough = measured >= (hasFinishedSibling ? MinMeasuredTime : MinMeasuredTimeAlone)
                        && static_cast<double>(measured.count())
                               >= MinExpectedProgress * static_cast<double>(expected);
    return enough ? expected : 0;
}

// Detects a slow worker by the progress of its runs. Requires runs of several jobs, because the
// tasks of a single job may just take longer than its estimate or its finished tasks suggest.
void Dispatcher::Impl::detectSlowWorker(Worker &worker, Instant now)
{
    struct Speed
    {
        Attempt *attempt;
        double projectedMs;
        double expectedMs;
    };
    std::vector<Speed> speeds;
    std::set<const Job *> jobs;
    double totalProjectedMs = 0;
    double totalExpectedMs = 0;
    for (Attempt *attempt : worker.attempts) {
        const auto expectedMs = static_cast<double>(expectedRunMs(*attempt, now));
        if (expectedMs <= 0)
            continue;
        const auto measured = static_cast<double>((now - *attempt->firstProgressAt).count());
        const double done = std::max(1, attempt->percent - attempt->firstProgressPercent) / 100.0;
        const double projectedMs = measured / done;
        speeds.push_back({attempt, projectedMs, expectedMs});
        jobs.insert(attempt->step->job);
        totalProjectedMs += projectedMs;
        totalExpectedMs += expectedMs;
    }
    if (jobs.size() < MinJobsToDetectSlowWorker || totalProjectedMs < SlowRatio * totalExpectedMs)
        return;
    if (worker.slowUntil <= now)
        emitEvent("worker_slow", "",
                  "worker=" + worker.entry.id
                      + " projected_ms=" + std::to_string(static_cast<int64_t>(totalProjectedMs))
                      + " expected_ms=" + std::to_string(static_cast<int64_t>(totalExpectedMs)));
    worker.slowUntil = now + SlowWorkerDuration;
    for (const Speed &it : speeds) {
        const double left = (100 - it.attempt->percent) / 100.0;
        if (!it.attempt->step->spec->checkpointing || it.projectedMs < SlowRatio * it.expectedMs
            || left * (it.projectedMs - it.expectedMs) < static_cast<double>(MinMoveGainMs))
            continue;
        emitEvent("run_slow", it.attempt->step->job->spec->id,
                  "task=" + taskRefOf(*it.attempt).toString()
                      + " run=" + std::to_string(it.attempt->run) + " worker=" + worker.entry.id
                      + " percent=" + std::to_string(it.attempt->percent)
                      + " projected_ms=" + std::to_string(static_cast<int64_t>(it.projectedMs))
                      + " expected_ms=" + std::to_string(static_cast<int64_t>(it.expectedMs)));
        requestStop(*it.attempt);
    }
}

void Dispatcher::Impl::throttleIdleCpuTasks(Worker &worker, Instant now)
{
    if (worker.servingTasks == 0 && worker.idleCpuTasks == 0)
        return;
    double worstLatencyRatio = 0; // latency as a multiple of its target
    for (const Attempt *attempt : worker.attempts) {
        const int64_t target = attempt->step->spec->latencyObjectiveMs;
        if (target > 0)
            worstLatencyRatio = std::max(worstLatencyRatio, static_cast<double>(attempt->loadMetric)
                                                                / static_cast<double>(target));
    }
    const bool throttledRecently =
        worker.throttledAt && now - *worker.throttledAt < ThrottleInterval;
    if (throttledRecently
        || (worstLatencyRatio < ThrottleDownThreshold && worstLatencyRatio >= ThrottleUpThreshold))
        return;
    for (Attempt *attempt : worker.attempts) {
        if (!attempt->step->spec->usesIdleCpu || attempt->phase != AttemptPhase::Running)
            continue;
        const int32_t speedPercent =
            worstLatencyRatio >= 1 ? 0
            : worstLatencyRatio >= ThrottleDownThreshold
                ? std::max(0, attempt->speedPercent - 2 * ThrottleStepPercent)
                : std::min(100, attempt->speedPercent + ThrottleStepPercent);
        if (speedPercent == attempt->speedPercent)
            continue;
        attempt->speedPercent = speedPercent;
        attempt->lastProgressAt = now;
        worker.throttledAt = now;
        m_throttles.push_back({worker.entry.id, taskRefOf(*attempt), attempt->run, speedPercent});
    }
}

} // namespace cardamompaddle
