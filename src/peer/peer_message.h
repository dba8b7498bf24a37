// Messages between entry instances. Every message is a request or the answer to one.
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

// A heartbeat and what travels with it.
struct HeartbeatMessage
{
    Heartbeat heartbeat;
    uint64_t configNext = 0; // the sender has applied every configuration record below this offset
    std::vector<LogRecord> configRecords; // in an answer: records from the asker's `configNext` on
    std::string configSnapshot; // in an answer to an unsynced asker: the whole state, if records
                                // are missing
    uint64_t jobsNext = 0; // the same offset of the `jobs` stream
    uint64_t jobsKnownFrom = 0; // the sender has seen every record of that stream from here on
    std::vector<std::string> ownedPools;
    std::map<std::string, int64_t>
        dominantShare; // by team, millionths of the sender's pools, in use
};

// A quick request on its way from the instance that accepted it to the pool's owner.
struct ForwardedRequest
{
    JobSpec spec;
    Duration timeLeft{0}; // until the caller's deadline, at the time of sending
};

// Stops a quick request whose caller has gone, or a job.
struct CancelRequest
{
    JobKey key;
    std::string pool;
};

// The end of a quick request.
struct RequestAnswer
{
    bool ok = false;
    std::string output; // the whole answer of the worker
    std::string worker;
    Error error; // when not ok
    Executed executed = Executed::No; // when not ok
};

// Asks the pool's owner how a job fares.
struct WhyRequest
{
    JobKey key;
    std::string pool;
};
struct WhyAnswer
{
    std::string text; // why it waits, for people
    int32_t running = 0; // tasks of the job that run now
};

// Asks a member for the rows that it alone knows; `view` names them, for example "workers".
struct RowsRequest
{
    std::string view;
};
struct RowsAnswer
{
    std::string json; // an array of objects
};

// The receiver did not act on the request.
struct Refusal
{
    Error error;
};

using PeerBody =
    std::variant<HeartbeatMessage, ForwardedRequest, CancelRequest, RequestAnswer, WhyRequest,
                 WhyAnswer, RowsRequest, RowsAnswer, QuotaRequest, QuotaResponse, Refusal>;

// Sends requests to other entry instances and delivers theirs. Control thread only; calls return at
// once.
class PeerTransport
{
public:
    // Runs once. Errors: Unavailable if no byte was sent, OutcomeUnknown if the answer is missing
    // or was cut.
    using AnswerDone = std::function<void(Result<PeerBody> answer, Instant now)>;
    // Must be called once for each request received, at any later time.
    using Respond = std::function<void(PeerBody answer)>;
    using RequestHandler =
        std::function<void(SeatId from, PeerBody request, Respond respond, Instant now)>;

    virtual ~PeerTransport() = default;
    // Sends `request` to the member at `to`. `timeout` bounds the wait for the answer.
    virtual void request(SeatId to, PeerBody request, Duration timeout, AnswerDone done) = 0;
    // Called for each request of another member. Set it before the first message can arrive.
    virtual void setHandler(RequestHandler handler) = 0;
};

} // namespace cardamompaddle
