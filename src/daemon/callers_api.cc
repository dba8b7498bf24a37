#include "daemon/callers_api.h"

#include "daemon/json_input.h"
#include "jobs/job_record.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <atomic>
#include <charconv>
#include <memory>
#include <utility>

namespace cardamompaddle {
namespace {

constexpr int64_t MaxTimeoutMs = 3'600'000;
constexpr Duration MaxJobWait{60'000};
constexpr int64_t MaxRunTimeMs = 1'000'000'000;
constexpr int64_t MaxResourceAmount = 1'000'000'000;
constexpr std::string_view JobsPrefix = "/v1/jobs/";

void readResources(JsonInput &input, Submission &out)
{
    out.cpuMilli = input.integer("cpu_milli", 0, MaxResourceAmount);
    out.memoryMb = input.integer("memory_mb", 0, MaxResourceAmount);
    out.accelerators = input.integer("accelerators", 0, MaxResourceAmount);
    out.slots = input.integer("slots", 0, MaxResourceAmount);
    out.connections = input.integer("connections", 0, MaxResourceAmount);
}

Result<Submission> parseSubmission(const std::string &body, bool request)
{
    auto input = JsonInput::create(body);
    if (!input)
        return input.error();
    Submission out;
    for (const char *field : {"route", "id"})
        input->require(field);
    out.route = input->text("route").value_or("");
    out.id = input->text("id").value_or("");
    out.payload = input->text("payload").value_or("");
    out.repeatable = input->boolean("repeatable").value_or(true);
    if (request) {
        if (const auto ms = input->integer("timeout_ms", 1, MaxTimeoutMs))
            out.timeout = Duration(*ms);
    } else {
        out.tasks = static_cast<int32_t>(input->integer("tasks", 1, MaxTasksPerJob).value_or(1));
        // The declared run time is validated but not used for placement.
        (void)input->integer("run_ms", 0, MaxRunTimeMs);
    }
    if (auto resources = input->object("resources")) {
        readResources(*resources, out);
        if (const auto it = resources->finish(); !it)
            return it.error();
    }
    if (const auto it = input->finish(); !it)
        return it.error();
    if (out.payload.size() > MaxPayloadBytes)
        return Error{ErrorCode::TooLarge, "payload: longer than 1 MiB"};
    return out;
}

HttpResponse jsonResponse(int status, const boost::json::value &body)
{
    return {status, boost::json::serialize(body), "application/json"};
}

HttpResponse requestResponse(const std::string &id, const RequestAnswer &answer)
{
    if (!answer.ok)
        return errorResponse(answer.error, answer.executed);
    return jsonResponse(200, {{"id", id}, {"output", answer.output}, {"worker", answer.worker}});
}

HttpResponse jobResponse(const Result<JobView> &job, Executed executed, int status)
{
    if (!job)
        return errorResponse(job.error(), executed);
    return jsonResponse(status, {{"id", job->id},
                                 {"state", jobStateName(job->state)},
                                 {"tasks", job->tasks},
                                 {"finished", job->finished},
                                 {"failed", job->failed},
                                 {"running", job->running},
                                 {"reason", job->reason},
                                 {"existed", job->existed}});
}

// State shared by the submission of a quick request and the disconnect of its caller. Either may
// reach the control thread first; the request is cancelled in both cases. Used on the control
// thread only.
struct RequestHandle
{
    uint64_t id = 0; // 0 until the request was submitted
    bool callerDisconnected = false;
};

} // namespace

std::string bearerToken(const HttpRequest &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const auto it = request.headers.find("authorization");
    if (it == request.headers.end() || !it->second.starts_with(Scheme))
        return {};
    return it->second.substr(Scheme.size());
}

CallersApi::CallersApi(CallerService &service, PostToControl post, const Clock &clock)
    : m_service(service), m_post(std::move(post)), m_clock(clock)
{ }

void CallersApi::handle(const HttpRequest &request, const HttpRespond &respond)
{
    const bool isJob = request.path.starts_with(JobsPrefix);
    const std::string id = isJob ? request.path.substr(JobsPrefix.size()) : "";
    if (request.method == "POST" && request.path == "/v1/requests")
        quickRequest(request, respond);
    else if (request.method == "POST" && request.path == "/v1/jobs")
        submitJob(request, respond);
    else if (request.method == "GET" && isJob)
        readJob(request, id, respond);
    else if (request.method == "DELETE" && isJob)
        cancelJob(request, id, respond);
    else
        respond(errorResponse({ErrorCode::NotFound, "no such resource"}, Executed::No));
}

void CallersApi::quickRequest(const HttpRequest &request, const HttpRespond &respond)
{
    auto submission = parseSubmission(request.body, true);
    if (!submission) {
        respond(errorResponse(submission.error(), Executed::No));
        return;
    }
    const auto handle = std::make_shared<RequestHandle>();
    m_post(
        [this, handle, key = bearerToken(request), submission = std::move(*submission), respond]() {
            if (handle->callerDisconnected)
                return;
            handle->id = m_service.request(
                key, submission,
                [respond, id = submission.id](const RequestAnswer &answer, Instant) {
                    respond(requestResponse(id, answer));
                },
                m_clock.now());
        });
    request.clientStatus->onClosed([this, handle]() {
        m_post([this, handle]() {
            handle->callerDisconnected = true;
            if (handle->id != 0)
                m_service.callerDisconnected(handle->id, m_clock.now());
        });
    });
}

void CallersApi::submitJob(const HttpRequest &request, const HttpRespond &respond)
{
    auto submission = parseSubmission(request.body, false);
    if (!submission) {
        respond(errorResponse(submission.error(), Executed::No));
        return;
    }
    m_post([this, key = bearerToken(request), submission = std::move(*submission), respond]() {
        m_service.submit(
            key, submission,
            [respond](const Result<JobView> &job, Executed executed, Instant) {
                respond(jobResponse(job, executed, 202));
            },
            m_clock.now());
    });
}

void CallersApi::readJob(const HttpRequest &request, const std::string &id,
                         const HttpRespond &respond)
{
    int64_t waitMs = 0;
    if (const auto it = request.query.find("wait_ms"); it != request.query.end()) {
        const char *end = it->second.data() + it->second.size();
        const auto parsed = std::from_chars(it->second.data(), end, waitMs);
        if (parsed.ec != std::errc() || parsed.ptr != end || waitMs < 0) {
            respond(errorResponse({ErrorCode::InvalidArgument,
                                   "wait_ms: must be a non-negative number of milliseconds"},
                                  Executed::No));
            return;
        }
    }
    const Duration wait = std::min(Duration(waitMs), MaxJobWait);
    m_post([this, key = bearerToken(request), id, wait, respond]() {
        m_service.job(
            key, id, wait,
            [respond](const Result<JobView> &job, Executed executed, Instant) {
                respond(jobResponse(job, executed, 200));
            },
            m_clock.now());
    });
}

void CallersApi::cancelJob(const HttpRequest &request, const std::string &id,
                           const HttpRespond &respond)
{
    m_post([this, key = bearerToken(request), id, respond]() {
        m_service.cancel(
            key, id,
            [respond](const Result<JobView> &job, Executed executed, Instant) {
                respond(jobResponse(job, executed, 202));
            },
            m_clock.now());
    });
}

} // namespace cardamompaddle
