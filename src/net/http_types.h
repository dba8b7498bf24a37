// HTTP requests and responses as values, shared by the server and the clients.
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

// Tells whether the caller of one request closed its connection before the answer. Thread-safe.
class CallerGone
{
public:
    // True once the caller has closed.
    bool gone() const;
    // Calls `callback` once when the caller closes, on a traffic thread, or at once on this thread
    // if it already has. The callback is dropped when the request is answered. At most one callback
    // is kept; a later one replaces it.
    void onGone(std::function<void()> callback);

    // For the server: the caller closed, or the request was answered.
    void fire();
    void settle();

private:
    mutable std::mutex m_mutex;
    std::function<void()> m_callback;
    bool m_gone = false;
    bool m_settled = false;
};

// A whole request as received.
struct HttpRequest
{
    std::string method; // upper case
    std::string path; // part of the target before '?', percent-decoded
    std::map<std::string, std::string> query; // percent-decoded; the last of equal names wins
    std::map<std::string, std::string> headers; // names in lower case; values of equal names are
                                                // joined by ", "
    std::string body;
    std::shared_ptr<CallerGone> callerGone; // never null in a handler
};

// A whole response. Status 0, on the server's side, closes the connection without an answer; it
// serves stand-ins that lose answers.
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    // Sent as Retry-After, rounded up to whole seconds, if not zero.
    Duration retryAfter{0};
};

// The JSON body of every error: {"error": NAME, "message": ..., "executed": "no"|"unknown"}.
HttpResponse errorResponse(int status, const Error &error, Executed executed);
// The HTTP status that stands for `code`, for example 429 for Overloaded.
int httpStatus(ErrorCode code);
// errorResponse with the status of the error's code.
HttpResponse errorResponse(const Error &error, Executed executed);

// Splits a request target into path and query and decodes both. False if an escape is malformed.
bool parseTarget(std::string_view target, HttpRequest &request);
// Percent-encodes everything but letters, digits and "-._~".
std::string percentEncode(std::string_view text);

// A parsed IP:PORT.
struct HostPort
{
    std::string host;
    uint16_t port = 0;
};
// Splits "IP:PORT" or "[IPv6]:PORT"; false if malformed.
bool parseHostPort(std::string_view address, HostPort &out);

} // namespace cardamompaddle
