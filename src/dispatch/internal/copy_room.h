// What the search for copies of runs works with; see dispatcher_copies.cc.
#pragma once

#include "dispatch/internal/state.h"
#include "speculation/straggler_policy.h"

#include <tuple>
#include <vector>

namespace cardamompaddle::dispatch {

// A run that deserves a copy.
struct Straggler
{
    Attempt *attempt = nullptr;
    const WorkRoute *route = nullptr;
    RunProgress progress;
    CopyProspect prospect;

    // The most urgent one first, of these one that a copy saves, then the one that gains most.
    auto rank() const
    {
        return std::tuple(route->priority, !prospect.saves, -prospect.gainMs(), attempt->serial);
    }
};

// The part of a pool that copies may use in one pass.
struct CopyRoom
{
    struct WaitingStep
    {
        const Step *step;
        const WorkRoute *route;
    };
    CopyBudget budget;
    Resources free; // on workers that accept starts
    std::vector<WaitingStep> waiting; // that would start if there was room
};

} // namespace cardamompaddle::dispatch
