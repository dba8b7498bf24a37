#include "control/approval_requester.h"

#include "logging/event_log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration MaxShortCall{150}; // longest expected time of a short call
// An answer that takes this much longer than expected is late: another caller repeats the call.
constexpr Duration LateMargin{200};
constexpr Duration CallTimeoutMargin{800}; // timeout beyond the expected time of a call
constexpr Duration PeerTimeoutMargin{200}; // extra timeout of a call that a peer makes
// After a failure that is the caller's own; doubles with each further one.
constexpr Duration CallerBackoff{500};
constexpr int MaxBackoffDoublings = 5;
// After a failure while no other caller was answered either.
constexpr Duration OutageBackoff{300};
// With ApprovalStrategy::Fixed, one caller in this many makes only short calls, so that short calls
// do not queue behind long ones. Applies only while a route has short calls.
constexpr size_t CallersPerShortCaller = 3;
// A call that repeats a late one is sent through two callers at once, and through twice as many for
// each further late call, as the next ones may be cut off as well. Of the callers, one in
// CallersPerReservedByCopies stays idle, for steps without a call.
constexpr int MaxCopyDoublings = 2;
constexpr size_t CallersPerReservedByCopies = 4;
// Renewals leave one caller in this many idle, rounded up.
constexpr size_t CallersPerReservedByRenewals = 2;

} // namespace

std::string_view approvalOutcomeName(ApprovalOutcome outcome)
{
    static constexpr std::array<std::string_view, 3> Names = {"answered", "late", "failed"};
    return Names.at(static_cast<size_t>(outcome));
}

ApprovalRequester::ApprovalRequester(const Clock &clock, PolicyGateway &policy, PeerGateway &peers,
                                     Dispatcher &dispatcher, std::string self,
                                     std::function<void()> answered, ApprovalObserver observer,
                                     ApprovalStrategy strategy)
    : m_clock(clock), m_policy(policy), m_peers(peers), m_dispatcher(dispatcher),
      m_self(std::move(self)), m_answered(std::move(answered)), m_observer(std::move(observer)),
      m_strategy(strategy)
{ }

ApprovalRequester::~ApprovalRequester()
{
    *m_alive = false;
}

void ApprovalRequester::sendRequests(const std::map<std::string, work::Member> &members,
                                     int64_t unixMs)
{
    const Instant now = m_clock.now();
    reportLateCalls(now);
    IdleCallers idle = idleCallers(members, now);
    if (!idle.empty()) {
        Dispatcher::ApprovalSearch search = m_dispatcher.searchPendingApprovals(now, unixMs);
        const std::vector<PendingApproval> repeated = sendPending(idle, search);
        sendCopies(idle, repeated, members.size() / CallersPerReservedByCopies);
        const size_t reserved =
            (members.size() + CallersPerReservedByRenewals - 1) / CallersPerReservedByRenewals;
        sendRenewals(idle, search, reserved);
    }
    m_dispatcher.setApprovalCallers({members.size() - idle.size(), members.size()});
}

size_t ApprovalRequester::shortCallsInProgress() const
{
    return static_cast<size_t>(
        std::count_if(m_callers.begin(), m_callers.end(), [](const auto &it) {
            return it.second.call && it.second.call->pending.decisionTime <= MaxShortCall;
        }));
}

// Returns whether the caller at this position among the available ones makes only short calls.
bool ApprovalRequester::makesOnlyShortCalls(size_t position, size_t callers, Instant now) const
{
    if (m_strategy == ApprovalStrategy::Fixed)
        return position % CallersPerShortCaller == 0;
    return position < m_reserve.size(callers, now);
}

