//===- RateLimitLogRecord.h - log record of a rate limit change -*- C++ -*-===//
//
// The log record that a process writes when the rate limit advertised by an
// endpoint changes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_RATELIMITLOGRECORD_H
#define OSPREYSPUR_PUSHBACK_RATELIMITLOGRECORD_H

#include "ospreyspur/Quarantine/CrashReport.h"
#include "ospreyspur/Support/Time.h"

#include <cstddef>
#include <optional>

namespace ospreyspur {

/// One change. Rates are in requests per second, empty for no limit.
struct RateLimitLogRecord {
  IncarnationDigest Incarnation;
  std::optional<double> Before;
  std::optional<double> After;
  /// Time since the endpoint's response that advertised the new limit.
  Duration Age{};
  /// Whether another entry reported the change.
  bool IsFromPeer = false;
  /// This entry's rank, from 0, among the entries that share the limit, and the
  /// number of rate limit owners, which are the entries that may send.
  std::size_t Rank = 0;
  std::size_t Owners = 1;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_RATELIMITLOGRECORD_H
