#include "node/node.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr Duration HeartbeatTimeout{2'000};
constexpr Duration JobStatusTimeout{1'000};
constexpr Duration RepublishInterval{5'000};
constexpr Duration CoordinatorInterval{100};
// Another acting member may have learned of a new pool earlier than this one by at most this time.
constexpr Duration MaxConfigLag{3'000};
constexpr Duration HistoryRequestInterval{500};
constexpr Duration HistoryRequestTimeout{1'000};
constexpr Duration HistoryRequestPeriod{6'000}; // outlasts the startup grace of 5 s
// A member that has announced its departure keeps answering for two heartbeat intervals.
constexpr Duration LeaveGracePeriod{500};

std::map<std::string, TeamSpec> teamsWithOpen(const Tables &tables)
{
    std::map<std::string, TeamSpec> teams = tables.teams;
    if (const auto open = findTeam(tables, OpenTeam))
        teams[open->name] = *open;
    return teams;
}

} // namespace

Result<std::unique_ptr<Node>> Node::create(NodeOptions options, const NodeServices &services,
                                           Instant now)
{
    auto membership =
        Membership::create(options.membership, options.self, options.incarnation, now);
    if (!membership)
        return membership.error();
    ConfigServiceOptions configOptions;
    configOptions.self = options.self;
    configOptions.seatCount = options.membership.seatCount;
    configOptions.incarnation = options.incarnation;
    configOptions.retention = options.logRetention;
    auto config = ConfigService::create(services.log, configOptions);
    if (!config)
        return config.error();
    auto jobs = JobService::create(services.log, {options.incarnation, options.logRetention});
    if (!jobs)
        return jobs.error();
    return std::unique_ptr<Node>(new Node(options, services, std::move(*membership),
                                          std::move(*config), std::move(*jobs), now));
}

Node::Node(NodeOptions options, const NodeServices &services, Membership membership,
           std::unique_ptr<ConfigService> config, std::unique_ptr<JobService> jobs, Instant now)
    : m_options(options), m_services(services), m_membership(std::move(membership)),
      m_config(std::move(config)), m_jobs(std::move(jobs)), m_directory(services.instances, now),
      m_quotaService(m_membership, services.peers,
                     [this](const std::string &pool) {
                         PoolOwner *it = owner(pool);
                         return it == nullptr ? nullptr : &it->quotaClient();
                     }),
      m_router(m_membership, services.peers, m_options.self,
               [this](const std::string &pool, Instant at) { return actingOwner(pool, at); }),
      m_createdAt(now)
{
    m_services.peers.setHandler([this](SeatId from, const PeerBody &request,
                                       const PeerTransport::Respond &respond,
                                       Instant at) { handlePeer(from, request, respond, at); });
    m_jobs->setJobChanged([this](const JobKey &key, Instant at) {
        const Job *job = m_jobs->store().find(key);
        if (PoolOwner *it = job == nullptr ? nullptr : owner(job->spec.pool))
            it->jobChanged(key, at);
        if (m_jobChanged)
            m_jobChanged(key, at);
    });
}

Node::~Node()
{
    m_services.peers.setHandler({});
}

void Node::logState(const std::string &line) const
{
    if (m_services.stateLog)
        m_services.stateLog(line);
}

PoolOwner *Node::owner(const std::string &pool)
{
    const auto it = m_owners.find(pool);
    return it == m_owners.end() ? nullptr : it->second.get();
}

PoolOwner *Node::actingOwner(const std::string &pool, Instant now)
{
    PoolOwner *it = owner(pool);
    if (it == nullptr || it->stopping() || !m_membership.mayAct("pool/" + pool, now))
        return nullptr;
    return it;
}

bool Node::needsAdvance() const
{
    return std::any_of(m_owners.begin(), m_owners.end(),
                       [](const auto &it) { return it.second->needsAdvance(); });
}

std::string Node::notReadyReason(Instant now) const
{
    if (m_stopping)
        return "this entry instance is stopping";
    if (!m_config->synced())
        return "the configuration is not complete: " + m_config->reason();
    if (!m_membership.hasQuorum(now))
        return "no contact with a majority of the entry instances";
    return {};
}

void Node::advance(Instant now)
{
    m_config->advance(m_membership.mayAct("config", now), now);
    m_membership.setSynced(m_config->synced());
    m_membership.advance(now);
    updateIncarnation();
    sendHeartbeats(now);
    m_jobs->setMostCurrent(isMostCurrent(now));
    m_jobs->advance(now);
    m_directory.advance(now);
    requestDirectoryHistory(now);
    updateConfig(now);
    updateOwners(now);
    updateCoordinators(now);
    republishAllPools(now);
    advanceOwners(now);
    m_router.advance(now);
    advanceStop(now);
    m_metricsReporter.update(*this, now);
}

void Node::updateIncarnation()
{
    const uint64_t incarnation = m_membership.tenure().incarnation;
    if (incarnation == m_jobs->incarnation())
        return;
    m_config->setIncarnation(incarnation);
    m_jobs->setIncarnation(incarnation);
}

bool Node::isMostCurrent(Instant now) const
{
    // A peer that has a higher offset but started reading after this member's offset lacks the
    // records in between, so it does not count as more current.
    const uint64_t next = m_jobs->store().nextOffset();
    return std::none_of(m_peerReports.begin(), m_peerReports.end(), [&](const auto &it) {
        return now - it.second.receivedAt < m_options.membership.quorumWindow
               && it.second.jobsNext > next && it.second.jobsKnownFrom <= next;
    });
}

HeartbeatMessage Node::heartbeatMessage(Instant now) const
{
    HeartbeatMessage message;
    message.heartbeat = m_membership.heartbeat(now);
    message.configNext = m_config->state().next();
    message.jobsNext = m_jobs->store().nextOffset();
    message.jobsKnownFrom = m_jobs->store().completeFromOffset();
    for (const auto &[pool, it] : m_owners) {
        message.ownedPools.push_back(pool);
        for (const auto &[team, share] : it->scheduler().localUsage())
            message.dominantShare[team] += share;
    }
    return message;
}

void Node::sendHeartbeats(Instant now)
{
    if (m_lastHeartbeat && now - *m_lastHeartbeat < m_options.membership.heartbeatInterval)
        return;
    m_lastHeartbeat = now;
    for (SeatId seat = 0; seat < seatCount(); ++seat) {
        if (seat == m_options.self)
            continue;
        const uint64_t probe = m_membership.heartbeatSent(seat, now);
        m_services.peers.request(seat, heartbeatMessage(now), HeartbeatTimeout,
                                 [this, seat, probe, alive = std::weak_ptr<bool>(m_alive)](
                                     const Result<PeerBody> &body, Instant at) {
                                     if (alive.expired() || !body)
                                         return;
                                     if (const auto *answer = std::get_if<HeartbeatMessage>(&*body))
                                         heartbeatAnswered(seat, probe, *answer, at);
                                 });
    }
}

void Node::heartbeatAnswered(SeatId from, uint64_t probe, const HeartbeatMessage &answer,
                             Instant now)
{
    if (answer.heartbeat.from != from)
        return;
    // The records are applied first: quorum requires that a member knows what its majority has
    // applied.
    peerMessageReceived(from, answer, true, now);
    m_membership.heartbeatAnswered(from, probe, answer.heartbeat, now);
}

void Node::peerMessageReceived(SeatId from, const HeartbeatMessage &message, bool answer,
                               Instant now)
{
    m_config->peerMessageReceived(from, message, answer, now);
    m_peerReports[from] = {message.dominantShare, message.ownedPools, message.jobsNext,
                           message.jobsKnownFrom, now};
}

void Node::handlePeer(SeatId from, const PeerBody &request, const PeerTransport::Respond &respond,
                      Instant now)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&request)) {
        handleHeartbeat(from, *heartbeat, respond, now);
    } else if (const auto *forward = std::get_if<ForwardedRequest>(&request)) {
        handleForward(*forward, respond, now);
    } else if (const auto *quotaRequest = std::get_if<QuotaRequest>(&request)) {
        respond(m_quotaService.handle(*quotaRequest, now));
    } else if (const auto *cancel = std::get_if<CancelRequest>(&request)) {
        if (PoolOwner *it = owner(cancel->pool))
            it->cancelRequest(cancel->key, now);
        respond(Refusal{});
    } else if (const auto *why = std::get_if<WhyRequest>(&request)) {
        const auto jobStatus = localJobStatus(why->key, why->pool, now);
        respond(jobStatus
                    ? PeerBody(*jobStatus)
                    : PeerBody(Refusal{{ErrorCode::Unavailable, "the pool is not owned here"}}));
    } else {
        const auto answer = m_peerHandler ? m_peerHandler(request, now) : std::nullopt;
        respond(answer ? *answer
                       : PeerBody(Refusal{{ErrorCode::InvalidArgument, "unknown request"}}));
    }
}

void Node::handleHeartbeat(SeatId from, const HeartbeatMessage &request,
                           const PeerTransport::Respond &respond, Instant now)
{
    if (request.heartbeat.from != from || !m_membership.heartbeatReceived(request.heartbeat, now))
        return;
    peerMessageReceived(from, request, false, now);
    HeartbeatMessage answer = heartbeatMessage(now);
    m_config->fillAnswer(request, answer);
    respond(std::move(answer));
}

void Node::handleForward(const ForwardedRequest &request, const PeerTransport::Respond &respond,
                         Instant now)
{
    PoolOwner *it = actingOwner(request.spec.pool, now);
    if (it == nullptr) {
        respond(Refusal{{ErrorCode::Unavailable, "this entry instance does not own the pool"}});
        return;
    }
    it->request(
        request.spec, now + request.timeLeft,
        [respond](const RequestAnswer &answer, Instant) { respond(answer); }, now);
}

std::optional<WhyAnswer> Node::localJobStatus(const JobKey &key, const std::string &pool,
                                              Instant now)
{
    const PoolOwner *it = owner(pool);
    if (it == nullptr)
        return std::nullopt;
    return WhyAnswer{it->scheduler().explainWaiting(key, now), it->scheduler().runningTasks(key)};
}

void Node::queryOwner(const JobKey &key, const std::string &pool, JobStatusDone done, Instant now)
{
    const auto seat = m_membership.likelyOwner("pool/" + pool, now);
    if (!seat || *seat == m_options.self) {
        done(localJobStatus(key, pool, now), now);
        return;
    }
    m_services.peers.request(
        *seat, WhyRequest{key, pool}, JobStatusTimeout,
        [done = std::move(done)](const Result<PeerBody> &body, Instant at) {
            const auto *answer = body ? std::get_if<WhyAnswer>(&*body) : nullptr;
            done(answer == nullptr ? std::nullopt : std::optional(*answer), at);
        });
}

void Node::requestDirectoryHistory(Instant now)
{
    // Peers are asked only after the start. Later this member's own history is long enough.
    if (now - m_createdAt > HistoryRequestPeriod || !m_directory.historySince())
        return;
    if (m_lastHistoryRequest && now - *m_lastHistoryRequest < HistoryRequestInterval)
        return;
    m_lastHistoryRequest = now;
    for (SeatId seat = 0; seat < seatCount(); ++seat) {
        if (seat == m_options.self)
            continue;
        m_services.peers.request(
            seat, RowsRequest{"directory"}, HistoryRequestTimeout,
            [this, alive = std::weak_ptr<bool>(m_alive)](const Result<PeerBody> &body, Instant at) {
                const auto *rows = body ? std::get_if<RowsAnswer>(&*body) : nullptr;
                if (!alive.expired() && rows != nullptr)
                    m_directory.mergeHistory(rows->json, at);
            });
    }
}

void Node::updateKnownPools(Instant now)
{
    std::set<std::string> pools;
    for (const auto &[name, pool] : m_config->state().tables().pools) {
        pools.insert(name);
        if (m_configuredVersion && !m_knownPools.contains(name))
            m_poolCreatedAt[name] = now - MaxConfigLag;
    }
    std::erase_if(m_poolCreatedAt, [&pools](const auto &it) { return !pools.contains(it.first); });
    m_knownPools = std::move(pools);
}

void Node::updateConfig(Instant now)
{
    const ConfigState &state = m_config->state();
    if (!m_config->synced() || m_configuredVersion == state.version())
        return;
    updateKnownPools(now);
    m_configuredVersion = state.version();
    m_teams = teamsWithOpen(state.tables());
    m_slo.setRoutes(state.tables().routes);
    for (const auto &[pool, it] : m_owners)
        it->configure(state, now);
    logState("event=config_applied version=" + std::to_string(state.version()));
}

void Node::updateOwners(Instant now)
{
    const bool hasQuorum = m_membership.hasQuorum(now);
    if (hasQuorum != m_hadQuorum) {
        m_hadQuorum = hasQuorum;
        logState(std::string("event=standing value=") + (hasQuorum ? "1" : "0")
                 + " generation=" + std::to_string(m_membership.tenure().generation));
    }
    const Tenure tenure = m_membership.tenure();
    std::vector<std::string> lostPools;
    const auto &pools = m_config->state().tables().pools;
    for (const auto &[pool, it] : m_owners) {
        // A pool that was removed from the tables is kept until its tasks have ended, because the
        // quota coordinators wait for its last report.
        const bool removed = !pools.contains(pool) && it->scheduler().runningByTeam().empty();
        if (removed || !m_membership.mayAct("pool/" + pool, now) || !(it->tenure() == tenure))
            lostPools.push_back(pool);
    }
    for (const std::string &pool : lostPools)
        dropOwner(pool, "not entitled to act", now);
    if (m_stopping || !m_config->synced())
        return;
    for (const auto &[name, pool] : m_config->state().tables().pools) {
        if (m_owners.contains(name) || !m_membership.mayAct("pool/" + name, now))
            continue;
        const PoolOwnerServices services{m_services.workers, *m_jobs, m_directory,
                                         m_services.metrics, m_slo};
        const auto created = m_poolCreatedAt.find(name);
        auto newOwner = PoolOwner::create(
            pool, tenure, services,
            created == m_poolCreatedAt.end() ? std::nullopt : std::optional(created->second),
            firstAttempt(now), now);
        if (!newOwner)
            continue;
        (*newOwner)->configure(m_config->state(), now);
        m_owners[name] = std::move(*newOwner);
        logState("event=pool_acquired pool=" + name
                 + " generation=" + std::to_string(tenure.generation));
    }
}

int32_t Node::firstAttempt(Instant now) const
{
    // The range is derived from the wall time in seconds and the seat, so each tenure gets its own:
    // a new owner of a pool starts seconds after the former one. Ranges repeat after 36 h, which is
    // far beyond any lease.
    constexpr uint64_t Ranges = 1 << 20;
    constexpr uint64_t SeatRanges = 8;
    constexpr uint64_t AttemptsPerRange = 1 << 11;
    const uint64_t startedMs = m_options.incarnation >> 20;
    const uint64_t seconds =
        (startedMs + static_cast<uint64_t>((now - m_createdAt).count())) / 1000;
    const uint64_t range =
        (seconds * SeatRanges + static_cast<uint64_t>(m_options.self) % SeatRanges) % Ranges;
    return static_cast<int32_t>(range * AttemptsPerRange + 1);
}

void Node::dropOwner(const std::string &pool, std::string_view reason, Instant now)
{
    const auto it = m_owners.find(pool);
    if (it == m_owners.end())
        return;
    // The owner is removed from the map first, because answering its pending requests may route new
    // ones. `pool` may refer to the map's own key, so it is not used afterwards.
    const auto dropped = m_owners.extract(it);
    dropped.mapped()->release(now);
    logState("event=pool_released pool=" + dropped.key() + " reason=\"" + std::string(reason)
             + "\"");
}

void Node::updateCoordinators(Instant now)
{
    if (m_lastCoordinatorUpdate && now - *m_lastCoordinatorUpdate < CoordinatorInterval)
        return;
    m_lastCoordinatorUpdate = now;
    if (!m_config->synced())
        return;
    std::vector<std::string> pools;
    for (const auto &[name, pool] : m_config->state().tables().pools)
        pools.push_back(name);
    m_quotaService.advance(m_teams, pools, now);
    for (const auto &[pool, it] : m_owners)
        m_quotaService.assignCoordinators(it->quotaClient(), m_teams, now);
    updateRemoteUsage();
}

void Node::republishAllPools(Instant now)
{
    if (m_lastRepublish && now - *m_lastRepublish < RepublishInterval)
        return;
    m_lastRepublish = now;
    // A pool's owner republishes jobs at half of the retention. In case the owner cannot reach the
    // log, every member republishes the jobs of all pools at three quarters of the retention.
    const Duration retention = m_options.logRetention * 3 / 2;
    for (const auto &[name, pool] : m_config->state().tables().pools)
        m_jobs->republish(name, retention, now);
}

void Node::updateRemoteUsage()
{
    std::map<std::string, int64_t> remote;
    for (const auto &[seat, report] : m_peerReports) {
        for (const auto &[team, share] : report.dominantShare)
            remote[team] += share;
    }
    for (const auto &[pool, it] : m_owners) {
        std::map<std::string, int64_t> others = remote;
        for (const auto &[otherPool, other] : m_owners) {
            if (otherPool == pool)
                continue;
            for (const auto &[team, share] : other->scheduler().localUsage())
                others[team] += share;
        }
        it->setRemoteUsage(others);
    }
}

void Node::advanceOwners(Instant now)
{
    for (const auto &[pool, it] : m_owners) {
        it->advance(m_membership.mayAct("pool/" + pool, now), now);
        m_quotaService.sendReports(it->quotaClient(), now);
    }
}

void Node::beginStop(Instant now)
{
    if (m_stopping)
        return;
    m_stopping = true;
    logState("event=stop_begun");
    for (const auto &[pool, it] : m_owners)
        it->beginStop(now);
}

void Node::advanceStop(Instant now)
{
    if (!m_stopping || m_leftAt)
        return;
    const bool idle = std::all_of(m_owners.begin(), m_owners.end(),
                                  [](const auto &it) { return it.second->idle(); });
    if (!idle || m_router.pendingCount() > 0)
        return;
    while (!m_owners.empty())
        dropOwner(m_owners.begin()->first, "planned stop", now);
    m_membership.announceLeft();
    m_leftAt = now;
    m_lastHeartbeat.reset();
    logState("event=left");
}

bool Node::stopped(Instant now) const
{
    return m_leftAt && now - *m_leftAt >= LeaveGracePeriod;
}

} // namespace cardamompaddle
