//===- DirectLimits.h - limits and timeouts of the direct path --*- C++ -*-===//
//
// The limits and timeouts of a DirectNode and its EndpointPicker.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_DIRECTLIMITS_H
#define OSPREYSPUR_DIRECT_DIRECTLIMITS_H

#include "ospreyspur/Direct/RetryWindow.h"

namespace ospreyspur {

/// Limits and timeouts of a DirectNode.
struct DirectLimits {
  /// How long a request may wait for a free slot. Waiting is preferred to a
  /// refusal, as a late response is worth more to a caller than none. Callers
  /// give up on a silent stream after two seconds.
  Duration MaxWait = std::chrono::milliseconds(1500);
  /// The same limit as a fraction of the time left until the deadline.
  double MaxWaitPart = 0.4;
  /// Fraction of the route's latency target after which a waiting request can
  /// no longer be within its latency target. Requests that still can are served
  /// first.
  double OnTimePart = 0.6;
  std::size_t MaxWaiting = 256;
  RetryLimits Retries;
  /// Maximum number of times one call is sent, including to addresses that
  /// another incarnation had taken over.
  unsigned MaxSends = 4;
  /// The silent period after which a stream is migrated is a multiple of the
  /// time to first byte that endpoints of its service currently have, within
  /// these bounds. Until an endpoint of the service has responded, the maximum
  /// applies. Callers give up after two seconds at the earliest.
  double SilenceFactor = 4;
  Duration MinSilence = std::chrono::milliseconds(900);
  Duration MaxSilence = std::chrono::milliseconds(1800);
  /// Inter-event gap above which a group counts as slow. Engine iterations of a
  /// full group with an ill-fitting expert map take up to 170 ms on the
  /// platform.
  Duration SlowGap = std::chrono::milliseconds(250);
  /// How long an endpoint counts as known to serve after it responded.
  Duration KnownServingTime = std::chrono::seconds(2);
  /// Maximum number of requests at an endpoint of a service without an engine,
  /// as a multiple of its slots.
  double MaxLoadWithoutEngine = 2.0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_DIRECTLIMITS_H
