#include "platform_emulator_fixture.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <thread>

namespace cardamompaddle::emulator {

namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

} // namespace

TEST_F(PlatformEmulatorTest, AWorkerRunsATaskAndForgetsItsEndOnceAcknowledged)
{
    create();
    const WorkerEntry worker = entry("i-1000");
    EXPECT_EQ(*start(worker, 1), StartOutcome::Started);
    EXPECT_EQ(*start(worker, 1), StartOutcome::Started) << "it is there";
    const auto running = poll(worker);
    ASSERT_TRUE(running);
    ASSERT_EQ(running->report.running.size(), 1U);
    EXPECT_EQ(running->report.running[0].task, m_task);
    EXPECT_EQ(running->report.startedAtMs, worker.startedAtMs);
    const auto ended = poll(worker, 0, Duration(1'500));
    ASSERT_TRUE(ended);
    ASSERT_EQ(ended->report.ended.size(), 1U);
    EXPECT_EQ(ended->report.ended[0].outcome, RunOutcome::Succeeded);
    EXPECT_THAT(ended->report.running, IsEmpty());
    EXPECT_EQ(poll(worker)->report.ended.size(), 1U) << "it was not acknowledged";
    EXPECT_THAT(poll(worker, ended->report.ended[0].position)->report.ended, IsEmpty());
    EXPECT_EQ(*start(worker, 1), StartOutcome::StaleRun);
    EXPECT_THAT(events(), ElementsAre("started ", "ended done", "acknowledged done"));
}

// Guards against a test process that crashes because the emulator's timer has expired when the
// emulator is destroyed on its event loop.
TEST_F(PlatformEmulatorTest, CanBeDestroyedWhileItsTimerHasExpired)
{
    constexpr auto LongerThanTheTimer = std::chrono::milliseconds(10);
    for (int i = 0; i < 20; ++i) {
        create();
        std::this_thread::sleep_for(LongerThanTheTimer);
        boost::asio::post(m_io, [this] { m_platform.reset(); });
        m_io.restart();
        m_io.poll();
        EXPECT_EQ(m_platform, nullptr);
    }
}

// Guards against a leaving worker that vanishes unannounced or stays listed.
TEST_F(PlatformEmulatorTest, AWorkerThatLeavesIsListedUntilItExits)
{
    create();
    const WorkerEntry worker = entry("i-1000");
    EXPECT_FALSE(worker.draining);
    m_platform->drainWorker("i-1000");
    EXPECT_TRUE(entry("i-1000").draining);
    EXPECT_TRUE(m_platform->drainingSince("i-1000"));
    EXPECT_EQ(*start(worker, 1), StartOutcome::Started) << "it serves on";
    m_platform->removeWorker("i-1000");
    EXPECT_THAT(registeredIds(), ::testing::Not(::testing::Contains("i-1000")));
    EXPECT_FALSE(poll(worker));
    m_platform->restartWorker("i-1000", true);
    EXPECT_FALSE(m_platform->drainingSince("i-1000"));
}

TEST_F(PlatformEmulatorTest, AWorkerListsAtMostFiveHundredEnds)
{
    constexpr int Runs = 501;
    m_runTime = Duration(1);
    create();
    const WorkerEntry worker = entry("i-1000");
    for (int i = 0; i < Runs; ++i) {
        m_task.index = i;
        ASSERT_TRUE(start(worker, 1));
    }
    const auto ended = [this] {
        return std::count_if(m_events.begin(), m_events.end(),
                             [](const RunEvent &it) { return it.kind == RunEventKind::Ended; });
    };
    ASSERT_TRUE(runUntil([&ended] { return ended() == Runs; }));
    const auto first = poll(worker);
    ASSERT_EQ(first->report.ended.size(), 500U);
    EXPECT_TRUE(first->report.moreEnded);
    const auto second = poll(worker, first->report.ended.back().position);
    EXPECT_EQ(second->report.ended.size(), 1U);
    EXPECT_FALSE(second->report.moreEnded);
}

TEST_F(PlatformEmulatorTest, AWorkerStopsARunAndRefusesIt)
{
    m_runTime = std::nullopt;
    create();
    const WorkerEntry worker = entry("i-1000");
    ASSERT_TRUE(start(worker, 1));
    EXPECT_TRUE(stop(worker, 1));
    const auto ended = poll(worker, 0, Duration(1'500));
    ASSERT_EQ(ended->report.ended.size(), 1U);
    EXPECT_EQ(ended->report.ended[0].outcome, RunOutcome::Stopped);
    EXPECT_TRUE(stop(worker, 5)) << "a run that is not there yet";
    EXPECT_EQ(*start(worker, 5), StartOutcome::StaleRun);
}

TEST_F(PlatformEmulatorTest, AWorkerRefusesLowerTokensAndCallsForAnother)
{
    create();
    WorkerEntry worker = entry("i-1000");
    EXPECT_TRUE(poll(worker, 0, Duration(0), Timeout, 5));
    EXPECT_EQ(poll(worker, 0, Duration(0), Timeout, 4).error().code, ErrorCode::PermissionDenied);
    EXPECT_EQ(start(worker, 1, Timeout, 4).error().code, ErrorCode::PermissionDenied);
    worker.id = "i-1001";
    EXPECT_EQ(poll(worker, 0, Duration(0), Timeout, 9).error().code, ErrorCode::Conflict);
    worker.id = "i-1000";
    EXPECT_TRUE(poll(worker, 0, Duration(0), Timeout, 5)) << "that call had no effect";
    EXPECT_THAT(m_events, IsEmpty());
}

TEST_F(PlatformEmulatorTest, ASilentCrashAnswersNothingAndResetsNothing)
{
    m_runTime = std::nullopt;
    create();
    const WorkerEntry worker = entry("i-1000");
    ASSERT_TRUE(start(worker, 1));
    m_platform->crashWorker("i-1000", WorkerCrash::Silent);
    EXPECT_FALSE(m_platform->isUp("i-1000"));
    EXPECT_THAT(events(), ElementsAre("started ", "ended crashed"));
    const Instant before = SteadyClock().now();
    EXPECT_EQ(poll(worker, 0, Duration(0), ShortTimeout).error().code, ErrorCode::OutcomeUnknown);
    EXPECT_GE(SteadyClock().now() - before, ShortTimeout);
    EXPECT_TRUE(runUntil([this] { return registeredIds() == std::vector<std::string>{"i-1001"}; }))
        << "its entry expires";
}

TEST_F(PlatformEmulatorTest, ACrashWithResetEndsCallsAtOnce)
{
    create();
    const WorkerEntry worker = entry("i-1000");
    std::optional<Result<PollResult>> waiting;
    m_workers->poll(worker, fence(worker, 0), 0, Duration(1'500), Timeout, Instant(),
                    [&waiting](auto it) { waiting = it; });
    runFor(Duration(50));
    m_platform->crashWorker("i-1000", WorkerCrash::Reset);
    EXPECT_TRUE(runUntil([&waiting] { return waiting.has_value(); }, Duration(1'000)));
    EXPECT_EQ(waiting->error().code, ErrorCode::OutcomeUnknown);
    const Instant before = SteadyClock().now();
    EXPECT_EQ(poll(worker).error().code, ErrorCode::Unavailable);
    EXPECT_LT(SteadyClock().now() - before, Duration(1'000));
}

// Guards against a restarted worker that still knows its former life, which the platform rules out.
TEST_F(PlatformEmulatorTest, AWorkerStartsAgainAtItsAddressAndKnowsNothing)
{
    create();
    for (const WorkerCrash how : {WorkerCrash::Reset, WorkerCrash::Silent}) {
        m_events.clear();
        const WorkerEntry before = entry("i-1000");
        ASSERT_TRUE(start(before, 7, Timeout, 9));
        m_platform->crashWorker("i-1000", how);
        runFor(Duration(10));
        m_platform->restartWorker("i-1000", false);
        ASSERT_TRUE(m_platform->isUp("i-1000"));
        const auto report = poll(before, 0, Duration(0), Timeout, 1);
        ASSERT_TRUE(report) << "it has seen no token";
        EXPECT_GT(report->report.startedAtMs, before.startedAtMs);
        EXPECT_THAT(report->report.running, IsEmpty());
        ASSERT_TRUE(
            runUntil([&] { return entry("i-1000").startedAtMs == report->report.startedAtMs; }));
        EXPECT_EQ(entry("i-1000").address, before.address);
        EXPECT_EQ(*start(before, 1), StartOutcome::Started) << "it knows no earlier run";
        ASSERT_TRUE(runUntil([this] { return m_events.size() == 4; }));
        EXPECT_EQ(m_events[2].life, m_events[0].life + 1);
    }
}

TEST_F(PlatformEmulatorTest, AWorkerStartsAgainUnderAnotherId)
{
    create();
    const WorkerEntry before = entry("i-1000");
    m_platform->crashWorker("i-1000", WorkerCrash::Reset);
    m_platform->restartWorker("i-1000", true);
    EXPECT_THAT(m_platform->workerIds(), ElementsAre("i-1001", "i-1002"));
    ASSERT_TRUE(runUntil([this] {
        return registeredIds() == std::vector<std::string>{"i-1001", "i-1002"};
    }));
    EXPECT_NE(entry("i-1002").address, before.address);
    EXPECT_TRUE(poll(entry("i-1002")));
}

TEST_F(PlatformEmulatorTest, ALateOrderIsCarriedOutAfterNewerCalls)
{
    create();
    const WorkerEntry worker = entry("i-1000");
    m_platform->delayOrders("i-1000", 1, Duration(400));
    EXPECT_EQ(start(worker, 1, ShortTimeout).error().code, ErrorCode::OutcomeUnknown);
    EXPECT_THAT(poll(worker)->report.running, IsEmpty());
    m_platform->delayOrders("i-1000", 0, Duration(0));
    EXPECT_TRUE(runUntil([this] { return !m_events.empty(); }));
    EXPECT_EQ(events().front(), "started ");
}

// Guards against a late order that ignores what the worker has been told since.
TEST_F(PlatformEmulatorTest, ALateOrderObeysNewerTokensStopsCrashesAndNewIds)
{
    create();
    const WorkerEntry worker = entry("i-1000");
    m_platform->delayOrders("i-1000", 1, Duration(300));
    EXPECT_FALSE(start(worker, 1, ShortTimeout));
    m_platform->delayOrders("i-1000", 0, Duration(0));
    EXPECT_TRUE(stop(worker, 1));
    m_platform->delayOrders("i-1000", 1, Duration(300));
    EXPECT_FALSE(start(worker, 2, ShortTimeout));
    EXPECT_TRUE(poll(worker, 0, Duration(0), Timeout, 2)) << "a higher token";
    runFor(Duration(500));
    EXPECT_FALSE(start(worker, 3, ShortTimeout, 2));
    m_platform->crashWorker("i-1000", WorkerCrash::Reset);
    runFor(Duration(500));
    m_platform->restartWorker("i-1000", false);
    runFor(Duration(500));
    EXPECT_THAT(events(), IsEmpty()) << "the worker was down when the order was due";
    EXPECT_FALSE(start(worker, 4, ShortTimeout, 2));
    m_platform->crashWorker("i-1000", WorkerCrash::Reset);
    m_platform->restartWorker("i-1000", true);
    runFor(Duration(500));
    EXPECT_THAT(events(), IsEmpty()) << "the order was meant for another id";
}

// Guards against tests that miss an order for a former life of a worker, which the platform's
// workers carry out once they are back under their id.
TEST_F(PlatformEmulatorTest, ALateOrderIsCarriedOutByTheNextLifeUnderTheSameId)
{
    m_runTime = std::nullopt;
    create();
    const WorkerEntry worker = entry("i-1000");
    int life = 1;
    for (const WorkerCrash how : {WorkerCrash::Reset, WorkerCrash::Silent}) {
        m_platform->delayOrders("i-1000", 1, Duration(300));
        EXPECT_FALSE(start(worker, 1, ShortTimeout));
        m_platform->delayOrders("i-1000", 0, Duration(0));
        m_platform->crashWorker("i-1000", how);
        m_events.clear();
        m_platform->restartWorker("i-1000", false);
        ASSERT_TRUE(runUntil([this] { return !m_events.empty(); }));
        EXPECT_EQ(m_events.front().kind, RunEventKind::Started);
        EXPECT_EQ(m_events.front().life, ++life);
    }
}

// Guards against a next life that carries out a late order although it has seen a higher token.
TEST_F(PlatformEmulatorTest, ALateOrderForAFormerLifeObeysNewerTokens)
{
    create();
    const WorkerEntry worker = entry("i-1000");
    m_platform->delayOrders("i-1000", 1, Duration(300));
    EXPECT_FALSE(start(worker, 1, ShortTimeout));
    m_platform->crashWorker("i-1000", WorkerCrash::Silent);
    m_platform->restartWorker("i-1000", false);
    EXPECT_TRUE(poll(worker, 0, Duration(0), Timeout, 2));
    runFor(Duration(500));
    EXPECT_THAT(events(), IsEmpty());
}

TEST_F(PlatformEmulatorTest, WorkersRegisterOnlyWhileTheLogTakesRecords)
{
    create();
    m_platform->logFaults().silent = true;
    const size_t before = m_platform->recordCount(topic::Registry);
    runFor(Duration(200));
    EXPECT_EQ(m_platform->recordCount(topic::Registry), before);
    m_platform->logFaults().silent = false;
    EXPECT_TRUE(
        runUntil([this, before] { return m_platform->recordCount(topic::Registry) > before; }));
}

TEST_F(PlatformEmulatorTest, WorkersWithGivenIdsRegisterOnDemand)
{
    m_options.workerIds = {"a", "b", "c"};
    m_options.registersWorkers = false;
    create();
    EXPECT_THAT(m_platform->workerIds(), ElementsAre("a", "b", "c"));
    m_platform->registerWorker("b");
    runFor(Duration(200));
    EXPECT_THAT(registeredIds(), ElementsAre("b")) << "neither added nor expired";
    EXPECT_TRUE(poll(entry("b")));
    EXPECT_EQ(m_platform->pollCount("b"), 1);
    EXPECT_EQ(m_platform->pollCount("a"), 0);
}

TEST_F(PlatformEmulatorTest, ThePolicyServiceAllowsAllWorkers)
{
    create();
    PlatformPolicyClient policy(*m_http, m_platform->policyAddress());
    using Approvals = Result<std::vector<work::Approval>>;
    const auto approvals = await<Approvals>([&](auto done) {
        policy.approve("job.0.0", {"i-1000", "i-1001"}, Timeout, done);
    });
    ASSERT_TRUE(approvals);
    ASSERT_EQ(approvals->size(), 2U);
    EXPECT_EQ((*approvals)[1].worker, "i-1001");
    EXPECT_FALSE((*approvals)[1].ticket.empty());
}

} // namespace cardamompaddle::emulator
