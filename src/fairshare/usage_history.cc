#include "fairshare/usage_history.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <tuple>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr double Millionths = 1e6;
// An account that is not configured is dropped once its part of all usage is below this.
constexpr double NegligiblePart = 0.001;
// Bounds the usage of each account where it is stored, so that its conversion cannot overflow.
constexpr double MaxStoredMillionths = 1e15;

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

int64_t toMillionths(double shareSeconds)
{
    return std::llround(std::min(shareSeconds * Millionths, MaxStoredMillionths));
}

} // namespace

double usageFactor(double relativeUse)
{
    // Equals (1 + Max * relativeUse) / (Max + relativeUse), also for an infinite relative use.
    const double range = MaxUsageFactor * MaxUsageFactor - 1;
    return MaxUsageFactor - range / (MaxUsageFactor + std::max(0.0, relativeUse));
}

UsageHistory::UsageHistory(Duration halfLife) : m_halfLifeSeconds(toSeconds(halfLife)) { }

double UsageHistory::usableWeight(double weight)
{
    return weight >= MinWeight ? std::min(weight, MaxWeight) : MinWeight;
}

double UsageHistory::weightOf(const std::string &account) const
{
    const auto it = m_weights.find(account);
    return it == m_weights.end() ? DefaultWeight : usableWeight(it->second);
}

double UsageHistory::decayFactor(Duration elapsed) const
{
    return std::exp2(-toSeconds(elapsed) / m_halfLifeSeconds);
}

void UsageHistory::setWeights(std::map<std::string, double> weights)
{
    m_weights = std::move(weights);
    updateTotals();
}

void UsageHistory::advance(Instant now)
{
    const Instant from = m_countedTo.value_or(now);
    if (now < from)
        return;
    m_countedTo = now;
    const Duration elapsed = now - from;
    const double decay = decayFactor(elapsed);
    // The integral of the decayed share, which is constant over the time. Written with expm1(), as
    // the time between two calls is a tiny part of a half-life.
    const double rate = std::numbers::ln2 / m_halfLifeSeconds;
    const double effectiveSeconds = -std::expm1(-rate * toSeconds(elapsed)) / rate;
    for (auto &[name, account] : m_accounts) {
        account.shareSeconds = account.shareSeconds * decay + account.share * effectiveSeconds;
        m_changed = m_changed || (account.share > 0 && elapsed > Duration::zero());
    }
    updateTotals();
    dropNegligible();
}

void UsageHistory::setShare(const std::string &account, double share)
{
    if (share > 0)
        m_accounts[account].share = share;
    else if (const auto it = m_accounts.find(account); it != m_accounts.end())
        it->second.share = 0;
}

void UsageHistory::dropNegligible()
{
    const double negligible = m_totalShareSeconds * NegligiblePart;
    const auto dropped = std::erase_if(m_accounts, [&](const auto &it) {
        const Account &account = it.second;
        return account.share == 0 && account.shareSeconds <= negligible
               && !m_weights.contains(it.first);
    });
    if (dropped > 0)
        updateTotals();
}

void UsageHistory::updateTotals()
{
    m_totalShareSeconds = 0;
    m_totalWeight = 0;
    for (const auto &[name, weight] : m_weights)
        m_totalWeight += usableWeight(weight);
    for (const auto &[name, account] : m_accounts) {
        m_totalShareSeconds += account.shareSeconds;
        if (!m_weights.contains(name))
            m_totalWeight += DefaultWeight;
    }
}

double UsageHistory::relativeUse(const std::string &account) const
{
    const auto it = m_accounts.find(account);
    if (it == m_accounts.end() || it->second.shareSeconds <= 0)
        return 0;
    const double partOfUse = it->second.shareSeconds / m_totalShareSeconds;
    const double partOfWeights = weightOf(account) / m_totalWeight;
    return partOfUse / partOfWeights;
}

std::map<std::string, double> UsageHistory::relativeUses() const
{
    std::map<std::string, double> out;
    for (const auto &[name, weight] : m_weights)
        out[name] = relativeUse(name);
    for (const auto &[name, account] : m_accounts)
        out[name] = relativeUse(name);
    return out;
}

std::vector<AccountUsage> UsageHistory::snapshot(size_t limit) const
{
    std::vector<AccountUsage> out;
    for (const auto &[name, account] : m_accounts) {
        if (const int64_t amount = toMillionths(account.shareSeconds); amount > 0)
            out.push_back({name, amount});
    }
    if (out.size() <= limit)
        return out;
    std::sort(out.begin(), out.end(), [](const auto &a, const auto &b) {
        return std::tie(b.shareSecondsMillionths, a.account)
               < std::tie(a.shareSecondsMillionths, b.account);
    });
    out.resize(limit);
    std::sort(out.begin(), out.end(),
              [](const auto &a, const auto &b) { return a.account < b.account; });
    return out;
}

void UsageHistory::restore(const std::vector<AccountUsage> &stored, Duration age)
{
    const double decay = decayFactor(std::max(Duration::zero(), age));
    for (const AccountUsage &it : stored) {
        if (it.shareSecondsMillionths > 0)
            m_accounts[it.account].shareSeconds +=
                static_cast<double>(it.shareSecondsMillionths) / Millionths * decay;
    }
    updateTotals();
}

bool UsageHistory::takeChanged()
{
    return std::exchange(m_changed, false);
}

} // namespace cardamompaddle
