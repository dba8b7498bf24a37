// Models of the policy service and of workers in virtual time, without sockets, for tests of the
// scheduler's decisions over whole fleets.
#pragma once

#include "control/gateways.h"
#include "dispatch/catalog.h"
#include "platform/worker.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cardamompaddle::promise {

// Returns a well-mixed hash of the values.
inline uint64_t mix(uint64_t a, uint64_t b)
{
    uint64_t h = a * 0x9e3779b97f4a7c15ULL + b;
    h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ULL;
    h = (h ^ (h >> 27)) * 0x94d049bb133111ebULL;
    return h ^ (h >> 31);
}

// A clock and the actions that are due on it.
class VirtualTime : public Clock
{
public:
    Instant now() const override { return m_now; }
    void after(Duration wait, std::function<void()> action)
    {
        m_due.push({m_now + wait, m_next++, std::move(action)});
    }
    // Runs all actions that are due until `end`, in the order of their times.
    void runUntil(Instant end)
    {
        while (!m_due.empty() && m_due.top().at <= end) {
            const Item item = m_due.top();
            m_due.pop();
            m_now = item.at;
            item.action();
        }
        m_now = end;
    }

private:
    struct Item
    {
        Instant at;
        uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Item &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    std::priority_queue<Item> m_due;
    Instant m_now = instantFromMs(100'000);
    uint64_t m_next = 0;
};

struct PolicyParameters
{
    Duration decisionTime{0}; // of a call
    double perWorkerMs = 0; // added for each worker named
    Duration validity{0}; // of an approval, from the arrival of the call
    double approvedShare = 1; // of the workers, for each step
};

// The sizes of a fleet and of its work.
struct Scenario
{
    bool large = false;
    int instances = 0;
    int workers = 0;
    Resources capacity; // of a worker
    PolicyParameters policy;
    bool batchNeedsApproval = false;
    int64_t maxGang = 0;
    int64_t minGangCpu = 0; // cores of a member
    int64_t maxGangCpu = 0;
    double load = 0; // of the pool
    // How long the log takes for an append. Other than 0: starts go out before they are recorded.
    Duration unrecordedAppendTime{0};
    double maxCopyShare = 0; // SchedulingPolicies::maxCopyShare
    // Of the workers, in percent; runs that start there take StragglerFactor times as long.
    int64_t slowWorkerPercent = 0;
    Duration length{18'000};
};

inline constexpr int64_t StragglerFactor = 7;

// Draws numbers; equal seeds give equal numbers.
class Draw
{
public:
    explicit Draw(uint64_t seed) : m_seed(seed), m_engine(seed) { }
    uint64_t seed() const { return m_seed; }
    // Both bounds are included.
    int64_t between(int64_t low, int64_t high)
    {
        return low + static_cast<int64_t>(m_engine() % static_cast<uint64_t>(high - low + 1));
    }
    bool percent(int64_t share) { return between(1, 100) <= share; }

private:
    uint64_t m_seed;
    std::mt19937_64 m_engine;
};

// The name of a team; there are `Teams` of them.
inline constexpr int Teams = 4;
inline std::string teamName(int64_t number)
{
    return "t" + std::to_string(number);
}

// Routes "quick" for urgent work, "gang" whose steps need approvals, and "batch".
inline std::shared_ptr<const Catalog> makeCatalog(const Scenario &scenario, Draw &draw)
{
    auto out = std::make_shared<Catalog>();
    const auto addRoute = [&](const char *name, int32_t priority, bool needsApproval) {
        const PolicyParameters &policy = scenario.policy;
        WorkRoute route;
        route.name = name;
        route.pool = "p";
        route.priority = priority;
        route.maxAttempts = 1'000;
        route.slowdownFactor = 2;
        route.latencyTarget = Duration(2'000);
        if (needsApproval)
            route.approval =
                ApprovalPolicy{policy.decisionTime, policy.perWorkerMs, policy.validity};
        out->routes[name] = route;
    };
    addRoute("quick", 0, false);
    addRoute("gang", 1, true);
    addRoute("batch", 1, scenario.batchNeedsApproval);
    for (int i = 0; i < Teams; ++i) {
        Team team;
        team.name = teamName(i);
        team.limit = scenario.capacity * (scenario.workers * draw.between(50, 100) / 100);
        out->teams[team.name] = team;
    }
    return out;
}

inline WorkerEntry makeWorkerEntry(const Scenario &scenario, int64_t number)
{
    WorkerEntry out;
    out.id = "w" + std::to_string(number);
    out.address =
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80";
    out.pool = "p";
    out.availabilityZone = "z" + std::to_string(number % 3);
    out.labels = {"rack" + std::to_string(number % 12)};
    out.capacity = scenario.capacity;
    out.startedAtMs = number;
    return out;
}

// The policy service and the links to it. It handles the calls of one instance one at a time, and
// goes on with a call whose caller no longer waits.
class PolicyServiceModel : public PolicyGateway, public PeerGateway
{
public:
    using LifeOf = std::function<int64_t(const WorkerId &)>; // 0 if there is no such worker

    PolicyServiceModel(VirtualTime &time, PolicyParameters parameters, LifeOf lifeOf)
        : m_time(time), m_parameters(parameters), m_lifeOf(std::move(lifeOf))
    { }

    void setSelf(std::string self) { m_self = std::move(self); }
    // Calls of the caller get no answer until then.
    void setSilentUntil(const std::string &caller, Instant until)
    {
        m_callers[caller].silentUntil = std::max(m_callers[caller].silentUntil, until);
    }
    // Lengthens the answers to the caller.
    void setDelay(const std::string &caller, Duration delay) { m_callers[caller].delay = delay; }

    bool admits(int64_t life, uint64_t stepHash) const
    {
        const double draw = static_cast<double>(mix(static_cast<uint64_t>(life), stepHash) >> 11);
        return draw < m_parameters.approvedShare * 0x1p53;
    }
    static uint64_t hashOf(const std::string &step)
    {
        uint64_t h = 14695981039346656037ULL;
        for (const char c : step)
            h = (h ^ static_cast<uint8_t>(c)) * 1099511628211ULL;
        return h;
    }
    // Whether a start of the step on the worker may use the ticket now.
    bool isValid(const std::string &ticket, const WorkerId &worker, const std::string &step) const
    {
        const auto it = m_tickets.find(ticket);
        return it != m_tickets.end() && it->second.worker == worker && it->second.step == step
               && it->second.life == m_lifeOf(worker) && it->second.expires >= m_time.now();
    }
    int callsFor(const std::string &step) const
    {
        const auto it = m_calls.find(step);
        return it == m_calls.end() ? 0 : it->second.count;
    }
    // Returns when the first call for the step was sent, if any was.
    std::optional<Instant> firstCallFor(const std::string &step) const
    {
        const auto it = m_calls.find(step);
        return it == m_calls.end() ? std::nullopt : std::optional(it->second.firstAt);
    }
    // Returns how long callers have waited for answers, all callers together.
    Duration callTime() const { return m_callTime; }

    void approve(const std::string &step, const std::vector<WorkerId> &workers, Duration timeout,
                 PolicyGateway::Done done) override
    {
        call(m_self, step, workers, timeout, timeout, done);
    }
    void closeIdleConnections() override { }
    // The address of a peer is its name.
    void approve(const std::string &address, const work::ApprovalRequest &request, Duration timeout,
                 PeerGateway::Done done) override
    {
        call(address, request.step, request.workers, Duration(request.timeoutMs), timeout,
             [done = std::move(done)](const Result<std::vector<work::Approval>> &answer) {
                 if (!answer)
                     return done(answer.error());
                 work::ApprovalAnswer out;
                 out.ok = true;
                 out.approved = *answer;
                 done(out);
             });
    }
    void recordsStored(const std::string &, const work::StoredRecords &,
                       std::function<void(Result<void>)>) override
    { }
    void forward(const std::string &, const work::CallerRequest &, Duration, ForwardDone) override
    { }
    void callWorkers(const std::string &, const work::WorkerCalls &, Duration,
                     WorkerCallsDone) override
    { }
    void answerWorkerCalls(const std::string &, const work::WorkerAnswers &,
                           std::function<void(Result<void>)>) override
    { }

private:
    static constexpr Duration LinkDelay{2};
    static constexpr int MaxWaitingCalls = 32;

    struct Caller
    {
        Instant silentUntil = Instant::min();
        Duration delay{0};
        std::vector<Instant> ends; // of calls that wait or are being decided
    };
    struct CallsOfStep
    {
        int count = 0;
        Instant firstAt;
    };
    struct Ticket
    {
        WorkerId worker;
        int64_t life = 0;
        std::string step;
        Instant expires;
    };

    // `serviceTimeout` is that of the caller towards the service, `timeout` that of the scheduler.
    void call(const std::string &name, const std::string &step,
              const std::vector<WorkerId> &workers, Duration serviceTimeout, Duration timeout,
              const PolicyGateway::Done &done)
    {
        Caller &caller = m_callers[name];
        const Instant sentAt = m_time.now();
        ++m_calls.try_emplace(step, CallsOfStep{0, sentAt}).first->second.count;
        const auto fail = [this, done](Duration after, ErrorCode code, const char *why) {
            m_time.after(after, [done, code, why] { done(Error{code, why}); });
        };
        if (caller.silentUntil > sentAt)
            return fail(timeout, ErrorCode::OutcomeUnknown, "timed out");
        const Instant arrival = sentAt + LinkDelay + caller.delay;
        std::erase_if(caller.ends, [arrival](Instant end) { return end <= arrival; });
        if (caller.ends.size() > MaxWaitingCalls)
            return fail(arrival + LinkDelay - sentAt, ErrorCode::Unavailable, "429");
        const Instant begin = caller.ends.empty() ? arrival : caller.ends.back();
        const Duration perWorkers(
            static_cast<int64_t>(m_parameters.perWorkerMs * static_cast<double>(workers.size())));
        const Instant end = begin + m_parameters.decisionTime + perWorkers;
        caller.ends.push_back(end);
        const Instant answered = end + LinkDelay;
        m_callTime += answered - sentAt;
        if (answered - sentAt > serviceTimeout)
            return fail(serviceTimeout + LinkDelay, ErrorCode::OutcomeUnknown, "timed out");
        m_time.after(answered - sentAt, [=, this] {
            // A link that went silent meanwhile loses the answer.
            if (m_callers[name].silentUntil > m_time.now())
                return fail(sentAt + timeout - m_time.now(), ErrorCode::OutcomeUnknown,
                            "timed out");
            done(decide(step, workers, arrival));
        });
    }
    std::vector<work::Approval> decide(const std::string &step,
                                       const std::vector<WorkerId> &workers, Instant arrival)
    {
        std::vector<work::Approval> out;
        const uint64_t hash = hashOf(step);
        for (const WorkerId &worker : workers) {
            const int64_t life = m_lifeOf(worker);
            if (life == 0 || !admits(life, hash))
                continue;
            work::Approval approval;
            approval.worker = worker;
            approval.ticket = "t" + std::to_string(m_tickets.size());
            m_tickets[approval.ticket] = {worker, life, step, arrival + m_parameters.validity};
            out.push_back(approval);
        }
        return out;
    }

    VirtualTime &m_time;
    PolicyParameters m_parameters;
    LifeOf m_lifeOf;
    std::string m_self;
    std::map<std::string, Caller> m_callers;
    std::map<std::string, Ticket> m_tickets;
    std::map<std::string, CallsOfStep> m_calls;
    Duration m_callTime{0};
};

// A worker that runs tasks. The members of a gang end together; if one of them ends early, the
// others end as GangBroken.
class WorkerModel
{
public:
    struct Task
    {
        TaskRef task;
        int64_t run = 0;
        Resources needed;
        Instant startedAt;
        Duration runTime{0};
    };

    WorkerModel() = default;
    WorkerModel(WorkerEntry workerEntry, int64_t workerLife)
        : entry(std::move(workerEntry)), life(workerLife)
    { }

    Resources used() const
    {
        Resources out;
        for (const Task &task : tasks)
            out += task.needed;
        return out;
    }
    // How many more tasks of this size fit.
    int64_t places(const Resources &needed, int32_t maximum) const
    {
        const Resources room = entry.capacity - used();
        int64_t out = room.cpuMilli / std::max<int64_t>(1, needed.cpuMilli);
        out = std::min(out, room.memoryMb / std::max<int64_t>(1, needed.memoryMb));
        return maximum > 0 ? std::min<int64_t>(out, maximum) : out;
    }
    StartOutcome start(const Task &task)
    {
        int64_t &highest = m_highestRun[task.task.toString()];
        if (task.run <= highest)
            return StartOutcome::StaleRun;
        if (places(task.needed, 0) < 1)
            return StartOutcome::NoRoom;
        highest = task.run;
        tasks.push_back(task);
        return StartOutcome::Started;
    }
    // Prevents a later start of the run, too.
    void stop(const TaskRef &task, int64_t run)
    {
        int64_t &highest = m_highestRun[task.toString()];
        highest = std::max(highest, run);
        end(task, run, RunOutcome::Stopped);
    }
    // Returns whether the run was there.
    bool end(const TaskRef &task, int64_t run, RunOutcome outcome)
    {
        const auto it = std::find_if(tasks.begin(), tasks.end(), [&](const Task &candidate) {
            return candidate.run == run && candidate.task == task;
        });
        if (it == tasks.end())
            return false;
        tasks.erase(it);
        m_ended.push_back({++m_position, task, run, outcome, ""});
        return true;
    }
    // Lists active runs and the finished ones after the position.
    RunReport report(int64_t acknowledged, Instant now) const
    {
        RunReport out;
        out.requestedAt = now;
        out.startedAtMs = life;
        for (const Task &task : tasks) {
            const int64_t percent =
                100 * (now - task.startedAt).count() / std::max<int64_t>(1, task.runTime.count());
            out.running.push_back({task.task, task.run, "",
                                   static_cast<int32_t>(std::clamp<int64_t>(percent, 1, 99)), 0});
        }
        for (const EndedRun &end : m_ended) {
            if (end.position > acknowledged)
                out.ended.push_back(end);
        }
        return out;
    }

    WorkerEntry entry;
    int64_t life = 0; // Unix time of its start; unique
    std::vector<Task> tasks;

private:
    std::map<std::string, int64_t> m_highestRun;
    std::vector<EndedRun> m_ended;
    int64_t m_position = 0;
};

} // namespace cardamompaddle::promise
