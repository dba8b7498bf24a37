#include "modelled_workers.h"

#include <algorithm>
#include <utility>

namespace cardamompaddle::emulator {

namespace {

constexpr Duration AdvanceInterval{1};
constexpr Duration RequestTime{1}; // until a call arrives
constexpr int64_t MostPercent = 99; // of a run that has not ended

Error noAnswer()
{
    return {ErrorCode::OutcomeUnknown, "no answer"};
}

Error fencedOff()
{
    return {ErrorCode::PermissionDenied, "token"};
}

RunOutcome outcomeOf(const std::string &how)
{
    static const std::map<std::string, RunOutcome> outcomes = {
        {"done", RunOutcome::Succeeded},    {"failed", RunOutcome::Failed},
        {"stopped", RunOutcome::Stopped},   {"lapsed", RunOutcome::LeaseLapsed},
        {"broken", RunOutcome::GangBroken}, {"alone", RunOutcome::GangIncomplete},
    };
    return outcomes.at(how);
}

StartOutcome outcomeOf(StartReply reply)
{
    switch (reply) {
    case StartReply::Started:
        return StartOutcome::Started;
    case StartReply::OldRun:
        return StartOutcome::StaleRun;
    case StartReply::NoTicket:
        return StartOutcome::NoApproval;
    default:
        return StartOutcome::WorkerUnavailable;
    }
}

TaskRef taskOf(const std::string &name)
{
    TaskRef out;
    TaskRef::parse(name, out);
    return out;
}

} // namespace

ModelledWorkers::ModelledWorkers(boost::asio::io_context &io, const Clock &clock,
                                 WorkerModelOptions options, Observer observer, uint64_t seed)
    : m_io(io), m_clock(clock), m_options(std::move(options)), m_random(seed), m_advanceTimer(io)
{
    m_options.observer = std::move(observer);
    advance();
}

ModelledWorkers::~ModelledWorkers()
{
    *m_alive = false;
}

void ModelledWorkers::add(const WorkerId &id)
{
    WorkerModelOptions options = m_options;
    options.id = id;
    // Long before its first call, so that the clock of its next incarnation lies behind.
    constexpr Duration Uptime{500'000};
    m_workers.insert_or_assign(id, Worker{WorkerModel(std::move(options), now() - Uptime),
                                          ++m_lastStart, true, false, CallFaults()});
}

void ModelledWorkers::crash(const WorkerId &id)
{
    Worker &worker = m_workers.at(id);
    worker.up = false;
    worker.model.crash(now());
}

void ModelledWorkers::restart(const WorkerId &id)
{
    Worker &worker = m_workers.at(id);
    worker.model.restart(id, now());
    worker.startedAtMs = ++m_lastStart;
    worker.up = true;
}

Duration ModelledWorkers::draw(Duration least, Duration most)
{
    const auto span = static_cast<uint64_t>((most - least).count() + 1);
    return least + Duration(static_cast<int64_t>(m_random() % span));
}

void ModelledWorkers::after(Duration wait, std::function<void()> action)
{
    auto timer = std::make_shared<Timer>(m_io, wait);
    timer->asyncWait(
        [timer, alive = m_alive, action = std::move(action)](const boost::system::error_code &ec) {
            if (!ec && *alive)
                action();
        });
}

void ModelledWorkers::deliver(const WorkerId &id, bool isOrder, CarryOut carryOut)
{
    const int life = m_workers.at(id).model.life();
    after(RequestTime, [this, id, isOrder, life, carryOut = std::move(carryOut)] {
        Worker &worker = m_workers.at(id);
        const bool mayBeLost = isOrder || !worker.faults.ordersOnly;
        const bool lost =
            mayBeLost && std::uniform_real_distribution<>()(m_random) < worker.faults.lostShare;
        if (worker.up && !worker.cutOff && !lost)
            return carryOut(worker, true);
        if (worker.faults.lateAtMost > Duration::zero())
            after(draw(worker.faults.lateAtLeast, worker.faults.lateAtMost),
                  [this, id, life, carryOut] { carryOutLate(id, life, carryOut); });
    });
}

void ModelledWorkers::carryOutLate(const WorkerId &id, int life, const CarryOut &carryOut)
{
    Worker &worker = m_workers.at(id);
    if (!worker.up)
        return;
    const size_t runs = worker.model.runs().size();
    carryOut(worker, false);
    if (worker.model.life() != life && worker.model.runs().size() > runs)
        ++m_staleStarts;
}

void ModelledWorkers::extendLease(Worker &worker, int64_t leaseEndMs)
{
    if (Duration(leaseEndMs - worker.model.clockMs(now())) > m_options.maxLease)
        ++m_shortenedLeases;
    worker.model.extendLease(leaseEndMs, now());
}

void ModelledWorkers::respond(const WorkerId &id, std::function<void()> answer)
{
    const Worker &worker = m_workers.at(id);
    after(draw(Duration(1), std::max(Duration(1), worker.faults.slowestAnswer)),
          [this, id, life = worker.model.life(), answer = std::move(answer)] {
              const Worker &present = m_workers.at(id);
              if (present.up && !present.cutOff && present.model.life() == life)
                  answer();
          });
}

PollResult ModelledWorkers::report(const Worker &worker, Instant requestedAt) const
{
    PollResult out;
    out.workerTimeMs = worker.model.clockMs(now());
    out.report.requestedAt = requestedAt;
    out.report.startedAtMs = worker.startedAtMs;
    for (const auto &[task, run] : worker.model.runs()) {
        const int64_t worked = (now() - run.startedAt).count() * 100;
        const int64_t percent =
            run.runTime ? worked / std::max<int64_t>(1, run.runTime->count()) : MostPercent;
        out.report.running.push_back({taskOf(task), run.number, "",
                                      static_cast<int32_t>(std::min(percent, MostPercent)), 0});
    }
    for (const ModelledEnd &end : worker.model.ends())
        out.report.ended.push_back(
            {end.position, taskOf(end.task), end.run, outcomeOf(end.how), ""});
    return out;
}

namespace {

// An answer that is given once: by the worker, or by the timeout.
template <typename Answer>
std::function<void(Answer)> once(std::function<void(Answer)> done)
{
    return [done = std::move(done), answered = std::make_shared<bool>(false)](Answer answer) {
        if (!std::exchange(*answered, true))
            done(std::move(answer));
    };
}

} // namespace

void ModelledWorkers::poll(const WorkerEntry &entry, const CommandFence &fence,
                           int64_t acknowledged, Duration wait, Duration timeout,
                           Instant requestedAt, PollDone done)
{
    auto answer = once<Result<PollResult>>(std::move(done));
    const auto carryOut = [this, id = entry.id, fence, acknowledged, wait, requestedAt,
                           answer](Worker &worker, bool waits) {
        if (!worker.model.acceptsToken(fence.token)) {
            if (waits)
                respond(id, [answer] { answer(fencedOff()); });
            return;
        }
        extendLease(worker, fence.leaseEndMs);
        worker.model.acknowledge(acknowledged, now());
        if (waits)
            m_waitingPolls.push_back({id, worker.model.life(), now() + wait, requestedAt, answer});
    };
    after(timeout, [answer] { answer(noAnswer()); });
    deliver(entry.id, false, carryOut);
}

void ModelledWorkers::start(const WorkerEntry &entry, const CommandFence &fence,
                            const StartOrder &order, Duration timeout, StartDone done)
{
    auto answer = once<Result<StartAnswer>>(std::move(done));
    const auto carryOut = [this, id = entry.id, fence, order, answer](Worker &worker, bool waits) {
        Result<StartAnswer> out = fencedOff();
        if (worker.model.acceptsToken(fence.token)) {
            extendLease(worker, fence.leaseEndMs);
            const StartReply reply =
                worker.model.start(order.task.toString(), order.run, fence.leaseEndMs, now());
            out = StartAnswer{outcomeOf(reply), worker.model.clockMs(now())};
        }
        if (waits)
            respond(id, [answer, out] { answer(out); });
    };
    after(timeout, [answer] { answer(noAnswer()); });
    deliver(entry.id, true, carryOut);
}

void ModelledWorkers::stop(const WorkerEntry &entry, const CommandFence &fence,
                           const StopOrder &order, Duration timeout, Done done)
{
    auto answer = once<Result<void>>(std::move(done));
    const auto carryOut = [this, id = entry.id, fence, order, answer](Worker &worker, bool waits) {
        const bool accepted = worker.model.acceptsToken(fence.token);
        if (accepted)
            worker.model.stop(order.task.toString(), order.run, now());
        if (waits)
            respond(id, [answer, accepted] {
                answer(accepted ? Result<void>() : Result<void>(fencedOff()));
            });
    };
    after(timeout, [answer] { answer(noAnswer()); });
    deliver(entry.id, true, carryOut);
}

void ModelledWorkers::throttle(const WorkerEntry &entry, const CommandFence &,
                               const ThrottleOrder &, Duration, Done done)
{
    respond(entry.id, [done = std::move(done)] { done({}); });
}

// Lets time pass for the workers, and answers the polls that are due.
void ModelledWorkers::advance()
{
    for (auto &[id, worker] : m_workers) {
        if (worker.up)
            worker.model.advance(now());
    }
    m_waitingPolls.remove_if([this](const WaitingPoll &it) {
        const Worker &worker = m_workers.at(it.worker);
        if (!worker.up || worker.model.life() != it.life)
            return true;
        const bool due = !worker.model.ends().empty() || now() >= it.until;
        if (due)
            respond(it.worker,
                    [done = it.done, answer = report(worker, it.requestedAt)] { done(answer); });
        return due;
    });
    m_advanceTimer.expireAfter(AdvanceInterval);
    m_advanceTimer.asyncWait([this, alive = m_alive](const boost::system::error_code &ec) {
        if (!ec && *alive)
            advance();
    });
}

} // namespace cardamompaddle::emulator
