// The read-only member functions of JobStore.
#include "base/hash.h"
#include "jobs/job_store.h"

#include <algorithm>

namespace cardamompaddle {

std::string_view jobApplyKindName(JobApplyKind kind)
{
    switch (kind) {
    case JobApplyKind::Accepted:
        return "accepted";
    case JobApplyKind::Existing:
        return "existing";
    case JobApplyKind::Conflict:
        return "conflict";
    case JobApplyKind::TooLate:
        return "loser";
    case JobApplyKind::Duplicate:
        return "repeat";
    case JobApplyKind::Invalid:
        return "invalid";
    case JobApplyKind::Pending:
        return "pending";
    }
    return "unknown";
}

const Job *JobStore::find(const JobKey &key) const
{
    const auto it = m_jobs.find(key);
    return it == m_jobs.end() ? nullptr : &it->second.job;
}

bool JobStore::mayHaveUnfinishedJob(const JobKey &key) const
{
    for (auto it = m_pending.lower_bound({key, 0}); it != m_pending.end() && it->first.key == key;
         ++it) {
        const bool hasEnded =
            std::any_of(it->second.begin(), it->second.end(), [](const auto &entry) {
                return std::holds_alternative<EndedRecord>(entry.second.body);
            });
        if (!hasEnded)
            return true;
    }
    return false;
}

std::vector<const Job *> JobStore::unfinished(const std::string &pool) const
{
    std::vector<const Job *> jobs;
    const auto it = m_unfinishedByPool.find(pool);
    if (it == m_unfinishedByPool.end())
        return jobs;
    jobs.reserve(it->second.size());
    for (const auto &entry : it->second)
        jobs.push_back(&m_jobs.at(entry.second).job);
    return jobs;
}

std::optional<JobApplyOutcome> JobStore::outcomeOf(const RecordId &id) const
{
    const auto it = m_outcomes.find(id);
    return it == m_outcomes.end() ? std::nullopt : std::optional(it->second);
}

std::vector<JobRef> JobStore::dueForRepublication(const std::string &pool, Instant now,
                                                  Duration retention, size_t max) const
{
    std::vector<JobRef> refs;
    const auto it = m_unfinishedByPool.find(pool);
    if (it == m_unfinishedByPool.end())
        return refs;
    for (const auto &entry : it->second) {
        const Entry &job = m_jobs.at(entry.second);
        if (refs.size() < max
            && (!job.fullStateReadAt || now - *job.fullStateReadAt > retention / 2))
            refs.push_back(job.job.ref());
    }
    return refs;
}

std::optional<RepublishedRecord> JobStore::makeRepublishedRecord(const JobKey &key) const
{
    const Job *job = find(key);
    if (job == nullptr || job->ended())
        return std::nullopt;
    return RepublishedRecord{*job, m_nextOffset};
}

uint64_t JobStore::digest() const
{
    uint64_t sum = m_unfinishedCount;
    for (const auto &pool : m_unfinishedByPool) {
        for (const auto &entry : pool.second) {
            const Job &job = m_jobs.at(entry.second).job;
            sum += stableHash(formatJobRecord({RecordId(), RepublishedRecord{job, 1}}));
        }
    }
    return sum;
}

} // namespace cardamompaddle
