// One tenure of the fleet's scheduler: connects the dispatcher to the log, the workers and the
// policy service.
//
// The holder of the tenure makes every placement. Workers and the log reject commands and records
// with an older epoch, so a former holder can neither start tasks nor store progress. Not
// thread-safe: use it only on the event loop's thread.
#pragma once

#include "admission/backlog_feed.h"
#include "control/approval_requester.h"
#include "control/deferred_reports.h"
#include "control/fenced_writer.h"
#include "control/gateways.h"
#include "control/job_garbage_collector.h"
#include "control/job_table.h"
#include "control/load_meter.h"
#include "control/log_follower.h"
#include "control/remote_worker_gateway.h"
#include "control/tenure_clock.h"
#include "control/timer.h"
#include "control/worker_links.h"
#include "dispatch/dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// Writer name of the scheduler's records in the log. The log rejects records of this writer with an
// older epoch, which fences former schedulers.
inline constexpr const char *SchedulerWriter = "scheduler";

// Returns the Unix time in milliseconds. Tests inject their own.
using UnixClock = std::function<int64_t()>;

// External dependencies of a scheduler. All references must outlive it.
struct SchedulerContext
{
    boost::asio::io_context &io;
    const Clock &clock;
    UnixClock unixClock;
    KeyedLog &log;
    WorkerGateway &workers;
    PolicyGateway &policy;
    PeerGateway &peers;
    const JobTable &jobTable;
    std::string workTopic; // tenure, members, workers in use, progress of jobs
    std::string jobsTopic; // submissions and cancellations from callers
    std::string registryTopic; // worker registry
    // Decodes a registry entry. Errors: InvalidArgument if it describes no usable worker.
    std::function<Result<WorkerEntry>(const KeyedRecord &)> decodeWorker;
    LogLimits logLimits;
    ApprovalObserver approvalObserver = nullptr; // may be null
};

