//===- Fabric.h - lock-step simulation of a group's ranks -------*- C++ -*-===//
//
// A rank begins a step once all ranks have begun the step before. Counts steps
// in which ranks used different maps, and computes the load imbalance of each
// step.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_FABRIC_H
#define OSPREYSPUR_TEST_FABRIC_H

#include "RankModel.h"

#include "ospreyspur/Experts/ExpertMap.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>
#include <vector>

namespace standin {

/// The state of one rank in the lock-step simulation.
struct FabricRank {
  explicit FabricRank(bool checksFences) : Model(checksFences) {}

  RankModel Model;
  bool IsFrozen = false;
  Generation BegunIn;
  StepNumber Begun;
  MapVersion BegunWith;
  /// Tokens by layer and slot since the last report.
  std::vector<std::uint32_t> SlotTokens;
};

/// The ranks of one group and their statistics.
class Fabric {
public:
  Fabric(std::size_t ranks, bool checksFences)
      : Ranks(ranks, FabricRank(checksFences)) {}

  std::vector<FabricRank> Ranks;
  std::uint64_t Steps = 0;
  /// Steps in which two ranks used different maps.
  std::uint64_t Violations = 0;
  std::uint64_t Switches = 0;
  double SkewSum = 0;
  double RecentSkew = 1;

  /// Begins the next step on every rank that may start it. Returns true if all
  /// ranks have begun the same step and that step is not finished yet.
  bool advance() {
    for (FabricRank &it : Ranks)
      begin(it);
    return std::all_of(Ranks.begin(), Ranks.end(), [this](const auto &it) {
      return it.BegunIn == Ranks[0].BegunIn && it.Begun == Ranks[0].Begun &&
             it.Begun.get() > LastWhole;
    });
  }

  /// Finishes the current step, in which the experts processed \p experts
  /// tokens each. Returns the step's skew.
  double finishStep(const std::vector<std::uint32_t> &experts) {
    LastWhole = Ranks[0].Begun.get();
    ++Steps;
    Result<ExpertMap> map = parseMap(Ranks[0].Model.runningMap());
    if (!map)
      return 1;
    double skew = countTokens(map.value(), experts);
    SkewSum += skew;
    RecentSkew = 0.99 * RecentSkew + 0.01 * skew;
    return skew;
  }

private:
  void begin(FabricRank &rank) {
    const RankState &state = rank.Model.state();
    if (rank.IsFrozen || !rank.Model.mayStart())
      return;
    Generation generation = state.GroupGeneration;
    StepNumber step = state.Step;
    if (generation != rank.BegunIn && step.get() == 1)
      LastWhole = 0;
    bool isPast = std::all_of(Ranks.begin(), Ranks.end(), [&](const auto &it) {
      return step.get() == 1 ||
             (it.BegunIn == generation && it.Begun.get() + 1 >= step.get());
    });
    if (!isPast || (rank.BegunIn == generation && LastWhole < rank.Begun.get()))
      return;
    MapVersion before = state.Running;
    rank.BegunWith = rank.Model.run();
    Switches += rank.BegunWith != before;
    rank.BegunIn = generation;
    rank.Begun = step;
    for (const FabricRank &it : Ranks)
      Violations += it.BegunIn == generation && it.Begun == step &&
                    it.BegunWith != rank.BegunWith;
  }

  /// Distributes the tokens over the slots. Returns the highest rank load
  /// divided by the mean rank load.
  double countTokens(const ExpertMap &map,
                     const std::vector<std::uint32_t> &experts) {
    const MapShape &shape = map.Shape;
    std::vector<double> demand(shape.Experts, 0);
    for (std::size_t i = 0; i < experts.size(); ++i)
      demand[i % shape.Experts] += experts[i];
    double total = std::accumulate(demand.begin(), demand.end(), 0.0);
    std::vector<double> loads = rankLoads(map, 0, demand);
    std::size_t share = shape.slotsPerLayer() / Ranks.size();
    for (std::size_t i = 0; i < shape.slotsPerLayer(); ++i) {
      ExpertIndex expert = map.Slots[0][i];
      auto copies =
          std::count(map.Slots[0].begin(), map.Slots[0].end(), expert);
      auto &tokens = Ranks[i / share].SlotTokens;
      tokens.resize(shape.Layers * share, 0);
      for (std::size_t layer = 0; layer < shape.Layers; ++layer)
        tokens[layer * share + i % share] += static_cast<std::uint32_t>(
            (demand[expert] * 16 + double(i % 16)) / double(copies));
    }
    if (total <= 0)
      return 1;
    return *std::max_element(loads.begin(), loads.end()) *
           double(loads.size()) / total;
  }

  std::uint64_t LastWhole = 0;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_FABRIC_H
