// The workers in the platform's instance list, at present and in the recent past. The platform
// updates the list with a delay.
//
// A worker that is no longer listed may still run tasks until their leases lapse. A pool's new
// owner therefore has to account for every worker that was listed within the last lease, even if
// that was before its own process started. For this, peers send their history of the list.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "config/tables.h"
#include "platform/types.h"
#include "platform/worker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// Not thread-safe: control thread only.
class InstanceDirectory
{
public:
    // `client` must outlive the directory.
    InstanceDirectory(InstanceListClient &client, Instant createdAt);

    // Fetches the list if it is due.
    void advance(Instant now);
    // Increases with each list that differs from the previous one.
    uint64_t revision() const { return m_state->revision; }
    // Workers of the pool in the newest list, ordered by id.
    std::vector<WorkerInfo> listed(const PoolSpec &pool) const;
    // Workers of the pool that were listed at or after `since`, ordered by id.
    std::vector<WorkerId> listedSince(const PoolSpec &pool, Instant since) const;
    // Every worker listed at or after this time is known; empty before the first list.
    std::optional<Instant> historySince() const { return m_state->historySince; }
    bool up() const { return m_state->lastSuccess.has_value() && m_state->failures == 0; }

    // Returns the history as JSON, for a peer that started later.
    std::string historyJson(Instant now) const;
    // Merges a peer's history; a malformed one is ignored.
    void mergeHistory(std::string_view json, Instant now);

    // True if the worker matches the pool's zones and labels.
    static bool belongsTo(const WorkerInfo &worker, const PoolSpec &pool);

private:
    struct Entry
    {
        WorkerInfo info;
        Instant lastListed;
        bool present = false; // in the newest list
    };
    // Shared with the callbacks, which may outlive the directory.
    struct State
    {
        std::map<WorkerId, Entry> workers;
        bool fetching = false;
        int failures = 0;
        uint64_t revision = 0;
        std::optional<Instant> lastAttempt;
        std::optional<Instant> lastSuccess;
        std::optional<Instant> historySince;
    };
    static void applyList(State &state, const std::vector<WorkerInfo> &list, Instant now);

    InstanceListClient &m_client;
    std::shared_ptr<State> m_state;
};

} // namespace cardamompaddle
