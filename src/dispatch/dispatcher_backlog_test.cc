// The load of these tests: one or two accounts that hand in more quick jobs than two workers of 8
// cores run, beside batch work.
#include "dispatch/dispatcher_testing.h"

namespace cardamompaddle {

namespace {

class DispatcherBacklogTest : public DispatcherTest
{
protected:
    BacklogSummary backlog(Duration age = Duration::zero())
    {
        return m_dispatcher.backlog(m_now, UnixNow + age.count());
    }
};

} // namespace

// Guards against a summary that counts what cannot delay a new job: finished parts of runs, other
// priorities, work without value and long-running tasks.
TEST_F(DispatcherBacklogTest, CountsWaitingAndRunningWorkByPriority)
{
    join(entry("w"));
    add("quick", {step(10)});
    m_jobRoute = "batch";
    add("batch", {step(4), step(6)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 8U);
    std::vector<ActiveRun> runs;
    runs.reserve(starts.size());
    for (const StartOrder &start : starts)
        runs.push_back(running(start, 50));
    report("w", runs);
    const BacklogSummary summary = backlog();
    ASSERT_EQ(summary.accounts.size(), 1U);
    const AccountBacklog &account = summary.accounts[0];
    EXPECT_EQ(account.pool, "p");
    EXPECT_EQ(account.account, "t");
    EXPECT_EQ(account.coreMs.at(0), 8 * 500 + 2 * 1'000);
    EXPECT_EQ(account.coreMs.at(2), 10 * 1'000);
    EXPECT_EQ(account.demandCpuMilli, 20'000);
    EXPECT_EQ(account.drainCpuMilli, 8'000);
    EXPECT_EQ(account.waitAt(0), Duration(750));
}

// Guards against jobs that are refused because of work that lets them go first.
TEST_F(DispatcherBacklogTest, LeavesOutWorkThatHasNoValueLeft)
{
    join(entry("w", 1'000));
    add("quick", {step(10)});
    ASSERT_EQ(startAll().size(), 1U);
    EXPECT_EQ(backlog().accounts.size(), 1U);
    EXPECT_TRUE(backlog(Duration(60'000)).accounts.empty());
}

// Guards against an account that is refused by its share although its limit lets it use less, and
// against one whose wait is computed as if the fleet were its own.
TEST_F(DispatcherBacklogTest, DividesTheCapacityAmongAccountsWithWaitingWork)
{
    auto catalog = std::make_shared<Catalog>();
    catalog->routes["r"] = m_route;
    catalog->routes["r"].pool = "p";
    catalog->teams["t"].weight = 3;
    catalog->teams["u"].limit.cpuMilli = 2'000;
    m_dispatcher.setCatalog(catalog);
    join(entry("w1"));
    join(entry("w2"));
    add("job", {step(40)});
    EXPECT_EQ(backlog().accounts.at(0).drainCpuMilli, 16'000);
    auto other = std::make_shared<work::Submission>();
    other->id = "other";
    other->route = "r";
    other->team = "u";
    other->steps = {step(40)};
    other->acceptedAtMs = UnixNow;
    m_dispatcher.addJob(other, {}, false);
    const BacklogSummary summary = backlog();
    EXPECT_EQ(summary.find("p", "t")->drainCpuMilli, 14'000);
    EXPECT_EQ(summary.find("p", "u")->drainCpuMilli, 2'000);
}

} // namespace cardamompaddle
