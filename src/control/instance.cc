#include "control/instance.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr Duration TickInterval{50};
// Between reads of the log. What matters at once is told by the instance that stored it.
constexpr Duration SchedulerPollInterval{400}; // of jobs
constexpr Duration FollowerPollInterval{800};
constexpr Duration FollowerWait{1'500}; // that the log holds a read
// A scheduler stores something several times a second; after this silence, and a multiple of the
// time that the log takes for a read, its tenure is claimed.
constexpr Duration SilenceToClaim{500};
// After so long without word from the scheduler the log is read once, so that what it stored before
// is not taken for a later sign of life.
constexpr Duration SilenceToRead{200};
constexpr int SilenceReadTimes = 4;
constexpr int64_t ClaimJitterMs = 160;
constexpr int64_t FirstClaimJitterMs = 120;
// After an outage of the log the scheduler gets this long to show itself first.
constexpr Duration GraceAfterOutage{1'200};
constexpr Duration ClaimTimeout{1'500};
constexpr Duration ReadBackRetry{100};
constexpr int64_t FirstSequenceAfterClaim = 1;
// A scheduler that told this long ago what it has stored is taken to reach the log still.
constexpr Duration HeardOfLate{700};
constexpr Duration AnnounceTimeout{900};
// Without an answer of the log for so long an instance says neither that a job does not exist nor
// that it is ready.
constexpr Duration CurrentFor{2'600};
constexpr Duration ReadyFor{3'500};
constexpr Duration ReleaseTime{1'500};
// An instance that handed the tenure over because it was too slow lets others claim it for a time.
constexpr Duration BackoffAfterHandOver{10'000};
constexpr Duration ClaimDelayAfterHandOver{1'500};

// Logs that a topic is lost or answers again, as NAME_lost or NAME_back.
std::function<void(bool, const std::string &)> logAvailability(const std::string &name)
{
    return [name](bool lost, const std::string &reason) {
        logWarn(name + (lost ? "_lost" : "_back"), "reason=\"" + reason + "\"");
    };
}

} // namespace

Instance::Instance(const ContextFactory &context, InstanceOptions options)
    : m_context(context(m_jobTable)), m_options(std::move(options)),
      m_publisher(m_context.scheduler.clock, m_context.scheduler.peers),
      m_tickTimer(m_context.scheduler.io), m_claimTimer(m_context.scheduler.io),
      m_random(std::random_device{}())
{
    SchedulerContext &scheduler = m_context.scheduler;
    LogFollower::Callbacks work;
    work.record = [this](const KeyedRecord &record) { onWorkRecord(record); };
    work.loaded = [this](const std::set<std::string> &) {
        m_activityAt = m_context.scheduler.clock.now();
        announce();
    };
    work.availability = logAvailability("log");
    m_work = std::make_unique<LogFollower>(
        scheduler.io, scheduler.clock, scheduler.log,
        LogFollowerOptions{scheduler.workTopic, FollowerPollInterval, FollowerWait},
        std::move(work));
    LogFollower::Callbacks jobs;
    jobs.record = [this](const KeyedRecord &record) { onWorkRecord(record); };
    jobs.availability = logAvailability("jobs");
    m_jobs = std::make_unique<LogFollower>(
        scheduler.io, scheduler.clock, scheduler.log,
        LogFollowerOptions{scheduler.jobsTopic, FollowerPollInterval, FollowerWait},
        std::move(jobs));
    LogFollower::Callbacks operators;
    operators.record = [this](const KeyedRecord &record) { onOperatorRecord(record); };
    operators.loaded = [this](const std::set<std::string> &keys) { onOperatorsLoaded(keys); };
    operators.availability = logAvailability("configuration");
    m_operators = std::make_unique<LogFollower>(
        scheduler.io, scheduler.clock, scheduler.log,
        LogFollowerOptions{m_context.operatorTopic, Duration::zero()}, std::move(operators));
    m_submitter = std::make_unique<JobSubmitter>(
        scheduler.io, scheduler.clock, scheduler.log, m_jobTable, *m_jobs, scheduler.jobsTopic,
        [this](const std::vector<KeyedRecord> &records) { onJobsStored(records); },
        [this] { return !forwardTarget().empty(); });
}

Instance::~Instance()
{
    *m_alive = false;
}

void Instance::start()
{
    m_claimDelay = Duration(static_cast<int64_t>(m_random() % FirstClaimJitterMs));
    m_operators->start();
    m_jobs->start();
    m_work->start();
    tick();
}

bool Instance::isCurrent() const
{
    const Instant now = m_context.scheduler.clock.now();
    return m_jobs->loaded() && now - m_jobs->currentAsOf() <= CurrentFor;
}

bool Instance::ready() const
{
    const Instant now = m_context.scheduler.clock.now();
    return !m_stopping && m_catalog && m_jobs->loaded() && now - m_jobs->currentAsOf() <= ReadyFor
           && now - m_operators->currentAsOf() <= ReadyFor;
}

bool Instance::isLogReachable() const
{
    return m_jobs->availableSince() != Instant::max()
           && m_operators->availableSince() != Instant::max() && !m_submitter->isLogUnresponsive();
}

std::string Instance::forwardTarget() const
{
    const work::Tenure &tenure = m_jobTable.tenure();
    const bool heard =
        m_heardAt != Instant::min() && m_context.scheduler.clock.now() - m_heardAt < HeardOfLate;
    const bool other = !m_scheduler && tenure.epoch > 0 && !tenure.released
                       && tenure.address != m_options.peerAddress;
    return heard && other ? tenure.address : "";
}

void Instance::onWorkRecord(const KeyedRecord &record)
{
    std::string id;
    const auto change = m_jobTable.apply(record, id);
    if (!change) {
        logWarn("work_record_ignored",
                "key=" + record.key + " reason=\"" + change.error().reason + "\"");
        return;
    }
    const Instant now = m_context.scheduler.clock.now();
    if (*change == JobTable::Change::Tenure) {
        const work::Tenure &tenure = m_jobTable.tenure();
        const auto jitter = static_cast<int64_t>(m_random() % ClaimJitterMs);
        m_claimDelay = tenure.released ? Duration(jitter / 4) : SilenceToClaim + Duration(jitter);
    }
    // Only a scheduler stores these. What was stored before it told of its records proves nothing
    // about the time since.
    if (*change == JobTable::Change::Tenure || *change == JobTable::Change::Progressed
        || *change == JobTable::Change::UsedWorker)
        m_activityAt = record.offset < m_toldEnd ? m_activityAt : now;
    if (m_scheduler)
        m_scheduler->jobTableChanged(*change, id);
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
        m_catalog = decoded->catalog;
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

void Instance::onOperatorsLoaded(const std::set<std::string> &keys)
{
    if (std::erase_if(m_zonesOut, [&keys](const auto &it) { return !keys.contains(it.first); }) > 0)
        applyZones();
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

// Tells the others where this instance can be reached. Stored again if the record is missing.
void Instance::announce()
{
    const auto known = m_jobTable.members().find(m_options.name);
    const bool announced =
        known != m_jobTable.members().end() && known->second.address == m_options.peerAddress;
    if (announced || m_announcing || m_stopping)
        return;
    m_announcing = true;
    work::Member member;
    member.name = m_options.name;
    member.address = m_options.peerAddress;
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
    std::vector<KeyedRecord> out;
    out.reserve(records.records.size());
    for (const work::StoredRecord &record : records.records)
        out.push_back({record.key, record.value, record.removed, record.offset});
    if (records.topic == m_context.scheduler.jobsTopic)
        return m_jobs->offer(out);
    // Only the scheduler stores in the other topic and tells of it.
    m_activityAt = m_heardAt = m_context.scheduler.clock.now();
    m_toldEnd = std::max(m_toldEnd, records.topicEnd);
    m_work->offer(out);
}

void Instance::onJobsStored(const std::vector<KeyedRecord> &records)
{
    m_jobs->offer(records);
    const work::Tenure &tenure = m_jobTable.tenure();
    if (!m_scheduler && tenure.epoch > 0 && !tenure.released && !records.empty())
        m_publisher.send(tenure.address, m_context.scheduler.jobsTopic, records, 0);
}

// What the scheduler has stored, to all other instances.
void Instance::onProgressStored(const std::vector<KeyedRecord> &records, int64_t end)
{
    m_work->offer(records);
    for (const auto &[name, member] : m_jobTable.members()) {
        if (name != m_options.name)
            m_publisher.send(member.address, m_context.scheduler.workTopic, records, end);
    }
}

void Instance::tick()
{
    judgeTenure();
    if (const bool now = ready(); now != m_wasReady) {
        m_wasReady = now;
        const Instant present = m_context.scheduler.clock.now();
        const auto age = [present](const LogFollower &follower) {
            return follower.loaded() ? std::to_string((present - follower.currentAsOf()).count())
                                     : std::string("none");
        };
        logInfo(now ? "ready" : "not_ready",
                "jobs_age_ms=" + age(*m_jobs) + " configuration_age_ms=" + age(*m_operators));
    }
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            tick();
    });
}

// Of the log, before the tenure is claimed. A slow log delays the scheduler's records too.
Duration Instance::neededSilence() const
{
    const work::Tenure &tenure = m_jobTable.tenure();
    const bool held = tenure.epoch > 0 && !tenure.released;
    // An earlier life of this process, which has surely ended.
    const bool mine =
        tenure.holder == m_options.name && tenure.address == m_options.peerAddress && !m_hasHeld;
    if (mine)
        return Duration::zero();
    const Instant now = m_context.scheduler.clock.now();
    const Duration rest = now < m_backoffUntil ? ClaimDelayAfterHandOver : Duration::zero();
    return m_claimDelay + rest + (held ? m_readTime * SilenceReadTimes : Duration::zero());
}

void Instance::judgeTenure()
{
    if (m_scheduler) {
        const work::Tenure &known = m_jobTable.tenure();
        if (known.holder != m_options.name || known.address != m_options.peerAddress)
            onTenureLost("another holder stands in the log");
        else if (m_scheduler->overloaded() && !m_handingOver && !m_stopping)
            handOver();
        return;
    }
    const Instant now = m_context.scheduler.clock.now();
    if (m_heardAt > m_readAfterSilence && now - m_heardAt >= SilenceToRead) {
        m_readAfterSilence = now;
        m_work->refresh([](bool) {});
    }
    if (m_claiming || m_stopping || !m_catalog || !m_work->loaded()
        || now - m_activityAt < neededSilence() || m_work->availableSince() == Instant::max())
        return;
    const bool held = m_jobTable.tenure().epoch > 0 && !m_jobTable.tenure().released;
    const bool outage = m_work->availableSince() != Instant::min();
    if (held && outage && now - m_work->availableSince() < GraceAfterOutage)
        return;
    // Silence counts only as of now: records may be waiting to be read.
    m_claiming = true;
    const Instant judgedAt = m_activityAt;
    m_work->refresh([this, alive = m_alive, judgedAt, requestedAt = now](bool current) {
        if (!*alive)
            return;
        const Instant present = m_context.scheduler.clock.now();
        m_readTime = present - requestedAt;
        const bool silent = present - m_activityAt >= neededSilence();
        if (!current || m_activityAt != judgedAt || m_stopping || !silent) {
            m_claiming = false;
            return;
        }
        claim();
    });
}

void Instance::claim()
{
    work::Tenure tenure;
    tenure.holder = m_options.name;
    tenure.address = m_options.peerAddress;
    tenure.epoch = m_jobTable.tenure().epoch + 1;
    tenure.handedOverAtMs = m_jobTable.tenure().handedOverAtMs;
    // Until this instance knows all workers, what the former scheduler left holds on.
    tenure.startsRecorded = m_jobTable.tenure().epoch == 0 || m_jobTable.tenure().startsRecorded;
    AppendRequest request;
    request.topic = m_context.scheduler.workTopic;
    request.records.push_back({work_key::Tenure, encodeRecord(tenure), false, 0});
    // Only one claimant can append at the end that both have read up to.
    request.expectedEnd = m_work->nextOffset();
    request.writer = {SchedulerWriter, tenure.epoch, 0};
    m_context.scheduler.log.append(std::move(request), ClaimTimeout,
                                   [this, alive = m_alive, tenure](const AppendResult &answer) {
                                       if (*alive)
                                           onClaimed(tenure, answer);
                                   });
}

void Instance::onClaimed(const work::Tenure &tenure, const AppendResult &answer)
{
    logInfo("tenure_claim", "epoch=" + std::to_string(tenure.epoch)
                                + " outcome=" + std::string(appendOutcomeName(answer.outcome))
                                + " reason=\"" + answer.reason + "\"");
    if (answer.outcome == AppendOutcome::Stored)
        return readClaimBack(tenure);
    m_claiming = false;
}

// The log answers an equal epoch and sequence of another claimant with the first one's answer. Only
// the record that is read back tells who holds the tenure. The jobs are read too: a run or an end
// of a job that is not known would be taken for one that nobody wants.
void Instance::readClaimBack(const work::Tenure &tenure)
{
    m_work->refresh([this, alive = m_alive, tenure](bool workCurrent) {
        if (!*alive)
            return;
        if (!workCurrent)
            return retryReadBack(tenure);
        if (m_jobTable.tenure() != tenure) {
            m_claiming = false;
            return;
        }
        m_jobs->refresh([this, alive, tenure](bool jobsCurrent) {
            if (!*alive)
                return;
            if (!jobsCurrent)
                return retryReadBack(tenure);
            m_claiming = false;
            if (m_jobTable.tenure() == tenure && !m_stopping)
                beginScheduling(tenure);
        });
    });
}

void Instance::retryReadBack(const work::Tenure &tenure)
{
    if (m_stopping)
        return;
    m_claimTimer.expires_after(ReadBackRetry);
    m_claimTimer.async_wait([this, alive = m_alive, tenure](const boost::system::error_code &ec) {
        if (!ec && *alive)
            readClaimBack(tenure);
    });
}

void Instance::beginScheduling(const work::Tenure &tenure)
{
    SchedulerOptions options;
    options.tenure = tenure;
    options.maxLease = m_options.maxLease;
    options.offRackFactor = m_options.offRackFactor;
    options.terminalRetention = m_options.terminalRetention;
    m_jobs->setPollInterval(SchedulerPollInterval);
    m_hasHeld = true;
    m_scheduler = std::make_unique<Scheduler>(
        m_context.scheduler, options, FirstSequenceAfterClaim,
        [this](const std::string &reason) { onTenureLost(reason); },
        [this](const std::vector<KeyedRecord> &records, int64_t end) {
            onProgressStored(records, end);
        });
    m_scheduler->setCatalog(m_catalog);
    applyZones();
    m_scheduler->start();
}

void Instance::onTenureLost(const std::string &reason)
{
    logWarn("tenure_lost", "reason=\"" + reason + "\"");
    m_scheduler.reset();
    m_handingOver = false;
    m_jobs->setPollInterval(FollowerPollInterval);
    m_activityAt = m_context.scheduler.clock.now();
}

void Instance::approve(const work::ApprovalRequest &request,
                       std::function<void(work::ApprovalAnswer)> done)
{
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

// Gives the tenure up for another instance to take, as this process is too slow to schedule.
void Instance::handOver()
{
    m_handingOver = true;
    m_backoffUntil = m_context.scheduler.clock.now() + BackoffAfterHandOver;
    m_scheduler->handOver(ReleaseTime, [this, alive = m_alive] {
        if (!*alive || !m_scheduler)
            return;
        m_handingOver = false;
        m_scheduler.reset();
        m_jobs->setPollInterval(FollowerPollInterval);
    });
}

void Instance::stop(std::function<void()> done)
{
    m_stopping = true;
    if (!m_scheduler)
        return done();
    m_scheduler->release(ReleaseTime, [this, done = std::move(done)] {
        m_scheduler.reset();
        done();
    });
}

} // namespace cardamompaddle
