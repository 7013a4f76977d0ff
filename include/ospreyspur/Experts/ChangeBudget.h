//===- ChangeBudget.h - size limits of a map change -------------*- C++ -*-===//
//
// Copying an expert's weights slows the rank's engine iterations, and a plan
// that follows the random variation of the latest samples causes copies without
// benefit. Both costs are proportional to the time that a rank takes to copy
// one expert. The size of a change and the minimum gain of a copy therefore
// follow from that time, which the engine's operators configure. A minimum gain
// that suits experts of 0.15 s is too high for experts of 14 ms: a group of 63
// ranks with such experts ended at an imbalance of 1.5 with 60 copies; 220
// copies reach 1.12.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_CHANGEBUDGET_H
#define OSPREYSPUR_EXPERTS_CHANGEBUDGET_H

#include "ospreyspur/Support/Time.h"

#include <cstddef>

namespace ospreyspur {

/// Bounds the size of each map change of one group.
class ChangeBudget {
public:
  /// Time that a rank may spend on copies for one change; twice as long if the
  /// change is urgent. A change always allows one expert, even if its copy
  /// takes longer. After a demand shift, the imbalance of a well-fitting map
  /// jumps from 1.2 to 3.2, and a change takes about 0.3 s in addition to the
  /// copies. Where copies are short, several small changes therefore cost more
  /// engine iterations than one large change. Where one copy exceeds this time,
  /// the opposite holds: with experts of 0.4 s, two copies per rank after a
  /// shift reached a score of 0.70 under steady load, one copy 0.81; the higher
  /// score is the better one.
  static constexpr Duration CopyTimePerChange = std::chrono::milliseconds(60);
  /// Minimum gain of a copy, as a fraction of a set's mean load, if copying an
  /// expert takes ExpensiveCopyTime or longer. Shorter copies need
  /// proportionally less. Fits groups of 8 ranks whose experts take 0.15 s.
  static constexpr double MinGain = 0.04;
  static constexpr Duration ExpensiveCopyTime = std::chrono::milliseconds(150);

  /// \p copyTime is the time that a rank takes to copy one expert; zero if
  /// unknown.
  explicit ChangeBudget(Duration copyTime) : CopyTime(copyTime) {}

  /// Number of new experts that a change may bring to a rank, over all sets. If
  /// the copy time is unknown: 1, or 2 if the change is urgent.
  std::size_t newPerRank(bool isUrgent) const;
  /// Minimum gain of a copy; MinGain if the copy time is unknown.
  double minGain() const;

private:
  Duration CopyTime;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_CHANGEBUDGET_H
