// A log4cplus appender to a file descriptor that never blocks and bounds the volume.
//
// Lines are kept in a bounded buffer and written when flush() is called, as far as the descriptor
// takes them. Lines beyond the buffer or beyond the rate are dropped, counted, and the count is
// written as a line of its own.
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
    std::string instance; // stands in each line
};

class BoundedAppender : public log4cplus::Appender
{
public:
    explicit BoundedAppender(BoundedAppenderOptions options);
    ~BoundedAppender() override;

    // Writes what the descriptor takes without waiting. `now` refills the rate.
    void flush(Instant now);
    uint64_t droppedLines() const { return m_droppedTotal; }
    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    BoundedAppenderOptions m_options;
    std::string m_buffer;
    size_t m_written = 0; // of m_buffer
    size_t m_budget; // bytes until the next refill
    Instant m_refilledAt;
    uint64_t m_dropped = 0; // since the last line that told so
    uint64_t m_droppedTotal = 0;
};

} // namespace cardamompaddle
