// Test fixture that runs several instances over one fake log and one set of fake workers, in real
// time or, with a VirtualTime, in virtual time.
#pragma once

#include "control/instance.h"
#include "control/resending_log.h"
#include "control/testing_platform.h"
#include "control/virtual_time_testing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace cardamompaddle {

inline constexpr const char *WorkTopic = "work";
inline constexpr const char *JobsTopic = "jobs";
inline constexpr const char *RegistryTopic = "registry";
inline constexpr const char *OperatorTopic = "operators";

inline Result<WorkerEntry> decodeWorker(const KeyedRecord &record)
{
    if (record.value == "bad")
        return Error{ErrorCode::InvalidArgument, "bad entry"};
    WorkerEntry out;
    out.id = record.key;
    out.address = "10.0.0.1:80";
    out.pool = "p";
    out.availabilityZone = "z";
    out.capacity = {4'000, 4'000, 0, 0, 0};
    // "STATE" or "STATE/START": the start of the worker's incarnation.
    const size_t slash = record.value.find('/');
    out.draining = record.value.substr(0, slash) == "draining";
    if (slash != std::string::npos)
        out.startedAtMs = std::stoll(record.value.substr(slash + 1));
    return out;
}

inline Result<OperatorRecord> decodeOperators(const KeyedRecord &record)
{
    OperatorRecord out;
    if (record.key.starts_with("zone/")) {
        out.zoneOut = record.value;
        return out;
    }
    auto catalog = std::make_shared<Catalog>();
    // "VERSION", "VERSION/LIMIT" or "VERSION/LIMIT/KEY": the limit of the only team in thousandths
    // of a core, and its key.
    catalog->version = std::stoll(record.value);
    if (const size_t slash = record.value.find('/'); slash != std::string::npos) {
        Team &team = catalog->teams[""];
        team.limit.cpuMilli = std::stoll(record.value.substr(slash + 1));
        if (const size_t next = record.value.find('/', slash + 1); next != std::string::npos)
            team.keys.insert(record.value.substr(next + 1));
    }
    WorkRoute route;
    route.name = "r";
    route.pool = "p";
    route.maxAttempts = 3;
    catalog->routes["r"] = route;
    out.catalog = std::move(catalog);
    return out;
}

class InstanceTest : public ::testing::Test
{
protected:
    struct Node
    {
        testing::TestLog *log = nullptr;
        ResendingLog *resendingLog = nullptr; // in front of `log`
        std::unique_ptr<Instance> instance;
    };

