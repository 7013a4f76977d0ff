//===- LeaseHolder.cpp - gets and keeps a lease ---------------------------===//
//
// The lease's span is counted from the time at which the call was sent: the
// platform cannot have started the lease earlier.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Experts/LeaseHolder.h"

#include <algorithm>
#include <utility>

using namespace ospreyspur;

LeaseHolder::LeaseHolder(std::string key, std::string self, LeaseLimits limits)
    : Key(std::move(key)), Self(std::move(self)), Limits(limits) {}

std::optional<KvCall> LeaseHolder::nextCall(TimePoint now) {
  if (Holder.get() > 0 && !isHeld(now))
    lose(now);
  bool isLost = IsCalling && now >= SentAt + Limits.CallTimeout;
  if (IsStopped || now < NextCall || (IsCalling && !isLost))
    return std::nullopt;
  IsCalling = true;
  ++LastCall;
  SentAt = now;
  if (Holder.get() > 0) {
    NextCall = now + Limits.RenewEvery;
    return KvRenew{Key, Holder};
  }
  NextCall = now + Limits.RetryEvery;
  if (std::exchange(IsTakingOver, false)) {
    IsAcquiring = true;
    return KvPut{Key, Self, OtherRevision, Limits.Span};
  }
  if (!std::exchange(IsFree, false))
    // A stale read could show this process's own lease after its end.
    return KvGet{Key, SuspendedRevision.get() == 0};
  IsAcquiring = true;
  return KvPut{Key, Self, Revision(0), Limits.Span};
}

void LeaseHolder::takeOver(TimePoint now) {
  if (Holder.get() > 0 || OtherRevision.get() == 0 || IsCalling)
    return;
  IsTakingOver = true;
  NextCall = now;
}

void LeaseHolder::onReply(const KvReply &reply, TimePoint now) {
  if (!IsCalling)
    return;
  IsCalling = false;
  bool wasAcquiring = std::exchange(IsAcquiring, false);
  bool isOwn = SuspendedRevision.get() > 0 && reply.At == SuspendedRevision;
  if (Holder.get() == 0 && reply.Code == ResultCode::Ok && isOwn) {
    hold(SuspendedRevision);
    return;
  }
  if (Holder.get() == 0 && !wasAcquiring) {
    IsFree = reply.Code == ResultCode::NotFound;
    if (IsFree || reply.Code == ResultCode::Ok)
      recordHolder(reply);
    if (IsFree)
      NextCall = now;
    // An earlier incarnation of this process holds the lease; no other process
    // uses it.
    bool wasOwn = reply.Code == ResultCode::Ok && reply.Value == Self;
    if (wasOwn && Limits.TakesOverOwnLease)
      takeOver(now);
    return;
  }
  if (reply.Code == ResultCode::Ok) {
    hold(reply.At);
    return;
  }
  // Another process acquired the lease first and is the holder now.
  if (wasAcquiring && reply.Code == ResultCode::PlatformConflict)
    recordHolder(reply);
  bool isGone = reply.Code == ResultCode::NotFound ||
                reply.Code == ResultCode::PlatformConflict;
  if (Holder.get() == 0 || !isGone)
    return;
  lose(now);
  // A lease that expired during an outage becomes free for all candidates at
  // this moment. The previous coordinator retries at once, since it is best
  // placed to continue to lead the group.
  IsFree = reply.Code == ResultCode::NotFound;
  if (IsFree)
    NextCall = now;
}

void LeaseHolder::hold(Revision at) {
  Holder = at;
  HolderName = Self;
  SuspendedRevision = Revision(0);
  ActUntil = SentAt + Limits.Span - Limits.Margin;
  NextCall = SentAt + Limits.RenewEvery;
}

void LeaseHolder::onHolderReply(TimePoint now) {
  if (Holder.get() > 0 || OtherRevision.get() == 0 || IsCalling || IsFree ||
      IsTakingOver)
    return;
  TimePoint latest = SentAt + Limits.MaxReadInterval;
  NextCall = std::max(NextCall, std::min(now + Limits.RetryEvery, latest));
}

void LeaseHolder::suspend(TimePoint now) {
  if (Holder.get() == 0)
    return;
  Revision own = Holder;
  lose(now);
  SuspendedRevision = own;
  NextCall = now;
}

void LeaseHolder::recordHolder(const KvReply &reply) {
  HolderName = reply.Value;
  OtherRevision = reply.At;
}

TimePoint LeaseHolder::nextTimer() const {
  TimePoint next = NextCall;
  if (IsCalling)
    next = std::max(next, SentAt + Limits.CallTimeout);
  if (Holder.get() > 0 && !Limits.ActsDuringOutage)
    next = std::min(next, ActUntil);
  return next;
}

void LeaseHolder::lose(TimePoint now) {
  Holder = Revision(0);
  IsCalling = false;
  IsAcquiring = false;
  NextCall = now + Limits.RetryEvery;
}
