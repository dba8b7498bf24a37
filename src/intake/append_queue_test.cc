#include "intake/append_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace cardamompaddle {
namespace {

constexpr Duration CallerWait{2'750};

class AppendQueueTest : public ::testing::Test
{
protected:
    AppendQueue::RecordNumber add() { return m_queue.add(m_now + CallerWait, m_now); }
    // Returns the appends that are sent now, and keeps the outcomes.
    std::vector<AppendQueue::Append> decide()
    {
        auto out = m_queue.decide(m_condition, m_now);
        for (const auto &it : out.settled)
            m_outcomes[it.record] = it.outcome;
        return out.appends;
    }
    void end(const AppendQueue::Append &append, AppendEnd how)
    {
        m_queue.appendEnded(append.number, how, "test", m_now);
    }
    // Ends every append at once in the same way for as long as the queue has records, at most for
    // `time`. Returns the number of appends.
    int run(AppendEnd how, Duration time)
    {
        int count = 0;
        const Instant until = m_now + time;
        for (;;) {
            for (auto appends = decide(); !appends.empty(); appends = decide()) {
                count += static_cast<int>(appends.size());
                for (const auto &append : appends)
                    end(append, how);
            }
            if (m_now == until)
                return count;
            const auto next = m_queue.nextEvent();
            m_now = next ? std::min(*next, until) : until;
        }
    }

    AppendQueue m_queue;
    LogCondition m_condition;
    Instant m_now = instantFromMs(100'000);
    std::map<AppendQueue::RecordNumber, SubmitOutcome> m_outcomes;
};

TEST_F(AppendQueueTest, AcceptsWhatTheLogHasStored)
{
    const auto record = add();
    const auto appends = decide();
    ASSERT_EQ(appends.size(), 1U);
    EXPECT_EQ(appends[0].records, std::vector{record});
    EXPECT_TRUE(m_outcomes.empty());
    end(appends[0], AppendEnd::Stored);
    EXPECT_TRUE(decide().empty());
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Accepted);
    EXPECT_EQ(m_queue.nextEvent(), std::nullopt);
}

// Guards against appends that are repeated without a pause while the log resets connections: three
// of them were used up within 50 ms, and the caller's outcome was given up although the log came
// back within the deadline.
TEST_F(AppendQueueTest, ARecordInDoubtIsRepeatedUntilTheLogIsBack)
{
    const auto record = add();
    const int tries = run(AppendEnd::Unanswered, Duration(2'000));
    EXPECT_FALSE(m_outcomes.contains(record));
    EXPECT_LE(tries, 10) << "a log in trouble is not flooded";
    run(AppendEnd::Stored, Duration(500));
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Accepted);
}

TEST_F(AppendQueueTest, ARecordInDoubtIsUnknownAtItsDeadlineAndNotEarlier)
{
    const auto record = add();
    run(AppendEnd::Unanswered, CallerWait - Duration(1));
    EXPECT_FALSE(m_outcomes.contains(record));
    run(AppendEnd::Unanswered, Duration(2));
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Unknown);
}

// Guards against a refusal of what an earlier, unanswered append may still store.
TEST_F(AppendQueueTest, ARejectionDoesNotTakeBackAnUnansweredAppend)
{
    const auto record = add();
    end(decide().at(0), AppendEnd::Unanswered);
    run(AppendEnd::NotStored, CallerWait);
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Unknown);
}

TEST_F(AppendQueueTest, ARecordThatIsReadBackIsAcceptedAtOnce)
{
    const auto record = add();
    end(decide().at(0), AppendEnd::Unanswered);
    decide();
    m_queue.found(record);
    decide();
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Accepted);
}

// Guards against refusals for an interruption that is shorter than a caller's wait for a retry.
TEST_F(AppendQueueTest, AShortRejectionIsNotPassedOn)
{
    const auto record = add();
    run(AppendEnd::NotStored, Duration(200));
    run(AppendEnd::Stored, Duration(500));
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Accepted);
}

TEST_F(AppendQueueTest, ALongRejectionIsPassedOnSoon)
{
    const auto record = add();
    run(AppendEnd::NotStored, Duration(500));
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Refused);
}

TEST_F(AppendQueueTest, ARejectedRecordIsRefusedAtOnceIfAPeerCanStoreIt)
{
    m_condition.peerCanStore = true;
    const auto rejected = add();
    end(decide().at(0), AppendEnd::NotStored);
    decide();
    EXPECT_EQ(m_outcomes.at(rejected), SubmitOutcome::Refused);
    const auto unanswered = add();
    end(decide().at(0), AppendEnd::Unanswered);
    decide();
    EXPECT_EQ(m_outcomes.at(unanswered), SubmitOutcome::Unknown);
}

