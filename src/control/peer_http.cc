#include "control/peer_http.h"

#include "work/codec.h"

#include <map>
#include <string>
#include <utility>

namespace cardamompaddle {

namespace {

constexpr const char *ApprovePath = "/peer/approve";
constexpr const char *RecordsStoredPath = "/peer/records-stored";
constexpr const char *ForwardPath = "/peer/relay";
constexpr const char *CallWorkersPath = "/peer/call-workers";
constexpr const char *AnswerWorkerCallsPath = "/peer/answer-worker-calls";
constexpr Duration RecordsStoredTimeout{600};
constexpr Duration AnswerWorkerCallsTimeout{600};
constexpr const char *ThriftContentType = "application/vnd.apache.thrift.compact";

// Returns a callback that decodes the body of a response for `done`.
template <typename T>
std::function<void(Result<std::string>)> decodedFor(std::function<void(Result<T>)> done)
{
    return [done = std::move(done)](const Result<std::string> &body) {
        if (!body)
            return done(body.error());
        done(decodeRecord<T>(*body));
    };
}

// Returns a callback that reports only whether the call succeeded.
std::function<void(Result<std::string>)> completionFor(std::function<void(Result<void>)> done)
{
    return [done = std::move(done)](const Result<std::string> &body) {
        done(body ? Result<void>() : body.error());
    };
}

template <typename T>
HttpResponse responseWith(const T &answer)
{
    HttpResponse out;
    out.contentType = ThriftContentType;
    out.body = encodeRecord(answer);
    return out;
}

// Returns a handler that decodes a request for `handle`, a function of the struct and of
// HttpRespond.
template <typename T, typename Handle>
HttpHandler decodingHandler(Handle handle)
{
    return [handle = std::move(handle)](const HttpRequest &request, const HttpRespond &respond) {
        const auto decoded = decodeRecord<T>(request.body);
        if (!decoded)
            return respond(errorResponse(decoded.error(), Executed::No));
        handle(*decoded, respond);
    };
}

} // namespace

void PeerHttpClient::post(const std::string &address, const char *path, std::string body,
                          Duration timeout, BodyDone done)
{
    m_http.request(
        address, "POST", path, std::move(body), timeout,
        [done = std::move(done)](const Result<HttpResponse> &response, bool bytesSent) {
            if (!response)
                return done(Error{bytesSent ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable,
                                  response.error().reason});
            if (response->status != 200)
                return done(Error{ErrorCode::Unavailable,
                                  "peer answered with status " + std::to_string(response->status)});
            done(response->body);
        },
        {{"Content-Type", ThriftContentType}});
}

void PeerHttpClient::approve(const std::string &address, const work::ApprovalRequest &request,
                             Duration timeout, Done done)
{
    if (request.newConnection)
        m_http.closeIdleConnections(address);
    post(address, ApprovePath, encodeRecord(request), timeout,
         decodedFor<work::ApprovalAnswer>(std::move(done)));
}

void PeerHttpClient::recordsStored(const std::string &address, const work::StoredRecords &records,
                                   std::function<void(Result<void>)> done)
{
    post(address, RecordsStoredPath, encodeRecord(records), RecordsStoredTimeout,
         completionFor(std::move(done)));
}

void PeerHttpClient::forward(const std::string &address, const work::CallerRequest &request,
                             Duration timeout, ForwardDone done)
{
    post(address, ForwardPath, encodeRecord(request), timeout,
         decodedFor<work::CallerResponse>(std::move(done)));
}

void PeerHttpClient::callWorkers(const std::string &address, const work::WorkerCalls &calls,
                                 Duration timeout, WorkerCallsDone done)
{
    post(address, CallWorkersPath, encodeRecord(calls), timeout,
         decodedFor<work::WorkerCallsReceived>(std::move(done)));
}

void PeerHttpClient::answerWorkerCalls(const std::string &address,
                                       const work::WorkerAnswers &answers,
                                       std::function<void(Result<void>)> done)
{
    post(address, AnswerWorkerCallsPath, encodeRecord(answers), AnswerWorkerCallsTimeout,
         completionFor(std::move(done)));
}

HttpHandler makePeerHandler(PeerHandlers handlers)
{
    std::map<std::string, HttpHandler> byPath;
    byPath[ApprovePath] = decodingHandler<work::ApprovalRequest>(
        [approve = std::move(handlers.approve)](const work::ApprovalRequest &request,
                                                const HttpRespond &respond) {
            approve(request, [respond](const work::ApprovalAnswer &answer) {
                respond(responseWith(answer));
            });
        });
    byPath[RecordsStoredPath] = decodingHandler<work::StoredRecords>(
        [apply = std::move(handlers.recordsStored)](const work::StoredRecords &records,
                                                    const HttpRespond &respond) {
            apply(records);
            respond({});
        });
    byPath[ForwardPath] = decodingHandler<work::CallerRequest>(
        [forward = std::move(handlers.forward)](const work::CallerRequest &caller,
                                                const HttpRespond &respond) {
            forward(caller, [respond](const work::CallerResponse &answer) {
                respond(responseWith(answer));
            });
        });
    byPath[CallWorkersPath] = decodingHandler<work::WorkerCalls>(
        [receive = std::move(handlers.callWorkers)](const work::WorkerCalls &calls,
                                                    const HttpRespond &respond) {
            respond(responseWith(receive(calls)));
        });
    byPath[AnswerWorkerCallsPath] = decodingHandler<work::WorkerAnswers>(
        [receive = std::move(handlers.answerWorkerCalls)](const work::WorkerAnswers &answers,
                                                          const HttpRespond &respond) {
            receive(answers);
            respond({});
        });
    return [byPath = std::move(byPath)](const HttpRequest &request, const HttpRespond &respond) {
        const auto it = byPath.find(request.path);
        if (request.method != "POST" || it == byPath.end())
            return respond(errorResponse({ErrorCode::NotFound, "unknown peer call"}, Executed::No));
        it->second(request, respond);
    };
}

} // namespace cardamompaddle
