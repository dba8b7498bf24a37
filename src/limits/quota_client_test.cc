#include "limits/quota_client.h"

#include "limits/quota_coordinator.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

const Tenure CoordinatorTenure{0, 100, 1};
const Tenure FirstOwner{1, 200, 1};
const Tenure SecondOwner{2, 300, 1};

// One team "t" with pools "a" and "b" and a network that loses and delays nothing.
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
            for (const QuotaRequest &it : client.takeDueRequests(now))
                client.handle(coordinator.handle(it, now), now);
        }
    }
    void advance(int64_t ms)
    {
        for (const Instant end = now + Duration(ms); now < end; now += Duration(20)) {
            exchange(a);
            exchange(b);
        }
    }
    void completeAll()
    {
        a.setComplete();
        b.setComplete();
        advance(100);
    }
    static void startAll(QuotaClient &client)
    {
        while (client.reserve("t"))
            client.recordStart("t");
    }

    Instant now = instantFromMs(1000);
    QuotaCoordinator coordinator =
        std::move(*QuotaCoordinator::create("t", 0, {}, CoordinatorTenure));
    QuotaClient a = std::move(*QuotaClient::create("a", FirstOwner));
    QuotaClient b = std::move(*QuotaClient::create("b", FirstOwner));
};

// Guards against empty names and negative limits.
TEST_F(LimitsTest, RejectsInvalidArguments)
{
    EXPECT_FALSE(QuotaCoordinator::create("", 1, {}, CoordinatorTenure).ok());
    EXPECT_FALSE(QuotaCoordinator::create("t", -1, {}, CoordinatorTenure).ok());
    EXPECT_FALSE(QuotaCoordinator::create("t", 1, {""}, CoordinatorTenure).ok());
    EXPECT_FALSE(coordinator.setLimit(-1).ok());
    EXPECT_FALSE(QuotaClient::create("", FirstOwner).ok());
}

// Guards against a start for a team that is not in the tables, without an allotment or with a limit
// of 0.
TEST_F(LimitsTest, StartsNothingWithoutAnAllotment)
{
    EXPECT_FALSE(a.mayStart("stranger"));
    EXPECT_FALSE(a.reserve("stranger"));
    completeAll();
    EXPECT_FALSE(a.mayStart("t"));
    EXPECT_FALSE(a.reserve("t", 3));
    exchange(a);
    EXPECT_TRUE(a.reserve("t", 3));
    EXPECT_FALSE(a.mayStart("t"));
    reset(0);
    completeAll();
    EXPECT_FALSE(a.reserve("t"));
    advance(1000);
    EXPECT_FALSE(a.mayStart("t"));
}

// Guards against grants while a pool may run tasks that the coordinator does not know.
TEST_F(LimitsTest, GrantsNothingBeforeEveryPoolHasReported)
{
    a.setComplete();
    b.adopt("t", 4);
    a.reserve("t");
    advance(400);
    EXPECT_FALSE(coordinator.ready());
    EXPECT_FALSE(a.mayStart("t"));
    b.setComplete();
    advance(400);
    EXPECT_TRUE(coordinator.ready());
    a.setDemand("t", 100);
    advance(100);
    EXPECT_EQ(a.allotment("t"), 6);
    EXPECT_EQ(coordinator.rows(now).at(1).allotted, 4);
}

// Guards against a pool that keeps the whole limit because it asked first. Its running tasks are
// not stopped, but allotment that becomes unused goes to the other pool.
TEST_F(LimitsTest, SharesAnExhaustedLimit)
{
    completeAll();
    a.setDemand("t", 100);
    advance(100);
    EXPECT_EQ(a.allotment("t"), 10);
    for (int n = 0; n < 10; ++n)
        a.recordStart("t");
    b.setDemand("t", 100);
    advance(1500);
    EXPECT_EQ(b.allotment("t"), 0);
    EXPECT_EQ(a.excess("t"), 0);
    for (int n = 0; n < 5; ++n) {
        a.recordEnd("t");
        EXPECT_FALSE(a.mayStart("t"));
    }
    advance(300);
    EXPECT_EQ(b.allotment("t"), 5);
    EXPECT_EQ(a.allotment("t"), 5);
    a.recordEnd("t");
    EXPECT_TRUE(a.mayStart("t"));
}

// Guards against one pool that monopolizes a limit smaller than the number of pools.
TEST_F(LimitsTest, SmallLimitAlternatesBetweenPools)
{
    reset(1);
    completeAll();
    int ran[2] = {0, 0};
    for (int round = 0; round < 20; ++round) {
        for (QuotaClient *it : {&a, &b}) {
            it->setDemand("t", 5);
            advance(220);
            if (it->reserve("t")) {
                it->recordStart("t");
                ++ran[it == &a ? 0 : 1];
                advance(1200);
                it->recordEnd("t");
            }
        }
    }
    EXPECT_GE(ran[0], 8);
    EXPECT_GE(ran[1], 8);
}

// Guards against allotment that stays with a pool that does not use it.
TEST_F(LimitsTest, ReturnsAllotmentUnusedForASecond)
{
    completeAll();
    a.setDemand("t", 8);
    advance(100);
    EXPECT_EQ(a.allotment("t"), 8);
    a.reserve("t", 2);
    a.setDemand("t", 0);
    advance(2200);
    EXPECT_EQ(a.allotment("t"), 2);
    EXPECT_EQ(coordinator.unallotted(), 8);
    a.release("t", 2);
    advance(2200);
    EXPECT_EQ(coordinator.unallotted(), 10);
}

