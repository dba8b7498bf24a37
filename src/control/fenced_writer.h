// Appends records under one tenure: one append at a time, retried under its sequence number until
// the log has stored it, so that every append is stored exactly once and in order.
//
// What the log can never take must not hold up the rest: records that are too many for one append
// go out in several, and a record that the log rejects by itself is dropped and reported.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/timer.h"
#include "platform/worker.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

class FencedWriter
{
public:
    struct Callbacks
    {
        // Called with the reason when the log refuses the writer's epoch or sequence; nothing is
        // appended after that.
        std::function<void(const std::string &reason)> fenced;
        // Called with a record that can never be stored, before `stored` of its append.
        std::function<void(const KeyedRecord &record, const std::string &reason)> rejected;
    };

    // `writer.sequence` is the number of the next append under `writer.epoch`.
    FencedWriter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log, std::string topic,
                 AppendRequest::Writer writer, LogLimits limits, Callbacks callbacks);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    // Returns whether an append is in flight or waits for its retry.
    bool busy() const { return m_request.has_value(); }
    // Returns whether the first try of an append is in flight.
    bool awaitsFirstAnswer() const { return busy() && !m_retried; }
    // When the last try was sent. From there to its answer is how long the log takes; failed tries
    // before it tell that the log was away, not that it is slow.
    Instant sentAt() const { return m_sentAt; }
    // Requires busy(). When the first try of the append in progress was sent.
    Instant firstSentAt() const { return m_firstSentAt; }
    // When the first try of the last append that the log has stored was sent. The log may have
    // stored it at any time since.
    Instant storedSentAt() const { return m_storedSentAt; }
    // Receives the stored records with their offsets, without those whose offset is unknown.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    // Requires !busy(). Calls `stored` once the log has stored all records that it takes, in the
    // given order.
    void append(std::vector<KeyedRecord> records, Stored stored);

private:
    // Sends the next records that fit into one append, or ends the append if none are left.
    void sendNext();
    void send();
    void onAnswer(const AppendResult &answer);
    void onStored(const AppendResult &answer);
    void onRejected(const AppendResult &answer);
    void drop(const KeyedRecord &record, const std::string &reason);

    const Clock &m_clock;
    KeyedLog &m_log;
    std::string m_topic;
    AppendRequest::Writer m_writer;
    LogLimits m_limits;
    Callbacks m_callbacks;
    Timer m_retryTimer;
    std::optional<AppendRequest> m_request; // the append in flight or to be retried
    size_t m_maxRecords = SIZE_MAX; // in the next append; fewer after the log has rejected one
    std::deque<KeyedRecord> m_waiting; // for the appends that follow
    std::vector<KeyedRecord> m_storedRecords; // by the appends before
    Instant m_firstSentAt; // first try of m_request
    Instant m_storedSentAt = Instant::min(); // first try of the last stored append; min(): none
    Instant m_sentAt;
    bool m_retried = false; // a try of m_request has failed
    Stored m_onStored;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
