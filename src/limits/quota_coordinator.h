// The coordinator of one team: lends parts of the team's limit to pools, so that the tasks running
// over the whole fleet never exceed it (I4).
//
// Each pool reports the allotment it holds in absolute terms. The coordinator lends only after
// every pool has reported to it with all its tasks known. A pool must first show that it still
// receives this coordinator's answers: the coordinator answers a report from an unknown sender with
// a session, and takes the report only when it is repeated under that session. A late report of an
// earlier owner of the pool therefore changes nothing.
//
// Core: no I/O and no clock. Not thread-safe; control thread only. Amounts are running tasks.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "limits/quota_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

// One row of the operators' view of a coordinator.
struct QuotaCoordinatorRow
{
    std::string pool;
    bool known = false; // it reported to this coordinator with all its tasks known
    bool removed = false; // no longer in the tables; kept until it reports an allotment of 0
    int32_t allotted = 0;
    int32_t running = 0;
    int32_t wanted = 0;
    int32_t target = 0;
    Tenure client;
};

class QuotaCoordinator
{
public:
    // `tenure` is that of the member that may act for "team/NAME". Errors: InvalidArgument for an
    // empty name or a negative limit.
    static Result<QuotaCoordinator> create(std::string team, int32_t limit,
                                           const std::vector<std::string> &pools, Tenure tenure);

    // Takes a report and answers it. The answer is not accepted while the coordinator cannot lend;
    // its target is below its allotment only if the pool must stop tasks because the limit was
    // lowered. In an accepted answer, a target below the allotment asks the pool not to start above
    // it.
    QuotaResponse handle(const QuotaRequest &request, Instant now);

    // A limit of 0 lends nothing. Errors: InvalidArgument for a negative limit, which changes
    // nothing.
    Result<void> setLimit(int32_t limit);
    // Sets the pools of the tables. A new pool is unknown, so nothing is lent until it reports. A
    // removed pool keeps its allotment until it reports an allotment of 0.
    void setPools(const std::vector<std::string> &pools);

    const std::string &team() const { return m_team; }
    const Tenure &tenure() const { return m_tenure; }
    int32_t limit() const { return m_limit; }
    // True if every pool has reported.
    bool ready() const;
    // The limit less what is lent; negative after the limit was lowered. Only meaningful when
    // ready().
    int64_t free() const;
    // The allotment that each pool should have at present, by pool name.
    std::map<std::string, int32_t> targets(Instant now) const;
    std::vector<QuotaCoordinatorRow> rows(Instant now) const;

private:
    struct Pool
    {
        bool known = false;
        bool removed = false;
        int32_t allotted = 0;
        int32_t running = 0;
        int32_t wanted = 0;
        Tenure client;
        Tenure session; // reports are taken under this one
        Tenure offered; // session offered to `offeredTo`
        Tenure offeredTo;
        uint64_t sequence = 0;
        uint64_t turn = 0; // number of the latest grant; the lowest is served first
        Instant heardAt;
        std::optional<QuotaResponse> lastAnswer;
    };

    QuotaCoordinator(std::string team, int32_t limit, Tenure tenure);

    Tenure nextSession(Instant now);
    QuotaResponse offerSession(Pool &pool, const QuotaRequest &request, Instant now);
    QuotaResponse take(Pool &pool, const QuotaRequest &request, Instant now);
    void lend(Pool &pool, const QuotaRequest &request, QuotaResponse &answer, Instant now);
    bool overLent() const { return free() < 0; }
    int32_t wish(const Pool &pool, Instant now) const;

    std::string m_team;
    int32_t m_limit;
    Tenure m_tenure;
    uint64_t m_lastSession = 0;
    uint64_t m_turns = 0;
    std::map<std::string, Pool> m_pools;
};

} // namespace cardamompaddle
