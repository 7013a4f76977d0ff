//===- SetPlacement.h - one set of layers on a group's ranks ----*- C++ -*-===//
//
// Where the experts of one set are, how loaded that makes each rank, and which
// copy would help most.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_SETPLACEMENT_H
#define OSPREYSPUR_EXPERTS_SETPLACEMENT_H

#include "ospreyspur/Experts/PlacementPlanner.h"

#include <functional>
#include <optional>
#include <vector>

namespace ospreyspur {

/// Copy \c Expert to \c Rank, or have the rank only give \c Evicted up.
struct ExpertCopy {
  unsigned Rank = 0;
  std::optional<ExpertNumber> Expert;
  /// The expert that makes room; none if there is a free place.
  std::optional<ExpertNumber> Evicted;
  /// By how much the set's load measure falls, in mean loads.
  double Gain = 0;
};

/// One set.
class SetPlacement {
public:
  /// \p ranks holds each rank's experts; \p demand that for each expert;
  /// \p paces how many times slower each rank works, empty if none does.
  SetPlacement(std::vector<std::vector<ExpertNumber>> ranks,
               std::vector<double> demand, std::vector<double> paces = {});

  /// The copy with the highest gain to a rank that \p mayTake one more, if any
  /// gains; no rank holds more than \p places.
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
  std::vector<unsigned> hottest() const;
  void considerGivingUp(unsigned rank, std::optional<ExpertCopy> &best) const;
  void considerRank(unsigned rank, ExpertNumber expert, std::size_t places,
                    std::optional<ExpertCopy> &best) const;
  void consider(ExpertCopy copy, std::optional<ExpertCopy> &best) const;

  std::vector<std::vector<ExpertNumber>> Ranks;
  std::vector<double> Demand;
  std::vector<double> Paces;
  /// The ranks that hold each expert.
  std::vector<std::vector<unsigned>> Holders;
  struct Touched {
    unsigned Rank = 0;
    double Load = 0;
  };

  /// The demand that each rank bears, times its pace.
  /// A copy that is tried changes the loads of a few ranks only; they are put
  /// back after it.
  mutable std::vector<double> Loads;
  mutable std::vector<Touched> Undo;
  /// The sum of the loads' eighth powers.
  mutable double Sum = 0;
  double Mean = 0;
  /// The load measure of Loads.
  double Measure = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_SETPLACEMENT_H
