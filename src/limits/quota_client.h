// The quota client of one pool: holds the pool's parts of all teams' limits and keeps the tasks
// that run in the pool within them (I4).
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

class QuotaClient
{
public:
    // `tenure` is that of the member that may act for "pool/NAME". The quota client knows no
    // running task at first. Errors: InvalidArgument for an empty name.
    static Result<QuotaClient> create(std::string pool, Tenure tenure);

    // Names the present coordinator of the team; `coordinator` is the tenure of the member that is
    // believed to act for "team/NAME". Makes the team known. A change is reported to the new
    // coordinator at once.
    void setCoordinator(const std::string &team, Tenure coordinator);
    // The team is no longer in the tables: nothing more may start, and its allotment is returned.
    void removeTeam(const std::string &team);

    // True if `count` more tasks may start now. False for a team that is not known.
    bool mayStart(const std::string &team, int32_t count = 1) const;
    // Sets `count` tasks aside for starts that follow, all or none. Otherwise notes the demand, for
    // which requests() asks.
    bool reserve(const std::string &team, int32_t count = 1);
    // Gives up reserved tasks that were not started.
    void release(const std::string &team, int32_t count = 1);
    // The number of tasks that wait for nothing but the limit. 0 clears the demand.
    void setDemand(const std::string &team, int32_t waiting);
    // A task started; uses up a reservation if there is one.
    void started(const std::string &team);
    // A task of the team surely no longer runs.
    void ended(const std::string &team);
    // Takes over `count` running tasks of an earlier owner of the pool.
    void adopt(const std::string &team, int32_t count);
    // Every task that runs in the pool is now known. Nothing starts before.
    void setComplete();
    bool complete() const { return m_complete; }

    // The requests to send now, each to the coordinator's seat in it. Call it after each batch of
    // changes and at least every 200 ms.
    std::vector<QuotaRequest> requests(Instant now);
    // Takes an answer; ignores it if it is not the first answer to the latest request.
    void handle(const QuotaResponse &answer, Instant now);

    // Number of running tasks to stop because the team's limit was lowered.
    int32_t excess(const std::string &team) const;
    int32_t allotment(const std::string &team) const;
    int32_t running(const std::string &team) const;
    // Every team with an allotment, a running task or a coordinator, in order of name.
    std::vector<std::string> teams() const;

private:
    struct Account
    {
        bool known = false; // in the tables
        int32_t allotment = 0;
        int32_t running = 0;
        int32_t reserved = 0;
        int32_t demand = 0;
        bool blocked = false; // a reservation failed in the present window
        std::optional<int32_t> target; // the allotment is not kept above it and what is in use
        bool stopExcess = false; // the target holds for running tasks too
        Tenure namedCoordinator; // as given to setCoordinator
        Tenure coordinator; // reported to: the named coordinator, or the session it offered
        uint64_t sequence = 0; // of the latest request; 0: none
        bool awaiting = false; // the latest request is not answered yet
        bool reportAtOnce = false;
        int32_t reportedWanted = 0;
        int32_t resends = 0;
        Instant sentAt;
        Instant windowStart;
        int32_t windowPeak = 0; // most tasks in use since windowStart
        int32_t returns = 0; // times that an allotment of no use was returned
        Instant askAfter;

        int32_t used() const { return running + reserved; }
    };

    QuotaClient(std::string pool, Tenure tenure);

    const Account *find(const std::string &team) const;
    static void shrinkToTarget(Account &account);
    static void noteUse(Account &account);
    void returnUnused(const std::string &team, Account &account, Instant now) const;
    static int32_t wanted(const Account &account, Instant now);
    static bool due(const Account &account, Instant now);
    QuotaRequest report(const std::string &team, Account &account, Instant now) const;

    std::string m_pool;
    Tenure m_tenure;
    bool m_complete = false;
    std::map<std::string, Account> m_accounts;
};

} // namespace cardamompaddle
