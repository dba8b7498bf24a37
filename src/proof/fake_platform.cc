#include "proof/fake_platform.h"

#include <utility>

namespace cardamompaddle::proof {
namespace {

constexpr Duration LogTimeout{2'000};
constexpr Duration WorkerTimeout{2'000};

// The worker's local time. Workers' clocks run up to 1% fast or slow.
Instant workerNow(const FakeWorld &world, int worker)
{
    const int64_t rate = 990 + (worker * 7) % 21;
    return instantFromMs(world.events.now().time_since_epoch().count() * rate / 1000);
}

} // namespace

Duration MemberContext::outputDelay()
{
    const auto it = m_world.faults.outputDelay.find(m_index);
    const Duration stalled = it == m_world.faults.outputDelay.end() ? Duration(0) : it->second;
    return m_world.latency() + stalled;
}

void MemberContext::schedule(Duration delay, std::function<void()> event)
{
    m_world.events.after(delay,
                         [&world = m_world, this, alive = std::weak_ptr<int>(m_alive),
                          event = std::move(event)] { runWhenResumed(world, this, alive, event); });
}

void MemberContext::runWhenResumed(FakeWorld &world, MemberContext *self,
                                   const std::weak_ptr<int> &alive,
                                   const std::function<void()> &event)
{
    if (alive.expired())
        return;
    if (!self->paused()) {
        event();
        return;
    }
    world.events.at(self->m_pausedUntil,
                    [&world, self, alive, event] { runWhenResumed(world, self, alive, event); });
}

bool FakeLogClient::reachable() const
{
    const Faults &faults = m_member.world().faults;
    return !faults.logDown && !faults.logCutFrom.contains(m_member.index());
}

void FakeLogClient::append(const std::string &stream, std::string data, AppendDone done)
{
    FakeWorld &world = m_member.world();
    if (!reachable()) {
        m_member.schedule(Duration(20), [this, done] {
            done(Error{ErrorCode::Unavailable, "the log is unreachable"}, m_member.localNow());
        });
        return;
    }
    const Duration delay = m_member.outputDelay();
    // The record is appended even if its writer is killed meanwhile, as its bytes are already in
    // transit.
    world.events.after(delay, [this, &world, stream, data = std::move(data), done,
                               context = &m_member, wasAlive = m_member.alive()] {
        const uint64_t offset = world.log.append(stream, data, world.events.now());
        if (world.faults.appendAnswersToLose > 0) {
            --world.faults.appendAnswersToLose;
            context->schedule(LogTimeout, [context, done] {
                done(Error{ErrorCode::OutcomeUnknown, "no answer from the log"},
                     context->localNow());
            });
            return;
        }
        context->schedule(world.latency(),
                          [context, done, offset] { done(offset, context->localNow()); });
    });
}

void FakeLogClient::read(const std::string &stream, uint64_t from, int max, ReadDone done)
{
    FakeWorld &world = m_member.world();
    const bool up = reachable();
    bool expired = false;
    LogPage page;
    if (up) {
        page = world.log.read(stream, from, static_cast<size_t>(max), world.events.now(), expired);
        if (expired)
            page = world.log.read(stream, page.first, static_cast<size_t>(max), world.events.now(),
                                  expired);
    }
    m_member.schedule(m_member.outputDelay(), [this, up, page, done] {
        if (up)
            done(page, m_member.localNow());
        else
            done(Error{ErrorCode::Unavailable, "the log is unreachable"}, m_member.localNow());
    });
}

int FakeWorkerClient::indexOf(const WorkerInfo &worker) const
{
    const auto &workers = m_member.world().workers;
    for (size_t n = 0; n < workers.size(); ++n) {
        if (workers[n].info.id == worker.id)
            return static_cast<int>(n);
    }
    return -1;
}

bool FakeWorkerClient::cut(int worker) const
{
    return m_member.world().faults.cutWorkers.contains({m_member.index(), worker});
}

void FakeWorkerClient::answer(int worker, std::function<void()> event)
{
    if (!cut(worker))
        m_member.schedule(m_member.world().latency(), std::move(event));
}

void FakeWorkerClient::acquire(const WorkerInfo &worker, const SessionRequest &request,
                               SessionDone done)
{
    const int index = indexOf(worker);
    if (index < 0 || cut(index)) {
        m_member.schedule(Duration(200), [this, done] {
            done(Error{ErrorCode::Unavailable, "connect failed"}, m_member.localNow());
        });
        return;
    }
    FakeWorld &world = m_member.world();
    world.events.after(
        m_member.outputDelay(), [this, &world, index, request, done, context = &m_member] {
            if (!context->alive())
                return;
            FakeWorld::Worker &target = world.workers[static_cast<size_t>(index)];
            const auto grant = target.model.acquire(request, workerNow(world, index));
            world.workersChanged();
            answer(index, [context, grant, done] { done(grant, context->localNow()); });
        });
}

void FakeWorkerClient::command(const WorkerInfo &worker, WorkerCommand batch, CommandDone done)
{
    const int index = indexOf(worker);
    if (index < 0 || cut(index)) {
        m_member.schedule(Duration(200), [this, done] {
            done(Error{ErrorCode::Unavailable, "connect failed"}, m_member.localNow());
        });
        return;
    }
    FakeWorld &world = m_member.world();
    // Calls `done` once, with the answer or the timeout, whichever comes first.
    const auto finished = std::make_shared<bool>(false);
    const CommandDone once = [finished, done](const Result<WorkerReport> &report, Instant now) {
        if (!std::exchange(*finished, true))
            done(report, now);
    };
    m_member.schedule(WorkerTimeout + batch.waitForFinish, [context = &m_member, once] {
        once(Error{ErrorCode::OutcomeUnknown, "no answer from the worker"}, context->localNow());
    });
    world.events.after(m_member.outputDelay(),
                       [this, index, batch = std::move(batch), once, context = &m_member] {
                           // Unlike an append, the command of a member that was killed meanwhile
                           // is dropped.
                           if (context->alive())
                               execute(index, batch, once);
                       });
}

void FakeWorkerClient::execute(int worker, const WorkerCommand &batch, const CommandDone &done)
{
    FakeWorld &world = m_member.world();
    FakeWorld::Worker &target = world.workers[static_cast<size_t>(worker)];
    const Instant now = workerNow(world, worker);
    target.model.advance(now);
    const auto report = target.model.command(batch, now);
    world.workersChanged();
    MemberContext *context = &m_member;
    if (report && batch.waitForFinish.count() > 0
        && !target.model.lastReportHadNewFinishedTasks()) {
        pollForFinish(worker, world.events.now() + batch.waitForFinish, done);
        return;
    }
    answer(worker, [context, report, done] { done(report, context->localNow()); });
}

void FakeWorkerClient::pollForFinish(int worker, Instant until, const CommandDone &done)
{
    FakeWorld &world = m_member.world();
    constexpr Duration Poll{20};
    world.events.after(Poll, [this, &world, worker, until, done, context = &m_member] {
        if (!context->alive())
            return;
        FakeWorld::Worker &target = world.workers[static_cast<size_t>(worker)];
        const Instant now = workerNow(world, worker);
        target.model.advance(now);
        if (!target.model.hasUnreportedFinishedTasks() && world.events.now() < until) {
            pollForFinish(worker, until, done);
            return;
        }
        const WorkerReport report = target.model.report(now);
        answer(worker, [context, report, done] { done(report, context->localNow()); });
    });
}

void FakeInstanceListClient::fetch(ListDone done)
{
    FakeWorld &world = m_member.world();
    std::vector<WorkerInfo> list;
    for (size_t n = 0; n < world.workers.size(); ++n) {
        if (world.unlisted.contains(static_cast<int>(n)))
            continue;
        list.push_back(world.workers[n].info);
        list.back().leaving = world.leaving.contains(static_cast<int>(n));
    }
    m_member.schedule(world.latency() + world.faults.instanceListDelay,
                      [this, list, done] { done(list, m_member.localNow()); });
}

FakePeerTransport::FakePeerTransport(MemberContext &member, Directory &directory)
    : m_member(member), m_directory(directory)
{
    m_directory[member.index()] = this;
}

FakePeerTransport::~FakePeerTransport()
{
    const auto it = m_directory.find(m_member.index());
    if (it != m_directory.end() && it->second == this)
        m_directory.erase(it);
}

bool FakePeerTransport::cut(FakeWorld &world, int from, int to)
{
    return world.faults.cutLinks.contains({from, to});
}

void FakePeerTransport::request(SeatId to, PeerBody request, Duration timeout, AnswerDone done)
{
    FakeWorld &world = m_member.world();
    const auto call = std::make_shared<Call>();
    call->done = std::move(done);
    m_member.schedule(timeout, [context = &m_member, call] {
        if (!std::exchange(call->finished, true))
            call->done(Error{ErrorCode::OutcomeUnknown, "no answer in time"}, context->localNow());
    });
    const int from = m_member.index();
    world.events.after(m_member.outputDelay(), [&world, &directory = m_directory, from, to,
                                                request = std::move(request), call] {
        const auto it = directory.find(to);
        if (it != directory.end() && !cut(world, from, to))
            it->second->receive(from, request, call);
    });
}

void FakePeerTransport::receive(int from, const PeerBody &request,
                                const std::shared_ptr<Call> &call)
{
    m_member.schedule(Duration(0), [this, from, request, call] {
        if (!m_handler)
            return;
        FakeWorld *world = &m_member.world();
        const Respond respond = [world, &directory = m_directory, context = &m_member, from,
                                 call](const PeerBody &answer) {
            world->events.after(context->outputDelay(),
                                [world, &directory, from, call, answer, to = context->index()] {
                                    const auto it = directory.find(from);
                                    if (it == directory.end() || cut(*world, to, from))
                                        return;
                                    MemberContext &requester = it->second->m_member;
                                    requester.schedule(Duration(0), [&requester, call, answer] {
                                        if (!std::exchange(call->finished, true))
                                            call->done(answer, requester.localNow());
                                    });
                                });
        };
        m_handler(from, request, respond, m_member.localNow());
    });
}

} // namespace cardamompaddle::proof