ApprovalRequester::IdleCallers
ApprovalRequester::idleCallers(const std::map<std::string, work::Member> &members, Instant now)
{
    std::vector<const work::Member *> available; // busy or idle
    for (const auto &[name, member] : members) {
        const Caller &caller = m_callers[name];
        if (caller.backoffUntil <= now && caller.turnFreeAt <= now)
            available.push_back(&member);
    }
    const bool hasShortCalls = m_dispatcher.hasApprovalsWithin(MaxShortCall);
    m_reserve.observe(shortCallsInProgress(), now);
    IdleCallers out;
    for (size_t i = 0; i < available.size(); ++i) {
        if (m_callers[available[i]->name].call)
            continue;
        const bool shortOnly =
            hasShortCalls && available.size() > 1 && makesOnlyShortCalls(i, available.size(), now);
        out.push_back({available[i], shortOnly ? MaxShortCall : Duration::max()});
    }
    return out;
}

std::vector<PendingApproval> ApprovalRequester::sendPending(IdleCallers &idle,
                                                            Dispatcher::ApprovalSearch &search)
{
    std::vector<PendingApproval> repeated;
    IdleCallers unused;
    for (const IdleCaller &caller : idle) {
        // Nothing is left for callers that make the same calls as the last unused one, or fewer.
        const bool nothingLeft =
            !unused.empty() && unused.back().maxDecisionTime >= caller.maxDecisionTime;
        const auto pending = nothingLeft ? std::nullopt : search.next(caller.maxDecisionTime);
        if (!pending) {
            unused.push_back(caller);
            continue;
        }
        m_dispatcher.approvalRequested(*pending);
        send(caller.member->name, caller.member->address, *pending);
        if (pending->lateCalls > 0)
            repeated.push_back(*pending);
    }
    idle = std::move(unused);
    return repeated;
}

void ApprovalRequester::sendCopies(IdleCallers &idle, const std::vector<PendingApproval> &repeated,
                                   size_t minIdle)
{
    for (const PendingApproval &pending : repeated) {
        const int copies = (1 << std::min(pending.lateCalls, MaxCopyDoublings)) - 1;
        for (int i = 0; i < copies && idle.size() > minIdle; ++i) {
            const auto it = std::find_if(idle.begin(), idle.end(), [&](const IdleCaller &caller) {
                return pending.decisionTime <= caller.maxDecisionTime;
            });
            if (it == idle.end())
                break;
            send(it->member->name, it->member->address, pending);
            idle.erase(it);
        }
    }
}

void ApprovalRequester::sendRenewals(IdleCallers &idle, Dispatcher::ApprovalSearch &search,
                                     size_t minIdle)
{
    for (size_t i = idle.size(); i-- > 0 && idle.size() > minIdle;) {
        const IdleCaller caller = idle[i];
        const auto pending = search.nextRenewal(caller.maxDecisionTime);
        if (!pending)
            continue;
        m_dispatcher.approvalRequested(*pending);
        send(caller.member->name, caller.member->address, *pending);
        idle.erase(idle.begin() + static_cast<ptrdiff_t>(i));
    }
}

void ApprovalRequester::reportLateCalls(Instant now)
{
    for (auto &[name, caller] : m_callers) {
        if (!caller.call || caller.call->late)
            continue;
        const Duration took = now - caller.call->sentAt;
        if (took < caller.call->pending.expectedCallTime + LateMargin)
            continue;
        caller.call->late = true;
        m_lateAt = now;
        m_dispatcher.approvalLate(caller.call->pending);
        logInfo("approval_late",
                "job=" + caller.call->pending.step.job
                    + " step=" + caller.call->pending.step.toString() + " caller=" + name
                    + " took_ms=" + std::to_string(took.count()) + " expected_ms="
                    + std::to_string(caller.call->pending.expectedCallTime.count()));
    }
}

