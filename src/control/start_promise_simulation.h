// A scheduler's dispatcher and approval requester in virtual time, on a fleet of modelled workers
// with a modelled policy service and faults that are drawn by a seed.
#pragma once

#include "control/approval_requester.h"
#include "control/start_promise_testing.h"

#include <memory>
#include <optional>

namespace cardamompaddle::promise {

inline constexpr Duration TickInterval{100};

// Runs the scheduler over the fleet; a derived class adds jobs and looks at the state.
class FleetSimulation
{
public:
    FleetSimulation(uint64_t seed, const std::function<Scenario(Draw &)> &draw)
        : m_draw(seed), m_scenario(draw(m_draw)),
          m_policy(m_time, m_scenario.policy, [this](const WorkerId &id) {
              const auto it = m_workers.find(id);
              return it == m_workers.end() ? 0 : it->second.life;
          })
    {
        for (int i = 0; i < m_scenario.instances; ++i) {
            work::Member member;
            member.name = member.address = "i" + std::to_string(i);
            m_members[member.name] = member;
            if (m_draw.percent(8))
                m_policy.setDelay(member.name, Duration(m_draw.between(20, 250)));
        }
        m_catalog = makeCatalog(m_scenario, m_draw);
        for (int i = 0; i < m_scenario.workers; ++i)
            createWorker();
        beginTenure();
    }

