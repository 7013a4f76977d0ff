//===- LayerPlanner.h - improves one layer of a map -------------*- C++ -*-===//
//
// Keeps one layer's slots, copies and rank loads, and finds the next change
// that relieves the rank with the highest load.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_LAYERPLANNER_H
#define OSPREYSPUR_EXPERTS_LAYERPLANNER_H

#include "ospreyspur/Experts/ExpertMap.h"

#include <optional>
#include <vector>

namespace ospreyspur {

/// A change of one or two slots.
struct LayerChange {
  /// Gets \c FirstExpert.
  std::size_t FirstSlot = 0;
  ExpertIndex FirstExpert = 0;
  /// For an exchange, the other slot; the same as the first for a copy.
  std::size_t SecondSlot = 0;
  ExpertIndex SecondExpert = 0;
  /// Experts to load.
  std::size_t Moves = 0;
  /// By how much the load of the hottest rank concerned falls, in mean loads.
  double Gain = 0;
};

/// One layer on the way to a better map.
class LayerPlanner {
public:
  LayerPlanner(const ExpertMap &map, std::size_t layer,
               const std::vector<double> &demand);

  /// The change with the highest gain for each move, if any gains.
  std::optional<LayerChange> findChange() const;

  /// Makes \p change.
  void apply(const LayerChange &change);

  /// Highest rank load divided by the mean.
  double skew() const;

  const std::vector<ExpertIndex> &slots() const { return Slots; }

private:
  std::size_t rankOf(std::size_t slot) const { return slot / SlotsPerRank; }
  bool holds(std::size_t rank, ExpertIndex expert) const;
  double perCopy(ExpertIndex expert) const;
  void tryCopies(std::size_t hot, LayerChange &best) const;
  void tryExchanges(std::size_t hot, LayerChange &best) const;
  double highestAfterCopy(ExpertIndex expert, std::size_t slot) const;
  void consider(LayerChange change, double highest, LayerChange &best) const;
  void place(std::size_t slot, ExpertIndex expert);
  void sortRanks();

  std::size_t SlotsPerRank;
  const std::vector<double> &Demand;
  std::vector<ExpertIndex> Slots;
  std::vector<double> Copies;
  /// The slots of each expert.
  std::vector<std::vector<std::size_t>> Holders;
  std::vector<double> Loads;
  /// Ranks by falling load.
  std::vector<std::size_t> Order;
  double Mean = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_LAYERPLANNER_H
