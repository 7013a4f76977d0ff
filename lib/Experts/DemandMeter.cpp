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
    RecentCounts.clear();
    RecentSum.clear();
    Demand.assign(picks.size(), 0);
    AverageDifference = 0;
    Comparisons = 0;
  }
  decay(now);
  addTo(Demand, picks, 1);
  addTo(RecentSum, picks, 1);
  RecentCounts.push_back(picks);
  ++SamplesSinceShift;
  if (RecentCounts.size() > Limits.RecentSamples) {
    addTo(RecentSum, RecentCounts.front(), -1);
    RecentCounts.pop_front();
  }
  if (SamplesSinceShift >= 2 * Limits.RecentSamples)
    compare(now);
}

double DemandMeter::total() const { return sumOf(Demand); }

bool DemandMeter::isSettled(TimePoint now) const {
  return Shifts == 0 || SamplesSinceShift >= Limits.SettlingSamples ||
         now - ShiftedAt >= Limits.MaxSettlingTime;
}

/// The longer the demand has been stable, the longer older samples count.
void DemandMeter::decay(TimePoint now) {
  Duration stableTime = Shifts == 0 ? Limits.HalfLife : now - ShiftedAt;
  Duration halfLife =
      std::clamp(stableTime, Limits.ShortestHalfLife, Limits.HalfLife);
  double age = double((now - DecayedAt).count()) / double(halfLife.count());
  DecayedAt = now;
  double remaining = std::exp2(-age);
  for (double &it : Demand)
    it *= remaining;
}

bool DemandMeter::isContradicted(double difference) const {
  return Comparisons >= Limits.MinComparisons &&
         difference > Limits.MinDifference &&
         difference > Limits.DifferenceFactor * AverageDifference;
}

/// Restarts the sum if the recent samples contradict it.
void DemandMeter::compare(TimePoint now) {
  double difference = distance();
  bool isShift = isContradicted(difference);
  Comparisons = std::min(Comparisons + 1, Limits.AverageWindow);
  AverageDifference += (difference - AverageDifference) / double(Comparisons);
  if (!isShift)
    return;
  ++Shifts;
  ShiftedAt = now;
  // Older samples contain more of the demand from before the shift.
  std::size_t kept = std::min(RecentCounts.size(), Limits.SamplesKeptAtShift);
  RecentCounts.erase(RecentCounts.begin(),
                     RecentCounts.end() - std::ptrdiff_t(kept));
  SamplesSinceShift = RecentCounts.size();
  std::fill(RecentSum.begin(), RecentSum.end(), 0.0);
  for (const Counts &it : RecentCounts)
    addTo(RecentSum, it, 1);
  Demand = RecentSum;
}

/// The fraction of the demand by which the recent and the older samples differ.
double DemandMeter::distance() const {
  double recent = sumOf(RecentSum);
  double before = total() - recent;
  if (recent <= 0 || before <= 0)
    return 0;
  double out = 0;
  for (std::size_t i = 0; i < Demand.size(); ++i) {
    double older = std::max(0.0, Demand[i] - RecentSum[i]);
    out += std::abs(RecentSum[i] / recent - older / before);
  }
  return out / 2;
}
