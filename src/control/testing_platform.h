// In-process fakes of the platform for tests: a keyed log with epochs and conditional appends,
// workers that accept every start, a policy service that approves everything, and peers. Flags
// inject faults.
#pragma once

#include "control/instance.h"
#include "control/timer.h"
#include "control/virtual_time_testing.h"
#include "control/worker_lease.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle::testing {

// Monotonic clock of the machine, or the virtual time of the test.
class TestClock : public Clock
{
public:
    Instant now() const override
    {
        if (const VirtualTimers *timers = VirtualTimers::installed())
            return timers->now();
        const auto since = std::chrono::steady_clock::now().time_since_epoch();
        return Instant(std::chrono::duration_cast<Duration>(since));
    }
};

// Stored topics, shared by all instances of a test.
struct LogModel
{
    struct Topic
    {
        std::vector<KeyedRecord> records;
        int64_t firstRetained = 0; // offset of the first record that has not expired
        std::map<std::string, int64_t> epochs; // highest seen epoch, by writer
        // Epoch and sequence number of the last append, by writer.
        std::map<std::string, std::pair<int64_t, int64_t>> lastAppends;
    };

    int64_t put(const std::string &topic, const std::string &key, const std::string &value)
    {
        auto &records = topics[topic].records;
        const auto offset = static_cast<int64_t>(records.size());
        records.push_back({key, value, value.empty(), offset});
        return offset;
    }
    // Expires all records of the topic; the newest one of each key is retained.
    void expire(const std::string &topic)
    {
        topics[topic].firstRetained = static_cast<int64_t>(topics[topic].records.size());
    }
    AppendResult append(const AppendRequest &request)
    {
        if (!takes(request))
            return {AppendOutcome::Rejected, "records"};
        Topic &topic = topics[request.topic];
        const bool endMoved = request.expectedEnd
                              && *request.expectedEnd != static_cast<int64_t>(topic.records.size());
        if (request.writer) {
            const auto &[name, epoch, sequence] = *request.writer;
            int64_t &highest = topic.epochs[name];
            if (epoch < highest)
                return {AppendOutcome::Fenced, "epoch"};
            auto &last = topic.lastAppends[name];
            // A repeated append is answered as stored again, whoever sends it. KeyedLog reports
            // earlier sequence numbers in the same way.
            if (epoch == last.first && sequence <= last.second && epoch == highest)
                return {AppendOutcome::Stored, "repeated", -1};
            if (epoch == last.first && sequence != last.second + 1)
                return {AppendOutcome::Fenced, "sequence"};
            if (endMoved)
                return {AppendOutcome::ConditionFailed, "end"};
            highest = epoch;
            last = {epoch, sequence};
        }
        if (endMoved)
            return {AppendOutcome::ConditionFailed, "end"};
        const auto offset = static_cast<int64_t>(topic.records.size());
        for (const KeyedRecord &record : request.records)
            put(request.topic, record.key, record.removed ? "" : record.value);
        ++appends;
        return {AppendOutcome::Stored, "", offset};
    }

    std::map<std::string, Topic> topics;
    LogLimits limits;
    std::string rejectedKey; // appends that hold a record of this key are rejected
    int appends = 0;

private:
    bool takes(const AppendRequest &request) const
    {
        size_t bytes = 0;
        for (const KeyedRecord &record : request.records) {
            bytes += storedBytes(record);
            if (storedBytes(record) > limits.maxRecordBytes || record.key == rejectedKey)
                return false;
        }
        return bytes <= limits.maxAppendBytes;
    }
};

// One instance's connections to the log.
class TestLog : public KeyedLog
{
public:
    TestLog(boost::asio::io_context &io, LogModel &model) : m_io(io), m_model(model) { }

    // From now on the present connections deliver nothing, in no direction. Calls on them get no
    // answer; calls after useNewConnections() or after a call has timed out do.
    void silencePresentConnections() { m_silentUpTo = m_connections; }
    void useNewConnections() override { ++m_connections; }

