//===- MemberConsent.cpp - leading during a store outage ------------------===//
//
// See MemberConsent.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/MemberConsent.h"

#include <algorithm>

using namespace ospreyspur;

void MemberConsent::onActive(TimePoint now) {
  AreReportsStale = AreReportsStale || now - LastActiveAt >= Pause;
  LastActiveAt = now;
}

bool MemberConsent::isFollowed(unsigned size, Duration age,
                               TimePoint now) const {
  if (size == 0 || AreReportsStale)
    return false;
  for (unsigned rank = 0; rank < size; ++rank) {
    auto it = ReportedAt.find(rank);
    if (it == ReportedAt.end() || now - it->second >= age)
      return false;
  }
  return true;
}

bool OrderGate::accepts(std::uint64_t lease, std::uint64_t newest) {
  Highest = std::max({Highest, lease, newest});
  return lease == Highest;
}
