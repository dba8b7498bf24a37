#include "control/request_forwarder.h"

#include "logging/event_log.h"

#include <utility>

namespace cardamompaddle {

namespace {

// The peer answers as fast as this instance would; beyond that its outcome counts as unknown.
constexpr Duration RelayTimeout{1'200};
constexpr int Unavailable = 503; // surely not carried out
constexpr int Unknown = 504; // may have been carried out

bool isRead(const HttpRequest &request)
{
    return request.method == "GET";
}

HttpResponse fromPeer(work::CallerResponse answer)
{
    HttpResponse out;
    out.status = answer.status;
    out.body = std::move(answer.body);
    out.retryAfter = Duration(answer.retryAfterMs);
    return out;
}

} // namespace

RequestForwarder::RequestForwarder(PeerGateway &peers, Sources sources, HttpHandler own)
    : m_peers(peers), m_sources(std::move(sources)), m_own(std::move(own))
{ }

RequestForwarder::~RequestForwarder()
{
    *m_alive = false;
}

void RequestForwarder::handle(const HttpRequest &request, const HttpRespond &respond)
{
    const std::string target = m_sources.logReachable() ? "" : m_sources.target();
    if (target.empty())
        return m_own(request, [this, alive = m_alive, request, respond](HttpResponse own) {
            if (*alive)
                afterOwn(request, std::move(own), respond);
        });
    forward(request, target,
            [this, alive = m_alive, request, respond](Result<work::CallerResponse> answer) {
                if (!*alive)
                    return;
                if (answer)
                    return respond(fromPeer(std::move(*answer)));
                if (answer.error().code == ErrorCode::OutcomeUnknown && !isRead(request))
                    return respond(errorResponse(Unknown, answer.error(), Executed::Unknown));
                m_own(request, respond);
            });
}

// A request that this instance could not carry out is answered by a peer, if it can.
void RequestForwarder::afterOwn(const HttpRequest &request, HttpResponse own,
                                const HttpRespond &respond)
{
    const bool failed = own.status == Unavailable || own.status == Unknown;
    const std::string target = failed ? m_sources.target() : "";
    if (target.empty())
        return respond(std::move(own));
    forward(request, target,
            [request, own = std::move(own), respond](Result<work::CallerResponse> answer) {
                // What may have been carried out here is not undone by a peer's refusal.
                const bool certain = own.status == Unavailable || isRead(request);
                if (answer && (certain || answer->status < 300))
                    return respond(fromPeer(std::move(*answer)));
                if (!answer && answer.error().code == ErrorCode::OutcomeUnknown && certain
                    && !isRead(request))
                    return respond(errorResponse(Unknown, answer.error(), Executed::Unknown));
                respond(own);
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
    m_peers.forward(target, out, RelayTimeout,
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
