#include "net/internal/frame_connection.h"

#include "net/peer_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace cardamompaddle {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t ReadChunkBytes = 64UL * 1024;
// Limit on the frames handed to the socket at once, unless a single frame is longer. An urgent
// frame has to wait for the batch being written.
constexpr size_t MaxWriteBatchBytes = 64UL * 1024;
// Limit on unsent bytes in the kernel's send buffer, which also delay an urgent frame.
constexpr int MaxKernelUnsentBytes = 128 * 1024;
// TCP keepalive. A peer that disappears without closing the connection is detected after
// 10 s + 3 * 5 s.
constexpr int KeepAliveIdleSeconds = 10;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;

void setSocketOptions(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const int fd = socket.native_handle();
    const auto set = [fd](int name, int value) {
        ::setsockopt(fd, IPPROTO_TCP, name, &value, sizeof(value));
    };
    set(TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(TCP_KEEPCNT, KeepAliveProbes);
    set(TCP_NOTSENT_LOWAT, MaxKernelUnsentBytes);
}

} // namespace

void FrameQueue::push(uint64_t id, std::string_view frame, bool urgent)
{
    std::string bytes;
    bytes.reserve(LengthBytes + frame.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes += static_cast<char>(frame.size() >> shift);
    bytes += frame;
    m_bytes += bytes.size();
    (urgent ? m_urgent : m_normal).push_back({id, std::move(bytes)});
}

bool FrameQueue::remove(uint64_t id)
{
    for (auto *queue : {&m_urgent, &m_normal}) {
        const auto it = std::find_if(queue->begin(), queue->end(),
                                     [id](const Frame &frame) { return frame.id == id; });
        if (it == queue->end())
            continue;
        m_bytes -= it->bytes.size();
        queue->erase(it);
        return true;
    }
    return false;
}

std::vector<FrameQueue::Frame> FrameQueue::takeBatch(size_t maxBytes)
{
    std::vector<Frame> out;
    size_t taken = 0;
    for (auto *queue : {&m_urgent, &m_normal}) {
        while (!queue->empty()
               && (out.empty() || taken + queue->front().bytes.size() <= maxBytes)) {
            taken += queue->front().bytes.size();
            out.push_back(std::move(queue->front()));
            queue->pop_front();
        }
    }
    m_bytes -= taken;
    return out;
}

FrameConnection::FrameConnection(asio::io_context &io) : m_socket(io), m_timer(io) { }

FrameConnection::FrameConnection(tcp::socket socket)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor())
{ }

void FrameConnection::connect(const tcp::endpoint &endpoint, Duration delay, Duration timeout,
                              Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this(), endpoint, timeout](error_code) {
        if (!self->m_closed)
            self->startConnecting(endpoint, timeout);
    });
}

void FrameConnection::startConnecting(const tcp::endpoint &endpoint, Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && !self->m_open)
            self->fail("the connection attempt timed out");
    });
    m_socket.async_connect(endpoint, [self = shared_from_this()](error_code ec) {
        if (self->m_closed)
            return;
        if (ec)
            return self->fail("cannot connect: " + ec.message());
        self->onConnected();
    });
}

void FrameConnection::startAccepted(Callbacks callbacks)
{
    m_callbacks = std::move(callbacks);
    onConnected();
}

void FrameConnection::onConnected()
{
    m_timer.cancel();
    m_open = true;
    m_lastReceived = std::chrono::steady_clock::now();
    m_readBuffer.resize(ReadChunkBytes);
    setSocketOptions(m_socket);
    read();
    write();
}

void FrameConnection::send(uint64_t id, std::string_view frame, bool urgent)
{
    if (m_closed)
        return;
    m_queue.push(id, frame, urgent);
    // Writing from the event loop batches the frames queued by one handler into one system call.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->write(); });
}

void FrameConnection::write()
{
    if (!m_open || m_closed || !m_writing.empty())
        return;
    m_writing = m_queue.takeBatch(MaxWriteBatchBytes);
    if (m_writing.empty())
        return;
    std::vector<asio::const_buffer> buffers;
    for (const auto &frame : m_writing) {
        buffers.push_back(asio::buffer(frame.bytes));
        m_callbacks.onSent(frame.id, frame.bytes.size());
    }
    asio::async_write(m_socket, buffers, [self = shared_from_this()](error_code ec, size_t) {
        self->m_writing.clear();
        if (ec)
            return self->fail("cannot send: " + ec.message());
        self->write();
    });
}

void FrameConnection::read()
{
    m_socket.async_read_some(asio::buffer(m_readBuffer),
                             [self = shared_from_this()](error_code ec, size_t bytes) {
                                 if (self->m_closed)
                                     return;
                                 if (ec)
                                     return self->fail("connection lost: " + ec.message());
                                 self->m_lastReceived = std::chrono::steady_clock::now();
                                 self->m_received.append(self->m_readBuffer.data(), bytes);
                                 if (!self->deliverFrames())
                                     return self->fail("malformed frame");
                                 if (!self->m_closed)
                                     self->read();
                             });
}

bool FrameConnection::deliverFrames()
{
    size_t offset = 0;
    while (!m_closed && m_received.size() - offset >= LengthBytes) {
        size_t length = 0;
        for (size_t i = 0; i < LengthBytes; ++i)
            length = length << 8 | static_cast<unsigned char>(m_received[offset + i]);
        if (length > MaxPeerFrameBytes)
            return false;
        if (m_received.size() - offset - LengthBytes < length)
            break;
        const std::string_view frame(m_received.data() + offset + LengthBytes, length);
        if (!m_callbacks.onFrame(frame))
            return false;
        offset += LengthBytes + length;
    }
    m_received.erase(0, offset);
    return true;
}

Duration FrameConnection::timeSinceReceive() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_lastReceived);
}

void FrameConnection::fail(const std::string &reason)
{
    if (m_closed)
        return;
    const auto onClosed = m_callbacks.onClosed;
    close();
    onClosed(reason);
}

void FrameConnection::close()
{
    m_closed = true;
    m_open = false;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace cardamompaddle
