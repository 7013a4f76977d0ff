//===- TokenBucket.h - a bound on requests a second -------------*- C++ -*-===//
//
// Holds one token at most, so that a sender that was idle sends no burst.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_TOKENBUCKET_H
#define OSPREYSPUR_PUSHBACK_TOKENBUCKET_H

#include "ospreyspur/Support/Time.h"

namespace ospreyspur {

/// Empty at first.
class TokenBucket {
public:
  explicit TokenBucket(TimePoint now) : At(now) {}

  // Commands.

  /// The rate is \p perSecond from now on.
  void setRate(double perSecond, TimePoint now);
  /// Takes a token. False if there is none.
  bool take(TimePoint now);

  // Queries.

  bool hasToken(TimePoint now) const { return tokens(now) >= Whole; }
  /// When the next token is there; \p now if one is.
  TimePoint nextToken(TimePoint now) const;
  double perSecond() const { return PerSecond; }

private:
  /// Less than one by what rounding may lose.
  static constexpr double Whole = 1 - 1e-6;

  double tokens(TimePoint now) const;

  double PerSecond = 0;
  double Tokens = 0;
  TimePoint At;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_TOKENBUCKET_H
