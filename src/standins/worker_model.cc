#include "standins/worker_model.h"

#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr int64_t FullRatePermille = 1000;
// Run time of every task while setFailAll() is on.
constexpr Duration FailAllRunTime{5};

Instant instantFromStamp(uint64_t stamp)
{
    return instantFromMs(static_cast<Duration::rep>(stamp));
}

uint64_t stampFromInstant(Instant now)
{
    return static_cast<uint64_t>(toMs(now));
}

TaskAttempt attemptOf(const StartTask &start)
{
    return {start.task, start.attempt};
}

} // namespace

WorkerModel::WorkerModel(WorkerModelOptions options) : m_options(options) { }

Result<SessionGrant> WorkerModel::acquire(const SessionRequest &request, Instant now)
{
    advance(now);
    if (now < m_sessionExpiry && m_holder != request.holder)
        return Error{ErrorCode::Conflict, "the session is held by " + m_holder};
    m_holder = request.holder;
    m_ttl = request.ttl;
    m_sessionExpiry = now + m_ttl;
    ++m_epoch;
    return SessionGrant{m_epoch, stampFromInstant(now), runningTasks(now), finishedTasks()};
}

Result<WorkerReport> WorkerModel::command(const WorkerCommand &command, Instant now)
{
    advance(now);
    if (auto stale = staleCommandError(command, now))
        return std::move(*stale);
    const Instant stamp = instantFromStamp(command.stamp);
    for (const TaskAttempt &it : command.acknowledged)
        m_finished.erase(it);
    if (command.renew)
        renewSessionAndLeases(stamp);
    // Checkpoints come before stops, which would end the tasks to checkpoint; stops come before
    // starts, which may need the released resources.
    for (const TaskAttempt &it : command.checkpoints)
        checkpoint(it, now);
    for (const ThrottleTask &it : command.throttles)
        throttle(it, now);
    for (const TaskAttempt &it : command.stops)
        stop(it, now);
    std::vector<std::pair<TaskAttempt, std::string>> rejectedStarts;
    for (const StartTask &it : command.starts) {
        std::string reason = startRefusalReason(it, stamp, now);
        if (!reason.empty())
            rejectedStarts.emplace_back(attemptOf(it), std::move(reason));
        else if (m_startedAttempts.insert(attemptOf(it)).second)
            start(it, stamp, now);
    }
    if (command.release)
        m_sessionExpiry = now;
    WorkerReport out = report(now);
    out.rejectedStarts = std::move(rejectedStarts);
    return out;
}

std::optional<Error> WorkerModel::staleCommandError(const WorkerCommand &command, Instant now) const
{
    const auto stale = [](std::string reason) {
        return Error{ErrorCode::PermissionDenied, std::move(reason)};
    };
    if (command.epoch != m_epoch || command.holder != m_holder)
        return stale("the session belongs to " + m_holder + " in epoch " + std::to_string(m_epoch));
    if (now >= m_sessionExpiry)
        return stale("the session has expired");
    if (command.stamp > stampFromInstant(now))
        return stale("the stamp is in the future");
    if (instantFromStamp(command.stamp) + m_ttl <= now)
        return stale("the stamp is older than the session's TTL");
    return std::nullopt;
}

void WorkerModel::renewSessionAndLeases(Instant stamp)
{
    m_sessionExpiry = std::max(m_sessionExpiry, stamp + m_ttl);
    for (auto &[target, running] : m_running)
        running.leaseExpiry = std::max(running.leaseExpiry, stamp + running.start.lease);
}

