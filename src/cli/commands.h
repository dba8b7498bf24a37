// The table of commands, its dispatcher, and helpers that the commands share.
#pragma once

#include "cli/api_client.h"
#include "cli/options.h"

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// Options and dependencies of a running command. The streams and `http` must outlive it.
struct CommandContext
{
    Options options;
    HttpCall &http;
    std::ostream &out; // results
    std::ostream &err; // messages for the user
    std::function<void(Duration)> sleep;
    std::function<std::string()> randomId; // used if --id is not given
};

using Arguments = std::vector<std::string>;

// Describes a command of the program.
struct Command
{
    std::string_view name; // one or more words, for example "tables apply"
    std::string_view arguments; // names of the required arguments, separated by spaces
    std::string_view options; // names of the accepted options besides the common ones
    std::string_view help; // one-line description
    ExitCode (*run)(CommandContext &context, const Arguments &arguments);
};

// Finds the command, checks its arguments and options, runs it and returns its exit code. Errors
// are written to `err`.
ExitCode runCommand(const Invocation &invocation, HttpCall &http, std::ostream &out,
                    std::ostream &err, std::function<void(Duration)> sleep,
                    std::function<std::string()> randomId);
// Prints a description of all commands and options.
void printUsage(std::ostream &out);

// Commands that call the operators' API, that call the callers' API, and that read logs.
std::span<const Command> operatorCommands();
std::span<const Command> callerCommands();
std::span<const Command> logCommands();

// Send a request to the operators' API, which requires the token, or to the callers' API, with the
// key if one is configured. A missing address or an unreadable secret gives ExitCode::Usage.
ApiOutcome callOperators(CommandContext &context, ApiRequest request);
ApiOutcome callCallers(CommandContext &context, ApiRequest request);
// Prints the error message, and with --json also the server's JSON. Returns the exit code.
ExitCode reportFailure(CommandContext &context, const ApiOutcome &outcome);
// With --json, prints the server's JSON unchanged and returns true. Otherwise returns false.
bool printIfJson(CommandContext &context, const ApiOutcome &outcome);
// Reads a whole file. Errors: NotFound.
Result<std::string> readFile(const std::string &path);
// Returns a field of an object as text: strings without quotes, other values as JSON, "" if the
// field is missing or null.
std::string field(const boost::json::value &object, std::string_view name);

} // namespace cardamompaddle
