//===- ExpertPlanner.h - the next map for a drifting demand -----*- C++ -*-===//
//
// Weighs the skew that a map would have against the experts that must be loaded
// for it. It improves the present map by single changes, the most worthwhile
// first, and stops when none is worth its cost or the budget is used up; so a
// small drift costs few moves and an even load none.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_EXPERTPLANNER_H
#define OSPREYSPUR_EXPERTS_EXPERTPLANNER_H

#include "ospreyspur/Experts/ExpertMap.h"

namespace ospreyspur {

/// What a deployment cares for.
struct PlannerWeights {
  /// Worth of one unit of a layer's skew.
  double Skew = 1.0;
  /// Cost of loading one expert, in the same unit.
  double Move = 0.01;
  /// Most experts that one plan may load: the weight store's rate times the
  /// time that a change may take.
  std::size_t MaxMoves = 2000;
  /// A plan whose gain is below this stays a plan: keeps the map still when the
  /// demand flutters. In units of skew, as a mean over layers.
  double MinGain = 0.02;
};

/// A proposed map and what it is expected to bring.
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

  /// The map to use after \p current for \p demand. Without a worthwhile
  /// change it is \p current itself, with no moves.
  MapPlan plan(const ExpertMap &current, const ExpertDemand &demand) const;

private:
  PlannerWeights Weights;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_EXPERTPLANNER_H
