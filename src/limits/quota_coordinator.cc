#include "limits/quota_coordinator.h"

#include "base/invariant.h"
#include "limits/internal/fair_shares.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cardamompaddle {

using internal::Claim;
using internal::fairShares;

namespace {

// Quota clients report at least once a second. After three missed reports, a pool's demand for a
// larger allotment no longer reduces the targets of other pools.
constexpr Duration DemandExpiry(3000);

// The low bits of Tenure::generation number the sessions of a coordinator. 44 bits hold 557 years
// of milliseconds.
constexpr int SessionBits = 44;

// Returns a response that grants nothing and leaves the reported allotment as it is.
QuotaResponse makeRejection(const QuotaRequest &request, const Tenure &coordinator)
{
    return QuotaResponse{request.team, request.pool,      request.client,    request.sequence,
                         coordinator,  request.allotment, request.allotment, false};
}

} // namespace

Result<QuotaCoordinator> QuotaCoordinator::create(std::string team, int32_t limit,
                                                  const std::vector<std::string> &pools,
                                                  Tenure tenure)
{
    if (team.empty() || std::find(pools.begin(), pools.end(), "") != pools.end())
        return Error{ErrorCode::InvalidArgument,
                     "the names of a team and its pools must not be empty"};
    if (limit < 0)
        return Error{ErrorCode::InvalidArgument, "the limit of team " + team + " is negative"};
    QuotaCoordinator coordinator(std::move(team), limit, tenure);
    coordinator.setPools(pools);
    return coordinator;
}

QuotaCoordinator::QuotaCoordinator(std::string team, int32_t limit, Tenure tenure)
    : m_team(std::move(team)), m_limit(limit), m_tenure(tenure)
{ }

Result<void> QuotaCoordinator::setLimit(int32_t limit)
{
    if (limit < 0)
        return Error{ErrorCode::InvalidArgument, "the limit of team " + m_team + " is negative"};
    m_limit = limit;
    // A cached response may contain a grant made under the previous limit, which must not be sent
    // again.
    for (auto &[name, pool] : m_pools)
        pool.lastResponse.reset();
    return {};
}

void QuotaCoordinator::setPools(const std::vector<std::string> &pools)
{
    for (auto &[name, pool] : m_pools)
        pool.removed = true;
    for (const std::string &name : pools)
        m_pools[name].removed = false;
}

bool QuotaCoordinator::ready() const
{
    return std::all_of(m_pools.begin(), m_pools.end(),
                       [](const auto &it) { return it.second.reported; });
}

int64_t QuotaCoordinator::unallotted() const
{
    int64_t remaining = m_limit;
    for (const auto &[name, pool] : m_pools)
        remaining -= pool.allotted;
    return remaining;
}

// Returns a session that this process has not offered before, even if an earlier coordinator had
// the same tenure: its number is the present time in milliseconds, or the last number plus one if
// that is greater.
Tenure QuotaCoordinator::nextSession(Instant now)
{
    m_lastSession = std::max(m_lastSession + 1, static_cast<uint64_t>(toMs(now)));
    return {m_tenure.seat, m_tenure.incarnation,
            (m_tenure.generation << SessionBits) + m_lastSession};
}

QuotaResponse QuotaCoordinator::handle(const QuotaRequest &request, Instant now)
{
    const auto it = m_pools.find(request.pool);
    if (request.team != m_team || it == m_pools.end())
        return makeRejection(request, m_tenure);
    Pool &pool = it->second;
    if (request.coordinator == pool.offeredSession && request.client == pool.offeredTo) {
        pool.session = pool.offeredSession;
        pool.offeredSession = pool.offeredTo = Tenure{};
        pool.sequence = 0;
        pool.client = request.client;
    }
    if (request.coordinator != pool.session || request.client != pool.client)
        return offerSession(pool, request, now);
    if (request.sequence <= pool.sequence) {
        const bool isRepeated = request.sequence == pool.sequence && pool.lastResponse;
        return isRepeated ? *pool.lastResponse : makeRejection(request, pool.session);
    }
    QuotaResponse response = applyReport(pool, request, now);
    if (pool.removed && pool.reported && pool.allotted == 0)
        m_pools.erase(it);
    return response;
}

