#include "oracle.h"

#include <algorithm>
#include <array>

namespace cardamompaddle::soak {

namespace {

// Returns the job of a task, "JOB.OCCURRENCE.STEP.INDEX".
std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::string times(const CallRecord &record)
{
    return "sent at " + std::to_string(toMs(record.sentAt)) + " ms, ended at "
           + std::to_string(toMs(record.endedAt)) + " ms, instance " + record.instance;
}

} // namespace

std::string_view promiseName(Promise promise)
{
    static constexpr std::array<std::string_view, 10> Names = {
        "known",  "completed", "true-state",    "runs-once",    "starts",
        "placed", "answered",  "key-withdrawn", "cancel-holds", "stays-up"};
    return Names[static_cast<size_t>(promise)];
}

Oracle::Oracle(OracleOptions options, const Disturbances &disturbances)
    : m_options(options), m_disturbances(disturbances)
{ }

void Oracle::violated(Promise promise, Instant at, const std::string &what)
{
    if (m_reported.insert(std::string(promiseName(promise)) + " " + what).second)
        m_violations.push_back({promise, at, what});
}

void Oracle::violatedBound(Promise promise, Instant from, Instant at, const std::string &what)
{
    if (m_disturbances.isCalm(HarnessPart, from, at))
        violated(promise, at, what);
    else
        m_excused.insert(std::string(promiseName(promise)) + " " + what);
}

size_t Oracle::checked(Promise promise) const
{
    const auto it = m_checked.find(promise);
    return it == m_checked.end() ? 0 : it->second;
}

void Oracle::planned(const JobPlan &plan)
{
    Job &job = m_jobs[plan.id];
    job.plan = plan;
    for (const PlannedTask &it : plan.tasks) {
        job.tasks[it.name].step = it.step;
        job.tasks[it.name].runTime = it.runTime;
    }
}

void Oracle::keyWithdrawn(const std::string &key, Instant at)
{
    m_withdrawnKeys.emplace(key, at);
}

void Oracle::stopBegan(const std::string &instance, Instant at)
{
    m_stops[instance] = {at};
}

void Oracle::stopEnded(const std::string &instance, Instant at)
{
    if (const auto it = m_stops.find(instance); it != m_stops.end())
        it->second.ended = std::min(it->second.ended, at);
}

std::optional<Duration> Oracle::runTime(const std::string &task) const
{
    const auto job = m_jobs.find(jobOf(task));
    if (job == m_jobs.end() || job->second.plan.longRunning)
        return std::nullopt;
    const auto it = job->second.tasks.find(task);
    return it == job->second.tasks.end() ? Duration::zero() : it->second.runTime;
}

void Oracle::processEnded(const std::string &instance, const std::string &how, Instant at)
{
    violated(Promise::StaysUp, at, "process " + instance + " " + how);
}

void Oracle::cancelling(const std::string &job)
{
    m_jobs.at(job).cancelSent = true;
}

void Oracle::called(const CallRecord &record)
{
    checkAnswered(record);
    checkKey(record);
    const auto it = m_jobs.find(record.job);
    if (it == m_jobs.end())
        return;
    Job &job = it->second;
    const bool succeeded = record.status >= 200 && record.status < 300;
    if (record.kind == CallKind::Submit && succeeded && !job.acceptedAt)
        job.acceptedAt = record.endedAt;
    const bool cancelled = record.kind == CallKind::Cancel && (succeeded || record.status == 410);
    if (cancelled && !job.cancelledAt)
        job.cancelledAt = record.endedAt;
    if (record.kind == CallKind::State && succeeded)
        checkState(record, job);
    if (record.kind == CallKind::State && (succeeded || record.status == 410))
        checkKnown(record, job);
}

void Oracle::refused(const std::string &job)
{
    m_jobs.at(job).refused = true;
}

void Oracle::unanswered(const std::string &job, Instant at)
{
    violated(Promise::Known, at, "job " + job + " gets no answer");
}

void Oracle::checkState(const CallRecord &record, const Job &job)
{
    count(Promise::TrueState);
    const std::string where = "job " + record.job + " is shown as " + record.state + ", ";
    if (record.state == "completed" && !isDone(job))
        violated(Promise::TrueState, record.endedAt, where + "but has not: " + times(record));
    if (record.state == "failed")
        violated(Promise::TrueState, record.endedAt, where + "nothing failed: " + times(record));
    if (record.state == "cancelled" && !job.cancelSent)
        violated(Promise::TrueState, record.endedAt, where + "nobody cancelled: " + times(record));
}

bool Oracle::mustBeKnown(const std::string &id, Instant now) const
{
    const Job &job = m_jobs.at(id);
    const bool visible = job.acceptedAt && now - *job.acceptedAt >= m_options.visibleDelay;
    const bool kept = !job.lastDoneAt || now - *job.lastDoneAt < m_options.keepEnded;
    return visible && kept && !job.cancelSent;
}

void Oracle::checkKnown(const CallRecord &record, const Job &job)
{
    // The answer was decided after the request had been sent.
    if (!mustBeKnown(record.job, record.sentAt) || !mustBeKnown(record.job, record.endedAt))
        return;
    count(Promise::Known);
    if (record.status != 410)
        return;
    violated(Promise::Known, record.endedAt,
             "job " + record.job + ", accepted at " + std::to_string(toMs(*job.acceptedAt))
                 + " ms, is not known: " + times(record));
}

// Only a planned stop has to answer all requests.
void Oracle::checkAnswered(const CallRecord &record)
{
    const auto it = m_stops.find(record.instance);
    if (record.timedOut || it == m_stops.end())
        return;
    const Stop &stop = it->second;
    // A request that was sent to an instance that had gone is none of the stop's.
    if (record.endedAt < stop.began || record.sentAt >= stop.ended)
        return;
    ++m_callsAroundStops;
    const Instant from = record.sentAt - m_options.contactTime;
    if (!m_disturbances.isCalm(record.instance, from, record.endedAt)
        || !m_disturbances.isCalm(LogPart, from, record.endedAt))
        return;
    count(Promise::Answered);
    if (record.status == 0 && record.endedAt - record.sentAt > m_options.answerSlack)
        violatedBound(Promise::Answered, from, record.endedAt,
                      "a request of job " + record.job + " got no answer, "
                          + std::to_string((record.sentAt - stop.began).count())
                          + " ms after SIGTERM: " + times(record));
}

void Oracle::checkKey(const CallRecord &record)
{
    const auto it = m_withdrawnKeys.find(record.key);
    if (it == m_withdrawnKeys.end() || record.sentAt - it->second < m_options.configurationDelay)
        return;
    const Instant from = record.sentAt - m_options.contactTime;
    if (!m_disturbances.isCalm(record.instance, from, record.endedAt)
        || !m_disturbances.isCalm(LogPart, from, record.endedAt))
        return;
    count(Promise::KeyWithdrawn);
    if (record.status < 200 || record.status >= 300)
        return;
    violatedBound(Promise::KeyWithdrawn, from, record.endedAt,
                  "key " + record.key + ", withdrawn at " + std::to_string(toMs(it->second))
                      + " ms, admitted a call: " + times(record));
}

bool Oracle::isDone(const Job &job)
{
    return !job.plan.longRunning
           && std::all_of(job.tasks.begin(), job.tasks.end(),
                          [](const auto &it) { return it.second.done; });
}

void Oracle::checkPlaced(const Job &job, const Task &task, const std::string &worker,
                         const std::string &what, Instant at)
{
    count(Promise::Placed);
    int beside = 0;
    for (const auto &[name, other] : job.tasks) {
        if (other.step < task.step && !other.done)
            violated(Promise::Placed, at,
                     std::string(what).append(" before the end of ").append(name));
        if (other.step == task.step && other.running > 0 && other.runsOn == worker)
            ++beside;
    }
    if (job.plan.maxPerWorker > 0 && beside >= job.plan.maxPerWorker)
        violated(Promise::Placed, at,
                 what + " beside " + std::to_string(beside) + " tasks of its step");
}

// Holds also for a job that was unknown when it was cancelled.
void Oracle::checkCancelled(const Job &job, const std::string &what, Instant at)
{
    const Instant from = at - m_options.contactTime;
    if (!job.cancelledAt || !m_disturbances.allCalm(from, at))
        return;
    count(Promise::CancelHolds);
    if (at - *job.cancelledAt > m_options.cancelDelay)
        violatedBound(Promise::CancelHolds, from, at,
                      what + ", " + std::to_string((at - *job.cancelledAt).count())
                          + " ms after the cancellation of its job was answered");
}

void Oracle::ran(const emulator::RunEvent &event)
{
    const auto found = m_jobs.find(jobOf(event.task));
    if (found == m_jobs.end())
        return violated(Promise::RunsOnce, event.at, "task " + event.task + " is not planned");
    Job &job = found->second;
    Task &task = job.tasks[event.task];
    const std::string worker = event.worker + "/" + std::to_string(event.life);
    const std::string where =
        "task " + event.task + " run " + std::to_string(event.run) + " on " + worker;
    if (event.kind == emulator::RunEventKind::Started) {
        count(Promise::RunsOnce);
        if (job.refused)
            violated(Promise::RunsOnce, event.at, where + " of a job that was refused");
        if (task.running > 0)
            violated(Promise::RunsOnce, event.at, where + " beside a run on " + task.runsOn);
        if (task.acknowledged)
            violated(Promise::RunsOnce, event.at, where + " after its end was acknowledged");
        checkPlaced(job, task, worker, where, event.at);
        checkCancelled(job, where, event.at);
        ++task.running;
        task.runsOn = worker;
        return;
    }
    if (event.kind == emulator::RunEventKind::Acknowledged) {
        for (Task *it : representedBy(job, task))
            it->acknowledged = it->acknowledged || event.how == "done";
        return;
    }
    --task.running;
    task.endedAt = event.at;
    for (Task *it : representedBy(job, task))
        it->done = it->done || event.how == "done";
    if (isDone(job) && !job.lastDoneAt)
        job.lastDoneAt = event.at;
}

void Oracle::startedOnLeaving(const emulator::RunEvent &event, Instant since)
{
    const Instant from = since - m_options.contactTime;
    if (event.at - since <= m_options.drainTime || !m_disturbances.allCalm(from, event.at))
        return;
    violatedBound(Promise::Placed, from, event.at,
                  "task " + event.task + " starts on " + event.worker + ", which leaves since "
                      + std::to_string(toMs(since)) + " ms");
}

void Oracle::checkRunning(Instant now)
{
    // The wait of a rule and the calm time before it.
    constexpr Duration CalmTime{7'000};
    const Instant from = now - CalmTime;
    if (!m_disturbances.allCalm(from, now))
        return;
    for (const auto &[id, job] : m_jobs) {
        if (!job.plan.longRunning || !job.acceptedAt || job.cancelSent
            || now - *job.acceptedAt < CalmTime)
            continue;
        for (const auto &[name, task] : job.tasks) {
            count(Promise::Completed);
            if (task.running == 0 && now - task.endedAt > m_options.restartDelay)
                violatedBound(Promise::Completed, from, now,
                              "long-running task " + name + " does not run");
        }
    }
}

std::vector<Oracle::Task *> Oracle::representedBy(Job &job, Task &task)
{
    if (!job.plan.gang)
        return {&task};
    std::vector<Task *> out;
    for (auto &[name, it] : job.tasks) {
        if (it.step == task.step)
            out.push_back(&it);
    }
    return out;
}

int Oracle::gangSize(const std::string &task) const
{
    const auto job = m_jobs.find(jobOf(task));
    if (job == m_jobs.end() || !job->second.plan.gang)
        return 0;
    const auto found = job->second.tasks.find(task);
    if (found == job->second.tasks.end())
        return 0;
    int out = 0;
    for (const auto &[name, it] : job->second.tasks)
        out += it.step == found->second.step ? 1 : 0;
    return out;
}

std::map<std::string, int> Oracle::runningByWorker() const
{
    std::map<std::string, int> out;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &[name, task] : job.tasks)
            out[task.runsOn] += task.running;
    }
    return out;
}

