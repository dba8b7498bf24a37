#include "net/internal/listen.h"

#include "net/http_types.h"

#include <algorithm>

namespace cardamompaddle {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

Result<tcp::endpoint> parseEndpoint(const std::string &address)
{
    // make_address() ignores what follows a NUL byte, and most of what follows a '%'.
    const bool printable =
        std::all_of(address.begin(), address.end(), [](char c) { return c > ' ' && c <= '~'; });
    HostPort parsed;
    error_code ec;
    const bool split = printable && parseHostPort(address, parsed);
    const auto ip = asio::ip::make_address(parsed.host, ec);
    if (!split || ec)
        return Error{ErrorCode::InvalidArgument,
                     "not a valid IP:PORT: " + (printable ? address : "unprintable text")};
    return tcp::endpoint(ip, parsed.port);
}

Result<uint16_t> listenOn(tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error{ErrorCode::Unavailable, "cannot listen on " + address + ": " + ec.message()};
    return acceptor.local_endpoint(ec).port();
}

} // namespace cardamompaddle
