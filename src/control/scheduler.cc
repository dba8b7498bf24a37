#include "control/scheduler.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration PassDelay{4}; // events within it share a decision
constexpr Duration FlushDelay{25}; // changes of progress within it share an append
constexpr Duration StartFlushDelay{12}; // starts within it share an append
// An append that usually takes this long would delay starts too much: they are sent before their
// record is stored, until appends are as fast again as the second figure.
constexpr Duration SlowAppend{120};
constexpr Duration FastAppend{50};
constexpr int UsualAppendParts = 4; // one part in so many is the last append's
constexpr Duration TickInterval{100};
constexpr Duration HeartbeatInterval{150}; // without other appends
constexpr int TicksBetweenTenures = 10; // the tenure's record is stored again
constexpr Duration RegistryPollInterval{300};
// A process that runs its timers this much behind, on the average of half a second, is too slow to
// schedule: a sound one is one millisecond late. One long pause counts for no more than the second
// figure.
constexpr double LagOfOverloadMs = 20;
constexpr Duration MostLagCounted{60};
constexpr double LagWeight = 0.2; // of the last tick in the average
constexpr Duration LeastTenure{2'000};
// Where all instances are slow, the tenure changes no more often.
constexpr Duration BetweenHandOvers{10'000};
// A scheduler that was replaced learns of it within this time.
constexpr Duration FormerSchedulerTime{1'000};

} // namespace

Scheduler::Scheduler(SchedulerContext context, SchedulerOptions options, int64_t nextSequence,
                     std::function<void(const std::string &)> tenureLost, Published published)
    : m_context(std::move(context)), m_options(std::move(options)),
      m_tenureLost(std::move(tenureLost)), m_published(std::move(published)),
      m_dispatcher({m_options.tenure.epoch, m_options.offRackFactor},
                   [](const DispatchEvent &event) {
                       logInfo(event.what,
                               (event.job.empty() ? "" : "job=" + event.job + " ") + event.detail);
                   }),
      m_passTimer(m_context.io), m_eventTimer(m_context.io), m_flushTimer(m_context.io),
      m_tickTimer(m_context.io),
      m_writer(m_context.io, m_context.log, m_context.workTopic,
               {SchedulerWriter, m_options.tenure.epoch, nextSequence},
               [this](const std::string &reason) {
                   reportTenureLost("the log refuses this epoch: " + reason);
               }),
      m_jobGarbageCollector(m_context.log, m_context.jobTable, m_context.jobsTopic,
                            m_context.workTopic),
      m_releaseTimer(m_context.io)
{
    m_beganAt = m_storedAt = m_publishedAt = m_context.clock.now();
    WorkerLinks::Callbacks links;
    links.report = [this](const WorkerId &id, const RunReport &report) { onReport(id, report); };
    links.startAnswered = [this](const StartOrder &order, StartOutcome answer) {
        m_dispatcher.startAnswered(order, answer, m_context.clock.now());
        if (answer != StartOutcome::Started)
            schedulePass();
    };
    links.stopConfirmed = [this](const StopOrder &order) {
        m_dispatcher.stopAnswered(order, m_context.clock.now());
    };
    links.reachable = [this](const WorkerId &id, bool reachable) {
        reachable ? (void)m_answering.insert(id) : (void)m_answering.erase(id);
        updateUsable(id);
    };
    links.lost = [this](const WorkerId &id) {
        m_dispatcher.workerLost(id);
        judgeAllKnown();
        schedulePass();
    };
    links.fenced = [this] { reportTenureLost("a worker has seen a higher epoch"); };
    links.busy = [this](const WorkerId &id) { return m_dispatcher.isBusy(id); };
    links.storedEnds = [this](const WorkerId &id) {
        const auto it = m_storedEnds.find(id);
        return it == m_storedEnds.end() ? 0 : it->second;
    };
    m_links = std::make_unique<WorkerLinks>(
        m_context.io, m_context.clock, m_context.workers,
        WorkerLinksOptions{m_options.tenure.epoch, m_options.maxLease}, std::move(links));
    m_approvalRequester = std::make_unique<ApprovalRequester>(
        m_context.clock, m_context.policy, m_context.peers, m_dispatcher, m_options.tenure.holder,
        [this] { schedulePass(); });
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
    for (const auto &[id, used] : m_context.jobTable.usedWorkers()) {
        m_unreconciled.insert(id);
        m_usedStored.insert(id);
    }
    std::vector<const JobEntry *> open;
    for (const auto &[id, entry] : m_context.jobTable.entries()) {
        if (entry.submission && entry.state() < work::JobState::Completed)
            open.push_back(&entry);
    }
    std::sort(open.begin(), open.end(),
              [](const JobEntry *a, const JobEntry *b) { return a->offset < b->offset; });
    // Where the former scheduler recorded its starts, only tasks that it placed on workers which
    // are not heard of have to wait.
    const bool mayBeRunning = !m_unreconciled.empty() && !m_options.tenure.startsRecorded;
    for (const JobEntry *entry : open)
        m_dispatcher.addJob(entry->submission, entry->progress.get(), mayBeRunning);
    m_dispatcher.setUnreconciledWorkers(m_unreconciled);
    logInfo("scheduling_began", "epoch=" + std::to_string(m_options.tenure.epoch)
                                    + " open_jobs=" + std::to_string(open.size())
                                    + " used_workers=" + std::to_string(m_unreconciled.size()));
    m_registry->start();
    m_tenureToStore = true;
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
    const Instant now = m_context.clock.now();
    if (entry == nullptr)
        return;
    if (change == JobTable::Change::Submitted && entry->state() < work::JobState::Completed) {
        // The former scheduler may have read it too before it was fenced.
        const bool mayBeRunning = !m_allKnown && !m_options.tenure.startsRecorded
                                  && now - m_beganAt < FormerSchedulerTime;
        m_dispatcher.addJob(entry->submission, entry->progress.get(), mayBeRunning);
        schedulePass();
    } else if (change == JobTable::Change::Cancelled) {
        m_dispatcher.cancelJob(id);
        schedulePass();
        scheduleFlush(FlushDelay);
    }
}

void Scheduler::onWorkerRecord(const KeyedRecord &record)
{
    if (record.removed) {
        m_dispatcher.removeWorker(record.key);
        // Runs of an earlier scheduler may be there; its next report is to find the worker known.
        if (m_unreconciled.contains(record.key))
            m_dispatcher.adoptWorker(record.key);
        m_links->unlist(record.key);
        schedulePass();
        return;
    }
    const auto entry = m_context.decodeWorker(record);
    if (!entry) {
        // An entry of another writer names no worker to use and changes nothing.
        logWarn("registry_entry_ignored",
                "key=" + record.key + " reason=\"" + entry.error().reason + "\"");
        return;
    }
    m_dispatcher.setWorker(*entry);
    m_links->setEntry(*entry, true);
    if (!m_usedStored.contains(entry->id) && m_usedToStore.insert(entry->id).second)
        scheduleFlush(Duration::zero());
    schedulePass();
}

void Scheduler::onRegistryLoaded(const std::set<std::string> &ids)
{
    for (const auto &[id, used] : m_context.jobTable.usedWorkers()) {
        if (!ids.contains(id)) {
            m_dispatcher.adoptWorker(id);
            m_dispatcher.removeWorker(id);
            WorkerEntry entry;
            entry.id = id;
            entry.address = used.address;
            m_links->setEntry(entry, false);
            m_links->unlist(id);
        }
    }
    m_registryLoaded = true;
    judgeAllKnown();
}

void Scheduler::onReport(const WorkerId &id, const RunReport &report)
{
    m_dispatcher.workerReported(id, report, m_context.clock.now());
    // A worker that has started anew counts its ends from the beginning.
    for (auto *ends : {&m_storedEnds, &m_batchEnds}) {
        if (const auto it = ends->find(id); it != ends->end())
            it->second = std::min(it->second, m_dispatcher.endPosition(id));
    }
    if (!m_allKnown)
        judgeAllKnown();
    schedulePass();
    if (!report.ended.empty())
        scheduleFlush(FlushDelay);
}

void Scheduler::updateUsable(const WorkerId &id)
{
    m_dispatcher.setReachable(id, m_answering.contains(id) && m_usedStored.contains(id));
}

void Scheduler::judgeAllKnown()
{
    // Before the registry is loaded there are no links that could tell.
    if (m_allKnown || !m_registryLoaded)
        return;
    if (std::erase_if(m_unreconciled,
                      [this](const WorkerId &id) { return m_links->reconciled(id); })
        > 0) {
        m_dispatcher.setUnreconciledWorkers(m_unreconciled);
        schedulePass();
    }
    if (!m_unreconciled.empty())
        return;
    m_allKnown = true;
    if (m_recordStarts && !m_options.tenure.startsRecorded)
        promiseRecords(true);
    logInfo("workers_known", "count=" + std::to_string(m_links->size()));
    schedulePass();
}

void Scheduler::schedulePass()
{
    if (m_passArmed || m_released)
        return;
    m_passArmed = true;
    m_passTimer.expires_after(PassDelay);
    m_passTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            pass();
    });
}

