//===- DrainEstimator.h - how long a queue takes to drain -------*- C++ -*-===//
//
// Learns from finished requests how long one takes and derives the expected
// wait of a new one and the time after which a refused caller should return.
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
  /// \p initial is the assumed time before anything was measured.
  explicit DrainEstimator(Duration initial) : MeanHold(initial) {}

  /// Takes in that a request held its slot for \p held.
  void record(Duration held);

  /// Expected wait for a slot, with \p waiting requests ahead, \p running ones
  /// in \p slots slots.
  Duration estimateWait(std::size_t waiting, std::size_t running,
                        std::size_t slots) const;

  /// Mean time that a request holds its slot.
  Duration meanHold() const { return MeanHold; }

private:
  Duration MeanHold;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_DRAINESTIMATOR_H
