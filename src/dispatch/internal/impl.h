// Implementation of Dispatcher. dispatcher.h documents the public contracts; each group of
// functions names the source file that defines it.
#pragma once

#include "dispatch/internal/copy_room.h"
#include "dispatch/internal/room_search.h"
#include "dispatch/internal/state.h"
#include "fairshare/usage_history.h"
#include "speculation/straggler_policy.h"

#include <functional>
#include <optional>
#include <utility>

namespace cardamompaddle {

class Dispatcher::Impl
{
public:
    Impl(DispatchOptions options, EventSink events);

    // dispatcher_jobs.cc
    void addJob(std::shared_ptr<const work::Submission> spec,
                const std::vector<const work::Progress *> &progress, bool mayBeRunning);
    void cancelJob(const std::string &id);
    void giveUpJob(const std::string &id, const std::string &why);

    // dispatcher_progress.cc
    std::vector<work::Progress> takeProgress(int64_t heldMs);

    // dispatcher_workers.cc
    void setWorker(const WorkerEntry &entry);
    void removeWorker(const WorkerId &id);
    void workerLost(const WorkerId &id, const std::set<RunRef> &mayBeActive);
    void workerReported(const WorkerId &id, const RunReport &report, Instant now);

    // dispatcher_runs.cc
    void startAnswered(const StartOrder &order, StartOutcome answer, Instant now);
    void stopAnswered(const StopOrder &order, Instant now);

    // dispatcher_place.cc
    Orders decide(Instant now, int64_t unixMs);
    std::optional<Instant> nextEvent(Instant now, int64_t unixMs) const;

    // dispatcher_approvals.cc
    dispatch::ApprovalOrder stepsForApproval(Instant now, int64_t unixMs);
    // The policy of the step's route, which must have one.
    const ApprovalPolicy &approvalPolicyOf(const dispatch::Step &step) const;
    // Returns the next call for the step; none if it needs no further one at present.
    std::optional<PendingApproval> pendingApproval(dispatch::Step &step, Instant now,
                                                   int64_t unixMs);
    void approvalAnswered(const PendingApproval &pending, const std::vector<work::Approval> *answer,
                          Instant at, Instant now);
    void forgetApprovals(const WorkerId &id);
    ApprovalLoad approvalLoad(Instant now, int64_t unixMs) const;
    dispatch::Step *findStep(const StepRef &ref) const;

    // dispatcher_renewals.cc
    std::vector<dispatch::Step *> stepsForRenewal(Instant now, int64_t unixMs);
    std::optional<PendingApproval> pendingRenewal(dispatch::Step &step, Instant now);

    // dispatcher_waits.cc
    WaitingStepsByReason waitingSteps(Instant now, int64_t unixMs) const;

    // dispatcher_overdue.cc
    void reportOverdueTasks(Instant now, int64_t unixMs);

    // dispatcher_backlog.cc
    BacklogSummary backlog(Instant now, int64_t unixMs) const;
    // dispatcher_usage.cc
    void updateUsageWeights();
    void restoreUsage(const work::Usage &usage, int64_t heldMs);
    std::optional<work::Usage> takeUsage(int64_t heldMs);

private:
    friend class Dispatcher;
    using Step = dispatch::Step;
    using Job = dispatch::Job;
    using Task = dispatch::Task;
    using Worker = dispatch::Worker;
    using Attempt = dispatch::Attempt;

    // dispatcher_progress.cc
    void markDirty(Step &step, int32_t index); // the part that holds the task
    void markStateDirty(Job &job); // the part that holds the job's state
    void markAllDirty(Job &job);
    work::StepProgress progressOf(const Step &step, int32_t from, int32_t to) const;
    work::Progress progressOf(const Job &job, int32_t part) const;
    static void restoreProgress(Job &job, const work::Progress &progress);
    void eraseIfDone(Job &job);

