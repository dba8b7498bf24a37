// Accepts jobs and cancellations from callers: appends them to the log in batches and answers each
// caller once the outcome is known.
//
// Not thread-safe: use it only on the event loop's thread.
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
    Refused, // certainly not stored: the job never runs
    Unknown, // may have been stored, or may still be
    NotFound, // the job to cancel does not exist
};
// Returns the stable lower-case name, for example "not_found".
std::string_view submitOutcomeName(SubmitOutcome outcome);

class JobSubmitter
{
public:
    using Done = std::function<void(SubmitOutcome, const std::string &reason)>;

    // Receives stored records with their offsets; an empty list if the log did not return them.
    using Stored = std::function<void(const std::vector<KeyedRecord> &)>;
    // All references must outlive the submitter. `topic` holds submissions and cancellations.
    // `stored` is called after each append that was stored. `peerCanStore` returns whether a peer
    // can store a record for which this instance gets no answer, so that one try is enough here.
    JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                 const JobTable &jobTable, LogFollower &follower, std::string topic, Stored stored,
                 std::function<bool()> peerCanStore);
    ~JobSubmitter();
    JobSubmitter(const JobSubmitter &) = delete;
    JobSubmitter &operator=(const JobSubmitter &) = delete;

    // Stores the job and calls `done` with the outcome. A job whose id is already in the job table
    // is Accepted and not stored again. Retries stop early enough for `done` to run by
    // `deadline`. While isLogUnresponsive(), the job is Refused at once without being sent.
    void submit(const work::Submission &job, Instant deadline, Done done);
    // Stores the cancellation of a job, with the same rules. Accepted without effect if the job is
    // in a terminal state.
    void cancel(const std::string &id, Instant deadline, Done done);
    // Looks a job up, and reads the log first if it is not in the job table, as another instance
    // may just have accepted it. `entry` is null if the job was not found; if `current` is false,
    // the log did not answer and the job may exist nevertheless.
    using FindDone = std::function<void(const JobEntry *entry, bool current)>;
    void find(const std::string &id, FindDone done);
    // Whether the latest appends got no answer and records are still in flight.
    bool isLogUnresponsive() const;

private:
    struct Entry
    {
        KeyedRecord record;
        std::string id;
        Instant deadline;
        Done done;
        int tries = 0; // tries that did not get the record stored
    };
    using Batch = std::shared_ptr<std::vector<Entry>>;

    void enqueue(Entry entry);
    void flush();
    void send(const Batch &batch);
    void onAppend(const Batch &batch, const AppendResult &answer);
    void finish(std::vector<Entry> &entries, SubmitOutcome outcome, const std::string &reason);
    void runAfter(Duration wait, std::function<void()> action);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    KeyedLog &m_log;
    const JobTable &m_jobTable;
    LogFollower &m_follower;
    std::string m_topic;
    Stored m_stored;
    std::function<bool()> m_peerCanStore;
    boost::asio::steady_timer m_flushTimer;
    bool m_flushArmed = false;
    int m_consecutiveUnanswered = 0; // number of consecutive appends without an answer
    std::vector<Entry> m_queue;
    size_t m_recordsInFlight = 0; // includes records that wait for a retry
    int m_appendsInFlight = 0;
    Duration m_averageAppendTime{0}; // as an exponential moving average
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