std::map<int, Oracle::ReadyStep> Oracle::readySteps(const Job &job)
{
    std::map<int, ReadyStep> out;
    for (const auto &[name, task] : job.tasks) {
        ReadyStep &step = out[task.step];
        ++step.tasks;
        step.running += task.running > 0 ? 1 : 0;
        step.waiting += task.running == 0 && !task.done ? 1 : 0;
        step.waitsSince = std::max(step.waitsSince, task.endedAt);
    }
    Instant readyAt = *job.acceptedAt;
    for (auto it = out.begin(); it != out.end(); ++it) {
        it->second.waitsSince = std::max(it->second.waitsSince, readyAt);
        readyAt = it->second.waitsSince;
        if (it->second.running > 0 || it->second.waiting > 0) {
            out.erase(std::next(it), out.end()); // the later ones are not ready
            break;
        }
    }
    return out;
}

void Oracle::checkStarts(
    Instant now, const std::function<StartRoom(const std::string &step, int maxPerWorker)> &roomFor)
{
    const Duration bound = m_options.startDelay;
    const Instant from = now - m_options.startCalmTime - bound;
    if (!m_disturbances.allCalm(from, now))
        return;
    for (const auto &[id, job] : m_jobs) {
        if (!job.acceptedAt || job.cancelSent || isDone(job))
            continue;
        for (const auto &[number, step] : readySteps(job)) {
            const bool waits = step.waiting > 0 && (job.plan.gang || step.running == 0);
            if (step.running == 0 && step.waiting == 0)
                continue;
            const std::string name = id + ".0." + std::to_string(number);
            const StartRoom room = roomFor(name, job.plan.maxPerWorker);
            if (room.freePlaces < 2 * step.tasks)
                continue;
            count(Promise::Starts);
            // The room changes, so the text differs from check to check.
            if (!waits || now - step.waitsSince <= bound || m_reported.contains("starts " + name))
                continue;
            if (!m_disturbances.isCalm(HarnessPart, from, now)) {
                m_excused.insert("starts " + name);
                continue;
            }
            m_reported.insert("starts " + name);
            violated(Promise::Starts, now,
                     "step " + name + (job.plan.gang ? ", a gang" : "") + " of "
                         + std::to_string(step.tasks) + " tasks waits since "
                         + std::to_string(toMs(step.waitsSince)) + " ms with "
                         + std::to_string(room.freePlaces) + " places on "
                         + std::to_string(room.workers) + " workers");
        }
    }
}

void Oracle::checkFinal(Instant now)
{
    for (const auto &[id, job] : m_jobs) {
        if (!job.acceptedAt || job.cancelSent)
            continue;
        count(Promise::Completed);
        const bool runs = std::all_of(job.tasks.begin(), job.tasks.end(),
                                      [](const auto &it) { return it.second.running > 0; });
        if (job.plan.longRunning ? !runs : !isDone(job))
            violated(Promise::Completed, now,
                     "job " + id + (job.plan.longRunning ? " does not run" : " is not completed"));
    }
}

std::vector<std::string> Oracle::acceptedJobs() const
{
    std::vector<std::string> out;
    for (const auto &[id, job] : m_jobs) {
        if (job.acceptedAt && !job.cancelSent)
            out.push_back(id);
    }
    return out;
}

bool Oracle::isUnfinished(const std::string &id) const
{
    const Job &job = m_jobs.at(id);
    return job.acceptedAt && !job.cancelSent && !job.plan.longRunning && !isDone(job);
}

} // namespace cardamompaddle::soak
