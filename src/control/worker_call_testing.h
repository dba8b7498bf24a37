// Fakes for tests of calls that other instances make to workers: each call is stored until the test
// answers it.
#pragma once

#include "control/gateways.h"
#include "platform/worker.h"

#include <functional>
#include <string>
#include <vector>

namespace cardamompaddle::testing {

class SettableClock : public Clock
{
public:
    Instant now() const override { return time; }
    Instant time = instantFromMs(100'000);
};

// Stores the calls to workers.
class HeldWorkers : public WorkerGateway
{
public:
    struct Poll
    {
        WorkerId worker;
        int64_t acknowledged = 0;
        Duration wait;
        Instant requestedAt;
        PollDone done;
    };
    struct Start
    {
        StartOrder order;
        CommandFence fence;
        Duration timeout;
        StartDone done;
    };

    void poll(const WorkerEntry &worker, const CommandFence &, int64_t acknowledged, Duration wait,
              Duration, Instant requestedAt, PollDone done) override
    {
        polls.push_back({worker.id, acknowledged, wait, requestedAt, std::move(done)});
    }
    void start(const WorkerEntry &, const CommandFence &fence, const StartOrder &order,
               Duration timeout, StartDone done) override
    {
        starts.push_back({order, fence, timeout, std::move(done)});
    }
    void stop(const WorkerEntry &, const CommandFence &, const StopOrder &, Duration, Done) override
    { }
    void throttle(const WorkerEntry &, const CommandFence &, const ThrottleOrder &, Duration,
                  Done) override
    { }

    std::vector<Poll> polls;
    std::vector<Start> starts;
};

// Stores the messages about calls to workers; has no other function.
class HeldWorkerCallPeers : public PeerGateway
{
public:
    struct Calls
    {
        std::string address;
        work::WorkerCalls message;
        WorkerCallsDone done;
    };
    struct Answers
    {
        std::string address;
        work::WorkerAnswers message;
        std::function<void(Result<void>)> done;
    };

    void approve(const std::string &, const work::ApprovalRequest &, Duration, Done) override { }
    void recordsStored(const std::string &, const work::StoredRecords &,
                       std::function<void(Result<void>)>) override
    { }
    void forward(const std::string &, const work::CallerRequest &, Duration, ForwardDone) override
    { }
    void callWorkers(const std::string &address, const work::WorkerCalls &message, Duration,
                     WorkerCallsDone done) override
    {
        calls.push_back({address, message, std::move(done)});
    }
    void answerWorkerCalls(const std::string &address, const work::WorkerAnswers &message,
                           std::function<void(Result<void>)> done) override
    {
        answers.push_back({address, message, std::move(done)});
    }

    std::vector<Calls> calls;
    std::vector<Answers> answers;
};

inline StartOrder startOrder(const WorkerId &worker, const std::string &job)
{
    auto submission = std::make_shared<work::Submission>();
    submission->id = job;
    submission->payload = "payload of " + job;
    StartOrder out;
    out.worker = worker;
    out.task = {{job, 0, 1}, 2};
    out.run = 7;
    out.job = std::move(submission);
    out.checkpoint = "checkpoint";
    out.ticket = "ticket";
    return out;
}

inline WorkerEntry workerEntry(const WorkerId &id)
{
    WorkerEntry out;
    out.id = id;
    out.address = "10.0.0.1:80";
    return out;
}

} // namespace cardamompaddle::testing