std::string WorkerModel::startRefusalReason(const StartTask &start, Instant stamp, Instant now)
{
    const TaskAttempt target = attemptOf(start);
    if (m_startedAttempts.contains(target))
        return {};
    // The refusal is remembered so that a delayed copy of the start is refused as well: the caller
    // may already rely on the attempt not running.
    std::string &reason = m_refusedAttempts[target];
    if (!reason.empty())
        return reason;
    const auto other = std::find_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
        return entry.first.task == start.task;
    });
    if (stamp + start.lease <= now) {
        reason = "the lease expired before the start";
    } else if (other != m_running.end()) {
        reason = "attempt " + std::to_string(other->first.attempt)
                 + " of this task is running on this worker";
    } else if (!hasCapacity(start, now)) {
        ++m_capacityRefusals;
        reason = "insufficient capacity for " + start.declared.toString();
    } else {
        m_refusedAttempts.erase(target);
        return {};
    }
    return reason;
}

bool WorkerModel::hasCapacity(const StartTask &start, Instant now) const
{
    // Processors of a running task count by actual usage once a report can contain that usage, and
    // by declaration until then. All other resources count by declaration.
    Resources total = start.declared;
    for (const auto &[target, running] : m_running) {
        Resources amount = running.start.declared;
        if (m_history[running.historyIndex].started + m_options.usageLag <= now)
            amount.cpuMilli = actualUsage(running).cpuMilli;
        total += amount;
    }
    Resources capacity = m_options.capacity;
    capacity.cpuMilli = capacity.cpuMilli * m_options.overcommitCpuPercent / 100;
    return start.declared.isNonNegative() && total.fitsIn(capacity);
}

void WorkerModel::start(const StartTask &start, Instant stamp, Instant now)
{
    RunningAttempt running;
    running.start = start;
    running.task = parseFakeTask(start.payload, start.declared);
    if (m_failAll) {
        running.task.runTime = FailAllRunTime;
        running.task.fail = true;
        running.task.output = "the worker is set to fail all tasks";
    }
    running.historyIndex = m_history.size();
    running.leaseExpiry = stamp + start.lease;
    running.progressUpdatedAt = now;
    if (const auto it = m_checkpoints.find(start.task);
        start.fromCheckpoint && it != m_checkpoints.end())
        running.completedMicros = it->second;
    m_history.push_back({attemptOf(start), now, std::nullopt, TaskOutcome::Failed});
    m_running.emplace(attemptOf(start), std::move(running));
    assertCapacity();
}

void WorkerModel::stop(const TaskAttempt &target, Instant now)
{
    const auto it = m_running.find(target);
    if (it != m_running.end())
        return finishAttempt(target, TaskOutcome::Stopped, {}, now);
    // The stop arrived before its start: refuse the start when it arrives.
    if (!m_startedAttempts.contains(target))
        m_refusedAttempts.try_emplace(target, "stopped before the start");
}

void WorkerModel::checkpoint(const TaskAttempt &target, Instant now)
{
    const auto it = m_running.find(target);
    if (it == m_running.end())
        return;
    accrueProgress(it->second, now);
    it->second.checkpointed = true;
    m_checkpoints[target.task] = it->second.completedMicros;
}

void WorkerModel::throttle(const ThrottleTask &throttle, Instant now)
{
    const auto it = m_running.find(throttle.target);
    if (it == m_running.end())
        return;
    accrueProgress(it->second, now);
    it->second.cpuLimitMilli = throttle.cpuMilli;
}

void WorkerModel::finishAttempt(const TaskAttempt &target, TaskOutcome outcome, std::string output,
                                Instant now)
{
    const auto it = m_running.find(target);
    AttemptHistory &history = m_history[it->second.historyIndex];
    history.ended = now;
    history.outcome = outcome;
    const bool request = it->second.start.request;
    m_finished[target] = {{target.task, target.attempt, outcome, std::move(output), request},
                          false};
    m_running.erase(it);
}

