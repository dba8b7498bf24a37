#include "control/instance_testing.h"

namespace cardamompaddle {
namespace {

// Their progress in one record would be longer than SmallRecordBytes.
constexpr int32_t ManyTasks = 600;
constexpr size_t SmallRecordBytes = 2'000;

class LargeJobTest : public InstanceTest
{
protected:
    LargeJobTest() { m_cpuMilli = 1; }

    void limitRecords(size_t bytes)
    {
        m_model.limits.maxRecordBytes = bytes;
        m_logLimits.maxRecordBytes = bytes;
    }
    bool runsOneMore(const std::string &id)
    {
        const int before = m_workers.starts;
        return submit(scheduler(), id) == SubmitOutcome::Accepted
               && runUntil([&] { return m_workers.starts == before + 1; });
    }
};

// Guards against a scheduler that can store nothing any more, for any job, once the progress of one
// job is longer than a record of the log, also after a restart of all instances.
TEST_F(LargeJobTest, ItsProgressHoldsUpNobody)
{
    limitRecords(SmallRecordBytes);
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "large", ManyTasks), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.starts == ManyTasks; }));
    EXPECT_TRUE(runsOneMore("other"));
    m_nodes["a"].instance.reset();
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_TRUE(runsOneMore("third"));
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    for (const char *id : {"large", "other", "third"})
        EXPECT_TRUE(reached(scheduler(), id, work::JobState::Completed)) << id;
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a flush that is rejected for good because all its records together are more than
// the log takes in one append.
TEST_F(LargeJobTest, ManyChangesAtOnceAreStoredInSeveralAppends)
{
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    m_nodes["a"].instance.reset();
    m_model.limits.maxAppendBytes = m_logLimits.maxAppendBytes = SmallRecordBytes;
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "large", ManyTasks), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.starts == ManyTasks; }));
    EXPECT_TRUE(runsOneMore("other"));
}

// Guards against a job that holds up all others because the log rejects its progress for a reason
// that is not known in advance.
TEST_F(LargeJobTest, AJobWhoseProgressIsRejectedFailsAlone)
{
    m_model.limits.maxRecordBytes = SmallRecordBytes / 4;
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "large", ManyTasks), SubmitOutcome::Accepted);
    EXPECT_TRUE(reached(scheduler(), "large", work::JobState::Failed));
    EXPECT_TRUE(runsOneMore("other"));
    EXPECT_FALSE(m_workers.ranTwice);
}

// Guards against a job that can never be stored and that callers are told to submit again.
TEST_F(LargeJobTest, AJobThatTheLogDoesNotTakeIsInvalid)
{
    m_logLimits.maxRecordBytes = 10;
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    EXPECT_EQ(submit(scheduler(), "large"), SubmitOutcome::Invalid);
    m_nodes["a"].instance.reset();
    m_logLimits = {};
    m_model.rejectedKey = work_key::job("large");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    startSubmission(scheduler(), "other");
    EXPECT_EQ(submit(scheduler(), "large"), SubmitOutcome::Invalid);
    EXPECT_TRUE(runUntil([this] { return m_outcomes["other"] == SubmitOutcome::Accepted; }))
        << "it was in the same append";
}

} // namespace
} // namespace cardamompaddle
