#include "control/resending_log.h"

#include "control/fenced_writer.h"
#include "control/testing_platform.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace cardamompaddle {
namespace {

// Records calls, which the test answers.
class ManualLog : public KeyedLog
{
public:
    void append(AppendRequest, Duration, AppendDone done) override
    {
        appends.push_back(std::move(done));
    }
    void read(const std::string &, int64_t, Duration wait, Duration, ReadDone done) override
    {
        waits.push_back(wait);
        reads.push_back(std::move(done));
    }
    void readNewest(const std::string &, const std::string &, Duration, NewestDone done) override
    {
        pages.push_back(std::move(done));
    }
    void useNewConnections() override { ++renewals; }

    std::vector<AppendDone> appends;
    std::vector<ReadDone> reads;
    std::vector<Duration> waits; // of the reads
    std::vector<NewestDone> pages;
    int renewals = 0;
};

// Delivers appends after random times, loses some on the way and loses some answers.
class LossyLog : public ManualLog
{
public:
    LossyLog(boost::asio::io_context &io, testing::LogModel &model, uint32_t seed)
        : m_io(io), m_model(model), m_random(seed)
    { }
    void append(AppendRequest request, Duration timeout, AppendDone done) override
    {
        const bool lost = chance(4);
        const bool answerLost = chance(4);
        const Duration arrival = chance(3) ? Duration(m_random() % 600) : Duration(2);
        auto answered = std::make_shared<bool>(false);
        const auto answer = [answered, done](const AppendResult &result) {
            if (!std::exchange(*answered, true))
                done(result);
        };
        later(timeout, [answer] { answer({AppendOutcome::Unknown, "timed out"}); });
        if (lost)
            return;
        later(arrival, [this, request, answerLost, answer] {
            const AppendResult result =
                chance(8) ? AppendResult{AppendOutcome::NotStored, "503"} : m_model.append(request);
            if (!answerLost)
                later(Duration(m_random() % 200), [answer, result] { answer(result); });
        });
    }

private:
    bool chance(uint32_t in) { return m_random() % in == 0; }
    void later(Duration wait, std::function<void()> action)
    {
        auto timer = std::make_shared<Timer>(m_io, wait);
        timer->asyncWait([timer, action = std::move(action)](const auto &) { action(); });
    }

