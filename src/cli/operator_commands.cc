// Commands that call the operators' API, and the offline validation of a tables file.

#include "cli/commands.h"
#include "cli/slo_svg.h"
#include "cli/table_printer.h"
#include "config/tables.h"
#include "metrics/slo.h"

#include <boost/json.hpp>

#include <array>
#include <fstream>
#include <ostream>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

ExitCode reportError(CommandContext &context, ExitCode code, std::string_view message)
{
    context.err << "cardamompaddle: " << printable(message) << '\n';
    return code;
}

// Returns the array "rows" of a response body, or an empty array if the body has none.
json::array responseRows(const json::value &body)
{
    const json::value *rows = body.is_object() ? body.get_object().if_contains("rows") : nullptr;
    return rows != nullptr && rows->is_array() ? rows->get_array() : json::array();
}

ExitCode showRows(CommandContext &context, const std::string &target)
{
    const ApiOutcome outcome = callOperators(context, {.target = target});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        printRows(context.out, responseRows(outcome.body));
    return ExitCode::Done;
}

// Prints whether a majority of the instances has confirmed the change to `subject`.
void printConfirmation(CommandContext &context, const ApiOutcome &outcome,
                       const std::string &subject)
{
    context.out << printable(subject)
                << (field(outcome.body, "in_force") == "true"
                        ? ": in force\n"
                        : ": accepted, not yet confirmed by a majority\n");
}

ExitCode sendChange(CommandContext &context, ApiRequest request, const std::string &subject)
{
    const ApiOutcome outcome = callOperators(context, std::move(request));
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        printConfirmation(context, outcome, subject);
    return ExitCode::Done;
}

ExitCode validate(CommandContext &context, const Arguments &arguments)
{
    const Result<std::string> text = readFile(arguments[0]);
    if (!text)
        return reportError(context, ExitCode::Usage, text.error().reason);
    const Result<Tables> tables = parseTables(*text);
    if (!tables)
        return reportError(context, ExitCode::Failed, arguments[0] + ": " + tables.error().reason);
    context.out << printable(arguments[0]) << ": valid, " << tables->routes.size() << " routes, "
                << tables->pools.size() << " pools, " << tables->teams.size() << " teams\n";
    return ExitCode::Done;
}

ExitCode showTables(CommandContext &context, const Arguments & /*arguments*/)
{
    const ApiOutcome outcome = callOperators(context, {.target = "/v1/tables"});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (printIfJson(context, outcome))
        return ExitCode::Done;
    // The version is printed as a comment, so that the output is a valid tables file. Tables that
    // cannot be parsed, for example those of a newer server, are printed unchanged.
    const std::string text = field(outcome.body, "tables");
    const Result<Tables> tables = parseTables(text);
    context.out << "// version " << field(outcome.body, "version") << '\n'
                << (tables ? formatTables(*tables) : text) << '\n';
    return ExitCode::Done;
}

ExitCode diffTablesWithFile(CommandContext &context, const Arguments &arguments)
{
    const Result<std::string> text = readFile(arguments[0]);
    if (!text)
        return reportError(context, ExitCode::Usage, text.error().reason);
    const Result<Tables> desired = parseTables(*text);
    if (!desired)
        return reportError(context, ExitCode::Failed, arguments[0] + ": " + desired.error().reason);
    const ApiOutcome outcome = callOperators(context, {.target = "/v1/tables"});
    if (!outcome.done())
        return reportFailure(context, outcome);
    // At version 0 no tables have been applied, so there is nothing to parse.
    const Result<Tables> current = field(outcome.body, "version") == "0"
                                       ? Result<Tables>(Tables())
                                       : parseTables(field(outcome.body, "tables"));
    if (!current)
        return reportError(context, ExitCode::Failed,
                           "cannot parse the server's tables: " + current.error().reason);
    const std::vector<std::string> lines = diffTables(*current, *desired);
    for (const std::string &it : lines)
        context.out << printable(it) << '\n';
    if (lines.empty())
        context.out << "no difference\n";
    return ExitCode::Done;
}

void printApplied(CommandContext &context, const ApiOutcome &outcome)
{
    const json::value *diff =
        outcome.body.is_object() ? outcome.body.get_object().if_contains("diff") : nullptr;
    if (diff != nullptr && diff->is_array()) {
        for (const json::value &it : diff->get_array())
            context.out << (it.is_string()
                                ? printable({it.get_string().data(), it.get_string().size()})
                                : json::serialize(it))
                        << '\n';
    }
    const std::string version = "version " + field(outcome.body, "version");
    if (context.options.dryRun)
        context.out << "valid; nothing changed, " << version << '\n';
    else
        printConfirmation(context, outcome, version);
}

