#include "control/job_garbage_collector.h"

#include "control/job_submitter.h"
#include "logging/event_log.h"

#include <set>
#include <utility>
#include <vector>

namespace cardamompaddle {

namespace {

constexpr Duration CollectInterval{2'000};
constexpr Duration AppendTimeout{900};
constexpr size_t MaxJobsPerRun = 200;
constexpr size_t MaxIdleRecordsPerRun = 500; // of each kind
constexpr size_t MaxRecordsPerRun = 1'000; // of the work topic, before the last job

struct ForgottenJob
{
    std::string id;
    int64_t endedAtHeldMs = 0;
};

// `heldMs` is the held time at which the removal was decided.
void logForgotten(const std::vector<ForgottenJob> &jobs, int64_t heldMs)
{
    for (const ForgottenJob &job : jobs)
        logInfo("job_forgotten", "job=" + job.id
                                     + " ended_at_held_ms=" + std::to_string(job.endedAtHeldMs)
                                     + " held_ms=" + std::to_string(heldMs));
}

bool isStored(const AppendResult &answer)
{
    if (answer.outcome != AppendOutcome::Stored)
        logWarn("forget_failed", "reason=\"" + answer.reason + "\"");
    return answer.outcome == AppendOutcome::Stored;
}

} // namespace

JobGarbageCollector::JobGarbageCollector(KeyedLog &log, const JobTable &jobTable,
                                         std::string jobsTopic, std::string workTopic)
    : m_log(log), m_jobTable(jobTable), m_jobsTopic(std::move(jobsTopic)),
      m_workTopic(std::move(workTopic))
{ }

JobGarbageCollector::~JobGarbageCollector()
{
    *m_alive = false;
}

void JobGarbageCollector::collect(Instant now, int64_t heldMs, Duration retention)
{
    if (now - m_collectedAt < CollectInterval)
        return;
    m_collectedAt = now;
    AppendRequest jobs;
    AppendRequest work;
    jobs.topic = m_jobsTopic;
    work.topic = m_workTopic;
    std::vector<ForgottenJob> forgotten;
    for (const std::string &id :
         m_jobTable.endedBefore(heldMs - retention.count(), MaxJobsPerRun)) {
        if (work.records.size() >= MaxRecordsPerRun)
            break;
        const JobEntry &entry = m_jobTable.entries().at(id);
        forgotten.push_back({id, entry.endedAtHeldMs()});
        jobs.records.push_back({work_key::cancel(id), "", true, 0});
        jobs.records.push_back({work_key::job(id), "", true, 0});
        if (entry.admission != JobAdmission::Open)
            jobs.records.push_back({work_key::admission(id), "", true, 0});
        for (const work::Progress *part : entry.progressParts())
            work.records.push_back({work_key::progress(id, part->part), "", true, 0});
    }
    collectCancellations(heldMs, jobs.records);
    collectRefusals(heldMs, jobs.records);
    if (jobs.records.empty())
        return;
    // Remove the submission before the progress: a submission without progress would look like a
    // job that has never run.
    m_log.append(std::move(jobs), AppendTimeout,
                 [this, alive = m_alive, work, forgotten, heldMs](const AppendResult &answer) {
                     if (!isStored(answer) || !*alive)
                         return;
                     logForgotten(forgotten, heldMs);
                     if (work.records.empty())
                         return;
                     m_log.append(work, AppendTimeout,
                                  [](const AppendResult &result) { isStored(result); });
                 });
}

std::vector<std::string>
JobGarbageCollector::IdleRecords::expired(const std::set<std::string> &idle, int64_t heldMs)
{
    std::erase_if(sinceHeldMs, [&idle](const auto &it) { return !idle.contains(it.first); });
    std::vector<std::string> out;
    for (const std::string &id : idle) {
        const int64_t since = sinceHeldMs.try_emplace(id, heldMs).first->second;
        if (heldMs - since < AdvanceCancellationRetention.count())
            continue;
        out.push_back(id);
        if (out.size() >= MaxIdleRecordsPerRun)
            break;
    }
    return out;
}

void JobGarbageCollector::collectCancellations(int64_t heldMs, std::vector<KeyedRecord> &out)
{
    const std::set<std::string> &idle = m_jobTable.idleCancellations();
    const std::vector<std::string> expired = m_idleCancellations.expired(idle, heldMs);
    for (const std::string &id : expired)
        out.push_back({work_key::cancel(id), "", true, 0});
    if (!expired.empty())
        logInfo("cancellations_forgotten", "count=" + std::to_string(expired.size()) + " left="
                                               + std::to_string(idle.size() - expired.size()));
}

// A refusal with a submission that has no effect is kept: without it the job would run.
void JobGarbageCollector::collectRefusals(int64_t heldMs, std::vector<KeyedRecord> &out)
{
    for (const std::string &id : m_idleRefusals.expired(m_jobTable.idleRefusals(), heldMs))
        out.push_back({work_key::admission(id), "", true, 0});
}

} // namespace cardamompaddle
