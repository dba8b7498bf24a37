#include "dispatch/dispatcher.h"

#include "dispatch/internal/impl.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

Dispatcher::Dispatcher(DispatchOptions options, EventSink events)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(events)))
{ }

Dispatcher::~Dispatcher() = default;

void Dispatcher::setCatalog(std::shared_ptr<const Catalog> catalog)
{
    m_impl->m_catalog = std::move(catalog);
    m_impl->updateUsageWeights();
}

void Dispatcher::setZonesOut(std::set<std::string> zones)
{
    m_impl->m_zonesOut = std::move(zones);
}

void Dispatcher::addJob(std::shared_ptr<const work::Submission> job,
                        const std::vector<const work::Progress *> &progress, bool mayBeRunning)
{
    m_impl->addJob(std::move(job), progress, mayBeRunning);
}

void Dispatcher::cancelJob(const std::string &id)
{
    m_impl->cancelJob(id);
}

void Dispatcher::giveUpJob(const std::string &id, const std::string &why)
{
    m_impl->giveUpJob(id, why);
}

bool Dispatcher::hasJob(const std::string &id) const
{
    return m_impl->m_jobs.contains(id);
}

void Dispatcher::setUnreconciledWorkers(std::set<WorkerId> workers)
{
    m_impl->m_unreconciled = std::move(workers);
    m_impl->updateUnrecorded();
    // Terminal jobs were kept while runs of theirs could be on one of the workers.
    for (const auto &[id, job] : m_impl->m_jobs) {
        if (job->isTerminal() && job->active == 0 && !m_impl->mayHaveUnreportedRuns(*job))
            m_impl->markAllDirty(*job);
    }
}

void Dispatcher::setRecordedWorkers(std::set<WorkerId> workers)
{
    m_impl->m_recordedWorkers = std::move(workers);
    m_impl->updateUnrecorded();
}

bool Dispatcher::isStartCurrent(const StartOrder &order, Instant now) const
{
    const dispatch::Attempt *attempt = m_impl->findAttempt(order.worker, order.task, order.run);
    return attempt != nullptr && m_impl->mayStillStart(*attempt, now);
}

void Dispatcher::setWorker(const WorkerEntry &entry)
{
    m_impl->setWorker(entry);
}

void Dispatcher::adoptWorker(const WorkerId &id)
{
    auto &slot = m_impl->m_workers[id];
    if (slot)
        return;
    slot = std::make_unique<dispatch::Worker>();
    slot->entry.id = id;
}

void Dispatcher::removeWorker(const WorkerId &id)
{
    m_impl->removeWorker(id);
}

void Dispatcher::setReachable(const WorkerId &id, bool reachable)
{
    const auto it = m_impl->m_workers.find(id);
    if (it != m_impl->m_workers.end())
        it->second->reachable = reachable;
}

void Dispatcher::workerLost(const WorkerId &id, const std::set<RunRef> &mayBeActive)
{
    m_impl->workerLost(id, mayBeActive);
}

void Dispatcher::workerReplaced(const WorkerId &id, Instant now)
{
    m_impl->workerReplaced(id, now);
}

void Dispatcher::workerReported(const WorkerId &id, const RunReport &report, Instant now)
{
    m_impl->workerReported(id, report, now);
}

void Dispatcher::startAnswered(const StartOrder &order, StartOutcome answer, Instant now)
{
    m_impl->startAnswered(order, answer, now);
}

void Dispatcher::stopAnswered(const StopOrder &order, Instant now)
{
    m_impl->stopAnswered(order, now);
}

int64_t Dispatcher::incarnationStart(const WorkerId &id) const
{
    const auto it = m_impl->m_workers.find(id);
    return it == m_impl->m_workers.end() ? 0 : it->second->incarnationStartedAtMs.value_or(0);
}

int64_t Dispatcher::endPosition(const WorkerId &id) const
{
    const auto it = m_impl->m_workers.find(id);
    return it == m_impl->m_workers.end() ? 0 : m_impl->acknowledgeablePosition(*it->second);
}

bool Dispatcher::isBusy(const WorkerId &id) const
{
    const auto it = m_impl->m_workers.find(id);
    return it != m_impl->m_workers.end() && !it->second->attempts.empty();
}

struct Dispatcher::ApprovalSearch::State
{
    using Steps = std::vector<dispatch::Step *>;

    Impl &impl;
    Instant now;
    int64_t unixMs = 0;
    // In the order in which they get calls; null once settled or moved to `nextRound`.
    dispatch::ApprovalOrder steps;
    Steps nextRound; // have been given a call in this round
    std::optional<Steps> renewals; // that are left to look at; set by the first use

    std::optional<PendingApproval> nextOf(Steps &candidates, Duration maxDecisionTime,
                                          bool &skipped);
};

// Returns a call for the first of the steps that needs one. Sets `skipped` if the calls of a step
// take longer than `maxDecisionTime`.
std::optional<PendingApproval> Dispatcher::ApprovalSearch::State::nextOf(Steps &candidates,
                                                                         Duration maxDecisionTime,
                                                                         bool &skipped)
{
    for (dispatch::Step *&step : candidates) {
        if (step == nullptr)
            continue;
        if (impl.approvalPolicyOf(*step).decisionTime > maxDecisionTime) {
            skipped = true;
            continue;
        }
        auto pending = impl.pendingApproval(*step, now, unixMs);
        dispatch::Step *const examined = std::exchange(step, nullptr);
        if (!pending)
            continue;
        nextRound.push_back(examined);
        return pending;
    }
    return std::nullopt;
}

