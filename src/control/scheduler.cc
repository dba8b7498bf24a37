#include "control/scheduler.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration MinPassDelay{4}; // batches events into one scheduling pass
constexpr Duration MaxPassDelay{40};
// The delay after a pass is this multiple of its time, so that passes take at most a third of the
// scheduler's time.
constexpr int PassDelayFactor = 2;
constexpr Duration TickInterval{100};
constexpr Duration TenureRecordInterval{1'000}; // the tenure record is stored again
constexpr Duration RegistryPollInterval{300};
constexpr Duration LoadLogInterval{1'000};
// A process whose timers run this late, averaged over about half a second, is too slow to schedule.
// A healthy process runs them about 1 ms late.
constexpr double OverloadLagMs = 20;
constexpr Duration MaxCountedLag{60}; // limits the effect of a single long pause
constexpr double LagAverageWeight = 0.2; // of the latest tick in the average
constexpr Duration MinTenureBeforeHandOver{2'000};
// Added to the retention of ended jobs. The time of an end is taken before it is stored, and
// callers see it once it is stored.
constexpr Duration EndTimeTolerance{10'000};

RemoteWorkerGatewayOptions gatewayOptions(const work::Tenure &tenure)
{
    RemoteWorkerGatewayOptions out;
    out.self = tenure.holder;
    out.replyTo = tenure.address;
    out.epoch = tenure.epoch;
    // The log gives each epoch to one holder only.
    out.session = tenure.holder + "/" + tenure.address + "/" + std::to_string(tenure.epoch);
    return out;
}

// Returns whether runs of a job that has ended may still exist.
bool isBeingStopped(const JobEntry &entry)
{
    const auto parts = entry.progressParts();
    return std::any_of(parts.begin(), parts.end(), [](const work::Progress *part) {
        return std::any_of(part->steps.begin(), part->steps.end(),
                           [](const work::StepProgress &it) { return !it.placedOn.empty(); });
    });
}

} // namespace

Scheduler::Scheduler(SchedulerContext context, SchedulerOptions options, int64_t nextSequence,
                     JobsRefresh refreshJobs, std::function<void(const std::string &)> onTenureLost,
                     RecordsStoredCallback recordsStored)
    : m_context(std::move(context)), m_options(std::move(options)),
      m_refreshJobs(std::move(refreshJobs)), m_onTenureLost(std::move(onTenureLost)),
      m_recordsStored(std::move(recordsStored)),
      m_dispatcher({m_options.tenure.epoch, m_options.offRackFactor,
                    [this](const std::string &id) {
                        const JobEntry *entry = m_context.jobTable.find(id);
                        return entry == nullptr ? nullptr : entry->submission;
                    },
                    [this](const TaskRef &task) {
                        return m_links ? m_links->lateStartWorkers(task) : nullptr;
                    },
                    m_options.policies},
                   [](const DispatchEvent &event) {
                       logInfo(event.name,
                               (event.job.empty() ? "" : "job=" + event.job + " ") + event.detail);
                   }),
      m_workers(m_context.io, m_context.clock, m_context.workers, m_context.peers,
                gatewayOptions(m_options.tenure)),
      m_deferredReports([this](const std::string &job) {
          const JobEntry *entry = m_context.jobTable.find(job);
          return entry != nullptr && entry->submission;
      }),
      m_passTimer(m_context.io), m_passDelay(MinPassDelay), m_eventTimer(m_context.io),
      m_flushTimer(m_context.io), m_tickTimer(m_context.io),
      m_writer(m_context.io, m_context.clock, m_context.log, m_context.workTopic,
               {SchedulerWriter, m_options.tenure.epoch, nextSequence}, m_context.logLimits,
               {[this](const std::string &reason) {
                    reportTenureLost("the log rejected this epoch: " + reason);
                },
                [this](const KeyedRecord &record, const std::string &reason) {
                    onRejected(record, reason);
                }}),
      m_jobGarbageCollector(m_context.log, m_context.jobTable, m_context.jobsTopic,
                            m_context.workTopic),
      m_tenureClock(m_options.tenure.heldMs, m_context.clock.now()), m_releaseTimer(m_context.io)
{
    for (const auto &[id, former] : m_options.formerLeases) {
        if (former.expiry != Instant::min())
            m_suspendedLeases[id] = former.expiry;
    }
    m_startedAt = m_lastStoredAt = m_lastPublishedAt = m_loadLoggedAt = m_context.clock.now();
    m_tenureRecordedAt = m_usageTakenAt = m_startedAt;
    WorkerLinks::Callbacks links;
    links.report = [this](const WorkerId &id, const RunReport &report) { onReport(id, report); };
    links.startWanted = [this](const StartOrder &order) {
        return m_dispatcher.isStartCurrent(order, m_context.clock.now());
    };
    links.startAnswered = [this](const StartOrder &order, StartOutcome answer) {
        const LoadMeter::Scope measured(m_load, LoadPart::Answer);
        m_dispatcher.startAnswered(order, answer, m_context.clock.now());
        if (answer != StartOutcome::Started)
            schedulePass();
    };
    links.stopConfirmed = [this](const StopOrder &order) {
        m_dispatcher.stopAnswered(order, m_context.clock.now());
    };
    links.leasesPermitted = [this](const WorkerId &id, int64_t startedAtMs) {
        return leasesPermitted(id, startedAtMs);
    };
    links.formerLeases = [this](const WorkerId &id) { return formerLeases(id); };
    links.reachable = [this](const WorkerId &id, bool reachable) {
        reachable ? (void)m_reachable.insert(id) : (void)m_reachable.erase(id);
        const bool reopens = m_closedWorkers.contains(id) && !m_retiredWorkers.contains(id);
        if (reachable && (reopens || m_suspendedLeases.contains(id))) {
            m_usedWorkersToStore.insert(id);
            scheduleFlush(Duration::zero());
        }
        updateReachable(id);
    };
    links.lost = [this](const WorkerId &id, const std::set<RunRef> &unanswered) {
        m_deferredReports.drop(id);
        m_dispatcher.workerLost(id, unanswered);
        updateReconciliation();
        schedulePass();
    };
    links.replaced = [this](const WorkerId &id) {
        m_deferredReports.drop(id);
        m_dispatcher.workerReplaced(id, m_context.clock.now());
        updateReconciliation();
        schedulePass();
    };
    links.fenced = [this] { reportTenureLost("a worker has seen a higher epoch"); };
    links.busy = [this](const WorkerId &id) {
        return m_dispatcher.isBusy(id) || m_deferredReports.contains(id);
    };
    links.storedPosition = [this](const WorkerId &id, int64_t startedAtMs) {
        const auto it = m_storedPositions.find(id);
        const bool known = it != m_storedPositions.end() && it->second.startedAtMs == startedAtMs;
        return known ? it->second.position : 0;
    };
    WorkerLinksOptions linksOptions;
    linksOptions.epoch = m_options.tenure.epoch;
    linksOptions.maxLease = m_options.maxLease;
    linksOptions.tenureHeldAt = m_options.claimSentAt;
    linksOptions.formerTenureHeldAt = m_options.formerTenureHeldAt;
    m_links = std::make_unique<WorkerLinks>(m_context.io, m_context.clock, m_workers, linksOptions,
                                            std::move(links));
    m_approvalRequester = std::make_unique<ApprovalRequester>(
        m_context.clock, m_context.policy, m_context.peers, m_dispatcher, m_options.tenure.holder,
        [this] { schedulePass(); }, m_context.approvalObserver, m_options.policies.approvals);
    LogFollower::Callbacks registry;
    registry.record = [this](const KeyedRecord &record) { onWorkerRecord(record); };
    registry.loaded = [this](const std::set<std::string> &ids) { onRegistryLoaded(ids); };
    registry.availability = [](bool lost, const std::string &reason) {
        logWarn(lost ? "registry_lost" : "registry_back", "reason=\"" + reason + "\"");
    };
    m_registry = std::make_unique<LogFollower>(
        m_context.io, m_context.clock, m_context.log,
        LogFollowerOptions{m_context.registryTopic, RegistryPollInterval}, std::move(registry));
}

Scheduler::~Scheduler()
{
    *m_alive = false;
}

void Scheduler::start()
{
    const int64_t formerEpoch = m_options.tenure.epoch - 1;
    for (const auto &[id, used] : m_context.jobTable.usedWorkers()) {
        m_unreconciled.insert(id);
        m_storedUsedWorkers[id] = used.startedAtMs;
        if (m_options.tenure.startsRecorded || used.runsRecordedEpoch == formerEpoch)
            m_recordedWorkers.insert(id);
    }
    std::vector<const JobEntry *> open;
    for (const auto &[id, entry] : m_context.jobTable.entries()) {
        // Of a job that has ended, the end may not be stored yet.
        if (entry.submission && (entry.endedAtHeldMs() == 0 || isBeingStopped(entry)))
            open.push_back(&entry);
    }
    std::sort(open.begin(), open.end(),
              [](const JobEntry *a, const JobEntry *b) { return a->offset < b->offset; });
    // Of the starts that the former scheduler recorded, only the tasks that it placed on
    // unreconciled workers have to wait. On the other workers any task of an open job may be
    // running.
    const bool mayBeRunning = m_recordedWorkers.size() < m_unreconciled.size();
    for (const JobEntry *entry : open) {
        // The last record of a job that has ended names the workers of all runs that it had left.
        const bool ended = entry->progress && entry->progress->state >= work::JobState::Completed;
        m_dispatcher.addJob(entry->submission, entry->progressParts(), mayBeRunning && !ended);
        if (entry->isCancelled())
            m_dispatcher.cancelJob(entry->submission->id);
    }
    m_dispatcher.setRecordedWorkers(m_recordedWorkers);
    m_dispatcher.setUnreconciledWorkers(m_unreconciled);
    m_dispatcher.restoreUsage(m_context.jobTable.usage(), m_tenureClock.heldMs());
    logInfo("scheduling_began",
            "epoch=" + std::to_string(m_options.tenure.epoch)
                + " open_jobs=" + std::to_string(open.size())
                + " used_workers=" + std::to_string(m_unreconciled.size()) + " unrecorded_workers="
                + std::to_string(m_unreconciled.size() - m_recordedWorkers.size()));
    // Probes the instances while the registry is read.
    updateWorkerGateway();
    m_registry->start();
    m_tenureDirty = true;
    tick();
}

void Scheduler::setCatalog(std::shared_ptr<const Catalog> catalog)
{
    m_dispatcher.setCatalog(std::move(catalog));
    schedulePass();
}

void Scheduler::setZonesOut(std::set<std::string> zones)
{
    m_dispatcher.setZonesOut(std::move(zones));
    schedulePass();
}

void Scheduler::jobTableChanged(JobTable::Change change, const std::string &id)
{
    const JobEntry *entry = m_context.jobTable.find(id);
    if (entry == nullptr)
        return;
    if (change == JobTable::Change::Submitted && entry->endedAtHeldMs() == 0) {
        // The former scheduler may have read the job and started its tasks on a worker that it
        // could still call. A reconciled worker has reported all of them.
        const bool mayBeRunning = !m_allReconciled && !m_options.tenure.startsRecorded;
        m_dispatcher.addJob(entry->submission, entry->progressParts(), mayBeRunning);
        // The cancellation may have been read first.
        if (entry->isCancelled())
            m_dispatcher.cancelJob(id);
        schedulePass();
        if (m_dispatcher.hasProgress())
            scheduleFlush(FlushDelay);
    } else if (change == JobTable::Change::Cancelled && entry->isCancelled()) {
        m_dispatcher.cancelJob(id);
        schedulePass();
        scheduleFlush(FlushDelay);
    }
}

void Scheduler::onWorkerRecord(const KeyedRecord &record)
{
    if (record.removed) {
        m_dispatcher.removeWorker(record.key);
        if (m_storedUsedWorkers.contains(record.key))
            m_retiredWorkers.insert(record.key);
        // Runs of an earlier scheduler may be on the worker. The dispatcher has to know the worker
        // to process its next report.
        if (m_unreconciled.contains(record.key))
            m_dispatcher.adoptWorker(record.key);
        m_links->markUnlisted(record.key);
        schedulePass();
        return;
    }
    const auto entry = m_context.decodeWorker(record);
    if (!entry) {
        // Other programs write to the registry too; entries that describe no worker are skipped.
        logWarn("registry_entry_ignored",
                "key=" + record.key + " reason=\"" + entry.error().reason + "\"");
        return;
    }
    m_dispatcher.setWorker(*entry);
    m_links->setEntry(*entry, true);
    if (entry->draining)
        m_retiredWorkers.insert(entry->id);
    else
        m_retiredWorkers.erase(entry->id);
    const bool reopens = !entry->draining && m_closedWorkers.contains(entry->id);
    // The link may have outlived an earlier entry and report no change.
    updateReachable(entry->id);
    if ((reopens || !m_storedUsedWorkers.contains(entry->id))
        && m_usedWorkersToStore.insert(entry->id).second)
        scheduleFlush(Duration::zero());
    schedulePass();
}

void Scheduler::onRegistryLoaded(const std::set<std::string> &ids)
{
    for (const auto &[id, used] : m_context.jobTable.usedWorkers()) {
        // An entry that cannot be decoded tells nothing about the worker.
        if (!ids.contains(id) || !m_links->contains(id)) {
            m_dispatcher.adoptWorker(id);
            m_dispatcher.removeWorker(id);
            m_retiredWorkers.insert(id);
            WorkerEntry entry;
            entry.id = id;
            entry.address = used.address;
            m_links->setEntry(entry, false);
            m_links->markUnlisted(id);
        }
    }
    m_registryLoaded = true;
    updateReconciliation();
}

void Scheduler::onReport(const WorkerId &id, const RunReport &report)
{
    const bool wasDeferred = m_deferredReports.contains(id);
    if (m_deferredReports.admit(id, report, m_jobTableAsOf, m_context.clock.now())) {
        processReport(id, report);
        if (wasDeferred)
            updateReachable(id);
        return;
    }
    if (!wasDeferred)
        logInfo("report_deferred",
                "worker=" + id + " started_at_ms=" + std::to_string(report.startedAtMs)
                    + " runs=" + std::to_string(report.running.size())
                    + " ended=" + std::to_string(report.ended.size())
                    + " unknown_job=" + m_deferredReports.firstUnknownJob(report).value_or("none"));
    updateReachable(id);
    refreshJobTable();
}

// Reads the jobs that were stored until now, so that deferred reports can be processed.
void Scheduler::refreshJobTable()
{
    if (std::exchange(m_refreshingJobs, true))
        return;
    m_refreshJobs([this, alive = m_alive, requestedAt = m_context.clock.now()](bool current) {
        if (*alive)
            onJobTableRefreshed(requestedAt, current);
    });
}

void Scheduler::onJobTableRefreshed(Instant requestedAt, bool current)
{
    m_refreshingJobs = false;
    if (!current)
        return; // repeated by the next tick
    m_jobTableAsOf = std::max(m_jobTableAsOf, requestedAt);
    for (const auto &[id, report] : m_deferredReports.takeJudgeable(m_jobTableAsOf)) {
        processReport(id, report);
        updateReachable(id);
    }
    // Some may have arrived since the refresh was requested.
    if (!m_deferredReports.empty())
        refreshJobTable();
}

void Scheduler::processReport(const WorkerId &id, const RunReport &report)
{
    const LoadMeter::Scope measured(m_load, LoadPart::Report);
    m_dispatcher.workerReported(id, report, m_context.clock.now());
    storeIncarnation(id);
    if (!m_allReconciled)
        updateReconciliation();
    schedulePass();
    if (!report.ended.empty())
        scheduleFlush(FlushDelay);
}

void Scheduler::updateReachable(const WorkerId &id)
{
    const bool usable = m_reachable.contains(id)
                        && leasesPermitted(id, m_links->incarnationStart(id))
                        && m_storedUsedWorkers.at(id) == m_links->incarnationStart(id)
                        && !m_closedWorkers.contains(id) && !m_deferredReports.contains(id);
    m_dispatcher.setReachable(id, usable);
}

bool Scheduler::leasesPermitted(const WorkerId &id, int64_t startedAtMs) const
{
    const auto it = m_storedUsedWorkers.find(id);
    // A record of an earlier version names no incarnation. A later scheduler then counts with the
    // longest leases.
    return it != m_storedUsedWorkers.end() && (it->second == startedAtMs || it->second == 0)
           && !m_suspendedLeases.contains(id);
}

FormerLeases Scheduler::formerLeases(const WorkerId &id) const
{
    FormerLeases out;
    if (const auto it = m_options.formerLeases.find(id); it != m_options.formerLeases.end())
        out = it->second;
    const auto &used = m_context.jobTable.usedWorkers();
    if (const auto it = used.find(id); it != used.end()) {
        out.used = true;
        out.startedAtMs = it->second.startedAtMs;
    }
    const auto suspended = m_suspendedLeases.find(id);
    out.expiry = suspended == m_suspendedLeases.end() ? Instant::min() : suspended->second;
    return out;
}

void Scheduler::storeIncarnation(const WorkerId &id)
{
    const auto it = m_storedUsedWorkers.find(id);
    if (it == m_storedUsedWorkers.end() || it->second == incarnationToStore(id))
        return;
    updateReachable(id);
    if (!m_retiredWorkers.contains(id) && m_usedWorkersToStore.insert(id).second)
        scheduleFlush(Duration::zero());
}

void Scheduler::updateReconciliation()
{
    // Until the registry is loaded, the links to the workers of the former scheduler are missing.
    if (m_allReconciled || !m_registryLoaded)
        return;
    if (std::erase_if(m_unreconciled,
                      [this](const WorkerId &id) {
                          return m_links->reconciled(id) && !m_deferredReports.contains(id);
                      })
        > 0) {
        m_dispatcher.setUnreconciledWorkers(m_unreconciled);
        schedulePass();
    }
    if (!m_unreconciled.empty())
        return;
    m_allReconciled = true;
    if (m_recordBeforeStart && !m_options.tenure.startsRecorded)
        setStartsRecorded(true);
    logInfo("workers_known", "count=" + std::to_string(m_links->size()));
    schedulePass();
}

// Tells which workers of the former scheduler have not reported yet, and by when they do or have
// lost their leases.
void Scheduler::logAwaitedWorkers(Instant now) const
{
    if (m_allReconciled || m_unreconciled.empty())
        return;
    constexpr size_t MaxNamed = 8;
    std::string names;
    Duration longest{0};
    size_t named = 0;
    for (const WorkerId &id : m_unreconciled) {
        if (!m_links->contains(id))
            continue;
        const Duration left = m_links->lease(id).expiry() - now;
        longest = std::max(longest, left);
        if (named++ < MaxNamed)
            names += (names.empty() ? "" : ",") + id + "/" + std::to_string(left.count());
    }
    logInfo("workers_awaited", "epoch=" + std::to_string(m_options.tenure.epoch)
                                   + " count=" + std::to_string(m_unreconciled.size())
                                   + " reports_deferred=" + std::to_string(m_deferredReports.size())
                                   + " longest_lease_ms=" + std::to_string(longest.count())
                                   + " workers_and_lease_ms=" + names);
}

void Scheduler::schedulePass()
{
    if (m_passArmed || m_onReleased)
        return;
    m_passArmed = true;
    m_passTimer.expireAfter(m_passDelay);
    m_passTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            runPass();
    });
}

void Scheduler::runPass()
{
    m_passArmed = false;
    if (m_onReleased)
        return;
    const LoadMeter::Scope measured(m_load, LoadPart::Decide);
    const int64_t unixMs = m_context.unixClock();
    const Instant begin = m_context.clock.now();
    const Orders orders = m_dispatcher.decide(begin, unixMs);
    for (const StopOrder &stop : orders.stops)
        m_links->stop(stop);
    for (const ThrottleOrder &throttle : orders.throttles)
        m_links->throttle(throttle);
    for (const StartOrder &start : orders.starts) {
        // Without a current tenure a start waits for the next append, too: it would be withdrawn.
        // A successor knows of a second run of a task only from its record.
        if (m_recordBeforeStart || start.copy || !m_links->tenureIsCurrent())
            m_startsToRecord.push_back(start);
        else
            m_links->start(start);
    }
    if (!m_startsToRecord.empty())
        scheduleFlush(StartFlushDelay);
    m_approvalRequester->sendRequests(m_context.jobTable.members(), unixMs);
    if (m_dispatcher.hasProgress())
        scheduleFlush(FlushDelay);
    armEventTimer();
    m_passDelay =
        std::clamp((m_context.clock.now() - begin) * PassDelayFactor, MinPassDelay, MaxPassDelay);
}

void Scheduler::armEventTimer()
{
    const Instant now = m_context.clock.now();
    const auto next = m_dispatcher.nextEvent(now, m_context.unixClock());
    if (!next)
        return;
    m_eventTimer.expireAfter(*next - now);
    m_eventTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            schedulePass();
    });
}

