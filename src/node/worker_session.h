// The exclusive session of this member with one worker: acquires and renews it and sends the pool
// owner's commands. Each command carries the newest stamp of the worker's clock.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "platform/types.h"
#include "platform/worker.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// Receives the events of worker sessions. Control thread only.
class WorkerSessionEvents
{
public:
    virtual ~WorkerSessionEvents() = default;
    virtual void sessionAcquired(const WorkerInfo &worker, const SessionGrant &grant,
                                 Instant now) = 0;
    // Nothing more can be sent to the worker. Its tasks may run until leaseLapsed() is true.
    virtual void sessionLost(const WorkerInfo &worker, Instant now) = 0;
    virtual void workerReported(const WorkerInfo &worker, const WorkerReport &report,
                                Instant now) = 0;
    // The attempt certainly did not run and never will.
    virtual void startRefused(const WorkerInfo &worker, const TaskAttempt &attempt,
                              const std::string &reason, Instant now) = 0;
};

struct WorkerSessionOptions
{
    std::string holder; // identifies the process and its generation
    Duration sessionTtl{3'000};
    Duration renewInterval{500};
    Duration retryInterval{250}; // between attempts to acquire the session
    Duration longPollTimeout{1'000}; // the worker answers earlier if a task finishes
};

// Not thread-safe: control thread only. Always held by a shared pointer, because answers may arrive
// after the owner has dropped the session; such answers are ignored.
class WorkerSession : public std::enable_shared_from_this<WorkerSession>
{
public:
    // `client` and `events` must outlive the session, or release() must be called before they end.
    static std::shared_ptr<WorkerSession> create(WorkerClient &client, WorkerSessionEvents &events,
                                                 WorkerInfo worker, WorkerSessionOptions options);

    const WorkerInfo &worker() const { return m_worker; }
    void setWorker(WorkerInfo worker) { m_worker = std::move(worker); }
    bool held() const { return m_state == State::Held; }

    // These queue a command; the next advance() sends it.
    void start(StartTask task);
    void stop(const TaskAttempt &attempt);
    void checkpoint(const TaskAttempt &attempt);
    void throttle(const TaskAttempt &attempt, int64_t cpuMilli);
    void acknowledge(const TaskAttempt &attempt);

    // Acquires or renews the session and sends queued commands; sends nothing if `mayAct` is false.
    // `busy`: the worker runs tasks, so that a long poll for their results is kept open.
    void advance(bool mayAct, bool busy, Instant now);
    // Releases the session; later answers are ignored and queued starts are dropped.
    void release();
    // True while a command is unanswered.
    bool commandInFlight() const { return m_commandInFlight; }

    // True if a task that was running under `lease` when the session was lost has certainly ended.
    // False while the session is held.
    bool leaseLapsed(Duration lease, Instant now) const;

private:
    enum class State { Idle, Acquiring, Held, Released };

    WorkerSession(WorkerClient &client, WorkerSessionEvents &events, WorkerInfo worker,
                  WorkerSessionOptions options);
    void acquire(Instant now);
    void acquired(const SessionGrant &grant, Instant now);
    WorkerCommand takeBatch();
    void sendCommand(Instant now);
    void commandDone(const WorkerCommand &batch, const Result<WorkerReport> &result, Instant now);
    void longPoll(Instant now);
    void longPollDone(uint64_t epoch, const Result<WorkerReport> &result, Instant now);
    void handleReport(const WorkerReport &report, Instant now);
    void updateStamp(uint64_t stamp, Instant now);
    void resolveUnknownStarts(const WorkerReport &report, Instant now);
    void refuseStarts(const std::vector<StartTask> &starts, const std::string &reason, Instant now);
    void handleSessionLoss(Instant now);
    bool hasQueuedCommands() const;
    template <typename Done>
    void send(const WorkerCommand &batch, Done done);

    WorkerClient &m_client;
    WorkerSessionEvents &m_events;
    WorkerInfo m_worker;
    WorkerSessionOptions m_options;
    State m_state = State::Idle;
    uint64_t m_epoch = 0;
    uint64_t m_stamp = 0; // newest stamp received from the worker
    Instant m_stampReceivedAt;
    // Time at which the newest stamp that was ever sent back to the worker had been received. The
    // worker counts leases from the stamp, which is earlier.
    std::optional<Instant> m_lastSentStampReceivedAt;
    std::optional<Instant> m_lastAcquireAttempt;
    Instant m_lastRenewal;
    bool m_commandInFlight = false;
    bool m_longPollInFlight = false;
    std::optional<Instant> m_nextLongPoll;
    Duration m_longPollDelay{0};
    std::set<TaskAttempt> m_knownFinished; // finished tasks in the newest report
    WorkerCommand m_queue; // commands not yet sent
    // Kept until a command that carried them has been answered.
    std::set<TaskAttempt> m_pendingAcknowledgements;
    // Starts that were sent but not answered, with the stamp that was sent along.
    std::map<TaskAttempt, uint64_t> m_unknownStarts;
};

} // namespace cardamompaddle
