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

// Turns a broken invariant inside a node into an exception, which ends the run.
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
    m_world.workersChanged = [this] { m_oracle.watchWorkers(); };
    const Resources capacity{8'000, 16'000, 1, 4, 16};
    for (int n = 0; n < options.workers; ++n) {
        WorkerInfo info;
        info.id = "worker-" + std::to_string(n);
        info.address = info.id;
        info.availabilityZone = zoneOf(n);
        info.rack = "rack-" + std::to_string(n / 2);
        // Two pools: most workers are bulk, the last two interactive.
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
    auto made = std::make_unique<Member>();
    const int rate = 995 + static_cast<int>(m_world.random() % 10);
    made->context = std::make_unique<MemberContext>(m_world, member, rate);
    made->log = std::make_unique<FakeLogClient>(*made->context);
    made->workers = std::make_unique<FakeWorkerClient>(*made->context);
    made->instances = std::make_unique<FakeInstanceListClient>(*made->context);
    made->peers = std::make_unique<FakePeerTransport>(*made->context, m_directory);
    made->metrics = std::make_unique<Registry>();
    NodeOptions options;
    options.self = member;
    // As in the daemon: start time above other bits.
    const auto ms = static_cast<uint64_t>(m_world.events.now().time_since_epoch().count());
    options.incarnation = (ms << 20) + m_nextIncarnation++;
    options.membership.seatCount = m_options.members;
    options.logRetention = m_options.logRetention;
    const NodeServices services{*made->log,   *made->workers, *made->instances,
                                *made->peers, *made->metrics, {}};
    auto node = Node::create(options, services, made->context->localNow());
    made->node = std::move(*node);
    made->callers = std::make_unique<CallerService>(*made->node);
    made->operators = std::make_unique<OperatorService>(*made->node);
    m_members[index(member)] = std::move(made);
    tick(m_members[index(member)].get());
}

void Cluster::tick(Member *member)
{
    MemberContext &context = *member->context;
    const Instant now = context.localNow();
    member->node->advance(now);
    member->callers->advance(now);
    watchConfig(*member);
    watchJobs(*member);
    if (member->stopping && member->node->stopped(now)) {
        kill(context.index());
        return;
    }
    context.deliver(TickInterval, [this, member] { tick(member); });
}

void Cluster::watchConfig(const Member &member)
{
    const Node &node = *member.node;
    const ConfigState &state = node.config();
    const bool acts = node.membership().hasQuorum(member.context->localNow());
    m_oracle.configSeen(node.membership().tenure().incarnation, acts, state.version(), state.next(),
                        state.digest());
}

void Cluster::watchJobs(const Member &member)
{
    for (const JobKey &key : m_jobs) {
        const Job *job = member.node->jobs().store().find(key);
        if (job != nullptr && job->ended())
            m_endedJobs.insert(key);
    }
}

void Cluster::kill(int member)
{
    auto &it = m_members[index(member)];
    if (!it)
        return;
    it->context->kill();
    it->operators.reset();
    it->callers.reset();
    it->node.reset();
    it->peers.reset();
    m_dead.push_back(std::move(it));
}

void Cluster::stop(int member)
{
    Member *it = ready(member);
    if (it == nullptr)
        return;
    it->stopping = true;
    it->node->beginStop(it->context->localNow());
}

void Cluster::pause(int member, Duration length)
{
    if (Member *it = m_members[index(member)].get())
        it->context->pauseUntil(m_world.events.now() + length);
}

void Cluster::run(Duration length)
{
    const Instant until = m_world.events.now() + length;
    constexpr Duration Step{50};
    while (m_world.events.now() < until) {
        m_world.events.runUntil(std::min(until, m_world.events.now() + Step));
        // Leases lapse without any command.
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
        m_oracle.workerLeaving(worker, false);
    m_world.unlisted.clear();
    for (int n = 0; n < members(); ++n)
        start(n);
}

// A member that takes calls now, or null.
Cluster::Member *Cluster::ready(int member)
{
    Member *it = m_members[index(member)].get();
    return it == nullptr || it->context->paused() ? nullptr : it;
}

std::string Cluster::nextId(const std::string &prefix)
{
    return prefix + std::to_string(m_nextId++);
}

std::string Cluster::tables(int32_t limitOfLarge, int32_t limitOfSmall) const
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
    Member *it = ready(member);
    if (it == nullptr)
        return;
    const size_t number = m_oracle.limitsTried({{"large", limitOfLarge}, {"small", limitOfSmall}});
    it->operators->applyTables(
        it->node->config().version(), tables(limitOfLarge, limitOfSmall), false,
        [this, number](const Result<TablesChangeResult> &result, Executed executed, Instant) {
            if (!result && executed == Executed::No)
                m_oracle.limitsRefused(number);
            if (result)
                m_oracle.limitsAccepted(number);
            if (result && result->inForce)
                m_oracle.configConfirmed(result->version);
        },
        it->context->localNow());
}

