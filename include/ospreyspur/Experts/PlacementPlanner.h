//===- PlacementPlanner.h - which experts each rank should hold -*- C++ -*-===//
//
// Improves a group's placement step by step: each step copies one expert of a
// hot rank to a cooler one. Copies take time on the rank's link, so a plan has
// few of them; the next plan goes on from there. A slow rank counts as loaded
// by as much more, and may give experts up that others hold too.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_PLACEMENTPLANNER_H
#define OSPREYSPUR_EXPERTS_PLACEMENTPLANNER_H

#include "ospreyspur/Experts/MapOrder.h"

#include <optional>
#include <vector>

namespace ospreyspur {

/// What bounds a plan.
struct PlacementLimits {
  /// Experts that a rank may hold in each set.
  std::size_t Places = 1;
  /// New experts that one change may bring to a rank in each set.
  std::size_t NewPerSet = 1;
  /// New experts that one change may bring to a rank in all sets: its link
  /// copies one after the other.
  std::size_t NewPerRank = 4;
  /// Smallest gain that a copy is worth, as part of a set's mean load.
  double MinGain = 0.02;
};

/// A better placement.
struct PlacementPlan {
  GroupPlacement Placement;
  std::size_t Copies = 0;
  /// Highest rank load over the mean, as a mean over sets.
  double SkewBefore = 1;
  double SkewAfter = 1;
};

/// Plans for one group.
class PlacementPlanner {
public:
  explicit PlacementPlanner(PlacementLimits limits) : Limits(limits) {}

  /// The placement to use after \p current for \p demand, which has the same
  /// number of experts for each set. \p paces tells how many times slower than
  /// usual each rank works; empty if all work as usual.
  PlacementPlan plan(const GroupPlacement &current,
                     const std::vector<double> &demand,
                     const std::vector<double> &paces = {}) const;

private:
  PlacementLimits Limits;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_PLACEMENTPLANNER_H
