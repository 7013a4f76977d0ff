//===- ChangeBudget.h - how much one change of a map may bring --*- C++ -*-===//
//
// A copy makes passes longer while it goes on, and a plan that follows every
// chance of the last samples copies for nothing. Both cost as much more the
// longer a rank copies one expert, and nothing else does: so what a change may
// bring and the least gain of a copy follow from that time, which the engine's
// operators state. With one least gain for all, that of experts which take 0.15
// s, the plans of a group of 63 ended at a skew of 1.5 with 60 copies, where
// 1.12 can be had with 220; its experts take 14 ms.
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
  /// longer; twice as long for an urgent one. A shift raises the skew of a map
  /// that fitted from 1.2 to 3.2 at once (recorded counts), and a change takes
  /// some 0.3 s for all but the copying: where copies are short, several small
  /// changes cost more passes than one large one. Where one takes longer than
  /// all this it is the other way round: with two experts of 0.4 s a rank after
  /// a shift a calm day was worth 0.70, with one 0.81.
  static constexpr Duration Copying = std::chrono::milliseconds(60);
  /// The least gain that a copy is worth, as part of a set's mean load, where
  /// an expert takes DearCopy or longer: found by trials with groups of 8 ranks
  /// and experts of 0.15 s. Of shorter copies as much less.
  static constexpr double MinGain = 0.04;
  static constexpr Duration DearCopy = std::chrono::milliseconds(150);

  /// \p copyTime: how long a rank copies one expert; zero if unknown.
  explicit ChangeBudget(Duration copyTime) : CopyTime(copyTime) {}

  /// New experts that a change may bring to a rank in all its sets.
  std::size_t newPerRank(bool isUrgent) const;
  double minGain() const;

private:
  Duration CopyTime;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_CHANGEBUDGET_H
