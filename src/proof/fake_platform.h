// Fakes of the platform services and of the network between members, in virtual time, with fault
// injection.
#pragma once

#include "node/node.h"
#include "peer/peer_message.h"
#include "platform/log.h"
#include "platform/worker.h"
#include "proof/event_queue.h"
#include "standins/log_model.h"
#include "standins/worker_model.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamompaddle::proof {

// The faults currently injected. Members and workers are named by index.
struct Faults
{
    bool logDown = false;
    std::set<int> logCutFrom; // members that cannot reach the log
    int appendAnswersToLose = 0; // the next appends that succeed without an answer
    std::set<std::pair<int, int>> cutLinks; // (from, to): messages in this direction are lost
    std::set<std::pair<int, int>> cutWorkers; // (member, worker) pairs that cannot communicate
    std::map<int, Duration> outputDelay; // extra delay of a member's outgoing messages
    Duration instanceListDelay{500};
};

// State shared by all fakes: virtual time, faults, the log and the workers.
struct FakeWorld
{
    EventQueue events;
    Faults faults;
    std::mt19937_64 random;
    LogModel log;
    struct Worker
    {
        WorkerInfo info;
        WorkerModel model;
    };
    std::vector<Worker> workers;
    std::set<int> leaving; // workers that the instance list marks as leaving
    std::set<int> unlisted; // running workers that are missing from the instance list
    // Called after every command or session request that a worker handles.
    std::function<void()> workersChanged;

    // A random network latency from 1 to 5 ms.
    Duration latency() { return Duration(1 + static_cast<int64_t>(random() % 5)); }
};

// Schedules the callbacks of one member. Callbacks are dropped once the member was killed and
// postponed while it is paused. Keeps the member's local clock, whose rate is `ratePermille`
// thousandths of that of virtual time and whose origin differs for each member.
class MemberContext
{
public:
    MemberContext(FakeWorld &world, int index, int ratePermille)
        : m_world(world), m_index(index), m_ratePermille(ratePermille)
    { }

    int index() const { return m_index; }
    FakeWorld &world() { return m_world; }
    Instant localNow() const
    {
        const auto elapsed = m_world.events.now().time_since_epoch().count();
        return instantFromMs(elapsed * m_ratePermille / 1000 + int64_t(m_index) * 100'000);
    }
    void pauseUntil(Instant until) { m_pausedUntil = std::max(m_pausedUntil, until); }
    bool paused() const { return m_world.events.now() < m_pausedUntil; }
    void kill() { m_alive.reset(); }
    bool alive() const { return m_alive != nullptr; }

    // Delay of a message that is sent now: the latency and the injected output delay.
    Duration outputDelay();
    // Runs `event` in this member after `delay` of virtual time.
    void schedule(Duration delay, std::function<void()> event);

private:
    static void runWhenResumed(FakeWorld &world, MemberContext *self,
                               const std::weak_ptr<int> &alive, const std::function<void()> &event);

    FakeWorld &m_world;
    int m_index;
    int m_ratePermille;
    Instant m_pausedUntil;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

class FakeLogClient : public LogClient
{
public:
    explicit FakeLogClient(MemberContext &member) : m_member(member) { }
    void append(const std::string &stream, std::string data, AppendDone done) override;
    void read(const std::string &stream, uint64_t from, int max, ReadDone done) override;

private:
    bool reachable() const;
    MemberContext &m_member;
};

class FakeWorkerClient : public WorkerClient
{
public:
    explicit FakeWorkerClient(MemberContext &member) : m_member(member) { }
    void acquire(const WorkerInfo &worker, const SessionRequest &request,
                 SessionDone done) override;
    void command(const WorkerInfo &worker, WorkerCommand batch, CommandDone done) override;

private:
    int indexOf(const WorkerInfo &worker) const;
    bool cut(int worker) const;
    void execute(int worker, const WorkerCommand &batch, const CommandDone &done);
    void pollForFinish(int worker, Instant until, const CommandDone &done);
    void answer(int worker, std::function<void()> event);
    MemberContext &m_member;
};

class FakeInstanceListClient : public InstanceListClient
{
public:
    explicit FakeInstanceListClient(MemberContext &member) : m_member(member) { }
    void fetch(ListDone done) override;

private:
    MemberContext &m_member;
};

// Delivers messages between members. Each transport registers itself in the directory.
class FakePeerTransport : public PeerTransport
{
public:
    using Directory = std::map<int, FakePeerTransport *>;

    FakePeerTransport(MemberContext &member, Directory &directory);
    ~FakePeerTransport() override;
    void request(SeatId to, PeerBody request, Duration timeout, AnswerDone done) override;
    void setHandler(RequestHandler handler) override { m_handler = std::move(handler); }

private:
    // One request; `finished` is set by the answer or the timeout, whichever comes first.
    struct Call
    {
        AnswerDone done;
        bool finished = false;
    };
    void receive(int from, const PeerBody &request, const std::shared_ptr<Call> &call);
    static bool cut(FakeWorld &world, int from, int to);

    MemberContext &m_member;
    Directory &m_directory;
    RequestHandler m_handler;
};

} // namespace cardamompaddle::proof