    void append(AppendRequest request, Duration timeout, AppendDone done) override
    {
        ++appendCalls;
        const bool isClaim = request.writer && request.expectedEnd;
        claimCalls += isClaim ? 1 : 0;
        if (isClaim && claimsFail)
            return later(Duration(1), [done] { done({AppendOutcome::NotStored, "refused"}); });
        if (unresponsive) {
            if (applyWhileUnresponsive)
                m_model.append(request);
            return later(timeout, [done] { done({AppendOutcome::Unknown, "no answer"}); });
        }
        if (refuses || request.topic == refusedTopic)
            return later(Duration(1), [done] { done({AppendOutcome::NotStored, "refused"}); });
        if (lateAppendDelay && request.topic == lateTopic) {
            later(*lateAppendDelay, [this, request] { m_model.append(request); });
            return later(timeout, [done] { done({AppendOutcome::Unknown, "no answer"}); });
        }
        if (virtualTime != nullptr)
            return appendDetached(request, done);
        later(appendTime, [this, request, timeout, done, connection = m_connections] {
            if (isSilent(connection))
                return timeOut(timeout, [done] { done({AppendOutcome::Unknown, "no answer"}); });
            done(m_model.append(request));
        });
    }
    void read(const std::string &topic, int64_t from, Duration wait, Duration timeout,
              ReadDone done) override
    {
        readOn(m_connections, topic, from, wait, timeout, std::move(done));
    }
    void readNewest(const std::string &topic, const std::string &after, Duration timeout,
                    NewestDone done) override
    {
        if (unresponsive || refuses)
            return later(Duration(1), [done] { done(Error{ErrorCode::Unavailable, "no log"}); });
        if (beforePage)
            beforePage(topic, after);
        NewestPage page;
        std::map<std::string, KeyedRecord> newest;
        for (const KeyedRecord &record : m_model.topics[topic].records)
            newest[record.key] = record;
        page.end = static_cast<int64_t>(m_model.topics[topic].records.size());
        for (const auto &[key, record] : newest) {
            if (record.removed || key <= after)
                continue;
            page.more = page.records.size() == pageSize;
            if (page.more)
                break;
            page.records.push_back(record);
        }
        deliver(m_connections, Duration(1), timeout, std::move(done), std::move(page));
    }

