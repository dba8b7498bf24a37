// A log4cplus appender that writes to a file descriptor without blocking, at a limited rate.
//
// Lines are kept in a bounded buffer and written by flush(), as far as the descriptor accepts them.
// Lines that exceed the buffer or the rate are dropped, and their number is logged as a line of its
// own.
#pragma once

#include "base/time.h"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace cardamompaddle {

struct BoundedAppenderOptions
{
    int descriptor = 1;
    size_t maxBufferedBytes = 256UL * 1024;
    size_t maxBytesPerSecond = 512UL * 1024;
    std::string instance; // named in each line
};

// flush() and droppedLines() are not synchronized with append(): log and flush on one thread.
class BoundedAppender : public log4cplus::Appender
{
public:
    explicit BoundedAppender(BoundedAppenderOptions options);
    ~BoundedAppender() override;

    // Writes as much as the descriptor accepts without waiting, and renews the byte budget once a
    // second.
    void flush(Instant now);
    // Lines dropped since construction.
    uint64_t droppedLines() const { return m_droppedTotal; }
    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    BoundedAppenderOptions m_options;
    std::string m_buffer;
    size_t m_written = 0; // bytes of m_buffer that are already written
    size_t m_byteBudget; // left until the next refill
    Instant m_refilledAt;
    uint64_t m_unreportedDrops = 0; // lines dropped since the last log_dropped line
    uint64_t m_droppedTotal = 0;
};

} // namespace cardamompaddle
