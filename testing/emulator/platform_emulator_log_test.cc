#include "platform_emulator_fixture.h"

#include <algorithm>

namespace cardamompaddle::emulator {

namespace {

using ::testing::IsEmpty;

} // namespace

TEST_F(PlatformEmulatorTest, StoresAndReadsRecords)
{
    create();
    EXPECT_EQ(append("a", "1").offset, 0);
    EXPECT_EQ(append("b", std::string("\0\xff", 2)).offset, 1);
    EXPECT_EQ(append("a", "").offset, 2);
    const auto slice = read(1);
    ASSERT_TRUE(slice);
    EXPECT_EQ(slice->end, 3);
    ASSERT_EQ(slice->records.size(), 2U);
    EXPECT_EQ(slice->records[0].value, std::string("\0\xff", 2));
    EXPECT_TRUE(slice->records[1].removed);
    const auto page = newest();
    ASSERT_TRUE(page);
    EXPECT_EQ(page->end, 3);
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records[0].key, "b");
    EXPECT_EQ(page->records[0].value, std::string("\0\xff", 2));
    EXPECT_EQ(page->records[0].offset, 1);
    EXPECT_EQ(m_platform->recordCount(Topic), 3U);
}

TEST_F(PlatformEmulatorTest, AnswersConditionsAndEpochsAsThePlatformDoes)
{
    create();
    EXPECT_EQ(append("a", "1", 0, Producer{"p", 2, 0}).outcome, AppendOutcome::Stored);
    EXPECT_EQ(append("a", "1", 0, Producer{"p", 2, 0}).offset, 0) << "a repetition";
    EXPECT_EQ(append("a", "2", 0, Producer{"p", 2, 1}).outcome, AppendOutcome::ConditionFailed);
    EXPECT_EQ(append("a", "2", 0, Producer{"p", 1, 1}).outcome, AppendOutcome::Fenced);
    EXPECT_EQ(append("a", "2", std::nullopt, Producer{"p", 2, 9}).outcome, AppendOutcome::Fenced);
    EXPECT_EQ(append("a", std::string(LogLimits{}.maxRecordBytes, 'v')).outcome,
              AppendOutcome::Rejected);
    EXPECT_EQ(m_platform->recordCount(Topic), 1U);
}

// Guards against an instance that writes where only the operator and the workers may.
TEST_F(PlatformEmulatorTest, RefusesAppendsToTopicsOfOthers)
{
    create();
    for (const char *topic : {topic::Operators, topic::Registry}) {
        const size_t before = m_platform->recordCount(topic);
        EXPECT_NE(appendTo(topic, "mine", "1", std::nullopt, std::nullopt, Timeout).outcome,
                  AppendOutcome::Stored);
        const auto page = newest(topic);
        for (const KeyedRecord &it : page ? page->records : std::vector<KeyedRecord>())
            EXPECT_NE(it.key, "mine");
        EXPECT_GE(m_platform->recordCount(topic), before);
    }
}