    // If set, an append is stored halfway through its time even if its caller is suspended by then.
    // Connections are never silent then.
    VirtualTime *virtualTime = nullptr;
    Duration appendTime{1};
    Duration readTime{1};
    bool unresponsive = false; // calls get no answer
    bool applyWhileUnresponsive = false; // appends are stored although their answers are lost
    bool refuses = false; // all calls fail and nothing is stored
    size_t pageSize = 500; // records in an answer to readNewest()
    // Called with the topic and the preceding key before a page is read.
    std::function<void(const std::string &, const std::string &)> beforePage;
    std::string unreadableTopic; // reads of this topic fail
    std::string silentTopic; // reads of this topic that wait for records get no answer
    std::string refusedTopic; // appends to this topic fail and are not stored
    // If set, appends to this topic get no answer and are carried out this much later.
    std::optional<Duration> lateAppendDelay;
    std::string lateTopic;
    bool claimsFail = false; // appends that claim the tenure fail and are not stored
    int appendCalls = 0;
    int claimCalls = 0; // appends that claim the tenure

private:
    void appendDetached(const AppendRequest &request, const AppendDone &done)
    {
        auto result = std::make_shared<AppendResult>();
        virtualTime->runAs(VirtualTime::Platform, [&] {
            later(appendTime / 2, [this, request, result] { *result = m_model.append(request); });
        });
        later(appendTime, [result, done] { done(*result); });
    }
    bool isSilent(int connection) const { return connection <= m_silentUpTo; }
    void timeOut(Duration timeout, std::function<void()> action)
    {
        later(timeout, [this, action = std::move(action)] {
            useNewConnections();
            action();
        });
    }
    template <typename Answer>
    void deliver(int connection, Duration after, Duration timeout,
                 std::function<void(Result<Answer>)> done, Answer answer)
    {
        later(after,
              [this, connection, timeout, done = std::move(done), answer = std::move(answer)] {
                  if (!isSilent(connection))
                      return done(answer);
                  timeOut(timeout, [done] { done(Error{ErrorCode::OutcomeUnknown, "no answer"}); });
              });
    }
    void readOn(int connection, const std::string &topic, int64_t from, Duration wait,
                Duration timeout, ReadDone done)
    {
        if (isSilent(connection))
            return timeOut(timeout, [done] {
                done(Error{ErrorCode::OutcomeUnknown, "no answer"});
            });
        if (unresponsive || refuses || topic == unreadableTopic)
            return later(unresponsive ? timeout : Duration(1), [done] {
                done(Error{ErrorCode::Unavailable, "no log"});
            });
        if (topic == silentTopic && wait > Duration::zero())
            return later(timeout, [done] { done(Error{ErrorCode::OutcomeUnknown, "no answer"}); });
        const auto &records = m_model.topics[topic].records;
        if (from < m_model.topics[topic].firstRetained)
            return later(Duration(1), [done] { done(Error{ErrorCode::NotFound, "expired"}); });
        if (static_cast<int64_t>(records.size()) <= from && wait > Duration::zero())
            return later(Duration(3), [=, this] {
                readOn(connection, topic, from, std::max(Duration::zero(), wait - Duration(3)),
                       std::max(Duration::zero(), timeout - Duration(3)), done);
            });
        LogSlice slice;
        slice.end = static_cast<int64_t>(records.size());
        for (int64_t i = from; i < slice.end; ++i)
            slice.records.push_back(records[static_cast<size_t>(i)]);
        deliver(connection, readTime, timeout, std::move(done), std::move(slice));
    }
    void later(Duration wait, std::function<void()> action)
    {
        auto timer = std::make_shared<Timer>(m_io, wait);
        timer->asyncWait([timer, action = std::move(action)](const auto &) { action(); });
    }

    boost::asio::io_context &m_io;
    LogModel &m_model;
    int m_connections = 1; // number of the connections that calls use
    int m_silentUpTo = 0; // connections up to this number are silent
};

// Workers shared by all instances. A run finishes only on a stop order or finishAllRuns().
class TestWorkers : public WorkerGateway
{
public:
    struct Run
    {
        TaskRef task;
        int64_t run = 0;
    };
    struct Worker
    {
        int64_t token = 0; // highest fencing token seen
        int64_t leaseEndMs = 0; // last requested lease end
        int64_t latestLeaseEndMs = 0; // latest requested lease end
        int64_t startedAtMs = 1;
        // When its present incarnation started. If set, its clock counts from then, and its runs
        // end with their leases, of `maxLease` at most.
        std::optional<Instant> startedAt;
        Instant leasesUntil = Instant::min();
        std::vector<Run> running;
        std::vector<EndedRun> ended;
        std::set<TaskRef> stopped; // late starts of these tasks are rejected
        int64_t lastPosition = 0; // of the newest finished run
        bool unresponsive = false; // calls get no answer
        int64_t unresponsiveFromEpoch = INT64_MAX; // calls of this epoch or a later one get none
        int unansweredStarts = 0; // number of coming start calls that get no answer
        bool delaysUnansweredStarts = false; // unanswered starts are not carried out
        // If set, unanswered starts are carried out this much later, in whatever incarnation.
        std::optional<Duration> lateStartDelay;
        bool refusesAfterUnanswered = false; // answered starts get NoRoom
        std::string idAtAddress; // if set, another worker has taken over the address
    };

    explicit TestWorkers(boost::asio::io_context &io) : m_io(io) { }

