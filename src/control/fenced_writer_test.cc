#include "control/fenced_writer.h"

#include "control/testing_platform.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

class FencedWriterTest : public ::testing::Test
{
protected:
    // An io_context that ran out of work must be restarted before it runs again.
    void run(Duration time)
    {
        m_io.restart();
        m_io.run_for(time);
    }
    void append(const std::string &key)
    {
        m_writer.append({{key, "v", false, 0}},
                        [this](const std::vector<KeyedRecord> &) { ++m_stored; });
    }
    size_t recordCount() { return m_model.topics["t"].records.size(); }

    boost::asio::io_context m_io;
    testing::LogModel m_model;
    testing::TestLog m_log{m_io, m_model};
    std::string m_fenced;
    testing::TestClock m_clock;
    FencedWriter m_writer{m_io,        m_clock,
                          m_log,       "t",
                          {"w", 3, 1}, [this](const std::string &reason) { m_fenced = reason; }};
    int m_stored = 0;
};

TEST_F(FencedWriterTest, StoresInOrder)
{
    append("a");
    EXPECT_TRUE(m_writer.busy());
    run(Duration(50));
    EXPECT_FALSE(m_writer.busy());
    append("b");
    run(Duration(50));
    EXPECT_EQ(m_stored, 2);
    EXPECT_EQ(recordCount(), 2U);
}

// Guards against progress that is stored twice, or treated as lost, when only the answer of its
// append was lost.
TEST_F(FencedWriterTest, StoresOnceWhenAnswersAreLost)
{
    m_log.unresponsive = true;
    m_log.applyWhileUnresponsive = true;
    append("a");
    run(Duration(200));
    m_log.unresponsive = false;
    EXPECT_EQ(m_stored, 0);
    run(Duration(1'500));
    EXPECT_EQ(m_stored, 1);
    EXPECT_EQ(recordCount(), 1U);
}

TEST_F(FencedWriterTest, RetriesARefusedAppend)
{
    m_log.refuses = true;
    append("a");
    run(Duration(300));
    EXPECT_EQ(m_stored, 0);
    m_log.refuses = false;
    run(Duration(300));
    EXPECT_EQ(m_stored, 1);
}

TEST_F(FencedWriterTest, ReportsAHigherEpochAndStoresNothing)
{
    m_model.topics["t"].epochs["w"] = 4;
    append("a");
    run(Duration(100));
    EXPECT_FALSE(m_fenced.empty());
    EXPECT_EQ(m_stored, 0);
    EXPECT_EQ(recordCount(), 0U);
}

} // namespace
} // namespace cardamompaddle
