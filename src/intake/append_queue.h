// Settles the outcome of records that callers hand in and that are appended to a shared log.
//
// Pattern: idempotent retry until the outcome is known, with a circuit breaker. Appending the same
// record twice is harmless, so a record whose append got no answer is appended again until it is
// known to be stored or its caller's deadline has passed. A record that no append may have stored
// can be refused truthfully at any time. While the log does not answer, such records are therefore
// kept away from it: only records whose outcome is already in doubt test whether it answers again.
//
// An AppendQueue performs no I/O and reads no clock. The present time is an argument and must not
// decrease from call to call. Not thread-safe.
#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

enum class SubmitOutcome {
    Accepted, // stored
    Refused, // certainly not stored: the job never runs
    Unknown, // may have been stored, or may still be
    NotFound, // the job to cancel does not exist
    Invalid, // certainly not stored, and never will be: the log does not take such a record
    LimitReached, // certainly not stored: the client account has too many such records
    Shed, // refused because of its account's backlog: it never runs unless it is submitted again
};
// Returns the stable lower-case name, for example "not_found".
std::string_view submitOutcomeName(SubmitOutcome outcome);

// How one append has ended.
enum class AppendEnd {
    Stored,
    NotStored, // certainly, for example because the connection failed before it was sent
    Unanswered, // may have been carried out, or may still be
    Rejected, // certainly not stored: the log does not take at least one of the records
};

// An instance tries to store what a caller hands in for this long at most, however long the caller
// waits. Other instances rely on it.
inline constexpr Duration MaxSubmitTime{120'000};

// From this average duration of an append on, a log is slow.
inline constexpr Duration SlowAppendTime{40};

// What the owner of the queue knows of the log besides the queue's own appends.
struct LogCondition
{
    bool answersReads = true;
    // How long appends to it take on average, as others have measured; 0 if unknown.
    Duration appendTime{0};
    // Whether a peer can store records for which this process gets no answer. Such records are then
    // given up after one append, so that the caller's request can be forwarded.
    bool peerCanStore = false;
};

class AppendQueue
{
public:
    using RecordNumber = uint64_t;
    using AppendNumber = uint64_t;

    // An append to be sent now. Call appendEnded() once for each.
    struct Append
    {
        AppendNumber number = 0;
        std::vector<RecordNumber> records;
        Duration timeout{0};
        Instant sentAt;
    };
    struct Settled
    {
        RecordNumber record = 0;
        SubmitOutcome outcome = SubmitOutcome::Unknown;
        std::string reason; // human-readable
    };
    struct Decisions
    {
        std::vector<Append> appends;
        std::vector<Settled> settled; // each record once, at its deadline at the latest
    };

    // Appends hold at most `maxAppendBytes`, but at least one record.
    explicit AppendQueue(size_t maxAppendBytes = SIZE_MAX) : m_maxAppendBytes(maxAppendBytes) { }

    // Adds a record of `bytes` in an append, whose caller waits until `deadline`.
    RecordNumber add(Instant deadline, Instant now, size_t bytes = 0);
    // Handles the end of an append. `reason` is human-readable.
    void appendEnded(AppendNumber number, AppendEnd end, const std::string &reason, Instant now);
    // Handles a record that was read from the log, so it is stored. Ignored once it is settled.
    void found(RecordNumber record);
    // Returns what to send and whom to answer now. Call it after each of the functions above, when
    // the condition has changed, and at nextEvent().
    Decisions decide(const LogCondition &condition, Instant now);
    // Returns the earliest time at which decide() may return something although nothing else is
    // called before. Empty if the queue is empty.
    std::optional<Instant> nextEvent() const;

    // Whether the latest appends got no answer and records in doubt are testing the log.
    bool isLogUnresponsive() const;
    // Average duration of the appends that were answered.
    Duration averageAppendTime() const { return m_averageAppendTime; }
    size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        Instant deadline;
        Instant addedAt;
        size_t bytes = 0;
        // An append of several records was rejected that held it, so it is sent by itself.
        bool sentAlone = false;
        bool rejected = false; // by itself
        bool inDoubt = false; // an append of it may have been carried out
        bool stored = false;
        int inFlight = 0; // number of appends that hold it
        int failures = 0; // appends that did not get it stored
        Instant notBefore = Instant::min(); // of the next append
        Instant firstFailureAt = Instant::max();
        std::string reason; // of the last failure
    };
    struct InFlight
    {
        std::vector<RecordNumber> records;
        Instant sentAt;
    };

    // Returns the outcome of the record if it is to be settled now.
    std::optional<SubmitOutcome> outcomeOf(const Record &record, const LogCondition &condition,
                                           Instant now) const;
    static bool isHeldBack(const Record &record, const LogCondition &condition);
    // Returns when a record that is held back is refused.
    Instant patienceEnd(const Record &record, const LogCondition &condition) const;
    bool isSlow(const LogCondition &condition) const;
    std::vector<RecordNumber> nextBatch(const LogCondition &condition, Instant now) const;
    bool maySend(const Record &record, const LogCondition &condition, Instant now) const;
    Duration timeoutFor(const Record &first, const LogCondition &condition) const;
    Append beginAppend(std::vector<RecordNumber> records, const LogCondition &condition,
                       Instant now);
    bool hasRecordsInDoubt() const;

    size_t m_maxAppendBytes;
    std::map<RecordNumber, Record> m_records; // not settled, oldest first
    std::map<AppendNumber, InFlight> m_inFlight;
    RecordNumber m_nextRecord = 1;
    AppendNumber m_nextAppend = 1;
    int m_consecutiveUnanswered = 0;
    Duration m_averageAppendTime{0}; // as an exponential moving average
    std::optional<Instant> m_nextEvent;
};

} // namespace cardamompaddle
