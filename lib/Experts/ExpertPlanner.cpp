//===- ExpertPlanner.cpp - plans maps for a drifting demand ---------------===//
//
// Each layer is improved change by change, and each change is recorded with the
// moves and the imbalance so far. The lower convex hull of these points gives
// the lowest imbalance that a number of moves can achieve. The layers then
// compete for the budget by the slopes of their hulls.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/ExpertPlanner.h"

#include "ospreyspur/Experts/LayerPlanner.h"

#include <algorithm>
#include <cassert>

using namespace ospreyspur;

namespace {
/// A layer after some of its changes.
struct PathPoint {
  std::size_t Moves = 0;
  double Skew = 1;
  /// Number of the path's changes that were applied.
  std::size_t Changes = 0;
};

/// The changes that improve one layer, in order.
struct LayerPath {
  std::vector<LayerChange> Changes;
  /// The corners of the lower hull of (moves, imbalance), starting at the
  /// current layer.
  std::vector<PathPoint> Hull;
};

/// An edge of a layer's hull, from one corner to the next.
struct HullEdge {
  std::size_t Layer = 0;
  std::size_t Corner = 0;
  std::size_t Moves = 0;
  /// Imbalance saved per move.
  double Worth = 0;
};
} // namespace

static double slope(const PathPoint &from, const PathPoint &to) {
  return (from.Skew - to.Skew) / static_cast<double>(to.Moves - from.Moves);
}

/// Adds \p point and drops corners that are then no longer on the hull.
static void extendHull(std::vector<PathPoint> &hull, PathPoint point) {
  if (point.Skew >= hull.back().Skew)
    return;
  while (hull.size() > 1 &&
         slope(hull[hull.size() - 2], hull.back()) <= slope(hull.back(), point))
    hull.pop_back();
  hull.push_back(point);
}

/// Improves one layer until the next change would save less than \p minWorth
/// per move.
static LayerPath findPath(LayerPlanner layer, double minWorth) {
  LayerPath path;
  path.Hull.push_back({0, layer.skew(), 0});
  std::size_t moves = 0;
  while (std::optional<LayerChange> change = layer.findChange()) {
    if (change->Gain <= minWorth * static_cast<double>(change->Moves))
      break;
    layer.apply(*change);
    moves += change->Moves;
    path.Changes.push_back(*change);
    extendHull(path.Hull, {moves, layer.skew(), path.Changes.size()});
  }
  return path;
}

/// The edges of all layers' hulls that are worth more than \p minWorth, the
/// most worthwhile first.
static std::vector<HullEdge> rankEdges(const std::vector<LayerPath> &paths,
                                       double minWorth) {
  std::vector<HullEdge> edges;
  for (std::size_t layer = 0; layer < paths.size(); ++layer) {
    const std::vector<PathPoint> &hull = paths[layer].Hull;
    for (std::size_t i = 1; i < hull.size(); ++i) {
      double worth = slope(hull[i - 1], hull[i]);
      if (worth > minWorth)
        edges.push_back({layer, i, hull[i].Moves - hull[i - 1].Moves, worth});
    }
  }
  std::stable_sort(
      edges.begin(), edges.end(),
      [](const HullEdge &a, const HullEdge &b) { return a.Worth > b.Worth; });
  return edges;
}

MapPlan ExpertPlanner::plan(const ExpertMap &current,
                            const ExpertDemand &demand) const {
  assert(demand.size() == current.Shape.Layers &&
         "the demand must have one entry per layer");
  double minWorth = Weights.Move / Weights.Skew;
  std::vector<LayerPath> paths;
  for (std::size_t i = 0; i < current.Shape.Layers; ++i)
    paths.push_back(findPath(LayerPlanner(current, i, demand[i]), minWorth));

  std::vector<std::size_t> corners(paths.size(), 0);
  std::size_t moves = 0;
  for (const HullEdge &edge : rankEdges(paths, minWorth)) {
    if (moves + edge.Moves > Weights.MaxMoves)
      break;
    moves += edge.Moves;
    corners[edge.Layer] = edge.Corner;
  }

  MapPlan plan;
  plan.SkewBefore = measureSkew(current, demand);
  plan.Map = current;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    LayerPlanner layer(current, i, demand[i]);
    for (std::size_t k = 0; k < paths[i].Hull[corners[i]].Changes; ++k)
      layer.apply(paths[i].Changes[k]);
    plan.Map.Slots[i] = layer.slots();
  }
  plan.SkewAfter = measureSkew(plan.Map, demand);
  if (plan.SkewBefore - plan.SkewAfter < Weights.MinGain) {
    plan.Map = current;
    plan.SkewAfter = plan.SkewBefore;
  }
  plan.Moves = countMoves(current, plan.Map);
  return plan;
}
