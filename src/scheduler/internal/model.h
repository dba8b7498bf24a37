// Data structures shared by the parts of the scheduler: attempts, tasks, jobs, teams and workers.
#pragma once

#include "base/time.h"
#include "platform/types.h"
#include "scheduler/internal/health.h"
#include "scheduler/pool_scheduler.h"

#include <array>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cardamompaddle::sched {

struct Job;
struct Worker;
struct ShapeQueue;

inline constexpr int UrgencyLevels = 10;
// Upper bound of searches for preemption victims in one pass.
inline constexpr int MaxPreemptionSearches = 16;

// Next step in the removal of a running attempt.
enum class RemovalStage { None, CheckpointDue, StopDue, StopSent };
enum class RemovalReason {
    None,
    Cancelled,
    JobEnded,
    Preempted,
    ZoneOut,
    Leaving,
    ResourcePressure,
    AboveTeamLimit
};

// One attempt to run a task on a worker.
struct Attempt
{
    Job *job = nullptr;
    Worker *worker = nullptr;
    int32_t index = 0;
    int32_t number = 0;
    Resources declared;
    int64_t cpuLimit = 0; // the declared amount, or less while throttled
    int64_t cpuCharged = 0; // counted against the worker's measured capacity
    bool measured = false; // included in at least one usage report
    bool uncertain = false; // the session of its worker is lost, so it may or may not run
    bool checkpointed = false;
    bool request = false;
    bool repeatable = true;
    bool mayHaveRunBefore = false; // an earlier attempt of the task may have run
    bool probe = false; // tests a worker that is on probation after a quarantine
    int32_t urgency = 0;
    Instant startedAt;
    Instant progressSince; // start or last checkpoint; a stop loses the progress made since then
    Instant throttledAt;
    RemovalStage removal = RemovalStage::None;
    RemovalReason reason = RemovalReason::None;
    Instant removalDue;
    uint64_t removalOrder = 0; // breaks ties of removalDue
    uint64_t preemptorSerial = 0; // serial of the job for which the attempt is preempted
};

enum class TaskState : uint8_t { Waiting, Delayed, Running, Finished };

struct Task
{
    TaskState state = TaskState::Waiting;
    bool mayHaveRun = false;
    bool fromCheckpoint = false;
    int16_t failures = 0;
    int32_t lastAttempt = 0;
    // Start of the wait; in state Delayed, the time at which the task becomes Waiting again.
    Instant since;
    std::unique_ptr<Attempt> attempt; // null unless running or uncertain
};

// Capacity for one task that is reserved on a worker for a job.
struct Reservation
{
    Worker *worker = nullptr;
    Resources amount;
    Instant expires;
};

// Reference to a worker that may have been erased; `serial` tells whether `slot` is still its own.
struct WorkerRef
{
    uint64_t serial = 0;
    int slot = 0;
};

// Fixed-point scale of weighted shares: millionths * ShareScale / weight of the team.
inline constexpr int64_t ShareScale = 1'000;

// Resource usage and fair-share state of a team.
struct Team
{
    std::string name;
    int64_t weight = 1;
    Resources used;
    int64_t remoteShare = 0; // dominant share in use in other pools, millionths
    int64_t share = 0; // dominant share in use in all pools, millionths
    int64_t averageShare = 0; // moving average of `share`, millionths
    int64_t weightedShare = 0; // compared by the queue order; see ShareScale
    int32_t running = 0;
};

// Job and task counts of one team on one route.
struct RouteTeamCounts
{
    int32_t waitingJobs = 0;
    int32_t waitingTasks = 0;
    int32_t running = 0;
    std::set<std::pair<Instant, uint64_t>> waitingSince; // of queued jobs: time, job serial
};

struct QueueKey
{
    Instant deadline;
    uint64_t sequence = 0;
    uint64_t serial = 0; // breaks ties of `sequence`
    Job *job = nullptr;
    friend bool operator<(const QueueKey &a, const QueueKey &b)
    {
        return std::tie(a.deadline, a.sequence, a.serial)
               < std::tie(b.deadline, b.sequence, b.serial);
    }
};

// Why a job was not started when the scheduler last evaluated it.
enum class WaitReason {
    NotEvaluated,
    NoCapacity,
    TeamLimit,
    IntentNotDurable,
    PreemptionInProgress,
    GangIncomplete
};

struct Job
{
    WorkItem item;
    uint64_t serial = 0; // never reused
    bool submitted = false; // false: only known from tasks that workers reported
    bool ended = false; // cancelled or failed; its running tasks are being stopped
    bool cancelled = false;
    bool hasDeadlineEntry = false; // has an entry in Core::m_deadlines
    Team *team = nullptr;
    RouteTeamCounts *counts = nullptr;
    ShapeQueue *shapeQueue = nullptr; // null unless the job is queued
    Instant submittedAt;
    Instant queuedAt;
    std::vector<Task> tasks;
    std::vector<int32_t> waiting; // indices of waiting tasks; the last one starts next
    int32_t unfinished = 0;
    int32_t running = 0; // running tasks, including uncertain ones
    bool succeeded = false; // at least one task has succeeded
    std::vector<WorkerRef> failedWorkers; // healthy workers on which one of its tasks failed
    std::vector<Reservation> reservations;
    uint64_t gangReservations = 0; // how often it has owned the pool's gang reservation
    WaitReason waitReason = WaitReason::NotEvaluated;

    QueueKey key(const QueueOrder &order)
    {
        const Instant deadline = item.deadline.value_or(Instant::max());
        return {order.effectiveDeadline(item.spec.kind, deadline), item.sequence, serial, this};
    }
    bool isGang() const { return item.spec.kind == WorkKind::Gang; }
    bool mayHaveRun() const;
};

struct Worker
{
    WorkerInfo info;
    uint64_t serial = 0; // never reused
    int slot = 0;
    int zone = 0;
    int rack = 0;
    bool connected = false;
    bool zoneOut = false;
    Health health;
    Resources declared; // sum over its attempts, with cpuLimit as the processors
    int64_t cpuCharged = 0;
    Resources reserved; // sum of the reservations on it
    std::vector<Attempt *> attempts; // in order of their start
    std::array<Resources, UrgencyLevels>
        preemptible; // amount that preemption could free, by urgency
};

} // namespace cardamompaddle::sched