void Scheduler::pass()
{
    m_passArmed = false;
    if (m_released)
        return;
    const int64_t unixMs = m_context.unixClock();
    const Orders orders = m_dispatcher.decide(m_context.clock.now(), unixMs);
    for (const StopOrder &stop : orders.stops)
        m_links->stop(stop);
    for (const ThrottleOrder &throttle : orders.throttles)
        m_links->throttle(throttle);
    for (const StartOrder &start : orders.starts) {
        if (m_recordStarts)
            m_startsToRecord.push_back(start);
        else
            m_links->start(start);
    }
    if (!m_startsToRecord.empty())
        scheduleFlush(StartFlushDelay);
    m_approvalRequester->sendRequests(m_context.jobTable.members(), unixMs);
    if (m_dispatcher.hasProgress())
        scheduleFlush(FlushDelay);
    armEvent();
}

// Sends a start whose record is stored, if it is still wanted.
void Scheduler::sendStart(const StartOrder &order)
{
    const Instant now = m_context.clock.now();
    if (m_dispatcher.isStartCurrent(order, now))
        return m_links->start(order);
    m_dispatcher.startAnswered(order, StartOutcome::NotSent, now);
    schedulePass();
}

// Leaves the recording of starts while the log is slow. Starts go out without a record only once
// the log says that there may be such starts; it says otherwise again in an append that holds the
// places of all that runs.
void Scheduler::judgeLogSpeed(Duration took)
{
    m_usualAppend += (took - m_usualAppend) / UsualAppendParts;
    const bool recorded = m_options.tenure.startsRecorded;
    if (m_usualAppend >= SlowAppend) {
        if (recorded)
            promiseRecords(false);
        else if (!m_tenureToStore)
            m_recordStarts = false;
    } else if (m_usualAppend <= FastAppend && m_allKnown) {
        m_recordStarts = true;
        if (!recorded)
            promiseRecords(true);
    }
}

