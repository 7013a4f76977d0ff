//===- ExpertPlanner.h - plans maps for a drifting demand -------*- C++ -*-===//
//
// Weighs a map's load imbalance against the number of experts that must be
// loaded. Improves the current map by single changes, the most worthwhile
// first, and stops when no change is worth its cost or the budget is used up. A
// small drift therefore costs few moves and a balanced load none.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_EXPERTPLANNER_H
#define OSPREYSPUR_EXPERTS_EXPERTPLANNER_H

#include "ospreyspur/Experts/ExpertMap.h"

namespace ospreyspur {

/// Cost model of a deployment.
struct PlannerWeights {
  /// Value of reducing a layer's imbalance by one.
  double Skew = 1.0;
  /// Cost of loading one expert, in the same unit.
  double Move = 0.01;
  /// Maximum number of experts that one plan may load: the weight store's rate
  /// times the time that a change may take.
  std::size_t MaxMoves = 2000;
  /// A plan whose gain is below this value is discarded, so that small
  /// fluctuations of demand do not change the map. In units of imbalance, as a
  /// mean over layers.
  double MinGain = 0.02;
};

/// A proposed map and its expected effect.
struct MapPlan {
  ExpertMap Map;
  std::size_t Moves = 0;
  double SkewBefore = 1;
  double SkewAfter = 1;
};

/// Plans maps; holds no state between plans.
class ExpertPlanner {
public:
  explicit ExpertPlanner(PlannerWeights weights) : Weights(weights) {}

  /// Plans the map that follows \p current for \p demand. Without a worthwhile
  /// change, the result is \p current with no moves.
  MapPlan plan(const ExpertMap &current, const ExpertDemand &demand) const;

private:
  PlannerWeights Weights;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_EXPERTPLANNER_H
