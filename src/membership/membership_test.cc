#include "membership/membership.h"
#include "membership/simulation_test.h"

#include <gtest/gtest.h>

namespace cardamompaddle {
namespace {

using simulation::Cell;

const std::vector<std::string> Keys = {"pool/a", "pool/b", "pool/c", "pool/d", "team/x"};
constexpr int64_t StartupGraceMs = 5050;

// Returns the seat that acts for the key, or -1 if none does.
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
    auto created = Membership::create(options, self, incarnation, Instant());
    created->setSynced(true);
    return std::move(*created);
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

// Returns a member of a cell of two whose heartbeats were answered up to `untilMs`.
Membership memberWithQuorum(int64_t untilMs)
{
    Membership member = makeMember(2, 0);
    for (int64_t ms = 0; ms <= untilMs; ms += 200)
        exchange(member, message(1, 5), instantFromMs(ms));
    return member;
}

// Guards against options that break the safety proof, such as a wait F shorter than S.
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

// Guards against a cell of one seat that waits for other seats.
TEST(MembershipTest, SingleSeatHasQuorumOnceSynced)
{
    Membership member = makeMember(1, 0);
    EXPECT_TRUE(member.hasQuorum(instantFromMs(0)));
    member.advance(instantFromMs(StartupGraceMs));
    EXPECT_FALSE(member.mayAct("pool/a", instantFromMs(StartupGraceMs)));
    member.advance(instantFromMs(StartupGraceMs + 1));
    EXPECT_TRUE(member.mayAct("pool/a", instantFromMs(StartupGraceMs + 1)));
    member.setSynced(false);
    EXPECT_FALSE(member.hasQuorum(instantFromMs(StartupGraceMs + 2)));
}

// Guards against a clean start that takes longer than the startup grace period and a few
// heartbeats, and against owner hints that differ from the seat that acts.
TEST(MembershipTest, ActsRightAfterTheStartupGracePeriod)
{
    Cell cell(5, 1, Keys);
    cell.runFor(StartupGraceMs);
    EXPECT_EQ(actor(cell, 5, "pool/a"), -1);
    const auto all = [&cell] {
        return std::all_of(Keys.begin(), Keys.end(),
                           [&cell](const auto &it) { return actor(cell, 5, it) >= 0; });
    };
    EXPECT_TRUE(cell.runUntil(all, 800));
    for (const std::string &it : Keys)
        EXPECT_EQ(cell.member(0).likelyOwner(it, cell.local(0)), actor(cell, 5, it));
    const auto rows = cell.member(0).rows(cell.local(0));
    EXPECT_TRUE(rows[4].hasQuorum && rows[4].synced && rows[4].acknowledgedGeneration
                && !rows[4].left);
}

// Guards against an owner's crash that leaves its keys without an owner for longer than 6 s, and
// against a successor that does not wait out the late commands of the crashed owner.
TEST(MembershipTest, NextSeatActsWithin6sOfACrash)
{
    Cell cell(4, 2, Keys);
    cell.runFor(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.crash(owner);
    const auto taken = cell.runUntil([&] { return actor(cell, 4, "pool/a") >= 0; }, 6000);
    ASSERT_TRUE(taken);
    EXPECT_GT(*taken, 2000 + 3000 - 200);
    cell.start(owner);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 12'000));
    EXPECT_FALSE(cell.violation());
}

// Guards against a planned stop that leaves keys without an owner for as long as a crash.
TEST(MembershipTest, CleanStopHandsOverWithinTwoHeartbeats)
{
    Cell cell(4, 3, Keys);
    cell.runFor(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.stopCleanly(owner);
    EXPECT_TRUE(cell.runUntil([&] { return actor(cell, 4, "pool/a") >= 0; }, 440));
    cell.runFor(400);
    // The next process at the seat skips the startup grace period. The members that took over its
    // keys must still wait out their own commands.
    cell.crash(owner);
    cell.start(owner);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 4500));
    EXPECT_FALSE(cell.violation());
}

// Guards against a gap in quorum that goes undetected because no update fell into it. The
// generation would then not rise.
TEST(MembershipTest, QuorumGapRaisesTheGeneration)
{
    Membership member = memberWithQuorum(6000);
    ASSERT_TRUE(member.hasQuorum(instantFromMs(6100)));
    EXPECT_EQ(member.tenure().generation, 1U);
    const uint64_t probe = member.heartbeatSent(1, instantFromMs(7990));
    EXPECT_FALSE(member.hasQuorum(instantFromMs(8000)));
    member.heartbeatAnswered(1, probe, message(1, 5), instantFromMs(8010));
    EXPECT_EQ(member.tenure().generation, 2U);
    EXPECT_TRUE(member.hasQuorum(instantFromMs(8010)));
    EXPECT_FALSE(member.mayAct("pool/a", instantFromMs(8010)));
}

// Guards against quorum from answers that are repeated or late, belong to no known probe or come
// from an earlier process.
TEST(MembershipTest, IgnoresInvalidAnswers)
{
    Membership member = memberWithQuorum(6000);
    const uint64_t probe = member.heartbeatSent(1, instantFromMs(7000));
    member.heartbeatAnswered(1, probe + 1, message(1, 5), instantFromMs(7010));
    member.heartbeatAnswered(1, probe, message(1, 4), instantFromMs(7010));
    member.heartbeatAnswered(1, probe, message(1, 5), instantFromMs(7020));
    const uint64_t late = member.heartbeatSent(1, instantFromMs(7000));
    member.heartbeatAnswered(1, late, message(1, 5), instantFromMs(9000));
    EXPECT_FALSE(member.hasQuorum(instantFromMs(9000)));
}

// Guards against a lapse certificate based on ages that a fast clock made too long.
TEST(MembershipTest, AgesAreShortenedByTheClockDrift)
{
    const auto provesLapse = [](int64_t ageMs) {
        internal::LapseDetector detector(3);
        const Instant at = instantFromMs(50'000);
        const std::vector<SeatView> table = {SeatView{2, 9, 1, true, false, Duration(ageMs), {}}};
        detector.recordReport(0, at, at, table);
        detector.recordReport(1, at, at, table);
        return detector.findLapse(2, 2, Duration(2020), Instant()).has_value();
    };
    EXPECT_FALSE(provesLapse(2020));
    EXPECT_FALSE(provesLapse(2040));
    EXPECT_TRUE(provesLapse(2045));
}

// Guards against two processes of one seat that both stay active.
TEST(MembershipTest, HigherIncarnationOfASeatWins)
{
    Membership member = makeMember(2, 0);
    EXPECT_TRUE(member.heartbeatReceived(message(1, 20), instantFromMs(0)));
    EXPECT_FALSE(member.heartbeatReceived(message(1, 19), instantFromMs(1)));
    EXPECT_FALSE(member.heartbeatReceived(message(7, 1), instantFromMs(2)));

    // A new process whose clock is behind takes a higher incarnation. A process past its startup
    // grace period is superseded.
    Heartbeat report = message(1, 20);
    report.table.push_back(SeatView{0, 5000, 0, false, false, Duration(0), {}});
    EXPECT_TRUE(member.heartbeatReceived(report, instantFromMs(3)));
    EXPECT_GT(member.tenure().incarnation, 5000U);
    Membership twin = makeMember(2, 0, 1001);
    EXPECT_TRUE(twin.heartbeatReceived(report, instantFromMs(3)));
    EXPECT_NE(twin.tenure().incarnation, member.tenure().incarnation);
    EXPECT_FALSE(member.superseded());
    Membership established = memberWithQuorum(6000);
    report.from = 1;
    EXPECT_FALSE(established.heartbeatReceived(report, instantFromMs(6010)));
    EXPECT_TRUE(established.superseded());
    EXPECT_FALSE(established.hasQuorum(instantFromMs(6010)));
}

// Guards against keys without an acting owner because the previous one can send but not receive.
TEST(MembershipTest, OneWayLinksDoNotBlockTheSuccessor)
{
    Cell cell(4, 5, Keys);
    cell.runFor(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    for (SeatId it = 0; it < 4; ++it)
        cell.cutLink(it, owner);
    EXPECT_TRUE(cell.runUntil(
        [&] { return actor(cell, 4, "pool/a") >= 0 && actor(cell, 4, "pool/a") != owner; }, 6500));
    EXPECT_FALSE(cell.violation());
}

// Guards against keys without an acting owner because the previous one restarted and cannot
// synchronise.
TEST(MembershipTest, UnsyncedRestartDoesNotBlockTheSuccessor)
{
    Cell cell(4, 6, Keys);
    cell.runFor(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.crash(owner);
    cell.start(owner, false);
    EXPECT_TRUE(cell.runUntil([&] { return actor(cell, 4, "pool/a") >= 0; }, 6000));
    cell.member(owner).setSynced(true);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 9000));
    EXPECT_FALSE(cell.violation());
}

// Guards against an owner that cannot resume because one link is cut. Acknowledgements must be
// relayed.
TEST(MembershipTest, ReturnsAcrossOneCutLink)
{
    Cell cell(4, 7, Keys);
    cell.runFor(7000);
    const SeatId owner = actor(cell, 4, "pool/a");
    cell.cutLink(owner, (owner + 1) % 4);
    cell.cutLink((owner + 1) % 4, owner);
    cell.pause(owner, 8000);
    cell.runFor(8000);
    EXPECT_TRUE(cell.runUntil([&] { return cell.acts(owner, "pool/a"); }, 9000));
    EXPECT_FALSE(cell.violation());
}

// Guards against a network split in which both sides reach a majority by counting the same seat.
// Its old process is on one side, and its replacement started on the other while the old one still
// ran.
TEST(MembershipTest, TwoProcessesOfASeatNeverFormTwoMajorities)
{
    for (int side = 0; side < 2; ++side) {
        Cell cell(3, 8, Keys);
        cell.runFor(7000);
        const SeatId owner = actor(cell, 3, "pool/a");
        const SeatId thirdSeat = (owner + 1 + side) % 3;
        const SeatId doubledSeat = 3 - owner - thirdSeat;
        cell.newestProcess(thirdSeat)->partition = 1;
        cell.start(doubledSeat);
        cell.newestProcess(doubledSeat)->partition = 1;
        cell.runFor(30'000);
        EXPECT_FALSE(cell.violation()) << *cell.violation();
        EXPECT_TRUE(cell.acts(owner, "pool/a"));
    }
}

} // namespace
} // namespace cardamompaddle
