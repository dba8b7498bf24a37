// Compares LogModel with the rules of the platform's page on its log.
#include "log_model.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cardamompaddle::emulator {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr const char *Topic = "keyed.test";
constexpr size_t NoLimit = 1UL << 30;

KeyedRecord record(const std::string &key, const std::string &value)
{
    return {key, value, value.empty(), 0};
}

class LogModelTest : public ::testing::Test
{
protected:
    AppendReply append(const std::vector<KeyedRecord> &records)
    {
        return m_log.append(Topic, records, std::nullopt, std::nullopt);
    }
    AppendReply appendAt(int64_t expectedEnd, const std::string &key)
    {
        return m_log.append(Topic, {record(key, "v")}, expectedEnd, std::nullopt);
    }
    AppendReply produce(int64_t epoch, int64_t sequence, const std::string &producer = "p")
    {
        return m_log.append(Topic, {record("k", "v")}, std::nullopt,
                            Producer{producer, epoch, sequence});
    }
    AppendReply setEpoch(int64_t epoch)
    {
        return m_log.append(Topic, {}, std::nullopt, Producer{"p", epoch, 0});
    }
    std::vector<std::string> keysFrom(int64_t from)
    {
        std::vector<std::string> out;
        for (const KeyedRecord &it : m_log.read(Topic, from, NoLimit).slice.records)
            out.push_back(it.key);
        return out;
    }
    std::vector<std::string> newestKeys()
    {
        std::vector<std::string> out;
        const auto page = m_log.newest(Topic, "");
        for (const KeyedRecord &it : page->records)
            out.push_back(it.key);
        return out;
    }

    LogModel m_log{LogLimits{}};
};

} // namespace

// Guards against offsets with gaps, by which readers would miss records or wait for none.
TEST_F(LogModelTest, NumbersRecordsWithoutGaps)
{
    const AppendReply first = append({record("a", "1"), record("b", "2")});
    EXPECT_EQ(first.offset, 0);
    EXPECT_EQ(first.end, 2);
    append({record("", "3")});
    EXPECT_EQ(appendAt(0, "refused").status, AppendStatus::EndMoved);
    EXPECT_EQ(append({record("a", "")}).offset, 3);
    const ReadReply read = m_log.read(Topic, 0, NoLimit);
    EXPECT_EQ(read.slice.end, 4);
    ASSERT_EQ(read.slice.records.size(), 4U);
    for (size_t i = 0; i < read.slice.records.size(); ++i)
        EXPECT_EQ(read.slice.records[i].offset, static_cast<int64_t>(i));
}

TEST_F(LogModelTest, TopicsAreIndependent)
{
    append({record("a", "1")});
    EXPECT_EQ(m_log.append("keyed.other", {record("b", "1")}, 0, std::nullopt).offset, 0);
    EXPECT_EQ(m_log.end("keyed.none"), 0);
    EXPECT_FALSE(m_log.newest("keyed.none", ""));
}

// Guards against two claimants that both believe to have appended first.
TEST_F(LogModelTest, RefusesAnAppendIfTheEndHasMoved)
{
    EXPECT_EQ(appendAt(0, "a").status, AppendStatus::Stored);
    const AppendReply refused = appendAt(0, "b");
    EXPECT_EQ(refused.status, AppendStatus::EndMoved);
    EXPECT_EQ(refused.end, 1);
    EXPECT_EQ(appendAt(2, "c").status, AppendStatus::EndMoved) << "beyond the end";
    EXPECT_EQ(appendAt(1, "d").status, AppendStatus::Stored);
    EXPECT_THAT(keysFrom(0), ElementsAre("a", "d"));
}

// Guards against a former scheduler that can still store.
TEST_F(LogModelTest, FencesLowerEpochs)
{
    EXPECT_EQ(produce(5, 40).status, AppendStatus::Stored) << "a new epoch starts anywhere";
    EXPECT_EQ(produce(4, 41).status, AppendStatus::Fenced);
    EXPECT_EQ(produce(4, 40).status, AppendStatus::Fenced) << "not a repetition";
    EXPECT_EQ(produce(6, 7).status, AppendStatus::Stored);
    EXPECT_EQ(produce(5, 41).status, AppendStatus::Fenced);
    EXPECT_EQ(produce(0, 0, "another").status, AppendStatus::Stored) << "epochs are by producer";
    EXPECT_EQ(m_log.end(Topic), 3);
}

