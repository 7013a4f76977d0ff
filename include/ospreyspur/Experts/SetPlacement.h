//===- SetPlacement.h - one set of layers on a group's ranks ----*- C++ -*-===//
//
// The placement of one set's experts, the resulting load of each rank, and the
// most useful next copy.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_SETPLACEMENT_H
#define OSPREYSPUR_EXPERTS_SETPLACEMENT_H

#include "ospreyspur/Experts/PlacementPlanner.h"

#include <functional>
#include <optional>
#include <vector>

namespace ospreyspur {

/// Copy \c Expert to \c Rank, or only drop \c Evicted from the rank.
struct ExpertCopy {
  unsigned Rank = 0;
  std::optional<ExpertNumber> Expert;
  /// The expert that is dropped for the copy; none if there is a free place.
  std::optional<ExpertNumber> Evicted;
  /// Reduction of the set's load measure, in units of the mean load.
  double Gain = 0;
};

/// The placement of one set of layers.
class SetPlacement {
public:
  /// \p ranks holds each rank's experts, \p demand the demand for each expert
  /// and \p slowdowns the slowdown of each rank; empty if all ranks run at
  /// normal speed.
  SetPlacement(std::vector<std::vector<ExpertNumber>> ranks,
               std::vector<double> demand, std::vector<double> slowdowns = {});

  /// The copy with the highest gain to a rank for which \p mayTake returns
  /// true, or the drop from a slow rank, if that gains more; none if nothing
  /// has a gain. Considers only experts of the most loaded ranks. No rank holds
  /// more than \p places experts.
  std::optional<ExpertCopy>
  findCopy(std::size_t places,
           const std::function<bool(unsigned)> &mayTake) const;
  void apply(const ExpertCopy &copy);

  /// Highest rank load over the mean.
  double skew() const;
  const std::vector<std::vector<ExpertNumber>> &ranks() const { return Ranks; }

private:
  double share(ExpertNumber expert) const;
  bool holds(unsigned rank, ExpertNumber expert) const;
  void addShares(const std::vector<unsigned> &ranks, double share) const;
  void changeLoad(unsigned rank, double by) const;
  void tryCopy(const ExpertCopy &copy) const;
  void undoCopy() const;
  std::vector<unsigned> mostLoadedRanks() const;
  void considerDropping(unsigned rank, std::optional<ExpertCopy> &best) const;
  void considerCopy(unsigned rank, ExpertNumber expert, std::size_t places,
                    std::optional<ExpertCopy> &best) const;
  void consider(ExpertCopy copy, std::optional<ExpertCopy> &best) const;

  std::vector<std::vector<ExpertNumber>> Ranks;
  std::vector<double> Demand;
  std::vector<double> Slowdowns;
  /// The ranks that hold each expert.
  std::vector<std::vector<unsigned>> Holders;
  struct SavedLoad {
    unsigned Rank = 0;
    double Load = 0;
  };

  /// Each rank's share of the demand, times its slowdown. Evaluating a copy
  /// changes the loads of a few ranks only; they are restored afterwards.
  mutable std::vector<double> Loads;
  mutable std::vector<SavedLoad> SavedLoads;
  /// The sum of the eighth powers of Loads.
  mutable double EighthPowerSum = 0;
  double Mean = 0;
  /// The load measure of Loads: the eighth root of EighthPowerSum.
  double LoadMeasure = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_SETPLACEMENT_H
