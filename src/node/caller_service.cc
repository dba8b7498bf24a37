#include "node/caller_service.h"

#include "config/keys.h"
#include "jobs/job_record.h"
#include "metrics/names.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr Duration WriteTimeout{5'000};
constexpr size_t MaxIdLength = 128;

bool isValidId(const std::string &id)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.' || c == ':';
    };
    return !id.empty() && id.size() <= MaxIdLength && std::all_of(id.begin(), id.end(), allowed);
}

Error invalid(std::string reason)
{
    return {ErrorCode::InvalidArgument, std::move(reason)};
}

Resources declaredResources(const Submission &submission, const RouteSpec &route)
{
    const Resources &defaults = route.defaultResources;
    return {submission.cpuMilli.value_or(defaults.cpuMilli),
            submission.memoryMb.value_or(defaults.memoryMb),
            submission.accelerators.value_or(defaults.accelerators),
            submission.slots.value_or(defaults.slots),
            submission.connections.value_or(defaults.connections)};
}

// Returns the number of tasks of this size that fit on an empty worker.
int64_t tasksPerWorker(const Resources &perTask, const Resources &capacity)
{
    int64_t n = INT64_MAX;
    const auto limitBy = [&n](int64_t needed, int64_t available) {
        if (needed > 0)
            n = std::min(n, available / needed);
    };
    limitBy(perTask.cpuMilli, capacity.cpuMilli);
    limitBy(perTask.memoryMb, capacity.memoryMb);
    limitBy(perTask.accelerators, capacity.accelerators);
    limitBy(perTask.slots, capacity.slots);
    limitBy(perTask.connections, capacity.connections);
    return n;
}

} // namespace

CallerService::CallerService(Node &node) : m_node(node)
{
    m_node.setJobChanged([this](const JobKey &key, Instant now) { jobChanged(key, now); });
}

Result<std::string> CallerService::authenticate(const std::string &key) const
{
    return verifyKey(m_node.config(), key);
}

Result<void> CallerService::ready(Instant now) const
{
    const std::string reason = m_node.notReadyReason(now);
    if (!reason.empty())
        return Error{ErrorCode::Unavailable, reason};
    return {};
}

Result<JobSpec> CallerService::admit(const std::string &key, const Submission &submission,
                                     bool request, Instant now) const
{
    if (const auto it = ready(now); !it)
        return it.error();
    const Tables &tables = m_node.config().tables();
    const auto found = tables.routes.find(submission.route);
    // An open route needs no key, but a key that is given must be valid.
    const bool open = found != tables.routes.end() && found->second.open && key.empty();
    std::string team(OpenTeam);
    if (!open) {
        auto verified = authenticate(key);
        if (!verified)
            return verified.error();
        team = *verified;
    }
    if (found == tables.routes.end())
        return Error{ErrorCode::NotFound, "unknown route \"" + submission.route + "\""};
    const RouteSpec &route = found->second;
    if ((route.kind == WorkKind::Request) != request)
        return invalid("route \"" + route.name + "\" is for work of kind "
                       + std::string(workKindName(route.kind)));
    if (!isValidId(submission.id))
        return invalid("id: must be 1 to 128 letters, digits or \"-_.:\"");
    if (submission.tasks < 1 || submission.tasks > MaxTasksPerJob)
        return invalid("tasks: must be between 1 and " + std::to_string(MaxTasksPerJob));
    JobSpec spec;
    spec.key = {team, submission.id};
    spec.route = route.name;
    spec.pool = route.pool;
    spec.kind = route.kind;
    spec.tasks = request ? 1 : submission.tasks;
    spec.urgency = route.urgency;
    spec.perTask = declaredResources(submission, route);
    spec.repeatable = submission.repeatable;
    spec.payload = submission.payload;
    if (!spec.perTask.isNonNegative())
        return invalid("resources: must not be negative");
    if (const auto it = validateJobSpec(spec); !it)
        return it.error();
    if (const auto it = checkCapacity(spec); !it)
        return it.error();
    if (!request) {
        if (const auto it = checkJobQueue(spec, route); !it)
            return it.error();
    }
    return spec;
}

