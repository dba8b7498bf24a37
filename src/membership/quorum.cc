// Quorum, the startup grace period, lapse certificates and acknowledgements.
#include "membership/membership.h"

#include <algorithm>

namespace cardamompaddle {

using internal::SeatRecord;

namespace {

int32_t majorityOf(int32_t seats)
{
    return seats / 2 + 1;
}

// Returns the number of other seats that must know a new process before no earlier process of its
// seat can have quorum. That many seats share a seat with any majority without the own seat, which
// both processes count.
int32_t requiredWitnesses(int32_t seats)
{
    return std::min(seats - 1, seats - seats / 2);
}

} // namespace

void Membership::updateState(Instant now)
{
    m_latestNow = std::max(m_latestNow, now);
    // A loss is recorded before a message handled now can restore the majority, so that no gap in
    // quorum goes undetected, however long this process was paused.
    if (m_hasQuorum && !meetsQuorumConditions(now))
        loseQuorum();
    updateStartupGrace(now);
    if (!m_hasQuorum && meetsQuorumConditions(now))
        gainQuorum(now);
    updateLapses(now);
    updateAcknowledgements(now);
}

void Membership::advance(Instant now)
{
    updateState(now);
}

bool Membership::answeredContinuouslyFor(Duration span, Instant now) const
{
    if (m_options.seatCount == 1)
        return now - m_createdAt > span;
    return m_probes.countAnsweringLongerThan(span, now) >= requiredWitnesses(m_options.seatCount);
}

Duration Membership::startupGracePeriod() const
{
    return withDrift(m_options.quorumWindow) + m_options.lateWriteBound();
}

void Membership::updateStartupGrace(Instant now)
{
    const bool skip = !m_startupGraceOver && predecessorLeftCleanly();
    m_startupGraceSkipped = m_startupGraceSkipped || skip;
    if (!m_establishedAt
        && (skip || answeredContinuouslyFor(withDrift(m_options.quorumWindow), now)))
        m_establishedAt = now;
    if (skip || answeredContinuouslyFor(startupGracePeriod(), now))
        m_startupGraceOver = true;
}

bool Membership::predecessorLeftCleanly() const
{
    int32_t count = 0;
    for (const SeatId it : otherSeats())
        count += m_table[it].reportsPredecessorLeft ? 1 : 0;
    return count >= majorityOf(m_options.seatCount - 1);
}

bool Membership::meetsQuorumConditions(Instant now) const
{
    if (!m_synced || m_left || m_superseded)
        return false;
    if (m_options.seatCount == 1)
        return true;
    return m_startupGraceOver
           && now < m_probes.answersValidUntil(majorityOf(m_options.seatCount) - 1);
}

bool Membership::hasQuorum(Instant now) const
{
    return m_hasQuorum && meetsQuorumConditions(now);
}

void Membership::gainQuorum(Instant now)
{
    m_hasQuorum = true;
    ++m_generation;
    m_table[m_self].id.generation = m_generation;
    // The first generation need not wait right after the startup grace period, or if the previous
    // process of the seat left cleanly and so has no command in flight.
    const bool first = m_generation == 1;
    const bool waited =
        first && (m_startupGraceSkipped || answeredContinuouslyFor(startupGracePeriod(), now));
    m_mayActFrom = waited ? now : now + m_options.lateWriteBound();
}

void Membership::loseQuorum()
{
    m_hasQuorum = false;
    // Reports in the own row that the generation has ended. Otherwise the other seats would never
    // detect the lapse of a member whose requests still arrive but who receives no answers.
    m_table.acknowledge(m_self, m_self, m_table[m_self].id);
}

void Membership::updateLapses(Instant now)
{
    const int32_t majority = majorityOf(m_options.seatCount);
    const Duration span = withDrift(m_options.quorumWindow);
    if (m_establishedAt)
        m_lapseDetector.recordReport(m_self, now, now, ownReport(now));
    for (const SeatId it : otherSeats()) {
        SeatRecord &record = m_table[it];
        if (record.left && record.id.generation > 0)
            recordLapse(it, now - m_options.lateWriteBound() - Duration(1));
        if (hasLapsed(it, now))
            continue;
        if (reportsGenerationEnded(it))
            recordLapse(it, now);
        if (const auto at =
                m_lapseDetector.findLapse(it, majority, span, record.generationKnownSince))
            recordLapse(it, *at);
        // A majority knows of a new process without quorum, so it no longer answers any earlier
        // process of the seat, whose quorum ends within `span`.
        if (record.id.incarnation > 0 && record.id.generation == 0
            && m_lapseDetector.countSeatsKnowing(it, record.id.incarnation) >= majority)
            recordLapse(it, now + span);
    }
}

std::vector<SeatView> Membership::ownReport(Instant now) const
{
    std::vector<SeatView> rows;
    for (const SeatId it : otherSeats()) {
        SeatView row;
        row.seat = it;
        row.incarnation = m_table[it].id.incarnation;
        row.lastHeardAge = timeSinceHeard(it, now);
        rows.push_back(row);
    }
    return rows;
}

void Membership::updateAcknowledgements(Instant now)
{
    if (!m_startupGraceOver)
        return;
    for (const SeatId it : otherSeats()) {
        const SeatRecord &record = m_table[it];
        if (record.id.generation > 0 && now > record.acknowledgeAfter)
            m_table.acknowledge(m_self, it, record.id);
    }
}

} // namespace cardamompaddle
