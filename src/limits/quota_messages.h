// Messages between a team's coordinator and the pools that borrow parts of the team's limit.
#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace cardamompaddle {

// A pool reports the allotment it holds and may ask for more. Amounts are running tasks, absolute.
struct QuotaRequest
{
    std::string team;
    std::string pool;
    Tenure client;
    uint64_t sequence = 0; // rises with each request of this quota client tenure
    Tenure coordinator; // tenure of the coordinator that the quota client reports to
    int32_t allotment = 0; // held now; lowered by the quota client before it says so
    int32_t running = 0;
    int32_t wanted = 0; // allotment that it would like to have
    bool complete = false; // every running task of the pool is known to the quota client
    friend bool operator==(const QuotaRequest &, const QuotaRequest &) = default;
};

// The coordinator's answer, which repeats the identity of the request.
struct QuotaResponse
{
    std::string team;
    std::string pool;
    Tenure client;
    uint64_t sequence = 0;
    Tenure coordinator;
    int32_t allotment = 0; // granted in all, at least the allotment reported
    int32_t target =
        0; // allotment that the pool should shrink to; below `allotment` when the limit was lowered
    bool accepted = false; // false: this coordinator cannot lend now; the allotment stays as it is
    friend bool operator==(const QuotaResponse &, const QuotaResponse &) = default;
};

} // namespace cardamompaddle
