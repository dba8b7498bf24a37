// Helpers for parsing addresses and opening listening sockets.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace cardamompaddle {

// Delay before accepting again after a failure, for example when the process is out of file
// descriptors.
inline constexpr Duration AcceptRetryDelay{50};

// Parses "IP:PORT" or "[IPv6]:PORT". Errors: InvalidArgument if `address` is malformed.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

// Binds `acceptor` to `address`, an "IP:PORT", and listens. Returns the bound port. Errors:
// InvalidArgument if the address is malformed, Unavailable if it cannot be bound.
Result<uint16_t> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const std::string &address);

} // namespace cardamompaddle
