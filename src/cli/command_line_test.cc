#include "cli/cli_test_support.h"

namespace cardamompaddle {
namespace {

using testing::_;
using testing::Field;
using testing::HasSubstr;
using testing::Return;

// Guards against sending a request although the command line is invalid.
TEST_F(CliTest, InvalidCommandLinesSendNothing)
{
    const std::vector<std::vector<std::string>> lines = {
        {},
        {"frobnicate"},
        {"tables"},
        {"tables", "apply"},
        {"zones", "out", "Z", "extra"},
        {"workers", "--no_such_option=1"},
        {"submit", "nightly", "--tasks=many"},
        {"submit", "nightly", "--tasks=-1"},
        {"submit", "nightly", "--tasks"},
        {"keys", "create", "T", "--dry_run"},
        {"why", "no-slash"},
        {"tables", "apply", "/no/such/file"},
        {"workers", "--flagfile=/dev/null"},
    };
    for (const auto &it : lines)
        EXPECT_EQ(run(it), ExitCode::Usage) << testing::PrintToString(it);
}

// Guards against sending a request without the required address or secret.
TEST_F(CliTest, MissingAddressOrSecretIsAUsageError)
{
    EXPECT_EQ(runWithoutDefaults({"workers"}), ExitCode::Usage);
    EXPECT_EQ(runWithoutDefaults({"workers", "--operators=a:1"}), ExitCode::Usage);
    EXPECT_EQ(runWithoutDefaults({"workers", "--operators=a:1", "--token_file=/no/such/file"}),
              ExitCode::Usage);
    EXPECT_EQ(runWithoutDefaults({"job", "x"}), ExitCode::Usage);
    writeFile("token", "two\nlines\n");
    EXPECT_EQ(run({"workers"}), ExitCode::Usage);
}

// Guards against sending a secret to the wrong API, and against requiring a key for open routes.
TEST_F(CliTest, EachApiGetsItsOwnSecret)
{
    EXPECT_CALL(http, send("a:1", Field(&ApiRequest::bearer, "operator-token")))
        .WillOnce(Return(httpResponse(R"({"rows":[]})")));
    EXPECT_EQ(run({"workers"}), ExitCode::Done);
    EXPECT_CALL(http, send("c:1", Field(&ApiRequest::bearer, "team-key")))
        .WillOnce(Return(httpResponse(R"({"id":"x","state":"waiting"})")));
    EXPECT_EQ(run({"job", "x"}), ExitCode::Done);
    EXPECT_CALL(http, send("c:1", Field(&ApiRequest::bearer, "")))
        .WillOnce(Return(httpResponse(R"({"id":"x","state":"waiting"})")));
    EXPECT_EQ(runWithoutDefaults({"job", "x", "--callers=c:1"}), ExitCode::Done);
}

// Guards against exit codes that report a failure as a success, or an unknown outcome as a refusal.
TEST_F(CliTest, ResponsesMapToExitCodes)
{
    struct Case
    {
        Result<HttpResponse> response;
        ExitCode expected;
    };
    const std::vector<Case> cases = {
        {errorResponse(429, "overloaded", "no"), ExitCode::Refused},
        {errorResponse(401, "unauthenticated", "no"), ExitCode::Refused},
        {errorResponse(504, "outcome_unknown", "unknown"), ExitCode::OutcomeUnknown},
        {errorResponse(500, "internal", "unknown"), ExitCode::OutcomeUnknown},
        {errorResponse(200, "failed", "unknown"), ExitCode::Done},
        {errorResponse(500, "failed", "unknown"), ExitCode::Failed},
        {errorResponse(409, "conflict", "no"), ExitCode::Conflict},
        {httpResponse("<html>bad gateway</html>", 502), ExitCode::OutcomeUnknown},
        {httpResponse("{\"id\":", 200), ExitCode::OutcomeUnknown},
        {Error{ErrorCode::OutcomeUnknown, "connection lost"}, ExitCode::OutcomeUnknown},
        {Error{ErrorCode::InvalidArgument, "malformed address"}, ExitCode::Usage},
    };
    for (const Case &it : cases) {
        EXPECT_CALL(http, send(_, _)).WillOnce(Return(it.response));
        EXPECT_EQ(run({"request", "size-check"}), it.expected)
            << (it.response ? it.response->body : it.response.error().reason);
    }
}

// Guards against sending work to a second instance although the first may have executed it.
TEST_F(CliTest, TriesNextAddressOnlyIfNothingWasExecuted)
{
    EXPECT_CALL(http, send("c:1", _))
        .WillOnce(Return(Error{ErrorCode::Unavailable, "refused"}))
        .WillOnce(Return(errorResponse(503, "unavailable", "no")))
        .WillOnce(Return(errorResponse(503, "unavailable", "unknown")))
        .WillOnce(Return(Error{ErrorCode::OutcomeUnknown, "cut"}))
        .WillOnce(Return(Error{ErrorCode::Unavailable, "refused"}));
    EXPECT_CALL(http, send("d:1", _))
        .WillOnce(Return(httpResponse(R"({"output":"1"})")))
        .WillOnce(Return(httpResponse(R"({"output":"2"})")))
        .WillOnce(Return(Error{ErrorCode::Unavailable, "refused"}));
    EXPECT_EQ(run({"request", "r"}), ExitCode::Done);
    EXPECT_EQ(run({"request", "r"}), ExitCode::Done);
    EXPECT_EQ(run({"request", "r"}), ExitCode::OutcomeUnknown);
    EXPECT_EQ(run({"request", "r"}), ExitCode::OutcomeUnknown);
    EXPECT_EQ(run({"request", "r"}), ExitCode::Unreachable);
}

// Guards against a read that fails although another instance could serve it.
TEST_F(CliTest, ReadsTryNextAddressAfterLostResponse)
{
    EXPECT_CALL(http, send("a:1", _)).WillOnce(Return(Error{ErrorCode::OutcomeUnknown, "cut"}));
    EXPECT_CALL(http, send("b:1", _)).WillOnce(Return(httpResponse(R"({"rows":[]})")));
    EXPECT_EQ(run({"pools"}), ExitCode::Done);
    EXPECT_EQ(out.str(), "none\n");
}

// Guards against --json output that differs from the server's response, including error responses.
TEST_F(CliTest, JsonIsPrintedUnchanged)
{
    const std::string body = R"({"rows":  [ {"b":1,"a":"\u001b"} ]})";
    EXPECT_CALL(http, send(_, _))
        .WillOnce(Return(httpResponse(body)))
        .WillOnce(Return(errorResponse(404, "not_found", "no")));
    EXPECT_EQ(run({"workers", "--json"}), ExitCode::Done);
    EXPECT_EQ(out.str(), body + "\n");
    EXPECT_EQ(run({"job", "x", "--json"}), ExitCode::Refused);
    EXPECT_THAT(out.str(), HasSubstr("\"executed\":\"no\""));
    EXPECT_THAT(err.str(), HasSubstr("not_found: because"));
}

// Guards against a command or option that is missing from the help text.
TEST_F(CliTest, HelpListsEveryCommand)
{
    EXPECT_EQ(runWithoutDefaults({"--help"}), ExitCode::Done);
    for (const auto &commands : {operatorCommands(), callerCommands()}) {
        for (const Command &it : commands)
            EXPECT_THAT(out.str(), HasSubstr("  " + std::string(it.name)));
    }
    EXPECT_THAT(out.str(), HasSubstr("--base_version: "));
}

} // namespace
} // namespace cardamompaddle
