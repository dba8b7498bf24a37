// A server for tests of clients whose connections go silent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cardamompaddle {

// A server on the client's event loop. Its open connections can go silent for good, as behind a
// link that loses their packets, while new ones are served.
class SilencedServer
{
public:
    // Answers each request with what `body` returns.
    explicit SilencedServer(
        boost::asio::io_context &io,
        std::function<std::string()> body = [] { return std::string("ok"); })
        : m_io(io), m_acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          m_body(std::move(body))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    // From now on nothing is read from or written to the open connections.
    void silenceOpenConnections()
    {
        for (const auto &it : m_connections)
            it->silent = true;
    }
    // The number of connections that were accepted so far.
    size_t accepted() const { return m_connections.size(); }

private:
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) { }

        boost::asio::ip::tcp::socket socket;
        std::string request;
        bool silent = false;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
                if (ec)
                    return;
                m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
                serve(m_connections.back());
                accept();
            });
    }
    void serve(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
            connection->socket, boost::asio::dynamic_buffer(connection->request), "\r\n\r\n",
            [this, connection](boost::system::error_code ec, size_t) {
                if (ec || connection->silent)
                    return;
                connection->request.clear();
                boost::system::error_code ignored;
                const std::string body = m_body();
                const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: "
                                             + std::to_string(body.size()) + "\r\n\r\n" + body;
                boost::asio::write(connection->socket, boost::asio::buffer(response), ignored);
                serve(connection);
            });
    }

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::function<std::string()> m_body;
    std::vector<std::shared_ptr<Connection>> m_connections;
};

} // namespace cardamompaddle