TEST_F(PlatformEmulatorTest, AReadWaitsForARecord)
{
    create();
    std::optional<Result<LogSlice>> slice;
    m_log->read(Topic, 0, Duration(3'000), Timeout * 2, [&slice](auto it) { slice = it; });
    EXPECT_FALSE(runUntil([&slice] { return slice.has_value(); }, Duration(100)));
    m_platform->put(Topic, "a", "1");
    ASSERT_TRUE(runUntil([&slice] { return slice.has_value(); }, Duration(1'000)));
    ASSERT_TRUE(*slice);
    EXPECT_EQ((*slice)->records.size(), 1U);
    const Instant before = SteadyClock().now();
    const auto none = read(1, Duration(100));
    ASSERT_TRUE(none);
    EXPECT_THAT(none->records, IsEmpty());
    EXPECT_GE(SteadyClock().now() - before, Duration(100));
}

TEST_F(PlatformEmulatorTest, ForgottenHistoryIsTold)
{
    create();
    append("a", "1");
    m_platform->forgetHistory();
    EXPECT_EQ(read(0).error().code, ErrorCode::NotFound);
    EXPECT_TRUE(read(1));
    EXPECT_EQ(newest()->records.size(), 1U);
}

TEST_F(PlatformEmulatorTest, ASilentLogCarriesNothingOutAndResetsNothing)
{
    create();
    append("a", "1");
    m_platform->logFaults().silent = true;
    EXPECT_EQ(append("b", "1", std::nullopt, std::nullopt, ShortTimeout).outcome,
              AppendOutcome::Unknown);
    EXPECT_EQ(read(0, Duration(0), ShortTimeout).error().code, ErrorCode::OutcomeUnknown);
    m_platform->logFaults().silent = false;
    EXPECT_EQ(append("c", "1").offset, 1);
}

TEST_F(PlatformEmulatorTest, ABusyLogRefusesAndCarriesNothingOut)
{
    create();
    m_platform->logFaults().busy = true;
    EXPECT_EQ(append("a", "1").outcome, AppendOutcome::NotStored);
    EXPECT_EQ(read(0).error().code, ErrorCode::Unavailable);
    m_platform->logFaults().busy = false;
    EXPECT_EQ(append("a", "1").offset, 0);
}

TEST_F(PlatformEmulatorTest, ALogThatClosesConnectionsCarriesNothingOut)
{
    create();
    m_platform->logFaults().resets = true;
    const Instant before = SteadyClock().now();
    EXPECT_EQ(append("a", "1").outcome, AppendOutcome::Unknown);
    EXPECT_LT(SteadyClock().now() - before, Timeout) << "the caller should not have to wait";
    m_platform->logFaults().resets = false;
    EXPECT_EQ(append("a", "1").offset, 0);
}

TEST_F(PlatformEmulatorTest, ADelayedLogAnswersLater)
{
    create();
    m_platform->logFaults().delay = Duration(200);
    const Instant before = SteadyClock().now();
    EXPECT_EQ(append("a", "1").outcome, AppendOutcome::Stored);
    EXPECT_GE(SteadyClock().now() - before, Duration(200));
}

// Guards against a log whose lost answers always mean that nothing was stored.
TEST_F(PlatformEmulatorTest, AnAppendWhoseAnswerIsLostIsCarriedOut)
{
    create();
    m_platform->logFaults().lostAnswerShare = 1;
    EXPECT_EQ(append("a", "1", std::nullopt, Producer{"p", 1, 0}, ShortTimeout).outcome,
              AppendOutcome::Unknown);
    EXPECT_EQ(m_platform->recordCount(Topic), 1U);
    m_platform->logFaults().lostAnswerShare = 0;
    EXPECT_EQ(append("a", "1", std::nullopt, Producer{"p", 1, 0}).offset, 0) << "a repetition";
    EXPECT_EQ(m_platform->recordCount(Topic), 1U);
}

TEST_F(PlatformEmulatorTest, AnAppendWhoseAnswerIsLostMayBeCarriedOutAfterNewerOnes)
{
    create();
    m_platform->logFaults().lostAnswerShare = 1;
    m_platform->logFaults().lostAppendDelay = Duration(400);
    append("late", "1", std::nullopt, std::nullopt, ShortTimeout);
    m_platform->logFaults().lostAnswerShare = 0;
    EXPECT_EQ(append("newer", "1").offset, 0);
    ASSERT_TRUE(runUntil([this] { return m_platform->recordCount(Topic) == 2; }));
    EXPECT_EQ(read(1)->records.at(0).key, "late");
}

// Guards against an overloaded log whose refused appends lengthen its queue.
TEST_F(PlatformEmulatorTest, RefusesAppendsThatWouldWaitTooLong)
{
    m_options.appendTime = Duration(1'100);
    create();
    std::vector<AppendOutcome> outcomes;
    for (int i = 0; i < 8; ++i)
        m_log->append({Topic, {{"k", "v", false, 0}}, std::nullopt, std::nullopt}, Timeout * 5,
                      [&outcomes](const AppendResult &it) { outcomes.push_back(it.outcome); });
    ASSERT_TRUE(runUntil([&outcomes] { return outcomes.size() == 8; }, Duration(8'000)));
    EXPECT_EQ(std::count(outcomes.begin(), outcomes.end(), AppendOutcome::NotStored), 6);
    EXPECT_EQ(m_platform->recordCount(Topic), 2U);
    EXPECT_EQ(append("k", "v", std::nullopt, std::nullopt, Timeout * 5).outcome,
              AppendOutcome::Stored);
}

} // namespace cardamompaddle::emulator
