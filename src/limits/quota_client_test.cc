#include "limits/quota_client.h"

#include "limits/quota_coordinator.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

const Tenure CoordinatorTenure{0, 100, 1};
const Tenure FirstOwner{1, 200, 1};
const Tenure SecondOwner{2, 300, 1};

// One team "t" with pools "a" and "b" and a network without faults.
class LimitsTest : public testing::Test
{
protected:
    LimitsTest() { reset(10); }

    void reset(int32_t limit)
    {
        coordinator =
            std::move(*QuotaCoordinator::create("t", limit, {"a", "b"}, CoordinatorTenure));
        for (QuotaClient *it : {&a, &b}) {
            *it = std::move(*QuotaClient::create(it == &a ? "a" : "b", FirstOwner));
            it->setCoordinator("t", CoordinatorTenure);
        }
    }
    void exchange(QuotaClient &client)
    {
        for (int n = 0; n < 4; ++n) {
            for (const QuotaRequest &it : client.requests(now))
                client.handle(coordinator.handle(it, now), now);
        }
    }
    void pass(int64_t ms)
    {
        for (const Instant end = now + Duration(ms); now < end; now += Duration(20)) {
            exchange(a);
            exchange(b);
        }
    }
    void open()
    {
        a.setComplete();
        b.setComplete();
        pass(100);
    }
    static void startAll(QuotaClient &client)
    {
        while (client.reserve("t"))
            client.started("t");
    }

    Instant now = instantFromMs(1000);
    QuotaCoordinator coordinator =
        std::move(*QuotaCoordinator::create("t", 0, {}, CoordinatorTenure));
    QuotaClient a = std::move(*QuotaClient::create("a", FirstOwner));
    QuotaClient b = std::move(*QuotaClient::create("b", FirstOwner));
};

// Guards against nameless parties and negative limits.
TEST_F(LimitsTest, RejectsInvalidArguments)
{
    EXPECT_FALSE(QuotaCoordinator::create("", 1, {}, CoordinatorTenure).ok());
    EXPECT_FALSE(QuotaCoordinator::create("t", -1, {}, CoordinatorTenure).ok());
    EXPECT_FALSE(QuotaCoordinator::create("t", 1, {""}, CoordinatorTenure).ok());
    EXPECT_FALSE(coordinator.setLimit(-1).ok());
    EXPECT_FALSE(QuotaClient::create("", FirstOwner).ok());
}

// Guards against a start for a team that is not in the tables, without an allotment, or before the
// tasks of the pool are known.
TEST_F(LimitsTest, StartsNothingWithoutAPart)
{
    EXPECT_FALSE(a.mayStart("stranger"));
    EXPECT_FALSE(a.reserve("stranger"));
    open();
    EXPECT_FALSE(a.mayStart("t"));
    EXPECT_FALSE(a.reserve("t", 3));
    exchange(a);
    EXPECT_TRUE(a.reserve("t", 3));
    EXPECT_FALSE(a.mayStart("t"));
    reset(0);
    open();
    EXPECT_FALSE(a.reserve("t"));
    pass(1000);
    EXPECT_FALSE(a.mayStart("t"));
}

// Guards against a coordinator that lends while tasks of some pool may be unknown to it.
TEST_F(LimitsTest, LendsNothingBeforeEveryPoolHasReported)
{
    a.setComplete();
    b.adopt("t", 4);
    a.reserve("t");
    pass(400);
    EXPECT_FALSE(coordinator.ready());
    EXPECT_FALSE(a.mayStart("t"));
    b.setComplete();
    pass(400);
    EXPECT_TRUE(coordinator.ready());
    a.setDemand("t", 100);
    pass(100);
    EXPECT_EQ(a.allotment("t"), 6);
    EXPECT_EQ(coordinator.rows(now).at(1).allotted, 4);
}

