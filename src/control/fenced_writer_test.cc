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
    std::vector<std::string> m_rejected; // keys
    testing::TestClock m_clock;
    LogLimits m_limits{1'000, 200};
    FencedWriter m_writer{
        m_io,
        m_clock,
        m_log,
        "t",
        {"w", 3, 1},
        m_limits,
        {[this](const std::string &reason) { m_fenced = reason; },
         [this](const KeyedRecord &it, const std::string &) { m_rejected.push_back(it.key); }}};
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

// Guards against records that are never stored because together they are more than the log takes
// in one append.
TEST_F(FencedWriterTest, SplitsRecordsThatAreTooManyForOneAppend)
{
    m_model.limits = m_limits;
    constexpr size_t Count = 100;
    std::vector<KeyedRecord> records;
    records.reserve(Count);
    for (size_t i = 0; i < Count; ++i)
        records.push_back({"key" + std::to_string(i), "value", false, 0});
    std::vector<KeyedRecord> stored;
    m_writer.append(records, [&](const std::vector<KeyedRecord> &it) {
        ++m_stored;
        stored = it;
    });
    EXPECT_TRUE(m_writer.busy());
    run(Duration(300));
    EXPECT_FALSE(m_writer.busy());
    EXPECT_EQ(m_stored, 1);
    ASSERT_EQ(stored.size(), records.size());
    for (size_t i = 0; i < records.size(); ++i) {
        EXPECT_EQ(stored[i].key, records[i].key);
        EXPECT_EQ(stored[i].offset, static_cast<int64_t>(i));
    }
    EXPECT_EQ(recordCount(), records.size());
    EXPECT_TRUE(m_rejected.empty());
}

// Guards against a record that the log never takes and that keeps all others from being stored.
TEST_F(FencedWriterTest, ARejectedRecordDoesNotHoldUpTheOthers)
{
    m_model.rejectedKey = "bad";
    m_writer.append(
        {{"a", "v", false, 0}, {"b", "v", false, 0}, {"bad", "v", false, 0}, {"c", "v", false, 0}},
        [this](const std::vector<KeyedRecord> &it) { m_stored += static_cast<int>(it.size()); });
    run(Duration(200));
    EXPECT_EQ(m_stored, 3);
    EXPECT_EQ(m_rejected, std::vector<std::string>{"bad"});
    append("d");
    run(Duration(50));
    EXPECT_EQ(recordCount(), 4U);
    EXPECT_TRUE(m_fenced.empty());
}

// Guards against leases that are extended for a rejected append: it does not show that the tenure
// is still held.
TEST_F(FencedWriterTest, ARejectedAppendDoesNotCountAsStored)
{
    EXPECT_EQ(m_writer.storedSentAt(), Instant::min());
    const Instant before = m_clock.now();
    append("a");
    run(Duration(50));
    const Instant storedSentAt = m_writer.storedSentAt();
    EXPECT_GE(storedSentAt, before);
    EXPECT_LE(storedSentAt, before + Duration(5));
    m_model.rejectedKey = "bad";
    append("bad");
    run(Duration(50));
    EXPECT_EQ(m_rejected, std::vector<std::string>{"bad"});
    EXPECT_EQ(m_writer.storedSentAt(), storedSentAt);
}

// Guards against sending what the log is known not to take.
TEST_F(FencedWriterTest, DropsARecordThatIsLongerThanTheLogTakes)
{
    m_writer.append(
        {{"long", std::string(m_limits.maxRecordBytes, 'x'), false, 0}, {"a", "v", false, 0}},
        [this](const std::vector<KeyedRecord> &it) { m_stored += static_cast<int>(it.size()); });
    run(Duration(50));
    EXPECT_EQ(m_stored, 1);
    EXPECT_EQ(m_rejected, std::vector<std::string>{"long"});
    EXPECT_EQ(m_model.appends, 1);
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
