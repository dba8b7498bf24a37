// One tenure of the fleet's scheduler: joins the dispatcher with the log, the workers and the
// policy service.
//
// The holder of the tenure makes every placement. Its epoch fences the workers and its own records,
// so that a former holder can neither start tasks nor store progress. Not thread-safe: the event
// loop's thread only.
#pragma once

#include "control/approval_requester.h"
#include "control/fenced_writer.h"
#include "control/gateways.h"
#include "control/job_garbage_collector.h"
#include "control/job_table.h"
#include "control/log_follower.h"
#include "control/worker_links.h"
#include "dispatch/dispatcher.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle {

// Writer of the scheduler's records in the log; their epochs fence former schedulers.
inline constexpr const char *SchedulerWriter = "scheduler";

// Unix time in milliseconds; replaced in tests.
using UnixClock = std::function<int64_t()>;

struct SchedulerContext
{
    boost::asio::io_context &io;
    const Clock &clock;
    UnixClock unixClock;
    KeyedLog &log;
    WorkerGateway &workers;
    PolicyGateway &policy;
    PeerGateway &peers;
    const JobTable &jobTable;
    std::string workTopic; // of the scheduler: tenure, members, workers in use, progress
    std::string jobsTopic; // of callers: jobs and cancels
    std::string registryTopic;
    // Reads an entry of the registry. Errors: InvalidArgument for one that names no worker to use.
    std::function<Result<WorkerEntry>(const KeyedRecord &)> decodeWorker;
};

struct SchedulerOptions
{
    // As claimed; `startsRecorded` as the former scheduler left it.
    work::Tenure tenure;
    Duration maxLease{10'000};
    double offRackFactor = 1;
    Duration terminalRetention{120'000}; // how long the state of a final job can be asked for
};

class Scheduler
{
public:
    // `tenureLost` is called when another holder has taken over; the owner destroys the scheduler
    // later, not inside the call. `nextSequence`: of the records under this epoch. `published` gets
    // stored records that others should know at once, none as a sign of life, and where the work
    // topic ended after them, 0 if the log did not tell.
    using Published = std::function<void(const std::vector<KeyedRecord> &, int64_t end)>;
    Scheduler(SchedulerContext context, SchedulerOptions options, int64_t nextSequence,
              std::function<void(const std::string &reason)> tenureLost, Published published);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    void start();
    void setCatalog(std::shared_ptr<const Catalog> catalog);
    void setZonesOut(std::set<std::string> zones);
    // Whether this process falls behind its timers for some time, so that another instance should
    // schedule. Never soon after another holder said so of itself.
    bool overloaded() const;
    // Stores what is left and gives the tenure up as an overloaded one. `done`: as for release().
    void handOver(Duration most, std::function<void()> done);
    // A record of the work topic changed the job table.
    void jobTableChanged(JobTable::Change change, const std::string &id);
    // Stores what is left and gives the tenure up; `done` is called at the latest after `most`.
    void release(Duration most, std::function<void()> done);

private:
    void onWorkerRecord(const KeyedRecord &record);
    void onRegistryLoaded(const std::set<std::string> &ids);
    void onReport(const WorkerId &id, const RunReport &report);
    void updateUsable(const WorkerId &id);
    void judgeAllKnown();
    void schedulePass();
    void pass();
    void armEvent();
    void sendStart(const StartOrder &order);
    void judgeLogSpeed(Duration took);
    void promiseRecords(bool recorded);
    void scheduleFlush(Duration wait);
    void flush();
    void onStored(const std::vector<KeyedRecord> &records);
    void publish(const std::vector<KeyedRecord> &records);
    void addWorkerRecords(std::vector<KeyedRecord> &records);
    void tick();
    void armTick();
    void finishRelease();
    void reportTenureLost(const std::string &reason);

    SchedulerContext m_context;
    SchedulerOptions m_options;
    std::function<void(const std::string &)> m_tenureLost;
    Published m_published;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Dispatcher m_dispatcher;
    std::unique_ptr<WorkerLinks> m_links;
    std::unique_ptr<ApprovalRequester> m_approvalRequester;
    std::unique_ptr<LogFollower> m_registry;

    std::set<WorkerId> m_unreconciled; // workers that an earlier scheduler used; not reconciled yet
    Instant m_beganAt;
    bool m_registryLoaded = false;
    bool m_allKnown = false;
    std::set<WorkerId> m_usedStored; // workers whose use is stored: they may get starts
    std::set<WorkerId> m_usedToStore;
    std::set<WorkerId> m_unusedToStore;
    std::set<WorkerId> m_answering;
    std::map<WorkerId, int64_t> m_storedEnds;

    boost::asio::steady_timer m_passTimer;
    bool m_passArmed = false;
    boost::asio::steady_timer m_eventTimer;
    boost::asio::steady_timer m_flushTimer;
    bool m_flushArmed = false;
    Instant m_flushDue;
    boost::asio::steady_timer m_tickTimer;
    Instant m_tickDue;
    double m_lagMs = 0; // of ticks behind their time, smoothed

    // Starts that are sent once their record is stored, and those whose record is on its way.
    std::vector<StartOrder> m_startsToRecord;
    std::vector<StartOrder> m_startsInBatch;
    bool m_recordStarts = true; // before they are sent; false while the log is slow
    bool m_tenureToStore = false; // `startsRecorded` changes
    Duration m_usualAppend{0}; // time of an append, smoothed
    Instant m_batchSentAt;

    FencedWriter m_writer;
    JobGarbageCollector m_jobGarbageCollector;
    std::map<WorkerId, int64_t> m_batchEnds; // end positions that the append in flight stores
    std::set<WorkerId> m_batchUsed;
    std::set<std::string> m_batchUrgent; // keys of records that others should know at once
    Instant m_publishedAt;
    bool m_moreToStore = false;
    Instant m_storedAt; // the last append that was stored

    std::function<void()> m_released;
    bool m_releaseStored = false;
    boost::asio::steady_timer m_releaseTimer;
};

} // namespace cardamompaddle
