// A TCP connection that carries length-prefixed frames in both directions.
#pragma once

#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// A queue of frames to send. Urgent frames are taken before the others.
class FrameQueue
{
public:
    struct Frame
    {
        uint64_t id = 0;
        std::string bytes; // includes the length field
    };

    void push(uint64_t id, std::string_view frame, bool urgent);
    // Removes the frame with this id. Returns false if it is not queued.
    bool remove(uint64_t id);
    // Removes and returns frames of at most `maxBytes` in total, or a single longer frame.
    std::vector<Frame> takeBatch(size_t maxBytes);
    // Returns the total size of the queued frames, including their length fields.
    size_t bytes() const { return m_bytes; }

private:
    std::deque<Frame> m_urgent;
    std::deque<Frame> m_normal;
    size_t m_bytes = 0;
};

// Sends and receives frames on one connection. Not thread-safe: all calls and callbacks happen on
// the thread that runs the io_context. Only onSent may run inside a call of the owner.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    struct Callbacks
    {
        // Receives a complete frame without its length field. Returns false if the frame is
        // invalid; the connection then fails.
        std::function<bool(std::string_view frame)> onFrame;
        // Runs just before the frame `id` is written to the socket. `bytes` includes the length
        // field.
        std::function<void(uint64_t id, size_t bytes)> onSent;
        // Runs once when the connection fails or the peer closes it, but not after close().
        std::function<void(const std::string &reason)> onClosed;
    };

    // Creates a connection to open with connect().
    explicit FrameConnection(boost::asio::io_context &io);
    // Creates a connection from an accepted socket, to start with startAccepted().
    explicit FrameConnection(boost::asio::ip::tcp::socket socket);

    // Connects to `endpoint` after `delay`. `timeout` bounds the attempt itself.
    void connect(const boost::asio::ip::tcp::endpoint &endpoint, Duration delay, Duration timeout,
                 Callbacks callbacks);
    // Starts to read and write on an accepted socket.
    void startAccepted(Callbacks callbacks);

    // Queues a frame, which is written once the connection is open. Does nothing after the
    // connection has closed.
    void send(uint64_t id, std::string_view frame, bool urgent);
    // Removes a queued frame. Returns false if it has already been handed to the socket.
    bool removeQueued(uint64_t id) { return m_queue.remove(id); }
    size_t queuedBytes() const { return m_queue.bytes(); }
    bool isOpen() const { return m_open; }
    bool isClosed() const { return m_closed; }
    // Returns true if the connection has ever been open.
    bool wasOpen() const { return !m_readBuffer.empty(); }
    // Returns the time since the connection last received data or, before that, since it opened.
    Duration timeSinceReceive() const;
    // Closes the connection without running onClosed.
    void close();

private:
    void startConnecting(const boost::asio::ip::tcp::endpoint &endpoint, Duration timeout);
    void onConnected();
    void write();
    void read();
    // Passes the complete frames in m_received to onFrame. Returns false if one is invalid.
    bool deliverFrames();
    // Closes the connection and runs onClosed.
    void fail(const std::string &reason);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Callbacks m_callbacks;
    FrameQueue m_queue;
    std::vector<FrameQueue::Frame> m_writing; // the batch being written
    std::vector<char> m_readBuffer;
    std::string m_received; // bytes not yet passed on as frames
    std::chrono::steady_clock::time_point m_lastReceived;
    bool m_open = false;
    bool m_closed = false;
};

} // namespace cardamompaddle
