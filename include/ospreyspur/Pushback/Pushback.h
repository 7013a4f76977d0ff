//===- Pushback.h - load hints in the head of a response --------*- C++ -*-===//
//
// An endpoint may send its rate limit and its leaving state in the head of any
// response: also in one that refuses a request, reports a failed run or belongs
// to another request. A backoff is read only from a refusal, which has status
// 429 or 503.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_PUSHBACK_H
#define OSPREYSPUR_PUSHBACK_PUSHBACK_H

#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// Longer backoffs are shortened to this time.
inline constexpr Duration MaxBackoff = std::chrono::hours(1);

/// The pushback of one response. A header value that cannot be parsed has no
/// effect.
struct Pushback {
  /// The advertised rate limit: requests per second that the endpoint accepts
  /// from all entries together; empty if the response has none.
  std::optional<double> RequestsPerSecond;
  /// The backoff for the process whose request was refused; empty if the
  /// response has none. At most MaxBackoff.
  std::optional<Duration> Backoff;
  /// Whether the endpoint is leaving: its current incarnation accepts no new
  /// request from any process.
  bool IsLeaving = false;
  /// The first value that cannot be parsed, shortened; empty if all can.
  std::string Malformed;
};

/// The undecoded values of each header that carries a load hint.
struct PushbackText {
  unsigned Status = 0;
  std::vector<std::string> Rates;
  /// Each value is a number of seconds or an HTTP date.
  std::vector<std::string> RetryAfters;
  /// The response's Date header. A Retry-After date is taken relative to it, as
  /// the endpoint's clock may differ from the local one.
  std::string Date;
  /// "1" if the endpoint is leaving.
  std::vector<std::string> Leavings;
};

/// Parses the header values in \p text.
Pushback readPushback(const PushbackText &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_PUSHBACK_H
