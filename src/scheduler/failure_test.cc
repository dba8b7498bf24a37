#include "scheduler/internal/health.h"
#include "scheduler/internal/retry_budget.h"
#include "scheduler/scheduler_testing.h"

namespace cardamompaddle {
namespace {

using FailureTest = SchedulerFixture;

// A worker that fails every task is idle most of the time, so without a quarantine it would attract
// most of the work.
TEST_F(FailureTest, WorkerThatFailsEverythingIsQuarantined)
{
    addWorkers(4);
    int bad = 0;
    int all = 0;
    for (int round = 0; round < 3'000; ++round) {
        submit(work("job" + std::to_string(round)));
        for (const Decision &it : starts(Duration(20))) {
            ++all;
            const bool isBad = it.worker == "w0";
            bad += isBad ? 1 : 0;
            end(it, isBad ? TaskOutcome::Failed : TaskOutcome::Succeeded);
        }
    }
    EXPECT_GT(all, 2'900);
    EXPECT_LE(bad, 8); // five failures, then one probe after 30 s
    EXPECT_TRUE(scheduler->workerRows(now)[0].quarantinedUntil.has_value());
}

// A quarantine must end, double after each failed probe up to its maximum, and admit only one probe
// at a time.
TEST(HealthTest, DoublesAndProbesOneAtATime)
{
    sched::Health health;
    Instant now = instantFromMs(0);
    for (uint64_t job = 0; job < 4; ++job)
        EXPECT_FALSE(health.recordFailure(job, false, now));
    EXPECT_FALSE(health.recordFailure(3, false, now)); // the same job is counted once
    EXPECT_TRUE(health.recordFailure(4, false, now));
    EXPECT_EQ(*health.quarantinedUntil(), now + Duration(30'000));
    EXPECT_FALSE(health.mayStart(now + Duration(29'999)));
    now += Duration(30'000);
    EXPECT_TRUE(health.mayStart(now));
    health.probeStarted();
    EXPECT_FALSE(health.mayStart(now));
    EXPECT_TRUE(health.recordFailure(5, true, now));
    EXPECT_EQ(*health.quarantinedUntil(), now + Duration(60'000));
    for (int it = 0; it < 10; ++it) {
        now = *health.quarantinedUntil();
        health.recordFailure(6, true, now);
    }
    EXPECT_EQ(*health.quarantinedUntil(), now + Duration(600'000));
    health.recordSuccess(true);
    EXPECT_TRUE(health.mayStart(now));
}

// Jobs that fail everywhere must not quarantine healthy workers, and their retries must be bounded.
TEST_F(FailureTest, JobThatAlwaysFailsEndsWithoutQuarantine)
{
    addWorkers(8);
    std::map<std::string, int> attempts;
    std::map<std::string, std::string> reasons;
    for (int round = 0; round < 4'000; ++round) {
        if (round < 200)
            submit(work((round % 10 == 0 ? "bad" : "good") + std::to_string(round)));
        for (const Decision &it : decide(Duration(50))) {
            if (it.kind == DecisionKind::JobFailed)
                reasons[it.job.id] = it.reason;
            if (it.kind != DecisionKind::Start)
                continue;
            const bool bad = it.start.task.job.id.starts_with("bad");
            attempts[it.start.task.job.id] += bad ? 1 : 0;
            end(it, bad ? TaskOutcome::Failed : TaskOutcome::Succeeded);
        }
    }
    EXPECT_EQ(reasons.size(), 20U);
    for (const auto &[id, count] : attempts)
        EXPECT_LE(count, 3) << id;
    EXPECT_EQ(scheduler->counters().quarantines, 0U);
}

// The attempts of a failing task must be bounded even if there is only one worker. A late report of
// an earlier attempt on the same worker must not count as another failure.
TEST_F(FailureTest, AttemptsAreBounded)
{
    addWorkers(1);
    submit(work("bad"));
    const std::vector<Decision> first = starts();
    EXPECT_EQ(end(first.at(0), TaskOutcome::Failed), TaskDisposition::WillRetry);
    const std::vector<Decision> second = starts(Duration(1'000));
    EXPECT_EQ(end(first.at(0), TaskOutcome::Failed), TaskDisposition::Stale);
    EXPECT_EQ(end(second.at(0), TaskOutcome::Failed), TaskDisposition::WillRetry);
    const std::vector<Decision> third = starts(Duration(1'000));
    EXPECT_EQ(end(third.at(0), TaskOutcome::Failed), TaskDisposition::JobFailed);
    EXPECT_EQ(only(decide(), DecisionKind::JobFailed).size(), 1U);
}

// A large job that fails everywhere must end before each of its tasks has used all its attempts.
TEST_F(FailureTest, FailureOnThreeWorkersEndsTheJob)
{
    addWorkers(3, {1'000, 1'000, 0, 1, 1});
    submit(work("bad", WorkKind::Batch, 30));
    const std::vector<Decision> first = starts();
    ASSERT_EQ(first.size(), 3U);
    EXPECT_EQ(end(first[0], TaskOutcome::Failed), TaskDisposition::WillRetry);
    EXPECT_EQ(end(first[1], TaskOutcome::Failed), TaskDisposition::WillRetry);
    EXPECT_EQ(end(first[2], TaskOutcome::Failed), TaskDisposition::JobFailed);
}

// Failures of jobs that have already failed on another worker must not quarantine further workers.
TEST_F(FailureTest, JobsThatFailedElsewhereDoNotCountAgainstWorkers)
{
    addWorkers(3);
    for (int round = 0; round < 2; ++round) {
        for (int it = 0; it < 4; ++it)
            submit(work("bad" + std::to_string(round) + std::to_string(it)));
        for (int step = 0; step < 10; ++step) {
            for (const Decision &it : starts(Duration(1'000)))
                end(it, TaskOutcome::Failed);
        }
        // A success resets the worker on which each of them failed first.
        submit(work("good" + std::to_string(round)));
        for (const Decision &it : starts()) {
            EXPECT_EQ(it.worker, "w0");
            end(it);
        }
    }
    EXPECT_EQ(scheduler->counters().jobsFailed, 8U);
    EXPECT_EQ(scheduler->counters().quarantines, 0U);
}

// A job with some successes must not fail because a few of its tasks failed on several workers.
TEST_F(FailureTest, JobWithSuccessesGetsItsAttempts)
{
    addWorkers(4, {4'000, 4'000, 0, 4, 4});
    submit(work("job", WorkKind::Batch, 8));
    std::vector<Decision> first = starts();
    ASSERT_EQ(first.size(), 8U);
    end(first[0]);
    std::set<WorkerId> blamed;
    for (size_t it = 1; it < 8; ++it)
        EXPECT_EQ(end(first[it], TaskOutcome::Failed), TaskDisposition::WillRetry);
    size_t again = 0;
    for (int it = 0; it < 20; ++it)
        again += starts(Duration(1'000)).size();
    EXPECT_EQ(again, 7U);
}

// Retries are limited to 10 % of the first starts plus 10, so that they cannot crowd out new work.
TEST(RetryBudgetTest, TenPercentOfStartsPlusTen)
{
    sched::RetryBudget budget;
    Instant now = instantFromMs(0);
    int taken = 0;
    while (budget.tryConsume(now))
        ++taken;
    EXPECT_EQ(taken, 10);
    for (int it = 0; it < 1'000; ++it)
        budget.recordFirstStart();
    for (; budget.tryConsume(now); ++taken) { }
    EXPECT_EQ(taken, 110);
    now += Duration(60'000); // the budget also refills on an idle pool
    for (; budget.tryConsume(now); ++taken) { }
    EXPECT_EQ(taken, 120);
}

// While the worker of a task cannot be reached, the task must not start elsewhere before its lease
// has expired.
TEST_F(FailureTest, UncertainTaskStartsElsewhereOnlyAfterItsLease)
{
    addWorkers(2);
    submit(work("job"));
    const std::vector<Decision> first = starts();
    ASSERT_EQ(first.size(), 1U);
    // The session is not lost, so the attempt cannot be released.
    EXPECT_EQ(scheduler->releaseUncertain({first[0].start.task, first[0].start.attempt}, now),
              TaskDisposition::Stale);
    scheduler->workerLost(first[0].worker, now);
    EXPECT_TRUE(starts(Duration(3'600'000)).empty());
    const std::vector<TaskAttempt> uncertain = scheduler->uncertainTasks(first[0].worker);
    ASSERT_EQ(uncertain.size(), 1U);
    EXPECT_EQ(scheduler->releaseUncertain(uncertain[0], now), TaskDisposition::WillRetry);
    const std::vector<Decision> second = starts(Duration(1'000));
    ASSERT_EQ(second.size(), 1U);
    EXPECT_GT(second[0].start.attempt, first[0].start.attempt);
    // The late end of the first attempt changes nothing.
    EXPECT_EQ(end(first[0]), TaskDisposition::Stale);
    EXPECT_EQ(end(second[0]), TaskDisposition::Finished);
}

// A non-repeatable task must not start a second time unless the worker refused its first start.
TEST_F(FailureTest, NotRepeatableStartsOnceUnlessRefused)
{
    addWorkers(2);
    WorkItem item = work("once");
    item.spec.repeatable = false;
    gate.intentsDurable = false;
    submit(item);
    EXPECT_TRUE(starts().empty());
    EXPECT_EQ(gate.intentsAsked, (std::vector<TaskId>{{item.spec.key, 0}}));
    gate.intentsDurable = true;
    const std::vector<Decision> first = starts();
    ASSERT_EQ(first.size(), 1U);
    scheduler->startRefused(first[0].worker, {first[0].start.task, first[0].start.attempt}, now);
    const std::vector<Decision> second = starts(Duration(100)); // the refused start did not run
    ASSERT_EQ(second.size(), 1U);
    scheduler->workerLost(second[0].worker, now);
    EXPECT_EQ(scheduler->releaseUncertain({second[0].start.task, second[0].start.attempt}, now),
              TaskDisposition::JobFailed);
    const std::vector<Decision> out = decide(Duration(10'000));
    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(out[0].kind, DecisionKind::JobFailed);
    EXPECT_EQ(out[0].code, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(out[0].executed, Executed::Unknown);
}

// A new owner of the pool must not start tasks that its predecessor may have started before all
// running tasks are known.
TEST_F(FailureTest, SuccessorWaitsForAdoption)
{
    WorkItem item = work("job", WorkKind::Batch, 3);
    item.mayBeRunning = true;
    item.finishedTasks = {2};
    item.attemptsUsed = {{0, 1}, {1, 4}};
    submit(item);
    WorkItem once = work("once");
    once.spec.repeatable = false;
    once.mayBeRunning = true;
    once.attemptsUsed = {{0, 1}};
    submit(once);
    RunningTask adopted;
    adopted.task = {item.spec.key, 0};
    adopted.attempt = 1;
    adopted.declared = item.spec.perTask;
    scheduler->workerAcquired(makeWorker("w0"), {adopted}, now);
    EXPECT_TRUE(decide(Duration(60'000)).empty());
    scheduler->allTasksKnown(now);
    const std::vector<Decision> out = decide();
    const std::vector<Decision> started = only(out, DecisionKind::Start);
    ASSERT_EQ(started.size(), 1U);
    EXPECT_EQ(started[0].start.task.index, 1);
    EXPECT_EQ(started[0].start.attempt, 5);
    const std::vector<Decision> failed = only(out, DecisionKind::JobFailed);
    ASSERT_EQ(failed.size(), 1U);
    EXPECT_EQ(failed[0].job.id, "once");
}

// When workers reconnect, a duplicate attempt of a task must be stopped, and a task whose start was
// lost must be started again.
TEST_F(FailureTest, ReacquiredWorkerIsReconciled)
{
    addWorkers(2);
    submit(work("kept"));
    submit(work("lost"));
    const std::vector<Decision> first = starts();
    ASSERT_EQ(first.size(), 2U);
    ASSERT_EQ(first[0].worker, first[1].worker);
    scheduler->workerLost(first[0].worker, now);
    RunningTask copy = running(first[0]);
    copy.attempt = 7;
    const WorkerId other = first[0].worker == "w0" ? "w1" : "w0";
    scheduler->workerAcquired(makeWorker(other), {copy}, now);
    const std::vector<Decision> stops = only(decide(), DecisionKind::Stop);
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].target.attempt, 7);
    scheduler->workerAcquired(makeWorker(first[0].worker), {running(first[0])}, now);
    EXPECT_EQ(jobs(decide(Duration(1'000))), (std::vector<std::string>{"lost"}));
    EXPECT_EQ(end(first[0]), TaskDisposition::Finished);
}

} // namespace
} // namespace cardamompaddle
