#include "config/config_testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cardamompaddle {
namespace {

ApplyOutcome applyNext(ConfigState &state, const std::string &text)
{
    return state.apply({state.next(), text});
}

// Guards against a fold that depends on anything but the records, or in which a copy of a record
// takes effect again: appending every record once more, in the same order, changes nothing.
RC_GTEST_PROP(ConfigFold, IsAPureFunctionAndCopiesChangeNothing,
              (const std::vector<uint16_t> &choices))
{
    const RandomLog log(choices);
    ConfigState again;
    for (const LogRecord &it : log.records)
        again.apply(it);
    RC_ASSERT(again.digest() == log.state.digest());
    for (const LogRecord &it : log.records) {
        RC_ASSERT(again.apply(it).kind == ApplyKind::Duplicate);
        applyNext(again, it.data);
    }
    RC_ASSERT(again.version() == log.state.version());
    RC_ASSERT(again.tables() == log.state.tables());
    RC_ASSERT(again.keys() == log.state.keys());
    RC_ASSERT(again.zonesOut() == log.state.zonesOut());
}

// Guards against a snapshot that loses part of the state, so that two members differ from then on.
RC_GTEST_PROP(ConfigFold, SnapshotAtAnyPlaceGivesTheSameState,
              (const std::vector<uint16_t> &choices))
{
    const RandomLog log(choices);
    const auto cut = *rc::gen::inRange<size_t>(1, log.records.size() + 1);
    ConfigState before;
    for (size_t n = 0; n < cut; ++n)
        before.apply(log.records[n]);
    const auto restored = ConfigState::fromSnapshot(before.snapshot());
    RC_ASSERT(restored.ok());
    ConfigState state = *restored;
    for (size_t n = cut; n < log.records.size(); ++n)
        state.apply(log.records[n]);
    RC_ASSERT(state.digest() == log.state.digest());
    RC_ASSERT(state.snapshot() == log.state.snapshot());
}

// Guards against two operators' racing changes that are both accepted, of which one is then lost.
TEST(ConfigState, OfRacingChangesExactlyTheFirstIsAccepted)
{
    ConfigState state;
    EXPECT_EQ(applyNext(state, tablesRecord({9, 1}, 0, smallTables(1))).kind, ApplyKind::Accepted);
    int accepted = 0;
    for (uint64_t writer = 1; writer <= 8; ++writer) {
        const auto share = static_cast<int32_t>(writer + 1);
        const auto outcome = applyNext(state, tablesRecord({writer, 1}, 1, smallTables(share)));
        accepted += outcome.kind == ApplyKind::Accepted ? 1 : 0;
        EXPECT_EQ(state.outcomeOf({writer, 1})->kind, outcome.kind);
        EXPECT_EQ(outcome.kind, writer == 1 ? ApplyKind::Accepted : ApplyKind::Loser);
    }
    EXPECT_EQ(accepted, 1);
    EXPECT_EQ(state.version(), 2U);
    EXPECT_EQ(state.tables(), smallTables(2));
}

// Guards against a loser's text that is validated, or invalid tables that raise the version.
TEST(ConfigState, InvalidTablesChangeNothing)
{
    ConfigState state;
    const auto outcome = applyNext(
        state, formatConfigRecord({{1, 1}, TablesChange{0, R"({"routes": [], "pools": []})"}}));
    EXPECT_EQ(outcome.kind, ApplyKind::Invalid);
    EXPECT_EQ(outcome.reason, "teams: missing");
    EXPECT_EQ(state.version(), 0U);
    EXPECT_EQ(applyNext(state, "{").kind, ApplyKind::Invalid);
    EXPECT_EQ(state.next(), 2U);
    EXPECT_EQ(state.apply({7, "{"}).kind, ApplyKind::Gap);
    EXPECT_EQ(state.next(), 2U);
}

// Guards against a late copy of "out" that takes a zone out again after the operators' "in", and
// against a record that overtakes others of its writer and hides them.
TEST(ConfigState, LateCopiesAndOvertakenRecordsAreTold)
{
    ConfigState state;
    applyNext(state, zoneRecord({1, 1}, "z", true));
    applyNext(state, zoneRecord({1, 2}, "z", false));
    EXPECT_EQ(applyNext(state, zoneRecord({1, 1}, "z", true)).kind, ApplyKind::Duplicate);
    EXPECT_FALSE(state.isZoneOut("z"));

    applyNext(state, zoneRecord({1, 66}, "y", true));
    EXPECT_EQ(applyNext(state, zoneRecord({1, 3}, "x", true)).kind, ApplyKind::Accepted);
    EXPECT_EQ(applyNext(state, zoneRecord({1, 3}, "x", true)).kind, ApplyKind::Duplicate);
    applyNext(state, zoneRecord({1, 70}, "y", true));
    EXPECT_EQ(applyNext(state, zoneRecord({1, 6}, "w", true)).kind, ApplyKind::Loser);
    EXPECT_FALSE(state.isZoneOut("w"));
}

// Guards against memory that grows with the number of processes that ever wrote.
TEST(ConfigState, WritersAreForgottenOldestFirst)
{
    SeenRecords seen;
    for (uint64_t n = 0; n <= SeenRecords::MaxWriters; ++n)
        EXPECT_EQ(seen.mark({n + 1, 1}, n), SeenRecords::MarkResult::New);
    EXPECT_EQ(seen.writers().size(), SeenRecords::MaxWriters);
    EXPECT_FALSE(seen.writers().contains(1));
    EXPECT_EQ(seen.mark({2, 1}, 9'999), SeenRecords::MarkResult::Duplicate);
}

// Guards against a member that goes on with a configuration that differs from the others' (I11).
TEST(ConfigState, SnapshotThatDisagreesWithHistoryBreaksTheInvariant)
{
    const ThrowingInvariants throwing;
    ConfigState own;
    ConfigState other;
    applyNext(own, zoneRecord({1, 1}, "z", true));
    applyNext(other, zoneRecord({1, 1}, "y", true));
    ConfigState good = own;
    EXPECT_EQ(applyNext(good, snapshotRecord({2, 1}, own)).kind, ApplyKind::Accepted);
    EXPECT_EQ(good.version(), 1U);
    EXPECT_THROW(applyNext(own, snapshotRecord({2, 1}, other)), std::logic_error);
}

// Guards against a damaged snapshot that is taken over.
TEST(ConfigState, DamagedSnapshotIsRefused)
{
    const RandomLog log({0, 1, 3, 11, 23, 40});
    const std::string text = log.state.snapshot();
    ASSERT_TRUE(ConfigState::fromSnapshot(text).ok());
    for (size_t n = 0; n < text.size(); ++n) {
        std::string damaged = text;
        damaged[n] = damaged[n] == '1' ? '2' : '1';
        const auto state = ConfigState::fromSnapshot(damaged);
        EXPECT_FALSE(state.ok() && state->digest() != log.state.digest()) << n;
    }
}

// Guards against a withdrawn key that works, a key of another team, and a log that holds the key.
TEST(Keys, OnlyThePresentedSecretOfAValidKeyIsAccepted)
{
    ConfigState state;
    const NewKey key = testKey(7);
    const std::string record = keyCreateRecord({1, 2}, key.record);
    EXPECT_EQ(applyNext(state, record).kind, ApplyKind::Invalid) << "no such team yet";
    applyNext(state, tablesRecord({1, 3}, 0, smallTables(1)));
    EXPECT_EQ(applyNext(state, keyCreateRecord({1, 4}, key.record)).kind, ApplyKind::Accepted);
    EXPECT_EQ(record.find(key.presented.substr(20)), std::string::npos);
    EXPECT_EQ(key.presented.find(key.record.hash), std::string::npos);
    EXPECT_EQ(*verifyKey(state, key.presented), "a");

    for (size_t n = 0; n < key.presented.size(); ++n) {
        std::string wrong = key.presented;
        wrong[n] = wrong[n] == '1' ? '2' : '1';
        EXPECT_EQ(verifyKey(state, wrong).error().code, ErrorCode::Unauthenticated) << n;
        EXPECT_FALSE(verifyKey(state, key.presented.substr(0, n)).ok());
    }
    EXPECT_FALSE(verifyKey(state, key.presented + "0").ok());
    EXPECT_FALSE(verifyKey(state, testKey(8).presented).ok());
    EXPECT_FALSE(createKey("a", std::vector<uint8_t>(KeyRandomBytes - 1)).ok());

    ConfigState withoutTeam = state;
    applyNext(withoutTeam, tablesRecord({1, 5}, 2, Tables()));
    EXPECT_EQ(verifyKey(withoutTeam, key.presented).error().code, ErrorCode::PermissionDenied);

    applyNext(state, keyWithdrawRecord({1, 5}, key.record.id));
    EXPECT_EQ(verifyKey(state, key.presented).error().code, ErrorCode::Unauthenticated);
    EXPECT_EQ(applyNext(state, keyCreateRecord({1, 6}, key.record)).kind, ApplyKind::Invalid);
    EXPECT_FALSE(verifyKey(state, key.presented).ok());
}

// Guards against a hash that differs from the published function; the value is that of FIPS 180-2.
TEST(Keys, Sha256OfAKnownText)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

} // namespace
} // namespace cardamompaddle
