//===- MapOrder.h - orders to a rank about its map --------------*- C++ -*-===//
//
// The orders that a group's coordinator sends to single ranks, and their
// replies. Each order carries a fencing token higher than those of all earlier
// orders, so that an order that arrives late is refused.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_MAPORDER_H
#define OSPREYSPUR_EXPERTS_MAPORDER_H

#include "ospreyspur/Experts/RankStatus.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ospreyspur {

using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
using MapOrderId = StrongType<struct MapOrderIdTag, std::uint64_t>;

enum class MapOrderKind : std::uint8_t {
  /// Copy the experts that are new to the rank under the map.
  Prepare,
  /// Switch to the map when the step begins.
  Arm,
  /// Keep the current map after all.
  Disarm,
  /// Do not begin the step until it is released.
  Hold,
  /// Release the step.
  Release,
};

/// The experts of every rank, by rank and set.
using GroupPlacement = std::vector<RankPlacement>;

/// The experts of one rank in one set of layers.
struct RankSet {
  std::uint32_t Rank = 0;
  std::uint32_t Set = 0;
  std::vector<ExpertNumber> Experts;
};

/// An expert that replaces the one at a place of a rank's set, or is appended.
struct ReplacedExpert {
  std::uint32_t Rank = 0;
  std::uint32_t Set = 0;
  /// Index into the rank's experts of the set.
  std::uint32_t Place = 0;
  ExpertNumber Expert = 0;
};

/// Shape of the map that a group is formed with: the experts of each set are
/// assigned to the ranks in turn.
struct InitialMapShape {
  std::uint32_t Ranks = 0;
  std::uint32_t Sets = 0;
  std::uint32_t Experts = 0;
};

/// A map encoded as its differences from another map.
struct MapDelta {
  /// Version of the map sent before; unused if Initial is set.
  MapVersion Base;
  /// Sets in which a rank holds fewer experts than in the base map.
  std::vector<RankSet> Sets;
  std::optional<InitialMapShape> Initial = std::nullopt;
  /// Changed places of all other sets, by rank, set and place. A place beyond
  /// those of the base map appends an expert. A group's first map fills its
  /// free places, one in each set of a rank; sent as whole sets, that map took
  /// 0.48 s to reach 63 ranks over a link of 8 Mbit/s.
  std::vector<ReplacedExpert> Replaced = {};
};

struct MapOrder {
  MapOrderId Id;
  MapOrderKind Kind = MapOrderKind::Hold;
  FencingToken Fence;
  FormationEpoch Formation;
  MapVersion Version;
  StepNumber Step;
  /// With Prepare. Shared, since every rank of a group gets the same map.
  std::shared_ptr<const GroupPlacement> Map;
  /// Between agents: replaces Map.
  std::optional<MapDelta> Delta;
};

enum class MapOrderResult : std::uint8_t {
  /// Done, begun, or already in this state.
  Done,
  /// The order does not fit the rank's state.
  Refused,
  /// A higher fencing token was seen.
  Fenced,
  /// No reply: the order may have been executed, or may be executed later.
  Unanswered,
};

/// A member's query whether the coordinator is working on the group. If so, the
/// coordinator replies with the same message.
struct LeaderCheck {
  GroupId Group;
};

struct MapOrderReply {
  MapOrderId Id;
  MapOrderResult Result = MapOrderResult::Unanswered;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPORDER_H
