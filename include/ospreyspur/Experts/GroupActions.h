//===- GroupActions.h - outputs of the group's state machines ---*- C++ -*-===//
//
// What GroupMember and GroupCoordinator ask their shell to do.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_GROUPACTIONS_H
#define OSPREYSPUR_EXPERTS_GROUPACTIONS_H

#include "ospreyspur/Experts/RankState.h"
#include "ospreyspur/Platform/KeyValue.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace ospreyspur {

/// Matches an engine's answer to its order.
using RankOrderId = StrongType<struct RankOrderIdTag, std::uint64_t>;

/// Send an order to the agent of \c To, which may be this one.
struct SendGroupOrder {
  EndpointId To;
  GroupOrder Order;
};

/// Send a reply to the agent of \c To, which may be this one.
struct SendGroupReply {
  EndpointId To;
  GroupReply Reply;
};

/// Give the engine an order.
struct OrderRank {
  RankOrderId Id;
  RankOrder Order;
};

/// Make a call on the platform's service for the coordinator.
struct CallPlatformForGroup {
  KvRequest Request;
};

using GroupAction = std::variant<SendGroupOrder, SendGroupReply, OrderRank,
                                 CallPlatformForGroup>;
using GroupActions = std::vector<GroupAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPACTIONS_H
