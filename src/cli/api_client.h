// Sends a request to one of several equivalent addresses and maps the response to an exit code.
#pragma once

#include "cli/exit_code.h"
#include "cli/http_call.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace cardamompaddle {

// Result of a call.
struct ApiOutcome
{
    ExitCode exitCode = ExitCode::Done;
    std::string text; // body of the response, unchanged; empty without a response
    boost::json::value body; // parsed response; set only if done()
    std::string message; // error message for the user; empty if done()
    bool transient = false; // retrying the same call later may succeed

    bool done() const { return exitCode == ExitCode::Done; }
};

class ApiClient
{
public:
    // `http` must outlive the client. An empty `bearer` sends no Authorization header.
    ApiClient(HttpCall &http, std::vector<std::string> addresses, std::string bearer);

    // Sends `request` to the first address. Tries the next address only if nothing was sent, if the
    // response is an `unavailable` error with `executed` "no", or if a GET received no complete
    // response.
    ApiOutcome call(ApiRequest request) const;

private:
    HttpCall &m_http;
    std::vector<std::string> m_addresses;
    std::string m_bearer;
};

} // namespace cardamompaddle
