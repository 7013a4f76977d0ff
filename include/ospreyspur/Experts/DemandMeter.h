//===- DemandMeter.h - which experts are in demand now ----------*- C++ -*-===//
//
// Adds up the samples of a group's ranks and lets old ones fade, so that a
// shift of demand shows within a second.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_DEMANDMETER_H
#define OSPREYSPUR_EXPERTS_DEMANDMETER_H

#include "ospreyspur/Support/Time.h"

#include <cstdint>
#include <vector>

namespace ospreyspur {

/// The demand of one group.
class DemandMeter {
public:
  /// A sample is worth half after \p halfLife.
  explicit DemandMeter(Duration halfLife) : HalfLife(halfLife) {}

  /// Takes what a rank's requests chose, set by set.
  void add(const std::vector<std::uint32_t> &picks, TimePoint now);

  /// The demand for each expert, set by set; empty before the first sample.
  const std::vector<double> &demand() const { return Demand; }
  /// All of it together.
  double total() const;

private:
  void fade(TimePoint now);

  Duration HalfLife;
  std::vector<double> Demand;
  TimePoint FadedAt;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDMETER_H
