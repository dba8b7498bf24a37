// Builders and a fixture for tests of the scheduler.
#pragma once

#include "scheduler/pool_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// A StartGate with per-team limits. Teams without an entry in `left` are not limited.
class TestGate : public StartGate
{
public:
    std::map<std::string, int> left;
    bool intentsDurable = true;
    std::vector<TaskId> intentsAsked;

    bool mayStart(const std::string &team, int32_t count) override
    {
        const auto it = left.find(team);
        return it == left.end() || it->second >= count;
    }
    bool mayStartNonRepeatable(const TaskId &task) override
    {
        intentsAsked.push_back(task);
        return intentsDurable;
    }
    void startDecided(const std::string &team) override
    {
        if (const auto it = left.find(team); it != left.end())
            --it->second;
    }
};

inline WorkerInfo makeWorker(const std::string &id, const std::string &zone = "a",
                             const std::string &rack = "r1",
                             const Resources &capacity = {16'000, 32'000, 0, 8, 64})
{
    WorkerInfo info;
    info.id = id;
    info.availabilityZone = zone;
    info.rack = rack;
    info.capacity = capacity;
    return info;
}

class SchedulerFixture : public testing::Test
{
protected:
    SchedulerFixture() { reset({}); }

    void reset(SchedulerOptions options)
    {
        pool.name = "p";
        pool.reservePercent = 0;
        auto made = PoolScheduler::create(pool, nullptr, std::move(options));
        scheduler.emplace(std::move(made.value()));
    }
    void addWorkers(int count, const Resources &capacity = {16'000, 32'000, 0, 8, 64})
    {
        for (int it = 0; it < count; ++it)
            scheduler->workerAcquired(makeWorker("w" + std::to_string(it), "a", "r1", capacity), {},
                                      now);
    }
    WorkItem work(const std::string &id, WorkKind kind = WorkKind::Batch, int32_t tasks = 1)
    {
        WorkItem item;
        item.spec.key = {"team", id};
        item.spec.route = "route";
        item.spec.kind = kind;
        item.spec.tasks = tasks;
        item.spec.perTask = {1'000, 1'000, 0, 1, 1};
        item.sequence = ++sequence;
        return item;
    }
    void submit(const WorkItem &item)
    {
        const Result<void> ok = scheduler->submit(item, now);
        ASSERT_TRUE(ok.ok()) << ok.error().reason;
    }
    // Submits the work. Returns the error code, or nothing if it was accepted.
    std::optional<ErrorCode> refusal(const WorkItem &item)
    {
        const Result<void> ok = scheduler->submit(item, now);
        return ok.ok() ? std::nullopt : std::optional(ok.error().code);
    }
    // Advances the time by `passed` and calls decide() once.
    std::vector<Decision> decide(Duration passed = Duration(0), int max = 1'000)
    {
        now += passed;
        return scheduler->decide(now, gate, max);
    }
    static std::vector<Decision> only(const std::vector<Decision> &all, DecisionKind kind)
    {
        std::vector<Decision> some;
        std::copy_if(all.begin(), all.end(), std::back_inserter(some),
                     [kind](const Decision &it) { return it.kind == kind; });
        return some;
    }
    std::vector<Decision> starts(Duration passed = Duration(0))
    {
        return only(decide(passed), DecisionKind::Start);
    }
    // Returns the ids of the started jobs, in the order of their starts.
    static std::vector<std::string> jobs(const std::vector<Decision> &all)
    {
        std::vector<std::string> ids;
        for (const Decision &it : only(all, DecisionKind::Start))
            ids.push_back(it.start.task.job.id);
        return ids;
    }
    TaskDisposition end(const Decision &start, TaskOutcome outcome = TaskOutcome::Succeeded)
    {
        return scheduler->taskEnded(start.worker, {start.start.task, start.start.attempt}, outcome,
                                    now);
    }
    static RunningTask running(const Decision &start, const Resources &usage = {})
    {
        RunningTask task;
        task.task = start.start.task;
        task.attempt = start.start.attempt;
        task.declared = start.start.declared;
        task.usage = usage;
        task.repeatable = start.start.repeatable;
        task.request = start.start.request;
        task.urgency = start.start.urgency;
        return task;
    }

    PoolSpec pool;
    Instant now = instantFromMs(1'000'000);
    uint64_t sequence = 0;
    TestGate gate;
    std::optional<PoolScheduler> scheduler;
};

} // namespace cardamompaddle
