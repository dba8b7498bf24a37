// Property test: runs random sequences of calls and checks the decisions against an oracle that
// keeps its own accounts.
#include "scheduler/scheduler_testing.h"

#include <rapidcheck/gtest.h>

namespace cardamompaddle {
namespace {

struct Op
{
    int kind = 0;
    int a = 0;
    int b = 0;
    int c = 0;
};

void showValue(const Op &op, std::ostream &os)
{
    os << "{" << op.kind << "," << op.a << "," << op.b << "," << op.c << "}";
}

// An attempt that was started and may still be running.
struct Live
{
    Decision start;
    WorkerId worker;
    bool sessionLost = false;
};

class Oracle : public StartGate
{
public:
    explicit Oracle(bool policy)
    {
        m_pool.name = "p";
        m_pool.reservePercent = 10;
        m_pool.overcommitCpuPercent = 150;
        m_pool.gangWait = Duration(500);
        m_pool.zoneDrain = Duration(1'000);
        SchedulerOptions options;
        options.maxStopsPerDecide = 3;
        if (!policy)
            options.order = makeFifoOrder();
        m_scheduler.emplace(
            std::move(PoolScheduler::create(m_pool, nullptr, std::move(options)).value()));
        for (int it = 0; it < Workers; ++it)
            reconnect(it);
    }

    bool mayStart(const std::string &team, int32_t count) override
    {
        return m_running[team] + count <= m_limits[team];
    }
    bool mayStartNonRepeatable(const TaskId &) override { return m_intents; }
    void startDecided(const std::string &team) override { ++m_running[team]; }

    void apply(const Op &op)
    {
        using Step = void (Oracle::*)(const Op &);
        static constexpr Step Steps[] = {
            &Oracle::submit,  &Oracle::submit, &Oracle::submit, &Oracle::decide, &Oracle::decide,
            &Oracle::end,     &Oracle::end,    &Oracle::cancel, &Oracle::lose,   &Oracle::back,
            &Oracle::release, &Oracle::zones,  &Oracle::leave,  &Oracle::refuse, &Oracle::measure,
            &Oracle::limits,  &Oracle::shed};
        (this->*Steps[static_cast<size_t>(op.kind) % std::size(Steps)])(op);
    }

    // Brings back all workers and zones and lets all tasks succeed: all work must end, and all
    // capacity must be free again.
    void drain()
    {
        m_intents = true;
        m_limits = {{"t0", 100}, {"t1", 100}};
        m_leaving.clear();
        m_zonesOut.clear();
        m_scheduler->setZonesOut({}, m_now);
        for (int it = 0; it < Workers; ++it)
            reconnect(it);
        for (int round = 0; round < 400; ++round) {
            decide({0, 2'000, 0, 0});
            while (!m_live.empty())
                finish(m_live.begin()->first, TaskOutcome::Succeeded);
        }
        for (const auto &[key, spec] : m_jobs)
            if (m_scheduler->hasJob(key))
                RC_FAIL(key.toString()
                        + " has not ended: " + m_scheduler->explainWaiting(key, m_now));
        for (const WorkerRow &it : m_scheduler->workerRows(m_now)) {
            RC_ASSERT(it.running == 0);
            RC_ASSERT(it.free.slots == it.capacity.slots);
        }
        RC_ASSERT(m_scheduler->runningByTeam().empty());
    }

private:
    static constexpr int Workers = 6;

    WorkerInfo info(int number) const
    {
        const std::string zone(1, static_cast<char>('a' + number % 3));
        WorkerInfo made = makeWorker("w" + std::to_string(number), zone, zone + "r",
                                     {8'000, 16'000, number == 0 ? 2 : 0, 6, 20});
        made.leaving = m_leaving.contains(made.id);
        return made;
    }

    void submit(const Op &op)
    {
        WorkItem item;
        item.spec.key = {"t" + std::to_string(op.a % 2), "j" + std::to_string(++m_sequence)};
        item.spec.route = "r" + std::to_string(op.b % 2);
        item.spec.kind = static_cast<WorkKind>(op.b % 4);
        item.spec.tasks = item.spec.kind == WorkKind::Request ? 1 : 1 + op.c % 4;
        item.spec.urgency = op.a % 10;
        item.spec.perTask = {500 + 500L * (op.c % 8), 500L * (1 + op.b % 5),
                             op.a % 7 == 0 && item.spec.kind != WorkKind::Gang ? 1 : 0, 1,
                             1 + op.c % 4};
        item.spec.repeatable = op.c % 5 != 0;
        item.sequence = m_sequence;
        if (item.spec.kind == WorkKind::Request)
            item.deadline = m_now + Duration(op.a * 100);
        if (m_scheduler->submit(item, m_now).ok())
            m_jobs[item.spec.key] = item.spec;
    }

    void decide(const Op &op)
    {
        m_now += Duration(op.a);
        for (const Decision &it : m_scheduler->decide(m_now, *this, 5 + op.b)) {
            if (it.kind == DecisionKind::Start)
                started(it);
            else if (it.kind == DecisionKind::RejectRequest)
                RC_ASSERT(m_mayHaveRun[it.job] == 0); // I7
            else if (it.kind == DecisionKind::Stop && m_live.contains(it.target) && op.c % 3 != 0)
                finish(it.target, TaskOutcome::Stopped);
        }
        checkWorkers();
    }

    void started(const Decision &it)
    {
        const WorkerInfo worker = info(it.worker[1] - '0');
        RC_ASSERT(m_connected.contains(it.worker));
        RC_ASSERT(!m_zonesOut.contains(worker.availabilityZone)); // I5
        RC_ASSERT(!worker.leaving); // I9
        RC_ASSERT(m_jobs.contains(it.start.task.job));
        RC_ASSERT(!m_cancelled.contains(it.start.task.job));
        for (const auto &[attempt, live] : m_live)
            RC_ASSERT(!(attempt.task == it.start.task)); // I2
        if (!it.start.repeatable)
            RC_ASSERT(m_startedOnce.insert(it.start.task).second); // I8
        const TaskAttempt key{it.start.task, it.start.attempt};
        RC_ASSERT(m_attempts.insert(key).second);
        ++m_mayHaveRun[it.start.task.job];
        m_live[key] = {it, it.worker, false};
    }

    // Checks I1 and I4 against the attempts that were started and have not ended.
    void checkWorkers()
    {
        std::map<WorkerId, Resources> used;
        std::map<std::string, int> running;
        for (const auto &[attempt, live] : m_live) {
            used[live.worker] += live.start.start.declared;
            ++running[attempt.task.job.team];
        }
        for (const auto &[id, sum] : used) {
            Resources most = info(id[1] - '0').capacity;
            most.cpuMilli = most.cpuMilli * 150 / 100;
            most.memoryMb = most.memoryMb * 90 / 100;
            if (!m_throttled.contains(id))
                RC_ASSERT(sum.fitsIn(most));
            else
                RC_ASSERT(sum.slots <= most.slots && sum.memoryMb <= most.memoryMb);
        }
        for (const auto &[team, count] : running)
            RC_ASSERT(count == m_running[team]);
        for (const auto &[team, count] : m_scheduler->runningByTeam())
            RC_ASSERT(count == running[team]);
    }

    void finish(const TaskAttempt &ended, TaskOutcome outcome)
    {
        const TaskAttempt attempt = ended; // `ended` may refer to the key that is erased
        const Live live = m_live.at(attempt);
        const TaskDisposition disposition =
            live.sessionLost && outcome == TaskOutcome::LeaseLapsed
                ? m_scheduler->releaseUncertain(attempt, m_now)
                : m_scheduler->taskEnded(live.worker, attempt, outcome, m_now);
        RC_ASSERT(disposition != TaskDisposition::Stale);
        RC_ASSERT(m_scheduler->taskEnded(live.worker, attempt, outcome, m_now)
                  == TaskDisposition::Stale); // repeated reports
        m_live.erase(attempt);
        --m_running[attempt.task.job.team];
    }

    std::optional<TaskAttempt> pick(int number, bool sessionLost) const
    {
        std::vector<TaskAttempt> some;
        for (const auto &[attempt, live] : m_live) {
            if (live.sessionLost == sessionLost)
                some.push_back(attempt);
        }
        if (some.empty())
            return std::nullopt;
        return some[static_cast<size_t>(number) % some.size()];
    }

    void end(const Op &op)
    {
        if (const auto it = pick(op.a, false))
            finish(*it, static_cast<TaskOutcome>(op.b % 4));
    }
    void release(const Op &op)
    {
        if (const auto it = pick(op.a, true))
            finish(*it, TaskOutcome::LeaseLapsed);
    }
    void refuse(const Op &op)
    {
        const auto it = pick(op.a, false);
        if (!it)
            return;
        m_startedOnce.erase(it->task); // a refused start did not run
        --m_mayHaveRun[it->task.job];
        m_scheduler->startRefused(m_live.at(*it).worker, *it, m_now);
        m_live.erase(*it);
        --m_running[it->task.job.team];
    }
    void cancel(const Op &op)
    {
        if (m_jobs.empty())
            return;
        auto it = m_jobs.begin();
        std::advance(it, op.a % static_cast<int>(m_jobs.size()));
        m_scheduler->cancel(it->first, m_now);
        m_cancelled.insert(it->first);
    }
    void lose(const Op &op)
    {
        const WorkerId id = info(op.a % Workers).id;
        m_scheduler->workerLost(id, m_now);
        m_connected.erase(id);
        for (auto &[attempt, live] : m_live)
            live.sessionLost = live.sessionLost || live.worker == id;
    }
    void back(const Op &op) { reconnect(op.a % Workers); }
    void reconnect(int number)
    {
        const WorkerInfo worker = info(number);
        std::vector<RunningTask> running;
        for (auto &[attempt, live] : m_live) {
            if (live.worker != worker.id)
                continue;
            live.sessionLost = false;
            RunningTask task;
            task.task = attempt.task;
            task.attempt = attempt.attempt;
            task.declared = live.start.start.declared;
            running.push_back(task);
        }
        m_scheduler->workerAcquired(worker, running, m_now);
        m_connected.insert(worker.id);
    }
    void zones(const Op &op)
    {
        m_zonesOut.clear();
        if (op.a % 3 != 0)
            m_zonesOut.insert(std::string(1, static_cast<char>('a' + op.b % 3)));
        m_scheduler->setZonesOut(m_zonesOut, m_now);
    }
    void leave(const Op &op)
    {
        const WorkerId id = info(op.a % Workers).id;
        if (m_leaving.erase(id) == 0)
            m_leaving.insert(id);
        m_scheduler->workerUpdated(info(op.a % Workers), m_now);
    }
    void measure(const Op &op)
    {
        const WorkerId id = info(op.a % Workers).id;
        std::vector<RunningTask> report;
        for (const auto &[attempt, live] : m_live) {
            if (live.worker != id)
                continue;
            RunningTask task;
            task.task = attempt.task;
            task.attempt = attempt.attempt;
            task.declared = live.start.start.declared;
            task.usage = {100L * (op.b % 60), 100L * (op.c % 60), 0, 1, 1};
            task.checkpointed = op.c % 2 == 0;
            report.push_back(task);
        }
        m_throttled.insert(id); // throttled tasks count less than declared
        m_scheduler->usageReported(id, report, m_now);
    }
    void limits(const Op &op)
    {
        m_limits["t" + std::to_string(op.a % 2)] = op.b % 12;
        m_intents = op.c % 2 == 0;
    }
    void shed(const Op &op)
    {
        m_scheduler->stopTeamExcess("t" + std::to_string(op.a % 2), op.b % 3, m_now);
    }

    PoolSpec m_pool;
    std::optional<PoolScheduler> m_scheduler;
    Instant m_now = instantFromMs(5'000);
    uint64_t m_sequence = 0;
    bool m_intents = true;
    std::map<JobKey, JobSpec> m_jobs;
    std::set<JobKey> m_cancelled;
    std::map<JobKey, int> m_mayHaveRun; // number of attempts that were not refused
    std::map<TaskAttempt, Live> m_live;
    std::set<TaskAttempt> m_attempts;
    std::set<TaskId> m_startedOnce;
    std::map<std::string, int> m_running;
    std::map<std::string, int> m_limits{{"t0", 30}, {"t1", 30}};
    std::set<WorkerId> m_connected;
    std::set<WorkerId> m_leaving;
    std::set<WorkerId> m_throttled;
    std::set<std::string> m_zonesOut;
};

rc::Gen<Op> anyOp()
{
    return rc::gen::build<Op>(rc::gen::set(&Op::kind, rc::gen::inRange(0, 17)),
                              rc::gen::set(&Op::a, rc::gen::inRange(0, 400)),
                              rc::gen::set(&Op::b, rc::gen::inRange(0, 60)),
                              rc::gen::set(&Op::c, rc::gen::inRange(0, 60)));
}

void throwOnBrokenInvariant(std::string_view rule, std::string_view state)
{
    throw std::runtime_error(std::string(rule) + "; " + std::string(state));
}

// In any order of events, no worker is overcommitted, no task runs twice, nothing starts in a zone
// that is out or on a leaving worker, no work that may have run is reported as not executed, no
// work is lost and no capacity is leaked.
RC_GTEST_PROP(OracleTest, DecisionsObeyTheInvariantsAndWorkEnds, (bool policy))
{
    const InvariantHandler before = setInvariantHandler(throwOnBrokenInvariant);
    const auto ops = *rc::gen::scale(3.0, rc::gen::container<std::vector<Op>>(anyOp()));
    Oracle oracle(policy);
    for (const Op &it : ops)
        oracle.apply(it);
    oracle.drain();
    setInvariantHandler(before);
}

} // namespace
} // namespace cardamompaddle
