#include "limits/quota_client.h"

#include "base/hash.h"
#include "base/invariant.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

// A request without an answer is sent again after this; doubled up to MaxResends times, so that an
// answer that takes longer than the interval is not outdated by the next request for ever.
constexpr Duration ResendInterval(200);
constexpr int32_t MaxResends = 3;
// An unmet demand is repeated after this.
constexpr Duration PollInterval(200);
// Changes that follow one another are reported together after this.
constexpr Duration ReportInterval(10);
// Every coordinator hears from the pool this often, and the pool learns of a new target.
constexpr Duration RefreshInterval(1000);
// An allotment unused for this long is returned.
constexpr Duration UnusedSpan(1000);

} // namespace

Result<QuotaClient> QuotaClient::create(std::string pool, Tenure tenure)
{
    if (pool.empty())
        return Error{ErrorCode::InvalidArgument, "a borrower needs the name of its pool"};
    return QuotaClient(std::move(pool), tenure);
}

QuotaClient::QuotaClient(std::string pool, Tenure tenure)
    : m_pool(std::move(pool)), m_tenure(tenure)
{ }

const QuotaClient::Account *QuotaClient::find(const std::string &team) const
{
    const auto it = m_accounts.find(team);
    return it == m_accounts.end() ? nullptr : &it->second;
}

void QuotaClient::setCoordinator(const std::string &team, Tenure coordinator)
{
    Account &account = m_accounts[team];
    account.known = true;
    if (account.namedCoordinator == coordinator)
        return;
    account.namedCoordinator = account.coordinator = coordinator;
    account.awaiting = false;
    account.reportAtOnce = true;
    account.resends = 0;
}

void QuotaClient::removeTeam(const std::string &team)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end())
        return;
    it->second.known = false;
    it->second.demand = 0;
    it->second.target = 0;
    shrinkToTarget(it->second);
}

bool QuotaClient::mayStart(const std::string &team, int32_t count) const
{
    const Account *account = find(team);
    return account != nullptr && account->known && m_complete
           && account->used() + count <= account->allotment;
}

bool QuotaClient::reserve(const std::string &team, int32_t count)
{
    const auto it = m_accounts.find(team);
    if (it == m_accounts.end() || !it->second.known)
        return false;
    Account &account = it->second;
    if (!mayStart(team, count)) {
        account.demand = std::max(account.demand, count);
        account.blocked = true;
        return false;
    }
    account.reserved += count;
    account.demand = std::max(0, account.demand - count);
    noteUse(account);
    return true;
}

void QuotaClient::release(const std::string &team, int32_t count)
{
    Account &account = m_accounts[team];
    account.reserved -= count;
    invariant(account.reserved >= 0, "I4 no more is released than was reserved", team);
    shrinkToTarget(account);
}

void QuotaClient::setDemand(const std::string &team, int32_t waiting)
{
    const auto it = m_accounts.find(team);
    if (it != m_accounts.end() && it->second.known)
        it->second.demand = waiting;
}

void QuotaClient::started(const std::string &team)
{
    Account &account = m_accounts[team];
    const bool allowed = account.reserved > 0 || mayStart(team);
    if (account.reserved > 0)
        --account.reserved;
    ++account.running;
    invariant(allowed && account.used() <= account.allotment,
              "I4 no team has more running in a pool than the part of its limit held there",
              "team=" + team + " pool=" + m_pool + " running=" + std::to_string(account.running)
                  + " part=" + std::to_string(account.allotment));
    noteUse(account);
}

void QuotaClient::ended(const std::string &team)
{
    Account &account = m_accounts[team];
    --account.running;
    invariant(account.running >= 0, "I4 no more tasks end than run", team);
    // Before all tasks are known, the allotment is what was adopted.
    if (!m_complete)
        account.allotment = account.used();
    shrinkToTarget(account);
}

void QuotaClient::adopt(const std::string &team, int32_t count)
{
    Account &account = m_accounts[team];
    account.running += count;
    if (account.used() > account.allotment) {
        account.allotment = account.used();
        account.reportAtOnce = true;
    }
    noteUse(account);
}

void QuotaClient::setComplete()
{
    m_complete = true;
    for (auto &[team, account] : m_accounts)
        account.reportAtOnce = true;
}

void QuotaClient::noteUse(Account &account)
{
    account.windowPeak = std::max(account.windowPeak, account.used());
}

void QuotaClient::shrinkToTarget(Account &account)
{
    if (!account.target)
        return;
    const int32_t kept = std::max(*account.target, account.used());
    if (kept < account.allotment) {
        account.allotment = kept;
        account.reportAtOnce = true;
    }
}