void WorkerModel::advance(Instant now)
{
    while (true) {
        const auto next =
            std::min_element(m_running.begin(), m_running.end(), [](const auto &a, const auto &b) {
                return endTime(a.second) < endTime(b.second);
            });
        if (next == m_running.end() || endTime(next->second) > now)
            return;
        const RunningAttempt &running = next->second;
        const auto finish = finishTime(running);
        const TaskAttempt target = next->first;
        if (!finish || running.leaseExpiry <= *finish)
            finishAttempt(target, TaskOutcome::LeaseLapsed, "the lease was not renewed",
                          running.leaseExpiry);
        else
            finishAttempt(target, running.task.fail ? TaskOutcome::Failed : TaskOutcome::Succeeded,
                          running.task.output, *finish);
    }
}

std::optional<Instant> WorkerModel::nextEvent() const
{
    std::optional<Instant> next;
    for (const auto &[target, running] : m_running) {
        const Instant at = endTime(running);
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

WorkerReport WorkerModel::report(Instant now)
{
    advance(now);
    return {stampFromInstant(now), runningTasks(now), finishedTasks(), {}};
}

bool WorkerModel::hasUnreportedFinishedTasks() const
{
    return std::any_of(m_finished.begin(), m_finished.end(),
                       [](const auto &entry) { return !entry.second.reported; });
}

std::vector<RunningTask> WorkerModel::runningTasks(Instant now) const
{
    std::vector<RunningTask> out;
    for (const auto &[target, running] : m_running) {
        const Instant started = m_history[running.historyIndex].started;
        RunningTask &task = out.emplace_back();
        task.task = target.task;
        task.attempt = target.attempt;
        task.declared = running.start.declared;
        if (started + m_options.usageLag <= now)
            task.usage = actualUsage(running);
        task.request = running.start.request;
        task.repeatable = running.start.repeatable;
        task.urgency = running.start.urgency;
        task.sinceStart = now - started;
        task.checkpointed = running.checkpointed;
    }
    return out;
}

std::vector<FinishedTask> WorkerModel::finishedTasks()
{
    m_lastReportHadNewFinishedTasks = hasUnreportedFinishedTasks();
    std::vector<FinishedTask> out;
    for (auto &[target, finished] : m_finished) {
        finished.reported = true;
        out.push_back(finished.task);
    }
    return out;
}

void WorkerModel::assertCapacity() const
{
    Resources total;
    for (const auto &[target, running] : m_running)
        total += running.start.declared;
    total.cpuMilli = 0; // declarations may exceed the capacity, see hasCapacity()
    invariant(total.fitsIn(m_options.capacity), "I1 no instance is overcommitted",
              total.toString() + " of " + m_options.capacity.toString());
}

int64_t WorkerModel::ratePermille(const RunningAttempt &running)
{
    const int64_t wanted = running.task.usage.cpuMilli;
    if (running.cpuLimitMilli <= 0 || running.cpuLimitMilli >= wanted)
        return FullRatePermille;
    return std::max<int64_t>(1, FullRatePermille * running.cpuLimitMilli / wanted);
}

std::optional<Instant> WorkerModel::finishTime(const RunningAttempt &running)
{
    if (!running.task.runTime)
        return std::nullopt;
    const int64_t left =
        std::max<int64_t>(0, running.task.runTime->count() * 1000 - running.completedMicros);
    const int64_t rate = ratePermille(running);
    return running.progressUpdatedAt + Duration((left + rate - 1) / rate);
}

Instant WorkerModel::endTime(const RunningAttempt &running)
{
    const auto finish = finishTime(running);
    return finish ? std::min(*finish, running.leaseExpiry) : running.leaseExpiry;
}

void WorkerModel::accrueProgress(RunningAttempt &running, Instant now)
{
    running.completedMicros += (now - running.progressUpdatedAt).count() * ratePermille(running);
    running.progressUpdatedAt = now;
}

Resources WorkerModel::actualUsage(const RunningAttempt &running)
{
    Resources usage = running.task.usage;
    if (running.cpuLimitMilli > 0)
        usage.cpuMilli = std::min(usage.cpuMilli, running.cpuLimitMilli);
    return usage;
}

} // namespace cardamompaddle
