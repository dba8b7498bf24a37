#include "dispatch/worker_runs.h"

#include <array>
#include <charconv>

namespace cardamompaddle {

std::string StepRef::toString() const
{
    return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string TaskRef::toString() const
{
    return step.toString() + "." + std::to_string(index);
}

bool TaskRef::parse(const std::string &text, TaskRef &out)
{
    std::array<int32_t *, 3> numbers = {&out.index, &out.step.step, &out.step.occurrence};
    size_t end = text.size();
    for (int32_t *number : numbers) {
        const size_t dot = end == 0 ? std::string::npos : text.rfind('.', end - 1);
        if (dot == std::string::npos)
            return false;
        const char *last = text.data() + end;
        const auto [stop, ec] = std::from_chars(text.data() + dot + 1, last, *number);
        if (ec != std::errc() || stop != last || *number < 0)
            return false;
        end = dot;
    }
    out.step.job = text.substr(0, end);
    return end > 0;
}

std::string_view runOutcomeName(RunOutcome outcome)
{
    static constexpr std::array<std::string_view, 6> Names = {
        "succeeded", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete"};
    return Names[static_cast<size_t>(outcome)];
}

std::string_view jobStateName(work::JobState::type state)
{
    static constexpr std::array<std::string_view, 5> Names = {"queued", "running", "completed",
                                                              "failed", "cancelled"};
    return Names[static_cast<size_t>(state)];
}

std::string_view startOutcomeName(StartOutcome outcome)
{
    static constexpr std::array<std::string_view, 7> Names = {
        "started", "no_room", "stale_run", "no_approval", "not_run", "not_sent", "unknown"};
    return Names[static_cast<size_t>(outcome)];
}

} // namespace cardamompaddle
