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
    onProgress();
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
  onProgress();
  return StallAdvice::TakeOver;
}

void CoordinatorWatch::onQueryReply(TimePoint now) {
  if (!QueriedAt)
    return;
  QueriedAt.reset();
  TrustedUntil = now + TrustTime;
}

void CoordinatorWatch::onProgress() {
  SuspectedAt.reset();
  QueriedAt.reset();
  TrustedUntil = TimePoint();
}
