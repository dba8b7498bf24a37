#include "config/config_testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cardamompaddle {
namespace {

ApplyOutcome applyNext(ConfigState &state, const std::string &text)
{
    return state.apply({state.next(), text});
}

// Guards against a state that depends on anything but the records, and against copies of records
// that take effect again: appending every record a second time, in the same order, must change
// nothing.
RC_GTEST_PROP(ConfigFold, DependsOnlyOnRecordsAndIgnoresCopies,
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

// Guards against a snapshot that loses part of the state. An instance that starts from it would
// differ from the others.
RC_GTEST_PROP(ConfigFold, SnapshotAtAnyOffsetRestoresTheSameState,
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

// Guards against accepting two concurrent changes of operators, of which the second would overwrite
// the first.
TEST(ConfigState, OnlyTheFirstOfConcurrentChangesIsAccepted)
{
    ConfigState state;
    EXPECT_EQ(applyNext(state, tablesRecord({9, 1}, 0, smallTables(1))).kind, ApplyKind::Accepted);
    int accepted = 0;
    for (uint64_t writer = 1; writer <= 8; ++writer) {
        const auto share = static_cast<int32_t>(writer + 1);
        const auto outcome = applyNext(state, tablesRecord({writer, 1}, 1, smallTables(share)));
        accepted += outcome.kind == ApplyKind::Accepted ? 1 : 0;
        EXPECT_EQ(state.outcomeOf({writer, 1})->kind, outcome.kind);
        EXPECT_EQ(outcome.kind, writer == 1 ? ApplyKind::Accepted : ApplyKind::Conflict);
    }
    EXPECT_EQ(accepted, 1);
    EXPECT_EQ(state.version(), 2U);
    EXPECT_EQ(state.tables(), smallTables(2));
}

// Guards against invalid records that raise the version, and against a record beyond the next
// offset that is consumed.
TEST(ConfigState, InvalidRecordsAndGapsDoNotRaiseTheVersion)
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

// Guards against a late copy of a "zone out" record that takes the zone out again after an operator
// put it back, and against records that are dropped because a later record of their writer came
// first.
TEST(ConfigState, LateCopiesAreIgnoredAndReorderedRecordsApplied)
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
    EXPECT_EQ(applyNext(state, zoneRecord({1, 6}, "w", true)).kind, ApplyKind::Conflict);
    EXPECT_FALSE(state.isZoneOut("w"));
}

// Guards against memory that grows with the number of processes that have ever written.
TEST(ConfigState, OldestWritersAreEvictedFirst)
{
    SeenRecords seen;
    for (uint64_t n = 0; n <= SeenRecords::MaxWriters; ++n)
        EXPECT_EQ(seen.mark({n + 1, 1}, n), SeenRecords::MarkResult::New);
    EXPECT_EQ(seen.writers().size(), SeenRecords::MaxWriters);
    EXPECT_FALSE(seen.writers().contains(1));
    EXPECT_EQ(seen.mark({2, 1}, 9'999), SeenRecords::MarkResult::Duplicate);
}

// Guards against an instance that goes on with a configuration different from that of the others
// (I11).
TEST(ConfigState, SnapshotThatDiffersFromTheStateViolatesInvariant)
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

// Guards against restoring a state from a corrupt snapshot.
TEST(ConfigState, CorruptSnapshotIsRejected)
{
    const RandomLog log({0, 1, 3, 11, 23, 40});
    const std::string text = log.state.snapshot();
    ASSERT_TRUE(ConfigState::fromSnapshot(text).ok());
    for (size_t n = 0; n < text.size(); ++n) {
        std::string corrupt = text;
        corrupt[n] = corrupt[n] == '1' ? '2' : '1';
        const auto state = ConfigState::fromSnapshot(corrupt);
        EXPECT_FALSE(state.ok() && state->digest() != log.state.digest()) << n;
    }
}

// Guards against accepting a withdrawn, altered or truncated key, against a key that counts for
// another team, and against log records that contain the secret.
TEST(Keys, OnlyTheCompleteSecretOfAValidKeyIsAccepted)
{
    ConfigState state;
    const NewKey key = testKey(7);
    const std::string record = keyCreateRecord({1, 2}, key.record);
    EXPECT_EQ(applyNext(state, record).kind, ApplyKind::Invalid) << "no such team yet";
    applyNext(state, tablesRecord({1, 3}, 0, smallTables(1)));
    EXPECT_EQ(applyNext(state, keyCreateRecord({1, 4}, key.record)).kind, ApplyKind::Accepted);
    EXPECT_EQ(record.find(key.fullKey.substr(20)), std::string::npos);
    EXPECT_EQ(key.fullKey.find(key.record.hash), std::string::npos);
    EXPECT_EQ(*verifyKey(state, key.fullKey), "a");

    for (size_t n = 0; n < key.fullKey.size(); ++n) {
        std::string wrong = key.fullKey;
        wrong[n] = wrong[n] == '1' ? '2' : '1';
        EXPECT_EQ(verifyKey(state, wrong).error().code, ErrorCode::Unauthenticated) << n;
        EXPECT_FALSE(verifyKey(state, key.fullKey.substr(0, n)).ok());
    }
    EXPECT_FALSE(verifyKey(state, key.fullKey + "0").ok());
    EXPECT_FALSE(verifyKey(state, testKey(8).fullKey).ok());
    EXPECT_FALSE(createKey("a", std::vector<uint8_t>(KeyRandomBytes - 1)).ok());

    ConfigState withoutTeam = state;
    applyNext(withoutTeam, tablesRecord({1, 5}, 2, Tables()));
    EXPECT_EQ(verifyKey(withoutTeam, key.fullKey).error().code, ErrorCode::PermissionDenied);

    applyNext(state, keyWithdrawRecord({1, 5}, key.record.id));
    EXPECT_EQ(verifyKey(state, key.fullKey).error().code, ErrorCode::Unauthenticated);
    EXPECT_EQ(applyNext(state, keyCreateRecord({1, 6}, key.record)).kind, ApplyKind::Invalid);
    EXPECT_FALSE(verifyKey(state, key.fullKey).ok());
}

// Guards against a wrong hash function. The expected value is the test vector of FIPS 180-2.
TEST(Keys, Sha256MatchesTheTestVector)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

} // namespace
} // namespace cardamompaddle
