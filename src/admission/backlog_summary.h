// What the scheduler tells the entry instances about the backlog of client accounts, so that they
// can refuse jobs that cannot be served while these have value.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cardamompaddle {

// Open work of a client account in one pool.
struct AccountBacklog
{
    std::string pool;
    std::string account; // empty: submitted without a key
    // Processor time by estimate that is left of waiting and running work, in core-milliseconds, by
    // priority of the route. Without what runs until it is cancelled and what has no value left.
    std::map<int32_t, int64_t> coreMs;
    int64_t demandCpuMilli = 0; // that its running and ready tasks use if all of them run
    // What it gets of the pool while all accounts with waiting work take their weighted shares, as
    // far as its limit and its demand allow.
    int64_t drainCpuMilli = 0;

    // Returns the expected wait of a new job behind the work of its priority and of more urgent
    // ones. Zero if the account's whole demand fits into what it gets.
    Duration waitAt(int32_t priority) const;
    // Returns the longest of the expected waits.
    Duration longestWait() const;
};

struct BacklogSummary
{
    int64_t epoch = 0; // of the tenure in which it was computed
    Instant computedAt = Instant::min();
    std::vector<AccountBacklog> accounts; // with waiting work; empty: nobody waits for long

    // Returns null if the account has no waiting work in the pool.
    const AccountBacklog *find(const std::string &pool, const std::string &account) const;
    Duration longestWait() const;
};

} // namespace cardamompaddle
