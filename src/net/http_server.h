// An HTTP/1.1 server that runs on its own threads or on an event loop of its owner.
//
// Malformed, slow and oversized requests do not reach the handler. The server responds to them with
// status 400, 408 or 413 and an errorResponse() body whose "executed" is "no".
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/http_types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cardamompaddle {

struct HttpServerOptions
{
    std::string address; // IP:PORT to listen on; port 0 lets the system choose
    int threads = 2; // at least one is started; unused on an event loop of the owner
    size_t maxBodyBytes = 1024UL * 1024;
    size_t maxHeaderBytes = 16UL * 1024;
    Duration readTimeout{10'000}; // from the first to the last byte of a request
    Duration writeTimeout{10'000}; // for the whole response
    Duration idleTimeout{60'000}; // between requests of one connection
    // A connection above this limit gets status 503 and is closed. Above twice the limit it is
    // closed without a response.
    size_t maxConnections = 10'000;
};

// Sends the response to one request. Thread-safe. Only the first call has an effect. If every copy
// is destroyed without a call, the client gets status 500 with "executed" set to "unknown".
using HttpRespond = std::function<void(HttpResponse)>;
// Handles one complete request. Called on a server thread, concurrently for different connections.
// Must not block.
using HttpHandler = std::function<void(HttpRequest request, HttpRespond respond)>;
// Returns the response to a request of this method that its handler has not responded to.
using AbandonedResponse = std::function<HttpResponse(const std::string &method)>;

class HttpServer
{
public:
    // Binds the address and starts the server threads. Errors: InvalidArgument if the address is
    // malformed, Unavailable if it cannot be bound.
    static Result<std::unique_ptr<HttpServer>> create(HttpServerOptions options,
                                                      HttpHandler handler);
    // As above, but starts no threads: handlers run on the one thread that runs `io`. `io` must
    // outlive the server, and all member functions must be called on that thread.
    static Result<std::unique_ptr<HttpServer>>
    create(boost::asio::io_context &io, HttpServerOptions options, HttpHandler handler);
    // Calls stop().
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Returns the port that the server listens on.
    uint16_t port() const;
    // Stops listening, after accepting the connections that are already in the system's backlog.
    // Requests in flight and further requests on open connections are still handled. A response
    // carries "Connection: close" unless the next request on its connection has arrived. Returns
    // once the listening socket is closed. Thread-safe. Must not be called from a handler.
    void stopAccepting();
    // Ends, now and from now on, connections on which no request has arrived. Their clients see the
    // end of the stream; a connection that a client does not close then is closed a second later.
    // Thread-safe.
    void closeIdleConnections();
    // Responds to all requests that are being handled with the result of `responseTo`; later
    // responses of their handlers have no effect. Thread-safe.
    void abandonRequests(const AbandonedResponse &responseTo);
    // Returns the number of requests that have been read at least in part and whose response has
    // not been completely written.
    size_t openRequests() const;
    size_t openConnections() const;
    // Closes all connections and joins the threads. Requests in flight get no response. Must not be
    // called from a handler.
    void stop();

private:
    class Impl;
    static Result<std::unique_ptr<HttpServer>> start(std::unique_ptr<Impl> impl);
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
