//===- SetPlacement.cpp - one set of layers on a group's ranks ------------===//
//
// The load measure is a power mean of the ranks' loads: close to the highest,
// which the step waits for, but it also falls when one of several equally hot
// ranks is relieved.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/SetPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace ospreyspur;

/// Ranks that a copy is looked for, from the most loaded down.
static constexpr std::size_t HotRanks = 2;

/// The eighth root of the sum of eighth powers.
static double measureLoads(const std::vector<double> &loads) {
  double sum = 0;
  for (double it : loads) {
    double square = it * it;
    double fourth = square * square;
    sum += fourth * fourth;
  }
  return std::sqrt(std::sqrt(std::sqrt(sum)));
}

SetPlacement::SetPlacement(std::vector<std::vector<ExpertNumber>> ranks,
                           std::vector<double> demand)
    : Ranks(std::move(ranks)), Demand(std::move(demand)),
      Holders(Demand.size()), Loads(Ranks.size(), 0.0) {
  for (unsigned rank = 0; rank < Ranks.size(); ++rank)
    for (ExpertNumber it : Ranks[rank])
      Holders[it].push_back(rank);
  for (unsigned rank = 0; rank < Ranks.size(); ++rank)
    for (ExpertNumber it : Ranks[rank])
      Loads[rank] += share(it);
  Mean = std::accumulate(Loads.begin(), Loads.end(), 0.0) /
         double(std::max<std::size_t>(Loads.size(), 1));
  Measure = measureLoads(Loads);
}

/// What each holder of \p expert bears of its demand.
double SetPlacement::share(ExpertNumber expert) const {
  return Demand[expert] /
         double(std::max<std::size_t>(Holders[expert].size(), 1));
}

bool SetPlacement::holds(unsigned rank, ExpertNumber expert) const {
  const std::vector<unsigned> &it = Holders[expert];
  return std::find(it.begin(), it.end(), rank) != it.end();
}

double SetPlacement::skew() const {
  if (Mean <= 0)
    return 1;
  return *std::max_element(Loads.begin(), Loads.end()) / Mean;
}

std::vector<double> SetPlacement::loadsAfter(const ExpertCopy &copy) const {
  std::vector<double> loads = Loads;
  if (copy.Evicted) {
    const std::vector<unsigned> &holders = Holders[*copy.Evicted];
    double before = share(*copy.Evicted);
    double after = Demand[*copy.Evicted] / double(holders.size() - 1);
    for (unsigned it : holders)
      loads[it] += after - before;
    loads[copy.Rank] -= after;
  }
  const std::vector<unsigned> &holders = Holders[copy.Expert];
  double before = share(copy.Expert);
  double after = Demand[copy.Expert] / double(holders.size() + 1);
  for (unsigned it : holders)
    loads[it] += after - before;
  loads[copy.Rank] += after;
  return loads;
}

void SetPlacement::apply(const ExpertCopy &copy) {
  Loads = loadsAfter(copy);
  Measure = measureLoads(Loads);
  if (copy.Evicted) {
    std::erase(Holders[*copy.Evicted], copy.Rank);
    std::erase(Ranks[copy.Rank], *copy.Evicted);
  }
  Holders[copy.Expert].push_back(copy.Rank);
  Ranks[copy.Rank].push_back(copy.Expert);
}

std::vector<unsigned> SetPlacement::hottest() const {
  std::vector<unsigned> order(Ranks.size());
  std::iota(order.begin(), order.end(), 0U);
  std::size_t n = std::min(HotRanks, order.size());
  std::partial_sort(
      order.begin(), order.begin() + std::ptrdiff_t(n), order.end(),
      [this](unsigned a, unsigned b) { return Loads[a] > Loads[b]; });
  order.resize(n);
  return order;
}

std::optional<ExpertCopy>
SetPlacement::findCopy(std::size_t places,
                       const std::function<bool(unsigned)> &mayTake) const {
  std::optional<ExpertCopy> best;
  for (unsigned hot : hottest())
    for (ExpertNumber expert : Ranks[hot])
      for (unsigned rank = 0; rank < Ranks.size(); ++rank)
        if (Loads[rank] < Loads[hot] && !holds(rank, expert) && mayTake(rank))
          considerRank(rank, expert, places, best);
  return best;
}

/// Looks at all ways to make room for \p expert on \p rank.
void SetPlacement::considerRank(unsigned rank, ExpertNumber expert,
                                std::size_t places,
                                std::optional<ExpertCopy> &best) const {
  if (Ranks[rank].size() < places) {
    consider({rank, expert, std::nullopt, 0}, best);
    return;
  }
  for (ExpertNumber it : Ranks[rank])
    if (Holders[it].size() > 1)
      consider({rank, expert, it, 0}, best);
}

void SetPlacement::consider(ExpertCopy copy,
                            std::optional<ExpertCopy> &best) const {
  if (Mean <= 0)
    return;
  copy.Gain = (Measure - measureLoads(loadsAfter(copy))) / Mean;
  if (copy.Gain > 0 && (!best || copy.Gain > best->Gain))
    best = copy;
}
