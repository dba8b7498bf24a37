// Forwards callers' requests to the scheduler's instance while this instance cannot reach the log.
//
// Without the log, an instance can store nothing and its configuration may be outdated. A peer that
// can reach the log is recognized by the records that the scheduler stores.
//
// Not thread-safe: use it only on the event loop's thread.
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
        // Address of a peer that the log answers; empty if none is known.
        std::function<std::string()> target;
    };

    // `peers` must outlive the forwarder. `localHandler` answers requests on this instance.
    RequestForwarder(PeerGateway &peers, Sources sources, HttpHandler localHandler);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    // Answers the request locally or at a peer. If one could not carry it out, the other is tried;
    // a failure there never replaces an outcome that is unknown.
    void handle(const HttpRequest &request, const HttpRespond &respond);

private:
    using ForwardDone = PeerGateway::ForwardDone;
    void forward(const HttpRequest &request, const std::string &target, ForwardDone done);
    // Responds with the local answer, or with a peer's if this instance could not carry the request
    // out.
    void onLocalAnswer(const HttpRequest &request, HttpResponse local, const HttpRespond &respond);

    PeerGateway &m_peers;
    Sources m_sources;
    HttpHandler m_localHandler;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
