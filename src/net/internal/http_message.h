// Converts between the messages of the HTTP library and the types of this project.
#pragma once

#include "base/result.h"
#include "net/http_types.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace cardamompaddle {

using HttpRequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

// Moves the body of `message`. Errors: InvalidArgument if the target is malformed.
Result<HttpRequest> toHttpRequest(HttpRequestMessage &message);

// `isHead`: responds to a HEAD request, so that only the length of the body is sent.
HttpResponseMessage toMessage(HttpResponse response, bool keepAlive, bool isHead);

// Returns the response to a request that could not be read because of `ec`, or because its time was
// over, or nothing if the connection failed or ended.
std::optional<HttpResponse> rejectionOf(const boost::system::error_code &ec, bool timedOut);

} // namespace cardamompaddle
