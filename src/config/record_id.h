// Identity of a log record, and a bounded set of identities to detect duplicate records.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cardamompaddle {

// Identifies one record of a stream. A retried append carries the same identity, so that readers
// can ignore the copy. `seq` rises by one with each record of a writer.
struct RecordId
{
    uint64_t writer = 0; // incarnation of the writing process
    uint64_t seq = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in <=> for a pointer
    friend auto operator<=>(const RecordId &, const RecordId &) = default;
    // "WRITER:SEQ", for messages.
    std::string toString() const { return std::to_string(writer) + ":" + std::to_string(seq); }
};

// Records which identities a reader of a stream has seen, in bounded memory. A value type: equal
// sequences of calls to mark() give equal values. Not thread-safe.
class SeenRecords
{
public:
    // Records of one writer are told apart if they are out of order by less than this. LogWriter
    // keeps fewer records in flight.
    static constexpr uint64_t Window = 64;
    // Beyond this number, the writer whose last record is oldest is dropped. Each incarnation of a
    // process is a writer, so a writer is kept for weeks, while a copy is late by seconds only.
    static constexpr size_t MaxWriters = 2048;

    enum class MarkResult {
        New,
        Duplicate,
        // Window or more behind the writer's newest record, so that it is unknown whether it was
        // seen.
        TooOld,
    };

    // The records of one writer that were seen.
    struct Writer
    {
        uint64_t newest = 0; // highest seq seen
        uint64_t mask = 0; // bit n is set if newest - n was seen
        uint64_t lastOffset = 0; // offset of the last new record of this writer
        friend bool operator==(const Writer &, const Writer &) = default;
    };

    // Marks the record at `offset` as seen. Offsets must rise from call to call.
    MarkResult mark(const RecordId &id, uint64_t offset);
    // By writer number.
    const std::map<uint64_t, Writer> &writers() const { return m_writers; }
    // Restores a writer from a snapshot.
    void restore(uint64_t writer, const Writer &state);

private:
    void evictOldestWriter();

    std::map<uint64_t, Writer> m_writers;
    std::map<uint64_t, uint64_t> m_writerByLastOffset;
};

} // namespace cardamompaddle
