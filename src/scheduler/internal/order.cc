// The queue orders: by policy and first in, first out.
#include "scheduler/placement.h"

#include <algorithm>
#include <tuple>

namespace cardamompaddle {
namespace {

int kindRank(WorkKind kind)
{
    switch (kind) {
    case WorkKind::Request:
        return 3;
    case WorkKind::Service:
        return 2;
    case WorkKind::Gang:
        return 1;
    case WorkKind::Batch:
        break;
    }
    return 0;
}

class PolicyOrder final : public QueueOrder
{
public:
    std::string_view name() const override { return "policy"; }
    int classOf(WorkKind kind, int32_t urgency) const override
    {
        return std::clamp(urgency, 0, 9) * 4 + kindRank(kind);
    }
    Instant effectiveDeadline(WorkKind kind, Instant deadline) const override
    {
        return kind == WorkKind::Request ? deadline : Instant::max();
    }
    bool before(const QueueHead &a, const QueueHead &b) const override
    {
        return std::tie(a.deadline, a.weightedShare, a.sequence)
               < std::tie(b.deadline, b.weightedShare, b.sequence);
    }
    bool usesPolicyRules() const override { return true; }
};

class FifoOrder final : public QueueOrder
{
public:
    std::string_view name() const override { return "fifo"; }
    int classOf(WorkKind, int32_t) const override { return 0; }
    Instant effectiveDeadline(WorkKind, Instant) const override { return Instant::max(); }
    bool before(const QueueHead &a, const QueueHead &b) const override
    {
        return a.sequence < b.sequence;
    }
    bool usesPolicyRules() const override { return false; }
};

} // namespace

std::unique_ptr<QueueOrder> makePolicyOrder()
{
    return std::make_unique<PolicyOrder>();
}

std::unique_ptr<QueueOrder> makeFifoOrder()
{
    return std::make_unique<FifoOrder>();
}

} // namespace cardamompaddle
