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

  // Commands.

  /// A stream of the group has begun to write.
  void onBegun(const Key &group, TimePoint now);
  /// A stream got events, \p gap after the last ones.
  void onEvents(const Key &group, Duration gap, TimePoint now);
  /// A stream that wrote has ended.
  void onEnded(const Key &group);
  /// A stream was given up after it had been silent for \p silence.
  void onSilence(const Key &group, Duration silence, TimePoint now);

  // Queries.

  /// The pause between events to expect; zero if nothing is known.
  Duration gapOf(const Key &group, TimePoint now) const;

private:
  struct Pace {
    Duration Gap{};
    TimePoint At;
    unsigned Writing = 0;
  };

  std::map<Key, Pace> Paces;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_GROUPPACES_H
