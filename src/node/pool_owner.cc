#include "node/pool_owner.h"

#include "metrics/names.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr int MaxDecisionsPerCall = 512;
constexpr Duration RepublishInterval{5'000};
constexpr Duration IntentWriteTimeout{5'000};
constexpr Duration RecordWriteTimeout{10'000};
// If the log is down, jobs are submitted without having read it to its tail after this time.
constexpr Duration LogReadTimeout{2'000};
constexpr Duration DecisionInterval{50};
constexpr Duration DemandUpdateInterval{50};
// Wait beyond the deadline, for an answer that is already on its way from the worker.
constexpr Duration AnswerGrace{100};

std::string holderName(const Tenure &tenure)
{
    return std::to_string(tenure.seat) + "." + std::to_string(tenure.incarnation) + "."
           + std::to_string(tenure.generation);
}

} // namespace

Result<std::unique_ptr<PoolOwner>> PoolOwner::create(const PoolSpec &pool, const Tenure &tenure,
                                                     const PoolOwnerServices &services,
                                                     std::optional<Instant> poolCreatedAt,
                                                     int32_t firstAttempt, Instant now)
{
    SchedulerOptions options;
    options.seed = tenure.incarnation;
    options.firstAttempt = firstAttempt;
    auto scheduler = PoolScheduler::create(pool, nullptr, options);
    if (!scheduler)
        return scheduler.error();
    auto client = QuotaClient::create(pool.name, tenure);
    if (!client)
        return client.error();
    return std::unique_ptr<PoolOwner>(new PoolOwner(pool, tenure, services, std::move(*scheduler),
                                                    std::move(*client), poolCreatedAt, now));
}

PoolOwner::PoolOwner(const PoolSpec &pool, const Tenure &tenure, const PoolOwnerServices &services,
                     PoolScheduler scheduler, QuotaClient client,
                     std::optional<Instant> poolCreatedAt, Instant now)
    : m_pool(pool), m_tenure(tenure), m_services(services), m_scheduler(std::move(scheduler)),
      m_quotaClient(std::move(client)), m_poolCreatedAt(poolCreatedAt), m_createdAt(now),
      m_now(now), m_longestLease(pool.taskLease), m_nextSequence(1)
{ }

PoolOwner::~PoolOwner() = default;

void PoolOwner::configure(const ConfigState &config, Instant now)
{
    const auto it = config.tables().pools.find(m_pool.name);
    if (it != config.tables().pools.end()) {
        m_pool = it->second;
        m_longestLease = std::max(m_longestLease, m_pool.taskLease);
        m_scheduler.setPool(m_pool);
    }
    m_scheduler.setRoutes(config.tables().routes);
    m_scheduler.setTeams(config.tables().teams);
    m_scheduler.setZonesOut(config.zonesOut(), now);
    m_directoryRevision = 0;
    m_needsAdvance = true;
}

void PoolOwner::setRemoteUsage(const std::map<std::string, int64_t> &shares)
{
    m_scheduler.setRemoteUsage(shares);
}

WorkerSession *PoolOwner::session(const WorkerId &worker)
{
    const auto it = m_sessions.find(worker);
    return it == m_sessions.end() ? nullptr : it->second.get();
}

void PoolOwner::updateSessions(Instant now)
{
    if (m_directoryRevision == m_services.directory.revision())
        return;
    m_directoryRevision = m_services.directory.revision();
    m_needsAdvance = true;
    std::set<WorkerId> listed;
    for (const WorkerInfo &info : m_services.directory.listed(m_pool)) {
        listed.insert(info.id);
        if (WorkerSession *known = session(info.id)) {
            known->setWorker(info);
            m_scheduler.workerUpdated(info, now);
            continue;
        }
        WorkerSessionOptions options;
        options.holder = holderName(m_tenure);
        m_sessions[info.id] =
            WorkerSession::create(m_services.workers, *this, info, std::move(options));
    }
    markUnlistedAsLeaving(listed, now);
}

void PoolOwner::markUnlistedAsLeaving(const std::set<WorkerId> &listed, Instant now)
{
    for (const auto &[id, it] : m_sessions) {
        if (listed.contains(id) || it->worker().leaving)
            continue;
        // A worker that is no longer listed has left or is about to leave.
        WorkerInfo info = it->worker();
        info.leaving = true;
        it->setWorker(info);
        m_scheduler.workerUpdated(info, now);
    }
    std::erase_if(m_sessions, [this, &listed](const auto &entry) {
        return !listed.contains(entry.first) && !entry.second->held()
               && m_scheduler.uncertainTasks(entry.first).empty();
    });
}

void PoolOwner::sessionAcquired(const WorkerInfo &worker, const SessionGrant &grant, Instant now)
{
    m_needsAdvance = true;
    m_everAcquired.insert(worker.id);
    for (const FinishedTask &it : grant.finished)
        taskFinished(worker, it, now);
    m_scheduler.workerAcquired(worker, grant.running, now);
    m_runningTaskCounts[worker.id] = static_cast<int>(grant.running.size());
    syncQuotaClient();
}

void PoolOwner::sessionLost(const WorkerInfo &worker, Instant now)
{
    m_needsAdvance = true;
    m_scheduler.workerLost(worker.id, now);
}

void PoolOwner::workerReported(const WorkerInfo &worker, const WorkerReport &report, Instant now)
{
    for (const FinishedTask &it : report.finished)
        taskFinished(worker, it, now);
    m_scheduler.usageReported(worker.id, report.running, now);
    m_runningTaskCounts[worker.id] = static_cast<int>(report.running.size());
    if (!report.finished.empty())
        m_needsAdvance = true;
}

void PoolOwner::startRefused(const WorkerInfo &worker, const TaskAttempt &attempt,
                             const std::string &, Instant now)
{
    m_needsAdvance = true;
    m_requests.startRefused(attempt.task.job);
    m_scheduler.startRefused(worker.id, attempt, now);
}

bool PoolOwner::mayStart(const std::string &team, int32_t count)
{
    const bool may = m_quotaClient.mayStart(team, count);
    m_limitReached = m_limitReached || !may;
    return may;
}

void PoolOwner::startDecided(const std::string &team)
{
    m_quotaClient.recordStart(team);
}

bool PoolOwner::mayStartNonRepeatable(const TaskId &task)
{
    if (m_requests.pending(task.job))
        return true;
    const Job *job = m_services.jobs.store().find(task.job);
    if (job == nullptr || job->ended() || job->cancelled)
        return false;
    if (job->intents.contains(task.index)) {
        // An owner starts a task only after it has read its own intent back. If the jobs were up to
        // date when this owner submitted them, an earlier owner's intent that was read later was
        // therefore never acted upon.
        if (m_requestedIntents.contains(task) || m_jobsUpToDate)
            return true;
        writeJobEnd(*job, JobState::Failed,
                    "task " + std::to_string(task.index)
                        + " may have been started by an earlier owner",
                    m_now);
        return false;
    }
    if (m_requestedIntents.insert(task).second) {
        const StartIntentRecord record{job->ref(), task.index, 1};
        m_services.jobs.write(
            record, m_now, m_now + IntentWriteTimeout,
            whileAlive([this, task](const JobService::RecordOutcome &outcome, Instant) {
                m_needsAdvance = true;
                // Of two intents of this member the first one counts, so a repeated write is safe.
                if (outcome.write.result != WriteResult::Appended)
                    m_requestedIntents.erase(task);
            }));
    }
    return false;
}

void PoolOwner::updateAllTasksKnown(Instant now)
{
    if (m_allTasksKnown)
        return;
    const Duration lease = withDrift(m_pool.taskLease);
    const auto since = m_services.directory.historySince();
    bool allKnown = now - m_createdAt >= lease;
    // A task that may still run was started within the last lease, after the pool was created.
    const Instant earliestStart = std::max(now - lease, m_poolCreatedAt.value_or(Instant::min()));
    if (!allKnown && since && *since <= earliestStart) {
        const auto recent = m_services.directory.listedSince(m_pool, earliestStart);
        allKnown = std::all_of(recent.begin(), recent.end(),
                               [this](const WorkerId &id) { return m_everAcquired.contains(id); });
    }
    if (!allKnown)
        return;
    m_allTasksKnown = true;
    m_needsAdvance = true;
    m_scheduler.allTasksKnown(now);
    syncQuotaClient();
    m_quotaClient.setComplete();
}

void PoolOwner::releaseLapsedTasks(Instant now)
{
    for (const auto &[id, it] : m_sessions) {
        if (it->held())
            continue;
        const auto uncertain = m_scheduler.uncertainTasks(id);
        if (uncertain.empty() || !it->leaseLapsed(m_longestLease, now))
            continue;
        m_needsAdvance = true;
        for (const TaskAttempt &attempt : uncertain)
            m_scheduler.releaseUncertain(attempt, now);
    }
}

void PoolOwner::request(const JobSpec &spec, Instant deadline, RequestDone done, Instant now)
{
    m_needsAdvance = true;
    m_now = now;
    if (m_requests.admit(spec, deadline, std::move(done), now) != RequestTable::Admission::New)
        return;
    if (m_scheduler.hasJob(spec.key)) {
        // An earlier owner started the request; it is answered when that attempt ends.
        m_requests.adopted(spec.key);
        return;
    }
    WorkItem item;
    item.spec = spec;
    item.deadline = deadline;
    // A repeated request may already run on a worker that has not been acquired yet.
    item.mayBeRunning = !m_allTasksKnown;
    item.sequence = m_nextSequence++;
    const auto queued = m_scheduler.submit(item, now);
    if (!queued)
        m_requests.refuse(spec.key, queued.error(), now);
}

void PoolOwner::finishWithError(const JobKey &key, ErrorCode code, const std::string &reason,
                                Instant now)
{
    RequestAnswer answer;
    answer.error = {code, reason};
    answer.executed = m_requests.mayHaveRun(key) ? Executed::Unknown : Executed::No;
    m_requests.finish(key, std::move(answer), now);
}

void PoolOwner::cancelRequest(const JobKey &key, Instant now)
{
    // Other callers may wait for the same request.
    if (m_requests.waiterCount(key) != 1)
        return;
    m_needsAdvance = true;
    m_scheduler.cancel(key, now);
    finishWithError(key, ErrorCode::Cancelled, "the caller disconnected", now);
}

JobService::WriteDone PoolOwner::whileAlive(JobService::WriteDone done) const
{
    return [alive = std::weak_ptr<bool>(m_alive),
            done = std::move(done)](const JobService::RecordOutcome &outcome, Instant now) {
        if (!alive.expired())
            done(outcome, now);
    };
}

void PoolOwner::submitKnownJobs(Instant now)
{
    // Results that an earlier owner recorded must be read before its tasks are placed again. While
    // the log is down they cannot be read, and repeatable tasks continue with the known state.
    const JobService &jobs = m_services.jobs;
    const bool upToDate = jobs.readAsOf() && *jobs.readAsOf() >= m_createdAt;
    if (m_jobsSubmitted || (!upToDate && (jobs.logUp() || now - m_createdAt < LogReadTimeout)))
        return;
    m_jobsSubmitted = true;
    m_jobsUpToDate = upToDate;
    for (const Job *job : jobs.store().unfinished(m_pool.name))
        submitJob(*job, !m_allTasksKnown, now);
}

void PoolOwner::submitJob(const Job &job, bool mayBeRunning, Instant now)
{
    if (!m_submittedJobs.insert(job.spec.key).second)
        return;
    m_needsAdvance = true;
    WorkItem item;
    item.spec = job.spec;
    item.sequence = m_nextSequence++;
    for (const auto &[index, result] : job.finished)
        item.finishedTasks.insert(index);
    item.attemptsUsed = job.attempts;
    for (const auto &[index, intent] : job.intents) {
        int32_t &attempts = item.attemptsUsed[index];
        attempts = std::max(attempts, intent.attempt);
    }
    item.alreadyAccepted = true;
    item.mayBeRunning = mayBeRunning;
    const auto queued = m_scheduler.submit(item, now);
    if (!queued)
        writeJobEnd(job, JobState::Failed, queued.error().reason, now);
}

void PoolOwner::jobChanged(const JobKey &key, Instant now)
{
    const Job *job = m_services.jobs.store().find(key);
    if (job == nullptr || job->spec.pool != m_pool.name)
        return;
    m_needsAdvance = true;
    if (job->ended()) {
        m_scheduler.cancel(key, now);
        m_submittedJobs.erase(key);
        m_pendingEndRecords.erase(key);
        m_failureReasons.erase(key);
        std::erase_if(m_requestedIntents, [&key](const TaskId &it) { return it.job == key; });
        return;
    }
    if (!m_jobsSubmitted)
        return;
    submitJob(*job, false, now);
    if (job->cancelled)
        m_scheduler.cancel(key, now);
    finishJobIfDone(*job, now);
}

void PoolOwner::finishJobIfDone(const Job &job, Instant now)
{
    if (job.ended())
        return;
    if (const auto it = m_failureReasons.find(job.spec.key); it != m_failureReasons.end()) {
        writeJobEnd(job, JobState::Failed, std::string(it->second), now);
        return;
    }
    if (job.cancelled) {
        if (!m_scheduler.hasJob(job.spec.key))
            writeJobEnd(job, JobState::Cancelled, "cancelled by its team", now);
        return;
    }
    if (job.finished.size() < static_cast<size_t>(job.spec.tasks))
        return;
    const auto failed = std::find_if(job.finished.begin(), job.finished.end(), [](const auto &it) {
        return it.second.outcome != TaskOutcome::Succeeded;
    });
    if (failed == job.finished.end())
        writeJobEnd(job, JobState::Succeeded, "", now);
    else
        writeJobEnd(job, JobState::Failed,
                    "task " + std::to_string(failed->first) + " failed: " + failed->second.output,
                    now);
}

void PoolOwner::writeJobEnd(const Job &job, JobState state, const std::string &reason, Instant now)
{
    const JobKey key = job.spec.key;
    if (state == JobState::Failed)
        m_failureReasons[key] = reason;
    if (!m_pendingEndRecords.insert(key).second)
        return;
    m_services.jobs.write(
        EndedRecord{job.ref(), state, reason}, now, now + RecordWriteTimeout,
        whileAlive([this, key](const JobService::RecordOutcome &outcome, Instant) {
            if (outcome.write.result != WriteResult::Appended)
                m_pendingEndRecords.erase(key);
        }));
}

void PoolOwner::taskFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now)
{
    const bool isNew = !m_unrecordedTasks.contains({finished.task, finished.attempt});
    if (isNew)
        m_services.metrics.counter(metric::Ended, {m_pool.name, taskOutcomeName(finished.outcome)})
            .add();
    if (finished.request)
        requestFinished(worker, finished, now);
    else
        jobTaskFinished(worker, finished, now);
}

void PoolOwner::requestFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now)
{
    const TaskAttempt attempt{finished.task, finished.attempt};
    if (WorkerSession *it = session(worker.id))
        it->acknowledge(attempt);
    const TaskDisposition disposition =
        m_scheduler.taskEnded(worker.id, attempt, finished.outcome, now);
    if (disposition != TaskDisposition::Finished)
        return;
    RequestAnswer answer;
    answer.ok = true;
    answer.output = finished.output;
    m_requests.finish(finished.task.job, std::move(answer), now);
}

void PoolOwner::jobTaskFinished(const WorkerInfo &worker, const FinishedTask &finished, Instant now)
{
    const TaskAttempt attempt{finished.task, finished.attempt};
    if (const auto it = m_unrecordedTasks.find(attempt); it != m_unrecordedTasks.end())
        return;
    const Job *job = m_services.jobs.store().find(finished.task.job);
    const TaskDisposition disposition =
        m_scheduler.taskEnded(worker.id, attempt, finished.outcome, now);
    const bool recorded =
        job == nullptr || job->ended() || job->finished.contains(finished.task.index);
    // A stop by this owner (preemption, cancellation, drain) does not count as a result of the
    // task.
    const bool stopped =
        finished.outcome == TaskOutcome::Stopped || finished.outcome == TaskOutcome::LeaseLapsed;
    const bool final =
        disposition == TaskDisposition::Finished || disposition == TaskDisposition::JobFailed
        || (disposition == TaskDisposition::Stale && finished.outcome == TaskOutcome::Succeeded);
    if (recorded || disposition == TaskDisposition::Dropped || (stopped && !final)
        || (disposition == TaskDisposition::Stale && !final)) {
        if (WorkerSession *it = session(worker.id))
            it->acknowledge(attempt);
        return;
    }
    UnrecordedTask unrecorded;
    unrecorded.entry.job = job->ref();
    unrecorded.entry.index = finished.task.index;
    unrecorded.entry.result = taskResult(finished.attempt, finished.outcome, finished.output);
    unrecorded.entry.final = final;
    unrecorded.worker = worker.id;
    m_unrecordedTasks.emplace(attempt, std::move(unrecorded));
}

void PoolOwner::flushFinishedTasks(Instant now)
{
    constexpr Duration FlushInterval{100};
    constexpr size_t MaxEntriesPerRecord = 200;
    if (m_unrecordedTasks.empty() || (m_lastFlush && now - *m_lastFlush < FlushInterval))
        return;
    m_lastFlush = now;
    TasksFinishedRecord record;
    std::vector<TaskAttempt> attempts;
    for (auto &[attempt, it] : m_unrecordedTasks) {
        if (it.writeInFlight || record.entries.size() >= MaxEntriesPerRecord)
            continue;
        it.writeInFlight = true;
        record.entries.push_back(it.entry);
        attempts.push_back(attempt);
    }
    if (attempts.empty())
        return;
    m_services.jobs.write(
        std::move(record), now, now + RecordWriteTimeout,
        whileAlive([this, attempts](const JobService::RecordOutcome &outcome, Instant) {
            finishedTasksWritten(attempts, outcome.write.result == WriteResult::Appended);
        }));
}

void PoolOwner::finishedTasksWritten(const std::vector<TaskAttempt> &attempts, bool appended)
{
    for (const TaskAttempt &attempt : attempts) {
        const auto it = m_unrecordedTasks.find(attempt);
        if (it == m_unrecordedTasks.end())
            continue;
        if (!appended) {
            it->second.writeInFlight = false;
            continue;
        }
        if (WorkerSession *held = session(it->second.worker))
            held->acknowledge(attempt);
        m_unrecordedTasks.erase(it);
    }
}

void PoolOwner::republishJobs(Instant now)
{
    if (m_lastRepublish && now - *m_lastRepublish < RepublishInterval)
        return;
    m_lastRepublish = now;
    JobService &jobs = m_services.jobs;
    jobs.republish(m_pool.name, jobs.retention(), now);
    // Retries Ended records that could not be written earlier.
    for (const Job *job : jobs.store().unfinished(m_pool.name))
        finishJobIfDone(*job, now);
}

void PoolOwner::failOverdueRequests(Instant now)
{
    for (const JobKey &key : m_requests.overdue(now - AnswerGrace)) {
        const bool mayHaveRun = m_requests.mayHaveRun(key);
        m_services.slo.recordMissedStart(m_requests.routeOf(key), now);
        m_scheduler.cancel(key, now);
        m_needsAdvance = true;
        finishWithError(key, mayHaveRun ? ErrorCode::OutcomeUnknown : ErrorCode::DeadlineExceeded,
                        "no answer before the deadline", now);
    }
}

void PoolOwner::decideIfDue(Instant now)
{
    // Events trigger a decision at once. The interval covers changes that come with time alone,
    // such as the end of a delay.
    if (!m_needsAdvance && m_lastDecision && now - *m_lastDecision < DecisionInterval)
        return;
    m_needsAdvance = false;
    m_lastDecision = now;
    decide(now);
}

void PoolOwner::decide(Instant now)
{
    std::vector<Decision> decisions;
    do {
        decisions = m_scheduler.decide(now, *this, MaxDecisionsPerCall);
        for (const Decision &it : decisions)
            execute(it, now);
    } while (decisions.size() >= MaxDecisionsPerCall);
    recordWaits(now);
}

void PoolOwner::execute(const Decision &decision, Instant now)
{
    switch (decision.kind) {
    case DecisionKind::Start:
        startTask(decision);
        break;
    case DecisionKind::Stop:
        if (WorkerSession *it = session(decision.worker))
            it->stop(decision.target);
        break;
    case DecisionKind::Checkpoint:
        if (WorkerSession *it = session(decision.worker))
            it->checkpoint(decision.target);
        break;
    case DecisionKind::Throttle:
        if (WorkerSession *it = session(decision.worker))
            it->throttle(decision.target, decision.cpuMilli);
        break;
    case DecisionKind::RejectRequest:
        rejectRequest(decision, now);
        break;
    case DecisionKind::JobFailed:
        jobFailed(decision, now);
        break;
    }
}

void PoolOwner::startTask(const Decision &decision)
{
    WorkerSession *target = session(decision.worker);
    invariant(target != nullptr && target->held(), "a start needs the worker's session",
              decision.worker);
    StartTask start = decision.start;
    start.lease = m_pool.taskLease;
    if (start.request)
        m_requests.started(start.task.job, decision.worker);
    m_services.metrics.counter(metric::Starts, {m_pool.name, start.task.job.team}).add();
    target->start(std::move(start));
}

void PoolOwner::rejectRequest(const Decision &decision, Instant now)
{
    if (decision.code == ErrorCode::DeadlineExceeded)
        m_services.slo.recordMissedStart(m_requests.routeOf(decision.job), now);
    finishWithError(decision.job, decision.code, decision.reason, now);
}

void PoolOwner::jobFailed(const Decision &decision, Instant now)
{
    if (m_requests.pending(decision.job))
        finishWithError(decision.job, decision.code, decision.reason, now);
    else if (const Job *job = m_services.jobs.store().find(decision.job))
        writeJobEnd(*job, JobState::Failed, decision.reason, now);
}

void PoolOwner::recordWaits(Instant now)
{
    for (const WaitSample &it : m_scheduler.takeWaitSamples()) {
        const double seconds = static_cast<double>(it.wait.count()) / 1000;
        m_services.metrics.histogram(metric::Wait, {it.route, m_pool.name}).observe(seconds);
        m_services.slo.recordStart(it.route, it.wait, now);
    }
}

void PoolOwner::syncQuotaClient()
{
    const auto running = m_scheduler.runningByTeam();
    for (const auto &[team, count] : running) {
        if (count > m_quotaClient.running(team))
            m_quotaClient.adopt(team, count - m_quotaClient.running(team));
    }
    for (const std::string &team : m_quotaClient.teams()) {
        const auto it = running.find(team);
        const int32_t count = it == running.end() ? 0 : it->second;
        while (m_quotaClient.running(team) > count)
            m_quotaClient.recordEnd(team);
    }
}

void PoolOwner::updateDemand(Instant now)
{
    if (m_lastDemandUpdate && now - *m_lastDemandUpdate < DemandUpdateInterval)
        return;
    if (!m_limitReached && !m_demandReported)
        return;
    m_lastDemandUpdate = now;
    m_demandReported = m_limitReached;
    std::map<std::string, int32_t> waiting;
    if (m_limitReached) {
        for (const QueueRow &row : m_scheduler.queueRows(now))
            waiting[row.team] += row.waitingTasks;
    }
    m_limitReached = false;
    for (const std::string &team : m_quotaClient.teams())
        m_quotaClient.setDemand(team, waiting[team]);
}

void PoolOwner::stopExcessTasks(Instant now)
{
    for (const std::string &team : m_quotaClient.teams()) {
        const int32_t excess = m_quotaClient.excess(team);
        if (excess > 0)
            m_scheduler.stopTeamExcess(team, excess, now);
    }
}

void PoolOwner::sendCommands(bool mayAct, Instant now)
{
    for (const auto &[id, it] : m_sessions) {
        const auto running = m_runningTaskCounts.find(id);
        const bool busy = (running != m_runningTaskCounts.end() && running->second > 0);
        it->advance(mayAct, busy, now);
    }
}

void PoolOwner::advance(bool mayAct, Instant now)
{
    m_now = now;
    updateSessions(now);
    releaseLapsedTasks(now);
    updateAllTasksKnown(now);
    if (mayAct && !m_stopping) {
        submitKnownJobs(now);
        syncQuotaClient();
        stopExcessTasks(now);
        decideIfDue(now);
        syncQuotaClient();
        updateDemand(now);
    }
    failOverdueRequests(now);
    flushFinishedTasks(now);
    if (mayAct)
        republishJobs(now);
    sendCommands(mayAct, now);
    m_requests.expire(now);
}

void PoolOwner::beginStop(Instant now)
{
    m_stopping = true;
    for (const JobKey &key : m_requests.pendingKeys()) {
        if (m_requests.mayHaveRun(key))
            continue;
        m_scheduler.cancel(key, now);
        finishWithError(key, ErrorCode::Unavailable, "this entry instance is stopping", now);
    }
}

bool PoolOwner::idle() const
{
    const bool inFlight = std::any_of(m_sessions.begin(), m_sessions.end(),
                                      [](const auto &it) { return it.second->commandInFlight(); });
    return m_requests.pendingCount() == 0 && !inFlight;
}

void PoolOwner::release(Instant now)
{
    for (const auto &[id, it] : m_sessions)
        it->release();
    for (const JobKey &key : m_requests.pendingKeys())
        finishWithError(key, ErrorCode::Unavailable, "the pool has moved to another entry instance",
                        now);
}

int PoolOwner::acquiredWorkers() const
{
    return static_cast<int>(std::count_if(m_sessions.begin(), m_sessions.end(),
                                          [](const auto &it) { return it.second->held(); }));
}

} // namespace cardamompaddle
