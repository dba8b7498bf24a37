// Interface for the HTTP request that a command sends, so that tests can replace the network.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/http_types.h"

#include <string>

namespace cardamompaddle {

// A request to the operators' or callers' HTTP API.
struct ApiRequest
{
    std::string method = "GET";
    std::string target{}; // path and query, percent-encoded
    std::string body{};
    std::string bearer{}; // bearer token of the Authorization header; empty sends no header
    Duration timeout{10'000}; // from connecting to the end of the response
};

class HttpCall
{
public:
    virtual ~HttpCall() = default;
    // Sends `request` once to `address`, an "IP:PORT", and waits for the complete response. Errors:
    // Unavailable if no byte was sent, OutcomeUnknown if the response is missing or truncated,
    // InvalidArgument for a malformed address.
    virtual Result<HttpResponse> send(const std::string &address, const ApiRequest &request) = 0;
};

} // namespace cardamompaddle
