#include "limits/quota_client.h"

#include "base/hash.h"
#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

// Time after which a request without a response is sent again. It doubles with each of the first
// MaxResendDoublings resends: a new request invalidates the response to the previous one, so with a
// fixed interval, responses that take longer than the interval would never be accepted.
constexpr Duration ResendInterval(200);
constexpr int32_t MaxResendDoublings = 3;
// Interval at which an unmet demand is reported again.
constexpr Duration DemandRetryInterval(200);
// Minimum time since the last report before an increased demand is reported, or a change that was
// made while the response was outstanding. Changes within this time are reported together.
constexpr Duration MinReportInterval(10);
// Maximum time between reports to a coordinator, whose responses carry the present target.
constexpr Duration RefreshInterval(1000);
// Allotment that was not used during a window of this length is returned.
constexpr Duration UsageWindow(1000);
// After an allotment was returned because a reservation did not fit into it, demand is not reported
// for MinDemandBackoff plus less than DemandBackoffSpreadMs.
constexpr Duration MinDemandBackoff(200);
constexpr uint64_t DemandBackoffSpreadMs = 1800;

} // namespace

Result<QuotaClient> QuotaClient::create(std::string pool, Tenure tenure)
{
    if (pool.empty())
        return Error{ErrorCode::InvalidArgument,
                     "the pool name of a quota client must not be empty"};
    return QuotaClient(std::move(pool), tenure);
}

QuotaClient::QuotaClient(std::string pool, Tenure tenure)
    : m_pool(std::move(pool)), m_tenure(tenure)
{ }

const QuotaClient::TeamQuota *QuotaClient::find(const std::string &team) const
{
    const auto it = m_quotas.find(team);
    return it == m_quotas.end() ? nullptr : &it->second;
}

void QuotaClient::setCoordinator(const std::string &team, Tenure coordinator)
{
    TeamQuota &quota = m_quotas[team];
    quota.configured = true;
    if (quota.assignedCoordinator == coordinator)
        return;
    quota.assignedCoordinator = quota.coordinator = coordinator;
    quota.awaitingResponse = false;
    quota.reportAtOnce = true;
    quota.resendCount = 0;
}

void QuotaClient::removeTeam(const std::string &team)
{
    const auto it = m_quotas.find(team);
    if (it == m_quotas.end())
        return;
    it->second.configured = false;
    it->second.demand = 0;
    it->second.target = 0;
    shrinkToTarget(it->second);
}

bool QuotaClient::mayStart(const std::string &team, int32_t count) const
{
    const TeamQuota *quota = find(team);
    return quota != nullptr && quota->configured && m_complete
           && quota->inUse() + count <= quota->allotment;
}

bool QuotaClient::reserve(const std::string &team, int32_t count)
{
    const auto it = m_quotas.find(team);
    if (it == m_quotas.end() || !it->second.configured)
        return false;
    TeamQuota &quota = it->second;
    if (!mayStart(team, count)) {
        quota.demand = std::max(quota.demand, count);
        quota.reservationFailed = true;
        return false;
    }
    quota.reserved += count;
    quota.demand = std::max(0, quota.demand - count);
    updatePeak(quota);
    return true;
}

void QuotaClient::release(const std::string &team, int32_t count)
{
    TeamQuota &quota = m_quotas[team];
    quota.reserved -= count;
    invariant(quota.reserved >= 0, "I4 released tasks do not exceed reserved tasks", team);
    shrinkToTarget(quota);
}

void QuotaClient::setDemand(const std::string &team, int32_t waiting)
{
    const auto it = m_quotas.find(team);
    if (it != m_quotas.end() && it->second.configured)
        it->second.demand = waiting;
}

void QuotaClient::recordStart(const std::string &team)
{
    TeamQuota &quota = m_quotas[team];
    const bool allowed = quota.reserved > 0 || mayStart(team);
    if (quota.reserved > 0)
        --quota.reserved;
    ++quota.running;
    invariant(allowed && quota.inUse() <= quota.allotment,
              "I4 the tasks of a team in a pool do not exceed its allotment there",
              "team=" + team + " pool=" + m_pool + " running=" + std::to_string(quota.running)
                  + " part=" + std::to_string(quota.allotment));
    updatePeak(quota);
}

void QuotaClient::recordEnd(const std::string &team)
{
    TeamQuota &quota = m_quotas[team];
    --quota.running;
    invariant(quota.running >= 0, "I4 ended tasks do not exceed running tasks", team);
    // Until every running task is known, the allotment covers only the adopted tasks.
    if (!m_complete)
        quota.allotment = quota.inUse();
    shrinkToTarget(quota);
}

void QuotaClient::adopt(const std::string &team, int32_t count)
{
    TeamQuota &quota = m_quotas[team];
    quota.running += count;
    if (quota.inUse() > quota.allotment) {
        quota.allotment = quota.inUse();
        quota.reportAtOnce = true;
    }
    updatePeak(quota);
}

void QuotaClient::setComplete()
{
    m_complete = true;
    for (auto &[team, quota] : m_quotas)
        quota.reportAtOnce = true;
}

void QuotaClient::updatePeak(TeamQuota &quota)
{
    quota.windowPeak = std::max(quota.windowPeak, quota.inUse());
}

void QuotaClient::shrinkToTarget(TeamQuota &quota)
{
    if (!quota.target)
        return;
    const int32_t kept = std::max(*quota.target, quota.inUse());
    if (kept < quota.allotment) {
        quota.allotment = kept;
        quota.reportAtOnce = true;
    }
}

