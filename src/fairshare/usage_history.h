// The past use of a fleet by client accounts.
//
// The usage of an account is the integral over time of its dominant share of the fleet, where
// usage of one half-life ago counts half. Performs no I/O and reads no clock. Not thread-safe.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

// The decayed usage of one account.
struct AccountUsage
{
    std::string account;
    // Dominant share x seconds, in millionths: the unit in which usage is stored.
    int64_t shareSecondsMillionths = 0;
    friend bool operator==(const AccountUsage &, const AccountUsage &) = default;
};

class UsageHistory
{
public:
    // `halfLife` must be positive.
    explicit UsageHistory(Duration halfLife);

    // Returns the weight that counts for a configured one: at least MinWeight, also for a weight
    // that is no number, and at most MaxWeight.
    static double usableWeight(double weight);
    // Sets the weights of the configured accounts. Any other account has DefaultWeight.
    void setWeights(std::map<std::string, double> weights);
    // Counts the time since the last call with the shares that were set then. Does nothing if
    // `now` is earlier. Drops accounts that are not configured once their usage is negligible.
    void advance(Instant now);
    // Sets the dominant share that the account uses from the time of the last advance() on.
    void setShare(const std::string &account, double share);

    // Returns the account's part of all usage divided by its part of all weights: 1 is exactly its
    // share, 0 no usage. All weights are those of the configured accounts and of the others that
    // have usage.
    double relativeUse(const std::string &account) const;
    // Returns relativeUse() of all configured accounts and of the others that have usage.
    std::map<std::string, double> relativeUses() const;

    // Returns the usage of at most `limit` accounts, those with the most, ordered by account.
    std::vector<AccountUsage> snapshot(size_t limit) const;
    // Adds usage that was stored `age` ago and has decayed since then. Negative usage is ignored.
    void restore(const std::vector<AccountUsage> &stored, Duration age);
    // Returns whether an account has used something since the last call.
    bool takeChanged();

    static constexpr double DefaultWeight = 1;
    static constexpr double MinWeight = 0.001;
    static constexpr double MaxWeight = 1e9;

private:
    struct Account
    {
        double shareSeconds = 0; // up to m_countedTo
        double share = 0; // since m_countedTo
    };

    double weightOf(const std::string &account) const;
    double decayFactor(Duration elapsed) const;
    void dropNegligible();
    void updateTotals();

    double m_halfLifeSeconds;
    std::optional<Instant> m_countedTo; // unset until the first advance()
    std::map<std::string, Account> m_accounts; // with usage or a share other than 0
    std::map<std::string, double> m_weights; // of the configured accounts
    double m_totalShareSeconds = 0;
    double m_totalWeight = 0;
    bool m_changed = false; // see takeChanged()
};

// Returns the factor by which the relative use of an account changes the weight of its present
// share in the order of waiting work: MinUsageFactor without usage, 1 at exactly its share, and
// towards MaxUsageFactor beyond it. It increases strictly, so that it also tells apart accounts
// that are all far beyond their share.
double usageFactor(double relativeUse);
inline constexpr double MaxUsageFactor = 2;
inline constexpr double MinUsageFactor = 1 / MaxUsageFactor;

} // namespace cardamompaddle
