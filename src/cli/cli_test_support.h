// A mock HTTP client and a fixture that runs command lines.
#pragma once

#include "cli/commands.h"

#include <gflags/gflags.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace cardamompaddle {

class MockHttpCall : public HttpCall
{
public:
    MOCK_METHOD(Result<HttpResponse>, send, (const std::string &, const ApiRequest &), (override));
};

// Runs command lines against the mock, with addresses, a token and a key.
class CliTest : public testing::Test
{
protected:
    CliTest()
    {
        writeFile("token", "operator-token\n");
        writeFile("key", "team-key\n");
    }

    std::string path(const std::string &name) const { return testing::TempDir() + m_prefix + name; }

    void writeFile(const std::string &name, const std::string &text) const
    {
        std::ofstream(path(name)) << text;
    }

    ExitCode run(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(),
                         {"--operators=a:1,b:1", "--callers=c:1,d:1",
                          "--token_file=" + path("token"), "--key_file=" + path("key")});
        return runWithoutDefaults(arguments);
    }

    // Runs a command line without default addresses and secrets.
    ExitCode runWithoutDefaults(const std::vector<std::string> &arguments)
    {
        const gflags::FlagSaver saver;
        out.str("");
        err.str("");
        const Result<Invocation> invocation = parseArguments(arguments);
        if (!invocation) {
            err << invocation.error().reason;
            return ExitCode::Usage;
        }
        return runCommand(
            *invocation, http, out, err, [this](Duration) { ++sleeps; }, [] { return "made-id"; });
    }

    testing::StrictMock<MockHttpCall> http;
    std::ostringstream out;
    std::ostringstream err;
    int sleeps = 0;

private:
    const std::string m_prefix =
        std::string(testing::UnitTest::GetInstance()->current_test_info()->name()) + "-";
};

inline HttpResponse httpResponse(std::string body, int status = 200)
{
    return {status, std::move(body), "application/json"};
}

inline HttpResponse errorResponse(int status, const std::string &error, const std::string &executed)
{
    return httpResponse(R"({"error":")" + error + R"(","message":"because","executed":")" + executed
                            + "\"}",
                        status);
}

// Matches a request by method, target and a substring of its body.
inline testing::Matcher<const ApiRequest &>
isRequest(const std::string &method, const std::string &target, const std::string &bodyPart = "")
{
    return testing::AllOf(testing::Field(&ApiRequest::method, method),
                          testing::Field(&ApiRequest::target, target),
                          testing::Field(&ApiRequest::body, testing::HasSubstr(bodyPart)));
}

} // namespace cardamompaddle