    virtual ~FleetSimulation() = default;
    FleetSimulation(const FleetSimulation &) = delete;
    FleetSimulation &operator=(const FleetSimulation &) = delete;

protected:
    static constexpr int64_t UnixOffsetMs = 1'000'000;
    static constexpr Duration PassDelay{10};
    static constexpr Duration OrderDelay{5}; // until an order is stored and sent
    static constexpr Duration LinkDelay{2}; // to a worker
    static constexpr int ReportGroups = 5; // one group of the workers reports in each tick
    static constexpr Duration LeaseTime{3'000};
    static constexpr Duration GangStartTimeout{1'500};
    static constexpr Duration SilenceDetection{500};
    static constexpr Duration LeaseMargin{200};

    struct StepState
    {
        int32_t running = 0;
        std::set<int32_t> succeeded;
        std::optional<Instant> waitsSince; // with ample room, in calm
        bool counted = false;
        bool broken = false;
    };
    struct JobState
    {
        std::shared_ptr<const work::Submission> spec;
        std::map<int32_t, work::Progress> progress; // by part
        std::vector<StepState> steps;
        std::string lastWait; // details of the last "step_waits" event
        bool ended = false;

        // Whether runs of the job may exist after its end.
        bool isBeingStopped() const
        {
            return std::ranges::any_of(progress, [](const auto &part) {
                return std::ranges::any_of(part.second.steps, [](const work::StepProgress &it) {
                    return !it.placedOn.empty();
                });
            });
        }
        bool isReady(size_t number) const
        {
            return std::ranges::all_of(spec->steps[number].after, [this](int32_t before) {
                return isDone(static_cast<size_t>(before));
            });
        }
        bool isDone(size_t number) const
        {
            return static_cast<int32_t>(steps[number].succeeded.size())
                   == spec->steps[number].tasks;
        }
    };
    // A run of a gang, by "STEP/RUN".
    struct GangRun
    {
        std::vector<std::pair<WorkerId, TaskRef>> members;
        bool over = false;
    };

    int64_t unixMs() const { return toMs(m_time.now()) + UnixOffsetMs; }

    // Called in each tick, before the reports of the workers.
    virtual void onTick() = 0;

    void run()
    {
        drawFaults();
        runWithoutFaults();
    }
    void runWithoutFaults()
    {
        m_time.after(Duration::zero(), [this] { tick(); });
        m_time.runUntil(m_begin + m_scenario.length);
    }
    int64_t poolCpu() const { return m_scenario.capacity.cpuMilli * m_scenario.workers; }
    void addJob(const std::shared_ptr<const work::Submission> &spec)
    {
        JobState state;
        state.spec = spec;
        state.steps.resize(spec->steps.size());
        m_jobs[spec->id] = state;
        m_order.push_back(spec->id);
        m_dispatcher->addJob(spec, {}, false);
        schedulePass();
    }

    // Starts a new scheduler that knows what the log tells of the former one.
    void beginTenure()
    {
        m_approvals.reset();
        ++m_epoch;
        const std::string self = "i" + std::to_string(m_epoch % m_scenario.instances);
        m_policy.setSelf(self);
        DispatchOptions options;
        options.epoch = m_epoch;
        options.findSubmission = [this](const std::string &id) {
            const auto it = m_jobs.find(id);
            return it == m_jobs.end() ? nullptr : it->second.spec;
        };
        options.policies.maxCopyShare = m_scenario.maxCopyShare;
        m_dispatcher = std::make_unique<Dispatcher>(
            options, [this](const DispatchEvent &event) { onEvent(event); });
        m_approvals = std::make_unique<ApprovalRequester>(m_time, m_policy, m_policy, *m_dispatcher,
                                                          self, [this] { schedulePass(); });
        m_dispatcher->setCatalog(m_catalog);
        const bool mayBeRunning = !recordsBeforeStarts() && m_epoch > 1;
        for (const std::string &id : m_order) {
            const JobState &job = m_jobs.at(id);
            std::vector<const work::Progress *> parts;
            for (const auto &[part, progress] : job.progress)
                parts.push_back(&progress);
            if (!job.ended || job.isBeingStopped())
                m_dispatcher->addJob(job.spec, parts, mayBeRunning && !job.ended);
        }
        m_unreconciled.clear();
        m_recordedByFormer = std::exchange(m_recordedWorkers, {});
        m_closedWorkers.clear();
        for (const auto &[id, worker] : m_workers) {
            if (m_epoch > 1)
                m_unreconciled.insert(id);
        }
        m_dispatcher->setRecordedWorkers(m_recordedByFormer);
        m_dispatcher->setUnreconciledWorkers(m_unreconciled);
        m_reachable.clear();
        for (const auto &[id, worker] : m_workers)
            joinWorker(id, Duration(m_epoch > 1 ? m_draw.between(50, 800) : 0));
        schedulePass();
    }
    // The worker gives no answers, and its runs go on until their leases lapse. The scheduler knows
    // that they have, and then has answers again.
    void silenceWorker(const WorkerId &id, Duration leaseTime)
    {
        disturb(leaseTime + LeaseMargin);
        m_silentWorkers.insert(id);
        m_time.after(SilenceDetection, [this, id] {
            if (!m_workers.contains(id))
                return;
            m_dispatcher->setReachable(id, false);
            m_reachable.erase(id);
        });
        m_time.after(leaseTime, [this, id] {
            if (m_workers.contains(id))
                loseRuns(id);
        });
        m_time.after(leaseTime + LeaseMargin, [this, id] {
            if (!m_workers.contains(id))
                return;
            m_dispatcher->workerLost(id);
            m_unreconciled.erase(id);
            m_dispatcher->setUnreconciledWorkers(m_unreconciled);
            m_silentWorkers.erase(id);
            m_dispatcher->setWorker(m_workers.at(id).entry);
            joinWorker(id, Duration::zero());
        });
    }
    WorkerId drawWorker()
    {
        auto it = m_workers.begin();
        std::advance(it, m_draw.between(0, static_cast<int64_t>(m_workers.size()) - 1));
        return it->first;
    }
    void drainWorker() { drainWorker(drawWorker()); }
    void drainWorker(const WorkerId &id)
    {
        if (m_silentWorkers.contains(id) || m_workers.at(id).entry.draining)
            return;
        m_workers.at(id).entry.draining = true;
        m_dispatcher->setWorker(m_workers.at(id).entry);
        schedulePass();
        createWorker();
    }
    bool recordsBeforeStarts() const { return m_scenario.unrecordedAppendTime == Duration::zero(); }

    Draw m_draw;
    Scenario m_scenario;
    VirtualTime m_time;
    Instant m_begin = m_time.now();
    std::map<WorkerId, WorkerModel> m_workers;
    PolicyServiceModel m_policy;
    std::map<std::string, work::Member> m_members;
    std::shared_ptr<const Catalog> m_catalog;
    std::map<std::string, JobState> m_jobs;
    std::vector<std::string> m_order; // of the jobs, as they were accepted
    std::map<std::string, GangRun> m_gangs;
    std::map<std::string, int64_t> m_teamCpu;
    int64_t m_usedCpu = 0;
    std::set<WorkerId> m_silentWorkers;
    std::set<WorkerId> m_unreconciled;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<ApprovalRequester> m_approvals;
    int64_t m_epoch = 0;
    int64_t m_lastLife = 0;
    int m_ticks = 0;
    int64_t m_overcommits = 0; // starts that did not fit on their worker
    bool m_passArmed = false;
    Instant m_disturbedUntil = m_begin - Duration(3'600'000); // end of the last fault
    std::set<WorkerId> m_reachable; // as the scheduler knows
    // Workers that get no starts: whose runs the log names all, by this tenure and the former one,
    // and those of which this tenure has sent a record of it.
    std::set<WorkerId> m_recordedWorkers;
    std::set<WorkerId> m_recordedByFormer;
    std::set<WorkerId> m_closedWorkers;
    std::map<std::string, int64_t> m_eventCounts; // by name
    std::vector<std::string> m_violations; // of what must never happen

private:
    void tick()
    {
        onTick();
        int n = 0;
        std::vector<WorkerId> due;
        for (const auto &[id, worker] : m_workers) {
            if (n++ % ReportGroups == m_ticks % ReportGroups && !worker.tasks.empty())
                due.push_back(id);
        }
        ++m_ticks;
        for (const WorkerId &id : due)
            report(id);
        schedulePass();
        m_time.after(TickInterval, [this] { tick(); });
    }

    // ---- Fleet

    void createWorker()
    {
        const int64_t number = ++m_lastLife;
        const WorkerEntry entry = makeWorkerEntry(m_scenario, number);
        m_workers.emplace(entry.id, WorkerModel(entry, number));
        if (m_dispatcher)
            joinWorker(entry.id, Duration(m_draw.between(10, 100)));
    }
    void joinWorker(const WorkerId &id, Duration wait)
    {
        m_dispatcher->setWorker(m_workers.at(id).entry);
        m_time.after(wait, [this, id, epoch = m_epoch] {
            if (epoch != m_epoch || !m_workers.contains(id) || m_silentWorkers.contains(id))
                return;
            report(id);
            m_dispatcher->setReachable(id, true);
            m_reachable.insert(id);
            if (!m_workers.at(id).entry.draining) {
                m_closedWorkers.erase(id);
                m_recordedWorkers.erase(id);
            }
        });
    }
    void report(const WorkerId &id)
    {
        const auto it = m_workers.find(id);
        if (it == m_workers.end() || m_silentWorkers.contains(id))
            return;
        const Instant now = m_time.now();
        m_dispatcher->workerReported(id, it->second.report(m_dispatcher->endPosition(id), now),
                                     now);
        if (m_unreconciled.erase(id) > 0)
            m_dispatcher->setUnreconciledWorkers(m_unreconciled);
        schedulePass();
    }

    // ---- Faults

    void drawFaults()
    {
        const auto at = [this](int64_t low, int64_t high) {
            return Duration(m_draw.between(low, high));
        };
        if (m_draw.percent(50))
            m_time.after(at(4'000, 8'000), [this] { silenceCallers(); });
        if (m_draw.percent(40))
            m_time.after(at(4'000, 8'000), [this] {
                disturb(Duration::zero());
                beginTenure();
            });
        for (int64_t n = m_draw.between(0, 3); n > 0; --n)
            m_time.after(at(500, 12'000), [this] { drainWorker(); });
        if (m_draw.percent(20))
            m_time.after(at(4'000, 8'000), [this] { killWorker(); });
        if (m_draw.percent(20))
            m_time.after(at(4'000, 8'000), [this] { restartWorker(); });
    }
    void disturb(Duration length)
    {
        m_disturbedUntil = std::max(m_disturbedUntil, m_time.now() + length);
    }
    void silenceCallers()
    {
        const int64_t share = m_draw.percent(30) ? 100 : m_draw.between(10, 90);
        const Duration length(m_draw.between(500, 4'000));
        for (const auto &[name, member] : m_members) {
            if (m_draw.percent(share))
                m_policy.setSilentUntil(name, m_time.now() + length);
        }
        disturb(length);
    }
    // The worker stops answering, and its runs end without a trace.
    void killWorker()
    {
        const WorkerId id = drawWorker();
        disturb(LeaseTime);
        m_silentWorkers.insert(id);
        loseRuns(id);
        m_dispatcher->setReachable(id, false);
        m_reachable.erase(id);
        m_time.after(LeaseTime, [this, id] {
            m_dispatcher->removeWorker(id);
            m_dispatcher->workerLost(id);
            m_workers.erase(id);
            if (m_unreconciled.erase(id) > 0)
                m_dispatcher->setUnreconciledWorkers(m_unreconciled);
            schedulePass();
        });
        createWorker();
    }
    void restartWorker()
    {
        const WorkerId id = drawWorker();
        if (m_silentWorkers.contains(id) || m_workers.at(id).entry.draining)
            return;
        disturb(Duration::zero());
        loseRuns(id);
        WorkerEntry entry = m_workers.at(id).entry;
        entry.startedAtMs = ++m_lastLife;
        m_workers.at(id) = WorkerModel(entry, m_lastLife);
        m_dispatcher->setWorker(entry);
        report(id);
    }
    void loseRuns(const WorkerId &id)
    {
        const std::vector<WorkerModel::Task> tasks = m_workers.at(id).tasks;
        for (const WorkerModel::Task &task : tasks)
            endRun(id, task.task, task.run, RunOutcome::LeaseLapsed);
    }

    // ---- Scheduler

    void schedulePass()
    {
        if (std::exchange(m_passArmed, true))
            return;
        m_time.after(PassDelay, [this] {
            m_passArmed = false;
            pass();
        });
    }
    void pass()
    {
        const Orders orders = m_dispatcher->decide(m_time.now(), unixMs());
        for (const StartOrder &order : orders.starts) {
            // The start of a copy always waits for its record.
            const Duration wait =
                OrderDelay + (order.copy ? m_scenario.unrecordedAppendTime : Duration::zero());
            m_time.after(wait, [this, order, epoch = m_epoch] { sendStart(order, epoch); });
        }
        for (const StopOrder &order : orders.stops)
            m_time.after(LinkDelay, [this, order, epoch = m_epoch] { sendStop(order, epoch); });
        m_approvals->sendRequests(m_members, unixMs());
        const std::vector<work::Progress> progress = m_dispatcher->takeProgress(0);
        if (recordsBeforeStarts())
            return store(progress, {});
        const std::set<WorkerId> closed = closeWorkers();
        m_time.after(m_scenario.unrecordedAppendTime, [this, progress, closed, epoch = m_epoch] {
            if (epoch == m_epoch)
                store(progress, closed);
        });
    }
    // Returns the workers that get no starts any more and whose runs the progress up to now names.
    std::set<WorkerId> closeWorkers()
    {
        std::set<WorkerId> out;
        for (const auto &[id, worker] : m_workers) {
            const bool recorded = !m_unreconciled.contains(id) || m_recordedByFormer.contains(id);
            if (recorded && (worker.entry.draining || !m_reachable.contains(id))
                && m_closedWorkers.insert(id).second)
                out.insert(id);
        }
        return out;
    }
    void store(const std::vector<work::Progress> &records, const std::set<WorkerId> &closed)
    {
        for (const work::Progress &progress : records) {
            JobState &job = m_jobs.at(progress.id);
            job.progress[progress.part] = progress;
            if (progress.part == 0 && progress.state >= work::JobState::Completed)
                job.ended = true;
        }
        for (const WorkerId &id : closed) {
            if (m_closedWorkers.contains(id))
                m_recordedWorkers.insert(id);
        }
    }
    void sendStart(const StartOrder &order, int64_t epoch)
    {
        if (epoch != m_epoch)
            return;
        const auto answer = [this, order, epoch](Duration wait, StartOutcome outcome) {
            m_time.after(wait, [this, order, epoch, outcome] {
                if (epoch != m_epoch)
                    return;
                m_dispatcher->startAnswered(order, outcome, m_time.now());
                schedulePass();
            });
        };
        if (!m_dispatcher->isStartCurrent(order, m_time.now()))
            return answer(Duration::zero(), StartOutcome::Withdrawn);
        if (m_silentWorkers.contains(order.worker) || !m_workers.contains(order.worker))
            return answer(Duration(1'000), StartOutcome::Unknown);
        answer(LinkDelay, start(order));
    }
    void sendStop(const StopOrder &order, int64_t epoch)
    {
        if (epoch != m_epoch || m_silentWorkers.contains(order.worker)
            || !m_workers.contains(order.worker))
            return;
        endRun(order.worker, order.task, order.run, RunOutcome::Stopped);
        m_workers.at(order.worker).stop(order.task, order.run);
        m_dispatcher->stopAnswered(order, m_time.now());
        schedulePass();
    }
    void onEvent(const DispatchEvent &event)
    {
        ++m_eventCounts[std::string(event.name)];
        if (event.name == "step_waits")
            m_jobs.at(event.job).lastWait = event.detail;
    }

    // ---- Runs

    StartOutcome start(const StartOrder &order)
    {
        WorkerModel &worker = m_workers.at(order.worker);
        const work::StepSpec &spec = order.job->steps[static_cast<size_t>(order.task.step.step)];
        const std::string step = order.task.step.toString();
        const bool needsApproval = m_catalog->routes.at(order.job->route).approval.has_value();
        if (needsApproval && !m_policy.isValid(order.ticket, order.worker, step))
            return StartOutcome::NoApproval;
        if (m_draw.between(1, 400) == 1)
            return StartOutcome::WorkerUnavailable;
        const bool slow =
            static_cast<int64_t>(mix(static_cast<uint64_t>(worker.life), m_draw.seed()) % 100)
            < m_scenario.slowWorkerPercent;
        const Duration runTime(spec.estimatedMs * m_draw.between(80, 130) / 100
                               * (slow ? StragglerFactor : 1));
        const StartOutcome outcome = worker.start({order.task,
                                                   order.run,
                                                   {spec.cpuMilli, spec.memoryMb, 0, 0, 0},
                                                   m_time.now(),
                                                   runTime});
        if (outcome == StartOutcome::NoRoom)
            ++m_overcommits;
        if (outcome != StartOutcome::Started)
            return outcome;
        checkStart(order);
        addUse(order.job->team, spec, 1);
        ++stateOf(order.task).running;
        if (!spec.gang) {
            m_time.after(runTime, [this, order] {
                endRun(order.worker, order.task, order.run, RunOutcome::Succeeded);
            });
            return outcome;
        }
        const std::string key = step + "/" + std::to_string(order.run);
        GangRun &gang = m_gangs[key];
        gang.members.emplace_back(order.worker, order.task);
        if (gang.over) { // another member has ended already
            m_time.after(LinkDelay, [this, order] {
                endRun(order.worker, order.task, order.run, RunOutcome::GangBroken);
            });
        } else if (static_cast<int32_t>(gang.members.size()) == spec.tasks) {
            m_time.after(runTime, [this, key, run = order.run] {
                endGang(key, run, RunOutcome::Succeeded);
            });
        } else if (gang.members.size() == 1) {
            m_time.after(GangStartTimeout, [this, key, run = order.run, tasks = spec.tasks] {
                if (static_cast<int32_t>(m_gangs.at(key).members.size()) < tasks)
                    endGang(key, run, RunOutcome::GangIncomplete);
            });
        }
        return outcome;
    }
    void checkStart(const StartOrder &order)
    {
        const std::string task = order.task.toString() + " on " + order.worker;
        const work::StepSpec &spec = order.job->steps[static_cast<size_t>(order.task.step.step)];
        int copies = 0;
        for (const auto &[id, worker] : m_workers) {
            for (const WorkerModel::Task &running : worker.tasks) {
                if (running.task != order.task || running.run == order.run)
                    continue;
                const bool allowed =
                    order.copy && spec.copiesAllowed && id != order.worker && ++copies == 1;
                if (!allowed)
                    m_violations.emplace_back(task).append(" runs on ").append(id);
            }
        }
        // Beside a copy, the success of a run is known only once it is reported.
        if (!spec.copiesAllowed && stateOf(order.task).succeeded.contains(order.task.index))
            m_violations.push_back(task + " has succeeded");
        const int64_t limit = m_catalog->teams.at(order.job->team).limit.cpuMilli;
        if (m_teamCpu[order.job->team] + spec.cpuMilli > limit)
            m_violations.push_back(task + " exceeds the limit of " + order.job->team);
    }
    void endGang(const std::string &key, int64_t run, RunOutcome outcome)
    {
        GangRun &gang = m_gangs.at(key);
        if (std::exchange(gang.over, true))
            return;
        const auto members = gang.members;
        for (const auto &[worker, task] : members)
            endRun(worker, task, run, outcome);
    }
    void endRun(const WorkerId &id, const TaskRef &task, int64_t run, RunOutcome outcome)
    {
        const auto it = m_workers.find(id);
        if (it == m_workers.end() || !it->second.end(task, run, outcome))
            return;
        JobState &job = m_jobs.at(task.step.job);
        const work::StepSpec &spec = job.spec->steps[static_cast<size_t>(task.step.step)];
        addUse(job.spec->team, spec, -1);
        StepState &state = stateOf(task);
        --state.running;
        if (outcome == RunOutcome::Succeeded)
            state.succeeded.insert(task.index);
        m_time.after(LinkDelay, [this, id] { report(id); });
        if (spec.gang)
            endGang(task.step.toString() + "/" + std::to_string(run), run, RunOutcome::GangBroken);
    }
    StepState &stateOf(const TaskRef &task)
    {
        return m_jobs.at(task.step.job).steps[static_cast<size_t>(task.step.step)];
    }
    void addUse(const std::string &team, const work::StepSpec &spec, int64_t sign)
    {
        m_teamCpu[team] += sign * spec.cpuMilli;
        m_usedCpu += sign * spec.cpuMilli;
    }
};

} // namespace cardamompaddle::promise
