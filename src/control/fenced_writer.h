// Appends records under one tenure: one append at a time, retried under its sequence number until
// the log has stored it, so that every append is stored exactly once and in order.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "platform/worker.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle {

class FencedWriter
{
public:
    // `writer.sequence` is the number of the next append under `writer.epoch`. `fenced` is called
    // with the reason when the log refuses the writer's epoch or sequence; nothing is appended
    // after that.
    FencedWriter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log, std::string topic,
                 AppendRequest::Writer writer, std::function<void(const std::string &)> fenced);
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
    // When the first try of the append was sent. The log may have stored it at any time since.
    Instant firstSentAt() const { return m_firstSentAt; }
    // Receives the stored records with their offsets, or no records if the offsets are unknown.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    // Requires !busy(). Calls `stored` once the log has stored the records.
    void append(std::vector<KeyedRecord> records, Stored stored);

private:
    void send();
    void onAnswer(const AppendResult &answer);

    const Clock &m_clock;
    KeyedLog &m_log;
    std::string m_topic;
    AppendRequest::Writer m_writer;
    std::function<void(const std::string &)> m_onFenced;
    boost::asio::steady_timer m_retryTimer;
    std::optional<AppendRequest> m_request; // the append in flight or to be retried
    Instant m_firstSentAt;
    Instant m_sentAt;
    bool m_retried = false; // a try of m_request has failed
    Stored m_onStored;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
