// A model of the policy service: which workers may run a step, tickets with an end of validity, and
// calls that are handled one at a time for each caller.
//
// No I/O; the present time is an argument.
#pragma once

#include "base/time.h"
#include "platform_emulator.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle::emulator {

// Returns the step of a task: JOB.OCCURRENCE.STEP of JOB.OCCURRENCE.STEP.INDEX.
std::string stepOf(const std::string &task);

struct PolicyCall
{
    int64_t number = 0; // chosen by the owner of the model
    std::string caller;
    std::string step;
    std::vector<std::string> workers;
};

struct PolicyGrant
{
    std::string worker;
    std::string ticket;
};

struct PolicyAnswer
{
    int64_t call = 0;
    std::vector<PolicyGrant> grants;
};

class PolicyModel
{
public:
    // Returns the present life of the worker, numbered from 1, or 0 if there is no such worker.
    using LifeOf = std::function<int(const std::string &worker)>;
    // Calls that can wait, over all callers.
    static constexpr size_t MaxWaitingCalls = 32;

    PolicyModel(PolicyOptions options, uint64_t seed, LifeOf lifeOf);

    // Whether this life of the worker may run the step. The answer never changes.
    bool approves(const std::string &step, const std::string &worker, int life) const;
    // Whether the ticket permits the task to start.
    bool accepts(const std::string &ticket, const std::string &task, const std::string &worker,
                 int life, Instant now) const;
    // Takes a call that needs `extraTime` beyond its usual time. Returns false if too many wait.
    bool submit(PolicyCall call, Duration extraTime, Instant now);
    // Returns the answers to the calls that are done at `now`. Call it often.
    std::vector<PolicyAnswer> advance(Instant now);

private:
    struct WaitingCall
    {
        PolicyCall call;
        Duration handlingTime{0};
    };
    // Calls of one caller. The first one is being handled.
    struct CallQueue
    {
        std::deque<WaitingCall> calls;
        Instant firstDoneAt;
    };
    struct Ticket
    {
        std::string step;
        std::string worker;
        int life = 0;
        Instant validUntil;
    };

    size_t waitingCalls() const;
    PolicyAnswer answer(const PolicyCall &call, Instant now);
    std::string issueTicket(const std::string &step, const std::string &worker, int life,
                            Instant now);

    PolicyOptions m_options;
    uint64_t m_seed;
    LifeOf m_lifeOf;
    std::map<std::string, CallQueue> m_queues; // by caller
    int64_t m_nextTicket = 1;
    std::map<int64_t, Ticket> m_tickets; // by number, in the order of their end
};

} // namespace cardamompaddle::emulator
