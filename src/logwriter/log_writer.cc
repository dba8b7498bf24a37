#include "logwriter/log_writer.h"

#include "logwriter/internal/append_machine.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace cardamompaddle {

std::string_view writeResultName(WriteResult result)
{
    switch (result) {
    case WriteResult::Appended:
        return "appended";
    case WriteResult::NotAppended:
        return "not_appended";
    case WriteResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

// Shared with the calls in progress, because a callback may destroy the writer. Callbacks of the
// log client hold weak pointers, so that answers after the destruction are ignored.
class LogWriter::Impl : public std::enable_shared_from_this<LogWriter::Impl>
{
public:
    Impl(LogClient &client, LogWriterOptions options, uint64_t incarnation)
        : m_client(client), m_options(std::move(options)), m_incarnation(incarnation)
    { }

    RecordId nextId() { return {m_incarnation, ++m_seq}; }
    void setIncarnation(uint64_t incarnation) { m_incarnation = incarnation; }
    Result<void> write(const RecordId &id, std::string data, Instant now, Instant deadline,
                       Done done);
    void observed(const RecordId &id, uint64_t offset, Instant now);
    void appliedTo(uint64_t next, Instant now);
    void advance(Instant now);
    size_t pending() const { return m_entries.size(); }
    bool needsRead() const;
    const Counters &counters() const { return m_counters; }

private:
    struct Entry
    {
        std::string data;
        Instant deadline;
        Instant retryAt;
        int attempts = 0;
        AppendMachine machine;
        Done done;
    };
    using Entries = std::map<RecordId, Entry>; // in the order in which they were written

    void startDueAttempts(Instant now);
    void startAttempt(const RecordId &id, Entry &entry);
    void onAppendAnswered(const RecordId &id, const Result<uint64_t> &offset, Instant now);
    void readTail(Instant now);
    void onTailRead(const std::vector<RecordId> &ids, const Result<LogPage> &page, Instant now);
    void completeFinishedRecords(Instant now);

    LogClient &m_client;
    LogWriterOptions m_options;
    uint64_t m_incarnation;
    uint64_t m_seq = 0;
    uint64_t m_folded = 0;
    Entries m_entries;
    bool m_isTailReadInFlight = false;
    Instant m_lastTailReadAt = Instant::min(); // the tail was never read
    Counters m_counters;
};

Result<void> LogWriter::Impl::write(const RecordId &id, std::string data, Instant now,
                                    Instant deadline, Done done)
{
    if (m_entries.size() >= m_options.maxQueued)
        return Error{ErrorCode::Overloaded,
                     "the write queue of stream " + m_options.stream + " is full"};
    if (m_entries.contains(id))
        return Error{ErrorCode::InvalidArgument, "record " + id.toString() + " is already queued"};
    m_entries.emplace(id, Entry{std::move(data), deadline, now, 0, {}, std::move(done)});
    startDueAttempts(now);
    return {};
}

void LogWriter::Impl::observed(const RecordId &id, uint64_t offset, Instant now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    it->second.machine.recordObserved(offset);
    completeFinishedRecords(now);
}

void LogWriter::Impl::appliedTo(uint64_t next, Instant now)
{
    m_folded = std::max(m_folded, next);
    for (auto &it : m_entries)
        it.second.machine.folded(m_folded);
    completeFinishedRecords(now);
    startDueAttempts(now);
}

void LogWriter::Impl::advance(Instant now)
{
    for (auto &it : m_entries) {
        if (it.second.deadline <= now)
            it.second.machine.deadlineReached();
    }
    completeFinishedRecords(now);
    startDueAttempts(now);
    readTail(now);
}

bool LogWriter::Impl::needsRead() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [](const auto &it) {
        return it.second.machine.state() == AppendState::ReadingBack;
    });
}

void LogWriter::Impl::startDueAttempts(Instant now)
{
    // Only the oldest records are in flight, so that at most maxInFlight later records of this
    // writer are appended before any given one.
    int inFlight = 0;
    for (auto it = m_entries.begin(); it != m_entries.end() && inFlight < m_options.maxInFlight;
         ++it, ++inFlight) {
        Entry &entry = it->second;
        if (entry.machine.state() == AppendState::Idle && entry.retryAt <= now
            && now < entry.deadline)
            startAttempt(it->first, entry);
    }
}

void LogWriter::Impl::startAttempt(const RecordId &id, Entry &entry)
{
    ++m_counters.attempts;
    m_counters.repeats += entry.attempts > 0 ? 1 : 0;
    ++entry.attempts;
    entry.machine.attemptStarted();
    m_client.append(m_options.stream, entry.data,
                    [weak = weak_from_this(), id](const Result<uint64_t> &offset, Instant now) {
                        if (const auto self = weak.lock())
                            self->onAppendAnswered(id, offset, now);
                    });
}

