// An asynchronous HTTP/1.1 client with a pool of keep-alive connections.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/http_types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cardamompaddle {

// Whether `address` is an "IP:PORT" to which a client can connect: of a single host and with a port
// from 1 on.
bool isHostAddress(const std::string &address);

struct HttpClientOptions
{
    size_t maxIdlePerAddress = 8;
    // Shorter than the servers' idle timeout, so that the client rarely reuses a connection that
    // the server is about to close.
    Duration idleTimeout{5'000};
    Duration connectTimeout{1'000};
    size_t maxBodyBytes = 64UL * 1024 * 1024; // of a response body
};

// Sends requests over pooled connections. Not thread-safe: all calls and callbacks happen on the
// thread that runs the io_context.
//
// The client never retries a request. It checks a pooled connection before use and replaces one
// that the server has closed. If a connection breaks later, the request fails with OutcomeUnknown.
//
// A connection can go silent without being closed, for example when a link loses all packets. When
// a request times out, the client closes the idle connections to the same address that have served
// nothing since that request was started, so that one timeout suffices for all of them.
class HttpClient
{
public:
    // `bytesSent` is false only if no byte of the request was written to the socket. Errors:
    // - InvalidArgument: the address is malformed (`bytesSent` is false).
    // - Unavailable: the connection could not be established (`bytesSent` is false).
    // - OutcomeUnknown: the response is missing, truncated, malformed or too long.
    using Done = std::function<void(Result<HttpResponse> response, bool bytesSent)>;

    explicit HttpClient(boost::asio::io_context &io, HttpClientOptions options = {});
    // Closes all connections. Drops the callbacks of unfinished requests without running them.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends one request to `address`, an "IP:PORT". `timeout` bounds the time from this call to the
    // end of the response. `done` runs once, after this call has returned.
    void request(const std::string &address, const std::string &method, const std::string &target,
                 std::string body, Duration timeout, Done done,
                 const std::map<std::string, std::string> &headers = {});
    // Closes the idle connections to `address`, so that the requests from now on use connections
    // that are opened from now on, or that serve a request in flight and then prove to work. For
    // callers that suspect a silent connection before a request times out.
    void closeIdleConnections(const std::string &address);
    // Returns the number of open connections in the pool, in use by no request.
    size_t idleConnections() const;

    class Impl; // public for http_client.cc only

private:
    std::shared_ptr<Impl> m_impl;
};

} // namespace cardamompaddle
