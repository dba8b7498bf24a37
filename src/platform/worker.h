// Interface of a worker, limited to what the design requires: exclusive sessions with increasing
// epochs, stamps that date each command by the worker's own clock, leases on tasks, and repeated
// starts of one attempt that run it only once.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "platform/types.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {

// Requests the exclusive session of a worker. Refused while another holder's session has not
// expired.
struct SessionRequest
{
    std::string holder; // unique identity of the process; never reused
    Duration ttl{0};
};

// The response to a granted session request.
struct SessionGrant
{
    uint64_t epoch = 0; // increases with each grant of this worker
    uint64_t stamp = 0; // milliseconds of the worker's monotonic clock
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished; // not yet acknowledged
};

// One batch of commands to a worker. The worker refuses the whole batch if the epoch is not the
// current one or the stamp is older than the session's TTL.
struct WorkerCommand
{
    std::string holder;
    uint64_t epoch = 0;
    uint64_t stamp = 0; // latest stamp received from this worker in this epoch
    bool renew = false; // extends the session and all task leases, counted from `stamp`
    bool release = false; // ends the session; tasks keep running under their leases
    std::vector<StartTask> starts;
    std::vector<TaskAttempt> stops;
    std::vector<TaskAttempt> checkpoints;
    std::vector<ThrottleTask> throttles;
    std::vector<TaskAttempt> acknowledged; // finished tasks that need not be reported again
    Duration waitForFinish{0}; // longest time to hold the response for a task to finish
};

// The response to an accepted batch.
struct WorkerReport
{
    uint64_t stamp = 0;
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished;
    // Starts that were rejected, with the reason.
    std::vector<std::pair<TaskAttempt, std::string>> rejectedStarts;
};

// Asynchronous worker client. The rules of LogClient on callbacks and threads apply.
class WorkerClient
{
public:
    using SessionDone = std::function<void(Result<SessionGrant>, Instant now)>;
    using CommandDone = std::function<void(Result<WorkerReport>, Instant now)>;

    virtual ~WorkerClient() = default;
    // Errors: Conflict while another session lasts, Unavailable if the worker cannot be reached.
    virtual void acquire(const WorkerInfo &worker, const SessionRequest &request,
                         SessionDone done) = 0;
    // Errors: PermissionDenied if the epoch or the stamp is stale (the batch had no effect),
    // Unavailable if no byte was sent, OutcomeUnknown if no response was received.
    virtual void command(const WorkerInfo &worker, WorkerCommand batch, CommandDone done) = 0;
};

// Asynchronous client of the platform's instance list, which may be out of date.
class InstanceListClient
{
public:
    using ListDone = std::function<void(Result<std::vector<WorkerInfo>>, Instant now)>;

    virtual ~InstanceListClient() = default;
    // Fetches the workers that the platform lists as live or leaving. Errors: Unavailable.
    virtual void fetch(ListDone done) = 0;
};

// The monotonic clock of this machine. Only the outermost layer calls it.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

} // namespace cardamompaddle
