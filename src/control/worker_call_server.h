// Makes calls to workers for the scheduler of another instance and returns their results in
// batches. Decides nothing about tasks.
//
// A start that is carried out seconds late does harm, and this process may have been frozen while a
// batch lay in its socket. So each call is made only while its timeout has not passed, counted from
// when the scheduler sent it. The clocks of two machines differ by an unknown constant: the
// lateness of a batch is its apparent transit time minus the shortest one of the session.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/timer.h"
#include "platform/worker.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamompaddle {

class WorkerCallServer
{
public:
    // `incarnation` identifies this process; it differs after each start. All references must
    // outlive the server.
    WorkerCallServer(boost::asio::io_context &io, const Clock &clock, WorkerGateway &workers,
                     PeerGateway &peers, std::string incarnation);
    ~WorkerCallServer();
    WorkerCallServer(const WorkerCallServer &) = delete;
    WorkerCallServer &operator=(const WorkerCallServer &) = delete;

    // Takes a batch and returns its acknowledgement; the calls are made afterwards. Calls of a
    // lower epoch than the highest one seen are answered with PermissionDenied. The first batch of
    // a session only serves as reference for the lateness of later ones: its calls are answered
    // with Unavailable.
    work::WorkerCallsReceived receive(const work::WorkerCalls &batch);

private:
    // Calls of one batch that have not been made yet.
    struct Batch
    {
        work::WorkerCalls calls;
        size_t next = 0; // index of the next call to make
        Instant receivedAt;
        Duration lateness{0}; // when it was received
    };
    // Answers on their way to the scheduler of one session.
    struct Outbox
    {
        std::string replyTo;
        std::deque<work::WorkerAnswer> answers;
        bool busy = false; // a message is in flight, or a timer for the next one is armed
    };

    // Returns how late the batch is; none if it is the first one of its session.
    std::optional<Duration> lateness(const work::WorkerCalls &batch, Instant now);
    void refuseAll(const work::WorkerCalls &batch, const Error &error);
    void scheduleCalls();
    // Makes some of the waiting calls, so that other work of the process is not held up.
    void makeCalls();
    void makeCall(const Batch &batch, const work::WorkerCall &call, Instant now);
    void makePoll(const std::string &session, const work::WorkerCall &call,
                  const CommandFence &fence, Duration timeout, Instant now);
    void makeOrder(const Batch &batch, const work::WorkerCall &call, const CommandFence &fence,
                   Duration timeout);
    void answer(const std::string &session, work::WorkerAnswer answer);
    void scheduleAnswers(const std::string &session, Duration delay);
    void sendAnswers(const std::string &session);
    void transmit(const std::string &session,
                  const std::shared_ptr<const work::WorkerAnswers> &message, int attempt);
    void retryLater(const std::string &session,
                    const std::shared_ptr<const work::WorkerAnswers> &message, int attempt);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    WorkerGateway &m_workers;
    PeerGateway &m_peers;
    std::string m_incarnation;
    int64_t m_highestEpoch = 0;
    std::string m_session; // the latest one of the highest epoch
    Duration m_shortestTransit{0}; // of m_session; includes the difference of the two clocks
    std::deque<Batch> m_batches;
    bool m_callsArmed = false;
    std::map<std::string, Outbox> m_outboxes; // by session
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
