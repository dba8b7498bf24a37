// Decides whether this member may act for a key.
#include "base/hash.h"
#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

using internal::SeatRecord;

namespace {

// Returns the rank of a seat for a key. The highest rank is preferred; seats with equal hashes are
// ordered by number.
std::pair<uint64_t, SeatId> rank(std::string_view key, SeatId seat)
{
    return {stableHash(key, static_cast<uint64_t>(seat) + 1), seat};
}

} // namespace

bool Membership::hasLapsed(SeatId seat, Instant now) const
{
    return seat != m_self && m_table.contains(seat) && m_table[seat].lapsedAt
           && *m_table[seat].lapsedAt <= now;
}

bool Membership::lapsedLongerThanF(SeatId seat, Instant now) const
{
    // Strictly longer than F, because both instants are rounded down to a millisecond.
    return hasLapsed(seat, now) && now - *m_table[seat].lapsedAt > m_options.lateWriteBound();
}

bool Membership::acknowledgedBy(SeatId seat) const
{
    return m_table.hasAcknowledged(seat, m_self, {m_incarnation, m_generation});
}

bool Membership::reportsGenerationEnded(SeatId seat) const
{
    return m_table.hasAcknowledged(seat, seat, m_table[seat].id);
}

bool Membership::seemsToHaveQuorum(SeatId seat, Instant now) const
{
    const SeatRecord &record = m_table[seat];
    return record.id.generation > 0 && !record.left && !reportsGenerationEnded(seat)
           && !hasLapsed(seat, now);
}

bool Membership::othersAcknowledgedOrLapsed(Instant now) const
{
    for (SeatId it = 0; it < m_options.seatCount; ++it) {
        if (it != m_self && !acknowledgedBy(it) && !lapsedLongerThanF(it, now))
            return false;
    }
    return true;
}

bool Membership::mayAct(std::string_view key, Instant now) const
{
    if (!m_startupGraceOver || now < m_mayActFrom || !hasQuorum(now)
        || !othersAcknowledgedOrLapsed(now))
        return false;
    // A majority must have heard of the present generation. Of two members that act, one has then
    // learned of the other.
    if (2 * (m_probes.countAnswersInGeneration(m_generation, now) + 1) <= m_options.seatCount)
        return false;
    const auto own = rank(key, m_self);
    for (SeatId it = 0; it < m_options.seatCount; ++it) {
        if (it != m_self && rank(key, it) > own && !lapsedLongerThanF(it, now))
            return false;
    }
    return true;
}

std::optional<SeatId> Membership::likelyOwner(std::string_view key, Instant now) const
{
    std::optional<SeatId> best;
    for (SeatId it = 0; it < m_options.seatCount; ++it) {
        const bool candidate = it == m_self ? hasQuorum(now) : seemsToHaveQuorum(it, now);
        if (candidate && (!best || rank(key, it) > rank(key, *best)))
            best = it;
    }
    return best;
}

} // namespace cardamompaddle
