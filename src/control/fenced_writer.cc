#include "control/fenced_writer.h"

#include "base/invariant.h"
#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration AppendTimeout{900};
constexpr Duration AppendRetryDelay{120};

} // namespace

FencedWriter::FencedWriter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                           std::string topic, AppendRequest::Writer writer,
                           std::function<void(const std::string &)> fenced)
    : m_clock(clock), m_log(log), m_topic(std::move(topic)), m_writer(std::move(writer)),
      m_onFenced(std::move(fenced)), m_retryTimer(io)
{ }

FencedWriter::~FencedWriter()
{
    *m_alive = false;
}

void FencedWriter::append(std::vector<KeyedRecord> records, Stored stored)
{
    invariant(!busy(), "FencedWriter::append called while another append is in progress", m_topic);
    AppendRequest request;
    request.topic = m_topic;
    request.records = std::move(records);
    request.writer = m_writer;
    m_request = std::move(request);
    m_retried = false;
    m_firstSentAt = m_clock.now();
    m_onStored = std::move(stored);
    send();
}

void FencedWriter::send()
{
    m_sentAt = m_clock.now();
    m_log.append(*m_request, AppendTimeout, [this, alive = m_alive](const AppendResult &answer) {
        if (*alive)
            onAnswer(answer);
    });
}

void FencedWriter::onAnswer(const AppendResult &answer)
{
    if (answer.outcome == AppendOutcome::Fenced)
        return m_onFenced(answer.reason);
    if (answer.outcome == AppendOutcome::Stored) {
        ++m_writer.sequence;
        std::vector<KeyedRecord> records = std::exchange(m_request, std::nullopt)->records;
        assignOffsets(records, answer);
        return std::exchange(m_onStored, nullptr)(records);
    }
    m_retried = true;
    // Retries are safe: the log stores each sequence number once.
    logWarn("store_failed", "records=" + std::to_string(m_request->records.size()) + " reason=\""
                                + answer.reason + "\"");
    m_retryTimer.expires_after(AppendRetryDelay);
    m_retryTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            send();
    });
}

} // namespace cardamompaddle
