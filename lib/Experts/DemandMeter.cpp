//===- DemandMeter.cpp - which experts are in demand now ------------------===//
//
// See DemandMeter.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandMeter.h"

#include <cmath>
#include <numeric>

using namespace ospreyspur;

/// How much of what a rank counted before its first report stands for its
/// demand until more is known: a tenth of a second's of a rank that has worked
/// for a minute, so that what follows soon outweighs it.
static constexpr double PriorPart = 0.002;

void DemandMeter::add(unsigned rank, FormationEpoch formation,
                      const std::vector<std::uint64_t> &counts, TimePoint now) {
  fade(now);
  auto [it, isNew] = Ranks.try_emplace(rank);
  Last &last = it->second;
  bool isSame =
      last.Formation == formation && last.Counts.size() == counts.size();
  if (isNew || isSame)
    Demand.resize(counts.size());
  for (std::size_t i = 0; isNew && i < counts.size(); ++i)
    Demand[i] += double(counts[i]) * PriorPart;
  for (std::size_t i = 0; isSame && i < counts.size(); ++i)
    if (counts[i] > last.Counts[i]) {
      Demand[i] += double(counts[i] - last.Counts[i]);
      IsMeasured = true;
    }
  last = {formation, counts};
}

double DemandMeter::total() const {
  return std::accumulate(Demand.begin(), Demand.end(), 0.0);
}

void DemandMeter::fade(TimePoint now) {
  double age = double((now - FadedAt).count()) / double(HalfLife.count());
  FadedAt = now;
  double rest = std::exp2(-age);
  for (double &it : Demand)
    it *= rest;
}
