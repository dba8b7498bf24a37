// Submission, queuing, cancellation and removal of jobs.
#include "scheduler/internal/core.h"

#include <algorithm>

namespace cardamompaddle::sched {
namespace {

constexpr int32_t MaxTasksPerJob = 1'000'000;

} // namespace

bool isQueued(const Job &job)
{
    return job.shapeQueue != nullptr;
}

Result<void> Core::submit(const WorkItem &item, Instant now)
{
    m_now = now;
    if (Result<void> ok = checkAdmission(item); !ok.ok()) {
        if (ok.error().code == ErrorCode::Overloaded)
            ++m_counters.refusedOverloaded;
        return ok;
    }
    Job &job = findOrAddJob(item.spec.key);
    job.item = item;
    job.submitted = true;
    job.submittedAt = now;
    job.counts = &m_routeTeamCounts[{item.spec.route, item.spec.key.team}];
    job.counts->running += job.running;
    initTasks(job, now);
    if (item.deadline) {
        m_deadlines.emplace(*item.deadline, job.serial, &job);
        job.hasDeadlineEntry = true;
    }
    if (item.mayBeRunning && !m_allTasksKnown)
        m_awaitingAdoption.push_back(item.spec.key);
    else
        enqueue(job, now);
    eraseIfDone(job);
    return {};
}

Result<void> Core::checkAdmission(const WorkItem &item) const
{
    const JobSpec &spec = item.spec;
    if (spec.tasks < 1 || spec.tasks > MaxTasksPerJob || !spec.perTask.isNonNegative())
        return Error{ErrorCode::InvalidArgument, "number of tasks or resources out of range"};
    const auto known = m_jobs.find(spec.key);
    if (known != m_jobs.end() && (known->second->submitted || known->second->ended))
        return Error{ErrorCode::Conflict, "job " + spec.key.toString() + " already exists"};
    if (item.alreadyAccepted)
        return {};
    int64_t places = 0;
    for (const auto &[capacity, count] : m_capacityCounts) {
        Resources left = usableCapacity(capacity);
        for (int32_t it = 0; it < spec.tasks && spec.perTask.fitsIn(left); ++it) {
            left -= spec.perTask;
            places += count;
            if (spec.kind != WorkKind::Gang || places >= spec.tasks)
                break;
        }
    }
    const int64_t needed = spec.kind == WorkKind::Gang ? spec.tasks : 1;
    if (!m_capacityCounts.empty() && places < needed)
        return Error{ErrorCode::InvalidArgument,
                     needed > 1 ? "job can never run: the workers of pool " + m_pool.name
                                      + " cannot hold " + std::to_string(needed) + " tasks of "
                                      + spec.perTask.toString() + " at the same time"
                                : "job can never run: no worker of pool " + m_pool.name
                                      + " has the capacity " + spec.perTask.toString()};
    const auto counts = m_routeTeamCounts.find({spec.route, spec.key.team});
    const auto route = m_routes.find(spec.route);
    const int32_t most =
        route == m_routes.end() ? RouteSpec{}.maxQueuePerTeam : route->second.maxQueuePerTeam;
    if (counts != m_routeTeamCounts.end() && counts->second.waitingJobs >= most)
        return Error{ErrorCode::Overloaded, "queue of team " + spec.key.team + " on route "
                                                + spec.route + " is full; its limit is "
                                                + std::to_string(most) + " waiting jobs"};
    return {};
}

Job &Core::findOrAddJob(const JobKey &key)
{
    std::unique_ptr<Job> &it = m_jobs[key];
    if (!it) {
        it = std::make_unique<Job>();
        it->serial = ++m_serial;
        it->item.spec.key = key;
        it->team = &findOrAddTeam(key.team);
        m_jobsBySerial[it->serial] = it.get();
    }
    return *it;
}

void Core::initTasks(Job &job, Instant now)
{
    const auto count = static_cast<size_t>(job.item.spec.tasks);
    if (job.tasks.size() < count)
        job.tasks.resize(count);
    for (const auto &[index, attempt] : job.item.attemptsUsed) {
        if (index < 0 || index >= job.item.spec.tasks)
            continue;
        Task &task = job.tasks[static_cast<size_t>(index)];
        task.lastAttempt = std::max(task.lastAttempt, attempt);
        task.mayHaveRun = true;
    }
    job.unfinished = 0;
    job.waiting.reserve(count);
    for (int32_t index = job.item.spec.tasks - 1; index >= 0; --index) {
        Task &task = job.tasks[static_cast<size_t>(index)];
        if (job.item.finishedTasks.contains(index))
            task.state = TaskState::Finished;
        if (task.state == TaskState::Finished)
            continue;
        ++job.unfinished;
        if (task.attempt) {
            task.attempt->repeatable = job.item.spec.repeatable;
            continue;
        }
        task.state = TaskState::Waiting;
        task.since = now;
        job.waiting.push_back(index);
    }
}

// Queues the job if it has a waiting task. A non-repeatable job fails instead if a waiting task may
// have run.
void Core::enqueue(Job &job, Instant now)
{
    if (isQueued(job) || job.waiting.empty() || job.ended)
        return;
    if (!job.item.spec.repeatable) {
        const bool unknown = std::any_of(job.waiting.begin(), job.waiting.end(), [&](int32_t it) {
            return job.tasks[static_cast<size_t>(it)].mayHaveRun;
        });
        if (unknown) {
            failJob(job, ErrorCode::OutcomeUnknown,
                    "an earlier attempt of a non-repeatable task may have run");
            return;
        }
    }
    job.queuedAt = now;
    m_queue.add(&job);
    ++job.counts->waitingJobs;
    job.counts->waitingTasks += static_cast<int32_t>(job.waiting.size());
    job.counts->waitingSince.emplace(now, job.serial);
    updateWaitingGangs(job, true);
}

void Core::dequeue(Job &job)
{
    if (!isQueued(job))
        return;
    m_queue.remove(&job);
    --job.counts->waitingJobs;
    job.counts->waitingTasks -= static_cast<int32_t>(job.waiting.size());
    job.counts->waitingSince.erase({job.queuedAt, job.serial});
    updateWaitingGangs(job, false);
    releaseReservations(job, 0);
}

void Core::requeueTask(Job &job, int32_t index, Instant now)
{
    Task &task = job.tasks[static_cast<size_t>(index)];
    task.state = TaskState::Waiting;
    task.since = now;
    job.waiting.push_back(index);
    if (isQueued(job))
        ++job.counts->waitingTasks;
    else
        enqueue(job, now);
}

void Core::removeWaiting(Job &job, size_t position)
{
    job.waiting.erase(job.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    --job.counts->waitingTasks;
    if (job.waiting.empty())
        dequeue(job);
}

void Core::cancel(const JobKey &key, Instant now)
{
    m_now = now;
    const auto it = m_jobs.find(key);
    if (it == m_jobs.end() || it->second->cancelled)
        return;
    Job &job = *it->second;
    job.cancelled = true;
    endJob(job, RemovalReason::Cancelled);
    eraseIfDone(job);
}

void Core::failJob(Job &job, ErrorCode code, const std::string &reason)
{
    if (job.ended)
        return;
    Decision decision;
    decision.kind = DecisionKind::JobFailed;
    decision.job = job.item.spec.key;
    decision.code = code;
    decision.executed = job.mayHaveRun() ? Executed::Unknown : Executed::No;
    decision.reason = reason;
    m_outbox.push_back(std::move(decision));
    ++m_counters.jobsFailed;
    endJob(job, RemovalReason::JobEnded);
}

bool Job::mayHaveRun() const
{
    return std::any_of(tasks.begin(), tasks.end(), [](const Task &it) { return it.mayHaveRun; });
}

void Core::endJob(Job &job, RemovalReason reason)
{
    job.ended = true;
    dequeue(job);
    job.waiting.clear();
    releaseReservations(job, 0);
    for (const Task &task : job.tasks) {
        if (task.attempt && !task.attempt->uncertain)
            requestRemoval(*task.attempt, reason, Duration(0), false);
    }
}

void Core::eraseIfDone(Job &job)
{
    if (job.running > 0 || (job.submitted && !job.ended && job.unfinished > 0))
        return;
    dequeue(job);
    releaseReservations(job, 0);
    if (job.hasDeadlineEntry)
        m_deadlines.erase({*job.item.deadline, job.serial, &job});
    for (size_t index = 0; index < job.tasks.size(); ++index) {
        const Task &task = job.tasks[index];
        if (task.state == TaskState::Delayed)
            m_delayed.erase({task.since, job.item.sequence, static_cast<int32_t>(index), &job});
    }
    m_jobsBySerial.erase(job.serial);
    const JobKey key = job.item.spec.key;
    m_jobs.erase(key);
}

} // namespace cardamompaddle::sched
