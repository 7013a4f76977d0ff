//===- RateLimitRow.h - what entries tell of named rates --------*- C++ -*-===//
//
// The part of an entry's report to the others that is about rates which
// endpoints named.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_RATELIMITROW_H
#define OSPREYSPUR_PUSHBACK_RATELIMITROW_H

#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <optional>

namespace ospreyspur {

/// What one life of an endpoint said last. Times are ages, as entries have no
/// clock in common.
struct RateLimitRow {
  LifeDigest Life;
  /// Requests a second; nothing if an answer named no rate any more.
  std::optional<double> PerSecond;
  /// Of the request whose answer said so, and of that answer.
  Duration SentAge{};
  Duration HeardAge{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_RATELIMITROW_H
