//===- DemandMeter.h - which experts are in demand now ----------*- C++ -*-===//
//
// Adds up the samples of a group's ranks. Demand stays alike for seconds and
// then changes at once, in another part each time. A sum that only fades mixes
// what was with what is: on recorded counts of 63 ranks a shift moves 0.23 of
// the demand, a sum with a half-life of 0.4 s still had half of the old after
// the first change of map, so that maps planned for a skew of 1.45 came into
// force at 1.65. So the last few samples are held against the sum, and where
// they contradict it, it is begun anew with them.
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

/// How a demand is measured.
struct DemandLimits {
  /// A sample is worth half after this time, once the demand has stayed alike
  /// for longer; before that, after the time since it changed.
  Duration HalfLife = std::chrono::milliseconds(800);
  Duration ShortestHalfLife = std::chrono::milliseconds(150);
  /// Samples that are held against the sum. Eight of one rank each were apart
  /// from a group's demand by 0.04, sixteen by 0.03 (recorded counts of 63
  /// ranks); a small group is heard whole.
  std::size_t Recent = 12;
  /// They contradict it from this part of the demand on, if that is also
  /// UsualFactor times what they are apart on average: where few streams write,
  /// each that ends changes what is liked.
  double LeastChange = 0.09;
  double UsualFactor = 2.5;
  /// Of how many comparisons the average is taken, and how many there have to
  /// be before it says anything.
  std::size_t UsualOf = 64;
  std::size_t UsualFrom = 16;
  /// How many of the last samples the sum is begun anew with.
  std::size_t KeptAtChange = 4;
  /// Samples from which a plan may be made after a change: the first ones
  /// still have a part from before it.
  std::size_t SettledFrom = 12;
  /// Nobody waits longer than this for them.
  Duration LongestSettling = std::chrono::milliseconds(250);
};

/// The demand of one group.
class DemandMeter {
public:
  explicit DemandMeter(DemandLimits limits) : Limits(limits) {}

  // Commands.

  /// Takes what a rank's requests chose, set by set.
  void add(const std::vector<std::uint32_t> &picks, TimePoint now);

  // Queries.

  /// The demand for each expert, set by set; empty before the first sample.
  const std::vector<double> &demand() const { return Demand; }
  /// All of it together.
  double total() const;
  /// Whether enough has been heard since the demand last changed.
  bool isSettled(TimePoint now) const;
  /// Times that the demand was found to have changed.
  std::uint64_t changes() const { return Changes; }

private:
  using Counts = std::vector<std::uint32_t>;

  void fade(TimePoint now);
  void compare(TimePoint now);
  double distance() const;
  bool isContradicted(double apart) const;

  DemandLimits Limits;
  std::vector<double> Demand;
  TimePoint FadedAt;
  /// The last samples, which Demand has too, and their sum.
  std::deque<Counts> Last;
  std::vector<double> LastSum;
  /// How far the last samples are apart from those before, on average.
  double Usual = 0;
  std::size_t Compared = 0;
  std::uint64_t Changes = 0;
  TimePoint ChangedAt;
  std::size_t SinceChange = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDMETER_H
