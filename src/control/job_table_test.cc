#include "control/job_table.h"

#include "control/job_garbage_collector.h"
#include "control/testing_platform.h"
#include "work/codec.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

class JobTableTest : public ::testing::Test
{
protected:
    void put(const std::string &key, const std::string &value)
    {
        std::string id;
        const auto change = m_jobTable.apply({key, value, value.empty(), m_offset++}, id);
        EXPECT_TRUE(change) << change.error().reason;
    }
    void putJob(const std::string &id, int64_t acceptedAtMs = 1'000)
    {
        work::Submission job;
        job.id = id;
        job.route = "r";
        job.acceptedAtMs = acceptedAtMs;
        put(work_key::job(id), encodeRecord(job));
    }
    void putState(const std::string &id, work::JobState::type state, int64_t endedAtHeldMs = 0)
    {
        work::Progress progress;
        progress.id = id;
        progress.state = state;
        progress.endedAtHeldMs = endedAtHeldMs;
        put(work_key::progress(id), encodeRecord(progress));
    }

    JobTable m_jobTable;
    int64_t m_offset = 0;
};

TEST_F(JobTableTest, CountsJobsWithoutStartedTasks)
{
    putJob("a");
    putJob("b");
    putJob("c");
    EXPECT_EQ(m_jobTable.waitingCount("r"), 3);
    putJob("a");
    EXPECT_EQ(m_jobTable.waitingCount("r"), 3) << "the same id again is the same job";
    putState("a", work::JobState::Running);
    put(work_key::cancel("b"), "1");
    EXPECT_EQ(m_jobTable.waitingCount("r"), 1);
    put(work_key::job("c"), "");
    EXPECT_EQ(m_jobTable.waitingCount("r"), 0);
    EXPECT_EQ(m_jobTable.waitingCount("other"), 0);
}

// Guards against a late cancellation that changes a completed job to cancelled.
TEST_F(JobTableTest, ACancelAfterTheEndHasNoEffect)
{
    putJob("a");
    putState("a", work::JobState::Completed);
    put(work_key::cancel("a"), "1");
    EXPECT_EQ(m_jobTable.find("a")->state(), work::JobState::Completed);
}

TEST_F(JobTableTest, ACancelReadBeforeItsJobTakesEffect)
{
    put(work_key::cancel("a"), "1");
    EXPECT_EQ(m_jobTable.find("a"), nullptr);
    putJob("a");
    EXPECT_EQ(m_jobTable.find("a")->state(), work::JobState::Cancelled);
    EXPECT_EQ(m_jobTable.waitingCount("r"), 0);
}

// Guards against a cancellation in advance that acts on the job of another account, that a later
// record of the same id takes back, or that is counted for good.
TEST_F(JobTableTest, ACancellationInAdvanceActsForItsAccountsOnly)
{
    const auto putAdvance = [this](const std::string &id, std::vector<std::string> teams) {
        work::AdvanceCancellation record;
        record.teams = std::move(teams);
        put(work_key::cancel(id), encodeRecord(record));
    };
    putAdvance("a", {"t"});
    putAdvance("a", {"u"});
    EXPECT_EQ(m_jobTable.advanceCancellation("a")->teams, (std::set<std::string>{"t", "u"}));
    putAdvance("b", {""});
    EXPECT_EQ(m_jobTable.advanceCancellationCount("t"), 1);
    EXPECT_EQ(m_jobTable.advanceCancellationCount(""), 1);
    putJob("a"); // of team ""
    EXPECT_EQ(m_jobTable.find("a")->state(), work::JobState::Queued);
    EXPECT_EQ(m_jobTable.waitingCount("r"), 1);
    EXPECT_EQ(m_jobTable.advanceCancellation("a"), nullptr) << "the job is known";
    putJob("b");
    EXPECT_EQ(m_jobTable.find("b")->state(), work::JobState::Cancelled);
    EXPECT_EQ(m_jobTable.idleCancellations(), std::set<std::string>{"a"});
    put(work_key::cancel("a"), "1");
    EXPECT_EQ(m_jobTable.find("a")->state(), work::JobState::Cancelled);
    EXPECT_TRUE(m_jobTable.idleCancellations().empty());
    for (const char *id : {"a", "b"}) {
        put(work_key::cancel(id), "");
        put(work_key::job(id), "");
    }
    EXPECT_EQ(m_jobTable.advanceCancellationCount("t"), 0);
    EXPECT_TRUE(m_jobTable.entries().empty());
}

TEST_F(JobTableTest, UndecodableRecordsChangeNothing)
{
    std::string id;
    for (const char *key :
         {"job/a", "progress/a", "tenure", "member/m", "worker/w", "usage", "odd", "x/y"})
        EXPECT_FALSE(m_jobTable.apply({key, "\xff", false, 1}, id)) << key;
    EXPECT_EQ(m_jobTable.find("a"), nullptr);
    EXPECT_EQ(m_jobTable.tenure().epoch, 0);
}

// Guards against an update during which the instances of the earlier version fail: to them, the
// record of usage has an unknown key.
TEST_F(JobTableTest, AnUnknownKeyWithoutAnIdChangesNothing)
{
    std::string id;
    EXPECT_FALSE(m_jobTable.apply({"unknown", encodeRecord(work::Usage()), false, 1}, id));
    EXPECT_TRUE(m_jobTable.entries().empty());
    EXPECT_TRUE(id.empty());
}

TEST_F(JobTableTest, TheNewestUsageIsKept)
{
    for (const int64_t heldMs : {5, 10}) {
        work::Usage usage;
        usage.heldMs = heldMs;
        put(work_key::Usage, encodeRecord(usage));
        EXPECT_EQ(m_jobTable.usage().heldMs, heldMs);
    }
    std::string id;
    EXPECT_FALSE(m_jobTable.apply({work_key::Usage, "\xff", false, m_offset}, id));
    EXPECT_EQ(m_jobTable.usage().heldMs, 10);
    put(work_key::Usage, "");
    EXPECT_EQ(m_jobTable.usage(), work::Usage());
    EXPECT_TRUE(work_key::isOfScheduler(work_key::Usage));
}

// Guards against a record that ends every instance that reads it, although it can be decoded.
TEST_F(JobTableTest, RecordsBeyondTheLimitsChangeNothing)
{
    const auto isApplied = [this](const std::string &key, const std::string &value) {
        std::string id;
        return m_jobTable.apply({key, value, false, m_offset++}, id).ok();
    };
    const auto jobWith = [](int32_t tasks, int32_t repetitions, int64_t intervalMs) {
        work::Submission job;
        job.id = "a";
        job.steps.resize(1);
        job.steps[0].tasks = tasks;
        job.repetitions = repetitions;
        job.intervalMs = intervalMs;
        return encodeRecord(job);
    };
    EXPECT_FALSE(isApplied("job/a", jobWith(-1, 0, 0)));
    EXPECT_FALSE(isApplied("job/a", jobWith(INT32_MAX, 0, 0)));
    EXPECT_FALSE(isApplied("job/a", jobWith(1, INT32_MAX, 0)));
    EXPECT_FALSE(isApplied("job/a", jobWith(1, 2, INT64_MAX)));
    EXPECT_FALSE(isApplied("job/b", jobWith(1, 0, 0))) << "the id is not that of the key";
    EXPECT_EQ(m_jobTable.find("a"), nullptr);
    EXPECT_EQ(m_jobTable.find("b"), nullptr);
    EXPECT_TRUE(isApplied("job/a", jobWith(1, 0, 0)));
    work::Progress progress;
    for (const int state : {-1, 5, 99}) {
        progress.state = static_cast<work::JobState::type>(state);
        EXPECT_FALSE(isApplied("progress/a", encodeRecord(progress))) << state;
    }
    EXPECT_EQ(m_jobTable.find("a")->state(), work::JobState::Queued);
}

class ProgressPartsTest : public JobTableTest
{
protected:
    void putPart(const std::string &id, int32_t part, int32_t succeeded)
    {
        work::Progress progress;
        progress.id = id;
        progress.part = part;
        progress.steps.resize(1);
        progress.steps[0].succeeded = {succeeded};
        put(work_key::progress(id, part), encodeRecord(progress));
    }
};

// Guards against parts of a job's progress that replace or remove each other.
TEST_F(ProgressPartsTest, EachPartIsKeptByItself)
{
    putJob("a");
    putPart("a", 2, 600);
    putPart("a", 0, 1);
    putPart("a", 1, 300);
    auto parts = m_jobTable.find("a")->progressParts();
    ASSERT_EQ(parts.size(), 3U);
    for (size_t i = 0; i < parts.size(); ++i)
        EXPECT_EQ(parts[i]->part, static_cast<int32_t>(i));
    put(work_key::progress("a", 1), "");
    parts = m_jobTable.find("a")->progressParts();
    ASSERT_EQ(parts.size(), 2U);
    EXPECT_EQ(parts[1]->part, 2);
    put(work_key::job("a"), "");
    put(work_key::progress("a"), "");
    EXPECT_EQ(m_jobTable.entries().size(), 1U);
    put(work_key::progress("a", 2), "");
    EXPECT_TRUE(m_jobTable.entries().empty());
}

// Guards against a job whose id looks like a part of another one's key.
TEST_F(ProgressPartsTest, KeysOfPartsBelongToOneJobOnly)
{
    putPart("1/a", 0, 1);
    putPart("a", 1, 300);
    EXPECT_EQ(m_jobTable.entries().size(), 2U);
    EXPECT_EQ(work_key::jobOfProgress(work_key::progress("1/a")), "1/a");
    EXPECT_EQ(work_key::jobOfProgress(work_key::progress("1/a", 7)), "1/a");
    EXPECT_EQ(work_key::jobOfProgress(work_key::progress("a", 1)), "a");
    for (const std::string &key : {work_key::job("a"), std::string(work_key::Tenure)})
        EXPECT_FALSE(work_key::jobOfProgress(key)) << key;
}

TEST_F(ProgressPartsTest, PartsWithAnInvalidNumberChangeNothing)
{
    work::Progress progress;
    progress.id = "a";
    const std::string value = encodeRecord(progress);
    for (const char *key : {"part/0/a", "part/-1/a", "part/x/a", "part/1x/a", "part//a", "part/1",
                            "part/99999/a", "part/1/a"}) {
        std::string id;
        EXPECT_FALSE(m_jobTable.apply({key, value, false, m_offset++}, id)) << key;
    }
    EXPECT_EQ(m_jobTable.find("a"), nullptr);
}

class JobGarbageCollectorTest : public JobTableTest
{
protected:
    static constexpr Duration Retention{60'000};

    // Lets the collector run once and applies what it has stored to the job table.
    void collectEndedBefore(int64_t unixMs)
    {
        boost::asio::io_context io;
        testing::LogModel model;
        testing::TestLog log(io, model);
        log.refusedTopic = m_refusedTopic;
        JobGarbageCollector garbageCollector(log, m_jobTable, "jobs", "work");
        garbageCollector.collect(instantFromMs(100'000), unixMs + Retention.count(), Retention);
        io.run_for(std::chrono::milliseconds(50));
        for (const char *topic : {"jobs", "work"}) {
            for (const KeyedRecord &record : model.topics[topic].records) {
                EXPECT_TRUE(record.removed);
                put(record.key, "");
            }
        }
    }

    std::string m_refusedTopic;
};

// Guards against a log that grows without bound, and against the removal of jobs that are not
// terminal or that callers may still query.
TEST_F(JobGarbageCollectorTest, RemovesOnlyJobsThatEndedLongAgo)
{
    putJob("old");
    putJob("running");
    putJob("recent");
    putState("old", work::JobState::Completed, 4'999);
    putState("running", work::JobState::Running);
    putState("recent", work::JobState::Failed, 9'000);
    collectEndedBefore(5'000);
    EXPECT_EQ(m_jobTable.find("old"), nullptr);
    EXPECT_EQ(m_jobTable.entries().size(), 2U);
    EXPECT_NE(m_jobTable.find("running"), nullptr);
    EXPECT_NE(m_jobTable.find("recent"), nullptr);
}

// Guards against a job that is unknown as soon as it ends, because it took longer than ended jobs
// are kept.
TEST_F(JobGarbageCollectorTest, TheRetentionOfAJobBeginsAtItsEnd)
{
    putJob("long", 1'000);
    putState("long", work::JobState::Completed, 9'000);
    collectEndedBefore(8'999);
    EXPECT_NE(m_jobTable.find("long"), nullptr);
    collectEndedBefore(9'001);
    EXPECT_EQ(m_jobTable.find("long"), nullptr);
}

// Guards against parts of the progress of a large job that stay in the log for good.
TEST_F(JobGarbageCollectorTest, RemovesAllPartsOfTheProgress)
{
    putJob("large");
    putState("large", work::JobState::Completed, 1'000);
    work::Progress progress;
    progress.id = "large";
    progress.part = 7;
    put(work_key::progress("large", 7), encodeRecord(progress));
    collectEndedBefore(5'000);
    EXPECT_TRUE(m_jobTable.entries().empty());
}

// Guards against records that stay in the log for good because only the first of the two appends
// that remove a job was stored.
TEST_F(JobGarbageCollectorTest, RemovesWhatAnUnfinishedRemovalHasLeft)
{
    putJob("old");
    putState("old", work::JobState::Completed, 1'000);
    m_refusedTopic = "work";
    collectEndedBefore(5'000);
    EXPECT_EQ(m_jobTable.find("old"), nullptr);
    EXPECT_EQ(m_jobTable.entries().size(), 1U);
    m_refusedTopic.clear();
    collectEndedBefore(5'000);
    EXPECT_TRUE(m_jobTable.entries().empty());
}

// Guards against the removal of jobs that have not ended or not been ended for long, and against
// jobs that stay for good once their submission has been removed.
TEST_F(JobTableTest, ListsTheJobsThatEndedBeforeAHeldTime)
{
    putJob("open");
    putJob("running");
    putState("running", work::JobState::Running);
    putJob("early");
    putState("early", work::JobState::Completed, 1);
    putJob("late");
    putState("late", work::JobState::Failed, 500);
    putState("left", work::JobState::Cancelled, 499); // its submission has been removed
    EXPECT_TRUE(m_jobTable.endedBefore(1, 10).empty());
    EXPECT_THAT(m_jobTable.endedBefore(500, 10), ::testing::UnorderedElementsAre("early", "left"));
    EXPECT_THAT(m_jobTable.endedBefore(501, 10),
                ::testing::UnorderedElementsAre("early", "late", "left"));
    EXPECT_EQ(m_jobTable.endedBefore(501, 2).size(), 2U);
}

// Guards against a refused job that runs after a load, which finds the records of a key in another
// order than they were stored in.
TEST_F(JobTableTest, ARefusalHidesTheJobInWhateverOrderTheyAreRead)
{
    put(work_key::admission("a"), "refused");
    EXPECT_THAT(m_jobTable.idleRefusals(), ::testing::ElementsAre("a"));
    putJob("a");
    putJob("b");
    put(work_key::admission("b"), "refused");
    for (const char *id : {"a", "b"})
        EXPECT_EQ(m_jobTable.find(id), nullptr) << id;
    EXPECT_EQ(m_jobTable.waitingCount("r"), 0);
    EXPECT_TRUE(m_jobTable.idleRefusals().empty()) << "they hide a job";
    put(work_key::admission("a"), "lifted");
    EXPECT_NE(m_jobTable.find("a"), nullptr);
    EXPECT_EQ(m_jobTable.waitingCount("r"), 1);
    put(work_key::admission("a"), "refused"); // read late
    EXPECT_NE(m_jobTable.find("a"), nullptr);
}

// Guards against a load that finds a submission before the refusal which hides it.
TEST_F(JobTableTest, TheKeyOfARefusalSortsBeforeThatOfTheJob)
{
    EXPECT_LT(work_key::admission("z"), work_key::job("a"));
}

} // namespace
} // namespace cardamompaddle
