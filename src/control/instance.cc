#include "control/instance.h"

#include "control/backlog_codec.h"
#include "control/former_leases.h"
#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration TickInterval{50};
constexpr Duration FollowerReadWait{1'500}; // how long the log holds a read at the end of a topic
// A scheduler that published within this time is assumed to still reach the log.
constexpr Duration PublishedMaxAge{700};
constexpr Duration AnnounceTimeout{900};
// Without an answer from the log for this long, an instance neither reports that a job does not
// exist (first value) nor that it is ready (second value).
constexpr Duration MaxAgeToBeCurrent{2'600};
constexpr Duration MaxAgeToBeReady{3'500};

// Logs NAME_lost when a topic becomes unavailable and NAME_back when it is available again.
std::function<void(bool, const std::string &)> logAvailability(const std::string &name)
{
    return [name](bool lost, const std::string &reason) {
        logWarn(name + (lost ? "_lost" : "_back"), "reason=\"" + reason + "\"");
    };
}

// Returns an identifier of this process that differs after each start.
std::string createIncarnation(const std::string &name)
{
    std::random_device random;
    return name + "/" + std::to_string(random()) + "-" + std::to_string(random());
}

} // namespace

Instance::Instance(const ContextFactory &context, InstanceOptions options)
    : m_context(context(m_jobTable)), m_options(std::move(options)),
      m_operators(createOperatorFollower()),
      m_configuration(m_context.scheduler.clock, *m_operators),
      m_publisher(m_context.scheduler.clock, m_context.scheduler.peers),
      m_successorProbe(m_context.scheduler.io, m_context.scheduler.peers,
                       m_context.scheduler.workTopic),
      m_workerCallServer(m_context.scheduler.io, m_context.scheduler.clock,
                         m_context.scheduler.workers, m_context.scheduler.peers,
                         createIncarnation(m_options.name)),
      m_tickTimer(m_context.scheduler.io), m_claimTimer(m_context.scheduler.io)
{
    SchedulerContext &scheduler = m_context.scheduler;
    LogFollower::Callbacks work;
    work.record = [this](const KeyedRecord &record) { onWorkRecord(record); };
    work.loaded = [this](const std::set<std::string> &) {
        m_schedulerActiveAt = m_context.scheduler.clock.now();
        announce();
    };
    work.availability = logAvailability("log");
    m_work = std::make_unique<LogFollower>(
        scheduler.io, scheduler.clock, scheduler.log,
        LogFollowerOptions{scheduler.workTopic, FollowerPollInterval, FollowerReadWait},
        std::move(work));
    LogFollower::Callbacks jobs;
    jobs.record = [this](const KeyedRecord &record) { onWorkRecord(record); };
    jobs.availability = logAvailability("jobs");
    m_jobs = std::make_unique<LogFollower>(
        scheduler.io, scheduler.clock, scheduler.log,
        LogFollowerOptions{scheduler.jobsTopic, FollowerPollInterval, FollowerReadWait},
        std::move(jobs));
    m_submitter = std::make_unique<JobSubmitter>(
        scheduler.io, scheduler.clock, scheduler.log, m_jobTable, *m_jobs, scheduler.jobsTopic,
        scheduler.logLimits,
        [this](const std::vector<KeyedRecord> &records) { onJobsStored(records); },
        [this] {
            return LogCondition{m_jobs->availableSince() != Instant::max(), appendTime(),
                                !forwardTarget().empty()};
        },
        [this] { return refusalsPossible(); });
}

std::unique_ptr<LogFollower> Instance::createOperatorFollower()
{
    LogFollower::Callbacks callbacks;
    callbacks.record = [this](const KeyedRecord &record) { onOperatorRecord(record); };
    callbacks.availability = logAvailability("configuration");
    return std::make_unique<LogFollower>(
        m_context.scheduler.io, m_context.scheduler.clock, m_context.scheduler.log,
        LogFollowerOptions{.topic = m_context.operatorTopic,
                           .refreshTimeout = ConfigurationGuard::ReadTimeout},
        std::move(callbacks));
}

Instance::~Instance()
{
    *m_alive = false;
}

void Instance::start()
{
    updateClaimWait();
    m_operators->start();
    m_jobs->start();
    m_work->start();
    tick();
}

bool Instance::isCurrent() const
{
    const Instant now = m_context.scheduler.clock.now();
    return m_jobs->loaded() && now - m_jobs->currentAsOf() <= MaxAgeToBeCurrent;
}

bool Instance::isReady() const
{
    const Instant now = m_context.scheduler.clock.now();
    return !m_stopping && m_catalog && m_jobs->loaded()
           && now - m_jobs->currentAsOf() <= MaxAgeToBeReady
           && now - m_operators->currentAsOf() <= MaxAgeToBeReady;
}

bool Instance::isLogReachable() const
{
    return m_jobs->availableSince() != Instant::max()
           && m_operators->availableSince() != Instant::max() && !m_submitter->isLogUnresponsive();
}

bool Instance::schedulerReachesLog() const
{
    return m_publishReceivedAt != Instant::min()
           && m_context.scheduler.clock.now() - m_publishReceivedAt < PublishedMaxAge;
}

std::string Instance::forwardTarget() const
{
    const work::Tenure &tenure = m_jobTable.tenure();
    const bool other = !m_scheduler && tenure.epoch > 0 && !tenure.released
                       && tenure.address != m_options.peerAddress;
    return schedulerReachesLog() && other ? tenure.address : "";
}

Duration Instance::appendTime() const
{
    if (m_scheduler)
        return m_scheduler->appendTime();
    return schedulerReachesLog() ? m_publishedAppendTime : Duration::zero();
}

std::string Instance::collector() const
{
    return appendTime() >= SlowAppendTime ? forwardTarget() : "";
}

bool Instance::refusalsPossible() const
{
    return m_options.policies.admission || !m_work->loaded()
           || std::ranges::any_of(m_jobTable.members(),
                                  [](const auto &it) { return it.second.refusesJobs; });
}

// An instance without admission control may tell a caller that a job is accepted although another
// one has just refused it.
bool Instance::mayRefuse() const
{
    const auto &members = m_jobTable.members();
    return m_options.policies.admission && members.contains(m_options.name)
           && std::ranges::all_of(members, [](const auto &it) { return it.second.refusesJobs; });
}

AdmissionDecision Instance::decideAdmission(const AdmissionRequest &request) const
{
    if (!mayRefuse())
        return {};
    const work::Tenure &tenure = m_jobTable.tenure();
    const AdmissionPolicy policy(m_options.policies.admission->maxStateAge);
    return policy.decide(request, m_backlog ? &*m_backlog : nullptr,
                         tenure.released ? 0 : tenure.epoch, now());
}

void Instance::onWorkRecord(const KeyedRecord &record)
{
    const Instant now = m_context.scheduler.clock.now();
    // A record from before the published end of the topic is old and shows no activity since then.
    if (work_key::isOfScheduler(record.key) && record.offset >= m_publishedEnd)
        m_schedulerActiveAt = now;
    std::string id;
    const auto change = m_jobTable.apply(record, id);
    if (!change) {
        logWarn("work_record_ignored",
                "key=" + record.key + " reason=\"" + change.error().reason + "\"");
        return;
    }
    if (*change == JobTable::Change::Tenure || *change == JobTable::Change::Member)
        updateClaimWait();
    if (*change == JobTable::Change::UsedWorker)
        updateFormerLeases(id, now);
    const bool released = *change == JobTable::Change::Tenure && m_jobTable.tenure().released;
    if (released && !m_scheduler)
        armTick(std::clamp(claimTimeout(), Duration::zero(), TickInterval));
    if (*change == JobTable::Change::Submitted)
        m_submitter->jobRead(id);
    if (*change == JobTable::Change::Refused)
        m_submitter->refusalRead(id);
    if (m_scheduler)
        m_scheduler->jobTableChanged(*change, id);
}

void Instance::updateFormerLeases(const WorkerId &id, Instant now)
{
    const auto &workers = m_jobTable.usedWorkers();
    const auto it = workers.find(id);
    if (it == workers.end()) {
        m_formerLeases.erase(id);
        return;
    }
    m_formerLeases[id] = formerLeases(it->second, now);
}

// Brings the bounds that follow from held time up to date. Read spans alone would be counted from
// the start of this process, also for leases that ended long before.
void Instance::boundFormerLeases(Instant now, int64_t heldMs)
{
    const auto &workers = m_jobTable.usedWorkers();
    for (auto &[id, former] : m_formerLeases)
        boundByHeldTime(former, workers.at(id), heldMs, now);
}

void Instance::onOperatorRecord(const KeyedRecord &record)
{
    if (record.removed) {
        if (m_zonesOut.erase(record.key) > 0)
            applyZones();
        return;
    }
    const auto decoded = m_context.decodeOperatorRecord(record);
    if (!decoded) {
        logWarn("operator_record_ignored",
                "key=" + record.key + " reason=\"" + decoded.error().reason + "\"");
        return;
    }
    if (decoded->catalog && (!m_catalog || decoded->catalog->version > m_catalog->version)) {
        // Claims need a configuration, so the first one starts the wait for other claimants.
        if (!m_catalog)
            m_schedulerActiveAt = m_context.scheduler.clock.now();
        m_catalog = decoded->catalog;
        m_configuration.applied(m_catalog->version);
        logInfo("configuration_applied", "version=" + std::to_string(m_catalog->version)
                                             + " offset=" + std::to_string(record.offset));
        if (m_scheduler)
            m_scheduler->setCatalog(m_catalog);
    }
    if (!decoded->zoneOut.empty()) {
        m_zonesOut[record.key] = decoded->zoneOut;
        applyZones();
    }
}

void Instance::applyZones()
{
    std::set<std::string> zones;
    std::string names;
    for (const auto &[key, zone] : m_zonesOut) {
        zones.insert(zone);
        names += (names.empty() ? "" : ",") + zone;
    }
    logInfo("zones_out", "zones=" + names);
    if (m_scheduler)
        m_scheduler->setZonesOut(zones);
}

work::Member Instance::ownMember() const
{
    work::Member out;
    out.name = m_options.name;
    out.address = m_options.peerAddress;
    out.cpuMilli = m_options.cpuMilli;
    out.availabilityZone = m_options.availabilityZone;
    if (m_options.policies.admission)
        out.__set_refusesJobs(true);
    return out;
}

// Stores the member record of this instance, unless it is in the log already.
void Instance::announce()
{
    const auto stored = m_jobTable.members().find(m_options.name);
    const work::Member member = ownMember();
    const bool announced = stored != m_jobTable.members().end() && stored->second == member;
    if (announced || m_announcing || m_stopping)
        return;
    m_announcing = true;
    AppendRequest request;
    request.topic = m_context.scheduler.workTopic;
    request.records.push_back({work_key::member(m_options.name), encodeRecord(member), false, 0});
    m_context.scheduler.log.append(
        std::move(request), AnnounceTimeout, [this, alive = m_alive](const AppendResult &answer) {
            if (!*alive)
                return;
            m_announcing = false;
            if (answer.outcome != AppendOutcome::Stored)
                logWarn("announce_failed", "reason=\"" + answer.reason + "\"");
        });
}

void Instance::recordsStored(const work::StoredRecords &records)
{
    if (!records.relayTo.empty())
        m_publisher.relay(records);
    std::vector<KeyedRecord> out;
    out.reserve(records.records.size());
    for (const work::StoredRecord &record : records.records)
        out.push_back({record.key, record.value, record.removed, record.offset});
    if (records.topic == m_context.scheduler.jobsTopic)
        return m_jobs->applyReceived(out);
    onSchedulerPublished(records);
    m_publishedEnd = std::max(m_publishedEnd, records.topicEnd);
    m_work->applyReceived(out);
}

// Only the scheduler publishes records of the work topic. A relay may have been suspended before it
// passed them on.
void Instance::onSchedulerPublished(const work::StoredRecords &records)
{
    const Instant now = m_context.scheduler.clock.now();
    const auto at = records.epoch == 0
                        ? std::optional(now)
                        : m_publicationClock.publishedAt(records.epoch, records.publishedAtMs, now);
    if (!at)
        return;
    m_schedulerActiveAt = std::max(m_schedulerActiveAt, *at);
    m_publishReceivedAt = std::max(m_publishReceivedAt, *at);
    m_publishedAppendTime = Duration(records.appendMs);
    if (records.__isset.backlog)
        m_backlog = decodeBacklog(records.backlog, records.epoch, *at);
}

void Instance::onJobsStored(const std::vector<KeyedRecord> &records)
{
    m_jobs->applyReceived(records);
    const work::Tenure &tenure = m_jobTable.tenure();
    if (!m_scheduler && tenure.epoch > 0 && !tenure.released && !records.empty())
        m_publisher.send(tenure.address, m_context.scheduler.jobsTopic, records, 0);
}

// Publishes to all peers the records that the scheduler of tenure `epoch` has stored.
void Instance::onProgressStored(int64_t epoch, const std::vector<KeyedRecord> &records, int64_t end)
{
    m_work->applyReceived(records);
    std::vector<PublicationPeer> peers;
    for (const auto &[name, member] : m_jobTable.members()) {
        if (name != m_options.name)
            peers.push_back({member.address, member.cpuMilli, member.availabilityZone});
    }
    auto backlog = m_scheduler->takeBacklog();
    if (backlog)
        m_backlog = backlog;
    m_publisher.publish(peers, {epoch, m_scheduler->lastStoredAt(), m_scheduler->appendTime(),
                                m_context.scheduler.workTopic, records, end, std::move(backlog)});
}

void Instance::tick()
{
    checkTenure();
    m_submitter->tick();
    const Instant present = now();
    m_configuration.refreshIfOutdated(present);
    if (const bool ready = isReady(); ready != m_wasReady) {
        m_wasReady = ready;
        const auto age = [present](const LogFollower &follower) {
            return follower.loaded() ? std::to_string((present - follower.currentAsOf()).count())
                                     : std::string("none");
        };
        logInfo(ready ? "ready" : "not_ready",
                "jobs_age_ms=" + age(*m_jobs) + " configuration_age_ms=" + age(*m_operators));
    }
    // A claim that is due before the next regular tick is not delayed until then, so that the
    // stagger of claims holds.
    const Duration untilClaim = m_schedulerActiveAt + claimTimeout() - present;
    const bool early = !m_scheduler && untilClaim > Duration::zero();
    armTick(early ? std::min(untilClaim, TickInterval) : TickInterval);
}

// Sets the time of the next tick. Replaces an earlier call.
void Instance::armTick(Duration wait)
{
    m_tickTimer.expireAfter(wait);
    m_tickTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            tick();
    });
}

void Instance::approve(const work::ApprovalRequest &request,
                       std::function<void(work::ApprovalAnswer)> done)
{
    if (request.newConnection)
        m_context.scheduler.policy.closeIdleConnections();
    m_context.scheduler.policy.approve(
        request.step, request.workers, Duration(request.timeoutMs),
        [done = std::move(done)](Result<std::vector<work::Approval>> result) {
            work::ApprovalAnswer answer;
            answer.ok = result.ok();
            if (result)
                answer.approved = std::move(*result);
            else
                answer.error = result.error().reason;
            done(std::move(answer));
        });
}

void Instance::workerCallsAnswered(const work::WorkerAnswers &answers)
{
    if (m_scheduler)
        m_scheduler->workerCallsAnswered(answers);
}

} // namespace cardamompaddle
