#include "cli/api_client.h"

#include <boost/json/parse.hpp>

#include <optional>
#include <utility>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

// The outcome of one attempt, and whether the request may be sent to another address.
struct Attempt
{
    ApiOutcome outcome;
    bool mayTryNextAddress = false;
};

std::string stringField(const json::object &object, std::string_view name)
{
    const json::value *it = object.if_contains({name.data(), name.size()});
    return it != nullptr && it->is_string() ? std::string(it->as_string()) : std::string();
}

Attempt classifyTransportError(const std::string &address, const Error &error, bool isRead)
{
    Attempt out;
    out.outcome.message =
        error.reason.starts_with(address) ? error.reason : address + ": " + error.reason;
    if (error.code == ErrorCode::InvalidArgument) {
        out.outcome.exitCode = ExitCode::Usage;
    } else if (error.code == ErrorCode::Unavailable) {
        out.outcome.exitCode = ExitCode::Unreachable;
        out.outcome.transient = true;
        out.mayTryNextAddress = true;
    } else {
        // A read has no side effects, so its outcome is not in doubt and it can be retried.
        out.outcome.exitCode = isRead ? ExitCode::Unreachable : ExitCode::OutcomeUnknown;
        out.outcome.transient = isRead;
        out.mayTryNextAddress = isRead;
    }
    return out;
}

ExitCode exitCodeFor(std::optional<ErrorCode> error, const std::string &executed, bool isRead)
{
    if (error == ErrorCode::Conflict)
        return ExitCode::Conflict;
    if (error == ErrorCode::Failed || error == ErrorCode::Cancelled)
        return ExitCode::Failed;
    if (executed == executedName(Executed::No))
        return ExitCode::Refused;
    return isRead ? ExitCode::Failed : ExitCode::OutcomeUnknown;
}

Attempt classifyErrorResponse(const HttpResponse &response, const json::value &body, bool isRead)
{
    Attempt out;
    const json::object empty;
    const json::object &object = body.is_object() ? body.get_object() : empty;
    const std::string name = stringField(object, "error");
    const std::string executed = stringField(object, "executed");
    const std::optional<ErrorCode> error = errorFromName(name);
    out.outcome.exitCode = exitCodeFor(error, executed, isRead);
    out.outcome.message = name.empty() ? "status " + std::to_string(response.status)
                                       : name + ": " + stringField(object, "message");
    if (error == ErrorCode::Unavailable && executed == executedName(Executed::No)) {
        out.outcome.transient = true;
        out.mayTryNextAddress = true;
    }
    return out;
}

Attempt classifyResponse(const HttpResponse &response, bool isRead)
{
    json::error_code ec;
    json::value body = json::parse(response.body, ec);
    if (response.status < 200 || response.status > 299) {
        Attempt out = classifyErrorResponse(response, ec ? json::value() : body, isRead);
        out.outcome.text = response.body;
        return out;
    }
    Attempt out;
    out.outcome.text = response.body;
    if (ec) {
        out.outcome.exitCode = isRead ? ExitCode::Failed : ExitCode::OutcomeUnknown;
        out.outcome.message = "the response is not valid JSON: " + ec.message();
    }
    out.outcome.body = std::move(body);
    return out;
}

} // namespace

ApiClient::ApiClient(HttpCall &http, std::vector<std::string> addresses, std::string bearer)
    : m_http(http), m_addresses(std::move(addresses)), m_bearer(std::move(bearer))
{ }

ApiOutcome ApiClient::call(ApiRequest request) const
{
    request.bearer = m_bearer;
    const bool isRead = request.method == "GET";
    Attempt last;
    last.outcome.exitCode = ExitCode::Usage;
    last.outcome.message = "no server address given";
    for (const std::string &address : m_addresses) {
        const Result<HttpResponse> response = m_http.send(address, request);
        last = response ? classifyResponse(*response, isRead)
                        : classifyTransportError(address, response.error(), isRead);
        if (!last.mayTryNextAddress)
            break;
    }
    return last.outcome;
}

} // namespace cardamompaddle
