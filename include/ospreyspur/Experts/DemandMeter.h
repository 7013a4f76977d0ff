//===- DemandMeter.h - current demand for each expert -----------*- C++ -*-===//
//
// Adds up the demand samples of a group's ranks. Demand stays similar for
// seconds and then shifts abruptly, each time for other experts. A sum that
// only decays mixes old and new demand: with 63 ranks a shift moves 0.23 of the
// demand, and a sum with a half-life of 0.4 s still consisted of half old
// demand after the first map change, so that maps planned for an imbalance of
// 1.45 took effect at 1.65. The most recent samples are therefore compared with
// the sum; if they contradict it, the sum restarts from them.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_DEMANDMETER_H
#define OSPREYSPUR_EXPERTS_DEMANDMETER_H

#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace ospreyspur {

/// Parameters of a DemandMeter.
struct DemandLimits {
  /// Half-life of a sample once the demand has been stable for at least this
  /// time. Before that, the half-life equals the time since the last shift.
  Duration HalfLife = std::chrono::milliseconds(800);
  Duration ShortestHalfLife = std::chrono::milliseconds(150);
  /// Number of recent samples that are compared with the sum. More samples have
  /// a smaller random error: in a group of 63 ranks, eight samples of one rank
  /// each differed from the group's demand by 0.04, sixteen by 0.03. In a small
  /// group, the recent samples cover every rank.
  std::size_t RecentSamples = 12;
  /// The recent samples contradict the sum if they differ from it by more than
  /// this fraction of the demand and by more than DifferenceFactor times the
  /// average difference. With few decoding streams, the demand changes whenever
  /// one of them ends.
  double MinDifference = 0.09;
  double DifferenceFactor = 2.5;
  /// Number of comparisons in the average difference, and the minimum number
  /// before the average is used.
  std::size_t AverageWindow = 64;
  std::size_t MinComparisons = 16;
  /// Number of recent samples from which the sum restarts.
  std::size_t SamplesKeptAtShift = 4;
  /// Number of samples after a shift before a plan may be made. The first
  /// samples still contain demand from before the shift.
  std::size_t SettlingSamples = 12;
  /// Longest wait for these samples.
  Duration MaxSettlingTime = std::chrono::milliseconds(250);
};

/// The demand of one group.
class DemandMeter {
public:
  explicit DemandMeter(DemandLimits limits) : Limits(limits) {}

  // Commands.

  /// Adds the number of times that a rank's requests chose each expert, set by
  /// set.
  void add(const std::vector<std::uint32_t> &picks, TimePoint now);

  // Queries.

  /// Weighted demand for each expert, set by set; empty before the first
  /// sample.
  const std::vector<double> &demand() const { return Demand; }
  /// Sum of demand().
  double total() const;
  /// Whether enough samples have arrived since the last demand shift.
  bool isSettled(TimePoint now) const;
  /// Number of demand shifts detected so far.
  std::uint64_t shifts() const { return Shifts; }

private:
  using Counts = std::vector<std::uint32_t>;

  void decay(TimePoint now);
  void compare(TimePoint now);
  double distance() const;
  bool isContradicted(double difference) const;

  DemandLimits Limits;
  std::vector<double> Demand;
  TimePoint DecayedAt;
  /// The most recent samples, which Demand includes, and their sum.
  std::deque<Counts> RecentCounts;
  std::vector<double> RecentSum;
  /// Average difference between the recent samples and the older ones.
  double AverageDifference = 0;
  std::size_t Comparisons = 0;
  std::uint64_t Shifts = 0;
  TimePoint ShiftedAt;
  std::size_t SamplesSinceShift = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDMETER_H
