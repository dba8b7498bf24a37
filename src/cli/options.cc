#include "cli/options.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>

DEFINE_string(operators, gflags::StringFromEnv("CARDAMOMPADDLE_OPERATORS", ""),
              "addresses of the operators' API, IP:PORT[,IP:PORT]");
DEFINE_string(callers, gflags::StringFromEnv("CARDAMOMPADDLE_CALLERS", ""),
              "addresses of the callers' API, IP:PORT[,IP:PORT]");
DEFINE_string(token_file, gflags::StringFromEnv("CARDAMOMPADDLE_TOKEN_FILE", ""),
              "file with the operator token");
DEFINE_string(key_file, gflags::StringFromEnv("CARDAMOMPADDLE_KEY_FILE", ""),
              "file with a team's key; not needed for open routes");
DEFINE_bool(json, false, "print the server's JSON unchanged");
DEFINE_bool(dry_run, false, "only validate the file and show the differences");
DEFINE_int64(base_version, 0, "version that the edit is based on; default: the current version");
DEFINE_string(svg, "", "also write an SVG chart to this file");
DEFINE_string(id, "", "id of the work, unique within the team; default: a random id");
DEFINE_string(payload, "", "payload passed to the worker");
DEFINE_bool(repeatable, false, "the work may run again after an unknown outcome");
DEFINE_int64(timeout_ms, 0,
             "limit for waiting and running together, in milliseconds; default: the route's");
DEFINE_int64(wait_ms, 0, "wait up to this long for the job to end, in milliseconds");
DEFINE_int64(tasks, 1, "number of tasks");
DEFINE_int64(cpu_milli, 0, "CPU per task, in thousandths of a core");
DEFINE_int64(memory_mb, 0, "memory per task, in MiB");
DEFINE_int64(accelerators, 0, "accelerators per task");
DEFINE_int64(slots, 0, "slots per task");
DEFINE_int64(run_ms, 0, "expected run time of a task, in milliseconds");

namespace cardamompaddle {
namespace {

constexpr std::array<std::string_view, 5> CommonOptions = {"operators", "callers", "token_file",
                                                           "key_file", "json"};
constexpr std::array<std::string_view, 14> CommandOptions = {
    "dry_run", "base_version", "svg",       "id",        "payload",      "repeatable", "timeout_ms",
    "wait_ms", "tasks",        "cpu_milli", "memory_mb", "accelerators", "slots",      "run_ms"};

Error usageError(std::string reason)
{
    return {ErrorCode::InvalidArgument, std::move(reason)};
}

bool isOption(std::string_view name)
{
    return isCommonOption(name)
           || std::find(CommandOptions.begin(), CommandOptions.end(), name) != CommandOptions.end();
}

bool isBoolean(const std::string &name)
{
    return gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool";
}

// Reads the option at `arguments[at]`, which begins with a dash. If its value is the next argument,
// advances `at` to that argument.
Result<void> readOption(const std::vector<std::string> &arguments, size_t &at, Invocation &out)
{
    const std::string &text = arguments[at];
    const size_t dashes = text.starts_with("--") ? 2 : 1;
    const size_t equals = text.find('=');
    std::string name = text.substr(dashes, equals == std::string::npos ? equals : equals - dashes);
    std::string value = equals == std::string::npos ? std::string() : text.substr(equals + 1);
    if (name == "help" || name == "h") {
        out.help = true;
        return {};
    }
    if (!isOption(name))
        return usageError("unknown option " + text);
    if (equals == std::string::npos && isBoolean(name)) {
        value = "true";
    } else if (equals == std::string::npos) {
        if (++at == arguments.size())
            return usageError("option --" + name + " needs a value");
        value = arguments[at];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        return usageError("option --" + name + ": malformed value '" + value + "'");
    out.givenOptions.insert(name);
    return {};
}

std::vector<std::string> splitCommaSeparated(const std::string &text)
{
    std::vector<std::string> out;
    size_t from = 0;
    while (from <= text.size()) {
        const size_t to = std::min(text.find(',', from), text.size());
        if (to > from)
            out.push_back(text.substr(from, to - from));
        from = to + 1;
    }
    return out;
}

void fillOptions(Invocation &out)
{
    Options &options = out.options;
    options.operators = splitCommaSeparated(FLAGS_operators);
    options.callers = splitCommaSeparated(FLAGS_callers);
    options.tokenFile = FLAGS_token_file;
    options.keyFile = FLAGS_key_file;
    options.json = FLAGS_json;
    options.dryRun = FLAGS_dry_run;
    options.svg = FLAGS_svg;
    options.id = FLAGS_id;
    options.payload = FLAGS_payload;
    options.repeatable = FLAGS_repeatable;
}

Result<void> fillNumericOptions(Invocation &out)
{
    struct NumericOption
    {
        const char *name;
        std::optional<int64_t> Options::*member;
        int64_t value;
    };
    const std::array<NumericOption, 9> numbers = {
        {{"base_version", &Options::baseVersion, FLAGS_base_version},
         {"timeout_ms", &Options::timeoutMs, FLAGS_timeout_ms},
         {"wait_ms", &Options::waitMs, FLAGS_wait_ms},
         {"tasks", &Options::tasks, FLAGS_tasks},
         {"cpu_milli", &Options::cpuMilli, FLAGS_cpu_milli},
         {"memory_mb", &Options::memoryMb, FLAGS_memory_mb},
         {"accelerators", &Options::accelerators, FLAGS_accelerators},
         {"slots", &Options::slots, FLAGS_slots},
         {"run_ms", &Options::runMs, FLAGS_run_ms}}};
    for (const NumericOption &it : numbers) {
        if (!out.givenOptions.contains(it.name))
            continue;
        if (it.value < 0)
            return usageError("option --" + std::string(it.name) + " must not be negative");
        out.options.*it.member = it.value;
    }
    return {};
}

} // namespace

bool isCommonOption(std::string_view name)
{
    return std::find(CommonOptions.begin(), CommonOptions.end(), name) != CommonOptions.end();
}

Result<Invocation> parseArguments(const std::vector<std::string> &arguments)
{
    Invocation out;
    bool optionsEnded = false;
    for (size_t at = 0; at < arguments.size(); ++at) {
        const std::string &it = arguments[at];
        if (optionsEnded || it.size() < 2 || it[0] != '-') {
            out.words.push_back(it);
        } else if (it == "--") {
            optionsEnded = true;
        } else if (const Result<void> read = readOption(arguments, at, out); !read) {
            return read.error();
        }
    }
    fillOptions(out);
    if (const Result<void> filled = fillNumericOptions(out); !filled)
        return filled.error();
    return out;
}

} // namespace cardamompaddle
