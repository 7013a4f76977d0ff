//===- DemandMeter.cpp - current demand for each expert -------------------===//
//
// See DemandMeter.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/DemandMeter.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

using namespace ospreyspur;

static double sumOf(const std::vector<double> &it) {
  return std::accumulate(it.begin(), it.end(), 0.0);
}

static void addTo(std::vector<double> &sum,
                  const std::vector<std::uint32_t> &counts, double times) {
  sum.resize(counts.size());
  for (std::size_t i = 0; i < counts.size(); ++i)
    sum[i] += times * double(counts[i]);
}

void DemandMeter::add(const std::vector<std::uint32_t> &picks, TimePoint now) {
  if (picks.size() != Demand.size()) {
    Last.clear();
    LastSum.clear();
    Demand.assign(picks.size(), 0);
    Usual = 0;
    Compared = 0;
  }
  fade(now);
  addTo(Demand, picks, 1);
  addTo(LastSum, picks, 1);
  Last.push_back(picks);
  ++SinceChange;
  if (Last.size() > Limits.Recent) {
    addTo(LastSum, Last.front(), -1);
    Last.pop_front();
  }
  if (SinceChange >= 2 * Limits.Recent)
    compare(now);
}

double DemandMeter::total() const { return sumOf(Demand); }

bool DemandMeter::isSettled(TimePoint now) const {
  return Changes == 0 || SinceChange >= Limits.SettledFrom ||
         now - ChangedAt >= Limits.LongestSettling;
}

/// The longer the demand has been stable, the longer older samples count.
void DemandMeter::fade(TimePoint now) {
  Duration alike = Changes == 0 ? Limits.HalfLife : now - ChangedAt;
  Duration halfLife =
      std::clamp(alike, Limits.ShortestHalfLife, Limits.HalfLife);
  double age = double((now - FadedAt).count()) / double(halfLife.count());
  FadedAt = now;
  double rest = std::exp2(-age);
  for (double &it : Demand)
    it *= rest;
}

bool DemandMeter::isContradicted(double apart) const {
  return Compared >= Limits.UsualFrom && apart > Limits.LeastChange &&
         apart > Limits.UsualFactor * Usual;
}

/// Restarts the sum if the recent samples contradict it.
void DemandMeter::compare(TimePoint now) {
  double apart = distance();
  bool isChange = isContradicted(apart);
  Compared = std::min(Compared + 1, Limits.UsualOf);
  Usual += (apart - Usual) / double(Compared);
  if (!isChange)
    return;
  ++Changes;
  ChangedAt = now;
  // Older samples contain more of the demand from before the shift.
  std::size_t kept = std::min(Last.size(), Limits.KeptAtChange);
  Last.erase(Last.begin(), Last.end() - std::ptrdiff_t(kept));
  SinceChange = Last.size();
  std::fill(LastSum.begin(), LastSum.end(), 0.0);
  for (const Counts &it : Last)
    addTo(LastSum, it, 1);
  Demand = LastSum;
}

/// The fraction of the demand by which the recent and the older samples differ.
double DemandMeter::distance() const {
  double recent = sumOf(LastSum);
  double before = total() - recent;
  if (recent <= 0 || before <= 0)
    return 0;
  double out = 0;
  for (std::size_t i = 0; i < Demand.size(); ++i) {
    double older = std::max(0.0, Demand[i] - LastSum[i]);
    out += std::abs(LastSum[i] / recent - older / before);
  }
  return out / 2;
}