void Scheduler::tick()
{
    const Instant now = m_context.clock.now();
    // The former holder may be cut off from the log. The tenure record is published to the peers,
    // so that the former holder learns of its replacement.
    if (now - m_tenureRecordedAt >= TenureRecordInterval)
        m_tenureDirty = true;
    logLoad(now);
    reportSlowAppend(now);
    updateWorkerGateway();
    m_links->tick();
    const Duration retention = m_options.terminalRetention + EndTimeTolerance;
    m_jobGarbageCollector.collect(now, m_tenureClock.heldMs(), retention);
    if (!m_deferredReports.empty())
        refreshJobTable();
    if (!m_allReconciled)
        updateReconciliation();
    for (const auto &[id, startedAtMs] : m_storedUsedWorkers) {
        if (m_registryLoaded && !m_links->contains(id)) {
            m_usedWorkersToRemove.insert(id);
            m_deferredReports.drop(id);
        }
    }
    if (now - m_lastStoredAt >= HeartbeatInterval || !m_usedWorkersToRemove.empty())
        scheduleFlush(Duration::zero());
    schedulePass();
    armTickTimer();
}

WaitingStepsByReason Scheduler::waitingSteps() const
{
    return m_dispatcher.waitingSteps(m_context.clock.now(), m_context.unixClock());
}

