//===- Pushback.h - what an endpoint asks for in an answer ------*- C++ -*-===//
//
// Decoded from the head of any answer, also one that refuses a request, says
// that a run failed or belongs to another request.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_PUSHBACK_H
#define OSPREYSPUR_PUSHBACK_PUSHBACK_H

#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// A longer rest ends after this time.
inline constexpr Duration MaxRest = std::chrono::hours(1);

/// One answer's statements. What cannot be read has no effect.
struct Pushback {
  /// Requests a second that the endpoint takes from all entries together;
  /// nothing if it names none.
  std::optional<double> RequestsPerSecond;
  /// How long the endpoint wants no request of the process that it turned away;
  /// nothing if it does not say. At most MaxRest.
  std::optional<Duration> Rest;
  /// Whether the endpoint is leaving: this life of it wants nothing new any
  /// more, from anyone.
  bool IsLeaving = false;
  /// The first value that cannot be read, shortened; empty if there is none.
  std::string Malformed;
};

/// The same as text: all values of each header.
struct PushbackText {
  unsigned Status = 0;
  std::vector<std::string> Rates;
  /// Seconds, or a date as in HTTP.
  std::vector<std::string> RetryAfters;
  /// The answer's own date, against which the other is read: clocks differ.
  std::string Date;
  /// "1" if the endpoint is leaving.
  std::vector<std::string> Leavings;
};

/// Reads \p text.
Pushback readPushback(const PushbackText &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_PUSHBACK_H
