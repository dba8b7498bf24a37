#include "standins/log_model.h"

#include <utility>

namespace cardamompaddle {

uint64_t LogModel::append(const std::string &stream, std::string data, Instant now)
{
    Stream &target = m_streams[stream];
    target.entries.push_back({std::move(data), now});
    const uint64_t offset = target.first + target.entries.size() - 1;
    expire(target, now);
    return offset;
}

LogPage LogModel::read(const std::string &stream, uint64_t from, size_t max, Instant now,
                       bool &expired)
{
    Stream &source = m_streams[stream];
    expire(source, now);
    LogPage page;
    page.first = source.first;
    page.next = source.first + source.entries.size();
    expired = from < page.first;
    for (uint64_t at = from; !expired && at < page.next && page.records.size() < max; ++at)
        page.records.push_back({at, source.entries[at - page.first].data});
    return page;
}

void LogModel::expire(Stream &stream, Instant now) const
{
    const auto isExpired = [&] {
        const bool tooMany = m_retentionRecords > 0 && stream.entries.size() > m_retentionRecords;
        const bool tooOld = m_retentionAge > Duration(0)
                            && stream.entries.front().appendedAt + m_retentionAge < now;
        return tooMany || tooOld;
    };
    while (!stream.entries.empty() && isExpired()) {
        stream.entries.pop_front();
        ++stream.first;
    }
}

} // namespace cardamompaddle
