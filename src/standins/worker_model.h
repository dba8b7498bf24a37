// Model of a worker's state, without I/O: sessions, stamps, task leases and fake tasks. Implements
// the worker contract of docs/design.md, section 2.5.
#pragma once

#include "base/result.h"
#include "platform/worker.h"
#include "standins/fake_task.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

struct WorkerModelOptions
{
    Resources capacity;
    Duration usageLag{500}; // age of the reported usage
    int overcommitCpuPercent = 100; // limit for started tasks, in percent of the processors
};

// One attempt that ran on this worker. Instants are on the worker's clock.
struct AttemptHistory
{
    TaskAttempt target;
    Instant started;
    std::optional<Instant> ended;
    TaskOutcome outcome = TaskOutcome::Failed; // valid once `ended` is set
};

// Not thread-safe. `now` must not decrease between calls.
class WorkerModel
{
public:
    explicit WorkerModel(WorkerModelOptions options);

    // Grants the exclusive session in a new epoch. Errors: Conflict while another holder's session
    // has not expired.
    Result<SessionGrant> acquire(const SessionRequest &request, Instant now);
    // Executes the batch and returns a report. Ignores waitForFinish, which the caller implements.
    // Errors: PermissionDenied, without any effect, if the epoch, the holder or the stamp is stale.
    Result<WorkerReport> command(const WorkerCommand &command, Instant now);
    // Returns the current report, without refusals, and marks every finished task as reported.
    WorkerReport report(Instant now);
    // Ends tasks that have completed or whose lease has expired by `now`.
    void advance(Instant now);

    // The next time at which advance() ends a task; empty if no task is running.
    std::optional<Instant> nextEvent() const;
    // True if a finished task has not been included in any report or grant yet.
    bool hasUnreportedFinishedTasks() const;
    // True if the last report or grant included a finished task for the first time.
    bool lastReportHadNewFinishedTasks() const { return m_lastReportHadNewFinishedTasks; }
    uint64_t epoch() const { return m_epoch; }
    // If set, every task started from now on fails shortly after its start.
    void setFailAll(bool failAll) { m_failAll = failAll; }
    // All attempts that ran on this worker, in start order.
    const std::vector<AttemptHistory> &history() const { return m_history; }
    // Number of starts refused for lack of capacity.
    uint64_t capacityRefusals() const { return m_capacityRefusals; }

private:
    struct RunningAttempt
    {
        StartTask start;
        FakeTask task;
        size_t historyIndex = 0; // into m_history
        Instant leaseExpiry;
        Instant progressUpdatedAt; // time up to which `completedMicros` is accrued
        int64_t completedMicros = 0; // run time completed, microseconds
        int64_t cpuLimitMilli = 0; // 0: no limit
        bool checkpointed = false;
    };
    struct FinishedAttempt
    {
        FinishedTask task;
        bool reported = false; // included in a report or grant
    };

    // The error with which a stale command is rejected; empty if the command is current.
    std::optional<Error> staleCommandError(const WorkerCommand &command, Instant now) const;
    // Extends the session and the leases of all running tasks, counted from `stamp`.
    void renewSessionAndLeases(Instant stamp);
    // Why the start is refused; empty if it may run. Adds a refusal to m_refusedAttempts.
    std::string startRefusalReason(const StartTask &start, Instant stamp, Instant now);
    bool hasCapacity(const StartTask &start, Instant now) const;
    void start(const StartTask &start, Instant stamp, Instant now);
    void stop(const TaskAttempt &target, Instant now);
    void checkpoint(const TaskAttempt &target, Instant now);
    void throttle(const ThrottleTask &throttle, Instant now);
    void finishAttempt(const TaskAttempt &target, TaskOutcome outcome, std::string output,
                       Instant now);
    std::vector<RunningTask> runningTasks(Instant now) const;
    // Returns all unacknowledged finished tasks and marks them as reported.
    std::vector<FinishedTask> finishedTasks();
    void assertCapacity() const;

    static int64_t ratePermille(const RunningAttempt &running);
    // When the task completes at its current rate; empty for a service.
    static std::optional<Instant> finishTime(const RunningAttempt &running);
    // The earlier of completion and lease expiry.
    static Instant endTime(const RunningAttempt &running);
    static void accrueProgress(RunningAttempt &running, Instant now);
    static Resources actualUsage(const RunningAttempt &running);

    WorkerModelOptions m_options;
    bool m_failAll = false;
    std::string m_holder;
    uint64_t m_epoch = 0;
    Duration m_ttl{0};
    Instant m_sessionExpiry;
    std::map<TaskAttempt, RunningAttempt> m_running;
    std::map<TaskAttempt, FinishedAttempt> m_finished; // not yet acknowledged
    // Attempts ever started; a repeated start of one of them has no effect.
    std::set<TaskAttempt> m_startedAttempts;
    // Attempts ever refused, with the reason; a refused attempt never runs.
    std::map<TaskAttempt, std::string> m_refusedAttempts;
    std::map<TaskId, int64_t> m_checkpoints; // run time completed at the checkpoint, microseconds
    std::vector<AttemptHistory> m_history;
    uint64_t m_capacityRefusals = 0;
    bool m_lastReportHadNewFinishedTasks = false;
};

} // namespace cardamompaddle
