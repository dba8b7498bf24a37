// Test fixture with a dispatcher, two routes to one pool, one team, and workers whose reports the
// test provides.
#pragma once

#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {

inline constexpr int64_t UnixNow = 1'000'000;
inline constexpr int64_t HeldNow = 3'000; // held time of the tenure

// Returns a step whose tasks are estimated to run for one second.
inline work::StepSpec step(int32_t tasks, int64_t cpuMilli = 1'000)
{
    work::StepSpec out;
    out.tasks = tasks;
    out.cpuMilli = cpuMilli;
    out.memoryMb = 100;
    out.estimatedMs = 1'000;
    return out;
}

class DispatcherTest : public ::testing::Test
{
protected:
    explicit DispatcherTest(SchedulingPolicies policies = {}) : m_policies(policies)
    {
        setCatalog();
    }

    // Applies m_route and m_limit.
    void setCatalog() { m_dispatcher.setCatalog(catalog()); }
    std::shared_ptr<const Catalog> catalog() const
    {
        auto catalog = std::make_shared<Catalog>();
        WorkRoute route = m_route;
        route.name = "r";
        route.pool = "p";
        catalog->routes["r"] = route;
        route.name = "batch";
        route.priority = 2;
        route.latencyTarget = Duration(10'000);
        catalog->routes["batch"] = route;
        Team team;
        team.name = "t";
        team.limit = m_limit;
        catalog->teams["t"] = team;
        return catalog;
    }
    WorkerEntry entry(const WorkerId &id, int64_t cpuMilli = 8'000)
    {
        WorkerEntry out;
        out.id = id;
        out.address = "10.0.0.1:80";
        out.pool = "p";
        out.availabilityZone = "z1";
        out.capacity = {cpuMilli, 10'000, 0, 0, 0};
        return out;
    }
    // Lists a worker that is reachable and has reported.
    void join(const WorkerEntry &worker, std::vector<ActiveRun> running = {},
              std::vector<EndedRun> ended = {})
    {
        m_dispatcher.setWorker(worker);
        report(worker.id, std::move(running), std::move(ended));
        m_dispatcher.setReachable(worker.id, true);
    }
    void report(const WorkerId &id, std::vector<ActiveRun> running,
                std::vector<EndedRun> ended = {}, int64_t startedAtMs = 1)
    {
        RunReport out;
        out.requestedAt = m_now;
        out.startedAtMs = startedAtMs;
        out.running = std::move(running);
        out.ended = std::move(ended);
        m_dispatcher.workerReported(id, out, m_now);
    }
    void add(const std::string &id, std::vector<work::StepSpec> steps,
             const work::Progress *progress = nullptr, bool mayBeRunning = false)
    {
        const std::vector<const work::Progress *> parts(progress == nullptr ? 0 : 1, progress);
        auto job = std::make_shared<work::Submission>();
        job->id = id;
        job->route = m_jobRoute;
        job->team = "t";
        job->steps = std::move(steps);
        job->acceptedAtMs = UnixNow;
        m_dispatcher.addJob(job, parts, mayBeRunning);
    }
    Orders decide() { return m_dispatcher.decide(m_now, UnixNow); }
    // Calls decide() and answers every start order with Started.
    std::vector<StartOrder> startAll()
    {
        auto starts = decide().starts;
        m_now += Duration(1);
        for (const StartOrder &order : starts)
            m_dispatcher.startAnswered(order, StartOutcome::Started, m_now);
        m_now += Duration(1);
        return starts;
    }
    // Returns the ordered run as finished, at the worker's next position.
    EndedRun ended(const StartOrder &order, RunOutcome outcome, std::string checkpoint = "")
    {
        return {++m_positions[order.worker], order.task, order.run, outcome, std::move(checkpoint)};
    }
    static ActiveRun running(const StartOrder &order, int32_t percent = 10)
    {
        return {order.task, order.run, "", percent, 0};
    }
    // Returns the details of the emitted events of this name.
    std::vector<std::string> eventDetails(std::string_view name) const
    {
        std::vector<std::string> out;
        for (const DispatchEvent &event : m_events) {
            if (event.name == name)
                out.push_back(event.detail);
        }
        return out;
    }
    // Returns the state that takeProgress() last showed for the job.
    work::JobState::type state(const std::string &id)
    {
        for (const work::Progress &progress : m_dispatcher.takeProgress(HeldNow))
            m_states[progress.id] = progress.part == 0 ? progress.state : m_states[progress.id];
        return m_states[id];
    }

    WorkRoute m_route{"", "", "/", "", 0, 3, 1.5, Duration(250), false, std::nullopt};
    std::string m_jobRoute = "r"; // "batch" is less urgent
    Resources m_limit;
    Instant m_now = instantFromMs(100'000);
    std::vector<DispatchEvent> m_events;
    std::map<TaskRef, std::set<WorkerId>> m_lateStarts; // DispatchOptions::lateStartWorkers
    SchedulingPolicies m_policies;
    Dispatcher m_dispatcher{{1, 2.0, nullptr,
                             [this](const TaskRef &task) {
                                 const auto it = m_lateStarts.find(task);
                                 return it == m_lateStarts.end() ? nullptr : &it->second;
                             },
                             m_policies},
                            [this](const DispatchEvent &event) { m_events.push_back(event); }};
    std::map<WorkerId, int64_t> m_positions;
    std::map<std::string, work::JobState::type> m_states;
};

} // namespace cardamompaddle
