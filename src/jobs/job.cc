#include "jobs/job.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr std::array<std::pair<JobState, std::string_view>, 5> StateNames = {{
    {JobState::Waiting, "waiting"},
    {JobState::Running, "running"},
    {JobState::Succeeded, "succeeded"},
    {JobState::Failed, "failed"},
    {JobState::Cancelled, "cancelled"},
}};

} // namespace

std::string_view jobStateName(JobState state)
{
    const auto it = std::find_if(StateNames.begin(), StateNames.end(),
                                 [state](const auto &entry) { return entry.first == state; });
    return it == StateNames.end() ? std::string_view("unknown") : it->second;
}

std::optional<JobState> jobStateFromName(std::string_view name)
{
    const auto it = std::find_if(StateNames.begin(), StateNames.end(),
                                 [name](const auto &entry) { return entry.second == name; });
    return it == StateNames.end() ? std::nullopt : std::optional(it->first);
}

bool isFinal(JobState state)
{
    return state == JobState::Succeeded || state == JobState::Failed
           || state == JobState::Cancelled;
}

} // namespace cardamompaddle
