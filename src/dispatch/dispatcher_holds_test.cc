#include "dispatch/dispatcher_testing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cardamompaddle {
namespace {

constexpr int64_t WorkerCpuMilli = 8'000;
constexpr int64_t HalfWorkerCpuMilli = 4'000;
constexpr Duration Patience{500};

// Less urgent work, of which single tasks fill the workers w0, w1, ... while a gang waits that
// takes whole workers.
class HoldsTest : public DispatcherTest
{
protected:
    HoldsTest() { m_jobRoute = "batch"; }

    void joinWorkers(int count)
    {
        for (int i = 0; i < count; ++i)
            join(entry("w" + std::to_string(i), WorkerCpuMilli));
    }
    void addSingles(const std::string &id, int32_t tasks)
    {
        add(id, {step(tasks, HalfWorkerCpuMilli)});
    }
    void addGang(const std::string &id, int32_t tasks)
    {
        work::StepSpec spec = step(tasks, WorkerCpuMilli);
        spec.gang = true;
        add(id, {spec});
    }
    // Reports the run as finished and all others on its worker as running.
    void finish(StartOrder order)
    {
        std::erase_if(m_running, [&order](const StartOrder &it) {
            return it.worker == order.worker && it.task.toString() == order.task.toString();
        });
        std::vector<ActiveRun> left;
        for (const StartOrder &it : m_running) {
            if (it.worker == order.worker)
                left.push_back(running(it));
        }
        report(order.worker, left, {ended(order, RunOutcome::Succeeded)});
    }
    // Starts what can start and returns the jobs of the tasks.
    std::vector<std::string> startedJobs()
    {
        std::vector<std::string> jobs;
        for (const StartOrder &order : startAll()) {
            m_running.push_back(order);
            jobs.push_back(order.job->id);
        }
        return jobs;
    }
    // Ends the runs one by one. Returns the jobs that started meanwhile.
    std::vector<std::string> endRunsOneByOne()
    {
        std::vector<std::string> jobs;
        const std::vector<StartOrder> runs = m_running;
        for (const StartOrder &run : runs) {
            finish(run);
            const auto started = startedJobs();
            jobs.insert(jobs.end(), started.begin(), started.end());
        }
        return jobs;
    }

    std::vector<StartOrder> m_running;
};

// Guards against a gang that never starts because single tasks take each place that becomes free.
TEST_F(HoldsTest, AGangGetsThePlacesThatBecomeFree)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 2);
    EXPECT_TRUE(startedJobs().empty());
    m_now += Patience;
    EXPECT_EQ(endRunsOneByOne(), (std::vector<std::string>{"gang", "gang"}));
    EXPECT_EQ(eventDetails("hold_began").size(), 1U);
    EXPECT_EQ(eventDetails("hold_ended").size(), 1U);
}

TEST_F(HoldsTest, SingleTasksGoOnUntilTheGangHasWaited)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 2);
    startedJobs();
    EXPECT_EQ(endRunsOneByOne(), std::vector<std::string>(4, "singles"));
}

// Guards against a gang that never starts because single tasks of its team take the team's limit.
TEST_F(HoldsTest, AGangGetsTheLimitOfItsTeam)
{
    m_limit = {2 * WorkerCpuMilli, 0, 0, 0, 0};
    setCatalog();
    joinWorkers(8);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 2);
    startedJobs();
    m_now += Patience;
    EXPECT_EQ(endRunsOneByOne(), (std::vector<std::string>{"gang", "gang"}));
}

TEST_F(HoldsTest, AGangThatExceedsTheLimitHoldsNothing)
{
    m_limit = {2 * WorkerCpuMilli, 0, 0, 0, 0};
    setCatalog();
    joinWorkers(8);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 3);
    startedJobs();
    m_now += Patience;
    EXPECT_EQ(endRunsOneByOne(), std::vector<std::string>(4, "singles"));
}

// Guards against quick work that waits behind a gang of a less urgent route.
TEST_F(HoldsTest, MoreUrgentWorkStartsOnHeldPlaces)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 2);
    startedJobs();
    m_now += Patience;
    finish(m_running.front());
    EXPECT_TRUE(startedJobs().empty());
    m_jobRoute = "r";
    addSingles("urgent", 1);
    EXPECT_EQ(startedJobs(), std::vector<std::string>{"urgent"});
}

// Guards against idle workers: what the gang has no use for goes to the work behind it.
TEST_F(HoldsTest, PlacesThatTheGangDoesNotNeedAreNotHeld)
{
    joinWorkers(3);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 6U);
    addGang("gang", 2);
    startedJobs();
    m_now += Patience;
    const std::vector<StartOrder> runs = m_running; // two on each worker
    for (const size_t i : {0U, 1U, 2U}) {
        finish(runs[i]);
        EXPECT_TRUE(startedJobs().empty());
    }
    finish(runs[4]);
    EXPECT_EQ(startedJobs(), std::vector<std::string>{"singles"});
}

