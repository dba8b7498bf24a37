#include "control/publication_tree.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace cardamompaddle {
namespace {

const Instant Start = instantFromMs(10'000);

std::vector<PublicationPeer> peers(int count)
{
    std::vector<PublicationPeer> out;
    out.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i)
        out.push_back({"p" + std::to_string(i), 0, ""});
    return out;
}

std::vector<std::string> reached(const std::vector<PublicationRoute> &routes)
{
    std::vector<std::string> out;
    for (const PublicationRoute &route : routes) {
        out.push_back(route.address);
        out.insert(out.end(), route.relayTo.begin(), route.relayTo.end());
    }
    return out;
}

// Guards against peers that are left out or named twice, and against a number of calls that grows
// with the number of peers.
TEST(PublicationTreeTest, ReachesEachPeerOnceWithAboutTheSquareRootOfCalls)
{
    const PublicationTree tree;
    for (int count = 0; count <= 200; ++count) {
        const auto routes = tree.routes(peers(count), Start);
        const auto all = reached(routes);
        EXPECT_EQ(all.size(), static_cast<size_t>(count));
        EXPECT_EQ(std::set<std::string>(all.begin(), all.end()).size(), all.size());
        EXPECT_LE(routes.size(), count <= 8 ? 8U : 15U);
        for (const PublicationRoute &route : routes)
            EXPECT_LE(route.relayTo.size(), 14U);
    }
}

// Guards against small machines that relay beside a large one, and groups over several zones.
TEST(PublicationTreeTest, GroupsFollowZonesAndTheLargestMachineIsHead)
{
    std::vector<PublicationPeer> all = peers(16);
    for (size_t i = 0; i < all.size(); ++i) {
        all[i].availabilityZone = i % 2 == 0 ? "east" : "west";
        all[i].cpuMilli = i < 4 ? 500 : 120;
    }
    const auto routes = PublicationTree().routes(all, Start);
    ASSERT_EQ(routes.size(), 4U);
    const auto find = [&all](const std::string &address) {
        return *std::find_if(all.begin(), all.end(),
                             [&address](const auto &it) { return it.address == address; });
    };
    for (const PublicationRoute &route : routes) {
        const PublicationPeer head = find(route.address);
        for (const std::string &address : route.relayTo) {
            EXPECT_EQ(find(address).availabilityZone, head.availabilityZone);
            EXPECT_LE(find(address).cpuMilli, head.cpuMilli);
        }
    }
}

// Guards against a failed head that is chosen again before a call to it has succeeded.
TEST(PublicationTreeTest, AFailedPeerIsProbedDirectlyBeforeItIsHeadAgain)
{
    PublicationTree tree;
    const auto all = peers(9);
    const std::string head = tree.routes(all, Start).front().address;
    const auto isHead = [&](Instant now) {
        const auto routes = tree.routes(all, now);
        return std::any_of(routes.begin(), routes.end(), [&](const PublicationRoute &it) {
            return it.address == head && !it.relayTo.empty();
        });
    };
    const auto isCalled = [&](Instant now) {
        const auto routes = tree.routes(all, now);
        return std::any_of(routes.begin(), routes.end(),
                           [&](const PublicationRoute &it) { return it.address == head; });
    };
    ASSERT_TRUE(isHead(Start));
    tree.callFailed(head, Start);
    EXPECT_FALSE(isCalled(Start + Duration(999)));
    EXPECT_TRUE(isCalled(Start + Duration(1'000)));
    EXPECT_FALSE(isHead(Start + Duration(1'000)));
    tree.callFailed(head, Start + Duration(1'000));
    EXPECT_FALSE(isCalled(Start + Duration(2'999)));
    EXPECT_TRUE(isCalled(Start + Duration(3'000)));
    tree.callSucceeded(head, Start + Duration(3'000));
    EXPECT_TRUE(isHead(Start + Duration(3'000)));
    tree.headTimedOut(head);
    EXPECT_FALSE(isCalled(Start + Duration(9'000))) << "it is relayed to";
    tree.callSucceeded(head, Start + Duration(9'000));
    EXPECT_FALSE(isCalled(Start + Duration(9'999)));
    EXPECT_TRUE(isHead(Start + Duration(10'000)));
}

// Guards against a group without publications because none of its peers can be head.
TEST(PublicationTreeTest, AGroupWithoutAHeadIsCalledDirectly)
{
    PublicationTree tree;
    const auto all = peers(9);
    for (const PublicationPeer &peer : all)
        tree.headTimedOut(peer.address);
    EXPECT_EQ(tree.routes(all, Start).size(), 9U);
}

} // namespace
} // namespace cardamompaddle
