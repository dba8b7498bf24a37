// One entry instance: answers callers from the log, takes jobs into it, and holds the scheduler's
// tenure when it falls to this instance.
//
// Any number of instances may be lost and others come at new addresses: the log orders and fences.
// A claim of the tenure is a record with the next epoch that is stored only if the claimant knew
// every record before it. Not thread-safe: the event loop's thread only.
#pragma once

#include "control/job_submitter.h"
#include "control/record_publisher.h"
#include "control/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// What a record of the operators says.
struct OperatorRecord
{
    std::shared_ptr<const Catalog> catalog; // null: it is no configuration
    std::string zoneOut; // empty: it names no zone
};

struct InstanceContext
{
    SchedulerContext scheduler; // its `jobTable` is the instance's own
    std::string operatorTopic;
    // Errors: InvalidArgument for a record of another form.
    std::function<Result<OperatorRecord>(const KeyedRecord &)> decodeOperatorRecord;
};

struct InstanceOptions
{
    std::string name; // unique among the instances
    std::string peerAddress; // IP:PORT on which peers reach this instance
    Duration maxLease{10'000};
    double offRackFactor = 1;
    Duration terminalRetention{120'000};
};

class Instance
{
public:
    // Builds the context for a job table that the instance owns.
    using ContextFactory = std::function<InstanceContext(const JobTable &)>;

    Instance(const ContextFactory &context, InstanceOptions options);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    void start();
    // Whether new connections are welcome: configured, and the log has answered of late.
    bool ready() const;
    // Null until the first configuration has been read.
    const Catalog *catalog() const { return m_catalog.get(); }
    const JobTable &jobTable() const { return m_jobTable; }
    JobSubmitter &submitter() { return *m_submitter; }
    // Whether what is known of jobs is recent enough to say that one does not exist.
    bool isCurrent() const;
    // Whether the log answers this instance.
    bool isLogReachable() const;
    // Address of the scheduler's instance if it has stored something a moment ago and is not this
    // one; empty otherwise.
    std::string forwardTarget() const;
    // Consults the policy service for the scheduler.
    void approve(const work::ApprovalRequest &request,
                 std::function<void(work::ApprovalAnswer)> done);
    // Takes what another instance has stored.
    void recordsStored(const work::StoredRecords &records);
    // Refuses new connections, gives the tenure up, and calls `done` when nothing is left to do.
    void stop(std::function<void()> done);
    bool isScheduler() const { return m_scheduler != nullptr; }

private:
    void onWorkRecord(const KeyedRecord &record);
    void onOperatorRecord(const KeyedRecord &record);
    void onOperatorsLoaded(const std::set<std::string> &keys);
    void applyZones();
    void announce();
    void onProgressStored(const std::vector<KeyedRecord> &records, int64_t end);
    void onJobsStored(const std::vector<KeyedRecord> &records);
    Duration neededSilence() const;
    void judgeTenure();
    void claim();
    void onClaimed(const work::Tenure &tenure, const AppendResult &answer);
    void readClaimBack(const work::Tenure &tenure);
    void retryReadBack(const work::Tenure &tenure);
    void beginScheduling(const work::Tenure &tenure);
    void onTenureLost(const std::string &reason);
    void handOver();
    void tick();

    JobTable m_jobTable;
    InstanceContext m_context;
    InstanceOptions m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::unique_ptr<LogFollower> m_work;
    std::unique_ptr<LogFollower> m_jobs;
    std::unique_ptr<LogFollower> m_operators;
    RecordPublisher m_publisher;
    std::unique_ptr<JobSubmitter> m_submitter;
    std::unique_ptr<Scheduler> m_scheduler;
    std::shared_ptr<const Catalog> m_catalog;
    std::map<std::string, std::string> m_zonesOut; // zone by key
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_claimTimer;
    std::mt19937_64 m_random;
    Instant m_activityAt; // the scheduler's last sign of life
    Instant m_heardAt = Instant::min(); // when the scheduler last told what it has stored
    int64_t m_toldEnd = 0; // of the work topic, as the scheduler last told
    Instant m_readAfterSilence = Instant::min();
    Duration m_claimDelay{0}; // silence after which this instance claims the tenure
    Duration m_readTime{0}; // of the last read before a claim
    bool m_hasHeld = false; // the tenure, in this life of the process
    bool m_claiming = false;
    bool m_handingOver = false;
    Instant m_backoffUntil = Instant::min(); // after handing the tenure over
    bool m_announcing = false;
    bool m_stopping = false;
    bool m_wasReady = false;
};

} // namespace cardamompaddle
