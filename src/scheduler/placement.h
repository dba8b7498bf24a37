// Strategies of the pool scheduler: the choice of a worker for a task and the order of waiting
// work.
#pragma once

#include "base/time.h"
#include "config/tables.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace cardamompaddle {

namespace sched {
class WorkerIndex;
struct PlacementQuery;
} // namespace sched

// Chooses a worker for one task. Deterministic: equal sequences of calls on equal indexes give
// equal results; the random strategy uses its own seeded generator. Not thread-safe.
class PlacementStrategy
{
public:
    virtual ~PlacementStrategy() = default;
    // Returns the slot of the chosen worker in `index`, or -1 if the task fits on no worker.
    virtual int choose(const sched::WorkerIndex &index, const sched::PlacementQuery &query) = 0;
};

// Creates the strategy for a pool's `placement`. `seed` is used by Random only.
std::unique_ptr<PlacementStrategy> makePlacementStrategy(PlacementPolicy policy, uint64_t seed);

// Sort criteria of the first waiting job of a team in a class.
struct QueueHead
{
    Instant deadline = Instant::max(); // as returned by effectiveDeadline()
    int64_t weightedShare = 0; // dominant share in use / weight of the team; lower comes first
    uint64_t sequence = 0; // order of submission
};

// Order in which waiting work is served. Stateless and thread-safe.
class QueueOrder
{
public:
    virtual ~QueueOrder() = default;
    virtual std::string_view name() const = 0;
    // Returns the queue class, 0 to QueueClasses - 1. Classes are served from the highest down;
    // within a class, before() decides.
    virtual int classOf(WorkKind kind, int32_t urgency) const = 0;
    // Returns the deadline to order by; Instant::max() if the order ignores deadlines of this kind.
    virtual Instant effectiveDeadline(WorkKind kind, Instant deadline) const = 0;
    virtual bool before(const QueueHead &a, const QueueHead &b) const = 0;
    // Whether preemption, gang reservations and the spreading of services are enabled.
    virtual bool usesPolicyRules() const = 0;
};

// Number of queue classes.
inline constexpr int QueueClasses = 40;

// Orders by urgency, kind, deadline (requests only), weighted dominant share and submission.
std::unique_ptr<QueueOrder> makePolicyOrder();
// Orders by submission only. Used as the baseline in comparisons.
std::unique_ptr<QueueOrder> makeFifoOrder();

} // namespace cardamompaddle
