#include "membership/membership.h"
#include "membership/simulation_test.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

using simulation::Cell;

const std::vector<std::string> Keys = {"pool/a", "pool/b", "pool/c", "pool/d", "team/x"};
constexpr int64_t QuietStartMs = 5050;

// The seat that acts for the key; -1 if none does.
SeatId actor(Cell &cell, int32_t seats, const std::string &key)
{
    for (SeatId it = 0; it < seats; ++it) {
        if (cell.acts(it, key))
            return it;
    }
    return -1;
}

Membership makeMember(int32_t seats, SeatId self, uint64_t incarnation = 1000)
{
    MembershipOptions options;
    options.seatCount = seats;
    auto made = Membership::create(options, self, incarnation, Instant());
    made->setSynced(true);
    return std::move(*made);
}

Heartbeat message(SeatId from, uint64_t incarnation, uint64_t generation = 0)
{
    Heartbeat heartbeat;
    heartbeat.from = from;
    heartbeat.incarnation = incarnation;
    heartbeat.generation = generation;
    heartbeat.synced = true;
    return heartbeat;
}

// Exchanges one heartbeat with the other seat of a cell of two.
void exchange(Membership &member, const Heartbeat &answer, Instant at)
{
    const uint64_t probe = member.heartbeatSent(1, at);
    member.heartbeatAnswered(1, probe, answer, at);
}

// A member of a cell of two that has been answered up to `untilMs`.
Membership settledMember(int64_t untilMs)
{
    Membership member = makeMember(2, 0);
    for (int64_t ms = 0; ms <= untilMs; ms += 200)
        exchange(member, message(1, 5), instantFromMs(ms));
    return member;
}

// Guards against a cell whose options break the proof, such as a wait F shorter than S.
TEST(MembershipTest, RejectsOptionsThatBreakTheProof)
{
    const auto fails = [](MembershipOptions options, SeatId self, uint64_t incarnation) {
        return !Membership::create(options, self, incarnation, Instant()).ok();
    };
    EXPECT_TRUE(fails({3}, 3, 1));
    EXPECT_TRUE(fails({0}, 0, 1));
    EXPECT_TRUE(fails({3}, 0, 0));
    EXPECT_TRUE(fails({3, Duration(0)}, 0, 1));
    EXPECT_TRUE(fails({3, Duration(200), Duration(300)}, 0, 1));
    EXPECT_TRUE(fails({3, Duration(200), Duration(2000), Duration(1500)}, 0, 1));
    EXPECT_FALSE(fails({3}, 2, 1));
}

// Guards against a cell of one seat that waits for others.
TEST(MembershipTest, SingleSeatHasStandingOnceSynced)
{
    Membership member = makeMember(1, 0);
    EXPECT_TRUE(member.hasQuorum(instantFromMs(0)));
    member.advance(instantFromMs(QuietStartMs));
    EXPECT_FALSE(member.mayAct("pool/a", instantFromMs(QuietStartMs)));
    member.advance(instantFromMs(QuietStartMs + 1));
    EXPECT_TRUE(member.mayAct("pool/a", instantFromMs(QuietStartMs + 1)));
    member.setSynced(false);
    EXPECT_FALSE(member.hasQuorum(instantFromMs(QuietStartMs + 2)));
}

// Guards against a clean start that waits for more than the quiet start and a few heartbeats, and
// against hints that differ from the actor.
TEST(MembershipTest, ActsRightAfterTheQuietStart)
{
    Cell cell(5, 1, Keys);
    cell.run(QuietStartMs);
    EXPECT_EQ(actor(cell, 5, "pool/a"), -1);
    const auto all = [&cell] {
        return std::all_of(Keys.begin(), Keys.end(),
                           [&cell](const auto &it) { return actor(cell, 5, it) >= 0; });
    };
    EXPECT_TRUE(cell.runUntil(all, 800));
    for (const std::string &it : Keys)
        EXPECT_EQ(cell.member(0).likelyOwner(it, cell.local(0)), actor(cell, 5, it));
    const auto rows = cell.member(0).rows(cell.local(0));
    EXPECT_TRUE(rows[4].hasQuorum && rows[4].synced && rows[4].acknowledgedUs && !rows[4].left);
}

// Guards against an owner's death that stops its keys for longer than 6 s, and against a successor
// that does not wait for the late commands of the dead.
TEST(MembershipTest, NextSeatActsWithin6sOfADeath)
{
    Cell cell(4, 2, Keys);
    cell.run(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.crash(owner);
    const auto taken = cell.runUntil([&] { return actor(cell, 4, "pool/a") >= 0; }, 6000);
    ASSERT_TRUE(taken);
    EXPECT_GT(*taken, 2000 + 3000 - 200);
    cell.start(owner);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 12'000));
    EXPECT_FALSE(cell.violation());
}

// Guards against a planned stop that costs as much as a death.
TEST(MembershipTest, LeavingHandsOverWithinTwoHeartbeats)
{
    Cell cell(4, 3, Keys);
    cell.run(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.leave(owner);
    EXPECT_TRUE(cell.runUntil([&] { return actor(cell, 4, "pool/a") >= 0; }, 440));
    cell.run(400);
    // The next process at the seat skips the quiet start, but its predecessors' successors still
    // wait out their own commands.
    cell.crash(owner);
    cell.start(owner);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 4500));
    EXPECT_FALSE(cell.violation());
}

