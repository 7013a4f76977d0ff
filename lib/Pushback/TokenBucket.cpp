//===- TokenBucket.cpp - limits requests per second -----------------------===//
//
// See TokenBucket.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Pushback/TokenBucket.h"

#include <algorithm>

using namespace ospreyspur;
using Seconds = std::chrono::duration<double>;

double TokenBucket::tokens(TimePoint now) const {
  return std::min(1.0, Tokens + PerSecond * Seconds(now - At).count());
}

void TokenBucket::setRate(double perSecond, TimePoint now) {
  Tokens = tokens(now);
  At = now;
  PerSecond = perSecond;
}

bool TokenBucket::take(TimePoint now) {
  if (!hasToken(now))
    return false;
  Tokens = std::max(0.0, tokens(now) - 1);
  At = now;
  return true;
}

TimePoint TokenBucket::nextToken(TimePoint now) const {
  if (hasToken(now))
    return now;
  if (PerSecond <= 0)
    return TimePoint::max();
  Seconds wait((1 - tokens(now)) / PerSecond);
  return now + std::chrono::ceil<Duration>(wait);
}
