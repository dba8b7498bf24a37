// Forwards callers' requests to the scheduler's instance while this instance cannot reach the log,
// and what callers hand in while the log is slow.
//
// Without the log, an instance can store nothing and its configuration may be outdated. A peer that
// can reach the log is recognized by the records that the scheduler stores. A slow log takes few
// appends, so one instance then collects the records of all.
//
// Requests are idempotent. One whose outcome is unknown is therefore repeated, here and at the peer
// by turns, until its outcome is known or its caller's deadline has passed.
//
// Not thread-safe: use it only on the event loop's thread.
#pragma once

#include "control/gateways.h"
#include "net/http_server.h"
#include "platform/worker.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamompaddle {

// Header of a request that a forwarder has made before on behalf of the same caller, here or at a
// peer. In lower case, as in HttpRequest::headers.
inline constexpr const char *RepeatedHeader = "cardamompaddle-repeated";

class RequestForwarder
{
public:
    struct Sources
    {
        std::function<bool()> logReachable; // whether the log answers this instance
        // Address of a peer that the log answers; empty if none is known.
        std::function<std::string()> target;
        // Address of the peer that collects what callers hand in; empty if none does.
        std::function<std::string()> collector;
        // When the caller of a request stops waiting that has just been received.
        std::function<Instant(const HttpRequest &)> deadline;
        // The newest version of the configuration that this instance knows to be in force, and
        // takes note of the one by which a peer has decided.
        std::function<int64_t()> configurationVersion;
        std::function<void(int64_t)> configurationSeen;
    };

    // All references must outlive the forwarder. `localHandler` answers requests on this instance.
    RequestForwarder(boost::asio::io_context &io, const Clock &clock, PeerGateway &peers,
                     Sources sources, HttpHandler localHandler);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder &) = delete;
    RequestForwarder &operator=(const RequestForwarder &) = delete;

    // Answers the request locally or at a peer. If one could not carry it out, the other is tried;
    // a failure there never replaces an outcome that is unknown.
    void handle(const HttpRequest &request, const HttpRespond &respond);

private:
    // A request that has not been answered yet.
    struct Exchange
    {
        HttpRequest request;
        HttpRespond respond;
        Instant deadline;
        int tries = 0;
        bool inDoubt = false; // an earlier try may have carried the request out
        bool triedHere = false; // in this round
        bool triedPeer = false;
        bool toCollector = false; // it was sent to the collector in this round
        std::optional<HttpResponse>
            refusal; // by this instance, if it did not carry the request out
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    void beginRound(const ExchangePtr &exchange);
    // Returns the request for the next try.
    static HttpRequest nextTry(Exchange &exchange);
    void tryHere(const ExchangePtr &exchange);
    void onLocalResponse(const ExchangePtr &exchange, HttpResponse response);
    void tryPeer(const ExchangePtr &exchange, const std::string &target, Duration timeout);
    void onPeerResponse(const ExchangePtr &exchange, Result<work::CallerResponse> answer);
    // Ends a round in which neither this instance nor a peer has settled the request.
    void endRound(const ExchangePtr &exchange);
    // Responds unless the response is a refusal of what may have been carried out. Returns whether
    // it has responded.
    static bool respondIfSettled(const Exchange &exchange, HttpResponse response);

    boost::asio::io_context &m_io;
    const Clock &m_clock;
    PeerGateway &m_peers;
    Sources m_sources;
    HttpHandler m_localHandler;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: callbacks are dropped
};

} // namespace cardamompaddle
