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
                                                              "stray_calls"};
    return Names[static_cast<size_t>(bound)];
}

WorkerLease::WorkerLease(int64_t epoch, Duration maxLease, const FormerLeases &former)
    : m_epoch(epoch), m_maxLease(maxLease), m_mayHaveStrayCalls(former.used),
      m_startedAtMs(former.startedAtMs), m_expiry(former.expiry), m_strayExpiry(former.strayExpiry),
      m_formerUnansweredExpiry(former.unansweredExpiry), m_lastCallAt(former.lastCallAt)
{
    extend(former.strayExpiry, LeaseBound::StrayCalls);
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

bool WorkerLease::listed(int64_t startedAtMs)
{
    const bool changed = std::exchange(m_listedStartedAtMs, startedAtMs) != startedAtMs;
    if (!changed || startedAtMs == m_startedAtMs)
        return false;
    if (m_everProbed) {
        const bool wasProbed = m_probed;
        beginProbe();
        return wasProbed;
    }
    // It is not known which starts the earlier scheduler has had answers to. Any of them may have
    // been carried out in the new incarnation.
    if (m_mayHaveStrayCalls && m_startedAtMs != 0)
        extend(m_lastCallAt + MaxCallDelay + maxLeaseDuration(m_maxLease), LeaseBound::StrayCalls);
    return false;
}

WorkerLease::Report WorkerLease::reported(int64_t startedAtMs, int64_t workerTimeMs,
                                          Instant requestedAt, Instant now)
{
    const bool isNew = startedAtMs != m_startedAtMs;
    if (m_probed && isNew) {
        beginProbe();
        return Report::NeedsProbe;
    }
    m_workerTimeMs = workerTimeMs;
    m_workerTimeReadAt = now;
    if (m_probed) {
        std::erase_if(m_unanswered, [requestedAt](const auto &it) {
            return it.second + MaxCallDelay < requestedAt;
        });
        return Report::Current;
    }
    m_startedAtMs = startedAtMs;
    m_probed = m_everProbed = true;
    m_unanswered.clear();
    m_formerUnansweredExpiry = Instant::min();
    if (!isNew)
        return Report::Probed;
    if (m_mayHaveStrayCalls) {
        m_strayExpiry = now + maxLeaseDuration(m_maxLease);
        extend(m_strayExpiry, LeaseBound::StrayCalls);
    }
    return Report::ProbedNew;
}

bool WorkerLease::clockFits(int64_t workerTimeMs, Instant sentAt) const
{
    const int64_t elapsedMs = std::max<int64_t>(0, (sentAt - m_workerTimeReadAt).count());
    const int64_t earliestMs = m_workerTimeMs + elapsedMs * (100 - MaxClockSlownessPercent) / 100;
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
    m_mayHaveStrayCalls = true;
    m_lastCallAt = now;
    extend(now + maxLeaseDuration(lease), LeaseBound::Requested);
    return expectedClockMs(now) + lease.count();
}

void WorkerLease::startSent(const RunRef &run, Instant now)
{
    m_unanswered[run] = now;
}

std::set<RunRef> WorkerLease::unansweredRuns() const
{
    std::set<RunRef> out;
    for (const auto &[run, sentAt] : m_unanswered)
        out.insert(run);
    return out;
}

Instant WorkerLease::unansweredExpiry() const
{
    if (m_unanswered.empty())
        return m_formerUnansweredExpiry;
    return m_lastCallAt + MaxCallDelay + maxLeaseDuration(m_maxLease);
}

} // namespace cardamompaddle
