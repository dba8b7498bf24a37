// Worker models behind the interface that the scheduler calls, without sockets, with faults: calls
// that get no answer, that are carried out late, slow answers, crashes and cuts.
//
// Time passes with the timers of the event loop, so it can be virtual. Not thread-safe.
#pragma once

#include "control/gateways.h"
#include "control/timer.h"
#include "platform/worker.h"
#include "worker_model.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cardamompaddle::emulator {

// What a worker does with the calls that it receives.
struct CallFaults
{
    double lostShare = 0; // of the calls that get no answer
    bool ordersOnly = false; // of these, polls are answered
    // Such calls, and those to a worker that is down or cut off, are carried out this much later,
    // by whatever incarnation is up then; 0: never.
    Duration lateAtLeast{0};
    Duration lateAtMost{0};
    Duration slowestAnswer{2}; // each answer takes up to so long
};

class ModelledWorkers : public WorkerGateway
{
public:
    using Observer = std::function<void(const RunEvent &)>;
    // `options` are those of each worker; `id` and `observer` are set here.
    ModelledWorkers(boost::asio::io_context &io, const Clock &clock, WorkerModelOptions options,
                    Observer observer, uint64_t seed);
    ~ModelledWorkers() override;
    ModelledWorkers(const ModelledWorkers &) = delete;
    ModelledWorkers &operator=(const ModelledWorkers &) = delete;

    void add(const WorkerId &id);
    // The worker is gone with all that it runs, and nothing tells of it.
    void crash(const WorkerId &id);
    // A worker that has crashed is up again under its id, with a clock that counts from now.
    void restart(const WorkerId &id);
    // Calls get no answer, while the runs go on.
    void setCutOff(const WorkerId &id, bool cutOff) { m_workers.at(id).cutOff = cutOff; }
    bool isUp(const WorkerId &id) const { return m_workers.at(id).up; }
    bool isCutOff(const WorkerId &id) const { return m_workers.at(id).cutOff; }
    CallFaults &faults(const WorkerId &id) { return m_workers.at(id).faults; }
    // Identifies the present incarnation, as a registry entry does.
    int64_t startedAtMs(const WorkerId &id) const { return m_workers.at(id).startedAtMs; }
    const WorkerModel &model(const WorkerId &id) const { return m_workers.at(id).model; }
    // Number of runs that began by a call that was meant for an earlier incarnation.
    int staleStarts() const { return m_staleStarts; }
    // Number of calls that requested a lease of more than the longest one: by another clock.
    int shortenedLeases() const { return m_shortenedLeases; }

    void poll(const WorkerEntry &worker, const CommandFence &fence, int64_t acknowledged,
              Duration wait, Duration timeout, Instant requestedAt, PollDone done) override;
    void start(const WorkerEntry &worker, const CommandFence &fence, const StartOrder &order,
               Duration timeout, StartDone done) override;
    void stop(const WorkerEntry &worker, const CommandFence &fence, const StopOrder &order,
              Duration timeout, Done done) override;
    void throttle(const WorkerEntry &worker, const CommandFence &fence, const ThrottleOrder &order,
                  Duration timeout, Done done) override;

private:
    struct Worker
    {
        WorkerModel model;
        int64_t startedAtMs = 0;
        bool up = true;
        bool cutOff = false;
        CallFaults faults;
    };
    struct WaitingPoll
    {
        WorkerId worker;
        int life = 0;
        Instant until;
        Instant requestedAt;
        std::function<void(Result<PollResult>)> done;
    };
    // Carries one call out; `answer` tells whether somebody waits for the answer.
    using CarryOut = std::function<void(Worker &, bool answer)>;

    // Has a call arrive at the worker, which may leave it without an answer.
    void deliver(const WorkerId &id, bool isOrder, CarryOut carryOut);
    void carryOutLate(const WorkerId &id, int life, const CarryOut &carryOut);
    // Calls `answer` after the time that an answer of the worker takes, unless the worker has been
    // cut off or has crashed by then.
    void respond(const WorkerId &id, std::function<void()> answer);
    void extendLease(Worker &worker, int64_t leaseEndMs);
    PollResult report(const Worker &worker, Instant requestedAt) const;
    void advance();
    void after(Duration wait, std::function<void()> action);
    Duration draw(Duration least, Duration most);
    Instant now() const { return m_clock.now(); }

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    WorkerModelOptions m_options;
    std::mt19937_64 m_random;
    std::map<WorkerId, Worker> m_workers;
    std::list<WaitingPoll> m_waitingPolls;
    Timer m_advanceTimer;
    int64_t m_lastStart = 0;
    int m_staleStarts = 0;
    int m_shortenedLeases = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: actions are dropped
};

} // namespace cardamompaddle::emulator
