// Approvals of the policy service: selects the step to request them for and the workers to name.

#include "base/hash.h"
#include "dispatch/approval_call_size.h"
#include "dispatch/internal/impl.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Most workers that the policy service accepts in one call.
constexpr size_t MaxWorkersPerCall = 100;
// A policy service that takes at least SlowPerWorkerMs for each worker gets smaller calls.
constexpr size_t MaxWorkersPerSlowCall = 30;
// With ApprovalStrategy::Adaptive: the base time of a call is paid once for twice as many workers,
// while the approvals stay valid for longer than the call takes.
constexpr size_t MaxWorkersPerLargeSlowCall = 60;
constexpr double SlowPerWorkerMs = 1;
// Approvals are requested before a step becomes ready, by the expected time of the call plus this
// margin, but only for steps that become ready within MaxApprovalLead.
constexpr Duration ApprovalLeadMargin{150};
constexpr Duration MaxApprovalLead{1'000};
// Minimum time between the end of a call that named all candidates and the next call for the same
// step.
constexpr Duration ApprovalCallInterval{250};

// Assumed of a route until its policy service has answered.
constexpr double InitialApprovedShare = 0.5;
constexpr double MinApprovedShare = 0.05;
// An answer about this many workers has half of the weight in the smoothed share.
constexpr double ApprovedShareHalfWeight = 30;
// More places than a step needs are requested, since other steps may take them meanwhile. The tasks
// of a gang start together or not at all.
constexpr double GangPlacesMargin = 1.25;
constexpr int64_t PlacesMargin = 2;
// A ready step that has waited for so long for a call goes before others that have not. Such steps
// get every second call, so that they do not wait without end while urgent ones keep coming, nor
// these behind a queue of old ones.
constexpr Duration MaxCallWait{1'000};

int64_t placesOf(const ApprovalCandidates::List &list)
{
    return std::accumulate(list.begin(), list.end(), int64_t{0},
                           [](int64_t sum, const auto &it) { return sum + it.first; });
}

// Returns the places that are expected from the calls in progress.
double placesRequested(const Step &step)
{
    return std::accumulate(
        step.approvalCalls.begin(), step.approvalCalls.end(), 0.0,
        [](double sum, const auto &it) { return sum + it.second.expectedPlaces; });
}

// The order in which steps get calls when there are fewer callers than calls; urgency decides
// between steps of equal turn.
enum class ApprovalTurn : uint8_t {
    First, // no call was answered and none is in progress
    Further,
    Blocked, // could not start even with approvals
};

ApprovalTurn approvalTurn(const Step &step, bool heldBack)
{
    if (heldBack || step.waitReason == WaitReason::TeamLimit)
        return ApprovalTurn::Blocked;
    const bool asked = step.answeredApprovalCalls > 0 || !step.approvalCalls.empty();
    return asked ? ApprovalTurn::Further : ApprovalTurn::First;
}

} // namespace

int64_t Dispatcher::Impl::fittingTasks(const Worker &worker, const Step &step)
{
    int64_t limit = INT32_MAX;
    if (step.spec->maxPerWorker > 0) {
        const auto active = step.perWorker.find(worker.entry.id);
        const int32_t taken = active == step.perWorker.end() ? 0 : active->second;
        limit = std::max(0, step.spec->maxPerWorker - taken);
    }
    return countFitting(worker.entry.capacity - worker.used, step.taskResources, limit);
}

// Returns for how many tasks of the step approved workers should have places.
int64_t Dispatcher::Impl::placesWanted(const Step &step)
{
    return step.spec->gang ? static_cast<int64_t>(std::ceil(step.waiting * GangPlacesMargin))
                           : PlacesMargin * step.waiting;
}

// Returns whether a call that the step waits for is in progress.
bool Dispatcher::Impl::hasCall(const Step &step)
{
    return std::any_of(step.approvalCalls.begin(), step.approvalCalls.end(),
                       [](const auto &it) { return !it.second.renewal; });
}

bool Dispatcher::Impl::isRequested(const Step &step, const WorkerId &id)
{
    return std::any_of(step.approvalCalls.begin(), step.approvalCalls.end(),
                       [&id](const auto &it) { return it.second.workers.contains(id); });
}

size_t Dispatcher::Impl::maxWorkersPerCall(const ApprovalPolicy &policy) const
{
    if (policy.perWorkerMs < SlowPerWorkerMs)
        return MaxWorkersPerCall;
    return m_options.policies.approvals == ApprovalStrategy::Adaptive ? MaxWorkersPerLargeSlowCall
                                                                      : MaxWorkersPerSlowCall;
}

Duration Dispatcher::Impl::expectedCallTime(const ApprovalPolicy &policy, size_t workers)
{
    return policy.decisionTime
           + Duration(static_cast<int64_t>(policy.perWorkerMs * static_cast<double>(workers)));
}

// Returns how long before they are needed approvals are requested.
Duration Dispatcher::Impl::approvalLead(const ApprovalPolicy &policy)
{
    return expectedCallTime(policy, MaxWorkersPerSlowCall) + ApprovalLeadMargin;
}

Step *Dispatcher::Impl::findStep(const StepRef &ref) const
{
    const auto it = m_jobs.find(ref.job);
    return it == m_jobs.end() ? nullptr : it->second->step(ref.occurrence, ref.step);
}

ApprovalOrder Dispatcher::Impl::stepsForApproval(Instant now, int64_t unixMs)
{
    // Also for steps that a takeover holds back, so that they start as soon as that ends.
    const auto needsApproval = [this, now, unixMs](const Step &step) {
        return routeOf(*step.job)->approval && hasTasksToStart(step)
               && (isReady(step, unixMs) || isDueSoon(step, now, MaxApprovalLead));
    };
    ApprovalOrder out;
    out.others = stepsByUrgency(now, unixMs, needsApproval);
    struct Wait
    {
        bool interrupted;
        UrgencyClass urgency; // taken into account with ExpiredWorkOrder::Last
        Instant since; // when the wait for a call began
        Step *step;
    };
    const bool byUrgency = m_options.policies.expiredWork == ExpiredWorkOrder::Last;
    std::vector<Wait> waits;
    std::erase_if(out.others, [&](Step *step) {
        const auto since = waitsForCallSince(*step, now, unixMs);
        const bool interrupted = isInterrupted(*step);
        if (!since || (!interrupted && now - *since < MaxCallWait))
            return false;
        const WorkRoute &route = *routeOf(*step->job);
        const UrgencyClass urgency =
            byUrgency ? urgencyClass(*step, route, slackMs(*step, route, unixMs), unixMs)
                      : UrgencyClass::InTime;
        waits.push_back({interrupted, urgency, *since, step});
        return true;
    });
    std::stable_sort(waits.begin(), waits.end(), [](const Wait &a, const Wait &b) {
        return std::tuple(!a.interrupted, a.urgency, a.since)
               < std::tuple(!b.interrupted, b.urgency, b.since);
    });
    const auto turnOf = [this](const Step *step) {
        return approvalTurn(*step, mayHaveUnrecordedRuns(*step->job));
    };
    std::stable_sort(out.others.begin(), out.others.end(),
                     [&](const Step *a, const Step *b) { return turnOf(a) < turnOf(b); });
    out.overdue.reserve(waits.size());
    for (const Wait &wait : waits)
        out.overdue.push_back(wait.step);
    return out;
}

// Returns since when a ready step without a call in progress has waited for one; none if it could
// not start even with approvals.
std::optional<Instant> Dispatcher::Impl::waitsForCallSince(const Step &step, Instant now,
                                                           int64_t unixMs) const
{
    const ApprovalTurn turn = approvalTurn(step, mayHaveUnrecordedRuns(*step.job));
    if (hasCall(step) || turn == ApprovalTurn::Blocked || !isReady(step, unixMs))
        return std::nullopt;
    return std::max(waitStart(step, now), step.approvalCallEndedAt);
}

ApprovalLoad Dispatcher::Impl::approvalLoad(Instant now, int64_t unixMs) const
{
    ApprovalLoad out;
    out.callers = m_approvalCallers;
    for (const auto &[id, job] : m_jobs) {
        const WorkRoute *route = routeOf(*job);
        if (route == nullptr || !route->approval)
            continue;
        for (const auto &step : job->steps) {
            const bool hadCall = step->answeredApprovalCalls + step->failedApprovalCalls > 0
                                 || step->lateApprovalCalls > 0 || !step->approvalCalls.empty();
            if (!hadCall && isWaiting(*step, unixMs))
                out.longestWaitForCall =
                    std::max(out.longestWaitForCall, now - waitStart(*step, now));
        }
    }
    return out;
}

const ApprovalPolicy &Dispatcher::Impl::approvalPolicyOf(const Step &step) const
{
    return *routeOf(*step.job)->approval;
}

bool Dispatcher::Impl::isApprovalDue(const Step &step, Instant now, int64_t unixMs) const
{
    const Duration lead = approvalLead(approvalPolicyOf(step));
    return step.nextApprovalCallAt <= now && (isReady(step, unixMs) || isDueSoon(step, now, lead));
}

ApprovalCandidates Dispatcher::Impl::approvalCandidates(const Step &step, Instant now) const
{
    const WorkRoute &route = *routeOf(*step.job);
    const bool asksAhead = hasPrecedence(step, now);
    ApprovalCandidates out;
    for (const auto &[id, worker] : m_workers) {
        const int64_t fitting = fittingTasks(*worker, step);
        const auto approval = step.approvals.find(id);
        const bool approved = approval != step.approvals.end();
        // Of a worker without room, it helps only a gang to know whether it is approved, as places
        // are kept for it there.
        if ((fitting <= 0 && (!asksAhead || approved)) || step.deniedWorkers.contains(id)
            || !isEligible(*worker, step, route, now))
            continue;
        if (approved && approval->second.expires >= now + ApprovalMargin) {
            out.approvedPlaces += fitting;
            // The other lists matter only while this is not enough.
            if (!step.spec->gang && out.approvedPlaces >= step.waiting)
                break;
            continue;
        }
        if (!isRequested(step, id))
            (approved ? out.expired : out.unknown).emplace_back(fitting, id);
    }
    // As long as the gang cannot start for lack of room, renewed approvals would only expire again.
    const auto reachable =
        static_cast<double>(out.approvedPlaces + placesOf(out.expired) + placesOf(out.unknown));
    if (step.spec->gang && reachable + placesRequested(step) < step.waiting)
        out.expired.clear();
    return out;
}

// Returns whether the gang could start now on workers with a valid approval. A member that may not
// start yet for another reason than its place counts as placed.
bool Dispatcher::Impl::hasPlacement(Step &step, Instant now)
{
    std::vector<Worker *> places;
    return blockingTask(step, now) != nullptr
           || findGangPlacement(step, candidatesFor(step, *routeOf(*step.job), now), now, places);
}

std::optional<PendingApproval> Dispatcher::Impl::pendingApproval(Step &step, Instant now,
                                                                 int64_t unixMs)
{
    const double needed = step.waiting * (step.spec->gang ? GangPlacesMargin : 1);
    // Only a gang needs several calls at once; other steps start with what one call brings.
    const bool settled = step.spec->gang ? placesRequested(step) >= needed : hasCall(step);
    if (settled || !isApprovalDue(step, now, unixMs))
        return std::nullopt;
    ApprovalCandidates candidates = approvalCandidates(step, now);
    addFullWorkers(candidates, step, now, unixMs);
    const auto approvedPlaces = static_cast<double>(candidates.approvedPlaces);
    const bool enough = candidates.approvedPlaces >= step.waiting
                        || approvedPlaces + placesRequested(step) >= needed;
    const auto placeable = [&] {
        return !step.spec->gang || hasCall(step) || hasPlacement(step, now);
    };
    if ((enough && placeable())
        || (candidates.expired.empty() && candidates.unknown.empty() && candidates.full.empty()))
        return std::nullopt;
    return callFor(step, std::move(candidates));
}

// Returns a call for the step that names no worker yet.
PendingApproval Dispatcher::Impl::newCall(const Step &step)
{
    const ApprovalPolicy &policy = approvalPolicyOf(step);
    PendingApproval out;
    out.call = ++m_lastApprovalCall;
    out.step = {step.job->spec->id, step.occurrence, step.number};
    out.validity = policy.validity;
    out.lateCalls = step.lateApprovalCalls;
    out.decisionTime = policy.decisionTime;
    return out;
}

// Returns a call that names candidates: those whose approval has expired first, then those with the
// most room.
PendingApproval Dispatcher::Impl::callFor(const Step &step, ApprovalCandidates candidates)
{
    const ApprovalPolicy &policy = approvalPolicyOf(step);
    const size_t maxWorkers = maxWorkersPerCall(policy);
    PendingApproval out = newCall(step);
    std::vector<ApprovalChance> chances;
    // Workers of a speed that suits the step come first. Of workers with equal room, calls name
    // different ones, so that steps do not all find their places on the same few.
    const auto rank = [this, &out, &step](const std::pair<int64_t, WorkerId> &it) {
        const Worker &worker = *m_workers.at(it.second);
        return std::tuple<int, int64_t, uint64_t, const WorkerId &>(
            (this->*m_estimates.speedClass)(worker, step), -it.first,
            stableHash(it.second, out.call), it.second);
    };
    const auto consider = [&](ApprovalCandidates::List &list, double probability) {
        std::sort(list.begin(), list.end(),
                  [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); });
        for (const auto &[fitting, id] : list) {
            if (out.workers.size() >= maxWorkers)
                return;
            out.workers.push_back(id);
            chances.push_back({fitting, probability});
        }
    };
    consider(candidates.expired, 1);
    consider(candidates.unknown, approvedShareOf(step.job->spec->route));
    consider(candidates.full, approvedShareOf(step.job->spec->route));
    // The tasks of a gang start together, so each further call would hold up all of them.
    if (!step.spec->gang) {
        const int64_t missing = placesWanted(step) - candidates.approvedPlaces;
        out.workers.resize(bestCallSize(chances, std::max<int64_t>(1, missing), policy));
    }
    for (size_t i = 0; i < out.workers.size(); ++i)
        out.expectedPlaces += static_cast<double>(chances[i].places) * chances[i].probability;
    out.namesAll =
        out.workers.size()
        == candidates.expired.size() + candidates.unknown.size() + candidates.full.size();
    out.expectedCallTime = expectedCallTime(policy, out.workers.size());
    return out;
}

