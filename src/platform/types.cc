#include "platform/types.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr std::array<std::pair<TaskOutcome, std::string_view>, 4> OutcomeNames = {{
    {TaskOutcome::Succeeded, "succeeded"},
    {TaskOutcome::Failed, "failed"},
    {TaskOutcome::Stopped, "stopped"},
    {TaskOutcome::LeaseLapsed, "lease_lapsed"},
}};

} // namespace

std::string_view taskOutcomeName(TaskOutcome outcome)
{
    const auto it = std::find_if(OutcomeNames.begin(), OutcomeNames.end(),
                                 [outcome](const auto &entry) { return entry.first == outcome; });
    return it == OutcomeNames.end() ? std::string_view("unknown") : it->second;
}

std::optional<TaskOutcome> taskOutcomeFromName(std::string_view name)
{
    const auto it = std::find_if(OutcomeNames.begin(), OutcomeNames.end(),
                                 [name](const auto &entry) { return entry.second == name; });
    return it == OutcomeNames.end() ? std::nullopt : std::optional(it->first);
}

} // namespace cardamompaddle
