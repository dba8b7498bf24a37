#include "config/json_reader.h"
#include "config/tables.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iterator>

namespace cardamompaddle {
namespace {

std::string readFile(const std::string &name)
{
    std::ifstream stream(std::string(CP_EXAMPLES) + "/" + name);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// The reason for which parseTables rejects `text`; empty if it is accepted.
std::string errorOf(const std::string &text)
{
    const auto tables = parseTables(text);
    return tables.ok() ? "" : tables.error().reason;
}

// Tables whose second pool, "p", has `members` beside its name.
std::string withPool(const std::string &members)
{
    return R"({"routes": [{"name": "r", "kind": "batch", "pool": "p"}], "pools": [{"name": "q"}, )"
           R"({"name": "p", )"
           + members + R"(}], "teams": [{"name": "t", "share": 1, "limit": 2}]})";
}

class ExampleTables : public testing::TestWithParam<std::string>
{ };
INSTANTIATE_TEST_SUITE_P(All, ExampleTables,
                         testing::Values("billing.tables.json", "booking.tables.json"),
                         [](const auto &it) { return it.param.substr(0, 7); });

// Guards against canonical JSON that loses a field. Tables are stored in this form, so the tables
// that instances read would differ from those that were submitted.
TEST_P(ExampleTables, RoundTripThroughCanonicalJson)
{
    const auto tables = parseTables(readFile(GetParam()));
    ASSERT_TRUE(tables.ok()) << tables.error().reason;
    const auto again = parseTables(formatTables(*tables));
    ASSERT_TRUE(again.ok()) << again.error().reason;
    EXPECT_EQ(*again, *tables);
    EXPECT_EQ(formatTables(*again), formatTables(*tables));
    EXPECT_TRUE(diffTables(*tables, *again).empty());
}

// Guards against a corrupt byte that crashes the parser, or that is accepted with a meaning which
// canonical JSON does not preserve.
TEST_P(ExampleTables, AnyCorruptByteGivesAnErrorOrRoundTrips)
{
    const std::string text = readFile(GetParam());
    for (size_t n = 0; n < text.size(); ++n) {
        for (const char it : {'\0', '"', '}', 'x', '\xff'}) {
            std::string corrupt = text;
            corrupt[n] = it;
            const auto tables = parseTables(corrupt);
            if (tables.ok())
                EXPECT_EQ(*parseTables(formatTables(*tables)), *tables) << "byte " << n;
            else
                EXPECT_FALSE(tables.error().reason.empty()) << "byte " << n;
        }
    }
}

// Guards against misspelt keys that are silently ignored: a file in which any one key has a wrong
// letter must be rejected.
TEST_P(ExampleTables, MisspeltKeysAreRejected)
{
    const std::string text = readFile(GetParam());
    int keys = 0;
    for (size_t at = text.find("\":"); at != std::string::npos; at = text.find("\":", at + 1)) {
        const size_t begin = text.rfind('"', at - 1);
        if (text.compare(begin, at - begin, "\"tier") == 0)
            continue; // labels may have any name
        ++keys;
        std::string corrupt = text;
        corrupt[at - 1] = 'Q';
        EXPECT_NE(errorOf(corrupt), "") << text.substr(begin, at - begin);
    }
    EXPECT_GT(keys, 50);
}

struct InvalidPool
{
    std::string members;
    std::string error;
};

// Guards against errors that do not name the key, and against validation rules that are not
// checked.
TEST(TablesTest, ErrorsNameTheKeyAndTheRule)
{
    const std::vector<InvalidPool> cases = {
        {R"("task_lease_ms": 5)", "pools[1].task_lease_ms: must be between 1000 and 3600000"},
        {R"("task_lease_ms": 5000.5)",
         "pools[1].task_lease_ms: must be an integer between 1000 and 3600000"},
        {R"("placement": "fast")",
         "pools[1].placement: must be one of pack, spread, first_fit, random"},
        {R"("colour": 1)", "pools[1].colour: unknown key"},
        {R"("workers": {"zones": ["a", "a"]})",
         "pools[1].workers.zones: duplicate \"a\" at pools[1].workers.zones[1]"},
        {R"("workers": {"labels": {"a": 1}})", "pools[1].workers.labels.a: must be a string"},
        {R"("gang_wait_ms": 1, "gang_wait_ms": 2)", "line 1: duplicate key \"gang_wait_ms\""},
    };
    for (const InvalidPool &it : cases)
        EXPECT_EQ(errorOf(withPool(it.members)), it.error) << it.members;
    EXPECT_EQ(errorOf(withPool(R"("gang_wait_ms": 1)")), "");
    EXPECT_EQ(errorOf("{\n\"routes\": [}\n"), "line 2: not JSON: syntax error");
    EXPECT_EQ(errorOf(R"({"routes": [], "pools": []})"), "teams: missing");
    EXPECT_EQ(errorOf(R"({"routes": [{"name": "r", "kind": "gang", "pool": "x"}],
                          "pools": [], "teams": []})"),
              "routes[0].pool: no pool is named \"x\"");
    EXPECT_EQ(errorOf(R"({"routes": [], "pools": [{"name": "p"}, {"name": "p"}], "teams": []})"),
              "pools[1].name: duplicate \"p\"");
    EXPECT_EQ(
        errorOf(R"({"routes": [], "pools": [], "teams": [{"name": "t", "share": 0, "limit": 1}]})"),
        "teams[0].share: must be between 1 and 1000000");
    EXPECT_EQ(
        errorOf(
            R"({"routes": [], "pools": [], "teams": [{"name": "t", "share": 1, "limit": -1}]})"),
        "teams[0].limit: must be between 0 and 1000000");
}

TEST(TablesTest, DiffNamesEachChangedField)
{
    const auto before = parseTables(withPool(R"("placement": "pack")"));
    auto after = *before;
    after.pools["p"].placement = PlacementPolicy::Spread;
    after.routes["r"].objective = Objective{999'000, Duration(50)};
    after.pools.erase("q");
    after.teams["u"] = TeamSpec{"u", 1, 1};
    EXPECT_EQ(diffTables(*before, after),
              (std::vector<std::string>{
                  R"(route r: objective none -> {"target_percent": 99.9, "wait_ms": 50})",
                  R"(pool p: placement "pack" -> "spread")", "pool q: removed", "team u: added"}));
}

// Guards against an open route whose team "open" has no share and no limit.
TEST(TablesTest, TeamOpenExistsOnlyWithAnOpenRoute)
{
    Tables tables = *parseTables(withPool(R"("placement": "pack")"));
    EXPECT_FALSE(findTeam(tables, OpenTeam));
    tables.routes["r"].open = true;
    EXPECT_EQ(findTeam(tables, OpenTeam)->limit, OpenTeamLimit);
    tables.teams["open"] = TeamSpec{"open", 7, 9};
    EXPECT_EQ(findTeam(tables, OpenTeam)->share, 7);
    EXPECT_FALSE(findTeam(tables, "other"));
}

// Guards against payloads that are rejected or changed because they are not valid UTF-8.
RC_GTEST_PROP(JsonBytes, ArbitraryBytesRoundTrip, (const std::string &bytes))
{
    RC_ASSERT(fromJsonBytes(toJsonBytes(bytes)) == bytes);
}

} // namespace
} // namespace cardamompaddle