    void poll(const WorkerEntry &entry, const CommandFence &fence, int64_t acknowledged,
              Duration wait, Duration timeout, Instant requestedAt, PollDone done) override
    {
        Worker &worker = workers[entry.id];
        const Error error = checkFence(worker, entry.id, fence);
        if (!error.reason.empty())
            return later(error.code == ErrorCode::OutcomeUnknown ? timeout : Duration(1),
                         [error, done] { done(error); });
        std::erase_if(worker.ended,
                      [acknowledged](const EndedRun &end) { return end.position <= acknowledged; });
        if (worker.ended.empty() && wait > Duration(5))
            return later(Duration(5), [=, this] {
                poll(entry, fence, acknowledged, wait - Duration(5), timeout, requestedAt, done);
            });
        PollResult answer;
        answer.workerTimeMs = clockOf(worker);
        answer.report.requestedAt = requestedAt;
        answer.report.startedAtMs = worker.startedAtMs;
        for (const Run &run : worker.running)
            answer.report.running.push_back({run.task, run.run, "", 50, 0});
        const size_t listed = std::min(worker.ended.size(), maxEndsListed);
        answer.report.ended.assign(worker.ended.begin(),
                                   worker.ended.begin() + static_cast<std::ptrdiff_t>(listed));
        answer.report.moreEnded = listed == maxEndsListed;
        later(Duration(1), [answer, done] { done(answer); });
    }
    void start(const WorkerEntry &entry, const CommandFence &fence, const StartOrder &order,
               Duration timeout, StartDone done) override
    {
        Worker &worker = workers[entry.id];
        const Error error = checkFence(worker, entry.id, fence);
        if (!error.reason.empty())
            return later(error.code == ErrorCode::OutcomeUnknown ? timeout : Duration(1),
                         [error, done] { done(error); });
        ++startCalls;
        if (fence.leaseEndMs == 0) {
            ++startsWithoutLease;
            return later(Duration(1), [done] {
                done(StartAnswer{StartOutcome::WorkerUnavailable, std::nullopt});
            });
        }
        const bool answered =
            std::exchange(worker.unansweredStarts, std::max(0, worker.unansweredStarts - 1)) == 0;
        if (!answered && worker.lateStartDelay)
            later(*worker.lateStartDelay, [this, entry, fence, order] {
                Worker &present = workers[entry.id];
                const bool accepted = checkFence(present, entry.id, fence).reason.empty();
                if (accepted && !present.stopped.contains(order.task))
                    beginRun(present, order);
            });
        if (!answered && (worker.delaysUnansweredStarts || worker.lateStartDelay))
            return later(timeout, [error = noAnswer(), done] { done(error); });
        if (worker.refusesAfterUnanswered)
            return later(Duration(1), [done] {
                done(StartAnswer{StartOutcome::NoRoom, std::nullopt});
            });
        const bool alreadyRunning =
            std::any_of(worker.running.begin(), worker.running.end(), [&order](const Run &run) {
                return run.task == order.task && run.run == order.run;
            });
        if (!alreadyRunning)
            beginRun(worker, order);
        if (!answered)
            return later(timeout, [error = noAnswer(), done] { done(error); });
        const auto clockMs = worker.startedAt ? std::optional(clockOf(worker)) : std::nullopt;
        later(Duration(1), [clockMs, done] { done(StartAnswer{StartOutcome::Started, clockMs}); });
    }
    void stop(const WorkerEntry &entry, const CommandFence &fence, const StopOrder &order,
              Duration timeout, Done done) override
    {
        Worker &worker = workers[entry.id];
        const Error error = checkFence(worker, entry.id, fence);
        if (!error.reason.empty())
            return later(error.code == ErrorCode::OutcomeUnknown ? timeout : Duration(1),
                         [error, done] { done(error); });
        finishRun(worker, order.task, RunOutcome::Stopped);
        worker.stopped.insert(order.task);
        later(Duration(1), [done] { done({}); });
    }
    void throttle(const WorkerEntry &, const CommandFence &, const ThrottleOrder &, Duration,
                  Done done) override
    {
        later(Duration(1), [done] { done({}); });
    }

    // The worker starts again under its ID and knows nothing of before.
    void restart(const WorkerId &id, Instant now)
    {
        Worker next;
        next.startedAtMs = workers[id].startedAtMs + 1;
        next.startedAt = now;
        workers[id] = next;
    }
    void finishAllRuns(RunOutcome outcome)
    {
        for (auto &[id, worker] : workers) {
            while (!worker.running.empty())
                finishRun(worker, worker.running.front().task, outcome);
        }
    }
    size_t runningCount() const
    {
        size_t count = 0;
        for (const auto &[id, worker] : workers)
            count += worker.running.size();
        return count;
    }

