#include "control/instance_testing.h"

#include "logging/event_log.h"
#include "work/codec.h"

namespace cardamompaddle {
namespace {

// Longer than ended jobs are kept by default.
constexpr int64_t LongTimeMs = 200'000;
// Enough for the garbage collector to run and its removals to be read.
constexpr Duration CollectionTime{4'500};
// Retention in the tests that wait for its end, and what instances add to it.
constexpr Duration ShortRetention{1'000};
constexpr Duration AddedRetention{10'000};

class JobRetentionTest : public InstanceTest
{
protected:
    void restartAll()
    {
        std::vector<std::string> names;
        for (auto &[name, node] : m_nodes) {
            node.instance.reset();
            names.push_back(name);
        }
        for (const std::string &name : names)
            addNode(name);
        EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    }
    // Ends the scheduler's instance and waits for its successor.
    void takeOver()
    {
        lose(schedulerName());
        EXPECT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    }
    // Whether the job is known at all instances that run.
    bool isKnown(const std::string &id)
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&id](const auto &it) {
            return !it.second.instance || it.second.instance->jobTable().find(id) != nullptr;
        });
    }
    // Whether every part of the job has been removed from the job tables of those instances.
    bool isForgotten(const std::string &id)
    {
        return std::none_of(m_nodes.begin(), m_nodes.end(), [&id](const auto &it) {
            return it.second.instance && it.second.instance->jobTable().entries().contains(id);
        });
    }
    void runToItsEnd(const std::string &id)
    {
        ASSERT_EQ(submit(scheduler(), id), SubmitOutcome::Accepted);
        ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
        m_workers.finishAllRuns(RunOutcome::Succeeded);
        ASSERT_TRUE(reached(follower(), id, work::JobState::Completed));
    }
    void setOffsets(const std::vector<std::string> &names, int64_t ms)
    {
        for (const std::string &name : names)
            m_unixOffsetsMs[name] = ms;
    }
};

// Guards against a job that is unknown to its caller after its end because it had been accepted
// long before, also after a hand-over or a restart of all instances, and against a job that is
// never removed or leaves no line in the log of events.
TEST_F(JobRetentionTest, AJobThatTookLongIsKnownAfterItsEnd)
{
    m_terminalRetention = ShortRetention;
    int forgotten = 0;
    setEventObserver([&](std::string_view it) { forgotten += it == "job_forgotten" ? 1 : 0; });
    addNode("a");
    addNode("b");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    ASSERT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == 1; }));
    runFor(ShortRetention + AddedRetention + CollectionTime);
    m_unixMs += LongTimeMs; // jobs are accepted at the former value
    m_workers.finishAllRuns(RunOutcome::Succeeded);
    ASSERT_TRUE(reached(follower(), "job", work::JobState::Completed));
    const Instant endedAt = m_clock.now();
    runFor(Duration(2'500)); // the collector runs
    EXPECT_TRUE(isKnown("job"));
    restartAll();
    runUntil([&] { return !isKnown("job"); }, ShortRetention + AddedRetention);
    EXPECT_GE(m_clock.now() - endedAt, ShortRetention + AddedRetention - Duration(2'000));
    EXPECT_TRUE(
        runUntil([this] { return isForgotten("job"); }, AddedRetention + 2 * CollectionTime));
    setEventObserver(nullptr);
    EXPECT_EQ(forgotten, 1);
}

// Guards against jobs that stay in the log for good: cancelled ones that never ran, and those of
// which an earlier version did not store when they ended.
TEST_F(JobRetentionTest, JobsWithoutAStoredEndAreForgottenToo)
{
    m_terminalRetention = ShortRetention;
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
        return entry != nullptr && entry->endedAtHeldMs() > 0;
    };
    EXPECT_TRUE(runUntil(
        [&] { return endIsStored("cancelled") && endIsStored("old") && endIsStored("late"); }));
    EXPECT_EQ(m_workers.starts, 0);
    EXPECT_TRUE(runUntil(
        [this] { return isForgotten("cancelled") && isForgotten("old") && isForgotten("late"); },
        ShortRetention + AddedRetention + 2 * CollectionTime));
}

// Guards against an ended job that is unknown before its retention has passed, and is run again
// when its caller repeats it, because the scheduler's time of day jumps ahead.
TEST_F(JobRetentionTest, AJumpOfTheTimeOfDayRemovesNoJob)
{
    for (const char *name : {"a", "b"})
        addNode(name);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    runToItsEnd("job");
    for (const int64_t offset : {LongTimeMs, -LongTimeMs, int64_t{0}}) {
        setOffsets({schedulerName()}, offset);
        runFor(CollectionTime);
        EXPECT_TRUE(isKnown("job")) << offset;
    }
    EXPECT_EQ(submit(follower(), "job"), SubmitOutcome::Accepted);
    runFor(Duration(1'000));
    EXPECT_EQ(m_workers.starts, 1);
}

// Guards against the same at a takeover: the time of day of the next scheduler is ahead of that of
// the one under which the job ended.
TEST_F(JobRetentionTest, ATakeoverWithAnotherTimeOfDayRemovesNoJob)
{
    const std::vector<std::string> names = {"a", "b", "c"};
    for (const std::string &name : names)
        addNode(name);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    setOffsets({schedulerName()}, -LongTimeMs);
    runToItsEnd("job");
    takeOver();
    runFor(CollectionTime);
    EXPECT_TRUE(isKnown("job"));
    setOffsets({schedulerName()}, LongTimeMs);
    runToItsEnd("second");
    takeOver();
    runFor(CollectionTime);
    EXPECT_TRUE(isKnown("job"));
    EXPECT_TRUE(isKnown("second"));
    EXPECT_EQ(submit(scheduler(), "job"), SubmitOutcome::Accepted);
    runFor(Duration(1'000));
    EXPECT_EQ(m_workers.starts, 2) << "one of each job";
}

// Guards against jobs that are kept for too long because they ended under a scheduler whose time of
// day was ahead of that of its successor.
TEST_F(JobRetentionTest, AJobIsForgottenWhenTheTimeOfDayGoesBack)
{
    m_terminalRetention = ShortRetention;
    for (const char *name : {"a", "b", "c"})
        addNode(name);
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    setOffsets({schedulerName()}, LongTimeMs);
    runToItsEnd("job");
    takeOver();
    EXPECT_TRUE(isKnown("job"));
    EXPECT_TRUE(runUntil([this] { return isForgotten("job"); },
                         ShortRetention + AddedRetention + 2 * CollectionTime));
}

} // namespace
} // namespace cardamompaddle