// Guards against a pool that takes everything because it asked first.
TEST_F(LimitsTest, SharesAScarceLimit)
{
    open();
    a.setDemand("t", 100);
    pass(100);
    EXPECT_EQ(a.allotment("t"), 10);
    for (int n = 0; n < 10; ++n)
        a.started("t");
    b.setDemand("t", 100);
    pass(1500);
    EXPECT_EQ(b.allotment("t"), 0);
    EXPECT_EQ(a.excess("t"), 0);
    for (int n = 0; n < 5; ++n) {
        a.ended("t");
        EXPECT_FALSE(a.mayStart("t"));
    }
    pass(300);
    EXPECT_EQ(b.allotment("t"), 5);
    EXPECT_EQ(a.allotment("t"), 5);
    a.ended("t");
    EXPECT_TRUE(a.mayStart("t"));
}

// Guards against a limit below the number of pools that one pool keeps for itself.
TEST_F(LimitsTest, ASmallLimitMovesBetweenPools)
{
    reset(1);
    open();
    int ran[2] = {0, 0};
    for (int turn = 0; turn < 20; ++turn) {
        for (QuotaClient *it : {&a, &b}) {
            it->setDemand("t", 5);
            pass(220);
            if (it->reserve("t")) {
                it->started("t");
                ++ran[it == &a ? 0 : 1];
                pass(1200);
                it->ended("t");
            }
        }
    }
    EXPECT_GE(ran[0], 8);
    EXPECT_GE(ran[1], 8);
}

// Guards against parts that stay with a pool that has no use for them.
TEST_F(LimitsTest, ReturnsPartsUnusedForASecond)
{
    open();
    a.setDemand("t", 8);
    pass(100);
    EXPECT_EQ(a.allotment("t"), 8);
    a.reserve("t", 2);
    a.setDemand("t", 0);
    pass(2200);
    EXPECT_EQ(a.allotment("t"), 2);
    EXPECT_EQ(coordinator.free(), 8);
    a.release("t", 2);
    pass(2200);
    EXPECT_EQ(coordinator.free(), 10);
}

// Guards against two pools that each keep half of what a gang of either needs.
TEST_F(LimitsTest, GangsOfTwoPoolsDoNotBlockEachOther)
{
    EXPECT_FALSE(a.reserve("t", 8));
    EXPECT_FALSE(b.reserve("t", 8));
    open();
    pass(300);
    EXPECT_EQ(a.allotment("t"), 5);
    EXPECT_EQ(b.allotment("t"), 5);
    int placed = 0;
    for (int n = 0; n < 1000 && placed < 2; ++n) {
        for (QuotaClient *it : {&a, &b}) {
            if (!it->reserve("t", 8))
                continue;
            ++placed;
            it->release("t", 8);
            it->setDemand("t", 0);
        }
        pass(20);
    }
    EXPECT_EQ(placed, 2);
}

// Guards against a lowered limit that is not enforced, or enforced on idle parts last.
TEST_F(LimitsTest, LoweredLimitStopsTheExcess)
{
    open();
    a.setDemand("t", 10);
    pass(100);
    for (int n = 0; n < 7; ++n)
        a.started("t");
    ASSERT_TRUE(coordinator.setLimit(8).ok());
    pass(1100);
    EXPECT_EQ(a.allotment("t"), 8);
    EXPECT_EQ(a.excess("t"), 0);
    ASSERT_TRUE(coordinator.setLimit(4).ok());
    pass(1100);
    EXPECT_FALSE(a.mayStart("t"));
    EXPECT_EQ(a.excess("t"), 3);
    for (int n = 0; n < 3; ++n)
        a.ended("t");
    EXPECT_EQ(a.excess("t"), 0);
    pass(100);
    EXPECT_EQ(coordinator.free(), 0);
}

// Guards against a late message of an earlier owner that frees the allotment of the present one.
TEST_F(LimitsTest, LateReportOfAnEarlierOwnerChangesNothing)
{
    open();
    a.setDemand("t", 10);
    pass(100);
    for (int n = 0; n < 10; ++n)
        a.started("t");
    QuotaRequest late{"t", "a", FirstOwner, 1'000'000, CoordinatorTenure};
    late.complete = true;
    QuotaClient next = std::move(*QuotaClient::create("a", SecondOwner));
    next.setCoordinator("t", CoordinatorTenure);
    next.adopt("t", 4);
    exchange(next);
    EXPECT_EQ(coordinator.free(), 0);
    next.adopt("t", 6);
    next.setComplete();
    exchange(next);
    EXPECT_EQ(coordinator.rows(now).at(0).client, SecondOwner);
    EXPECT_FALSE(coordinator.handle(late, now).accepted);
    EXPECT_EQ(coordinator.free(), 0);
    EXPECT_EQ(next.allotment("t"), 10);
}

