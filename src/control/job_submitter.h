// Accepts or refuses jobs and accepts cancellations from callers: appends them to the log in
// batches and answers each caller once the outcome is known. AppendQueue decides what is sent when,
// and whom to tell what.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "control/job_table.h"
#include "control/log_follower.h"
#include "control/timer.h"
#include "intake/append_queue.h"
#include "platform/worker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle {

// How many cancellations of unknown jobs a client account may have stored at a time, and of how
// many accounts one id may have one.
inline constexpr int64_t MaxAdvanceCancellations = 500;
inline constexpr size_t MaxTeamsPerCancellation = 8;
// How long, in held time of the tenure, a cancellation is kept that acts on no job. Covers that an
// instance hands a job on to another one just before MaxSubmitTime has passed, which tries as long
// again, that its last append then waits for its timeout, and that the log carries it out up to 12
// s later.
inline constexpr Duration AdvanceCancellationRetention = 2 * MaxSubmitTime + Duration(20'000);

class JobSubmitter
{
public:
    using Done = std::function<void(SubmitOutcome, const std::string &reason)>;

    // Receives stored records with their offsets; an empty list if the log did not return them.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    // All references must outlive the submitter. `topic` holds submissions, cancellations and
    // refusals. `stored` is called after each append that was stored. `condition` returns what else
    // is known of the log. `refusalsPossible` returns whether another instance may refuse a job.
    JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                 const JobTable &jobTable, LogFollower &follower, std::string topic,
                 LogLimits limits, Stored stored, std::function<LogCondition()> condition,
                 std::function<bool()> refusalsPossible);
    ~JobSubmitter();
    JobSubmitter(const JobSubmitter &) = delete;
    JobSubmitter &operator=(const JobSubmitter &) = delete;

    // Stores the job and calls `done` with the outcome. A job whose id is already in the job table
    // is Accepted and not stored again. `done` runs by `deadline`, and is Unknown earlier only if a
    // peer can store the job. While isLogUnresponsive(), the job is Refused at once without being
    // sent. A job that is too large for the log is Invalid.
    // Of a job that was refused by refuse(), an attempt that the caller has made since then lifts
    // the refusal. Any other one is Shed. An attempt is taken to be a later one if the refusal was
    // known some ticks before, unless it is `repeated`: made anew on behalf of a caller.
    void submit(const work::Submission &job, bool repeated, Instant deadline, Done done);
    // Stores the cancellation of a job, with the same rules. Accepted without effect if the job is
    // in a terminal state. If the job is not known, an append of it may still be carried out, so a
    // cancellation in advance is stored that acts on a job of this team only; the outcome is then
    // NotFound, or LimitReached if the team has too many of them.
    void cancel(const std::string &id, const std::string &team, Instant deadline, Done done);
    // Refuses a job for good unless it is submitted again: stores a refusal, so that no append of
    // an earlier attempt takes effect, whichever instance has sent it. `done` gets false if the job
    // must not be refused: it is known, it may be in doubt here, it was refused before, or the log
    // does not confirm the refusal soon.
    void refuse(const std::string &id, std::function<void(bool refused)> done);
    // Looks a job up, and reads the log first if it is not in the job table, as another instance
    // may just have accepted it. `entry` is null if the job was not found; if `current` is false,
    // the log did not answer, or an append of this instance is in doubt, and the job may exist
    // nevertheless.
    using FindDone = std::function<void(const JobEntry *entry, bool current)>;
    void find(const std::string &id, FindDone done);
    // Must be called when a job that was read from the log has been added to the job table.
    void jobRead(const std::string &id);
    // Must be called when the refusal of a job has been read from the log.
    void refusalRead(const std::string &id) { m_newRefusals[id] = 0; }
    // Must be called regularly, some times a second, by a timer of the event loop.
    void tick();
    // Whether the latest appends got no answer and records in doubt are testing the log.
    bool isLogUnresponsive() const { return m_queue.isLogUnresponsive(); }

private:
    struct Entry
    {
        KeyedRecord record;
        std::string id;
        Done done;
        bool liftsRefusal = false; // of the job, in the same append
    };

    void tryRefuse(const std::string &id, Instant until, std::function<void(bool)> done);
    void refresh(const std::string &id, FindDone done);
    void cancelInAdvance(const std::string &id, const std::string &team, Instant deadline,
                         Done done);
    // Whether this instance is storing the job, or has got no answer and the log may still do it.
    bool isInDoubt(const std::string &id) const;
    void enqueue(Entry entry, Instant deadline);
    // Has update() run after `wait`, unless it is due earlier.
    void armTimer(Duration wait);
    void update();
    void send(const AppendQueue::Append &append);
    void onAppend(const AppendQueue::Append &append, const std::vector<KeyedRecord> &records,
                  const AppendResult &answer);
    bool hasNoEffect(const KeyedRecord &record) const;
    // Handles an append that was stored, once the records before it are known.
    void onStored(AppendQueue::AppendNumber number, const std::vector<KeyedRecord> &records);
    void confirmStored(AppendQueue::AppendNumber number, const std::vector<KeyedRecord> &records);
    void settle(const AppendQueue::Settled &settled);

    const Clock &m_clock;
    KeyedLog &m_log;
    const JobTable &m_jobTable;
    LogFollower &m_follower;
    std::string m_topic;
    LogLimits m_limits;
    Stored m_stored;
    std::function<LogCondition()> m_condition;
    std::function<bool()> m_refusalsPossible;
    AppendQueue m_queue;
    std::map<AppendQueue::RecordNumber, Entry> m_entries; // of the records in the queue
    // Jobs that this instance has got no answer for, and until when the log may still store them.
    std::map<std::string, Instant> m_inDoubtUntil;
    // Refusals that were read a few ticks ago, and how many. Requests that arrived before the
    // refusal was read may still be waiting to be handled, also after the process was suspended.
    std::map<std::string, int> m_newRefusals;
    // Number of cancellations in advance that are being stored, by team.
    std::map<std::string, int64_t> m_pendingAdvanceCancellations;
    Timer m_timer;
    bool m_timerArmed = false;
    Instant m_timerDue;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