// Guards against a fleet that stands still because several gangs hold places at the same time.
TEST_F(HoldsTest, OnlyOneGangOfAPoolHoldsPlaces)
{
    joinWorkers(4);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 8U);
    addGang("gang", 2);
    addGang("second", 2);
    startedJobs();
    m_now += Patience;
    startedJobs();
    EXPECT_EQ(eventDetails("hold_began").size(), 1U);
}

// Guards against gangs that take each other's places, so that none of them gets all that it needs.
TEST_F(HoldsTest, TheGangThatHasWaitedLongestHoldsPlaces)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("z-older", 2);
    startedJobs();
    m_now += Patience;
    // Shorter, so that it has less slack.
    work::StepSpec spec = step(2, WorkerCpuMilli);
    spec.gang = true;
    spec.estimatedMs = 100;
    add("a-newer", {spec});
    startedJobs();
    m_now += Patience;
    const auto jobs = endRunsOneByOne();
    ASSERT_EQ(jobs.size(), 2U);
    EXPECT_EQ(jobs, (std::vector<std::string>{"z-older", "z-older"}));
}

// Guards against a team far below its limit that stands still for a gang which waits for its other
// work.
TEST_F(HoldsTest, ATeamBelowHalfOfItsLimitGoesOnBesideAHold)
{
    m_limit = {10 * WorkerCpuMilli, 0, 0, 0, 0};
    setCatalog();
    joinWorkers(12);
    addSingles("old", 8); // 4 workers' worth of the limit
    ASSERT_EQ(startedJobs().size(), 8U);
    addGang("gang", 7);
    startedJobs();
    m_now += Patience;
    EXPECT_TRUE(startedJobs().empty());
    addSingles("singles", 1);
    EXPECT_TRUE(startedJobs().empty());
    m_now += Duration(2'000);
    EXPECT_EQ(startedJobs(), std::vector<std::string>{"singles"});
}

// Guards against limit that is held for a gang which long-running tasks keep from starting for
// good.
TEST_F(HoldsTest, NoLimitIsHeldForAGangThatDoesNotFitBesideLongRunningTasks)
{
    m_limit = {4 * WorkerCpuMilli, 0, 0, 0, 0};
    setCatalog();
    joinWorkers(8);
    work::StepSpec lasting = step(2, WorkerCpuMilli);
    lasting.longRunning = true;
    add("lasting", {lasting});
    ASSERT_EQ(startedJobs().size(), 2U);
    addGang("gang", 3);
    startedJobs();
    m_now += Patience;
    addSingles("singles", 1);
    EXPECT_EQ(startedJobs(), std::vector<std::string>{"singles"});
}

// Guards against places that are held on workers which long-running tasks occupy for good.
TEST_F(HoldsTest, NoPlacesAreHeldForAGangThatDoesNotFitBesideLongRunningTasks)
{
    joinWorkers(3);
    work::StepSpec lasting = step(1, WorkerCpuMilli);
    lasting.longRunning = true;
    add("lasting", {lasting});
    ASSERT_EQ(startedJobs().size(), 1U);
    addGang("gang", 3);
    startedJobs();
    m_now += Patience;
    addSingles("singles", 1);
    EXPECT_EQ(startedJobs(), std::vector<std::string>{"singles"});
}

// Guards against work that waits for good behind a gang that never gets all that it needs.
TEST_F(HoldsTest, AHoldEnds)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 2);
    startedJobs();
    m_now += Patience;
    startedJobs();
    m_now += Duration(10'000);
    EXPECT_EQ(endRunsOneByOne(), std::vector<std::string>(4, "singles"));
    EXPECT_EQ(eventDetails("hold_ended").size(), 1U);
}

TEST_F(HoldsTest, ACancelledGangHoldsNothing)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 2);
    startedJobs();
    m_now += Patience;
    startedJobs();
    m_dispatcher.cancelJob("gang");
    EXPECT_EQ(endRunsOneByOne(), std::vector<std::string>(4, "singles"));
}

// Guards against places that are held for a gang which more workers than there are would have to
// take.
TEST_F(HoldsTest, AGangThatDoesNotFitOnAllWorkersHoldsNothing)
{
    joinWorkers(2);
    addSingles("singles", 20);
    ASSERT_EQ(startedJobs().size(), 4U);
    addGang("gang", 3);
    startedJobs();
    m_now += Patience;
    EXPECT_EQ(endRunsOneByOne(), std::vector<std::string>(4, "singles"));
}

} // namespace
} // namespace cardamompaddle
