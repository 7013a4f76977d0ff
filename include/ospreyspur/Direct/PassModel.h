//===- PassModel.h - how long a group's next pass will take -----*- C++ -*-===//
//
// All ranks of a group begin a pass together and all streams of the group wait
// for its end, so one rank with many writers or a long prompt to read makes
// every stream late whose pauses are bounded. The operators state what steps
// and reading cost where every expert is as much in demand as any other; how
// much longer passes take with the map and the demand of the moment is seen
// from the streams.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_PASSMODEL_H
#define OSPREYSPUR_DIRECT_PASSMODEL_H

#include "ospreyspur/Direct/FleetConfig.h"
#include "ospreyspur/Support/Time.h"

namespace ospreyspur {

/// What one rank has to do in a pass.
struct PassLoad {
  unsigned Writers = 0;
  /// Prompt tokens that wait to be read.
  unsigned Unread = 0;
};

/// What a rank's part of a pass takes with an even demand for experts.
Duration evenPass(const EngineFigures &engine, const PassLoad &load);

/// One group's passes, as seen from the streams of one entry.
class PassModel {
public:
  /// Events that come within this time of each other are of one pass; passes of
  /// a busy group take 40 ms or more.
  static constexpr Duration SamePass = std::chrono::milliseconds(12);

  /// Events came at \p now; whether they are the first of a pass.
  bool isNewPass(TimePoint now) const { return now - BegunAt >= SamePass; }
  /// A pass ended at \p now and the next one begins, whose slowest rank takes
  /// \p next with an even demand. The stream that tells it has paused for
  /// \p gap; if it did not also get events as this pass began, the pass's
  /// length is not known.
  void onPass(Duration next, Duration gap, TimePoint now);

  /// How many times longer passes take than with an even demand.
  double stretch() const { return Stretch; }
  /// The worst of late: what the next shift of demand may bring.
  double worstStretch() const { return Worst; }

private:
  TimePoint BegunAt;
  /// What the pass under way takes with an even demand.
  Duration Even{};
  double Stretch = 1;
  double Worst = 1;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_PASSMODEL_H
