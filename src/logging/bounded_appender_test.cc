#include "logging/bounded_appender.h"

#include <gtest/gtest.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace cardamompaddle {
namespace {

class BoundedAppenderTest : public ::testing::Test
{
protected:
    BoundedAppenderTest() { EXPECT_EQ(::pipe2(m_pipe, O_NONBLOCK), 0); }
    ~BoundedAppenderTest() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }
    void log(BoundedAppender &appender, const std::string &message)
    {
        appender.doAppend(log4cplus::spi::InternalLoggingEvent("test", log4cplus::INFO_LOG_LEVEL,
                                                               message, __FILE__, __LINE__));
    }
    std::string read()
    {
        std::string out(1 << 20, '\0');
        const auto count = ::read(m_pipe[0], out.data(), out.size());
        out.resize(count > 0 ? static_cast<size_t>(count) : 0);
        return out;
    }

    int m_pipe[2] = {-1, -1};
    Instant m_now = instantFromMs(10'000);
};

// Guards against a key or path from outside that forges a line or hides the rest of its own.
TEST_F(BoundedAppenderTest, WritesOneLineForAMessageWithControlCharacters)
{
    BoundedAppender appender({m_pipe[1], 1 << 16, 1 << 16, "n1"});
    log(appender, std::string("event=x key=i\r\nevent=forged\0\x1b[2J reason=y", 41));
    appender.flush(m_now);
    const std::string written = read();
    EXPECT_EQ(std::count(written.begin(), written.end(), '\n'), 1);
    EXPECT_NE(written.find("key=i??event=forged??[2J reason=y\n"), std::string::npos) << written;
}

TEST_F(BoundedAppenderTest, WritesLinesWithTheInstanceName)
{
    BoundedAppender appender({m_pipe[1], 1 << 16, 1 << 16, "n1"});
    log(appender, "event=started zone=z");
    appender.flush(m_now);
    const std::string text = read();
    EXPECT_NE(text.find("level=INFO instance=n1 event=started zone=z\n"), std::string::npos);
}

// Guards against a process that blocks because nobody reads its output.
TEST_F(BoundedAppenderTest, NeverBlocksOnAFullPipeAndReportsDroppedLines)
{
    BoundedAppender appender({m_pipe[1], 8'000, 1 << 30, "n1"});
    for (int i = 0; i < 20'000; ++i) {
        log(appender, "event=line number=" + std::to_string(i));
        appender.flush(m_now);
    }
    EXPECT_GT(appender.droppedLines(), 0U);
    read();
    appender.flush(m_now + Duration(2'000));
    std::string text;
    for (std::string part = read(); !part.empty(); part = read()) {
        text += part;
        appender.flush(m_now + Duration(2'000));
        if (part.size() < 100)
            break;
    }
    EXPECT_NE(text.find("event=log_dropped lines="), std::string::npos);
}

TEST_F(BoundedAppenderTest, LimitsBytesPerSecond)
{
    BoundedAppender appender({m_pipe[1], 1 << 20, 1'000, "n1"});
    appender.flush(m_now);
    for (int i = 0; i < 100; ++i)
        log(appender, "event=line number=" + std::to_string(i));
    appender.flush(m_now + Duration(10));
    EXPECT_LE(read().size(), 1'000U);
    EXPECT_GT(appender.droppedLines(), 50U);
}

// Guards against a line that is cut where a write to a pipe ends, and is then mixed up with what
// another writer of the pipe adds.
TEST_F(BoundedAppenderTest, EachWriteHoldsWholeLines)
{
    // A pipe with O_DIRECT keeps the writes apart: each read returns one of them.
    int packets[2] = {-1, -1};
    ASSERT_EQ(::pipe2(packets, O_NONBLOCK | O_DIRECT), 0);
    BoundedAppender appender({packets[1], 1 << 20, 1 << 20, "n1"});
    for (int i = 0; i < 200; ++i)
        log(appender, "event=line number=" + std::to_string(i));
    appender.flush(m_now);
    int writes = 0;
    std::string buf(1 << 16, '\0');
    for (ssize_t n = 0; (n = ::read(packets[0], buf.data(), buf.size())) > 0; ++writes)
        EXPECT_EQ(buf[static_cast<size_t>(n) - 1], '\n');
    EXPECT_GT(writes, 1);
    ::close(packets[0]);
    ::close(packets[1]);
}

} // namespace
} // namespace cardamompaddle
