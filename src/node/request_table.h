// The quick requests that a pool's owner has accepted, with the callers that wait for each, and the
// recent answers. A repeated request joins the pending one or gets its stored answer, so that it
// does not run twice.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "jobs/job.h"
#include "peer/peer_message.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamompaddle {

using RequestDone = std::function<void(const RequestAnswer &answer, Instant now)>;

// Not thread-safe: control thread only.
class RequestTable
{
public:
    static constexpr Duration AnswerRetention{600'000};
    static constexpr size_t MaxAnswersPerTeam = 100'000;
    static constexpr size_t MaxAnswerBytes = 64 << 20; // payloads and answers of all teams

    enum class Admission {
        New, // not known yet; submit it to the scheduler
        Joined, // the same request is pending; `done` will be called with its answer
        Answered, // the same request has ended; `done` was called with the stored answer
        Conflict, // another request has this id; `done` was called with an error
    };

    // Registers a request. `deadline` is the caller's.
    Admission admit(const JobSpec &spec, Instant deadline, RequestDone done, Instant now);
    bool pending(const JobKey &key) const { return m_pending.contains(key); }
    // Records that the request was sent to a worker.
    void started(const JobKey &key, const std::string &worker);
    // Records that an attempt that an earlier owner started is running.
    void adopted(const JobKey &key);
    // Number of callers that wait for the request.
    size_t waiterCount(const JobKey &key) const;
    // Records that the last start certainly did not run.
    void startRefused(const JobKey &key);
    // Ends a request: answers all callers that wait, and stores the answer unless the request
    // certainly did not run. Unknown keys are ignored.
    void finish(const JobKey &key, RequestAnswer answer, Instant now);
    // Ends a request that the scheduler refused before it was queued.
    void refuse(const JobKey &key, const Error &error, Instant now);
    // Requests whose deadline has passed.
    std::vector<JobKey> overdue(Instant now) const;
    std::vector<JobKey> pendingKeys() const;
    // True if an attempt of the pending request may have run.
    bool mayHaveRun(const JobKey &key) const;
    // Route of a pending request; empty if unknown.
    std::string routeOf(const JobKey &key) const;
    size_t pendingCount() const { return m_pending.size(); }
    // Drops answers that are older than AnswerRetention.
    void expire(Instant now);

private:
    struct Pending
    {
        JobSpec spec;
        Instant deadline;
        int32_t starts = 0; // attempts that may have run
        std::string worker;
        std::vector<RequestDone> waiters;
    };
    struct Answered
    {
        JobSpec spec;
        RequestAnswer answer;
        Instant answeredAt;
    };
    void evictOldest();

    std::map<JobKey, Pending> m_pending;
    std::unordered_map<JobKey, Answered> m_answered;
    std::deque<std::pair<Instant, JobKey>> m_answerOrder; // keys of m_answered, oldest first
    std::map<std::string, size_t> m_answersByTeam;
    size_t m_answerBytes = 0;
};

} // namespace cardamompaddle
