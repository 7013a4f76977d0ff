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
  if (!DoubtedAt)
    DoubtedAt = now;
  bool isTrusted = now - *DoubtedAt < LongestTrust;
  if (isTrusted && now < TrustedUntil)
    return StallAdvice::Wait;
  if (!AskedAt && isTrusted) {
    AskedAt = now;
    return StallAdvice::Ask;
  }
  Duration turn = std::min(NextRankAfter * int(rank), LongestTurn);
  if (isTrusted && now - *AskedAt < AnswerTime + turn)
    return StallAdvice::Wait;
  onMoving();
  return StallAdvice::TakeOver;
}

void CoordinatorWatch::onAnswer(TimePoint now) {
  AskedAt.reset();
  TrustedUntil = now + TrustTime;
}

void CoordinatorWatch::onMoving() {
  DoubtedAt.reset();
  AskedAt.reset();
  TrustedUntil = TimePoint();
}
