//===- LockStepGroup.h - lock-step simulation of ranks ----------*- C++ -*-===//
//
// A rank begins a step once all ranks have begun the previous step and that
// step is finished. Counts steps in which ranks used different maps, and
// computes the load imbalance of each step.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_TEST_LOCKSTEPGROUP_H
#define OSPREYSPUR_TEST_LOCKSTEPGROUP_H

#include "FakeRank.h"

#include "ospreyspur/Experts/ExpertMap.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <string>
#include <vector>

namespace standin {

/// The state of one rank in the lock-step simulation.
struct LockStepRank {
  explicit LockStepRank(bool checksFences) : Model(checksFences) {}

  FakeRank Model;
  bool IsFrozen = false;
  Generation LastGeneration;
  StepNumber LastStep;
  MapVersion LastMap;
  /// Tokens by layer and slot since the last report.
  std::vector<std::uint32_t> SlotTokens;
};

/// The ranks of one group and their statistics.
class LockStepGroup {
public:
  LockStepGroup(std::size_t ranks, bool checksFences)
      : Ranks(ranks, LockStepRank(checksFences)) {}

  std::vector<LockStepRank> Ranks;
  std::uint64_t Steps = 0;
  /// Steps in which two ranks used different maps.
  std::uint64_t Violations = 0;
  std::uint64_t Switches = 0;
  double SkewSum = 0;
  double RecentSkew = 1;

  /// Begins the next step on every rank that may start it. Returns true if all
  /// ranks have begun the same step and that step is not finished yet.
  bool advance() {
    for (LockStepRank &it : Ranks)
      begin(it);
    return std::all_of(Ranks.begin(), Ranks.end(), [this](const auto &it) {
      return it.LastGeneration == Ranks[0].LastGeneration &&
             it.LastStep == Ranks[0].LastStep &&
             it.LastStep.get() > LastFinished;
    });
  }

  /// Finishes the current step, in which the experts processed \p experts
  /// tokens each. Returns the step's skew.
  double finishStep(const std::vector<std::uint32_t> &experts) {
    LastFinished = Ranks[0].LastStep.get();
    ++Steps;
    Result<ExpertMap> map = parseMap(Ranks[0].Model.runningMap());
    if (!map)
      return 1;
    double skew = distributeTokens(map.value(), experts);
    SkewSum += skew;
    RecentSkew = 0.99 * RecentSkew + 0.01 * skew;
    return skew;
  }

private:
  void begin(LockStepRank &rank) {
    const RankState &state = rank.Model.state();
    if (rank.IsFrozen || !rank.Model.mayStart())
      return;
    Generation generation = state.GroupGeneration;
    StepNumber step = state.Step;
    if (generation != rank.LastGeneration && step.get() == 1)
      LastFinished = 0;
    bool isPredecessorBegun =
        std::all_of(Ranks.begin(), Ranks.end(), [&](const auto &it) {
          return step.get() == 1 || (it.LastGeneration == generation &&
                                     it.LastStep.get() + 1 >= step.get());
        });
    if (!isPredecessorBegun || (rank.LastGeneration == generation &&
                                LastFinished < rank.LastStep.get()))
      return;
    MapVersion before = state.Running;
    rank.LastMap = rank.Model.run();
    Switches += rank.LastMap != before;
    rank.LastGeneration = generation;
    rank.LastStep = step;
    for (const LockStepRank &it : Ranks)
      Violations += it.LastGeneration == generation && it.LastStep == step &&
                    it.LastMap != rank.LastMap;
  }

  /// Distributes the tokens over the slots. Returns the highest rank load
  /// divided by the mean rank load.
  double distributeTokens(const ExpertMap &map,
                          const std::vector<std::uint32_t> &experts) {
    const MapShape &shape = map.Shape;
    std::vector<double> demand(shape.Experts, 0);
    for (std::size_t i = 0; i < experts.size(); ++i)
      demand[i % shape.Experts] += experts[i];
    double total = std::accumulate(demand.begin(), demand.end(), 0.0);
    std::vector<double> loads = rankLoads(map, 0, demand);
    std::size_t slotsPerRank = shape.slotsPerLayer() / Ranks.size();
    for (std::size_t i = 0; i < shape.slotsPerLayer(); ++i) {
      ExpertIndex expert = map.Slots[0][i];
      auto copies =
          std::count(map.Slots[0].begin(), map.Slots[0].end(), expert);
      auto &tokens = Ranks[i / slotsPerRank].SlotTokens;
      tokens.resize(shape.Layers * slotsPerRank, 0);
      for (std::size_t layer = 0; layer < shape.Layers; ++layer)
        tokens[layer * slotsPerRank + i % slotsPerRank] +=
            static_cast<std::uint32_t>((demand[expert] * 16 + double(i % 16)) /
                                       double(copies));
    }
    if (total <= 0)
      return 1;
    return *std::max_element(loads.begin(), loads.end()) *
           double(loads.size()) / total;
  }

  std::uint64_t LastFinished = 0;
};

} // namespace standin

#endif // OSPREYSPUR_TEST_LOCKSTEPGROUP_H
