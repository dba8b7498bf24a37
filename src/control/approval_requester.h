// Requests approvals from the policy service for the scheduler. The service handles one call at a
// time per calling machine, so the calls are spread over the entry instances.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/short_call_reserve.h"
#include "dispatch/dispatcher.h"
#include "platform/worker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

enum class ApprovalOutcome : uint8_t {
    Answered,
    Late, // answered, but later than expected
    Failed,
};
// Stable name, for example "answered".
std::string_view approvalOutcomeName(ApprovalOutcome outcome);

struct EndedApprovalCall
{
    std::string_view caller; // name of the member that made the call
    ApprovalOutcome outcome = ApprovalOutcome::Answered;
    Duration took{0};
};
// Called once for each call that has ended.
using ApprovalObserver = std::function<void(const EndedApprovalCall &)>;

class ApprovalRequester
{
public:
    // `self` is the member name of this instance. Its calls go to `policy`; the calls of other
    // members are made through `peers`. `answered` is called after each answer, also a failed one,
    // has been passed to the dispatcher. `observer` may be null. All references must outlive the
    // requester.
    ApprovalRequester(const Clock &clock, PolicyGateway &policy, PeerGateway &peers,
                      Dispatcher &dispatcher, std::string self, std::function<void()> answered,
                      ApprovalObserver observer = nullptr,
                      ApprovalStrategy strategy = ApprovalStrategy::Fixed);
    ~ApprovalRequester();
    ApprovalRequester(const ApprovalRequester &) = delete;
    ApprovalRequester &operator=(const ApprovalRequester &) = delete;

    // Sends calls through idle members, at most one at a time through each, as long as approvals
    // are pending. Repeats calls whose answer is late through other members, through several at
    // once if they are idle, and over new connections. Renews approvals through members that are
    // idle after that. Call it several times a second.
    void sendRequests(const std::map<std::string, work::Member> &members, int64_t unixMs);

private:
    using Answer = Result<std::vector<work::Approval>>;

    // A call without an answer.
    struct Call
    {
        PendingApproval pending;
        Instant sentAt;
        bool late = false;
    };
    // An entry instance through which calls are made.
    struct Caller
    {
        std::optional<Call> call;
        // The policy service may still handle an abandoned call of the caller until then, and would
        // keep the next one waiting.
        Instant turnFreeAt = Instant::min();
        Instant backoffUntil = Instant::min();
        Instant failedAt = Instant::min();
        Instant answeredAt = Instant::min(); // last answer: its connection worked then
        int failures = 0; // consecutive ones that are the caller's own
    };

    // A member through which a call may be made now.
    struct IdleCaller
    {
        const work::Member *member = nullptr;
        Duration maxDecisionTime{0}; // of the calls that it makes
    };
    using IdleCallers = std::vector<IdleCaller>;

    void reportLateCalls(Instant now);
    bool makesOnlyShortCalls(size_t position, size_t callers, Instant now) const;
    size_t shortCallsInProgress() const;
    IdleCallers idleCallers(const std::map<std::string, work::Member> &members, Instant now);
    // Sends the calls that steps wait for. Removes the callers that it uses, and returns the calls
    // that repeat late ones.
    std::vector<PendingApproval> sendPending(IdleCallers &idle, Dispatcher::ApprovalSearch &search);
    // Renews approvals as long as more than `minIdle` callers are idle.
    void sendRenewals(IdleCallers &idle, Dispatcher::ApprovalSearch &search, size_t minIdle);
    // Sends copies of the repeated calls as long as more than `minIdle` callers are idle.
    void sendCopies(IdleCallers &idle, const std::vector<PendingApproval> &repeated,
                    size_t minIdle);
    void send(const std::string &name, const std::string &address, const PendingApproval &pending);
    void onAnswer(const std::string &name, const Answer &answer);
    void handleFailure(const std::string &name, const Call &call, const std::string &reason,
                       Instant now);
    void handleSuccess(const std::string &name, Instant now);
    bool hasCopyInProgress(uint64_t call) const;
    // Whether the failure is the caller's own, as the policy service has answered another one.
    bool isOwnFailure(const std::string &name, const Call &call) const;

    const Clock &m_clock;
    PolicyGateway &m_policy;
    PeerGateway &m_peers;
    Dispatcher &m_dispatcher;
    std::string m_self;
    std::function<void()> m_answered;
    ApprovalObserver m_observer;
    ApprovalStrategy m_strategy;
    ShortCallReserve m_reserve;
    std::map<std::string, Caller> m_callers;
    Instant m_answeredAt = Instant::min(); // when a call last succeeded
    std::string m_answeredCaller; // the caller of that call
    // When a call was last found late. Connections that have not worked since are suspected: what
    // silenced one of them probably silenced others.
    Instant m_lateAt = Instant::min();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