    // dispatcher_jobs.cc
    void finishJob(Job &job, work::JobState::type state, const std::string &why);
    void checkCompleted(Job &job);
    void taskSucceeded(Step &step, int32_t index);
    void taskFailed(Step &step, int32_t index, int64_t run, const WorkerId &workerId, Instant now);
    void computeRemainingChains(Job &job) const;
    void emitEvent(std::string_view name, const std::string &job, std::string detail) const;

    // dispatcher_runs.cc
    static TaskRef taskRefOf(const Attempt &attempt);
    Task *findTask(const TaskRef &ref, Step *&step) const; // null if it does not exist
    Attempt *findAttempt(const WorkerId &worker, const TaskRef &ref, int64_t run);
    // Returns whether the start order of the attempt may still be sent.
    bool mayStillStart(const Attempt &attempt, Instant now) const;
    Attempt &createAttempt(Step &step, int32_t index, int64_t run, Worker &worker, Instant now);
    void removeAttempt(Attempt &attempt); // destroys the attempt
    // Removes an attempt whose run did not succeed. Stops the other members of a gang.
    void requeue(Attempt &attempt);
    void requestStop(Attempt &attempt);
    void finishRun(Attempt &attempt, RunOutcome outcome, const std::string &checkpoint,
                   Instant now);
    void handleFinishedRun(Worker &worker, const EndedRun &end, Instant now);
    // Returns the attempt that a reported run belongs to and adopts the run if its task has none.
    // Returns null if the run is orphaned.
    Attempt *reconcileActiveRun(Worker &worker, const ActiveRun &run, Instant requestedAt,
                                Instant now);
    static void updateFromReport(Attempt &attempt, const ActiveRun &run);
    void requeueMissingRuns(Worker &worker, const dispatch::AttemptSet &seen, Instant requestedAt);
    // Keeps the runs that a report does not show because it cannot list all ends, and does not take
    // them for stalled.
    static void keepUnlistedRuns(Worker &worker, const dispatch::AttemptSet &seen, Instant now);
    // Requeues the runs of the worker but those that are named.
    void requeueRuns(Worker &worker, const std::set<RunRef> &mayBeActive, std::string_view why);

    // dispatcher_workers.cc
    void updateFailureStreak(Worker &worker, RunOutcome outcome, const std::string &job,
                             Instant now);
    void avoidWorker(Worker &worker, Instant now, std::string_view why);
    void stopStalledRuns(Worker &worker, Instant now);
    int64_t expectedRunMs(const Attempt &attempt, Instant now) const;
    void detectSlowWorker(Worker &worker, Instant now);
    void throttleIdleCpuTasks(Worker &worker, Instant now);
    void releaseDraining(Worker &worker);
    void eraseWorker(const WorkerId &id);

    // dispatcher_place.cc
    std::string checkpointForStart(const Step &step, int32_t index) const;
    const WorkRoute *routeOf(const Job &job) const;
    bool isReady(const Step &step, int64_t unixMs) const;
    bool isDueSoon(const Step &step, Instant now, Duration lead) const;
    static bool hasTasksToStart(const Step &step);
    bool mayStartNow(const Step &step) const;
    bool mayBeRunningUnreported(const Task &task) const;
    static bool isInterrupted(const Step &step);
    static bool hasPrecedence(const Step &step, Instant now);
    static Instant precedenceOf(const Step &step, Instant now);
    std::vector<Step *> stepsByUrgency(Instant now, int64_t unixMs,
                                       const std::function<bool(const Step &)> &accepts);
    // Returns whether work of the route may start on the worker by its registry entry.
    bool acceptsStarts(const Worker &worker, const WorkRoute &route) const;
    bool isEligible(const Worker &worker, const Step &step, const WorkRoute &route,
                    Instant now) const;
    bool hasRoom(const Worker &worker, const Step &step) const;
    bool withinLimit(const Job &job, const Resources &more) const;
    static bool fitsLimit(const Resources &use, const Resources &limit);
    const Resources *limitOf(const Job &job) const;
    static bool reachedMaxPerWorker(const Worker &worker, const Step &step);
    std::vector<Worker *> candidatesFor(const Step &step, const WorkRoute &route, Instant now);
    Worker *chooseWorker(const Step &step, const Task &task,
                         const std::vector<Worker *> &candidates, Instant now) const;
    // See DispatchOptions::lateStartWorkers.
    const std::set<WorkerId> *lateStartWorkers(const Step &step, const Task &task) const;
    double placementScore(const Worker &worker, const Step &step, const Task &task,
                          Instant now) const;
    dispatch::WaitReason reasonForNoWorker(const Step &step, const WorkRoute &route,
                                           Instant now) const;
    void setWaitReason(Step &step, dispatch::WaitReason reason);
    void placeIndependent(Step &step, const WorkRoute &route, Instant now, int64_t unixMs,
                          Orders &out);
    void placeGang(Step &step, const WorkRoute &route, Instant now, int64_t unixMs, Orders &out);
    bool findGangPlacement(Step &step, const std::vector<Worker *> &candidates, Instant now,
                           std::vector<Worker *> &places) const;
    void startRun(Step &step, int32_t index, int64_t run, Worker &worker, Instant now, Orders &out);
    int64_t nextRunNumber(int64_t lastRun) const;
    void collectStops(Instant now, Orders &out);

