// The state of a pool's scheduler and the steps of its decisions; pool_scheduler.h has the
// contracts.
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
    // A number that no earlier owner of the pool has used.
    int32_t nextAttempt(const Task &task) const
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

    // core_rows.cc
    std::optional<Instant> nextEvent(Instant now) const;
    std::string explainWaiting(const JobKey &key, Instant now) const;
    std::vector<QueueRow> queueRows(Instant now) const;
    std::vector<WorkerRow> workerRows(Instant now) const;
    SchedulerCounters counters() const { return m_counters; }
    std::map<std::string, int64_t> localUsage() const;
    std::map<std::string, int32_t> runningByTeam() const;
    std::vector<WaitSample> takeWaitSamples() { return std::exchange(m_waitSamples, {}); }

private:
    // One way to make room on a worker for one task.
    struct Displacement
    {
        Worker *worker = nullptr;
        bool throttle = false; // by throttling alone
        std::vector<Attempt *> victims;
        int64_t cost = 0; // milliseconds of run time that would be lost
    };

    // What is free on a worker by both rules; may be negative.
    struct Room
    {
        Resources declared;
        int64_t chargedCpu = 0;
        bool fits(const Resources &need) const;
        void add(const Attempt &attempt, int sign);
    };

    // core_jobs.cc, core_attempts.cc
    Result<void> admissible(const WorkItem &item) const;
    Job &newJob(const JobKey &key);
    void fillTasks(Job &job, Instant now);
    void enqueue(Job &job, Instant now);
    void dequeue(Job &job);
    void makeWaiting(Job &job, int32_t index, Instant now);
    void popWaiting(Job &job, size_t position);
    void failJob(Job &job, ErrorCode code, const std::string &reason);
    void endJob(Job &job, RemovalReason reason);
    void eraseIfDone(Job &job);
    TaskDisposition attemptOver(Attempt &attempt, TaskOutcome outcome, Instant now);
    TaskDisposition taskFailed(Job &job, int32_t index, WorkerRef where, TaskOutcome outcome,
                               Instant now);
    void delayTask(Job &job, int32_t index, Duration delay, Instant now);
    void judgeWorker(Attempt &attempt, TaskOutcome outcome, Instant now);
    void blameWorker(Worker &worker, uint64_t job, bool probe, Instant now);
    Attempt *findAttempt(const TaskAttempt &target) const;
    void wakeDelayed(Instant now);
    void expireDeadlines(Instant now);

    // core_workers.cc, core_capacity.cc
    Worker &newWorker(const WorkerInfo &info);
    void forgetIfGone(Worker &worker);
    void adopt(Worker &worker, const RunningTask &report, Instant now);
    void applyInfo(Worker &worker, const WorkerInfo &info);
    void countCapacity(const Worker &worker, int sign);
    Resources emptyRoom(const Resources &capacity) const;
    Resources freeOf(const Worker &worker) const; // what holds leave over; may be negative
    bool eligible(const Worker &worker) const;
    void refile(Worker &worker);
    void account(const Attempt &attempt, int sign);
    Attempt &attach(Job &job, int32_t index, int32_t number, Worker &worker);
    void detach(Attempt &attempt);
    void updateShare(Team &team);
    void updateShares();
    void updateAverages();
    Team &teamOf(const std::string &name);
    void measure(Attempt &attempt, const RunningTask &report, Instant now);
    void relievePressure(Worker &worker, const Resources &usage, Instant now);
    void restoreThrottled(Worker &worker, Instant now);

    // core_place.cc
    void advance(Instant now);
    void flush(std::vector<Decision> &out, int max);
    void placeWaiting(std::vector<Decision> &out, StartGate &gate, int max);
    void placeOne(Lane &lane, Job &job, StartGate &gate, std::vector<Decision> &out);
    void serveHolders(std::vector<Decision> &out, StartGate &gate, int max);
    int choose(const Job &job);
    void nothingFits(const Job &job, const PlacementQuery &query);
    int chooseSpread(const Job &job, const PlacementQuery &query);
    int readyTask(const Job &job, StartGate &gate) const;
    void start(Job &job, int32_t index, Worker &worker, StartGate &gate,
               std::vector<Decision> &out);
    void noteStart(Job &job, Task &task, const Attempt &attempt, Instant since);

    // core_gang.cc
    void placeGang(Job &job, StartGate &gate, std::vector<Decision> &out);
    void startGang(Job &job, StartGate &gate, std::vector<Decision> &out);
    bool gangReady(const Job &job, StartGate &gate) const;
    void serveReservation(StartGate &gate, std::vector<Decision> &out);
    void endReservation();
    bool covered(const Job &job, size_t hold) const;
    void coverHolds(Job &job);
    void reserveAhead(Job &job, size_t wanted);
    Worker *soonestRoom(const Job &job) const;
    void fileGang(Job &job, bool waiting);
    void addHold(Job &job, Worker &worker, Instant expires);
    void releaseHolds(Job &job, size_t keep);
    void releaseHoldsOn(Worker &worker);
    void expireHolds();
    bool holdUsable(const Hold &hold) const;
    Worker *usableHold(const Job &job) const;
    void consumeHold(Job &job, const Worker &worker);
    Worker *takeFromHolders(const Job &job);
    Worker *takeFrom(Job &holder, const Resources &need);

    // core_preempt.cc
    void noRoom(Lane &lane, Job &job);
    bool makeRoom(Job &job, size_t places);
    bool mayDisplace(const Attempt &attempt, int32_t urgency) const;
    std::optional<Displacement> planDisplacement(const Job &job,
                                                 const std::vector<Worker *> &taken);
    std::optional<Displacement> planOn(Worker &worker, const Job &job) const;
    bool planThrottle(Worker &worker, const Job &job, Room room, Displacement &plan) const;
    Room roomOn(const Worker &worker) const;
    void carryOut(Job &job, const Displacement &plan);
    void throttle(Attempt &attempt, int64_t cpuMilli);
    bool surelyNoVictims(const Job &job) const;

    // core_removal.cc
    void requestRemoval(Attempt &attempt, RemovalReason reason, Duration delay, bool checkpoint);
    void schedule(Attempt &attempt, Removal step, Instant due);
    void cancelRemoval(Attempt &attempt);
    void stepRemovals(std::vector<Decision> &out, int max);
    bool stillWanted(const Attempt &attempt) const;
    void drain(Worker &worker, RemovalReason reason);
    void undrain(Worker &worker, RemovalReason reason);

    PoolSpec m_pool;
    std::unique_ptr<PlacementStrategy> m_strategy;
    bool m_ownStrategy = false; // chosen by the pool's `placement`
    SchedulerOptions m_options;
    std::shared_ptr<const QueueOrder> m_order;
    std::map<std::string, RouteSpec> m_routes;
    std::map<std::string, TeamSpec> m_teamSpecs;
    std::map<std::string, int64_t> m_remoteShares;

    Instant m_now;
    Instant m_averagedAt;
    uint64_t m_pass = 0;
    uint64_t m_serial = 0;
    bool m_allKnown = false;

    boost::unordered_flat_map<JobKey, std::unique_ptr<Job>, std::hash<JobKey>> m_jobs;
    boost::unordered_flat_map<uint64_t, Job *> m_bySerial;
    std::map<std::string, Team> m_teams;
    std::map<std::pair<std::string, std::string>, RouteTeam> m_counts; // by route and team
    WaitingQueue m_queue;
    std::vector<JobKey> m_heldBack; // until allTasksKnown
    std::set<std::tuple<Instant, uint64_t, int32_t, Job *>> m_delayed; // by sequence and index
    std::set<std::tuple<Instant, uint64_t, Job *>> m_deadlines;
    RetryBudget m_budget;

    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
    std::vector<Worker *> m_slots;
    std::vector<int> m_freeSlots;
    std::vector<std::pair<Resources, int>> m_capacities; // different ones and their number
    Resources m_total;
    std::map<std::string, int> m_racks;
    WorkerIndex m_index;
    Zones m_zones;
    std::set<std::pair<Instant, WorkerId>> m_quarantines; // by end

    std::vector<int> m_avoid;
    std::set<std::tuple<uint64_t, uint64_t, Job *>> m_gangs; // waiting, by reservations, sequence
    Job *m_reserved = nullptr;
    Instant m_reservedUntil;
    std::set<uint64_t> m_holders; // serials of jobs with holds
    int m_arrangements = 0; // of this pass
    int m_stopsLeft = 0; // of this pass
    bool m_again = false; // room was given back after work that it may suit had been passed over
    int m_nextVictim = 0; // slot at which the next search for victims begins
    struct NoVictims
    {
        Instant until;
        int32_t urgency = 0;
        Resources need;
    };
    std::vector<NoVictims> m_noVictims;
    std::array<int64_t, Urgencies> m_displaceable{}; // attempts by urgency

    std::set<std::tuple<Instant, uint64_t, Attempt *>> m_removals;
    std::deque<Decision> m_outbox;
    std::vector<WaitSample> m_waitSamples;
    SchedulerCounters m_counters;
};

} // namespace cardamompaddle::sched
