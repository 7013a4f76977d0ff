//===- DemandMeter.h - which experts are in demand now ----------*- C++ -*-===//
//
// Adds up the counts of a group's ranks and lets old ones fade, so that a shift
// of demand shows within a second.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_DEMANDMETER_H
#define OSPREYSPUR_EXPERTS_DEMANDMETER_H

#include "ospreyspur/Experts/RankStatus.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <vector>

namespace ospreyspur {

/// The demand of one group.
class DemandMeter {
public:
  /// A count is worth half after \p halfLife.
  explicit DemandMeter(Duration halfLife) : HalfLife(halfLife) {}

  /// Takes a rank's counts since its start.
  void add(unsigned rank, FormationEpoch formation,
           const std::vector<std::uint64_t> &counts, TimePoint now);

  /// The demand for each expert, set by set; empty before the second report.
  const std::vector<double> &demand() const { return Demand; }
  /// All of it together.
  double total() const;

private:
  struct Last {
    FormationEpoch Formation;
    std::vector<std::uint64_t> Counts;
  };

  void fade(TimePoint now);

  Duration HalfLife;
  std::vector<double> Demand;
  TimePoint FadedAt;
  std::map<unsigned, Last> Ranks;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_DEMANDMETER_H