// Guards against a grant that is taken after the allotment was reported to another coordinator.
TEST_F(LimitsTest, TakesNoGrantOfAnEarlierLedger)
{
    open();
    a.setDemand("t", 5);
    now += Duration(400);
    const auto requests = a.requests(now);
    ASSERT_EQ(requests.size(), 1U);
    const QuotaResponse grant = coordinator.handle(requests[0], now);
    EXPECT_EQ(grant.allotment, 5);
    a.setCoordinator("t", Tenure{3, 400, 1});
    a.handle(grant, now);
    EXPECT_EQ(a.allotment("t"), 0);
    const auto again = a.requests(now);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].coordinator, (Tenure{3, 400, 1}));
    a.handle(grant, now);
    EXPECT_EQ(a.allotment("t"), 0);
}

// Guards against a grant to an earlier owner of the pool, or under another session, that happens to
// have the number of the present request.
TEST_F(LimitsTest, TakesNoGrantMeantForOthers)
{
    const QuotaRequest request = a.requests(now).at(0);
    QuotaResponse grant{"t", "a", FirstOwner, request.sequence, request.coordinator, 5, 5, true};
    QuotaResponse other = grant;
    other.client = SecondOwner;
    a.handle(other, now);
    EXPECT_EQ(a.allotment("t"), 0);
    other = grant;
    other.coordinator.generation = 77;
    a.handle(other, now);
    EXPECT_EQ(a.allotment("t"), 0);
    other = grant;
    other.sequence += 1;
    a.handle(other, now);
    EXPECT_EQ(a.allotment("t"), 0);
    a.handle(grant, now);
    EXPECT_EQ(a.allotment("t"), 5);
}

// Guards against requests that stop after a loss, or that outdate every slow answer.
TEST_F(LimitsTest, ResendsWithANewSequenceUntilAnswered)
{
    const uint64_t first = a.requests(now).at(0).sequence;
    EXPECT_TRUE(a.requests(now + Duration(199)).empty());
    EXPECT_GT(a.requests(now + Duration(200)).at(0).sequence, first);
    EXPECT_TRUE(a.requests(now + Duration(500)).empty());
    EXPECT_EQ(a.requests(now + Duration(600)).size(), 1U);
}

// Guards against a removed pool whose running tasks are forgotten, and a new one that is not asked.
TEST_F(LimitsTest, PoolsComeAndGo)
{
    open();
    a.setDemand("t", 6);
    pass(100);
    for (int n = 0; n < 6; ++n)
        a.started("t");
    coordinator.setPools({"b", "c"});
    EXPECT_FALSE(coordinator.ready());
    EXPECT_EQ(coordinator.free(), 4);
    pass(1200);
    EXPECT_EQ(coordinator.free(), 4);
    QuotaClient c = std::move(*QuotaClient::create("c", FirstOwner));
    c.setCoordinator("t", CoordinatorTenure);
    c.setComplete();
    exchange(c);
    EXPECT_TRUE(coordinator.ready());
    for (int n = 0; n < 6; ++n)
        a.ended("t");
    pass(1200);
    EXPECT_EQ(coordinator.free(), 10);
    EXPECT_EQ(coordinator.rows(now).size(), 2U);
}

// Guards against a team that keeps its allotment, or starts work, after it left the tables.
TEST_F(LimitsTest, RemovedTeamReturnsItsPart)
{
    open();
    a.setDemand("t", 3);
    pass(100);
    a.started("t");
    a.removeTeam("t");
    EXPECT_FALSE(a.mayStart("t"));
    EXPECT_EQ(a.allotment("t"), 1);
    a.ended("t");
    pass(1200);
    EXPECT_EQ(coordinator.free(), 10);
    EXPECT_TRUE(a.teams().empty());
}

} // namespace
} // namespace cardamompaddle
