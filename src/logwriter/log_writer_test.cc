#include "logwriter/log_writer.h"

#include "config/config_state.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cardamompaddle {
namespace {

Instant at(int64_t ms)
{
    return instantFromMs(ms);
}

// A log service whose test decides when each append takes effect and when it is answered: in any
// order, and possibly long after the answer was lost.
class FakeLog : public LogClient
{
public:
    struct Append
    {
        std::string data;
        AppendDone done;
        std::optional<uint64_t> offset; // set once the append has taken effect
    };

    std::vector<LogRecord> records;
    std::vector<Append> pendingAppends;
    std::vector<ReadDone> pendingReads;

    void append(const std::string &, std::string data, AppendDone done) override
    {
        pendingAppends.push_back({std::move(data), std::move(done), std::nullopt});
    }
    void read(const std::string &, uint64_t, int, ReadDone done) override
    {
        pendingReads.push_back(std::move(done));
    }

    void takeEffect(size_t n)
    {
        if (!pendingAppends[n].offset) {
            pendingAppends[n].offset = records.size();
            records.push_back({records.size(), pendingAppends[n].data});
        }
    }
    void confirm(size_t n, Instant now)
    {
        takeEffect(n);
        const Append append = take(n);
        if (append.done)
            append.done(*append.offset, now);
    }
    void refuse(size_t n, Instant now)
    {
        if (pendingAppends[n].offset || !pendingAppends[n].done)
            return loseAnswer(n, now);
        take(n).done(Error{ErrorCode::Unavailable, "connection refused"}, now);
    }
    // The append may still take effect later.
    void loseAnswer(size_t n, Instant now)
    {
        const AppendDone done = std::exchange(pendingAppends[n].done, nullptr);
        if (done)
            done(Error{ErrorCode::OutcomeUnknown, "timed out"}, now);
    }
    void answerRead(bool up, Instant now)
    {
        const ReadDone done = std::move(pendingReads.front());
        pendingReads.erase(pendingReads.begin());
        if (up)
            done(LogPage{0, records.size(), {}}, now);
        else
            done(Error{ErrorCode::Unavailable, "connection refused"}, now);
    }

private:
    Append take(size_t n)
    {
        Append append = std::move(pendingAppends[n]);
        pendingAppends.erase(pendingAppends.begin() + static_cast<ptrdiff_t>(n));
        return append;
    }
};

// A writer and the state that its owner computes from the stream (the fold).
class Fixture
{
public:
    FakeLog log;
    std::unique_ptr<LogWriter> writer;
    ConfigState state;
    std::map<RecordId, std::vector<WriteOutcome>> outcomes;
    std::map<RecordId, int> effects; // number of times each record was accepted
    std::vector<RecordId> written;
    int64_t now = 0;

    Fixture()
    {
        LogWriterOptions options;
        options.stream = "config";
        options.maxQueued = 50;
        options.maxInFlight = 4;
        writer = std::move(*LogWriter::create(log, options, 77));
    }

