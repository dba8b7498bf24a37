// Stand-in for the platform's instance list, which returns entries with a delay.
//
//   PUT  /instances/ID  WorkerInfo; an entry expires 5 s after its last PUT, so workers repeat it
//                       every second
//   GET  /instances     {"instances": [...]}, as of lag_ms ago
//   POST /control       {"leaving": [IDs], "lag_ms"}, both optional; `leaving` replaces the set
#pragma once

#include "base/time.h"
#include "net/http_types.h"
#include "net/steady_clock.h"
#include "platform/types.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// Model of the instance list, without I/O. Not thread-safe. `now` must not decrease between calls.
class ListModel
{
public:
    void setLag(Duration lag) { m_lag = lag; }
    Duration lag() const { return m_lag; }
    void registerWorker(const WorkerInfo &info, Instant now);
    void setLeaving(std::set<WorkerId> leaving, Instant now);
    // The workers as of `lag` ago, ordered by id.
    std::vector<WorkerInfo> list(Instant now);

private:
    struct Entry
    {
        WorkerInfo info;
        Instant lastRegistered;
    };
    // The content of the list from `since` until the next snapshot.
    struct Snapshot
    {
        Instant since;
        std::vector<WorkerInfo> workers;
    };
    void expire(Instant now);
    // Adds a snapshot of the current entries.
    void recordSnapshot(Instant now);

    Duration m_lag{500};
    std::map<WorkerId, Entry> m_entries;
    std::set<WorkerId> m_leaving;
    std::deque<Snapshot> m_snapshots; // oldest first; the last is the current state
};

// Thread-safe.
class ListStandin
{
public:
    // Handles one request; usable as an HttpHandler.
    void handle(const HttpRequest &request, const std::function<void(HttpResponse)> &respond);

private:
    HttpResponse responseTo(const HttpRequest &request);
    HttpResponse handleControl(const std::string &body);

    SteadyClock m_clock;
    std::mutex m_mutex;
    ListModel m_model;
};

} // namespace cardamompaddle
