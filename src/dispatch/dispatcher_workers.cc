// Workers: their entries, what they report, and how they are judged by it.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A worker on which this many runs of several jobs failed in a row gets no starts for a time.
constexpr int32_t FailuresToAvoid = 4;
constexpr size_t FailedJobsToAvoid = 2;
constexpr Duration AvoidanceTime{2'000}; // doubles each time, up to MaxAvoidanceDoublings
constexpr int32_t MaxAvoidanceDoublings = 2;
// A run whose percentage stands still for so long is stopped and started elsewhere.
constexpr Duration StallTime{2'500};
// A worker whose runs together take this many times as long as they should gets starts only if no
// other fits; a run of its own that does is moved if it can resume.
constexpr double SlowRatio = 3;
constexpr size_t JobsToJudgeSpeed = 2;
constexpr Duration SlowTime{4'000};
// Progress is reported in whole percent, and estimates are rough: a run counts once it should have
// come this far, and one without a finished sibling after a longer time only.
constexpr double LeastExpectedProgress = 0.15;
constexpr Duration LeastWatched{300};
constexpr Duration LeastWatchedAlone{1'000};
constexpr int64_t LeastGainMs = 1'500; // of a run that is moved
// A run this far done is left to finish on a worker that drains.
constexpr int32_t NearlyDonePercent = 70;
// Idle-CPU tasks are slowed down from this share of the latency target of a task beside them on,
// and sped up again below the other.
constexpr double ThrottleDownFrom = 0.8;
constexpr double ThrottleUpBelow = 0.55;
constexpr int32_t ThrottleStep = 25; // percent
constexpr Duration ThrottleInterval{500};

} // namespace

void Dispatcher::Impl::setWorker(const WorkerEntry &entry)
{
    auto &slot = m_workers[entry.id];
    if (!slot)
        slot = std::make_unique<Worker>();
    Worker &worker = *slot;
    const bool drains = entry.draining && !(worker.listed && worker.entry.draining);
    if (!worker.listed)
        m_total += entry.capacity;
    else
        m_total += entry.capacity - worker.entry.capacity;
    worker.listed = true;
    worker.entry = entry;
    if (drains) {
        event("worker_draining", "", "worker=" + entry.id);
        releaseDraining(worker);
    }
}

void Dispatcher::Impl::releaseDraining(Worker &worker)
{
    for (Attempt *attempt : AttemptSet(worker.attempts)) {
        const work::StepSpec &spec = *attempt->step->spec;
        const bool moves =
            spec.longRunning
            || (spec.checkpointing && !spec.gang && attempt->percent < NearlyDonePercent);
        if (moves)
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
    event("worker_left", "",
          "worker=" + id + " runs=" + std::to_string(it->second->attempts.size()));
    if (it->second->attempts.empty())
        m_workers.erase(it);
}

void Dispatcher::Impl::workerLost(const WorkerId &id)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    loseAttempts(*it->second, "lease_lapsed");
    it->second->reported = false;
    it->second->reachable = false;
    if (!it->second->listed)
        m_workers.erase(it);
}

void Dispatcher::Impl::judgeWorker(Worker &worker, RunOutcome outcome, const std::string &job,
                                   Instant now)
{
    if (outcome == RunOutcome::Succeeded) {
        worker.failuresInRow = 0;
        worker.failedJobs.clear();
        worker.avoidanceCount = 0;
    } else if (outcome == RunOutcome::Failed) {
        ++worker.failuresInRow;
        worker.failedJobs.insert(job);
        if (worker.failuresInRow >= FailuresToAvoid
            && worker.failedJobs.size() >= FailedJobsToAvoid)
            avoid(worker, now, "failures");
    }
}

void Dispatcher::Impl::avoid(Worker &worker, Instant now, std::string_view why)
{
    if (worker.avoidUntil > now)
        return;
    const int32_t doublings = std::min(worker.avoidanceCount, MaxAvoidanceDoublings);
    worker.avoidUntil = now + AvoidanceTime * (1 << doublings);
    ++worker.avoidanceCount;
    event("worker_avoided", "",
          "worker=" + worker.entry.id + " reason=" + std::string(why)
              + " for_ms=" + std::to_string((worker.avoidUntil - now).count()));
}

void Dispatcher::Impl::workerReported(const WorkerId &id, const RunReport &report, Instant now)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    Worker &worker = *it->second;
    if (worker.reported && worker.incarnationStartedAtMs != report.startedAtMs) {
        event("worker_restarted", "", "worker=" + id);
        loseAttempts(worker, "worker_restarted");
        worker.endPosition = 0;
        worker.slowdown = 1;
    }
    worker.incarnationStartedAtMs = report.startedAtMs;
    if (!worker.reported)
        event("worker_joined", "",
              "worker=" + id + " zone=" + worker.entry.availabilityZone
                  + " runs=" + std::to_string(report.running.size()));
    worker.reported = true;
    worker.unwantedRuns = false;
    for (const EndedRun &end : report.ended) {
        if (end.position > worker.endPosition)
            takeEnd(worker, end, now);
        worker.endPosition = std::max(worker.endPosition, end.position);
    }
    AttemptSet seen;
    for (const ActiveRun &run : report.running) {
        if (Attempt *attempt = takeRunning(worker, run, report.requestedAt, now))
            seen.insert(attempt);
    }
    dropMissing(worker, seen, report.requestedAt);
    watchProgress(worker, now);
    watchSpeed(worker, now);
    throttleIdleCpuTasks(worker, now);
    if (!worker.listed && worker.attempts.empty())
        m_workers.erase(id);
}

void Dispatcher::Impl::watchProgress(Worker &worker, Instant now)
{
    int stalled = 0;
    for (Attempt *attempt : worker.attempts) {
        if (attempt->phase != AttemptPhase::Running || attempt->step->spec->longRunning
            || attempt->step->spec->gang || attempt->speedPercent < 100
            || now - attempt->progressAt < StallTime)
            continue;
        ++stalled;
        event("run_stalled", attempt->step->job->spec->id,
              "worker=" + worker.entry.id + " run=" + std::to_string(attempt->run)
                  + " percent=" + std::to_string(attempt->percent));
        requestStop(*attempt);
    }
    if (stalled > 0)
        avoid(worker, now, "stalled_runs");
}

// Time that the run should take on a sound worker; 0: too little is known of it yet.
int64_t Dispatcher::Impl::expectedRunMs(const Attempt &attempt, Instant now)
{
    const Step &step = *attempt.step;
    if (attempt.phase != AttemptPhase::Running || !attempt.watchedFrom || attempt.speedPercent < 100
        || step.spec->longRunning || step.spec->gang || step.spec->usesIdleCpu)
        return 0;
    // The tasks of a step are alike.
    const bool siblings = step.longestRunMs > 0;
    const int64_t expected = siblings ? step.longestRunMs : step.spec->estimatedMs;
    const Duration watched = now - *attempt.watchedFrom;
    const bool enough = watched >= (siblings ? LeastWatched : LeastWatchedAlone)
                        && static_cast<double>(watched.count())
                               >= LeastExpectedProgress * static_cast<double>(expected);
    return enough ? expected : 0;
}

// Judges the worker by the speed at which runs of several jobs progress there. One job may have
// longer tasks than its estimate or its siblings say.
void Dispatcher::Impl::watchSpeed(Worker &worker, Instant now)
{
    struct Speed
    {
        Attempt *attempt;
        double projectedMs;
        double expectedMs;
    };
    std::vector<Speed> speeds;
    std::set<const Job *> jobs;
    double projected = 0;
    double expected = 0;
    for (Attempt *attempt : worker.attempts) {
        const auto should = static_cast<double>(expectedRunMs(*attempt, now));
        if (should <= 0)
            continue;
        const auto watched = static_cast<double>((now - *attempt->watchedFrom).count());
        const double done = std::max(1, attempt->percent - attempt->watchedPercent) / 100.0;
        speeds.push_back({attempt, watched / done, should});
        jobs.insert(attempt->step->job);
        projected += watched / done;
        expected += should;
    }
    if (jobs.size() < JobsToJudgeSpeed || projected < SlowRatio * expected)
        return;
    if (worker.slowUntil <= now)
        event("worker_slow", "",
              "worker=" + worker.entry.id
                  + " projected_ms=" + std::to_string(static_cast<int64_t>(projected))
                  + " expected_ms=" + std::to_string(static_cast<int64_t>(expected)));
    worker.slowUntil = now + SlowTime;
    for (const Speed &it : speeds) {
        const double left = (100 - it.attempt->percent) / 100.0;
        if (!it.attempt->step->spec->checkpointing || it.projectedMs < SlowRatio * it.expectedMs
            || left * (it.projectedMs - it.expectedMs) < static_cast<double>(LeastGainMs))
            continue;
        event("run_slow", it.attempt->step->job->spec->id,
              "task=" + refOf(*it.attempt).toString() + " run=" + std::to_string(it.attempt->run)
                  + " worker=" + worker.entry.id + " percent=" + std::to_string(it.attempt->percent)
                  + " projected_ms=" + std::to_string(static_cast<int64_t>(it.projectedMs))
                  + " expected_ms=" + std::to_string(static_cast<int64_t>(it.expectedMs)));
        requestStop(*it.attempt);
    }
}

void Dispatcher::Impl::throttleIdleCpuTasks(Worker &worker, Instant now)
{
    if (worker.servingTasks == 0 && worker.idleCpuTasks == 0)
        return;
    double worst = 0; // latency over target
    for (const Attempt *attempt : worker.attempts) {
        const int64_t target = attempt->step->spec->latencyObjectiveMs;
        if (target > 0)
            worst =
                std::max(worst, static_cast<double>(attempt->gauge) / static_cast<double>(target));
    }
    const bool recent = worker.pacedAt && now - *worker.pacedAt < ThrottleInterval;
    if (recent || (worst < ThrottleDownFrom && worst >= ThrottleUpBelow))
        return;
    for (Attempt *attempt : worker.attempts) {
        if (!attempt->step->spec->usesIdleCpu || attempt->phase != AttemptPhase::Running)
            continue;
        const int32_t speedPercent = worst >= 1 ? 0
                                     : worst >= ThrottleDownFrom
                                         ? std::max(0, attempt->speedPercent - 2 * ThrottleStep)
                                         : std::min(100, attempt->speedPercent + ThrottleStep);
        if (speedPercent == attempt->speedPercent)
            continue;
        attempt->speedPercent = speedPercent;
        attempt->progressAt = now;
        worker.pacedAt = now;
        m_throttles.push_back({worker.entry.id, refOf(*attempt), attempt->run, speedPercent});
    }
}

} // namespace cardamompaddle
