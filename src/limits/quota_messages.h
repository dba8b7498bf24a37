// Messages between the quota coordinator of a team and the quota clients of the pools. The
// coordinator grants each pool an allotment: the number of the team's tasks that may run in it.
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace cardamompaddle {

// Reports a pool's allotment and may ask for a larger one. Amounts are absolute numbers of running
// tasks, so a lost or repeated message does not distort them.
struct QuotaRequest
{
    std::string team;
    std::string pool;
    Tenure client; // tenure of the quota client
    uint64_t sequence = 0; // increases with each request of this client tenure
    Tenure coordinator; // coordinator tenure or session that the request is addressed to
    int32_t allotment = 0; // held now; the client lowers its own before it reports the new value
    int32_t running = 0;
    int32_t wanted = 0; // allotment that the running, reserved and waiting tasks need
    bool complete = false; // the client knows every running task of the pool
    friend bool operator==(const QuotaRequest &, const QuotaRequest &) = default;
};

// Answers a QuotaRequest, whose team, pool, client and sequence it repeats.
struct QuotaResponse
{
    std::string team;
    std::string pool;
    Tenure client;
    uint64_t sequence = 0;
    Tenure coordinator; // the request's, or a session that the client must use from now on
    int32_t allotment = 0; // granted in total; at least the allotment reported
    // Allotment that the pool should shrink to as its tasks end. If the response is not accepted
    // and the target is below `allotment`, the limit was lowered and the pool must stop tasks that
    // run above the target.
    int32_t target = 0;
    bool accepted = false; // false: nothing can be granted now; the allotment does not change
    friend bool operator==(const QuotaResponse &, const QuotaResponse &) = default;
};

} // namespace cardamompaddle
