// Jobs: their steps and the effect of task outcomes on them.

#include "dispatch/internal/impl.h"

#include <algorithm>

namespace cardamompaddle {

using namespace dispatch;

namespace {

// Backoff before a failed task runs again, doubled with each further failure.
constexpr Duration RetryDelay{10};
constexpr int MaxRetryDoublings = 4;

} // namespace

Step *Job::step(int32_t occurrence, int32_t number) const
{
    const auto width = static_cast<int32_t>(spec->steps.size());
    if (occurrence < 0 || occurrence >= occurrences() || number < 0 || number >= width)
        return nullptr;
    return steps[static_cast<size_t>(occurrence) * spec->steps.size() + static_cast<size_t>(number)]
        .get();
}

Dispatcher::Impl::Impl(DispatchOptions options, EventSink events)
    : m_options(std::move(options)), m_events(std::move(events))
{
    if (m_options.policies.fairShare)
        m_usage.emplace(m_options.policies.fairShare->halfLife);
}

void Dispatcher::Impl::emitEvent(std::string_view name, const std::string &job,
                                 std::string detail) const
{
    if (m_events)
        m_events({name, job, std::move(detail)});
}

Resources dispatch::resourcesOfTask(const work::StepSpec &spec)
{
    return {spec.usesIdleCpu ? 0 : spec.cpuMilli, spec.memoryMb, spec.accelerators, 0, 0};
}

void Dispatcher::Impl::addJob(std::shared_ptr<const work::Submission> spec,
                              const std::vector<const work::Progress *> &progress,
                              bool mayBeRunning)
{
    if (m_jobs.contains(spec->id))
        return;
    auto owned = std::make_unique<Job>();
    Job &job = *owned;
    job.spec = std::move(spec);
    job.sequence = m_nextSequence++;
    job.mayBeRunning = mayBeRunning;
    job.teamUse = &m_teamUse[job.spec->team];
    int64_t taskCount = 0;
    for (int32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (size_t number = 0; number < job.spec->steps.size(); ++number) {
            auto step = std::make_unique<Step>();
            step->job = &job;
            step->spec = &job.spec->steps[number];
            step->occurrence = occurrence;
            step->number = static_cast<int32_t>(number);
            step->firstTask = taskCount;
            taskCount += step->spec->tasks;
            step->tasks.resize(static_cast<size_t>(step->spec->tasks));
            step->waiting = step->spec->tasks;
            step->taskResources = resourcesOfTask(*step->spec);
            job.steps.push_back(std::move(step));
        }
    }
    computeRemainingChains(job);
    for (const work::Progress *part : progress)
        restoreProgress(job, *part);
    m_jobs.emplace(job.spec->id, std::move(owned));
    emitEvent("job_queued", job.spec->id,
              "steps=" + std::to_string(job.spec->steps.size())
                  + " restored=" + (progress.empty() ? "false" : "true"));
    if (!job.dirtyParts.empty())
        m_dirty.insert(&job);
    if (job.isTerminal() && job.endedAtHeldMs == 0)
        markAllDirty(job);
    checkCompleted(job);
}

// Computes the expected run time of each step's tasks and of the longest chain from each step to
// the job's end. Steps depend only on steps with lower numbers, so a pass in reverse order visits
// the dependents of a step first.
void Dispatcher::Impl::computeRemainingChains(Job &job) const
{
    const std::vector<work::StepSpec> &specs = job.spec->steps;
    std::vector<int64_t> remainingMs(specs.size());
    // Expected run times by step number, the same in each occurrence that has not begun.
    std::vector<std::optional<int64_t>> initialMs(specs.size());
    for (int32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        std::fill(remainingMs.begin(), remainingMs.end(), 0);
        job.chainMs = 0; // in the end, that of the last occurrence
        for (size_t number = specs.size(); number-- > 0;) {
            Step &step = *job.step(occurrence, static_cast<int32_t>(number));
            const bool begun = step.runTimes.weight > 0;
            if (begun || !initialMs[number])
                step.expectedMs = (this->*m_estimates.taskMs)(step);
            else
                step.expectedMs = *initialMs[number];
            if (!begun)
                initialMs[number] = step.expectedMs;
            // So far the entry holds the longest chain of the step's dependents.
            remainingMs[number] += step.expectedMs;
            step.remainingChainMs = remainingMs[number];
            job.chainMs = std::max(job.chainMs, remainingMs[number]);
            for (const int32_t before : specs[number].after) {
                if (before >= 0 && before < static_cast<int32_t>(number)) {
                    int64_t &remaining = remainingMs[static_cast<size_t>(before)];
                    remaining = std::max(remaining, remainingMs[number]);
                }
            }
        }
    }
}

void Dispatcher::Impl::cancelJob(const std::string &id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second->isTerminal())
        return;
    finishJob(*it->second, work::JobState::Cancelled, "cancelled by the client");
}

