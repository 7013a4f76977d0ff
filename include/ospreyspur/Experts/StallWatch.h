//===- StallWatch.h - a group that stands still -----------------*- C++ -*-===//
//
// Notices that a rank has requests and its group begins no step: a coordinator
// that died or froze may have left a step held.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_STALLWATCH_H
#define OSPREYSPUR_EXPERTS_STALLWATCH_H

#include "ospreyspur/Experts/RankStatus.h"
#include "ospreyspur/Support/Time.h"

#include <algorithm>

namespace ospreyspur {

/// Watches one rank.
class StallWatch {
public:
  /// A step of a busy group takes a tenth of a second, a held one of a sound
  /// change little more.
  static constexpr Duration Patience = std::chrono::milliseconds(450);
  /// Bound for a group whose steps are slow, as those of a slow rank are.
  static constexpr Duration LongestPatience = std::chrono::milliseconds(2000);

  /// Takes the rank's state. True once the group has stood for Patience, or for
  /// twice its last step if that was slower.
  bool isStalled(const RankStatus &status, TimePoint now) {
    bool isSame = IsKnown && status.Formation == Formation;
    bool hasMoved = !isSame || status.Step != Step;
    IsKnown = true;
    bool isIdle = status.Running == 0 || !status.IsOpen;
    if (hasMoved && isSame && status.Step > Step)
      LastStep = (now - Since) / Duration::rep(status.Step.get() - Step.get());
    if (hasMoved || isIdle) {
      Formation = status.Formation;
      Step = status.Step;
      Since = now;
    }
    return now - Since >= std::clamp(2 * LastStep, Patience, LongestPatience);
  }

  /// Counts anew from \p now.
  void reset(TimePoint now) { Since = now; }

private:
  bool IsKnown = false;
  FormationEpoch Formation;
  StepNumber Step;
  TimePoint Since;
  /// How long the group's last step took.
  Duration LastStep{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_STALLWATCH_H