TEST_F(LogModelTest, EpochsApplyToOneTopic)
{
    produce(5, 0);
    EXPECT_EQ(
        m_log.append("keyed.other", {record("k", "v")}, std::nullopt, Producer{"p", 1, 0}).status,
        AppendStatus::Stored);
}

TEST_F(LogModelTest, RefusesASequenceNumberThatIsNotTheNext)
{
    produce(1, 10);
    for (const int64_t sequence : {int64_t(9), int64_t(12)}) {
        const AppendReply refused = produce(1, sequence);
        EXPECT_EQ(refused.status, AppendStatus::WrongSequence);
        EXPECT_EQ(refused.expectedSequence, 11);
    }
    EXPECT_EQ(produce(1, 11).status, AppendStatus::Stored);
}

// Guards against records that are stored twice because the first answer was lost.
TEST_F(LogModelTest, RepeatsTheFirstReplyOfTheLastFiveAppends)
{
    constexpr int64_t Appends = 7;
    for (int64_t i = 0; i < Appends; ++i)
        ASSERT_EQ(produce(1, i).offset, i);
    for (int64_t i = 2; i < Appends; ++i) {
        const AppendReply repeated = produce(1, i);
        EXPECT_EQ(repeated.status, AppendStatus::Stored);
        EXPECT_EQ(repeated.offset, i);
        EXPECT_EQ(repeated.end, i + 1);
    }
    EXPECT_EQ(produce(1, 1).status, AppendStatus::WrongSequence) << "the sixth from the end";
    EXPECT_EQ(m_log.end(Topic), Appends);
}

TEST_F(LogModelTest, ANewEpochForgetsTheAppendsOfTheFormer)
{
    produce(1, 10);
    produce(2, 0);
    EXPECT_EQ(produce(2, 10).status, AppendStatus::WrongSequence);
}

// Guards against a model that answers a repetition, or a fenced writer, by the condition on the
// end: the writer would take its stored append for refused.
TEST_F(LogModelTest, TheProducerDecidesBeforeTheExpectedEnd)
{
    const std::vector<KeyedRecord> records = {record("k", "v")};
    ASSERT_EQ(m_log.append(Topic, records, 0, Producer{"p", 2, 0}).status, AppendStatus::Stored);
    EXPECT_EQ(m_log.append(Topic, records, 0, Producer{"p", 2, 0}).status, AppendStatus::Stored);
    EXPECT_EQ(m_log.append(Topic, records, 0, Producer{"p", 1, 0}).status, AppendStatus::Fenced);
    EXPECT_EQ(m_log.append(Topic, records, 0, Producer{"p", 2, 5}).status,
              AppendStatus::WrongSequence);
    EXPECT_EQ(m_log.append(Topic, records, 0, Producer{"p", 2, 1}).status, AppendStatus::EndMoved);
    EXPECT_EQ(m_log.append(Topic, records, 1, Producer{"p", 2, 1}).status, AppendStatus::Stored)
        << "a refused append uses no sequence number";
    EXPECT_EQ(m_log.end(Topic), 2);
}

TEST_F(LogModelTest, AnEmptyAppendOnlySetsTheEpoch)
{
    produce(1, 10);
    EXPECT_EQ(setEpoch(2).status, AppendStatus::Stored);
    EXPECT_EQ(m_log.end(Topic), 1);
    EXPECT_EQ(produce(1, 11).status, AppendStatus::Fenced);
    EXPECT_EQ(produce(2, 30).status, AppendStatus::Stored);
    EXPECT_EQ(setEpoch(1).status, AppendStatus::Fenced);
    EXPECT_EQ(produce(2, 31).status, AppendStatus::Stored);
}

// Guards against an append of which a part is stored.
TEST_F(LogModelTest, StoresAllRecordsOfAnAppendOrNone)
{
    const LogLimits limits;
    const std::string largest(limits.maxRecordBytes - storedBytes(record("k", "v")) + 1, 'v');
    EXPECT_EQ(append({record("k", largest)}).status, AppendStatus::Stored);
    EXPECT_EQ(append({record("a", "v"), record("k", largest + "v")}).status,
              AppendStatus::TooLarge);
    const size_t fitting = limits.maxAppendBytes / limits.maxRecordBytes;
    EXPECT_EQ(append(std::vector<KeyedRecord>(fitting, record("k", largest))).status,
              AppendStatus::Stored);
    EXPECT_EQ(append(std::vector<KeyedRecord>(fitting + 1, record("k", largest))).status,
              AppendStatus::TooLarge);
    EXPECT_EQ(m_log.end(Topic), static_cast<int64_t>(1 + fitting));
}