    // dispatcher_holds.cc
    void resetHolds();
    bool mayHold(const Step &step, Instant now) const;
    Resources longRunningUse(const std::string &team) const;
    bool isBelowHalf(const std::string &pool) const;
    bool holdLimit(Step &step, const Resources &needed, Instant now);
    bool holdPlaces(Step &step, const WorkRoute &route, Instant now);
    void setHolds(Step &step, bool holds, Instant now);

    // dispatcher_crashes.cc
    void workerReplaced(const WorkerId &id, Instant now);
    void recordNewRuns(const Worker &worker);
    void settleLostRuns(Worker &worker, int64_t startedAtMs, Instant now);
    void blameNewRuns(const WorkerId &id, Instant now);
    void taskCrashedWorker(const dispatch::LostRun &lost, const WorkerId &workerId, Instant now);
    void updateSurvival(Attempt &attempt, Instant listedAt);
    static bool mustStartApart(const Worker &worker, const Task &task, Instant now);
    static double crashPenalty(const Worker &worker, const Task &task);

    // dispatcher_copies.cc
    void stopRuns(Task &task); // all active runs of the task
    static Attempt *otherRun(const Attempt &attempt); // of the same task; may be null
    void reportCopyWon(const Attempt &attempt) const;
    static void recordRunTime(const Attempt &attempt, Instant now);
    bool mayAdoptCopy(const Worker &worker, const Step &step, const Task &task, int64_t run) const;
    std::vector<WorkerId> workersOfRuns(const Task &task) const;
    std::set<WorkerId> unreportedWorkers(const Task &task) const;
    int32_t unreportedRuns(const Step &step, const Task &task) const;
    bool mayStartElsewhere(const TaskRef &ref, const WorkerId &worker) const;
    void holdEnd(Worker &worker, const EndedRun &end);
    int64_t acknowledgeablePosition(const Worker &worker) const;
    bool mayHaveCopies(const Step &step, int64_t unixMs) const;
    bool mayHaveCopy(const Step &step, const Task &task, const WorkRoute &route, Instant now) const;
    RunProgress progressOfRun(const Attempt &attempt, Instant now) const;
    static double relativeSlowdown(const Worker &worker, const Step &step);
    WorkerPace paceOfOthers(const Attempt &attempt, Instant now) const;
    std::vector<dispatch::Straggler> findStragglers(Instant now, int64_t unixMs) const;
    dispatch::CopyRoom copyRoomOf(const std::string &pool, int64_t unixMs) const;
    static bool isWanted(const Worker &worker, const dispatch::CopyRoom &room,
                         const WorkRoute &route, Instant now);
    void startCopies(Instant now, int64_t unixMs, Orders &out);
    bool startCopy(const dispatch::Straggler &straggler, dispatch::CopyRoom &room, Instant now,
                   Orders &out);
    // Returns when the runs that may be given a copy are judged again; none if there are none.
    std::optional<Instant> nextCopyCheck(Instant now, int64_t unixMs) const;

