// Random sequences of faults, operator commands and caller work for a simulated cluster.
#pragma once

#include "proof/cluster.h"

#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace cardamompaddle::proof {

enum class StepKind {
    Wait,
    Kill,
    Restart,
    Pause,
    StallOutput, // delays the outgoing messages of a member
    CutLink, // between two members, in one direction
    CutMember, // from all other members, in both directions
    HealLinks,
    CutWorker, // from one member
    HealWorkers,
    LogDown,
    LogUp,
    LogCutFrom, // cuts one member off from the log
    LoseAppendAnswers,
    LongOutage, // a log outage longer than the retention of records
    GracefulStop,
    ReplaceAll,
    ZoneOut,
    ZoneIn,
    WithdrawKey,
    CreateKey,
    ChangeLimits,
    RacingEdits,
    WorkerLeaves,
    WorkerReturns,
    Unlist, // removes a running worker from the instance list
    Requests,
    BatchJob,
    GangJob,
    CancelWave,
    HealAll,
};
inline constexpr int StepKindCount = static_cast<int>(StepKind::HealAll) + 1;
std::string_view stepName(StepKind kind);

// One step of a run. Any values are allowed: `member` is taken modulo the number of members, and
// the meaning of `argument` depends on the kind.
struct Step
{
    StepKind kind = StepKind::Wait;
    uint32_t member = 0;
    uint32_t argument = 0;
};
std::ostream &operator<<(std::ostream &out, const Step &step);

// Draws a step from `random`. Waits and work are more frequent than faults.
Step randomStep(std::mt19937_64 &random);

// Waits until a new cluster is ready, then applies the tables and creates one key for each team.
void bootstrap(Cluster &cluster);
// Executes the step and lets some time pass.
void apply(Cluster &cluster, const Step &step);
// Ends all faults, waits, and records a violation for each accepted job that has not ended.
void healAndVerify(Cluster &cluster);

} // namespace cardamompaddle::proof
