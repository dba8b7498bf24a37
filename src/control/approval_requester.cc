#include "control/approval_requester.h"

#include "logging/event_log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration MaxShortCall{150}; // longest expected time of a short call
// An answer that takes this much longer than expected is late.
constexpr Duration LateMargin{200};
constexpr Duration CallTimeoutMargin{400}; // timeout beyond the expected time of a call
constexpr Duration PeerTimeoutMargin{200}; // extra timeout of a call that a peer makes
constexpr Duration CallerBackoff{1'500}; // after a failed call; doubles with each further failure
constexpr int MaxBackoffDoublings = 4;
// One caller in this many makes only short calls, so that short calls do not queue behind long
// ones.
constexpr size_t CallersPerShortCaller = 3;

} // namespace

std::string_view approvalOutcomeName(ApprovalOutcome outcome)
{
    static constexpr std::array<std::string_view, 3> Names = {"answered", "late", "failed"};
    return Names.at(static_cast<size_t>(outcome));
}

ApprovalRequester::ApprovalRequester(const Clock &clock, PolicyGateway &policy, PeerGateway &peers,
                                     Dispatcher &dispatcher, std::string self,
                                     std::function<void()> answered, ApprovalObserver observer)
    : m_clock(clock), m_policy(policy), m_peers(peers), m_dispatcher(dispatcher),
      m_self(std::move(self)), m_answered(std::move(answered)), m_observer(std::move(observer))
{ }

ApprovalRequester::~ApprovalRequester()
{
    *m_alive = false;
}

void ApprovalRequester::sendRequests(const std::map<std::string, work::Member> &members,
                                     int64_t unixMs)
{
    const Instant now = m_clock.now();
    std::vector<const work::Member *> available;
    for (const auto &[name, member] : members) {
        if (name == m_self || m_callers[name].backoffUntil <= now)
            available.push_back(&member);
    }
    const bool allBusy =
        std::all_of(available.begin(), available.end(),
                    [this](const work::Member *member) { return m_callers[member->name].busy; });
    if (allBusy)
        return;
    Dispatcher::ApprovalSearch search = m_dispatcher.searchPendingApprovals(now, unixMs);
    bool noShortCall = false; // nothing is left for callers of short calls only
    for (size_t i = 0; i < available.size(); ++i) {
        const work::Member &member = *available[i];
        if (m_callers[member.name].busy)
            continue;
        const bool shortOnly = available.size() > 1 && i % CallersPerShortCaller == 0;
        if (shortOnly && noShortCall)
            continue;
        const auto pending = search.next(shortOnly ? MaxShortCall : Duration::max());
        if (!pending && !shortOnly)
            return;
        if (!pending) {
            noShortCall = true;
            continue;
        }
        m_dispatcher.approvalRequested(pending->step);
        send(member.name, member.address, *pending);
    }
}

void ApprovalRequester::send(const std::string &name, const std::string &address,
                             const PendingApproval &pending)
{
    m_callers[name].busy = true;
    const Instant sentAt = m_clock.now();
    const Duration timeout = pending.expectedCallTime + CallTimeoutMargin;
    if (name == m_self) {
        m_policy.approve(pending.step.toString(), pending.workers, timeout,
                         [this, alive = m_alive, name, pending,
                          sentAt](const Result<std::vector<work::Approval>> &answer) {
                             if (*alive)
                                 onAnswer(name, pending, sentAt, answer);
                         });
        return;
    }
    work::ApprovalRequest request;
    request.step = pending.step.toString();
    request.workers = pending.workers;
    request.timeoutMs = timeout.count();
    m_peers.approve(
        address, request, timeout + PeerTimeoutMargin,
        [this, alive = m_alive, name, pending, sentAt](Result<work::ApprovalAnswer> answer) {
            if (!*alive)
                return;
            if (!answer)
                return onAnswer(name, pending, sentAt, answer.error());
            if (!answer->ok)
                return onAnswer(name, pending, sentAt,
                                Error{ErrorCode::Unavailable, answer->error});
            onAnswer(name, pending, sentAt, std::move(answer->approved));
        });
}

void ApprovalRequester::onAnswer(const std::string &name, const PendingApproval &pending,
                                 Instant sentAt, const Result<std::vector<work::Approval>> &answer)
{
    const Instant now = m_clock.now();
    Caller &caller = m_callers[name];
    caller.busy = false;
    if (!answer) {
        caller.backoffUntil =
            now + CallerBackoff * (1 << std::min(caller.failures++, MaxBackoffDoublings));
        logWarn("approval_failed", "step=" + pending.step.toString() + " caller=" + name
                                       + " reason=\"" + answer.error().reason + "\"");
    }
    if (answer)
        caller.failures = 0;
    if (m_observer) {
        const bool late = now - sentAt > pending.expectedCallTime + LateMargin;
        const ApprovalOutcome answered = late ? ApprovalOutcome::Late : ApprovalOutcome::Answered;
        m_observer({name, answer ? answered : ApprovalOutcome::Failed, now - sentAt});
    }
    m_dispatcher.approvalAnswered(pending, answer ? &answer.value() : nullptr, sentAt, now);
    m_answered();
}

} // namespace cardamompaddle
