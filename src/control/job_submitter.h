// Accepts jobs and cancellations from callers: appends them to the log in batches and answers each
// caller once the outcome is known. AppendQueue decides what is sent when, and whom to tell what.
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

class JobSubmitter
{
public:
    using Done = std::function<void(SubmitOutcome, const std::string &reason)>;

    // Receives stored records with their offsets; an empty list if the log did not return them.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    // All references must outlive the submitter. `topic` holds submissions and cancellations.
    // `stored` is called after each append that was stored. `condition` returns what else is known
    // of the log.
    JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                 const JobTable &jobTable, LogFollower &follower, std::string topic,
                 LogLimits limits, Stored stored, std::function<LogCondition()> condition);
    ~JobSubmitter();
    JobSubmitter(const JobSubmitter &) = delete;
    JobSubmitter &operator=(const JobSubmitter &) = delete;

    // Stores the job and calls `done` with the outcome. A job whose id is already in the job table
    // is Accepted and not stored again. `done` runs by `deadline`, and is Unknown earlier only if a
    // peer can store the job. While isLogUnresponsive(), the job is Refused at once without being
    // sent. A job that is too large for the log is Invalid.
    void submit(const work::Submission &job, Instant deadline, Done done);
    // Stores the cancellation of a job, with the same rules. Accepted without effect if the job is
    // in a terminal state.
    void cancel(const std::string &id, Instant deadline, Done done);
    // Looks a job up, and reads the log first if it is not in the job table, as another instance
    // may just have accepted it. `entry` is null if the job was not found; if `current` is false,
    // the log did not answer and the job may exist nevertheless.
    using FindDone = std::function<void(const JobEntry *entry, bool current)>;
    void find(const std::string &id, FindDone done);
    // Must be called when a job that was read from the log has been added to the job table.
    void jobRead(const std::string &id);
    // Whether the latest appends got no answer and records in doubt are testing the log.
    bool isLogUnresponsive() const { return m_queue.isLogUnresponsive(); }

private:
    struct Entry
    {
        KeyedRecord record;
        std::string id;
        Done done;
    };

    void enqueue(Entry entry, Instant deadline);
    // Has update() run after `wait`, unless it is due earlier.
    void armTimer(Duration wait);
    void update();
    void send(const AppendQueue::Append &append);
    void onAppend(const AppendQueue::Append &append, const std::vector<KeyedRecord> &records,
                  const AppendResult &answer);
    void settle(const AppendQueue::Settled &settled);

    const Clock &m_clock;
    KeyedLog &m_log;
    const JobTable &m_jobTable;
    LogFollower &m_follower;
    std::string m_topic;
    LogLimits m_limits;
    Stored m_stored;
    std::function<LogCondition()> m_condition;
    AppendQueue m_queue;
    std::map<AppendQueue::RecordNumber, Entry> m_entries; // of the records in the queue
    Timer m_timer;
    bool m_timerArmed = false;
    Instant m_timerDue;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
