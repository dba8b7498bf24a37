// Defers the reports of workers that name runs of jobs which the job table does not hold yet.
//
// A former scheduler may store a job and start its tasks until the worker has seen the fencing
// token of its successor. So what a worker reports is unknown only if it is missing in a job table
// that was read after the worker had seen the token. Until then a report that names such a run
// counts as not received: nothing in it is stopped, acknowledged, or taken for complete.
//
// No I/O; the present time is an argument. Not thread-safe.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "dispatch/worker_runs.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {

class DeferredReports
{
public:
    // Returns whether the job table holds the job.
    using IsKnownJob = std::function<bool(const std::string &job)>;

    explicit DeferredReports(IsKnownJob isKnownJob) : m_isKnownJob(std::move(isKnownJob)) { }

    // Handles a report that arrives at `now`, of an incarnation that has seen the token of this
    // scheduler. The job table holds all that was stored before `tableAsOf`. Returns whether the
    // report may be judged by the table. If not, it replaces an earlier deferred one of the worker.
    bool admit(const WorkerId &id, const RunReport &report, Instant tableAsOf, Instant now);
    // Removes and returns the reports that may be judged by a table as of `tableAsOf`.
    std::vector<std::pair<WorkerId, RunReport>> takeJudgeable(Instant tableAsOf);
    // Forgets a worker on which nothing can run any more, with its deferred report.
    void drop(const WorkerId &id);
    bool contains(const WorkerId &id) const;
    bool empty() const { return m_deferredCount == 0; }
    size_t size() const { return m_deferredCount; }
    // Returns the first job in the report that the table does not hold; none if it holds all.
    std::optional<std::string> firstUnknownJob(const RunReport &report) const;

private:
    struct Incarnation
    {
        int64_t startedAtMs = 0;
        Instant fencedAt; // it had seen the token by then
        std::optional<RunReport> deferred; // the latest report, if it may not be judged yet
    };

    bool mayJudge(const Incarnation &incarnation, const RunReport &report, Instant tableAsOf) const;
    void setDeferred(Incarnation &incarnation, std::optional<RunReport> report);

    IsKnownJob m_isKnownJob;
    std::map<WorkerId, Incarnation> m_incarnations;
    size_t m_deferredCount = 0;
};

} // namespace cardamompaddle
