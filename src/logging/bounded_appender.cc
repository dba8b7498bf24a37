#include "logging/bounded_appender.h"

#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <string_view>
#include <unistd.h>

namespace cardamompaddle {

namespace {

constexpr Duration RefillInterval{1'000};
// Below PIPE_BUF: a pipe takes such a write whole or not at all.
constexpr size_t MaxWriteBytes = 4'000;

// Returns the length of the whole lines at the start of `text` that together fit into one write; at
// least the first line.
size_t wholeLines(std::string_view text)
{
    const size_t last = text.substr(0, MaxWriteBytes).rfind('\n');
    const size_t end = last != std::string_view::npos ? last : text.find('\n');
    return end == std::string_view::npos ? text.size() : end + 1;
}

} // namespace

BoundedAppender::BoundedAppender(BoundedAppenderOptions options)
    : m_options(std::move(options)), m_byteBudget(m_options.maxBytesPerSecond)
{
    const int flags = ::fcntl(m_options.descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(m_options.descriptor, F_SETFL, flags | O_NONBLOCK);
}

BoundedAppender::~BoundedAppender()
{
    destructorImpl();
}

void BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                            event.getTimestamp().time_since_epoch())
                            .count();
    const auto &level = log4cplus::getLogLevelManager().toString(event.getLogLevel());
    std::string line = "t=" + std::to_string(unixMs) + " level=" + level
                       + " instance=" + m_options.instance + " " + event.getMessage();
    // Messages hold keys and paths that anyone may choose.
    const auto isControl = [](char c) { return (c >= 0 && c < ' ') || c == '\x7f'; };
    std::replace_if(line.begin(), line.end(), isControl, '?');
    line += '\n';
    if (line.size() > m_byteBudget
        || m_buffer.size() - m_written + line.size() > m_options.maxBufferedBytes) {
        ++m_unreportedDrops;
        ++m_droppedTotal;
        return;
    }
    m_byteBudget -= line.size();
    m_buffer += line;
}

void BoundedAppender::flush(Instant now)
{
    if (now - m_refilledAt >= RefillInterval) {
        m_refilledAt = now;
        m_byteBudget = m_options.maxBytesPerSecond;
        if (m_unreportedDrops > 0)
            m_buffer += "level=WARN instance=" + m_options.instance
                        + " event=log_dropped lines=" + std::to_string(m_unreportedDrops) + "\n";
        m_unreportedDrops = 0;
    }
    while (m_written < m_buffer.size()) {
        const std::string_view unwritten = std::string_view(m_buffer).substr(m_written);
        const auto count = ::write(m_options.descriptor, unwritten.data(), wholeLines(unwritten));
        if (count <= 0)
            break; // full or closed; the next flush tries again, and append() bounds the buffer
        m_written += static_cast<size_t>(count);
    }
    if (m_written == m_buffer.size()) {
        m_buffer.clear();
        m_written = 0;
    }
}

void BoundedAppender::close()
{
    closed = true;
}

} // namespace cardamompaddle
