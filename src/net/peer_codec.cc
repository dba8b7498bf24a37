#include "net/peer_codec.h"

#include "base/hash.h"
#include "net/internal/peer_convert.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <utility>

namespace cardamompaddle {
namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr size_t HashBytes = 8;
constexpr int32_t MaxContainerEntries = 1'000'000;
constexpr int MaxRecursionDepth = 16;

std::shared_ptr<TConfiguration> thriftLimits()
{
    return std::make_shared<TConfiguration>(static_cast<int>(MaxPeerFrameBytes),
                                            static_cast<int>(MaxPeerFrameBytes), MaxRecursionDepth);
}

std::string hashPrefix(std::string_view payload)
{
    const uint64_t hash = stableHash(payload);
    std::string out(HashBytes, '\0');
    for (size_t i = 0; i < HashBytes; ++i)
        out[i] = static_cast<char>(hash >> (8 * (HashBytes - 1 - i)));
    return out;
}

// Decodes `payload` into `message` and stores the number of bytes after it in `unreadBytes`. Throws
// if the payload is malformed.
void readMessage(std::string_view payload, wire::PeerMessage &message, size_t &unreadBytes)
{
    // With OBSERVE the buffer is only read, although Thrift takes a non-const pointer.
    auto *bytes = reinterpret_cast<uint8_t *>(const_cast<char *>(payload.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(bytes, static_cast<uint32_t>(payload.size()),
                                                  TMemoryBuffer::OBSERVE, thriftLimits());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int32_t>(MaxPeerFrameBytes),
                                              MaxContainerEntries);
    message.read(&protocol);
    unreadBytes = buffer->available_read();
}

} // namespace

Result<std::string> encodePeer(const PeerEnvelope &envelope)
{
    wire::PeerMessage message;
    message.id = static_cast<int64_t>(envelope.id);
    message.answerTo = static_cast<int64_t>(envelope.answerTo);
    message.sender = envelope.from;
    toWireMessage(envelope.body, message);
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    try {
        message.write(&protocol);
    } catch (const std::exception &e) {
        return Error{ErrorCode::TooLarge, std::string("cannot encode the message: ") + e.what()};
    }
    const std::string payload = buffer->getBufferAsString();
    if (payload.size() + HashBytes > MaxPeerFrameBytes)
        return Error{ErrorCode::TooLarge, "the message is too long"};
    return hashPrefix(payload) + payload;
}

Result<PeerEnvelope> decodePeerPayload(std::string_view payload)
{
    wire::PeerMessage message;
    size_t unreadBytes = 0;
    try {
        readMessage(payload, message, unreadBytes);
    } catch (const std::exception &e) {
        return Error{ErrorCode::InvalidArgument, std::string("malformed message: ") + e.what()};
    }
    if (unreadBytes != 0)
        return Error{ErrorCode::InvalidArgument, "unexpected bytes after the message"};
    auto body = fromWireMessage(message);
    if (!body)
        return body.error();
    return PeerEnvelope{message.sender, static_cast<uint64_t>(message.id),
                        static_cast<uint64_t>(message.answerTo), std::move(*body)};
}

Result<PeerEnvelope> decodePeer(std::string_view frame)
{
    if (frame.size() > MaxPeerFrameBytes)
        return Error{ErrorCode::InvalidArgument, "the frame is too long"};
    if (frame.size() < HashBytes)
        return Error{ErrorCode::InvalidArgument, "the frame is truncated"};
    const std::string_view payload = frame.substr(HashBytes);
    if (frame.substr(0, HashBytes) != hashPrefix(payload))
        return Error{ErrorCode::InvalidArgument, "the frame does not match its hash"};
    return decodePeerPayload(payload);
}

} // namespace cardamompaddle
