//===- KeyFollower.cpp - follows one key of the key-value store -----------===//
//
// See KeyFollower.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/KeyFollower.h"

#include <algorithm>

using namespace ospreyspur;

std::optional<KvCall> KeyFollower::nextCall(Duration wait, TimePoint now) {
  if (HasCallInFlight || now < DelayedUntil.value_or(now))
    return std::nullopt;
  DelayedUntil.reset();
  HasCallInFlight = true;
  CalledAt = now;
  CalledWait = Backoff > Duration::zero() ? Duration::zero() : wait;
  RevisionAtCall = At;
  return KvWatch{Key, std::max(SeenAt, At), CalledWait};
}

bool KeyFollower::onReply(const KvReply &reply, TimePoint arrivedAfter,
                          TimePoint now) {
  HasCallInFlight = false;
  bool isNewer = reply.Code == ResultCode::Ok;
  // NotFound means that the store has no newer value.
  if (!isNewer && reply.Code != ResultCode::NotFound) {
    Backoff = std::clamp(Backoff * 2, Limits.MinBackoff, Limits.MaxBackoff);
    DelayedUntil = now + Backoff;
    return false;
  }
  Backoff = Duration::zero();
  HasReadStore = true;
  ReadAt = CalledAt;
  SeenAt = std::max(SeenAt, reply.SeenAt);
  // A stale reply confirms nothing.
  if (isNewer) {
    recordUpdate(now);
    return offer(reply.At, reply.Value,
                 reply.MayBeStale ? TimePoint()
                                  : shownAt(reply, arrivedAfter, now));
  }
  if (reply.MayBeStale)
    return false;
  confirm(RevisionAtCall, shownAt(reply, arrivedAfter, now));
  return false;
}

/// The time as of which \p reply shows the store. It may have waited for this
/// process since it arrived.
TimePoint KeyFollower::shownAt(const KvReply &reply, TimePoint arrivedAfter,
                               TimePoint now) const {
  TimePoint end = CalledAt + CalledWait;
  if (reply.HasWaitedInVain)
    return std::min(end, now);
  return std::clamp(arrivedAfter - Limits.MaxReplyDelay, CalledAt, end);
}

void KeyFollower::recordUpdate(TimePoint now) {
  bool isIsolated = !UpdatedAt || now - *UpdatedAt >= Limits.BurstGap;
  UpdatedAt = now;
  if (!isIsolated)
    DelayedUntil = now + Limits.CoalesceDelay;
}

bool KeyFollower::offer(Revision at, const std::string &value,
                        TimePoint confirmed) {
  if (at <= At) {
    confirm(at, confirmed);
    return false;
  }
  At = at;
  Value = value;
  Confirmed = std::max(Confirmed, confirmed);
  return true;
}

void KeyFollower::confirm(Revision at, TimePoint confirmed) {
  if (at == At)
    Confirmed = std::max(Confirmed, confirmed);
}
