//===- PlacementPlanner.cpp - which experts each rank should hold ---------===//
//
// Greedy: applies the copy with the highest gain in any set until no copy is
// worth its cost. The best copy of a set is recomputed only after a change that
// affects the copy.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/PlacementPlanner.h"

#include "ospreyspur/Experts/SetPlacement.h"

#include <algorithm>

using namespace ospreyspur;

namespace {
/// A plan under construction.
class PlanBuilder {
public:
  PlanBuilder(const PlacementLimits &limits, const GroupPlacement &current,
              const std::vector<double> &demand,
              const std::vector<double> &slowdowns);

  PlacementPlan build();

private:
  bool mayTake(std::size_t set, unsigned rank) const;
  void findCopies();
  void invalidateCopiesTo(unsigned rank);
  double meanSkew() const;

  const PlacementLimits &Limits;
  std::size_t RankCount;
  std::vector<SetPlacement> Sets;
  /// The best copy of each set; recomputed if not known.
  std::vector<std::optional<ExpertCopy>> Best;
  std::vector<bool> IsKnown;
  /// New experts by rank, and by set and rank.
  std::vector<std::size_t> NewOnRank;
  std::vector<std::vector<std::size_t>> NewInSet;
};
} // namespace

PlanBuilder::PlanBuilder(const PlacementLimits &limits,
                         const GroupPlacement &current,
                         const std::vector<double> &demand,
                         const std::vector<double> &slowdowns)
    : Limits(limits), RankCount(current.size()) {
  std::size_t sets = current.empty() ? 0 : current.front().size();
  std::size_t experts = sets == 0 ? 0 : demand.size() / sets;
  for (std::size_t set = 0; set < sets; ++set) {
    std::vector<std::vector<ExpertNumber>> ranks;
    for (const RankPlacement &it : current)
      ranks.push_back(it[set]);
    auto first = demand.begin() + std::ptrdiff_t(set * experts);
    Sets.emplace_back(
        std::move(ranks),
        std::vector<double>(first, first + std::ptrdiff_t(experts)), slowdowns);
  }
  Best.resize(sets);
  IsKnown.resize(sets, false);
  NewOnRank.resize(RankCount, 0);
  NewInSet.assign(sets, std::vector<std::size_t>(RankCount, 0));
}

bool PlanBuilder::mayTake(std::size_t set, unsigned rank) const {
  return NewOnRank[rank] < Limits.NewPerRank &&
         NewInSet[set][rank] < Limits.NewPerSet;
}

void PlanBuilder::findCopies() {
  for (std::size_t set = 0; set < Sets.size(); ++set) {
    if (IsKnown[set])
      continue;
    Best[set] = Sets[set].findCopy(
        Limits.Places, [&](unsigned rank) { return mayTake(set, rank); });
    IsKnown[set] = true;
  }
}

void PlanBuilder::invalidateCopiesTo(unsigned rank) {
  for (std::size_t set = 0; set < Sets.size(); ++set)
    if (Best[set] && Best[set]->Rank == rank)
      IsKnown[set] = false;
}

double PlanBuilder::meanSkew() const {
  double sum = 0;
  for (const SetPlacement &it : Sets)
    sum += it.skew();
  return Sets.empty() ? 1 : sum / double(Sets.size());
}

PlacementPlan PlanBuilder::build() {
  PlacementPlan plan;
  plan.SkewBefore = meanSkew();
  for (;;) {
    findCopies();
    auto best = std::max_element(Best.begin(), Best.end(),
                                 [](const auto &a, const auto &b) {
                                   return (a ? a->Gain : 0) < (b ? b->Gain : 0);
                                 });
    if (best == Best.end() || !*best || (*best)->Gain < Limits.MinGain)
      break;
    auto set = std::size_t(best - Best.begin());
    unsigned rank = (*best)->Rank;
    Sets[set].apply(**best);
    bool isNew = (*best)->Expert.has_value();
    IsKnown[set] = false;
    if (!isNew)
      continue;
    ++plan.Copies;
    ++NewInSet[set][rank];
    // A rank at its limit for this change is excluded in all sets. Copies to
    // other ranks stay the best of their sets.
    if (++NewOnRank[rank] >= Limits.NewPerRank)
      invalidateCopiesTo(rank);
  }
  plan.SkewAfter = meanSkew();
  plan.Placement.resize(RankCount);
  for (unsigned rank = 0; rank < RankCount; ++rank)
    for (const SetPlacement &set : Sets)
      plan.Placement[rank].push_back(set.ranks()[rank]);
  return plan;
}

PlacementPlan
PlacementPlanner::plan(const GroupPlacement &current,
                       const std::vector<double> &demand,
                       const std::vector<double> &slowdowns) const {
  return PlanBuilder(Limits, current, demand, slowdowns).build();
}
