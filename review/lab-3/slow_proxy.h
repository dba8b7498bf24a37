// A TCP proxy on loopback whose answers take longer: what the server sends is passed on with a
// delay.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace review {

class SlowProxy
{
public:
    // Forwards to `target`, an IP:PORT. Runs on the thread of `io`.
    SlowProxy(boost::asio::io_context &io, const std::string &target);
    std::string address() const;
    // The mean delay of what the server sends from now on. Thread-safe.
    void setDelay(int ms) { *m_delayMs = ms; }

private:
    void accept();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<std::atomic<int>> m_delayMs = std::make_shared<std::atomic<int>>(0);
};

} // namespace review
