// Which optional scheduling policies are in force, as set by the settings of an entry instance.
//
// The defaults switch all of them off.
#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamompaddle {

// Takes the past use of client accounts into account in the order of waiting work.
struct FairShareOptions
{
    Duration halfLife{3'600'000}; // after which past use counts half; positive
};

// Refuses work that cannot be served while it is still of value to its caller.
struct AdmissionOptions
{
    Duration maxStateAge{1'500}; // an older summary of the backlog decides nothing; positive
};

// Where expected run times come from.
enum class EstimateStrategy : uint8_t {
    Declared, // estimates of the callers
    Learned, // estimates of the callers, corrected by what runs have taken
};
inline constexpr std::array<std::string_view, 2> EstimateStrategyNames = {"declared", "learned"};

// For whose sake a run may be preempted.
enum class PreemptionScope : uint8_t {
    Account, // more urgent work of the same client account that is at its limit
    Pool, // also more urgent work of any client account that finds no room in the pool
};
inline constexpr std::array<std::string_view, 2> PreemptionScopeNames = {"account", "pool"};

// How the calls to the policy service are sized and spread over the callers.
enum class ApprovalStrategy : uint8_t {
    Fixed, // a fixed part of the callers makes only short calls; long calls name few workers
    Adaptive, // the part follows the need, and long calls name more workers
};
inline constexpr std::array<std::string_view, 2> ApprovalStrategyNames = {"fixed", "adaptive"};

// The place of work whose job is so late that its completion has little value left.
enum class ExpiredWorkOrder : uint8_t {
    ByPriority, // after the other work of its priority
    Last, // after the other work of all priorities
};
inline constexpr std::array<std::string_view, 2> ExpiredWorkOrderNames = {"by_priority", "last"};

struct SchedulingPolicies
{
    std::optional<FairShareOptions> fairShare;
    std::optional<AdmissionOptions> admission;
    EstimateStrategy estimates = EstimateStrategy::Declared;
    double maxCopyShare = 0; // of a pool's processors that copies of runs may use; 0 to 1
    PreemptionScope preemption = PreemptionScope::Account;
    ApprovalStrategy approvals = ApprovalStrategy::Fixed;
    ExpiredWorkOrder expiredWork = ExpiredWorkOrder::ByPriority;
};

} // namespace cardamompaddle
