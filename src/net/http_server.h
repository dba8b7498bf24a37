// An HTTP/1.1 server on its own traffic threads, or on the caller's event loop.
//
// Malformed, slow and oversized requests never reach the handler; they are answered with a typed
// error (errorResponse) of status 400, 408 or 413 and executed "no".
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
    std::string address; // IP:PORT; port 0: chosen by the system
    int threads = 2;
    size_t maxBodyBytes = 1024UL * 1024;
    size_t maxHeaderBytes = 16UL * 1024;
    Duration readTimeout{10'000}; // from the first byte of a request to its last
    Duration writeTimeout{10'000}; // for the whole response
    Duration idleTimeout{60'000}; // between requests of one connection
    size_t maxConnections = 10'000; // further ones are answered 503 and closed
};

// Answers one request. May be called once, from any thread; later calls are ignored. If every copy
// is destroyed without a call, the caller gets status 500, executed "unknown".
using HttpRespond = std::function<void(HttpResponse)>;
// Called on a traffic thread for each whole request, concurrently for different connections. Must
// not block.
using HttpHandler = std::function<void(HttpRequest request, HttpRespond respond)>;

class HttpServer
{
public:
    // Binds and starts the threads. Errors: InvalidArgument for a malformed address, Unavailable if
    // it cannot be bound.
    static Result<std::unique_ptr<HttpServer>> create(HttpServerOptions options,
                                                      HttpHandler handler);
    // As above without threads: handlers run on the one thread that runs `io`, which must outlive
    // the server. Every call of this class is made on that thread.
    static Result<std::unique_ptr<HttpServer>>
    create(boost::asio::io_context &io, HttpServerOptions options, HttpHandler handler);
    // Calls stop().
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // The bound port.
    uint16_t port() const;
    // Closes the listener after taking in the connections that the system had already accepted.
    // Requests in flight and on open connections are still handled and answered with
    // "Connection: close". Returns when the listener is closed. Thread-safe, but not to be called
    // from a handler.
    void stopAccepting();
    // Requests of which at least one byte was read and whose response is not yet written in full.
    size_t openRequests() const;
    size_t openConnections() const;
    // Closes every connection and joins the threads; requests in flight get no answer. Not to be
    // called from a handler.
    void stop();

private:
    class Impl;
    static Result<std::unique_ptr<HttpServer>> start(std::unique_ptr<Impl> impl);
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
