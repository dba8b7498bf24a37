#include "settings/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace cardamompaddle {
namespace {

const std::string File = std::string(CP_EXAMPLES) + "/entry.settings.json";

std::string exampleText()
{
    std::ifstream stream(File);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// The error of the example after `from` is replaced by `to`; empty if the settings are accepted.
std::string errorAfter(const std::string &from, const std::string &to)
{
    std::string text = exampleText();
    const size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    text.replace(at, from.size(), to);
    const auto settings = Settings::create(text, "f");
    return settings.ok() ? "" : settings.error().reason;
}

TEST(SettingsTest, ReadsTheExample)
{
    const auto settings = readSettings(File);
    ASSERT_TRUE(settings.ok()) << settings.error().reason;
    EXPECT_EQ(settings->seats.size(), 5U);
    EXPECT_EQ(settings->availabilityZone(), "munich");
    EXPECT_EQ(settings->listenPeers.toString(), "127.0.0.1:7100");
    EXPECT_EQ(settings->drainDelay, Duration(2'000));
    EXPECT_EQ(settings->maxBodyBytes, 1 << 20);
    EXPECT_EQ(readSettings("/no/such/file").error().code, ErrorCode::NotFound);
}

// Guards against accepting settings that contradict one another, and against errors that do not
// name the file, the key and the reason.
TEST(SettingsTest, InvalidSettingsAreRejectedWithTheKey)
{
    const std::string own = R"("peers": "127.0.0.1:7100")";
    const std::string callers = R"("callers": "127.0.0.1:7200")";
    EXPECT_EQ(errorAfter(R"("seat": 0)", R"("seat": 5)"), "f: seat: must be between 0 and 4");
    EXPECT_EQ(errorAfter("127.0.0.1:7102", "127.0.0.1:7101"),
              "f: seats[2].peer: duplicate address 127.0.0.1:7101");
    EXPECT_EQ(errorAfter(own, R"("peers": "127.0.0.1:0")"),
              "f: listen.peers: the port must not be 0");
    EXPECT_EQ(errorAfter(own, R"("peers": "127.0.0.1:7101")"),
              "f: listen.peers: must be 127.0.0.1:7100, the address of seat 0");
    EXPECT_EQ(errorAfter(callers, R"("callers": "127.0.0.1:7300")"),
              "f: listen.operators: conflicts with the address of listen.callers");
    EXPECT_EQ(errorAfter(callers, R"("callers": "0.0.0.0:7100")"),
              "f: listen.callers: conflicts with the address of listen.peers");
    EXPECT_EQ(errorAfter(callers, R"("callers": "localhost:7200")"),
              "f: listen.callers: must be IP:PORT or [IP]:PORT");
    EXPECT_EQ(errorAfter(callers, R"("callers": "127.0.0.1:70000")"),
              "f: listen.callers: must be IP:PORT or [IP]:PORT");
    EXPECT_EQ(errorAfter(callers, R"("callers": "127.0.0.1:0")"), "");
    EXPECT_EQ(errorAfter(callers, R"("callers": "[::1]:7200")"), "");
    EXPECT_EQ(errorAfter(R"("stop_bound_ms": 20000)", R"("stop_bound_ms": 2000)"),
              "f: stop_bound_ms: must be longer than drain_delay_ms");
    EXPECT_EQ(errorAfter(R"("traffic_threads": 2)", R"("trafic_threads": 2)"),
              "f: trafic_threads: unknown key");
    EXPECT_EQ(errorAfter(R"("info")", R"("loud")"),
              "f: log_level: must be one of debug, info, warn, error");
    EXPECT_EQ(errorAfter(R"("operator_token_sha256": ")", R"("operator_token_sha256": "x)"),
              "f: operator_token_sha256: must be 64 lower-case hexadecimal digits");
    EXPECT_EQ(Settings::create("{", "f").error().reason, "f: line 1: not JSON: incomplete JSON");
}

// Guards against a default value in place of a required key that is missing.
TEST(SettingsTest, MissingKeysAreRejected)
{
    for (const std::string key : {"cell", "seat", "seats", "callers", "operators", "peers", "log",
                                  "instance_list", "operator_token_sha256"})
        EXPECT_NE(errorAfter("\"" + key + "\":", "\"x" + key + "\":"), "") << key;
}

// Guards against a corrupt file that crashes the parser.
TEST(SettingsTest, AnyCorruptByteGivesAnErrorOrSettings)
{
    const std::string text = exampleText();
    for (size_t n = 0; n < text.size(); ++n) {
        for (const char it : {'\0', '"', '0', ':', '\xff'}) {
            std::string corrupt = text;
            corrupt[n] = it;
            const auto settings = Settings::create(corrupt, "f");
            EXPECT_TRUE(settings.ok() || settings.error().reason.starts_with("f: ")) << n;
        }
    }
}

} // namespace
} // namespace cardamompaddle
