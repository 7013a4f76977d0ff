//===- DrainEstimator.h - estimates the drain time of a queue ---*- C++ -*-===//
//
// Averages the service time of finished requests and derives the expected wait
// of a new request, from which Retry-After is computed for refused callers.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_DRAINESTIMATOR_H
#define OSPREYSPUR_ROUTING_DRAINESTIMATOR_H

#include "ospreyspur/Support/Time.h"

#include <cstddef>

namespace ospreyspur {

/// Exponentially weighted mean of the time a request holds its slot.
class DrainEstimator {
public:
  /// \p initial is the assumed mean before the first request has finished.
  explicit DrainEstimator(Duration initial) : MeanServiceTime(initial) {}

  /// Records that a request held its slot for \p held.
  void record(Duration held);

  /// Returns the expected wait for a slot when \p waiting requests are ahead in
  /// the queue and \p running requests occupy some of the \p slots slots.
  Duration estimateWait(std::size_t waiting, std::size_t running,
                        std::size_t slots) const;

  /// Mean time that a request holds its slot.
  Duration meanServiceTime() const { return MeanServiceTime; }

private:
  Duration MeanServiceTime;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_DRAINESTIMATOR_H
