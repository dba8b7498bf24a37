// Drives the emulator through the product's own clients of the platform.
#pragma once

#include "platform_emulator.h"

#include "log_client.h"
#include "net/http_client.h"
#include "net/steady_clock.h"
#include "records.h"
#include "worker_client.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompaddle::emulator {

class PlatformEmulatorTest : public ::testing::Test
{
protected:
    using Producer = AppendRequest::Writer;
    static constexpr const char *Topic = "keyed.test";
    static constexpr Duration Timeout{2'000};
    static constexpr Duration ShortTimeout{150};
    static constexpr Duration RunTime{100};
    static constexpr Duration Lease{8'000};

    // Starts the emulator. Called by tests that change the options before.
    void create()
    {
        m_options.workers = 2;
        m_options.heartbeatInterval = Duration(50);
        m_options.runTime = [this](const std::string &) { return m_runTime; };
        m_options.observer = [this](const RunEvent &event) { m_events.push_back(event); };
        auto created = PlatformEmulator::create(m_io, m_options);
        ASSERT_TRUE(created);
        m_platform = std::move(*created);
        m_http = std::make_unique<HttpClient>(m_io);
        m_log = std::make_unique<PlatformLogClient>(*m_http, m_platform->logAddress());
        m_workers = std::make_unique<PlatformWorkerClient>(*m_http);
    }
    // Runs the event loop until `condition` holds, and returns whether it does within `timeout`.
    bool runUntil(const std::function<bool()> &condition, Duration timeout = Duration(5'000))
    {
        const Instant until = SteadyClock().now() + timeout;
        while (!condition() && SteadyClock().now() < until)
            m_io.run_one_for(Duration(10));
        return condition();
    }
    void runFor(Duration time)
    {
        runUntil([] { return false; }, time);
    }
    // Returns what a call hands to its callback.
    template <typename T>
    T await(const std::function<void(std::function<void(T)>)> &call)
    {
        std::optional<T> out;
        call([&out](T result) { out = std::move(result); });
        EXPECT_TRUE(runUntil([&out] { return out.has_value(); }));
        return std::move(*out);
    }

    AppendResult append(const std::string &key, const std::string &value,
                        std::optional<int64_t> expectedEnd = std::nullopt,
                        const std::optional<Producer> &producer = std::nullopt,
                        Duration timeout = Timeout)
    {
        return appendTo(Topic, key, value, expectedEnd, producer, timeout);
    }
    AppendResult appendTo(const std::string &topic, const std::string &key,
                          const std::string &value, std::optional<int64_t> expectedEnd,
                          const std::optional<Producer> &producer, Duration timeout)
    {
        return await<AppendResult>([&](auto done) {
            m_log->append({topic, {{key, value, value.empty(), 0}}, expectedEnd, producer}, timeout,
                          done);
        });
    }
    Result<LogSlice> read(int64_t from, Duration wait = Duration(0), Duration timeout = Timeout)
    {
        return await<Result<LogSlice>>(
            [&](auto done) { m_log->read(Topic, from, wait, timeout, done); });
    }
    Result<NewestPage> newest(const std::string &topic = Topic, const std::string &after = "")
    {
        return await<Result<NewestPage>>(
            [&](auto done) { m_log->readNewest(topic, after, Timeout, done); });
    }
    std::vector<std::string> registeredIds()
    {
        std::vector<std::string> out;
        const auto page = newest(topic::Registry);
        for (const KeyedRecord &it : page ? page->records : std::vector<KeyedRecord>())
            out.push_back(it.key);
        return out;
    }
    // Returns the worker's entry of the registry.
    WorkerEntry entry(const std::string &id)
    {
        const auto page = newest(topic::Registry);
        for (const KeyedRecord &it : page ? page->records : std::vector<KeyedRecord>()) {
            if (it.key == id)
                return *decodeWorkerEntry(it);
        }
        ADD_FAILURE() << id << " is not registered";
        return {};
    }
    CommandFence fence(const WorkerEntry &worker, int64_t leaseEndMs, int64_t epoch = 1)
    {
        return {epoch, leaseEndMs, worker.id};
    }
    Result<PollResult> poll(const WorkerEntry &worker, int64_t acknowledged = 0,
                            Duration wait = Duration(0), Duration timeout = Timeout,
                            int64_t epoch = 1)
    {
        return await<Result<PollResult>>([&](auto done) {
            m_workers->poll(worker, fence(worker, 0, epoch), acknowledged, wait, timeout, Instant(),
                            done);
        });
    }
    Result<StartOutcome> start(const WorkerEntry &worker, int64_t run, Duration timeout = Timeout,
                               int64_t epoch = 1)
    {
        StartOrder order;
        order.worker = worker.id;
        order.task = m_task;
        order.run = run;
        order.job = std::make_shared<work::Submission>();
        const auto answer = await<Result<StartAnswer>>([&](auto done) {
            m_workers->start(worker, fence(worker, Lease.count(), epoch), order, timeout, done);
        });
        return answer ? Result<StartOutcome>(answer->outcome) : answer.error();
    }
    Result<void> stop(const WorkerEntry &worker, int64_t run)
    {
        return await<Result<void>>([&](auto done) {
            m_workers->stop(worker, fence(worker, 0), {worker.id, m_task, run}, Timeout, done);
        });
    }
    std::vector<std::string> events() const
    {
        std::vector<std::string> out;
        for (const RunEvent &it : m_events)
            out.push_back(std::string(runEventKindName(it.kind)) + " " + it.how);
        return out;
    }

    boost::asio::io_context m_io;
    PlatformEmulatorOptions m_options;
    std::optional<Duration> m_runTime = RunTime;
    std::vector<RunEvent> m_events;
    std::unique_ptr<PlatformEmulator> m_platform;
    std::unique_ptr<HttpClient> m_http;
    std::unique_ptr<PlatformLogClient> m_log;
    std::unique_ptr<PlatformWorkerClient> m_workers;
    TaskRef m_task{{"job", 0, 0}, 0};
};

} // namespace cardamompaddle::emulator
