//===- KeyFollower.cpp - follows one key of the platform ------------------===//
//
// See KeyFollower.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/KeyFollower.h"

#include <algorithm>

using namespace ospreyspur;

std::optional<KvCall> KeyFollower::nextCall(TimePoint now) {
  if (IsWaiting || now < PausedUntil)
    return std::nullopt;
  IsWaiting = true;
  return KvWatch{Key, At, Limits.WatchWait};
}

bool KeyFollower::onReply(const KvReply &reply, TimePoint now) {
  IsWaiting = false;
  if (reply.Code == ResultCode::Ok) {
    Pause = Duration::zero();
    return offer(reply.At, reply.Value);
  }
  if (reply.Code == ResultCode::NotFound) {
    // Nothing newer within the wait.
    Pause = Duration::zero();
    return false;
  }
  Pause = std::clamp(Pause * 2, Limits.MinPause, Limits.MaxPause);
  PausedUntil = now + Pause;
  return false;
}

bool KeyFollower::offer(Revision at, const std::string &value) {
  if (at <= At)
    return false;
  At = at;
  Value = value;
  return true;
}
