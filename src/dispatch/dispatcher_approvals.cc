// Approvals of the policy service: which step asks next, and for which workers.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Workers named in one call at the most; the service takes no more.
constexpr size_t MaxWorkersPerCall = 100;
// Of a service that takes long for each worker, no more than this are named at once.
constexpr size_t WorkersPerSlowCall = 30;
constexpr double SlowPerWorkerMs = 1;
// Extra lead, beside the time of the call, with which approvals are asked for ahead of need.
constexpr Duration LeadMargin{150};
constexpr Duration MaxLead{1'000};
// No further call for the same step before.
constexpr Duration AskInterval{250};
constexpr Duration AskIntervalAfterFailure{100};

int64_t fittingTasks(const Worker &worker, const Step &step)
{
    const Resources room = worker.entry.capacity - worker.used;
    int64_t count = INT32_MAX;
    const auto bound = [&count](int64_t free, int64_t need) {
        if (need > 0)
            count = std::min(count, std::max<int64_t>(0, free) / need);
    };
    bound(room.cpuMilli, step.need.cpuMilli);
    bound(room.memoryMb, step.need.memoryMb);
    bound(room.accelerators, step.need.accelerators);
    if (step.spec->maxPerWorker > 0)
        count = std::min<int64_t>(count, step.spec->maxPerWorker);
    return count;
}

Duration expectedTime(const ApprovalPolicy &policy, size_t workers)
{
    return policy.decisionTime
           + Duration(static_cast<int64_t>(policy.perWorkerMs * static_cast<double>(workers)));
}

} // namespace

Step *Dispatcher::Impl::findStep(const StepRef &ref)
{
    const auto it = m_jobs.find(ref.job);
    return it == m_jobs.end() ? nullptr : it->second->step(ref.occurrence, ref.step);
}

std::optional<PendingApproval> Dispatcher::Impl::nextPendingApproval(Instant now, int64_t unixMs,
                                                                     Duration longest)
{
    for (Step *step : orderedSteps(now, unixMs, true, MaxLead)) {
        const WorkRoute &route = *routeOf(*step->job);
        if (!route.approval || step->asking || step->askAfter > now
            || route.approval->decisionTime > longest)
            continue;
        if (!ready(*step, unixMs)
            && !dueSoon(*step, now, expectedTime(*route.approval, WorkersPerSlowCall) + LeadMargin))
            continue;
        int64_t places = 0; // tasks that the valid approvals have room for
        std::vector<std::pair<int64_t, WorkerId>> approvedBefore;
        std::vector<std::pair<int64_t, WorkerId>> unknown;
        for (const auto &[id, worker] : m_workers) {
            const int64_t fits = fittingTasks(*worker, *step);
            if (fits <= 0 || step->disapproved.contains(id)
                || !eligible(*worker, *step, route, now))
                continue;
            const auto approval = step->approvals.find(id);
            if (approval == step->approvals.end())
                unknown.push_back({-fits, id});
            else if (approval->second.expires < now + ApprovalMargin)
                approvedBefore.push_back({-fits, id});
            else
                places += fits;
        }
        if (places >= step->waiting || (approvedBefore.empty() && unknown.empty()))
            continue;
        PendingApproval need;
        need.step = {step->job->spec->id, step->occurrence, step->number};
        need.validity = route.approval->validity;
        const size_t most =
            route.approval->perWorkerMs >= SlowPerWorkerMs ? WorkersPerSlowCall : MaxWorkersPerCall;
        // Workers that were approved before are approved again; then those with the most room.
        std::sort(unknown.begin(), unknown.end());
        for (const auto *candidates : {&approvedBefore, &unknown}) {
            for (const auto &[negativeRoom, id] : *candidates) {
                if (need.workers.size() < most)
                    need.workers.push_back(id);
            }
        }
        need.expected = expectedTime(*route.approval, need.workers.size());
        return need;
    }
    return std::nullopt;
}

void Dispatcher::Impl::approvalAnswered(const PendingApproval &need,
                                        const std::vector<work::Approval> *answer, Instant at,
                                        Instant now)
{
    Step *step = findStep(need.step);
    if (step == nullptr)
        return;
    step->asking = false;
    step->askAfter = now + (answer == nullptr ? AskIntervalAfterFailure : AskInterval);
    if (answer == nullptr)
        return;
    std::set<WorkerId> approved;
    for (const work::Approval &approval : *answer) {
        approved.insert(approval.worker);
        step->approvals[approval.worker] = {approval.ticket, at + need.validity};
    }
    for (const WorkerId &worker : need.workers) {
        if (!approved.contains(worker))
            step->disapproved.insert(worker);
    }
    event("approval", need.step.job,
          "step=" + need.step.toString() + " asked=" + std::to_string(need.workers.size())
              + " approved=" + std::to_string(approved.size())
              + " took_ms=" + std::to_string((now - at).count()));
}

} // namespace cardamompaddle
