// The work of callers: authentication, admission, quick requests and jobs.
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

// What a caller sends.
struct Submission
{
    std::string route;
    std::string id; // chosen by the caller
    int32_t tasks = 1;
    // Amounts that the caller declares; the route's where empty.
    std::optional<int64_t> cpuMilli;
    std::optional<int64_t> memoryMb;
    std::optional<int64_t> accelerators;
    std::optional<int64_t> slots;
    std::optional<int64_t> connections;
    bool repeatable = true;
    std::string payload;
    std::optional<Duration> timeout; // quick requests; at most the route's
};

// A failed call and whether the work may have run.
struct CallError
{
    Error error;
    Executed executed = Executed::No;
};

// State of a job as a caller sees it.
struct JobView
{
    std::string id;
    JobState state = JobState::Waiting;
    int32_t tasks = 0;
    int32_t finished = 0;
    int32_t failed = 0;
    int32_t running = 0; // as the pool's owner says; 0 if it cannot be asked
    std::string reason;
    bool existed = false; // the submission repeated one that was accepted before
};

// Not thread-safe: control thread only. Keys are never logged.
class CallerService
{
public:
    // `node` must outlive the service.
    explicit CallerService(Node &node);

    using RequestResult = std::function<void(const RequestAnswer &answer, Instant now)>;
    using JobDone = std::function<void(Result<JobView> job, Executed executed, Instant now)>;

    // Accepts a quick request; `done` runs once. Returns an id for callerDisconnected(), 0 if it
    // has ended.
    uint64_t request(const std::string &key, const Submission &submission, RequestResult done,
                     Instant now);
    void callerDisconnected(uint64_t id, Instant now);
    // Accepts a job. Success means that it is durable.
    void submit(const std::string &key, const Submission &submission, JobDone done, Instant now);
    // Reads a job; waits up to `wait` for its end. NotFound also for jobs of other teams.
    void job(const std::string &key, const std::string &id, Duration wait, JobDone done,
             Instant now);
    void cancel(const std::string &key, const std::string &id, JobDone done, Instant now);

    // Ends overdue waits.
    void advance(Instant now);

private:
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
    void submitted(const JobKey &key, const JobService::Written &written, const JobDone &done,
                   Instant now) const;
    // The job, or null after `done` was called with the reason.
    const Job *findJob(const JobKey &key, const JobDone &done, Instant now) const;
    void answerWithStatus(const Job &job, JobDone done, Instant now) const;
    void jobChanged(const JobKey &key, Instant now);
    static JobView viewOf(const Job &job);

    Node &m_node;
    std::vector<Waiter> m_waiters;
};

} // namespace cardamompaddle
