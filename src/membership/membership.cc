#include "membership/membership.h"

#include "base/hash.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cardamompaddle {

using internal::Probe;
using internal::SeatRecord;

Result<Membership> Membership::create(MembershipOptions options, SeatId self, uint64_t incarnation,
                                      Instant now)
{
    if (options.seatCount < 1 || self < 0 || self >= options.seatCount)
        return Error{ErrorCode::InvalidArgument,
                     "seat " + std::to_string(self) + " is not one of the "
                         + std::to_string(options.seatCount) + " seats"};
    if (incarnation == 0)
        return Error{ErrorCode::InvalidArgument, "an incarnation must be above 0"};
    if (options.heartbeatInterval <= Duration(0))
        return Error{ErrorCode::InvalidArgument, "the heartbeat interval must be positive"};
    if (options.quorumWindow < 2 * options.heartbeatInterval)
        return Error{ErrorCode::InvalidArgument,
                     "the quorum window must be at least two heartbeat intervals"};
    // A member that regains quorum waits F before it acts. Every answer from before the gain must
    // be outside the quorum window by then.
    if (options.sessionTtl < options.quorumWindow)
        return Error{ErrorCode::InvalidArgument,
                     "the session TTL must not be below the quorum window"};
    return Membership(options, self, incarnation, now);
}

Membership::Membership(const MembershipOptions &options, SeatId self, uint64_t incarnation,
                       Instant now)
    : m_options(options), m_self(self), m_incarnation(incarnation), m_createdAt(now),
      m_latestNow(now), m_mayActFrom(now), m_probes(options.seatCount, options.quorumWindow),
      m_table(options.seatCount, now), m_lapseDetector(options.seatCount)
{
    m_table[self].id = {incarnation, 0};
}

std::vector<SeatId> Membership::otherSeats() const
{
    std::vector<SeatId> seats;
    for (SeatId it = 0; it < m_options.seatCount; ++it) {
        if (it != m_self)
            seats.push_back(it);
    }
    return seats;
}

Duration Membership::timeSinceHeard(SeatId seat, Instant now) const
{
    // Earlier processes of this seat may have answered other seats until this one was established.
    if (!m_establishedAt || seat == m_self)
        return Duration(0);
    return now - std::max(*m_establishedAt, m_table[seat].lastHeard.value_or(m_createdAt));
}

Heartbeat Membership::heartbeat(Instant now) const
{
    Heartbeat message;
    message.from = m_self;
    message.incarnation = m_incarnation;
    message.generation = m_generation;
    message.synced = m_synced && m_establishedAt.has_value();
    message.left = m_left && m_generation > 0;
    message.uptime = now - m_createdAt;
    for (SeatId it = 0; it < m_options.seatCount; ++it)
        message.table.push_back(m_table.view(it, timeSinceHeard(it, now)));
    SeatView &own = message.table[static_cast<size_t>(m_self)];
    own.synced = message.synced;
    own.left = message.left;
    return message;
}

uint64_t Membership::heartbeatSent(SeatId to, Instant now)
{
    updateState(now);
    return m_probes.addProbe(Probe{to, now, m_generation});
}

void Membership::heartbeatAnswered(SeatId from, uint64_t probe, const Heartbeat &answer,
                                   Instant now)
{
    updateState(now);
    const std::optional<Probe> sent = m_probes.takeProbe(from, probe, now);
    if (!sent || answer.from != from || !isCurrent(answer))
        return;
    const uint64_t incarnation = m_incarnation;
    mergeHeartbeat(answer, now);
    // An answer to a request of a lower own incarnation is no evidence for the present one.
    if (incarnation == m_incarnation && answer.incarnation == m_table[from].id.incarnation) {
        m_probes.recordAnswer(*sent, answer.incarnation, answer.synced, now);
        if (answer.synced)
            m_lapseDetector.recordReport(from, sent->sentAt, now, answer.table);
    }
    updateState(now);
}

bool Membership::heartbeatReceived(const Heartbeat &request, Instant now)
{
    updateState(now);
    if (!isCurrent(request))
        return false;
    mergeHeartbeat(request, now);
    updateState(now);
    return !m_superseded && isCurrent(request);
}