QuotaResponse QuotaCoordinator::offerSession(Pool &pool, const QuotaRequest &request, Instant now)
{
    pool.offeredSession = nextSession(now);
    pool.offeredTo = request.client;
    return makeRejection(request, pool.offeredSession);
}

QuotaResponse QuotaCoordinator::applyReport(Pool &pool, const QuotaRequest &request, Instant now)
{
    pool.sequence = request.sequence;
    pool.reportedAt = now;
    pool.running = request.running;
    pool.wanted = request.wanted;
    // A new owner that does not know all tasks yet may report less than its predecessor held. The
    // predecessor's allotment remains granted until a complete report arrives.
    pool.allotted =
        request.complete ? request.allotment : std::max(pool.allotted, request.allotment);
    pool.reported = pool.reported || request.complete;
    QuotaResponse response = makeRejection(request, pool.session);
    if (ready() && request.complete)
        grant(pool, request, response, now);
    pool.lastResponse = response;
    return response;
}

void QuotaCoordinator::grant(Pool &pool, const QuotaRequest &request, QuotaResponse &response,
                             Instant now)
{
    const int32_t target = targets(now)[request.pool];
    if (overAllotted()) {
        response.target = std::min(target, response.allotment);
        return;
    }
    const int64_t more = std::min<int64_t>(unallotted(), target - pool.allotted);
    if (more > 0) {
        pool.allotted += static_cast<int32_t>(more);
        pool.lastGrant = ++m_grantCount;
    }
    response.accepted = true;
    response.allotment = pool.allotted;
    response.target = target;
    invariant(unallotted() >= 0, "I4 the allotments of all pools do not exceed the team's limit",
              "team=" + m_team + " limit=" + std::to_string(m_limit)
                  + " free=" + std::to_string(unallotted()));
}

int32_t QuotaCoordinator::currentDemand(const Pool &pool, Instant now) const
{
    if (pool.removed)
        return 0;
    return now - pool.reportedAt > DemandExpiry ? std::min(pool.wanted, pool.allotted)
                                                : pool.wanted;
}

std::map<std::string, int32_t> QuotaCoordinator::targets(Instant now) const
{
    std::vector<Claim> claims;
    int64_t running = 0;
    for (const auto &[name, pool] : m_pools)
        running += pool.running;
    // When the pools hold more than the limit, unused allotment is withdrawn first, and tasks are
    // stopped only if the running tasks alone exceed the limit. Otherwise the limit is divided by
    // demand, and what no pool demands stays with the pools that hold it.
    const bool stopTasks = overAllotted() && running > m_limit;
    for (const auto &[name, pool] : m_pools) {
        if (stopTasks)
            claims.push_back({0, pool.running, pool.lastGrant});
        else if (overAllotted())
            claims.push_back({pool.running, pool.allotted, pool.lastGrant});
        else
            claims.push_back({0, currentDemand(pool, now), pool.lastGrant});
    }
    std::vector<int32_t> shares = fairShares(claims, m_limit);
    size_t n = 0;
    for (const auto &[name, pool] : m_pools) {
        claims[n].floor = shares[n];
        claims[n].demand = overAllotted() || pool.removed ? 0 : pool.allotted;
        ++n;
    }
    shares = fairShares(claims, m_limit);
    std::map<std::string, int32_t> result;
    n = 0;
    for (const auto &[name, pool] : m_pools)
        result[name] = shares[n++];
    return result;
}

std::vector<QuotaCoordinatorRow> QuotaCoordinator::rows(Instant now) const
{
    const auto target = targets(now);
    std::vector<QuotaCoordinatorRow> result;
    for (const auto &[name, pool] : m_pools)
        result.push_back({name, pool.reported, pool.removed, pool.allotted, pool.running,
                          pool.wanted, target.at(name), pool.client});
    return result;
}

} // namespace cardamompaddle
