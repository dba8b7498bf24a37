// Owns one pool for one tenure: its workers' sessions, its scheduler, its quick requests and its
// jobs. Made when the member may act for the pool, dropped when it no longer may.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "config/config_state.h"
#include "limits/quota_client.h"
#include "metrics/registry.h"
#include "metrics/slo.h"
#include "node/instance_directory.h"
#include "node/job_service.h"
#include "node/request_table.h"
#include "node/worker_session.h"
#include "platform/worker.h"
#include "scheduler/pool_scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// What a pool's owner works with; each must outlive it.
struct PoolOwnerServices
{
    WorkerClient &workers;
    JobService &jobs;
    InstanceDirectory &directory;
    Registry &metrics;
    SloTracker &slo;
};

// Not thread-safe: control thread only.
class PoolOwner : private WorkerSessionEvents, private StartGate
{
public:
    // `poolCreatedAt`: when this member saw the pool appear in the tables; no task of the pool is
    // older. Empty if the pool was there before. `firstAttempt`: attempts are numbered from here
    // on, differently for each tenure. Errors: InvalidArgument.
    static Result<std::unique_ptr<PoolOwner>> create(const PoolSpec &pool, const Tenure &tenure,
                                                     const PoolOwnerServices &services,
                                                     std::optional<Instant> poolCreatedAt,
                                                     int32_t firstAttempt, Instant now);
    ~PoolOwner() override;

    const Tenure &tenure() const { return m_tenure; }
    const PoolSpec &pool() const { return m_pool; }
    QuotaClient &quotaClient() { return m_quotaClient; }
    const PoolScheduler &scheduler() const { return m_scheduler; }
    // Every task that may run in the pool is known.
    bool complete() const { return m_complete; }

    // Takes over tables, shares and zones.
    void configure(const ConfigState &config, Instant now);
    // Dominant share in use in other pools, millionths, by team.
    void setRemoteUsage(const std::map<std::string, int64_t> &shares);

    // Takes in a quick request; `done` runs once, possibly within this call.
    void request(const JobSpec &spec, Instant deadline, RequestDone done, Instant now);
    // The caller of a quick request has gone.
    void cancelRequest(const JobKey &key, Instant now);
    // The fold of the jobs changed this job.
    void jobChanged(const JobKey &key, Instant now);

    // Decides and sends. `mayAct`: the member may act for the pool at this moment.
    void advance(bool mayAct, Instant now);
    // Part of a planned stop: starts nothing more and gives back, as not run, what was not started.
    void beginStop(Instant now);
    bool stopping() const { return m_stopping; }
    // No request is pending and no command is in flight.
    bool idle() const;
    // Gives up the sessions and answers what is pending. The owner must not be used afterwards.
    void release(Instant now);

    // Something happened that the next advance() should decide on at once.
    bool dirty() const { return m_dirty; }
    int acquiredWorkers() const;
    int knownWorkers() const { return static_cast<int>(m_sessions.size()); }
    size_t pendingRequests() const { return m_requests.pendingCount(); }

private:
    PoolOwner(const PoolSpec &pool, const Tenure &tenure, const PoolOwnerServices &services,
              PoolScheduler scheduler, QuotaClient client, std::optional<Instant> poolCreatedAt,
              Instant now);

    // WorkerSessionEvents
    void sessionAcquired(const WorkerInfo &worker, const SessionGrant &grant, Instant now) override;
    void sessionLost(const WorkerInfo &worker, Instant now) override;
    void workerReported(const WorkerInfo &worker, const WorkerReport &report, Instant now) override;
    void startRefused(const WorkerInfo &worker, const TaskAttempt &attempt,
                      const std::string &reason, Instant now) override;
    // StartGate
    bool mayStart(const std::string &team, int32_t count) override;
    bool mayStartNonRepeatable(const TaskId &task) override;
    void startDecided(const std::string &team) override;

    void updateSessions(Instant now);
    void retireUnlisted(const std::set<WorkerId> &listed, Instant now);
    void updateComplete(Instant now);
    void releaseLapsed(Instant now);
    void submitKnownJobs(Instant now);
    void submitJob(const Job &job, bool mayBeRunning, Instant now);
    void finishJobIfDone(const Job &job, Instant now);
    void endJob(const Job &job, JobState state, const std::string &reason, Instant now);
    void taskFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now);
    void requestFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now);
    void jobTaskFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now);
    void flushFinished(Instant now);
    void finishesWritten(const std::vector<TaskAttempt> &attempts, bool appended);
    void republishJobs(Instant now);
    void endOverdueRequests(Instant now);
    void decideIfDue(Instant now);
    void decide(Instant now);
    void carryOut(const Decision &decision, Instant now);
    void startTask(const Decision &decision);
    void rejectRequest(const Decision &decision, Instant now);
    void jobFailed(const Decision &decision, Instant now);
    void sendCommands(bool mayAct, Instant now);
    void observeWaits(Instant now);
    void syncQuotaClient();
    void updateDemand(Instant now);
    void shedExcess(Instant now);
    void finishWithError(const JobKey &key, ErrorCode code, const std::string &reason, Instant now);
    WorkerSession *session(const WorkerId &worker);
    JobService::WriteDone whileAlive(JobService::WriteDone done) const;

    PoolSpec m_pool;
    Tenure m_tenure;
    PoolOwnerServices m_services;
    PoolScheduler m_scheduler;
    QuotaClient m_quotaClient;
    std::optional<Instant> m_poolCreatedAt;
    Instant m_createdAt;
    Instant m_now; // of the present call, for the gate's callbacks
    Duration m_longestLease; // of any task started under this tenure
    std::map<WorkerId, std::shared_ptr<WorkerSession>> m_sessions;
    std::map<WorkerId, int> m_runningOnWorker;
    std::set<WorkerId> m_everAcquired;
    uint64_t m_directoryRevision = 0;
    RequestTable m_requests;
    uint64_t m_nextSequence;
    bool m_complete = false;
    bool m_jobsSubmitted = false;
    bool m_jobsUpToDate = false; // the log was read to its tail before they were
    bool m_stopping = false;
    bool m_dirty = true;
    bool m_limited = false; // a start was held back by its team's limit
    bool m_demanding = false;
    std::optional<Instant> m_lastDemand;
    std::set<JobKey> m_submitted; // jobs handed to the scheduler
    std::set<JobKey> m_endWritten; // jobs whose Ended record is on its way
    std::map<JobKey, std::string> m_failed; // reasons of failed jobs until their end is in the log
    std::set<TaskId> m_intentsAsked;
    // Ends of tasks that are not yet in the log, and where to acknowledge them.
    struct Unlogged
    {
        TasksFinishedRecord::Entry entry;
        WorkerId worker;
        bool writing = false;
    };
    std::map<TaskAttempt, Unlogged> m_unlogged;
    std::optional<Instant> m_lastDecide;
    std::optional<Instant> m_lastFlush;
    std::optional<Instant> m_lastRepublish;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // for callbacks that may be late
};

} // namespace cardamompaddle
