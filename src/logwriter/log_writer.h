// Appends records to one log stream and determines the outcome of each append by reading the stream
// back. The answer to an append is never taken as the outcome, because an answer may be lost after
// the append took effect.
//
// The fold is the state that the owner of a LogWriter computes by applying the records of the
// stream in order.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "config/record_id.h"
#include "platform/log.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompaddle {

enum class WriteResult {
    Appended, // read back from the stream; the fold decides whether the record takes effect
    NotAppended, // not in the stream, and will not appear later
    Unknown, // may be in the stream or may appear later
};
std::string_view writeResultName(WriteResult result);

struct WriteOutcome
{
    WriteResult result = WriteResult::Unknown;
    uint64_t offset = 0; // if appended
    std::string reason; // if not appended or unknown
};

struct LogWriterOptions
{
    std::string stream;
    size_t maxQueued = 10'000; // records whose outcome is not determined yet
    // Records being appended or read back, 1 to 1024. At most SeenRecords::Window / 2 for the
    // stream "config", whose fold cannot recognize duplicates among records of one writer that are
    // further out of order.
    int maxInFlight = 32;
    Duration retryDelay{200}; // between attempts to append one record
};

// Not thread-safe: control thread only. The owner reads the stream, and calls observed() for each
// record and appliedTo() after each page.
class LogWriter
{
public:
    using Done = std::function<void(const WriteOutcome &outcome, Instant now)>;

    // `client` must outlive the writer. Errors: InvalidArgument.
    static Result<std::unique_ptr<LogWriter>> create(LogClient &client, LogWriterOptions options,
                                                     uint64_t incarnation);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    // Returns a new identity to include in the data of a record. Records must be written in the
    // order of their identities.
    RecordId nextId();
    // Sets the incarnation of the process for later identities.
    void setIncarnation(uint64_t incarnation);

    // Queues a record. `done` runs once, later, from another call of this object or from an answer
    // of the log. No attempt begins after `deadline`; the outcome is then NotAppended if every
    // attempt definitely failed to append the record, and Unknown otherwise. Errors, with nothing
    // queued: Overloaded if the queue is full, InvalidArgument if the identity is already queued.
    Result<void> write(const RecordId &id, std::string data, Instant now, Instant deadline,
                       Done done);
    // Reports that the record was read at `offset`. Identities of other writers are ignored.
    void observed(const RecordId &id, uint64_t offset, Instant now);
    // Reports that the fold has applied every record below `next`.
    void appliedTo(uint64_t next, Instant now);
    // Starts attempts that are due and completes records whose deadline has passed. Must be called
    // at least every 50 ms.
    void advance(Instant now);

    // Returns the number of records whose outcome is not determined yet.
    size_t pending() const;
    // True if a record is waiting to be read back. The owner should then read the stream at once
    // instead of at its next regular poll.
    bool needsRead() const;

    struct Counters
    {
        uint64_t attempts = 0;
        uint64_t repeats = 0; // attempts other than the first for a record
        uint64_t lostResponses = 0;
        uint64_t appended = 0;
        uint64_t notAppended = 0;
        uint64_t unknown = 0;
    };
    const Counters &counters() const;

private:
    class Impl;
    explicit LogWriter(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
