// Appends under one tenure: one at a time, each repeated under its sequence number until the log
// has stored it, so that every append is stored once and in order.
//
// Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"

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
    // `sequence`: of the next append under `writer`'s epoch. `fenced` is called when the log has
    // seen a higher epoch; nothing is appended after that.
    FencedWriter(boost::asio::io_context &io, KeyedLog &log, std::string topic,
                 AppendRequest::Writer writer, std::function<void(const std::string &)> fenced);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    // An append has no answer yet.
    bool busy() const { return m_request.has_value(); }
    // Gets the records with their offsets, or none if the log did not tell where they are.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    // Only while not busy(). `stored` is called once the log has stored the records.
    void append(std::vector<KeyedRecord> records, Stored stored);

private:
    void send();
    void onAnswer(const AppendResult &answer);

    KeyedLog &m_log;
    std::string m_topic;
    AppendRequest::Writer m_writer;
    std::function<void(const std::string &)> m_fenced;
    boost::asio::steady_timer m_retryTimer;
    std::optional<AppendRequest> m_request; // in flight
    Stored m_stored;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
