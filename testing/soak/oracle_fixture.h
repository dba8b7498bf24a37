// Builds made-up histories for the tests of the oracle.
#pragma once

#include "oracle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace cardamompaddle::soak {

class OracleTest : public ::testing::Test
{
protected:
    static constexpr OracleOptions Options{.keepEnded = Duration(10'000)};
    static constexpr const char *Task = "job.0.0.0";
    static constexpr const char *OtherTask = "job.0.0.1";
    static constexpr const char *LongTask = "long.0.0.0";
    static constexpr Duration Slack{1};

    OracleTest()
    {
        m_oracle.planned(plan("job", {Task, OtherTask}));
        JobPlan lasting = plan("long", {LongTask});
        lasting.longRunning = true;
        m_oracle.planned(lasting);
    }
    // A job of one step.
    static JobPlan plan(const std::string &id, const std::vector<std::string> &tasks)
    {
        JobPlan out;
        out.id = id;
        for (const std::string &it : tasks)
            out.tasks.push_back({it, 0, Duration(100)});
        return out;
    }
    void pass(Duration time) { m_now += time; }
    static CallRecord record(CallKind kind, const std::string &job, int status)
    {
        CallRecord out;
        out.kind = kind;
        out.job = job;
        out.status = status;
        return out;
    }
    void call(CallRecord record, Duration took = Duration(5))
    {
        record.instance = "entry-1";
        record.sentAt = m_now;
        record.endedAt = m_now + took;
        m_oracle.called(record);
    }
    void submit(const std::string &job, int status = 200)
    {
        call(record(CallKind::Submit, job, status));
    }
    void askUnknown(const std::string &job = "job") { call(record(CallKind::State, job, 410)); }
    void askState(const std::string &state, const std::string &job = "job")
    {
        CallRecord asked = record(CallKind::State, job, 200);
        asked.state = state;
        call(asked);
    }
    void run(emulator::RunEventKind kind, const std::string &task, int64_t run,
             const std::string &how = "", const std::string &worker = "w")
    {
        m_oracle.ran({kind, m_now, task, run, worker, 1, how});
    }
    void started(const std::string &task, int64_t number = 1, const std::string &worker = "w")
    {
        run(emulator::RunEventKind::Started, task, number, "", worker);
    }
    void ended(const std::string &task, const std::string &how, int64_t number = 1)
    {
        run(emulator::RunEventKind::Ended, task, number, how);
    }
    void acknowledged(const std::string &task, const std::string &how, int64_t number = 1)
    {
        run(emulator::RunEventKind::Acknowledged, task, number, how);
    }
    void complete()
    {
        for (const char *task : {Task, OtherTask}) {
            started(task);
            ended(task, "done");
        }
    }
    std::vector<std::string> broken() const
    {
        std::vector<std::string> out;
        for (const Violation &it : m_oracle.violations())
            out.emplace_back(promiseName(it.promise));
        return out;
    }
    void stopBegan() { m_oracle.stopBegan("entry-1", m_now); }
    // A request that ends without a response.
    void cut(Duration after, bool timedOut = false)
    {
        CallRecord asked = record(CallKind::State, "job", 0);
        asked.timedOut = timedOut;
        call(asked, after);
    }
    void callWithKey(int status)
    {
        CallRecord asked = record(CallKind::State, "job", status);
        asked.key = "old";
        asked.state = "running";
        call(asked);
    }

    Instant m_now = instantFromMs(100'000);
    Disturbances m_disturbances;
    Oracle m_oracle{Options, m_disturbances};
};

} // namespace cardamompaddle::soak
