//===- KeyFollower.h - follows one key of the platform ----------*- C++ -*-===//
//
// The state machine that keeps a copy of one value: waits for a newer revision,
// and takes a value only if its revision is higher than the one it has. An
// outage costs freshness, never the copy.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_KEYFOLLOWER_H
#define OSPREYSPUR_CONFIG_KEYFOLLOWER_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// Waits of a follower.
struct FollowerLimits {
  /// How long the service may hold a watch.
  Duration WatchWait = std::chrono::seconds(20);
  /// First and longest pause after a failure.
  Duration MinPause = std::chrono::milliseconds(200);
  Duration MaxPause = std::chrono::seconds(5);
};

/// Follows one key.
class KeyFollower {
public:
  KeyFollower(std::string key, FollowerLimits limits)
      : Key(std::move(key)), Limits(limits) {}

  /// The call to make now, if one is due and none is out.
  std::optional<KvCall> nextCall(TimePoint now);

  /// Takes the answer to nextCall(). True if the copy changed.
  bool onReply(const KvReply &reply, TimePoint now);

  /// Takes a value from a peer. True if it was newer.
  bool offer(Revision at, const std::string &value);

  /// When nextCall() may have a call after a pause.
  TimePoint resumeAt() const { return PausedUntil; }
  /// The copy's revision; 0 before the first value.
  Revision revision() const { return At; }
  /// The copy.
  const std::string &value() const { return Value; }

private:
  std::string Key;
  FollowerLimits Limits;
  Revision At;
  std::string Value;
  bool IsWaiting = false;
  TimePoint PausedUntil;
  Duration Pause{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_KEYFOLLOWER_H
