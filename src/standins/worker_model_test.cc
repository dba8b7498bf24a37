// Tests the worker contract of docs/design.md, section 2.5, on which the scheduler's tests rely.
#include "standins/worker_model.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

constexpr Duration Ttl{3'000};

Instant at(Duration::rep ms)
{
    return instantFromMs(100'000 + ms);
}

class WorkerModelTest : public testing::Test
{
protected:
    WorkerCommand command(const SessionGrant &grant, Instant stamp, const std::string &holder = "a")
    {
        WorkerCommand out;
        out.holder = holder;
        out.epoch = grant.epoch;
        out.stamp = static_cast<uint64_t>(toMs(stamp));
        return out;
    }
    static StartTask task(const std::string &job, const std::string &payload, int32_t attempt = 1)
    {
        return {{{"t", job}, 0}, attempt, {1000, 100, 0, 1, 1}, payload, Duration(20'000)};
    }
    // Acquires a session and starts one task, both at `now`.
    SessionGrant startOne(const std::string &payload, Instant now,
                          Duration lease = Duration(20'000))
    {
        const auto grant = m_model.acquire({"a", Ttl}, now);
        WorkerCommand start = command(*grant, now);
        start.starts = {task("j", payload)};
        start.starts[0].lease = lease;
        const auto report = m_model.command(start, now);
        EXPECT_TRUE(report.ok());
        EXPECT_EQ(report->running.size(), 1U);
        return *grant;
    }
    // The error with which the batch is rejected; Internal if it is accepted.
    ErrorCode codeOf(const WorkerCommand &batch, Instant now)
    {
        const auto report = m_model.command(batch, now);
        return report ? ErrorCode::Internal : report.error().code;
    }

    WorkerModel m_model{{{4000, 1000, 0, 4, 4}, Duration(500), 100}};
    const TaskAttempt m_first{{{"t", "j"}, 0}, 1};
};

// Guards against two holders of one worker's session at the same time.
TEST_F(WorkerModelTest, SessionIsExclusiveUntilItLapses)
{
    const auto first = m_model.acquire({"a", Ttl}, at(0));
    EXPECT_EQ(m_model.acquire({"b", Ttl}, at(2'999)).error().code, ErrorCode::Conflict);
    const auto second = m_model.acquire({"b", Ttl}, at(3'000));
    ASSERT_TRUE(second.ok());
    EXPECT_GT(second->epoch, first->epoch);
    EXPECT_EQ(codeOf(command(*first, at(2'999)), at(3'001)), ErrorCode::PermissionDenied);
    EXPECT_EQ(codeOf(command(*second, at(3'000), "b"), at(3'001)), ErrorCode::Internal);
}

// Guards against a holder that cannot acquire again after the response to its acquire was lost, and
// against commands that are accepted in its previous epoch.
TEST_F(WorkerModelTest, SameHolderMayAcquireAgain)
{
    const auto first = m_model.acquire({"a", Ttl}, at(0));
    const auto second = m_model.acquire({"a", Ttl}, at(10));
    ASSERT_TRUE(second.ok());
    EXPECT_EQ(codeOf(command(*first, at(0)), at(20)), ErrorCode::PermissionDenied);
}

// Guards against commands that were written before a pause and take effect after it, and against
// renewals that are counted from their arrival instead of their stamp.
TEST_F(WorkerModelTest, StampsDateCommands)
{
    const auto grant = m_model.acquire({"a", Ttl}, at(0));
    WorkerCommand renewal = command(*grant, at(1'000));
    renewal.renew = true;
    ASSERT_TRUE(m_model.command(renewal, at(2'900)).ok());
    EXPECT_EQ(codeOf(command(*grant, at(3'900)), at(3'999)), ErrorCode::Internal);
    EXPECT_EQ(codeOf(command(*grant, at(3'900)), at(4'000)), ErrorCode::PermissionDenied);

    const auto again = m_model.acquire({"a", Ttl}, at(5'000));
    WorkerCommand newer = command(*again, at(7'000));
    newer.renew = true;
    ASSERT_TRUE(m_model.command(newer, at(7'000)).ok());
    EXPECT_EQ(codeOf(command(*again, at(5'000)), at(8'000)), ErrorCode::PermissionDenied);
    EXPECT_EQ(codeOf(command(*again, at(5'001)), at(8'000)), ErrorCode::Internal);
    EXPECT_EQ(codeOf(command(*again, at(8'001)), at(8'000)), ErrorCode::PermissionDenied);
}

// Guards against tasks that run past their lease, and against tasks that are ended although their
// lease was renewed.
TEST_F(WorkerModelTest, LeasesCountFromTheCommandsStamp)
{
    const auto grant = startOne(R"({"run_ms":60000})", at(0), Duration(4'000));
    WorkerCommand renewal = command(grant, at(1'000));
    renewal.renew = true;
    ASSERT_TRUE(m_model.command(renewal, at(2'500)).ok());
    EXPECT_EQ(m_model.nextEvent(), at(5'000));
    EXPECT_EQ(m_model.report(at(4'999)).running.size(), 1U);
    const WorkerReport report = m_model.report(at(6'000));
    EXPECT_TRUE(report.running.empty());
    EXPECT_EQ(report.finished.at(0).outcome, TaskOutcome::LeaseLapsed);
    EXPECT_EQ(m_model.history().at(0).ended, at(5'000));
}

// Guards against running a start whose stamp is so old that its lease has already expired.
TEST_F(WorkerModelTest, RefusesStartsWithAnExpiredLease)
{
    const auto grant = m_model.acquire({"a", Ttl}, at(0));
    WorkerCommand start = command(*grant, at(0));
    start.starts = {task("j", "x")};
    start.starts[0].lease = Duration(1'000);
    EXPECT_EQ(m_model.command(start, at(1'000))->rejectedStarts.size(), 1U);
    EXPECT_TRUE(m_model.history().empty());
}

// Guards against an attempt that runs twice because its start was repeated (invariants I2 and I8).
TEST_F(WorkerModelTest, AttemptRunsAtMostOnce)
{
    const auto grant = startOne("echo", at(0));
    WorkerCommand repeat = command(grant, at(0));
    repeat.starts = {task("j", "echo")};
    EXPECT_EQ(m_model.command(repeat, at(0))->running.size(), 1U);
    const auto done = m_model.command(repeat, at(100));
    EXPECT_EQ(done->finished.at(0).output, "echo");
    WorkerCommand acknowledge = command(grant, at(100));
    acknowledge.acknowledged = {m_first};
    EXPECT_TRUE(m_model.command(acknowledge, at(110))->finished.empty());
    const auto late = m_model.command(repeat, at(120));
    EXPECT_TRUE(late->running.empty() && late->rejectedStarts.empty() && late->finished.empty());
    EXPECT_EQ(m_model.history().size(), 1U);
}

// Guards against two attempts of one task that run concurrently (I2).
TEST_F(WorkerModelTest, RefusesAnotherAttemptOfARunningTask)
{
    const auto grant = startOne(R"({"service":true})", at(0));
    WorkerCommand second = command(grant, at(0));
    second.starts = {task("j", "x", 2)};
    EXPECT_EQ(m_model.command(second, at(1))->rejectedStarts.size(), 1U);
}

// Guards against a refused attempt that runs after all when a delayed copy of its start arrives
// (I7).
TEST_F(WorkerModelTest, RefusedAttemptsNeverRun)
{
    const auto grant = startOne(R"({"service":true})", at(0));
    WorkerCommand large = command(grant, at(0));
    large.starts = {task("big", "x")};
    large.starts[0].declared.slots = 4;
    EXPECT_EQ(m_model.command(large, at(1))->rejectedStarts.size(), 1U);
    EXPECT_EQ(m_model.capacityRefusals(), 1U);
    WorkerCommand stop = command(grant, at(1));
    stop.stops = {m_first, {{{"t", "overtaken"}, 0}, 1}};
    EXPECT_TRUE(m_model.command(stop, at(2))->running.empty());
    large.starts.push_back(task("overtaken", "x"));
    EXPECT_EQ(m_model.command(large, at(3))->rejectedStarts.size(), 2U);
    EXPECT_EQ(m_model.history().size(), 1U);
}

// Guards against a stand-in that accepts more tasks than its capacity, so that tests miss a
// scheduler that overcommits (I1). Processors count by actual usage once a report can contain it.
TEST_F(WorkerModelTest, ChecksCapacity)
{
    const auto grant = startOne(R"({"service":true,"cpu_milli":100})", at(0));
    WorkerCommand more = command(grant, at(0));
    more.starts = {task("k", R"({"service":true,"cpu_milli":100})")};
    more.starts[0].declared.cpuMilli = 3001;
    EXPECT_EQ(m_model.command(more, at(499))->rejectedStarts.size(), 1U);
    more.starts[0].attempt = 2;
    EXPECT_TRUE(m_model.command(more, at(500))->rejectedStarts.empty());
    more.starts = {task("memory", "x")};
    more.starts[0].declared.memoryMb = 801;
    EXPECT_EQ(m_model.command(more, at(1'500))->rejectedStarts.size(), 1U);
}

// Guards against a finished task that is lost because one response was lost.
TEST_F(WorkerModelTest, FinishedTasksAreReportedUntilAcknowledged)
{
    startOne(R"({"run_ms":50,"fail":true,"output":"why"})", at(0));
    EXPECT_EQ(m_model.nextEvent(), at(50));
    m_model.advance(at(50));
    EXPECT_TRUE(m_model.hasUnreportedFinishedTasks());
    EXPECT_EQ(m_model.report(at(51)).finished.at(0).outcome, TaskOutcome::Failed);
    EXPECT_FALSE(m_model.hasUnreportedFinishedTasks());
    const auto successor = m_model.acquire({"b", Ttl}, at(4'000));
    EXPECT_EQ(successor->finished.at(0).output, "why");
}

// Guards against a new session holder that does not learn which tasks are running.
TEST_F(WorkerModelTest, NewSessionReportsRunningTasks)
{
    const auto grant = startOne(R"({"service":true})", at(0));
    WorkerCommand release = command(grant, at(0));
    release.release = true;
    ASSERT_TRUE(m_model.command(release, at(10)).ok());
    EXPECT_EQ(codeOf(command(grant, at(10)), at(11)), ErrorCode::PermissionDenied);
    const auto successor = m_model.acquire({"b", Ttl}, at(11));
    ASSERT_TRUE(successor.ok());
    ASSERT_EQ(successor->running.size(), 1U);
    EXPECT_EQ(successor->running[0].sinceStart, Duration(11));
}

// Guards against throttles and checkpoints without effect, and against usage reported without lag.
TEST_F(WorkerModelTest, ThrottleCheckpointAndLaggingUsage)
{
    const auto grant = startOne(R"({"run_ms":1000,"cpu_milli":800})", at(0));
    EXPECT_EQ(m_model.report(at(499)).running[0].usage.cpuMilli, 0);
    EXPECT_EQ(m_model.report(at(500)).running[0].usage.cpuMilli, 800);
    WorkerCommand slower = command(grant, at(0));
    slower.throttles = {{m_first, 200}};
    slower.checkpoints = {m_first};
    const auto report = m_model.command(slower, at(600));
    EXPECT_TRUE(report->running[0].checkpointed);
    EXPECT_EQ(report->running[0].usage.cpuMilli, 200);
    EXPECT_EQ(m_model.nextEvent(), at(2'200)) << "400 ms are left at a quarter of the speed";
    WorkerCommand restart = command(grant, at(600));
    restart.stops = {m_first};
    restart.starts = {task("j", R"({"run_ms":1000})", 2)};
    restart.starts[0].fromCheckpoint = true;
    EXPECT_EQ(m_model.command(restart, at(700))->finished.at(0).outcome, TaskOutcome::Stopped);
    EXPECT_EQ(m_model.nextEvent(), at(1'100))
        << "resumes after the 600 ms of run time in the checkpoint";
}

TEST_F(WorkerModelTest, SetFailAllFailsEveryTask)
{
    m_model.setFailAll(true);
    startOne("x", at(0));
    EXPECT_EQ(m_model.report(at(10)).finished.at(0).outcome, TaskOutcome::Failed);
}

} // namespace
} // namespace cardamompaddle
