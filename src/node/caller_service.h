// Implements the callers' calls: authentication, admission, quick requests and jobs.
#pragma once

#include "base/error.h"
#include "base/resources.h"
#include "base/result.h"
#include "base/time.h"
#include "node/node.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

// A quick request or a job as a caller sends it.
struct Submission
{
    std::string route;
    std::string id; // chosen by the caller
    int32_t tasks = 1;
    // Resources per task; empty values default to those of the route.
    std::optional<int64_t> cpuMilli;
    std::optional<int64_t> memoryMb;
    std::optional<int64_t> accelerators;
    std::optional<int64_t> slots;
    std::optional<int64_t> connections;
    bool repeatable = true;
    std::string payload;
    std::optional<Duration> timeout; // of a quick request; limited to the route's timeout
};

// The error of a call, and whether the work may have run.
struct CallError
{
    Error error;
    Executed executed = Executed::No;
};

// The state of a job as shown to callers.
struct JobView
{
    std::string id;
    JobState state = JobState::Waiting;
    int32_t tasks = 0;
    int32_t finished = 0;
    int32_t failed = 0;
    int32_t running = 0; // as reported by the pool's owner; 0 if it does not answer
    std::string reason;
    bool existed = false; // the submission repeats one that was accepted earlier
};

// Not thread-safe: control thread only. Keys are never logged.
class CallerService
{
public:
    // `node` must outlive the service.
    explicit CallerService(Node &node);

    using JobDone = std::function<void(Result<JobView> job, Executed executed, Instant now)>;

    // Accepts a quick request; `done` runs once. Returns an id for callerDisconnected(), or 0 if
    // the request was refused at once.
    uint64_t request(const std::string &key, const Submission &submission, RequestDone done,
                     Instant now);
    void callerDisconnected(uint64_t id, Instant now);
    // Accepts a job. Success means that the job is durable.
    void submit(const std::string &key, const Submission &submission, JobDone done, Instant now);
    // Returns the state of a job; waits up to `wait` for its end. Jobs of other teams are NotFound.
    void job(const std::string &key, const std::string &id, Duration wait, JobDone done,
             Instant now);
    void cancel(const std::string &key, const std::string &id, JobDone done, Instant now);

    // Answers the calls of job() whose wait has expired.
    void advance(Instant now);

private:
    // A call of job() that waits for the end of the job.
    struct Waiter
    {
        JobKey key;
        Instant deadline;
        JobDone done;
    };

    Result<std::string> authenticate(const std::string &key) const;
    Result<JobSpec> admit(const std::string &key, const Submission &submission, bool request,
                          Instant now) const;
    Result<void> checkCapacity(const JobSpec &spec) const;
    Result<void> checkJobQueue(const JobSpec &spec, const RouteSpec &route) const;
    Result<void> ready(Instant now) const;
    void submitted(const JobKey &key, const JobService::RecordOutcome &outcome, const JobDone &done,
                   Instant now) const;
    // Returns the job, or calls `done` with an error and returns null.
    const Job *findJob(const JobKey &key, const JobDone &done, Instant now) const;
    void answerWithStatus(const Job &job, JobDone done, Instant now) const;
    void jobChanged(const JobKey &key, Instant now);
    static JobView viewOf(const Job &job);

    Node &m_node;
    std::vector<Waiter> m_waiters;
};

} // namespace cardamompaddle