void ApprovalRequester::send(const std::string &name, const std::string &address,
                             const PendingApproval &pending)
{
    Caller &caller = m_callers[name];
    caller.call = {pending, m_clock.now()};
    const bool newConnection = m_lateAt > caller.answeredAt;
    const Duration timeout = pending.expectedCallTime + CallTimeoutMargin;
    if (name == m_self) {
        if (newConnection)
            m_policy.closeIdleConnections();
        m_policy.approve(pending.step.toString(), pending.workers, timeout,
                         [this, alive = m_alive, name](const Answer &answer) {
                             if (*alive)
                                 onAnswer(name, answer);
                         });
        return;
    }
    work::ApprovalRequest request;
    request.step = pending.step.toString();
    request.workers = pending.workers;
    request.timeoutMs = timeout.count();
    request.newConnection = newConnection;
    m_peers.approve(address, request, timeout + PeerTimeoutMargin,
                    [this, alive = m_alive, name](Result<work::ApprovalAnswer> answer) {
                        if (!*alive)
                            return;
                        if (!answer)
                            return onAnswer(name, answer.error());
                        if (!answer->ok)
                            return onAnswer(name, Error{ErrorCode::Unavailable, answer->error});
                        onAnswer(name, std::move(answer->approved));
                    });
}

void ApprovalRequester::onAnswer(const std::string &name, const Answer &answer)
{
    const Instant now = m_clock.now();
    const Call call = *std::exchange(m_callers[name].call, std::nullopt);
    if (answer)
        handleSuccess(name, now);
    else
        handleFailure(name, call, answer.error().reason, now);
    if (m_observer) {
        const bool late = now - call.sentAt >= call.pending.expectedCallTime + LateMargin;
        const ApprovalOutcome answered = late ? ApprovalOutcome::Late : ApprovalOutcome::Answered;
        m_observer({name, answer ? answered : ApprovalOutcome::Failed, now - call.sentAt});
    }
    if (answer || !hasCopyInProgress(call.pending.call))
        m_dispatcher.approvalAnswered(call.pending, answer ? &answer.value() : nullptr, call.sentAt,
                                      now);
    m_answered();
}

void ApprovalRequester::handleFailure(const std::string &name, const Call &call,
                                      const std::string &reason, Instant now)
{
    Caller &caller = m_callers[name];
    const bool own = isOwnFailure(name, call);
    Duration backoff = OutageBackoff;
    if (own)
        backoff = CallerBackoff * (1 << std::min(caller.failures++, MaxBackoffDoublings));
    caller.failedAt = now;
    caller.backoffUntil = now + backoff;
    caller.turnFreeAt = now + call.pending.expectedCallTime;
    logWarn("approval_failed",
            "job=" + call.pending.step.job + " step=" + call.pending.step.toString()
                + " caller=" + name + " took_ms=" + std::to_string((now - call.sentAt).count())
                + " own_failure=" + (own ? "true" : "false") + " reason=\"" + reason + "\"");
}

void ApprovalRequester::handleSuccess(const std::string &name, Instant now)
{
    // The policy service is back for those that failed while it answered nobody.
    for (auto &[other, caller] : m_callers) {
        if (caller.failures == 0)
            caller.backoffUntil = Instant::min();
    }
    m_callers[name].failures = 0;
    m_callers[name].answeredAt = now;
    m_answeredAt = now;
    m_answeredCaller = name;
}

bool ApprovalRequester::hasCopyInProgress(uint64_t call) const
{
    return std::any_of(m_callers.begin(), m_callers.end(), [call](const auto &it) {
        return it.second.call && it.second.call->pending.call == call;
    });
}

bool ApprovalRequester::isOwnFailure(const std::string &name, const Call &call) const
{
    if (m_answeredCaller.empty() || m_answeredCaller == name)
        return false;
    // A caller that fails again has failed before with an answer to another one in between.
    const Instant failedBefore = m_callers.at(name).failedAt;
    const bool answeredSinceFailure = failedBefore != Instant::min() && m_answeredAt > failedBefore;
    return m_answeredAt >= call.sentAt || answeredSinceFailure;
}

} // namespace cardamompaddle
