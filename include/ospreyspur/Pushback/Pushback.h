//===- Pushback.h - what an endpoint asks for in an answer ------*- C++ -*-===//
//
// Decoded from the head of any answer, also one that refuses a request, says
// that a run failed or belongs to another request.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_PUSHBACK_H
#define OSPREYSPUR_PUSHBACK_PUSHBACK_H

#include <optional>
#include <string>
#include <vector>

namespace ospreyspur {

/// One answer's statements. What cannot be read has no effect.
struct Pushback {
  /// Requests a second that the endpoint takes from all entries together;
  /// nothing if it names none.
  std::optional<double> RequestsPerSecond;
  /// The first value that cannot be read, shortened; empty if there is none.
  std::string Malformed;
};

/// The same as text: all values of each header.
struct PushbackText {
  std::vector<std::string> Rates;
};

/// Reads \p text.
Pushback readPushback(const PushbackText &text);

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_PUSHBACK_H
