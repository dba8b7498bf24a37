#include "metrics/names.h"
#include "metrics/registry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <thread>

namespace cardamompaddle {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr std::array<double, 3> Bounds = {0.1, 1, 10};
constexpr HistogramSpec<1> Times{{"times_seconds", "Times.", {"route"}}, Bounds};
constexpr CounterSpec<1> Calls{{"calls_total", "Calls\nby \\ team.", {"team"}}};
constexpr GaugeSpec<0> Level{{"level", "Level.", {}}};

// Guards against a value equal to a bound being counted in the bucket above it, although `le` means
// less or equal, and against exported buckets that are not cumulative.
TEST(RegistryTest, BucketsIncludeTheirUpperBound)
{
    Registry registry;
    Histogram &times = registry.histogram(Times, {"r"});
    for (const double it : {0.1, 0.1000001, 1.0, 10.0, 11.0})
        times.observe(it);
    times.observe(std::numeric_limits<double>::quiet_NaN());
    const std::string text = registry.exposition();
    EXPECT_THAT(text, HasSubstr("times_seconds_bucket{route=\"r\",le=\"0.1\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("times_seconds_bucket{route=\"r\",le=\"1\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("times_seconds_bucket{route=\"r\",le=\"10\"} 4\n"));
    EXPECT_THAT(text, HasSubstr("times_seconds_bucket{route=\"r\",le=\"+Inf\"} 5\n"));
    EXPECT_THAT(text, HasSubstr("times_seconds_count{route=\"r\"} 5\n"));
}

// Guards against malformed lines caused by special characters in label values or help texts.
TEST(RegistryTest, EscapesTextAndDeclaresKinds)
{
    Registry registry;
    registry.counter(Calls, {"a\"b\\c\nd"}).add(2.5);
    registry.gauge(Level).set(-3);
    EXPECT_EQ(registry.exposition(),
              "# HELP calls_total Calls\\nby \\\\ team.\n# TYPE calls_total counter\n"
              "calls_total{team=\"a\\\"b\\\\c\\nd\"} 2.5\n"
              "# HELP level Level.\n# TYPE level gauge\nlevel -3\n");
}

// Guards against a decreasing counter, which a monitoring system interprets as a process restart.
TEST(RegistryTest, CountersNeverDecrease)
{
    Registry registry;
    Counter &calls = registry.counter(Calls, {"a"});
    calls.add(2);
    calls.add(-1);
    calls.add(std::numeric_limits<double>::quiet_NaN());
    EXPECT_EQ(calls.value(), 2);
}

// Guards against unbounded memory use by label values that callers choose, and against losing the
// counts of series beyond the limit.
TEST(RegistryTest, SeriesBeyondTheLimitShareOneSeries)
{
    Registry registry(2);
    registry.counter(Calls, {"a"}).add();
    registry.counter(Calls, {"b"}).add();
    for (int n = 0; n < 100; ++n)
        registry.counter(Calls, {"team" + std::to_string(n)}).add();
    registry.counter(Calls, {"a"}).add();
    const std::string text = registry.exposition();
    EXPECT_THAT(text, HasSubstr("calls_total{team=\"a\"} 2\n"));
    EXPECT_THAT(text, HasSubstr("calls_total{team=\"other\"} 100\n"));
    EXPECT_THAT(text, Not(HasSubstr("team7")));
}

// Guards against lost counts and torn reads when several threads count during an export.
TEST(RegistryTest, CountsFromSeveralThreadsAreComplete)
{
    constexpr int Threads = 4;
    constexpr int Rounds = 20'000;
    Registry registry;
    std::vector<std::thread> threads;
    threads.reserve(Threads);
    for (int n = 0; n < Threads; ++n) {
        threads.emplace_back([&registry] {
            Counter &calls = registry.counter(Calls, {"a"});
            Histogram &times = registry.histogram(Times, {"r"});
            for (int round = 0; round < Rounds; ++round) {
                calls.add();
                times.observe(0.5);
            }
        });
    }
    for (int n = 0; n < 10; ++n)
        EXPECT_THAT(registry.exposition(), Not(HasSubstr("NaN")));
    for (std::thread &it : threads)
        it.join();
    EXPECT_EQ(registry.counter(Calls, {"a"}).value(), Threads * Rounds);
    EXPECT_EQ(registry.histogram(Times, {"r"}).counts().at(1), Threads * Rounds);
    EXPECT_EQ(registry.histogram(Times, {"r"}).sum(), Threads * Rounds * 0.5);
}

std::string readSourceFile(const std::string &path)
{
    std::ifstream file(std::string(CP_SOURCE_DIR) + "/" + path);
    return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against a metric that is missing from the operators' documentation.
TEST(NamesTest, EveryMetricIsDocumented)
{
    const std::string names = readSourceFile("src/metrics/names.h");
    const std::string page = readSourceFile("docs/OPERATIONS.md");
    int found = 0;
    for (size_t at = names.find("\"cardamompaddle_"); at != std::string::npos;
         at = names.find("\"cardamompaddle_", at + 1)) {
        const std::string name = names.substr(at + 1, names.find('"', at + 1) - at - 1);
        EXPECT_THAT(page, HasSubstr("`" + name + "`"));
        ++found;
    }
    EXPECT_GE(found, 20);
}

// Guards against the same for the program on the users' platform. The page names labels too.
TEST(NamesTest, EveryEntryMetricIsDocumented)
{
    const std::string names = readSourceFile("platform/entry_metrics.h");
    const std::string page = readSourceFile("docs/OPERATIONS.md");
    int found = 0;
    for (size_t at = names.find("\"cardamompaddle_entry_"); at != std::string::npos;
         at = names.find("\"cardamompaddle_entry_", at + 1)) {
        const std::string name = names.substr(at + 1, names.find('"', at + 1) - at - 1);
        EXPECT_THAT(page,
                    ::testing::AnyOf(HasSubstr("`" + name + "`"), HasSubstr("`" + name + "{")));
        ++found;
    }
    EXPECT_GE(found, 12);
}

} // namespace
} // namespace cardamompaddle
