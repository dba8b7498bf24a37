// Reconstructs the history of one job from the log lines of several instances.

#include "cli/commands.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>
#include <ostream>
#include <sstream>

namespace cardamompaddle {
namespace {

struct LogLine
{
    long long unixMs = 0;
    std::string text; // starts at the field "t"
};

// Events that do not name a job but can explain why it waits: changes of the scheduler's state,
// configuration and log. They are shown if they lie between the job's first and last line.
constexpr std::array<std::string_view, 9> ContextEvents = {
    "scheduling_began", "workers_known", "tenure_lost", "tenure_releasing", "configuration_applied",
    "zones_out",        "log_lost",      "jobs_lost",   "log_dropped"};

// Returns the value of `name` in a line of `name=value` pairs, or "" if it is absent.
std::string logField(std::string_view line, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    size_t at = line.find(key);
    while (at != std::string_view::npos && at > 0 && line[at - 1] != ' ')
        at = line.find(key, at + 1);
    if (at == std::string_view::npos)
        return {};
    const std::string_view rest = line.substr(at + key.size());
    return std::string(rest.substr(0, rest.find(' ')));
}

// The ids of a job's tasks and steps begin with the job's id and a dot.
bool refersToJob(std::string_view line, const std::string &id)
{
    return logField(line, "job") == id || logField(line, "task").rfind(id + ".", 0) == 0
           || logField(line, "step").rfind(id + ".", 0) == 0;
}

ExitCode explain(CommandContext &context, const Arguments &arguments)
{
    const std::string &id = arguments[0];
    std::string text;
    if (arguments[1] == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    } else {
        const Result<std::string> read = readFile(arguments[1]);
        if (!read) {
            context.err << read.error().reason << '\n';
            return ExitCode::Usage;
        }
        text = *read;
    }
    std::vector<LogLine> selected;
    std::vector<LogLine> contextLines;
    std::istringstream in(text);
    for (std::string raw; std::getline(in, raw);) {
        // A log collector may prepend a prefix to the line.
        const size_t begin = raw.find("t=");
        if (begin == std::string::npos)
            continue;
        const std::string line = raw.substr(begin);
        LogLine parsed{std::atoll(logField(line, "t").c_str()), line};
        const std::string event = logField(line, "event");
        if (refersToJob(line, id))
            selected.push_back(std::move(parsed));
        else if (std::find(ContextEvents.begin(), ContextEvents.end(), event)
                 != ContextEvents.end())
            contextLines.push_back(std::move(parsed));
    }
    if (selected.empty()) {
        context.err << "no log line refers to job " << id << '\n';
        return ExitCode::Failed;
    }
    const auto earlier = [](const LogLine &a, const LogLine &b) { return a.unixMs < b.unixMs; };
    std::stable_sort(selected.begin(), selected.end(), earlier);
    const long long first = selected.front().unixMs;
    const long long last = selected.back().unixMs;
    for (LogLine &line : contextLines) {
        if (line.unixMs >= first && line.unixMs <= last)
            selected.push_back(std::move(line));
    }
    std::stable_sort(selected.begin(), selected.end(), earlier);
    for (const LogLine &line : selected) {
        const size_t rest = line.text.find("instance=");
        context.out << '+' << line.unixMs - first << "ms "
                    << (rest == std::string::npos ? line.text : line.text.substr(rest)) << '\n';
    }
    return ExitCode::Done;
}

constexpr std::array<Command, 1> LogCommands = {Command{
    "explain", "ID FILE", "",
    "print the history of a job from log lines of several instances (FILE -: standard input)",
    explain}};

} // namespace

std::span<const Command> logCommands()
{
    return LogCommands;
}

} // namespace cardamompaddle
