//===- LayerPlanner.h - improves one layer of a map -------------*- C++ -*-===//
//
// Keeps the slots, copies and rank loads of one layer, and finds the next
// change that relieves the rank with the highest load.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_LAYERPLANNER_H
#define OSPREYSPUR_EXPERTS_LAYERPLANNER_H

#include "ospreyspur/Experts/ExpertMap.h"

#include <optional>
#include <vector>

namespace ospreyspur {

/// A change of one slot or an exchange between two slots.
struct LayerChange {
  /// The slot that receives \c FirstExpert.
  std::size_t FirstSlot = 0;
  ExpertIndex FirstExpert = 0;
  /// For an exchange, the other slot; for a copy, the same as the first.
  std::size_t SecondSlot = 0;
  ExpertIndex SecondExpert = 0;
  /// Number of experts to load.
  std::size_t Moves = 0;
  /// Reduction of the highest load among the affected ranks, in units of the
  /// mean load.
  double Gain = 0;
};

/// One layer of a map while it is being improved.
class LayerPlanner {
public:
  LayerPlanner(const ExpertMap &map, std::size_t layer,
               const std::vector<double> &demand);

  /// The change with the highest gain per move; none if no change has a gain.
  std::optional<LayerChange> findChange() const;

  /// Applies \p change.
  void apply(const LayerChange &change);

  /// Highest rank load divided by the mean.
  double skew() const;

  const std::vector<ExpertIndex> &slots() const { return Slots; }

private:
  std::size_t rankOf(std::size_t slot) const { return slot / SlotsPerRank; }
  bool holds(std::size_t rank, ExpertIndex expert) const;
  double loadPerCopy(ExpertIndex expert) const;
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
  /// The slots that hold each expert.
  std::vector<std::vector<std::size_t>> Holders;
  std::vector<double> Loads;
  /// Ranks in descending order of load.
  std::vector<std::size_t> Order;
  double Mean = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_LAYERPLANNER_H