ExitCode applyTables(CommandContext &context, const Arguments &arguments)
{
    const Result<std::string> text = readFile(arguments[0]);
    if (!text)
        return reportError(context, ExitCode::Usage, text.error().reason);
    json::value base = nullptr;
    if (context.options.baseVersion) {
        base = *context.options.baseVersion;
    } else {
        const ApiOutcome current = callOperators(context, {.target = "/v1/tables"});
        if (!current.done())
            return reportFailure(context, current);
        if (current.body.is_object() && current.body.get_object().contains("version"))
            base = current.body.get_object().at("version");
    }
    const json::object body = {
        {"base_version", base}, {"dry_run", context.options.dryRun}, {"tables", *text}};
    const ApiOutcome outcome = callOperators(
        context, {.method = "PUT", .target = "/v1/tables", .body = json::serialize(body)});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        printApplied(context, outcome);
    return ExitCode::Done;
}

ExitCode createKey(CommandContext &context, const Arguments &arguments)
{
    const json::object body = {{"team", arguments[0]}};
    const ApiOutcome outcome = callOperators(
        context, {.method = "POST", .target = "/v1/keys", .body = json::serialize(body)});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (printIfJson(context, outcome))
        return ExitCode::Done;
    context.out << "key_id " << printable(field(outcome.body, "key_id")) << "\nkey    "
                << printable(field(outcome.body, "key")) << '\n';
    context.err << "store the key now: it cannot be shown again\n";
    if (field(outcome.body, "in_force") != "true")
        context.err << "accepted, not yet confirmed by a majority\n";
    return ExitCode::Done;
}

ExitCode setZone(CommandContext &context, const std::string &zone, const char *state)
{
    const json::object body = {{"state", state}};
    return sendChange(context,
                      {.method = "POST",
                       .target = "/v1/zones/" + percentEncode(zone),
                       .body = json::serialize(body)},
                      "zone " + zone + " " + state);
}

ExitCode why(CommandContext &context, const Arguments &arguments)
{
    const size_t slash = arguments[0].find('/');
    if (slash == std::string::npos)
        return reportError(context, ExitCode::Usage, "usage: cardamompaddle why TEAM/ID");
    const ApiOutcome outcome =
        callOperators(context, {.target = "/v1/why/" + percentEncode(arguments[0].substr(0, slash))
                                          + "/" + percentEncode(arguments[0].substr(slash + 1))});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        context.out << field(outcome.body, "text") << '\n';
    return ExitCode::Done;
}

ExitCode reportSlo(CommandContext &context, const Arguments & /*arguments*/)
{
    const ApiOutcome outcome = callOperators(context, {.target = "/v1/slo"});
    if (!outcome.done())
        return reportFailure(context, outcome);
    if (!printIfJson(context, outcome))
        printRows(context.out, responseRows(outcome.body));
    if (context.options.svg.empty())
        return ExitCode::Done;
    const Result<std::vector<SloRow>> rows =
        parseSloRows(json::serialize(responseRows(outcome.body)));
    if (!rows)
        return reportError(context, ExitCode::Failed, rows.error().reason);
    std::ofstream file(context.options.svg);
    file << renderSloSvg(*rows);
    file.close();
    if (!file)
        return reportError(context, ExitCode::Failed,
                           context.options.svg + ": cannot write the file");
    return ExitCode::Done;
}

constexpr std::array<Command, 17> Commands = {{
    {"validate", "FILE", "", "validate a tables file without a server", validate},
    {"tables show", "", "", "print the current tables", showTables},
    {"tables diff", "FILE", "", "show what applying FILE would change", diffTablesWithFile},
    {"tables apply", "FILE", "dry_run base_version", "apply the tables in FILE", applyTables},
    {"keys create", "TEAM", "", "create a key and print it once", createKey},
    {"keys withdraw", "KEY_ID", "", "revoke a key",
     [](CommandContext &context, const Arguments &arguments) {
         return sendChange(
             context, {.method = "DELETE", .target = "/v1/keys/" + percentEncode(arguments[0])},
             "key " + arguments[0] + " withdrawn");
     }},
    {"keys list", "", "", "list the ids of the keys",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/keys"); }},
    {"zones out", "ZONE", "", "stop starting work in an availability zone",
     [](CommandContext &context, const Arguments &arguments) {
         return setZone(context, arguments[0], "out");
     }},
    {"zones in", "ZONE", "", "resume starting work in an availability zone",
     [](CommandContext &context, const Arguments &arguments) {
         return setZone(context, arguments[0], "in");
     }},
    {"zones list", "", "", "list the availability zones",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/zones"); }},
    {"instances", "", "", "list the entry instances",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/instances"); }},
    {"workers", "", "", "list the workers",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/workers"); }},
    {"queues", "", "", "list the queues",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/queues"); }},
    {"teams", "", "", "list the teams",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/teams"); }},
    {"pools", "", "", "list the pools",
     [](CommandContext &context, const Arguments &) { return showRows(context, "/v1/pools"); }},
    {"why", "TEAM/ID", "", "explain why a job or request is waiting", why},
    {"report slo", "", "svg", "show the burn rates of the service-level objectives", reportSlo},
}};

} // namespace

std::span<const Command> operatorCommands()
{
    return Commands;
}

} // namespace cardamompaddle
