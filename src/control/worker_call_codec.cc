#include "control/worker_call_codec.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>

namespace cardamompaddle {

namespace {

using work::RunEnd;
using work::StartResult;
using work::WorkerCallKind;

constexpr std::array<std::pair<StartOutcome, StartResult::type>, 5> StartResults = {{
    {StartOutcome::Started, StartResult::Started},
    {StartOutcome::NoRoom, StartResult::NoRoom},
    {StartOutcome::StaleRun, StartResult::StaleRun},
    {StartOutcome::NoApproval, StartResult::NoApproval},
    {StartOutcome::WorkerUnavailable, StartResult::WorkerUnavailable},
}};

constexpr std::array<std::pair<RunOutcome, RunEnd::type>, 6> RunEnds = {{
    {RunOutcome::Succeeded, RunEnd::Succeeded},
    {RunOutcome::Failed, RunEnd::Failed},
    {RunOutcome::Stopped, RunEnd::Stopped},
    {RunOutcome::LeaseLapsed, RunEnd::LeaseLapsed},
    {RunOutcome::GangBroken, RunEnd::GangBroken},
    {RunOutcome::GangIncomplete, RunEnd::GangIncomplete},
}};

template <typename Table, typename T>
auto findFirst(const Table &table, T first)
{
    const auto it = std::find_if(table.begin(), table.end(),
                                 [first](const auto &row) { return row.first == first; });
    return it == table.end() ? std::nullopt : std::optional(it->second);
}

template <typename Table, typename T>
auto findSecond(const Table &table, T second)
{
    const auto it = std::find_if(table.begin(), table.end(),
                                 [second](const auto &row) { return row.second == second; });
    return it == table.end() ? std::nullopt : std::optional(it->first);
}

Error malformed(const std::string &what)
{
    return {ErrorCode::InvalidArgument, "malformed worker call: " + what};
}

// Error of an answer that cannot be read: the call may have been carried out.
Error unreadable(const std::string &what)
{
    return {ErrorCode::OutcomeUnknown, "unreadable answer of a peer: " + what};
}

// Returns the error that the answer holds, if any.
std::optional<Error> errorOf(const work::WorkerAnswer &answer)
{
    if (answer.error.empty())
        return std::nullopt;
    const auto code = errorFromName(answer.error);
    return Error{code.value_or(ErrorCode::OutcomeUnknown), answer.reason};
}

void setRun(work::WorkerCall &call, const TaskRef &task, int64_t run)
{
    call.task = task.toString();
    call.run = run;
}

// Reads the worker, task and run of a call into an order. Returns false if it names no task.
template <typename Order>
bool readRun(const work::WorkerCall &call, Order &out)
{
    out.worker = call.worker;
    out.run = call.run;
    return TaskRef::parse(call.task, out.task);
}

work::ListedRun encodeRun(const ActiveRun &run)
{
    work::ListedRun out;
    out.task = run.task.toString();
    out.run = run.run;
    out.checkpoint = run.checkpoint;
    out.percent = run.percent;
    out.loadMetric = run.loadMetric;
    return out;
}

work::FinishedRun encodeRun(const EndedRun &run)
{
    work::FinishedRun out;
    out.position = run.position;
    out.task = run.task.toString();
    out.run = run.run;
    out.outcome = findFirst(RunEnds, run.outcome).value_or(RunEnd::Failed);
    out.checkpoint = run.checkpoint;
    return out;
}

// Returns false if the run cannot be read.
bool decodeRun(const work::ListedRun &run, ActiveRun &out)
{
    out.run = run.run;
    out.checkpoint = run.checkpoint;
    out.percent = run.percent;
    out.loadMetric = run.loadMetric;
    return TaskRef::parse(run.task, out.task);
}

bool decodeRun(const work::FinishedRun &run, EndedRun &out)
{
    const auto outcome = findSecond(RunEnds, run.outcome);
    out.position = run.position;
    out.run = run.run;
    out.outcome = outcome.value_or(RunOutcome::Failed);
    out.checkpoint = run.checkpoint;
    return outcome && TaskRef::parse(run.task, out.task);
}

// Decodes all runs of a list. Returns false if one of them cannot be read.
template <typename From, typename To>
bool decodeRuns(const std::vector<From> &runs, std::vector<To> &out)
{
    out.resize(runs.size());
    for (size_t i = 0; i < runs.size(); ++i) {
        if (!decodeRun(runs[i], out[i]))
            return false;
    }
    return true;
}

} // namespace

work::WorkerCall encodeCall(WorkerCallKind::type kind, const WorkerEntry &worker,
                            const CommandFence &fence)
{
    work::WorkerCall out;
    out.kind = kind;
    out.worker = fence.worker;
    out.address = worker.address;
    out.leaseEndMs = fence.leaseEndMs;
    out.fencingToken = fence.token;
    return out;
}

work::WorkerCall encodePoll(const WorkerEntry &worker, const CommandFence &fence,
                            int64_t acknowledged, Duration wait)
{
    work::WorkerCall out = encodeCall(WorkerCallKind::Poll, worker, fence);
    out.acknowledged = acknowledged;
    out.waitMs = wait.count();
    return out;
}

work::WorkerCall encodeStart(const WorkerEntry &worker, const CommandFence &fence,
                             const StartOrder &order)
{
    work::WorkerCall out = encodeCall(WorkerCallKind::Start, worker, fence);
    setRun(out, order.task, order.run);
    out.checkpoint = order.checkpoint;
    out.ticket = order.ticket;
    return out;
}

work::WorkerCall encodeStop(const WorkerEntry &worker, const CommandFence &fence,
                            const StopOrder &order)
{
    work::WorkerCall out = encodeCall(WorkerCallKind::Stop, worker, fence);
    setRun(out, order.task, order.run);
    return out;
}

work::WorkerCall encodeThrottle(const WorkerEntry &worker, const CommandFence &fence,
                                const ThrottleOrder &order)
{
    work::WorkerCall out = encodeCall(WorkerCallKind::Throttle, worker, fence);
    setRun(out, order.task, order.run);
    out.speedPercent = order.speedPercent;
    return out;
}

WorkerEntry decodeWorkerOf(const work::WorkerCall &call)
{
    WorkerEntry out;
    out.id = call.worker;
    out.address = call.address;
    return out;
}

CommandFence decodeFence(const work::WorkerCall &call, int64_t epoch)
{
    return {call.fencingToken > 0 ? call.fencingToken : epoch, call.leaseEndMs, call.worker};
}

Result<StartOrder> decodeStart(const work::WorkerCall &call,
                               const std::map<std::string, std::string> &payloads)
{
    StartOrder out;
    if (!readRun(call, out))
        return malformed("task");
    const auto payload = payloads.find(out.task.step.job);
    if (payload == payloads.end())
        return malformed("no payload of the job");
    auto job = std::make_shared<work::Submission>();
    job->id = payload->first;
    job->payload = payload->second;
    out.job = std::move(job);
    out.checkpoint = call.checkpoint;
    out.ticket = call.ticket;
    return out;
}

Result<StopOrder> decodeStop(const work::WorkerCall &call)
{
    StopOrder out;
    if (!readRun(call, out))
        return malformed("task");
    return out;
}

Result<ThrottleOrder> decodeThrottle(const work::WorkerCall &call)
{
    ThrottleOrder out;
    if (!readRun(call, out))
        return malformed("task");
    out.speedPercent = call.speedPercent;
    return out;
}

work::WorkerAnswer encodeError(int64_t id, const Error &error)
{
    work::WorkerAnswer out;
    out.id = id;
    out.error = errorName(error.code);
    out.reason = error.reason;
    return out;
}

work::WorkerAnswer encodePollAnswer(int64_t id, const Result<PollResult> &answer)
{
    if (!answer)
        return encodeError(id, answer.error());
    work::WorkerAnswer out;
    out.id = id;
    out.workerTimeMs = answer->workerTimeMs;
    out.startedAtMs = answer->report.startedAtMs;
    for (const ActiveRun &run : answer->report.running)
        out.running.push_back(encodeRun(run));
    for (const EndedRun &run : answer->report.ended)
        out.finished.push_back(encodeRun(run));
    out.moreFinished = answer->report.moreEnded;
    return out;
}

work::WorkerAnswer encodeStartAnswer(int64_t id, const Result<StartAnswer> &answer)
{
    if (!answer)
        return encodeError(id, answer.error());
    const auto result = findFirst(StartResults, answer->outcome);
    if (!result)
        return encodeError(id, {ErrorCode::OutcomeUnknown,
                                "outcome " + std::string(startOutcomeName(answer->outcome))});
    work::WorkerAnswer out;
    out.id = id;
    out.startResult = *result;
    out.workerTimeMs = answer->workerTimeMs.value_or(0);
    return out;
}

work::WorkerAnswer encodeOrderAnswer(int64_t id, const Result<void> &answer)
{
    if (!answer)
        return encodeError(id, answer.error());
    work::WorkerAnswer out;
    out.id = id;
    return out;
}

Result<PollResult> decodePollAnswer(const work::WorkerAnswer &answer, Instant requestedAt)
{
    if (auto error = errorOf(answer))
        return *error;
    PollResult out;
    out.workerTimeMs = answer.workerTimeMs;
    out.report.requestedAt = requestedAt;
    out.report.startedAtMs = answer.startedAtMs;
    out.report.moreEnded = answer.moreFinished;
    if (!decodeRuns(answer.running, out.report.running)
        || !decodeRuns(answer.finished, out.report.ended))
        return unreadable("run");
    return out;
}

Result<StartAnswer> decodeStartAnswer(const work::WorkerAnswer &answer)
{
    if (auto error = errorOf(answer))
        return *error;
    const auto outcome = findSecond(StartResults, answer.startResult);
    if (!outcome)
        return unreadable("result of a start");
    return StartAnswer{*outcome,
                       answer.workerTimeMs > 0 ? std::optional(answer.workerTimeMs) : std::nullopt};
}

Result<void> decodeOrderAnswer(const work::WorkerAnswer &answer)
{
    if (auto error = errorOf(answer))
        return *error;
    return {};
}

} // namespace cardamompaddle
