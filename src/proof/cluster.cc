#include "proof/cluster.h"

#include "base/invariant.h"
#include "config/keys.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace cardamompaddle::proof {
namespace {

constexpr Duration TickInterval{20};

// Reports a broken invariant inside a node as an exception, which ends the run.
void throwOnBrokenInvariant(std::string_view rule, std::string_view state)
{
    throw std::runtime_error(std::string(rule) + "; state: " + std::string(state));
}

std::string zoneOf(int worker)
{
    return worker % 2 == 0 ? "zone-a" : "zone-b";
}

} // namespace

Cluster::Cluster(const ClusterOptions &options) : m_options(options), m_oracle(m_world)
{
    setInvariantHandler(throwOnBrokenInvariant);
    m_world.random.seed(options.seed);
    m_world.workersChanged = [this] { m_oracle.checkStarts(); };
    const Resources capacity{8'000, 16'000, 1, 4, 16};
    for (int n = 0; n < options.workers; ++n) {
        WorkerInfo info;
        info.id = "worker-" + std::to_string(n);
        info.address = info.id;
        info.availabilityZone = zoneOf(n);
        info.rack = "rack-" + std::to_string(n / 2);
        // The last two workers belong to the interactive pool, all others to the bulk pool.
        info.labels["tier"] = n + 2 < options.workers ? "bulk" : "interactive";
        info.capacity = capacity;
        m_world.workers.push_back({info, WorkerModel({capacity, Duration(300), 100})});
    }
    m_world.log.setRetentionAge(options.logRetention);
    m_members.resize(index(options.members));
    for (int n = 0; n < options.members; ++n)
        start(n);
}

Cluster::~Cluster()
{
    for (auto &member : m_members) {
        if (member)
            member->context->kill();
    }
    setInvariantHandler(nullptr);
}

void Cluster::start(int member)
{
    if (running(member))
        return;
    auto created = std::make_unique<Member>();
    const int rate = 995 + static_cast<int>(m_world.random() % 10);
    created->context = std::make_unique<MemberContext>(m_world, member, rate);
    created->log = std::make_unique<FakeLogClient>(*created->context);
    created->workers = std::make_unique<FakeWorkerClient>(*created->context);
    created->instances = std::make_unique<FakeInstanceListClient>(*created->context);
    created->peers = std::make_unique<FakePeerTransport>(*created->context, m_directory);
    created->metrics = std::make_unique<Registry>();
    NodeOptions options;
    options.self = member;
    // As in the daemon, the start time in milliseconds is above the 20 lowest bits, so that a later
    // incarnation has a higher number.
    const auto ms = static_cast<uint64_t>(m_world.events.now().time_since_epoch().count());
    options.incarnation = (ms << 20) + m_nextIncarnation++;
    options.membership.seatCount = m_options.members;
    options.logRetention = m_options.logRetention;
    const NodeServices services{*created->log,   *created->workers, *created->instances,
                                *created->peers, *created->metrics, {}};
    auto node = Node::create(options, services, created->context->localNow());
    created->node = std::move(*node);
    created->callers = std::make_unique<CallerService>(*created->node);
    created->operators = std::make_unique<OperatorService>(*created->node);
    m_members[index(member)] = std::move(created);
    tick(m_members[index(member)].get());
}

void Cluster::tick(Member *member)
{
    MemberContext &context = *member->context;
    const Instant now = context.localNow();
    member->node->advance(now);
    member->callers->advance(now);
    checkConfig(*member);
    recordEndedJobs(*member);
    if (member->stopping && member->node->stopped(now)) {
        kill(context.index());
        return;
    }
    context.schedule(TickInterval, [this, member] { tick(member); });
}

void Cluster::checkConfig(const Member &member)
{
    const Node &node = *member.node;
    const ConfigState &state = node.config();
    const bool hasQuorum = node.membership().hasQuorum(member.context->localNow());
    m_oracle.checkConfig(node.membership().tenure().incarnation, hasQuorum, state.version(),
                         state.next(), state.digest());
}

void Cluster::recordEndedJobs(const Member &member)
{
    for (const JobKey &key : m_jobs) {
        const Job *job = member.node->jobs().store().find(key);
        if (job != nullptr && job->ended())
            m_endedJobs.insert(key);
    }
}

void Cluster::kill(int member)
{
    auto &target = m_members[index(member)];
    if (!target)
        return;
    target->context->kill();
    target->operators.reset();
    target->callers.reset();
    target->node.reset();
    target->peers.reset();
    m_killed.push_back(std::move(target));
}

void Cluster::stop(int member)
{
    Member *target = availableMember(member);
    if (target == nullptr)
        return;
    target->stopping = true;
    target->node->beginStop(target->context->localNow());
}