// Guards against a deadlock of two pools that each hold 5 of a limit of 10, too little for a gang
// of 8 tasks.
TEST_F(LimitsTest, GangsOfTwoPoolsDoNotBlockEachOther)
{
    EXPECT_FALSE(a.reserve("t", 8));
    EXPECT_FALSE(b.reserve("t", 8));
    completeAll();
    advance(300);
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
        advance(20);
    }
    EXPECT_EQ(placed, 2);
}

// Guards against a lowered limit that is not enforced, or that stops tasks before the unused
// allotment is withdrawn.
TEST_F(LimitsTest, LoweredLimitStopsTheExcess)
{
    completeAll();
    a.setDemand("t", 10);
    advance(100);
    for (int n = 0; n < 7; ++n)
        a.recordStart("t");
    ASSERT_TRUE(coordinator.setLimit(8).ok());
    advance(1100);
    EXPECT_EQ(a.allotment("t"), 8);
    EXPECT_EQ(a.excess("t"), 0);
    ASSERT_TRUE(coordinator.setLimit(4).ok());
    advance(1100);
    EXPECT_FALSE(a.mayStart("t"));
    EXPECT_EQ(a.excess("t"), 3);
    for (int n = 0; n < 3; ++n)
        a.recordEnd("t");
    EXPECT_EQ(a.excess("t"), 0);
    advance(100);
    EXPECT_EQ(coordinator.unallotted(), 0);
}

// Guards against a delayed report of the pool's previous owner that releases the allotment of the
// present one.
TEST_F(LimitsTest, DelayedReportOfPreviousOwnerChangesNothing)
{
    completeAll();
    a.setDemand("t", 10);
    advance(100);
    for (int n = 0; n < 10; ++n)
        a.recordStart("t");
    QuotaRequest delayed{"t", "a", FirstOwner, 1'000'000, CoordinatorTenure};
    delayed.complete = true;
    QuotaClient successor = std::move(*QuotaClient::create("a", SecondOwner));
    successor.setCoordinator("t", CoordinatorTenure);
    successor.adopt("t", 4);
    exchange(successor);
    EXPECT_EQ(coordinator.unallotted(), 0);
    successor.adopt("t", 6);
    successor.setComplete();
    exchange(successor);
    EXPECT_EQ(coordinator.rows(now).at(0).client, SecondOwner);
    EXPECT_FALSE(coordinator.handle(delayed, now).accepted);
    EXPECT_EQ(coordinator.unallotted(), 0);
    EXPECT_EQ(successor.allotment("t"), 10);
}

// Guards against applying a grant after the allotment was reported to another coordinator.
TEST_F(LimitsTest, IgnoresGrantOfPreviousCoordinator)
{
    completeAll();
    a.setDemand("t", 5);
    now += Duration(400);
    const auto requests = a.takeDueRequests(now);
    ASSERT_EQ(requests.size(), 1U);
    const QuotaResponse grant = coordinator.handle(requests[0], now);
    EXPECT_EQ(grant.allotment, 5);
    a.setCoordinator("t", Tenure{3, 400, 1});
    a.handle(grant, now);
    EXPECT_EQ(a.allotment("t"), 0);
    const auto again = a.takeDueRequests(now);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].coordinator, (Tenure{3, 400, 1}));
    a.handle(grant, now);
    EXPECT_EQ(a.allotment("t"), 0);
}

// Guards against applying a grant for another owner of the pool or another session that has the
// sequence number of the latest request, or a grant with another sequence number.
TEST_F(LimitsTest, IgnoresGrantForOtherRequest)
{
    const QuotaRequest request = a.takeDueRequests(now).at(0);
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

// Guards against requests that are not resent after a loss, or resent so often that every slow
// response is outdated on arrival.
TEST_F(LimitsTest, ResendsWithANewSequenceUntilAnswered)
{
    const uint64_t first = a.takeDueRequests(now).at(0).sequence;
    EXPECT_TRUE(a.takeDueRequests(now + Duration(199)).empty());
    EXPECT_GT(a.takeDueRequests(now + Duration(200)).at(0).sequence, first);
    EXPECT_TRUE(a.takeDueRequests(now + Duration(500)).empty());
    EXPECT_EQ(a.takeDueRequests(now + Duration(600)).size(), 1U);
}

// Guards against a removed pool whose running tasks no longer count, and against grants before a
// new pool has reported.
TEST_F(LimitsTest, AddsAndRemovesPools)
{
    completeAll();
    a.setDemand("t", 6);
    advance(100);
    for (int n = 0; n < 6; ++n)
        a.recordStart("t");
    coordinator.setPools({"b", "c"});
    EXPECT_FALSE(coordinator.ready());
    EXPECT_EQ(coordinator.unallotted(), 4);
    advance(1200);
    EXPECT_EQ(coordinator.unallotted(), 4);
    QuotaClient c = std::move(*QuotaClient::create("c", FirstOwner));
    c.setCoordinator("t", CoordinatorTenure);
    c.setComplete();
    exchange(c);
    EXPECT_TRUE(coordinator.ready());
    for (int n = 0; n < 6; ++n)
        a.recordEnd("t");
    advance(1200);
    EXPECT_EQ(coordinator.unallotted(), 10);
    EXPECT_EQ(coordinator.rows(now).size(), 2U);
}

// Guards against a team that keeps unused allotment, or starts tasks, after it left the tables.
TEST_F(LimitsTest, RemovedTeamReturnsItsAllotment)
{
    completeAll();
    a.setDemand("t", 3);
    advance(100);
    a.recordStart("t");
    a.removeTeam("t");
    EXPECT_FALSE(a.mayStart("t"));
    EXPECT_EQ(a.allotment("t"), 1);
    a.recordEnd("t");
    advance(1200);
    EXPECT_EQ(coordinator.unallotted(), 10);
    EXPECT_TRUE(a.teams().empty());
}

} // namespace
} // namespace cardamompaddle