void QuotaClient::returnUnused(const std::string &team, Account &account, Instant now) const
{
    if (now - account.windowStart < UnusedSpan)
        return;
    const int32_t kept = std::max(account.windowPeak, account.used());
    if (m_complete && kept < account.allotment) {
        account.allotment = kept;
        account.reportAtOnce = true;
        // Two pools that each hold too little for a gang would otherwise return and ask again in
        // step for ever. The delay differs by pool and attempt.
        if (account.blocked) {
            const std::string text = m_pool + "/" + team;
            const uint64_t hash = stableHash(text, static_cast<uint64_t>(++account.returns));
            account.askAfter = now + Duration(200 + static_cast<Duration::rep>(hash % 1800));
        }
    }
    account.windowStart = now;
    account.windowPeak = account.used();
    account.blocked = false;
}

int32_t QuotaClient::wanted(const Account &account, Instant now)
{
    return account.used() + (now < account.askAfter ? 0 : account.demand);
}

bool QuotaClient::due(const Account &account, Instant now)
{
    if (account.namedCoordinator == Tenure{})
        return false;
    const Duration since = now - account.sentAt;
    if (account.reportAtOnce)
        return !account.awaiting || since >= ReportInterval;
    if (account.awaiting)
        return since >= ResendInterval * (1 << std::min(account.resends, MaxResends));
    const int32_t want = wanted(account, now);
    if (want > account.allotment && want > account.reportedWanted)
        return since >= ReportInterval;
    // An unmet demand, or one that others no longer have to wait for.
    if (std::max(want, account.reportedWanted) > account.allotment)
        return since >= PollInterval;
    return since >= RefreshInterval;
}

QuotaRequest QuotaClient::report(const std::string &team, Account &account, Instant now) const
{
    account.resends = account.awaiting && !account.reportAtOnce ? account.resends + 1 : 0;
    account.awaiting = true;
    account.reportAtOnce = false;
    account.sentAt = now;
    account.reportedWanted = wanted(account, now);
    QuotaRequest request{team, m_pool, m_tenure, ++account.sequence, account.coordinator};
    request.allotment = account.allotment;
    request.running = account.running;
    request.wanted = account.reportedWanted;
    request.complete = m_complete;
    return request;
}

std::vector<QuotaRequest> QuotaClient::requests(Instant now)
{
    std::vector<QuotaRequest> found;
    for (auto &[team, account] : m_accounts) {
        returnUnused(team, account, now);
        if (due(account, now))
            found.push_back(report(team, account, now));
    }
    std::erase_if(m_accounts, [](const auto &it) {
        const Account &account = it.second;
        const bool reported = !account.awaiting && !account.reportAtOnce;
        return !account.known && account.allotment == 0
               && (reported || account.namedCoordinator == Tenure{});
    });
    return found;
}

void QuotaClient::handle(const QuotaResponse &answer, Instant now)
{
    const auto it = m_accounts.find(answer.team);
    if (it == m_accounts.end() || answer.pool != m_pool || answer.client != m_tenure)
        return;
    Account &account = it->second;
    // A later request has stated the allotment anew, so an earlier answer no longer holds.
    if (!account.awaiting || answer.sequence != account.sequence)
        return;
    if (answer.coordinator != account.coordinator) {
        if (!answer.accepted && answer.coordinator.seat == account.coordinator.seat) {
            account.coordinator = answer.coordinator;
            account.awaiting = false;
            account.reportAtOnce = true;
        }
        return;
    }
    account.awaiting = false;
    account.resends = 0;
    account.stopExcess = !answer.accepted && answer.target < answer.allotment;
    if (answer.accepted) {
        if (answer.allotment > account.allotment) {
            account.windowStart = now;
            account.windowPeak = account.used();
        }
        account.allotment = std::max(answer.allotment, account.used());
    }
    account.target.reset();
    if (!account.known)
        account.target = 0;
    else if (answer.accepted || account.stopExcess)
        account.target = answer.target;
    shrinkToTarget(account);
}

int32_t QuotaClient::excess(const std::string &team) const
{
    const Account *account = find(team);
    if (account == nullptr || !account->stopExcess)
        return 0;
    return std::max(0, account->running - *account->target);
}

int32_t QuotaClient::allotment(const std::string &team) const
{
    const Account *account = find(team);
    return account == nullptr ? 0 : account->allotment;
}

int32_t QuotaClient::running(const std::string &team) const
{
    const Account *account = find(team);
    return account == nullptr ? 0 : account->running;
}

std::vector<std::string> QuotaClient::teams() const
{
    std::vector<std::string> names;
    for (const auto &[team, account] : m_accounts)
        names.push_back(team);
    return names;
}

} // namespace cardamompaddle
