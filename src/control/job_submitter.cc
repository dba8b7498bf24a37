#include "control/job_submitter.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration BatchDelay{4}; // batches requests into one append

// The log may carry out an append without an answer this much later.
constexpr Duration LatestAppend{12'000};
// An append that took this long is logged.
constexpr Duration LateAppendTime{200};
// A refusal is stored only if no record is appended between the read before it and its append. It
// is tried anew for this time.
constexpr Duration RefusalPatience{200};
constexpr Duration RefusalTimeout{350};
constexpr int NewRefusalTicks = 3;

AppendEnd appendEnd(AppendOutcome outcome)
{
    switch (outcome) {
    case AppendOutcome::Stored:
        return AppendEnd::Stored;
    case AppendOutcome::Unknown:
        return AppendEnd::Unanswered;
    case AppendOutcome::Rejected:
        return AppendEnd::Rejected;
    default:
        return AppendEnd::NotStored;
    }
}

KeyedRecord admissionRecord(const std::string &id, JobAdmission admission)
{
    const std::string_view value = JobAdmissionNames[static_cast<size_t>(admission)];
    return {work_key::admission(id), std::string(value), false, 0};
}

} // namespace

JobSubmitter::JobSubmitter(boost::asio::io_context &io, const Clock &clock, KeyedLog &log,
                           const JobTable &jobTable, LogFollower &follower, std::string topic,
                           LogLimits limits, Stored stored, std::function<LogCondition()> condition,
                           std::function<bool()> refusalsPossible)
    : m_clock(clock), m_log(log), m_jobTable(jobTable), m_follower(follower),
      m_topic(std::move(topic)), m_limits(limits), m_stored(std::move(stored)),
      m_condition(std::move(condition)), m_refusalsPossible(std::move(refusalsPossible)),
      m_queue(limits.maxAppendBytes), m_timer(io)
{ }

JobSubmitter::~JobSubmitter()
{
    *m_alive = false;
}

void JobSubmitter::submit(const work::Submission &job, bool repeated, Instant deadline, Done done)
{
    if (m_jobTable.find(job.id) != nullptr)
        return done(SubmitOutcome::Accepted, "known");
    KeyedRecord record{work_key::job(job.id), encodeRecord(job), false, 0};
    if (storedBytes(record) > m_limits.maxRecordBytes)
        return done(SubmitOutcome::Invalid, "the job takes " + std::to_string(storedBytes(record))
                                                + " bytes, more than "
                                                + std::to_string(m_limits.maxRecordBytes));
    const bool refused = m_jobTable.admissionOf(job.id) == JobAdmission::Refused;
    if (refused && (repeated || m_newRefusals.contains(job.id)))
        return done(SubmitOutcome::Shed, "an earlier attempt was refused");
    enqueue({std::move(record), job.id, std::move(done), refused}, deadline);
}

void JobSubmitter::refuse(const std::string &id, std::function<void(bool)> done)
{
    tryRefuse(id, m_clock.now() + RefusalPatience, std::move(done));
}

// The condition of the append makes sure that the log holds no submission before the refusal, so an
// accepted job is never refused.
void JobSubmitter::tryRefuse(const std::string &id, Instant until, std::function<void(bool)> done)
{
    if (m_clock.now() >= until || isLogUnresponsive())
        return done(false);
    m_follower.refresh([this, id, until, done = std::move(done)](bool current) {
        const bool open = m_jobTable.admissionOf(id) == JobAdmission::Open;
        if (!current || !open || m_jobTable.find(id) != nullptr || isInDoubt(id))
            return done(false);
        AppendRequest request;
        request.topic = m_topic;
        request.expectedEnd = m_follower.nextOffset();
        request.records.push_back(admissionRecord(id, JobAdmission::Refused));
        const auto ended = [this, alive = m_alive, id, until, done,
                            records = request.records](const AppendResult &answer) {
            if (!*alive)
                return;
            if (answer.outcome == AppendOutcome::ConditionFailed)
                return tryRefuse(id, until, done);
            if (answer.outcome != AppendOutcome::Stored)
                return done(false);
            std::vector<KeyedRecord> stored = records;
            assignOffsets(stored, answer);
            m_follower.applyReceived(stored);
            done(true);
        };
        m_log.append(std::move(request), RefusalTimeout, ended);
    });
}

