//===- NaivePlanner.h - full re-placement, for comparison -------*- C++ -*-===//
//
// Places every layer from scratch each time: copies go to the experts with the
// most tokens per copy, then all copies go to the least loaded ranks, heaviest
// first.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_EXPERTS_NAIVEPLANNER_H
#define OSPREYSPUR_UNITTESTS_EXPERTS_NAIVEPLANNER_H

#include "ospreyspur/Experts/ExpertMap.h"

#include <algorithm>
#include <numeric>

namespace ospreyspur::test {

/// One layer placed from scratch.
inline std::vector<ExpertIndex> placeLayer(const MapShape &shape,
                                           const std::vector<double> &demand) {
  std::vector<std::size_t> copies(shape.Experts, 1);
  for (std::size_t n = shape.Experts; n < shape.slotsPerLayer(); ++n) {
    std::size_t best = shape.Experts;
    for (std::size_t e = 0; e < shape.Experts; ++e)
      if (copies[e] < shape.Ranks &&
          (best == shape.Experts ||
           demand[e] / double(copies[e]) > demand[best] / double(copies[best])))
        best = e;
    ++copies[best];
  }
  std::vector<std::size_t> order(shape.Experts);
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return demand[a] / double(copies[a]) > demand[b] / double(copies[b]);
  });
  std::vector<std::vector<ExpertIndex>> onRank(shape.Ranks);
  std::vector<double> loads(shape.Ranks, 0);
  for (std::size_t e : order)
    for (std::size_t c = 0; c < copies[e]; ++c) {
      std::size_t best = shape.Ranks;
      for (std::size_t r = 0; r < shape.Ranks; ++r) {
        auto &held = onRank[r];
        bool isFree = held.size() < shape.SlotsPerRank &&
                      std::find(held.begin(), held.end(), e) == held.end();
        if (isFree && (best == shape.Ranks || loads[r] < loads[best]))
          best = r;
      }
      if (best == shape.Ranks)
        return {}; // no valid place left
      onRank[best].push_back(static_cast<ExpertIndex>(e));
      loads[best] += demand[e] / double(copies[e]);
    }
  std::vector<ExpertIndex> layer;
  for (auto &it : onRank)
    layer.insert(layer.end(), it.begin(), it.end());
  return layer;
}

/// The whole map placed from scratch; a layer without a valid placement keeps
/// its current one.
inline ExpertMap planNaively(const ExpertMap &current,
                             const ExpertDemand &demand) {
  ExpertMap map = current;
  for (std::size_t i = 0; i < map.Shape.Layers; ++i) {
    auto layer = placeLayer(map.Shape, demand[i]);
    if (!layer.empty())
      map.Slots[i] = std::move(layer);
  }
  return map;
}

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_EXPERTS_NAIVEPLANNER_H
