#include "standins/worker_standin.h"

#include "net/json_members.h"
#include "net/worker_protocol.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

constexpr Duration MaxHoldTime{30'000};

} // namespace

WorkerStandin::WorkerStandin(std::string id, WorkerModelOptions options)
    : m_id(std::move(id)), m_model(options)
{ }

void WorkerStandin::setFailAll(bool failAll)
{
    const std::lock_guard lock(m_mutex);
    m_model.setFailAll(failAll);
}

void WorkerStandin::handle(const HttpRequest &request, const Respond &respond)
{
    const std::lock_guard lock(m_mutex);
    const std::string call = request.method + " " + request.path;
    if (call == "POST /session")
        handleSession(request, respond);
    else if (call == "POST /commands")
        handleCommand(request, respond);
    else if (call == "POST /control")
        handleControl(request, respond);
    else if (call == "GET /history")
        respond(historyResponse());
    else
        respond(errorResponse({ErrorCode::NotFound, "unknown path"}, Executed::No));
    answerDueCommands();
}

void WorkerStandin::handleSession(const HttpRequest &request, const Respond &respond)
{
    const auto sessionRequest = decodeSessionRequest(request.body);
    if (!sessionRequest)
        return respond(errorResponse(sessionRequest.error(), Executed::No));
    const auto grant = m_model.acquire(*sessionRequest, m_clock.now());
    respond(grant ? HttpResponse{200, encodeSessionGrant(*grant)}
                  : errorResponse(grant.error(), Executed::No));
}

void WorkerStandin::handleCommand(const HttpRequest &request, const Respond &respond)
{
    const auto batch = decodeWorkerCommand(request.body);
    if (!batch)
        return respond(errorResponse(batch.error(), Executed::No));
    const Instant now = m_clock.now();
    const auto report = m_model.command(*batch, now);
    if (!report)
        return respond(errorResponse(report.error(), Executed::No));
    if (batch->waitForFinish <= Duration(0) || batch->release
        || m_model.lastReportHadNewFinishedTasks() || !report->rejectedStarts.empty())
        return respond({200, encodeWorkerReport(*report)});
    const Instant deadline = now + std::min(batch->waitForFinish, MaxHoldTime);
    m_heldCommands.push_back({batch->epoch, deadline, respond, request.clientStatus});
}

void WorkerStandin::handleControl(const HttpRequest &request, const Respond &respond)
{
    JsonMembers members(request.body);
    const int64_t freezeMs = members.number("freeze_ms", 0);
    const bool hasFailAll = members.has("fail_all");
    const bool failAll = members.flag("fail_all", false);
    if (!members.ok())
        return respond(
            errorResponse({ErrorCode::InvalidArgument, "malformed control message"}, Executed::No));
    if (hasFailAll)
        m_model.setFailAll(failAll);
    respond({200, "{}"});
    // Simulates a paused process: every request and timer needs the mutex, so nothing is answered
    // until it is released.
    if (freezeMs > 0)
        m_timers.runAfter(Duration(0), [this, freezeMs] {
            const std::lock_guard lock(m_mutex);
            std::this_thread::sleep_for(Duration(freezeMs));
        });
}

HttpResponse WorkerStandin::historyResponse()
{
    m_model.advance(m_clock.now());
    json::array attempts;
    for (const AttemptHistory &it : m_model.history()) {
        json::object row{{"team", it.target.task.job.team},
                         {"job", it.target.task.job.id},
                         {"index", it.target.task.index},
                         {"attempt", it.target.attempt},
                         {"start_ms", toMs(it.started)}};
        if (it.ended) {
            row["end_ms"] = toMs(*it.ended);
            row["outcome"] = taskOutcomeName(it.outcome);
        }
        attempts.push_back(std::move(row));
    }
    return {200, json::serialize(json::object{{"worker", m_id},
                                              {"now_ms", toMs(m_clock.now())},
                                              {"capacity_refusals", m_model.capacityRefusals()},
                                              {"attempts", std::move(attempts)}})};
}

void WorkerStandin::answerDueCommands()
{
    const Instant now = m_clock.now();
    m_model.advance(now);
    // Drops commands whose caller has disconnected: the report sent to it would be lost, but would
    // mark the finished task as reported.
    m_heldCommands.remove_if([](const HeldCommand &held) { return held.clientStatus->isClosed(); });
    const bool hasUnreportedFinishedTasks = m_model.hasUnreportedFinishedTasks();
    std::optional<Instant> next = m_model.nextEvent();
    for (auto it = m_heldCommands.begin(); it != m_heldCommands.end();) {
        if (hasUnreportedFinishedTasks || it->deadline <= now || it->epoch != m_model.epoch()) {
            it->respond({200, encodeWorkerReport(m_model.report(now))});
            it = m_heldCommands.erase(it);
        } else {
            next = next ? std::min(*next, it->deadline) : it->deadline;
            ++it;
        }
    }
    if (next)
        scheduleWakeup(*next);
}

void WorkerStandin::scheduleWakeup(Instant time)
{
    if (m_nextWakeup && *m_nextWakeup <= time)
        return;
    m_nextWakeup = time;
    m_timers.runAt(TimerThread::Time(time.time_since_epoch()), [this, time] {
        const std::lock_guard lock(m_mutex);
        if (m_nextWakeup == time)
            m_nextWakeup.reset();
        answerDueCommands();
    });
}

} // namespace cardamompaddle
