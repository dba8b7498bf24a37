#include "control/request_forwarder.h"

#include "logging/event_log.h"

#include <utility>

namespace cardamompaddle {

namespace {

// A peer should answer as fast as this instance would. After the timeout the outcome is unknown.
constexpr Duration ForwardTimeout{1'200};
constexpr int StatusUnavailable = 503; // not carried out
constexpr int StatusOutcomeUnknown = 504; // may have been carried out

bool isRead(const HttpRequest &request)
{
    return request.method == "GET";
}

HttpResponse toHttpResponse(work::CallerResponse answer)
{
    HttpResponse out;
    out.status = answer.status;
    out.body = std::move(answer.body);
    out.retryAfter = Duration(answer.retryAfterMs);
    return out;
}

} // namespace

RequestForwarder::RequestForwarder(PeerGateway &peers, Sources sources, HttpHandler localHandler)
    : m_peers(peers), m_sources(std::move(sources)), m_localHandler(std::move(localHandler))
{ }

RequestForwarder::~RequestForwarder()
{
    *m_alive = false;
}

void RequestForwarder::handle(const HttpRequest &request, const HttpRespond &respond)
{
    const std::string target = m_sources.logReachable() ? "" : m_sources.target();
    if (target.empty())
        return m_localHandler(request,
                              [this, alive = m_alive, request, respond](HttpResponse local) {
                                  if (*alive)
                                      onLocalAnswer(request, std::move(local), respond);
                              });
    forward(request, target,
            [this, alive = m_alive, request, respond](Result<work::CallerResponse> answer) {
                if (!*alive)
                    return;
                if (answer)
                    return respond(toHttpResponse(std::move(*answer)));
                if (answer.error().code == ErrorCode::OutcomeUnknown && !isRead(request))
                    return respond(
                        errorResponse(StatusOutcomeUnknown, answer.error(), Executed::Unknown));
                m_localHandler(request, respond);
            });
}

void RequestForwarder::onLocalAnswer(const HttpRequest &request, HttpResponse local,
                                     const HttpRespond &respond)
{
    const bool failed = local.status == StatusUnavailable || local.status == StatusOutcomeUnknown;
    const std::string target = failed ? m_sources.target() : "";
    if (target.empty())
        return respond(std::move(local));
    forward(request, target,
            [request, local = std::move(local), respond](Result<work::CallerResponse> answer) {
                // If the request may have been carried out here, a peer's refusal proves nothing.
                const bool noSideEffects = local.status == StatusUnavailable || isRead(request);
                if (answer && (noSideEffects || answer->status < 300))
                    return respond(toHttpResponse(std::move(*answer)));
                if (!answer && answer.error().code == ErrorCode::OutcomeUnknown && noSideEffects
                    && !isRead(request))
                    return respond(
                        errorResponse(StatusOutcomeUnknown, answer.error(), Executed::Unknown));
                respond(local);
            });
}

void RequestForwarder::forward(const HttpRequest &request, const std::string &target,
                               ForwardDone done)
{
    work::CallerRequest out;
    out.method = request.method;
    out.path = request.path;
    out.headers = request.headers;
    out.body = request.body;
    m_peers.forward(target, out, ForwardTimeout,
                    [target, path = request.path, method = request.method,
                     done = std::move(done)](Result<work::CallerResponse> answer) {
                        logInfo("request_relayed",
                                "method=" + method + " path=" + path + " peer=" + target
                                    + " status=" + std::to_string(answer ? answer->status : 0)
                                    + " reason=\"" + (answer ? "" : answer.error().reason) + "\"");
                        done(std::move(answer));
                    });
}

} // namespace cardamompaddle
