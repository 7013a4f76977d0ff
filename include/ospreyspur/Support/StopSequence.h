//===- StopSequence.h - the steps of a planned stop -------------*- C++ -*-===//
//
// A process that is told to stop first announces it and still takes work, as
// those who send work learn of it only after a while. Then it takes no more,
// ends what is in flight, and ends itself.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_STOPSEQUENCE_H
#define OSPREYSPUR_SUPPORT_STOPSEQUENCE_H

#include "ospreyspur/Support/Time.h"

#include <cstddef>

namespace ospreyspur {

/// Where a planned stop stands.
enum class StopPhase {
  /// Not told to stop.
  Serving,
  /// Says that it will stop; takes what still comes.
  Announcing,
  /// Takes nothing new; what is in flight goes on.
  Draining,
  /// Nothing is in flight, or the limit has passed.
  Ended,
};

/// What a process knows of its work at one moment.
struct StopProgress {
  /// Requests without a final answer.
  std::size_t InFlight = 0;
  /// Whether all who send work have confirmed that they know.
  bool IsConfirmed = false;
};

/// Decides when a stopping process moves on.
class StopSequence {
public:
  /// Announces for at most \p notice and ends at most \p limit after begin().
  StopSequence(Duration notice, Duration limit)
      : Notice(notice), Limit(limit) {}

  /// Begins the stop; a second call changes nothing.
  void begin(TimePoint now);

  /// Moves on by at most one phase.
  void advance(StopProgress progress, TimePoint now);

  StopPhase phase() const { return Phase; }

private:
  Duration Notice;
  Duration Limit;
  TimePoint Began;
  StopPhase Phase = StopPhase::Serving;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_STOPSEQUENCE_H