TEST_F(LogModelTest, ReadsFromAnOffsetUpToASize)
{
    for (const char *key : {"a", "b", "c", "d"})
        append({record(key, std::string(100, 'v'))});
    EXPECT_THAT(keysFrom(2), ElementsAre("c", "d"));
    EXPECT_THAT(keysFrom(4), IsEmpty());
    EXPECT_EQ(m_log.read(Topic, 0, 150).slice.records.size(), 2U);
    EXPECT_EQ(m_log.read(Topic, 1, 1).slice.records.size(), 1U) << "readers would never advance";
    EXPECT_EQ(m_log.read(Topic, 1, 1).slice.end, 4);
}

// Guards against a reader that is not told that it missed records.
TEST_F(LogModelTest, ForgetsHistoryButNotTheNewestRecords)
{
    append({record("a", "1"), record("b", "1"), record("a", "2")});
    m_log.forgetHistory();
    const ReadReply expired = m_log.read(Topic, 2, NoLimit);
    EXPECT_TRUE(expired.expired);
    EXPECT_EQ(expired.first, 3);
    EXPECT_FALSE(m_log.read(Topic, 3, NoLimit).expired);
    EXPECT_EQ(m_log.end(Topic), 3);
    EXPECT_EQ(append({record("c", "1")}).offset, 3);
    EXPECT_THAT(keysFrom(3), ElementsAre("c"));
    const auto page = m_log.newest(Topic, "");
    ASSERT_EQ(page->records.size(), 3U);
    EXPECT_EQ(page->records[0].value, "2");
    EXPECT_EQ(page->records[0].offset, 2);
    EXPECT_EQ(page->end, 4);
}

TEST_F(LogModelTest, HistoryKeepsEpochsAndSequences)
{
    produce(3, 1);
    m_log.forgetHistory();
    EXPECT_EQ(produce(3, 1).offset, 0) << "a repetition";
    EXPECT_EQ(produce(2, 2).status, AppendStatus::Fenced);
    EXPECT_EQ(produce(3, 2).offset, 1);
}

TEST_F(LogModelTest, RemovedKeysAreNotAmongTheNewest)
{
    append({record("a", "1"), record("b", "1"), record("a", "")});
    EXPECT_THAT(newestKeys(), ElementsAre("b"));
    EXPECT_TRUE(m_log.read(Topic, 2, NoLimit).slice.records.at(0).removed);
    append({record("a", "2")});
    EXPECT_THAT(newestKeys(), ElementsAre("a", "b"));
    append({record("never", "")});
    EXPECT_THAT(newestKeys(), ElementsAre("a", "b"));
}

TEST_F(LogModelTest, PagesHoldFiveHundredRecords)
{
    constexpr int Records = 1'001;
    for (int i = 0; i < Records; ++i)
        append({record("k" + std::to_string(10'000 + i), "v")});
    std::vector<size_t> sizes;
    std::string after;
    bool more = true;
    while (more && sizes.size() < 10) {
        const auto page = m_log.newest(Topic, after);
        sizes.push_back(page->records.size());
        after = page->records.back().key;
        more = page->more;
    }
    EXPECT_THAT(sizes, ElementsAre(500U, 500U, 1U));
}

TEST_F(LogModelTest, PagesHoldAboutOneMegabyte)
{
    const std::string value(200'000, 'v');
    for (int i = 0; i < 8; ++i)
        append({record("k" + std::to_string(i), value)});
    const auto page = m_log.newest(Topic, "");
    EXPECT_TRUE(page->more);
    EXPECT_LT(page->records.size(), 8U);
    const auto last = m_log.newest(Topic, page->records.back().key);
    EXPECT_FALSE(last->more);
    EXPECT_EQ(page->records.size() + last->records.size(), 8U);
}

// Guards against a model whose pages are a snapshot: a key that changes between two pages is missed
// or shown twice by a reader that relies on one.
TEST_F(LogModelTest, PagesAreNoSnapshot)
{
    for (int i = 0; i < 501; ++i)
        append({record("k" + std::to_string(1'000 + i), "v")});
    const auto first = m_log.newest(Topic, "");
    ASSERT_TRUE(first->more);
    append({record("a", "before the first page's end"), record("z", "v")});
    const auto second = m_log.newest(Topic, first->records.back().key);
    ASSERT_EQ(second->records.size(), 2U);
    EXPECT_EQ(second->records.back().key, "z");
    EXPECT_GT(second->end, first->end);
}

} // namespace cardamompaddle::emulator
