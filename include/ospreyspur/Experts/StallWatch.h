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

namespace ospreyspur {

/// Watches one rank.
class StallWatch {
public:
  /// A step of a busy group takes a tenth of a second, a held one of a sound
  /// change little more.
  static constexpr Duration Patience = std::chrono::milliseconds(450);

  /// Takes the rank's state. True once the group has stood for Patience.
  bool isStalled(const RankStatus &status, TimePoint now) {
    bool hasMoved = status.Formation != Formation || status.Step != Step;
    bool isIdle = status.Running == 0 || !status.IsOpen;
    if (hasMoved || isIdle) {
      Formation = status.Formation;
      Step = status.Step;
      Since = now;
    }
    return now - Since >= Patience;
  }

  /// Counts anew from \p now.
  void reset(TimePoint now) { Since = now; }

private:
  FormationEpoch Formation;
  StepNumber Step;
  TimePoint Since;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_STALLWATCH_H
