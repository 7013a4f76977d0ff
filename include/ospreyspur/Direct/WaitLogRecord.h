//===- WaitLogRecord.h - log record of a request that waits -----*- C++ -*-===//
//
// The reasons that an entry logs when a request has to wait for an endpoint.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_WAITLOGRECORD_H
#define OSPREYSPUR_DIRECT_WAITLOGRECORD_H

#include "ospreyspur/Support/Ids.h"

#include <array>
#include <string_view>

namespace ospreyspur {

/// Why an endpoint cannot be used for a request.
enum class Obstacle : std::uint8_t {
  /// The endpoint can be used.
  None,
  /// The endpoint is draining or has left.
  Leaving,
  /// An attempt at the endpoint was started before, even if no connection could
  /// be established.
  Tried,
  /// The endpoint recently rejected a request as full, its address belongs to
  /// another incarnation, or it has not reported that it accepts requests.
  Closed,
  /// The request was rejected once, and the endpoint is not known to serve at
  /// present.
  NotKnownToServe,
  /// The response would not complete before the deadline there.
  TooSlow,
  /// The endpoint has as many requests as it may get, given its slots and its
  /// slowdown factor.
  Full,
  /// The endpoint advertised a rate limit, and this entry's share of it is used
  /// up at present.
  RateLimited,
  /// The endpoint asked for a backoff that has not ended.
  Resting,
  /// Operators drain the endpoint's data centre.
  Drained,
  /// The endpoint is a rank that delays its whole group and is to be emptied.
  SlowRank,
};

/// The names of the obstacles in the log, in the order of Obstacle.
inline constexpr std::array<std::string_view, 11> ObstacleNames = {
    "usable", "leaving",      "tried",   "closed",  "unproven", "too_slow",
    "full",   "rate_limited", "resting", "drained", "slow_rank"};

/// Number of endpoints with each obstacle.
using ObstacleCounts = std::array<unsigned, ObstacleNames.size()>;

/// A request starts to wait for an endpoint, or its endpoint is silent and no
/// other endpoint can take the request.
struct WaitLogRecord {
  CallId Call;
  /// Number of times the request has been sent.
  unsigned Arrivals = 0;
  /// Number of attempts that its route still allows.
  unsigned AttemptsLeft = 0;
  bool IsSilent = false;
  /// Whether the request may be sent as far as the entry's retry budget is
  /// concerned: the budget allows one more retry to the service now, or the
  /// request has never been sent.
  bool HasRetry = true;
  /// Number of entries that share the retry allowance; 0 if unknown.
  std::size_t Entries = 0;
  ObstacleCounts Endpoints{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_WAITLOGRECORD_H
