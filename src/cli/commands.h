// What the commands share, and the list of all of them.
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

// What a command works with. The streams and `http` must outlive it.
struct CommandContext
{
    Options options;
    HttpCall &http;
    std::ostream &out; // results
    std::ostream &err; // messages
    std::function<void(Duration)> sleep;
    std::function<std::string()> randomId;
};

using Arguments = std::vector<std::string>;

// A command of the program.
struct Command
{
    std::string_view words; // for example "tables apply"
    std::string_view arguments; // names of the required arguments, for example "FILE"
    std::string_view options; // names of the options besides the common ones
    std::string_view help; // one line
    ExitCode (*run)(CommandContext &context, const Arguments &arguments);
};

// Finds the command, checks its arguments and options, and runs it.
ExitCode runCommand(const Invocation &invocation, HttpCall &http, std::ostream &out,
                    std::ostream &err, std::function<void(Duration)> sleep,
                    std::function<std::string()> randomId);
// Prints all commands and options.
void printUsage(std::ostream &out);

// Commands for operators, for callers, and for those who read logs.
std::span<const Command> operatorCommands();
std::span<const Command> callerCommands();
std::span<const Command> logCommands();

// Calls the operators' interface with the token, or the callers' with the key if there is one.
ApiOutcome callOperators(CommandContext &context, ApiRequest request);
ApiOutcome callCallers(CommandContext &context, ApiRequest request);
// Prints the reason, or the server's JSON with --json, and returns the exit code.
ExitCode reportFailure(CommandContext &context, const ApiOutcome &outcome);
// Prints the server's JSON unchanged if --json was given; false otherwise.
bool printedAsJson(CommandContext &context, const ApiOutcome &outcome);
// Reads a whole file. Errors: NotFound.
Result<std::string> readFile(const std::string &path);
// A field of an object as text: strings without quotes, "" if missing.
std::string field(const boost::json::value &object, std::string_view name);

} // namespace cardamompaddle
