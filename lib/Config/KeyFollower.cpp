//===- KeyFollower.cpp - follows one key of the key-value store -----------===//
//
// See KeyFollower.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/KeyFollower.h"

#include <algorithm>

using namespace ospreyspur;

std::optional<KvCall> KeyFollower::nextCall(Duration wait, TimePoint now) {
  if (IsWaiting || now < std::max(PausedUntil, GatherUntil.value_or(now)))
    return std::nullopt;
  GatherUntil.reset();
  IsWaiting = true;
  AskedAt = now;
  AskedFor = At;
  return KvWatch{Key, std::max(SeenAt, At), wait};
}

bool KeyFollower::onReply(const KvReply &reply, TimePoint now) {
  IsWaiting = false;
  bool isNewer = reply.Code == ResultCode::Ok;
  // NotFound means that the store has no newer value.
  if (!isNewer && reply.Code != ResultCode::NotFound) {
    Pause = std::clamp(Pause * 2, Limits.MinPause, Limits.MaxPause);
    PausedUntil = now + Pause;
    return false;
  }
  Pause = Duration::zero();
  HasReadService = true;
  SeenAt = std::max(SeenAt, reply.SeenAt);
  // The store held the value at or after the time of the call.
  if (isNewer) {
    noteNews(now);
    return offer(reply.At, reply.Value, AskedAt);
  }
  confirm(AskedFor, AskedAt);
  return false;
}

void KeyFollower::noteNews(TimePoint now) {
  bool isAlone = !NewsAt || now - *NewsAt >= Limits.Apart;
  NewsAt = now;
  if (!isAlone)
    GatherUntil = now + Limits.Gather;
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
