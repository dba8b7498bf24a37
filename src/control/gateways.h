// Interfaces to the services that an entry instance calls: the log, workers, the policy service and
// other entry instances. The platform adapter implements them and tests provide fakes.
//
// All calls are asynchronous. Each callback runs exactly once on the event loop's thread, never
// inside the call itself. A call that gets no answer within its timeout fails with OutcomeUnknown.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "dispatch/worker_runs.h"
#include "work/gen/work_types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// A record of a compacted topic, which keeps the newest record of each key.
struct KeyedRecord
{
    std::string key;
    std::string value;
    bool removed = false; // tombstone: the key was removed and `value` is empty
    int64_t offset = 0;
};

// What the log takes at most.
struct LogLimits
{
    size_t maxRecordBytes = 262'144; // see storedBytes()
    size_t maxAppendBytes = 2'097'152; // sum over the records of an append
};

// Returns how many bytes the record counts in an append.
size_t storedBytes(const KeyedRecord &record);

// Consecutive records of a topic.
struct LogSlice
{
    int64_t end = 0; // end offset of the topic: the offset of the next append
    std::vector<KeyedRecord> records;
};

// One page of the newest record of each key, ordered by key.
struct NewestPage
{
    int64_t end = 0; // end offset of the topic
    bool more = false; // further pages follow after the last key
    std::vector<KeyedRecord> records;
};

struct AppendRequest
{
    std::string topic;
    std::vector<KeyedRecord> records; // offsets are ignored
    std::optional<int64_t> expectedEnd; // condition: the topic's end offset has this value
    // Makes the append idempotent: appends of one writer and epoch are stored once, in the order of
    // their sequence numbers. An epoch lower than the highest seen for the writer is refused.
    struct Writer
    {
        std::string name;
        int64_t epoch = 0;
        int64_t sequence = 0;
    };
    std::optional<Writer> writer;
    // Without a writer: storing the records a second time, some seconds later, has no effect.
    bool repeatable = false;
};

enum class AppendOutcome {
    Stored,
    NotStored, // may be retried
    ConditionFailed, // not stored: the topic's end differs from `expectedEnd`
    // Not stored: a higher epoch was seen, or the sequence number is not the next. An earlier copy
    // of the append may have been stored before that.
    Fenced,
    Rejected, // not stored and never will be: the log does not take such records
    Unknown, // no answer: may have been stored
};
// Returns a stable lower-case name, for example "end_moved".
std::string_view appendOutcomeName(AppendOutcome outcome);

struct AppendResult
{
    AppendOutcome outcome = AppendOutcome::Unknown;
    std::string reason; // human-readable
    int64_t offset = -1; // of the first record; -1 if unknown
};

// Sets the offsets of the records of a stored append; clears `records` if the answer carries no
// offset.
void assignOffsets(std::vector<KeyedRecord> &records, const AppendResult &answer);

// Client of the platform's log, reduced to compacted topics with a single partition.
class KeyedLog
{
public:
    using AppendDone = std::function<void(AppendResult)>;
    using ReadDone = std::function<void(Result<LogSlice>)>;
    using NewestDone = std::function<void(Result<NewestPage>)>;

    virtual ~KeyedLog() = default;
    virtual void append(AppendRequest request, Duration timeout, AppendDone done) = 0;
    // Reads records from offset `from` on. The log holds the request for up to `wait` until the
    // first record exists. Errors: NotFound if records at `from` have expired, Unavailable,
    // OutcomeUnknown.
    virtual void read(const std::string &topic, int64_t from, Duration wait, Duration timeout,
                      ReadDone done) = 0;
    // Reads the newest record of each key greater than `after`. Errors: as for read().
    virtual void readNewest(const std::string &topic, const std::string &after, Duration timeout,
                            NewestDone done) = 0;
    // Makes the calls from now on use connections that are opened from now on, or that prove to
    // work. For callers that suspect a silent connection before a call times out.
    virtual void useNewConnections() = 0;
    // Returns how many copies of appends to the topic have no answer yet, for logs of events; 0 if
    // the client does not count them.
    virtual int unansweredAppends(const std::string &) const { return 0; }
};

