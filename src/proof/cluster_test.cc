// Short simulations of a whole cluster with faults. cluster_run does the same for longer.

#include "proof/fault_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <sstream>

namespace cardamompaddle::proof {
namespace {

void expectNoViolation(const Cluster &cluster)
{
    for (const std::string &it : cluster.violations())
        ADD_FAILURE() << it;
}

// Guards against losing accepted jobs when all entry instances are replaced at once.
TEST(ClusterTest, JobsSurviveTheLossOfAllMembers)
{
    Cluster cluster({});
    bootstrap(cluster);
    cluster.submit(0, "large", WorkKind::Batch, 12, true, Duration(3'000));
    cluster.run(Duration(1'000));
    for (int n = 0; n < cluster.members(); ++n)
        cluster.kill(n);
    cluster.run(Duration(500));
    healAndVerify(cluster);
    expectNoViolation(cluster);
    EXPECT_GE(cluster.oracle().starts(), 12U);
}

// Guards against pools that start no work for more than 10 s after their owner died.
TEST(ClusterTest, NewOwnerStartsWithinTenSeconds)
{
    for (int victim = 0; victim < 3; ++victim) {
        Cluster cluster({});
        bootstrap(cluster);
        cluster.run(Duration(10'000));
        cluster.kill(victim);
        cluster.run(Duration(10'000) - Duration(1'000));
        const uint64_t before = cluster.oracle().starts();
        cluster.request((victim + 1) % 3, "large", true, Duration(10));
        cluster.submit((victim + 1) % 3, "large", WorkKind::Batch, 1, true, Duration(10));
        cluster.run(Duration(1'000));
        EXPECT_EQ(cluster.oracle().starts() - before, 2U) << "victim " << victim;
        expectNoViolation(cluster);
    }
}

// Guards against rejecting quick requests during a log outage that is longer than every lease.
TEST(ClusterTest, QuickRequestsContinueWhileTheLogIsDown)
{
    Cluster cluster({});
    bootstrap(cluster);
    cluster.run(Duration(10'000));
    cluster.world().faults.logDown = true;
    cluster.run(Duration(60'000));
    const uint64_t before = cluster.oracle().starts();
    cluster.request(0, "large", true, Duration(10));
    cluster.request(1, "small", false, Duration(10));
    cluster.run(Duration(1'000));
    EXPECT_EQ(cluster.oracle().starts() - before, 2U);
    expectNoViolation(cluster);
}

// Guards against a partitioned member that continues to accept work or start tasks.
TEST(ClusterTest, PartitionedMemberAcceptsNothing)
{
    Cluster cluster({});
    bootstrap(cluster);
    cluster.run(Duration(10'000));
    apply(cluster, {StepKind::CutMember, 0, 0});
    cluster.run(Duration(3'000));
    EXPECT_FALSE(cluster.node(0).notReadyReason(instantFromMs(INT64_MAX / 2)).empty());
    EXPECT_TRUE(cluster.node(0).owners().empty());
    healAndVerify(cluster);
    expectNoViolation(cluster);
}

// Guards against starting a task elsewhere before its lease on an unreachable worker has expired.
TEST(ClusterTest, TasksOnUnreachableWorkersWaitForTheirLeases)
{
    Cluster cluster({});
    bootstrap(cluster);
    cluster.run(Duration(10'000));
    cluster.submit(0, "large", WorkKind::Batch, 12, true, Duration(20'000));
    cluster.run(Duration(2'000));
    for (int member = 0; member < cluster.members(); ++member) {
        for (const int worker : {0, 1, 2})
            cluster.world().faults.cutWorkers.insert({member, worker});
    }
    cluster.run(Duration(30'000));
    healAndVerify(cluster);
    expectNoViolation(cluster);
    EXPECT_GT(cluster.oracle().starts(), 12U); // some tasks were started again elsewhere
}

// Checks every invariant of docs/design.md under random faults, commands and work.
RC_GTEST_PROP(ClusterProperty, InvariantsHoldUnderRandomFaults, ())
{
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    std::mt19937_64 random(seed);
    ClusterOptions options;
    options.seed = seed;
    Cluster cluster(options);
    bootstrap(cluster);
    constexpr int Steps = 30;
    std::ostringstream steps;
    for (int n = 0; n < Steps && cluster.violations().empty(); ++n) {
        const Step step = randomStep(random);
        steps << ' ' << step;
        apply(cluster, step);
    }
    if (cluster.violations().empty())
        healAndVerify(cluster);
    for (const std::string &it : cluster.violations())
        RC_FAIL(it + ";" + steps.str() + "\n" + cluster.describe());
}

} // namespace
} // namespace cardamompaddle::proof