void Cluster::pause(int member, Duration length)
{
    if (Member *target = m_members[index(member)].get())
        target->context->pauseUntil(m_world.events.now() + length);
}

void Cluster::run(Duration length)
{
    const Instant until = m_world.events.now() + length;
    constexpr Duration Step{50};
    while (m_world.events.now() < until) {
        m_world.events.runUntil(std::min(until, m_world.events.now() + Step));
        // Worker leases expire even if no command arrives.
        for (size_t n = 0; n < m_world.workers.size(); ++n) {
            const int64_t rate = 990 + (static_cast<int64_t>(n) * 7) % 21;
            const auto ms = m_world.events.now().time_since_epoch().count() * rate / 1000;
            m_world.workers[n].model.advance(instantFromMs(ms));
        }
    }
}

void Cluster::heal()
{
    m_world.faults = {};
    for (const int worker : std::exchange(m_world.leaving, {}))
        m_oracle.setWorkerLeaving(worker, false);
    m_world.unlisted.clear();
    for (int n = 0; n < members(); ++n)
        start(n);
}

Cluster::Member *Cluster::availableMember(int member)
{
    Member *target = m_members[index(member)].get();
    return target == nullptr || target->context->paused() ? nullptr : target;
}

std::string Cluster::nextId(const std::string &prefix)
{
    return prefix + std::to_string(m_nextId++);
}

std::string Cluster::tablesJson(int32_t limitOfLarge, int32_t limitOfSmall) const
{
    const std::string lease = std::to_string(m_options.taskLease.count());
    const std::string small = R"("resources": {"cpu_milli": 1000, "memory_mb": 500, "slots": 1})";
    return R"({"routes": [
        {"name": "check", "kind": "request", "pool": "interactive", "urgency": 8, )"
           + small + R"(, "timeout_ms": 8000},
        {"name": "match", "kind": "batch", "pool": "bulk", "urgency": 3, )"
           + small + R"(},
        {"name": "together", "kind": "gang", "pool": "bulk", "urgency": 4, )"
           + small + R"(}],
      "pools": [
        {"name": "interactive", "workers": {"labels": {"tier": "interactive"}}, "task_lease_ms": )"
           + lease + R"(},
        {"name": "bulk", "workers": {"labels": {"tier": "bulk"}}, "task_lease_ms": )"
           + lease + R"(}],
      "teams": [{"name": "large", "share": 3, "limit": )"
           + std::to_string(limitOfLarge) + R"(}, {"name": "small", "share": 1, "limit": )"
           + std::to_string(limitOfSmall) + "}]}";
}

void Cluster::applyTables(int member, int32_t limitOfLarge, int32_t limitOfSmall)
{
    Member *target = availableMember(member);
    if (target == nullptr)
        return;
    const size_t number =
        m_oracle.recordLimitEdit({{"large", limitOfLarge}, {"small", limitOfSmall}});
    target->operators->applyTables(
        target->node->config().version(), tablesJson(limitOfLarge, limitOfSmall), false,
        [this, number](const Result<TablesChangeResult> &result, Executed executed, Instant) {
            if (!result && executed == Executed::No)
                m_oracle.recordLimitEditRejected(number);
            if (result)
                m_oracle.recordLimitEditAccepted(number);
            if (result && result->inForce)
                m_oracle.recordConfigConfirmed(result->version);
        },
        target->context->localNow());
}

void Cluster::createKey(int member, const std::string &team)
{
    Member *target = availableMember(member);
    if (target == nullptr)
        return;
    m_oracle.recordKeyCreateAttempt(team);
    std::array<uint8_t, KeyRandomBytes> random{};
    for (uint8_t &byte : random)
        byte = static_cast<uint8_t>(m_world.random());
    target->operators->createKey(
        team, random,
        [this, team](const Result<NewKeyResult> &result, Executed, Instant) {
            if (result)
                m_keys[team].push_back({result->keyId, result->key});
        },
        target->context->localNow());
}

void Cluster::withdrawKey(int member, const std::string &team)
{
    Member *target = availableMember(member);
    if (target == nullptr || m_keys[team].empty())
        return;
    const size_t keys = m_keys[team].size();
    target->operators->withdrawKey(
        m_keys[team].back().id,
        [this, team, keys](const Result<bool> &inForce, Executed, Instant) {
            // Work may still be accepted with another key of the team, so that the withdrawal can
            // only be checked if this was the only key.
            if (inForce && *inForce && keys == 1 && m_keys[team].size() == 1)
                m_oracle.recordKeyWithdrawn(team);
        },
        target->context->localNow());
}

void Cluster::setZone(int member, const std::string &zone, bool out)
{
    Member *target = availableMember(member);
    if (target == nullptr)
        return;
    if (!out)
        m_oracle.recordZoneInAttempt(zone);
    target->operators->setZone(
        zone, out,
        [this, zone, out, zoneInAttempts = m_oracle.zoneInAttempts(zone)](
            const Result<bool> &inForce, Executed, Instant) {
            if (out && inForce && *inForce)
                m_oracle.recordZoneOut(zone, zoneInAttempts);
        },
        target->context->localNow());
}

void Cluster::request(int member, const std::string &team, bool repeatable, Duration runTime)
{
    Member *target = availableMember(member);
    if (target == nullptr || m_keys[team].empty())
        return;
    Submission submission;
    submission.route = "check";
    submission.id = nextId("r");
    submission.repeatable = repeatable;
    submission.payload = R"({"run_ms": )" + std::to_string(runTime.count()) + R"(, "output": ")"
                         + submission.id + R"("})";
    m_oracle.recordRequestSent(team, submission.id, repeatable);
    target->callers->request(
        m_keys[team].back().key, submission,
        [this, team, id = submission.id](const RequestAnswer &answer, Instant) {
            m_oracle.checkRequestAnswer(team, id, answer.ok, answer.output, answer.executed);
        },
        target->context->localNow());
}

