// One entry instance without its sockets: membership, configuration, jobs, the pools and
// coordinators that it owns, and the work of callers and operators.
//
// Core: all I/O goes through the interfaces in NodeServices; the present time is an argument.
// Control thread only.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/membership.h"
#include "metrics/registry.h"
#include "metrics/slo.h"
#include "node/config_service.h"
#include "node/instance_directory.h"
#include "node/job_service.h"
#include "node/metrics_reporter.h"
#include "node/pool_owner.h"
#include "node/quota_service.h"
#include "node/request_router.h"
#include "peer/peer_message.h"
#include "platform/log.h"
#include "platform/worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

struct NodeOptions
{
    SeatId self = 0;
    uint64_t incarnation = 1;
    MembershipOptions membership;
    Duration logRetention{3'600'000}; // shortest time for which the log keeps a record
};

// The world outside; each must outlive the node.
struct NodeServices
{
    LogClient &log;
    WorkerClient &workers;
    InstanceListClient &instances;
    PeerTransport &peers;
    Registry &metrics;
    // Receives one line of key=value fields for each change of state.
    std::function<void(const std::string &line)> stateLog;
};

class Node
{
public:
    // Errors: InvalidArgument.
    static Result<std::unique_ptr<Node>> create(NodeOptions options, const NodeServices &services,
                                                Instant now);
    ~Node();

    // Lets time pass. Call it at least every 20 ms, and at once after needsAdvance() turns true.
    void advance(Instant now);
    // Something happened that should be decided on without waiting for the next tick.
    bool needsAdvance() const;

    // Empty if callers may be served, else the reason.
    std::string notReadyReason(Instant now) const;
    bool superseded() const { return m_membership.superseded(); }

    const ConfigState &config() const { return m_config->state(); }
    ConfigService &configService() { return *m_config; }
    JobService &jobs() { return *m_jobs; }
    const InstanceDirectory &directory() const { return m_directory; }
    const Membership &membership() const { return m_membership; }
    RequestRouter &router() { return m_router; }
    PeerTransport &peers() { return m_services.peers; }
    const QuotaService &quotaService() const { return m_quotaService; }
    const std::map<std::string, std::unique_ptr<PoolOwner>> &owners() const { return m_owners; }
    Registry &metrics() { return m_services.metrics; }
    SloTracker &slo() { return m_slo; }
    SeatId self() const { return m_options.self; }
    int32_t seatCount() const { return m_options.membership.seatCount; }

    // Asks the owner of the job's pool how the job fares. The answer is empty if it cannot be had.
    using JobStatusDone = std::function<void(std::optional<WhyAnswer> answer, Instant now)>;
    void queryOwner(const JobKey &key, const std::string &pool, JobStatusDone done, Instant now);

    // Answers requests of peers that this class does not handle itself, for example rows.
    using PeerHandler =
        std::function<std::optional<PeerBody>(const PeerBody &request, Instant now)>;
    void setPeerHandler(PeerHandler handler) { m_peerHandler = std::move(handler); }
    // Called for each job whose state changed, after the owner of its pool was told.
    void setJobChanged(JobService::JobChanged callback) { m_jobChanged = std::move(callback); }

    // Planned stop: nothing new is taken in; requests that run are finished, pools are handed over.
    void beginStop(Instant now);
    // The hand-over is complete and the peers were told.
    bool stopped(Instant now) const;

private:
    Node(NodeOptions options, const NodeServices &services, Membership membership,
         std::unique_ptr<ConfigService> config, std::unique_ptr<JobService> jobs, Instant now);

    void sendHeartbeats(Instant now);
    HeartbeatMessage heartbeatMessage(Instant now) const;
    void heartbeatAnswered(SeatId from, uint64_t probe, const HeartbeatMessage &answer,
                           Instant now);
    void peerMessageReceived(SeatId from, const HeartbeatMessage &message, bool answer,
                             Instant now);
    void handlePeer(SeatId from, const PeerBody &request, const PeerTransport::Respond &respond,
                    Instant now);
    void handleHeartbeat(SeatId from, const HeartbeatMessage &request,
                         const PeerTransport::Respond &respond, Instant now);
    std::optional<WhyAnswer> localJobStatus(const JobKey &key, const std::string &pool,
                                            Instant now);
    void handleForward(const ForwardedRequest &request, const PeerTransport::Respond &respond,
                       Instant now);
    void updateIncarnation();
    bool isMostCurrent(Instant now) const;
    void updateConfig(Instant now);
    void notePools(Instant now);
    int32_t firstAttempt(Instant now) const;
    void updateOwners(Instant now);
    void advanceOwners(Instant now);
    void dropOwner(const std::string &pool, std::string_view reason, Instant now);
    void updateCoordinators(Instant now);
    void republishForOthers(Instant now);
    void updateRemoteUsage();
    void learnDirectoryHistory(Instant now);
    void advanceStop(Instant now);
    PoolOwner *owner(const std::string &pool);
    PoolOwner *actingOwner(const std::string &pool, Instant now);
    void logState(const std::string &line) const;

    NodeOptions m_options;
    NodeServices m_services;
    Membership m_membership;
    std::unique_ptr<ConfigService> m_config;
    std::unique_ptr<JobService> m_jobs;
    InstanceDirectory m_directory;
    SloTracker m_slo;
    QuotaService m_quotaService;
    std::map<std::string, std::unique_ptr<PoolOwner>> m_owners;
    RequestRouter m_router;
    MetricsReporter m_metricsReporter;
    PeerHandler m_peerHandler;
    JobService::JobChanged m_jobChanged;

    std::map<std::string, TeamSpec> m_teams; // of the tables, and team "open"
    std::optional<uint64_t> m_configuredVersion;
    std::map<std::string, Instant> m_poolCreatedAt; // pools that appeared while this member looked
    std::set<std::string> m_knownPools; // of the newest configuration
    struct PeerReport
    {
        std::map<std::string, int64_t> dominantShare;
        std::vector<std::string> ownedPools;
        uint64_t jobsNext = 0;
        uint64_t jobsKnownFrom = 0;
        Instant heardAt;
    };
    std::map<SeatId, PeerReport> m_peerReports;
    std::optional<Instant> m_lastHeartbeat;
    std::optional<Instant> m_lastCoordinatorUpdate;
    std::optional<Instant> m_lastHistoryRequest;
    std::optional<Instant> m_lastRepublish;
    Instant m_createdAt;
    bool m_hadQuorum = false;
    bool m_stopping = false;
    std::optional<Instant> m_leftAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // for callbacks that may be late
};

} // namespace cardamompaddle