std::map<std::string, double> Scheduler::relativeUses() const
{
    return m_dispatcher.relativeUses();
}

ApprovalLoad Scheduler::approvalLoad() const
{
    return m_dispatcher.approvalLoad(m_context.clock.now(), m_context.unixClock());
}

std::optional<BacklogSummary> Scheduler::takeBacklog()
{
    const Instant now = m_context.clock.now();
    if (!m_options.policies.admission || !m_backlogFeed.isDue(now))
        return std::nullopt;
    return m_backlogFeed.next(m_dispatcher.backlog(now, m_context.unixClock()));
}

void Scheduler::updateWorkerGateway()
{
    // Until the registry is loaded, the workers in use tell about how many there are.
    m_workers.update(m_context.jobTable.members(),
                     std::max(m_links->size(), m_context.jobTable.usedWorkers().size()));
}

// Logs how the scheduler spent the last interval.
void Scheduler::logLoad(Instant now)
{
    const Duration elapsed = now - m_loadLoggedAt;
    if (elapsed < LoadLogInterval)
        return;
    m_loadLoggedAt = now;
    logInfo("scheduler_load", "epoch=" + std::to_string(m_options.tenure.epoch)
                                  + " interval_ms=" + std::to_string(elapsed.count()) + " lag_ms="
                                  + std::to_string(static_cast<int64_t>(m_averageLagMs))
                                  + " append_ms=" + std::to_string(m_averageAppendTime.count())
                                  + " workers=" + std::to_string(m_links->size()) + " links="
                                  + std::to_string(m_workers.linkCount()) + " " + m_load.take());
    logAwaitedWorkers(now);
    m_dispatcher.reportOverdueTasks(now, m_context.unixClock());
}

