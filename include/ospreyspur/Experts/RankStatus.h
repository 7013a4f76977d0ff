//===- RankStatus.h - one rank's status report ------------------*- C++ -*-===//
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

/// Counts how often the platform has formed the group, whose map MapSwitch
/// changes. Whatever ranks have prepared, armed or held is lost with each
/// formation.
using FormationEpoch = StrongType<struct FormationEpochTag, std::uint64_t>;

/// An expert's number within its set of layers.
using ExpertNumber = std::uint16_t;
/// The experts of one rank, by set of layers. The layers of a set share one
/// placement.
using RankPlacement = std::vector<std::vector<ExpertNumber>>;

/// When a rank's engine started, in ms of wall-clock time; 0 if not reported.
/// Distinguishes the incarnations of the engine.
using RankIncarnation = StrongType<struct RankIncarnationTag, std::uint64_t>;

/// A map to which a rank will switch when a step begins.
struct ArmedMap {
  MapVersion Version;
  StepNumber Step;

  friend bool operator==(const ArmedMap &, const ArmedMap &) = default;
};

/// One rank's own view at the time of its report.
struct RankStatus {
  GroupId Group;
  RankIncarnation Incarnation;
  FormationEpoch Formation;
  /// Counted from 0.
  unsigned Rank = 0;
  /// Number of ranks in the group.
  unsigned Size = 0;
  /// Whether the group accepts requests.
  bool IsOpen = false;
  /// Number of requests running on this rank.
  unsigned Running = 0;
  /// The last step that began.
  StepNumber Step;
  MapVersion Map;
  std::optional<MapVersion> Prepared;
  std::optional<ArmedMap> Armed;
  /// The group does not begin this step before the step is released.
  std::optional<StepNumber> Held;
  /// How often each expert was chosen since the rank started, set by set; empty
  /// if not requested. Stays on the rank's host.
  std::vector<std::uint64_t> Counts;
  /// How often each expert was chosen in the time that the sample covers, see
  /// DemandSampler; empty if the report contains no sample.
  std::vector<std::uint32_t> SampledCounts;
  /// Slowdown of the rank; 1 is normal speed.
  double Slowdown = 1;
  /// The experts that the rank holds under Map; empty if reported before.
  RankPlacement Placement;
  /// The address at which the rank accepts orders; set by the agent on its
  /// host.
  std::string Endpoint;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_RANKSTATUS_H
