// What an entry instance asks of the platform, as interfaces that the adapter implements and tests
// fake.
//
// All calls return at once. Callbacks run once, later, on the thread of the event loop, never
// inside the call. A call without an answer within its timeout ends with OutcomeUnknown.
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

// A record of a topic that keeps the newest record of each key.
struct KeyedRecord
{
    std::string key;
    std::string value;
    bool removed = false; // the key has gone; `value` is empty
    int64_t offset = 0;
};

struct LogSlice
{
    int64_t end = 0; // offset that the next append will get
    std::vector<KeyedRecord> records;
};

struct NewestPage
{
    int64_t end = 0;
    bool more = false; // go on after the last key
    std::vector<KeyedRecord> records;
};

struct AppendRequest
{
    std::string topic;
    std::vector<KeyedRecord> records; // offsets are ignored
    std::optional<int64_t> expectedEnd; // append only if the topic ends there
    // Appends of one writer with one epoch are stored once and in order of their sequence; those
    // with a lower epoch than the highest seen are refused.
    struct Writer
    {
        std::string name;
        int64_t epoch = 0;
        int64_t sequence = 0;
    };
    std::optional<Writer> writer;
};

enum class AppendOutcome {
    Stored,
    NotStored, // surely not; may be tried again
    ConditionFailed, // surely not: `expectedEnd` was not met
    Fenced, // surely not: a higher epoch was seen, or the sequence does not follow
    Unknown,
};
// Stable lower-case name, for example "end_moved".
std::string_view appendOutcomeName(AppendOutcome outcome);

struct AppendResult
{
    AppendOutcome outcome = AppendOutcome::Unknown;
    std::string reason; // for people
    int64_t offset = -1; // of the first record, if it is known
};

// Gives the records of a stored append their offsets; drops them if the log did not tell these.
void assignOffsets(std::vector<KeyedRecord> &records, const AppendResult &answer);

// The platform's log, reduced to topics of keyed records with one partition.
class KeyedLog
{
public:
    using AppendDone = std::function<void(AppendResult)>;
    using ReadDone = std::function<void(Result<LogSlice>)>;
    using NewestDone = std::function<void(Result<NewestPage>)>;

    virtual ~KeyedLog() = default;
    virtual void append(AppendRequest request, Duration timeout, AppendDone done) = 0;
    // Records from offset `from` on; waits up to `wait` for the first. Errors: NotFound if records
    // from there on have expired, Unavailable, OutcomeUnknown.
    virtual void read(const std::string &topic, int64_t from, Duration wait, Duration timeout,
                      ReadDone done) = 0;
    // The newest record of each key after key `after`. Errors: as read().
    virtual void readNewest(const std::string &topic, const std::string &after, Duration timeout,
                            NewestDone done) = 0;
};

// Bounds everything that is sent to a worker.
struct CommandFence
{
    int64_t epoch = 0; // fencing token: a worker refuses what comes with less than it has seen
    int64_t leaseEndMs = 0; // on the worker's clock; 0: the lease is not extended
    WorkerId incarnation; // the worker that is meant: another one at its address refuses
};

struct PollResult
{
    RunReport report;
    int64_t workerTimeMs = 0;
};

// Errors of all calls: PermissionDenied if a higher epoch was seen there, Conflict if another
// worker has the address, Unavailable if the call surely was not carried out, OutcomeUnknown.
class WorkerGateway
{
public:
    using PollDone = std::function<void(Result<PollResult>)>;
    using StartDone = std::function<void(Result<StartOutcome>)>;
    using Done = std::function<void(Result<void>)>;

    virtual ~WorkerGateway() = default;
    // Lists what runs and what has ended after position `acknowledged`; ends up to there are
    // forgotten by the worker. Waits up to `wait` for an end. `requestedAt` is passed on.
    virtual void poll(const WorkerEntry &worker, const CommandFence &authority,
                      int64_t acknowledged, Duration wait, Duration timeout, Instant requestedAt,
                      PollDone done) = 0;
    virtual void start(const WorkerEntry &worker, const CommandFence &authority,
                       const StartOrder &order, Duration timeout, StartDone done) = 0;
    virtual void stop(const WorkerEntry &worker, const CommandFence &authority,
                      const StopOrder &order, Duration timeout, Done done) = 0;
    virtual void throttle(const WorkerEntry &worker, const CommandFence &authority,
                          const ThrottleOrder &order, Duration timeout, Done done) = 0;
};

// The service that approves workers for a step.
class PolicyGateway
{
public:
    using Done = std::function<void(Result<std::vector<work::Approval>>)>;

    virtual ~PolicyGateway() = default;
    virtual void approve(const std::string &step, const std::vector<WorkerId> &workers,
                         Duration timeout, Done done) = 0;
};

// Calls to another entry instance.
class PeerGateway
{
public:
    using Done = std::function<void(Result<work::ApprovalAnswer>)>;

    virtual ~PeerGateway() = default;
    virtual void approve(const std::string &address, const work::ApprovalRequest &request,
                         Duration timeout, Done done) = 0;
    // Tells a peer what was stored, so that it knows before its next read. Only a hint: the peer
    // reads it later too.
    virtual void recordsStored(const std::string &address, const work::StoredRecords &records,
                               std::function<void(Result<void>)> done) = 0;
    // Lets a peer answer a caller's request. Errors: Unavailable if it surely did not get it,
    // OutcomeUnknown.
    using ForwardDone = std::function<void(Result<work::CallerResponse>)>;
    virtual void forward(const std::string &address, const work::CallerRequest &request,
                         Duration timeout, ForwardDone done) = 0;
};

} // namespace cardamompaddle
