// Decides by when no run can be active on a worker any more.
//
// A worker that starts again under its ID, a new incarnation, numbers its finished runs from the
// beginning, has a clock that has nothing to do with the former one, has seen no fencing token, and
// takes calls that were meant for an earlier incarnation (stale calls). The end of a lease that a
// stale call requests may lie far ahead on the new clock; the worker then grants the longest lease
// there is. Therefore an incarnation gets leases, orders and acknowledgements only once it has
// answered a probe: a poll that carries none of them and a higher fencing token than all calls
// before. From then on it refuses stale calls.
//
// What a stale call may have done before the probe bounds the leases as follows:
// - A confirmed run is one whose start was answered at the first attempt, by the clock that the
//   lease was requested by. It ends with its incarnation or with the lease requested there.
// - A start without an answer may begin a run in an incarnation that nobody has heard of, also
//   after the known one has answered a probe, since a later one has seen no token.
// - An incarnation that was new to the probe may have granted the longest lease until the probe.
//
// No I/O; the present time is an argument. Not thread-safe.
#pragma once

#include "base/time.h"
#include "dispatch/worker_runs.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace cardamompaddle {

// Returns the fencing token of the calls of a tenure after this many probes of a worker. Tokens of
// a later tenure are always higher.
int64_t fencingToken(int64_t epoch, int64_t probes);
// Returns the epoch of the tenure that a fencing token belongs to.
int64_t epochOfToken(int64_t token);

// Returns the time after which a lease has expired even on a slow worker's clock.
Duration maxLeaseDuration(Duration lease);

// Why leases on a worker last until WorkerLease::expiry().
enum class LeaseBound {
    Requested, // by a call of this scheduler
    FormerScheduler, // requested by an earlier scheduler
    StaleCalls, // may have been granted to calls that were meant for an earlier incarnation
};
// Returns a stable lower-case name, for example "stale_calls".
std::string_view leaseBoundName(LeaseBound bound);

// What is known of the leases that earlier schedulers have requested on a worker.
struct FormerLeases
{
    bool used = false; // an earlier scheduler may have called the worker
    int64_t startedAtMs = 0; // the incarnation that it used; 0: unknown
    bool suspended = false; // it has stored that it extends no leases
    Instant expiry = Instant::min(); // of the leases that it requested there
    Instant staleExpiry = Instant::min(); // of those that stale calls may have been granted
    Instant unansweredExpiry = Instant::min(); // of runs whose starts it had no answer to
    Instant lastCallAt = Instant::min(); // it sent no call later
};

class WorkerLease
{
public:
    enum class ReportKind {
        Current, // of the incarnation that was probed before
        Probed, // answers a probe, and the incarnation is the one known before
        ProbedNew, // answers a probe of a new incarnation
        NeedsProbe, // of an incarnation that was not probed; probe it
    };

    // `probes` is the number of probes of the worker that the tenure may have sent before.
    WorkerLease(int64_t epoch, Duration maxLease, const FormerLeases &former, int64_t probes = 0);

    // Fencing token of the calls from now on.
    int64_t token() const { return fencingToken(m_epoch, m_probes); }
    int64_t probes() const { return m_probes; }
    // Whether an incarnation has answered a probe since the last beginProbe(). Only then may calls
    // other than probes be sent.
    bool isProbed() const { return m_probed; }
    // Unix time in ms of the start of the known incarnation; 0 if none is known.
    int64_t startedAtMs() const { return m_startedAtMs; }
    // Call it when the next call may reach another incarnation, for example because one has got no
    // answer. The next poll has to be a probe.
    void beginProbe();
    // Handles a registry entry. Returns whether it shows another incarnation than the known one,
    // which is then to be probed at once. Incarnations are not ordered by their start: the time of
    // day may have been set back in between.
    bool onRegistryEntry(int64_t startedAtMs);
    // Handles the answer to the last poll that was sent, at `requestedAt` with the present token.
    // Answers to earlier polls may be of an earlier incarnation and must be dropped.
    // `workerTimeMs` is the worker's clock.
    ReportKind onReport(int64_t startedAtMs, int64_t workerTimeMs, Instant requestedAt,
                        Instant now);

    // Whether the answer to a call sent at `sentAt` can come from the clock that leases are
    // requested by. Otherwise another incarnation has answered.
    bool clockFits(int64_t workerTimeMs, Instant sentAt) const;
    // Returns the worker's clock at `now` as far as it is known; 0 if it is not.
    int64_t expectedClockMs(Instant now) const;
    // Requests a lease and returns its end on the worker's clock in ms. Requires isProbed().
    int64_t request(Duration lease, Instant now);
    // Handles the sending of an attempt of a start order.
    void startSent(const RunRef &run, Instant now);
    // Handles the answer to the only attempt of a start order. `confirmed` means that the known
    // incarnation has given it; otherwise the run counts as unanswered until the next report.
    void startAnswered(const RunRef &run, bool confirmed, Instant now);

    // All leases have expired by then, except those of unansweredRuns(), unless further ones are
    // requested.
    Instant expiry() const { return m_expiry; }
    LeaseBound bound() const { return m_bound; }
    // Of the leases that stale calls may have been granted in the known incarnation.
    Instant staleExpiry() const { return m_staleExpiry; }
    // Runs that may be in another incarnation than the known one.
    std::set<RunRef> unansweredRuns() const;
    bool hasUnansweredRuns() const { return !m_unanswered.empty(); }
    // Leases of such runs have expired by then. Of an earlier scheduler's starts it is not known
    // which had no answer, so until the first probe this may hold for all runs.
    Instant unansweredExpiry() const;
    // Sets the expiry to this time at least.
    void keepUntil(Instant time);
    // From then on no call that was sent up to now can have any effect, unless it is sent later.
    Instant settledAt() const;

private:
    void extend(Instant expiry, LeaseBound bound);

    int64_t m_epoch;
    Duration m_maxLease;
    int64_t m_probes; // of the worker in this tenure
    bool m_probed = false;
    bool m_everProbed = false; // in this tenure
    bool m_mayHaveStaleCalls; // calls were sent to an earlier incarnation
    bool m_formerSuspended;
    int64_t m_startedAtMs;
    int64_t m_listedStartedAtMs = 0; // in the last registry entry
    int64_t m_workerTimeMs = 0; // at m_workerTimeReadAt
    Instant m_workerTimeReadAt = Instant::min();
    Instant m_expiry;
    LeaseBound m_bound = LeaseBound::FormerScheduler;
    Instant m_staleExpiry;
    Instant m_formerUnansweredExpiry;
    Instant m_lastCallAt; // of the calls that request leases
    struct UnansweredStart
    {
        Instant sentAt; // the last attempt
        std::optional<Instant> answeredAt; // by an incarnation that may not be the known one
    };
    std::map<RunRef, UnansweredStart> m_unanswered;
};

} // namespace cardamompaddle
