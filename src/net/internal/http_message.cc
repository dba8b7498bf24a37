#include "net/internal/http_message.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace cardamompaddle {

namespace http = boost::beast::http;

Result<HttpRequest> toHttpRequest(HttpRequestMessage &message)
{
    HttpRequest out;
    out.method = std::string(message.method_string());
    for (const auto &field : message) {
        std::string &value = out.headers[boost::to_lower_copy(std::string(field.name_string()))];
        value += (value.empty() ? "" : ", ") + std::string(field.value());
    }
    const auto target = message.target();
    if (!parseTarget({target.data(), target.size()}, out))
        return Error{ErrorCode::InvalidArgument, "malformed request target"};
    out.body = std::move(message.body());
    return out;
}

HttpResponseMessage toMessage(HttpResponse response, bool keepAlive, bool isHead)
{
    HttpResponseMessage out;
    out.version(11);
    out.result(static_cast<unsigned>(response.status));
    out.set(http::field::content_type, response.contentType);
    if (response.retryAfter > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(response.retryAfter).count();
        out.set(http::field::retry_after, std::to_string(seconds));
    }
    out.keep_alive(keepAlive);
    out.body() = std::move(response.body);
    out.prepare_payload();
    if (isHead)
        out.body().clear();
    return out;
}

std::optional<HttpResponse> rejectionOf(const boost::system::error_code &ec, bool timedOut)
{
    if (timedOut)
        return errorResponse(
            {ErrorCode::DeadlineExceeded, "the complete request did not arrive in time"},
            Executed::No);
    static const auto &httpErrors = http::make_error_code(http::error::bad_method).category();
    if (ec.category() != httpErrors || ec == http::error::end_of_stream)
        return std::nullopt;
    if (ec == http::error::body_limit)
        return errorResponse({ErrorCode::TooLarge, "the request body is too long"}, Executed::No);
    if (ec == http::error::header_limit)
        return errorResponse({ErrorCode::TooLarge, "the request header is too long"}, Executed::No);
    return errorResponse({ErrorCode::InvalidArgument, "malformed request: " + ec.message()},
                         Executed::No);
}

} // namespace cardamompaddle
