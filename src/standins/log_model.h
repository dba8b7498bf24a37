// Model of the streams of the platform's append-only log, without I/O.
#pragma once

#include "base/time.h"
#include "platform/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cardamompaddle {

// Holds the records of all streams in memory. Not thread-safe.
class LogModel
{
public:
    // Maximum number of records retained per stream; the oldest expire first. 0: no limit.
    void setRetentionRecords(size_t records) { m_retentionRecords = records; }
    // Records older than this expire. 0: no limit.
    void setRetentionAge(Duration age) { m_retentionAge = age; }

    // Appends a record and returns its offset.
    uint64_t append(const std::string &stream, std::string data, Instant now);
    // Returns at most `max` records, starting at offset `from`. If that offset has expired, the
    // page has no records and `expired` is set to true.
    LogPage read(const std::string &stream, uint64_t from, size_t max, Instant now, bool &expired);

private:
    struct Entry
    {
        std::string data;
        Instant appendedAt;
    };
    struct Stream
    {
        uint64_t first = 0; // offset of the oldest retained record
        std::deque<Entry> entries;
    };
    void expire(Stream &stream, Instant now) const;

    std::map<std::string, Stream> m_streams;
    size_t m_retentionRecords = 0;
    Duration m_retentionAge{0};
};

} // namespace cardamompaddle
