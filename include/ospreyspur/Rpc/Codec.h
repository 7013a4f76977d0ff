//===- Codec.h - messages to and from their wire form -----------*- C++ -*-===//
//
// Converts between the nodes' typed messages and the protobuf ones.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_RPC_CODEC_H
#define OSPREYSPUR_RPC_CODEC_H

#include "ospreyspur/Rpc/Messages.h"

#include <cstddef>
#include <optional>

namespace ospreyspur {

namespace wire {
class Message;
} // namespace wire

/// Writes \p message into \p out.
void encode(const Message &message, wire::Message &out);

/// How many bytes \p message takes on the wire, without a link's framing.
std::size_t sizeOf(const Message &message);

/// Reads \p in; nothing if it is of a kind that this version does not know.
std::optional<Message> decode(const wire::Message &in);

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_CODEC_H
