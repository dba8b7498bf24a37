// What one decision knows of the room that stops could free; see dispatcher_preemption.cc.
#pragma once

#include "dispatch/internal/state.h"
#include "dispatch/room_preemption.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamompaddle::dispatch {

// A run that may be stopped for a step of more urgent priority.
struct RoomCandidate
{
    Attempt *attempt = nullptr;
    int32_t priority = 0; // of its route
    int64_t progressMs = 0; // 0 if its job has no value left
};

struct WorkerOutlook
{
    // Free soon without a stop, less what steps that wait for it need.
    Resources endingSoon;
    std::vector<RoomCandidate> candidates;
};

// A worker on which tasks of a step could start.
struct RoomOffer
{
    Worker *worker = nullptr;
    Resources room; // free soon, less what the step itself waits for
    int64_t maxTasks = 0; // further tasks that StepSpec::maxPerWorker allows
};

// Processors of a pool, in thousandths of a core.
struct PoolFreeing
{
    int64_t capacity = 0;
    int64_t beingFreed = 0; // by runs that were stopped for room
    int64_t freedNow = 0; // of these, by the present decision
};

// Valid during one decision; filled on demand.
struct RoomSearch
{
    bool due = false; // whether steps may search in this decision
    int32_t searches = 0;
    std::unordered_map<const Worker *, WorkerOutlook> outlooks; // never iterated
    std::optional<AccountShares> shares;
    std::map<std::string, size_t> accounts; // numbers in `shares`, by team
    std::map<std::string, PoolFreeing> pools;
};

} // namespace cardamompaddle::dispatch
