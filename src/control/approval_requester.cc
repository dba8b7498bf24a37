#include "control/approval_requester.h"

#include "logging/event_log.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration ShortCall{150}; // calls up to this length are kept apart from longer ones
constexpr Duration CallMargin{400};
constexpr Duration PeerMargin{200}; // of the call to a peer beside the peer's own call
constexpr Duration CallerRest{1'500}; // after a failed call; doubles with each further one
constexpr int MaxRestDoublings = 4;
// One caller in so many serves short calls only, so that none waits for a long one to end.
constexpr size_t CallersPerShortCaller = 3;

} // namespace

ApprovalRequester::ApprovalRequester(const Clock &clock, PolicyGateway &policy, PeerGateway &peers,
                                     Dispatcher &dispatcher, std::string self,
                                     std::function<void()> answered)
    : m_clock(clock), m_policy(policy), m_peers(peers), m_dispatcher(dispatcher),
      m_self(std::move(self)), m_answered(std::move(answered))
{ }

ApprovalRequester::~ApprovalRequester()
{
    *m_alive = false;
}

void ApprovalRequester::sendRequests(const std::map<std::string, work::Member> &members,
                                     int64_t unixMs)
{
    const Instant now = m_clock.now();
    std::vector<const work::Member *> usable;
    for (const auto &[name, member] : members) {
        if (name == m_self || m_callers[name].usableFrom <= now)
            usable.push_back(&member);
    }
    for (size_t i = 0; i < usable.size(); ++i) {
        const work::Member &member = *usable[i];
        if (m_callers[member.name].busy)
            continue;
        const bool shortOnly = usable.size() > 1 && i % CallersPerShortCaller == 0;
        const auto need =
            m_dispatcher.nextPendingApproval(now, unixMs, shortOnly ? ShortCall : Duration::max());
        if (!need && !shortOnly)
            return;
        if (!need)
            continue;
        m_dispatcher.approvalRequested(need->step);
        send(member.name, member.address, *need);
    }
}

void ApprovalRequester::send(const std::string &name, const std::string &address,
                             const PendingApproval &need)
{
    m_callers[name].busy = true;
    const Instant at = m_clock.now();
    const Duration timeout = need.expected + CallMargin;
    if (name == m_self) {
        m_policy.approve(need.step.toString(), need.workers, timeout,
                         [this, alive = m_alive, name, need,
                          at](const Result<std::vector<work::Approval>> &answer) {
                             if (*alive)
                                 onAnswer(name, need, at, answer);
                         });
        return;
    }
    work::ApprovalRequest request;
    request.step = need.step.toString();
    request.workers = need.workers;
    request.timeoutMs = timeout.count();
    m_peers.approve(
        address, request, timeout + PeerMargin,
        [this, alive = m_alive, name, need, at](Result<work::ApprovalAnswer> answer) {
            if (!*alive)
                return;
            if (!answer)
                return onAnswer(name, need, at, answer.error());
            if (!answer->ok)
                return onAnswer(name, need, at, Error{ErrorCode::Unavailable, answer->error});
            onAnswer(name, need, at, std::move(answer->approved));
        });
}

void ApprovalRequester::onAnswer(const std::string &name, const PendingApproval &need, Instant at,
                                 const Result<std::vector<work::Approval>> &answer)
{
    const Instant now = m_clock.now();
    Caller &caller = m_callers[name];
    caller.busy = false;
    if (!answer) {
        caller.usableFrom = now + CallerRest * (1 << std::min(caller.failures++, MaxRestDoublings));
        logWarn("approval_failed", "step=" + need.step.toString() + " caller=" + name + " reason=\""
                                       + answer.error().reason + "\"");
    }
    if (answer)
        caller.failures = 0;
    m_dispatcher.approvalAnswered(need, answer ? &answer.value() : nullptr, at, now);
    m_answered();
}

} // namespace cardamompaddle
