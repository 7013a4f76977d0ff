//===- KeyFollower.h - follows one key of the platform ----------*- C++ -*-===//
//
// The state machine that keeps a copy of one value: asks the service for a
// newer revision, takes values from peers too, and takes a value only if its
// revision is higher than the one it has. An outage costs freshness, never the
// copy.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_KEYFOLLOWER_H
#define OSPREYSPUR_CONFIG_KEYFOLLOWER_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Time.h"

#include <optional>
#include <string>

namespace ospreyspur {

/// Pauses of a follower.
struct FollowerLimits {
  /// After failures of the service.
  Duration MinPause = std::chrono::milliseconds(200);
  Duration MaxPause = std::chrono::seconds(5);
  /// News that come one after the other are gathered for this time before the
  /// service is asked again: when a fleet starts or is replaced, every row
  /// would wake every watcher (204 rows times 40 watchers are two thirds of a
  /// calm day's 11,400 calls). A tenth of the shortest time in which what
  /// leaves has to be known.
  Duration Gather = std::chrono::milliseconds(200);
  /// News after a longer quiet stand alone and are followed at once.
  Duration Apart = std::chrono::seconds(1);
};

/// Follows one key.
class KeyFollower {
public:
  KeyFollower(std::string key, FollowerLimits limits)
      : Key(std::move(key)), Limits(limits) {}

  /// The call to make now, if none is out and no pause is on. The service may
  /// hold it for \p wait; zero asks once.
  std::optional<KvCall> nextCall(Duration wait, TimePoint now);

  /// Takes the answer to nextCall(). True if the copy changed.
  bool onReply(const KvReply &reply, TimePoint now);

  /// Takes a value from a peer; the service is known to have held it at
  /// \p confirmed. True if it was newer.
  bool offer(Revision at, const std::string &value, TimePoint confirmed);

  /// The service is known to have held revision \p at at \p confirmed.
  void confirm(Revision at, TimePoint confirmed);

  /// When nextCall() has a call after news were gathered, if they are.
  std::optional<TimePoint> gatheredAt() const { return GatherUntil; }
  /// When nextCall() may have a call after a pause.
  TimePoint resumeAt() const { return PausedUntil; }
  /// When the last call was made.
  TimePoint askedAt() const { return AskedAt; }
  /// Whether the service itself has answered at least once.
  bool hasReadService() const { return HasReadService; }
  /// The copy's revision; 0 before the first value.
  Revision revision() const { return At; }
  /// The copy.
  const std::string &value() const { return Value; }
  /// When the service last was known to hold the copy's revision.
  TimePoint confirmedAt() const { return Confirmed; }

private:
  void noteNews(TimePoint now);

  std::string Key;
  FollowerLimits Limits;
  Revision At;
  std::string Value;
  TimePoint Confirmed;
  TimePoint AskedAt;
  Revision AskedFor;
  /// Where the service's watch goes on; at or above the copy's revision.
  Revision SeenAt;
  bool IsWaiting = false;
  bool HasReadService = false;
  TimePoint PausedUntil;
  /// When the service last had something new.
  std::optional<TimePoint> NewsAt;
  /// News are gathered until then.
  std::optional<TimePoint> GatherUntil;
  Duration Pause{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_KEYFOLLOWER_H
