#include "jobs/job_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

namespace cardamompaddle {
namespace {

using Kind = JobApplyKind;

Instant at(int ms)
{
    return instantFromMs(ms);
}

JobSpec spec(const std::string &id, const std::string &payload = "")
{
    JobSpec result;
    result.key = {"team", id};
    result.route = "route";
    result.pool = "pool";
    result.tasks = 3;
    result.payload = payload;
    return result;
}

TasksFinishedRecord finishedRecord(const JobRef &job, int32_t index, int32_t attempt,
                                   const std::string &output, bool final)
{
    return {{{job, index, taskResult(attempt, TaskOutcome::Succeeded, output), final}}};
}

// Returns the log page that a read from `from` yields if records below `first` have expired.
LogPage pageFrom(const std::vector<LogRecord> &records, uint64_t first, uint64_t from, uint64_t to)
{
    LogPage page{first, records.size(), {}};
    for (uint64_t n = std::max(first, from); n < to; ++n)
        page.records.push_back(records[n]);
    return page;
}

JobStore readFrom(const std::vector<LogRecord> &records, uint64_t first)
{
    JobStore store;
    store.applyPage(pageFrom(records, first, 0, records.size()), at(0));
    return store;
}

// A log with three writers. Each writer acts on a store that may lag behind the log. Its records
// may be appended late, twice or out of order, and it may restart from a later offset.
class RandomJobLog
{
public:
    std::vector<LogRecord> records;
    JobStore full; // has applied every record

    explicit RandomJobLog(const std::vector<uint32_t> &choices)
    {
        for (const uint32_t it : choices)
            step(it % 11, m_writers[it / 11 % 3], it / 33 % 3, it / 99);
    }

private:
    struct Writer
    {
        uint64_t incarnation;
        uint64_t seq = 0;
        JobStore store;
    };

    void append(const std::string &text)
    {
        records.push_back({records.size(), text});
        full.apply(records.back(), at(0));
    }

    void send(Writer &writer, const decltype(JobRecord::body) &body, bool late)
    {
        m_inFlight.push_back(formatJobRecord({{writer.incarnation, ++writer.seq}, body}));
        if (!late)
            append(m_inFlight.back());
    }

    void step(uint32_t kind, Writer &writer, uint32_t id, uint32_t choice)
    {
        const JobKey key{"team", "j" + std::to_string(id)};
        const Job *job = writer.store.find(key);
        const auto index = static_cast<int32_t>(choice / 2 % 3);
        const auto attempt = static_cast<int32_t>(choice / 6 % 3);
        const bool late = choice % 2 == 1;
        if (kind <= 1) {
            catchUp(writer);
        } else if (kind == 2) {
            if (!m_inFlight.empty())
                append(m_inFlight[choice % m_inFlight.size()]);
        } else if (kind == 3) {
            restart(writer, choice);
        } else if (job == nullptr && !writer.store.mayHaveUnfinishedJob(key)) {
            send(writer,
                 SubmittedRecord{spec(key.id, "p" + std::to_string(choice % 2)),
                                 writer.store.nextOffset()},
                 late);
        } else if (job != nullptr && !job->ended()) {
            sendForJob(writer, *job, kind, {index, attempt, late});
        }
    }

    struct Detail
    {
        int32_t index;
        int32_t attempt;
        bool late;
    };

    void sendForJob(Writer &writer, const Job &job, uint32_t kind, const Detail &detail)
    {
        const JobRef ref = job.ref();
        const auto [index, attempt, late] = detail;
        const std::string output = std::to_string(writer.incarnation);
        if (kind == 4)
            send(writer, CancelledRecord{ref}, late);
        else if (kind == 5 || kind == 6)
            send(writer, StartIntentRecord{ref, index, attempt}, late);
        else if (kind == 7)
            send(writer, finishedRecord(ref, index, attempt, output, attempt > 0), late);
        else if (kind == 8)
            send(writer, EndedRecord{ref, JobState::Succeeded, output}, late);
        else
            send(writer, *writer.store.makeRepublishedRecord(ref.key), late);
    }

    void catchUp(Writer &writer)
    {
        writer.store.applyPage(pageFrom(records, 0, writer.store.nextOffset(), records.size()),
                               at(0));
    }

    // Restarts a writer from a later offset, provided that every unfinished job was republished
    // after that offset. In production, the pool owners republish jobs in time.
    void restart(Writer &writer, uint32_t choice)
    {
        JobStore store = readFrom(records, choice % (records.size() + 1));
        if (store.unfinishedCount() == full.unfinishedCount()) {
            writer.store = std::move(store);
            writer.incarnation += 10;
        }
    }

