#include "control/job_submitter.h"

#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration BatchTime{4}; // requests that arrive within it share a call
// The first try to store a record is short: an answer is lost more often than it is late, and
// storing a record twice changes nothing. A log that is slow for all gets longer.
constexpr Duration FirstTryTimeout{350};
constexpr int FirstTryUsualTimes = 3;
constexpr Duration LaterTryTimeout{700};
constexpr int MaxTries = 3;
// More jobs share the next append while these have no answer, so that a slow log is not flooded.
constexpr int MaxCalls = 2;
// After so many appends in a row without an answer, new jobs are refused at once and unsent while
// a call that may end the silence is under way.
constexpr int UnansweredToRefuse = 2;
constexpr Duration RetryDelay{100}; // after a refusal of the log
constexpr size_t MostPerBatch = 100;

// One part in so many of the usual time is the last append's.
constexpr int UsualTimeParts = 4;

} // namespace

std::string_view submitOutcomeName(SubmitOutcome outcome)
{
    static constexpr std::array<std::string_view, 4> Names = {"accepted", "refused", "unknown",
                                                              "not_found"};
    return Names[static_cast<size_t>(outcome)];
}

JobSubmitter::JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                           const JobTable &jobTable, LogFollower &follower, std::string topic,
                           Stored stored, std::function<bool()> elsewhere)
    : m_io(io), m_clock(clock), m_log(log), m_jobTable(jobTable), m_follower(follower),
      m_topic(std::move(topic)), m_stored(std::move(stored)), m_elsewhere(std::move(elsewhere)),
      m_flushTimer(io)
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
        // The value says that the key stays.
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
    return m_unanswered >= UnansweredToRefuse && m_inFlight > 0;
}

void JobSubmitter::enqueue(Entry entry)
{
    if (isLogUnresponsive())
        return entry.done(SubmitOutcome::Refused, "the log gives no answers");
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

void JobSubmitter::flush()
{
    m_flushArmed = false;
    if (isLogUnresponsive()) {
        std::vector<Entry> refused = std::exchange(m_queue, {});
        m_inFlight += refused.size();
        return finish(refused, SubmitOutcome::Refused, "the log gives no answers");
    }
    // While an answer is missing, nothing new is risked that could still be refused.
    const int mostCalls = m_unanswered > 0 ? 1 : MaxCalls;
    while (!m_queue.empty() && m_calls < mostCalls) {
        const size_t count = std::min(MostPerBatch, m_queue.size());
        const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(count);
        auto batch = std::make_shared<std::vector<Entry>>(std::make_move_iterator(m_queue.begin()),
                                                          std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        m_inFlight += batch->size();
        send(batch);
    }
}

void JobSubmitter::send(const Batch &batch)
{
    AppendRequest request;
    request.topic = m_topic;
    for (const Entry &entry : *batch)
        request.records.push_back(entry.record);
    ++m_calls;
    const Instant sentAt = m_clock.now();
    const Duration timeout =
        batch->front().tries > 0
            ? LaterTryTimeout
            : std::clamp(m_usualTime * FirstTryUsualTimes, FirstTryTimeout, LaterTryTimeout);
    m_log.append(std::move(request), timeout,
                 [this, alive = m_alive, batch, sentAt](const AppendResult &answer) {
                     if (!*alive)
                         return;
                     --m_calls;
                     const bool unanswered = answer.outcome == AppendOutcome::Unknown;
                     m_unanswered = unanswered ? m_unanswered + 1 : 0;
                     m_usualTime += (m_clock.now() - sentAt - m_usualTime) / UsualTimeParts;
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
    // What surely was not stored is refused at once, so that the caller can go elsewhere. A record
    // that may have been stored is stored again under the same key, which changes nothing.
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
            entry.tries >= MaxTries || m_elsewhere() || now + LaterTryTimeout >= entry.deadline;
        last ? unknown.push_back(std::move(entry)) : retry->push_back(std::move(entry));
    }
    finish(refused, SubmitOutcome::Refused, answer.reason);
    finish(unknown, SubmitOutcome::Unknown, answer.reason);
    if (!retry->empty())
        later(answer.outcome == AppendOutcome::Unknown ? Duration::zero() : RetryDelay,
              [this, retry] { send(retry); });
}

void JobSubmitter::finish(std::vector<Entry> &entries, SubmitOutcome outcome,
                          const std::string &reason)
{
    m_inFlight -= entries.size();
    for (Entry &entry : entries) {
        const bool known =
            m_jobTable.find(entry.id) != nullptr && entry.record.key == work_key::job(entry.id);
        entry.done(known ? SubmitOutcome::Accepted : outcome, reason);
    }
}

void JobSubmitter::later(Duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
    timer->async_wait(
        [timer, alive = m_alive, action = std::move(action)](const boost::system::error_code &) {
            if (*alive)
                action();
        });
}

} // namespace cardamompaddle
