#include "membership/internal/seat_table.h"

#include <algorithm>

namespace cardamompaddle::internal {

SeatTable::SeatTable(int32_t seatCount, Instant now) : m_records(static_cast<size_t>(seatCount))
{
    for (SeatRecord &it : m_records) {
        it.learnedAt = now;
        it.acknowledgeAfter = now;
        it.acknowledged.resize(m_records.size());
    }
}

SeatTable::News SeatTable::learn(const SeatView &row)
{
    News news;
    SeatRecord &record = (*this)[row.seat];
    if (row.incarnation < record.id.incarnation || row.incarnation == 0)
        return news;
    if (row.incarnation > record.id.incarnation) {
        news.process = true;
        record.id = {row.incarnation, 0};
        record.synced = false;
        record.saysEarlierLeft = false;
        record.mixedAcknowledgements = true;
    }
    if (row.generation > record.id.generation) {
        news.standing = true;
        record.id.generation = row.generation;
        record.left = false;
        // The earlier process acknowledged on behalf of the seat only while its successor had no
        // quorum of its own.
        if (record.mixedAcknowledgements)
            std::fill(record.acknowledged.begin(), record.acknowledged.end(), GenerationId{});
        record.mixedAcknowledgements = false;
    }
    if (row.left && row.generation > 0 && row.generation == record.id.generation)
        record.left = true;
    learnAcknowledgements(row);
    return news;
}

void SeatTable::learnAcknowledgements(const SeatView &row)
{
    const SeatRecord &record = (*this)[row.seat];
    if (row.generation == 0 && record.id.generation > 0)
        return;
    for (const Acknowledged &it : row.acknowledged) {
        if (contains(it.seat))
            acknowledge(row.seat, it.seat, {it.incarnation, it.generation});
    }
}

void SeatTable::acknowledge(SeatId by, SeatId seat, const GenerationId &id)
{
    GenerationId &known = (*this)[by].acknowledged[static_cast<size_t>(seat)];
    known = std::max(known, id);
}

bool SeatTable::hasAcknowledged(SeatId by, SeatId seat, const GenerationId &id) const
{
    return id.generation > 0 && (*this)[by].acknowledged[static_cast<size_t>(seat)] == id;
}

SeatView SeatTable::view(SeatId seat, Duration lastHeardAge) const
{
    const SeatRecord &record = (*this)[seat];
    SeatView row{
        seat, record.id.incarnation, record.id.generation, record.synced, record.left, lastHeardAge,
        {}};
    for (SeatId other = 0; other < seatCount(); ++other) {
        const GenerationId &id = record.acknowledged[static_cast<size_t>(other)];
        if (id.generation > 0 && id >= (*this)[other].id)
            row.acknowledged.push_back({other, id.incarnation, id.generation});
    }
    return row;
}

} // namespace cardamompaddle::internal