Result<void> CallerService::checkCapacity(const JobSpec &spec) const
{
    const auto pool = m_node.config().tables().pools.find(spec.pool);
    const auto workers = m_node.directory().listed(pool->second);
    if (workers.empty())
        return {}; // the list may be unavailable; the pool's owner decides
    int64_t tasks = 0;
    for (const WorkerInfo &it : workers)
        tasks += std::min<int64_t>(tasksPerWorker(spec.perTask, it.capacity), MaxTasksPerJob);
    const int64_t required = spec.kind == WorkKind::Gang ? spec.tasks : 1;
    if (tasks >= required)
        return {};
    return invalid("the job can never run: the workers of pool \"" + spec.pool + "\" hold "
                   + std::to_string(tasks) + " tasks of this size at once");
}

Result<void> CallerService::checkJobQueue(const JobSpec &spec, const RouteSpec &route) const
{
    // A repeated submission of an accepted job adds no work.
    if (m_node.jobs().store().find(spec.key) != nullptr)
        return {};
    const auto jobs = m_node.jobs().store().unfinished(spec.pool);
    const auto queued = std::count_if(jobs.begin(), jobs.end(), [&spec](const Job *it) {
        return it->spec.key.team == spec.key.team && it->spec.route == spec.route;
    });
    if (queued < route.maxQueuePerTeam)
        return {};
    return Error{ErrorCode::Overloaded, "team \"" + spec.key.team + "\" has "
                                            + std::to_string(queued)
                                            + " unfinished jobs in route \"" + route.name + "\""};
}

uint64_t CallerService::request(const std::string &key, const Submission &submission,
                                RequestDone done, Instant now)
{
    const auto spec = admit(key, submission, true, now);
    if (!spec) {
        m_node.metrics().counter(metric::Refused, {errorName(spec.error().code)}).add();
        RequestAnswer answer;
        answer.error = spec.error();
        answer.executed = Executed::No;
        done(answer, now);
        return 0;
    }
    m_node.metrics()
        .histogram(metric::Payload, {spec->route})
        .observe(static_cast<double>(spec->payload.size()));
    const Duration limit = m_node.config().tables().routes.at(spec->route).timeout;
    const Duration timeout = std::clamp(submission.timeout.value_or(limit), Duration(1), limit);
    return m_node.router().submit(
        *spec, now + timeout,
        [this, done = std::move(done)](const RequestAnswer &answer, Instant at) {
            if (!answer.ok)
                m_node.metrics().counter(metric::Refused, {errorName(answer.error.code)}).add();
            if (!answer.ok && answer.executed == Executed::Unknown)
                m_node.metrics().counter(metric::UnknownOutcomes).add();
            done(answer, at);
        },
        now);
}

void CallerService::callerDisconnected(uint64_t id, Instant now)
{
    m_node.router().cancel(id, now);
}

JobView CallerService::viewOf(const Job &job)
{
    JobView view;
    view.id = job.spec.key.id;
    view.state = job.state;
    view.tasks = job.spec.tasks;
    for (const auto &[index, result] : job.finished) {
        ++view.finished;
        if (result.outcome != TaskOutcome::Succeeded)
            ++view.failed;
    }
    view.reason = job.endReason;
    return view;
}

void CallerService::submit(const std::string &key, const Submission &submission, JobDone done,
                           Instant now)
{
    const auto spec = admit(key, submission, false, now);
    if (!spec) {
        m_node.metrics().counter(metric::Refused, {errorName(spec.error().code)}).add();
        done(spec.error(), Executed::No, now);
        return;
    }
    m_node.metrics()
        .histogram(metric::Payload, {spec->route})
        .observe(static_cast<double>(spec->payload.size()));
    const JobKey jobKey = spec->key;
    const JobStore &store = m_node.jobs().store();
    if (!store.synced() || store.mayHaveUnfinishedJob(jobKey)) {
        done(Error{ErrorCode::Unavailable,
                   "this entry instance has not read the whole log of jobs yet"},
             Executed::No, now);
        return;
    }
    if (const Job *job = m_node.jobs().store().find(jobKey)) {
        JobView view = viewOf(*job);
        view.existed = true;
        if (job->spec == *spec)
            done(view, Executed::Unknown, now);
        else
            done(Error{ErrorCode::Conflict, "the id belongs to another job of the team"},
                 Executed::No, now);
        return;
    }
    const SubmittedRecord record{*spec, m_node.jobs().store().nextOffset()};
    m_node.jobs().write(record, now, now + WriteTimeout,
                        [this, jobKey, done = std::move(done)](
                            const JobService::RecordOutcome &outcome, Instant at) {
                            submitted(jobKey, outcome, done, at);
                        });
}

