//===- StopSequence.h - phases of a planned stop ----------------*- C++ -*-===//
//
// A process that is asked to stop first announces the stop and still accepts
// work, because senders learn of the stop with a delay. Then the process
// accepts no more work, waits up to a limit for the requests in flight, and
// exits.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_STOPSEQUENCE_H
#define OSPREYSPUR_SUPPORT_STOPSEQUENCE_H

#include "ospreyspur/Support/Time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace ospreyspur {

/// Phase of a planned stop.
enum class StopPhase {
  /// No stop was requested.
  Serving,
  /// The stop is announced; new work is still accepted.
  Announcing,
  /// No new work is accepted; requests in flight continue.
  Draining,
  /// No request is in flight, or the limit has passed.
  Ended,
};

/// Progress of a stopping process at one moment.
struct StopProgress {
  /// Requests without a final response.
  std::size_t InFlight = 0;
  /// Whether all senders of work have confirmed the announcement.
  bool IsConfirmed = false;
};

/// Decides when a stopping process enters the next phase.
class StopSequence {
public:
  /// Announces for at most \p notice, and for at most a third of \p limit, so
  /// that work which was accepted last has time to end. Ends at most \p limit
  /// after begin().
  StopSequence(Duration notice, Duration limit)
      : Notice(std::min(notice, limit / 3)), Limit(limit) {}

  /// Begins the stop; a second call has no effect.
  void begin(TimePoint now);

  /// Advances by at most one phase.
  void advance(StopProgress progress, TimePoint now);

  StopPhase phase() const { return Phase; }
  /// When requests that have not ended get their final response. Valid after
  /// begin().
  TimePoint respondBy() const {
    return Began + Limit - std::min(ResponseTime, Limit / 4);
  }

private:
  /// The time that final responses take.
  static constexpr Duration ResponseTime = std::chrono::milliseconds(300);

  Duration Notice;
  Duration Limit;
  TimePoint Began;
  StopPhase Phase = StopPhase::Serving;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_STOPSEQUENCE_H
