#include "control/log_follower.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr const char *Topic = "topic";

class ManualClock : public Clock
{
public:
    Instant now() const override { return m_now; }
    void advance(Duration time) { m_now += time; }

private:
    Instant m_now = Instant(Duration(1'000));
};

// A log with one topic whose calls the test carries out (it fixes the answer) and answers one by
// one, in any order.
class ScriptedLog : public KeyedLog
{
public:
    struct Call
    {
        std::function<std::function<void()>()> carryOut; // returns what delivers the answer
        std::function<void()> answer; // set once the call is carried out
        std::function<void(const Error &)> fail;
        bool newest = false; // readNewest()
        Duration wait{0}; // how long the log may hold the read
        Duration timeout{0};
    };

    void append(AppendRequest, Duration, AppendDone) override { }
    void read(const std::string &, int64_t from, Duration wait, Duration timeout,
              ReadDone done) override
    {
        Call call;
        call.wait = wait;
        call.timeout = timeout;
        call.carryOut = [this, from, done] { return [done, it = slice(from)] { done(it); }; };
        call.fail = [done](const Error &error) { done(error); };
        calls.push_back(std::move(call));
    }
    void readNewest(const std::string &, const std::string &after, Duration,
                    NewestDone done) override
    {
        Call call;
        call.newest = true;
        call.carryOut = [this, after, done] { return [done, it = page(after)] { done(it); }; };
        call.fail = [done](const Error &error) { done(error); };
        calls.push_back(std::move(call));
    }
    void useNewConnections() override { }

    void put(const std::string &key, const std::string &value)
    {
        records.push_back({key, value, value.empty(), end()});
    }
    int64_t end() const { return static_cast<int64_t>(records.size()); }
    // Returns the newest record of the key before offset `before`; null if there is none.
    const KeyedRecord *newest(const std::string &key, int64_t before) const
    {
        const auto last = records.rend() - before;
        const auto it = std::find_if(last, records.rend(),
                                     [&key](const KeyedRecord &r) { return r.key == key; });
        return it == records.rend() ? nullptr : &*it;
    }
    // Returns the value of each key that has one.
    std::map<std::string, std::string> state() const
    {
        std::map<std::string, std::string> out;
        for (const KeyedRecord &record : records) {
            if (record.removed)
                out.erase(record.key);
            else
                out[record.key] = record.value;
        }
        return out;
    }
    void carryOut(size_t index)
    {
        Call &call = calls.at(index);
        if (!call.answer)
            call.answer = call.carryOut();
    }
    void answer(size_t index)
    {
        carryOut(index);
        const auto deliver = take(index).answer;
        deliver();
    }
    void fail(size_t index, ErrorCode code = ErrorCode::Unavailable)
    {
        take(index).fail(Error{code, "no log"});
    }

    std::vector<KeyedRecord> records;
    int64_t firstRetained = 0;
    size_t pageSize = 2;
    size_t sliceSize = 3;
    std::vector<Call> calls; // not answered yet

private:
    Call take(size_t index)
    {
        Call call = std::move(calls.at(index));
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
        return call;
    }
    Result<LogSlice> slice(int64_t from) const
    {
        if (from < firstRetained)
            return Error{ErrorCode::NotFound, "expired"};
        LogSlice out;
        out.end = end();
        for (int64_t n = from; n < out.end && out.records.size() < sliceSize; ++n)
            out.records.push_back(records[static_cast<size_t>(n)]);
        return out;
    }
    Result<NewestPage> page(const std::string &after) const
    {
        NewestPage out;
        out.end = end();
        for (const auto &[key, value] : state()) {
            if (key <= after)
                continue;
            out.more = out.records.size() == pageSize;
            if (out.more)
                break;
            out.records.push_back(*newest(key, end()));
        }
        return out;
    }
};

// A follower of a scripted log, and the state that it has delivered.
class FollowerModel
{
    boost::asio::io_context m_io; // declared first: outlives the follower's timer

public:
    explicit FollowerModel(Duration readWait = Duration::zero())
    {
        LogFollowerOptions options;
        options.topic = Topic;
        options.readWait = readWait;
        options.retryDelay = Duration::zero();
        LogFollower::Callbacks callbacks;
        callbacks.record = [this](const KeyedRecord &record) { onRecord(record); };
        follower = std::make_unique<LogFollower>(m_io, clock, log, options, std::move(callbacks));
        follower->start();
    }

    // Answers all calls until the follower has read everything and only waits for new records.
    void settle()
    {
        for (int n = 0; n < 1'000; ++n) {
            runTimers();
            const bool idle = log.calls.size() == 1 && !log.calls[0].newest && !log.calls[0].answer
                              && follower->nextOffset() == log.end();
            if (idle)
                return;
            if (!log.calls.empty())
                log.answer(0);
        }
        ADD_FAILURE() << "the follower goes on reading";
    }
    void runTimers()
    {
        m_io.restart();
        m_io.poll();
    }
    // Whether the delivered state of each key is the one before offset `end`, or a newer one.
    bool knows(int64_t end) const
    {
        for (const char *key : Keys) {
            const KeyedRecord *newest = log.newest(key, end);
            if (newest == nullptr)
                continue;
            const auto it = m_delivered.find(key);
            const KeyedRecord *last = log.newest(key, log.end());
            // A key that was removed later may be gone already.
            const bool mayBeGone = newest->removed || removedSince(key, end);
            const bool known = it != m_delivered.end() && !it->second.removed
                                   ? it->second.offset >= newest->offset
                                   : mayBeGone;
            if (!known || last == nullptr)
                return false;
        }
        return true;
    }
    std::map<std::string, std::string> state() const
    {
        std::map<std::string, std::string> out;
        for (const auto &[key, record] : m_delivered) {
            if (!record.removed)
                out[key] = record.value;
        }
        return out;
    }

    static constexpr std::array<const char *, 5> Keys{"a", "b", "c", "d", "e"};
    ManualClock clock;
    ScriptedLog log;
    std::unique_ptr<LogFollower> follower;
    bool wentBack = false; // an older record of a key was delivered after a newer one

private:
    void onRecord(const KeyedRecord &record)
    {
        const auto [it, added] = m_delivered.try_emplace(record.key, record);
        wentBack = wentBack || (!added && record.offset < it->second.offset);
        it->second = record;
    }
    bool removedSince(const std::string &key, int64_t end) const
    {
        return std::any_of(log.records.begin() + end, log.records.end(),
                           [&](const auto &it) { return it.key == key && it.removed; });
    }

    std::map<std::string, KeyedRecord> m_delivered; // last delivered record of each key
};

// Guards against an accepted job that is unknown for ever: a record that was stored while a reader
// loaded again, under a key of a page that had been read, below the offset of one of a later page.
TEST(LogFollowerTest, ARecordStoredBetweenThePagesOfALaterLoadIsRead)
{
    FollowerModel model;
    model.log.pageSize = 1;
    model.log.put("b", "1");
    model.log.put("d", "1");
    model.settle();
    model.log.put("d", "2");
    model.log.firstRetained = model.log.end();
    model.log.answer(0); // the records have expired
    model.log.answer(0); // first page: b
    model.log.put("a", "new");
    model.log.put("d", "3");
    model.settle();
    EXPECT_EQ(model.state(), model.log.state());
}

// Guards against a job that is reported not to exist, or a tenure that is claimed, before the
// records stored until then are known.
TEST(LogFollowerTest, ARefreshDuringALaterLoadSucceedsOnlyOnceTheLoadIsComplete)
{
    FollowerModel model;
    model.log.pageSize = 1;
    model.log.put("a", "1");
    model.settle();
    model.log.put("b", "1");
    model.log.put("c", "1");
    model.log.firstRetained = model.log.end();
    model.log.answer(0); // the records have expired
    model.log.answer(0); // first page: a
    std::optional<bool> current;
    bool known = false;
    model.follower->refresh([&](bool it) {
        current = it;
        known = model.knows(model.log.end());
    });
    while (!current && !model.log.calls.empty())
        model.log.answer(model.log.calls.size() - 1);
    ASSERT_TRUE(current.has_value());
    EXPECT_TRUE(*current);
    EXPECT_TRUE(known) << "reported as current with records that are not known";
}

// Guards against a worker or an instance that is called for ever although its key was removed while
// the reader was behind.
TEST(LogFollowerTest, AKeyThatWasRemovedWhileTheReaderWasBehindIsReportedAsRemoved)
{
    FollowerModel model;
    model.log.put("a", "1");
    model.log.put("b", "1");
    model.settle();
    model.log.put("a", "");
    model.log.put("b", "2");
    model.log.firstRetained = model.log.end();
    model.settle();
    EXPECT_EQ(model.state(), model.log.state());
}

// Guards against a reader that notices only seconds later that the log answers again: a read that
// was lost shortly before must not be one that the log might have held.
TEST(LogFollowerTest, AReadAfterAFailedOneIsNotHeldByTheLog)
{
    constexpr Duration ReadWait{1'500};
    FollowerModel model(ReadWait);
    model.settle();
    ASSERT_EQ(model.log.calls.at(0).wait, ReadWait);
    const Duration timeout = model.log.calls.at(0).timeout;
    model.log.fail(0);
    model.runTimers();
    ASSERT_EQ(model.log.calls.size(), 1U);
    EXPECT_EQ(model.log.calls[0].wait, Duration::zero());
    EXPECT_EQ(model.log.calls[0].timeout, timeout - ReadWait);
    model.log.answer(0);
    ASSERT_EQ(model.log.calls.size(), 1U);
    EXPECT_EQ(model.log.calls[0].wait, ReadWait) << "once the log has answered";
}

// Guards against a job that returns to an earlier state: a record that a peer publishes during a
// load, newer than the page of its key, must not be followed by an older one.
TEST(LogFollowerTest, AnOlderRecordDoesNotFollowOneReceivedDuringALoad)
{
    FollowerModel model;
    model.log.pageSize = 1;
    model.log.put("c", "1");
    model.log.put("d", "1");
    model.settle();
    model.log.put("d", "2");
    model.log.firstRetained = model.log.end();
    model.log.answer(0); // the records have expired
    model.log.answer(0); // first page: c
    model.log.put("a", "1");
    model.log.put("a", "2");
    model.follower->applyReceived({model.log.records.back()});
    model.settle();
    EXPECT_EQ(model.state(), model.log.state());
    EXPECT_FALSE(model.wentBack);
}

// Guards against a removed job that comes back: its publication arrives after a load that no longer
// found it.
TEST(LogFollowerTest, ALatePublicationOfARemovedRecordIsIgnored)
{
    FollowerModel model;
    model.log.put("a", "1");
    model.log.put("b", "1");
    model.log.put("a", "");
    model.settle();
    model.follower->applyReceived({model.log.records.front()});
    EXPECT_EQ(model.state(), model.log.state());
}

// Guards against tables that lose what the pages of a load show no more: a page that is not found
// after an earlier one is no proof that the remaining keys do not exist.
TEST(LogFollowerTest, ALoadWithoutItsLastPageIsNotComplete)
{
    FollowerModel model;
    model.log.pageSize = 1;
    model.log.put("a", "1");
    model.log.put("b", "1");
    model.log.answer(0); // first page
    model.log.fail(0, ErrorCode::NotFound);
    EXPECT_FALSE(model.follower->loaded());
    model.settle();
    EXPECT_EQ(model.state(), model.log.state());
}

// Guards against a load whose time is that of its last page, although a record may have been stored
// since the first one.
TEST(LogFollowerTest, ALoadIsCurrentAsOfItsFirstPage)
{
    FollowerModel model;
    model.log.pageSize = 1;
    model.log.put("b", "1");
    model.log.put("c", "1");
    const Instant first = model.clock.now();
    model.log.carryOut(0);
    model.clock.advance(Duration(100));
    model.log.answer(0);
    model.log.answer(0); // last page
    ASSERT_TRUE(model.follower->loaded());
    EXPECT_EQ(model.follower->currentAsOf(), first);
}

// Guards against a count of waiting jobs that is taken to be current although the size of an answer
// left records unread.
TEST(LogFollowerTest, AnAnswerThatEndsBeforeTheTopicIsNotCurrent)
{
    FollowerModel model;
    model.log.sliceSize = 1;
    model.settle();
    const Instant loadedAt = model.follower->currentAsOf();
    model.log.answer(0); // nothing to read
    model.log.put("a", "1");
    model.log.put("b", "1");
    model.clock.advance(Duration(100));
    model.follower->refresh([](bool) {});
    model.log.answer(1); // the first record
    EXPECT_EQ(model.follower->currentAsOf(), loadedAt);
    model.log.answer(1);
    EXPECT_EQ(model.follower->currentAsOf(), model.clock.now());
}

// Guards against any order of appends, expiries, answers and publications in which a record or a
// removal is missed, an older record follows a newer one, or the reader claims to be current when
// it is not.
RC_GTEST_PROP(LogFollowerProperty, DeliversTheNewestRecordOfEachKey, ())
{
    FollowerModel model;
    ScriptedLog &log = model.log;
    log.pageSize = *rc::gen::inRange<size_t>(1, 4);
    log.sliceSize = *rc::gen::inRange<size_t>(1, 5);
    std::map<Instant, int64_t> ends; // end of the topic at each time
    bool currentTooEarly = false;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 1'000)));
    for (const auto &[action, argument] : steps) {
        const auto n = static_cast<size_t>(argument);
        ends[model.clock.now()] = log.end();
        if (action < 30) {
            log.put(FollowerModel::Keys.at(n % FollowerModel::Keys.size()),
                    n % 4 == 0 ? "" : std::to_string(log.end()));
        } else if (action < 36) {
            log.firstRetained = log.end();
        } else if (action < 46 && !log.records.empty()) {
            model.follower->applyReceived({log.records[n % log.records.size()]});
        } else if (action < 54) {
            model.follower->refresh([&, end = log.end()](bool current) {
                currentTooEarly = currentTooEarly || (current && !model.knows(end));
            });
        } else if (action < 60 && !log.calls.empty()) {
            log.carryOut(n % log.calls.size());
        } else if (action < 64 && !log.calls.empty()) {
            log.fail(n % log.calls.size());
        } else if (!log.calls.empty()) {
            log.answer(n % log.calls.size());
        }
        model.runTimers();
        const auto end = ends.find(model.follower->currentAsOf());
        const bool current = end == ends.end() || model.knows(end->second);
        RC_ASSERT(current);
        RC_ASSERT(!currentTooEarly);
        model.clock.advance(Duration(1));
    }
    model.settle();
    RC_ASSERT(model.state() == log.state());
    RC_ASSERT(!model.wentBack);
    RC_ASSERT(!currentTooEarly);
}

} // namespace
} // namespace cardamompaddle
