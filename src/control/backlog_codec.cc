#include "control/backlog_codec.h"

#include <utility>

namespace cardamompaddle {

work::Backlog encodeBacklog(const BacklogSummary &summary)
{
    work::Backlog out;
    out.accounts.reserve(summary.accounts.size());
    for (const AccountBacklog &account : summary.accounts) {
        work::PoolBacklog it;
        it.pool = account.pool;
        it.account = account.account;
        it.coreMs = account.coreMs;
        it.demandCpuMilli = account.demandCpuMilli;
        it.drainCpuMilli = account.drainCpuMilli;
        out.accounts.push_back(std::move(it));
    }
    return out;
}

BacklogSummary decodeBacklog(const work::Backlog &backlog, int64_t epoch, Instant computedAt)
{
    BacklogSummary out;
    out.epoch = epoch;
    out.computedAt = computedAt;
    out.accounts.reserve(backlog.accounts.size());
    for (const work::PoolBacklog &it : backlog.accounts)
        out.accounts.push_back(
            {it.pool, it.account, it.coreMs, it.demandCpuMilli, it.drainCpuMilli});
    return out;
}

} // namespace cardamompaddle
