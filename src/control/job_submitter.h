// Takes jobs and cancels from callers: stores them in the log in batches, then answers.
//
// Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"
#include "control/job_table.h"
#include "control/log_follower.h"
#include "platform/worker.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

enum class SubmitOutcome {
    Accepted, // stored
    Refused, // surely not stored: it never runs
    Unknown, // may be stored, now or later
    NotFound, // of a cancel: no such job
};
// Stable lower-case name, for example "not_found".
std::string_view submitOutcomeName(SubmitOutcome outcome);

class JobSubmitter
{
public:
    using Done = std::function<void(SubmitOutcome, const std::string &reason)>;

    // All arguments must outlive the submitter. `topic`: where jobs are kept. `stored` runs after
    // records were stored, with those whose offsets the log has told.
    // `elsewhere`: whether a peer can store what gets no answer here, so that one try is enough.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                 const JobTable &jobTable, LogFollower &follower, std::string topic, Stored stored,
                 std::function<bool()> elsewhere);
    ~JobSubmitter();
    JobSubmitter(const JobSubmitter &) = delete;
    JobSubmitter &operator=(const JobSubmitter &) = delete;

    // Stores the job; a job of the same id that is known already is Accepted as it is. `done` runs
    // by `deadline`. While the log gives no answers a job is Refused at once, unsent.
    void submit(const work::Submission &job, Instant deadline, Done done);
    void cancel(const std::string &id, Instant deadline, Done done);
    // Looks a job up; one that is not known here may have been accepted elsewhere a moment ago.
    // `entry` null: there is none. `current` false: the log does not answer, so nothing is certain.
    using FindDone = std::function<void(const JobEntry *entry, bool current)>;
    void find(const std::string &id, FindDone done);
    // Whether the last appends had no answer and another one is under way.
    bool isLogUnresponsive() const;

private:
    struct Entry
    {
        KeyedRecord record;
        std::string id;
        Instant deadline;
        Done done;
        int tries = 0; // without an answer
    };
    using Batch = std::shared_ptr<std::vector<Entry>>;

    void enqueue(Entry entry);
    void flush();
    void send(const Batch &batch);
    void onAppend(const Batch &batch, const AppendResult &answer);
    void finish(std::vector<Entry> &entries, SubmitOutcome outcome, const std::string &reason);
    void later(Duration wait, std::function<void()> action);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    KeyedLog &m_log;
    const JobTable &m_jobTable;
    LogFollower &m_follower;
    std::string m_topic;
    Stored m_stored;
    std::function<bool()> m_elsewhere;
    boost::asio::steady_timer m_flushTimer;
    bool m_flushArmed = false;
    int m_unanswered = 0; // appends in a row that had no answer
    std::vector<Entry> m_queue;
    size_t m_inFlight = 0; // records
    int m_calls = 0; // appends in flight
    Duration m_usualTime{0}; // of an append, smoothed
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
