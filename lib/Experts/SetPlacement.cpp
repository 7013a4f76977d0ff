//===- SetPlacement.cpp - one set of layers on a group's ranks ------------===//
//
// The load measure is the 8-norm of the ranks' loads: the eighth root of the
// sum of their eighth powers. It is close to the highest load, which determines
// the step time, but also falls when one of several equally loaded ranks is
// relieved.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/SetPlacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace ospreyspur;

/// Number of the most loaded ranks for whose experts copies are considered.
static constexpr std::size_t HotRanks = 2;

/// A rank with at least this slowdown may drop experts.
static constexpr double DropSlowdown = 1.5;

static double eighthPower(double it) {
  double square = it * it;
  double fourth = square * square;
  return fourth * fourth;
}

static double eighthRoot(double it) {
  return std::sqrt(std::sqrt(std::sqrt(std::max(it, 0.0))));
}

SetPlacement::SetPlacement(std::vector<std::vector<ExpertNumber>> ranks,
                           std::vector<double> demand,
                           std::vector<double> slowdowns)
    : Ranks(std::move(ranks)), Demand(std::move(demand)),
      Slowdowns(std::move(slowdowns)), Holders(Demand.size()),
      Loads(Ranks.size(), 0.0) {
  Slowdowns.resize(Ranks.size(), 1.0);
  for (unsigned rank = 0; rank < Ranks.size(); ++rank)
    for (ExpertNumber it : Ranks[rank])
      Holders[it].push_back(rank);
  for (unsigned rank = 0; rank < Ranks.size(); ++rank)
    for (ExpertNumber it : Ranks[rank])
      Loads[rank] += share(it) * Slowdowns[rank];
  Mean = std::accumulate(Demand.begin(), Demand.end(), 0.0) /
         double(std::max<std::size_t>(Loads.size(), 1));
  for (double it : Loads)
    EighthPowerSum += eighthPower(it);
  LoadMeasure = eighthRoot(EighthPowerSum);
}

/// The part of the demand for \p expert that each of its holders serves.
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

void SetPlacement::changeLoad(unsigned rank, double by) const {
  double before = Loads[rank];
  SavedLoads.push_back({rank, before});
  Loads[rank] += by * Slowdowns[rank];
  EighthPowerSum += eighthPower(Loads[rank]) - eighthPower(before);
}

void SetPlacement::addShares(const std::vector<unsigned> &ranks,
                             double share) const {
  for (unsigned it : ranks)
    changeLoad(it, share);
}

/// Changes the loads as \p copy would.
void SetPlacement::tryCopy(const ExpertCopy &copy) const {
  SavedLoads.clear();
  if (copy.Evicted) {
    const std::vector<unsigned> &holders = Holders[*copy.Evicted];
    double after = Demand[*copy.Evicted] / double(holders.size() - 1);
    addShares(holders, after - share(*copy.Evicted));
    changeLoad(copy.Rank, -after);
  }
  if (!copy.Expert)
    return;
  const std::vector<unsigned> &holders = Holders[*copy.Expert];
  double after = Demand[*copy.Expert] / double(holders.size() + 1);
  addShares(holders, after - share(*copy.Expert));
  changeLoad(copy.Rank, after);
}

void SetPlacement::undoCopy() const {
  for (; !SavedLoads.empty(); SavedLoads.pop_back())
    Loads[SavedLoads.back().Rank] = SavedLoads.back().Load;
}

void SetPlacement::apply(const ExpertCopy &copy) {
  tryCopy(copy);
  // Sums of differences would accumulate rounding errors over many copies.
  EighthPowerSum = 0;
  for (double it : Loads)
    EighthPowerSum += eighthPower(it);
  LoadMeasure = eighthRoot(EighthPowerSum);
  std::vector<ExpertNumber> &held = Ranks[copy.Rank];
  if (copy.Evicted)
    std::erase(Holders[*copy.Evicted], copy.Rank);
  if (copy.Expert)
    Holders[*copy.Expert].push_back(copy.Rank);
  // The new expert takes the index of the old one, since maps are sent as
  // differences by index.
  if (copy.Evicted && copy.Expert)
    std::replace(held.begin(), held.end(), *copy.Evicted, *copy.Expert);
  else if (copy.Evicted)
    std::erase(held, *copy.Evicted);
  else if (copy.Expert)
    held.push_back(*copy.Expert);
}

std::vector<unsigned> SetPlacement::mostLoadedRanks() const {
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
  for (unsigned hot : mostLoadedRanks()) {
    if (Slowdowns[hot] >= DropSlowdown)
      considerDropping(hot, best);
    for (ExpertNumber expert : Ranks[hot])
      for (unsigned rank = 0; rank < Ranks.size(); ++rank)
        if (Loads[rank] < Loads[hot] && !holds(rank, expert) && mayTake(rank))
          considerCopy(rank, expert, places, best);
  }
  return best;
}

/// Considers dropping experts from a slow rank to lower its load; other ranks
/// must hold those experts, too.
void SetPlacement::considerDropping(unsigned rank,
                                    std::optional<ExpertCopy> &best) const {
  for (ExpertNumber it : Ranks[rank])
    if (Holders[it].size() > 1)
      consider({rank, std::nullopt, it, 0}, best);
}

/// Considers all ways to place \p expert on \p rank.
void SetPlacement::considerCopy(unsigned rank, ExpertNumber expert,
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
  double sum = EighthPowerSum;
  tryCopy(copy);
  copy.Gain = (LoadMeasure - eighthRoot(EighthPowerSum)) / Mean;
  undoCopy();
  EighthPowerSum = sum;
  if (copy.Gain > 0 && (!best || copy.Gain > best->Gain))
    best = copy;
}
