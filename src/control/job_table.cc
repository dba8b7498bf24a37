#include "control/job_table.h"

#include "work/codec.h"
#include "work/limits.h"

#include <charconv>
#include <utility>

namespace cardamompaddle {

namespace {

// Splits the rest of a part's key, "PART/ID". Returns none if it does not have this form.
std::optional<std::pair<int32_t, std::string>> parsePartKey(const std::string &rest)
{
    const size_t slash = rest.find('/');
    if (slash == std::string::npos)
        return std::nullopt;
    int32_t part = 0;
    const char *end = rest.data() + slash;
    const auto [parsedTo, ec] = std::from_chars(rest.data(), end, part);
    if (ec != std::errc() || parsedTo != end || part < 1 || part >= MaxProgressParts)
        return std::nullopt;
    return std::pair(part, rest.substr(slash + 1));
}

} // namespace

namespace work_key {

std::string job(const std::string &id)
{
    return "job/" + id;
}

std::string cancel(const std::string &id)
{
    return "cancel/" + id;
}

std::string admission(const std::string &id)
{
    return "admit/" + id;
}

std::string progress(const std::string &id, int32_t part)
{
    return part == 0 ? "progress/" + id : "part/" + std::to_string(part) + "/" + id;
}

std::optional<std::string> jobOfSubmission(const std::string &key)
{
    constexpr std::string_view Prefix = "job/";
    return key.starts_with(Prefix) ? std::optional(key.substr(Prefix.size())) : std::nullopt;
}

std::optional<std::string> jobOfProgress(const std::string &key)
{
    const size_t slash = key.find('/');
    const std::string kind = key.substr(0, slash);
    if (slash == std::string::npos || (kind != "progress" && kind != "part"))
        return std::nullopt;
    const std::string rest = key.substr(slash + 1);
    if (kind == "progress")
        return rest;
    const auto parsed = parsePartKey(rest);
    return parsed ? std::optional(parsed->second) : std::nullopt;
}

std::string member(const std::string &name)
{
    return "member/" + name;
}

bool isOfScheduler(const std::string &key)
{
    return key == Tenure || key == Usage || key.starts_with("worker/")
           || jobOfProgress(key).has_value();
}

std::string usedWorker(const std::string &id)
{
    return "worker/" + id;
}

} // namespace work_key

namespace {

// Stores the decoded record in the map, or erases its key if the record is a removal.
template <typename T>
Result<void> applyToMap(std::map<std::string, T> &map, const std::string &id,
                        const KeyedRecord &record)
{
    if (record.removed) {
        map.erase(id);
        return {};
    }
    auto value = decodeRecord<T>(record.value);
    if (!value)
        return value.error();
    map[id] = std::move(*value);
    return {};
}

// Decodes the stored job `id`. Errors: InvalidArgument, also for a job beyond the limits.
Result<work::Submission> decodeJob(const std::string &id, std::string_view value)
{
    auto job = decodeRecord<work::Submission>(value);
    if (!job)
        return job.error();
    if (job->id != id)
        return Error{ErrorCode::InvalidArgument, "the job has another id than its key"};
    if (const auto checked = checkLimits(*job); !checked)
        return checked.error();
    return job;
}

// Decodes progress. Errors: InvalidArgument, also for a state that does not exist and for another
// part than that of the key.
Result<work::Progress> decodeProgress(std::string_view value, int32_t part)
{
    auto progress = decodeRecord<work::Progress>(value);
    if (progress && progress->part != part)
        return Error{ErrorCode::InvalidArgument, "the progress has another part than its key"};
    if (progress
        && (progress->state < work::JobState::Queued
            || progress->state > work::JobState::Cancelled))
        return Error{ErrorCode::InvalidArgument, "unknown state"};
    return progress;
}

// A value that is no AdvanceCancellation acts on any job.
JobCancellation decodeCancellation(const std::string &value)
{
    JobCancellation out;
    const auto decoded = decodeRecord<work::AdvanceCancellation>(value);
    out.ofAnyTeam = !decoded || decoded->teams.empty();
    if (decoded)
        out.teams.insert(decoded->teams.begin(), decoded->teams.end());
    return out;
}

// Adds a cancellation to the stored one. Two accounts may cancel the same id at the same time, and
// then the later record does not name the earlier account.
void addCancellation(JobEntry &entry, JobCancellation added)
{
    if (!entry.cancellation)
        entry.cancellation = std::make_unique<JobCancellation>();
    entry.cancellation->ofAnyTeam = entry.cancellation->ofAnyTeam || added.ofAnyTeam;
    entry.cancellation->teams.merge(added.teams);
}

bool isWaiting(const JobEntry &entry)
{
    return entry.submission && entry.submission->repetitions == 0
           && entry.state() == work::JobState::Queued;
}

} // namespace

bool JobEntry::isCancelled() const
{
    return cancellation && submission
           && (cancellation->ofAnyTeam || cancellation->teams.contains(submission->team));
}

work::JobState::type JobEntry::state() const
{
    const auto stored = progress ? progress->state : work::JobState::Queued;
    // A cancellation after the job has ended has no effect.
    return isCancelled() && stored < work::JobState::Completed ? work::JobState::Cancelled : stored;
}

std::vector<const work::Progress *> JobEntry::progressParts() const
{
    std::vector<const work::Progress *> out;
    if (progress)
        out.push_back(progress.get());
    if (laterParts) {
        for (const auto &[number, part] : *laterParts)
            out.push_back(&part);
    }
    return out;
}

Result<JobTable::Change> JobTable::apply(const KeyedRecord &record, std::string &id)
{
    if (record.key == work_key::Tenure) {
        auto tenure = decodeRecord<work::Tenure>(record.value);
        if (!tenure)
            return tenure.error();
        m_tenure = std::move(*tenure);
        return Change::Tenure;
    }
    if (record.key == work_key::Usage)
        return applyUsage(record);
    const size_t slash = record.key.find('/');
    if (slash == std::string::npos)
        return Error{ErrorCode::InvalidArgument, "unknown key " + record.key};
    const std::string kind = record.key.substr(0, slash);
    id = record.key.substr(slash + 1);
    if (kind == "member") {
        const auto applied = applyToMap(m_members, id, record);
        return applied ? Result<Change>(Change::Member) : applied.error();
    }
    if (kind == "worker") {
        const auto applied = applyToMap(m_usedWorkers, id, record);
        return applied ? Result<Change>(Change::UsedWorker) : applied.error();
    }
    if (kind != "part")
        return applyJob(record, kind, id, 0);
    const auto parsed = parsePartKey(id);
    if (!parsed)
        return Error{ErrorCode::InvalidArgument, "unknown key " + record.key};
    id = parsed->second;
    return applyJob(record, kind, id, parsed->first);
}

Result<JobTable::Change> JobTable::applyUsage(const KeyedRecord &record)
{
    if (record.removed) {
        m_usage = {};
        return Change::Usage;
    }
    auto usage = decodeRecord<work::Usage>(record.value);
    if (!usage)
        return usage.error();
    m_usage = std::move(*usage);
    return Change::Usage;
}

void JobTable::setPart(JobEntry &entry, work::Progress progress)
{
    if (progress.part == 0) {
        entry.progress = std::make_unique<work::Progress>(std::move(progress));
        return;
    }
    if (!entry.laterParts)
        entry.laterParts = std::make_unique<std::map<int32_t, work::Progress>>();
    const int32_t part = progress.part;
    (*entry.laterParts)[part] = std::move(progress);
}

void JobTable::removePart(JobEntry &entry, const std::string &kind, int32_t part)
{
    if (kind == "job") {
        entry.submission.reset();
        entry.refusedSubmission.reset();
    } else if (kind == "admit") {
        entry.admission = JobAdmission::Open;
    } else if (kind == "cancel") {
        entry.cancellation.reset();
    } else if (part == 0) {
        entry.progress.reset();
    } else if (entry.laterParts) {
        entry.laterParts->erase(part);
        if (entry.laterParts->empty())
            entry.laterParts.reset();
    }
}

Result<JobTable::Change> JobTable::applyJob(const KeyedRecord &record, const std::string &kind,
                                            const std::string &id, int32_t part)
{
    if (record.removed) {
        // Each part of a job is removed by a record of its own; the entry goes with the last part.
        const auto it = m_entries.find(id);
        if (it == m_entries.end())
            return Change::None;
        JobEntry &entry = it->second;
        removeFromCounts(id, entry);
        removePart(entry, kind, part);
        const bool empty = !entry.submission && !entry.refusedSubmission && !entry.cancellation
                           && !entry.progress && !entry.laterParts
                           && entry.admission == JobAdmission::Open;
        if (empty)
            m_entries.erase(it);
        else
            addToCounts(id, entry);
        return Change::None;
    }
    JobEntry &entry = m_entries[id];
    removeFromCounts(id, entry);
    Result<Change> change = Error{ErrorCode::InvalidArgument, "unknown key " + record.key};
    if (kind == "cancel") {
        addCancellation(entry, decodeCancellation(record.value));
        change = Change::Cancelled;
    } else if (kind == "progress" || kind == "part") {
        auto progress = decodeProgress(record.value, part);
        change = progress ? Result<Change>(Change::Progressed) : progress.error();
        if (progress)
            setPart(entry, std::move(*progress));
    } else if (kind == "admit") {
        const bool lifted =
            record.value == JobAdmissionNames[static_cast<size_t>(JobAdmission::Lifted)];
        change = setAdmission(entry, lifted ? JobAdmission::Lifted : JobAdmission::Refused);
    } else if (kind == "job") {
        change = addSubmission(entry, record, id);
    }
    addToCounts(id, entry);
    return change;
}

JobTable::Change JobTable::setAdmission(JobEntry &entry, JobAdmission admission)
{
    // Records may be received ahead of reading those before them. A refusal is never renewed.
    if (entry.admission == JobAdmission::Lifted)
        return Change::None;
    entry.admission = admission;
    if (admission == JobAdmission::Lifted) {
        if (!entry.refusedSubmission)
            return Change::None;
        entry.submission = std::exchange(entry.refusedSubmission, nullptr);
        return Change::Submitted;
    }
    // A refusal is stored only before any submission, but a load may find the submission first.
    if (entry.submission)
        entry.refusedSubmission = std::exchange(entry.submission, nullptr);
    return Change::Refused;
}

Result<JobTable::Change> JobTable::addSubmission(JobEntry &entry, const KeyedRecord &record,
                                                 const std::string &id)
{
    if (entry.submission || entry.refusedSubmission)
        return Change::None; // a repeated submission is ignored
    auto decoded = decodeJob(id, record.value);
    if (!decoded)
        return decoded.error();
    auto submission = std::make_shared<const work::Submission>(std::move(*decoded));
    entry.offset = record.offset;
    if (entry.admission == JobAdmission::Refused) {
        entry.refusedSubmission = std::move(submission);
        return Change::None;
    }
    entry.submission = std::move(submission);
    return Change::Submitted;
}

void JobTable::count(const std::string &id, const JobEntry &entry, int64_t delta)
{
    if (isWaiting(entry))
        m_waitingCounts[entry.submission->route] += delta;
    if (entry.admission == JobAdmission::Refused && !entry.refusedSubmission)
        delta > 0 ? (void)m_idleRefusals.insert(id) : (void)m_idleRefusals.erase(id);
    if (!entry.cancellation || entry.isCancelled())
        return;
    delta > 0 ? (void)m_idleCancellations.insert(id) : (void)m_idleCancellations.erase(id);
    for (const std::string &team : entry.cancellation->teams) {
        const auto it = m_advanceCancellationCounts.try_emplace(team, 0).first;
        it->second += delta;
        if (it->second == 0)
            m_advanceCancellationCounts.erase(it);
    }
}

const JobEntry *JobTable::find(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || !it->second.submission ? nullptr : &it->second;
}

const JobCancellation *JobTable::advanceCancellation(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || it->second.submission ? nullptr : it->second.cancellation.get();
}

JobAdmission JobTable::admissionOf(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? JobAdmission::Open : it->second.admission;
}

int64_t JobTable::advanceCancellationCount(const std::string &team) const
{
    const auto it = m_advanceCancellationCounts.find(team);
    return it == m_advanceCancellationCounts.end() ? 0 : it->second;
}

int64_t JobTable::waitingCount(const std::string &route) const
{
    const auto it = m_waitingCounts.find(route);
    return it == m_waitingCounts.end() ? 0 : it->second;
}

std::vector<std::string> JobTable::endedBefore(int64_t heldMs, size_t limit) const
{
    std::vector<std::string> out;
    for (const auto &[id, entry] : m_entries) {
        if (out.size() >= limit)
            break;
        if (entry.endedAtHeldMs() != 0 && entry.endedAtHeldMs() < heldMs)
            out.push_back(id);
    }
    return out;
}

} // namespace cardamompaddle
