// Quota client of one pool: holds the pool's allotment of each team's limit and allows a task of
// the team to start only within it (invariant I4). Allotments are granted by the quota coordinator
// of the team.
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

class QuotaClient
{
public:
    // `tenure` belongs to the member that may act for the key "pool/NAME". The client initially
    // knows no running task. Returns InvalidArgument for an empty pool name.
    static Result<QuotaClient> create(std::string pool, Tenure tenure);

    // Sets the tenure of the member that is believed to act for the key "team/NAME", and adds the
    // team if it is new. The next takeDueRequests() reports to a coordinator that changed.
    void setCoordinator(const std::string &team, Tenure coordinator);
    // Handles a team that left the tables: no more of its tasks may start, and its allotment is
    // returned as its tasks end.
    void removeTeam(const std::string &team);

    // True if `count` more tasks may start now. False for an unknown team.
    bool mayStart(const std::string &team, int32_t count = 1) const;
    // Reserves allotment for `count` tasks that are about to start, all or none. On failure, raises
    // the demand that takeDueRequests() reports to at least `count`.
    bool reserve(const std::string &team, int32_t count = 1);
    // Releases reservations of tasks that were not started.
    void release(const std::string &team, int32_t count = 1);
    // Sets the number of tasks that only the limit prevents from starting. 0 clears the demand.
    void setDemand(const std::string &team, int32_t waiting);
    // Records that a task started. Consumes a reservation if there is one.
    void recordStart(const std::string &team);
    // Records that a task ended. Call it only when the task is certain to have stopped.
    void recordEnd(const std::string &team);
    // Adds `count` running tasks that a previous owner of the pool started.
    void adopt(const std::string &team, int32_t count);
    // Declares that every task that runs in the pool is known. No task may start before.
    void setComplete();
    bool complete() const { return m_complete; }

    // Returns the requests that are due, each to be sent to the seat in its `coordinator`. Call it
    // after each batch of changes and at least every 200 ms.
    std::vector<QuotaRequest> takeDueRequests(Instant now);
    // Applies a response. Ignores it unless it is the first one to the latest request.
    void handle(const QuotaResponse &response, Instant now);

    // Returns the number of running tasks to stop because the team's limit was lowered.
    int32_t excess(const std::string &team) const;
    int32_t allotment(const std::string &team) const;
    int32_t running(const std::string &team) const;
    // Returns every team with an allotment, a running task or a coordinator, in order of name.
    std::vector<std::string> teams() const;

private:
    struct TeamQuota
    {
        bool configured = false; // the team is in the tables
        int32_t allotment = 0;
        int32_t running = 0;
        int32_t reserved = 0;
        int32_t demand = 0;
        bool reservationFailed = false; // since windowStart
        // Allotment above the target is returned as soon as it is not in use.
        std::optional<int32_t> target;
        bool stopExcess = false; // running tasks above the target must be stopped
        Tenure assignedCoordinator; // as given to setCoordinator()
        Tenure coordinator; // addressee of reports: the assigned tenure or the session it offered
        uint64_t sequence = 0; // of the latest request; 0 if there is none
        bool awaitingResponse = false; // to the latest request
        bool reportAtOnce = false;
        int32_t reportedWanted = 0;
        int32_t resendCount = 0;
        Instant sentAt;
        Instant windowStart;
        int32_t windowPeak = 0; // maximum of inUse() since windowStart
        int32_t backoffCount = 0;
        Instant backoffUntil; // demand is not reported before

        int32_t inUse() const { return running + reserved; }
    };

    QuotaClient(std::string pool, Tenure tenure);

    const TeamQuota *find(const std::string &team) const;
    static void shrinkToTarget(TeamQuota &quota);
    static void updatePeak(TeamQuota &quota);
    void returnUnused(const std::string &team, TeamQuota &quota, Instant now) const;
    static int32_t wantedAllotment(const TeamQuota &quota, Instant now);
    static bool isReportDue(const TeamQuota &quota, Instant now);
    QuotaRequest makeReport(const std::string &team, TeamQuota &quota, Instant now) const;

    std::string m_pool;
    Tenure m_tenure;
    bool m_complete = false;
    std::map<std::string, TeamQuota> m_quotas; // by team
};

} // namespace cardamompaddle
