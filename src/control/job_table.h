// Every job as the platform's log has it: what was accepted, cancelled, and how far it is. Callers
// are answered from here, so they are shown nothing that is not stored.
//
// Core: no I/O and no clock. Not thread-safe.
#pragma once

#include "control/gateways.h"
#include "work/gen/work_types.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompaddle {

// Keys of the records in the work topic.
namespace work_key {
std::string job(const std::string &id);
std::string cancel(const std::string &id);
std::string progress(const std::string &id);
std::string member(const std::string &name);
std::string usedWorker(const std::string &id);
inline constexpr const char *Tenure = "tenure";
} // namespace work_key

struct JobEntry
{
    std::shared_ptr<const work::Submission> submission; // null: only a cancel or progress is known
    bool cancelled = false;
    std::unique_ptr<work::Progress> progress; // null: none stored yet
    int64_t offset = 0; // of the submission

    work::JobState::type state() const;
};

class JobTable
{
public:
    // What a record changed.
    enum class Change { None, Submitted, Cancelled, Progressed, Tenure, Member, UsedWorker };
    // `id` is set to the job, member or worker. A record that cannot be decoded changes nothing and
    // gives an error. Errors: InvalidArgument.
    Result<Change> apply(const KeyedRecord &record, std::string &id);

    // Null if no submission of that id is known.
    const JobEntry *find(const std::string &id) const;
    // Accepted jobs of the route, without due times, of which no task has started.
    int64_t waitingCount(const std::string &route) const;
    const boost::unordered_flat_map<std::string, JobEntry> &entries() const { return m_entries; }
    const work::Tenure &tenure() const { return m_tenure; } // epoch 0: none yet
    const std::map<std::string, work::Member> &members() const { return m_members; }
    const std::map<std::string, work::UsedWorker> &usedWorkers() const { return m_usedWorkers; }
    // Final jobs that were accepted before `unixMs`, oldest first, at most `most`.
    std::vector<std::string> terminalBefore(int64_t unixMs, size_t most) const;

private:
    Result<Change> applyJob(const KeyedRecord &record, const std::string &kind,
                            const std::string &id);
    void countWaiting(const JobEntry &entry, int64_t sign);

    boost::unordered_flat_map<std::string, JobEntry> m_entries;
    std::map<std::string, int64_t> m_waiting; // by route
    work::Tenure m_tenure;
    std::map<std::string, work::Member> m_members;
    std::map<std::string, work::UsedWorker> m_usedWorkers;
};

} // namespace cardamompaddle
