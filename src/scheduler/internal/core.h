// Implementation of PoolScheduler: the state of a pool and the steps of a scheduling pass. The
// contracts of the public functions are in pool_scheduler.h.
#pragma once

#include "scheduler/internal/model.h"
#include "scheduler/internal/retry_budget.h"
#include "scheduler/internal/waiting_queue.h"
#include "scheduler/internal/worker_index.h"
#include "scheduler/internal/zones.h"
#include "scheduler/pool_scheduler.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cardamompaddle::sched {

class Core
{
public:
    Core(const PoolSpec &pool, std::unique_ptr<PlacementStrategy> strategy,
         SchedulerOptions options);
    Core(const Core &) = delete;
    Core &operator=(const Core &) = delete;

    void setPool(const PoolSpec &pool);
    void setRoutes(const std::map<std::string, RouteSpec> &routes) { m_routes = routes; }
    void setTeams(const std::map<std::string, TeamSpec> &teams);
    void setRemoteUsage(const std::map<std::string, int64_t> &shares);
    void setZonesOut(const std::set<std::string> &names, Instant now);
    void allTasksKnown(Instant now);

    // core_jobs.cc, core_attempts.cc
    Result<void> submit(const WorkItem &item, Instant now);
    void cancel(const JobKey &key, Instant now);
    bool hasJob(const JobKey &key) const { return m_jobs.contains(key); }
    // Returns an attempt number that no earlier owner of the pool has used for the task.
    int32_t nextAttemptNumber(const Task &task) const
    {
        const int32_t first = m_options.firstAttempt;
        const bool own =
            task.lastAttempt >= first && task.lastAttempt - first < SchedulerOptions::AttemptRange;
        return own ? task.lastAttempt + 1 : first;
    }
    int32_t runningTasks(const JobKey &key) const
    {
        const auto it = m_jobs.find(key);
        return it == m_jobs.end() ? 0 : it->second->running;
    }
    TaskDisposition taskEnded(const WorkerId &worker, const TaskAttempt &target,
                              TaskOutcome outcome, Instant now);
    TaskDisposition releaseUncertain(const TaskAttempt &target, Instant now);
    void startRefused(const WorkerId &worker, const TaskAttempt &target, Instant now);

    // core_workers.cc, core_capacity.cc
    void workerAcquired(const WorkerInfo &info, const std::vector<RunningTask> &running,
                        Instant now);
    void workerUpdated(const WorkerInfo &info, Instant now);
    void workerLost(const WorkerId &id, Instant now);
    std::vector<TaskAttempt> uncertainTasks(const WorkerId &id) const;
    void usageReported(const WorkerId &id, const std::vector<RunningTask> &running, Instant now);

    // core_place.cc
    std::vector<Decision> decide(Instant now, StartGate &gate, int max);

    // core_removal.cc
    void stopTeamExcess(const std::string &team, int32_t count, Instant now);

    // core_queries.cc
    std::optional<Instant> nextEvent(Instant now) const;
    std::string explainWaiting(const JobKey &key, Instant now) const;
    std::vector<QueueRow> queueRows(Instant now) const;
    std::vector<WorkerRow> workerRows(Instant now) const;
    SchedulerCounters counters() const { return m_counters; }
    std::map<std::string, int64_t> localUsage() const;
    std::map<std::string, int32_t> runningByTeam() const;
    std::vector<WaitSample> takeWaitSamples() { return std::exchange(m_waitSamples, {}); }

private:
    // Tasks to stop or throttle on one worker so that one task of another job fits there.
    struct PreemptionPlan
    {
        Worker *worker = nullptr;
        bool throttle = false; // throttles the victims instead of stopping them
        std::vector<Attempt *> victims;
        int64_t cost = 0; // lost run time, milliseconds
    };

    // Free capacity of a worker, both by declared amounts and by charged processors. May be
    // negative.
    struct Headroom
    {
        Resources declared;
        int64_t chargedCpu = 0;
        bool fits(const Resources &need) const;
        void add(const Attempt &attempt, int sign);
    };

