// Shares of client accounts in the order of waiting work: what they use now and, with
// SchedulingPolicies::fairShare, what they have used.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <cmath>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Bounds the record of usage to some kilobytes. Accounts beyond it have hardly any usage.
constexpr size_t MaxStoredAccounts = 300;
constexpr double Millionths = 1e6;
constexpr double MaxRelativeUse = 1e9; // beyond it, accounts are not told apart

} // namespace

void Dispatcher::Impl::updateUsageWeights()
{
    if (!m_usage)
        return;
    std::map<std::string, double> weights;
    for (const auto &[name, team] : m_catalog->teams)
        weights[name] = team.weight;
    m_usage->setWeights(std::move(weights));
}

// Counts what accounts have used since the last decision.
void Dispatcher::Impl::countUsage(Instant now)
{
    if (m_usage)
        m_usage->advance(now);
}

// Takes over what accounts use until the next decision.
void Dispatcher::Impl::updateShares()
{
    if (!m_usage)
        return;
    for (const auto &[team, use] : m_teamUse) {
        const auto share = static_cast<double>(dominantShareMillionths(use, m_total));
        m_usage->setShare(team, share / Millionths);
    }
}

double Dispatcher::Impl::weightOf(const Job &job) const
{
    const auto team = m_catalog->teams.find(job.spec->team);
    return team == m_catalog->teams.end() ? UsageHistory::DefaultWeight
                                          : UsageHistory::usableWeight(team->second.weight);
}

// Returns the place of the job's account in the order of waiting work. With past usage, the
// weighted share is never 0 for an account that uses something, so that others which use nothing go
// first.
AccountRank Dispatcher::Impl::accountRank(const Job &job) const
{
    const int64_t share = dominantShareMillionths(*job.teamUse, m_total);
    const double weighted = static_cast<double>(share) / weightOf(job);
    if (!m_usage)
        return {static_cast<int64_t>(weighted), 0};
    const double pastUse = std::min(m_usage->relativeUse(job.spec->team), MaxRelativeUse);
    const int64_t scaled = std::llround(weighted * usageFactor(pastUse));
    return {std::max(std::min<int64_t>(share, 1), scaled), std::llround(pastUse * Millionths)};
}

// Returns a field for an event; empty without SchedulingPolicies::fairShare.
std::string Dispatcher::Impl::describePastUse(const Job &job) const
{
    constexpr int64_t MillionthsPerPercent = 10'000;
    if (!m_usage)
        return "";
    const int64_t percent = accountRank(job).pastUseMillionths / MillionthsPerPercent;
    return " past_use_percent=" + std::to_string(percent);
}

void Dispatcher::Impl::restoreUsage(const work::Usage &usage, int64_t heldMs)
{
    if (!m_usage)
        return;
    std::vector<AccountUsage> accounts;
    for (const work::AccountUsage &it : usage.accounts)
        accounts.push_back({it.account, it.shareSecondsMillionths});
    m_usage->restore(accounts, Duration(heldMs - std::max<int64_t>(0, usage.heldMs)));
}

std::optional<work::Usage> Dispatcher::Impl::takeUsage(int64_t heldMs)
{
    if (!m_usage || !m_usage->takeChanged())
        return std::nullopt;
    work::Usage out;
    out.heldMs = heldMs;
    for (AccountUsage &it : m_usage->snapshot(MaxStoredAccounts)) {
        work::AccountUsage account;
        account.account = std::move(it.account);
        account.shareSecondsMillionths = it.shareSecondsMillionths;
        out.accounts.push_back(std::move(account));
    }
    return out;
}

} // namespace cardamompaddle