bool Membership::isCurrent(const Heartbeat &message) const
{
    return m_table.contains(message.from) && message.from != m_self && message.incarnation > 0
           && message.incarnation >= m_table[message.from].id.incarnation;
}

void Membership::mergeHeartbeat(const Heartbeat &message, Instant now)
{
    mergeSeatView(SeatView{message.from,
                           message.incarnation,
                           message.generation,
                           message.synced,
                           message.left,
                           Duration(0),
                           {}},
                  now);
    for (const SeatView &it : message.table) {
        if (!m_table.contains(it.seat))
            continue;
        if (it.seat == m_self)
            mergeOwnSeatView(message.from, it);
        else
            mergeSeatView(it, now);
    }
    SeatRecord &sender = m_table[message.from];
    if (message.incarnation == sender.id.incarnation) {
        sender.synced = message.synced;
        sender.lastHeard = now;
    }
}

void Membership::mergeOwnSeatView(SeatId from, const SeatView &row)
{
    if (row.incarnation > m_incarnation) {
        // Clocks of machines differ, so a new process may start with a lower incarnation than an
        // earlier one. A process past its startup grace period is the earlier one and is
        // superseded; a process still within it takes a higher incarnation.
        if (m_startupGraceOver)
            m_superseded = true;
        else
            raiseIncarnationAbove(row.incarnation);
    }
    m_table[from].reportsPredecessorLeft =
        row.incarnation == m_incarnation && row.generation == 0 && row.left;
}

void Membership::raiseIncarnationAbove(uint64_t known)
{
    // The hash keeps two new processes of the seat that learn of the same incarnation from choosing
    // the same new one.
    const uint64_t step = stableHash(std::to_string(known), m_incarnation) & 0xffffffff;
    m_incarnation = known + 1 + step;
    m_table[m_self].id = {m_incarnation, 0};
    m_establishedAt.reset();
    m_probes.clear();
    for (const SeatId it : otherSeats())
        m_table[it].reportsPredecessorLeft = false;
}

void Membership::mergeSeatView(const SeatView &row, Instant now)
{
    const auto result = m_table.merge(row);
    if (result.newIncarnation) {
        m_probes.reset(row.seat);
        m_lapseDetector.dropReport(row.seat);
    }
    if (result.newGeneration)
        withdrawLapse(row.seat, now);
}

void Membership::withdrawLapse(SeatId seat, Instant now)
{
    SeatRecord &record = m_table[seat];
    record.generationKnownSince = now;
    // This member may have acted for keys of the seat; its commands must have expired before it
    // acknowledges the generation.
    if (lapsedLongerThanF(seat, now))
        record.acknowledgeAfter = now + m_options.lateWriteBound();
    record.lapsedAt.reset();
}

void Membership::recordLapse(SeatId seat, Instant at)
{
    auto &lapsedAt = m_table[seat].lapsedAt;
    if (!lapsedAt || at < *lapsedAt)
        lapsedAt = at;
}

void Membership::setSynced(bool synced)
{
    m_synced = synced;
    updateState(m_latestNow);
}

void Membership::announceLeft()
{
    m_left = true;
    updateState(m_latestNow);
}

Tenure Membership::tenure() const
{
    return Tenure{m_self, m_incarnation, m_generation};
}

std::vector<SeatRow> Membership::rows(Instant now) const
{
    std::vector<SeatRow> rows;
    for (SeatId it = 0; it < m_options.seatCount; ++it) {
        const SeatRecord &record = m_table[it];
        const bool own = it == m_self;
        SeatRow row{it, record.id.incarnation, record.id.generation};
        row.hasQuorum = own ? hasQuorum(now) : seemsToHaveQuorum(it, now);
        row.synced = own ? m_synced : record.synced;
        row.left = own ? m_left : record.left;
        row.acknowledgedGeneration = own || acknowledgedBy(it);
        row.age = own ? Duration(0) : now - record.lastHeard.value_or(m_createdAt);
        rows.push_back(row);
    }
    return rows;
}

} // namespace cardamompaddle
