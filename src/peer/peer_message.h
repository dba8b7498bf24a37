// The messages between entry instances, and the interface that carries them. Every message is a
// request or the answer to one.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "jobs/job.h"
#include "limits/quota_messages.h"
#include "membership/heartbeat.h"
#include "platform/log.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cardamompaddle {

// A heartbeat with the state that members exchange along with it.
struct HeartbeatMessage
{
    Heartbeat heartbeat;
    uint64_t configNext = 0; // the sender has applied every configuration record below this offset
    // In an answer: the records from the request's `configNext` on.
    std::vector<LogRecord> configRecords;
    std::string configSnapshot; // in an answer to an unsynced member: the whole configuration
    // The sender has read every record of the stream "jobs" from `jobsKnownFrom` to below
    // `jobsNext`.
    uint64_t jobsNext = 0;
    uint64_t jobsKnownFrom = 0;
    std::vector<std::string> ownedPools;
    // Dominant share that each team uses in the sender's pools, in millionths.
    std::map<std::string, int64_t> dominantShare;
};

// Forwards a quick request from the instance that accepted it to the pool's owner.
struct ForwardedRequest
{
    JobSpec spec;
    Duration timeLeft{0}; // until the caller's deadline, at the time of sending
};

// Cancels a quick request whose caller disconnected.
struct CancelRequest
{
    JobKey key;
    std::string pool;
};

// The result of a quick request.
struct RequestAnswer
{
    bool ok = false;
    std::string output; // complete output of the task
    std::string worker;
    Error error; // when not ok
    Executed executed = Executed::No; // when not ok
};

// Asks the pool's owner for the status of a job.
struct WhyRequest
{
    JobKey key;
    std::string pool;
};
struct WhyAnswer
{
    std::string text; // why the job waits, in words
    int32_t running = 0; // tasks of the job that are running
};

// Asks a member for its rows of an operators' view, for example "workers".
struct RowsRequest
{
    std::string view;
};
struct RowsAnswer
{
    std::string json; // an array of objects
};

// The answer of a receiver that did not act on the request.
struct Refusal
{
    Error error;
};

using PeerBody =
    std::variant<HeartbeatMessage, ForwardedRequest, CancelRequest, RequestAnswer, WhyRequest,
                 WhyAnswer, RowsRequest, RowsAnswer, QuotaRequest, QuotaResponse, Refusal>;

// Sends requests to other entry instances and delivers their requests. Control thread only; calls
// do not block.
class PeerTransport
{
public:
    // Runs once. Errors: Unavailable if no byte was sent, OutcomeUnknown if the answer is missing
    // or incomplete.
    using AnswerDone = std::function<void(Result<PeerBody> answer, Instant now)>;
    // Must be called once for each request, during the handler's call or later.
    using Respond = std::function<void(PeerBody answer)>;
    using RequestHandler =
        std::function<void(SeatId from, PeerBody request, Respond respond, Instant now)>;

    virtual ~PeerTransport() = default;
    // Sends `request` to the member in seat `to`. `timeout` limits the wait for the answer.
    virtual void request(SeatId to, PeerBody request, Duration timeout, AnswerDone done) = 0;
    // Sets the function that is called for each request of another member. It must be set before
    // the first message can arrive.
    virtual void setHandler(RequestHandler handler) = 0;
};

} // namespace cardamompaddle
