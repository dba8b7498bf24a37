#include "control/worker_lease.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr int64_t TokensPerEpoch = 1'000'000;
// A worker's clock may run slow by this much.
constexpr int MaxClockSlownessPercent = 3;
constexpr Duration LeaseExpiryMargin{200};
// A call without an answer is carried out at most this long after it was sent.
constexpr Duration MaxCallDelay{12'000};
// Workers tell their clock in whole milliseconds.
constexpr int64_t ClockRoundingMs = 2;

} // namespace

int64_t fencingToken(int64_t epoch, int64_t probes)
{
    return epoch * TokensPerEpoch + std::min(probes, TokensPerEpoch - 1);
}

int64_t epochOfToken(int64_t token)
{
    return token / TokensPerEpoch;
}

Duration maxLeaseDuration(Duration lease)
{
    return lease + lease * MaxClockSlownessPercent / 100 + LeaseExpiryMargin;
}

std::string_view leaseBoundName(LeaseBound bound)
{
    static constexpr std::array<std::string_view, 3> Names = {"requested", "former_scheduler",
                                                              "stale_calls"};
    return Names[static_cast<size_t>(bound)];
}

WorkerLease::WorkerLease(int64_t epoch, Duration maxLease, const FormerLeases &former,
                         int64_t probes)
    : m_epoch(epoch), m_maxLease(maxLease), m_probes(probes + 1), m_mayHaveStaleCalls(former.used),
      m_formerSuspended(former.suspended), m_startedAtMs(former.startedAtMs),
      m_expiry(former.expiry), m_staleExpiry(former.staleExpiry),
      m_formerUnansweredExpiry(former.unansweredExpiry), m_lastCallAt(former.lastCallAt)
{
    extend(former.staleExpiry, LeaseBound::StaleCalls);
}

void WorkerLease::extend(Instant expiry, LeaseBound bound)
{
    if (expiry <= m_expiry)
        return;
    m_expiry = expiry;
    m_bound = bound;
}

void WorkerLease::keepUntil(Instant time)
{
    m_expiry = std::max(m_expiry, time);
}

void WorkerLease::beginProbe()
{
    // A probe that got no answer may be repeated: carried out late, it changes nothing.
    if (!m_probed)
        return;
    m_probed = false;
    ++m_probes;
}

bool WorkerLease::onRegistryEntry(int64_t startedAtMs)
{
    const bool changed = std::exchange(m_listedStartedAtMs, startedAtMs) != startedAtMs;
    if (!changed || startedAtMs == m_startedAtMs)
        return false;
    if (m_everProbed) {
        const bool wasProbed = m_probed;
        beginProbe();
        return wasProbed;
    }
    // Any start of the earlier scheduler may have been carried out in the new incarnation.
    if (m_mayHaveStaleCalls && !m_formerSuspended && m_startedAtMs != 0)
        m_formerUnansweredExpiry = m_lastCallAt + MaxCallDelay + maxLeaseDuration(m_maxLease);
    return false;
}

WorkerLease::ReportKind WorkerLease::onReport(int64_t startedAtMs, int64_t workerTimeMs,
                                              Instant requestedAt, Instant now)
{
    const bool isNew = startedAtMs != m_startedAtMs;
    if (m_probed && isNew) {
        beginProbe();
        return ReportKind::NeedsProbe;
    }
    m_workerTimeMs = workerTimeMs;
    m_workerTimeReadAt = now;
    std::erase_if(m_unanswered, [requestedAt](const auto &it) {
        const auto &[sentAt, answeredAt] = it.second;
        return answeredAt ? *answeredAt <= requestedAt : sentAt + MaxCallDelay < requestedAt;
    });
    if (m_probed)
        return ReportKind::Current;
    m_startedAtMs = startedAtMs;
    m_probed = m_everProbed = true;
    m_formerUnansweredExpiry = Instant::min();
    if (!isNew)
        return ReportKind::Probed;
    if (m_mayHaveStaleCalls) {
        m_staleExpiry = now + maxLeaseDuration(m_maxLease);
        extend(m_staleExpiry, LeaseBound::StaleCalls);
    }
    return ReportKind::ProbedNew;
}

bool WorkerLease::clockFits(int64_t workerTimeMs, Instant sentAt) const
{
    // The clock may have been read after the call was sent.
    const int64_t elapsedMs = (sentAt - m_workerTimeReadAt).count();
    const int64_t elapsedAtLeastMs =
        elapsedMs > 0 ? elapsedMs * (100 - MaxClockSlownessPercent) / 100 : elapsedMs;
    const int64_t earliestMs = m_workerTimeMs + elapsedAtLeastMs;
    return workerTimeMs + ClockRoundingMs >= earliestMs;
}

int64_t WorkerLease::expectedClockMs(Instant now) const
{
    if (m_workerTimeReadAt == Instant::min())
        return 0;
    return m_workerTimeMs + (now - m_workerTimeReadAt).count();
}

int64_t WorkerLease::request(Duration lease, Instant now)
{
    m_mayHaveStaleCalls = true;
    m_lastCallAt = now;
    extend(now + maxLeaseDuration(lease), LeaseBound::Requested);
    return expectedClockMs(now) + lease.count();
}

void WorkerLease::startSent(const RunRef &run, Instant now)
{
    m_unanswered[run] = {now, std::nullopt};
}

void WorkerLease::startAnswered(const RunRef &run, bool confirmed, Instant now)
{
    const auto it = m_unanswered.find(run);
    if (it == m_unanswered.end())
        return;
    if (confirmed)
        m_unanswered.erase(it);
    else
        it->second.answeredAt = now;
}

std::set<RunRef> WorkerLease::unansweredRuns() const
{
    std::set<RunRef> out;
    for (const auto &[run, start] : m_unanswered)
        out.insert(run);
    return out;
}

Instant WorkerLease::settledAt() const
{
    return std::max(m_expiry, m_lastCallAt + MaxCallDelay + maxLeaseDuration(m_maxLease));
}

Instant WorkerLease::unansweredExpiry() const
{
    if (m_unanswered.empty())
        return m_formerUnansweredExpiry;
    return m_lastCallAt + MaxCallDelay + maxLeaseDuration(m_maxLease);
}

} // namespace cardamompaddle