    InstanceTest()
    {
        m_model.put(OperatorTopic, "config", "1");
        m_model.put(RegistryTopic, "w1", "ready");
        m_model.put(RegistryTopic, "w2", "ready");
    }
    Node &addNode(const std::string &name, int64_t cpuMilli = 0)
    {
        Node &node = m_nodes[name];
        m_logs.push_back(std::make_unique<testing::TestLog>(m_io, m_model));
        node.log = m_logs.back().get();
        m_resendingLogs.push_back(std::make_unique<ResendingLog>(m_io, m_clock, *node.log));
        node.resendingLog = m_resendingLogs.back().get();
        InstanceOptions options;
        options.name = name;
        options.peerAddress = name + ":1";
        options.maxLease = m_maxLease;
        options.cpuMilli = cpuMilli;
        options.terminalRetention = m_terminalRetention;
        options.policies = m_policies;
        node.instance = std::make_unique<Instance>(
            [this, &node, name](const JobTable &jobTable) {
                SchedulerContext context{m_io,
                                         m_clock,
                                         [this, name] { return unixMs(name); },
                                         *node.resendingLog,
                                         *m_workerGateway,
                                         m_policy,
                                         m_policy,
                                         jobTable,
                                         WorkTopic,
                                         JobsTopic,
                                         RegistryTopic,
                                         decodeWorker,
                                         m_logLimits};
                return InstanceContext{std::move(context), OperatorTopic, decodeOperators};
            },
            options);
        m_policy.receivers[options.peerAddress] = [this, name](const work::StoredRecords &records) {
            if (const auto it = m_nodes.find(name); it != m_nodes.end() && it->second.instance)
                it->second.instance->recordsStored(records);
        };
        m_policy.callReceivers[options.peerAddress] =
            [this,
             name](const work::WorkerCalls &calls) -> std::optional<work::WorkerCallsReceived> {
            const auto it = m_nodes.find(name);
            if (it == m_nodes.end() || !it->second.instance)
                return std::nullopt;
            return it->second.instance->callWorkers(calls);
        };
        m_policy.answerReceivers[options.peerAddress] = [this,
                                                         name](const work::WorkerAnswers &answers) {
            if (const auto it = m_nodes.find(name); it != m_nodes.end() && it->second.instance)
                it->second.instance->workerCallsAnswered(answers);
        };
        node.instance->start();
        return node;
    }
    // Runs the event loop until `done` returns true or `timeout` has passed. Returns the last
    // result of `done`.
    bool runUntil(const std::function<bool()> &done, Duration timeout = Duration(4'000))
    {
        const Instant end = m_clock.now() + timeout;
        while (!done() && m_clock.now() < end) {
            if (m_virtualTime != nullptr)
                m_virtualTime->step(m_io);
            else
                m_io.run_one_for(std::chrono::milliseconds(5));
        }
        return done();
    }
    void runFor(Duration time)
    {
        runUntil([] { return false; }, time);
    }
    // Returns the time of day of an instance's machine.
    int64_t unixMs(const std::string &name) const
    {
        const auto it = m_unixOffsetsMs.find(name);
        return m_unixMs + (it == m_unixOffsetsMs.end() ? 0 : it->second);
    }
    // Returns the name of the scheduler; empty if there is none.
    std::string schedulerName()
    {
        for (const auto &[name, node] : m_nodes) {
            if (node.instance && node.instance->isScheduler())
                return name;
        }
        return "";
    }
    // Ends the instance without a planned stop, as a loss of power does.
    void lose(const std::string &name)
    {
        m_policy.receivers.erase(name + ":1");
        m_nodes[name].instance.reset();
    }
    // Returns how many instances act as scheduler.
    int schedulers()
    {
        int count = 0;
        for (const auto &[name, node] : m_nodes)
            count += node.instance && node.instance->isScheduler() ? 1 : 0;
        return count;
    }
    Node &scheduler()
    {
        for (auto &[name, node] : m_nodes) {
            if (node.instance && node.instance->isScheduler())
                return node;
        }
        throw std::logic_error("no scheduler");
    }
    Node &follower()
    {
        for (auto &[name, node] : m_nodes) {
            if (node.instance && !node.instance->isScheduler())
                return node;
        }
        throw std::logic_error("no follower");
    }
    work::Submission makeJob(const std::string &id, int32_t tasks = 1) const
    {
        work::Submission job;
        job.id = id;
        job.team = m_team;
        job.route = "r";
        job.acceptedAtMs = 1'000'000;
        work::StepSpec step;
        step.tasks = tasks;
        step.cpuMilli = m_cpuMilli;
        step.estimatedMs = 1'000;
        job.steps = {step};
        return job;
    }
    // Starts the submission of a job; its outcome appears in m_outcomes.
    void startSubmission(Node &node, const std::string &id, int32_t tasks = 1)
    {
        m_outcomes.erase(id);
        node.instance->submitter().submit(
            makeJob(id, tasks), false, m_clock.now() + Duration(2'500),
            [this, id](SubmitOutcome it, const std::string &) { m_outcomes[id] = it; });
    }
    // Submits a job and waits for its outcome; returns none if it does not arrive in time.
    std::optional<SubmitOutcome> submit(Node &node, const std::string &id, int32_t tasks = 1)
    {
        startSubmission(node, id, tasks);
        const bool answered = runUntil([&] { return m_outcomes.contains(id); });
        return answered ? std::optional(m_outcomes[id]) : std::nullopt;
    }
    std::optional<SubmitOutcome> cancel(Node &node, const std::string &id,
                                        const std::string &team = "")
    {
        std::optional<SubmitOutcome> outcome;
        node.instance->submitter().cancel(
            id, team, m_clock.now() + Duration(2'000),
            [&outcome](SubmitOutcome it, const std::string &) { outcome = it; });
        runUntil([&] { return outcome.has_value(); });
        return outcome;
    }
    // Waits until the node's job table shows the job in `state`.
    bool reached(Node &node, const std::string &id, work::JobState::type state)
    {
        return runUntil([&] {
            const JobEntry *entry = node.instance->jobTable().find(id);
            return entry != nullptr && entry->state() == state;
        });
    }

    // Null: the test runs in real time.
    testing::VirtualTime *const m_virtualTime =
        dynamic_cast<testing::VirtualTime *>(VirtualTimers::installed());
    Duration m_maxLease{1'000};
    int64_t m_cpuMilli = 1'000; // of each task
    LogLimits m_logLimits; // as the instances know them
    Duration m_terminalRetention{120'000};
    SchedulingPolicies m_policies; // of the instances that are added from now on
    std::string m_team; // of submitted jobs
    int64_t m_unixMs = 1'000'000; // true time of day; accepted jobs are of that time
    // By how much the time of day of an instance's machine differs from the true one, by name.
    std::map<std::string, int64_t> m_unixOffsetsMs;
    std::map<std::string, SubmitOutcome> m_outcomes; // of submissions, by job ID
    boost::asio::io_context m_io;
    testing::TestClock m_clock;
    testing::LogModel m_model;
    testing::TestWorkers m_workers{m_io};
    WorkerGateway *m_workerGateway = &m_workers; // of the instances that are added from now on
    testing::TestPolicy m_policy{m_io};
    // Declared before the instances, because calls may be in flight when those are destroyed.
    std::vector<std::unique_ptr<testing::TestLog>> m_logs;
    std::vector<std::unique_ptr<ResendingLog>> m_resendingLogs;
    std::map<std::string, Node> m_nodes;
};

} // namespace cardamompaddle
