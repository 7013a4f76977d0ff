//===- GroupPaces.h - how fast groups write their streams -------*- C++ -*-===//
//
// All ranks of a group step together, so the pauses in any of its streams tell
// how long a pass of the whole group takes, whatever the reason: a slow rank, a
// map that does not fit, or a step that is held.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_GROUPPACES_H
#define OSPREYSPUR_DIRECT_GROUPPACES_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <utility>

namespace ospreyspur {

/// The pauses seen by one entry, by group.
class GroupPaces {
public:
  using Key = std::pair<ServiceId, GroupId>;

  /// Without new events what was seen is worth half after this time: a group
  /// that gets nothing any more is tried again.
  static constexpr Duration HalfLife = std::chrono::seconds(1);
  /// From this pause on a stream counts as silent on its own if others of its
  /// group wrote meanwhile; below the shortest silence that moves a stream.
  static constexpr Duration OwnSilence = std::chrono::milliseconds(800);
  /// So many streams have to be silent together before they tell of the group:
  /// one alone may have an endpoint that hangs.
  static constexpr unsigned StreamsThatTell = 2;

  // Commands.

  /// A stream of the group has begun to write.
  void onBegun(const Key &group, TimePoint now);
  /// A stream got events, \p gap after the last ones.
  void onEvents(const Key &group, Duration gap, TimePoint now);
  /// A stream that wrote has ended.
  void onEnded(const Key &group);
  /// A stream's attempt ended after it had been silent for \p silence.
  void onSilence(const Key &group, Duration silence, TimePoint now);

  // Queries.

  /// The pause between events to expect; zero if nothing is known.
  Duration gapOf(const Key &group, TimePoint now) const;
  /// The same, but what a single stream waits for at the moment counts for
  /// nothing: enough to prefer other groups, not to give this one up.
  Duration sureGapOf(const Key &group, TimePoint now) const;

private:
  struct Pace {
    Duration Gap{};
    TimePoint At;
    unsigned Writing = 0;
  };

  /// What is left of the pause seen last.
  static Duration fade(const Pace &pace, TimePoint now);

  std::map<Key, Pace> Paces;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_GROUPPACES_H
