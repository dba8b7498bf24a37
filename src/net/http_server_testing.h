// What tests of the HTTP server share: a client that sends raw bytes, and requests that wait for
// the test's response.
#pragma once

#include "net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <utility>

namespace cardamompaddle {

// A client that writes and reads raw bytes.
class RawClient
{
public:
    explicit RawClient(uint16_t port) : m_socket(m_io)
    {
        m_socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }
    void closeSending() { m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    void close() { m_socket.close(); }
    // Returns what has been received so far, without waiting, and takes note of the end.
    std::string receiveAvailable()
    {
        boost::system::error_code ec;
        m_socket.non_blocking(true);
        while (!ec) {
            std::array<char, 4096> chunk{};
            const size_t bytes = m_socket.read_some(boost::asio::buffer(chunk), ec);
            m_received.append(chunk.data(), bytes);
        }
        if (ec != boost::asio::error::would_block)
            m_end = ec;
        return m_received;
    }
    // How the connection has ended as far as receiveAvailable() has seen, for example with eof.
    boost::system::error_code end() const { return m_end; }
    // Returns the bytes received up to the end of the connection or, if `until` is not empty, once
    // they contain `until`.
    std::string receive(const std::string &until = {})
    {
        boost::system::error_code ec;
        while (!ec && (until.empty() || m_received.find(until) == std::string::npos)) {
            std::array<char, 4096> chunk{};
            const size_t bytes = m_socket.read_some(boost::asio::buffer(chunk), ec);
            m_received.append(chunk.data(), bytes);
        }
        return std::exchange(m_received, {});
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    boost::system::error_code m_end;
};

// Holds requests until the test responds to them.
class RequestQueue
{
public:
    struct Item
    {
        HttpRequest request;
        HttpRespond respond;
    };

    void put(HttpRequest request, HttpRespond respond)
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back({std::move(request), std::move(respond)});
        m_changed.notify_all();
    }
    Item take()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_items.empty(); });
        Item item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Item> m_items;
};

} // namespace cardamompaddle
