// The dispatcher's state and steps; dispatcher.h has the contracts.
#pragma once

#include "dispatch/internal/state.h"

#include <optional>
#include <utility>

namespace cardamompaddle {

class Dispatcher::Impl
{
public:
    Impl(DispatchOptions options, EventSink events);

    // dispatcher_jobs.cc
    void addJob(std::shared_ptr<const work::Submission> spec, const work::Progress *progress,
                bool mayBeRunning);
    void cancelJob(const std::string &id);
    std::vector<work::Progress> takeProgress();

    // dispatcher_workers.cc
    void setWorker(const WorkerEntry &entry);
    void removeWorker(const WorkerId &id);
    void workerLost(const WorkerId &id);
    void workerReported(const WorkerId &id, const RunReport &report, Instant now);

    // dispatcher_runs.cc
    void startAnswered(const StartOrder &order, StartOutcome answer, Instant now);
    void stopAnswered(const StopOrder &order, Instant now);

    // dispatcher_place.cc
    Orders decide(Instant now, int64_t unixMs);
    std::optional<Instant> nextEvent(Instant now, int64_t unixMs) const;

    // dispatcher_approvals.cc
    std::optional<PendingApproval> nextPendingApproval(Instant now, int64_t unixMs,
                                                       Duration longest);
    void approvalAnswered(const PendingApproval &need, const std::vector<work::Approval> *answer,
                          Instant at, Instant now);
    dispatch::Step *findStep(const StepRef &ref);

private:
    friend class Dispatcher;
    using Step = dispatch::Step;
    using Job = dispatch::Job;
    using Task = dispatch::Task;
    using Worker = dispatch::Worker;
    using Attempt = dispatch::Attempt;

    // dispatcher_jobs.cc
    void markDirty(Job &job);
    void finishJob(Job &job, work::JobState::type state, const std::string &why);
    void checkCompleted(Job &job);
    void forgetIfDone(Job &job);
    void taskSucceeded(Step &step, int32_t index);
    void taskFailed(Step &step, int32_t index, int64_t run, const WorkerId &where, Instant now);
    static void measureChains(Job &job);
    void restoreProgress(Job &job, const work::Progress &progress);
    void event(std::string_view what, const std::string &job, std::string detail) const;

    // dispatcher_runs.cc
    static TaskRef refOf(const Attempt &attempt);
    Task *findTask(const TaskRef &ref, Step *&step); // null if there is none
    Attempt *findAttempt(const WorkerId &worker, const TaskRef &ref, int64_t run);
    Attempt &attach(Step &step, int32_t index, int64_t run, Worker &worker, Instant now);
    void detach(Attempt &attempt); // destroys the attempt
    void requeue(Attempt &attempt); // its run has ended without success
    void requestStop(Attempt &attempt);
    void endRun(Attempt &attempt, RunOutcome outcome, const std::string &checkpoint, Instant now);
    void takeEnd(Worker &worker, const EndedRun &end, Instant now);
    // The attempt that the run belongs to; null if no task wants it.
    Attempt *takeRunning(Worker &worker, const ActiveRun &run, Instant requestedAt, Instant now);
    static void describe(Attempt &attempt, const ActiveRun &run);
    void dropMissing(Worker &worker, const dispatch::AttemptSet &seen, Instant requestedAt);
    void loseAttempts(Worker &worker, std::string_view why);

    // dispatcher_workers.cc
    void judgeWorker(Worker &worker, RunOutcome outcome, const std::string &job, Instant now);
    void avoid(Worker &worker, Instant now, std::string_view why);
    void watchProgress(Worker &worker, Instant now);
    static int64_t expectedRunMs(const Attempt &attempt, Instant now);
    void watchSpeed(Worker &worker, Instant now);
    void throttleIdleCpuTasks(Worker &worker, Instant now);
    void releaseDraining(Worker &worker);

    // dispatcher_place.cc
    std::string carriedCheckpoint(const Step &step, int32_t index) const;
    const WorkRoute *routeOf(const Job &job) const;
    bool ready(const Step &step, int64_t unixMs) const;
    bool dueSoon(const Step &step, Instant now, Duration lead) const;
    bool mayStartNow(const Step &step) const;
    bool mayRunUnseen(const Task &task) const;
    std::vector<Step *> orderedSteps(Instant now, int64_t unixMs, bool alsoSoon, Duration lead);
    bool eligible(const Worker &worker, const Step &step, const WorkRoute &route,
                  Instant now) const;
    bool hasRoom(const Worker &worker, const Step &step) const;
    bool withinLimit(const Job &job, const Resources &more) const;
    const Resources *limitOf(const Job &job) const;
    Worker *choose(const Step &step, const WorkRoute &route, const Task &task, Instant now,
                   const std::string *rack);
    dispatch::WaitReason whyNoWorker(const Step &step, const WorkRoute &route, Instant now) const;
    void noteWait(Step &step, dispatch::WaitReason reason);
    void placeIndependent(Step &step, const WorkRoute &route, Instant now, int64_t unixMs,
                          Orders &out);
    void placeGang(Step &step, const WorkRoute &route, Instant now, int64_t unixMs, Orders &out);
    bool reserveGang(Step &step, const WorkRoute &route, Instant now, const std::string *rack,
                     std::vector<Worker *> &places);
    void start(Step &step, int32_t index, int64_t run, Worker &worker, Instant now, Orders &out);
    int64_t runAfter(int64_t lastRun) const;
    void repeatStops(Instant now, Orders &out);

    // dispatcher_urgency.cc
    int64_t objectiveMs(const Job &job, const WorkRoute &route) const;
    int64_t slackMs(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    bool yields(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    void measureDemand(Instant now, int64_t unixMs);
    Resources reserveFor(const Job &job, const WorkRoute &route) const;
    void stopLessUrgent(const Step &step, const WorkRoute &route, int64_t unixMs);

    DispatchOptions m_options;
    EventSink m_events;
    std::shared_ptr<const Catalog> m_catalog = std::make_shared<Catalog>();
    std::set<std::string> m_zonesOut;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
    dispatch::JobSet m_dirty; // progress not taken yet
    std::set<WorkerId> m_unreconciled; // runs there may not have been reported yet
    std::map<std::string, Resources> m_teamUse; // by team
    // By team and priority.
    using PriorityOfTeam = std::pair<std::string, int32_t>;
    std::map<PriorityOfTeam, dispatch::RecentDemand> m_recentDemand;
    std::map<PriorityOfTeam, Resources> m_priorityUse; // as of the present decision
    std::map<std::string, Resources> m_stoppingUse; // by team; of runs that end soon
    Resources m_total; // capacity of all listed workers
    uint64_t m_nextSequence = 0;
    std::vector<StopOrder> m_unwanted; // runs of no known job, to be stopped
    std::vector<ThrottleOrder> m_throttles;
    dispatch::AttemptSet m_toStop;
    uint64_t m_nextAttempt = 0;
};

} // namespace cardamompaddle
