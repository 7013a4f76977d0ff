//===- RateLimitRecord.h - rate limits in reports of entries ----*- C++ -*-===//
//
// The part of an entry's report to the other entries that carries the rate
// limits advertised by endpoints.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_RATELIMITRECORD_H
#define OSPREYSPUR_PUSHBACK_RATELIMITRECORD_H

#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <optional>

namespace ospreyspur {

/// The rate limit that one incarnation of an endpoint advertised last. Times
/// are sent as ages, as entries have no common clock.
struct RateLimitRecord {
  IncarnationDigest Incarnation;
  /// Requests per second; empty if a later response advertised no limit, which
  /// lifts it.
  std::optional<double> PerSecond;
  /// Time since the request was sent whose response advertised the limit, and
  /// since that response was received.
  Duration SentAge{};
  Duration ReceivedAge{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_RATELIMITRECORD_H