    std::array<Writer, 3> m_writers = {Writer{1, 0, {}}, Writer{2, 0, {}}, Writer{3, 0, {}}};
    std::vector<std::string> m_inFlight;
};

// Guards against members that disagree about a job because one of them started reading later. Each
// job that such a reader holds must equal the job of a reader of the whole log, and it must hold
// every unfinished job for which it read a usable Republished record.
RC_GTEST_PROP(JobStoreProperty, ReadersFromAnyOffsetConverge,
              (const std::vector<uint32_t> &choices))
{
    const RandomJobLog log(choices);
    for (uint64_t first = 0; first <= log.records.size(); ++first) {
        const JobStore reader = readFrom(log.records, first);
        for (const std::string id : {"j0", "j1", "j2"}) {
            const Job *expected = log.full.find({"team", id});
            const Job *job = reader.find({"team", id});
            if (job != nullptr) {
                RC_ASSERT(expected != nullptr);
                RC_ASSERT(*job == *expected);
            }
            if (expected == nullptr || expected->ended())
                continue;
            for (uint64_t n = first; n < log.records.size(); ++n) {
                const auto record = parseJobRecord(log.records[n].data);
                const auto *copy = std::get_if<RepublishedRecord>(&record->body);
                const bool usable =
                    copy != nullptr && copy->folded >= first && copy->job.ref() == expected->ref();
                RC_ASSERT(job != nullptr || !usable);
            }
        }
        RC_ASSERT(first > 0 || reader.digest() == log.full.digest());
    }
}

// Guards against duplicates of records that take effect twice, and against a store whose state
// depends on anything but the records.
RC_GTEST_PROP(JobStoreProperty, DuplicateRecordsHaveNoEffect,
              (const std::vector<uint32_t> &choices))
{
    const RandomJobLog log(choices);
    JobStoreOptions options;
    options.maxOutcomes = *rc::gen::element<size_t>(1, 1'000); // record ids may be evicted
    JobStore store(options);
    store.applyPage(pageFrom(log.records, 0, 0, log.records.size()), at(0));
    RC_ASSERT(store.digest() == log.full.digest());
    for (const LogRecord &it : log.records)
        store.apply({store.nextOffset(), it.data}, at(0));
    RC_ASSERT(store.digest() == log.full.digest());
}

// A store and the log of its records.
class JobStoreTest : public testing::Test
{
protected:
    JobApplyOutcome add(const decltype(JobRecord::body) &body, int now = 0)
    {
        records.push_back({records.size(), formatJobRecord({{1, records.size() + 1}, body})});
        return store.apply(records.back(), at(now));
    }
    JobRef submit(const std::string &id, int now = 0)
    {
        add(SubmittedRecord{spec(id), store.nextOffset()}, now);
        return store.find({"team", id})->ref();
    }
    JobApplyOutcome end(const JobRef &ref) { return add(EndedRecord{ref, JobState::Failed, "x"}); }

    std::vector<LogRecord> records;
    JobStore store;
};

// Guards against a job that runs twice because it was submitted twice.
TEST_F(JobStoreTest, FirstSubmissionWins)
{
    EXPECT_EQ(add(SubmittedRecord{spec("j"), 0}).kind, Kind::Accepted);
    EXPECT_EQ(add(SubmittedRecord{spec("j"), 0}).kind, Kind::Existing);
    EXPECT_EQ(add(SubmittedRecord{spec("j", "other"), 0}).kind, Kind::Conflict);
    const JobRef ref = store.find({"team", "j"})->ref();
    EXPECT_EQ(ref.submitted, 0U);
    end(ref);
    EXPECT_EQ(add(SubmittedRecord{spec("j"), 3}).kind, Kind::Existing) << "concurrent with the end";
    EXPECT_EQ(add(SubmittedRecord{spec("j"), 4}).kind, Kind::Accepted)
        << "after the end was applied";
    EXPECT_EQ(store.find(ref.key)->submitted, 5U);
    EXPECT_EQ(add(CancelledRecord{ref}).kind, Kind::TooLate) << "about the earlier job";
    EXPECT_EQ(store.outcomeOf({1, 3})->kind, Kind::Conflict);
}

// Guards against two owners that both start a task that may not be repeated (invariant I8).
TEST_F(JobStoreTest, GrantsEachAttemptToOneRecord)
{
    const JobRef ref = submit("j");
    EXPECT_EQ(add(StartIntentRecord{ref, 0, 1}).kind, Kind::Accepted);
    EXPECT_EQ(add(StartIntentRecord{ref, 0, 1}).kind, Kind::TooLate);
    EXPECT_EQ(add(StartIntentRecord{ref, 0, 0}).kind, Kind::TooLate);
    EXPECT_EQ(add(StartIntentRecord{ref, 3, 1}).kind, Kind::Invalid);
    EXPECT_EQ(store.find(ref.key)->intents.at(0).grantedTo, (RecordId{1, 2}));
    add(finishedRecord(ref, 0, 1, "", true));
    EXPECT_EQ(add(StartIntentRecord{ref, 0, 2}).kind, Kind::TooLate) << "finished";
    add(CancelledRecord{ref});
    EXPECT_EQ(add(StartIntentRecord{ref, 1, 1}).kind, Kind::TooLate) << "cancelled";
}

// Guards against a late record that overwrites a result.
TEST_F(JobStoreTest, IgnoresRecordsAfterJobEnd)
{
    const JobRef ref = submit("j");
    EXPECT_EQ(store.find(ref.key)->state, JobState::Waiting);
    add(finishedRecord(ref, 0, 1, "first", true));
    EXPECT_EQ(add(finishedRecord(ref, 0, 2, "second", true)).kind, Kind::TooLate);
    EXPECT_EQ(store.find(ref.key)->finished.at(0).output, "first");
    EXPECT_EQ(store.find(ref.key)->state, JobState::Running);
    const auto copy = store.makeRepublishedRecord(ref.key);
    end(ref);
    const Job ended = *store.find(ref.key);
    add(finishedRecord(ref, 1, 1, "late", true));
    add(CancelledRecord{ref});
    add(EndedRecord{ref, JobState::Succeeded, "late"});
    add(*copy);
    EXPECT_EQ(*store.find(ref.key), ended);
    EXPECT_FALSE(store.makeRepublishedRecord(ref.key));
    EXPECT_TRUE(store.unfinished("pool").empty());
}

// Guards against memory that grows without bound with ended jobs or large outputs.
TEST_F(JobStoreTest, BoundsMemoryOfEndedJobs)
{
    JobStoreOptions options;
    options.maxEnded = 2;
    options.maxEndedBytes = 100;
    store = JobStore(options);
    const JobRef big = submit("big");
    const std::string output(MaxOutputBytes, 'x');
    JobSpec wide = spec("wide");
    wide.tasks = 100;
    add(SubmittedRecord{wide, store.nextOffset()});
    for (int32_t n = 0; n < 100; ++n)
        add(finishedRecord(store.find(wide.key)->ref(), n, 1, output, true));
    const Job *job = store.find(wide.key);
    EXPECT_EQ(std::count_if(job->finished.begin(), job->finished.end(),
                            [](const auto &it) { return it.second.outputCut; }),
              100 - MaxJobOutputBytes / MaxOutputBytes);
    end(job->ref());
    EXPECT_TRUE(store.find(wide.key)->finished.at(0).outputCut) << "output dropped, result kept";
    end(big);
    const JobRef last = submit("last");
    end(last);
    EXPECT_EQ(store.endedCount(), 2U);
    EXPECT_EQ(store.find(wide.key), nullptr);
    EXPECT_NE(store.find(big.key), nullptr);
}

// Guards against an unfinished job whose records expire before it is republished.
TEST_F(JobStoreTest, RepublishesOldJobsAndJobsOfUnknownAge)
{
    submit("before");
    store.applyPage({0, 1, {}}, at(0));
    ASSERT_TRUE(store.synced());
    const JobRef later = submit("later", 1'000);
    const auto due = [&](int now, size_t max) {
        return store.dueForRepublication("pool", at(now), Duration(10'000), max).size();
    };
    EXPECT_EQ(due(1'000, 9), 1U) << "age unknown";
    add(*store.makeRepublishedRecord({"team", "before"}), 2'000);
    EXPECT_EQ(due(6'000, 9), 0U);
    EXPECT_EQ(due(6'001, 9), 1U);
    EXPECT_EQ(due(7'001, 9), 2U);
    EXPECT_EQ(due(7'001, 1), 1U);
    end(later);
    EXPECT_EQ(due(7'001, 9), 1U);
}

// Guards against a member that keeps stale jobs after records have expired unread.
TEST_F(JobStoreTest, DropsStaleJobsWhenRecordsExpiredUnread)
{
    const JobRef a = submit("a");
    JobStore behind = readFrom(records, 0);
    EXPECT_TRUE(behind.synced());
    end(a);
    const JobRef b = submit("b");
    add(*store.makeRepublishedRecord(b.key));
    behind.applyPage(pageFrom(records, 2, 1, 3), at(0));
    EXPECT_FALSE(behind.synced());
    EXPECT_EQ(behind.find(a.key), nullptr);
    behind.applyPage(pageFrom(records, 2, 3, 4), at(0));
    EXPECT_TRUE(behind.synced());
    EXPECT_EQ(behind.digest(), store.digest());
}

// Guards against the loss of accepted jobs after a log outage longer than the retention, when no
// member has read the newest records.
TEST_F(JobStoreTest, MostCurrentMemberKeepsItsJobs)
{
    const JobRef a = submit("a");
    JobStore mostCurrent = readFrom(records, 0);
    submit("b");
    add(*store.makeRepublishedRecord(a.key));
    mostCurrent.applyPage(pageFrom(records, 2, 2, 3), at(0), true);
    ASSERT_NE(mostCurrent.find(a.key), nullptr);
    EXPECT_FALSE(mostCurrent.find(a.key)->ended());
    // The other members lack the kept jobs, so they must be due for republication at once.
    EXPECT_TRUE(mostCurrent.synced());
}

} // namespace
} // namespace cardamompaddle
