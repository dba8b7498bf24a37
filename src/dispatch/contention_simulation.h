// Runs a dispatcher with several client accounts on a small fleet in simulated time, for tests of
// the order under contention.
#pragma once

#include "base/hash.h"
#include "dispatch/dispatcher.h"
#include "work/codec.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompaddle::testing {

class ContentionSimulation
{
public:
    static constexpr Duration StepTime{20};
    static constexpr int64_t WorkerCpuMilli = 8'000;
    static constexpr int64_t TaskCpuMilli = 1'000;
    static constexpr Duration TaskTime{400};

    // `weights` are those of the configured accounts.
    ContentionSimulation(SchedulingPolicies policies, const std::map<std::string, double> &weights,
                         int workers)
        : m_dispatcher({1, 2.0, nullptr, nullptr, policies},
                       [this](const DispatchEvent &it) { onEvent(it); })
    {
        m_dispatcher.setCatalog(makeCatalog(weights));
        for (int n = 0; n < workers; ++n) {
            WorkerEntry entry;
            entry.id = "w" + std::to_string(n);
            entry.address = "10.0.0." + std::to_string(n) + ":80";
            entry.pool = "p";
            entry.availabilityZone = "z1";
            entry.capacity = {WorkerCpuMilli, 100'000, 0, 0, 0};
            m_dispatcher.setWorker(entry);
            m_workers[entry.id];
            report(entry.id);
            m_dispatcher.setReachable(entry.id, true);
        }
    }
    static std::shared_ptr<Catalog> makeCatalog(const std::map<std::string, double> &weights)
    {
        auto out = std::make_shared<Catalog>();
        for (const auto &[name, priority] : {std::pair("quick", 0), std::pair("batch", 2)}) {
            WorkRoute &route = out->routes[name];
            route.name = name;
            route.pool = "p";
            route.priority = priority;
            route.maxAttempts = 3;
            route.slowdownFactor = 1.5;
            route.latencyTarget = Duration(60'000);
        }
        for (const auto &[name, weight] : weights) {
            out->teams[name].name = name;
            out->teams[name].weight = weight;
        }
        return out;
    }

    void submit(const std::string &account, int32_t tasks, const std::string &route = "quick")
    {
        auto job = std::make_shared<work::Submission>();
        job->id = account + std::to_string(++m_submitted);
        job->team = account;
        job->route = route;
        job->acceptedAtMs = unixMs();
        work::StepSpec step;
        step.tasks = tasks;
        step.cpuMilli = TaskCpuMilli;
        step.memoryMb = 100;
        step.estimatedMs = TaskTime.count();
        job->steps = {step};
        m_submittedAt[job->id] = m_now;
        m_dispatcher.addJob(job, {}, false);
    }
    // Lets runs end, decides and starts runs.
    void step()
    {
        m_now += StepTime;
        for (const auto &[id, runs] : m_workers)
            report(id);
        for (const StartOrder &order : m_dispatcher.decide(m_now, unixMs()).starts)
            start(order);
        for (const work::Progress &it : m_dispatcher.takeProgress(toMs(m_now)))
            addToDigest(encodeRecord(it));
    }
    void runFor(Duration time)
    {
        for (const Instant end = m_now + time; m_now < end;)
            step();
    }
    // Lets runs take up to this much less or more than TaskTime.
    void setTaskTimeSpread(Duration spread) { m_taskTimeSpread = spread; }
    Dispatcher &dispatcher() { return m_dispatcher; }
    // Returns the mean wait of the account's tasks that have started since the last call, in ms.
    double takeMeanWaitMs(const std::string &account)
    {
        const std::vector<Duration> waits = std::exchange(m_waits[account], {});
        Duration total{0};
        for (const Duration it : waits)
            total += it;
        return static_cast<double>(total.count())
               / static_cast<double>(std::max<size_t>(1, waits.size()));
    }
    // Returns how many tasks of the account have started since the last takeMeanWaitMs().
    size_t startedTasks(const std::string &account) { return m_waits[account].size(); }
    const std::vector<std::string> &startedJobs() const { return m_startedJobs; }
    // Hash of all starts, events and records of progress so far.
    uint64_t digest() const { return m_digest; }
    const std::vector<DispatchEvent> &events() const { return m_events; }

private:
    struct Run
    {
        StartOrder order;
        Instant endsAt;
    };

    int64_t unixMs() const { return 1'000'000 + toMs(m_now); }
    void onEvent(const DispatchEvent &event)
    {
        m_events.push_back(event);
        addToDigest(std::string(event.name) + " " + event.job + " " + event.detail);
    }
    void addToDigest(std::string_view text) { m_digest = stableHash(text, m_digest); }
    void start(const StartOrder &order)
    {
        const std::string &job = order.task.step.job;
        addToDigest(std::to_string(toMs(m_now)) + " " + order.task.toString() + " "
                    + std::to_string(order.run) + " " + order.worker);
        m_dispatcher.startAnswered(order, StartOutcome::Started, m_now);
        m_workers[order.worker].push_back({order, m_now + taskTime(order.task)});
        m_waits[order.job->team].push_back(m_now - m_submittedAt.at(job));
        if (m_startedJobs.empty() || m_startedJobs.back() != job)
            m_startedJobs.push_back(job);
    }
    Duration taskTime(const TaskRef &task) const
    {
        const auto range = static_cast<uint64_t>(2 * m_taskTimeSpread.count() + 1);
        const auto offset = static_cast<int64_t>(stableHash(task.toString()) % range);
        return TaskTime - m_taskTimeSpread + Duration(offset);
    }
    void report(const WorkerId &id)
    {
        RunReport out;
        out.requestedAt = m_now;
        out.startedAtMs = 1;
        std::erase_if(m_workers[id], [&](const Run &run) {
            if (run.endsAt > m_now) {
                out.running.push_back({run.order.task, run.order.run, "", 10, 0});
                return false;
            }
            out.ended.push_back(
                {++m_positions[id], run.order.task, run.order.run, RunOutcome::Succeeded, ""});
            return true;
        });
        m_dispatcher.workerReported(id, out, m_now);
    }

    Instant m_now = instantFromMs(100'000);
    Duration m_taskTimeSpread{0};
    uint64_t m_digest = 0;
    std::vector<DispatchEvent> m_events;
    Dispatcher m_dispatcher;
    std::map<WorkerId, std::vector<Run>> m_workers;
    std::map<WorkerId, int64_t> m_positions;
    int m_submitted = 0;
    std::map<std::string, Instant> m_submittedAt; // by job
    std::map<std::string, std::vector<Duration>> m_waits; // by account
    std::vector<std::string> m_startedJobs; // repeated if another one has started between
};

} // namespace cardamompaddle::testing
