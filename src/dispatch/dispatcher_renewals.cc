// Renewals of approvals: ready steps that wait for room or for the limit of their team keep as many
// valid approvals as they need, so that they can start as soon as the wait ends.
//
// The policy service decides the same for a step again, so only workers that it has approved are
// named. Renewals are sent only while callers are idle; see ApprovalRequester.

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// A step that needed no renewal is looked at again after this time.
constexpr Duration RenewalCheckInterval{100};

// An approved worker whose approval expires soon or has expired.
struct Renewable
{
    bool held = false; // places are held there for the gang
    int64_t free = 0; // tasks of the step that fit now
    int64_t places = 0; // see placesAfterWait()
    WorkerId id;

    // The worker with the lowest rank is the most likely to be used.
    auto rank() const { return std::make_tuple(!held, -free, -places, std::cref(id)); }
};

} // namespace

// Returns how many tasks of the step fit on the worker once its wait has ended: with the present
// runs if it waits for the limit, otherwise beside the worker's long-running tasks only.
int64_t Dispatcher::Impl::placesAfterWait(const Worker &worker, const Step &step) const
{
    if (step.waitReason == WaitReason::TeamLimit)
        return fittingTasks(worker, step);
    Resources capacity = worker.entry.capacity;
    for (const Attempt *attempt : worker.attempts) {
        if (attempt->step->spec->longRunning)
            capacity -= attempt->step->taskResources;
    }
    const int64_t limit = step.spec->maxPerWorker > 0 ? step.spec->maxPerWorker : INT32_MAX;
    return countFitting(capacity, step.taskResources, limit);
}

// Returns the steps whose approvals may be renewed: gangs that hold something first, then by
// urgency.
std::vector<Step *> Dispatcher::Impl::stepsForRenewal(Instant now, int64_t unixMs)
{
    const auto accepts = [this, now, unixMs](const Step &step) {
        return routeOf(*step.job)->approval && !step.approvals.empty()
               && step.nextRenewalCheckAt <= now && step.waitReason != WaitReason::None
               && mayStartNow(step) && isReady(step, unixMs) && blockingTask(step, now) == nullptr;
    };
    std::vector<Step *> out = stepsByUrgency(now, unixMs, accepts);
    std::stable_partition(out.begin(), out.end(), [](const Step *step) { return step->holds; });
    return out;
}

// Returns a call that renews approvals of the step; none if enough of them last for longer than a
// call takes.
std::optional<PendingApproval> Dispatcher::Impl::pendingRenewal(Step &step, Instant now)
{
    const ApprovalPolicy &policy = approvalPolicyOf(step);
    const Duration lead = approvalLead(policy) + ApprovalMargin;
    // An approval that does not outlast the lead would have to be renewed without end.
    if (policy.validity <= lead || (!step.spec->gang && hasCall(step)))
        return std::nullopt;
    const WorkRoute &route = *routeOf(*step.job);
    int64_t missing = placesWanted(step);
    std::vector<Renewable> renewable;
    for (const auto &[id, approval] : step.approvals) {
        const auto it = m_workers.find(id);
        if (it == m_workers.end() || step.deniedWorkers.contains(id)
            || !isEligible(*it->second, step, route, now))
            continue;
        const Worker &worker = *it->second;
        const int64_t places = placesAfterWait(worker, step);
        if (approval.expires >= now + lead || isRequested(step, id))
            missing -= places;
        else if (places > 0)
            renewable.push_back(
                {step.holds && worker.held != Resources{}, fittingTasks(worker, step), places, id});
    }
    if (missing <= 0 || renewable.empty()) {
        step.nextRenewalCheckAt = now + RenewalCheckInterval;
        return std::nullopt;
    }
    std::sort(renewable.begin(), renewable.end(),
              [](const Renewable &a, const Renewable &b) { return a.rank() < b.rank(); });
    PendingApproval out = newCall(step);
    out.renewal = true;
    for (const Renewable &it : renewable) {
        if (missing <= 0 || out.workers.size() >= maxWorkersPerCall(policy))
            break;
        out.workers.push_back(it.id);
        missing -= it.places;
    }
    out.expectedCallTime = expectedCallTime(policy, out.workers.size());
    return out;
}

} // namespace cardamompaddle
