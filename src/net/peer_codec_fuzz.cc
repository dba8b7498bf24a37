// Fuzzes the decoder of peer messages. Checks that a decoded message, encoded and decoded once
// more, encodes to the same bytes.
#include "base/invariant.h"
#include "net/peer_codec.h"

#include <cstddef>
#include <cstdint>

using namespace cardamompaddle;

// libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) // NOLINT
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    (void)decodePeer(input);
    const auto first = decodePeerPayload(input);
    if (!first)
        return 0;
    const auto bytes = encodePeer(*first);
    invariant(bytes.ok(), "a decoded message can be encoded");
    const auto second = decodePeer(*bytes);
    invariant(second.ok(), "an encoded message can be decoded");
    invariant(*encodePeer(*second) == *bytes, "decoding loses nothing");
    return 0;
}
