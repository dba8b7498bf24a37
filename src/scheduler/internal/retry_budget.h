// Token bucket that limits the retries of a pool, so that failing work cannot crowd out new work.
#pragma once

#include "base/time.h"

#include <cstdint>

namespace cardamompaddle::sched {

// A retry costs 1 token. Each first start earns 0.1. While the balance is below 10, it also earns 1
// token per second, so that retries continue when nothing else starts. Not thread-safe.
class RetryBudget
{
public:
    void recordFirstStart() { m_balance += m_balance < MaxBalance ? EarnedPerFirstStart : 0; }
    // Returns true and deducts the cost if a retry may start now.
    bool tryConsume(Instant now)
    {
        refill(now);
        if (m_balance < RetryCost)
            return false;
        m_balance -= RetryCost;
        return true;
    }

private:
    // Amounts in thousandths of a token.
    static constexpr int64_t RetryCost = 1000;
    static constexpr int64_t EarnedPerFirstStart = 100;
    static constexpr int64_t IdleBalanceLimit = 10 * RetryCost;
    // Bounds the burst of retries that many earlier starts could pay for.
    static constexpr int64_t MaxBalance = 1000 * RetryCost;

    void refill(Instant now)
    {
        if (m_refilled != Instant::min() && m_balance < IdleBalanceLimit) {
            const int64_t earned = (now - m_refilled).count();
            m_balance =
                m_balance + earned < IdleBalanceLimit ? m_balance + earned : IdleBalanceLimit;
        }
        m_refilled = now;
    }

    int64_t m_balance = IdleBalanceLimit;
    Instant m_refilled = Instant::min();
};

} // namespace cardamompaddle::sched
