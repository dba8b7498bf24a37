#include "membership/internal/seat_table.h"

#include <algorithm>

namespace cardamompaddle::internal {

SeatTable::SeatTable(int32_t seatCount, Instant now) : m_records(static_cast<size_t>(seatCount))
{
    for (SeatRecord &it : m_records) {
        it.generationKnownSince = now;
        it.acknowledgeAfter = now;
        it.acknowledged.resize(m_records.size());
    }
}

SeatTable::MergeResult SeatTable::merge(const SeatView &row)
{
    MergeResult result;
    SeatRecord &record = (*this)[row.seat];
    if (row.incarnation < record.id.incarnation || row.incarnation == 0)
        return result;
    if (row.incarnation > record.id.incarnation) {
        result.newIncarnation = true;
        record.id = {row.incarnation, 0};
        record.synced = false;
        record.reportsPredecessorLeft = false;
        record.mayHoldEarlierAcknowledgements = true;
    }
    if (row.generation > record.id.generation) {
        result.newGeneration = true;
        record.id.generation = row.generation;
        record.left = false;
        // Acknowledgements by the earlier process hold for the seat only until its successor gains
        // quorum.
        if (record.mayHoldEarlierAcknowledgements)
            std::fill(record.acknowledged.begin(), record.acknowledged.end(), GenerationId{});
        record.mayHoldEarlierAcknowledgements = false;
    }
    if (row.left && row.generation > 0 && row.generation == record.id.generation)
        record.left = true;
    mergeAcknowledgements(row);
    return result;
}

void SeatTable::mergeAcknowledgements(const SeatView &row)
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
