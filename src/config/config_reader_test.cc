#include "config/config_reader.h"
#include "config/config_testing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace cardamompaddle {
namespace {

using Status = ConfigReader::Status;

constexpr Duration Retention{100'000};

Instant at(int ms)
{
    return instantFromMs(ms);
}

// The page that the log service returns for a read at `from` when it retains the records from
// `first` on.
LogPage read(const std::vector<LogRecord> &records, uint64_t first, uint64_t from, size_t max)
{
    LogPage page{first, records.size(), {}};
    for (uint64_t n = std::max(first, from); n < records.size() && page.records.size() < max; ++n)
        page.records.push_back(records[n]);
    return page;
}

// Reads pages of at most `max` records until the reader is synchronised or finds no snapshot.
void readAll(ConfigReader &reader, const std::vector<LogRecord> &records, uint64_t first,
             size_t max)
{
    for (size_t n = 0; n < 2 * records.size() + 3 && reader.status() == Status::Reading; ++n)
        reader.applyPage(read(records, first, reader.nextOffset(), max), at(0));
}

// Guards against a reader that starts from the middle of the log and gets a different state than
// the others, or that fails to start although a snapshot covers the expired records.
RC_GTEST_PROP(ConfigReaderProperty, AnyStartOffsetGivesTheSameStateOrNoSnapshot,
              (const std::vector<uint16_t> &choices))
{
    const RandomLog log(choices);
    const auto pageSize = *rc::gen::inRange<size_t>(1, 6);
    for (uint64_t first = 0; first <= log.records.size(); ++first) {
        const bool usable =
            std::any_of(log.snapshots.begin(), log.snapshots.end(),
                        [&](const auto &it) { return it.first >= first && it.second >= first; });
        ConfigReader reader;
        readAll(reader, log.records, first, pageSize);
        RC_ASSERT(reader.synced() == (first == 0 || usable));
        if (reader.synced())
            RC_ASSERT(reader.state().digest() == log.state.digest());
        else
            RC_ASSERT(reader.status() == Status::NoSnapshot && !reader.reason().empty());
    }
}

// Guards against an instance that goes on with an old configuration after records have expired
// before it read them.
TEST(ConfigReader, ExpiredUnreadRecordsMustBeCoveredByASnapshotOrAPeer)
{
    RandomLog log({});
    ConfigReader reader;
    readAll(reader, log.records, 0, 100);
    ASSERT_TRUE(reader.synced());
    for (uint64_t n = 1; n <= 3; ++n)
        log.add(zoneRecord({5, n}, "z", n % 2 == 1));
    ConfigReader viaPeer = reader;

    reader.applyPage(read(log.records, 2, reader.nextOffset(), 100), at(0));
    EXPECT_EQ(reader.status(), Status::NoSnapshot);
    EXPECT_EQ(reader.state().version(), 1U);
    log.add(snapshotRecord({5, 4}, log.state));
    reader.applyPage(read(log.records, 2, reader.nextOffset(), 100), at(0));
    EXPECT_TRUE(reader.synced());
    EXPECT_EQ(reader.state().digest(), log.state.digest());

    viaPeer.applyPage(read({log.records.begin(), log.records.begin() + 4}, 2, 1, 100), at(0));
    EXPECT_FALSE(viaPeer.synced());
    EXPECT_TRUE(viaPeer.applyRelayed({log.records[2]}, at(0)).empty())
        << "does not follow the state";
    EXPECT_EQ(viaPeer.applyRelayed({log.records[0], log.records[1], log.records[2]}, at(0)).size(),
              2U);
    viaPeer.applyPage(read(log.records, 2, viaPeer.nextOffset(), 100), at(0));
    EXPECT_TRUE(viaPeer.synced());
    EXPECT_EQ(viaPeer.state().digest(), log.state.digest());
}

// Guards against a configuration that reverts to an older version (I11).
TEST(ConfigReader, SnapshotOfAnOlderVersionViolatesInvariant)
{
    const ThrowingInvariants throwing;
    const RandomLog log({3, 3, 3});
    ConfigReader reader;
    readAll(reader, log.records, 0, 100);
    ConfigState old;
    for (uint64_t n = 0; n < 10; ++n)
        old.apply({n, "{"});
    const LogPage page{10, 11, {{10, snapshotRecord({8, 1}, old)}}};
    EXPECT_THROW(reader.applyPage(page, at(0)), std::logic_error);
}

// Guards against adopting the state of a minority of peers, which may lack accepted changes.
TEST(ConfigReader, AdoptionNeedsAMajorityOfOtherSeats)
{
    RandomLog log({3, 1});
    const std::string older = log.state.snapshot();
    log.add(zoneRecord({5, 1}, "y", true));
    const std::string newer = log.state.snapshot();
    ConfigReader reader;
    EXPECT_EQ(reader.adoptSnapshots({{0, newer}, {1, older}, {2, newer}}, 0, 5).error().code,
              ErrorCode::Unavailable);
    EXPECT_EQ(reader.adoptSnapshots({{1, older}, {2, "{"}, {3, older}}, 0, 5).error().code,
              ErrorCode::InvalidArgument);
    EXPECT_FALSE(reader.synced());
    EXPECT_TRUE(reader.adoptSnapshots({{1, older}, {2, newer}, {3, older}}, 0, 5).ok());
    EXPECT_TRUE(reader.synced());
    EXPECT_EQ(reader.state().digest(), log.state.digest());
    log.add(zoneRecord({5, 2}, "y", false));
    EXPECT_EQ(reader.applyRelayed({log.records.back()}, at(0)).size(), 1U);
    EXPECT_EQ(reader.state().digest(), log.state.digest());
}

// Guards against snapshots that are written only after the records that they cover have expired.
TEST(ConfigReader, SnapshotIsDueByAgeRecordCountOrUnknownAge)
{
    RandomLog log({});
    ConfigReader reader;
    EXPECT_FALSE(reader.snapshotDue(at(0), Retention)) << "not synchronised";
    const auto readToEnd = [&](int ms) {
        reader.applyPage(read(log.records, 0, reader.nextOffset(), 10'000), at(ms));
    };
    readToEnd(0);
    EXPECT_TRUE(reader.snapshotDue(at(0), Retention)) << "no snapshot";
    log.add(snapshotRecord({5, 1}, log.state));
    readToEnd(1'000);
    EXPECT_FALSE(reader.snapshotDue(at(51'000), Retention));
    EXPECT_TRUE(reader.snapshotDue(at(51'001), Retention)) << "age";
    for (uint64_t n = 0; n < 499; ++n)
        log.add(zoneRecord({6, n}, "z", true));
    readToEnd(2'000);
    EXPECT_FALSE(reader.snapshotDue(at(2'000), Retention));
    log.add(zoneRecord({6, 499}, "z", true));
    readToEnd(2'000);
    EXPECT_TRUE(reader.snapshotDue(at(2'000), Retention)) << "number of records";
    ConfigReader later;
    readAll(later, log.records, 0, 10'000);
    EXPECT_TRUE(later.snapshotDue(at(2'000), Retention)) << "unknown age";
}

// Guards against relaying records with a gap between them.
TEST(ConfigReader, RelaysOnlyContiguousRecentRecords)
{
    const RandomLog log(std::vector<uint16_t>(1'500, 3));
    ConfigReader reader;
    readAll(reader, log.records, 0, 10'000);
    EXPECT_TRUE(reader.recordsFrom(0, 10).empty());
    EXPECT_TRUE(reader.recordsFrom(1'501, 10).empty());
    const auto records = reader.recordsFrom(1'495, 4);
    ASSERT_EQ(records.size(), 4U);
    EXPECT_EQ(records.front().offset, 1'495U);
    EXPECT_EQ(records.back().data, log.records[1'498].data);
    EXPECT_EQ(reader.recordsFrom(1'500, 10).size(), 1U);
}

} // namespace
} // namespace cardamompaddle
