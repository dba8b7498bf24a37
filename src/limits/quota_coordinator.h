// Quota coordinator of one team: grants allotments of the team's limit to pools, so that the tasks
// running in all pools together never exceed the limit (invariant I4).
//
// Each pool reports the allotment that it holds as an absolute number. The coordinator grants
// nothing until every pool has sent a complete report, one that covers all tasks running in it.
//
// Reports are accepted only within a session. A report from an unknown sender is answered with a
// new session, and accepted once the sender repeats it under that session. This proves that the
// sender still receives the coordinator's responses, so a delayed report of a previous owner of the
// pool changes nothing.
//
// Does no I/O and reads no clock. Not thread-safe; for use on the control thread. Amounts are
// numbers of running tasks.
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

// State of one pool in the operators' view of a coordinator.
struct QuotaCoordinatorRow
{
    std::string pool;
    bool reported = false; // has sent a complete report to this coordinator
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
    // `tenure` belongs to the member that may act for the key "team/NAME". Returns InvalidArgument
    // for an empty team or pool name or a negative limit.
    static Result<QuotaCoordinator> create(std::string team, int32_t limit,
                                           const std::vector<std::string> &pools, Tenure tenure);

    // Applies a pool's report and returns the response. The response is not accepted while nothing
    // can be granted; then a target below its allotment means that the limit was lowered and the
    // pool must stop tasks. In an accepted response, a target below the allotment only asks the
    // pool to start no task above the target.
    QuotaResponse handle(const QuotaRequest &request, Instant now);

    // A limit of 0 grants nothing. Returns InvalidArgument for a negative limit and keeps the
    // present one.
    Result<void> setLimit(int32_t limit);
    // Sets the pools that are in the tables. Nothing is granted until each new pool has sent a
    // complete report. A removed pool keeps its allotment until it reports an allotment of 0.
    void setPools(const std::vector<std::string> &pools);

    const std::string &team() const { return m_team; }
    const Tenure &tenure() const { return m_tenure; }
    int32_t limit() const { return m_limit; }
    // True if every pool has sent a complete report.
    bool ready() const;
    // The limit minus all allotments; negative while the pools hold more than a lowered limit.
    // Meaningful only if ready().
    int64_t unallotted() const;
    // Returns the allotment that each pool should have now, by pool name.
    std::map<std::string, int32_t> targets(Instant now) const;
    std::vector<QuotaCoordinatorRow> rows(Instant now) const;

private:
    struct Pool
    {
        bool reported = false; // has sent a complete report
        bool removed = false;
        int32_t allotted = 0;
        int32_t running = 0;
        int32_t wanted = 0;
        Tenure client;
        Tenure session; // session whose reports are accepted
        Tenure offeredSession; // not used by the client yet
        Tenure offeredTo; // client that received `offeredSession`
        uint64_t sequence = 0; // of the latest report in the session
        uint64_t lastGrant = 0; // number of the latest grant; breaks ties in favor of the lowest
        Instant reportedAt;
        std::optional<QuotaResponse> lastResponse;
    };

    QuotaCoordinator(std::string team, int32_t limit, Tenure tenure);

    Tenure nextSession(Instant now);
    QuotaResponse offerSession(Pool &pool, const QuotaRequest &request, Instant now);
    QuotaResponse applyReport(Pool &pool, const QuotaRequest &request, Instant now);
    void grant(Pool &pool, const QuotaRequest &request, QuotaResponse &response, Instant now);
    bool overAllotted() const { return unallotted() < 0; }
    int32_t currentDemand(const Pool &pool, Instant now) const;

    std::string m_team;
    int32_t m_limit;
    Tenure m_tenure;
    uint64_t m_lastSession = 0;
    uint64_t m_grantCount = 0;
    std::map<std::string, Pool> m_pools;
};

} // namespace cardamompaddle
