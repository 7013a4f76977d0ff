//===- StallWatch.h - detects a stalled group -------------------*- C++ -*-===//
//
// Detects that a rank has requests but its group begins no step: a coordinator
// that crashed or froze may have left a step held.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_STALLWATCH_H
#define OSPREYSPUR_EXPERTS_STALLWATCH_H

#include "ospreyspur/Experts/RankStatus.h"
#include "ospreyspur/Support/Time.h"

#include <algorithm>

namespace ospreyspur {

/// Detects a stall of a group by the states of one of its ranks.
class StallWatch {
public:
  /// A step of a busy group takes a tenth of a second, a step held by a healthy
  /// change little more.
  static constexpr Duration StallTimeout = std::chrono::milliseconds(450);
  /// Upper bound for a group whose steps are slow, such as one with a slow
  /// rank.
  static constexpr Duration MaxStallTimeout = std::chrono::milliseconds(2000);

  /// Handles the rank's state. Returns true once the group has begun no step
  /// for StallTimeout, or for twice the duration of its last step if that is
  /// longer, but at most for MaxStallTimeout.
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
    return now - Since >=
           std::clamp(2 * LastStep, StallTimeout, MaxStallTimeout);
  }

  /// Restarts the measurement at \p now.
  void reset(TimePoint now) { Since = now; }

private:
  bool IsKnown = false;
  FormationEpoch Formation;
  StepNumber Step;
  TimePoint Since;
  /// Duration of the group's last step.
  Duration LastStep{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_STALLWATCH_H
