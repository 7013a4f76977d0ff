//===- WaitNote.h - why a request was not started ---------------*- C++ -*-===//
//
// What an entry tells in its log when a request has to wait for an endpoint.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_WAITNOTE_H
#define OSPREYSPUR_DIRECT_WAITNOTE_H

#include "ospreyspur/Support/Ids.h"

#include <array>
#include <string_view>

namespace ospreyspur {

/// Why an endpoint is not used for a request.
enum class Obstacle : std::uint8_t {
  /// It can be used.
  None,
  /// It is leaving or has left.
  Leaving,
  /// The request was there already.
  Tried,
  /// It said that it takes nothing, or has not told its condition yet.
  Closed,
  /// The request was turned away once, and nobody knows whether this one
  /// serves.
  Unproven,
  /// The answer would not end in time there.
  TooSlow,
  /// All its places are taken.
  Full,
  /// It named a rate, of which this entry has nothing left at present.
  RateLimited,
  /// It asked for a pause that has not ended.
  Resting,
};

/// The words for obstacles in the log, in their order.
inline constexpr std::array<std::string_view, 9> ObstacleWords = {
    "usable",   "leaving", "tried",        "closed", "unproven",
    "too_slow", "full",    "rate_limited", "resting"};

/// Numbers of endpoints by their obstacle.
using ObstacleCounts = std::array<unsigned, ObstacleWords.size()>;

/// A request begins to wait for an endpoint, or its endpoint is silent and it
/// cannot go on elsewhere.
struct WaitNote {
  CallId Call;
  /// Requests sent for it so far.
  unsigned Arrivals = 0;
  /// Endpoints that it may still be sent to by its route.
  unsigned AttemptsLeft = 0;
  bool IsSilent = false;
  /// Whether the entry may send one more repeat to the service now.
  bool HasRepeat = true;
  /// Entries that share the allowance of repeats; 0 if that is not known.
  std::size_t Entries = 0;
  ObstacleCounts Endpoints{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_WAITNOTE_H
