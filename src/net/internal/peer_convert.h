// Conversion between the messages of peer_message.h and the generated structs of peer.thrift.
#pragma once

#include "net/gen/peer_types.h"
#include "peer/peer_message.h"

namespace cardamompaddle {

// Sets `kind` and `body` of `message` from `body`.
void toWireMessage(const PeerBody &body, wire::PeerMessage &message);
// Moves the body out of `message`. Errors: InvalidArgument if the body does not hold exactly the
// field that `kind` names, or if an enum value is unknown.
Result<PeerBody> fromWireMessage(wire::PeerMessage &message);

} // namespace cardamompaddle
