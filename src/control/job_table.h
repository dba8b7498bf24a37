// The state of every job, built from the records in the platform's log: submissions, cancellations
// and progress. Callers are answered from this table, so they only ever see stored state.
//
// Does no I/O and reads no clock. Not thread-safe.
#pragma once

#include "control/gateways.h"
#include "work/gen/work_types.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// Keys of the records in the jobs topic (job, cancel, admit) and in the work topic (all
// others).
namespace work_key {
std::string job(const std::string &id);
std::string cancel(const std::string &id);
// Sorts before job(), so that a load by keys finds the refusal of a job before the job.
std::string admission(const std::string &id);
// `part` is that of work::Progress.
std::string progress(const std::string &id, int32_t part = 0);
// Returns the job of a key that job() has returned; none for any other key.
std::optional<std::string> jobOfSubmission(const std::string &key);
// Returns the job of a key that progress() has returned; none for any other key.
std::optional<std::string> jobOfProgress(const std::string &key);
std::string member(const std::string &name);
std::string usedWorker(const std::string &id);
// Returns whether only a scheduler stores and removes records of this key.
bool isOfScheduler(const std::string &key);
inline constexpr const char *Tenure = "tenure";
inline constexpr const char *Usage = "usage";
} // namespace work_key

// The stored cancellation of a job.
struct JobCancellation
{
    bool ofAnyTeam = false; // acts on whatever job has the id
    std::set<std::string> teams; // otherwise on a job of these client accounts
};

// Whether a job with the id has been refused because of its account's backlog. Each id is refused
// at most once: an instance that accepts it afterwards lifts the refusal.
enum class JobAdmission : uint8_t {
    Open, // not refused
    Refused, // a submission has no effect
    Lifted, // submissions have effect again
};
// Values of the records of these states.
inline constexpr std::array<std::string_view, 3> JobAdmissionNames = {"open", "refused", "lifted"};

struct JobEntry
{
    // Null if not read yet, removed, or without effect because of a refusal.
    std::shared_ptr<const work::Submission> submission;
    std::shared_ptr<const work::Submission> refusedSubmission; // takes effect if that is lifted
    JobAdmission admission = JobAdmission::Open;
    std::unique_ptr<JobCancellation> cancellation; // null if none is stored
    std::unique_ptr<work::Progress> progress; // part 0; null if none is stored
    // The other parts by number; null if there are none.
    std::unique_ptr<std::map<int32_t, work::Progress>> laterParts;
    int64_t offset = 0; // of the submission in the jobs topic

    // Whether there is a cancellation and it acts on the job.
    bool isCancelled() const;
    work::JobState::type state() const;
    // Held time of the tenure at which the job ended; 0 if the log does not tell, also of a
    // cancelled job whose final record is not stored yet.
    int64_t endedAtHeldMs() const { return progress ? progress->endedAtHeldMs : 0; }
    // All parts of the progress, part 0 first.
    std::vector<const work::Progress *> progressParts() const;
};

class JobTable
{
public:
    // The part of the table that a record changed.
    enum class Change {
        None,
        Submitted,
        Cancelled,
        Refused,
        Progressed,
        Tenure,
        Member,
        UsedWorker,
        Usage
    };
    // Applies a record and sets `id` to the job, member or worker that it concerns. A record that
    // cannot be decoded changes no state. Errors: InvalidArgument if it cannot be decoded.
    Result<Change> apply(const KeyedRecord &record, std::string &id);

    // Returns null if there is no submission with this id.
    const JobEntry *find(const std::string &id) const;
    // Number of queued jobs of the route: no task has started and the job does not repeat.
    int64_t waitingCount(const std::string &route) const;
    // Returns the cancellation of a job that is not known; null if there is none.
    const JobCancellation *advanceCancellation(const std::string &id) const;
    // Number of cancellations that the client account has stored in advance and that act on no job.
    int64_t advanceCancellationCount(const std::string &team) const;
    // Ids of the cancellations that act on no job.
    const std::set<std::string> &idleCancellations() const { return m_idleCancellations; }
    const boost::unordered_flat_map<std::string, JobEntry> &entries() const { return m_entries; }
    const work::Tenure &tenure() const { return m_tenure; } // epoch 0 if none is stored
    const std::map<std::string, work::Member> &members() const { return m_members; }
    const std::map<std::string, work::UsedWorker> &usedWorkers() const { return m_usedWorkers; }
    JobAdmission admissionOf(const std::string &id) const;
    // Ids that have been refused and of which no submission is known.
    const std::set<std::string> &idleRefusals() const { return m_idleRefusals; }
    const work::Usage &usage() const { return m_usage; } // without accounts if none is stored
    // At most `limit` jobs that ended before the held time `heldMs`, in no particular order.
    // Includes jobs of which a record is left although the submission has been removed.
    std::vector<std::string> endedBefore(int64_t heldMs, size_t limit) const;

private:
    Result<Change> applyJob(const KeyedRecord &record, const std::string &kind,
                            const std::string &id, int32_t part);
    // Lets submissions of the entry have effect or not.
    static Change setAdmission(JobEntry &entry, JobAdmission admission);
    Result<Change> addSubmission(JobEntry &entry, const KeyedRecord &record, const std::string &id);
    Result<Change> applyUsage(const KeyedRecord &record);
    static void setPart(JobEntry &entry, work::Progress progress);
    // Removes the part of the entry that a record of this kind and part number holds.
    static void removePart(JobEntry &entry, const std::string &kind, int32_t part);
    // Adds the entry to the counts, or takes it out of them.
    void addToCounts(const std::string &id, const JobEntry &entry) { count(id, entry, 1); }
    void removeFromCounts(const std::string &id, const JobEntry &entry) { count(id, entry, -1); }
    void count(const std::string &id, const JobEntry &entry, int64_t delta);

    boost::unordered_flat_map<std::string, JobEntry> m_entries;
    std::map<std::string, int64_t> m_waitingCounts; // by route
    std::set<std::string> m_idleCancellations;
    std::set<std::string> m_idleRefusals;
    std::map<std::string, int64_t> m_advanceCancellationCounts; // by team
    work::Tenure m_tenure;
    std::map<std::string, work::Member> m_members;
    std::map<std::string, work::UsedWorker> m_usedWorkers;
    work::Usage m_usage;
};

} // namespace cardamompaddle
