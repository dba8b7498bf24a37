// Past usage of client accounts across takeovers and in the log, in virtual time.
#include "control/instance_testing.h"
#include "control/virtual_time_testing.h"
#include "work/codec.h"

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace cardamompaddle {
namespace {

// Lets virtual time begin before the timers of InstanceTest are created.
struct VirtualTimeBegins
{
    testing::VirtualTime time;
};

// Instances whose fleet is one worker with room for four tasks, and one that drains.
class UsageInstanceTest : private VirtualTimeBegins, public InstanceTest
{
protected:
    static constexpr int32_t Places = 4;
    static constexpr double FullShare = 0.5; // of a job on all places: both workers are counted
    static constexpr Duration RecordInterval{5'000};

    UsageInstanceTest()
    {
        m_policies.fairShare = FairShareOptions{};
        m_model.put(RegistryTopic, "w2", "draining");
    }
    void begin()
    {
        for (const char *name : {"a", "b", "c"})
            addNode(name);
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    }
    // Submits a job of the account that fills the fleet. Its runs show no progress, so only
    // long-running ones are not taken to be stalled.
    bool submitJob(const std::string &account, const std::string &id, bool longRunning)
    {
        m_team = account;
        work::Submission job = makeJob(id, Places);
        job.steps[0].longRunning = longRunning;
        scheduler().instance->submitter().submit(
            job, false, m_clock.now() + Duration(2'500),
            [this, id](SubmitOutcome it, const std::string &) { m_outcomes[id] = it; });
        return runUntil(
            [&] { return m_outcomes.contains(id) && m_outcomes[id] == SubmitOutcome::Accepted; });
    }
    // Starts a job that fills the fleet until endJob().
    void startJob(const std::string &account)
    {
        ASSERT_TRUE(submitJob(account, account + "-first", true));
        ASSERT_TRUE(runUntil([this] { return m_workers.runningCount() == Places; }));
    }
    void endJob(const std::string &account)
    {
        ASSERT_TRUE(cancel(scheduler(), account + "-first", account));
        ASSERT_TRUE(runUntil([&] {
            return std::ranges::none_of(m_workers.workers["w1"].running, [&](const auto &run) {
                return run.task.step.job == account + "-first";
            });
        }));
    }
    std::vector<work::Usage> storedUsages()
    {
        std::vector<work::Usage> out;
        for (const KeyedRecord &record : m_model.topics[WorkTopic].records) {
            if (record.key == work_key::Usage)
                out.push_back(decodeRecord<work::Usage>(record.value).value());
        }
        return out;
    }
    // Returns the usage of the account in dominant share x seconds.
    static double usageOf(const work::Usage &usage, const std::string &account)
    {
        for (const work::AccountUsage &it : usage.accounts) {
            if (it.account == account)
                return static_cast<double>(it.shareSecondsMillionths) / 1e6;
        }
        return 0;
    }
    // Ends the scheduler without a planned stop.
    void takeOver()
    {
        lose(schedulerName());
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(8'000)));
    }
    // Lets a heavy and a light account wait while a third one fills the fleet, replaces the
    // scheduler, and frees the fleet. Returns the job that starts first.
    std::string firstAfterTakeover()
    {
        begin();
        startJob("heavy");
        runFor(Duration(8'000));
        endJob("heavy");
        startJob("other");
        runFor(Duration(1'000));
        for (const char *account : {"heavy", "light"})
            EXPECT_TRUE(submitJob(account, account, false));
        takeOver();
        runFor(Duration(3'000));
        EXPECT_EQ(m_workers.runningCount(), Places);
        endJob("other");
        EXPECT_TRUE(runUntil([this] { return m_workers.runningCount() == Places; }));
        const auto &running = m_workers.workers["w1"].running;
        std::string first = running.empty() ? "" : running.front().task.step.job;
        EXPECT_TRUE(std::ranges::all_of(
            running, [&first](const auto &run) { return run.task.step.job == first; }));
        return first;
    }
};

// Guards against a takeover that forgets who has used the fleet.
TEST_F(UsageInstanceTest, TheOrderSurvivesATakeover)
{
    EXPECT_EQ(firstAfterTakeover(), "light");
    EXPECT_FALSE(m_workers.ranTwice);
}

TEST_F(UsageInstanceTest, WithoutThePolicyTheOrderIsThatOfSubmission)
{
    m_policies = {};
    EXPECT_EQ(firstAfterTakeover(), "heavy");
    EXPECT_TRUE(storedUsages().empty());
    EXPECT_TRUE(scheduler().instance->relativeUses().empty());
}

// Guards against a takeover that counts usage twice, or loses more than what was used since the
// last record and until runs are adopted.
TEST_F(UsageInstanceTest, ATakeoverLosesOnlyAFewSecondsOfUsage)
{
    begin();
    startJob("heavy");
    runFor(Duration(20'000));
    takeOver();
    runFor(Duration(20'000));
    const std::vector<work::Usage> usages = storedUsages();
    ASSERT_GE(usages.size(), 6U);
    for (size_t i = 1; i < usages.size(); ++i) {
        const double added = usageOf(usages[i], "heavy") - usageOf(usages[i - 1], "heavy");
        EXPECT_GT(added, 4.5 * FullShare) << "record " << i;
        EXPECT_LT(added, 6 * FullShare) << "record " << i;
        EXPECT_GT(usages[i].heldMs, usages[i - 1].heldMs);
    }
}

// Guards against bytes and appends that are paid for: the record is rare, is written only while
// something is used, and causes no append of its own.
TEST_F(UsageInstanceTest, UsageIsStoredRarelyAndWithOtherRecords)
{
    begin();
    runFor(Duration(12'000));
    EXPECT_TRUE(storedUsages().empty()) << "nothing was used";
    startJob("heavy");
    const int before = m_model.appends;
    constexpr int64_t Seconds = 30;
    runFor(Duration(Seconds * 1'000));
    EXPECT_GE(storedUsages().size(), 5U);
    EXPECT_LE(storedUsages().size(), 7U);
    // A heartbeat every 150 ms.
    EXPECT_LE(m_model.appends - before, Seconds * 1'000 / 150 + 1);
    int64_t lastHeldMs = -RecordInterval.count();
    for (const work::Usage &usage : storedUsages()) {
        EXPECT_GE(usage.heldMs - lastHeldMs, RecordInterval.count() - 160);
        lastHeldMs = usage.heldMs;
    }
    const auto &records = m_model.topics[WorkTopic].records;
    for (size_t i = 0; i < records.size(); ++i) {
        if (records[i].key == work_key::Usage) {
            ASSERT_LT(i + 1, records.size());
            EXPECT_EQ(records[i + 1].key, work_key::Tenure) << "the heartbeat";
        }
    }
}

// Guards against usage that is lost for good while the log stores nothing.
TEST_F(UsageInstanceTest, UsageGoesOnWhileTheLogIsUnavailable)
{
    m_maxLease = Duration(10'000);
    Node &node = addNode("a");
    ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }));
    startJob("heavy");
    runFor(Duration(6'000));
    ASSERT_FALSE(storedUsages().empty());
    const size_t before = storedUsages().size();
    node.log->unresponsive = true;
    runFor(Duration(8'000));
    EXPECT_EQ(storedUsages().size(), before);
    node.log->unresponsive = false;
    ASSERT_TRUE(runUntil([&] { return storedUsages().size() >= before + 2; }, Duration(12'000)));
    EXPECT_GT(usageOf(storedUsages().back(), "heavy"), 17 * FullShare);
}

// Guards against a garbled record that keeps the scheduler from starting work.
TEST_F(UsageInstanceTest, AnUndecodableRecordIsIgnored)
{
    m_model.put(WorkTopic, work_key::Usage, "\xff");
    begin();
    startJob("heavy");
}

// Guards against settings that have effect only once all records of an earlier time are gone.
TEST_F(UsageInstanceTest, ARecordIsIgnoredWithoutThePolicy)
{
    m_policies = {};
    work::AccountUsage account;
    account.account = "heavy";
    account.shareSecondsMillionths = 1'000'000'000;
    work::Usage usage;
    usage.accounts = {account};
    m_model.put(WorkTopic, work_key::Usage, encodeRecord(usage));
    EXPECT_EQ(firstAfterTakeover(), "heavy");
    EXPECT_EQ(storedUsages().size(), 1U) << "only the earlier one";
}

} // namespace
} // namespace cardamompaddle
