#include "intake/append_queue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cardamompaddle {

namespace {

// The first append of a record has a short timeout, because an answer is lost more often than it is
// late. A slow log takes one append at a time, so an answer may come late because others are before
// it, for up to SlowLogQueueTime; a repetition would only make the queue longer.
constexpr Duration FirstTimeout{350};
constexpr Duration LaterTimeout{700};
constexpr Duration SlowLogQueueTime{2'000};
constexpr int SlowLogTimeoutFactor = 3; // multiplies the average duration of an append
constexpr Duration MaxTimeout{4'000};
constexpr int AverageDivisor = 4; // the latest append has a weight of 1/4

// While this many appends are in flight, further records wait for the next one, so that a slow log
// is not flooded.
constexpr size_t MaxAppendsInFlight = 2;
constexpr size_t MaxRecordsPerAppend = 100;
// From this many consecutive unanswered appends on, records that may still be refused are no longer
// sent.
constexpr int UnansweredBeforeRefusal = 2;

// Wait before a record is appended again, doubled with each failure up to the maximum. An append
// that took longer than the wait is repeated at once.
constexpr Duration RetryDelay{50};
constexpr Duration MaxRetryDelay{400};
constexpr Duration MaxRetryDelayIfRejected{100}; // fits into RejectionPatience several times
constexpr int MaxRetryDoublings = 3;
// A record that the log rejects is refused after this time. Shorter interruptions go unnoticed by
// callers; in longer ones they are better off with another instance. A slow log rejects appends
// until it has caught up.
constexpr Duration RejectionPatience{300};
constexpr Duration SlowLogPatience{1'000};

Duration retryDelay(int failures, bool inDoubt)
{
    return std::min(inDoubt ? MaxRetryDelay : MaxRetryDelayIfRejected,
                    RetryDelay * (1 << std::clamp(failures - 1, 0, MaxRetryDoublings)));
}

} // namespace

std::string_view submitOutcomeName(SubmitOutcome outcome)
{
    static constexpr std::array<std::string_view, 7> Names = {
        "accepted", "refused", "unknown", "not_found", "invalid", "limit_reached", "shed"};
    return Names[static_cast<size_t>(outcome)];
}

AppendQueue::RecordNumber AppendQueue::add(Instant deadline, Instant now, size_t bytes)
{
    Record record;
    record.bytes = bytes;
    record.deadline = deadline;
    record.addedAt = record.notBefore = now;
    m_records.emplace(m_nextRecord, std::move(record));
    return m_nextRecord++;
}

void AppendQueue::appendEnded(AppendNumber number, AppendEnd end, const std::string &reason,
                              Instant now)
{
    const auto it = m_inFlight.find(number);
    if (it == m_inFlight.end())
        return;
    const InFlight append = std::move(it->second);
    m_inFlight.erase(it);
    const Duration took = now - append.sentAt;
    m_consecutiveUnanswered = end == AppendEnd::Unanswered ? m_consecutiveUnanswered + 1 : 0;
    if (end == AppendEnd::Stored)
        m_averageAppendTime += (took - m_averageAppendTime) / AverageDivisor;
    for (const RecordNumber recordNumber : append.records) {
        const auto found = m_records.find(recordNumber);
        if (found == m_records.end())
            continue;
        Record &record = found->second;
        --record.inFlight;
        if (end == AppendEnd::Stored) {
            record.stored = true;
            continue;
        }
        // Which of several records the log does not take shows once each is sent by itself.
        if (end == AppendEnd::Rejected && append.records.size() > 1) {
            record.sentAlone = true;
            continue;
        }
        record.rejected = record.rejected || end == AppendEnd::Rejected;
        record.inDoubt = record.inDoubt || end == AppendEnd::Unanswered;
        ++record.failures;
        record.reason = reason;
        record.firstFailureAt = std::min(record.firstFailureAt, now);
        record.notBefore =
            std::max(now, append.sentAt + retryDelay(record.failures, record.inDoubt));
    }
}

void AppendQueue::found(RecordNumber record)
{
    if (const auto it = m_records.find(record); it != m_records.end())
        it->second.stored = true;
}

bool AppendQueue::hasRecordsInDoubt() const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [](const auto &it) { return it.second.inDoubt || it.second.inFlight > 0; });
}

bool AppendQueue::isLogUnresponsive() const
{
    return m_consecutiveUnanswered >= UnansweredBeforeRefusal && hasRecordsInDoubt();
}

std::optional<SubmitOutcome>
AppendQueue::outcomeOf(const Record &record, const LogCondition &condition, Instant now) const
{
    if (record.stored)
        return SubmitOutcome::Accepted;
    const bool pastDeadline = now >= record.deadline;
    // An append in flight may be carried out, whatever the earlier ones came to.
    if (record.inFlight > 0)
        return pastDeadline ? std::optional(SubmitOutcome::Unknown) : std::nullopt;
    if (record.rejected && !record.inDoubt)
        return SubmitOutcome::Invalid;
    if (record.inDoubt)
        return pastDeadline || condition.peerCanStore ? std::optional(SubmitOutcome::Unknown)
                                                      : std::nullopt;
    const bool refused = pastDeadline || isLogUnresponsive()
                         || (isHeldBack(record, condition)
                             && (condition.peerCanStore || now >= patienceEnd(record, condition)));
    return refused ? std::optional(SubmitOutcome::Refused) : std::nullopt;
}

// Returns whether the log has rejected the record, or would not be asked to store it now.
bool AppendQueue::isHeldBack(const Record &record, const LogCondition &condition)
{
    return record.failures > 0 || !condition.answersReads;
}

Instant AppendQueue::patienceEnd(const Record &record, const LogCondition &condition) const
{
    const Instant since = record.failures > 0 ? record.firstFailureAt : record.addedAt;
    return since + (isSlow(condition) ? SlowLogPatience : RejectionPatience);
}

bool AppendQueue::maySend(const Record &record, const LogCondition &condition, Instant now) const
{
    if (record.inFlight > 0 || record.notBefore > now)
        return false;
    return record.inDoubt || condition.answersReads;
}

std::vector<AppendQueue::RecordNumber> AppendQueue::nextBatch(const LogCondition &condition,
                                                              Instant now) const
{
    // One record alone tests a log that has left appends unanswered.
    const bool test = m_consecutiveUnanswered >= UnansweredBeforeRefusal && !hasRecordsInDoubt();
    const size_t most = test ? 1 : MaxRecordsPerAppend;
    std::vector<RecordNumber> out;
    size_t bytes = 0;
    for (const auto &[number, record] : m_records) {
        if (out.size() >= most)
            break;
        if (!maySend(record, condition, now))
            continue;
        const bool fits = bytes + record.bytes <= m_maxAppendBytes && !record.sentAlone;
        if (!out.empty() && !fits)
            continue;
        bytes += record.bytes;
        out.push_back(number);
        if (record.sentAlone)
            break;
    }
    return out;
}

bool AppendQueue::isSlow(const LogCondition &condition) const
{
    return std::max(m_averageAppendTime, condition.appendTime) >= SlowAppendTime;
}

Duration AppendQueue::timeoutFor(const Record &first, const LogCondition &condition) const
{
    if (isSlow(condition))
        return std::min(MaxTimeout,
                        SlowLogQueueTime
                            + SlowLogTimeoutFactor
                                  * std::max(m_averageAppendTime, condition.appendTime));
    return first.failures == 0 ? FirstTimeout : LaterTimeout;
}

AppendQueue::Append AppendQueue::beginAppend(std::vector<RecordNumber> records,
                                             const LogCondition &condition, Instant now)
{
    Append out;
    out.number = m_nextAppend++;
    out.sentAt = now;
    out.timeout = timeoutFor(m_records.at(records.front()), condition);
    for (const RecordNumber number : records)
        ++m_records.at(number).inFlight;
    m_inFlight[out.number] = {records, now};
    out.records = std::move(records);
    return out;
}

AppendQueue::Decisions AppendQueue::decide(const LogCondition &condition, Instant now)
{
    Decisions out;
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto outcome = outcomeOf(it->second, condition, now);
        if (!outcome) {
            ++it;
            continue;
        }
        const std::string reason = *outcome == SubmitOutcome::Accepted ? "stored"
                                   : it->second.reason.empty()         ? "the log does not answer"
                                                                       : it->second.reason;
        out.settled.push_back({it->first, *outcome, reason});
        it = m_records.erase(it);
    }
    // After an unanswered append, send one at a time, so that fewer outcomes come into doubt.
    const size_t maxInFlight = m_consecutiveUnanswered > 0 ? 1 : MaxAppendsInFlight;
    while (m_inFlight.size() < maxInFlight) {
        std::vector<RecordNumber> batch = nextBatch(condition, now);
        if (batch.empty())
            break;
        out.appends.push_back(beginAppend(std::move(batch), condition, now));
    }
    m_nextEvent.reset();
    const auto at = [this, now](Instant when) {
        const Instant later = std::max(when, now + Duration(1));
        m_nextEvent = m_nextEvent ? std::min(*m_nextEvent, later) : later;
    };
    for (const auto &[number, record] : m_records) {
        at(record.deadline);
        if (record.inFlight == 0 && record.notBefore > now)
            at(record.notBefore);
        if (!record.inDoubt && record.inFlight == 0 && isHeldBack(record, condition))
            at(patienceEnd(record, condition));
    }
    return out;
}

std::optional<Instant> AppendQueue::nextEvent() const
{
    return m_nextEvent;
}

} // namespace cardamompaddle
