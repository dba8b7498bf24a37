#include "dispatch/dispatcher_testing.h"

namespace cardamompaddle {
namespace {

// Far more than three times the objective of a step of the fixture.
constexpr int64_t ExpiredAgeMs = 60'000;

class ExpiredWorkTest : public DispatcherTest
{
protected:
    explicit ExpiredWorkTest(ExpiredWorkOrder order) : DispatcherTest(policies(order)) { }

    static SchedulingPolicies policies(ExpiredWorkOrder order)
    {
        SchedulingPolicies out;
        out.expiredWork = order;
        return out;
    }
    // Returns the job that gets the only place when an expired job of the urgent route and a recent
    // one of the batch route wait for it.
    std::string firstStarted()
    {
        join(entry("w", 1'000));
        add("expired", {step(1)});
        auto batch = std::make_shared<work::Submission>();
        batch->id = "in-time";
        batch->route = "batch";
        batch->team = "t";
        batch->steps = {step(1)};
        batch->acceptedAtMs = UnixNow + ExpiredAgeMs;
        m_dispatcher.addJob(batch, {}, false);
        const auto starts = m_dispatcher.decide(m_now, UnixNow + ExpiredAgeMs).starts;
        return starts.empty() ? "" : starts[0].task.step.job;
    }
};

class ExpiredWorkLastTest : public ExpiredWorkTest
{
protected:
    ExpiredWorkLastTest() : ExpiredWorkTest(ExpiredWorkOrder::Last) { }
};

class ExpiredWorkByPriorityTest : public ExpiredWorkTest
{
protected:
    ExpiredWorkByPriorityTest() : ExpiredWorkTest(ExpiredWorkOrder::ByPriority) { }
};

// Load: a burst has left quick jobs behind that are too late to be of use. Guards against batch
// jobs that miss their objective as well because of them.
TEST_F(ExpiredWorkLastTest, ExpiredWorkYieldsToOtherPriorities)
{
    EXPECT_EQ(firstStarted(), "in-time");
}

// Guards against a change of the order that nobody has asked for.
TEST_F(ExpiredWorkByPriorityTest, PriorityDecidesUnlessSet)
{
    EXPECT_EQ(firstStarted(), "expired");
}

// Load: urgent work that fills the pool. Guards against a long-running task that stays down after
// its run has failed, because work of a more urgent priority keeps coming.
TEST_F(DispatcherTest, AnInterruptedLongRunningTaskGoesBeforeMoreUrgentWork)
{
    join(entry("w", 1'000));
    work::StepSpec service = step(1);
    service.longRunning = true;
    m_jobRoute = "batch";
    add("service", {service});
    const auto runs = startAll();
    ASSERT_EQ(runs.size(), 1U);
    m_jobRoute = "r";
    add("quick", {step(3)});
    report("w", {}, {ended(runs[0], RunOutcome::Failed)});
    m_now += Duration(500); // the backoff of the failed task
    const auto starts = decide().starts;
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.step.job, "service");
}

} // namespace
} // namespace cardamompaddle