void JobSubmitter::cancel(const std::string &id, const std::string &team, Instant deadline,
                          Done done)
{
    const auto found = [this, id, team, deadline, done = std::move(done)](const JobEntry *entry,
                                                                          bool current) {
        if (entry == nullptr && !current)
            return done(SubmitOutcome::Unknown, "the log does not answer");
        if (entry == nullptr)
            return cancelInAdvance(id, team, deadline, done);
        if (entry->state() >= work::JobState::Completed)
            return done(SubmitOutcome::Accepted, "final");
        // An empty value would remove the key.
        enqueue({{work_key::cancel(id), "1", false, 0}, id, done}, deadline);
    };
    refresh(id, found);
}

void JobSubmitter::cancelInAdvance(const std::string &id, const std::string &team, Instant deadline,
                                   Done done)
{
    std::set<std::string> teams;
    if (const JobCancellation *stored = m_jobTable.advanceCancellation(id)) {
        if (stored->ofAnyTeam || stored->teams.contains(team))
            return done(SubmitOutcome::NotFound, "no such job, cancelled in advance before");
        teams = stored->teams;
    }
    teams.insert(team);
    const auto pending = m_pendingAdvanceCancellations.find(team);
    const int64_t count = m_jobTable.advanceCancellationCount(team)
                          + (pending == m_pendingAdvanceCancellations.end() ? 0 : pending->second);
    if (count >= MaxAdvanceCancellations || teams.size() > MaxTeamsPerCancellation)
        return done(SubmitOutcome::LimitReached, "too many cancellations of unknown jobs");
    work::AdvanceCancellation cancellation;
    cancellation.teams.assign(teams.begin(), teams.end());
    ++m_pendingAdvanceCancellations[team];
    const auto settled = [this, id, team, done = std::move(done)](SubmitOutcome outcome,
                                                                  const std::string &reason) {
        if (--m_pendingAdvanceCancellations[team] == 0)
            m_pendingAdvanceCancellations.erase(team);
        if (outcome != SubmitOutcome::Accepted)
            return done(outcome, reason);
        // The job may have been stored meanwhile.
        const JobEntry *entry = m_jobTable.find(id);
        const bool cancelled = entry != nullptr && entry->isCancelled();
        done(cancelled ? SubmitOutcome::Accepted : SubmitOutcome::NotFound,
             cancelled ? reason : "no such job, cancelled in advance");
    };
    enqueue({{work_key::cancel(id), encodeRecord(cancellation), false, 0}, id, settled}, deadline);
}

void JobSubmitter::refresh(const std::string &id, FindDone done)
{
    if (const JobEntry *entry = m_jobTable.find(id))
        return done(entry, true);
    m_follower.refresh(
        [this, id, done = std::move(done)](bool current) { done(m_jobTable.find(id), current); });
}

void JobSubmitter::find(const std::string &id, FindDone done)
{
    refresh(id, [this, id, done = std::move(done)](const JobEntry *entry, bool current) {
        done(entry, current && (entry != nullptr || !isInDoubt(id)));
    });
}

bool JobSubmitter::isInDoubt(const std::string &id) const
{
    const auto it = m_inDoubtUntil.find(id);
    if (it != m_inDoubtUntil.end() && m_clock.now() < it->second)
        return true;
    const std::string key = work_key::job(id);
    return std::ranges::any_of(
        m_entries, [&key](const auto &entry) { return entry.second.record.key == key; });
}

void JobSubmitter::jobRead(const std::string &id)
{
    m_inDoubtUntil.erase(id);
    const std::string key = work_key::job(id);
    for (const auto &[number, entry] : m_entries) {
        if (entry.record.key != key)
            continue;
        m_queue.found(number);
        armTimer(Duration::zero());
    }
}

void JobSubmitter::enqueue(Entry entry, Instant deadline)
{
    const Instant now = m_clock.now();
    size_t bytes = storedBytes(entry.record);
    if (entry.liftsRefusal)
        bytes += storedBytes(admissionRecord(entry.id, JobAdmission::Lifted));
    const auto number = m_queue.add(std::min(deadline, now + MaxSubmitTime), now, bytes);
    m_entries.emplace(number, std::move(entry));
    armTimer(BatchDelay);
}

void JobSubmitter::armTimer(Duration wait)
{
    const Instant due = m_clock.now() + wait;
    if (m_timerArmed && m_timerDue <= due)
        return;
    m_timerArmed = true;
    m_timerDue = due;
    m_timer.expireAfter(wait);
    m_timer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        m_timerArmed = false;
        update();
    });
}

void JobSubmitter::update()
{
    const auto decisions = m_queue.decide(m_condition(), m_clock.now());
    for (const AppendQueue::Append &append : decisions.appends)
        send(append);
    if (const auto next = m_queue.nextEvent())
        armTimer(std::max(Duration::zero(), *next - m_clock.now()));
    for (const AppendQueue::Settled &settled : decisions.settled)
        settle(settled);
}

