#include "net/http_worker_client.h"

#include "net/worker_protocol.h"

#include <utility>

namespace cardamompaddle {
namespace {

Result<SessionGrant> toSessionResult(const Result<HttpResponse> &response)
{
    if (!response)
        return Error{ErrorCode::Unavailable, response.error().reason};
    if (response->status == 409)
        return Error{ErrorCode::Conflict, "another session is active: " + response->body};
    if (response->status != 200)
        return Error{ErrorCode::Unavailable, "the worker rejected the session: " + response->body};
    auto grant = decodeSessionGrant(response->body);
    if (!grant)
        return Error{ErrorCode::Unavailable, grant.error().reason};
    return grant;
}

Result<WorkerReport> toCommandResult(const Result<HttpResponse> &response, bool bytesSent)
{
    if (!response)
        return Error{bytesSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                     response.error().reason};
    if (response->status == 403)
        return Error{ErrorCode::PermissionDenied, "stale command: " + response->body};
    // The worker validates the whole batch before it acts on any part of it, so nothing was done.
    if (response->status == 400 || response->status == 408 || response->status == 413)
        return Error{ErrorCode::InvalidArgument,
                     "the worker rejected the command: " + response->body};
    if (response->status == 503)
        return Error{ErrorCode::Unavailable, "the worker is overloaded: " + response->body};
    auto report = decodeWorkerReport(response->body);
    if (response->status != 200 || !report)
        return Error{ErrorCode::OutcomeUnknown,
                     "the worker responded with status " + std::to_string(response->status)};
    return report;
}

} // namespace

HttpWorkerClient::HttpWorkerClient(HttpClient &client, HttpWorkerOptions options,
                                   const Clock &clock)
    : m_client(client), m_options(options), m_clock(clock)
{ }

void HttpWorkerClient::acquire(const WorkerInfo &worker, const SessionRequest &request,
                               SessionDone done)
{
    m_client.request(
        worker.address, "POST", "/session", encodeSessionRequest(request), m_options.timeout,
        [done = std::move(done), &clock = m_clock](const Result<HttpResponse> &response, bool) {
            done(toSessionResult(response), clock.now());
        });
}

void HttpWorkerClient::command(const WorkerInfo &worker, WorkerCommand batch, CommandDone done)
{
    m_client.request(worker.address, "POST", "/commands", encodeWorkerCommand(batch),
                     m_options.timeout + batch.waitForFinish,
                     [done = std::move(done),
                      &clock = m_clock](const Result<HttpResponse> &response, bool bytesSent) {
                         done(toCommandResult(response, bytesSent), clock.now());
                     });
}

} // namespace cardamompaddle
