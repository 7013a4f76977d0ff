//===- MapCodec.h - expert map messages to and from protobuf ----*- C++ -*-===//
//
// The messages between the agents of one group; the other messages are in
// Codec.cpp.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_LIB_RPC_MAPCODEC_H
#define OSPREYSPUR_LIB_RPC_MAPCODEC_H

#include "ospreyspur/Rpc/Codec.h"

#include <optional>

namespace ospreyspur {

namespace wire {
class LeaderCheck;
class MapOrder;
class MapOrderReply;
class RankReport;
} // namespace wire

void encodeMap(const RankStatus &in, wire::Message &message);
void encodeMap(const MapOrder &in, wire::Message &message);
void encodeMap(const MapOrderReply &in, wire::Message &message);
void encodeMap(const LeaderCheck &in, wire::Message &message);

/// Returns nothing if a field has an unknown or invalid value.
std::optional<Message> decodeMap(const wire::RankReport &in);
std::optional<Message> decodeMap(const wire::MapOrder &in);
std::optional<Message> decodeMap(const wire::MapOrderReply &in);
std::optional<Message> decodeMap(const wire::LeaderCheck &in);

} // namespace ospreyspur

#endif // OSPREYSPUR_LIB_RPC_MAPCODEC_H