struct SchedulerOptions
{
    // The tenure as claimed. `startsRecorded` has the value that the former scheduler stored.
    work::Tenure tenure;
    Duration maxLease{10'000}; // longest lease that a worker grants
    double offRackFactor = 1; // run time of a task off its preferred rack, as a multiple
    Instant claimSentAt{}; // when the claim of the tenure was first sent
    // The former scheduler sent nothing after this time that the log has stored.
    Instant formerTenureHeldAt = Instant::min();
    Duration terminalRetention{120'000}; // how long the state of a job can be queried after its end
    // What the stored records of workers tell of their leases. `expiry` is set if the record
    // promises that nobody extends them.
    std::map<WorkerId, FormerLeases> formerLeases;
    SchedulingPolicies policies = {};
};

class Scheduler
{
public:
    // Receives stored records that peers need at once, and the end offset of the work topic after
    // them, 0 if the log did not return it. An empty list is a heartbeat, or tells peers at once
    // that appends have become slow; lastStoredAt() tells which.
    using RecordsStoredCallback =
        std::function<void(const std::vector<KeyedRecord> &, int64_t end)>;
    // Reads the jobs topic up to its end. Calls `done` with true once the job table holds all that
    // was stored there before the call, or with false if the log does not answer.
    using JobsRefresh = std::function<void(std::function<void(bool)> done)>;
    // `nextSequence` is the sequence number of the first append under this epoch. `onTenureLost` is
    // posted to the event loop when another holder has taken over; it may destroy the scheduler.
    Scheduler(SchedulerContext context, SchedulerOptions options, int64_t nextSequence,
              JobsRefresh refreshJobs, std::function<void(const std::string &reason)> onTenureLost,
              RecordsStoredCallback recordsStored);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void start();
    void setCatalog(std::shared_ptr<const Catalog> catalog);
    void setZonesOut(std::set<std::string> zones);
    // Whether the timers of this process have been running late for long enough that another
    // instance should schedule. Always false soon after the start of the tenure.
    bool isOverloaded() const;
    // How long appends take at present: the average, or the time that one has been in flight if
    // that is longer.
    Duration appendTime() const;
    Instant lastStoredAt() const { return m_lastStoredAt; }
    // Describes what the scheduler waits for at the log, as fields of an event.
    std::string appendStatus() const;
    // Ready steps that wait; see Dispatcher::waitingSteps().
    WaitingStepsByReason waitingSteps() const;
    ApprovalLoad approvalLoad() const;
    // Returns the summary of the backlog that the peers are to be told now; none if there is none.
    // Without admission control there is none.
    std::optional<BacklogSummary> takeBacklog();
    // Past use of client accounts; see Dispatcher::relativeUses().
    std::map<std::string, double> relativeUses() const;
    // How long instances have held the tenure; see TenureClock.
    int64_t heldMs() const { return m_tenureClock.heldMs(); }
    // Releases the tenure as release() does, and records that the holder was overloaded.
    void handOver(const work::Member &successor, Duration maxWait, std::function<void()> done);
    // Must be called after a record has changed the job table, with the results of
    // JobTable::apply().
    void jobTableChanged(JobTable::Change change, const std::string &id);
    // Stores pending records and a released tenure, which names the successor (may be empty).
    // `done` is called once they are stored, or after `maxWait` if that takes longer.
    void release(const std::string &successor, Duration maxWait, std::function<void()> done);
    // Takes results of calls to workers that another instance has made for this one.
    void workerCallsAnswered(const work::WorkerAnswers &answers) { m_workers.answered(answers); }

private:
    static constexpr Duration FlushDelay{25}; // batches changes of progress into one append
    static constexpr Duration StartFlushDelay{12}; // batches starts into one append
    static constexpr Duration HeartbeatInterval{150}; // longest time without an append

    void onWorkerRecord(const KeyedRecord &record);
    void onRegistryLoaded(const std::set<std::string> &ids);
    void onReport(const WorkerId &id, const RunReport &report);
    void processReport(const WorkerId &id, const RunReport &report);
    void refreshJobTable();
    void onJobTableRefreshed(Instant requestedAt, bool current);
    void updateReachable(const WorkerId &id);
    // The record of a worker in use; see work::UsedWorker for the values.
    KeyedRecord usedWorkerRecord(const WorkerId &id, Duration leasesExpireWithin,
                                 int64_t runsRecordedEpoch) const;
    // Returns the incarnation that the worker's next record names.
    int64_t incarnationToStore(const WorkerId &id) const;
    // Has the worker's record stored if it names another incarnation than the one that answers.
    void storeIncarnation(const WorkerId &id);
    FormerLeases formerLeases(const WorkerId &id) const;
    bool leasesPermitted(const WorkerId &id, int64_t startedAtMs) const;
    void suspendLeases(std::vector<KeyedRecord> &records);
    void closeWorkers(std::vector<KeyedRecord> &records);
    bool runsAreRecorded(const WorkerId &id) const;
    void updateReconciliation();
    void logAwaitedWorkers(Instant now) const;
    void schedulePass();
    void runPass();
    void armEventTimer();
    void updateStartRecording(Duration appendTime);
    void setStartsRecorded(bool recorded);
    void scheduleFlush(Duration wait);
    void flush();
    void onStored(const std::vector<KeyedRecord> &records);
    void onRejected(const KeyedRecord &record, const std::string &reason);
    void publish(const std::vector<KeyedRecord> &records);
    void reportSlowAppend(Instant now);
    void updateWorkerGateway();
    void addWorkerRecords(std::vector<KeyedRecord> &records);
    void addUsageRecord(std::vector<KeyedRecord> &records, Instant now);
    void tick();
    void armTickTimer();
    void logLoad(Instant now);
    void finishRelease();
    void reportTenureLost(const std::string &reason);

    SchedulerContext m_context;
    SchedulerOptions m_options;
    JobsRefresh m_refreshJobs;
    std::function<void(const std::string &)> m_onTenureLost;
    RecordsStoredCallback m_recordsStored;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Dispatcher m_dispatcher;
    RemoteWorkerGateway m_workers;
    std::unique_ptr<WorkerLinks> m_links;
    std::unique_ptr<ApprovalRequester> m_approvalRequester;
    std::unique_ptr<LogFollower> m_registry;

    Instant m_startedAt;
    bool m_registryLoaded = false;
    // Workers of an earlier scheduler whose runs are not reconciled yet.
    std::set<WorkerId> m_unreconciled;
    bool m_allReconciled = false; // the registry is loaded and m_unreconciled has become empty
    DeferredReports m_deferredReports;
    bool m_refreshingJobs = false; // a refresh of the job table is in progress
    // The job table holds all jobs that were stored before; Instant::min() until it is refreshed.
    Instant m_jobTableAsOf = Instant::min();
    // Workers on which earlier schedulers have started nothing that the progress of jobs does not
    // tell.
    std::set<WorkerId> m_recordedWorkers;
    // Workers with a stored UsedWorker record, and the incarnation that it names. Only these get
    // leases and starts, so that a later scheduler knows where tasks may run.
    std::map<WorkerId, int64_t> m_storedUsedWorkers;
    std::set<WorkerId> m_usedWorkersToStore;
    // Workers whose lease must not be extended until their record is stored without the promise
    // that it is not, and when all leases on them have expired. A later scheduler relies on it.
    std::map<WorkerId, Instant> m_suspendedLeases;
    // When the promise was last put into an append of this tenure.
    std::map<WorkerId, Instant> m_suspensionsStoredAt;
    // Workers that are draining or not listed.
    std::set<WorkerId> m_retiredWorkers;
    // Retired workers whose record says that all their runs are recorded. They get no starts until
    // a record without that is stored.
    std::set<WorkerId> m_closedWorkers;
    std::set<WorkerId> m_usedWorkersToRemove;
    std::set<WorkerId> m_reachable;
    // Position up to which the finished runs of a worker's incarnation are stored. The worker may
    // discard these.
    struct StoredPosition
    {
        int64_t startedAtMs = 0; // of the incarnation
        int64_t position = 0;
    };
    std::map<WorkerId, StoredPosition> m_storedPositions;

    Timer m_passTimer;
    Duration m_passDelay; // before the next pass
    bool m_passArmed = false;
    Timer m_eventTimer;
    Timer m_flushTimer;
    bool m_flushArmed = false;
    Instant m_flushDue;
    Timer m_tickTimer;
    Instant m_tickDue;
    double m_averageLagMs = 0; // lateness of ticks, as an exponential moving average
    BacklogFeed m_backlogFeed;
    LoadMeter m_load;
    Instant m_loadLoggedAt;
    Instant m_tenureRecordedAt; // when the tenure record last went into an append
    Instant m_usageTakenAt; // when the usage last went into an append, or the start of the tenure

    std::vector<StartOrder> m_startsToRecord; // to be recorded in the next append
    std::vector<StartOrder> m_startsInBatch; // recorded by the append in flight, sent once stored
    bool m_recordBeforeStart = true; // false while the log is too slow to wait for
    bool m_tenureDirty = false; // the next append has to include the tenure record
    Duration m_averageAppendTime{0}; // as an exponential moving average
    bool m_slowAppendReported = false; // of the append in flight

    FencedWriter m_writer;
    JobGarbageCollector m_jobGarbageCollector;
    // Contents of the append in flight: positions of finished runs, used workers, and the keys of
    // records that peers need at once.
    std::map<WorkerId, StoredPosition> m_batchPositions;
    std::map<WorkerId, int64_t> m_batchUsedWorkers; // with the incarnation that is stored
    std::set<std::string> m_batchUrgent;
    Instant m_lastPublishedAt;
    bool m_flushPending = false; // a flush was requested while an append was in flight
    Instant m_lastStoredAt; // when the last append was answered as stored
    TenureClock m_tenureClock;

    std::function<void()> m_onReleased; // set once release() was called
    bool m_releaseInBatch = false; // the append in flight holds the released tenure
    Timer m_releaseTimer;
};

} // namespace cardamompaddle
