// Promises about jobs and their tasks. Each promise is broken in a made-up history, and the
// histories next to it are allowed.
#include "oracle_fixture.h"

namespace cardamompaddle::soak {

namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

} // namespace

TEST_F(OracleTest, AnAcceptedJobMustBeKnown)
{
    submit("job");
    pass(Options.visibleDelay + Duration(5));
    askUnknown();
    EXPECT_THAT(broken(), ElementsAre("known"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("job job"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("entry-1"));
    EXPECT_EQ(m_oracle.checked(Promise::Known), 1U);
}

TEST_F(OracleTest, AJobMayBeUnknownBeforeItIsAccepted)
{
    askUnknown();
    submit("job", 503);
    submit("job", 0);
    pass(Options.visibleDelay * 2);
    askUnknown();
    submit("job");
    pass(Options.visibleDelay - Slack);
    askUnknown(); // it may not be visible everywhere yet
    EXPECT_THAT(broken(), IsEmpty());
}

// Guards against an oracle that counts the time for which a state is kept from the acceptance.
TEST_F(OracleTest, AnEndedJobMustBeKnownForItsTime)
{
    submit("job");
    pass(Options.keepEnded * 2);
    complete();
    pass(Options.keepEnded - Duration(10));
    askUnknown();
    EXPECT_THAT(broken(), ElementsAre("known"));
}

TEST_F(OracleTest, AnEndedJobMayBeUnknownAfterItsTime)
{
    submit("job");
    pass(Options.visibleDelay);
    complete();
    pass(Options.keepEnded);
    askUnknown();
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, AJobWithUnfinishedTasksMustBeKnown)
{
    submit("job");
    started(Task);
    ended(Task, "done");
    pass(Options.keepEnded * 3);
    askUnknown();
    EXPECT_THAT(broken(), ElementsAre("known"));
}

TEST_F(OracleTest, ACancelledJobMayBeUnknown)
{
    submit("job");
    m_oracle.cancelling("job");
    pass(Options.visibleDelay * 2);
    askUnknown();
    EXPECT_THAT(broken(), IsEmpty());
}

// Guards against an oracle that misses tasks of a job which its caller was told not to exist.
TEST_F(OracleTest, NothingStartsLongAfterACancellationWasAnswered)
{
    m_oracle.cancelling("job");
    call(record(CallKind::Cancel, "job", 503));
    pass(Options.cancelDelay * 2);
    started(Task);
    EXPECT_THAT(broken(), IsEmpty()) << "it was not answered";
    call(record(CallKind::Cancel, "job", 410));
    pass(Options.cancelDelay);
    started(OtherTask);
    EXPECT_THAT(broken(), IsEmpty());
    ended(OtherTask, "failed");
    pass(Duration(100));
    started(OtherTask, 2);
    EXPECT_THAT(broken(), ElementsAre("cancel-holds"));
}

TEST_F(OracleTest, AnAcceptedJobWithoutAnyAnswerIsLost)
{
    submit("job");
    m_oracle.unanswered("job", m_now);
    EXPECT_THAT(broken(), ElementsAre("known"));
}

TEST_F(OracleTest, AJobIsCompletedOnlyOnceAllItsTasksAreDone)
{
    submit("job");
    askState("queued");
    started(Task);
    askState("running");
    ended(Task, "done");
    EXPECT_THAT(broken(), IsEmpty());
    askState("completed");
    EXPECT_THAT(broken(), ElementsAre("true-state"));
}

TEST_F(OracleTest, ACompletedJobMayBeShownSo)
{
    submit("job");
    complete();
    askState("running"); // the end is not stored yet
    askState("completed");
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, ALongRunningJobIsNeverCompleted)
{
    submit("long");
    started(LongTask);
    ended(LongTask, "done");
    askState("completed", "long");
    EXPECT_THAT(broken(), ElementsAre("true-state"));
}

// No task of a soak fails by itself.
TEST_F(OracleTest, NoJobFails)
{
    submit("job");
    for (int64_t i = 1; i <= 3; ++i) {
        started(Task, i);
        ended(Task, "crashed", i);
    }
    EXPECT_THAT(broken(), IsEmpty());
    askState("failed");
    EXPECT_THAT(broken(), ElementsAre("true-state"));
}

TEST_F(OracleTest, AJobIsCancelledOnlyByACaller)
{
    submit("job");
    askState("cancelled");
    EXPECT_THAT(broken(), ElementsAre("true-state"));
    m_oracle.cancelling("long");
    askState("cancelled", "long");
    EXPECT_EQ(broken().size(), 1U);
}

TEST_F(OracleTest, ATaskRunsOnOneWorkerAtATime)
{
    started(Task, 1, "w1");
    started(Task, 2, "w2");
    EXPECT_THAT(broken(), ElementsAre("runs-once"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("w1/1"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("w2/1"));
}

TEST_F(OracleTest, ATaskMayRunAgainAfterARunThatWasNotDone)
{
    int64_t number = 0;
    for (const char *how : {"stopped", "lapsed", "crashed"}) {
        started(Task, ++number);
        ended(Task, how, number);
        acknowledged(Task, how, number);
    }
    started(Task, ++number);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, ATaskMustNotRunAgainOnceItsEndIsAcknowledged)
{
    started(Task, 1);
    ended(Task, "done", 1);
    acknowledged(Task, "done", 1);
    started(Task, 2);
    EXPECT_THAT(broken(), ElementsAre("runs-once"));
}

// The scheduler may not have learned of the end, or may have given the worker up before.
TEST_F(OracleTest, ATaskMayRunAgainWhileItsEndIsNotAcknowledgedInTime)
{
    started(Task, 1);
    ended(Task, "done", 1);
    started(Task, 2);
    ended(Task, "done", 2);
    acknowledged(Task, "lapsed", 1);
    started(Task, 3);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, ARefusedJobMustNotRun)
{
    started(OtherTask);
    EXPECT_THAT(broken(), IsEmpty());
    m_oracle.refused("job");
    started(Task);
    EXPECT_THAT(broken(), ElementsAre("runs-once"));
}

TEST_F(OracleTest, OnlyTasksOfKnownJobsRun)
{
    started("stranger.0.0.0");
    EXPECT_THAT(broken(), ElementsAre("runs-once"));
}

TEST_F(OracleTest, AStepStartsAfterTheEarlierOnes)
{
    JobPlan steps = plan("steps", {"steps.0.0.0", "steps.0.0.1", "steps.0.1.0"});
    steps.tasks.back().step = 1;
    m_oracle.planned(steps);
    for (const char *task : {"steps.0.0.0", "steps.0.0.1"})
        started(task);
    ended("steps.0.0.0", "done");
    started("steps.0.1.0");
    EXPECT_THAT(broken(), ElementsAre("placed"));
    EXPECT_THAT(m_oracle.violations()[0].what, HasSubstr("before the end of steps.0.0.1"));
    ended("steps.0.1.0", "stopped");
    ended("steps.0.0.1", "done");
    started("steps.0.1.0", 2);
    EXPECT_EQ(broken().size(), 1U);
    EXPECT_EQ(m_oracle.checked(Promise::Placed), 4U);
}

TEST_F(OracleTest, AWorkerGetsNoMoreTasksOfAStepThanTheJobAllows)
{
    JobPlan apart = plan("apart", {"apart.0.0.0", "apart.0.0.1", "apart.0.0.2", "apart.0.0.3"});
    apart.maxPerWorker = 2;
    m_oracle.planned(apart);
    started("apart.0.0.0", 1, "w1");
    started("apart.0.0.1", 1, "w1");
    started("apart.0.0.2", 1, "w2");
    ended("apart.0.0.0", "done");
    started("apart.0.0.3", 1, "w1");
    EXPECT_THAT(broken(), IsEmpty());
    ended("apart.0.0.2", "stopped");
    started("apart.0.0.2", 2, "w1");
    EXPECT_THAT(broken(), ElementsAre("placed"));
}

TEST_F(OracleTest, ALongRunningTaskRunsAgainInTime)
{
    submit("long");
    started(LongTask);
    pass(Duration(20'000));
    m_oracle.checkRunning(m_now);
    EXPECT_THAT(broken(), IsEmpty());
    ended(LongTask, "lapsed");
    pass(Options.restartDelay);
    m_oracle.checkRunning(m_now);
    EXPECT_THAT(broken(), IsEmpty()) << "there is still time";
    pass(Slack);
    m_oracle.checkRunning(m_now);
    EXPECT_THAT(broken(), ElementsAre("completed"));
}

TEST_F(OracleTest, ALongRunningTaskThatNeverStartsIsMissed)
{
    submit("long");
    pass(Duration(20'000));
    m_oracle.checkRunning(m_now);
    EXPECT_THAT(broken(), ElementsAre("completed"));
}

TEST_F(OracleTest, ALongRunningTaskMayBeDownIfItNeedNotRun)
{
    pass(Duration(20'000));
    m_oracle.checkRunning(m_now); // it is not accepted
    submit("long");
    pass(Options.restartDelay);
    m_oracle.checkRunning(m_now); // it has just been accepted
    pass(Duration(20'000));
    m_disturbances.begin(WorkersPart, m_now - Duration(3'000));
    m_oracle.checkRunning(m_now);
    m_disturbances.end(WorkersPart, m_now);
    pass(Duration(20'000));
    m_oracle.cancelling("long");
    m_oracle.checkRunning(m_now);
    EXPECT_THAT(broken(), IsEmpty());
}

TEST_F(OracleTest, AnAcceptedJobCompletesInTheEnd)
{
    submit("job");
    started(Task);
    ended(Task, "done");
    EXPECT_TRUE(m_oracle.isUnfinished("job"));
    m_oracle.checkFinal(m_now);
    EXPECT_THAT(broken(), ElementsAre("completed"));
}

TEST_F(OracleTest, ALongRunningJobRunsInTheEnd)
{
    submit("long");
    started(LongTask);
    m_oracle.checkFinal(m_now);
    EXPECT_THAT(broken(), IsEmpty());
    ended(LongTask, "stopped");
    m_oracle.checkFinal(m_now);
    EXPECT_THAT(broken(), ElementsAre("completed"));
}

TEST_F(OracleTest, JobsThatAreDoneOrCancelledOrNotAcceptedAreNotMissed)
{
    submit("job");
    complete();
    submit("long", 503);
    m_oracle.planned(plan("cancelled", {"cancelled.0.0.0"}));
    submit("cancelled");
    m_oracle.cancelling("cancelled");
    m_oracle.checkFinal(m_now);
    EXPECT_THAT(broken(), IsEmpty());
    EXPECT_THAT(m_oracle.acceptedJobs(), ElementsAre("job"));
    EXPECT_FALSE(m_oracle.isUnfinished("job"));
}

// Guards against one fault that fills the report.
TEST_F(OracleTest, TheSameViolationIsReportedOnce)
{
    m_oracle.processEnded("entry-1", "was ended by signal 11", m_now);
    m_oracle.processEnded("entry-1", "was ended by signal 11", m_now);
    m_oracle.processEnded("entry-2", "was ended by signal 11", m_now);
    EXPECT_EQ(broken().size(), 2U);
}

} // namespace cardamompaddle::soak