void JobSubmitter::send(const AppendQueue::Append &append)
{
    AppendRequest request;
    request.topic = m_topic;
    // AppendQueue repeats appends too: the records of a job and of a cancel are idempotent.
    request.repeatable = true;
    for (const AppendQueue::RecordNumber number : append.records) {
        const Entry &entry = m_entries.at(number);
        if (entry.liftsRefusal)
            request.records.push_back(admissionRecord(entry.id, JobAdmission::Lifted));
        request.records.push_back(entry.record);
    }
    m_log.append(
        request, append.timeout,
        [this, alive = m_alive, append, records = request.records](const AppendResult &answer) {
            if (*alive)
                onAppend(append, records, answer);
        });
}

void JobSubmitter::onAppend(const AppendQueue::Append &append,
                            const std::vector<KeyedRecord> &records, const AppendResult &answer)
{
    const Instant now = m_clock.now();
    const Duration took = now - append.sentAt;
    if (answer.outcome != AppendOutcome::Stored || took >= LateAppendTime)
        logWarn("jobs_append", "records=" + std::to_string(records.size())
                                   + " outcome=" + std::string(appendOutcomeName(answer.outcome))
                                   + " took_ms=" + std::to_string(took.count()) + " reason=\""
                                   + answer.reason + "\"");
    if (answer.outcome == AppendOutcome::Stored) {
        std::vector<KeyedRecord> stored = records;
        assignOffsets(stored, answer);
        return m_refusalsPossible() ? confirmStored(append.number, stored)
                                    : onStored(append.number, stored);
    }
    m_queue.appendEnded(append.number, appendEnd(answer.outcome), answer.reason, now);
    update();
}

void JobSubmitter::tick()
{
    for (auto it = m_newRefusals.begin(); it != m_newRefusals.end();)
        it = ++it->second > NewRefusalTicks ? m_newRefusals.erase(it) : std::next(it);
}

// Whether the record submits a job that was refused.
bool JobSubmitter::hasNoEffect(const KeyedRecord &record) const
{
    const auto id = work_key::jobOfSubmission(record.key);
    return id && m_jobTable.admissionOf(*id) == JobAdmission::Refused;
}

// A peer may not know the refusal of a job yet, so jobs without effect are not passed on.
void JobSubmitter::onStored(AppendQueue::AppendNumber number,
                            const std::vector<KeyedRecord> &records)
{
    m_follower.applyReceived(records);
    std::vector<KeyedRecord> effective;
    std::ranges::copy_if(records, std::back_inserter(effective),
                         [this](const KeyedRecord &it) { return !hasNoEffect(it); });
    m_stored(effective);
    m_queue.appendEnded(number, AppendEnd::Stored, "", m_clock.now());
    update();
}

// A job that another instance has refused before the append has no effect, so what precedes the
// append is read before a caller or a peer is told that the job is stored.
void JobSubmitter::confirmStored(AppendQueue::AppendNumber number,
                                 const std::vector<KeyedRecord> &records)
{
    const bool unreadBefore = records.empty() || records.front().offset > m_follower.nextOffset();
    if (!unreadBefore)
        return onStored(number, records);
    m_follower.refresh([this, alive = m_alive, number, records](bool current) {
        if (!*alive)
            return;
        if (current)
            return onStored(number, records);
        m_queue.appendEnded(number, AppendEnd::Unanswered, "the log does not answer reads",
                            m_clock.now());
        update();
    });
}

void JobSubmitter::settle(const AppendQueue::Settled &settled)
{
    auto node = m_entries.extract(settled.record);
    const Entry &entry = node.mapped();
    const bool isJob = entry.record.key == work_key::job(entry.id);
    const bool inJobTable = isJob && m_jobTable.find(entry.id) != nullptr;
    // An append that was stored, or may still be, has no effect after a refusal. The caller may
    // have been told so, and this attempt may be older than the refusal.
    const bool refused = isJob && m_jobTable.admissionOf(entry.id) == JobAdmission::Refused;
    if (refused && !entry.liftsRefusal && settled.outcome != SubmitOutcome::Invalid)
        return entry.done(SubmitOutcome::Shed, "refused by another instance meanwhile");
    if (isJob && !inJobTable && settled.outcome == SubmitOutcome::Unknown) {
        const Instant now = m_clock.now();
        std::erase_if(m_inDoubtUntil, [now](const auto &it) { return it.second <= now; });
        m_inDoubtUntil[entry.id] = now + LatestAppend;
    }
    entry.done(inJobTable ? SubmitOutcome::Accepted : settled.outcome, settled.reason);
}

} // namespace cardamompaddle
