//===- RankStatus.h - what one rank of a group reports ----------*- C++ -*-===//
//
// The state of one rank of a group that the platform forms.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_RANKSTATUS_H
#define OSPREYSPUR_EXPERTS_RANKSTATUS_H

#include "ospreyspur/Experts/GroupMessages.h"
#include "ospreyspur/Experts/RankState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// Counts the times that the platform has formed a group; all that ranks have
/// prepared, armed or held is gone with each.
using FormationEpoch = StrongType<struct FormationEpochTag, std::uint64_t>;

/// An expert's number within its set of layers.
using ExpertNumber = std::uint16_t;
/// The experts of one rank, by set of layers.
using RankPlacement = std::vector<std::vector<ExpertNumber>>;

/// When a rank's engine started, in ms of the time of day; 0 if it does not
/// say. Tells its lives apart.
using RankLife = StrongType<struct RankLifeTag, std::uint64_t>;

/// A map that a rank will take as a step begins.
struct ArmedMap {
  MapVersion Version;
  StepNumber Step;

  friend bool operator==(const ArmedMap &, const ArmedMap &) = default;
};

/// One rank's own view, as it stood when it answered.
struct RankStatus {
  GroupId Group;
  RankLife Life;
  FormationEpoch Formation;
  /// From 0.
  unsigned Rank = 0;
  /// Ranks of the group.
  unsigned Size = 0;
  /// Whether the group takes requests.
  bool IsOpen = false;
  /// Requests that run here.
  unsigned Running = 0;
  /// The last step that began.
  StepNumber Step;
  MapVersion Map;
  std::optional<MapVersion> Prepared;
  std::optional<ArmedMap> Armed;
  /// The group does not begin this step before it is released.
  std::optional<StepNumber> Held;
  /// Times that each expert was chosen since the rank started, set by set;
  /// empty if not asked for. Stays on the rank's host.
  std::vector<std::uint64_t> Counts;
  /// Times that each expert was chosen since the report before; empty if the
  /// report has none.
  std::vector<std::uint32_t> Picks;
  /// How many times slower than usual the rank works; 1 if as usual.
  double Pace = 1;
  /// The experts that it holds under Map; empty if reported before.
  RankPlacement Placement;
  /// Where it takes orders; set by the agent on its host.
  std::string Endpoint;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_RANKSTATUS_H
