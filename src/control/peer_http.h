// Calls between entry instances: HTTP requests with Thrift structs as bodies.
#pragma once

#include "control/gateways.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>

namespace cardamompaddle {

// Sends calls to peers over HTTP.
class PeerHttpClient : public PeerGateway
{
public:
    // `http` must outlive the client.
    explicit PeerHttpClient(HttpClient &http) : m_http(http) { }
    void approve(const std::string &address, const work::ApprovalRequest &request, Duration timeout,
                 Done done) override;
    void recordsStored(const std::string &address, const work::StoredRecords &records,
                       std::function<void(Result<void>)> done) override;
    void forward(const std::string &address, const work::CallerRequest &request, Duration timeout,
                 ForwardDone done) override;
    void callWorkers(const std::string &address, const work::WorkerCalls &calls, Duration timeout,
                     WorkerCallsDone done) override;
    void answerWorkerCalls(const std::string &address, const work::WorkerAnswers &answers,
                           std::function<void(Result<void>)> done) override;

private:
    // Receives the body of a response with status 200. Errors: Unavailable if the peer certainly
    // did not handle the call, OutcomeUnknown.
    using BodyDone = std::function<void(Result<std::string>)>;
    void post(const std::string &address, const char *path, std::string body, Duration timeout,
              BodyDone done);

    HttpClient &m_http;
};

// Handlers of the calls that peers make to this instance.
struct PeerHandlers
{
    std::function<void(const work::ApprovalRequest &, std::function<void(work::ApprovalAnswer)>)>
        approve;
    std::function<void(const work::StoredRecords &)> recordsStored;
    std::function<void(const work::CallerRequest &, std::function<void(work::CallerResponse)>)>
        forward;
    std::function<work::WorkerCallsReceived(const work::WorkerCalls &)> callWorkers;
    std::function<void(const work::WorkerAnswers &)> answerWorkerCalls;
};
// Returns an HTTP handler that decodes the calls for `handlers` and answers 404 to other requests.
HttpHandler makePeerHandler(PeerHandlers handlers);

} // namespace cardamompaddle
