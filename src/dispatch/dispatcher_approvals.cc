// Approvals of the policy service: selects the step to request them for and the workers to name.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Most workers that the policy service accepts in one call.
constexpr size_t MaxWorkersPerCall = 100;
// A policy service that takes at least SlowPerWorkerMs for each worker gets smaller calls.
constexpr size_t MaxWorkersPerSlowCall = 30;
constexpr double SlowPerWorkerMs = 1;
// Approvals are requested before a step becomes ready, by the expected time of the call plus this
// margin, but only for steps that become ready within MaxApprovalLead.
constexpr Duration ApprovalLeadMargin{150};
constexpr Duration MaxApprovalLead{1'000};
// Minimum time between the end of a call and the next call for the same step.
constexpr Duration ApprovalCallInterval{250};
constexpr Duration ApprovalCallRetryInterval{100};

int64_t fittingTasks(const Worker &worker, const Step &step)
{
    const Resources room = worker.entry.capacity - worker.used;
    int64_t count = INT32_MAX;
    const auto bound = [&count](int64_t free, int64_t need) {
        if (need > 0)
            count = std::min(count, std::max<int64_t>(0, free) / need);
    };
    bound(room.cpuMilli, step.taskResources.cpuMilli);
    bound(room.memoryMb, step.taskResources.memoryMb);
    bound(room.accelerators, step.taskResources.accelerators);
    if (step.spec->maxPerWorker > 0)
        count = std::min<int64_t>(count, step.spec->maxPerWorker);
    return count;
}

Duration expectedCallTime(const ApprovalPolicy &policy, size_t workers)
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

std::vector<Step *> Dispatcher::Impl::stepsForApproval(Instant now, int64_t unixMs)
{
    std::vector<Step *> out = stepsByUrgency(now, unixMs, true, MaxApprovalLead);
    std::erase_if(out, [this](const Step *step) { return !routeOf(*step->job)->approval; });
    return out;
}

// Sets `settled` if no call is needed for the step, whatever the caller can take.
std::optional<PendingApproval> Dispatcher::Impl::pendingApproval(const Step &step, Instant now,
                                                                 int64_t unixMs,
                                                                 Duration maxDecisionTime,
                                                                 bool &settled)
{
    const WorkRoute &route = *routeOf(*step.job);
    settled = step.approvalCallActive || step.nextApprovalCallAt > now;
    if (settled || route.approval->decisionTime > maxDecisionTime)
        return std::nullopt;
    if (!isReady(step, unixMs)
        && !isDueSoon(step, now,
                      expectedCallTime(*route.approval, MaxWorkersPerSlowCall)
                          + ApprovalLeadMargin)) {
        settled = true;
        return std::nullopt;
    }
    int64_t approvedPlaces = 0; // tasks that fit on workers with a valid approval
    std::vector<std::pair<int64_t, WorkerId>> expired;
    std::vector<std::pair<int64_t, WorkerId>> unapproved;
    for (const auto &[id, worker] : m_workers) {
        const int64_t fitting = fittingTasks(*worker, step);
        if (fitting <= 0 || step.deniedWorkers.contains(id)
            || !isEligible(*worker, step, route, now))
            continue;
        const auto approval = step.approvals.find(id);
        if (approval == step.approvals.end())
            unapproved.push_back({-fitting, id});
        else if (approval->second.expires < now + ApprovalMargin)
            expired.push_back({-fitting, id});
        else
            approvedPlaces += fitting;
        if (approvedPlaces >= step.waiting)
            break;
    }
    settled = approvedPlaces >= step.waiting || (expired.empty() && unapproved.empty());
    if (settled)
        return std::nullopt;
    PendingApproval pending;
    pending.step = {step.job->spec->id, step.occurrence, step.number};
    pending.validity = route.approval->validity;
    const size_t maxWorkers =
        route.approval->perWorkerMs >= SlowPerWorkerMs ? MaxWorkersPerSlowCall : MaxWorkersPerCall;
    // Renewals of expired approvals come first, then the workers with the most free capacity.
    std::sort(unapproved.begin(), unapproved.end());
    for (const auto *candidates : {&expired, &unapproved}) {
        for (const auto &[negatedFitting, id] : *candidates) {
            if (pending.workers.size() < maxWorkers)
                pending.workers.push_back(id);
        }
    }
    pending.expectedCallTime = expectedCallTime(*route.approval, pending.workers.size());
    return pending;
}

// Forgets all answers about the worker, approvals and denials.
void Dispatcher::Impl::forgetApprovals(const WorkerId &id)
{
    for (const auto &[jobId, job] : m_jobs) {
        for (const auto &step : job->steps) {
            step->approvals.erase(id);
            step->deniedWorkers.erase(id);
        }
    }
}

void Dispatcher::Impl::approvalAnswered(const PendingApproval &pending,
                                        const std::vector<work::Approval> *answer, Instant at,
                                        Instant now)
{
    Step *step = findStep(pending.step);
    if (step == nullptr)
        return;
    ++(answer == nullptr ? step->failedApprovalCalls : step->answeredApprovalCalls);
    step->approvalCallActive = false;
    step->nextApprovalCallAt =
        now + (answer == nullptr ? ApprovalCallRetryInterval : ApprovalCallInterval);
    if (answer == nullptr)
        return;
    // The policy service answers for one incarnation of a worker.
    const auto restartedSince = [this, at](const WorkerId &id) {
        const auto it = m_workers.find(id);
        return it != m_workers.end() && it->second->restartedAt >= at;
    };
    std::set<WorkerId> approved;
    for (const work::Approval &approval : *answer) {
        if (restartedSince(approval.worker))
            continue;
        approved.insert(approval.worker);
        step->approvals[approval.worker] = {approval.ticket, at + pending.validity};
    }
    for (const WorkerId &worker : pending.workers) {
        if (approved.contains(worker) || restartedSince(worker))
            continue;
        step->deniedWorkers.insert(worker);
        if (step->approvals.contains(worker))
            emitEvent("approval_withdrawn", pending.step.job,
                      "step=" + pending.step.toString() + " worker=" + worker);
    }
    emitEvent("approval", pending.step.job,
              "step=" + pending.step.toString() + " asked=" + std::to_string(pending.workers.size())
                  + " approved=" + std::to_string(approved.size())
                  + " took_ms=" + std::to_string((now - at).count()));
}

} // namespace cardamompaddle