void Cluster::submit(int member, const std::string &team, WorkKind kind, int tasks, bool repeatable,
                     Duration runTime)
{
    Member *target = availableMember(member);
    if (target == nullptr || m_keys[team].empty())
        return;
    Submission submission;
    submission.route = kind == WorkKind::Gang ? "together" : "match";
    submission.id = nextId("j");
    submission.tasks = tasks;
    submission.repeatable = repeatable;
    submission.payload = R"({"run_ms": )" + std::to_string(runTime.count()) + "}";
    target->callers->submit(
        m_keys[team].back().key, submission,
        [this, team, id = submission.id, sentAt = m_world.events.now()](const Result<JobView> &job,
                                                                        Executed, Instant) {
            if (!job)
                return;
            m_oracle.checkAccepted(team, sentAt);
            m_jobs.push_back({team, id});
        },
        target->context->localNow());
}

void Cluster::cancelRandomJobs(int member, int count)
{
    Member *target = availableMember(member);
    for (int n = 0; target != nullptr && n < count && !m_jobs.empty(); ++n) {
        const auto [team, id] = m_jobs[m_world.random() % m_jobs.size()];
        if (m_keys[team].empty())
            continue;
        target->callers->cancel(
            m_keys[team].back().key, id, [](const Result<JobView> &, Executed, Instant) {},
            target->context->localNow());
    }
}

std::vector<std::string> Cluster::unfinishedJobs()
{
    std::vector<std::string> out;
    for (const JobKey &key : m_jobs) {
        if (m_endedJobs.contains(key))
            continue;
        std::string text = key.toString();
        for (const auto &member : m_members) {
            const Job *job = member ? member->node->jobs().store().find(key) : nullptr;
            if (job == nullptr)
                continue;
            text += "; " + std::to_string(job->finished.size()) + " of "
                    + std::to_string(job->spec.tasks) + " finished";
            const auto owner = member->node->owners().find(job->spec.pool);
            if (owner != member->node->owners().end())
                text +=
                    ", "
                    + owner->second->scheduler().explainWaiting(key, member->context->localNow());
        }
        out.push_back(text);
    }
    return out;
}

bool Cluster::isConfigLost() const
{
    return std::all_of(m_members.begin(), m_members.end(), [](const auto &member) {
        return !member
               || member->node->configService().reason().find("holds no snapshot")
                      != std::string::npos;
    });
}

std::string Cluster::describe() const
{
    std::string out;
    for (const auto &member : m_members) {
        if (!member) {
            out += "  a member is down\n";
            continue;
        }
        const Instant now = member->context->localNow();
        const Node &node = *member->node;
        out += "  member " + std::to_string(node.self()) + ": " + node.notReadyReason(now)
               + (member->context->paused() ? " paused" : "") + ", version "
               + std::to_string(node.config().version()) + ", owns";
        for (const auto &[pool, owner] : node.owners())
            out += " " + pool + (owner->allTasksKnown() ? "" : "(incomplete)");
        for (const SeatRow &row : node.membership().rows(now))
            out += "; seat " + std::to_string(row.seat) + " generation "
                   + std::to_string(row.generation) + (row.hasQuorum ? " quorum" : "")
                   + (row.left ? " left" : "") + (row.acknowledgedGeneration ? " acknowledged" : "")
                   + " age " + std::to_string(row.age.count());
        out += "\n";
    }
    return out;
}

} // namespace cardamompaddle::proof
