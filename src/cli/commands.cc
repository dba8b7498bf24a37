#include "cli/commands.h"

#include "cli/table_printer.h"

#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>
#include <sstream>

namespace cardamompaddle {
namespace {

std::vector<std::string> splitWords(std::string_view text)
{
    std::istringstream in{std::string(text)};
    return {std::istream_iterator<std::string>(in), {}};
}

std::vector<Command> allCommands()
{
    std::vector<Command> out;
    for (const auto &commands : {operatorCommands(), callerCommands(), logCommands()})
        out.insert(out.end(), commands.begin(), commands.end());
    return out;
}

// Returns the command whose name matches the first words, or null.
const Command *findCommand(const std::vector<Command> &commands,
                           const std::vector<std::string> &words)
{
    const auto it =
        std::find_if(commands.begin(), commands.end(), [&words](const Command &command) {
            const auto name = splitWords(command.name);
            return name.size() <= words.size()
                   && std::equal(name.begin(), name.end(), words.begin());
        });
    return it == commands.end() ? nullptr : &*it;
}

// Returns why the arguments or options of `invocation` are invalid for `command`; empty if they are
// valid.
std::string findUsageError(const Command &command, const Invocation &invocation,
                           const Arguments &arguments)
{
    if (arguments.size() != splitWords(command.arguments).size())
        return "usage: cardamompaddle " + std::string(command.name) + ' '
               + std::string(command.arguments);
    const auto allowed = splitWords(command.options);
    for (const std::string &it : invocation.givenOptions) {
        if (!isCommonOption(it) && std::find(allowed.begin(), allowed.end(), it) == allowed.end())
            return "option --" + it + " does not apply to " + std::string(command.name);
    }
    return {};
}

ApiOutcome usageOutcome(std::string message)
{
    ApiOutcome out;
    out.exitCode = ExitCode::Usage;
    out.message = std::move(message);
    return out;
}

// Reads a secret from a file, which must hold exactly one line.
Result<std::string> readSecret(const std::string &path)
{
    Result<std::string> text = readFile(path);
    if (!text)
        return text;
    text->erase(text->find_last_not_of(" \t\r\n") + 1);
    if (text->empty() || text->find_first_of("\r\n") != std::string::npos)
        return Error{ErrorCode::InvalidArgument, path + ": expected a single line with the secret"};
    return text;
}

} // namespace

Result<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (!in.is_open() || in.bad())
        return Error{ErrorCode::NotFound, path + ": cannot read the file"};
    return text;
}

std::string field(const boost::json::value &object, std::string_view name)
{
    if (!object.is_object())
        return {};
    const auto *it = object.get_object().if_contains({name.data(), name.size()});
    if (it == nullptr || it->is_null())
        return {};
    return it->is_string() ? std::string(it->get_string()) : boost::json::serialize(*it);
}

ApiOutcome callOperators(CommandContext &context, ApiRequest request)
{
    const Options &options = context.options;
    if (options.operators.empty())
        return usageOutcome(
            "no operators' address: pass --operators=IP:PORT or set CARDAMOMPADDLE_OPERATORS");
    if (options.tokenFile.empty())
        return usageOutcome(
            "no operator token: pass --token_file=FILE or set CARDAMOMPADDLE_TOKEN_FILE");
    const Result<std::string> token = readSecret(options.tokenFile);
    if (!token)
        return usageOutcome(token.error().reason);
    return ApiClient(context.http, options.operators, *token).call(std::move(request));
}

ApiOutcome callCallers(CommandContext &context, ApiRequest request)
{
    const Options &options = context.options;
    if (options.callers.empty())
        return usageOutcome(
            "no callers' address: pass --callers=IP:PORT or set CARDAMOMPADDLE_CALLERS");
    std::string key;
    if (!options.keyFile.empty()) {
        const Result<std::string> read = readSecret(options.keyFile);
        if (!read)
            return usageOutcome(read.error().reason);
        key = *read;
    }
    return ApiClient(context.http, options.callers, key).call(std::move(request));
}

ExitCode reportFailure(CommandContext &context, const ApiOutcome &outcome)
{
    if (context.options.json && !outcome.text.empty())
        context.out << outcome.text << '\n';
    context.err << "cardamompaddle: " << printable(outcome.message) << '\n';
    return outcome.exitCode;
}

bool printIfJson(CommandContext &context, const ApiOutcome &outcome)
{
    if (context.options.json)
        context.out << outcome.text << '\n';
    return context.options.json;
}

ExitCode runCommand(const Invocation &invocation, HttpCall &http, std::ostream &out,
                    std::ostream &err, std::function<void(Duration)> sleep,
                    std::function<std::string()> randomId)
{
    if (invocation.help) {
        printUsage(out);
        return ExitCode::Done;
    }
    const std::vector<Command> commands = allCommands();
    const Command *command = findCommand(commands, invocation.words);
    if (command == nullptr) {
        err << (invocation.words.empty() ? "no command given"
                                         : "unknown command " + printable(invocation.words[0]))
            << "; see cardamompaddle --help\n";
        return ExitCode::Usage;
    }
    const auto nameLength = static_cast<ptrdiff_t>(splitWords(command->name).size());
    const Arguments arguments(invocation.words.begin() + nameLength, invocation.words.end());
    if (const std::string reason = findUsageError(*command, invocation, arguments);
        !reason.empty()) {
        err << reason << '\n';
        return ExitCode::Usage;
    }
    CommandContext context{invocation.options, http, out, err, std::move(sleep),
                           std::move(randomId)};
    return command->run(context, arguments);
}

void printUsage(std::ostream &out)
{
    out << "usage: cardamompaddle COMMAND [ARGUMENTS] [OPTIONS]\n\ncommands:\n";
    for (const Command &it : allCommands()) {
        std::string text =
            std::string(it.name) + (it.arguments.empty() ? "" : " ") + std::string(it.arguments);
        text.resize(std::max<size_t>(text.size(), 24), ' ');
        out << "  " << text << "  " << it.help << '\n';
        for (const std::string &option : splitWords(it.options))
            out << "      --" << option << ": "
                << gflags::GetCommandLineFlagInfoOrDie(option.c_str()).description << '\n';
    }
    out << "\noptions of all commands:\n";
    for (const char *it : {"operators", "callers", "token_file", "key_file", "json"})
        out << "  --" << it << ": " << gflags::GetCommandLineFlagInfoOrDie(it).description << '\n';
    out << "\nexit codes: 0 done, 1 failed, 2 usage, 3 refused and not executed, 4 outcome "
           "unknown,\n  5 unreachable, 6 conflict\n";
}

} // namespace cardamompaddle
