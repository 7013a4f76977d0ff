//===- TokenBucket.h - limits requests per second ---------------*- C++ -*-===//
//
// The bucket holds at most one token, so that an idle sender starts no burst.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PUSHBACK_TOKENBUCKET_H
#define OSPREYSPUR_PUSHBACK_TOKENBUCKET_H

#include "ospreyspur/Support/Time.h"

namespace ospreyspur {

/// A token bucket of capacity one, empty at first.
class TokenBucket {
public:
  explicit TokenBucket(TimePoint now) : At(now) {}

  // Commands.

  /// Sets the refill rate to \p perSecond.
  void setRate(double perSecond, TimePoint now);
  /// Takes a token. Returns false if there is none.
  bool take(TimePoint now);

  // Queries.

  bool hasToken(TimePoint now) const { return tokens(now) >= Whole; }
  /// When the next token is available; \p now if one is available already.
  TimePoint nextToken(TimePoint now) const;
  double perSecond() const { return PerSecond; }

private:
  /// One token, less a tolerance for rounding errors.
  static constexpr double Whole = 1 - 1e-6;

  double tokens(TimePoint now) const;

  double PerSecond = 0;
  double Tokens = 0;
  TimePoint At;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PUSHBACK_TOKENBUCKET_H
