//===- DemandMeter.cpp - which experts are in demand now ------------------===//
//
// See DemandMeter.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandMeter.h"

#include <cmath>
#include <numeric>

using namespace ospreyspur;

void DemandMeter::add(unsigned rank, FormationEpoch formation,
                      const std::vector<std::uint64_t> &counts, TimePoint now) {
  fade(now);
  Last &last = Ranks[rank];
  bool isSame =
      last.Formation == formation && last.Counts.size() == counts.size();
  if (isSame) {
    Demand.resize(counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i)
      if (counts[i] > last.Counts[i])
        Demand[i] += double(counts[i] - last.Counts[i]);
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
