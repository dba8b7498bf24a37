// Interface of the platform's append-only log, limited to what the design requires: appends that
// return increasing offsets, one total order per stream, and reads that report the tail.
// Conditional appends are not required.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cardamompaddle {

// A record returned by a read.
struct LogRecord
{
    uint64_t offset = 0;
    std::string data;
};

// The result of a read.
struct LogPage
{
    uint64_t first = 0; // oldest offset still retained
    // Offset of the next append. All records before it existed at the time of the read.
    uint64_t next = 0;
    std::vector<LogRecord> records; // in offset order, from max(from, first)
};

// Asynchronous log client. Calls don't block; the callback runs once, after the call has returned,
// on the control thread and with the current time. Not thread-safe: control thread only.
class LogClient
{
public:
    using AppendDone = std::function<void(Result<uint64_t> offset, Instant now)>;
    using ReadDone = std::function<void(Result<LogPage> page, Instant now)>;

    virtual ~LogClient() = default;
    // Appends one record. Errors: Unavailable if it was certainly not appended, OutcomeUnknown
    // if it may have been.
    virtual void append(const std::string &stream, std::string data, AppendDone done) = 0;
    // Reads up to `max` records from offset `from` on. Errors: Unavailable.
    virtual void read(const std::string &stream, uint64_t from, int max, ReadDone done) = 0;
};

} // namespace cardamompaddle
