#include "control/job_submitter.h"

#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration BatchDelay{4}; // batches requests into one append
// The first try has a short timeout, because an answer is lost more often than it is late, and
// storing a record twice is harmless. If appends are slow on average, the first try gets
// FirstTryTimeoutFactor times their average duration, up to LaterTryTimeout.
constexpr Duration FirstTryTimeout{350};
constexpr int FirstTryTimeoutFactor = 3;
constexpr Duration LaterTryTimeout{700};
constexpr int MaxTries = 3;
// While this many appends are in flight, further jobs wait for the next batch, so that a slow log
// is not flooded.
constexpr int MaxAppendsInFlight = 2;
// After this many consecutive appends without an answer, new jobs are refused at once, without
// being sent, as long as an append in flight may still show that the log answers again.
constexpr int UnansweredBeforeRefusal = 2;
constexpr Duration RetryDelay{100}; // after the log rejected a retry
constexpr size_t MaxBatchRecords = 100;
constexpr int AppendTimeAverageDivisor = 4; // the latest append has a weight of 1/4

} // namespace

std::string_view submitOutcomeName(SubmitOutcome outcome)
{
    static constexpr std::array<std::string_view, 4> Names = {"accepted", "refused", "unknown",
                                                              "not_found"};
    return Names[static_cast<size_t>(outcome)];
}

JobSubmitter::JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                           const JobTable &jobTable, LogFollower &follower, std::string topic,
                           Stored stored, std::function<bool()> peerCanStore)
    : m_io(io), m_clock(clock), m_log(log), m_jobTable(jobTable), m_follower(follower),
      m_topic(std::move(topic)), m_stored(std::move(stored)),
      m_peerCanStore(std::move(peerCanStore)), m_flushTimer(io)
{ }

JobSubmitter::~JobSubmitter()
{
    *m_alive = false;
}

void JobSubmitter::submit(const work::Submission &job, Instant deadline, Done done)
{
    if (m_jobTable.find(job.id) != nullptr)
        return done(SubmitOutcome::Accepted, "known");
    KeyedRecord record{work_key::job(job.id), encodeRecord(job), false, 0};
    enqueue({std::move(record), job.id, deadline, std::move(done)});
}

void JobSubmitter::cancel(const std::string &id, Instant deadline, Done done)
{
    find(id, [this, id, deadline, done = std::move(done)](const JobEntry *entry, bool current) {
        if (entry == nullptr)
            return done(current ? SubmitOutcome::NotFound : SubmitOutcome::Unknown,
                        current ? "no such job" : "the log does not answer");
        if (entry->state() >= work::JobState::Completed)
            return done(SubmitOutcome::Accepted, "final");
        // An empty value would remove the key.
        enqueue({{work_key::cancel(id), "1", false, 0}, id, deadline, done});
    });
}

void JobSubmitter::find(const std::string &id, FindDone done)
{
    if (const JobEntry *entry = m_jobTable.find(id))
        return done(entry, true);
    m_follower.refresh(
        [this, id, done = std::move(done)](bool current) { done(m_jobTable.find(id), current); });
}

bool JobSubmitter::isLogUnresponsive() const
{
    return m_consecutiveUnanswered >= UnansweredBeforeRefusal && m_recordsInFlight > 0;
}

void JobSubmitter::enqueue(Entry entry)
{
    if (isLogUnresponsive())
        return entry.done(SubmitOutcome::Refused, "the log does not answer");
    m_queue.push_back(std::move(entry));
    if (m_flushArmed)
        return;
    m_flushArmed = true;
    m_flushTimer.expires_after(BatchDelay);
    m_flushTimer.async_wait([this, alive = m_alive](const boost::system::error_code &) {
        if (*alive)
            flush();
    });
}

