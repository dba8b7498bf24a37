// One entry instance: serves job state to callers, stores submitted jobs in the log, and runs the
// scheduler while it holds the scheduler's tenure.
//
// Instances may fail and be replaced at new addresses at any time. Agreement rests on the log,
// which orders all records and fences former schedulers. An instance claims the tenure with a
// record of the next epoch, which the log stores only if the claimant has read every record before
// it. Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "admission/admission_policy.h"
#include "control/configuration_guard.h"
#include "control/job_submitter.h"
#include "control/peer_probe.h"
#include "control/publication_clock.h"
#include "control/record_publisher.h"
#include "control/scheduler.h"
#include "control/tenure_policy.h"
#include "control/worker_call_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// A decoded record of the operators' topic.
struct OperatorRecord
{
    std::shared_ptr<const Catalog> catalog; // null if the record holds no configuration
    std::string zoneOut; // availability zone taken out of use; empty if the record names none
};

struct InstanceContext
{
    SchedulerContext scheduler; // `jobTable` is the one that the instance owns
    std::string operatorTopic; // configuration and zones out of use
    // Errors: InvalidArgument if the record cannot be decoded.
    std::function<Result<OperatorRecord>(const KeyedRecord &)> decodeOperatorRecord;
};

struct InstanceOptions
{
    std::string name; // unique among the instances
    std::string peerAddress; // IP:PORT on which peers reach this instance
    // As in SchedulerOptions.
    Duration maxLease{10'000};
    double offRackFactor = 1;
    Duration terminalRetention{120'000};
    int64_t cpuMilli = 0; // processor of the machine in thousandths of a core; 0: unknown
    std::string availabilityZone;
    SchedulingPolicies policies = {};
};

class Instance
{
public:
    // Builds the context of an instance that owns the given job table.
    using ContextFactory = std::function<InstanceContext(const JobTable &)>;

    Instance(const ContextFactory &context, InstanceOptions options);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    void start();
    // Whether the instance should get new connections: it is configured, is not stopping, and has
    // read the log recently.
    bool isReady() const;
    // Null until the first configuration has been read.
    const Catalog *catalog() const { return m_catalog.get(); }
    // Whether requests may be decided by catalog(): the log has confirmed recently that there is no
    // newer one, and no peer is known to have one.
    bool isConfigurationCurrent() const { return m_configuration.isCurrent(now()); }
    // Calls `done` with isConfigurationCurrent(), after a read of the log if that may make it true.
    void confirmConfiguration(ConfigurationGuard::Done done)
    {
        m_configuration.confirm(now(), std::move(done));
    }
    // The newest version of the configuration that is known to be in force; 0 if none is.
    int64_t configurationVersion() const { return m_configuration.newestVersion(); }
    // Takes note of the version by which a peer decides, or 0.
    void configurationSeen(int64_t version) { m_configuration.seen(version, now()); }
    const JobTable &jobTable() const { return m_jobTable; }
    JobSubmitter &submitter() { return *m_submitter; }
    // Whether the job table is recent enough to answer that a job does not exist.
    bool isCurrent() const;
    // Whether reads and appends of this instance are answered by the log.
    bool isLogReachable() const;
    // Address of the instance that schedules, if it is another one and has recently published what
    // it stored; empty otherwise.
    std::string forwardTarget() const;
    // How long the scheduler's appends take at present; 0 if that is not known.
    Duration appendTime() const;
    // Address of the instance that appends what the callers of this one hand in, because the log is
    // slow and takes one append at a time; empty if this instance appends it itself.
    std::string collector() const;
    // Decides whether a job is refused because of its account's backlog, by the newest summary that
    // is known. Unless admission control is on at all instances, every job is admitted.
    AdmissionDecision decideAdmission(const AdmissionRequest &request) const;
    // Calls the policy service on behalf of the scheduler of another instance.
    void approve(const work::ApprovalRequest &request,
                 std::function<void(work::ApprovalAnswer)> done);
    // Applies records that another instance has stored and published, and relays them to the peers
    // that they name. They are a sign of life of the scheduler at the time it published them.
    void recordsStored(const work::StoredRecords &records);
    // Makes calls to workers for the scheduler of another instance.
    work::WorkerCallsReceived callWorkers(const work::WorkerCalls &calls)
    {
        return m_workerCallServer.receive(calls);
    }
    // Takes results of calls to workers that another instance has made. Ignored while this instance
    // does not schedule.
    void workerCallsAnswered(const work::WorkerAnswers &answers);
    // Makes isReady() false, releases the tenure if it is held here, and then calls `done`.
    void stop(std::function<void()> done);
    bool isScheduler() const { return m_scheduler != nullptr; }
    // Ready steps that wait, as Dispatcher::waitingSteps(); none while this instance does not
    // schedule.
    WaitingStepsByReason waitingSteps() const
    {
        return m_scheduler ? m_scheduler->waitingSteps() : WaitingStepsByReason{};
    }
    // How busy the callers of the policy service are; all 0 while this instance does not schedule.
    ApprovalLoad approvalLoad() const
    {
        return m_scheduler ? m_scheduler->approvalLoad() : ApprovalLoad{};
    }

    // Past use of client accounts, as Dispatcher::relativeUses(); none while this instance does not
    // schedule.
    std::map<std::string, double> relativeUses() const
    {
        return m_scheduler ? m_scheduler->relativeUses() : std::map<std::string, double>{};
    }

private:
    // Of the topics, while this instance is not the scheduler.
    static constexpr Duration FollowerPollInterval{800};

    // An attempt to become the scheduler.
    struct Claim
    {
        work::Tenure tenure; // the record to be stored
        ClaimWait wait;
        Instant sentAt; // when a claim of this epoch was first sent
        Instant formerHeldAt; // the former holder sent nothing later that the log stored
    };

    Instant now() const { return m_context.scheduler.clock.now(); }
    std::unique_ptr<LogFollower> createOperatorFollower();
    void onWorkRecord(const KeyedRecord &record);
    void updateFormerLeases(const WorkerId &id, Instant now);
    void boundFormerLeases(Instant now, int64_t heldMs);
    void onOperatorRecord(const KeyedRecord &record);
    void applyZones();
    void announce();
    void onProgressStored(int64_t epoch, const std::vector<KeyedRecord> &records, int64_t end);
    void onJobsStored(const std::vector<KeyedRecord> &records);
    void onSchedulerPublished(const work::StoredRecords &records);
    // Whether the scheduler has published recently stored records.
    bool schedulerReachesLog() const;
    work::Member ownMember() const;
    // Whether some instance may refuse jobs because of the backlog.
    bool refusalsPossible() const;
    // Whether this one may: all instances know how to handle it.
    bool mayRefuse() const;
    void updateClaimWait();
    // Time for which the scheduler has to be inactive before this instance claims the tenure.
    Duration claimTimeout() const;
    void checkTenure();
    void claim(Instant formerHeldAt);
    void onClaimed(const Claim &claim, const AppendResult &answer);
    void readClaimBack(const Claim &claim);
    void retryReadBack(const Claim &claim);
    void beginScheduling(const Claim &claim);
    void onTenureLost(const std::string &reason);
    void handOver(Instant now);
    void onHandOverProbed(const std::optional<work::Member> &successor);
    void releaseAndStop();
    void onReleased();
    void tick();
    void armTick(Duration wait);

    JobTable m_jobTable;
    InstanceContext m_context;
    InstanceOptions m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<LogFollower> m_work;
    std::unique_ptr<LogFollower> m_jobs;
    std::unique_ptr<LogFollower> m_operators;
    ConfigurationGuard m_configuration;
    RecordPublisher m_publisher;
    PeerProbe m_successorProbe;
    WorkerCallServer m_workerCallServer;
    std::unique_ptr<JobSubmitter> m_submitter;
    std::unique_ptr<Scheduler> m_scheduler;
    std::shared_ptr<const Catalog> m_catalog;
    // What the stored records of workers tell of their leases; see SchedulerOptions.
    std::map<WorkerId, FormerLeases> m_formerLeases;
    std::map<std::string, std::string> m_zonesOut; // availability zone by record key
    Timer m_tickTimer;
    Timer m_claimTimer;
    // Last activity of the scheduler: a record in the log, or records or a heartbeat published to
    // this instance.
    Instant m_schedulerActiveAt;
    // When the scheduler published what this instance has last received from it.
    Instant m_publishReceivedAt = Instant::min();
    Duration m_publishedAppendTime{0}; // of the scheduler's appends, as it has last published
    PublicationClock m_publicationClock;
    std::optional<BacklogSummary> m_backlog; // the newest one that is known
    int64_t m_publishedEnd = 0; // highest end of the work topic that the scheduler has published
    // Last refresh of the work topic because the scheduler had stopped publishing.
    Instant m_inactivityRefreshAt = Instant::min();
    ClaimWait m_claimWait;
    Duration m_claimReadTime{0}; // duration of the last refresh before a claim
    bool m_hasHeldTenure = false; // this process has held the tenure since it started
    bool m_claiming = false;
    int64_t m_claimedEpoch = 0; // of the last claim
    Instant m_claimSentAt; // when the first claim of m_claimedEpoch was sent
    bool m_releasing = false; // a successor is being looked for, or the tenure is being released
    Instant m_nextHandOverAt = Instant::min(); // earliest next search for a successor
    uint64_t m_handOverAttempts = 0;
    std::function<void()> m_onStopped; // set once stop() was called while holding the tenure
    bool m_announcing = false;
    bool m_stopping = false;
    bool m_wasReady = false;
};

} // namespace cardamompaddle
