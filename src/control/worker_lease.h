// Decides by when no run can be active on a worker any more.
//
// A worker that starts again under its ID, a new incarnation, counts its clock and its finished
// runs from the beginning, has seen no fencing token, and takes calls that were meant for an
// earlier incarnation (stray calls). The end of a lease that a stray call requests lies far ahead
// on the new clock, so the worker grants the longest lease there is. Therefore an incarnation gets
// leases, orders and acknowledgements only once it has answered a probe: a poll that carries none
// of them and a higher fencing token than all calls before. From then on it refuses stray calls.
//
// What a stray call may have done before the probe bounds the leases as follows:
// - A confirmed run is one that a report has listed, or whose start was answered by the clock that
//   the lease was requested by. It ends with its incarnation or with the lease requested there.
// - A start without an answer may begin a run in an incarnation that nobody has heard of.
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
    StrayCalls, // may have been granted to calls that were meant for an earlier incarnation
};
// Returns a stable lower-case name, for example "stray_calls".
std::string_view leaseBoundName(LeaseBound bound);

// What is known of the leases that earlier schedulers have requested on a worker.
struct FormerLeases
{
    bool used = false; // an earlier scheduler may have called the worker
    int64_t startedAtMs = 0; // the incarnation that it used; 0: unknown
    Instant expiry = Instant::min(); // of the leases that it requested there
    Instant strayExpiry = Instant::min(); // of those that stray calls may have been granted
    Instant unansweredExpiry = Instant::min(); // of runs whose starts it had no answer to
    Instant lastCallAt = Instant::min(); // it sent no call later
};

class WorkerLease
{
public:
    enum class Report {
        Current, // of the incarnation that was probed before
        Probed, // answers a probe, and the incarnation is the one known before
        ProbedNew, // answers a probe of a new incarnation
        NeedsProbe, // of an incarnation that was not probed; probe it
    };

    WorkerLease(int64_t epoch, Duration maxLease, const FormerLeases &former);

    // Fencing token of the calls from now on.
    int64_t token() const { return fencingToken(m_epoch, m_probes); }
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
    bool listed(int64_t startedAtMs);
    // Handles the answer to the last poll that was sent, at `requestedAt` with the present token.
    // Answers to earlier polls may be of an earlier incarnation and must be dropped.
    // `workerTimeMs` is the worker's clock.
    Report reported(int64_t startedAtMs, int64_t workerTimeMs, Instant requestedAt, Instant now);

    // Whether the answer to a call sent at `sentAt` can come from the clock that leases are
    // requested by. Otherwise another incarnation has answered.
    bool clockFits(int64_t workerTimeMs, Instant sentAt) const;
    // Returns the worker's clock at `now` as far as it is known; 0 if it is not.
    int64_t expectedClockMs(Instant now) const;
    // Requests a lease and returns its end on the worker's clock in ms. Requires isProbed().
    int64_t request(Duration lease, Instant now);
    // Handles the sending of a start order, and an answer after which none of its attempts can
    // still be carried out in another incarnation.
    void startSent(const RunRef &run, Instant now);
    void startAnswered(const RunRef &run) { m_unanswered.erase(run); }

    // All leases have expired by then, except those of unansweredRuns(), unless further ones are
    // requested.
    Instant expiry() const { return m_expiry; }
    LeaseBound bound() const { return m_bound; }
    // Of the leases that stray calls may have been granted in the known incarnation.
    Instant strayExpiry() const { return m_strayExpiry; }
    // Runs that may be in another incarnation than the known one.
    std::set<RunRef> unansweredRuns() const;
    // Leases of such runs, also those of earlier schedulers, have expired by then.
    Instant unansweredExpiry() const;
    // Leaves at least this time until the expiry.
    void keepUntil(Instant time);

private:
    void extend(Instant expiry, LeaseBound bound);

    int64_t m_epoch;
    Duration m_maxLease;
    int64_t m_probes = 1;
    bool m_probed = false;
    bool m_everProbed = false; // in this tenure
    bool m_mayHaveStrayCalls; // calls were sent to an earlier incarnation
    int64_t m_startedAtMs;
    int64_t m_listedStartedAtMs = 0; // in the last registry entry
    int64_t m_workerTimeMs = 0; // at m_workerTimeReadAt
    Instant m_workerTimeReadAt = Instant::min();
    Instant m_expiry;
    LeaseBound m_bound = LeaseBound::FormerScheduler;
    Instant m_strayExpiry;
    Instant m_formerUnansweredExpiry;
    Instant m_lastCallAt; // of the calls that request leases
    // When the last attempt of each start order was sent that may have got no answer.
    std::map<RunRef, Instant> m_unanswered;
};

} // namespace cardamompaddle
