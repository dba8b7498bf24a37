// Commands that call the callers' API: quick requests and jobs.

#include "cli/commands.h"
#include "cli/table_printer.h"

#include <boost/json.hpp>

#include <array>
#include <ostream>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

// Time allowed for the response in addition to the wait that the server was asked for.
constexpr Duration ResponseMargin{5'000};
// Used without --timeout_ms. Longer than the timeouts of typical routes.
constexpr Duration DefaultRequestTimeout{120'000};
constexpr Duration SubmitTimeout{30'000};
// `watch` lets the server hold each request until the job ends, for at most WatchWait, and pauses
// for WatchPause between requests.
constexpr Duration WatchWait{10'000};
constexpr Duration WatchPause{200};
// Delay and number of consecutive retries of `watch` after transient errors, for example while an
// entry instance is replaced.
constexpr Duration WatchRetryPause{1'000};
constexpr int WatchMaxRetries = 60;

// Reports a failed call. After an unknown outcome, also prints the id, because repeating the
// command with the same id cannot run the work twice.
ExitCode reportWorkFailure(CommandContext &context, const ApiOutcome &outcome,
                           const std::string &id)
{
    const ExitCode code = reportFailure(context, outcome);
    if (code == ExitCode::OutcomeUnknown)
        context.err << "outcome unknown; repeat with --id=" << printable(id) << '\n';
    return code;
}

std::string workId(CommandContext &context)
{
    return context.options.id.empty() ? context.randomId() : context.options.id;
}

ExitCode request(CommandContext &context, const Arguments &arguments)
{
    const Options &options = context.options;
    const std::string id = workId(context);
    json::object body = {{"route", arguments[0]},
                         {"id", id},
                         {"repeatable", options.repeatable},
                         {"payload", options.payload}};
    if (options.timeoutMs)
        body["timeout_ms"] = *options.timeoutMs;
    const Duration timeout =
        options.timeoutMs ? Duration(*options.timeoutMs) + ResponseMargin : DefaultRequestTimeout;
    const ApiOutcome outcome = callCallers(context, {.method = "POST",
                                                     .target = "/v1/requests",
                                                     .body = json::serialize(body),
                                                     .timeout = timeout});
    if (!outcome.done())
        return reportWorkFailure(context, outcome, id);
    if (!printIfJson(context, outcome))
        context.out << field(outcome.body, "output") << '\n';
    return ExitCode::Done;
}

// Returns the amounts given on the command line. The server chooses the others.
json::object requestedResources(const Options &options)
{
    json::object out;
    const std::array<std::pair<const char *, std::optional<int64_t>>, 4> amounts = {
        {{"cpu_milli", options.cpuMilli},
         {"memory_mb", options.memoryMb},
         {"accelerators", options.accelerators},
         {"slots", options.slots}}};
    for (const auto &[name, amount] : amounts) {
        if (amount)
            out[name] = *amount;
    }
    return out;
}

ExitCode submit(CommandContext &context, const Arguments &arguments)
{
    const Options &options = context.options;
    const std::string id = workId(context);
    json::object body = {{"id", id},
                         {"route", arguments[0]},
                         {"tasks", options.tasks.value_or(1)},
                         {"repeatable", options.repeatable},
                         {"payload", options.payload}};
    if (const json::object resources = requestedResources(options); !resources.empty())
        body["resources"] = resources;
    if (options.runMs)
        body["run_ms"] = *options.runMs;
    const ApiOutcome outcome = callCallers(context, {.method = "POST",
                                                     .target = "/v1/jobs",
                                                     .body = json::serialize(body),
                                                     .timeout = SubmitTimeout});
    if (!outcome.done())
        return reportWorkFailure(context, outcome, id);
    if (!printIfJson(context, outcome))
        context.out << printable(field(outcome.body, "id")) << ' '
                    << printable(field(outcome.body, "state")) << '\n';
    return ExitCode::Done;
}

ExitCode exitCodeForState(const std::string &state)
{
    return state == "failed" || state == "cancelled" ? ExitCode::Failed : ExitCode::Done;
}

bool isFinalState(const std::string &state)
{
    return state == "succeeded" || state == "failed" || state == "cancelled";
}

ApiOutcome fetchJob(CommandContext &context, const std::string &id, Duration wait)
{
    const std::string query = wait > Duration(0) ? "?wait_ms=" + std::to_string(wait.count()) : "";
    return callCallers(context, {.target = "/v1/jobs/" + percentEncode(id) + query,
                                 .timeout = wait + ResponseMargin});
}

ExitCode showJob(CommandContext &context, const Arguments &arguments)
{
    const ApiOutcome outcome =
        fetchJob(context, arguments[0], Duration(context.options.waitMs.value_or(0)));
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        printRows(context.out, {outcome.body});
    return exitCodeForState(field(outcome.body, "state"));
}

void printProgress(CommandContext &context, const ApiOutcome &outcome)
{
    if (printIfJson(context, outcome))
        return;
    const json::value &job = outcome.body;
    context.out << printable(field(job, "id")) << ' ' << printable(field(job, "state")) << ' '
                << field(job, "finished") << '/' << field(job, "tasks") << " finished, "
                << field(job, "failed") << " failed";
    if (const std::string running = field(job, "running"); !running.empty())
        context.out << ", " << running << " running";
    if (const std::string reason = field(job, "reason"); !reason.empty())
        context.out << ": " << printable(reason);
    context.out << std::endl;
}

ExitCode watch(CommandContext &context, const Arguments &arguments)
{
    std::string last;
    int retries = 0;
    for (;;) {
        const ApiOutcome outcome =
            fetchJob(context, arguments[0], last.empty() ? Duration(0) : WatchWait);
        if (!outcome.done()) {
            if (!outcome.transient || ++retries > WatchMaxRetries)
                return reportFailure(context, outcome);
            context.sleep(WatchRetryPause);
            continue;
        }
        retries = 0;
        if (outcome.text != last)
            printProgress(context, outcome);
        last = outcome.text;
        const std::string state = field(outcome.body, "state");
        if (isFinalState(state))
            return exitCodeForState(state);
        context.sleep(WatchPause);
    }
}

ExitCode cancel(CommandContext &context, const Arguments &arguments)
{
    const ApiOutcome outcome = callCallers(
        context, {.method = "DELETE", .target = "/v1/jobs/" + percentEncode(arguments[0])});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        printRows(context.out, {outcome.body});
    return ExitCode::Done;
}

constexpr std::array<Command, 5> Commands = {{
    {"request", "ROUTE", "payload id repeatable timeout_ms", "run a quick request", request},
    {"submit", "ROUTE", "tasks id payload repeatable cpu_milli memory_mb accelerators slots run_ms",
     "submit a batch job, gang job or service", submit},
    {"job", "ID", "wait_ms", "show a job; exits with 1 if it failed or was cancelled", showJob},
    {"watch", "ID", "", "print the progress of a job until it ends", watch},
    {"cancel", "ID", "", "cancel a job", cancel},
}};

} // namespace

std::span<const Command> callerCommands()
{
    return Commands;
}

} // namespace cardamompaddle
