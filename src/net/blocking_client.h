// A synchronous HTTP request, for command-line tools and tests.
#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/http_types.h"

#include <map>
#include <string>

namespace cardamompaddle {

// Sends one request to `address`, an "IP:PORT", on a new connection and waits at most `timeout` for
// the complete response. Errors as HttpClient::Done. Thread-safe.
Result<HttpResponse> blockingRequest(const std::string &address, const std::string &method,
                                     const std::string &target, std::string body, Duration timeout,
                                     const std::map<std::string, std::string> &headers = {});

} // namespace cardamompaddle
