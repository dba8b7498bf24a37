// Tests the stand-ins together with the platform's adapters, over real connections.
#include "net/blocking_client.h"
#include "net/http_instance_list_client.h"
#include "net/http_log_client.h"
#include "net/http_server.h"
#include "net/http_worker_client.h"
#include "standins/list_standin.h"
#include "standins/log_standin.h"
#include "standins/worker_standin.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace cardamompaddle {
namespace {

// A stand-in behind an HTTP server on a free port.
template <typename Standin>
struct ServedStandin
{
    template <typename... Args>
    explicit ServedStandin(Args &&...args) : standin(std::forward<Args>(args)...)
    {
        server = std::move(*HttpServer::create({.address = "127.0.0.1:0", .threads = 1},
                                               [this](const auto &request, const auto &respond) {
                                                   standin.handle(request, respond);
                                               }));
    }
    ~ServedStandin() { server->stop(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }
    void control(const std::string &body)
    {
        const auto answer = blockingRequest(address(), "POST", "/control", body, Duration(2'000));
        EXPECT_TRUE(answer.ok() && answer->status == 200);
    }

    Standin standin;
    std::unique_ptr<HttpServer> server;
};

class StandinsTest : public testing::Test
{
protected:
    // Calls `begin` with a callback and runs the event loop until the callback has run.
    template <typename T>
    Result<T> wait(const std::function<void(std::function<void(Result<T>, Instant)>)> &begin)
    {
        std::optional<Result<T>> outcome;
        begin([&](Result<T> result, Instant) { outcome = std::move(result); });
        m_io.restart();
        while (!outcome && m_io.run_one_for(Duration(10'000)) > 0) { }
        return outcome ? std::move(*outcome) : Error{ErrorCode::Internal, "no callback"};
    }
    Result<uint64_t> append(LogClient &log, const std::string &data)
    {
        return wait<uint64_t>([&](auto done) { log.append("s/1", data, done); });
    }
    Result<LogPage> read(LogClient &log, uint64_t from, int max = 100)
    {
        return wait<LogPage>([&](auto done) { log.read("s/1", from, max, done); });
    }
    Result<WorkerReport> command(const WorkerInfo &worker, const WorkerCommand &batch)
    {
        return wait<WorkerReport>([&](auto done) { m_workers.command(worker, batch, done); });
    }
    Result<SessionGrant> acquire(const WorkerInfo &worker, const std::string &holder)
    {
        return wait<SessionGrant>([&](auto done) {
            m_workers.acquire(worker, {holder, Duration(3'000)}, done);
        });
    }

    boost::asio::io_context m_io;
    SteadyClock m_clock;
    HttpClient m_client{m_io};
    HttpWorkerClient m_workers{m_client, {Duration(1'000)}, m_clock};
};

// Guards against binary data that is corrupted between append and read, and against a reader that
// cannot continue from an expired offset.
TEST_F(StandinsTest, LogAppendsAndReads)
{
    ServedStandin<LogStandin> served;
    HttpLogClient log(m_client, {served.address()}, m_clock);
    const std::string bytes("a\"\n\x01\xff", 5);
    EXPECT_EQ(*append(log, bytes), 0U);
    EXPECT_EQ(*append(log, "second"), 1U);
    auto page = read(log, 0, 1);
    ASSERT_TRUE(page.ok()) << page.error().reason;
    EXPECT_EQ(page->next, 2U);
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records[0].data, bytes);
    EXPECT_TRUE(read(log, 2)->records.empty());
    served.control(R"({"retention_records":2})");
    EXPECT_EQ(*append(log, "third"), 2U);
    page = read(log, 0);
    ASSERT_TRUE(page.ok()) << page.error().reason;
    EXPECT_EQ(page->first, 1U);
    EXPECT_EQ(page->records.at(0).data, "second");
}

// Guards against a lost response that is reported as Unavailable, although the append took effect,
// and against a refused append that is reported as OutcomeUnknown.
TEST_F(StandinsTest, LogOutagesAndLostAnswers)
{
    ServedStandin<LogStandin> served;
    HttpLogClient log(m_client, {served.address(), Duration(100)}, m_clock);
    served.control(R"({"lose_answers":1})");
    EXPECT_EQ(append(log, "lost").error().code, ErrorCode::OutcomeUnknown);
    EXPECT_EQ(read(log, 0)->records.size(), 1U);
    served.control(R"({"latency_ms":300})");
    EXPECT_EQ(append(log, "late").error().code, ErrorCode::OutcomeUnknown);
    served.control(R"({"latency_ms":0,"outage":true})");
    EXPECT_EQ(append(log, "refused").error().code, ErrorCode::Unavailable);
    EXPECT_EQ(read(log, 0).error().code, ErrorCode::Unavailable);
    served.control(R"({"outage":false})");
    EXPECT_EQ(read(log, 0)->records.size(), 2U);
    served.server->stop();
    EXPECT_EQ(append(log, "down").error().code, ErrorCode::Unavailable);
}

// Guards against a long poll that an append does not complete.
TEST_F(StandinsTest, LogLongPoll)
{
    ServedStandin<LogStandin> served;
    HttpLogClient log(m_client, {served.address()}, m_clock);
    std::optional<HttpResponse> held;
    m_client.request(served.address(), "GET", "/streams/s%2F1/records?from=0&wait_ms=5000", {},
                     Duration(4'000),
                     [&](const Result<HttpResponse> &response, bool) { held = *response; });
    m_io.run_for(Duration(50));
    EXPECT_FALSE(held.has_value());
    EXPECT_TRUE(append(log, "news").ok());
    m_io.restart();
    m_io.run_for(Duration(500));
    ASSERT_TRUE(held.has_value());
    EXPECT_NE(held->body.find("news"), std::string::npos);
}

// Guards against a list that shows changes without the lag, and against entries that stay listed
// after their worker has stopped registering.
TEST(ListModelTest, AppliesTheLagAndExpiresEntries)
{
    ListModel list;
    const WorkerInfo info{"w", "1.2.3.4:5", "z", "r", {}, {}, false};
    const auto at = [](int ms) { return instantFromMs(10'000 + ms); };
    list.registerWorker(info, at(0));
    EXPECT_TRUE(list.list(at(499)).empty());
    EXPECT_EQ(list.list(at(500)).size(), 1U);
    list.setLeaving({"w"}, at(1'000));
    EXPECT_FALSE(list.list(at(1'499)).at(0).leaving);
    EXPECT_TRUE(list.list(at(1'500)).at(0).leaving);
    list.registerWorker(info, at(2'000));
    EXPECT_EQ(list.list(at(7'499)).size(), 1U);
    EXPECT_TRUE(list.list(at(7'500)).empty());
}

TEST_F(StandinsTest, ListServesRegisteredWorkers)
{
    ServedStandin<ListStandin> served;
    served.control(R"({"lag_ms":0,"leaving":["w/2"]})");
    HttpInstanceListClient list(m_client, {served.address()}, m_clock);
    for (const std::string id : {"w/1", "w/2"}) {
        const std::string body = R"({"id":")" + id + R"(","address":"1.2.3.4:5"})";
        const auto answer = blockingRequest(
            served.address(), "PUT", "/instances/" + percentEncode(id), body, Duration(1'000));
        EXPECT_EQ(answer->status, 200);
    }
    const auto got = wait<std::vector<WorkerInfo>>([&](auto done) { list.fetch(std::move(done)); });
    ASSERT_TRUE(got.ok()) << got.error().reason;
    ASSERT_EQ(got->size(), 2U);
    EXPECT_FALSE(got->at(0).leaving);
    EXPECT_TRUE(got->at(1).leaving);
}

// Guards against a worker's error responses that reach the caller under another code, and against a
// long poll that is not answered when the task finishes.
TEST_F(StandinsTest, WorkerRunsTasksUnderASession)
{
    ServedStandin<WorkerStandin> served(
        "w", WorkerModelOptions{{4000, 1000, 0, 4, 4}, Duration(0), 100});
    const WorkerInfo worker{"w", served.address(), "z", "r", {}, {}, false};
    const auto grant = acquire(worker, "a");
    ASSERT_TRUE(grant.ok()) << grant.error().reason;
    EXPECT_EQ(acquire(worker, "b").error().code, ErrorCode::Conflict);

    WorkerCommand batch;
    batch.holder = "a";
    batch.epoch = grant->epoch;
    batch.stamp = grant->stamp;
    batch.starts = {{{{"t", "j"}, 0},
                     1,
                     {1000, 1, 0, 1, 1},
                     R"({"run_ms":50,"output":"done"})",
                     Duration(9'000)}};
    batch.waitForFinish = Duration(3'000);
    const Instant begin = m_clock.now();
    const auto report = command(worker, batch);
    ASSERT_TRUE(report.ok()) << report.error().reason;
    ASSERT_EQ(report->finished.size(), 1U);
    EXPECT_EQ(report->finished[0].output, "done");
    EXPECT_GE(m_clock.now() - begin, Duration(45));
    EXPECT_LT(m_clock.now() - begin, Duration(2'000));
    // A task that is reported but not yet acknowledged must not complete further polls at once.
    batch.starts.clear();
    batch.waitForFinish = Duration(100);
    const Instant second = m_clock.now();
    EXPECT_EQ(command(worker, batch)->finished.size(), 1U);
    EXPECT_GE(m_clock.now() - second, Duration(95));

    batch.epoch += 1;
    EXPECT_EQ(command(worker, batch).error().code, ErrorCode::PermissionDenied);
    const auto history = blockingRequest(served.address(), "GET", "/history", {}, Duration(1'000));
    EXPECT_NE(history->body.find(R"("outcome":"succeeded")"), std::string::npos) << history->body;
}

// Guards against a frozen worker that still responds, which would invalidate tests of process
// pauses.
TEST_F(StandinsTest, FrozenWorkerSendsNoResponse)
{
    ServedStandin<WorkerStandin> served(
        "w", WorkerModelOptions{{4000, 1000, 0, 4, 4}, Duration(0), 100});
    const WorkerInfo worker{"w", served.address(), "z", "r", {}, {}, false};
    const auto grant = acquire(worker, "a");
    served.control(R"({"freeze_ms":1500})");
    std::this_thread::sleep_for(Duration(50));
    WorkerCommand batch;
    batch.holder = "a";
    batch.epoch = grant->epoch;
    batch.stamp = grant->stamp;
    EXPECT_EQ(command(worker, batch).error().code, ErrorCode::OutcomeUnknown);
}

} // namespace
} // namespace cardamompaddle
