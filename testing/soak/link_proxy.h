// A TCP proxy on loopback whose connections can be delayed, reset, silenced or cut in one
// direction.
#pragma once

#include "base/result.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace cardamompaddle::soak {

enum class LinkState {
    Open,
    Silent, // nothing passes in either direction, nothing is reset
    NoRequests, // nothing passes to the server
    NoResponses, // nothing passes to the client
};
std::string_view linkStateName(LinkState state);

class LinkProxy
{
public:
    // Listens on a free port and connects each client to `target`, an "IP:PORT". Errors:
    // Unavailable.
    static Result<std::unique_ptr<LinkProxy>> create(boost::asio::io_context &io,
                                                     const std::string &target);
    ~LinkProxy();
    LinkProxy(const LinkProxy &) = delete;
    LinkProxy &operator=(const LinkProxy &) = delete;

    std::string address() const;
    // Bytes that are held back pass once the link is open again.
    void setState(LinkState state);
    // Delays what arrives from now on, in both directions.
    void setDelay(Duration delay) { m_delay = delay; }
    // Silences the present connections for good; later ones work.
    void silencePresent();
    // Resets all connections.
    void reset();

private:
    class Connection;
    LinkProxy(boost::asio::io_context &io, std::string target);
    void accept();
    bool passes(bool toServer) const;

    boost::asio::io_context &m_io;
    std::string m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    LinkState m_state = LinkState::Open;
    Duration m_delay{0};
    std::set<std::shared_ptr<Connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false: handlers do nothing
};

} // namespace cardamompaddle::soak