    // dispatcher_takeover.cc
    void updateUnrecorded();
    bool mayHaveUnrecordedRuns(const Job &job) const;
    std::optional<Resources> unrecordedRoom() const;
    void updateUnreportedUse(int64_t unixMs);
    bool mayHaveUnreportedRuns(const Job &job) const;
    void countOrphanedRun(Worker &worker, const TaskRef &ref);
    void releaseOrphanedUse(Worker &worker);

    // dispatcher_approvals.cc
    bool isApprovalDue(const Step &step, Instant now, int64_t unixMs) const;
    dispatch::ApprovalCandidates approvalCandidates(const Step &step, Instant now) const;
    PendingApproval newCall(const Step &step);
    PendingApproval callFor(const Step &step, dispatch::ApprovalCandidates candidates);
    std::optional<Instant> waitsForCallSince(const Step &step, Instant now, int64_t unixMs) const;
    bool hasPlacement(Step &step, Instant now);
    static int64_t fittingTasks(const Worker &worker, const Step &step);
    static int64_t placesWanted(const Step &step);
    static bool hasCall(const Step &step);
    static bool isRequested(const Step &step, const WorkerId &id);
    size_t maxWorkersPerCall(const ApprovalPolicy &policy) const;
    static Duration expectedCallTime(const ApprovalPolicy &policy, size_t workers);
    static Duration approvalLead(const ApprovalPolicy &policy);
    double approvedShareOf(const std::string &route) const;
    void updateApprovedShare(const std::string &route, size_t requested, size_t approved);

    // dispatcher_renewals.cc
    int64_t placesAfterWait(const Worker &worker, const Step &step) const;

    // dispatcher_waits.cc
    // Returns whether the step is ready and has tasks that wait.
    bool isWaiting(const Step &step, int64_t unixMs) const;
    static Instant waitStart(const Step &step, Instant now);
    const Task *blockingTask(const Step &step, Instant now) const;
    StepWait waitOf(const Step &step, Instant now) const;

    // dispatcher_backlog.cc
    std::map<std::string, int64_t> drainCapacity() const; // by pool

