//===- GroupGaps.h - inter-event gaps of each group -------------*- C++ -*-===//
//
// All ranks of a group step together, so the inter-event gap of any stream
// shows how long an engine iteration of the whole group takes. The cause may be
// a slow rank, an expert map that does not fit, or a step that is held up.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_DIRECT_GROUPGAPS_H
#define OSPREYSPUR_DIRECT_GROUPGAPS_H

#include "ospreyspur/Support/Ids.h"
#include "ospreyspur/Support/Time.h"

#include <map>
#include <utility>

namespace ospreyspur {

/// The inter-event gaps that one entry has observed, by group.
class GroupGaps {
public:
  using Key = std::pair<ServiceId, GroupId>;

  /// While no stream of the group decodes, the observed gap halves in this
  /// time, so that a group without any requests is tried again.
  static constexpr Duration HalfLife = std::chrono::seconds(1);
  /// If other streams of the group received events meanwhile, an idle period of
  /// at least this length is attributed to the stream, not to its group. The
  /// value is below the shortest idle period after which a stream is migrated.
  static constexpr Duration MinStreamIdleTime = std::chrono::milliseconds(800);
  /// Minimum number of decoding streams for an idle period to count as evidence
  /// against the group. A single silent stream may be due to a hanging
  /// endpoint.
  static constexpr unsigned MinDecodingStreams = 2;

  // Commands.

  /// A stream of the group has started to decode.
  void onBegun(const Key &group, TimePoint now);
  /// A stream received events, \p gap after the previous ones.
  void onEvents(const Key &group, Duration gap, TimePoint now);
  /// A decoding stream has ended.
  void onEnded(const Key &group);
  /// An attempt ended after an idle period of \p idleTime.
  void onEndedIdle(const Key &group, Duration idleTime, TimePoint now);

  // Queries.

  /// Returns the expected inter-event gap; zero if nothing is known.
  Duration gapOf(const Key &group, TimePoint now) const;
  /// Like gapOf(), but the current idle period of a group's only stream does
  /// not count. An idle period of one stream is reason enough to prefer other
  /// groups, but not to leave this one.
  Duration confirmedGapOf(const Key &group, TimePoint now) const;

private:
  struct GapEstimate {
    Duration Gap{};
    TimePoint At;
    unsigned DecodingStreams = 0;
  };

  /// Returns the last observed gap, decayed to \p now.
  static Duration decay(const GapEstimate &estimate, TimePoint now);

  std::map<Key, GapEstimate> Estimates;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_DIRECT_GROUPGAPS_H
