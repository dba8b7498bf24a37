#include "control/peer_http.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <utility>

namespace cardamompaddle {

namespace {

constexpr const char *ApprovePath = "/peer/approve";
constexpr const char *JobsStoredPath = "/peer/jobs-stored";
constexpr Duration HintTimeout{1'000};
constexpr const char *ThriftType = "application/vnd.apache.thrift.compact";

} // namespace

void PeerHttpClient::approve(const std::string &address, const work::ApprovalRequest &request,
                             Duration timeout, Done done)
{
    m_http.request(address, "POST", ApprovePath, encodeRecord(request), timeout,
                   [done = std::move(done)](const Result<HttpResponse> &response, bool) {
                       if (!response)
                           return done(response.error());
                       if (response->status != 200)
                           return done(Error{ErrorCode::Unavailable,
                                             "status " + std::to_string(response->status)});
                       done(decodeRecord<work::ApprovalAnswer>(response->body));
                   },
                   {{"Content-Type", ThriftType}});
}

void PeerHttpClient::jobsStored(const std::string &address)
{
    // A lost hint costs the time until the scheduler's next read.
    m_http.request(address, "POST", JobsStoredPath, "", HintTimeout,
                   [address](const Result<HttpResponse> &response, bool) {
                       if (!response)
                           logWarn("hint_failed", "peer=" + address + " reason=\""
                                                      + response.error().reason + "\"");
                   });
}

HttpHandler makePeerHandler(PeerHandlers handlers)
{
    return
        [handlers = std::move(handlers)](const HttpRequest &request, const HttpRespond &respond) {
            if (request.method == "POST" && request.path == JobsStoredPath) {
                handlers.jobsStored();
                return respond({});
            }
            if (request.method != "POST" || request.path != ApprovePath)
                return respond(errorResponse({ErrorCode::NotFound, "no such call"}, Executed::No));
            const auto decoded = decodeRecord<work::ApprovalRequest>(request.body);
            if (!decoded)
                return respond(errorResponse(decoded.error(), Executed::No));
            handlers.approve(*decoded, [respond](const work::ApprovalAnswer &answer) {
                HttpResponse out;
                out.contentType = ThriftType;
                out.body = encodeRecord(answer);
                respond(std::move(out));
            });
        };
}

} // namespace cardamompaddle
