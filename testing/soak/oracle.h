// Checks what callers and workers have seen against the promises of the system.
//
// No I/O; the present time is an argument.
#pragma once

#include "base/time.h"
#include "disturbances.h"
#include "job_shapes.h"
#include "platform_emulator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle::soak {

enum class Promise {
    Known, // an accepted job is known until it has ended and its state was kept long enough
    Completed, // an accepted job completes, and a long-running one runs
    TrueState, // a job is shown as ended only if it has
    RunsOnce, // no task runs twice, and none of a job that was refused
    Starts, // a ready step with room twice over starts soon
    Placed, // a step starts after the earlier ones, and not too often on one worker
    Answered, // a stop cuts no request that has been on its way for longer than a moment
    KeyWithdrawn, // a withdrawn key admits nothing
    CancelHolds, // nothing of a job starts long after its cancellation was answered
    StaysUp, // a process ends only if it is told to, and soon enough
};
std::string_view promiseName(Promise promise);

struct Violation
{
    Promise promise = Promise::Known;
    Instant at;
    std::string what; // with the ids and the process
};

struct OracleOptions
{
    Duration keepEnded{0}; // for how long the state of an ended job can be asked for
    Duration configurationDelay{2'000}; // after which a change holds
    Duration contactTime{3'000}; // after a disturbance the bounds hold again
    Duration answerSlack{200}; // a request sent no longer ago may be cut by a stop
    Duration visibleDelay{3'000}; // after its acceptance a job is known everywhere
    Duration drainTime{2'000}; // after which a worker that leaves gets no more starts
    Duration cancelDelay{3'000}; // in which a cancelled job may still start tasks
    Duration restartDelay{6'000}; // in which a long-running task runs again
    Duration startDelay{3'000}; // in which a ready step starts that has room twice over
    Duration startCalmTime{4'000}; // after a disturbance the bound on starts holds again
};

// Where a step may run.
struct StartRoom
{
    int workers = 0; // up, and admitted by the policy if the step needs that
    int freePlaces = 0; // tasks of the step that fit on them
};

enum class CallKind { Submit, State, Cancel };

// One request as its caller saw it.
struct CallRecord
{
    CallKind kind = CallKind::State;
    std::string job;
    std::string instance;
    std::string key;
    int status = 0; // 0: the connection ended without a complete response
    std::string state; // of a successful State call
    Instant sentAt;
    Instant endedAt;
    bool timedOut = false; // the caller gave up
};

class Oracle
{
public:
    Oracle(OracleOptions options, const Disturbances &disturbances);

    void planned(const JobPlan &plan);
    // A cancellation is about to be sent.
    void cancelling(const std::string &job);
    void called(const CallRecord &record);
    // The first attempt to hand the job in, or for load the last one, was refused, so it must never
    // run.
    void refused(const std::string &job);
    // No instance has told the state of an accepted job.
    void unanswered(const std::string &job, Instant at);
    void ran(const emulator::RunEvent &event);
    // A run has started on a worker that has announced at `since` that it leaves.
    void startedOnLeaving(const emulator::RunEvent &event, Instant since);
    void keyWithdrawn(const std::string &key, Instant at);
    // The instance has got SIGTERM: its requests must be answered.
    void stopBegan(const std::string &instance, Instant at);
    // It has ended.
    void stopEnded(const std::string &instance, Instant at);
    void processEnded(const std::string &instance, const std::string &how, Instant at);
    // Checks the long-running tasks. Call it about once a second.
    void checkRunning(Instant now);
    // Checks that ready steps have started. `roomFor` returns the room of a step, of which
    // `maxPerWorker` tasks may run on one worker (0: no limit); call this only while the pool is
    // less than half full.
    void
    checkStarts(Instant now,
                const std::function<StartRoom(const std::string &step, int maxPerWorker)> &roomFor);
    // Checks that every accepted job has completed or, if it is long-running, runs.
    void checkFinal(Instant now);

    const std::vector<Violation> &violations() const { return m_violations; }
    size_t checked(Promise promise) const;
    // Promises with a time bound that were not kept while the harness itself was late.
    size_t excused() const { return m_excused.size(); }
    // Accepted jobs that were not cancelled.
    std::vector<std::string> acceptedJobs() const;
    // Returns whether a job must be known at `now`, and since when it has ended.
    bool mustBeKnown(const std::string &job, Instant now) const;
    bool isUnfinished(const std::string &job) const;
    // How long a run of the task takes; none if it lasts until it is stopped.
    std::optional<Duration> runTime(const std::string &task) const;
    // Returns the number of members of the task's gang, 0 for a task without one.
    int gangSize(const std::string &task) const;
    // Returns the number of tasks that run on each worker, by "ID/LIFE".
    std::map<std::string, int> runningByWorker() const;
    // Requests that were on their way between SIGTERM and the end of their instance.
    size_t callsAroundStops() const { return m_callsAroundStops; }

private:
    struct Task
    {
        int step = 0;
        Duration runTime{0};
        int running = 0;
        std::string runsOn; // worker/life of the latest run
        bool done = false; // a run has ended so
        bool acknowledged = false; // such an end was acknowledged before the lease lapsed
        Instant endedAt; // of the latest run
    };
    struct Job
    {
        JobPlan plan;
        std::map<std::string, Task> tasks;
        std::optional<Instant> acceptedAt;
        bool cancelSent = false;
        std::optional<Instant> cancelledAt; // when it was first answered with success or "unknown"
        bool refused = false;
        std::optional<Instant> lastDoneAt; // when its last task has ended
    };

    // The tasks of one step that has become ready.
    struct ReadyStep
    {
        int tasks = 0;
        int running = 0;
        int waiting = 0; // neither running nor done
        Instant waitsSince; // ready, and no task has ended since
    };
    static std::map<int, ReadyStep> readySteps(const Job &job);
    // A gang ends for all its members when one has ended its work.
    static std::vector<Task *> representedBy(Job &job, Task &task);
    void violated(Promise promise, Instant at, const std::string &what);
    // The same for a time bound, which needs a harness that was in time since `from`.
    void violatedBound(Promise promise, Instant from, Instant at, const std::string &what);
    void count(Promise promise) { ++m_checked[promise]; }
    void checkState(const CallRecord &record, const Job &job);
    void checkKnown(const CallRecord &record, const Job &job);
    void checkAnswered(const CallRecord &record);
    void checkKey(const CallRecord &record);
    void checkPlaced(const Job &job, const Task &task, const std::string &worker,
                     const std::string &what, Instant at);
    void checkCancelled(const Job &job, const std::string &what, Instant at);
    static bool isDone(const Job &job);

    OracleOptions m_options;
    const Disturbances &m_disturbances;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Instant> m_withdrawnKeys;
    struct Stop
    {
        Instant began;
        Instant ended = Instant::max();
    };
    std::map<std::string, Stop> m_stops; // the latest one by instance
    size_t m_callsAroundStops = 0;
    std::vector<Violation> m_violations;
    std::set<std::string> m_reported; // violations that are reported once
    std::set<std::string> m_excused;
    std::map<Promise, size_t> m_checked;
};

} // namespace cardamompaddle::soak
