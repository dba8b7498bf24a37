// Asks the policy service for the scheduler. The service serves one call at a time for each calling
// machine, so the calls are spread over the entry instances.
//
// Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"
#include "dispatch/dispatcher.h"
#include "platform/worker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cardamompaddle {

class ApprovalRequester
{
public:
    // `self`: the own name among the members; its calls go to `policy`, all others to `peers`.
    // `answered` runs after each answer that the dispatcher has taken.
    ApprovalRequester(const Clock &clock, PolicyGateway &policy, PeerGateway &peers,
                      Dispatcher &dispatcher, std::string self, std::function<void()> answered);
    ~ApprovalRequester();
    ApprovalRequester(const ApprovalRequester &) = delete;
    ApprovalRequester &operator=(const ApprovalRequester &) = delete;

    // Sends as many calls as members are idle.
    void sendRequests(const std::map<std::string, work::Member> &members, int64_t unixMs);

private:
    struct Caller
    {
        bool busy = false;
        Instant usableFrom = Instant::min(); // after a failure
        int failures = 0; // in a row
    };

    void send(const std::string &name, const std::string &address, const PendingApproval &need);
    void onAnswer(const std::string &name, const PendingApproval &need, Instant at,
                  const Result<std::vector<work::Approval>> &answer);

    const Clock &m_clock;
    PolicyGateway &m_policy;
    PeerGateway &m_peers;
    Dispatcher &m_dispatcher;
    std::string m_self;
    std::function<void()> m_answered;
    std::map<std::string, Caller> m_callers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
