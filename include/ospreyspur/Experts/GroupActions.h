//===- GroupActions.h - outputs of the group's state machines ---*- C++ -*-===//
//
// Actions that GroupMember and GroupCoordinator request from the code that runs
// them.
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

/// Matches an engine's reply to its order.
using RankOrderId = StrongType<struct RankOrderIdTag, std::uint64_t>;

/// Send an order to the agent of \c To, possibly the local one.
struct SendGroupOrder {
  EndpointId To;
  GroupOrder Order;
};

/// Send a reply to the agent of \c To, possibly the local one.
struct SendGroupReply {
  EndpointId To;
  GroupReply Reply;
};

/// Send an order to the local engine.
struct OrderRank {
  RankOrderId Id;
  RankOrder Order;
};

/// Send a coordinator's request to the platform's key-value store.
struct CallPlatformForGroup {
  KvRequest Request;
};

using GroupAction = std::variant<SendGroupOrder, SendGroupReply, OrderRank,
                                 CallPlatformForGroup>;
using GroupActions = std::vector<GroupAction>;

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_GROUPACTIONS_H
