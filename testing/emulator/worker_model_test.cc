// Compares WorkerModel with the rules of the platform's page on running tasks.
#include "worker_model.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cardamompaddle::emulator {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

constexpr Duration MaxLease{10'000};
constexpr Duration StopTime{100};
constexpr Duration RunTime{2'000};
constexpr const char *Task = "job.0.0.0";
constexpr const char *LongTask = "long.0.0.0";

class WorkerModelTest : public ::testing::Test
{
protected:
    WorkerModelTest() : m_worker(options(), m_now) { }

    WorkerModelOptions options()
    {
        WorkerModelOptions out;
        out.id = "w";
        out.maxLease = MaxLease;
        out.stopTime = StopTime;
        out.runTime = [](const std::string &task) {
            return task == LongTask ? std::nullopt : std::optional(RunTime);
        };
        out.observer = [this](const RunEvent &event) {
            m_events.push_back(std::string(runEventKindName(event.kind)) + " " + event.task + "/"
                               + std::to_string(event.run) + " " + event.how);
        };
        return out;
    }
    int64_t clock(Duration later = Duration(0)) const
    {
        return m_worker.clockMs(m_now) + later.count();
    }
    StartReply start(const std::string &task, int64_t run, Duration lease = MaxLease)
    {
        return m_worker.start(task, run, clock(lease), m_now);
    }
    void advance(Duration by)
    {
        m_now += by;
        m_worker.advance(m_now);
    }
    std::vector<std::string> ends() const
    {
        std::vector<std::string> out;
        for (const ModelledEnd &it : m_worker.ends())
            out.push_back(std::to_string(it.position) + " " + it.task + "/" + std::to_string(it.run)
                          + " " + it.how);
        return out;
    }

    Instant m_now = Instant(Duration(5'000));
    std::vector<std::string> m_events;
    WorkerModel m_worker;
};

} // namespace

TEST_F(WorkerModelTest, RunsATaskToItsEnd)
{
    EXPECT_EQ(start(Task, 1), StartReply::Started);
    advance(RunTime - Duration(1));
    EXPECT_EQ(m_worker.runs().size(), 1U);
    advance(Duration(1));
    EXPECT_THAT(m_worker.runs(), IsEmpty());
    EXPECT_THAT(ends(), ElementsAre("1 job.0.0.0/1 done"));
    EXPECT_THAT(m_events, ElementsAre("started job.0.0.0/1 ", "ended job.0.0.0/1 done"));
}

// Guards against a repeated start that runs a task twice or is refused.
TEST_F(WorkerModelTest, ARepeatedStartOfARunHasNoFurtherEffect)
{
    start(Task, 1);
    EXPECT_EQ(start(Task, 1), StartReply::Started);
    EXPECT_EQ(m_events.size(), 1U);
    advance(RunTime);
    EXPECT_EQ(start(Task, 1), StartReply::OldRun) << "it has ended";
}

TEST_F(WorkerModelTest, RefusesRunsThatAreNotHigherThanOneThatEnded)
{
    start(Task, 5);
    advance(RunTime);
    EXPECT_EQ(start(Task, 4), StartReply::OldRun);
    EXPECT_EQ(start(Task, 5), StartReply::OldRun);
    EXPECT_EQ(start(Task, 6), StartReply::Started);
    EXPECT_EQ(start("other.0.0.0", 1), StartReply::Started);
}

// Guards against a start that overtakes the stop that was sent after it.
TEST_F(WorkerModelTest, AStopPreventsAStartThatComesLater)
{
    m_worker.stop(Task, 3, m_now);
    EXPECT_THAT(ends(), IsEmpty());
    EXPECT_EQ(start(Task, 2), StartReply::OldRun);
    EXPECT_EQ(start(Task, 3), StartReply::OldRun);
    EXPECT_EQ(start(Task, 4), StartReply::Started);
}

TEST_F(WorkerModelTest, AStopOfAnotherRunDoesNotTouchTheOneThatRuns)
{
    start(Task, 2);
    m_worker.stop(Task, 1, m_now);
    advance(2 * StopTime);
    EXPECT_EQ(m_worker.runs().size(), 1U);
    EXPECT_EQ(start(Task, 2), StartReply::Started);
}

TEST_F(WorkerModelTest, AStopTakesItsTimeAndIsListed)
{
    start(LongTask, 1);
    m_worker.stop(LongTask, 1, m_now);
    advance(StopTime / 2);
    m_worker.stop(LongTask, 1, m_now); // a repetition doesn't postpone it
    EXPECT_EQ(m_worker.runs().size(), 1U);
    advance(StopTime / 2);
    EXPECT_THAT(ends(), ElementsAre("1 long.0.0.0/1 stopped"));
}

TEST_F(WorkerModelTest, KeepsTheHighestFencingToken)
{
    EXPECT_TRUE(m_worker.acceptsToken(0)) << "a missing token counts as 0";
    EXPECT_TRUE(m_worker.acceptsToken(7));
    EXPECT_FALSE(m_worker.acceptsToken(6));
    EXPECT_FALSE(m_worker.acceptsToken(0));
    EXPECT_TRUE(m_worker.acceptsToken(7));
    EXPECT_TRUE(m_worker.acceptsToken(8));
}

// Guards against runs that outlive their lease, beside which a new scheduler starts others.
TEST_F(WorkerModelTest, ALapsedLeaseEndsEverything)
{
    start(LongTask, 1, Duration(1'000));
    start(Task, 1, Duration(500)); // an older end doesn't shorten it
    advance(Duration(1'000));
    EXPECT_EQ(m_worker.runs().size(), 2U);
    advance(Duration(1));
    EXPECT_THAT(ends(), ElementsAre("1 job.0.0.0/1 lapsed", "2 long.0.0.0/1 lapsed"));
    EXPECT_EQ(start(LongTask, 1), StartReply::OldRun);
}

TEST_F(WorkerModelTest, ALeaseIsExtendedButNeverShortened)
{
    start(LongTask, 1, Duration(2'000));
    m_worker.extendLease(clock(Duration(1'000)), m_now);
    m_worker.extendLease(0, m_now);
    advance(Duration(2'000));
    EXPECT_EQ(m_worker.runs().size(), 1U);
    m_worker.extendLease(clock(Duration(3'000)), m_now);
    advance(Duration(3'000));
    EXPECT_EQ(m_worker.runs().size(), 1U);
    advance(Duration(1));
    EXPECT_THAT(m_worker.runs(), IsEmpty());
}

// Guards against an extension that revives runs whose lease has lapsed before it.
TEST_F(WorkerModelTest, ALapsedLeaseIsNotExtended)
{
    start(LongTask, 1, Duration(1'000));
    m_now += Duration(1'001);
    m_worker.extendLease(clock(MaxLease), m_now);
    EXPECT_THAT(m_worker.runs(), IsEmpty());
    EXPECT_EQ(start(LongTask, 2), StartReply::Started);
}

TEST_F(WorkerModelTest, ALongerLeaseIsShortenedToTheMaximum)
{
    start(LongTask, 1, 3 * MaxLease);
    advance(MaxLease);
    EXPECT_EQ(m_worker.runs().size(), 1U);
    advance(Duration(1));
    EXPECT_THAT(m_worker.runs(), IsEmpty());
}

TEST_F(WorkerModelTest, ARefusedStartExtendsTheLeaseOfTheOthers)
{
    start(LongTask, 1, Duration(1'000));
    m_worker.stop(Task, 1, m_now);
    EXPECT_EQ(start(Task, 1, Duration(3'000)), StartReply::OldRun);
    advance(Duration(2'000));
    EXPECT_EQ(m_worker.runs().size(), 1U);
}

TEST_F(WorkerModelTest, RefusesAStartWhoseLeaseIsOver)
{
    EXPECT_EQ(start(Task, 1, Duration(0)), StartReply::LeaseTooShort);
    EXPECT_EQ(start(Task, 1, Duration(-500)), StartReply::LeaseTooShort);
    EXPECT_EQ(start(Task, 1, Duration(1)), StartReply::Started) << "a refused run may start later";
}

TEST_F(WorkerModelTest, LeasesAreMeasuredOnTheWorkersClock)
{
    WorkerModelOptions slow = options();
    slow.clockRate = 0.98;
    WorkerModel worker(slow, m_now);
    worker.start(LongTask, 1, 980, m_now);
    worker.advance(m_now + Duration(1'000));
    EXPECT_EQ(worker.clockMs(m_now + Duration(1'000)), 980);
    EXPECT_EQ(worker.runs().size(), 1U);
    worker.advance(m_now + Duration(1'002));
    EXPECT_THAT(worker.runs(), IsEmpty());
}

// Guards against ends that are forgotten before they are acknowledged.
TEST_F(WorkerModelTest, ListsEndsUntilTheyAreAcknowledged)
{
    for (const char *task : {"a.0.0.0", "b.0.0.0", "c.0.0.0"})
        start(task, 1);
    advance(RunTime);
    m_worker.acknowledge(0, m_now);
    EXPECT_EQ(m_worker.ends().size(), 3U);
    m_events.clear();
    m_worker.acknowledge(2, m_now);
    EXPECT_THAT(ends(), ElementsAre("3 c.0.0.0/1 done"));
    EXPECT_THAT(m_events,
                ElementsAre("acknowledged a.0.0.0/1 done", "acknowledged b.0.0.0/1 done"));
    m_worker.acknowledge(2, m_now);
    EXPECT_EQ(m_events.size(), 2U);
    start("d.0.0.0", 1);
    advance(RunTime);
    EXPECT_THAT(ends(), ElementsAre("3 c.0.0.0/1 done", "4 d.0.0.0/1 done"));
}

// Guards against an oracle that takes a task for finished although its worker's lease lapsed before
// the acknowledgement, so that another scheduler may have started it again.
TEST_F(WorkerModelTest, TellsIfTheLeaseLapsedBeforeTheAcknowledgement)
{
    start(Task, 1);
    advance(RunTime);
    advance(MaxLease);
    m_events.clear();
    m_worker.acknowledge(1, m_now);
    EXPECT_THAT(m_events, ElementsAre("acknowledged job.0.0.0/1 lapsed"));
}

TEST_F(WorkerModelTest, ACrashLosesAllThatTheWorkerKnows)
{
    m_worker.acceptsToken(9);
    start(Task, 1);
    advance(RunTime);
    start(LongTask, 1);
    m_events.clear();
    m_worker.crash(m_now);
    EXPECT_THAT(m_events, ElementsAre("ended long.0.0.0/1 crashed"));
    EXPECT_THAT(m_worker.runs(), IsEmpty());
    EXPECT_THAT(m_worker.ends(), IsEmpty());
    m_worker.restart("w", m_now);
    EXPECT_EQ(m_worker.clockMs(m_now), 0);
    EXPECT_EQ(m_worker.life(), 2);
    EXPECT_TRUE(m_worker.acceptsToken(1)) << "it has seen no token";
    EXPECT_EQ(start(Task, 1), StartReply::Started) << "it knows no earlier run";
    advance(RunTime);
    EXPECT_THAT(ends(), ElementsAre("1 job.0.0.0/1 done")) << "positions start anew";
}

} // namespace cardamompaddle::emulator
