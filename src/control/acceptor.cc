#include "control/acceptor.h"

#include "work/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration BatchTime{4}; // requests that arrive within it share a call
constexpr Duration AppendTimeout{700};
constexpr Duration RetryDelay{100};
constexpr size_t MostPerBatch = 100;

} // namespace

Acceptor::Acceptor(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                   const JobBook &book, LogFollower &follower, std::string topic)
    : m_io(io), m_clock(clock), m_log(log), m_book(book), m_follower(follower),
      m_topic(std::move(topic)), m_flushTimer(io)
{ }

Acceptor::~Acceptor()
{
    *m_alive = false;
}

void Acceptor::submit(work::Submission job, Instant deadline, Done done)
{
    if (m_book.find(job.id) != nullptr)
        return done(AcceptOutcome::Accepted, "known");
    KeyedRecord record{work_key::job(job.id), encodeRecord(job), false, 0};
    enqueue({std::move(record), job.id, deadline, std::move(done)});
}

void Acceptor::cancel(const std::string &id, Instant deadline, Done done)
{
    find(id, [this, id, deadline, done = std::move(done)](const JobEntry *entry, bool current) {
        if (entry == nullptr)
            return done(current ? AcceptOutcome::NotFound : AcceptOutcome::Unknown,
                        current ? "no such job" : "the log does not answer");
        if (entry->state() >= work::JobState::Completed)
            return done(AcceptOutcome::Accepted, "final");
        // The value says that the key stays.
        enqueue({{work_key::cancel(id), "1", false, 0}, id, deadline, done});
    });
}

void Acceptor::find(const std::string &id, FindDone done)
{
    if (const JobEntry *entry = m_book.find(id))
        return done(entry, true);
    m_follower.refresh(
        [this, id, done = std::move(done)](bool current) { done(m_book.find(id), current); });
}

void Acceptor::enqueue(Entry entry)
{
    m_queue.push_back(std::move(entry));
    if (m_flushArmed)
        return;
    m_flushArmed = true;
    m_flushTimer.expires_after(BatchTime);
    m_flushTimer.async_wait([this, alive = m_alive](const boost::system::error_code &) {
        if (*alive)
            flush();
    });
}

void Acceptor::flush()
{
    m_flushArmed = false;
    while (!m_queue.empty()) {
        const size_t count = std::min(MostPerBatch, m_queue.size());
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
        auto batch = std::make_shared<std::vector<Entry>>(std::make_move_iterator(m_queue.begin()),
                                                          std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        m_inFlight += batch->size();
        send(batch);
    }
}

void Acceptor::send(const Batch &batch)
{
    AppendRequest request;
    request.topic = m_topic;
    for (const Entry &entry : *batch)
        request.records.push_back(entry.record);
    m_log.append(std::move(request), AppendTimeout,
                 [this, alive = m_alive, batch](const AppendAnswer &answer) {
                     if (*alive)
                         onAppend(batch, answer);
                 });
}

void Acceptor::onAppend(const Batch &batch, const AppendAnswer &answer)
{
    if (answer.outcome == AppendOutcome::Stored)
        return finish(*batch, AcceptOutcome::Accepted, "stored");
    // What surely was not stored is refused at once, so that the caller can go elsewhere. A record
    // that may have been stored is stored again under the same key, which changes nothing.
    std::vector<Entry> refused;
    std::vector<Entry> unknown;
    auto retry = std::make_shared<std::vector<Entry>>();
    const Instant next = m_clock.now() + RetryDelay + AppendTimeout;
    for (Entry &entry : *batch) {
        entry.maybeStored = entry.maybeStored || answer.outcome == AppendOutcome::Unknown;
        if (!entry.maybeStored)
            refused.push_back(std::move(entry));
        else if (next >= entry.deadline)
            unknown.push_back(std::move(entry));
        else
            retry->push_back(std::move(entry));
    }
    finish(refused, AcceptOutcome::Refused, answer.reason);
    finish(unknown, AcceptOutcome::Unknown, answer.reason);
    if (!retry->empty())
        later(RetryDelay, [this, retry] { send(retry); });
}

void Acceptor::finish(std::vector<Entry> &entries, AcceptOutcome outcome, const std::string &reason)
{
    m_inFlight -= entries.size();
    for (Entry &entry : entries) {
        const bool known =
            m_book.find(entry.id) != nullptr && entry.record.key == work_key::job(entry.id);
        entry.done(known ? AcceptOutcome::Accepted : outcome, reason);
    }
}

void Acceptor::later(Duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait(
        [timer, alive = m_alive, action = std::move(action)](const boost::system::error_code &) {
            if (*alive)
                action();
        });
}

} // namespace cardamompaddle
