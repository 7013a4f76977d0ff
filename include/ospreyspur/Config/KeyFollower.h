//===- KeyFollower.h - follows one key of the key-value store ---*- C++ -*-===//
//
// The state machine that keeps a copy of one value. It watches the key-value
// store for a newer revision and also accepts values from peers; a value
// replaces the copy only if its revision is higher. During an outage of the
// store the copy is kept and only ages.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_CONFIG_KEYFOLLOWER_H
#define OSPREYSPUR_CONFIG_KEYFOLLOWER_H

#include "ospreyspur/Platform/KeyValue.h"
#include "ospreyspur/Support/Time.h"

#include <algorithm>
#include <optional>
#include <string>

namespace ospreyspur {

/// Delays of a follower.
struct FollowerLimits {
  /// Bounds of the exponential backoff after failures of the store.
  Duration MinBackoff = std::chrono::milliseconds(200);
  Duration MaxBackoff = std::chrono::seconds(5);
  /// Updates in quick succession are coalesced: the store is not called again
  /// for this time. Otherwise, when a fleet starts or is replaced, every record
  /// would wake every watcher; for 204 records and 40 watchers, these calls are
  /// two thirds of the 11,400 calls of a day without such changes. The delay is
  /// a tenth of the shortest time within which a leaving endpoint must be
  /// known.
  Duration CoalesceDelay = std::chrono::milliseconds(200);
  /// An update that follows the previous one by at least this time is not part
  /// of a burst; the store is called again at once.
  Duration BurstGap = std::chrono::seconds(1);
  /// Longest time for which the reply of a sound store is under way. A reply
  /// that arrived shows the store as it was this long before, or later.
  Duration MaxReplyDelay = std::chrono::milliseconds(50);
};

/// Follows one key.
class KeyFollower {
public:
  KeyFollower(std::string key, FollowerLimits limits)
      : Key(std::move(key)), Limits(limits) {}

  /// The call to make now, unless one is in flight or a delay has not passed.
  /// The store may hold the call for \p wait; with zero it replies at once.
  /// After a call without a reply the store is never asked to wait: whether it
  /// replies again is then known sooner.
  std::optional<KvCall> nextCall(Duration wait, TimePoint now);

  /// Takes the reply to the call of nextCall(), which arrived after
  /// \p arrivedAfter. True if the copy changed.
  bool onReply(const KvReply &reply, TimePoint arrivedAfter, TimePoint now);
  bool onReply(const KvReply &reply, TimePoint now) {
    return onReply(reply, now, now);
  }

  /// Takes a value from a peer; the store is known to have held the value at
  /// \p confirmed. True if the value was newer than the copy.
  bool offer(Revision at, const std::string &value, TimePoint confirmed);

  /// Records that the store held revision \p at at the time \p confirmed.
  void confirm(Revision at, TimePoint confirmed);

  /// When nextCall() may return a call after coalesced updates or a failure; no
  /// value while neither delays the next call.
  std::optional<TimePoint> delayedUntil() const { return DelayedUntil; }
  /// Whether a reply at \p now shows that the store held the last call for at
  /// least half of the time that it was asked to.
  bool wasHeld(TimePoint now) const { return now - CalledAt >= CalledWait / 2; }
  /// Whether a call of nextCall() has not been replied to yet.
  bool isCalling() const { return HasCallInFlight; }
  /// Whether the store itself has replied at least once.
  bool hasReadStore() const { return HasReadStore; }
  const std::string &key() const { return Key; }
  /// The copy's revision; 0 until there is a value.
  Revision revision() const { return At; }
  /// The copy.
  const std::string &value() const { return Value; }
  /// When the store was last known to hold the copy's revision; TimePoint() if
  /// only a stale read returned it.
  TimePoint confirmedAt() const { return Confirmed; }
  /// When the store was last read, or known to hold the copy's revision.
  TimePoint checkedAt() const { return std::max(Confirmed, ReadAt); }

private:
  void recordUpdate(TimePoint now);
  TimePoint shownAt(const KvReply &reply, TimePoint arrivedAfter,
                    TimePoint now) const;

  std::string Key;
  FollowerLimits Limits;
  Revision At;
  std::string Value;
  TimePoint Confirmed;
  TimePoint CalledAt;
  /// The time of the last call that the store replied to.
  TimePoint ReadAt;
  Duration CalledWait{};
  Revision RevisionAtCall;
  /// The revision after which the next watch continues; after a reply of the
  /// store it may be above the copy's revision.
  Revision SeenAt;
  bool HasCallInFlight = false;
  bool HasReadStore = false;
  /// When the store last returned a newer value.
  std::optional<TimePoint> UpdatedAt;
  /// End of the delay for which updates are coalesced, or of a backoff.
  std::optional<TimePoint> DelayedUntil;
  /// Zero unless the last call failed.
  Duration Backoff{};
};

} // namespace ospreyspur

#endif // OSPREYSPUR_CONFIG_KEYFOLLOWER_H
