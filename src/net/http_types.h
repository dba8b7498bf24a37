// HTTP request and response types and helpers, shared by the server and the client.
#pragma once

#include "base/error.h"
#include "base/time.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cardamompaddle {

// Reports whether the client of one request closed its connection before the response was written.
// Thread-safe.
class ClientConnectionStatus
{
public:
    // True once the client has closed its connection.
    bool isClosed() const;
    // Registers `callback`, which runs once when the client closes its connection. It runs on a
    // server thread, or immediately on the calling thread if the connection is already closed. It
    // is dropped without a call when the response is written. A later callback replaces an earlier
    // one.
    void onClosed(std::function<void()> callback);

    // For the server only.
    void markClosed();
    void markResponded();

private:
    mutable std::mutex m_mutex;
    std::function<void()> m_callback;
    bool m_closed = false;
    bool m_responded = false;
};

// A complete request as received.
struct HttpRequest
{
    std::string method; // as sent, for example "GET"
    std::string path; // the part of the target before '?', percent-decoded
    // Percent-decoded. The last of several parameters with the same name wins.
    std::map<std::string, std::string> query;
    // Names are in lower case. Values of repeated headers are joined by ", ".
    std::map<std::string, std::string> headers;
    std::string body;
    std::shared_ptr<ClientConnectionStatus> clientStatus; // never null in a handler
};

// A complete response. A handler that responds with status 0 makes the server close the connection
// without a response; stand-ins use this to simulate lost responses.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    // If positive, the server sends it as Retry-After, rounded up to whole seconds.
    Duration retryAfter{0};
};

// Builds an error response with the body
// {"error": NAME, "message": ..., "executed": "no"|"unknown"}.
HttpResponse errorResponse(int status, const Error &error, Executed executed);
// Returns the HTTP status for `code`, for example 429 for Overloaded.
int httpStatus(ErrorCode code);
// As above, with the status httpStatus(error.code).
HttpResponse errorResponse(const Error &error, Executed executed);

// Splits a request target into path and query, decodes both and stores them in `request`. Returns
// false if a percent escape is malformed.
bool parseTarget(std::string_view target, HttpRequest &request);
// Percent-encodes every byte except ASCII letters, digits and "-._~".
std::string percentEncode(std::string_view text);

struct HostPort
{
    std::string host;
    uint16_t port = 0;
};
// Splits "HOST:PORT" or "[IPv6]:PORT" without checking that the host is an IP address. Returns
// false if the address is malformed.
bool parseHostPort(std::string_view address, HostPort &out);

} // namespace cardamompaddle