double Dispatcher::Impl::approvedShareOf(const std::string &route) const
{
    const auto it = m_approvedShare.find(route);
    return std::max(MinApprovedShare,
                    it == m_approvedShare.end() ? InitialApprovedShare : it->second);
}

void Dispatcher::Impl::updateApprovedShare(const std::string &route, size_t requested,
                                           size_t approved)
{
    if (requested == 0)
        return;
    const auto n = static_cast<double>(requested);
    double &share = m_approvedShare.try_emplace(route, InitialApprovedShare).first->second;
    share += (static_cast<double>(approved) / n - share) * n / (n + ApprovedShareHalfWeight);
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
    step->approvalCalls.erase(pending.call);
    if (!pending.renewal)
        step->approvalCallEndedAt = now;
    if (answer == nullptr)
        return;
    step->lateApprovalCalls = 0;
    if (!pending.renewal)
        step->nextApprovalCallAt = pending.namesAll ? now + ApprovalCallInterval : now;
    // The policy service answers for one incarnation of a worker.
    const auto restartedSince = [this, at](const WorkerId &id) {
        const auto it = m_workers.find(id);
        return it == m_workers.end() || it->second->knownSince > at
               || it->second->restartedAt >= at;
    };
    std::set<WorkerId> approved;
    size_t firstRequested = 0; // workers whose approval was unknown
    size_t firstApproved = 0;
    for (const WorkerId &worker : pending.workers) {
        const bool known = step->approvals.contains(worker) || step->deniedWorkers.contains(worker);
        firstRequested += known ? 0 : 1;
    }
    for (const work::Approval &approval : *answer) {
        if (restartedSince(approval.worker))
            continue;
        approved.insert(approval.worker);
        firstApproved += step->approvals.contains(approval.worker) ? 0 : 1;
        KnownApproval &known = step->approvals[approval.worker];
        // A late answer must not replace a newer one.
        if (known.expires <= at + pending.validity)
            known = {approval.ticket, at + pending.validity};
    }
    for (const WorkerId &worker : pending.workers) {
        if (approved.contains(worker) || restartedSince(worker))
            continue;
        step->deniedWorkers.insert(worker);
        if (step->approvals.contains(worker))
            emitEvent("approval_withdrawn", pending.step.job,
                      "step=" + pending.step.toString() + " worker=" + worker);
    }
    updateApprovedShare(step->job->spec->route, firstRequested, firstApproved);
    emitEvent("approval", pending.step.job,
              "step=" + pending.step.toString() + " asked=" + std::to_string(pending.workers.size())
                  + " approved=" + std::to_string(approved.size())
                  + " took_ms=" + std::to_string((now - at).count()));
}

} // namespace cardamompaddle