void Scheduler::armTickTimer()
{
    m_tickDue = m_context.clock.now() + TickInterval;
    m_tickTimer.expireAfter(TickInterval);
    m_tickTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        const Duration late = std::max(Duration::zero(), m_context.clock.now() - m_tickDue);
        const auto counted = static_cast<double>(std::min(late, MaxCountedLag).count());
        m_averageLagMs += (counted - m_averageLagMs) * LagAverageWeight;
        tick();
    });
}

bool Scheduler::isOverloaded() const
{
    return m_averageLagMs >= OverloadLagMs
           && m_context.clock.now() - m_startedAt >= MinTenureBeforeHandOver;
}

void Scheduler::handOver(const work::Member &successor, Duration maxWait,
                         std::function<void()> done)
{
    m_options.tenure.handedOverAtHeldMs = m_tenureClock.heldMs();
    logWarn("tenure_handed_over",
            "epoch=" + std::to_string(m_options.tenure.epoch)
                + " lag_ms=" + std::to_string(static_cast<int64_t>(m_averageLagMs)) + " successor="
                + successor.name + " successor_cpu_milli=" + std::to_string(successor.cpuMilli));
    release(successor.name, maxWait, std::move(done));
}

void Scheduler::release(const std::string &successor, Duration maxWait, std::function<void()> done)
{
    m_onReleased = std::move(done);
    m_options.tenure.successor = successor;
    logInfo("tenure_releasing",
            "epoch=" + std::to_string(m_options.tenure.epoch) + " successor=" + successor);
    scheduleFlush(Duration::zero());
    m_releaseTimer.expireAfter(maxWait);
    m_releaseTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            finishRelease();
    });
}

void Scheduler::finishRelease()
{
    m_releaseTimer.cancel();
    boost::asio::post(m_context.io, std::exchange(m_onReleased, [] {}));
}

void Scheduler::reportTenureLost(const std::string &reason)
{
    boost::asio::post(m_context.io, [alive = m_alive, onTenureLost = m_onTenureLost, reason] {
        if (*alive)
            onTenureLost(reason);
    });
}

} // namespace cardamompaddle
