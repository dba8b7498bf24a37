// A worker starts again, and is lost for good together with all instances some time later, in
// virtual time. Its lasting task must start elsewhere in time, and never run twice.
#include "simulated_fleet_testing.h"

#include <array>

namespace cardamompaddle::emulator {
namespace {

class StaleLeasesSimulation : public SimulatedFleet
{
protected:
    static constexpr Duration DownTime{3'000}; // of all instances
    // The longest time without a run that callers are promised, after a loss of all instances for
    // DownTime: 3 s until machines count as in touch, 4 s of calm and 3 s more.
    static constexpr Duration PromisedTime = DownTime + Duration(10'000);

    // Starts a lasting task on the only worker, which then crashes and starts again.
    void restartWorkerOfLastingTask()
    {
        addWorkers(1, 1, Duration(100), Duration(200));
        m_lastingJobs = {Job};
        for (const char *name : Names)
            addNode(name);
        ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(10'000)));
        submitLasting();
        ASSERT_TRUE(runUntil([this] { return m_checker.starts() == 1; }));
        runFor(Duration(1'000));
        // Calls of this second, of which one requests a lease, are carried out by the next
        // incarnation before it answers a probe. By its clock the lease would last for minutes, so
        // the longest one is granted.
        CallFaults &faults = m_models->faults(First);
        faults.lostShare = 1;
        faults.lateAtLeast = faults.lateAtMost = Duration(1'600);
        runFor(Duration(1'000));
        m_models->crash(First);
        runFor(Duration(500));
        m_models->restart(First);
        faults.lateAtLeast = faults.lateAtMost = Duration::zero(); // never
        runFor(Duration(1'200));
        faults = CallFaults();
        m_answersSince = m_clock.now();
        writeEntry(First);
    }
    // Returns how long leases may still last that calls of before may have been granted.
    Duration leaseLeft() const
    {
        const Duration longest = maxLeaseDuration(m_maxLease);
        return std::max(Duration::zero(), m_answersSince + longest - m_clock.now());
    }
    // The worker is gone, and another one joins. If it is cut off, its run goes on for as long as
    // its lease does.
    void loseWorker(bool cutOff)
    {
        cutOff ? m_models->setCutOff(First, true) : m_models->crash(First);
        m_lostAt = m_clock.now();
        m_startsBefore = m_checker.starts();
        m_models->add(Second);
        heartbeat(Second);
        constexpr Duration EntryLifetime = 3 * HeartbeatInterval;
        at(EntryLifetime, [this] { m_model.put(RegistryTopic, First, ""); });
    }
    bool hasStarted() const { return m_checker.starts() > m_startsBefore; }
    void startAll()
    {
        for (const char *name : Names)
            addNode(name);
    }
    void loseAll()
    {
        for (const char *name : Names)
            lose(name);
    }
    // Each instance is lost and started again, `times` in all, a little after it schedules.
    void replaceSchedulers(int times)
    {
        for (int i = 0; i < times; ++i) {
            ASSERT_TRUE(runUntil([this] { return schedulers() == 1; }, Duration(10'000)));
            runFor(Duration(draw(50, 500)));
            const std::string name = schedulerName();
            lose(name);
            at(Duration(300), [this, name] { addNode(name); });
        }
    }

    static constexpr std::array<const char *, 3> Names = {"a", "b", "c"};
    static constexpr const char *Job = "job";
    static inline const std::string First = workerName(0);
    static inline const std::string Second = workerName(1);
    Instant m_answersSince;
    Instant m_lostAt;
    int m_startsBefore = 0;

private:
    void submitLasting()
    {
        work::Submission job = makeJob(Job);
        job.steps[0].longRunning = true;
        scheduler().instance->submitter().submit(job, false, m_clock.now() + Duration(2'500),
                                                 [](SubmitOutcome, const std::string &) {});
    }
};

// The parameter is the time in seconds from the restart to the loss.
class LossAfterRestartTest : public StaleLeasesSimulation, public ::testing::WithParamInterface<int>
{
protected:
    static Duration untilLoss() { return std::chrono::seconds(GetParam()); }
};

// The parameter is the time from the restart to the cut, in quarters of a second.
class CutAfterRestartTest : public StaleLeasesSimulation, public ::testing::WithParamInterface<int>
{
protected:
    // Leases that a later scheduler must count with end little after those that it would count with
    // anyway, so the instances are back soon.
    static constexpr Duration ShortDownTime{200};
    static Duration untilCut() { return Duration(250) * GetParam(); }
};

class TakeoversAfterRestartTest : public LossAfterRestartTest
{ };

class TakeoversAfterCutTest : public CutAfterRestartTest
{ };

} // namespace

// Guards against a lasting task that doesn't run although there is room: each process counts the
// leases that a worker's former life may have left anew, also long after they have ended.
TEST_P(LossAfterRestartTest, ALastingTaskStartsElsewhereInTime)
{
    restartWorkerOfLastingTask();
    runFor(untilLoss());
    const Duration left = leaseLeft();
    loseWorker(false);
    loseAll();
    runFor(DownTime);
    startAll();
    ASSERT_TRUE(runUntil([this] { return hasStarted(); }, Duration(40'000)));
    const Duration waited = m_clock.now() - m_lostAt;
    RecordProperty("waited_ms", static_cast<int>(waited.count()));
    EXPECT_LE(waited.count(), (left + PromisedTime).count());
    if (left == Duration::zero()) {
        EXPECT_LE(waited.count(), PromisedTime.count());
    }
    EXPECT_EQ(m_checker.violations(), std::vector<std::string>());
}

// Guards against two runs at once: the task starts elsewhere although a call of before has granted
// its worker a lease that goes on.
TEST_P(CutAfterRestartTest, ALastingTaskNeverRunsTwice)
{
    restartWorkerOfLastingTask();
    runFor(untilCut());
    ASSERT_GT(m_models->shortenedLeases(), 0);
    loseWorker(true);
    loseAll();
    runFor(ShortDownTime);
    startAll();
    EXPECT_TRUE(runUntil([this] { return hasStarted(); }, Duration(40'000)));
    runFor(Duration(15'000));
    EXPECT_EQ(m_checker.violations(), std::vector<std::string>());
}

// Guards against the same in a series of takeovers, which counts what is left of the lease.
TEST_P(TakeoversAfterCutTest, ALastingTaskNeverRunsTwice)
{
    restartWorkerOfLastingTask();
    runFor(untilCut());
    ASSERT_GT(m_models->shortenedLeases(), 0);
    loseWorker(true);
    replaceSchedulers(10);
    EXPECT_TRUE(runUntil([this] { return hasStarted(); }, Duration(40'000)));
    runFor(Duration(15'000));
    EXPECT_EQ(m_checker.violations(), std::vector<std::string>());
}

// Guards against the same wait in a series of takeovers, each by a process that has just started.
TEST_P(TakeoversAfterRestartTest, ALastingTaskStartsElsewhereInTime)
{
    restartWorkerOfLastingTask();
    runFor(untilLoss());
    const Duration left = leaseLeft();
    loseWorker(false);
    replaceSchedulers(10);
    const Instant calmAt = m_clock.now();
    ASSERT_TRUE(runUntil([this] { return hasStarted(); }, Duration(40'000)));
    RecordProperty("waited_ms", static_cast<int>((m_clock.now() - m_lostAt).count()));
    // What is promised after the last takeover, or once the leases have ended if that is later.
    EXPECT_LE((m_clock.now() - std::max(calmAt, m_lostAt + left)).count(), 10'000);
    EXPECT_EQ(m_checker.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Seconds, LossAfterRestartTest, ::testing::Range(0, 31));
INSTANTIATE_TEST_SUITE_P(QuarterSeconds, CutAfterRestartTest, ::testing::Range(0, 49));
INSTANTIATE_TEST_SUITE_P(QuarterSeconds, TakeoversAfterCutTest, ::testing::Range(0, 49, 2));
INSTANTIATE_TEST_SUITE_P(Seconds, TakeoversAfterRestartTest, ::testing::Range(0, 31, 5));

} // namespace cardamompaddle::emulator
