#include "config/record_id.h"

namespace cardamompaddle {

SeenRecords::MarkResult SeenRecords::mark(const RecordId &id, uint64_t offset)
{
    const auto [it, isNew] = m_writers.try_emplace(id.writer, Writer{id.seq, 1, offset});
    Writer &writer = it->second;
    if (!isNew) {
        if (id.seq > writer.newest) {
            const uint64_t advance = id.seq - writer.newest;
            writer.mask = (advance < Window ? writer.mask << advance : 0) | 1;
            writer.newest = id.seq;
        } else {
            const uint64_t age = writer.newest - id.seq;
            if (age >= Window)
                return MarkResult::TooOld;
            const uint64_t bit = uint64_t{1} << age;
            if ((writer.mask & bit) != 0)
                return MarkResult::Duplicate;
            writer.mask |= bit;
        }
        m_writerByLastOffset.erase(writer.lastOffset);
        writer.lastOffset = offset;
    }
    m_writerByLastOffset[offset] = id.writer;
    if (m_writers.size() > MaxWriters)
        evictOldestWriter();
    return MarkResult::New;
}

void SeenRecords::restore(uint64_t writer, const Writer &state)
{
    m_writers[writer] = state;
    m_writerByLastOffset[state.lastOffset] = writer;
}

void SeenRecords::evictOldestWriter()
{
    m_writers.erase(m_writerByLastOffset.begin()->second);
    m_writerByLastOffset.erase(m_writerByLastOffset.begin());
}

} // namespace cardamompaddle