void LogWriter::Impl::onAppendAnswered(const RecordId &id, const Result<uint64_t> &offset,
                                       Instant now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    Entry &entry = it->second;
    entry.retryAt = now + m_options.retryDelay;
    if (offset.ok()) {
        entry.machine.appendConfirmed(*offset);
        entry.machine.folded(m_folded);
    } else if (offset.error().code == ErrorCode::Unavailable) {
        entry.machine.appendRefused(offset.error().reason);
    } else {
        ++m_counters.lostResponses;
        entry.machine.answerLost(offset.error().reason);
    }
    completeFinishedRecords(now);
    readTail(now);
}

// Reads the end of the stream on behalf of all records whose answers have been lost. If the fold
// reaches that offset without a record, the record had not been appended by then and is appended
// again.
void LogWriter::Impl::readTail(Instant now)
{
    if (m_isTailReadInFlight || now < m_lastTailReadAt + m_options.retryDelay)
        return;
    std::vector<RecordId> ids;
    for (const auto &it : m_entries) {
        if (it.second.machine.needsTailRead())
            ids.push_back(it.first);
    }
    if (ids.empty())
        return;
    m_isTailReadInFlight = true;
    m_lastTailReadAt = now;
    m_client.read(m_options.stream, m_folded, 1,
                  [weak = weak_from_this(), ids](const Result<LogPage> &page, Instant at) {
                      if (const auto self = weak.lock())
                          self->onTailRead(ids, page, at);
                  });
}

void LogWriter::Impl::onTailRead(const std::vector<RecordId> &ids, const Result<LogPage> &page,
                                 Instant now)
{
    m_isTailReadInFlight = false;
    if (!page.ok())
        return; // advance() retries the read
    for (const RecordId &id : ids) {
        const auto it = m_entries.find(id);
        if (it == m_entries.end())
            continue;
        it->second.machine.tailRead(page->next);
        it->second.machine.folded(m_folded);
    }
    completeFinishedRecords(now);
}

// Removes all finished records before running their callbacks, which may write new records.
void LogWriter::Impl::completeFinishedRecords(Instant now)
{
    std::vector<std::pair<Done, WriteOutcome>> finished;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        Entry &entry = it->second;
        if (entry.machine.state() != AppendState::Done) {
            ++it;
            continue;
        }
        const WriteOutcome &outcome = entry.machine.outcome();
        m_counters.appended += outcome.result == WriteResult::Appended ? 1 : 0;
        m_counters.notAppended += outcome.result == WriteResult::NotAppended ? 1 : 0;
        m_counters.unknown += outcome.result == WriteResult::Unknown ? 1 : 0;
        finished.emplace_back(std::move(entry.done), outcome);
        it = m_entries.erase(it);
    }
    for (auto &it : finished)
        it.first(it.second, now);
}

Result<std::unique_ptr<LogWriter>> LogWriter::create(LogClient &client, LogWriterOptions options,
                                                     uint64_t incarnation)
{
    if (options.maxInFlight < 1 || options.maxInFlight > 1'024)
        return Error{ErrorCode::InvalidArgument, "maxInFlight: must be between 1 and 1024"};
    if (options.stream.empty())
        return Error{ErrorCode::InvalidArgument, "stream: missing"};
    auto impl = std::make_shared<Impl>(client, std::move(options), incarnation);
    return std::unique_ptr<LogWriter>(new LogWriter(std::move(impl)));
}

LogWriter::LogWriter(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) { }
LogWriter::~LogWriter() = default;

RecordId LogWriter::nextId()
{
    return m_impl->nextId();
}

void LogWriter::setIncarnation(uint64_t incarnation)
{
    m_impl->setIncarnation(incarnation);
}

Result<void> LogWriter::write(const RecordId &id, std::string data, Instant now, Instant deadline,
                              Done done)
{
    return m_impl->write(id, std::move(data), now, deadline, std::move(done));
}

// The functions below hold a reference to the implementation, because a callback may destroy the
// writer.
void LogWriter::observed(const RecordId &id, uint64_t offset, Instant now)
{
    const auto impl = m_impl;
    impl->observed(id, offset, now);
}

void LogWriter::appliedTo(uint64_t next, Instant now)
{
    const auto impl = m_impl;
    impl->appliedTo(next, now);
}

void LogWriter::advance(Instant now)
{
    const auto impl = m_impl;
    impl->advance(now);
}

size_t LogWriter::pending() const
{
    return m_impl->pending();
}

bool LogWriter::needsRead() const
{
    return m_impl->needsRead();
}

const LogWriter::Counters &LogWriter::counters() const
{
    return m_impl->counters();
}

} // namespace cardamompaddle
