#include "net/blocking_client.h"

#include "net/http_client.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace cardamompaddle {

Result<HttpResponse> blockingRequest(const std::string &address, const std::string &method,
                                     const std::string &target, std::string body, Duration timeout,
                                     const std::map<std::string, std::string> &headers)
{
    boost::asio::io_context io(1);
    HttpClient client(io, {.connectTimeout = timeout});
    Result<HttpResponse> outcome = Error{ErrorCode::Internal, "the request did not finish"};
    client.request(
        address, method, target, std::move(body), timeout,
        [&outcome](Result<HttpResponse> response, bool) { outcome = std::move(response); },
        headers);
    io.run();
    return outcome;
}

} // namespace cardamompaddle
