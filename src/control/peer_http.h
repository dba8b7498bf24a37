// Calls between entry instances: Thrift structs as the bodies of HTTP requests.
#pragma once

#include "control/gateways.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>

namespace cardamompaddle {

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

private:
    HttpClient &m_http;
};

// Handles a peer's calls; anything else is answered 404.
struct PeerHandlers
{
    std::function<void(const work::ApprovalRequest &, std::function<void(work::ApprovalAnswer)>)>
        approve;
    std::function<void(const work::StoredRecords &)> recordsStored;
    std::function<void(const work::CallerRequest &, std::function<void(work::CallerResponse)>)>
        forward;
};
HttpHandler makePeerHandler(PeerHandlers handlers);

} // namespace cardamompaddle