    // dispatcher_overdue.cc
    std::string describeWorkers(const Step &step, const WorkRoute &route, Instant now) const;
    std::string describePlaces(Step &step, const WorkRoute &route, Instant now);
    bool hasPlacementNow(Step &step, const WorkRoute &route, Instant now);
    std::string describeTeam(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    std::string describeBlock(const Step &step, const Task &task, Instant now) const;
    void reportOverdueStep(Step &step, const ApprovalLoad &load, Instant now, int64_t unixMs);

    // dispatcher_urgency.cc
    static int64_t objectiveMs(const Job &job, const WorkRoute &route);
    static dispatch::UrgencyClass urgencyClass(const Step &step, const WorkRoute &route,
                                               int64_t slackMs, int64_t unixMs);
    int64_t slackMs(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    bool usesHalfOfLimit(const Job &job) const;
    bool yieldsToUrgentWork(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    void updateDemand(Instant now, int64_t unixMs);
    Resources reserveForUrgentWork(const Job &job, const WorkRoute &route) const;
    void preemptLessUrgent(const Step &step, const WorkRoute &route, int64_t unixMs);

    // dispatcher_preemption.cc
    void beginRoomSearch(Instant now);
    void releaseRoomStops(Instant now);
    void updateReservations(Instant now);
    static Resources reservedForOthers(const Worker &worker, const Step &step);
    Resources beingFreed(const Worker &worker) const;
    bool hasRoomBesideReservations(const Worker &worker, const Step &step) const;
    // Gives back the place that a start uses, and places that the step no longer needs.
    void usePlace(const Step &step, Worker &worker);
    void trimReservations(const Step &step);
    void preemptForRoom(Step &step, const WorkRoute &route, Instant now, int64_t unixMs);
    Instant wantsRoomSince(const Step &step, const WorkRoute &route, Instant now,
                           int64_t unixMs) const;
    int64_t tasksWithoutRoom(const Step &step, Instant now) const;
    std::vector<Worker *> workersForRoom(const Step &step, const WorkRoute &route,
                                         Instant now) const;
    dispatch::WorkerOutlook &outlookOf(const Worker &worker, Instant now, int64_t unixMs);
    static int64_t timeLeftMs(const Attempt &attempt, Instant now);
    bool isPreemptibleForRoom(const Attempt &attempt, const WorkRoute &route, Instant now,
                              int64_t unixMs) const;
    int64_t placesByPreemption(const Worker &worker, const Step &step, const WorkRoute &route,
                               Instant now, int64_t unixMs) const;
    void addFullWorkers(dispatch::ApprovalCandidates &candidates, const Step &step, Instant now,
                        int64_t unixMs) const;
    void countAccounts();
    void countPool(const std::string &pool);
    std::vector<dispatch::RoomOffer> offersFor(const Step &step, const WorkRoute &route,
                                               int64_t &missing, Instant now, int64_t unixMs);
    void freeRoom(Step &step, const std::vector<dispatch::RoomOffer> &offers, int64_t missing,
                  Instant now, int64_t unixMs);
    void stopForRoom(Attempt &attempt, const Step &step, Instant now, int64_t unixMs);
    // dispatcher_estimates.cc
    // How the strategies of EstimateStrategy differ.
    struct EstimateFunctions
    {
        // Learns from a run that has succeeded after this time.
        void (Impl::*learnRun)(Attempt &attempt, double ranMs);
        // Learns from the progress of a run that takes long.
        void (Impl::*learnProgress)(Attempt &attempt, Instant now);
        // Returns the expected run time of a task of the step, or 0 if it is unknown.
        int64_t (Impl::*taskMs)(const Step &step) const;
        // Returns the expected run time of the attempt on its worker.
        double (Impl::*attemptMs)(const Attempt &attempt) const;
        // Returns the run time of the attempt that a healthy worker is expected to need.
        double (Impl::*healthyMs)(const Attempt &attempt) const;
        // Returns how much the step gains from a fast worker; see placementFactor.
        double (Impl::*speedPreference)(const Step &step, const WorkRoute &route,
                                        int64_t unixMs) const;
        // Returns the factor of a worker's placement score that its speed gives.
        double (Impl::*placementFactor)(const Worker &worker, const Step &step) const;
        // Returns a number that is lower for workers whose speed suits the step better; of few
        // values, so that differences within them do not outweigh the room of a worker.
        int (Impl::*speedClass)(const Worker &worker, const Step &step) const;
        // Renews the expected times of some jobs and reports on the model.
        void (Impl::*refresh)(Instant now);
    };
    static const EstimateFunctions &estimateFunctions(EstimateStrategy strategy);
    static TaskProfile profileOf(const Step &step);
    void learnDeclaredRun(Attempt &attempt, double ranMs);
    void learnNoProgress(Attempt &attempt, Instant now);
    int64_t declaredTaskMs(const Step &step) const;
    double declaredAttemptMs(const Attempt &attempt) const;
    double declaredHealthyMs(const Attempt &attempt) const;
    double noSpeedPreference(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    double declaredPlacementFactor(const Worker &worker, const Step &step) const;
    int oneSpeedClass(const Worker &worker, const Step &step) const;
    void refreshNothing(Instant now);
    double runTimeOffRack(const Attempt &attempt) const;
    static bool showsRunTime(const Attempt &attempt);
    void learnModelRun(Attempt &attempt, double ranMs);
    void learnModelProgress(Attempt &attempt, Instant now);
    int64_t modelTaskMs(const Step &step) const;
    double modelAttemptMs(const Attempt &attempt) const;
    double modelSpeedPreference(const Step &step, const WorkRoute &route, int64_t unixMs) const;
    double modelPlacementFactor(const Worker &worker, const Step &step) const;
    int modelSpeedClass(const Worker &worker, const Step &step) const;
    void refreshFromModel(Instant now);
    void reportModel(Instant now);
    // dispatcher_usage.cc
    void countUsage(Instant now);
    void updateShares();
    double weightOf(const Job &job) const;
    dispatch::AccountRank accountRank(const Job &job) const;
    std::string describePastUse(const Job &job) const;

    DispatchOptions m_options;
    const EstimateFunctions &m_estimates = estimateFunctions(m_options.policies.estimates);
    StragglerPolicy m_stragglers;
    EventSink m_events;
    std::shared_ptr<const Catalog> m_catalog = std::make_shared<Catalog>();
    std::set<std::string> m_zonesOut;
    std::map<std::string, std::unique_ptr<Job>> m_jobs;
    std::map<WorkerId, std::unique_ptr<Worker>> m_workers;
    // Lost workers with new runs, until a report shows whether they have crashed.
    std::map<WorkerId, dispatch::LostWorker> m_lostWorkers;
    dispatch::JobSet m_dirty; // changed since takeProgress()
    std::set<WorkerId> m_unreconciled; // may have runs that no report has shown yet
    std::set<WorkerId> m_recordedWorkers; // see setRecordedWorkers()
    // Unreconciled workers on which tasks may run whose progress does not tell.
    std::set<WorkerId> m_unrecorded;
    std::map<std::string, Resources> m_teamUse; // resources in use, by team
    std::optional<UsageHistory> m_usage; // set with SchedulingPolicies::fairShare
    // What runs of an earlier scheduler that no report has shown may use, by team; updated by
    // decide().
    std::map<std::string, Resources> m_unreportedUse;
    // Team name and route priority.
    using TeamPriority = std::pair<std::string, int32_t>;
    std::map<TeamPriority, dispatch::RecentDemand> m_recentDemand;
    // Share of workers that the policy service approves, by route; smoothed.
    std::map<std::string, double> m_approvedShare;
    uint64_t m_lastApprovalCall = 0; // see PendingApproval::call
    ApprovalCallers m_approvalCallers;
    bool m_overdueCallIsNext = true; // of the calls for overdue steps and others, by turns
    std::map<TeamPriority, Resources> m_priorityUse; // updated by decide()
    // Resources of runs that are being stopped, by team, less what waiting steps of the present
    // decision have claimed.
    std::map<std::string, Resources> m_stoppingUse;
    // Pools and teams of which a gang holds places or limit; see dispatcher_holds.cc. Valid during
    // and after a decision, until the next one.
    std::set<std::string> m_poolsWithHolds;
    std::map<std::string, dispatch::HeldLimit> m_heldLimit;
    // Whose steps can have no further run preempted for them in the present decision.
    std::set<TeamPriority> m_preemptionExhausted;
    DurationModel m_durationModel;
    std::string m_lastRefreshedJob; // by refreshFromModel()
    Instant m_modelReportedAt = Instant::min();
    int64_t m_reportedSamples = 0;
    Resources m_total; // capacity of all listed workers
    uint64_t m_nextSequence = 0;
    std::vector<StopOrder> m_orphanStops; // for orphaned runs; sent by the next decide()
    std::vector<ThrottleOrder> m_throttles;
    dispatch::AttemptSet m_pendingStops; // stops are repeated until confirmed
    uint64_t m_nextAttemptSerial = 0;
    // Runs that were stopped to make room, until they end or RoomHoldTime has passed.
    dispatch::AttemptSet m_roomStops;
    std::set<WorkerId> m_reservedWorkers; // with reservations; some may have gone
    Instant m_nextRoomSearchAt = Instant::min();
    dispatch::RoomSearch m_roomSearch;
};

} // namespace cardamompaddle