void JobSubmitter::flush()
{
    m_flushArmed = false;
    if (isLogUnresponsive()) {
        std::vector<Entry> refused = std::exchange(m_queue, {});
        m_recordsInFlight += refused.size();
        return finish(refused, SubmitOutcome::Refused, "the log does not answer");
    }
    // After an unanswered append, send one at a time: jobs that stay in the queue can still be
    // refused, while the outcome of sent ones may become unknown.
    const int maxAppends = m_consecutiveUnanswered > 0 ? 1 : MaxAppendsInFlight;
    while (!m_queue.empty() && m_appendsInFlight < maxAppends) {
        const size_t count = std::min(MaxBatchRecords, m_queue.size());
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
        auto batch = std::make_shared<std::vector<Entry>>(std::make_move_iterator(m_queue.begin()),
                                                          std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        m_recordsInFlight += batch->size();
        send(batch);
    }
}

void JobSubmitter::send(const Batch &batch)
{
    AppendRequest request;
    request.topic = m_topic;
    for (const Entry &entry : *batch)
        request.records.push_back(entry.record);
    ++m_appendsInFlight;
    const Instant sentAt = m_clock.now();
    const Duration timeout = batch->front().tries > 0
                                 ? LaterTryTimeout
                                 : std::clamp(m_averageAppendTime * FirstTryTimeoutFactor,
                                              FirstTryTimeout, LaterTryTimeout);
    m_log.append(std::move(request), timeout,
                 [this, alive = m_alive, batch, sentAt](const AppendResult &answer) {
                     if (!*alive)
                         return;
                     --m_appendsInFlight;
                     const bool unanswered = answer.outcome == AppendOutcome::Unknown;
                     m_consecutiveUnanswered = unanswered ? m_consecutiveUnanswered + 1 : 0;
                     m_averageAppendTime +=
                         (m_clock.now() - sentAt - m_averageAppendTime) / AppendTimeAverageDivisor;
                     onAppend(batch, answer);
                     if (!m_queue.empty() && !m_flushArmed)
                         flush();
                 });
}

void JobSubmitter::onAppend(const Batch &batch, const AppendResult &answer)
{
    if (answer.outcome == AppendOutcome::Stored) {
        std::vector<KeyedRecord> records;
        for (const Entry &entry : *batch)
            records.push_back(entry.record);
        assignOffsets(records, answer);
        m_stored(records);
        return finish(*batch, SubmitOutcome::Accepted, "stored");
    }
    // A record that was certainly not stored is refused at once, so that the caller can try another
    // instance. A record that may have been stored is appended again under the same key, which is
    // idempotent.
    const Instant now = m_clock.now();
    std::vector<Entry> refused;
    std::vector<Entry> unknown;
    auto retry = std::make_shared<std::vector<Entry>>();
    for (Entry &entry : *batch) {
        if (answer.outcome != AppendOutcome::Unknown && entry.tries == 0) {
            refused.push_back(std::move(entry));
            continue;
        }
        ++entry.tries;
        const bool last =
            entry.tries >= MaxTries || m_peerCanStore() || now + LaterTryTimeout >= entry.deadline;
        last ? unknown.push_back(std::move(entry)) : retry->push_back(std::move(entry));
    }
    finish(refused, SubmitOutcome::Refused, answer.reason);
    finish(unknown, SubmitOutcome::Unknown, answer.reason);
    if (!retry->empty())
        runAfter(answer.outcome == AppendOutcome::Unknown ? Duration::zero() : RetryDelay,
                 [this, retry] { send(retry); });
}

void JobSubmitter::finish(std::vector<Entry> &entries, SubmitOutcome outcome,
                          const std::string &reason)
{
    m_recordsInFlight -= entries.size();
    for (Entry &entry : entries) {
        const bool inJobTable =
            m_jobTable.find(entry.id) != nullptr && entry.record.key == work_key::job(entry.id);
        entry.done(inJobTable ? SubmitOutcome::Accepted : outcome, reason);
    }
}

void JobSubmitter::runAfter(Duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait(
        [timer, alive = m_alive, action = std::move(action)](const boost::system::error_code &) {
            if (*alive)
                action();
        });
}

} // namespace cardamompaddle
