#include "cli/cli_test_support.h"
#include "cli/slo_svg.h"
#include "cli/table_printer.h"

#include <boost/json/parse.hpp>

namespace cardamompaddle {
namespace {

using testing::_;
using testing::HasSubstr;
using testing::Not;
using testing::Return;

// Guards against columns in another order than the server's, and against names that inject terminal
// escape sequences.
TEST(TablePrinterTest, AlignsColumnsAndReplacesControlCharacters)
{
    std::ostringstream out;
    printRows(out, boost::json::parse(R"([{"team":"caf\u00e9","running":7},
                                     {"team":"\u001b[2Jx","running":1234,"note":null}])")
                       .as_array());
    EXPECT_EQ(out.str(), "team   running  note\n"
                         "caf\u00e9         7  -\n"
                         "?[2Jx     1234  -\n");
}

// Guards against applying an edit to a newer version than the one it is based on.
TEST_F(CliTest, ApplySendsTheBaseVersion)
{
    writeFile("tables", "{routes: \"x\"} // text");
    EXPECT_CALL(http,
                send(_, isRequest("PUT", "/v1/tables", R"("base_version":7,"dry_run":false)")))
        .WillOnce(Return(errorResponse(409, "conflict", "no")));
    EXPECT_EQ(run({"tables", "apply", path("tables"), "--base_version=7"}), ExitCode::Conflict);

    EXPECT_CALL(http, send(_, isRequest("GET", "/v1/tables")))
        .WillOnce(Return(httpResponse(R"({"version":9,"tables":"{}"})")));
    EXPECT_CALL(http, send(_, isRequest("PUT", "/v1/tables", R"("base_version":9)")))
        .WillOnce(
            Return(httpResponse(R"({"version":10,"in_force":false,"diff":["pool a: new"]})")));
    EXPECT_EQ(run({"tables", "apply", path("tables")}), ExitCode::Done);
    EXPECT_EQ(out.str(), "pool a: new\nversion 10: accepted, not yet confirmed by a majority\n");
}

// Guards against `tables show` printing text that is not a valid tables file.
TEST_F(CliTest, ShownTablesAreAValidTablesFile)
{
    const std::string tables = R"({"routes":[{"name":"r","kind":"batch","pool":"p","objective":)"
                               R"({"target_percent":9.99E1,"wait_ms":50}}],)"
                               R"("pools":[{"name":"p"}],"teams":[]})";
    EXPECT_CALL(http, send(_, isRequest("GET", "/v1/tables")))
        .Times(2)
        .WillRepeatedly(Return(httpResponse("{\"version\":7,\"tables\":" + tables + "}")));
    EXPECT_EQ(run({"tables", "show"}), ExitCode::Done);
    EXPECT_THAT(out.str(), testing::StartsWith("// version 7\n"));
    writeFile("shown", out.str());
    EXPECT_EQ(run({"tables", "diff", path("shown")}), ExitCode::Done);
    EXPECT_EQ(out.str(), "no difference\n");
}

// Guards against a dry run that changes the tables or reports a change.
TEST_F(CliTest, DryRunReportsThatNothingChanged)
{
    writeFile("tables", "{}");
    EXPECT_CALL(http, send(_, isRequest("PUT", "/v1/tables", R"("dry_run":true)")))
        .WillOnce(Return(httpResponse(R"({"version":7,"in_force":true,"diff":[]})")));
    EXPECT_EQ(run({"tables", "apply", path("tables"), "--dry_run", "--base_version=7"}),
              ExitCode::Done);
    EXPECT_EQ(out.str(), "valid; nothing changed, version 7\n");
}

// Guards against an invalid file passing the offline validation.
TEST_F(CliTest, ValidateNeedsNoServer)
{
    writeFile("bad", "{routes: [");
    EXPECT_EQ(runWithoutDefaults({"validate", path("bad")}), ExitCode::Failed);
    EXPECT_THAT(err.str(), HasSubstr(path("bad") + ": "));
}

// Guards against a command other than `keys create` printing a key.
TEST_F(CliTest, KeyIsPrintedOnCreationOnly)
{
    EXPECT_CALL(http, send(_, isRequest("POST", "/v1/keys", R"({"team":"north"})")))
        .WillOnce(Return(httpResponse(R"({"key_id":"k1","key":"secret","in_force":true})")));
    EXPECT_EQ(run({"keys", "create", "north"}), ExitCode::Done);
    EXPECT_EQ(out.str(), "key_id k1\nkey    secret\n");
    EXPECT_CALL(http, send(_, isRequest("DELETE", "/v1/keys/k%2F1")))
        .WillOnce(Return(httpResponse(R"({"in_force":true})")));
    EXPECT_EQ(run({"keys", "withdraw", "k/1"}), ExitCode::Done);
    EXPECT_EQ(out.str(), "key k/1 withdrawn: in force\n");
    EXPECT_CALL(http, send(_, isRequest("GET", "/v1/keys")))
        .WillOnce(Return(httpResponse(R"({"rows":[{"key_id":"k1","team":"north"}]})")));
    EXPECT_EQ(run({"keys", "list"}), ExitCode::Done);
    EXPECT_THAT(out.str(), Not(HasSubstr("secret")));
}

// Guards against swapping `zones out` and `zones in`, and against unescaped names in URLs.
TEST_F(CliTest, ZonesAndWhySendTheirArguments)
{
    EXPECT_CALL(http, send(_, isRequest("POST", "/v1/zones/munich", R"({"state":"out"})")))
        .WillOnce(Return(httpResponse(R"({"in_force":true})")));
    EXPECT_EQ(run({"zones", "out", "munich"}), ExitCode::Done);
    EXPECT_CALL(http, send(_, isRequest("POST", "/v1/zones/munich", R"({"state":"in"})")))
        .WillOnce(Return(httpResponse(R"({"in_force":true})")));
    EXPECT_EQ(run({"zones", "in", "munich"}), ExitCode::Done);
    EXPECT_CALL(http, send(_, isRequest("GET", "/v1/why/north/run%201")))
        .WillOnce(Return(httpResponse(R"({"text":"waits for 2 slots"})")));
    EXPECT_EQ(run({"why", "north/run 1"}), ExitCode::Done);
    EXPECT_EQ(out.str(), "waits for 2 slots\n");
}

// Guards against sending resources that were not given, which would override the route's defaults,
// and against losing the job's id after an unknown outcome.
TEST_F(CliTest, SubmitSendsOnlyGivenOptions)
{
    EXPECT_CALL(
        http, send(_, isRequest("POST", "/v1/jobs",
                                R"({"id":"made-id","route":"nightly","tasks":3,"repeatable":false,)"
                                R"("payload":""})")))
        .WillOnce(Return(errorResponse(504, "outcome_unknown", "unknown")));
    EXPECT_EQ(run({"submit", "nightly", "--tasks=3"}), ExitCode::OutcomeUnknown);
    EXPECT_THAT(err.str(), HasSubstr("--id=made-id"));
    EXPECT_CALL(http,
                send(_, isRequest("POST", "/v1/jobs",
                                  R"("repeatable":true,"payload":"p","resources":{"cpu_milli":500,)"
                                  R"("slots":2},"run_ms":80)")))
        .WillOnce(Return(httpResponse(R"({"id":"j","state":"waiting"})", 202)));
    EXPECT_EQ(run({"submit", "nightly", "--id=j", "--repeatable", "--payload=p", "--cpu_milli=500",
                   "--slots=2", "--run_ms=80"}),
              ExitCode::Done);
    EXPECT_EQ(out.str(), "j waiting\n");
}

// Guards against an exit code that reports a failed job as a success.
TEST_F(CliTest, JobStateDeterminesExitCode)
{
    EXPECT_CALL(http, send(_, isRequest("GET", "/v1/jobs/j?wait_ms=500")))
        .WillOnce(Return(httpResponse(R"({"id":"j","state":"failed","reason":"lost"})")))
        .WillOnce(Return(httpResponse(R"({"id":"j","state":"running"})")));
    EXPECT_EQ(run({"job", "j", "--wait_ms=500"}), ExitCode::Failed);
    EXPECT_THAT(out.str(), HasSubstr("lost"));
    EXPECT_EQ(run({"job", "j", "--wait_ms=500"}), ExitCode::Done);
}

// Guards against `watch` stopping while an entry instance is replaced, and against printing an
// unchanged state again.
TEST_F(CliTest, WatchRetriesWhileNoInstanceResponds)
{
    const std::string running =
        R"({"id":"j","state":"running","tasks":2,"finished":1,"failed":0,"running":1})";
    EXPECT_CALL(http, send("c:1", _))
        .WillOnce(Return(httpResponse(running)))
        .WillOnce(Return(Error{ErrorCode::Unavailable, "refused"}))
        .WillOnce(Return(errorResponse(503, "unavailable", "no")))
        .WillOnce(Return(httpResponse(running)))
        .WillOnce(Return(
            httpResponse(R"({"id":"j","state":"succeeded","tasks":2,"finished":2,"failed":0})")));
    EXPECT_CALL(http, send("d:1", _))
        .WillRepeatedly(Return(Error{ErrorCode::Unavailable, "refused"}));
    EXPECT_EQ(run({"watch", "j"}), ExitCode::Done);
    EXPECT_EQ(out.str(),
              "j running 1/2 finished, 0 failed, 1 running\nj succeeded 2/2 finished, 0 failed\n");
}

// Guards against `watch` retrying forever if no instance responds or the job does not exist.
TEST_F(CliTest, WatchStopsOnPermanentErrors)
{
    EXPECT_CALL(http, send(_, _)).WillOnce(Return(errorResponse(404, "not_found", "no")));
    EXPECT_EQ(run({"watch", "j"}), ExitCode::Refused);
    EXPECT_CALL(http, send(_, _)).WillRepeatedly(Return(Error{ErrorCode::Unavailable, "refused"}));
    EXPECT_EQ(run({"watch", "j"}), ExitCode::Unreachable);
    EXPECT_LE(sleeps, 100);
}

// Guards against a chart that does not show an alert, and against unescaped route names.
TEST_F(CliTest, SloReportDrawsBothWindows)
{
    const std::vector<SloRow> rows = {{"a<b", {990'000, Duration(200)}, {0, 100}, {900, 1000}},
                                      {"calm", {990'000, Duration(200)}, {100, 100}, {1000, 1000}}};
    EXPECT_CALL(http, send(_, isRequest("GET", "/v1/slo")))
        .WillOnce(Return(httpResponse("{\"rows\":" + formatSloRows(rows) + "}")));
    EXPECT_EQ(run({"report", "slo", "--svg=" + path("slo.svg")}), ExitCode::Done);
    EXPECT_THAT(out.str(), HasSubstr("burn_1h"));
    const std::string svg = *readFile(path("slo.svg"));
    EXPECT_THAT(svg, HasSubstr(">a&lt;b (alert)<"));
    EXPECT_THAT(svg, HasSubstr(">100.00<"));
    EXPECT_THAT(svg, HasSubstr(">10.00<"));
    EXPECT_THAT(svg, HasSubstr(">calm<"));
    EXPECT_THAT(svg, HasSubstr(">0.00<"));
}

// Guards against a job history that omits lines of other instances or is not ordered by time.
TEST_F(CliTest, ExplainPrintsJobHistoryInOrder)
{
    writeFile(
        "log",
        "x t=2000 level=INFO instance=b event=run_started job=j1 task=j1.0.0.0 run=1 worker=w\n"
        "t=1000 level=INFO instance=a event=job_accepted job=j1 route=r\n"
        "t=1500 level=INFO instance=b event=scheduling_began epoch=2\n"
        "t=1600 level=INFO instance=b event=job_accepted job=j10 route=r\n"
        "t=2500 level=WARN instance=b event=start_failed task=j1.0.0.0 worker=w\n"
        "t=9000 level=INFO instance=b event=tenure_lost reason=x\n");
    const std::string logs = path("log");
    EXPECT_EQ(runWithoutDefaults({"explain", "j1", logs}), ExitCode::Done);
    const std::string text = out.str();
    EXPECT_EQ(text, "+0ms instance=a event=job_accepted job=j1 route=r\n"
                    "+500ms instance=b event=scheduling_began epoch=2\n"
                    "+1000ms instance=b event=run_started job=j1 task=j1.0.0.0 run=1 worker=w\n"
                    "+1500ms instance=b event=start_failed task=j1.0.0.0 worker=w\n");
    EXPECT_EQ(runWithoutDefaults({"explain", "j2", logs}), ExitCode::Failed);
    EXPECT_EQ(runWithoutDefaults({"explain", "j1", "/no/such/file"}), ExitCode::Usage);
}

// Guards against a history that does not show what a job waits for: the waits of its steps, and
// approval calls that failed, whose lines name the step only.
TEST_F(CliTest, ExplainShowsWhyAJobWaits)
{
    writeFile("log",
              "t=1000 level=INFO instance=a event=job_queued job=j1\n"
              "t=1100 level=INFO instance=a event=step_waits job=j1 step=j1.0.0 for=approval\n"
              "t=2200 level=WARN instance=a event=approval_failed step=j1.0.0 caller=b\n"
              "t=2300 level=WARN instance=a event=approval_failed step=j10.0.0 caller=b\n"
              "t=3100 level=INFO instance=a event=task_overdue job=j1 task=j1.0.0.0 "
              "waited_ms=2000 reason=approval has_room=false\n"
              "t=3100 level=INFO instance=a event=task_overdue job=j10 task=j10.0.0.0 "
              "waited_ms=2000 reason=room has_room=false\n");
    EXPECT_EQ(runWithoutDefaults({"explain", "j1", path("log")}), ExitCode::Done);
    EXPECT_EQ(out.str(),
              "+0ms instance=a event=job_queued job=j1\n"
              "+100ms instance=a event=step_waits job=j1 step=j1.0.0 for=approval\n"
              "+1200ms instance=a event=approval_failed step=j1.0.0 caller=b\n"
              "+2100ms instance=a event=task_overdue job=j1 task=j1.0.0.0 waited_ms=2000 "
              "reason=approval has_room=false\n");
}

} // namespace
} // namespace cardamompaddle
