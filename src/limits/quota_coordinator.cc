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

// Quota clients report at least once a second; after three missed reports, a pool's claim for more
// no longer holds back the others.
constexpr Duration ClaimExpiry(3000);

// Sessions are numbered in the lower bits of Tenure::generation. 44 bits of milliseconds last for
// 557 years.
constexpr int SessionBits = 44;

QuotaResponse refusal(const QuotaRequest &request, const Tenure &coordinator)
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
        return Error{ErrorCode::InvalidArgument, "a ledger needs names of its team and pools"};
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
    // A repeated request must not bring out a grant of the earlier limit.
    for (auto &[name, pool] : m_pools)
        pool.lastAnswer.reset();
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
                       [](const auto &it) { return it.second.known; });
}

int64_t QuotaCoordinator::free() const
{
    int64_t free = m_limit;
    for (const auto &[name, pool] : m_pools)
        free -= pool.allotted;
    return free;
}

// A number that no session of this process had before: the present millisecond, or the number after
// the last one.
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
        return refusal(request, m_tenure);
    Pool &pool = it->second;
    if (request.coordinator == pool.offered && request.client == pool.offeredTo) {
        pool.session = pool.offered;
        pool.offered = pool.offeredTo = Tenure{};
        pool.sequence = 0;
        pool.client = request.client;
    }
    if (request.coordinator != pool.session || request.client != pool.client)
        return offerSession(pool, request, now);
    if (request.sequence <= pool.sequence) {
        const bool repeated = request.sequence == pool.sequence && pool.lastAnswer;
        return repeated ? *pool.lastAnswer : refusal(request, pool.session);
    }
    QuotaResponse answer = take(pool, request, now);
    if (pool.removed && pool.known && pool.allotted == 0)
        m_pools.erase(it);
    return answer;
}

QuotaResponse QuotaCoordinator::offerSession(Pool &pool, const QuotaRequest &request, Instant now)
{
    pool.offered = nextSession(now);
    pool.offeredTo = request.client;
    return refusal(request, pool.offered);
}

QuotaResponse QuotaCoordinator::take(Pool &pool, const QuotaRequest &request, Instant now)
{
    pool.sequence = request.sequence;
    pool.heardAt = now;
    pool.running = request.running;
    pool.wanted = request.wanted;
    // A new owner that does not know all tasks yet may hold less than its predecessor, whose
    // allotment stays lent until then.
    pool.allotted =
        request.complete ? request.allotment : std::max(pool.allotted, request.allotment);
    pool.known = pool.known || request.complete;
    QuotaResponse answer = refusal(request, pool.session);
    if (ready() && request.complete)
        lend(pool, request, answer, now);
    pool.lastAnswer = answer;
    return answer;
}

void QuotaCoordinator::lend(Pool &pool, const QuotaRequest &request, QuotaResponse &answer,
                            Instant now)
{
    const int32_t target = targets(now)[request.pool];
    if (overLent()) {
        answer.target = std::min(target, answer.allotment);
        return;
    }
    const int64_t more = std::min<int64_t>(free(), target - pool.allotted);
    if (more > 0) {
        pool.allotted += static_cast<int32_t>(more);
        pool.turn = ++m_turns;
    }
    answer.accepted = true;
    answer.allotment = pool.allotted;
    answer.target = target;
    invariant(free() >= 0, "I4 the parts lent to pools do not exceed the team's limit",
              "team=" + m_team + " limit=" + std::to_string(m_limit)
                  + " free=" + std::to_string(free()));
}

int32_t QuotaCoordinator::wish(const Pool &pool, Instant now) const
{
    if (pool.removed)
        return 0;
    return now - pool.heardAt > ClaimExpiry ? std::min(pool.wanted, pool.allotted) : pool.wanted;
}

std::map<std::string, int32_t> QuotaCoordinator::targets(Instant now) const
{
    std::vector<Claim> claims;
    int64_t running = 0;
    for (const auto &[name, pool] : m_pools)
        running += pool.running;
    // With too much lent, idle parts go first and running tasks only if that is not enough.
    // Otherwise pools share what they want, and keep idle parts that nobody wants.
    const bool stopTasks = overLent() && running > m_limit;
    for (const auto &[name, pool] : m_pools) {
        if (stopTasks)
            claims.push_back({0, pool.running, pool.turn});
        else if (overLent())
            claims.push_back({pool.running, pool.allotted, pool.turn});
        else
            claims.push_back({0, wish(pool, now), pool.turn});
    }
    std::vector<int32_t> shares = fairShares(claims, m_limit);
    size_t n = 0;
    for (const auto &[name, pool] : m_pools) {
        claims[n].floor = shares[n];
        claims[n].wish = overLent() || pool.removed ? 0 : pool.allotted;
        ++n;
    }
    shares = fairShares(claims, m_limit);
    std::map<std::string, int32_t> found;
    n = 0;
    for (const auto &[name, pool] : m_pools)
        found[name] = shares[n++];
    return found;
}

std::vector<QuotaCoordinatorRow> QuotaCoordinator::rows(Instant now) const
{
    const auto target = targets(now);
    std::vector<QuotaCoordinatorRow> found;
    for (const auto &[name, pool] : m_pools)
        found.push_back({name, pool.known, pool.removed, pool.allotted, pool.running, pool.wanted,
                         target.at(name), pool.client});
    return found;
}

} // namespace cardamompaddle
