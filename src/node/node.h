// One entry instance without its sockets: membership, configuration, jobs, the pools that it owns,
// the quota coordinators that it runs, and the routing of quick requests.
//
// All I/O goes through the interfaces in NodeServices, and the present time is an argument. Control
// thread only.
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

// The external services that a node uses; each must outlive it.
struct NodeServices
{
    LogClient &log;
    WorkerClient &workers;
    InstanceListClient &instances;
    PeerTransport &peers;
    Registry &metrics;
    // Called with one line of key=value fields for each change of state.
    std::function<void(const std::string &line)> stateLog;
};

class Node
{
public:
    // Errors: InvalidArgument.
    static Result<std::unique_ptr<Node>> create(NodeOptions options, const NodeServices &services,
                                                Instant now);
    ~Node();

    // Runs all periodic work. Call it at least every 20 ms, and at once when needsAdvance() becomes
    // true.
    void advance(Instant now);
    // True if an event calls for an advance() before the next tick.
    bool needsAdvance() const;

    // The reason why callers cannot be served; empty if they can.
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

    // Asks the owner of the job's pool for the status of the job. `answer` is empty if the owner is
    // unknown or does not answer.
    using JobStatusDone = std::function<void(std::optional<WhyAnswer> answer, Instant now)>;
    void queryOwner(const JobKey &key, const std::string &pool, JobStatusDone done, Instant now);

    // Handles the peers' requests that this class does not handle itself, such as RowsRequest. An
    // empty result means that the request is unknown.
    using PeerHandler =
        std::function<std::optional<PeerBody>(const PeerBody &request, Instant now)>;
    void setPeerHandler(PeerHandler handler) { m_peerHandler = std::move(handler); }
    // Called for each job whose state changed, after its pool's owner has been notified.
    void setJobChanged(JobService::JobChanged callback) { m_jobChanged = std::move(callback); }

    // Begins a planned stop: new work is refused, running requests finish, and the pools are handed
    // over.
    void beginStop(Instant now);
    // True once the pools are handed over and the peers have been notified.
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
    void updateKnownPools(Instant now);
    int32_t firstAttempt(Instant now) const;
    void updateOwners(Instant now);
    void advanceOwners(Instant now);
    void dropOwner(const std::string &pool, std::string_view reason, Instant now);
    void updateCoordinators(Instant now);
    void republishAllPools(Instant now);
    void updateRemoteUsage();
    void requestDirectoryHistory(Instant now);
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

    std::map<std::string, TeamSpec> m_teams; // the teams of the tables and team "open"
    std::optional<uint64_t> m_configuredVersion;
    // Lower bounds of the creation times of pools that were added while this member was running.
    std::map<std::string, Instant> m_poolCreatedAt;
    std::set<std::string> m_knownPools; // pools of the newest configuration
    // The contents of a peer's newest heartbeat.
    struct PeerReport
    {
        std::map<std::string, int64_t> dominantShare;
        std::vector<std::string> ownedPools;
        uint64_t jobsNext = 0;
        uint64_t jobsKnownFrom = 0;
        Instant receivedAt;
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
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object
};

} // namespace cardamompaddle