void Dispatcher::Impl::giveUpJob(const std::string &id, const std::string &why)
{
    const auto it = m_jobs.find(id);
    if (it != m_jobs.end() && !it->second->isTerminal())
        finishJob(*it->second, work::JobState::Failed, why);
}

void Dispatcher::Impl::finishJob(Job &job, work::JobState::type state, const std::string &why)
{
    job.state = state;
    markAllDirty(job);
    emitEvent("job_final", job.spec->id,
              "state=" + std::string(jobStateName(state)) + " reason=\"" + why + "\"");
    for (const auto &step : job.steps) {
        for (Task &task : step->tasks)
            stopRuns(task);
    }
}

void Dispatcher::Impl::checkCompleted(Job &job)
{
    if (job.isTerminal())
        return;
    const bool allDone = std::all_of(job.steps.begin(), job.steps.end(),
                                     [](const auto &step) { return step->done(); });
    if (allDone)
        finishJob(job, work::JobState::Completed, "all tasks have succeeded");
}

void Dispatcher::Impl::taskSucceeded(Step &step, int32_t index)
{
    const auto succeed = [this, &step](int32_t number) {
        Task &task = step.tasks[static_cast<size_t>(number)];
        if (task.state == TaskState::Succeeded)
            return;
        if (task.state == TaskState::Waiting)
            --step.waiting;
        task.state = TaskState::Succeeded;
        ++step.succeeded;
        markDirty(step, number);
    };
    succeed(index);
    // A gang succeeds as a whole with its first member.
    if (step.spec->gang) {
        for (int32_t number = 0; number < step.spec->tasks; ++number)
            succeed(number);
    }
    checkCompleted(*step.job);
}

void Dispatcher::Impl::taskFailed(Step &step, int32_t index, int64_t run, const WorkerId &workerId,
                                  Instant now)
{
    Task &task = step.tasks[static_cast<size_t>(index)];
    // Workers report a finished run until it is acknowledged, also to the next scheduler; the set
    // of run numbers makes each failure count once. A failure of a gang counts once for all
    // members.
    const int32_t countedAt = step.spec->gang ? 0 : index;
    std::set<int64_t> &failedRuns = step.tasks[static_cast<size_t>(countedAt)].failedRuns;
    if (!failedRuns.insert(run).second)
        return;
    const auto failures = static_cast<int32_t>(failedRuns.size());
    task.lastFailedOn = workerId;
    task.notBefore = now + RetryDelay * (1 << std::min(failures - 1, MaxRetryDoublings));
    markDirty(step, countedAt);
    const WorkRoute *route = routeOf(*step.job);
    if (route != nullptr && !step.spec->longRunning && failures >= route->maxAttempts
        && !step.job->isTerminal())
        finishJob(*step.job, work::JobState::Failed,
                  "task " + std::to_string(index) + " of step " + std::to_string(step.number)
                      + " failed " + std::to_string(failures) + " times");
}

} // namespace cardamompaddle