void QuotaClient::returnUnused(const std::string &team, TeamQuota &quota, Instant now) const
{
    if (now - quota.windowStart < UsageWindow)
        return;
    const int32_t kept = std::max(quota.windowPeak, quota.inUse());
    if (m_complete && kept < quota.allotment) {
        quota.allotment = kept;
        quota.reportAtOnce = true;
        // Two pools that each hold too little for a gang could otherwise return and request their
        // allotments at the same times indefinitely. The delay depends on pool, team and attempt.
        if (quota.reservationFailed) {
            const std::string text = m_pool + "/" + team;
            const uint64_t hash = stableHash(text, static_cast<uint64_t>(++quota.backoffCount));
            quota.backoffUntil =
                now + MinDemandBackoff
                + Duration(static_cast<Duration::rep>(hash % DemandBackoffSpreadMs));
        }
    }
    quota.windowStart = now;
    quota.windowPeak = quota.inUse();
    quota.reservationFailed = false;
}

int32_t QuotaClient::wantedAllotment(const TeamQuota &quota, Instant now)
{
    return quota.inUse() + (now < quota.backoffUntil ? 0 : quota.demand);
}

bool QuotaClient::isReportDue(const TeamQuota &quota, Instant now)
{
    if (quota.assignedCoordinator == Tenure{})
        return false;
    const Duration since = now - quota.sentAt;
    if (quota.reportAtOnce)
        return !quota.awaitingResponse || since >= MinReportInterval;
    if (quota.awaitingResponse)
        return since >= ResendInterval * (1 << std::min(quota.resendCount, MaxResendDoublings));
    const int32_t wanted = wantedAllotment(quota, now);
    if (wanted > quota.allotment && wanted > quota.reportedWanted)
        return since >= MinReportInterval;
    // Repeat an unmet demand, and withdraw a reported one promptly, because other pools' targets
    // are lower as long as it stands.
    if (std::max(wanted, quota.reportedWanted) > quota.allotment)
        return since >= DemandRetryInterval;
    return since >= RefreshInterval;
}

QuotaRequest QuotaClient::makeReport(const std::string &team, TeamQuota &quota, Instant now) const
{
    quota.resendCount = quota.awaitingResponse && !quota.reportAtOnce ? quota.resendCount + 1 : 0;
    quota.awaitingResponse = true;
    quota.reportAtOnce = false;
    quota.sentAt = now;
    quota.reportedWanted = wantedAllotment(quota, now);
    QuotaRequest request{team, m_pool, m_tenure, ++quota.sequence, quota.coordinator};
    request.allotment = quota.allotment;
    request.running = quota.running;
    request.wanted = quota.reportedWanted;
    request.complete = m_complete;
    return request;
}

std::vector<QuotaRequest> QuotaClient::takeDueRequests(Instant now)
{
    std::vector<QuotaRequest> result;
    for (auto &[team, quota] : m_quotas) {
        returnUnused(team, quota, now);
        if (isReportDue(quota, now))
            result.push_back(makeReport(team, quota, now));
    }
    std::erase_if(m_quotas, [](const auto &it) {
        const TeamQuota &quota = it.second;
        const bool reported = !quota.awaitingResponse && !quota.reportAtOnce;
        return !quota.configured && quota.allotment == 0
               && (reported || quota.assignedCoordinator == Tenure{});
    });
    return result;
}

void QuotaClient::handle(const QuotaResponse &response, Instant now)
{
    const auto it = m_quotas.find(response.team);
    if (it == m_quotas.end() || response.pool != m_pool || response.client != m_tenure)
        return;
    TeamQuota &quota = it->second;
    // The latest request reported the allotment anew, so responses to earlier ones are outdated.
    if (!quota.awaitingResponse || response.sequence != quota.sequence)
        return;
    if (response.coordinator != quota.coordinator) {
        if (!response.accepted && response.coordinator.seat == quota.coordinator.seat) {
            quota.coordinator = response.coordinator;
            quota.awaitingResponse = false;
            quota.reportAtOnce = true;
        }
        return;
    }
    quota.awaitingResponse = false;
    quota.resendCount = 0;
    quota.stopExcess = !response.accepted && response.target < response.allotment;
    if (response.accepted) {
        if (response.allotment > quota.allotment) {
            quota.windowStart = now;
            quota.windowPeak = quota.inUse();
        }
        quota.allotment = std::max(response.allotment, quota.inUse());
    }
    quota.target.reset();
    if (!quota.configured)
        quota.target = 0;
    else if (response.accepted || quota.stopExcess)
        quota.target = response.target;
    shrinkToTarget(quota);
}

int32_t QuotaClient::excess(const std::string &team) const
{
    const TeamQuota *quota = find(team);
    if (quota == nullptr || !quota->stopExcess)
        return 0;
    return std::max(0, quota->running - *quota->target);
}

int32_t QuotaClient::allotment(const std::string &team) const
{
    const TeamQuota *quota = find(team);
    return quota == nullptr ? 0 : quota->allotment;
}

int32_t QuotaClient::running(const std::string &team) const
{
    const TeamQuota *quota = find(team);
    return quota == nullptr ? 0 : quota->running;
}

std::vector<std::string> QuotaClient::teams() const
{
    std::vector<std::string> names;
    for (const auto &[team, quota] : m_quotas)
        names.push_back(team);
    return names;
}

} // namespace cardamompaddle
