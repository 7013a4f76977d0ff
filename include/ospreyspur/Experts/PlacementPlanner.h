//===- PlacementPlanner.h - which experts each rank should hold -*- C++ -*-===//
//
// Improves a group's placement change by change; each change copies one expert
// from a heavily loaded rank to a less loaded one. Copies occupy the rank's
// link, so a plan contains few of them and the next plan continues from there.
// A slow rank counts as proportionally more loaded, and may drop experts that
// other ranks also hold.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_PLACEMENTPLANNER_H
#define OSPREYSPUR_EXPERTS_PLACEMENTPLANNER_H

#include "ospreyspur/Experts/MapOrder.h"

#include <optional>
#include <vector>

namespace ospreyspur {

/// Limits of a plan.
struct PlacementLimits {
  /// Experts that a rank may hold in each set.
  std::size_t Places = 1;
  /// Number of new experts that one change may bring to a rank in each set.
  std::size_t NewPerSet = 1;
  /// Number of new experts that one change may bring to a rank in all sets
  /// together: the rank's link copies them one after the other.
  std::size_t NewPerRank = 4;
  /// Minimum gain of a copy, as a fraction of a set's mean load.
  double MinGain = 0.02;
};

/// An improved placement.
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

  /// The placement that follows \p current for \p demand, which has the same
  /// number of experts for each set. \p slowdowns gives the slowdown of each
  /// rank; empty if all ranks run at normal speed.
  PlacementPlan plan(const GroupPlacement &current,
                     const std::vector<double> &demand,
                     const std::vector<double> &slowdowns = {}) const;

private:
  PlacementLimits Limits;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_PLACEMENTPLANNER_H