void Scheduler::promiseRecords(bool recorded)
{
    m_options.tenure.startsRecorded = recorded;
    m_tenureToStore = true;
    logInfo("starts_recorded", "promised=" + std::string(recorded ? "true" : "false")
                                   + " append_ms=" + std::to_string(m_usualAppend.count()));
}

void Scheduler::armEvent()
{
    const Instant now = m_context.clock.now();
    const auto next = m_dispatcher.nextEvent(now, m_context.unixClock());
    if (!next)
        return;
    m_eventTimer.expires_after(*next - now);
    m_eventTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            schedulePass();
    });
}

void Scheduler::scheduleFlush(Duration wait)
{
    if (m_writer.busy()) {
        m_moreToStore = true;
        return;
    }
    const Instant due = m_context.clock.now() + wait;
    if (m_flushArmed && m_flushDue <= due)
        return;
    m_flushArmed = true;
    m_flushDue = due;
    m_flushTimer.expires_after(wait);
    m_flushTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        m_flushArmed = false;
        if (!m_writer.busy())
            flush();
    });
}

void Scheduler::flush()
{
    std::vector<KeyedRecord> records;
    m_moreToStore = false;
    m_batchEnds.clear();
    for (const auto &[id, used] : m_context.jobTable.usedWorkers())
        m_batchEnds[id] = m_dispatcher.endPosition(id);
    for (const WorkerId &id : m_usedStored)
        m_batchEnds[id] = m_dispatcher.endPosition(id);
    m_batchUrgent.clear();
    for (const work::Progress &progress : m_dispatcher.takeProgress()) {
        const std::string key = work_key::progress(progress.id);
        if (progress.state >= work::JobState::Completed)
            m_batchUrgent.insert(key);
        records.push_back({key, encodeRecord(progress), false, 0});
    }
    addWorkerRecords(records);
    const Instant now = m_context.clock.now();
    if (records.empty() && now - m_storedAt < HeartbeatInterval && !m_released) {
        // Nothing to store: the ends concern no task any more.
        std::swap(m_storedEnds, m_batchEnds);
        m_links->endsStored();
        return;
    }
    m_startsInBatch = std::exchange(m_startsToRecord, {});
    if (records.empty() || m_released || std::exchange(m_tenureToStore, false)) {
        work::Tenure tenure = m_options.tenure;
        tenure.released = m_released != nullptr;
        records.push_back({work_key::Tenure, encodeRecord(tenure), false, 0});
        m_batchUrgent.insert(work_key::Tenure);
        m_releaseStored = tenure.released;
    }
    m_batchSentAt = now;
    m_writer.append(std::move(records),
                    [this](const std::vector<KeyedRecord> &stored) { onStored(stored); });
}

