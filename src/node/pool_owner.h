// The owner of one pool during one tenure: the sessions with the pool's workers, its scheduler, its
// quick requests and its jobs. It is created when this member may act for the pool and destroyed
// when it no longer may.
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

// The services that a PoolOwner uses; each must outlive it.
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
    // `poolCreatedAt`: a lower bound of the time at which the pool was added to the tables; no task
    // of the pool is older. Empty if this member did not see it being added. `firstAttempt`: the
    // number of the first attempt; each tenure uses its own range. Errors: InvalidArgument.
    static Result<std::unique_ptr<PoolOwner>> create(const PoolSpec &pool, const Tenure &tenure,
                                                     const PoolOwnerServices &services,
                                                     std::optional<Instant> poolCreatedAt,
                                                     int32_t firstAttempt, Instant now);
    ~PoolOwner() override;

    const Tenure &tenure() const { return m_tenure; }
    const PoolSpec &pool() const { return m_pool; }
    QuotaClient &quotaClient() { return m_quotaClient; }
    const PoolScheduler &scheduler() const { return m_scheduler; }
    // True once every task that may still run in the pool is known.
    bool allTasksKnown() const { return m_allTasksKnown; }

    // Applies the tables, the teams' shares and the zones that are out.
    void configure(const ConfigState &config, Instant now);
    // Sets the dominant share, in millionths, that each team uses in other pools.
    void setRemoteUsage(const std::map<std::string, int64_t> &shares);

    // Accepts a quick request. `done` runs once, possibly within this call.
    void request(const JobSpec &spec, Instant deadline, RequestDone done, Instant now);
    // The caller of a quick request disconnected. The request goes on if another caller waits for
    // it.
    void cancelRequest(const JobKey &key, Instant now);
    // The state of a job changed in the job store.
    void jobChanged(const JobKey &key, Instant now);

    // Lets the scheduler decide and sends commands to the workers. `mayAct`: this member may act
    // for the pool at time `now`.
    void advance(bool mayAct, Instant now);
    // Begins a planned stop: no more tasks start, and requests that were not started are answered
    // with Unavailable, not executed.
    void beginStop(Instant now);
    bool stopping() const { return m_stopping; }
    // True if no request is pending and no command is in flight.
    bool idle() const;
    // Releases the sessions and answers pending requests with an error. The owner must not be used
    // afterwards.
    void release(Instant now);

    // True if an event calls for a scheduling decision without waiting for the next interval.
    bool needsAdvance() const { return m_needsAdvance; }
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
    void markUnlistedAsLeaving(const std::set<WorkerId> &listed, Instant now);
    void updateAllTasksKnown(Instant now);
    void releaseLapsedTasks(Instant now);
    void submitKnownJobs(Instant now);
    void submitJob(const Job &job, bool mayBeRunning, Instant now);
    void finishJobIfDone(const Job &job, Instant now);
    void writeJobEnd(const Job &job, JobState state, const std::string &reason, Instant now);
    void taskFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now);
    void requestFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now);
    void jobTaskFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now);
    void flushFinishedTasks(Instant now);
    void finishedTasksWritten(const std::vector<TaskAttempt> &attempts, bool appended);
    void republishJobs(Instant now);
    void failOverdueRequests(Instant now);
    void decideIfDue(Instant now);
    void decide(Instant now);
    void execute(const Decision &decision, Instant now);
    void startTask(const Decision &decision);
    void rejectRequest(const Decision &decision, Instant now);
    void jobFailed(const Decision &decision, Instant now);
    void sendCommands(bool mayAct, Instant now);
    void recordWaits(Instant now);
    void syncQuotaClient();
    void updateDemand(Instant now);
    void stopExcessTasks(Instant now);
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
    Instant m_now; // time of the current call, for the StartGate callbacks
    Duration m_longestLease; // longest task lease during this tenure
    std::map<WorkerId, std::shared_ptr<WorkerSession>> m_sessions;
    std::map<WorkerId, int> m_runningTaskCounts; // from the newest report of each worker
    std::set<WorkerId> m_everAcquired; // including workers whose session was lost since
    uint64_t m_directoryRevision = 0;
    RequestTable m_requests;
    uint64_t m_nextSequence;
    bool m_allTasksKnown = false;
    bool m_jobsSubmitted = false;
    // The log had been read to its tail, after this owner was created, when the jobs were
    // submitted.
    bool m_jobsUpToDate = false;
    bool m_stopping = false;
    bool m_needsAdvance = true;
    bool m_limitReached = false; // a team's limit delayed a start since the last demand update
    bool m_demandReported = false; // the quota client may hold a demand above 0
    std::optional<Instant> m_lastDemandUpdate;
    std::set<JobKey> m_submittedJobs; // jobs submitted to the scheduler
    // Jobs whose Ended record is being written or has not been read back yet.
    std::set<JobKey> m_pendingEndRecords;
    // Reasons of failed jobs whose end has not been read back from the log.
    std::map<JobKey, std::string> m_failureReasons;
    // Tasks for which this owner wrote a start intent, unless the write failed.
    std::set<TaskId> m_requestedIntents;
    // A finished task whose result is not yet in the log. It is acknowledged to `worker`
    // afterwards.
    struct UnrecordedTask
    {
        TasksFinishedRecord::Entry entry;
        WorkerId worker;
        bool writeInFlight = false;
    };
    std::map<TaskAttempt, UnrecordedTask> m_unrecordedTasks;
    std::optional<Instant> m_lastDecision;
    std::optional<Instant> m_lastFlush;
    std::optional<Instant> m_lastRepublish;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object
};

} // namespace cardamompaddle
