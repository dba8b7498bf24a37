#include "control/instance_testing.h"

#include "work/codec.h"

namespace cardamompaddle {
namespace {

// Longer than ended jobs are kept.
constexpr int64_t LongTimeMs = 200'000;
// Less than that.
constexpr int64_t ShortTimeMs = 100'000;
// Enough for the garbage collector to run and its removals to be read.
constexpr Duration CollectionTime{4'500};

class JobRetentionTest : public InstanceTest
{
protected:
    void restartAll()
    {
        for (auto &[name, node] : m_nodes)
            node.instance.reset();
        addNode("a");
        addNode("b");
        EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    }
    bool isKnown(const std::string &id)
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&id](const auto &it) {
            return it.second.instance->jobTable().find(id) != nullptr;
        });
    }
    // Whether every part of the job has been removed from every job table.
    bool isForgotten(const std::string &id)
    {
        return std::none_of(m_nodes.begin(), m_nodes.end(), [&id](const auto &it) {
            return it.second.instance->jobTable().entries().contains(id);
        });
    }
};

// Guards against a job that is unknown to its caller after its end because it had been accepted
// long before, also after a hand-over or a restart of all instances.
TEST_F(JobRetentionTest, AJobThatTookLongIsKnownAfterItsEnd)
{
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    m_unixMs += LongTimeMs;
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    ASSERT_TRUE(reached(follower(), "job", work::JobState::Completed));
    m_unixMs += ShortTimeMs;
    runFor(CollectionTime);
    EXPECT_TRUE(isKnown("job"));
    restartAll();
    runFor(CollectionTime);
    EXPECT_TRUE(isKnown("job"));
    m_unixMs += ShortTimeMs;
    EXPECT_TRUE(runUntil([this] { return isForgotten("job"); }, CollectionTime));
}

// Guards against jobs that stay in the log for good: cancelled ones that never ran, and those of
// which an earlier version did not store when they ended.
TEST_F(JobRetentionTest, JobsWithoutAStoredEndAreForgottenToo)
{
    m_model.put(JobsTopic, work_key::cancel("cancelled"), "1");
    m_model.put(JobsTopic, work_key::job("cancelled"), encodeRecord(makeJob("cancelled")));
    m_model.put(JobsTopic, work_key::job("old"), encodeRecord(makeJob("old")));
    work::Progress progress;
    progress.id = "old";
    progress.state = work::JobState::Completed;
    m_model.put(WorkTopic, work_key::progress("old"), encodeRecord(progress));
    addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    m_model.put(JobsTopic, work_key::cancel("late"), "1");
    m_model.put(JobsTopic, work_key::job("late"), encodeRecord(makeJob("late")));
    const auto endIsStored = [this](const std::string &id) {
        const JobEntry *entry = scheduler().instance->jobTable().find(id);
        return entry != nullptr && entry->endedAtMs() == m_unixMs;
    };
    EXPECT_TRUE(runUntil(
        [&] { return endIsStored("cancelled") && endIsStored("old") && endIsStored("late"); }));
    EXPECT_EQ(m_workers.starts, 0);
    m_unixMs += LongTimeMs;
    EXPECT_TRUE(runUntil(
        [this] { return isForgotten("cancelled") && isForgotten("old") && isForgotten("late"); },
        CollectionTime));
}

} // namespace
} // namespace cardamompaddle