    std::map<WorkerId, Worker> workers;
    // Clock of all workers that have no start of their own.
    std::function<int64_t()> workerTimeMs = [] { return 1'000; };
    Duration maxLease{10'000};
    size_t maxEndsListed = 500; // finished runs in one answer to poll()
    std::set<TaskRef> succeeded;
    int starts = 0; // runs that began
    int startCalls = 0; // start calls, including repeated ones
    int startsWithoutLease = 0; // start calls that were rejected because they carry no lease
    bool ranTwice = false; // a task ran twice at a time, or again after it had succeeded

private:
    static Error noAnswer() { return {ErrorCode::OutcomeUnknown, "no answer"}; }
    int64_t clockOf(const Worker &worker) const
    {
        return worker.startedAt ? (m_clock.now() - *worker.startedAt).count() : workerTimeMs();
    }
    // The runs end when the leases do, also on a worker that answers nothing.
    void endExpiredRuns()
    {
        for (auto &[id, worker] : workers) {
            if (worker.startedAt && m_clock.now() > worker.leasesUntil)
                worker.running.clear();
        }
    }
    void beginRun(Worker &worker, const StartOrder &order)
    {
        endExpiredRuns();
        for (const auto &[id, other] : workers) {
            for (const Run &run : other.running) {
                if (&other == &worker && run.task == order.task && run.run == order.run)
                    return; // it is there already
                ranTwice = ranTwice || run.task == order.task;
            }
        }
        ranTwice = ranTwice || succeeded.contains(order.task);
        worker.running.push_back({order.task, order.run});
        ++starts;
    }
    // Returns the error to answer with; its reason is empty if the call is accepted.
    Error checkFence(Worker &worker, const WorkerId &id, const CommandFence &fence)
    {
        if (worker.unresponsive || epochOfToken(fence.token) >= worker.unresponsiveFromEpoch)
            return noAnswer();
        if (!worker.idAtAddress.empty() && fence.worker == id)
            return {ErrorCode::Conflict, "another worker"};
        if (fence.token < worker.token)
            return {ErrorCode::PermissionDenied, "token"};
        worker.token = fence.token;
        if (fence.leaseEndMs > 0)
            worker.leaseEndMs = fence.leaseEndMs;
        worker.latestLeaseEndMs = std::max(worker.latestLeaseEndMs, fence.leaseEndMs);
        const Duration lease = std::min(Duration(fence.leaseEndMs - clockOf(worker)), maxLease);
        if (fence.leaseEndMs > 0)
            worker.leasesUntil = std::max(worker.leasesUntil, m_clock.now() + lease);
        return {};
    }
    void finishRun(Worker &worker, const TaskRef &task, RunOutcome outcome)
    {
        for (const Run &run : worker.running) {
            if (run.task != task)
                continue;
            worker.ended.push_back({++worker.lastPosition, run.task, run.run, outcome, ""});
            if (outcome == RunOutcome::Succeeded)
                succeeded.insert(run.task);
        }
        std::erase_if(worker.running, [&task](const Run &run) { return run.task == task; });
    }
    void later(Duration wait, std::function<void()> action)
    {
        auto timer = std::make_shared<Timer>(m_io, wait);
        timer->asyncWait([timer, action = std::move(action)](const auto &) { action(); });
    }

    boost::asio::io_context &m_io;
    TestClock m_clock;
};

// Policy service and peers of the instances under test.
class TestPolicy : public PolicyGateway, public PeerGateway
{
public:
    explicit TestPolicy(boost::asio::io_context &io) : m_io(io) { }
    void approve(const std::string &, const std::vector<WorkerId> &workers, Duration,
                 PolicyGateway::Done done) override
    {
        boost::asio::post(m_io, [workers, done] { done(approvalsFor(workers)); });
    }
    void closeIdleConnections() override { }
    void approve(const std::string &, const work::ApprovalRequest &request, Duration,
                 PeerGateway::Done done) override
    {
        work::ApprovalAnswer answer;
        answer.ok = true;
        answer.approved = approvalsFor(request.workers);
        boost::asio::post(m_io, [answer, done] { done(answer); });
    }

    void recordsStored(const std::string &address, const work::StoredRecords &records,
                       std::function<void(Result<void>)> done) override
    {
        if (unresponsivePeers.contains(address)) {
            auto timer = std::make_shared<Timer>(m_io, Duration(600));
            return timer->asyncWait([timer, done = std::move(done)](const auto &) {
                done(Error{ErrorCode::OutcomeUnknown, "no answer"});
            });
        }
        const auto it = receivers.find(address);
        boost::asio::post(m_io, [receive = it == receivers.end() ? nullptr : it->second, records,
                                 done = std::move(done)] {
            if (receive)
                receive(records);
            done(receive ? Result<void>() : noSuchPeer());
        });
    }

    void forward(const std::string &address, const work::CallerRequest &request, Duration timeout,
                 ForwardDone done) override
    {
        forwardedRequests.push_back(address + " " + request.path);
        forwardedVersion = request.configurationVersion;
        if (forwardFails)
            return boost::asio::post(m_io, [done = std::move(done)] { done(noSuchPeer()); });
        auto timer = std::make_shared<Timer>(m_io, forwardResponse ? Duration(1) : timeout);
        timer->asyncWait([timer, answer = forwardResponse, done = std::move(done)](const auto &) {
            done(answer ? Result<work::CallerResponse>(*answer)
                        : Error{ErrorCode::OutcomeUnknown, "no answer"});
        });
    }

    void callWorkers(const std::string &address, const work::WorkerCalls &calls, Duration,
                     WorkerCallsDone done) override
    {
        const auto it = callReceivers.find(address);
        boost::asio::post(m_io, [receive = it == callReceivers.end() ? nullptr : it->second, calls,
                                 done = std::move(done)] {
            const auto answer = receive ? receive(calls) : std::nullopt;
            done(answer ? Result<work::WorkerCallsReceived>(*answer) : noSuchPeer());
        });
    }

    void answerWorkerCalls(const std::string &address, const work::WorkerAnswers &answers,
                           std::function<void(Result<void>)> done) override
    {
        const auto it = answerReceivers.find(address);
        boost::asio::post(m_io, [receive = it == answerReceivers.end() ? nullptr : it->second,
                                 answers, done = std::move(done)] {
            if (receive)
                receive(answers);
            done(receive ? Result<void>() : noSuchPeer());
        });
    }

    std::vector<std::string> forwardedRequests; // "ADDRESS PATH"
    int64_t forwardedVersion = 0; // of the configuration, with the last forwarded request
    std::optional<work::CallerResponse> forwardResponse; // empty: forwarded requests time out
    bool forwardFails = false; // forwarded requests reach no peer
    // Handlers of records that other instances have stored, by peer address.
    std::map<std::string, std::function<void(const work::StoredRecords &)>> receivers;
    std::set<std::string> unresponsivePeers; // addresses at which published records get no answer
    // Handlers of calls to workers and of their answers, by peer address. An empty result of the
    // former means that the peer does not exist any more.
    using ReceiveCalls =
        std::function<std::optional<work::WorkerCallsReceived>(const work::WorkerCalls &)>;
    std::map<std::string, ReceiveCalls> callReceivers;
    std::map<std::string, std::function<void(const work::WorkerAnswers &)>> answerReceivers;

private:
    static Error noSuchPeer() { return {ErrorCode::Unavailable, "no such peer"}; }
    static std::vector<work::Approval> approvalsFor(const std::vector<WorkerId> &workers)
    {
        std::vector<work::Approval> out;
        for (const WorkerId &worker : workers) {
            work::Approval approval;
            approval.worker = worker;
            approval.ticket = "ticket";
            out.push_back(approval);
        }
        return out;
    }
    boost::asio::io_context &m_io;
};

} // namespace cardamompaddle::testing
