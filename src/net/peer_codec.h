// Encoding of the messages between entry instances. A frame consists of the payload's xxHash3 (8
// bytes, big-endian) and the payload, a PeerMessage of peer.thrift in Thrift's compact protocol.
// The transport adds the length.
#pragma once

#include "peer/peer_message.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompaddle {

// Maximum size of a frame, without its length field. Leaves room for a request body of 1 MiB and
// for a configuration snapshot.
inline constexpr size_t MaxPeerFrameBytes = 16UL * 1024 * 1024;

// A message with its sender and ids.
struct PeerEnvelope
{
    SeatId from = -1;
    uint64_t id = 0; // of this message; unique within the sending process, never 0
    uint64_t answerTo = 0; // id of the request that this responds to; 0 in a request
    PeerBody body;
};

// Encodes a message as a frame. Errors: TooLarge if the frame would exceed MaxPeerFrameBytes.
Result<std::string> encodePeer(const PeerEnvelope &envelope);
// Decodes a frame. Errors: InvalidArgument if the frame is truncated, too long or corrupted, or if
// bytes follow the message.
Result<PeerEnvelope> decodePeer(std::string_view frame);
// Decodes a payload, without a hash in front of it. Errors as decodePeer(). For fuzzing and tests.
Result<PeerEnvelope> decodePeerPayload(std::string_view payload);

} // namespace cardamompaddle