Dispatcher::ApprovalSearch::ApprovalSearch(std::unique_ptr<State> state) : m_state(std::move(state))
{ }

Dispatcher::ApprovalSearch::~ApprovalSearch() = default;

std::optional<PendingApproval> Dispatcher::ApprovalSearch::next(Duration maxDecisionTime)
{
    State &state = *m_state;
    bool &overdueIsNext = state.impl.m_overdueCallIsNext;
    for (;;) {
        bool skipped = false; // a step whose calls take too long for this caller
        for (const bool overdue : {overdueIsNext, !overdueIsNext}) {
            auto &candidates = overdue ? state.steps.overdue : state.steps.others;
            if (auto pending = state.nextOf(candidates, maxDecisionTime, skipped)) {
                overdueIsNext = !overdue;
                return pending;
            }
        }
        if (skipped || state.nextRound.empty())
            return std::nullopt;
        state.steps.others = std::exchange(state.nextRound, {});
    }
}

std::optional<PendingApproval> Dispatcher::ApprovalSearch::nextRenewal(Duration maxDecisionTime)
{
    State &state = *m_state;
    if (!state.renewals)
        state.renewals = state.impl.stepsForRenewal(state.now, state.unixMs);
    for (dispatch::Step *&step : *state.renewals) {
        if (step == nullptr || state.impl.approvalPolicyOf(*step).decisionTime > maxDecisionTime)
            continue;
        if (auto pending = state.impl.pendingRenewal(*step, state.now))
            return pending;
        step = nullptr;
    }
    return std::nullopt;
}

Dispatcher::ApprovalSearch Dispatcher::searchPendingApprovals(Instant now, int64_t unixMs)
{
    auto steps = m_impl->stepsForApproval(now, unixMs);
    return ApprovalSearch(std::make_unique<ApprovalSearch::State>(
        ApprovalSearch::State{*m_impl, now, unixMs, std::move(steps), {}, {}}));
}

bool Dispatcher::hasApprovalsWithin(Duration maxDecisionTime) const
{
    const auto &routes = m_impl->m_catalog->routes;
    return std::any_of(routes.begin(), routes.end(), [maxDecisionTime](const auto &it) {
        return it.second.approval && it.second.approval->decisionTime <= maxDecisionTime;
    });
}

std::optional<PendingApproval> Dispatcher::nextPendingApproval(Instant now, int64_t unixMs,
                                                               Duration maxDecisionTime)
{
    return searchPendingApprovals(now, unixMs).next(maxDecisionTime);
}

void Dispatcher::setApprovalCallers(const ApprovalCallers &callers)
{
    m_impl->m_approvalCallers = callers;
}

ApprovalLoad Dispatcher::approvalLoad(Instant now, int64_t unixMs) const
{
    return m_impl->approvalLoad(now, unixMs);
}

void Dispatcher::approvalRequested(const PendingApproval &pending)
{
    if (dispatch::Step *step = m_impl->findStep(pending.step))
        step->approvalCalls[pending.call] = {{pending.workers.begin(), pending.workers.end()},
                                             pending.expectedPlaces,
                                             pending.renewal};
}

void Dispatcher::approvalLate(const PendingApproval &pending)
{
    dispatch::Step *step = m_impl->findStep(pending.step);
    if (step != nullptr && step->approvalCalls.erase(pending.call) > 0 && !pending.renewal)
        ++step->lateApprovalCalls;
}

void Dispatcher::approvalAnswered(const PendingApproval &pending,
                                  const std::vector<work::Approval> *answer, Instant at,
                                  Instant now)
{
    m_impl->approvalAnswered(pending, answer, at, now);
}

Orders Dispatcher::decide(Instant now, int64_t unixMs)
{
    return m_impl->decide(now, unixMs);
}

std::optional<Instant> Dispatcher::nextEvent(Instant now, int64_t unixMs) const
{
    return m_impl->nextEvent(now, unixMs);
}

WaitingStepsByReason Dispatcher::waitingSteps(Instant now, int64_t unixMs) const
{
    return m_impl->waitingSteps(now, unixMs);
}

BacklogSummary Dispatcher::backlog(Instant now, int64_t unixMs) const
{
    return m_impl->backlog(now, unixMs);
}

void Dispatcher::restoreUsage(const work::Usage &usage, int64_t heldMs)
{
    m_impl->restoreUsage(usage, heldMs);
}

std::optional<work::Usage> Dispatcher::takeUsage(int64_t heldMs)
{
    return m_impl->takeUsage(heldMs);
}

std::map<std::string, double> Dispatcher::relativeUses() const
{
    return m_impl->m_usage ? m_impl->m_usage->relativeUses() : std::map<std::string, double>{};
}

void Dispatcher::reportOverdueTasks(Instant now, int64_t unixMs)
{
    m_impl->reportOverdueTasks(now, unixMs);
}

std::vector<work::Progress> Dispatcher::takeProgress(int64_t heldMs)
{
    return m_impl->takeProgress(heldMs);
}

bool Dispatcher::hasProgress() const
{
    return !m_impl->m_dirty.empty();
}

} // namespace cardamompaddle
