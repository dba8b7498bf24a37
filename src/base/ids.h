// Identifiers shared by several modules.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cardamompaddle {

// Index into the settings' list of seats. Each entry instance occupies one seat, and every instance
// has the same list.
using SeatId = int32_t;
// Name of a worker in the platform's instance list.
using WorkerId = std::string;

// A job or quick request. `id` is chosen by the caller and unique within the team.
struct JobKey
{
    std::string team;
    std::string id;
    friend auto operator<=>(const JobKey &,
                            const JobKey &) = default; // NOLINT(modernize-use-nullptr)
    // "TEAM/ID", for messages.
    std::string toString() const { return team + "/" + id; }
};

// One task of a job. A task is the unit that a worker runs.
struct TaskId
{
    JobKey job;
    int32_t index = 0;
    friend auto operator<=>(const TaskId &,
                            const TaskId &) = default; // NOLINT(modernize-use-nullptr)
    // "TEAM/ID/INDEX", for messages.
    std::string toString() const { return job.toString() + "/" + std::to_string(index); }
};

// One continuous period in which a member may act for a key. A member that loses quorum and regains
// it, or that restarts, begins a new tenure.
struct Tenure
{
    SeatId seat = -1;
    uint64_t incarnation = 0;
    uint64_t generation = 0;
    friend auto operator<=>(const Tenure &,
                            const Tenure &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace cardamompaddle

template <>
struct std::hash<cardamompaddle::JobKey>
{
    size_t operator()(const cardamompaddle::JobKey &key) const noexcept
    {
        const size_t seed = std::hash<std::string>()(key.team);
        return seed * 1099511628211ULL ^ std::hash<std::string>()(key.id);
    }
};

template <>
struct std::hash<cardamompaddle::TaskId>
{
    size_t operator()(const cardamompaddle::TaskId &task) const noexcept
    {
        return std::hash<cardamompaddle::JobKey>()(task.job) * 31 + static_cast<size_t>(task.index);
    }
};