    // core_jobs.cc, core_attempts.cc
    Result<void> checkAdmission(const WorkItem &item) const;
    Job &findOrAddJob(const JobKey &key);
    void initTasks(Job &job, Instant now);
    void enqueue(Job &job, Instant now);
    void dequeue(Job &job);
    void requeueTask(Job &job, int32_t index, Instant now);
    void removeWaiting(Job &job, size_t position);
    void failJob(Job &job, ErrorCode code, const std::string &reason);
    void endJob(Job &job, RemovalReason reason);
    void eraseIfDone(Job &job);
    TaskDisposition endAttempt(Attempt &attempt, TaskOutcome outcome, Instant now);
    TaskDisposition taskFailed(Job &job, int32_t index, WorkerRef where, TaskOutcome outcome,
                               Instant now);
    void delayTask(Job &job, int32_t index, Duration delay, Instant now);
    void updateWorkerHealth(Attempt &attempt, TaskOutcome outcome, Instant now);
    void recordWorkerFailure(Worker &worker, uint64_t job, bool probe, Instant now);
    Attempt *findAttempt(const TaskAttempt &target) const;
    void requeueDelayed(Instant now);
    void expireDeadlines(Instant now);

    // core_workers.cc, core_capacity.cc
    Worker &addWorker(const WorkerInfo &info);
    void eraseWorkerIfGone(Worker &worker);
    void adoptTask(Worker &worker, const RunningTask &report, Instant now);
    void applyInfo(Worker &worker, const WorkerInfo &info);
    void adjustCapacity(const Worker &worker, int sign);
    // Capacity of an idle worker that tasks may use, by the pool's overcommit and reserve.
    Resources usableCapacity(const Resources &capacity) const;
    // Capacity that is neither used nor reserved; may be negative.
    Resources freeCapacity(const Worker &worker) const;
    bool isEligible(const Worker &worker) const;
    void updateIndexEntry(Worker &worker);
    void adjustUsage(const Attempt &attempt, int sign);
    Attempt &addAttempt(Job &job, int32_t index, int32_t number, Worker &worker);
    void removeAttempt(Attempt &attempt);
    void updateShare(Team &team);
    void updateShares();
    void updateAverages();
    Team &findOrAddTeam(const std::string &name);
    void recordUsage(Attempt &attempt, const RunningTask &report, Instant now);
    void relieveResourcePressure(Worker &worker, const Resources &usage, Instant now);
    void liftThrottles(Worker &worker, Instant now);

    // core_place.cc
    void processTimers(Instant now);
    void flushOutbox(std::vector<Decision> &out, int max);
    void placeWaiting(std::vector<Decision> &out, StartGate &gate, int max);
    void placeTask(ShapeQueue &shapeQueue, Job &job, StartGate &gate, std::vector<Decision> &out);
    void startReserved(std::vector<Decision> &out, StartGate &gate, int max);
    int chooseWorker(const Job &job);
    void recordNoCapacity(const Job &job, const PlacementQuery &query);
    int chooseSpread(const Job &job, const PlacementQuery &query);
    int findStartableTask(const Job &job, StartGate &gate) const;
    void startTask(Job &job, int32_t index, Worker &worker, StartGate &gate,
                   std::vector<Decision> &out);
    void recordStart(Job &job, Task &task, const Attempt &attempt, Instant since);

    // core_gang.cc
    void placeGang(Job &job, StartGate &gate, std::vector<Decision> &out);
    void startGang(Job &job, StartGate &gate, std::vector<Decision> &out);
    bool isGangReady(const Job &job, StartGate &gate) const;
    void serveGangReservation(StartGate &gate, std::vector<Decision> &out);
    void endGangReservation();
    bool isReservationCovered(const Job &job, size_t reservation) const;
    void moveUncoveredReservations(Job &job);
    void reserveFutureCapacity(Job &job, size_t wanted);
    Worker *findWorkerNearestToFit(const Job &job) const;
    void updateWaitingGangs(Job &job, bool waiting);
    void addReservation(Job &job, Worker &worker, Instant expires);
    void releaseReservations(Job &job, size_t keep);
    void releaseReservationsOn(Worker &worker);
    void expireReservations();
    bool isReservationUsable(const Reservation &reservation) const;
    Worker *findReservedWorker(const Job &job) const;
    void consumeReservation(Job &job, const Worker &worker);
    Worker *preemptReservation(const Job &job);
    Worker *preemptReservationOf(Job &owner, const Resources &need);