void Cluster::createKey(int member, const std::string &team)
{
    Member *it = ready(member);
    if (it == nullptr)
        return;
    m_oracle.keyCreateTried(team);
    std::array<uint8_t, KeyRandomBytes> random{};
    for (uint8_t &byte : random)
        byte = static_cast<uint8_t>(m_world.random());
    it->operators->createKey(
        team, random,
        [this, team](const Result<NewKeyResult> &result, Executed, Instant) {
            if (result)
                m_keys[team].push_back({result->keyId, result->key});
        },
        it->context->localNow());
}

void Cluster::withdrawKey(int member, const std::string &team)
{
    Member *it = ready(member);
    if (it == nullptr || m_keys[team].empty())
        return;
    const size_t keys = m_keys[team].size();
    it->operators->withdrawKey(
        m_keys[team].back().id,
        [this, team, keys](const Result<bool> &inForce, Executed, Instant) {
            // Only judged if the team had this one key.
            if (inForce && *inForce && keys == 1 && m_keys[team].size() == 1)
                m_oracle.keyWithdrawn(team);
        },
        it->context->localNow());
}

void Cluster::setZone(int member, const std::string &zone, bool out)
{
    Member *it = ready(member);
    if (it == nullptr)
        return;
    if (!out)
        m_oracle.zoneInTried(zone);
    it->operators->setZone(
        zone, out,
        [this, zone, out, tried = m_oracle.zoneTries(zone)](const Result<bool> &inForce, Executed,
                                                            Instant) {
            if (out && inForce && *inForce)
                m_oracle.zoneOut(zone, tried);
        },
        it->context->localNow());
}

void Cluster::request(int member, const std::string &team, bool repeatable, Duration runTime)
{
    Member *it = ready(member);
    if (it == nullptr || m_keys[team].empty())
        return;
    Submission submission;
    submission.route = "check";
    submission.id = nextId("r");
    submission.repeatable = repeatable;
    submission.payload = R"({"run_ms": )" + std::to_string(runTime.count()) + R"(, "output": ")"
                         + submission.id + R"("})";
    m_oracle.requestSent(team, submission.id, repeatable);
    it->callers->request(
        m_keys[team].back().presented, submission,
        [this, team, id = submission.id](const RequestAnswer &answer, Instant) {
            m_oracle.requestAnswered(team, id, answer.ok, answer.output, answer.executed);
        },
        it->context->localNow());
}

void Cluster::submit(int member, const std::string &team, WorkKind kind, int tasks, bool repeatable,
                     Duration runTime)
{
    Member *it = ready(member);
    if (it == nullptr || m_keys[team].empty())
        return;
    Submission submission;
    submission.route = kind == WorkKind::Gang ? "together" : "match";
    submission.id = nextId("j");
    submission.tasks = tasks;
    submission.repeatable = repeatable;
    submission.payload = R"({"run_ms": )" + std::to_string(runTime.count()) + "}";
    it->callers->submit(
        m_keys[team].back().presented, submission,
        [this, team, id = submission.id, sentAt = m_world.events.now()](const Result<JobView> &job,
                                                                        Executed, Instant) {
            if (!job)
                return;
            m_oracle.accepted(team, sentAt);
            m_jobs.push_back({team, id});
        },
        it->context->localNow());
}

void Cluster::cancelSome(int member, int count)
{
    Member *it = ready(member);
    for (int n = 0; it != nullptr && n < count && !m_jobs.empty(); ++n) {
        const auto [team, id] = m_jobs[m_world.random() % m_jobs.size()];
        if (m_keys[team].empty())
            continue;
        it->callers->cancel(
            m_keys[team].back().presented, id, [](const Result<JobView> &, Executed, Instant) {},
            it->context->localNow());
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

bool Cluster::refusesForLostConfig() const
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
                   + std::to_string(row.generation) + (row.hasQuorum ? " standing" : "")
                   + (row.left ? " left" : "") + (row.acknowledgedUs ? " acknowledged" : "")
                   + " age " + std::to_string(row.age.count());
        out += "\n";
    }
    return out;
}

} // namespace cardamompaddle::proof
