// Lets the scheduler's instance answer callers while this one cannot reach the log.
//
// An instance without the log can store nothing and may hold an outdated configuration; one that
// can is told by what the scheduler stores. Not thread-safe: the event loop's thread only.
#pragma once

#include "control/gateways.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamompaddle {

class RequestForwarder
{
public:
    struct Sources
    {
        std::function<bool()> logReachable; // whether the log answers this instance
        std::function<std::string()> target; // address of a peer that it answers; empty: none known
    };

    // `peers` must outlive the forwarder. `own` answers a request here.
    RequestForwarder(PeerGateway &peers, Sources sources, HttpHandler own);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    // Answers the request here, at a peer, or here and then at a peer.
    void handle(const HttpRequest &request, const HttpRespond &respond);

private:
    using ForwardDone = PeerGateway::ForwardDone;
    void forward(const HttpRequest &request, const std::string &target, ForwardDone done);
    void afterOwn(const HttpRequest &request, HttpResponse own, const HttpRespond &respond);

    PeerGateway &m_peers;
    Sources m_sources;
    HttpHandler m_own;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace cardamompaddle
