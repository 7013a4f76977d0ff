//===- DirectLimits.h - bounds and waits of the direct path -----*- C++ -*-===//
//
// What a DirectNode and its picker keep to.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_DIRECTLIMITS_H
#define OSPREYSPUR_DIRECT_DIRECTLIMITS_H

#include "ospreyspur/Direct/RetryWindow.h"

namespace ospreyspur {

/// Bounds and waits of a DirectNode.
struct DirectLimits {
  /// How long a request may wait for room: a late answer serves its caller
  /// better than none. Callers give a silent stream up after two seconds.
  Duration MaxWait = std::chrono::milliseconds(1500);
  /// The same as a part of the time that its caller still has.
  double MaxWaitPart = 0.4;
  /// Part of the route's target after which a request that still waits cannot
  /// be on time; those that can go first.
  double OnTimePart = 0.6;
  std::size_t MaxWaiting = 256;
  RetryBounds Retries;
  /// Requests sent for one call, those to replaced endpoints included.
  unsigned MaxArrivals = 4;
  /// Silence after which a stream is moved, as a multiple of what endpoints of
  /// its service take to their first event at present, with its bounds. Before
  /// any has answered the longest holds. Callers give up after two seconds at
  /// the earliest.
  double SilenceFactor = 4;
  Duration MinSilence = std::chrono::milliseconds(900);
  Duration MaxSilence = std::chrono::milliseconds(1800);
  /// Pause in a group's streams from which on it is slow: passes of a full
  /// group with a map that does not fit take up to 170 ms on the users'
  /// platform.
  Duration SlowGap = std::chrono::milliseconds(250);
  /// How long an endpoint that answered counts as serving.
  Duration ProvenTime = std::chrono::seconds(2);
  /// Requests that an endpoint of a plain service may have, by its slots.
  double PlainOverload = 2.0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTLIMITS_H