    // core_preempt.cc
    void handleNoCapacity(ShapeQueue &shapeQueue, Job &job);
    bool tryPreemptFor(Job &job, size_t places);
    bool mayPreempt(const Attempt &attempt, int32_t urgency) const;
    std::optional<PreemptionPlan> findPreemption(const Job &job,
                                                 const std::vector<Worker *> &taken);
    std::optional<PreemptionPlan> planPreemptionOn(Worker &worker, const Job &job) const;
    bool planThrottle(Worker &worker, const Job &job, Headroom headroom,
                      PreemptionPlan &plan) const;
    Headroom headroomOn(const Worker &worker) const;
    void executePreemption(Job &job, const PreemptionPlan &plan);
    void throttle(Attempt &attempt, int64_t cpuMilli);
    bool hasNoVictims(const Job &job) const;

    // core_removal.cc
    void requestRemoval(Attempt &attempt, RemovalReason reason, Duration delay, bool checkpoint);
    void scheduleRemoval(Attempt &attempt, RemovalStage step, Instant due);
    void cancelRemoval(Attempt &attempt);
    void processRemovals(std::vector<Decision> &out, int max);
    bool isRemovalNeeded(const Attempt &attempt) const;
    void drain(Worker &worker, RemovalReason reason);
    void undrain(Worker &worker, RemovalReason reason);

    PoolSpec m_pool;
    std::unique_ptr<PlacementStrategy> m_strategy;
    bool m_strategyFromPool = false; // the strategy follows PoolSpec::placement
    SchedulerOptions m_options;
    std::shared_ptr<const QueueOrder> m_order;
    std::map<std::string, RouteSpec> m_routes;
    std::map<std::string, TeamSpec> m_teamSpecs;
    std::map<std::string, int64_t> m_remoteShares;

    Instant m_now;
    Instant m_sharesAveragedAt;
    uint64_t m_pass = 0;
    uint64_t m_serial = 0;
    bool m_allTasksKnown = false;

    boost::unordered_flat_map<JobKey, std::unique_ptr<Job>, std::hash<JobKey>> m_jobs;
    boost::unordered_flat_map<uint64_t, Job *> m_jobsBySerial;
    std::map<std::string, Team> m_teams;
    std::map<std::pair<std::string, std::string>, RouteTeamCounts>
        m_routeTeamCounts; // by route and team
    WaitingQueue m_queue;
    std::vector<JobKey> m_awaitingAdoption; // jobs that are queued by allTasksKnown()
    std::set<std::tuple<Instant, uint64_t, int32_t, Job *>>
        m_delayed; // by due time, sequence and index
    std::set<std::tuple<Instant, uint64_t, Job *>> m_deadlines;
    RetryBudget m_retryBudget;

    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
    std::vector<Worker *> m_slots;
    std::vector<int> m_freeSlots;
    std::vector<std::pair<Resources, int>>
        m_capacityCounts; // distinct capacities, with worker counts
    Resources m_totalCapacity;
    std::map<std::string, int> m_racks;
    WorkerIndex m_index;
    Zones m_zones;
    std::set<std::pair<Instant, WorkerId>> m_quarantineEnds;

    std::vector<int> m_avoidedSlots;
    std::set<std::tuple<uint64_t, uint64_t, Job *>>
        m_waitingGangs; // by past reservations and sequence
    // The gang that may reserve capacity ahead of its start and keep it from one pass to the next;
    // null if there is none.
    Job *m_gangReservationOwner = nullptr;
    Instant m_gangReservationExpires;
    std::set<uint64_t> m_reservationOwners; // serials of jobs that have reservations
    int m_preemptionSearches = 0; // in this pass
    int m_removalStepsLeft = 0; // in this pass
    // Reservations were released after jobs that may fit there had been evaluated in this pass.
    bool m_decideAgain = false;
    int m_nextVictimSlot = 0; // slot at which the next search for victims begins
    // A search for victims that failed; its result is reused until `until`.
    struct FailedVictimSearch
    {
        Instant until;
        int32_t urgency = 0;
        Resources need;
    };
    std::vector<FailedVictimSearch> m_failedVictimSearches;
    std::array<int64_t, UrgencyLevels> m_preemptibleCounts{}; // by urgency

    std::set<std::tuple<Instant, uint64_t, Attempt *>> m_removals;
    std::deque<Decision> m_outbox;
    std::vector<WaitSample> m_waitSamples;
    SchedulerCounters m_counters;
};

} // namespace cardamompaddle::sched
