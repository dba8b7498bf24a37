// The story of one job, from the log lines of several instances.

#include "cli/commands.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>
#include <ostream>
#include <sstream>

namespace cardamompaddle {
namespace {

// One log line that concerns the job, or what its scheduler believed meanwhile.
struct LogLine
{
    long long unixMs = 0;
    std::string text; // from the time on
};

// Changes of belief that explain a wait: they are shown between the job's first and last line.
constexpr std::array<std::string_view, 9> BeliefEvents = {
    "scheduling_began", "workers_known", "tenure_lost", "tenure_releasing", "configuration_applied",
    "zones_out",        "log_lost",      "jobs_lost",   "log_dropped"};

std::string fieldOf(std::string_view line, std::string_view name)
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

bool concerns(std::string_view line, const std::string &id)
{
    return fieldOf(line, "job") == id || fieldOf(line, "task").rfind(id + ".", 0) == 0
           || fieldOf(line, "step").rfind(id + ".", 0) == 0;
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
    std::vector<LogLine> own;
    std::vector<LogLine> beliefs;
    std::istringstream in(text);
    for (std::string raw; std::getline(in, raw);) {
        // A collector may put its own words before the line.
        const size_t begin = raw.find("t=");
        if (begin == std::string::npos)
            continue;
        const std::string line = raw.substr(begin);
        LogLine parsed{std::atoll(fieldOf(line, "t").c_str()), line};
        const std::string event = fieldOf(line, "event");
        if (concerns(line, id))
            own.push_back(std::move(parsed));
        else if (std::find(BeliefEvents.begin(), BeliefEvents.end(), event) != BeliefEvents.end())
            beliefs.push_back(std::move(parsed));
    }
    if (own.empty()) {
        context.err << "no line about job " << id << '\n';
        return ExitCode::Failed;
    }
    const auto earlier = [](const LogLine &a, const LogLine &b) { return a.unixMs < b.unixMs; };
    std::stable_sort(own.begin(), own.end(), earlier);
    const long long first = own.front().unixMs;
    const long long last = own.back().unixMs;
    for (LogLine &belief : beliefs) {
        if (belief.unixMs >= first && belief.unixMs <= last)
            own.push_back(std::move(belief));
    }
    std::stable_sort(own.begin(), own.end(), earlier);
    for (const LogLine &line : own) {
        const size_t rest = line.text.find("instance=");
        context.out << '+' << line.unixMs - first << "ms "
                    << (rest == std::string::npos ? line.text : line.text.substr(rest)) << '\n';
    }
    return ExitCode::Done;
}

constexpr std::array<Command, 1> LogCommands = {
    Command{"explain", "ID FILE", "",
            "print the story of a job from log lines of several instances (FILE -: standard input)",
            explain}};

} // namespace

std::span<const Command> logCommands()
{
    return LogCommands;
}

} // namespace cardamompaddle
