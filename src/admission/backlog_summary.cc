#include "admission/backlog_summary.h"

#include <algorithm>

namespace cardamompaddle {

Duration AccountBacklog::waitAt(int32_t priority) const
{
    // Without any capacity there is no telling when the account gets some.
    if (demandCpuMilli <= drainCpuMilli || drainCpuMilli <= 0)
        return Duration::zero();
    int64_t ahead = 0;
    for (const auto &[urgency, amount] : coreMs)
        ahead += urgency <= priority ? amount : 0;
    return Duration(ahead * 1'000 / drainCpuMilli);
}

Duration AccountBacklog::longestWait() const
{
    return coreMs.empty() ? Duration::zero() : waitAt(coreMs.rbegin()->first);
}

const AccountBacklog *BacklogSummary::find(const std::string &pool,
                                           const std::string &account) const
{
    const auto it = std::ranges::find_if(accounts, [&](const AccountBacklog &each) {
        return each.pool == pool && each.account == account;
    });
    return it == accounts.end() ? nullptr : &*it;
}

Duration BacklogSummary::longestWait() const
{
    Duration longest{0};
    for (const AccountBacklog &account : accounts)
        longest = std::max(longest, account.longestWait());
    return longest;
}

} // namespace cardamompaddle
