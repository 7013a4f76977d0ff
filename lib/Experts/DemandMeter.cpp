//===- DemandMeter.cpp - which experts are in demand now ------------------===//
//
// See DemandMeter.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandMeter.h"

#include <cmath>
#include <numeric>

using namespace ospreyspur;

void DemandMeter::add(const std::vector<std::uint32_t> &picks, TimePoint now) {
  fade(now);
  Demand.resize(picks.size());
  for (std::size_t i = 0; i < picks.size(); ++i)
    Demand[i] += double(picks[i]);
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
