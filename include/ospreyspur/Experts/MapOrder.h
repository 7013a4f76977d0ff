//===- MapOrder.h - orders to a rank about its map --------------*- C++ -*-===//
//
// What a group's coordinator asks of single ranks, and their answers. Each
// order carries a fencing token higher than all before it, so that one that
// arrives late is refused.
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
  /// Copy the experts of the map that are new to the rank.
  Prepare,
  /// Take the map as the step begins.
  Arm,
  /// Keep the present map after all.
  Disarm,
  /// The group does not begin the step until it is released.
  Hold,
  /// Releases the step.
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

/// One place of a rank and set that another expert takes, or its next one.
struct ReplacedExpert {
  std::uint32_t Rank = 0;
  std::uint32_t Set = 0;
  /// The place's number in the rank's experts of the set.
  std::uint32_t Place = 0;
  ExpertNumber Expert = 0;
};

/// The map that a group is formed with: the experts of each set are dealt to
/// the ranks in turn.
struct DealtShape {
  std::uint32_t Ranks = 0;
  std::uint32_t Sets = 0;
  std::uint32_t Experts = 0;
};

/// A map told by what differs from another one.
struct MapDelta {
  /// The map that was told before; not used if there is a Dealt one.
  MapVersion Base;
  /// Sets of which a rank holds fewer experts.
  std::vector<RankSet> Sets;
  std::optional<DealtShape> Dealt = std::nullopt;
  /// Places of all other sets, by rank, set and place. A place beyond those of
  /// the other map is one more: a group's first map fills its free places, one
  /// in each set of a rank, and told by whole sets it took 0.48 s to go out to
  /// 63 ranks on a link of 8 Mbit/s.
  std::vector<ReplacedExpert> Replaced = {};
};

struct MapOrder {
  MapOrderId Id;
  MapOrderKind Kind = MapOrderKind::Hold;
  FencingToken Fence;
  FormationEpoch Formation;
  MapVersion Version;
  StepNumber Step;
  /// With Prepare. Shared, as every rank of a group gets the same.
  std::shared_ptr<const GroupPlacement> Map;
  /// Between agents: instead of Map.
  std::optional<MapDelta> Delta;
};

enum class MapOrderResult : std::uint8_t {
  /// Done, begun, or so already.
  Done,
  /// It does not fit the rank's state.
  Refused,
  /// A higher fencing token was seen.
  Fenced,
  /// No answer: it may have been taken, or may be later.
  Unanswered,
};

/// Member to coordinator: does it work on the group? A coordinator that does
/// answers with the same message.
struct LeaderCheck {
  GroupId Group;
};

struct MapOrderReply {
  MapOrderId Id;
  MapOrderResult Result = MapOrderResult::Unanswered;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_MAPORDER_H
