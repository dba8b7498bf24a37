// Routes quick requests from the entry instance that accepted them to the owner of their pool.
//
// A request whose attempt certainly did not run is retried until its deadline. After an attempt of
// unknown outcome it is retried only if it is repeatable.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "jobs/job.h"
#include "membership/membership.h"
#include "node/request_table.h"
#include "peer/peer_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace cardamompaddle {

class PoolOwner;

// Not thread-safe: control thread only.
class RequestRouter
{
public:
    // Returns the pool's owner in this process, or null if there is none that may act.
    using LocalOwner = std::function<PoolOwner *(const std::string &pool, Instant now)>;

    // Both must outlive the router.
    RequestRouter(const Membership &membership, PeerTransport &peers, SeatId self,
                  LocalOwner localOwner);
    ~RequestRouter();

    // Routes one request; `done` runs once. Returns an id for cancel().
    uint64_t submit(JobSpec spec, Instant deadline, RequestDone done, Instant now);
    // The caller disconnected: cancels the request, and `done` is not called any more.
    void cancel(uint64_t id, Instant now);
    // Retries requests that are due and ends overdue ones.
    void advance(Instant now);
    size_t pendingCount() const { return m_pending.size(); }

private:
    struct RoutedRequest
    {
        JobSpec spec;
        Instant deadline;
        RequestDone done;
        bool inFlight = false; // an attempt was sent and is not answered
        bool mayHaveRun = false; // an earlier attempt had an unknown outcome
        Instant nextAttempt;
        SeatId sentTo = -1; // -1 if not sent to a peer
    };

    void attempt(uint64_t id, Instant now);
    void forward(uint64_t id, RoutedRequest &request, SeatId to, Instant now);
    void answered(uint64_t id, RequestAnswer answer, Instant now);
    void finish(uint64_t id, RequestAnswer answer, Instant now);
    static RequestAnswer answerOf(const Result<PeerBody> &body);

    const Membership &m_membership;
    PeerTransport &m_peers;
    SeatId m_self;
    LocalOwner m_localOwner;
    uint64_t m_nextId = 1;
    std::map<uint64_t, RoutedRequest> m_pending;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with this object
};

} // namespace cardamompaddle
