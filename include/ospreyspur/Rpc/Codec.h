//===- Codec.h - encodes and decodes messages -------------------*- C++ -*-===//
//
// Converts between the typed messages of Messages.h and their protobuf form.
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

/// Encodes \p message into \p out.
void encode(const Message &message, wire::Message &out);

/// Returns the encoded size of \p message in bytes, without the framing of a
/// link.
std::size_t encodedSize(const Message &message);

/// Decodes \p in. Returns nothing if this version does not know the kind of the
/// message or if a field that is checked has an invalid value.
std::optional<Message> decode(const wire::Message &in);

} // namespace ospreyspur

#endif // OSPREYSPUR_RPC_CODEC_H