    boost::asio::io_context &m_io;
    testing::LogModel &m_model;
    std::mt19937 m_random;
};

AppendRequest requestOf(int64_t sequence)
{
    AppendRequest out;
    out.topic = "t";
    out.records = {{"key" + std::to_string(sequence), "v", false, 0}};
    out.writer = {"w", 3, sequence};
    return out;
}

class ResendingLogTest : public ::testing::Test
{
protected:
    ResendingLogTest()
    {
        // Makes the usual time of each kind known.
        m_log.append(requestOf(0), Timeout, [](const AppendResult &) {});
        m_log.read("t", 0, Duration::zero(), Timeout, [](const Result<LogSlice> &) {});
        m_inner.appends[0]({AppendOutcome::Stored, "", 0});
        m_inner.reads[0](LogSlice{});
        m_inner.appends.clear();
        m_inner.reads.clear();
        m_inner.waits.clear();
    }
    void run(Duration time)
    {
        m_io.restart();
        m_io.run_for(time);
    }
    // Runs until the number of calls to the inner log is `count`.
    template <typename Calls>
    bool runUntil(const Calls &calls, size_t count)
    {
        const Instant end = m_clock.now() + Duration(1'000);
        while (calls.size() < count && m_clock.now() < end)
            run(Duration(2));
        return calls.size() == count;
    }
    void append(AppendRequest request)
    {
        m_log.append(std::move(request), Timeout,
                     [this](const AppendResult &it) { m_results.push_back(it.outcome); });
    }
    void read(Duration wait)
    {
        m_log.read("t", 0, wait, wait + Timeout,
                   [this](const Result<LogSlice> &it) { m_readResults.push_back(bool(it)); });
    }

    static constexpr Duration Timeout{900};
    boost::asio::io_context m_io;
    testing::TestClock m_clock;
    ManualLog m_inner;
    ResendingLog m_log{m_io, m_clock, m_inner};
    std::vector<AppendOutcome> m_results;
    std::vector<bool> m_readResults;
};

// Guards against calls that cost twice their price in quiet times.
TEST_F(ResendingLogTest, CallsThatAreAnsweredInTimeAreSentOnce)
{
    for (int64_t i = 1; i <= 20; ++i) {
        append(requestOf(i));
        read(Duration::zero());
        run(Duration(5));
        m_inner.appends.back()({AppendOutcome::Stored, "", 0});
        m_inner.reads.back()(LogSlice{});
    }
    run(Duration(200));
    EXPECT_EQ(m_inner.appends.size(), 20U);
    EXPECT_EQ(m_inner.reads.size(), 20U);
    EXPECT_EQ(m_inner.renewals, 0);
}

// Guards against a record that waits for the timeout of a silent connection.
TEST_F(ResendingLogTest, ALateAppendIsSentAgainOnANewConnection)
{
    append(requestOf(1));
    ASSERT_TRUE(runUntil(m_inner.appends, 2));
    EXPECT_EQ(m_inner.renewals, 1);
    m_inner.appends[1]({AppendOutcome::Stored, "", 7});
    ASSERT_EQ(m_results, std::vector{AppendOutcome::Stored});
    m_inner.appends[0]({AppendOutcome::Unknown, "timed out"});
    EXPECT_EQ(m_results.size(), 1U) << "later answers are dropped";
    run(Duration(400));
    EXPECT_EQ(m_inner.appends.size(), 2U);
}

// Guards against a copy on the same silent connections, of which a process keeps several.
TEST_F(ResendingLogTest, EachCopyUsesNewerConnections)
{
    append(requestOf(1));
    ASSERT_TRUE(runUntil(m_inner.appends, 3));
    EXPECT_EQ(m_inner.renewals, 2);
    run(Duration(600));
    EXPECT_EQ(m_inner.appends.size(), static_cast<size_t>(ResendPolicy::MaxCopies));
}

// Guards against "not stored" for an append of which another copy may be stored.
TEST_F(ResendingLogTest, ARefusedCopyLeavesTheOutcomeUnknown)
{
    append(requestOf(1));
    ASSERT_TRUE(runUntil(m_inner.appends, 2));
    m_inner.appends[1]({AppendOutcome::NotStored, "status 503"});
    EXPECT_EQ(m_results, std::vector{AppendOutcome::Unknown});
}

// Guards against a former holder that goes on because the refusal of its copy is not passed on.
TEST_F(ResendingLogTest, AFencedCopyEndsTheAppend)
{
    append(requestOf(1));
    ASSERT_TRUE(runUntil(m_inner.appends, 2));
    m_inner.appends[1]({AppendOutcome::Fenced, "fenced"});
    EXPECT_EQ(m_results, std::vector{AppendOutcome::Fenced});
}

// Guards against records that are stored again, after newer ones of their keys, by a late copy.
TEST_F(ResendingLogTest, AppendsThatAreNotIdempotentAreSentOnce)
{
    AppendRequest request = requestOf(1);
    request.writer.reset();
    append(request);
    request.repeatable = true;
    append(request);
    run(Duration(150));
    EXPECT_EQ(m_inner.appends.size(), 3U) << "only the repeatable one is sent again";
}

// Guards against followers that learn nothing for seconds because their reads were being held on
// connections that went silent, and against copies of all reads that the log holds.
TEST_F(ResendingLogTest, HeldReadsAreSentAgainOnceAConnectionIsKnownToBeSilent)
{
    read(Duration(2'000));
    run(Duration(300));
    ASSERT_EQ(m_inner.reads.size(), 1U) << "no reason to suspect it yet";
    append(requestOf(1));
    ASSERT_TRUE(runUntil(m_inner.appends, 2));
    m_inner.appends[1]({AppendOutcome::Stored, "", 7});
    ASSERT_EQ(m_inner.reads.size(), 2U);
    EXPECT_LT(m_inner.waits[1], Duration(1'700)) << "the hold ends when the first one would";
    m_inner.reads[1](LogSlice{});
    EXPECT_EQ(m_readResults, std::vector{true});
}

// Guards against a read that fails although another copy of it is answered.
TEST_F(ResendingLogTest, AReadFailsOnlyWithItsLastCopy)
{
    read(Duration::zero());
    ASSERT_TRUE(runUntil(m_inner.reads, 2));
    m_inner.reads[0](Error{ErrorCode::OutcomeUnknown, "reset"});
    EXPECT_TRUE(m_readResults.empty());
    m_inner.reads[1](LogSlice{});
    EXPECT_EQ(m_readResults, std::vector{true});
}

// Guards against a slow log that gets a copy of each call.
TEST_F(ResendingLogTest, ALogThatBecomesSlowGetsFewCopies)
{
    for (int64_t i = 1; i <= 6; ++i) {
        append(requestOf(i));
        run(Duration(120));
        const auto first = std::exchange(m_inner.appends, {});
        EXPECT_LE(first.size(), i == 1 ? 2U : 1U) << "append " << i;
        first[0]({AppendOutcome::Stored, "", 0});
    }
    EXPECT_EQ(m_results.size(), 6U);
}

// An append says that it is not stored only if neither a copy without an answer nor one that ended
// without an answer can be stored.
TEST(SettledAppendTest, NotStoredNeedsTheAnswersOfAllCopies)
{
    for (const auto outcome : {AppendOutcome::NotStored, AppendOutcome::ConditionFailed,
                               AppendOutcome::Rejected, AppendOutcome::Unknown}) {
        for (const int open : {0, 1, 2}) {
            for (const bool inDoubt : {false, true}) {
                const auto settled = settledAppend({outcome, ""}, open, inDoubt);
                if (open > 0 || inDoubt)
                    EXPECT_TRUE(!settled || settled->outcome == AppendOutcome::Unknown);
                else
                    EXPECT_EQ(settled->outcome, outcome);
            }
        }
    }
}

// Guards against records that are lost, stored twice or reordered, and against a writer that is
// fenced by itself, when copies and their answers are lost, late, doubled and out of order.
TEST(ResendingLogModelTest, AWriterStoresEachRecordOnceAndInOrder)
{
    constexpr int Writers = 40;
    constexpr int Records = 3;
    struct Run
    {
        testing::LogModel model;
        std::unique_ptr<LossyLog> lossy;
        std::unique_ptr<ResendingLog> log;
        std::unique_ptr<FencedWriter> writer;
        std::vector<std::string> stored; // keys
        std::string fenced;
    };
    boost::asio::io_context io;
    testing::TestClock clock;
    std::vector<std::unique_ptr<Run>> runs;
    std::function<void(Run &)> appendNext = [&appendNext](Run &run) {
        if (run.stored.size() == Records)
            return;
        const std::string key = "k" + std::to_string(run.stored.size());
        run.writer->append({{key, "v", false, 0}},
                           [&appendNext, &run, key](const std::vector<KeyedRecord> &) {
                               run.stored.push_back(key);
                               appendNext(run);
                           });
    };
    for (uint32_t seed = 1; seed <= Writers; ++seed) {
        runs.push_back(std::make_unique<Run>());
        Run &run = *runs.back();
        run.lossy = std::make_unique<LossyLog>(io, run.model, seed);
        run.log = std::make_unique<ResendingLog>(io, clock, *run.lossy);
        run.writer = std::make_unique<FencedWriter>(
            io, clock, *run.log, "t", AppendRequest::Writer{"w", 3, 1}, LogLimits{},
            FencedWriter::Callbacks{[&run](const std::string &reason) { run.fenced = reason; },
                                    [](const KeyedRecord &, const std::string &) {}});
        appendNext(run);
    }
    const auto isDone = [](const auto &run) { return run->stored.size() == Records; };
    const Instant end = clock.now() + Duration(20'000);
    while (!std::all_of(runs.begin(), runs.end(), isDone) && clock.now() < end)
        io.run_for(Duration(50));
    io.run_for(Duration(1'000)); // late copies
    for (const auto &run : runs) {
        std::vector<std::string> keys;
        for (const KeyedRecord &record : run->model.topics["t"].records)
            keys.push_back(record.key);
        EXPECT_EQ(run->fenced, "");
        EXPECT_EQ(run->stored.size(), static_cast<size_t>(Records));
        EXPECT_EQ(keys, run->stored);
    }
}

} // namespace
} // namespace cardamompaddle