void CallerService::submitted(const JobKey &key, const JobService::RecordOutcome &outcome,
                              const JobDone &done, Instant now) const
{
    if (outcome.write.result == WriteResult::NotAppended) {
        done(Error{ErrorCode::Unavailable, "the log refused the job: " + outcome.write.reason},
             Executed::No, now);
        return;
    }
    const Job *job = m_node.jobs().store().find(key);
    if (outcome.write.result == WriteResult::Unknown || !outcome.applied || job == nullptr) {
        done(Error{ErrorCode::OutcomeUnknown,
                   "the job may or may not be accepted; repeat it with the same id: "
                       + outcome.write.reason},
             Executed::Unknown, now);
        return;
    }
    if (outcome.applied->kind == JobApplyKind::Conflict) {
        done(Error{ErrorCode::Conflict, outcome.applied->reason}, Executed::No, now);
        return;
    }
    JobView view = viewOf(*job);
    view.existed = outcome.applied->kind == JobApplyKind::Existing;
    done(view, Executed::Unknown, now);
}

const Job *CallerService::findJob(const JobKey &key, const JobDone &done, Instant now) const
{
    const JobStore &store = m_node.jobs().store();
    const Job *job = store.find(key);
    if (job != nullptr)
        return job;
    if (!store.synced() || store.mayHaveUnfinishedJob(key))
        done(Error{ErrorCode::Unavailable,
                   "this entry instance has not read the whole log of jobs yet"},
             Executed::No, now);
    else
        done(Error{ErrorCode::NotFound, "unknown job \"" + key.id + "\""}, Executed::No, now);
    return nullptr;
}

void CallerService::job(const std::string &key, const std::string &id, Duration wait, JobDone done,
                        Instant now)
{
    const auto team = authenticate(key);
    if (!team) {
        done(team.error(), Executed::No, now);
        return;
    }
    const JobKey jobKey{*team, id};
    const Job *job = findJob(jobKey, done, now);
    if (job == nullptr)
        return;
    if (job->ended() || wait.count() <= 0)
        answerWithStatus(*job, std::move(done), now);
    else
        m_waiters.push_back({jobKey, now + wait, std::move(done)});
}

void CallerService::answerWithStatus(const Job &job, JobDone done, Instant now) const
{
    JobView view = viewOf(job);
    if (job.ended()) {
        done(view, Executed::Unknown, now);
        return;
    }
    m_node.queryOwner(
        job.spec.key, job.spec.pool,
        [view, done = std::move(done)](const std::optional<WhyAnswer> &answer, Instant at) {
            JobView known = view;
            known.running = answer ? answer->running : 0;
            if (known.state == JobState::Waiting && known.running > 0)
                known.state = JobState::Running;
            done(known, Executed::Unknown, at);
        },
        now);
}

void CallerService::cancel(const std::string &key, const std::string &id, JobDone done, Instant now)
{
    if (const auto it = ready(now); !it) {
        done(it.error(), Executed::No, now);
        return;
    }
    const auto team = authenticate(key);
    if (!team) {
        done(team.error(), Executed::No, now);
        return;
    }
    const JobKey jobKey{*team, id};
    const Job *job = findJob(jobKey, done, now);
    if (job == nullptr)
        return;
    if (job->ended() || job->cancelled) {
        done(viewOf(*job), Executed::Unknown, now);
        return;
    }
    m_node.jobs().write(CancelledRecord{job->ref()}, now, now + WriteTimeout,
                        [this, jobKey, done = std::move(done)](
                            const JobService::RecordOutcome &outcome, Instant at) {
                            submitted(jobKey, outcome, done, at);
                        });
}

void CallerService::jobChanged(const JobKey &key, Instant now)
{
    const Job *job = m_node.jobs().store().find(key);
    if (job == nullptr || !job->ended())
        return;
    std::vector<Waiter> ready;
    std::erase_if(m_waiters, [&](Waiter &it) {
        if (it.key != key)
            return false;
        ready.push_back(std::move(it));
        return true;
    });
    for (const Waiter &it : ready)
        it.done(viewOf(*job), Executed::Unknown, now);
}

void CallerService::advance(Instant now)
{
    std::vector<Waiter> overdue;
    std::erase_if(m_waiters, [&](Waiter &it) {
        if (now < it.deadline)
            return false;
        overdue.push_back(std::move(it));
        return true;
    });
    for (const Waiter &it : overdue) {
        if (const Job *job = m_node.jobs().store().find(it.key))
            answerWithStatus(*job, it.done, now);
        else
            it.done(Error{ErrorCode::NotFound, "the job is no longer known"}, Executed::No, now);
    }
}

} // namespace cardamompaddle
