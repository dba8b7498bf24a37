// One connection of the HTTP server.
#pragma once

#include "net/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <unordered_set>

namespace cardamompaddle {

class HttpSession;

// State shared by the sessions of one server. `options` and `handler` do not change once the first
// session has started.
struct HttpServerShared
{
    HttpServerOptions options;
    HttpHandler handler;
    std::atomic<size_t> openRequests{0};
    // A response carries "Connection: close" unless the next request on its connection has arrived.
    std::atomic<bool> closing{false};
    std::atomic<bool> closingIdle{false}; // connections without a request are ended

    // Held shared while an HttpRespond posts a response to a session, exclusively to clear
    // `acceptsResponses` when the server stops.
    std::shared_mutex responseMutex;
    bool acceptsResponses = true; // guarded by responseMutex

    std::mutex mutex;
    std::unordered_set<std::shared_ptr<HttpSession>> sessions; // guarded by mutex
};

// Serves an accepted connection. If `reject` is true, responds with status 503 and closes it.
void startHttpSession(boost::asio::ip::tcp::socket socket,
                      const std::shared_ptr<HttpServerShared> &shared, bool reject);

// Ends the connections on which no request has arrived. Thread-safe.
void closeIdleHttpSessions(HttpServerShared &shared);

// Responds to all requests that are being handled. Thread-safe.
void abandonHttpRequests(HttpServerShared &shared, const AbandonedResponse &responseTo);

// Closes all connections. Must be called after the threads of the io_context have ended, or on the
// one thread that runs it.
void closeHttpSessions(HttpServerShared &shared);

} // namespace cardamompaddle
