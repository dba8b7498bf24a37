#include "control/peer_http.h"

#include "logging/event_log.h"
#include "work/codec.h"

#include <utility>

namespace cardamompaddle {

namespace {

constexpr const char *ApprovePath = "/peer/approve";
constexpr const char *RecordsStoredPath = "/peer/records-stored";
constexpr const char *ForwardPath = "/peer/relay";
constexpr Duration RecordsStoredTimeout{600};
constexpr const char *ThriftContentType = "application/vnd.apache.thrift.compact";

} // namespace

void PeerHttpClient::approve(const std::string &address, const work::ApprovalRequest &request,
                             Duration timeout, Done done)
{
    m_http.request(
        address, "POST", ApprovePath, encodeRecord(request), timeout,
        [done = std::move(done)](const Result<HttpResponse> &response, bool) {
            if (!response)
                return done(response.error());
            if (response->status != 200)
                return done(Error{ErrorCode::Unavailable,
                                  "peer answered with status " + std::to_string(response->status)});
            done(decodeRecord<work::ApprovalAnswer>(response->body));
        },
        {{"Content-Type", ThriftContentType}});
}

void PeerHttpClient::recordsStored(const std::string &address, const work::StoredRecords &records,
                                   std::function<void(Result<void>)> done)
{
    m_http.request(
        address, "POST", RecordsStoredPath, encodeRecord(records), RecordsStoredTimeout,
        [done = std::move(done)](const Result<HttpResponse> &response, bool) {
            if (!response)
                return done(response.error());
            if (response->status != 200)
                return done(Error{ErrorCode::Unavailable,
                                  "peer answered with status " + std::to_string(response->status)});
            done({});
        },
        {{"Content-Type", ThriftContentType}});
}

void PeerHttpClient::forward(const std::string &address, const work::CallerRequest &request,
                             Duration timeout, ForwardDone done)
{
    m_http.request(
        address, "POST", ForwardPath, encodeRecord(request), timeout,
        [done = std::move(done)](const Result<HttpResponse> &response, bool bytesSent) {
            if (!response)
                return done(Error{bytesSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                                  response.error().reason});
            if (response->status != 200)
                return done(Error{ErrorCode::Unavailable,
                                  "peer answered with status " + std::to_string(response->status)});
            done(decodeRecord<work::CallerResponse>(response->body));
        },
        {{"Content-Type", ThriftContentType}});
}

HttpHandler makePeerHandler(PeerHandlers handlers)
{
    return [handlers = std::move(handlers)](const HttpRequest &request,
                                            const HttpRespond &respond) {
        if (request.method == "POST" && request.path == RecordsStoredPath) {
            const auto records = decodeRecord<work::StoredRecords>(request.body);
            if (!records)
                return respond(errorResponse(records.error(), Executed::No));
            handlers.recordsStored(*records);
            return respond({});
        }
        if (request.method == "POST" && request.path == ForwardPath) {
            const auto caller = decodeRecord<work::CallerRequest>(request.body);
            if (!caller)
                return respond(errorResponse(caller.error(), Executed::No));
            return handlers.forward(*caller, [respond](const work::CallerResponse &answer) {
                HttpResponse out;
                out.contentType = ThriftContentType;
                out.body = encodeRecord(answer);
                respond(std::move(out));
            });
        }
        if (request.method != "POST" || request.path != ApprovePath)
            return respond(errorResponse({ErrorCode::NotFound, "unknown peer call"}, Executed::No));
        const auto decoded = decodeRecord<work::ApprovalRequest>(request.body);
        if (!decoded)
            return respond(errorResponse(decoded.error(), Executed::No));
        handlers.approve(*decoded, [respond](const work::ApprovalAnswer &answer) {
            HttpResponse out;
            out.contentType = ThriftContentType;
            out.body = encodeRecord(answer);
            respond(std::move(out));
        });
    };
}

} // namespace cardamompaddle
