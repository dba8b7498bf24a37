// A model of one worker: runs with leases and fencing tokens, stops, and the list of ended runs
// that the scheduler acknowledges.
//
// No I/O; the present time is an argument.
#pragma once

#include "base/time.h"
#include "gang_model.h"
#include "platform_emulator.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cardamompaddle::emulator {

enum class StartReply { Started, FencedOff, OldRun, LeaseTooShort, NoTicket };

struct WorkerModelOptions
{
    std::string id;
    Duration maxLease{0};
    Duration stopTime{0};
    double clockRate = 1; // of the worker's clock; 0.98 is 2% slow
    std::function<std::optional<Duration>(const std::string &task)> runTime;
    std::function<void(const RunEvent &)> observer;
    // Whether the ticket permits the task to start in this life of the worker; all are accepted
    // without this function.
    std::function<bool(const std::string &ticket, const std::string &task,
                       const std::string &worker, int life, Instant now)>
        acceptsTicket;
    // Returns the number of members of the task's gang, 0 for a task without one. No task has one
    // without this function.
    std::function<int(const std::string &task)> gangSize;
    GangModel *gangs = nullptr; // shared by all workers; required with `gangSize`
    Duration gangTimeout{4'000}; // for which a member waits for the others
};

struct ModelledRun
{
    int64_t number = 0;
    Instant startedAt;
    std::optional<Duration> runTime; // none: lasts until it is stopped
    std::optional<Instant> stopsAt;
    bool inGang = false;
};

struct ModelledEnd
{
    int64_t position = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
    bool leaseLapsed = false; // since then; its task may have been started elsewhere
};

class WorkerModel
{
public:
    WorkerModel(WorkerModelOptions options, Instant now);

    // Returns false if the worker has seen a higher token; the call must then have no effect.
    bool acceptsToken(int64_t token);
    // Extends all leases to `leaseEndMs` on the worker's clock. 0 or an earlier end has no effect.
    void extendLease(int64_t leaseEndMs, Instant now);
    StartReply start(const std::string &task, int64_t run, int64_t leaseEndMs, Instant now,
                     const std::string &ticket = "");
    void stop(const std::string &task, int64_t run, Instant now);
    // Forgets the ended runs up to `position`.
    void acknowledge(int64_t position, Instant now);
    // Ends the runs that are due at `now`. Call it often.
    void advance(Instant now);
    // The worker crashes: all that it runs and knows is gone.
    void crash(Instant now);
    // It starts again, under `id`.
    void restart(const std::string &id, Instant now);

    const std::string &id() const { return m_options.id; }
    int life() const { return m_life; }
    int64_t clockMs(Instant now) const;
    // Returns since when the run has been at work; none for a member of a gang that is incomplete.
    std::optional<Instant> workBegan(const std::string &task, const ModelledRun &run) const;
    const std::map<std::string, ModelledRun> &runs() const { return m_runs; } // by task
    const std::deque<ModelledEnd> &ends() const { return m_ends; }

private:
    // Returns how the run ends at `now`, as in the protocol, or "" if it goes on.
    std::string endOf(const std::string &task, const ModelledRun &run, bool leaseLapsed,
                      Instant now) const;
    void end(const std::string &task, const std::string &how, Instant now);
    void notify(RunEventKind kind, const std::string &task, int64_t run, const std::string &how,
                Instant now) const;

    WorkerModelOptions m_options;
    int m_life = 1;
    Instant m_bootedAt;
    int64_t m_token = 0; // the highest seen
    int64_t m_leaseEndMs = 0;
    int64_t m_nextPosition = 1;
    std::map<std::string, ModelledRun> m_runs;
    std::map<std::string, int64_t> m_spent; // highest run that was stopped or has ended, by task
    std::deque<ModelledEnd> m_ends;
};

} // namespace cardamompaddle::emulator
