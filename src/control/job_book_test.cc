#include "control/job_book.h"

#include "control/old_jobs.h"
#include "control/testing_platform.h"
#include "work/codec.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

class JobBookTest : public ::testing::Test
{
protected:
    void put(const std::string &key, const std::string &value)
    {
        std::string id;
        const auto change = m_book.apply({key, value, value.empty(), m_offset++}, id);
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
    void putState(const std::string &id, work::JobState::type state)
    {
        work::Progress progress;
        progress.id = id;
        progress.state = state;
        put(work_key::progress(id), encodeRecord(progress));
    }

    JobBook m_book;
    int64_t m_offset = 0;
};

TEST_F(JobBookTest, CountsJobsOfWhichNoTaskHasStarted)
{
    putJob("a");
    putJob("b");
    putJob("c");
    EXPECT_EQ(m_book.waiting("r"), 3);
    putJob("a");
    EXPECT_EQ(m_book.waiting("r"), 3) << "the same id again is the same job";
    putState("a", work::JobState::Running);
    put(work_key::cancel("b"), "1");
    EXPECT_EQ(m_book.waiting("r"), 1);
    put(work_key::job("c"), "");
    EXPECT_EQ(m_book.waiting("r"), 0);
    EXPECT_EQ(m_book.waiting("other"), 0);
}

// Guards against a completed job that a late cancel turns into a cancelled one.
TEST_F(JobBookTest, ACancelAfterTheEndChangesNothing)
{
    putJob("a");
    putState("a", work::JobState::Completed);
    put(work_key::cancel("a"), "1");
    EXPECT_EQ(m_book.find("a")->state(), work::JobState::Completed);
}

TEST_F(JobBookTest, ACancelThatIsReadBeforeItsJobHolds)
{
    put(work_key::cancel("a"), "1");
    EXPECT_EQ(m_book.find("a"), nullptr);
    putJob("a");
    EXPECT_EQ(m_book.find("a")->state(), work::JobState::Cancelled);
    EXPECT_EQ(m_book.waiting("r"), 0);
}

TEST_F(JobBookTest, RecordsThatCannotBeReadChangeNothing)
{
    std::string id;
    for (const char *key : {"job/a", "progress/a", "tenure", "member/m", "worker/w", "odd", "x/y"})
        EXPECT_FALSE(m_book.apply({key, "\xff", false, 1}, id)) << key;
    EXPECT_EQ(m_book.find("a"), nullptr);
    EXPECT_EQ(m_book.tenure().epoch, 0);
}

// Guards against a log that fills up, and against jobs dropped while somebody may still ask.
TEST_F(JobBookTest, OldJobsAreDroppedOnceTheyHaveEnded)
{
    putJob("old", 1'000);
    putJob("running", 1'000);
    putJob("recent", 9'000);
    putState("old", work::JobState::Completed);
    putState("running", work::JobState::Running);
    putState("recent", work::JobState::Failed);
    boost::asio::io_context io;
    testing::LogModel model;
    testing::TestLog log(io, model);
    OldJobs oldJobs(log, m_book, "jobs", "work");
    oldJobs.drop(instantFromMs(100'000), 5'000);
    io.run_for(std::chrono::milliseconds(50));
    for (const char *topic : {"jobs", "work"}) {
        for (const KeyedRecord &record : model.topics[topic].records) {
            EXPECT_TRUE(record.removed);
            put(record.key, "");
        }
    }
    EXPECT_EQ(m_book.find("old"), nullptr);
    EXPECT_EQ(m_book.entries().size(), 2U);
    EXPECT_NE(m_book.find("running"), nullptr);
    EXPECT_NE(m_book.find("recent"), nullptr);
}

} // namespace
} // namespace cardamompaddle
