#include "control/fenced_writer.h"

#include "base/invariant.h"
#include "logging/event_log.h"

#include <boost/asio/io_context.hpp>

#include <iterator>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration AppendTimeout{900};
constexpr Duration AppendRetryDelay{120};

} // namespace

FencedWriter::FencedWriter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                           std::string topic, AppendRequest::Writer writer, LogLimits limits,
                           Callbacks callbacks)
    : m_clock(clock), m_log(log), m_topic(std::move(topic)), m_writer(std::move(writer)),
      m_limits(limits), m_callbacks(std::move(callbacks)), m_retryTimer(io)
{ }

FencedWriter::~FencedWriter()
{
    *m_alive = false;
}

void FencedWriter::append(std::vector<KeyedRecord> records, Stored stored)
{
    invariant(!busy(), "FencedWriter::append called while another append is in progress", m_topic);
    m_waiting.assign(std::make_move_iterator(records.begin()),
                     std::make_move_iterator(records.end()));
    m_storedRecords.clear();
    m_maxRecords = SIZE_MAX;
    m_onStored = std::move(stored);
    sendNext();
}

void FencedWriter::sendNext()
{
    AppendRequest request;
    request.topic = m_topic;
    request.writer = m_writer;
    size_t bytes = 0;
    while (!m_waiting.empty() && request.records.size() < m_maxRecords) {
        const size_t recordBytes = storedBytes(m_waiting.front());
        if (!request.records.empty() && bytes + recordBytes > m_limits.maxAppendBytes)
            break;
        if (recordBytes > m_limits.maxRecordBytes) {
            drop(m_waiting.front(), "it is too long");
        } else {
            bytes += recordBytes;
            request.records.push_back(std::move(m_waiting.front()));
        }
        m_waiting.pop_front();
    }
    if (request.records.empty()) {
        m_request.reset();
        return std::exchange(m_onStored, nullptr)(std::exchange(m_storedRecords, {}));
    }
    m_request = std::move(request);
    m_retried = false;
    m_firstSentAt = m_clock.now();
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
        return m_callbacks.fenced(answer.reason);
    if (answer.outcome == AppendOutcome::Stored)
        return onStored(answer);
    if (answer.outcome == AppendOutcome::Rejected)
        return onRejected(answer);
    m_retried = true;
    // Retries are safe: the log stores each sequence number once.
    logWarn("store_failed", "records=" + std::to_string(m_request->records.size()) + " reason=\""
                                + answer.reason + "\"");
    m_retryTimer.expireAfter(AppendRetryDelay);
    m_retryTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            send();
    });
}

void FencedWriter::onStored(const AppendResult &answer)
{
    ++m_writer.sequence;
    m_storedSentAt = m_firstSentAt;
    std::vector<KeyedRecord> &records = m_request->records;
    assignOffsets(records, answer);
    std::move(records.begin(), records.end(), std::back_inserter(m_storedRecords));
    m_maxRecords = SIZE_MAX;
    sendNext();
}

// Sends the first half of the rejected records alone, and so on until the record is found that the
// log does not take.
void FencedWriter::onRejected(const AppendResult &answer)
{
    std::vector<KeyedRecord> &records = m_request->records;
    if (records.size() == 1) {
        drop(records.front(), answer.reason);
        m_maxRecords = SIZE_MAX;
        return sendNext();
    }
    m_maxRecords = records.size() / 2;
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(records.begin()),
                     std::make_move_iterator(records.end()));
    sendNext();
}

void FencedWriter::drop(const KeyedRecord &record, const std::string &reason)
{
    logWarn("record_rejected", "topic=" + m_topic + " key=" + record.key
                                   + " bytes=" + std::to_string(storedBytes(record)) + " reason=\""
                                   + reason + "\"");
    m_callbacks.rejected(record, reason);
}

} // namespace cardamompaddle
