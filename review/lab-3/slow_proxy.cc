#include "slow_proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <random>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

// One direction of a connection. Chunks leave in order, each at its time.
class Pump : public std::enable_shared_from_this<Pump>
{
public:
    Pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
         std::shared_ptr<std::atomic<int>> delayMs)
        : m_from(std::move(from)), m_to(std::move(to)), m_delayMs(std::move(delayMs)),
          m_timer(m_to->get_executor())
    { }

    void read()
    {
        m_from->async_read_some(
            asio::buffer(m_buffer), [self = shared_from_this()](error_code ec, size_t bytes) {
                if (ec)
                    return self->close();
                const auto delay = std::chrono::milliseconds(self->nextDelayMs());
                self->m_chunks.push_back({std::chrono::steady_clock::now() + delay,
                                          std::string(self->m_buffer.data(), bytes)});
                self->write();
                self->read();
            });
    }

private:
    struct Chunk
    {
        SteadyTime due;
        std::string bytes;
    };

    // A slow server's answers don't all take equally long: 0.65 to 1.35 times the delay.
    int nextDelayMs()
    {
        const int mean = m_delayMs ? m_delayMs->load() : 0;
        return std::uniform_int_distribution<int>(mean * 65 / 100, mean * 135 / 100)(m_random);
    }

    void write()
    {
        if (m_busy || m_chunks.empty())
            return;
        m_busy = true;
        m_timer.expires_at(m_chunks.front().due);
        m_timer.async_wait([self = shared_from_this()](error_code) {
            asio::async_write(*self->m_to, asio::buffer(self->m_chunks.front().bytes),
                              [self](error_code ec, size_t) {
                                  self->m_chunks.pop_front();
                                  self->m_busy = false;
                                  ec ? self->close() : self->write();
                              });
        });
    }
    void close()
    {
        error_code ignored;
        m_from->close(ignored);
        m_to->close(ignored);
    }

    std::shared_ptr<tcp::socket> m_from;
    std::shared_ptr<tcp::socket> m_to;
    std::shared_ptr<std::atomic<int>> m_delayMs; // null: none
    asio::steady_timer m_timer;
    std::minstd_rand m_random{std::random_device{}()};
    std::array<char, 65'536> m_buffer{};
    std::deque<Chunk> m_chunks;
    bool m_busy = false;
};

} // namespace

SlowProxy::SlowProxy(asio::io_context &io, const std::string &target)
    : m_io(io), m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
{
    const size_t colon = target.find(':');
    m_target = {asio::ip::make_address(target.substr(0, colon)),
                static_cast<uint16_t>(std::stoi(target.substr(colon + 1)))};
    accept();
}

std::string SlowProxy::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void SlowProxy::accept()
{
    m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (ec)
            return;
        auto client = std::make_shared<tcp::socket>(std::move(socket));
        auto server = std::make_shared<tcp::socket>(m_io);
        error_code ignored;
        client->set_option(tcp::no_delay(true), ignored);
        server->async_connect(m_target, [this, client, server](error_code failed) {
            if (failed)
                return;
            error_code unused;
            server->set_option(tcp::no_delay(true), unused);
            std::make_shared<Pump>(client, server, nullptr)->read();
            std::make_shared<Pump>(server, client, m_delayMs)->read();
        });
        accept();
    });
}

} // namespace review
