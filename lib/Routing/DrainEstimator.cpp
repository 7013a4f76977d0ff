//===- DrainEstimator.cpp - expected waits --------------------------------===//
//
// A finished request moves the mean by 1/16 of the difference. The mean thus
// follows a burst of short requests within some tens of them, while a single
// outlier has little effect.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/DrainEstimator.h"

#include <cassert>

using namespace ospreyspur;

static constexpr int Smoothing = 16;

void DrainEstimator::record(Duration held) {
  MeanServiceTime += (held - MeanServiceTime) / Smoothing;
}

Duration DrainEstimator::estimateWait(std::size_t waiting, std::size_t running,
                                      std::size_t slots) const {
  assert(slots > 0 && "an endpoint has at least one slot");
  std::size_t ahead = waiting + running;
  if (ahead < slots)
    return Duration::zero();
  auto turns = static_cast<Duration::rep>(ahead - slots + 1);
  return MeanServiceTime * turns / static_cast<Duration::rep>(slots);
}
