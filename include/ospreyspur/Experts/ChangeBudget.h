//===- ChangeBudget.h - how much one change of a map may bring --*- C++ -*-===//
//
// A copy makes passes longer while it goes on, and a plan that follows every
// chance of the last samples copies for nothing. But where experts are small
// more of them are copied in the same time, and in a large group relieving one
// of many equally hot ranks changes the measure of a set so little that one
// least gain for all groups ends its plans early: with 96 ranks at a skew of
// 1.8.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_CHANGEBUDGET_H
#define OSPREYSPUR_EXPERTS_CHANGEBUDGET_H

#include "ospreyspur/Support/Time.h"

#include <cstddef>

namespace ospreyspur {

/// Bounds the changes of one group.
class ChangeBudget {
public:
  /// How long a rank may copy for a change, but for one expert that may take
  /// longer; twice as long for an urgent one. On ranks of a group of 96 with
  /// experts of 18 ms, single plays of 18 s: two experts and more samples
  /// served best (mean worth 0.87 of 0.82 before), four without them no better
  /// (0.80).
  static constexpr Duration Copying = std::chrono::milliseconds(40);
  /// The least gain that a copy is worth in groups of up to LargeFrom ranks, as
  /// part of a set's mean load; in larger ones less by as much as they are
  /// larger. Trials with groups of 8 to 32 found the first, with 96 half of it.
  static constexpr double MinGain = 0.04;
  static constexpr std::size_t LargeFrom = 48;

  /// \p copyTime: how long a rank copies one expert; zero if unknown.
  ChangeBudget(Duration copyTime, std::size_t ranks)
      : CopyTime(copyTime), Ranks(ranks) {}

  /// New experts that a change may bring to a rank in all its sets.
  std::size_t newPerRank(bool isUrgent) const;
  double minGain() const;

private:
  Duration CopyTime;
  std::size_t Ranks;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_CHANGEBUDGET_H
