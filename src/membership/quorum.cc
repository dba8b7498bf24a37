// Quorum, the quiet start, certificates of lapse and acknowledgements.
#include "membership/membership.h"

#include <algorithm>

namespace cardamompaddle {

using internal::SeatRecord;

namespace {

int32_t majorityOf(int32_t seats)
{
    return seats / 2 + 1;
}

// How many other seats must know a new process before no earlier process of its seat can have
// quorum: they share a seat with any majority less the own seat, which both processes count.
int32_t witnessesOf(int32_t seats)
{
    return std::min(seats - 1, seats - seats / 2);
}

} // namespace

void Membership::settle(Instant now)
{
    m_lastSeen = std::max(m_lastSeen, now);
    // A loss is noted before anything heard now can restore the majority, so that no gap in
    // quorum goes unnoticed, however long this process was paused.
    if (m_hasQuorum && !quorumConditions(now))
        loseQuorum();
    updateStartupGrace(now);
    if (!m_hasQuorum && quorumConditions(now))
        gainQuorum(now);
    updateLapses(now);
    updateAcknowledgements(now);
}

void Membership::advance(Instant now)
{
    settle(now);
}

bool Membership::answeredFor(Duration span, Instant now) const
{
    if (m_options.seatCount == 1)
        return now - m_createdAt > span;
    return m_contacts.answeringFor(span, now) >= witnessesOf(m_options.seatCount);
}

Duration Membership::startupGraceSpan() const
{
    return withDrift(m_options.quorumWindow) + m_options.lateWriteBound();
}

void Membership::updateStartupGrace(Instant now)
{
    const bool skip = !m_startupGraceOver && earlierProcessLeft();
    m_skippedStartupGrace = m_skippedStartupGrace || skip;
    if (!m_establishedAt && (skip || answeredFor(withDrift(m_options.quorumWindow), now)))
        m_establishedAt = now;
    if (skip || answeredFor(startupGraceSpan(), now))
        m_startupGraceOver = true;
}

bool Membership::earlierProcessLeft() const
{
    int32_t count = 0;
    for (const SeatId it : otherSeats())
        count += m_table[it].saysEarlierLeft ? 1 : 0;
    return count >= majorityOf(m_options.seatCount - 1);
}

bool Membership::quorumConditions(Instant now) const
{
    if (!m_synced || m_left || m_superseded)
        return false;
    if (m_options.seatCount == 1)
        return true;
    return m_startupGraceOver && now < m_contacts.heldUntil(majorityOf(m_options.seatCount) - 1);
}

bool Membership::hasQuorum(Instant now) const
{
    return m_hasQuorum && quorumConditions(now);
}

void Membership::gainQuorum(Instant now)
{
    m_hasQuorum = true;
    ++m_generation;
    m_table[m_self].id.generation = m_generation;
    // The first generation needs no wait after a quiet start that has just passed, or if the
    // process before left no command behind.
    const bool first = m_generation == 1;
    const bool waited = first && (m_skippedStartupGrace || answeredFor(startupGraceSpan(), now));
    m_actFrom = waited ? now : now + m_options.lateWriteBound();
}

void Membership::loseQuorum()
{
    m_hasQuorum = false;
    // Says in the own row that the generation has ended. Without it, a member whose requests still
    // arrive but whose answers are lost would never be seen to lapse.
    m_table.acknowledge(m_self, m_self, m_table[m_self].id);
}

void Membership::updateLapses(Instant now)
{
    const int32_t majority = majorityOf(m_options.seatCount);
    const Duration span = withDrift(m_options.quorumWindow);
    if (m_establishedAt)
        m_evidence.record(m_self, now, now, ownReport(now));
    for (const SeatId it : otherSeats()) {
        SeatRecord &record = m_table[it];
        if (record.left && record.id.generation > 0)
            noteLapse(it, now - m_options.lateWriteBound() - Duration(1));
        if (hasLapsed(it, now))
            continue;
        if (endedByOwnWord(it))
            noteLapse(it, now);
        if (const auto at = m_evidence.lapse(it, majority, span, record.learnedAt))
            noteLapse(it, *at);
        // A new process without quorum is known to a majority, which no longer answers any
        // earlier process of the seat.
        if (record.id.incarnation > 0 && record.id.generation == 0
            && m_evidence.knowing(it, record.id.incarnation) >= majority)
            noteLapse(it, now + span);
    }
}

std::vector<SeatView> Membership::ownReport(Instant now) const
{
    std::vector<SeatView> rows;
    for (const SeatId it : otherSeats()) {
        SeatView row;
        row.seat = it;
        row.incarnation = m_table[it].id.incarnation;
        row.lastHeardAge = silence(it, now);
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
