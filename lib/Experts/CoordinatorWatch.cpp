//===- CoordinatorWatch.cpp - when to take a coordinator over -------------===//
//
// See CoordinatorWatch.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/CoordinatorWatch.h"

#include <algorithm>

using namespace ospreyspur;

/// A reply is valid for this time.
static constexpr Duration TrustTime = std::chrono::milliseconds(300);

StallAdvice CoordinatorWatch::onStalled(const std::string &holder,
                                        unsigned rank, TimePoint now) {
  if (holder != Holder) {
    Holder = holder;
    onMoving();
  }
  if (!SuspectedAt)
    SuspectedAt = now;
  bool isTrusted = now - *SuspectedAt < MaxTrustTime;
  if (isTrusted && now < TrustedUntil)
    return StallAdvice::Wait;
  if (!QueriedAt && isTrusted) {
    QueriedAt = now;
    return StallAdvice::Ask;
  }
  Duration delay = std::min(RankDelay * int(rank), MaxRankDelay);
  if (isTrusted && now - *QueriedAt < ReplyTimeout + delay)
    return StallAdvice::Wait;
  onMoving();
  return StallAdvice::TakeOver;
}

void CoordinatorWatch::onAnswer(TimePoint now) {
  QueriedAt.reset();
  TrustedUntil = now + TrustTime;
}

void CoordinatorWatch::onMoving() {
  SuspectedAt.reset();
  QueriedAt.reset();
  TrustedUntil = TimePoint();
}
