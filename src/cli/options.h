// Parsing of the command line.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

struct Options
{
    // Options of all commands. Addresses are IP:PORT, in order of preference.
    std::vector<std::string> operators; // addresses of the operators' API
    std::vector<std::string> callers; // addresses of the callers' API
    std::string tokenFile; // file with the operator token
    std::string keyFile; // file with a team's key
    bool json = false; // print the server's JSON unchanged

    // Options of the operators' commands.
    bool dryRun = false;
    std::optional<int64_t> baseVersion;
    std::string svg; // path of the SVG file to write; empty writes none

    // Options of the callers' commands.
    std::string id;
    std::string payload;
    bool repeatable = false;
    std::optional<int64_t> timeoutMs;
    std::optional<int64_t> waitMs;
    std::optional<int64_t> tasks;
    std::optional<int64_t> cpuMilli;
    std::optional<int64_t> memoryMb;
    std::optional<int64_t> accelerators;
    std::optional<int64_t> slots;
    std::optional<int64_t> runMs;
};

struct Invocation
{
    std::vector<std::string> words; // command name and arguments, without options
    Options options;
    std::set<std::string> givenOptions; // names of the options present on the command line
    bool help = false;
};

// Parses the arguments after the program's name. Options may appear anywhere before "--".
// Environment variables provide defaults. Errors: InvalidArgument for an unknown option or a
// malformed value. Not thread-safe, because it uses gflags' process-wide state.
Result<Invocation> parseArguments(const std::vector<std::string> &arguments);
// Returns whether every command accepts the option `name`.
bool isCommonOption(std::string_view name);

} // namespace cardamompaddle