// Load: jobs arrive while the log resets every connection for four seconds. Guards against sending
// each of them, which leaves all their outcomes in doubt.
TEST_F(AppendQueueTest, WhileTheLogIsDownOnlyTheRecordsSentBeforeAreInDoubt)
{
    constexpr Duration Outage{4'000};
    constexpr Duration Interval{20};
    std::set<AppendQueue::RecordNumber> sent;
    add();
    const Instant until = m_now + Outage;
    const Instant noticedAt = m_now + Duration(50);
    while (m_now < until) {
        m_condition.answersReads = m_now < noticedAt;
        add();
        for (const auto &append : decide()) {
            sent.insert(append.records.begin(), append.records.end());
            end(append, AppendEnd::Unanswered);
        }
        m_now += Interval;
    }
    EXPECT_LE(sent.size(), 5U);
    const auto unknown = std::count_if(m_outcomes.begin(), m_outcomes.end(), [](const auto &it) {
        return it.second == SubmitOutcome::Unknown;
    });
    EXPECT_LE(unknown, 5);
    EXPECT_GE(m_outcomes.size(), 180U) << "the others are told to come back later";
    // Those that wait when the log comes back are stored.
    m_condition.answersReads = true;
    const auto last = add();
    run(AppendEnd::Stored, Duration(1'000));
    EXPECT_EQ(m_outcomes.at(last), SubmitOutcome::Accepted);
}

// Load: a burst while each append takes long. Guards against a slow log that gets an append for
// each job.
TEST_F(AppendQueueTest, ASlowLogGetsFewLargeAppends)
{
    size_t appends = 0;
    std::vector<std::pair<Instant, AppendQueue::Append>> sent;
    std::vector<AppendQueue::RecordNumber> records;
    for (int ms = 0; ms < 2'000; ms += 10) {
        if (ms < 1'000)
            records.push_back(add());
        std::erase_if(sent, [this](const auto &it) {
            if (it.first > m_now)
                return false;
            end(it.second, AppendEnd::Stored);
            return true;
        });
        for (auto &append : decide()) {
            ++appends;
            sent.emplace_back(m_now + Duration(250), std::move(append));
        }
        m_now += Duration(10);
    }
    EXPECT_LE(appends, 12U);
    for (const auto record : records)
        EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Accepted);
}

// Guards against repetitions that a slow log has to store too, while the first append only waits
// for those of other instances.
TEST_F(AppendQueueTest, WaitsForALateAnswerWhileTheLogIsSlow)
{
    m_condition.appendTime = Duration(130);
    add();
    EXPECT_GE(decide().at(0).timeout, Duration(2'000));
    AppendQueue other;
    other.add(m_now + CallerWait, m_now);
    EXPECT_LT(other.decide({}, m_now).appends.at(0).timeout, Duration(500));
}

// Guards against a record that the log never takes and that has all others refused which are sent
// in the same append.
TEST_F(AppendQueueTest, ARejectedRecordDoesNotHoldUpTheOthers)
{
    const auto first = add();
    const auto bad = add();
    const auto last = add();
    const auto together = decide();
    ASSERT_EQ(together.size(), 1U);
    end(together[0], AppendEnd::Rejected);
    int appends = 0;
    for (auto sent = decide(); !sent.empty(); sent = decide()) {
        for (const auto &append : sent) {
            ASSERT_EQ(append.records.size(), 1U);
            ++appends;
            end(append, append.records[0] == bad ? AppendEnd::Rejected : AppendEnd::Stored);
        }
    }
    EXPECT_EQ(appends, 3);
    EXPECT_EQ(m_outcomes.at(first), SubmitOutcome::Accepted);
    EXPECT_EQ(m_outcomes.at(bad), SubmitOutcome::Invalid);
    EXPECT_EQ(m_outcomes.at(last), SubmitOutcome::Accepted);
}

// Guards against a definite answer about a record that an earlier append may have stored, and
// against repeating it without a pause.
TEST_F(AppendQueueTest, ARejectionLeavesARecordInDoubt)
{
    const auto record = add();
    end(decide().at(0), AppendEnd::Unanswered);
    const int tries = run(AppendEnd::Rejected, CallerWait);
    EXPECT_EQ(m_outcomes.at(record), SubmitOutcome::Unknown);
    EXPECT_LE(tries, 10);
}

// Guards against an append that is rejected because its records together are more than the log
// takes.
TEST(AppendQueueLimitsTest, AppendsHoldNoMoreThanTheLogTakes)
{
    const Instant now = instantFromMs(100'000);
    AppendQueue queue(100);
    std::vector<AppendQueue::RecordNumber> records;
    for (const size_t bytes : {60UL, 60UL, 40UL, 500UL, 1UL})
        records.push_back(queue.add(now + CallerWait, now, bytes));
    std::vector<std::vector<AppendQueue::RecordNumber>> sent;
    for (auto decisions = queue.decide({}, now); !decisions.appends.empty();
         decisions = queue.decide({}, now)) {
        for (const auto &append : decisions.appends) {
            sent.push_back(append.records);
            queue.appendEnded(append.number, AppendEnd::Stored, "", now);
        }
    }
    ASSERT_EQ(sent.size(), 3U);
    EXPECT_EQ(sent[0], (std::vector{records[0], records[2]}));
    EXPECT_EQ(sent[1], (std::vector{records[1], records[4]}));
    EXPECT_EQ(sent[2], std::vector{records[3]}) << "sent by itself, so that the log decides";
}

// What one append comes to in the property below.
enum class Fate { Answered, AnswerLost, StoredLate, Reset, Rejected };

// Over all orders of sending, answers, losses, repetitions, reads and deadlines: an outcome is
// true, comes once, in time, and at once when it is known.
RC_GTEST_PROP(AppendQueueProperty, OutcomesAreTrueAndInTime, ())
{
    AppendQueue queue;
    LogCondition condition;
    Instant now = instantFromMs(100'000);
    std::set<AppendQueue::RecordNumber> stored;
    std::set<AppendQueue::RecordNumber> mayBeStored; // by an append that is carried out late
    std::map<AppendQueue::RecordNumber, Instant> deadlines;
    std::map<AppendQueue::RecordNumber, SubmitOutcome> outcomes;
    struct Pending
    {
        Instant at;
        AppendQueue::Append append;
        Fate fate;
    };
    std::vector<Pending> pending;
    const auto decide = [&] {
        auto decisions = queue.decide(condition, now);
        for (const auto &it : decisions.settled) {
            RC_ASSERT(!outcomes.contains(it.record));
            outcomes[it.record] = it.outcome;
            if (it.outcome == SubmitOutcome::Accepted)
                RC_ASSERT(stored.contains(it.record));
            if (it.outcome == SubmitOutcome::Refused) {
                RC_ASSERT(!stored.contains(it.record) && !mayBeStored.contains(it.record));
                for (const Pending &other : pending)
                    RC_ASSERT(std::find(other.append.records.begin(), other.append.records.end(),
                                        it.record)
                              == other.append.records.end());
            }
            if (it.outcome == SubmitOutcome::Unknown)
                RC_ASSERT(now >= deadlines.at(it.record) || condition.peerCanStore);
        }
        for (auto &append : decisions.appends) {
            for (const auto record : append.records)
                RC_ASSERT(!outcomes.contains(record));
            const Fate fate = *rc::gen::element(Fate::Answered, Fate::AnswerLost, Fate::StoredLate,
                                                Fate::Reset, Fate::Rejected);
            if (fate == Fate::AnswerLost)
                stored.insert(append.records.begin(), append.records.end());
            if (fate == Fate::StoredLate || fate == Fate::Reset)
                mayBeStored.insert(append.records.begin(), append.records.end());
            const Duration takes = fate == Fate::AnswerLost || fate == Fate::StoredLate
                                       ? append.timeout
                                       : Duration(*rc::gen::inRange(1, 300));
            pending.push_back({now + takes, std::move(append), fate});
        }
        for (const auto &[record, deadline] : deadlines) {
            // The owner is told to come back in time.
            RC_ASSERT(outcomes.contains(record)
                      || (now < deadline && queue.nextEvent() && *queue.nextEvent() <= deadline));
        }
    };
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            condition.answersReads = !condition.answersReads;
            break;
        case 1:
            condition.peerCanStore = *rc::gen::inRange(0, 4) == 0;
            break;
        case 2:
        case 3: {
            const Instant deadline = now + Duration(*rc::gen::inRange(1, 3'000));
            deadlines[queue.add(deadline, now)] = deadline;
            break;
        }
        case 4:
            // A reader finds what is stored.
            for (const auto record : stored)
                queue.found(record);
            break;
        default: {
            Instant next = now + Duration(*rc::gen::inRange(1, 400));
            if (const auto event = queue.nextEvent())
                next = std::min(next, *event);
            for (const Pending &it : pending)
                next = std::min(next, it.at);
            now = std::max(now, next);
            for (auto it = pending.begin(); it != pending.end();) {
                if (it->at > now) {
                    ++it;
                    continue;
                }
                const Pending done = std::move(*it);
                it = pending.erase(it);
                if (done.fate == Fate::Answered)
                    stored.insert(done.append.records.begin(), done.append.records.end());
                const AppendEnd end = done.fate == Fate::Answered   ? AppendEnd::Stored
                                      : done.fate == Fate::Rejected ? AppendEnd::NotStored
                                                                    : AppendEnd::Unanswered;
                queue.appendEnded(done.append.number, end, "", now);
                decide();
                if (done.fate != Fate::Answered)
                    continue;
                for (const auto record : done.append.records)
                    RC_ASSERT(outcomes.contains(record));
            }
            break;
        }
        }
        decide();
    }
}

} // namespace
} // namespace cardamompaddle