    Result<void> write(int64_t deadline)
    {
        const RecordId id = writer->nextId();
        const std::string zone = "z" + std::to_string(id.seq);
        auto result = writer->write(
            id, zoneRecord(id, zone, true), at(now), at(now + deadline),
            [this, id](const WriteOutcome &outcome, Instant) { outcomes[id].push_back(outcome); });
        if (result.ok())
            written.push_back(id);
        return result;
    }
    void applyLog()
    {
        while (state.next() < log.records.size()) {
            const LogRecord &record = log.records[state.next()];
            const auto outcome = state.apply(record);
            effects[*outcome.id] += outcome.kind == ApplyKind::Accepted ? 1 : 0;
            writer->observed(*outcome.id, record.offset, at(now));
        }
        writer->appliedTo(state.next(), at(now));
    }
    void advanceTime(int64_t ms)
    {
        now += ms;
        writer->advance(at(now));
    }
    WriteResult resultOf(size_t n) { return outcomes[written[n]].at(0).result; }
    bool isInLog(const RecordId &id) const
    {
        return std::any_of(log.records.begin(), log.records.end(), [&](const LogRecord &it) {
            return parseConfigRecord(it.data)->id == id;
        });
    }
};

// Guards against outcomes that contradict the log: NotAppended for a record that is in the log or
// appears later, Appended for a record that is not in the log, and duplicates that both take
// effect.
RC_GTEST_PROP(LogWriterProperty, OutcomesAgreeWithLog, (const std::vector<uint16_t> &choices))
{
    Fixture fixture;
    for (const uint16_t it : choices) {
        const size_t which =
            fixture.log.pendingAppends.empty() ? 0 : it / 10 % fixture.log.pendingAppends.size();
        const bool hasOpen = !fixture.log.pendingAppends.empty();
        switch (it % 10) {
        case 0:
        case 1:
            (void)fixture.write(200 + it % 3 * 1'000);
            break;
        case 2:
            if (hasOpen)
                fixture.log.takeEffect(which);
            break;
        case 3:
            if (hasOpen)
                fixture.log.confirm(which, at(fixture.now));
            break;
        case 4:
            if (hasOpen)
                fixture.log.refuse(which, at(fixture.now));
            break;
        case 5:
            if (hasOpen)
                fixture.log.loseAnswer(which, at(fixture.now));
            break;
        case 6:
            if (!fixture.log.pendingReads.empty())
                fixture.log.answerRead(it % 4 != 0, at(fixture.now));
            break;
        case 7:
            fixture.applyLog();
            break;
        default:
            fixture.advanceTime(it / 10 % 250);
        }
    }
    fixture.advanceTime(10'000);
    fixture.applyLog();
    while (!fixture.log.pendingAppends.empty())
        fixture.log.confirm(0, at(fixture.now)); // delayed appends take effect
    fixture.applyLog();
    RC_ASSERT(fixture.writer->pending() == 0U);
    for (const RecordId &id : fixture.written) {
        RC_ASSERT(fixture.outcomes[id].size() == 1U);
        const WriteOutcome &outcome = fixture.outcomes[id].front();
        RC_ASSERT(fixture.effects[id] <= 1);
        if (outcome.result == WriteResult::NotAppended)
            RC_ASSERT(!fixture.isInLog(id));
        if (outcome.result == WriteResult::Appended)
            RC_ASSERT(parseConfigRecord(fixture.log.records.at(outcome.offset).data)->id == id);
    }
}

// Guards against a record that is abandoned or reported too early because its answer was lost.
TEST(LogWriterTest, RetriesAfterLostAnswer)
{
    Fixture fixture;
    ASSERT_TRUE(fixture.write(60'000).ok());
    fixture.log.loseAnswer(0, at(0));
    ASSERT_EQ(fixture.log.pendingReads.size(), 1U);
    EXPECT_TRUE(fixture.writer->needsRead());
    fixture.log.answerRead(true, at(0));
    fixture.applyLog();
    fixture.advanceTime(100);
    EXPECT_EQ(fixture.log.pendingAppends.size(), 1U) << "the retry waits for the delay";
    fixture.advanceTime(100);
    ASSERT_EQ(fixture.log.pendingAppends.size(), 2U);
    fixture.log.takeEffect(0); // the first attempt takes effect late
    fixture.log.loseAnswer(1, at(fixture.now));
    fixture.log.answerRead(true, at(fixture.now));
    EXPECT_TRUE(fixture.outcomes.empty());
    fixture.applyLog();
    EXPECT_EQ(fixture.resultOf(0), WriteResult::Appended);
    fixture.log.takeEffect(1);
    fixture.applyLog();
    EXPECT_EQ(fixture.effects[fixture.written[0]], 1);
    EXPECT_EQ(fixture.writer->counters().repeats, 1U);
    EXPECT_EQ(fixture.writer->counters().lostResponses, 2U);
}

// Guards against a retry before the fold has reached the tail that was read after the attempt: the
// record may be in the stream below that tail.
TEST(LogWriterTest, DoesNotRetryBeforeFoldReachesTail)
{
    Fixture fixture;
    ASSERT_TRUE(fixture.write(60'000).ok());
    fixture.log.takeEffect(0);
    fixture.log.loseAnswer(0, at(0));
    fixture.log.answerRead(false, at(0));
    fixture.advanceTime(300);
    ASSERT_EQ(fixture.log.pendingReads.size(), 1U) << "reads the tail again after an outage";
    fixture.log.answerRead(true, at(fixture.now));
    fixture.writer->appliedTo(0, at(fixture.now));
    fixture.advanceTime(5'000);
    EXPECT_EQ(fixture.writer->counters().attempts, 1U);
    fixture.applyLog();
    EXPECT_EQ(fixture.resultOf(0), WriteResult::Appended);
}

// Guards against NotAppended for a record that may be in the log, and against Unknown for a record
// that every attempt failed to append.
TEST(LogWriterTest, NotAppendedOnlyIfEveryAttemptWasRefused)
{
    Fixture fixture;
    ASSERT_TRUE(fixture.write(1'000).ok());
    ASSERT_TRUE(fixture.write(1'000).ok());
    ASSERT_TRUE(fixture.write(1'000).ok());
    ASSERT_TRUE(fixture.write(1'000).ok());
    ASSERT_TRUE(fixture.write(1'000).ok()); // never in flight
    fixture.log.refuse(0, at(0));
    fixture.log.loseAnswer(0, at(0));
    fixture.log.confirm(1, at(0));
    fixture.advanceTime(1'000);
    EXPECT_EQ(fixture.resultOf(0), WriteResult::NotAppended);
    EXPECT_EQ(fixture.resultOf(1), WriteResult::Unknown) << "answer lost";
    EXPECT_EQ(fixture.resultOf(2), WriteResult::Unknown) << "confirmed, not read back";
    EXPECT_EQ(fixture.resultOf(3), WriteResult::Unknown) << "no answer yet";
    EXPECT_EQ(fixture.resultOf(4), WriteResult::NotAppended);
    EXPECT_EQ(fixture.outcomes[fixture.written[0]].front().reason, "connection refused");
}

// Guards against a queue that grows without bound during an outage, and against too many records in
// flight, which could arrive further out of order than duplicate detection allows.
TEST(LogWriterTest, BoundsQueueAndRecordsInFlight)
{
    Fixture fixture;
    for (int n = 0; n < 50; ++n)
        EXPECT_TRUE(fixture.write(1'000).ok());
    EXPECT_EQ(fixture.write(1'000).error().code, ErrorCode::Overloaded);
    EXPECT_EQ(fixture.log.pendingAppends.size(), 4U);
    fixture.log.confirm(3, at(0));
    fixture.advanceTime(50);
    EXPECT_EQ(fixture.log.pendingAppends.size(), 3U)
        << "no new attempt before the record is read back";
    fixture.applyLog();
    EXPECT_EQ(fixture.log.pendingAppends.size(), 4U);
    EXPECT_FALSE(LogWriter::create(fixture.log, {"config", 10, 0, Duration(1)}, 1).ok());
}

// Guards against use of a destroyed writer by an answer that arrives late.
TEST(LogWriterTest, IgnoresAnswersAfterWriterIsDestroyed)
{
    Fixture fixture;
    ASSERT_TRUE(fixture.write(1'000).ok());
    ASSERT_TRUE(fixture.write(1'000).ok());
    fixture.log.loseAnswer(0, at(0));
    fixture.writer.reset();
    fixture.log.confirm(1, at(0));
    fixture.log.answerRead(true, at(0));
    EXPECT_TRUE(fixture.outcomes.empty());
}

} // namespace
} // namespace cardamompaddle