// Fencing data sent with every call to a worker.
struct CommandFence
{
    int64_t token = 0; // fencing token: a worker refuses calls with a lower one than it has seen
    int64_t leaseEndMs = 0; // on the worker's clock; 0: the lease is not extended
    // The intended worker; any other one at the same address refuses the call. A worker that has
    // started again under its ID does not.
    WorkerId worker;
};

struct PollResult
{
    RunReport report;
    int64_t workerTimeMs = 0; // worker's clock when it answered
};

// A worker's answer to a start order.
struct StartAnswer
{
    StartOutcome outcome = StartOutcome::Unknown;
    std::optional<int64_t> workerTimeMs; // worker's clock when it answered; none if it is unknown
};

// Calls to workers. Errors of all calls: PermissionDenied if the worker has seen a higher token,
// Conflict if another worker now has the address, Unavailable if the call was certainly not carried
// out, OutcomeUnknown.
class WorkerGateway
{
public:
    using PollDone = std::function<void(Result<PollResult>)>;
    using StartDone = std::function<void(Result<StartAnswer>)>;
    using Done = std::function<void(Result<void>)>;

    virtual ~WorkerGateway() = default;
    // Lists the active runs and the finished runs after position `acknowledged`; the worker
    // discards finished runs up to that position. The worker holds the request for up to `wait`
    // until a run finishes. `requestedAt` is copied into the report.
    virtual void poll(const WorkerEntry &worker, const CommandFence &fence, int64_t acknowledged,
                      Duration wait, Duration timeout, Instant requestedAt, PollDone done) = 0;
    virtual void start(const WorkerEntry &worker, const CommandFence &fence,
                       const StartOrder &order, Duration timeout, StartDone done) = 0;
    virtual void stop(const WorkerEntry &worker, const CommandFence &fence, const StopOrder &order,
                      Duration timeout, Done done) = 0;
    virtual void throttle(const WorkerEntry &worker, const CommandFence &fence,
                          const ThrottleOrder &order, Duration timeout, Done done) = 0;
};

// Client of the policy service, which approves workers for a step.
class PolicyGateway
{
public:
    using Done = std::function<void(Result<std::vector<work::Approval>>)>;

    virtual ~PolicyGateway() = default;
    virtual void approve(const std::string &step, const std::vector<WorkerId> &workers,
                         Duration timeout, Done done) = 0;
    // Makes the calls from now on over connections that are opened from now on, or that have served
    // a call since. For callers that suspect a silent connection before a call times out.
    virtual void closeIdleConnections() = 0;
};

// Calls to another entry instance.
class PeerGateway
{
public:
    using Done = std::function<void(Result<work::ApprovalAnswer>)>;

    virtual ~PeerGateway() = default;
    // If ApprovalRequest::newConnection is set, the call to the peer also takes a new connection.
    virtual void approve(const std::string &address, const work::ApprovalRequest &request,
                         Duration timeout, Done done) = 0;
    // Publishes stored records to a peer ahead of its next read of the log. Best effort: the peer
    // reads the records from the log anyway.
    virtual void recordsStored(const std::string &address, const work::StoredRecords &records,
                               std::function<void(Result<void>)> done) = 0;
    // Forwards a caller's request to a peer. Errors: Unavailable if the peer certainly did not
    // receive it, OutcomeUnknown.
    using ForwardDone = std::function<void(Result<work::CallerResponse>)>;
    virtual void forward(const std::string &address, const work::CallerRequest &request,
                         Duration timeout, ForwardDone done) = 0;
    // Has a peer make calls to workers; an empty list of calls probes it. The answer tells only
    // that the peer has the calls; their results come back with answerWorkerCalls(). Errors:
    // Unavailable if the peer certainly did not receive the calls, OutcomeUnknown.
    using WorkerCallsDone = std::function<void(Result<work::WorkerCallsReceived>)>;
    virtual void callWorkers(const std::string &address, const work::WorkerCalls &calls,
                             Duration timeout, WorkerCallsDone done) = 0;
    // Returns results of callWorkers() to the peer that asked for the calls. May be repeated: the
    // peer ignores answers that it has already. Errors: as for callWorkers().
    virtual void answerWorkerCalls(const std::string &address, const work::WorkerAnswers &answers,
                                   std::function<void(Result<void>)> done) = 0;
};

} // namespace cardamompaddle