// Guards against a gap in quorum that no call fell into, after which the generation would stay.
TEST(MembershipTest, GapInStandingRaisesTheGeneration)
{
    Membership member = settledMember(6000);
    ASSERT_TRUE(member.hasQuorum(instantFromMs(6100)));
    EXPECT_EQ(member.tenure().generation, 1U);
    const uint64_t probe = member.heartbeatSent(1, instantFromMs(7990));
    EXPECT_FALSE(member.hasQuorum(instantFromMs(8000)));
    member.heartbeatAnswered(1, probe, message(1, 5), instantFromMs(8010));
    EXPECT_EQ(member.tenure().generation, 2U);
    EXPECT_TRUE(member.hasQuorum(instantFromMs(8010)));
    EXPECT_FALSE(member.mayAct("pool/a", instantFromMs(8010)));
}

// Guards against contact from answers that are repeated, late, of another seat or of an earlier
// process.
TEST(MembershipTest, IgnoresAnswersThatProveNothing)
{
    Membership member = settledMember(6000);
    const uint64_t probe = member.heartbeatSent(1, instantFromMs(7000));
    member.heartbeatAnswered(1, probe + 1, message(1, 5), instantFromMs(7010));
    member.heartbeatAnswered(1, probe, message(1, 4), instantFromMs(7010));
    member.heartbeatAnswered(1, probe, message(1, 5), instantFromMs(7020));
    const uint64_t late = member.heartbeatSent(1, instantFromMs(7000));
    member.heartbeatAnswered(1, late, message(1, 5), instantFromMs(9000));
    EXPECT_FALSE(member.hasQuorum(instantFromMs(9000)));
}

// Guards against a certificate from ages that a fast clock made too long.
TEST(MembershipTest, AgesAreShortenedByTheClockDrift)
{
    const auto lapse = [](int64_t ageMs) {
        internal::Evidence evidence(3);
        const Instant at = instantFromMs(50'000);
        const std::vector<SeatView> table = {SeatView{2, 9, 1, true, false, Duration(ageMs), {}}};
        evidence.record(0, at, at, table);
        evidence.record(1, at, at, table);
        return evidence.lapse(2, 2, Duration(2020), Instant()).has_value();
    };
    EXPECT_FALSE(lapse(2020));
    EXPECT_FALSE(lapse(2040));
    EXPECT_TRUE(lapse(2045));
}

// Guards against two processes of one seat that both stay in office.
TEST(MembershipTest, HigherIncarnationOfASeatWins)
{
    Membership member = makeMember(2, 0);
    EXPECT_TRUE(member.heartbeatReceived(message(1, 20), instantFromMs(0)));
    EXPECT_FALSE(member.heartbeatReceived(message(1, 19), instantFromMs(1)));
    EXPECT_FALSE(member.heartbeatReceived(message(7, 1), instantFromMs(2)));

    // A new process whose clock is behind takes a higher number; a settled one yields.
    Heartbeat tells = message(1, 20);
    tells.table.push_back(SeatView{0, 5000, 0, false, false, Duration(0), {}});
    EXPECT_TRUE(member.heartbeatReceived(tells, instantFromMs(3)));
    EXPECT_GT(member.tenure().incarnation, 5000U);
    Membership twin = makeMember(2, 0, 1001);
    EXPECT_TRUE(twin.heartbeatReceived(tells, instantFromMs(3)));
    EXPECT_NE(twin.tenure().incarnation, member.tenure().incarnation);
    EXPECT_FALSE(member.superseded());
    Membership settled = settledMember(6000);
    tells.from = 1;
    EXPECT_FALSE(settled.heartbeatReceived(tells, instantFromMs(6010)));
    EXPECT_TRUE(settled.superseded());
    EXPECT_FALSE(settled.hasQuorum(instantFromMs(6010)));
}

// Guards against keys that nobody serves because their owner can still send but not receive.
TEST(MembershipTest, OneWayLinksDoNotBlockTheSuccessor)
{
    Cell cell(4, 5, Keys);
    cell.run(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    for (SeatId it = 0; it < 4; ++it)
        cell.cut(it, owner);
    EXPECT_TRUE(cell.runUntil(
        [&] { return actor(cell, 4, "pool/a") >= 0 && actor(cell, 4, "pool/a") != owner; }, 6500));
    EXPECT_FALSE(cell.violation());
}

// Guards against keys that nobody serves because their owner restarted and cannot synchronise.
TEST(MembershipTest, UnsyncedRestartDoesNotBlockTheSuccessor)
{
    Cell cell(4, 6, Keys);
    cell.run(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.crash(owner);
    cell.start(owner, false);
    EXPECT_TRUE(cell.runUntil([&] { return actor(cell, 4, "pool/a") >= 0; }, 6000));
    cell.member(owner).setSynced(true);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 9000));
    EXPECT_FALSE(cell.violation());
}

// Guards against a return that one cut link blocks: acknowledgements are relayed.
TEST(MembershipTest, ReturnsAcrossOneCutLink)
{
    Cell cell(4, 7, Keys);
    cell.run(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.cut(owner, (owner + 1) % 4);
    cell.cut((owner + 1) % 4, owner);
    cell.pause(owner, 8000);
    cell.run(8000);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 9000));
    EXPECT_FALSE(cell.violation());
}

// Guards against a split in which each side counts its own process of one seat: an old process
// whose replacement started elsewhere while it still ran.
TEST(MembershipTest, TwoProcessesOfASeatNeverMakeTwoMajorities)
{
    for (int side = 0; side < 2; ++side) {
        Cell cell(3, 8, Keys);
        cell.run(7000);
        const SeatId owner = actor(cell, 3, "pool/a");
        const SeatId third = (owner + 1 + side) % 3;
        const SeatId doubled = 3 - owner - third;
        cell.at(third)->side = 1;
        cell.start(doubled);
        cell.at(doubled)->side = 1;
        cell.run(30'000);
        EXPECT_FALSE(cell.violation()) << *cell.violation();
        EXPECT_TRUE(cell.acts(owner, "pool/a"));
    }
}

} // namespace
} // namespace cardamompaddle