void Scheduler::publish(const std::vector<KeyedRecord> &records)
{
    std::vector<KeyedRecord> urgent;
    std::copy_if(records.begin(), records.end(), std::back_inserter(urgent),
                 [this](const KeyedRecord &it) { return m_batchUrgent.contains(it.key); });
    if (urgent.empty() && m_storedAt - m_publishedAt < HeartbeatInterval)
        return;
    m_publishedAt = m_storedAt;
    m_published(urgent, records.empty() ? 0 : records.back().offset + 1);
}

void Scheduler::addWorkerRecords(std::vector<KeyedRecord> &records)
{
    for (const WorkerId &id : m_unusedToStore) {
        records.push_back({work_key::usedWorker(id), "", true, 0});
        m_usedStored.erase(id);
    }
    m_unusedToStore.clear();
    m_batchUsed = std::exchange(m_usedToStore, {});
    for (const WorkerId &id : m_batchUsed) {
        work::UsedWorker used;
        used.id = id;
        used.address = m_links->address(id);
        records.push_back({work_key::usedWorker(id), encodeRecord(used), false, 0});
    }
}

void Scheduler::onStored(const std::vector<KeyedRecord> &records)
{
    m_storedAt = m_context.clock.now();
    publish(records);
    judgeLogSpeed(m_storedAt - m_batchSentAt);
    if (!m_released) {
        for (const StartOrder &start : std::exchange(m_startsInBatch, {}))
            sendStart(start);
    }
    std::swap(m_storedEnds, m_batchEnds);
    for (const WorkerId &id : m_batchUsed) {
        m_usedStored.insert(id);
        updateUsable(id);
    }
    if (!m_batchUsed.empty())
        schedulePass();
    m_batchUsed.clear();
    m_links->endsStored();
    if (m_released && m_releaseStored)
        return finishRelease();
    const bool soon = m_released || !m_startsToRecord.empty();
    if (soon || m_moreToStore || m_tenureToStore || m_dispatcher.hasProgress())
        scheduleFlush(soon ? StartFlushDelay : FlushDelay);
}

void Scheduler::tick()
{
    const Instant now = m_context.clock.now();
    // The former holder may be cut off from the log; it hears of the tenure from the feed.
    if (((now - m_beganAt) / TickInterval) % TicksBetweenTenures == 0)
        m_tenureToStore = true;
    m_links->tick();
    m_jobGarbageCollector.collect(now, m_context.unixClock() - m_options.terminalRetention.count());
    if (!m_allKnown)
        judgeAllKnown();
    for (const WorkerId &id : m_usedStored) {
        if (m_registryLoaded && !m_links->contains(id))
            m_unusedToStore.insert(id);
    }
    if (now - m_storedAt >= HeartbeatInterval || !m_unusedToStore.empty())
        scheduleFlush(Duration::zero());
    schedulePass();
    armTick();
}

void Scheduler::armTick()
{
    m_tickDue = m_context.clock.now() + TickInterval;
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (ec || !*alive)
            return;
        const Duration late = std::max(Duration::zero(), m_context.clock.now() - m_tickDue);
        const auto counted = static_cast<double>(std::min(late, MostLagCounted).count());
        m_lagMs += (counted - m_lagMs) * LagWeight;
        tick();
    });
}

bool Scheduler::overloaded() const
{
    const int64_t since = m_context.unixClock() - m_options.tenure.handedOverAtMs;
    return m_lagMs >= LagOfOverloadMs && since >= BetweenHandOvers.count()
           && m_context.clock.now() - m_beganAt >= LeastTenure;
}

void Scheduler::handOver(Duration most, std::function<void()> done)
{
    m_options.tenure.handedOverAtMs = m_context.unixClock();
    logWarn("tenure_handed_over", "epoch=" + std::to_string(m_options.tenure.epoch)
                                      + " lag_ms=" + std::to_string(static_cast<int64_t>(m_lagMs)));
    release(most, std::move(done));
}

void Scheduler::release(Duration most, std::function<void()> done)
{
    m_released = std::move(done);
    logInfo("tenure_releasing", "epoch=" + std::to_string(m_options.tenure.epoch));
    scheduleFlush(Duration::zero());
    m_releaseTimer.expires_after(most);
    m_releaseTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            finishRelease();
    });
}

void Scheduler::finishRelease()
{
    m_releaseTimer.cancel();
    boost::asio::post(m_context.io, std::exchange(m_released, [] {}));
}

void Scheduler::reportTenureLost(const std::string &reason)
{
    boost::asio::post(m_context.io, [alive = m_alive, tenureLost = m_tenureLost, reason] {
        if (*alive)
            tenureLost(reason);
    });
}

} // namespace cardamompaddle
